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
	end          int64 // position in the connection's input behind the value and its line end

	mu           sync.Mutex
	incompleteAt time.Time // the client had not written all of the value by then
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
	u.ClientTimeout = c.Timeout - answerTravelReserve
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

// checkUpload looks at whether the time of a long write may be over, although its last byte has not been read. It returns when to look
// again.
func (c *clientRequest) checkUpload() time.Duration {
	now := time.Now()
	due := deadline.After(c.upload.earliestCompletion(now), c.Timeout).Earlier(answerTravelReserve)
	if left := due.Remaining(); left > 0 {
		return min(left, uploadCheckInterval)
	}
	c.balancer.logUnreadUpload(c)
	return maxUploadTime
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
	b := u.request.balancer
	u.Deadline = deadline.After(u.request.client.commandArrival(), u.request.Timeout).Earlier(answerTravelReserve)
	u.request.armDeadlineTimer(u.Deadline)
	b.post(func() { b.policy.WriteReceived(u.request.id, b.toNanos(u.Deadline)) })
	if u.TooLate() {
		return 0, errTooLate
	}
	return 1, nil
}

// extendValueDeadline extends the read deadline for the next piece of a value. A client that stalls within a value is disconnected like
// one that stalls within a command's line.
func (c *clientConn) extendValueDeadline() {
	c.commandDeadline = time.Now().Add(maxCommandTime)
	c.conn.SetReadDeadline(c.commandDeadline)
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
