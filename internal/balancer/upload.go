package balancer

import (
	"errors"
	"io"
	"sync"
	"time"

	"streamrail/internal/deadline"
	"streamrail/internal/upstream"
)

// upload is a long value that a client writes. The attempt that sends it reads it from the client's connection; what no attempt reads is
// discarded.
type upload struct {
	upstream.Upload
	request      *clientRequest
	remaining    int // bytes not yet read
	err          error
	wanted       chan struct{} // closed when an attempt begins to read the value
	connFree     chan struct{} // closed when no other goroutine reads the connection
	startReading sync.Once
	checkTimer   *time.Timer // fires when checkUpload is due
	end          int64       // position in the connection's input behind the value and its line end

	mu           sync.Mutex
	incompleteAt time.Time          // the client had not written all of the value by then
	due          *deadline.Deadline // of the request; nil: not known yet
	timedOut     bool               // the deadline passed before the last byte was read
}

// maxUploadTime is how long a client may take to write a value, beyond its time for the answer. Slow clients take some seconds; a client
// that takes longer is disconnected, and its request ends.
const maxUploadTime = 30 * time.Second

var (
	errBadChunk = errors.New("no line end after the value")
	errTooLate  = errors.New("the host accepted the value more slowly than the client wrote it")
)

func newUpload(c *clientRequest) *upload {
	u := &upload{request: c, remaining: c.Length, wanted: make(chan struct{}), connFree: make(chan struct{})}
	u.Length, u.Reader, u.Done = c.Length, u, make(chan struct{})
	u.TimeLeft, u.checkTimer = u.timeLeft, time.NewTimer(uploadCheckInterval)
	u.end, u.incompleteAt = c.client.inputPosition()+int64(c.Length+len("\r\n")), c.arrived
	return u
}

// inputPosition returns the position in the connection's input of the next byte that its reader returns. Only the goroutine that reads
// the connection may call it.
func (c *clientConn) inputPosition() int64 {
	return c.receiver.inputState().taken - int64(c.reader.Buffered()+c.readAheadBuf.size)
}

// earliestCompletion returns the earliest time at which the client can have written the last byte, if it has done so by now. An attempt that
// its host blocks does not read the value, so the last byte may lie unread in this machine's socket or wait for room in it.
func (u *upload) earliestCompletion(now time.Time) time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	receiver := u.request.client.receiver
	state := receiver.inputState()
	if state.taken >= u.end {
		return u.incompleteAt
	}
	incompleteAt := receiver.earliestUnread(state, now)
	if u.isIncomplete(state) {
		incompleteAt = now
	}
	if incompleteAt.After(u.incompleteAt) {
		u.incompleteAt = incompleteAt
	}
	return u.incompleteAt
}

// isIncomplete reports whether the client certainly has not written all of the value: a part of it has not arrived, though the socket has
// room for more.
func (u *upload) isIncomplete(state inputState) bool {
	receiver := u.request.client.receiver
	unread, known := receiver.unreadBytes()
	notRead := receiver.inputState().taken == state.taken // otherwise the two figures do not belong together
	return known && notRead && state.settleTime == 0 && unread < minReceiveWindow && state.taken+int64(unread) < u.end
}

// uploadCheckInterval is the longest time between two looks at whether the time of a long write may be over.
const uploadCheckInterval = 50 * time.Millisecond

// checkUpload gives up a long write whose time may be over, although its last byte has not been read; otherwise it sets the timer for the next look.
func (c *clientRequest) checkUpload() {
	due := c.upload.earliestDeadline()
	if left := due.Remaining() - c.balancer.decisionTime(); left > 0 {
		c.upload.checkTimer.Reset(min(left, uploadCheckInterval))
		return
	}
	if c.upload.fixDeadline(due, true) {
		c.balancer.logUnreadUpload(c)
		c.setDeadline(due)
	}
}

// setDeadline fixes the deadline of a long write, for this process and for the policy.
func (c *clientRequest) setDeadline(due deadline.Deadline) {
	c.armDeadlineTimer(due)
	c.balancer.post(func() { c.balancer.policy.WriteReceived(c.id, c.balancer.toNanos(due)) })
}

