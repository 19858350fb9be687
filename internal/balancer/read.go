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

// client is one connection of a client; its goroutine runs serve.
type client struct {
	net       net.Conn
	in        *bufio.Reader
	opened    time.Time
	readAt    atomic.Int64 // nanoseconds after opened, when the last bytes had arrived
	due       time.Time    // when the command that has begun must be whole
	within    atomic.Bool  // a command has begun to come
	used      atomic.Bool  // it has carried a command
	proven    atomic.Bool  // it has carried a request, if only one that was turned away
	reused    atomic.Bool  // it has carried several
	idleSince atomic.Int64 // nanoseconds after opened, and one; 0 while anything is in hand
	outOfRoom atomic.Bool  // it makes room for others
	seated    bool         // it is served; under the mu of clients
	counted   bool         // among the proven; the same
	receiver  *receiver
	lastByte  time.Time     // when the last byte that was read had arrived
	ahead     ahead         // read while the reader waited for something else
	over      atomic.Bool   // no further command is taken
	ended     atomic.Bool   // all is answered, and what still comes is passed over
	gone      chan struct{} // closed when the client has gone away
	goneOnce  sync.Once
	last      chan struct{} // closed when the last command is answered
	behind    chan struct{} // holds one for each request in hand
}

const (
	commandWait = 2500 * time.Millisecond // for the whole of a command
	firstWait   = 2500 * time.Millisecond // for the first one, from when the connection was opened
	mostBehind  = 32                      // requests of one connection in hand
)

// newClient serves a connection on which nothing had arrived at a moment.
func newClient(conn net.Conn, stalls *stall.Detector, emptyAt time.Time) *client {
	c := &client{net: conn, receiver: newReceiver(conn, stalls, emptyAt), opened: time.Now(), gone: make(chan struct{}), last: make(chan struct{}), behind: make(chan struct{}, mostBehind)}
	close(c.last)
	c.noteIdle(c.opened)
	c.in = bufio.NewReaderSize(c, memcache.MostLine)
	return c
}

// rests notes since when the connection stands idle, if it does.
func (c *client) rests() {
	if !c.within.Load() && len(c.behind) == 0 {
		c.noteIdle(time.Now())
	}
}

// noteIdle notes that the connection stands idle from a moment on.
func (c *client) noteIdle(at time.Time) { c.idleSince.Store(int64(at.Sub(c.opened)) + 1) }

// idleFrom tells since when the connection stands idle; false while anything is in hand.
func (c *client) idleFrom() (at time.Time, idle bool) {
	since := c.idleSince.Load()
	return c.opened.Add(time.Duration(since - 1)), since != 0
}

// interrupt ends the wait for the next command. A command that has begun to come is still read.
func (c *client) interrupt() {
	if !c.ended.Load() { // else its end would be cut short
		c.net.SetReadDeadline(longAgo)
	}
}

// Read notes when what it reads had arrived, and goes on with a command that has begun when the connection is woken.
func (c *client) Read(p []byte) (int, error) {
	n, at, none, err := c.ahead.take(p)
	if !none {
		if n > 0 {
			c.readAt.Store(int64(at.Sub(c.opened)))
			c.lastByte = at
		}
		return n, err
	}
	n, at, err = c.receiver.read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.within.Load() && !c.outOfRoom.Load() && !c.over.Load() && time.Now().Before(c.due) {
		c.net.SetReadDeadline(c.due)
		n, at, err = c.receiver.read(p)
	}
	if n > 0 {
		c.readAt.Store(int64(at.Sub(c.opened)))
		c.lastByte = c.receiver.lastByte
	}
	return n, err
}

// lastRead is when the last bytes had arrived, at the earliest: what stood unread for long arrived long ago.
func (c *client) lastRead() time.Time { return c.opened.Add(time.Duration(c.readAt.Load())) }

// arrival is when the last byte of the command in hand had arrived. Where others stand behind it, it may have come before them.
func (c *client) arrival() time.Time {
	if c.in.Buffered() == 0 {
		return c.lastByte
	}
	return c.lastRead()
}

