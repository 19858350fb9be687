// Package pool manages the connections to cache hosts and the origin. It decides which connection an attempt uses, which attempts
// wait for one, when connections are opened (also ahead of need) and when they are retired. The caller reports each event to a
// Pool through a method, and the Pool acts by calling the Actions that it was created with. A Pool is not safe for concurrent
// use, has no clock and does no I/O. Choosing the host of an attempt and retrying are decided elsewhere.
package pool

import (
	"maps"
	"slices"

	"streamrail/policy"
)

type (
	Host    string // identifies a cache host or the origin
	Conn    uint64 // identifies a connection; assigned by the pool, never reused
	Attempt uint64 // identifies an attempt; assigned by the caller, never reused
)

// Reason states why a connection is closed or an attempt is refused.
type Reason int

const (
	Unknown             Reason = iota // the host is not known
	Leaving                           // the host drains, is gone or was replaced by another process
	LimitReached                      // the limit of the host or of the pool is reached and no connection comes free in time
	OpeningRateExceeded               // the rate of new connections to the host is used up
	Expired                           // the attempt's time is over
	ConnectFailed                     // the connection that the attempt waited for could not be opened
	Idle                              // idle for so long that the host may close the connection
	Age                               // the connection has reached its maximum age
	Surplus                           // more idle connections than were recently needed
	RoomNeeded                        // closed to make room for a connection to another host
	PoolClosed                        // the pool is closed
	LocalFault                        // this machine could not open a connection recently, because of a local fault
	EndedByHost                       // the host closed or reset the connection while it was idle
	UnexpectedData                    // the host sent data that belongs to no attempt
	Unfinished                        // the last attempt ended without a complete answer that was made for it
	NotKept                           // the last answer has no id, so a second one could not be told from the answer to a later attempt
	ReasonCount                       // number of reasons
)

func (w Reason) String() string {
	return [...]string{"unknown", "leaving", "full", "budget", "late", "no_connect", "idle", "age", "surplus", "room", "shut", "local",
		"host_ended", "unexpected_data", "unfinished", "not_kept"}[w]
}

// Actions are how a Pool acts; its user implements them. A call takes effect at once and must not call back into the Pool.
type Actions interface {
	Open(h Host, c Conn)          // dials; the result is reported by Opened, Failed or FailedLocally
	Send(c Conn, a Attempt)       // sends the attempt over the connection; its end is reported by Freed or Closed
	Close(c Conn, why Reason)     // closes an idle connection or one being opened; nothing is reported back
	Refuse(a Attempt, why Reason) // ends the attempt without sending it
}

// Reuse is the order in which idle connections are used.
type Reuse int

const (
	LongestIdle Reuse = iota // the one idle longest: a close by the host has been noticed by then
	LastUsed                 // the one used last: the others reach their idle limit
)

// Config configures a Pool. Zero turns a limit or feature off, but a zero MaxConnections allows no connections.
type Config struct {
	Balancers             int          // balancers that share the hosts without coordinating; 0 counts as 1
	MaxConnections        int          // maximum connections of this pool
	HostMaxConnections    int          // maximum connections that a host accepts from all balancers together
	OpeningsPerSecond     float64      // new connections per second that a host tolerates from all balancers together
	ColdOpeningsPerSecond float64      // the same while the host is cold; 0: as OpeningsPerSecond
	ColdFor               policy.Nanos // how long a host counts as cold after its start
	IdleTimeout           policy.Nanos // idle time after which a host closes a connection
	MaxAge                policy.Nanos // age at which a connection is retired
	Reuse                 Reuse
	MaxWaitFraction       float64      // fraction of an attempt's remaining time that it may wait for a connection in use; 0: it does not wait
	AheadDeviations       float64      // connections kept beyond the mean demand, in standard deviations of it; 0: none are opened ahead
	ShrinkInterval        policy.Nanos // interval at which connections idle throughout are closed; 0: kept until IdleTimeout
}

