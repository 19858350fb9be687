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

// pass is the one final answer where a host gives a long value: it goes on as it comes, in its turn. What cannot be
// finished ends the client's connection short of its length, so that the client can tell.
func (c *call) pass(v *upstream.Value) (whole bool) {
	begun := false
	c.b.decide(func() {
		if begun = c.startStream(); begun {
			c.b.module.Streaming(c.id)
		}
	})
	if !begun {
		return false
	}
	defer close(c.answered)
	defer c.b.figures.inHand.Add(-1)
	select {
	case <-c.turn:
	case <-c.client.gone:
		return false
	}
	to := upstream.Patient{Conn: c.client.net}
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
		c.client.cut()
		return false
	}
	c.b.tally.fulfilled.Add(1)
	c.b.figures.answered(c.product, fulfilled)
	return true
}

// startStream chooses a long value as the final answer; false where another one is chosen already.
func (c *call) startStream() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.settled {
		return false
	}
	c.settled, c.streaming = true, true
	return true
}

func (c *call) isStreaming() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.streaming
}

// upload is a long value that a client writes. Its reader is the attempt that takes it; what no attempt takes is passed over.
type upload struct {
	upstream.Upload
	call    *call
	left    int // bytes that have not been read
	end     error
	wanted  chan struct{} // closed when the value is to be read
	free    chan struct{} // closed when nobody else reads the connection
	reading sync.Once
}

// uploadMost is how long a client may take to write a value, beyond its time for the answer. Slow ones take some seconds;
// who takes longer is ended, and so is a call that waits for it.
const uploadMost = 30 * time.Second

var (
	errBadChunk = errors.New("no line end behind the value")
	errTooLate  = errors.New("the server was slower to take the value than the client was to write it")
)

func newUpload(c *call) *upload {
	u := &upload{call: c, left: c.Length, wanted: make(chan struct{}), free: make(chan struct{})}
	u.Length, u.In, u.Ended = c.Length, u, make(chan struct{})
	u.Wait = c.Left - wayBack
	return u
}

// Read gives the last byte only once the line end behind the value has come whole: until then it must not run.
func (u *upload) Read(p []byte) (n int, err error) {
	u.reading.Do(func() {
		close(u.wanted)
		<-u.free
	})
	in := u.call.client.in
	u.call.client.patient()
	if u.left > 1 {
		n, err = in.Read(p[:min(len(p), u.left-1)])
		u.left -= n
		if err != nil {
			u.end = err
		}
		return n, err
	}
	var end [3]byte
	if _, u.end = io.ReadFull(in, end[:]); u.end != nil {
		return 0, u.end
	}
	u.left = 0
	if string(end[1:]) != "\r\n" {
		u.end = errBadChunk
		return 0, u.end
	}
	p[0] = end[0]
	b := u.call.b
	u.Deadline = deadline.After(u.call.client.arrival(), u.call.Left).Earlier(wayBack)
	u.call.guards(u.Deadline)
	b.post(func() { b.module.Came(u.call.id, b.nanos(u.Deadline)) })
	if u.TooLate() {
		return 0, errTooLate
	}
	return 1, nil
}

// patient moves the time limit for a value's next piece on; who stops within a value is ended like who stops within a head.
func (c *client) patient() {
	c.due = time.Now().Add(commandWait)
	c.net.SetReadDeadline(c.due)
}

// rest waits until nobody reads the value any more and passes over what is left of it; false where the next command cannot
// be made out.
func (u *upload) rest() bool {
	c := u.call.client
	c.listen(func() { // while the value waits for a connection to a host, its client may leave
		select {
		case <-u.wanted:
		case <-u.Ended:
		case <-u.call.answered:
		}
	})
	close(u.free)
	select {
	case <-u.Ended:
	case <-u.call.answered:
		if u.Take() {
			close(u.Ended)
		}
		<-u.Ended
	}
	for u.end == nil && u.left > 0 {
		c.patient()
		n, err := c.in.Discard(min(u.left, upstream.PieceBytes))
		u.left -= n
		u.end = err
		if u.left == 0 && err == nil {
			var end [2]byte
			if _, u.end = io.ReadFull(c.in, end[:]); u.end == nil && string(end[:]) != "\r\n" {
				u.end = errBadChunk
			}
		}
	}
	switch {
	case u.end == errBadChunk:
		return c.part("") // the request's own answer has been given: nothing ran
	case u.end != nil:
		return c.lost(u.end)
	}
	return true
}