// until tells when the next command must have begun to come; while an answer is due that moves on.
func (c *client) until(p Phase) time.Time {
	at, idle := c.idleFrom()
	switch {
	case p >= Draining:
		return time.Now().Add(fresh)
	case !c.used.Load():
		return c.opened.Add(firstWait)
	case !idle:
		return time.Now().Add(idleMost)
	}
	return at.Add(idleMost)
}

// awaits sets how long the next command may take to come.
func (c *client) awaits(p Phase) { c.net.SetReadDeadline(c.until(p)) }

// waited tells that the wait for the next command is over, not that an answer took long.
func (c *client) waited() bool { return c.outOfRoom.Load() || !time.Now().Before(c.until(Serving)) }

// serve reads the commands of one connection. Each request lives in a goroutine of its own, so that this one
// hears when the client goes away.
func (b *Balancer) serve(c *client) {
	defer b.clients.leave(c)
	c.ahead.b = b
	defer c.ahead.drop()
	for {
		for b.command(c) && b.in() <= Leaving {
		}
		c.awaitAnswered() // what is in hand first; the answers to a client that has gone are not waited for
		if c.over.Load() || c.hasLeft() || !c.look() {
			break // else what has come meanwhile is taken too
		}
	}
	c.finish()
}

// command takes the next command; false where none follows it for now, or ever.
func (b *Balancer) command(c *client) bool {
	if c.hasLeft() { // what it left behind is not begun
		return c.end()
	}
	if !b.awaitCommand(c) {
		return false
	}
	request, fault, more := b.readCommand(c)
	if request == nil {
		return more
	}
	return b.admit(request, fault)
}

// awaitCommand waits until a command has begun to come; false where none follows.
func (b *Balancer) awaitCommand(c *client) bool {
	c.within.Store(false)
	c.awaits(b.in())
	c.rests() // after that: who interrupts a connection at rest must not be overruled
	if b.in() >= Draining {
		c.awaits(Draining)
	}
	if c.over.Load() {
		return c.end()
	}
	_, err := c.in.Peek(1)
	for errors.Is(err, os.ErrDeadlineExceeded) && b.in() <= Leaving && !c.waited() && !c.over.Load() {
		c.awaits(Serving)
		_, err = c.in.Peek(1)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		// Woken without a look at what has come: closing now would lose a request that the machine has taken.
		if c.over.Load() || !c.look() {
			return c.end()
		}
		_, err = c.in.Peek(1)
	}
	if err != nil {
		return c.lost(err)
	}
	return true
}

// readCommand reads a command's line. What is no request is answered here: request is nil then, and more tells whether a further
// command may follow. A request comes with what is wrong with it, if anything.
func (b *Balancer) readCommand(c *client) (request *call, fault *memcache.Fault, more bool) {
	c.within.Store(true)
	c.due = time.Now().Add(commandWait)
	if !c.used.Swap(true) {
		c.due = c.opened.Add(firstWait)
	}
	c.net.SetReadDeadline(c.due)
	c.idleSince.Store(0)
	c.outOfRoom.Store(false)
	line, err := c.in.ReadSlice('\n')
	switch {
	case err == bufio.ErrBufferFull:
		return nil, nil, c.part(memcache.TooLong.Line())
	case err != nil:
		return nil, nil, c.lost(err)
	}
	line = bytes.TrimSuffix(line[:len(line)-1], []byte("\r"))
	request = &call{client: c, b: b, arrived: c.arrival()}
	request.Command, fault = memcache.Parse(append(request.line[:0], line...))
	switch {
	case fault == memcache.Quit:
		return nil, nil, c.end()
	case fault != nil && fault.Lost:
		return nil, nil, c.part(fault.Line())
	case request.Noop && b.in() == Serving && b.knows.Load(): // a front sends to who says so
		return nil, nil, c.say(memcache.Alive)
	case request.Noop:
		return nil, nil, c.say(memcache.NotServing)
	}
	return request, fault, true
}

// refuse answers a request that was not sent on, before the connection ends.
func (c *client) refuse() bool {
	c.say(string(memcache.AppendRateLimited(nil, 0)))
	return c.end()
}

