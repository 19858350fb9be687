package balancer

import (
	"errors"
	"io"
	"sync"
	"time"

	"streamrail/internal/deadline"
	"streamrail/internal/memcache"
	"streamrail/internal/upstream"
)

// streamValue is the one final answer where a host gives a long value: it goes on as it comes, in its turn. What cannot be
// finished ends the client's connection short of its length, so that the client can tell.
func (c *clientRequest) streamValue(v *upstream.Value) (whole bool) {
	begun := false
	c.balancer.callPolicy(func() {
		if begun = c.startStream(); begun {
			c.balancer.policy.AnswerStarted(c.id)
		}
	})
	if !begun {
		return false
	}
	defer close(c.answered)
	defer c.balancer.answerStats.unanswered.Add(-1)
	select {
	case <-c.previousAnswered:
	case <-c.client.gone:
		return false
	}
	to := upstream.ExtendingConn{Conn: c.client.conn}
	_, err := to.Write(memcache.AppendValue(nil, c.ID, v.Length))
	if err == nil {
		_, err = upstream.Copy(to, v, v.Length)
	}
	if err == nil {
		if err = v.End(); err == nil {
			_, err = io.WriteString(to, "\r\n")
		}
	}
	if err != nil {
		c.client.abortAnswer()
		return false
	}
	c.balancer.traffic.fulfilled.Add(1)
	c.balancer.answerStats.countAnswer(c.product, fulfilled)
	return true
}

// startStream chooses a long value as the final answer; false where another one is chosen already.
func (c *clientRequest) startStream() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.answerChosen {
		return false
	}
	c.answerChosen, c.streaming = true, true
	return true
}

func (c *clientRequest) isStreaming() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.streaming
}

// upload is a long value that a client writes. Its reader is the attempt that takes it; what no attempt takes is passed over.
type upload struct {
	upstream.Upload
	call         *clientRequest
	remaining    int // bytes that have not been read
	err          error
	wanted       chan struct{} // closed when the value is to be read
	connFree     chan struct{} // closed when nobody else reads the connection
	startReading sync.Once
}

// maxUploadTime is how long a client may take to write a value, beyond its time for the answer. Slow ones take some seconds;
// who takes longer is ended, and so is a call that waits for it.
const maxUploadTime = 30 * time.Second

var (
	errBadChunk = errors.New("no line end behind the value")
	errTooLate  = errors.New("the server was slower to take the value than the client was to write it")
)

func newUpload(c *clientRequest) *upload {
	u := &upload{call: c, remaining: c.Length, wanted: make(chan struct{}), connFree: make(chan struct{})}
	u.Length, u.Reader, u.Done = c.Length, u, make(chan struct{})
	u.ClientTimeout = c.Timeout - answerTravelReserve
	return u
}

// Read gives the last byte only once the line end behind the value has come whole: until then it must not run.
func (u *upload) Read(p []byte) (n int, err error) {
	u.startReading.Do(func() {
		close(u.wanted)
		<-u.connFree
	})
	in := u.call.client.reader
	u.call.client.extendValueDeadline()
	if u.remaining > 1 {
		n, err = in.Read(p[:min(len(p), u.remaining-1)])
		u.remaining -= n
		if err != nil {
			u.err = err
		}
		return n, err
	}
	var end [3]byte
	if _, u.err = io.ReadFull(in, end[:]); u.err != nil {
		return 0, u.err
	}
	u.remaining = 0
	if string(end[1:]) != "\r\n" {
		u.err = errBadChunk
		return 0, u.err
	}
	p[0] = end[0]
	b := u.call.balancer
	u.Deadline = deadline.After(u.call.client.commandArrival(), u.call.Timeout).Earlier(answerTravelReserve)
	u.call.armDeadlineTimer(u.Deadline)
	b.post(func() { b.policy.WriteReceived(u.call.id, b.toNanos(u.Deadline)) })
	if u.TooLate() {
		return 0, errTooLate
	}
	return 1, nil
}

// extendValueDeadline moves the time limit for a value's next piece on; who stops within a value is ended like who stops within a head.
func (c *clientConn) extendValueDeadline() {
	c.commandDeadline = time.Now().Add(maxCommandTime)
	c.conn.SetReadDeadline(c.commandDeadline)
}

// skipRemaining waits until nobody reads the value any more and passes over what is left of it; false where the next command cannot
// be made out.
func (u *upload) skipRemaining() bool {
	c := u.call.client
	c.watchForClose(func() { // while the value waits for a connection to a host, its client may leave
		select {
		case <-u.wanted:
		case <-u.Done:
		case <-u.call.answered:
		}
	})
	close(u.connFree)
	select {
	case <-u.Done:
	case <-u.call.answered:
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
			var end [2]byte
			if _, u.err = io.ReadFull(c.reader, end[:]); u.err == nil && string(end[:]) != "\r\n" {
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
