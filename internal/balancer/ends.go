package balancer

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// What ends a connection of a client, from either side. docs/notes/endings.md lists what is still owed at each end.

const (
	// A client sends on while it has not heard of the end of a connection: what comes is passed over for so long, and so much of
	// it. A client that has heard closes it, which ends the wait.
	lingerTime     = 200 * time.Millisecond
	maxLingerBytes = 1 << 20
	// maxReadAheadBytes bounds what is read of a connection while its reader waits for something else, and so do the values that may be
	// in hand: some thousand requests. The end of a client that has sent more than that is heard when it is come to.
	maxReadAheadBytes   = 1 << 20
	readAheadChunkBytes = 4 << 10
)

// readAheadBuffer is what has been read of a connection while its reader could not take it.
type readAheadBuffer struct {
	chunks   []chunk
	size     int        // of all
	err      error      // of the stream, behind them
	balancer *Balancer  // whose memory it is; nil: there is enough
	reserved int        // bytes of it
	mu       sync.Mutex // over the connection's time limit, while another goroutine reads ahead
}

// chunk is what one read brought: a request's time counts from when it had arrived, however long it stands here.
type chunk struct {
	bytes     []byte
	arrivedAt time.Time
}

// release gives all memory back.
func (a *readAheadBuffer) release() {
	if a.balancer != nil {
		a.balancer.valueBytes.Add(-int64(a.reserved))
	}
	a.chunks, a.size, a.reserved = nil, 0, 0
}

// take gives what was read ahead first, and when that came; none: the connection itself is to be read.
func (a *readAheadBuffer) take(p []byte) (n int, arrivedAt time.Time, empty bool, err error) {
	if len(a.chunks) == 0 {
		return 0, arrivedAt, a.err == nil, a.err
	}
	first := &a.chunks[0]
	arrivedAt = first.arrivedAt
	n = copy(p, first.bytes)
	a.size -= n
	if first.bytes = first.bytes[n:]; len(first.bytes) == 0 {
		a.chunks = a.chunks[1:]
	}
	if a.size == 0 {
		a.release()
	}
	return n, arrivedAt, false, nil
}

// markGone notes that the client has gone away: it has closed the connection, or reset it. One that has only ended its sending
// counts as gone too: nothing that comes tells the two apart.
func (c *clientConn) markGone() { c.goneOnce.Do(func() { close(c.gone) }) }

// hasLeft tells whether it has.
func (c *clientConn) hasLeft() bool {
	select {
	case <-c.gone:
		return true
	default:
		return false
	}
}

// hasLeftNow is hasLeft that does not wait for the reader to hear of the end: it may be held up, or be before other bytes.
func (c *clientConn) hasLeftNow() bool {
	if !c.hasLeft() && c.receiver.peerClosed() {
		c.markGone()
	}
	return c.hasLeft()
}

// watchForClose waits for something other than the client's next bytes, and hears meanwhile when it goes away: what it asked for must
// not be begun after that, and what is on its way is to be given up.
func (c *clientConn) watchForClose(wait func()) {
	over, readerDone := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(readerDone)
		c.readAheadUntil(over)
	}()
	wait()
	close(over)
	c.readAheadBuf.mu.Lock()
	c.conn.SetReadDeadline(pastDeadline)
	c.readAheadBuf.mu.Unlock()
	<-readerDone
	c.conn.SetReadDeadline(time.Time{})
}

// awaitAnswers waits until the commands read so far are answered.
func (c *clientConn) awaitAnswers() {
	select {
	case <-c.lastAnswered:
	default:
		c.watchForClose(func() { <-c.lastAnswered })
	}
}

var pastDeadline = time.Unix(1, 0)

// readAheadUntil reads on until the wait is over, the client's end or the bound.
func (c *clientConn) readAheadUntil(over <-chan struct{}) {
	for c.readAheadBuf.size < maxReadAheadBytes && c.readAheadBuf.err == nil {
		c.readAheadBuf.mu.Lock()
		select {
		case <-over:
			c.readAheadBuf.mu.Unlock()
			return
		default:
		}
		c.conn.SetReadDeadline(time.Time{}) // others who woke it meant its reader, which looks for itself when it is back
		c.readAheadBuf.mu.Unlock()
		if !c.readAheadBuf.fill(c.receiver.read) {
			return
		}
		if c.readAheadBuf.err != nil {
			c.markGone()
		}
	}
}

// fill reads once; false where there is no memory for more.
func (a *readAheadBuffer) fill(read func([]byte) (int, time.Time, error)) bool {
	var buf [readAheadChunkBytes]byte
	n, arrived, err := read(buf[:])
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		a.err = err
	}
	if n == 0 {
		return true
	}
	a.chunks = append(a.chunks, chunk{bytes.Clone(buf[:n]), arrived})
	a.size += n
	if a.balancer != nil {
		if !a.balancer.reserveMemory(n) {
			return false
		}
		a.reserved += n
	}
	return true
}

// pollInput tells whether anything has come that is not read yet, the client's end too. It asks the system, whatever time it is:
// a wait of any length may be over before the first look on a busy machine.
func (c *clientConn) pollInput() bool {
	if c.reader.Buffered() > 0 || c.readAheadBuf.size > 0 || c.readAheadBuf.err != nil {
		return true
	}
	if c.receiver.raw == nil {
		return false
	}
	c.readAheadBuf.fill(c.receiver.poll)
	return c.readAheadBuf.size > 0 || c.readAheadBuf.err != nil
}

// closeGracefully ends the connection once all of its commands are answered. Closed over bytes that have come unread it would be reset,
// and a reset takes answers that the client has not read yet; so it ends its sending first, and passes over what still comes.
func (c *clientConn) closeGracefully() {
	c.discarding.Store(true)
	if tcp, ok := c.conn.(*net.TCPConn); ok && c.readAheadBuf.err == nil {
		tcp.CloseWrite()
		c.conn.SetReadDeadline(time.Now().Add(lingerTime))
		io.CopyN(io.Discard, c.conn, maxLingerBytes)
	}
	c.conn.Close()
}

// abortAnswer ends the sending short of an answer's length, so that the client can tell that it is not whole; the reader does the rest.
// No answer behind that one can reach the client any more: it is as gone.
func (c *clientConn) abortAnswer() {
	c.noMoreCommands.Store(true)
	c.markGone()
	if tcp, ok := c.conn.(*net.TCPConn); ok {
		tcp.CloseWrite()
	}
	c.interrupt()
}
