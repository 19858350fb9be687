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

// clientConn is one connection of a client; its goroutine runs serve.
type clientConn struct {
	conn            net.Conn
	reader          *bufio.Reader
	openedAt        time.Time
	lastReadNanos   atomic.Int64 // nanoseconds after opened, when the last bytes had arrived
	commandDeadline time.Time    // when the command that has begun must be whole
	inCommand       atomic.Bool  // a command has begun to come
	carriedCommand  atomic.Bool  // it has carried a command
	carriedRequest  atomic.Bool  // it has carried a request, if only one that was turned away
	carriedSeveral  atomic.Bool  // it has carried several
	idleSinceNanos  atomic.Int64 // nanoseconds after opened, and one; 0 while anything is in hand
	evicted         atomic.Bool  // it makes room for others
	served          bool         // it is served; under the mu of clients
	countedActive   bool         // among the proven; the same
	receiver        *receiver
	lastByteAt      time.Time       // when the last byte that was read had arrived
	readAheadBuf    readAheadBuffer // read while the reader waited for something else
	noMoreCommands  atomic.Bool     // no further command is taken
	discarding      atomic.Bool     // all is answered, and what still comes is passed over
	gone            chan struct{}   // closed when the client has gone away
	goneOnce        sync.Once
	lastAnswered    chan struct{} // closed when the last command is answered
	inFlight        chan struct{} // holds one for each request in hand
}

const (
	maxCommandTime      = 2500 * time.Millisecond // for the whole of a command
	maxFirstCommandWait = 2500 * time.Millisecond // for the first one, from when the connection was opened
	maxInFlightPerConn  = 32                      // requests of one connection in hand
)

// newClientConn serves a connection on which nothing had arrived at a moment.
func newClientConn(conn net.Conn, stalls *stall.Detector, emptyAt time.Time) *clientConn {
	c := &clientConn{conn: conn, receiver: newReceiver(conn, stalls, emptyAt), openedAt: time.Now(), gone: make(chan struct{}), lastAnswered: make(chan struct{}), inFlight: make(chan struct{}, maxInFlightPerConn)}
	close(c.lastAnswered)
	c.noteIdle(c.openedAt)
	c.reader = bufio.NewReaderSize(c, memcache.MaxLineBytes)
	return c
}

// noteIfIdle notes since when the connection stands idle, if it does.
func (c *clientConn) noteIfIdle() {
	if !c.inCommand.Load() && len(c.inFlight) == 0 {
		c.noteIdle(time.Now())
	}
}

// noteIdle notes that the connection stands idle from a moment on.
func (c *clientConn) noteIdle(at time.Time) { c.idleSinceNanos.Store(int64(at.Sub(c.openedAt)) + 1) }

// idleSinceNanos tells since when the connection stands idle; false while anything is in hand.
func (c *clientConn) idleSince() (at time.Time, idle bool) {
	since := c.idleSinceNanos.Load()
	return c.openedAt.Add(time.Duration(since - 1)), since != 0
}

// interrupt ends the wait for the next command. A command that has begun to come is still read.
func (c *clientConn) interrupt() {
	if !c.discarding.Load() { // else its end would be cut short
		c.conn.SetReadDeadline(pastDeadline)
	}
}

// Read notes when what it reads had arrived, and goes on with a command that has begun when the connection is woken.
func (c *clientConn) Read(p []byte) (int, error) {
	n, at, none, err := c.readAheadBuf.take(p)
	if !none {
		if n > 0 {
			c.lastReadNanos.Store(int64(at.Sub(c.openedAt)))
			c.lastByteAt = at
		}
		return n, err
	}
	n, at, err = c.receiver.read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.inCommand.Load() && !c.evicted.Load() && !c.noMoreCommands.Load() && time.Now().Before(c.commandDeadline) {
		c.conn.SetReadDeadline(c.commandDeadline)
		n, at, err = c.receiver.read(p)
	}
	if n > 0 {
		c.lastReadNanos.Store(int64(at.Sub(c.openedAt)))
		c.lastByteAt = c.receiver.lastByteAt
	}
	return n, err
}

