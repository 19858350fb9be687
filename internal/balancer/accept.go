package balancer

import (
	"errors"
	"net"
	"sync"
	"time"
)

// clientConns are the connections that clients hold.
type clientConns struct {
	mu          sync.Mutex
	conns       map[*clientConn]struct{}
	served      int // of these, served
	maxServed   int // may be
	maxAccepted int // are accepted: some more, so that each gets a prompt answer instead of silence
	active      int // have carried a request and are not making room
	maxActive   int // of those, before idle ones make room
	closed      bool
	allClosed   chan struct{} // closed once the listener is closed and all have left
	freed       chan struct{} // one has left
}

// newClientConns bounds them by limit. Clients hold a third of the descriptors at most for requests: kept is to be a good part of
// that, so that a burst still finds some.
func newClientConns(maxActive int) *clientConns {
	return &clientConns{maxActive: maxActive, conns: map[*clientConn]struct{}{}, allClosed: make(chan struct{}), freed: make(chan struct{}, 1)}
}

// maxIdleTime is how long a connection that has carried a request stands idle at the most, as the operators allow it: some
// clients ask once and never close, and hold connections that they could open elsewhere.
const maxIdleTime = 2050 * time.Millisecond

// Over the bound connections make room before their time, but none before this:
const (
	// One that has carried no command was opened for one that follows at once; after this it says nothing.
	minSilentTime = 40 * time.Millisecond
	// One that was answered just now often has its next command on the way: a few turns of the network, and of a client.
	minIdleTime = 20 * time.Millisecond
	// One that has carried several is in use by turns: closing it would only have its client open another, which would
	// have the next one closed.
	minReusedIdleTime = 500 * time.Millisecond
	// One within a command is a slow client's, who writes in pieces for two seconds, or will never end. Pieces come a good
	// part of a second apart at the most.
	minStalledTime = time.Second
)

// setLimits sets the bounds anew. What is open beyond them makes room as more come.
func (cs *clientConns) setLimits(maxServed, maxAccepted int) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.maxServed, cs.maxAccepted = maxServed, maxAccepted
}

// full tells that no more are accepted for now.
func (cs *clientConns) full() bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return len(cs.conns) >= cs.maxAccepted
}

// add counts a connection in, and seats it if there is room.
func (cs *clientConns) add(c *clientConn) {
	cs.mu.Lock()
	cs.conns[c] = struct{}{}
	cs.mu.Unlock()
	cs.makeRoomFor(c)
}

// makeRoomFor tells whether a connection is among those that are served; it is from the first time on that there is room. Where
// all places are taken one makes room: of those that have said nothing yet, or nothing of use, the oldest, else the one
// that is idle longest, else the one that has stopped within a command for longest. Where all are in use what comes is
// turned away for now. With none to serve one of all makes room for those that wait to be accepted.
func (cs *clientConns) makeRoomFor(c *clientConn) bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if c != nil && (c.served || cs.served < cs.maxServed) {
		cs.setServed(c, true)
		return true
	}
	candidate := cs.evictionCandidate(func(other *clientConn, _ connStage) bool { return c == nil || other.served })
	if candidate == nil {
		return false
	}
	cs.evict(candidate)
	if c != nil {
		cs.setServed(c, true)
	}
	return true
}

// noteRequest hears that a connection carries a request. Clients may hold only so many connections for those, and some ask
// once and stay: where they hold nearly all, an idle one makes room, lest the next request finds none to come over.
func (cs *clientConns) noteRequest(c *clientConn) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if c.carriedRequest.Swap(true) {
		c.carriedSeveral.Store(true)
	}
	if !c.countedActive {
		c.countedActive = true
		cs.active++
	}
	for range 2 { // one for this one, and one of those that were not idle long enough before
		if cs.active <= cs.maxActive {
			return
		}
		if candidate := cs.evictionCandidate(func(_ *clientConn, stage connStage) bool { return stage == stageIdle }); candidate != nil {
			cs.evict(candidate)
		}
	}
}

