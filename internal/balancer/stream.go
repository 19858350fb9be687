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

// streamValue answers the request with a long value of a host, which is passed on as it arrives, once the commands before it are answered.
// If the value cannot be completed, the client's connection ends before the announced length, so that the client can detect it.
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
	out := upstream.ExtendingConn{Conn: c.client.conn}
	_, err := out.Write(memcache.AppendValue(nil, c.ID, v.Length))
	if err == nil {
		_, err = upstream.Copy(out, v, v.Length)
	}
	if err == nil {
		if err = v.End(); err == nil {
			_, err = io.WriteString(out, "\r\n")
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

// startStream chooses a long value as the final answer; false if another one is chosen already.
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
	return u
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
