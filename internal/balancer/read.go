package balancer

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"streamrail/internal/deadline"
	"streamrail/internal/memcache"
	"streamrail/internal/stall"
	"streamrail/internal/upstream"
	"streamrail/policy"
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
// command it reads on until the command's deadline.
func (c *clientConn) Read(p []byte) (int, error) {
	n, arrivedAt, empty, err := c.readAheadBuf.take(p)
	if !empty {
		if n > 0 {
			c.lastReadNanos.Store(int64(arrivedAt.Sub(c.openedAt)))
			c.lastByteAt = arrivedAt
		}
		return n, err
	}
	n, arrivedAt, err = c.receiver.read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.inCommand.Load() && !c.evicted.Load() && !c.noMoreCommands.Load() && time.Now().Before(c.commandDeadline) {
		c.conn.SetReadDeadline(c.commandDeadline)
		n, arrivedAt, err = c.receiver.read(p)
	}
	if n > 0 {
		c.lastReadNanos.Store(int64(arrivedAt.Sub(c.openedAt)))
		c.lastByteAt = c.receiver.lastByteAt
	}
	return n, err
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

// applyIdleDeadline sets the read deadline for the next command.
func (c *clientConn) applyIdleDeadline(p Phase) { c.conn.SetReadDeadline(c.idleDeadline(p)) }

// idleDeadlinePassed reports whether the wait for the next command is over, as opposed to a read timeout while an answer was owed.
func (c *clientConn) idleDeadlinePassed() bool {
	return c.evicted.Load() || !time.Now().Before(c.idleDeadline(Serving))
}

// serveClient reads the commands of one connection. Each request has a goroutine of its own, so that this one
// notices when the client closes the connection.
func (b *Balancer) serveClient(c *clientConn) {
	defer b.clients.remove(c)
	c.readAheadBuf.memory.budget = &b.memory
	defer c.readAheadBuf.release()
	for {
		for b.handleCommand(c) && b.currentPhase() <= Leaving {
		}
		c.awaitAnswers() // requests in flight first; answers to a client that has gone are not waited for
		if c.noMoreCommands.Load() || c.hasLeft() || !c.pollInput() {
			break // otherwise what has arrived meanwhile is handled too
		}
	}
	c.closeGracefully()
}

// handleCommand handles the next command; false if no further one is to be read, for now or at all.
func (b *Balancer) handleCommand(c *clientConn) bool {
	if c.hasLeft() { // commands that it sent before are not started
		return c.stopCommands()
	}
	if !b.awaitCommand(c) {
		return false
	}
	req, fault, more := b.readCommand(c)
	if req == nil {
		return more
	}
	return b.admit(req, fault)
}

// awaitCommand waits until a command has begun to arrive; false if none follows.
func (b *Balancer) awaitCommand(c *clientConn) bool {
	c.inCommand.Store(false)
	c.applyIdleDeadline(b.currentPhase())
	c.noteIfIdle() // after applyIdleDeadline, which would undo an interrupt that follows once the connection counts as idle
	if b.currentPhase() >= Draining {
		c.applyIdleDeadline(Draining)
	}
	if c.noMoreCommands.Load() {
		return c.stopCommands()
	}
	_, err := c.reader.Peek(1)
	for errors.Is(err, os.ErrDeadlineExceeded) && b.currentPhase() <= Leaving && !c.idleDeadlinePassed() && !c.noMoreCommands.Load() {
		c.applyIdleDeadline(Serving)
		_, err = c.reader.Peek(1)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		// Interrupted without a check for input: closing now would lose a request that the kernel has accepted.
		if c.noMoreCommands.Load() || !c.pollInput() {
			return c.stopCommands()
		}
		_, err = c.reader.Peek(1)
	}
	if err != nil {
		return c.connectionLost(err)
	}
	return true
}

// readCommand reads the line of a command. A command that is not a request is answered here; then req is nil and more reports
// whether a further command may follow. A request is returned with its fault, if it has one.
func (b *Balancer) readCommand(c *clientConn) (req *clientRequest, fault *memcache.Fault, more bool) {
	c.inCommand.Store(true)
	c.commandDeadline = time.Now().Add(maxCommandTime)
	if !c.carriedCommand.Swap(true) {
		c.commandDeadline = c.openedAt.Add(maxFirstCommandWait)
	}
	c.conn.SetReadDeadline(c.commandDeadline)
	c.idleSinceNanos.Store(0)
	c.evicted.Store(false)
	line, err := c.reader.ReadSlice('\n')
	switch {
	case err == bufio.ErrBufferFull:
		return nil, nil, c.replyAndStop(memcache.LineTooLong.Line())
	case err != nil:
		return nil, nil, c.connectionLost(err)
	}
	line = bytes.TrimSuffix(line[:len(line)-1], []byte("\r"))
	req = &clientRequest{client: c, balancer: b, arrived: c.commandArrival(), memory: memoryReservation{budget: &b.memory}}
	req.Command, fault = memcache.Parse(append(req.line[:0], line...))
	switch {
	case fault == memcache.Quit:
		return nil, nil, c.stopCommands()
	case fault != nil && fault.OutOfSync:
		return nil, nil, c.replyAndStop(fault.Line())
	case req.Noop && b.currentPhase() == Serving && b.hasHostList.Load(): // a load balancer in front sends requests to balancers that answer so
		return nil, nil, c.writeReply(memcache.NoopAnswer)
	case req.Noop:
		return nil, nil, c.writeReply(memcache.NotServing)
	}
	return req, fault, true
}

// refuseAndStop answers a request of which nothing was sent to a host, and stops reading commands.
func (c *clientRequest) refuseAndStop() bool {
	_, text := c.unsentAnswer()
	return c.client.replyAndStop(text)
}

// admit reads a request's value, then either starts handling the request or answers it; false if no further command is to be read.
func (b *Balancer) admit(req *clientRequest, fault *memcache.Fault) bool {
	c := req.client
	if req.isLongWrite() && c.noMoreCommands.Load() { // reading was stopped before the value arrived
		return req.refuseAndStop()
	}
	started, admitted := false, b.inFlight.Add(1) <= b.maxInFlight.Load() && b.clients.makeRoomFor(c)
	defer func() {
		if !started {
			b.inFlight.Add(-1)
			req.memory.release()
		}
	}()
	if fault == nil {
		fault = b.resolveNames(req)
	}
	if fault == nil && admitted && req.Write {
		admitted = req.memory.reserve(clientValues, req.bufferBytes())
	}
	streamed := fault == nil && admitted && req.isLongWrite()
	if streamed && !b.claimID(req) {
		streamed, fault = false, memcache.IDInUse
	}
	if streamed {
		req.upload = newUpload(req)
	} else if req.Write {
		terminated, err := req.readValue(admitted && fault == nil)
		if err != nil {
			return c.connectionLost(err)
		}
		if !terminated {
			return c.replyAndStop(memcache.BadChunk.Line())
		}
		req.arrived = c.commandArrival()
	}
	if c.noMoreCommands.Load() && !streamed { // reading was stopped while the request was read: nothing is sent to hosts any more
		return req.refuseAndStop()
	}
	if fault == nil && admitted && !streamed && !b.claimID(req) {
		fault = memcache.IDInUse
	}
	if fault != nil {
		return c.writeReply(fault.Line())
	}
	b.clients.noteRequest(c)
	if !admitted {
		kind, text := req.unsentAnswer()
		written := c.writeReply(text)
		if written {
			b.answerStats.countAnswer(req.product, kind)
		}
		return written
	}
	started = true
	if !streamed { // its deadline follows from its last byte
		req.deadline = deadline.After(req.arrived, req.Timeout)
	}
	b.answerStats.unanswered.Add(1)
	req.previousAnswered, req.answered = c.lastAnswered, make(chan struct{})
	c.lastAnswered = req.answered
	select {
	case c.inFlight <- struct{}{}:
	default:
		c.watchForClose(func() { c.inFlight <- struct{}{} })
	}
	b.startRequest(req)
	if streamed {
		return req.upload.skipRemaining()
	}
	return true
}

// isLongWrite reports whether the request is a write whose value is passed on while it arrives.
func (c *clientRequest) isLongWrite() bool { return c.Write && c.Length > upstream.MaxBufferedBytes }

// bufferBytes returns how much memory a write's value takes in this process.
func (c *clientRequest) bufferBytes() int {
	if c.isLongWrite() {
		return upstream.StreamBufferBytes
	}
	return c.Length
}

// resolveNames looks up the product and the customer of a request by their names.
func (b *Balancer) resolveNames(req *clientRequest) *memcache.Fault {
	var known bool
	if req.product, known = b.deployment.Products[string(req.Product)]; !known {
		return memcache.UnknownProduct
	}
	if req.customer, known = b.deployment.Customers[string(req.Customer)]; !known && len(b.deployment.Customers) > 0 {
		return memcache.UnknownCustomer
	}
	if req.Write && len(req.DedupToken) == 0 && b.deployment.PolicyConfig.Products[req.product].Effect == policy.Deduplicated {
		return memcache.NoDedupToken // a host could not recognise a repeat of it
	}
	return nil
}

// idSet holds the ids that clients gave to their requests in flight.
type idSet struct {
	mu    sync.Mutex
	inUse map[string]struct{}
}

// claimID reserves the request's id; false if another request in flight has it. Hosts identify an attempt by that id, and would
// mistake one of the two for a repeat of the other.
func (b *Balancer) claimID(req *clientRequest) bool {
	b.requestIDs.mu.Lock()
	defer b.requestIDs.mu.Unlock()
	if _, taken := b.requestIDs.inUse[string(req.ID)]; taken {
		return false
	}
	b.requestIDs.inUse[string(req.ID)] = struct{}{}
	return true
}

// releaseID lets other requests use the id.
func (b *Balancer) releaseID(req *clientRequest) {
	b.requestIDs.mu.Lock()
	defer b.requestIDs.mu.Unlock()
	delete(b.requestIDs.inUse, string(req.ID))
}

// readValue reads a write's value, or discards it; terminated reports whether the line end follows it as it must.
func (c *clientRequest) readValue(keep bool) (terminated bool, err error) {
	in := c.client.reader
	c.client.extendValueDeadline()
	if !keep {
		if _, err = in.Discard(c.Length); err != nil {
			return false, err
		}
	} else {
		c.value = make([]byte, c.Length)
		if _, err = io.ReadFull(in, c.value); err != nil {
			return false, err
		}
	}
	var lineEnd [2]byte
	if _, err = io.ReadFull(in, lineEnd[:]); err != nil {
		return false, err
	}
	return string(lineEnd[:]) == "\r\n", nil
}

// connectionLost stops reading commands after a read error. Unless the error is a timeout the client counts as gone, and its requests are
// abandoned.
func (c *clientConn) connectionLost(err error) bool {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		c.readAheadBuf.err = err
		c.markGone()
	}
	return c.stopCommands()
}

// stopCommands records that no further command is handled. It returns false, for its callers to return.
func (c *clientConn) stopCommands() bool {
	c.noMoreCommands.Store(true)
	return false
}

// writeReply writes a reply that is not the answer of a request in flight, once the commands before it are answered.
func (c *clientConn) writeReply(text string) bool {
	c.awaitAnswers()
	c.conn.SetWriteDeadline(time.Now().Add(replyTimeout))
	_, err := io.WriteString(c.conn, text)
	return err == nil
}

// replyAndStop writes a last reply where the start of the next command cannot be found.
func (c *clientConn) replyAndStop(text string) bool {
	c.writeReply(text)
	return c.stopCommands()
}
