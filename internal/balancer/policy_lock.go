package balancer

import (
	"sync"
	"sync/atomic"
	"time"

	"streamrail/internal/deadline"
)

// event is something that happened and that the policy has to process.
type event struct {
	handle   func()
	postedAt time.Time
}

// policyLock guards the policy. Events that are posted while it is held are processed by its holder on unlocking, so that
// posting an event never waits for the lock.
type policyLock struct {
	mutex  sync.Mutex
	handle func(event)

	mu           sync.Mutex
	pending      []event      // not processed yet
	pendingCount atomic.Int64 // len(pending), readable without mu
}

func (l *policyLock) Lock() { l.mutex.Lock() }

func (l *policyLock) Unlock() {
	l.mutex.Unlock()
	l.handlePending()
}

// post processes an event now, or when the lock is unlocked next.
func (l *policyLock) post(e event) {
	l.mu.Lock()
	l.pending = append(l.pending, e)
	l.pendingCount.Store(int64(len(l.pending)))
	l.mu.Unlock()
	l.handlePending()
}

// handlePending processes the pending events, unless another goroutine holds the lock: that one does so when it unlocks.
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

// callPolicy runs a function with the policy locked and waits until it has run. By then the resulting actions are queued at
// their requests.
func (b *Balancer) callPolicy(handle func()) {
	e := event{handle, time.Now()}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.handleEvent(e)
}

// post runs a function with the policy locked, now or later, and never waits. Events that one goroutine posts are processed
// in their order.
func (b *Balancer) post(handle func()) { b.mu.post(event{handle, time.Now()}) }

// handleEvent processes one event and records how long it waited and took. The caller holds mu.
func (b *Balancer) handleEvent(e event) {
	began := time.Now()
	b.delays.waiting.record(began.Sub(e.postedAt))
	b.now = b.toNanos(deadline.After(began, 0))
	e.handle()
	b.delays.handling.record(time.Since(began))
}