// Pool holds the state of all connections and waiting attempts.
type Pool struct {
	actions       Actions
	config        Config
	random        func() float64 // random source in [0, 1)
	hosts         map[Host]*host
	conns         map[Conn]*conn
	waiting       map[Attempt]*waiter
	lastID        Conn
	openCount     int // connections, including those being opened
	idleCount     int // idle connections
	cachedMean    meanDemand
	closed        bool
	limitHits     map[Host]int // refused attempts per host since the last call of TakeLimitHits
	openingsShare float64      // fraction of a host's openings set by SetOpeningsShare; 0: an equal share
	backoff       backoff
}

type host struct {
	id             Host
	startedAt      policy.Nanos
	leaving        bool
	processEpoch   int     // counts the host's processes: connections to an earlier one are not reused
	idle           []*conn // idle connections, the longest idle first
	open           int     // connections that are idle, in use or being opened
	opening        int
	queue          []*waiter // in order of arrival
	openingsWanted int       // openings that attempts asked for since the last call of OpeningsNeed
	tokens         float64
	tokensAt       policy.Nanos
	fixedLimit     int  // limit on connections given to HostUp; 0: none
	singleUse      bool // set by UseOnce
	learnedLimit   int  // limit on connections learned from rejections; 0: none
	learnedLimitAt policy.Nanos
	demand         demand
	minIdle        int // lowest number of idle connections since shrunkAt
	shrunkAt       policy.Nanos
}

type phase int

const (
	opening phase = iota
	inUse
	idle
)

type conn struct {
	id           Conn
	host         *host
	processEpoch int
	phase        phase
	openedAt     policy.Nanos // when it opened
	phaseSince   policy.Nanos // when it entered its phase
	retireJitter float64      // random offset in [0, 1) that spreads retirement
	uses         int          // number of attempts sent over it
	openedFor    *waiter      // while opening: the attempt that it is opened for; nil: opened ahead
}

type waiter struct {
	attempt  Attempt
	host     *host
	expires  policy.Nanos
	refuseAt policy.Nanos // when to refuse it if it still waits for a connection in use; 0: a connection is opened for it
	opening  *conn        // the connection being opened for it
}

// New creates an empty pool. The function random returns numbers in [0, 1).
func New(actions Actions, config Config, random func() float64) *Pool {
	config.Balancers = max(1, config.Balancers)
	return &Pool{actions: actions, config: config, random: random, hosts: map[Host]*host{}, conns: map[Conn]*conn{},
		waiting: map[Attempt]*waiter{}, limitHits: map[Host]int{}}
}

// HostUp reports that a host accepts attempts. Its process started at startedAt, 0 if that is long ago. A different start time or a
// moved address means another process, so connections to the earlier one are not reused. If limit is not 0, it limits the
// connections to this host.
func (p *Pool) HostUp(now policy.Nanos, id Host, startedAt policy.Nanos, moved bool, limit int) {
	h := p.hosts[id]
	if h == nil {
		h = &host{id: id, startedAt: startedAt, fixedLimit: limit, tokensAt: now, shrunkAt: now}
		h.tokens = p.openingBurst(h, now)
		p.hosts[id] = h
		return
	}
	h.leaving = false // before connections are closed, which removes a leaving host
	if h.startedAt != startedAt || moved {
		h.processEpoch++
		h.startedAt, h.learnedLimit, h.demand = startedAt, 0, demand{}
		h.tokens, h.tokensAt = min(h.tokens, p.openingBurst(h, now)), now
		p.clear(h, Leaving)
		p.serveQueue(now, h)
	}
}

// SetMaxConnections changes the maximum number of connections. Connections beyond it are closed as they come free.
func (p *Pool) SetMaxConnections(limit int) { p.config.MaxConnections = limit }

// HostLeaving reports that a host drains or is gone: no further attempt is sent over its connections.
func (p *Pool) HostLeaving(id Host) {
	h := p.hosts[id]
	if h == nil {
		return
	}
	h.leaving = true
	p.clear(h, Leaving)
	for len(h.queue) > 0 {
		p.refuse(h.queue[0], Leaving)
	}
	p.removeIfUnused(h)
}

