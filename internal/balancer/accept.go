package balancer

import (
	"errors"
	"net"
	"sync"
	"time"
)

// clients are the connections that clients hold.
type clients struct {
	mu     sync.Mutex
	all    map[*client]struct{}
	seated int // of these, served
	most   int // may be
	open   int // are accepted: some more, so that each gets a prompt answer instead of silence
	proven int // have carried a request and are not making room
	kept   int // of those, before idle ones make room
	shut   bool
	none   chan struct{} // closed once the listener is closed and all have left
	left   chan struct{} // one has left
}

// newClients bounds them by limit. Clients hold a third of the descriptors at most for requests: kept is to be a good part of
// that, so that a burst still finds some.
func newClients(kept int) *clients {
	return &clients{kept: kept, all: map[*client]struct{}{}, none: make(chan struct{}), left: make(chan struct{}, 1)}
}

// idleMost is how long a connection that has carried a request stands idle at the most, as the operators allow it: some
// clients ask once and never close, and hold connections that they could open elsewhere.
const idleMost = 2050 * time.Millisecond

// Over the bound connections make room before their time, but none before this:
const (
	// One that has carried no command was opened for one that follows at once; after this it says nothing.
	silentLeast = 40 * time.Millisecond
	// One that was answered just now often has its next command on the way: a few turns of the network, and of a client.
	idleLeast = 20 * time.Millisecond
	// One that has carried several is in use by turns: closing it would only have its client open another, which would
	// have the next one closed.
	reusedLeast = 500 * time.Millisecond
	// One within a command is a slow client's, who writes in pieces for two seconds, or will never end. Pieces come a good
	// part of a second apart at the most.
	stalledLeast = time.Second
)

// limit sets the bounds anew. What is open beyond them makes room as more come.
func (cs *clients) limit(most, open int) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.most, cs.open = most, open
}

// full tells that no more are accepted for now.
func (cs *clients) full() bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return len(cs.all) >= cs.open
}

// enter counts a connection in, and seats it if there is room.
func (cs *clients) enter(c *client) {
	cs.mu.Lock()
	cs.all[c] = struct{}{}
	cs.mu.Unlock()
	cs.room(c)
}

// room tells whether a connection is among those that are served; it is from the first time on that there is room. Where
// all places are taken one makes room: of those that have said nothing yet, or nothing of use, the oldest, else the one
// that is idle longest, else the one that has stopped within a command for longest. Where all are in use what comes is
// turned away for now. With none to serve one of all makes room for those that wait to be accepted.
func (cs *clients) room(c *client) bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if c != nil && (c.seated || cs.seated < cs.most) {
		cs.seat(c, true)
		return true
	}
	leaves := cs.first(func(o *client, _ stage) bool { return c == nil || o.seated })
	if leaves == nil {
		return false
	}
	cs.out(leaves)
	if c != nil {
		cs.seat(c, true)
	}
	return true
}

// proves hears that a connection carries a request. Clients may hold only so many connections for those, and some ask
// once and stay: where they hold nearly all, an idle one makes room, lest the next request finds none to come over.
func (cs *clients) proves(c *client) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if c.proven.Swap(true) {
		c.reused.Store(true)
	}
	if !c.counted {
		c.counted = true
		cs.proven++
	}
	for range 2 { // one for this one, and one of those that were not idle long enough before
		if cs.proven <= cs.kept {
			return
		}
		if o := cs.first(func(_ *client, at stage) bool { return at == idle }); o != nil {
			cs.out(o)
		}
	}
}

// first is the connection that makes room first of those that may.
func (cs *clients) first(may func(*client, stage) bool) (leaves *client) {
	now := time.Now()
	least, since := inHand, time.Time{}
	for o := range cs.all {
		at, from, after := o.at()
		if at < inHand && !o.outOfRoom.Load() && now.Sub(from) >= after && may(o, at) &&
			(at < least || at == least && from.Before(since)) {
			leaves, least, since = o, at, from
		}
	}
	return leaves
}

// out has a connection make room.
func (cs *clients) out(c *client) {
	c.outOfRoom.Store(true)
	c.interrupt()
	cs.uncount(c)
}

// uncount takes one out of all counts.
func (cs *clients) uncount(c *client) {
	cs.seat(c, false)
	if c.counted {
		c.counted = false
		cs.proven--
	}
}

func (cs *clients) seat(c *client, on bool) {
	if c.seated != on {
		c.seated = on
		if on {
			cs.seated++
		} else {
			cs.seated--
		}
	}
}

// stage is where a connection stands, in the order in which they make room.
type stage int

const (
	silent stage = iota
	idle
	within
	inHand
)

// at tells the stage, since when, and how long that is to be left alone.
func (c *client) at() (at stage, since time.Time, least time.Duration) {
	switch {
	case len(c.behind) > 0:
		return inHand, since, 0
	case c.within.Load():
		return within, c.lastRead(), stalledLeast
	}
	since, idles := c.idleFrom()
	switch {
	case !idles: // it changes over just now
		return inHand, since, 0
	case !c.proven.Load(): // nothing, or no request
		return silent, since, silentLeast
	}
	if c.reused.Load() {
		return idle, since, reusedLeast
	}
	return idle, since, idleLeast
}

func (cs *clients) leave(c *client) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	delete(cs.all, c)
	cs.uncount(c)
	select {
	case cs.left <- struct{}{}:
	default:
	}
	cs.tell()
}

// close says that no more will enter.
func (cs *clients) close() {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.shut = true
	cs.tell()
}

func (cs *clients) tell() {
	if cs.shut && len(cs.all) == 0 {
		close(cs.none)
	}
}

func (cs *clients) count() int {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return len(cs.all)
}

// endIdle interrupts the readers of all connections: those between requests close. One that has carried none yet
// was opened for one that is on its way, and is given a moment.
func (cs *clients) endIdle() {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for c := range cs.all {
		if c.used.Load() {
			c.interrupt()
		} else {
			c.net.SetReadDeadline(time.Now().Add(fresh))
		}
	}
}

// endAll ends all connections once what is in hand is answered: there is no time left to read on.
func (cs *clients) endAll() {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for c := range cs.all {
		c.over.Store(true)
		c.interrupt()
	}
}

// accept takes connections until the listener closes. A lack of descriptors passes: it is waited out.
func (b *Balancer) accept(listener net.Listener) {
	defer b.clients.close()
	b.acceptLoop(listener)
}

func (b *Balancer) acceptLoop(listener net.Listener) {
	wait := time.Millisecond
	queue := newAcceptQueue(listener, b.stalls, b.listening)
	for {
		for b.clients.full() {
			select {
			case <-b.clients.left:
			case <-time.After(20 * time.Millisecond):
				b.clients.room(nil) // for one of those that wait to be taken
			}
		}
		queue.accepts()
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			b.log.Warn().Err(err).Msg("accept")
			time.Sleep(wait)
			wait = min(2*wait, 100*time.Millisecond)
			continue
		}
		wait = time.Millisecond
		c := newClient(conn, b.stalls, queue.accepted())
		b.clients.enter(c)
		go b.serve(c)
	}
}
