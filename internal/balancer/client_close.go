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

// This file ends client connections, from either side. docs/notes/endings.md lists which answers are still owed in each case.

const (
	// A client goes on sending until it receives the end of the connection. For lingerTime, and up to maxLingerBytes, what it sends
	// is read and discarded. A client that has received the end closes the connection, which ends the wait.
	lingerTime     = 200 * time.Millisecond
	maxLingerBytes = 1 << 20
	// maxReadAheadBytes bounds what is read ahead of one connection while its reader waits for something else; it is enough for some
	// thousand requests. The limit on value memory bounds it too. If a client has sent more, its close is noticed only when the
	// reader gets there.
	maxReadAheadBytes   = 1 << 20
	readAheadChunkBytes = 4 << 10
	// chunkOverheadBytes is what a chunk takes beside its bytes: itself, in a list that has grown, and the rest of its allocation.
	chunkOverheadBytes = 128
)

// readAheadBuffer holds what was read from a connection while its reader was waiting for something else.
type readAheadBuffer struct {
	chunks []chunk
	size   int           // bytes in all chunks
	cost   int           // bytes that the chunks take in memory
	full   bool          // there was no memory for the last chunk
	filled chan struct{} // receives a value when input was read ahead
	err    error         // error or end of the stream behind the chunks
	memory memoryReservation
	mu     sync.Mutex // guards the connection's read deadline while another goroutine reads ahead
}

// chunk is the result of one read. A request's time counts from arrivedAt, however long the request waits in the buffer.
type chunk struct {
	bytes     []byte
	arrivedAt time.Time
}

// release drops the chunks and releases their memory.
func (a *readAheadBuffer) release() {
	a.memory.release()
	a.chunks, a.size, a.cost, a.full = nil, 0, 0, false
}

// take copies the oldest bytes of the buffer to p and returns when they had arrived. If empty is set, the connection itself must be read.
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

// markGone records that the client has closed or reset the connection. A client that has only shut down its sending side counts as
// gone too: the two cannot be distinguished by what is received.
func (c *clientConn) markGone() { c.goneOnce.Do(func() { close(c.gone) }) }

// hasLeft reports whether markGone was called.
func (c *clientConn) hasLeft() bool {
	select {
	case <-c.gone:
		return true
	default:
		return false
	}
}

// hasLeftNow is like hasLeft but also asks the system: the reader may not have noticed the close yet, because it is delayed or because
// other bytes come before it.
func (c *clientConn) hasLeftNow() bool {
	if !c.hasLeft() && c.receiver.peerClosed() {
		c.markGone()
	}
	return c.hasLeft()
}

// watchForClose runs wait, and meanwhile reads ahead to notice when the client closes the connection: then no attempt may begin for it
// any more, and attempts in flight are given up.
func (c *clientConn) watchForClose(wait func()) {
	waitDone, readerDone := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(readerDone)
		c.readAheadUntil(waitDone)
	}()
	wait()
	close(waitDone)
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

// awaitInputOrAnswers waits until the commands read so far are answered or there is further input, and reports whether they are answered.
func (c *clientConn) awaitInputOrAnswers() (answered bool) {
	select {
	case <-c.lastAnswered:
		return true
	case <-c.readAheadBuf.filled: // from an earlier wait
	default:
	}
	if c.hasBufferedInput() {
		return false
	}
	c.watchForClose(func() {
		select {
		case <-c.lastAnswered:
			answered = true
		case <-c.readAheadBuf.filled:
		case <-c.gone:
		}
	})
	return answered
}

// hasBufferedInput reports whether input has been read that no command has used yet.
func (c *clientConn) hasBufferedInput() bool {
	return c.reader.Buffered() > 0 || c.readAheadBuf.size > 0
}

var pastDeadline = time.Unix(1, 0)

// readAheadUntil reads into the buffer until done is closed, the stream ends or the buffer is full.
func (c *clientConn) readAheadUntil(done <-chan struct{}) {
	for c.readAheadBuf.cost < maxReadAheadBytes && !c.readAheadBuf.full && c.readAheadBuf.err == nil {
		c.readAheadBuf.mu.Lock()
		select {
		case <-done:
			c.readAheadBuf.mu.Unlock()
			return
		default:
		}
		c.conn.SetReadDeadline(time.Time{}) // an interrupt was meant for the reader, which checks its state itself when it is back
		c.readAheadBuf.mu.Unlock()
		mayReadOn := c.readAheadBuf.fill(c.receiver.read)
		if c.readAheadBuf.size > 0 {
			c.readAheadBuf.signalFilled()
		}
		if !mayReadOn {
			return
		}
		if c.readAheadBuf.err != nil {
			c.markGone()
		}
	}
}

// signalFilled tells awaitInputOrAnswers that there is input.
func (a *readAheadBuffer) signalFilled() {
	select {
	case a.filled <- struct{}{}:
	default:
	}
}

// fill does one read into the buffer; false if there is no memory for more until the buffer is empty again.
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
	a.cost += n + chunkOverheadBytes
	a.full = !a.memory.reserve(readAhead, n+chunkOverheadBytes)
	return !a.full
}

// pollInput reports whether there is unread input or the end of the stream. It asks the system without waiting and whatever the read
// deadline is: on a busy machine a wait of any length may expire before the first read.
func (c *clientConn) pollInput() bool {
	if c.hasBufferedInput() || c.readAheadBuf.err != nil {
		return true
	}
	c.readAheadBuf.fill(c.receiver.poll)
	return c.readAheadBuf.size > 0 || c.readAheadBuf.err != nil
}

// closeGracefully closes the connection once all of its commands are answered. Closing it with unread input would reset it, and a
// reset destroys answers that the client has not read yet; so it first shuts down the sending side and discards what still arrives.
func (c *clientConn) closeGracefully() {
	c.discarding.Store(true)
	if tcp, ok := c.conn.(*net.TCPConn); ok && c.readAheadBuf.err == nil {
		tcp.CloseWrite()
		c.conn.SetReadDeadline(time.Now().Add(lingerTime))
		io.CopyN(io.Discard, c.conn, maxLingerBytes)
	}
	c.conn.Close()
}

// abortAnswer shuts down the sending side before an answer is complete, so that the client can detect that it is truncated; the reader
// closes the connection. No later answer can reach the client, so it is marked as gone.
func (c *clientConn) abortAnswer() {
	c.noMoreCommands.Store(true)
	c.markGone()
	if tcp, ok := c.conn.(*net.TCPConn); ok {
		tcp.CloseWrite()
	}
	c.interrupt()
}
