package balancer

import (
	"bufio"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"streamrail/internal/memcache"
	"streamrail/internal/stall"
)

// clientConn is one client connection; its goroutine runs serveClient.
type clientConn struct {
	conn            net.Conn
	reader          *bufio.Reader
	openedAt        time.Time
	lastReadNanos   atomic.Int64 // arrival of the last bytes, in nanoseconds after openedAt
	commandDeadline time.Time    // when the command that has begun must be complete
	inCommand       atomic.Bool  // a command has begun to arrive and is not complete
	carriedCommand  atomic.Bool  // it has carried at least one command
	carriedRequest  atomic.Bool  // it has carried at least one request, even if that was rate-limited at once
	carriedSeveral  atomic.Bool  // it has carried several requests
	idleSinceNanos  atomic.Int64 // nanoseconds after openedAt plus one; 0 while a command or a request is in progress
	evicted         atomic.Bool  // it must close to make room for others
	served          bool         // its commands are served; guarded by clientConns.mu
	countedActive   bool         // it is included in clientConns.active; guarded by clientConns.mu
	receiver        *receiver
	lastByteAt      time.Time       // when the last byte that was read had arrived
	readAheadBuf    readAheadBuffer // what was read while the reader waited for something else
	noMoreCommands  atomic.Bool     // no further command is handled
	outOfTime       atomic.Bool     // the process ends: commands that have arrived are answered, and nothing is sent to hosts for them
	discarding      atomic.Bool     // everything is answered, and further input is discarded
	gone            chan struct{}   // closed when the client has closed the connection
	goneOnce        sync.Once
	lastAnswered    chan struct{} // closed when the last command is answered
	inFlight        chan struct{} // holds one value for each request in flight
}

const (
	maxCommandTime      = 2500 * time.Millisecond // for a whole command
	maxFirstCommandWait = 2500 * time.Millisecond // for the first command, counted from when the connection was opened
	maxInFlightPerConn  = 32                      // requests in flight of one connection
)

// newClientConn wraps a connection on which nothing had arrived at emptyAt.
func newClientConn(conn net.Conn, stalls *stall.Detector, emptyAt time.Time) *clientConn {
	c := &clientConn{conn: conn, receiver: newReceiver(conn, stalls, emptyAt), openedAt: time.Now(), gone: make(chan struct{}), lastAnswered: make(chan struct{}), inFlight: make(chan struct{}, maxInFlightPerConn)}
	c.readAheadBuf.filled = make(chan struct{}, 1)
	close(c.lastAnswered)
	c.noteIdle(c.openedAt)
	c.reader = bufio.NewReaderSize(c, memcache.MaxLineBytes)
	return c
}

// noteIfIdle records that the connection is idle from now on, if it is.
func (c *clientConn) noteIfIdle() {
	if !c.inCommand.Load() && len(c.inFlight) == 0 {
		c.noteIdle(time.Now())
	}
}

// noteIdle records that the connection is idle from a time on.
func (c *clientConn) noteIdle(at time.Time) { c.idleSinceNanos.Store(int64(at.Sub(c.openedAt)) + 1) }

// idleSince returns since when the connection has been idle; false while a command or a request is in progress.
func (c *clientConn) idleSince() (since time.Time, idle bool) {
	nanos := c.idleSinceNanos.Load()
	return c.openedAt.Add(time.Duration(nanos - 1)), nanos != 0
}

// interrupt ends the wait for the next command. A command that has begun to arrive is still read.
func (c *clientConn) interrupt() {
	if !c.discarding.Load() { // otherwise it would end the wait for the client to close
		c.conn.SetReadDeadline(pastDeadline)
	}
}

// Read reads from the read-ahead buffer, then from the connection, and records when the bytes had arrived. When it is interrupted within a
// command it reads on until the command's deadline. Out of time it reads only what has arrived.
func (c *clientConn) Read(p []byte) (int, error) {
	n, arrivedAt, empty, err := c.readAheadBuf.take(p)
	if !empty {
		if n > 0 {
			c.lastReadNanos.Store(int64(arrivedAt.Sub(c.openedAt)))
			c.lastByteAt = arrivedAt
		}
		return n, err
	}
	n, arrivedAt, err = c.receive(p)
	if n > 0 {
		c.lastReadNanos.Store(int64(arrivedAt.Sub(c.openedAt)))
		c.lastByteAt = c.receiver.lastByteAt
	}
	return n, err
}

// receive reads from the connection.
func (c *clientConn) receive(p []byte) (n int, arrivedAt time.Time, err error) {
	if !c.outOfTime.Load() {
		n, arrivedAt, err = c.receiver.read(p)
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, arrivedAt, err
		}
	}
	switch {
	case c.outOfTime.Load():
		return c.receiver.poll(p)
	case c.inCommand.Load() && !c.evicted.Load() && !c.noMoreCommands.Load() && time.Now().Before(c.commandDeadline):
		c.conn.SetReadDeadline(c.commandDeadline)
		return c.receiver.read(p)
	}
	return n, arrivedAt, err
}

// lastReadTime returns the earliest time at which the last bytes can have arrived; they may have waited unread.
func (c *clientConn) lastReadTime() time.Time {
	return c.openedAt.Add(time.Duration(c.lastReadNanos.Load()))
}

// commandArrival returns when the last byte of the present command had arrived. If further input is buffered behind it, that may have
// arrived later, so the earliest time of the read counts.
func (c *clientConn) commandArrival() time.Time {
	if c.reader.Buffered() == 0 {
		return c.lastByteAt
	}
	return c.lastReadTime()
}

// idleDeadline returns when the next command must have begun to arrive. While an answer is owed it moves on.
func (c *clientConn) idleDeadline(p Phase) time.Time {
	since, idle := c.idleSince()
	switch {
	case p >= Draining:
		return time.Now().Add(unusedConnGrace)
	case !c.carriedCommand.Load():
		return c.openedAt.Add(maxFirstCommandWait)
	case !idle:
		return time.Now().Add(maxIdleTime)
	}
	return since.Add(maxIdleTime)
}

// extendValueDeadline extends the read deadline for the next piece of a value. A client that stalls within a value is disconnected like
// one that stalls within a command's line.
func (c *clientConn) extendValueDeadline() {
	c.commandDeadline = time.Now().Add(maxCommandTime)
	c.conn.SetReadDeadline(c.commandDeadline)
}

// applyIdleDeadline sets the read deadline for the next command.
func (c *clientConn) applyIdleDeadline(p Phase) { c.conn.SetReadDeadline(c.idleDeadline(p)) }

// idleDeadlinePassed reports whether the wait for the next command is over, as opposed to a read timeout while an answer was owed.
func (c *clientConn) idleDeadlinePassed() bool {
	return c.evicted.Load() || !time.Now().Before(c.idleDeadline(Serving))
}
