package discovery

import (
	"time"

	"streamrail/policy"
)

// partialDelay is the time from the first byte of a response after which parts of it are announced. Most responses are complete by then.
const partialDelay = 250 * time.Millisecond

// leavingHosts collects the hosts that a response names as leaving or gone and announces them before the response is complete: a long
// list may take many seconds to arrive. It is used by the goroutine of a call.
type leavingHosts struct {
	enabled     bool  // a list is known
	known       int64 // the generation of that list; an older response announces nothing
	firstByteAt time.Time
	deliver     func(List)
	pending     []Host
	pendingFrom time.Time // when the first of them was read
}

// add takes a host of the response into account.
func (l *leavingHosts) add(generation int64, h Host) {
	if !l.enabled || h.Condition == policy.Up || generation < l.known {
		return
	}
	if len(l.pending) == 0 {
		l.pendingFrom = time.Now()
	}
	l.pending = append(l.pending, h)
}

// announce delivers the collected hosts if they are due, and otherwise returns when they are; the zero time if there are none.
func (l *leavingHosts) announce(now time.Time) (dueAt time.Time) {
	if len(l.pending) == 0 {
		return time.Time{}
	}
	if dueAt = l.firstByteAt.Add(partialDelay); now.Before(dueAt) {
		return dueAt
	}
	l.deliver(List{Partial: true, Generation: l.known, Hosts: l.pending, ReceivedAt: l.pendingFrom})
	l.pending = nil
	return time.Time{}
}
