package balancer

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"os"
	"time"

	"streamrail/internal/deadline"
	"streamrail/internal/memcache"
	"streamrail/internal/upstream"
	"streamrail/policy"
)

// serveClient reads the commands of one connection. Each request has a goroutine of its own, so that this one
// notices when the client closes the connection.
func (b *Balancer) serveClient(c *clientConn) {
	defer b.clients.remove(c)
	c.readAheadBuf.memory.budget = &b.memory
	defer c.readAheadBuf.release()
	for {
		for b.handleCommand(c) && b.currentPhase() <= Leaving {
		}
		if c.noMoreCommands.Load() || c.hasLeft() {
			break
		}
		// A client may send further commands for as long as an answer is owed.
		if answered := c.awaitInputOrAnswers(); answered && !c.pollInput() {
			break
		}
	}
	c.awaitAnswers() // answers to a client that has gone are not waited for
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
			return false
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
	started, admitted := false, b.inFlight.Add(1) <= b.maxInFlight.Load() && !c.outOfTime.Load() && b.clients.makeRoomFor(c)
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
	if streamed {
		fault = b.claimID(req)
		streamed = fault == nil
	}
	if streamed {
		req.upload = newUpload(req)
	} else if req.Write {
		terminated, err := req.readValue(admitted && fault == nil)
		switch {
		case err != nil && fault == nil && c.outOfTime.Load() && errors.Is(err, os.ErrDeadlineExceeded):
			return req.refuseAndStop()
		case err != nil:
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
	admitted = admitted && (streamed || !c.outOfTime.Load())
	if fault == nil && admitted && !streamed {
		fault = b.claimID(req)
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