// lastReadTime is when the last bytes had arrived, at the earliest: what stood unread for long arrived long ago.
func (c *clientConn) lastReadTime() time.Time {
	return c.openedAt.Add(time.Duration(c.lastReadNanos.Load()))
}

// commandArrival is when the last byte of the command in hand had arrived. Where others stand behind it, it may have come before them.
func (c *clientConn) commandArrival() time.Time {
	if c.reader.Buffered() == 0 {
		return c.lastByteAt
	}
	return c.lastReadTime()
}

// idleDeadline tells when the next command must have begun to come; while an answer is due that moves on.
func (c *clientConn) idleDeadline(p Phase) time.Time {
	at, idle := c.idleSince()
	switch {
	case p >= Draining:
		return time.Now().Add(unusedConnGrace)
	case !c.carriedCommand.Load():
		return c.openedAt.Add(maxFirstCommandWait)
	case !idle:
		return time.Now().Add(maxIdleTime)
	}
	return at.Add(maxIdleTime)
}

// applyIdleDeadline sets how long the next command may take to come.
func (c *clientConn) applyIdleDeadline(p Phase) { c.conn.SetReadDeadline(c.idleDeadline(p)) }

// idleDeadlinePassed tells that the wait for the next command is over, not that an answer took long.
func (c *clientConn) idleDeadlinePassed() bool {
	return c.evicted.Load() || !time.Now().Before(c.idleDeadline(Serving))
}

// serveClient reads the commands of one connection. Each request lives in a goroutine of its own, so that this one
// hears when the client goes away.
func (b *Balancer) serveClient(c *clientConn) {
	defer b.clients.remove(c)
	c.readAheadBuf.balancer = b
	defer c.readAheadBuf.release()
	for {
		for b.handleCommand(c) && b.currentPhase() <= Leaving {
		}
		c.awaitAnswers() // what is in hand first; the answers to a client that has gone are not waited for
		if c.noMoreCommands.Load() || c.hasLeft() || !c.pollInput() {
			break // else what has come meanwhile is taken too
		}
	}
	c.closeGracefully()
}

