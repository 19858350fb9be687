package balancer

import (
	"sync"
	"sync/atomic"
	"time"

	"streamrail/internal/deadline"
)

// event is one thing that happened, for the module to hear of.
type event struct {
	handle   func()
	postedAt time.Time // it was posted
}

// policyLock guards the module. Events that are posted while it is held are heard by whoever holds it, when it is unlocked, so
// that nobody has to wait for it to tell of one.
type policyLock struct {
	mutex  sync.Mutex
	handle func(event)

	mu           sync.Mutex
	pending      []event      // that wait
	pendingCount atomic.Int64 // of them
}

func (l *policyLock) Lock() { l.mutex.Lock() }

func (l *policyLock) Unlock() {
	l.mutex.Unlock()
	l.handlePending()
}

// post has an event heard, now or when the lock is unlocked next.
func (l *policyLock) post(e event) {
	l.mu.Lock()
	l.pending = append(l.pending, e)
	l.pendingCount.Store(int64(len(l.pending)))
	l.mu.Unlock()
	l.handlePending()
}

// handlePending has the module hear what waits, unless another goroutine holds the lock, which does so when it unlocks it.
func (l *policyLock) handlePending() {
	for l.pendingCount.Load() > 0 && l.mutex.TryLock() {
		for _, e := range l.takePending() {
			l.handle(e)
		}
		l.mutex.Unlock()
	}
}

func (l *policyLock) takePending() []event {
	l.mu.Lock()
	defer l.mu.Unlock()
	events := l.pending
	l.pending = nil
	l.pendingCount.Store(0)
	return events
}

// callPolicy lets the module hear of one thing that happened, and waits until it has; its orders lie in the calls' mailboxes then.
func (b *Balancer) callPolicy(hear func()) {
	e := event{hear, time.Now()}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.handleEvent(e)
}

// post lets the module hear of one thing that happened without ever waiting. Events that one goroutine posts are heard in their
// order.
func (b *Balancer) post(hear func()) { b.mu.post(event{hear, time.Now()}) }

// handleEvent is under mu.
func (b *Balancer) handleEvent(e event) {
	began := time.Now()
	b.delays.waiting.record(began.Sub(e.postedAt))
	b.now = b.toNanos(deadline.After(began, 0))
	e.handle()
	b.delays.handling.record(time.Since(began))
}