// evictionCandidate is the connection that makes room first of those that may.
func (cs *clientConns) evictionCandidate(eligible func(*clientConn, connStage) bool) (candidate *clientConn) {
	now := time.Now()
	firstStage, firstSince := stageInFlight, time.Time{}
	for conn := range cs.conns {
		stage, since, minTime := conn.stage()
		if stage < stageInFlight && !conn.evicted.Load() && now.Sub(since) >= minTime && eligible(conn, stage) &&
			(stage < firstStage || stage == firstStage && since.Before(firstSince)) {
			candidate, firstStage, firstSince = conn, stage, since
		}
	}
	return candidate
}

// evict has a connection make room.
func (cs *clientConns) evict(c *clientConn) {
	c.evicted.Store(true)
	c.interrupt()
	cs.uncount(c)
}

// uncount takes one out of all counts.
func (cs *clientConns) uncount(c *clientConn) {
	cs.setServed(c, false)
	if c.countedActive {
		c.countedActive = false
		cs.active--
	}
}

func (cs *clientConns) setServed(c *clientConn, served bool) {
	if c.served != served {
		c.served = served
		if served {
			cs.served++
		} else {
			cs.served--
		}
	}
}

// connStage is where a connection stands, in the order in which they make room.
type connStage int

const (
	stageSilent connStage = iota
	stageIdle
	stageInCommand
	stageInFlight
)

// stage tells the stage, since when, and how long that is to be left alone.
func (c *clientConn) stage() (at connStage, since time.Time, minTime time.Duration) {
	switch {
	case len(c.inFlight) > 0:
		return stageInFlight, since, 0
	case c.inCommand.Load():
		return stageInCommand, c.lastReadTime(), minStalledTime
	}
	since, isIdle := c.idleSince()
	switch {
	case !isIdle: // it changes over just now
		return stageInFlight, since, 0
	case !c.carriedRequest.Load(): // nothing, or no request
		return stageSilent, since, minSilentTime
	}
	if c.carriedSeveral.Load() {
		return stageIdle, since, minReusedIdleTime
	}
	return stageIdle, since, minIdleTime
}

func (cs *clientConns) remove(c *clientConn) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	delete(cs.conns, c)
	cs.uncount(c)
	select {
	case cs.freed <- struct{}{}:
	default:
	}
	cs.signalIfEmpty()
}

// close says that no more will enter.
func (cs *clientConns) close() {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.closed = true
	cs.signalIfEmpty()
}

func (cs *clientConns) signalIfEmpty() {
	if cs.closed && len(cs.conns) == 0 {
		close(cs.allClosed)
	}
}

func (cs *clientConns) count() int {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return len(cs.conns)
}

// closeIdle interrupts the readers of all connections: those between requests close. One that has carried none yet
// was opened for one that is on its way, and is given a moment.
func (cs *clientConns) closeIdle() {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for c := range cs.conns {
		if c.carriedCommand.Load() {
			c.interrupt()
		} else {
			c.conn.SetReadDeadline(time.Now().Add(unusedConnGrace))
		}
	}
}

// closeAll ends all connections once what is in hand is answered: there is no time left to read on.
func (cs *clientConns) closeAll() {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for c := range cs.conns {
		c.noMoreCommands.Store(true)
		c.interrupt()
	}
}

// accept takes connections until the listener closes. A lack of descriptors passes: it is waited out.
func (b *Balancer) accept(listener net.Listener) {
	defer b.clients.close()
	b.acceptLoop(listener)
}

func (b *Balancer) acceptLoop(listener net.Listener) {
	retryWait := time.Millisecond
	queue := newAcceptQueue(listener, b.stalls, b.listeningSince)
	for {
		for b.clients.full() {
			select {
			case <-b.clients.freed:
			case <-time.After(20 * time.Millisecond):
				b.clients.makeRoomFor(nil) // for one of those that wait to be taken
			}
		}
		queue.beforeAccept()
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			b.log.Warn().Err(err).Msg("accept")
			time.Sleep(retryWait)
			retryWait = min(2*retryWait, 100*time.Millisecond)
			continue
		}
		retryWait = time.Millisecond
		c := newClientConn(conn, b.stalls, queue.afterAccept())
		b.clients.add(c)
		go b.serveClient(c)
	}
}