// admit reads a request's value, admits the request or answers it, and starts its life; false where no command follows.
func (b *Balancer) admit(call *call, fault *memcache.Fault) bool {
	c := call.client
	if call.Write && call.Length > upstream.Whole && c.over.Load() { // ended before its value has come
		return c.refuse()
	}
	started, admitted := false, b.open.Add(1) <= b.mostInHand.Load() && b.clients.room(c)
	long := call.Write && fault == nil && call.Length > upstream.Whole
	room := call.Length
	if long {
		room = upstream.PieceBytes
	}
	admitted = admitted && (!call.Write || fault != nil || call.hold(room))
	defer func() {
		if !started {
			b.open.Add(-1)
			b.held.Add(-call.held.Load())
		}
	}()
	if long {
		fault = b.place(call)
	}
	if long = long && fault == nil && admitted && b.claim(call); long {
		call.upload = newUpload(call)
	} else if call.Write {
		whole, err := call.readValue(admitted && fault == nil)
		if err != nil {
			return c.lost(err)
		}
		if !whole {
			return c.part(memcache.BadChunk.Line())
		}
		call.arrived = c.arrival()
	}
	if c.over.Load() && !long { // ended while this was read: nothing is sent on any more
		return c.refuse()
	}
	if fault == nil {
		fault = b.place(call)
	}
	if fault == nil && admitted && !long && !b.claim(call) {
		fault = memcache.IDInHand
	}
	if fault != nil {
		return c.say(fault.Line())
	}
	b.clients.proves(c)
	if !admitted {
		said := c.say(string(memcache.AppendRateLimited(nil, 0)))
		if said {
			b.figures.answered(call.product, rateLimited)
		}
		return said
	}
	started = true
	if !long { // its deadline follows from its last byte
		call.deadline = deadline.After(call.arrived, call.Left)
	}
	b.figures.inHand.Add(1)
	call.turn, call.answered = c.last, make(chan struct{})
	c.last = call.answered
	select {
	case c.behind <- struct{}{}:
	default:
		c.listen(func() { c.behind <- struct{}{} })
	}
	b.start(call)
	if long {
		return call.upload.rest()
	}
	return true
}

// place finds the product and the customer by their names.
func (b *Balancer) place(c *call) *memcache.Fault {
	var known bool
	if c.product, known = b.told.Products[string(c.Product)]; !known {
		return memcache.UnknownProduct
	}
	if c.customer, known = b.told.Customers[string(c.Customer)]; !known && len(b.told.Customers) > 0 {
		return memcache.UnknownCustomer
	}
	if c.Write && len(c.Mark) == 0 && b.told.Terms.Products[c.product].Effect == policy.Deduplicated {
		return memcache.NoMark // a host could not tell its repeat
	}
	return nil
}

// claims are the ids that clients gave their requests in hand.
type claims struct {
	mu    sync.Mutex
	taken map[string]struct{}
}

// claim takes the call's id; false where another request in hand has it. Hosts know an attempt by that id, and would
// take one of two for the other's repeat.
func (b *Balancer) claim(c *call) bool {
	b.ids.mu.Lock()
	defer b.ids.mu.Unlock()
	if _, taken := b.ids.taken[string(c.ID)]; taken {
		return false
	}
	b.ids.taken[string(c.ID)] = struct{}{}
	return true
}

// unclaim leaves the call's id to others.
func (b *Balancer) unclaim(c *call) {
	b.ids.mu.Lock()
	defer b.ids.mu.Unlock()
	delete(b.ids.taken, string(c.ID))
}

// readValue reads a write's value, or passes over it; whole tells that its line end stands where it should.
func (c *call) readValue(keep bool) (whole bool, err error) {
	in := c.client.in
	c.client.patient()
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

// lost ends the connection. A client that has closed it has gone away, and with it what it asked for.
func (c *client) lost(err error) bool {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		c.ahead.end = err
		c.leaves()
	}
	return c.end()
}

// end says that no further command is taken.
func (c *client) end() bool {
	c.over.Store(true)
	return false
}

// say answers a command that is no request, in its turn.
func (c *client) say(text string) bool {
	c.awaitAnswered()
	c.net.SetWriteDeadline(time.Now().Add(replyWait))
	_, err := io.WriteString(c.net, text)
	return err == nil
}

// part says a last word where the next command cannot be made out.
func (c *client) part(text string) bool {
	c.say(text)
	return c.end()
}