// decisionTime returns how long before a deadline the policy decides about a request.
func (b *Balancer) decisionTime() time.Duration {
	return time.Duration(2*b.deployment.PolicyConfig.TimerGranularity + wheelTick)
}

// Read returns the last byte only once the line end after the value has arrived: until then the write must not run.
func (u *upload) Read(p []byte) (n int, err error) {
	u.startReading.Do(func() {
		close(u.wanted)
		<-u.connFree
	})
	in := u.request.client.reader
	u.request.client.extendValueDeadline()
	if u.remaining > 1 {
		n, err = in.Read(p[:min(len(p), u.remaining-1)])
		u.remaining -= n
		if err != nil {
			u.err = err
		}
		return n, err
	}
	var lastBytes [3]byte
	if _, u.err = io.ReadFull(in, lastBytes[:]); u.err != nil {
		return 0, u.err
	}
	u.remaining = 0
	if string(lastBytes[1:]) != "\r\n" {
		u.err = errBadChunk
		return 0, u.err
	}
	p[0] = lastBytes[0]
	if !u.lastByteRead() || u.TooLate() || u.request.isUnwanted() {
		return 0, errTooLate
	}
	return 1, nil
}

// lastByteRead fixes the deadline of the request; false if its time is over already.
func (u *upload) lastByteRead() bool {
	u.Deadline = deadline.After(u.request.client.commandArrival(), u.request.Timeout).Earlier(answerTravelReserve)
	if !u.fixDeadline(u.Deadline, false) {
		return false
	}
	u.request.setDeadline(u.Deadline)
	return true
}

// fixDeadline records the deadline of the request, either as its last byte has been read or as it has timed out before; false if the
// other has come first.
func (u *upload) fixDeadline(due deadline.Deadline, timedOut bool) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.due != nil {
		return false
	}
	u.due, u.timedOut = &due, timedOut
	return true
}

// isRead reports whether the last byte has been read in time.
func (u *upload) isRead() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.due != nil && !u.timedOut
}

// stopUpload ends the attempt that takes a long value, if the request has been answered before the last byte was read. The attempt can no
// longer run, and the commands behind the value wait for its end. This is no cancellation of a request that a host has, so it does not
// depend on whether those are allowed.
func (c *clientRequest) stopUpload() {
	if c.upload == nil || c.upload.isRead() || c.isStreaming() {
		return
	}
	for _, attempt := range c.attempts {
		attempt.GiveUp()
	}
}

// knownDeadline returns the deadline of the request; false if its last byte has not been read and its time is not over.
func (u *upload) knownDeadline() (due deadline.Deadline, known bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.due == nil {
		return due, false
	}
	return *u.due, true
}

// timeLeft returns the time that the client still waits if it has written the last byte by now.
func (u *upload) timeLeft() time.Duration { return u.earliestDeadline().Remaining() }

// earliestDeadline returns the deadline of the request if the client has written the last byte as early as is possible.
func (u *upload) earliestDeadline() deadline.Deadline {
	return deadline.After(u.earliestCompletion(time.Now()), u.request.Timeout).Earlier(answerTravelReserve)
}

// skipRemaining waits until no attempt reads the value any more and discards the rest of it; false if the start of the next command
// cannot be found.
func (u *upload) skipRemaining() bool {
	c := u.request.client
	c.watchForClose(func() { // the client may close the connection while the value waits for a connection to a host
		select {
		case <-u.wanted:
		case <-u.Done:
		case <-u.request.answered:
		}
	})
	close(u.connFree)
	select {
	case <-u.Done:
	case <-u.request.answered:
		if u.Take() {
			close(u.Done)
		}
		<-u.Done
	}
	for u.err == nil && u.remaining > 0 {
		c.extendValueDeadline()
		n, err := c.reader.Discard(min(u.remaining, upstream.StreamBufferBytes))
		u.remaining -= n
		u.err = err
		if u.remaining == 0 && err == nil {
			var lineEnd [2]byte
			if _, u.err = io.ReadFull(c.reader, lineEnd[:]); u.err == nil && string(lineEnd[:]) != "\r\n" {
				u.err = errBadChunk
			}
		}
	}
	switch {
	case u.err == errBadChunk:
		return c.replyAndStop("") // the request's own answer has been given: nothing ran
	case u.err != nil:
		return c.connectionLost(u.err)
	}
	return true
}