// clear closes the idle connections of a host and those being opened ahead.
func (p *Pool) clear(h *host, why Reason) {
	for len(h.idle) > 0 {
		p.close(h.idle[0], why)
	}
	for c := p.openingSpare(h); c != nil; c = p.openingSpare(h) {
		p.close(c, why)
	}
}

// removeIfUnused removes a leaving host once it has no connections and no waiting attempts.
func (p *Pool) removeIfUnused(h *host) {
	if h.leaving && h.open == 0 && len(h.queue) == 0 && p.hosts[h.id] == h {
		delete(p.hosts, h.id)
		delete(p.limitHits, h.id)
	}
}

// Checkout requests a connection for an attempt that is useless once it expires. The attempt is sent or refused, now or later.
func (p *Pool) Checkout(now policy.Nanos, id Host, a Attempt, expires policy.Nanos) {
	h := p.hosts[id]
	switch {
	case p.closed:
		p.actions.Refuse(a, PoolClosed)
		return
	case h == nil:
		p.actions.Refuse(a, Unknown)
		return
	case h.leaving:
		p.actions.Refuse(a, Leaving)
		return
	case now >= expires:
		p.actions.Refuse(a, Expired)
		return
	}
	h.demand.recordAttempt(now)
	if c := p.idleConn(now, h); c != nil {
		p.assign(now, c, a)
		p.openSpares(now, h)
		return
	}
	w := &waiter{attempt: a, host: h, expires: expires}
	if c := p.openingSpare(h); c != nil && h.singleUse {
		w.opening, c.openedFor = c, w
		p.enqueue(w)
		p.openSpares(now, h)
		return
	}
	why := p.makeRoom(now, h)
	if why != Unknown && !p.mayWait(now, h, w) {
		p.limitHits[id]++
		p.actions.Refuse(a, why)
		return
	}
	if why != Unknown {
		w.refuseAt = now + policy.Nanos(p.config.MaxWaitFraction*float64(expires-now))
	}
	p.enqueue(w)
	if why == Unknown {
		w.opening = p.startOpening(now, h, w)
		p.openSpares(now, h)
	}
}

// idleConn returns the idle connection to use next and closes those that are due to retire; nil if none is left.
func (p *Pool) idleConn(now policy.Nanos, h *host) *conn {
	for len(h.idle) > 0 {
		c := h.idle[0]
		if p.config.Reuse == LastUsed {
			c = h.idle[len(h.idle)-1]
		}
		if why, retire := p.mustRetire(now, c); retire {
			p.close(c, why)
			continue
		}
		return c
	}
	return nil
}

// mayWait reports whether an attempt may wait for a connection in use. The expected wait follows from the recent time that attempts
// hold a connection and from the attempts that wait already.
func (p *Pool) mayWait(now policy.Nanos, h *host, w *waiter) bool {
	busy := h.open - h.opening - len(h.idle)
	if p.config.MaxWaitFraction <= 0 || busy <= 0 || len(h.queue) >= maxQueue(busy) {
		return false
	}
	expected := float64(len(h.queue)+1) / float64(busy) * h.demand.meanHold()
	return expected <= p.config.MaxWaitFraction*float64(w.expires-now)
}

// maxQueue limits the attempts that wait for connections in use. More than two for each connection would not be served within
// any latency target.
func maxQueue(busy int) int { return 2 * busy }

// assign assigns an attempt to a connection.
func (p *Pool) assign(now policy.Nanos, c *conn, a Attempt) {
	if c.phase == idle {
		p.removeIdle(c)
	}
	c.phase, c.phaseSince = inUse, now
	c.uses++
	p.actions.Send(c.id, a)
}

func (p *Pool) removeIdle(c *conn) {
	h := c.host
	if i := slices.Index(h.idle, c); i >= 0 {
		h.idle = slices.Delete(h.idle, i, i+1)
		p.idleCount--
	}
	h.minIdle = min(h.minIdle, len(h.idle))
}

