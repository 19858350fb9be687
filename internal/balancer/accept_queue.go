package balancer

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"streamrail/internal/stall"
)

// acceptQueue tells since when a connection that is accepted may have waited for that, with what its client had sent.
type acceptQueue struct {
	raw         syscall.RawConn // of the listener; nil: only how long an accept takes can tell
	stalls      *stall.Detector
	emptyAt     time.Time // nothing waited then
	pending     bool      // something did before the accept that is under way
	acceptBegan time.Time // of that accept
}

// newAcceptQueue watches the queue of a listener that was opened at a moment.
func newAcceptQueue(listener net.Listener, stalls *stall.Detector, opened time.Time) *acceptQueue {
	return &acceptQueue{raw: rawConnOf(listener), stalls: stalls, emptyAt: opened}
}

const (
	maxQueueEmptyWait = 100 * time.Millisecond
	queuePollInterval = 2 * time.Millisecond
)

// closeWhenQueueEmpty closes a listener once nothing waits to be accepted, or after a while: the system resets what waits then, with what
// its clients have sent.
func closeWhenQueueEmpty(listener net.Listener) {
	raw := rawConnOf(listener)
	for began := time.Now(); raw != nil && time.Since(began) < maxQueueEmptyWait; time.Sleep(queuePollInterval) {
		if standing, err := pollEvents(raw, unix.POLLIN); err != nil || standing == 0 {
			break
		}
	}
	listener.Close()
}

// beforeAccept is called before an accept.
func (q *acceptQueue) beforeAccept() {
	q.acceptBegan = time.Now()
	if q.raw == nil {
		return
	}
	standing, err := pollEvents(q.raw, unix.POLLIN)
	q.pending = err != nil || standing != 0
}

// afterAccept is called after it, and tells when the connection may have come at the earliest.
func (q *acceptQueue) afterAccept() time.Time {
	ended := time.Now()
	waited := !q.pending
	if q.raw == nil {
		waited = ended.Sub(q.acceptBegan) >= maxImmediateRead
	}
	if waited {
		q.emptyAt = q.stalls.EarliestEvent(q.acceptBegan, ended)
	}
	return q.emptyAt
}
