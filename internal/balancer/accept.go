package balancer

import (
	"errors"
	"net"
	"sync"
	"time"
)

// clientConns holds the open client connections, counts them against the limits and decides which ones are evicted.
type clientConns struct {
	mu          sync.Mutex
	conns       map[*clientConn]struct{}
	served      int // connections whose commands are served
	maxServed   int // limit on served
	maxAccepted int // limit on accepted connections; above maxServed, so that excess clients get a prompt answer instead of none
	active      int // connections that have carried a request and are not evicted
	maxActive   int // limit on active before idle connections are evicted
	closed      bool
	outOfTime   bool          // endService was called
	allClosed   chan struct{} // closed once the listener is closed and no connection is left
	freed       chan struct{} // receives a value when a connection is removed
}

// newClientConns returns an empty set; setLimits must be called before use. Clients hold at most a third of the file descriptors
// for requests. maxActive should be a large part of that third and leave some of it for bursts.
func newClientConns(maxActive int) *clientConns {
	return &clientConns{maxActive: maxActive, conns: map[*clientConn]struct{}{}, allClosed: make(chan struct{}), freed: make(chan struct{}, 1)}
}

// maxIdleTime bounds how long a connection that has carried a command may stay idle; the operators permit closing it then. Some
// clients send one request and never close, and so occupy connections that they could open to another balancer.
const maxIdleTime = 2050 * time.Millisecond

// Minimum time in a stage before a connection may be evicted when the limits are exceeded.
const (
	// For a connection that has carried no request. Clients open a connection to send a command at once.
	minSilentTime = 40 * time.Millisecond
	// For an idle connection that has carried one request. The next command is often on its way already: this covers a few
	// network round trips and the client's own processing.
	minIdleTime = 20 * time.Millisecond
	// For an idle connection that has carried several requests. It is in regular use: its client would open another one, which
	// would cause the next eviction.
	minReusedIdleTime = 500 * time.Millisecond
	// For a connection within a command. A slow client may write one in pieces for two seconds, with gaps below a second;
	// after a longer gap the rest will probably never arrive.
	minStalledTime = time.Second
)

// setLimits replaces the limits. Connections beyond them are evicted as new ones arrive.
func (cs *clientConns) setLimits(maxServed, maxAccepted int) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.maxServed, cs.maxAccepted = maxServed, maxAccepted
}

// full reports whether no further connection may be accepted for now.
func (cs *clientConns) full() bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return len(cs.conns) >= cs.maxAccepted
}

// add registers a connection, and marks it as served if there is room.
func (cs *clientConns) add(c *clientConn) {
	cs.mu.Lock()
	cs.conns[c] = struct{}{}
	c.outOfTime.Store(cs.outOfTime)
	cs.mu.Unlock()
	cs.makeRoomFor(c)
}

// makeRoomFor reports whether a connection is served. Once served it stays so until it is evicted. At the limit makeRoomFor evicts
// another connection: the oldest of those that have carried no request, else the one that has been idle longest, else the one that has
// stalled within a command for longest. If all are in use it returns false and the request is rate-limited. With c == nil
// it evicts any one connection, to make room for those that wait to be accepted.
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

// noteRequest records that a connection carries a request. Some clients send one request and keep the connection open; when
// active connections approach the number that clients can hold, idle ones are evicted so that the next request finds a free one.
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
	for range 2 { // one for this connection, and one that had not been idle long enough at an earlier call
		if cs.active <= cs.maxActive {
			return
		}
		if candidate := cs.evictionCandidate(func(_ *clientConn, stage connStage) bool { return stage == stageIdle }); candidate != nil {
			cs.evict(candidate)
		}
	}
}

// evictionCandidate returns the eligible connection to evict first: the one in the lowest stage, and among those the one that has been
// in it for longest; nil if there is none.
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

// evict interrupts a connection so that it closes, and removes it from the counts.
func (cs *clientConns) evict(c *clientConn) {
	c.evicted.Store(true)
	c.interrupt()
	cs.uncount(c)
}

// uncount removes a connection from the served and active counts.
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

// connStage is the state of a connection as eviction sees it, ordered from evicted first to never evicted.
type connStage int

const (
	stageSilent connStage = iota // has carried no request
	stageIdle
	stageInCommand
	stageInFlight
)

// stage returns the connection's stage, the time since which it has been in it, and the minimum time in it before eviction.
func (c *clientConn) stage() (at connStage, since time.Time, minTime time.Duration) {
	switch {
	case len(c.inFlight) > 0:
		return stageInFlight, since, 0
	case c.inCommand.Load():
		return stageInCommand, c.lastReadTime(), minStalledTime
	}
	since, isIdle := c.idleSince()
	switch {
	case !isIdle: // a command has just begun or ended
		return stageInFlight, since, 0
	case !c.carriedRequest.Load(): // no command, or none that was a request
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

// close records that no further connection will be added.
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

// closeIdle interrupts the readers of all connections, so that those between requests close. A connection that has carried no
// command yet was opened for one that is on its way; it gets unusedConnGrace to deliver it.
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

// endService makes every connection answer the commands that have arrived, without sending anything to hosts, and then close.
func (cs *clientConns) endService() {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.outOfTime = true
	for c := range cs.conns {
		c.outOfTime.Store(true)
		c.interrupt()
	}
}

// accept accepts connections until the listener closes. Other accept errors, such as a lack of file descriptors, are retried.
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
				b.clients.makeRoomFor(nil) // evict one for those that wait to be accepted
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