// startOpening starts opening a connection, for a waiting attempt or, with nil, ahead of need.
func (p *Pool) startOpening(now policy.Nanos, h *host, w *waiter) *conn {
	p.lastID++
	c := &conn{id: p.lastID, host: h, processEpoch: h.processEpoch, phaseSince: now, retireJitter: p.random(), openedFor: w}
	p.conns[c.id] = c
	p.openCount++
	h.open++
	h.opening++
	p.spendToken(now, h)
	p.actions.Open(h.id, c.id)
	return c
}

// Opened reports that a connection was established.
func (p *Pool) Opened(now policy.Nanos, id Conn) {
	c := p.conns[id]
	if c == nil || c.phase != opening {
		return
	}
	h := c.host
	h.opening--
	c.openedAt, c.phaseSince, c.phase = now, now, inUse
	p.backoff = backoff{}
	if w := c.openedFor; w != nil {
		w.opening, c.openedFor = nil, nil
		// The first waiting attempt gets this connection. If that is another attempt, the two swap the connections opened for them.
		if first := h.queue[0]; first != w {
			w.opening, first.opening = first.opening, nil
			if w.opening != nil {
				w.opening.openedFor = w
			}
		}
	}
	p.reuseOrClose(now, c)
}

// reuseOrClose gives a free connection to the first waiting attempt that still has time. Without one the connection becomes idle or is
// closed.
func (p *Pool) reuseOrClose(now policy.Nanos, c *conn) {
	h := c.host
	if p.closed || h.leaving || c.processEpoch != h.processEpoch {
		p.close(c, Leaving)
		p.serveQueue(now, h)
		return
	}
	if why, retire := p.mustRetire(now, c); retire && len(h.queue) == 0 {
		p.close(c, why)
		return
	}
	for len(h.queue) > 0 {
		w := h.queue[0]
		if now >= w.expires {
			p.refuse(w, Expired)
			continue
		}
		p.dequeue(w)
		p.assign(now, c, w.attempt)
		return
	}
	if p.connectionLimit(h) < h.open {
		p.close(c, LimitReached)
		return
	}
	c.phase, c.phaseSince = idle, now
	h.idle = append(h.idle, c)
	p.idleCount++
}

// enqueue adds an attempt to the queue of its host.
func (p *Pool) enqueue(w *waiter) {
	w.host.queue = append(w.host.queue, w)
	p.waiting[w.attempt] = w
}

// dequeue removes an attempt from the queue. A connection being opened for it passes to the next waiting attempt that has none being
// opened.
func (p *Pool) dequeue(w *waiter) {
	h := w.host
	delete(p.waiting, w.attempt)
	i := slices.Index(h.queue, w)
	h.queue = slices.Delete(h.queue, i, i+1)
	c := w.opening
	if c == nil {
		return
	}
	w.opening, c.openedFor = nil, nil
	for _, o := range h.queue {
		if o.opening == nil {
			o.opening, c.openedFor = c, o
			return
		}
	}
}

func (p *Pool) refuse(w *waiter, why Reason) {
	p.dequeue(w)
	p.actions.Refuse(w.attempt, why)
}

// GiveUp cancels an attempt that still waits. It returns true if the attempt was waiting and so will not be sent.
func (p *Pool) GiveUp(a Attempt) bool {
	w := p.waiting[a]
	if w == nil {
		return false
	}
	p.dequeue(w)
	p.removeIfUnused(w.host)
	return true
}

// Freed reports that the attempt on a connection has ended and that the connection can be reused.
func (p *Pool) Freed(now policy.Nanos, id Conn) {
	c := p.conns[id]
	if c == nil || c.phase != inUse {
		return
	}
	c.host.demand.recordHold(now, now-c.phaseSince)
	p.reuseOrClose(now, c)
}

// Failed reports that a connection could not be opened. The attempt that it was opened for is refused: the host may be down.
func (p *Pool) Failed(now policy.Nanos, id Conn) { p.openingFailed(now, id, ConnectFailed) }

