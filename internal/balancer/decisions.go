package balancer

import (
	"sync"
	"sync/atomic"
	"time"

	"streamrail/internal/deadline"
)

// event is one thing that happened, for the module to hear of.
type event struct {
	hear func()
	at   time.Time // it was posted
}

// moduleLock guards the module. Events that are posted while it is held are heard by whoever holds it, when it is unlocked, so
// that nobody has to wait for it to tell of one.
type moduleLock struct {
	held sync.Mutex
	hear func(event)

	mu     sync.Mutex
	events []event      // that wait
	count  atomic.Int64 // of them
}

func (l *moduleLock) Lock() { l.held.Lock() }

func (l *moduleLock) Unlock() {
	l.held.Unlock()
	l.hearWaiting()
}

// post has an event heard, now or when the lock is unlocked next.
func (l *moduleLock) post(e event) {
	l.mu.Lock()
	l.events = append(l.events, e)
	l.count.Store(int64(len(l.events)))
	l.mu.Unlock()
	l.hearWaiting()
}

// hearWaiting has the module hear what waits, unless another goroutine holds the lock, which does so when it unlocks it.
func (l *moduleLock) hearWaiting() {
	for l.count.Load() > 0 && l.held.TryLock() {
		for _, e := range l.takeWaiting() {
			l.hear(e)
		}
		l.held.Unlock()
	}
}

func (l *moduleLock) takeWaiting() []event {
	l.mu.Lock()
	defer l.mu.Unlock()
	events := l.events
	l.events = nil
	l.count.Store(0)
	return events
}

// decide lets the module hear of one thing that happened, and waits until it has; its orders lie in the calls' mailboxes then.
func (b *Balancer) decide(hear func()) {
	e := event{hear, time.Now()}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hear(e)
}

// post lets the module hear of one thing that happened without ever waiting. Events that one goroutine posts are heard in their
// order.
func (b *Balancer) post(hear func()) { b.mu.post(event{hear, time.Now()}) }

// hear is under mu.
func (b *Balancer) hear(e event) {
	began := time.Now()
	b.delays.waited.note(began.Sub(e.at))
	b.now = b.nanos(deadline.After(began, 0))
	e.hear()
	b.delays.held.note(time.Since(began))
}