// handleCommand takes the next command; false where none follows it for now, or ever.
func (b *Balancer) handleCommand(c *clientConn) bool {
	if c.hasLeft() { // what it left behind is not begun
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

// awaitCommand waits until a command has begun to come; false where none follows.
func (b *Balancer) awaitCommand(c *clientConn) bool {
	c.inCommand.Store(false)
	c.applyIdleDeadline(b.currentPhase())
	c.noteIfIdle() // after that: who interrupts a connection at rest must not be overruled
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
		// Woken without a look at what has come: closing now would lose a request that the machine has taken.
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

// readCommand reads a command's line. What is no request is answered here: request is nil then, and more tells whether a further
// command may follow. A request comes with what is wrong with it, if anything.
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
	req = &clientRequest{client: c, balancer: b, arrived: c.commandArrival()}
	req.Command, fault = memcache.Parse(append(req.line[:0], line...))
	switch {
	case fault == memcache.Quit:
		return nil, nil, c.stopCommands()
	case fault != nil && fault.OutOfSync:
		return nil, nil, c.replyAndStop(fault.Line())
	case req.Noop && b.currentPhase() == Serving && b.hasHostList.Load(): // a front sends to who says so
		return nil, nil, c.writeReply(memcache.NoopAnswer)
	case req.Noop:
		return nil, nil, c.writeReply(memcache.NotServing)
	}
	return req, fault, true
}

// refuse answers a request that was not sent on, before the connection ends.
func (c *clientConn) refuse() bool {
	c.writeReply(string(memcache.AppendRateLimited(nil, 0)))
	return c.stopCommands()
}

// admit reads a request's value, admits the request or answers it, and starts its life; false where no command follows.
func (b *Balancer) admit(req *clientRequest, fault *memcache.Fault) bool {
	c := req.client
	if req.Write && req.Length > upstream.MaxBufferedBytes && c.noMoreCommands.Load() { // ended before its value has come
		return c.refuse()
	}
	started, admitted := false, b.inFlight.Add(1) <= b.maxInFlight.Load() && b.clients.makeRoomFor(c)
	long := req.Write && fault == nil && req.Length > upstream.MaxBufferedBytes
	room := req.Length
	if long {
		room = upstream.StreamBufferBytes
	}
	admitted = admitted && (!req.Write || fault != nil || req.reserveMemory(room))
	defer func() {
		if !started {
			b.inFlight.Add(-1)
			b.valueBytes.Add(-req.heldBytes.Load())
		}
	}()
	if long {
		fault = b.resolveNames(req)
	}
	if long = long && fault == nil && admitted && b.claimID(req); long {
		req.upload = newUpload(req)
	} else if req.Write {
		whole, err := req.readValue(admitted && fault == nil)
		if err != nil {
			return c.connectionLost(err)
		}
		if !whole {
			return c.replyAndStop(memcache.BadChunk.Line())
		}
		req.arrived = c.commandArrival()
	}
	if c.noMoreCommands.Load() && !long { // ended while this was read: nothing is sent on any more
		return c.refuse()
	}
	if fault == nil {
		fault = b.resolveNames(req)
	}
	if fault == nil && admitted && !long && !b.claimID(req) {
		fault = memcache.IDInUse
	}
	if fault != nil {
		return c.writeReply(fault.Line())
	}
	b.clients.noteRequest(c)
	if !admitted {
		said := c.writeReply(string(memcache.AppendRateLimited(nil, 0)))
		if said {
			b.answerStats.countAnswer(req.product, rateLimited)
		}
		return said
	}
	started = true
	if !long { // its deadline follows from its last byte
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
	if long {
		return req.upload.skipRemaining()
	}
	return true
}

// resolveNames finds the product and the customer by their names.
func (b *Balancer) resolveNames(c *clientRequest) *memcache.Fault {
	var known bool
	if c.product, known = b.deployment.Products[string(c.Product)]; !known {
		return memcache.UnknownProduct
	}
	if c.customer, known = b.deployment.Customers[string(c.Customer)]; !known && len(b.deployment.Customers) > 0 {
		return memcache.UnknownCustomer
	}
	if c.Write && len(c.DedupToken) == 0 && b.deployment.PolicyConfig.Products[c.product].Effect == policy.Deduplicated {
		return memcache.NoDedupToken // a host could not tell its repeat
	}
	return nil
}

// idSet are the ids that clients gave their requests in hand.
type idSet struct {
	mu    sync.Mutex
	inUse map[string]struct{}
}

// claimID takes the call's id; false where another request in hand has it. Hosts know an attempt by that id, and would
// take one of two for the other's repeat.
func (b *Balancer) claimID(c *clientRequest) bool {
	b.requestIDs.mu.Lock()
	defer b.requestIDs.mu.Unlock()
	if _, taken := b.requestIDs.inUse[string(c.ID)]; taken {
		return false
	}
	b.requestIDs.inUse[string(c.ID)] = struct{}{}
	return true
}

// releaseID leaves the call's id to others.
func (b *Balancer) releaseID(c *clientRequest) {
	b.requestIDs.mu.Lock()
	defer b.requestIDs.mu.Unlock()
	delete(b.requestIDs.inUse, string(c.ID))
}

// readValue reads a write's value, or passes over it; whole tells that its line end stands where it should.
func (c *clientRequest) readValue(keep bool) (whole bool, err error) {
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
	var end [2]byte
	if _, err = io.ReadFull(in, end[:]); err != nil {
		return false, err
	}
	return string(end[:]) == "\r\n", nil
}

// connectionLost ends the connection. A client that has closed it has gone away, and with it what it asked for.
func (c *clientConn) connectionLost(err error) bool {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		c.readAheadBuf.err = err
		c.markGone()
	}
	return c.stopCommands()
}

// stopCommands says that no further command is taken.
func (c *clientConn) stopCommands() bool {
	c.noMoreCommands.Store(true)
	return false
}

// writeReply answers a command that is no request, in its turn.
func (c *clientConn) writeReply(text string) bool {
	c.awaitAnswers()
	c.conn.SetWriteDeadline(time.Now().Add(replyTimeout))
	_, err := io.WriteString(c.conn, text)
	return err == nil
}

// replyAndStop says a last word where the next command cannot be made out.
func (c *clientConn) replyAndStop(text string) bool {
	c.writeReply(text)
	return c.stopCommands()
}