func (p *Pool) openingFailed(now policy.Nanos, id Conn, why Reason) {
	c := p.conns[id]
	if c == nil {
		return
	}
	w := c.openedFor
	c.openedFor = nil
	p.remove(c)
	if w != nil {
		w.opening = nil
		p.refuse(w, why)
	}
	p.serveQueue(now, c.host)
	p.removeIfUnused(c.host)
}

// Closed reports that a connection has ended: with its attempt, by the host while idle, or after a fault.
func (p *Pool) Closed(now policy.Nanos, id Conn) {
	c := p.conns[id]
	if c == nil {
		return
	}
	if c.phase == inUse {
		c.host.demand.recordHold(now, now-c.phaseSince)
	}
	p.remove(c)
	p.serveQueue(now, c.host)
	p.removeIfUnused(c.host)
}

// Rejected reports that a host turned away an attempt or reset its connection. If it was the first attempt on a new connection, the
// host may have too many connections: its limit is lowered and then grows again slowly. Where every attempt is the first one, that tells
// nothing about connections.
func (p *Pool) Rejected(now policy.Nanos, id Conn) {
	c := p.conns[id]
	if c == nil || c.uses > 1 || c.host.singleUse || p.config.HostMaxConnections == 0 {
		return
	}
	h := c.host
	h.learnedLimit, h.learnedLimitAt = max(1, min(p.connectionLimit(h), h.open)-1), now
}

// serveQueue handles the waiting attempts of a host after one of its connections has ended. It opens a connection for the first
// attempt that has none being opened. If that is not allowed and no connection can come free, it refuses the attempts, which
// would otherwise wait until their time is over.
func (p *Pool) serveQueue(now policy.Nanos, h *host) {
	for _, w := range slices.Clone(h.queue) {
		if w.opening != nil {
			continue
		}
		why := p.makeRoom(now, h)
		if why == Unknown {
			w.opening = p.startOpening(now, h, w)
			return
		}
		if h.open > len(h.idle) { // some connections are in use or being opened
			return
		}
		p.refuse(w, why)
	}
}

// remove removes a connection from the pool and from all counts.
func (p *Pool) remove(c *conn) {
	switch c.phase {
	case idle:
		p.removeIdle(c)
	case opening:
		c.host.opening--
	}
	if w := c.openedFor; w != nil {
		w.opening, c.openedFor = nil, nil
	}
	delete(p.conns, c.id)
	c.host.open--
	p.openCount--
}

func (p *Pool) close(c *conn, why Reason) {
	p.remove(c)
	p.actions.Close(c.id, why)
	p.removeIfUnused(c.host)
}

// Close closes the idle connections, refuses the waiting attempts and refuses all attempts from now on.
func (p *Pool) Close() {
	p.closed = true
	for _, id := range p.activeHosts() {
		h := p.hosts[id]
		for len(h.queue) > 0 {
			p.refuse(h.queue[0], PoolClosed)
		}
		p.clear(h, PoolClosed)
	}
}

// activeHosts returns, in order, the hosts that need periodic work, so that results do not depend on map order. Hosts that have neither
// connections nor waiting attempts are skipped unless connections are opened ahead, so that many unused hosts cost nothing.
func (p *Pool) activeHosts() []Host {
	ids := make([]Host, 0, p.openCount+len(p.waiting))
	if p.config.AheadDeviations > 0 {
		ids = slices.AppendSeq(ids, maps.Keys(p.hosts))
	} else {
		for _, c := range p.conns {
			if p.hosts[c.host.id] == c.host {
				ids = append(ids, c.host.id)
			}
		}
		for _, w := range p.waiting {
			ids = append(ids, w.host.id)
		}
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}

// Open returns the number of connections, including those being opened.
func (p *Pool) Open() int { return p.openCount }

// TakeLimitHits returns, by host, how many attempts could neither get a connection nor wait for one, and resets the counts.
func (p *Pool) TakeLimitHits() map[Host]int {
	hits := p.limitHits
	p.limitHits = map[Host]int{}
	return hits
}
