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
	raw     syscall.RawConn // of the listener; nil: only how long an accept takes can tell
	stalls  *stall.Detector
	emptyAt time.Time // nothing waited then
	waiting bool      // something did before the accept that is under way
	began   time.Time // of that accept
}

// newAcceptQueue watches the queue of a listener that was opened at a moment.
func newAcceptQueue(listener net.Listener, stalls *stall.Detector, opened time.Time) *acceptQueue {
	return &acceptQueue{raw: rawOf(listener), stalls: stalls, emptyAt: opened}
}

const (
	queueWait = 100 * time.Millisecond
	queueLook = 2 * time.Millisecond
)

// closeEmptied closes a listener once nothing waits to be accepted, or after a while: the system resets what waits then, with what
// its clients have sent.
func closeEmptied(listener net.Listener) {
	raw := rawOf(listener)
	for began := time.Now(); raw != nil && time.Since(began) < queueWait; time.Sleep(queueLook) {
		if standing, err := pollNow(raw, unix.POLLIN); err != nil || standing == 0 {
			break
		}
	}
	listener.Close()
}

// accepts is called before an accept.
func (q *acceptQueue) accepts() {
	q.began = time.Now()
	if q.raw == nil {
		return
	}
	standing, err := pollNow(q.raw, unix.POLLIN)
	q.waiting = err != nil || standing != 0
}

// accepted is called after it, and tells when the connection may have come at the earliest.
func (q *acceptQueue) accepted() time.Time {
	ended := time.Now()
	waited := !q.waiting
	if q.raw == nil {
		waited = ended.Sub(q.began) >= promptRead
	}
	if waited {
		q.emptyAt = q.stalls.Earliest(q.began, ended)
	}
	return q.emptyAt
}
