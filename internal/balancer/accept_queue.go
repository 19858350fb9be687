package balancer

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"streamrail/internal/stall"
)

// acceptQueue finds the earliest time at which an accepted connection, and what its client has sent, may have arrived: both may have
// waited in the listener's accept queue.
type acceptQueue struct {
	raw         syscall.RawConn // of the listener; nil: only the duration of an accept shows whether it had to wait
	stalls      *stall.Detector
	emptyAt     time.Time // the queue was empty then
	pending     bool      // the queue was not empty before the current accept
	acceptBegan time.Time // start of the current accept
}

// newAcceptQueue observes the queue of a listener that was opened at the given time.
func newAcceptQueue(listener net.Listener, stalls *stall.Detector, opened time.Time) *acceptQueue {
	return &acceptQueue{raw: rawConnOf(listener), stalls: stalls, emptyAt: opened}
}

const (
	maxQueueEmptyWait = 100 * time.Millisecond
	queuePollInterval = 2 * time.Millisecond
)

// closeWhenQueueEmpty closes a listener once its accept queue is empty, or after maxQueueEmptyWait. The kernel resets connections that
// are still queued when the listener closes, and what their clients have sent is lost.
func closeWhenQueueEmpty(listener net.Listener) {
	raw := rawConnOf(listener)
	for began := time.Now(); raw != nil && time.Since(began) < maxQueueEmptyWait; time.Sleep(queuePollInterval) {
		if ready, err := pollEvents(raw, unix.POLLIN); err != nil || ready == 0 {
			break
		}
	}
	listener.Close()
}

// beforeAccept must be called right before each accept.
func (q *acceptQueue) beforeAccept() {
	q.acceptBegan = time.Now()
	if q.raw == nil {
		return
	}
	ready, err := pollEvents(q.raw, unix.POLLIN)
	q.pending = err != nil || ready != 0
}

// afterAccept must be called right after each accept. It returns the earliest time at which the connection may have arrived.
func (q *acceptQueue) afterAccept() time.Time {
	ended := time.Now()
	hadToWait := !q.pending
	if q.raw == nil {
		hadToWait = ended.Sub(q.acceptBegan) >= maxImmediateRead
	}
	if hadToWait {
		q.emptyAt = q.stalls.EarliestEvent(q.acceptBegan, ended)
	}
	return q.emptyAt
}
