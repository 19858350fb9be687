// Package pool decides over the connections to cache hosts: which one carries the next attempt, when one is opened and
// ahead of what need, which attempt waits for one, when one is retired. A Pool is told what happens by one method for each
// thing and acts by calling the Orders it was made with. It is not safe for concurrent use, keeps no clock and does no
// I/O; which host an attempt goes to, and whether it is tried again, is decided elsewhere.
package pool

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"streamrail/policy"
)

type (
	Host    string // a cache host, or the origin
	Conn    uint64 // given out by the pool, never twice
	Attempt uint64 // given out by the caller, never twice
)

// Why is the reason of an order that ends something.
type Why int

const (
	Unknown   Why = iota // no such host
	Leaving              // the host drains, is gone or is another process now
	Full                 // the bound on its connections, or on all, is reached and none comes free in time
	Budget               // it may not be opened another connection just now
	Late                 // the attempt's time is over, or would be
	NoConnect            // the connection that it waited for did not come up
	Idle                 // at rest for so long that the host may close it
	Age                  // open for long enough
	Surplus              // more than the last while needed
	Room                 // another host's attempt needs its place
	Shut                 // the pool is closed
	Local                // this machine cannot open connections just now
)

func (w Why) String() string {
	return [...]string{"unknown", "leaving", "full", "budget", "late", "no_connect", "idle", "age", "surplus", "room", "shut", "local"}[w]
}

// Orders is all that a Pool can do. A call to it takes effect at once and must not call back.
type Orders interface {
	Open(h Host, c Conn)       // dial; Opened or Failed answers
	Carry(c Conn, s Attempt)   // the attempt goes over the connection now; Freed or Closed answers
	Close(c Conn, why Why)     // it is at rest or still being opened; nothing answers
	Refuse(s Attempt, why Why) // the attempt is not sent
}

// Reuse is the order in which connections at rest are used.
type Reuse int

const (
	Longest Reuse = iota // the one at rest longest: a close by the host has been heard by then
	Last                 // the one used last: the rest age out
)

// Terms fix a pool. Zero values bound nothing and open nothing ahead.
type Terms struct {
	Balancers    int          // that share the hosts, with nothing said between them; 0 counts as 1
	Most         int          // connections in all
	HostMost     int          // that a host takes from all balancers
	Openings     float64      // a second that a host bears from all balancers
	ColdOpenings float64      // the same while it is cold; 0: as ever
	ColdFor      policy.Nanos // since its start
	Idle         policy.Nanos // after which a host closes a connection at rest
	Age          policy.Nanos // after which one is retired
	Reuse        Reuse
	Wait         float64      // part of an attempt's remaining time that it may wait for one that is in use; 0: none
	Ahead        float64      // connections kept beyond the mean need, in standard deviations of it; 0: none are opened ahead
	Shrink       policy.Nanos // what was at rest for so long is surplus; 0: kept until idle
}

// Pool holds what is known of all connections.
type Pool struct {
	orders  Orders
	terms   Terms
	chance  func() float64 // in [0, 1)
	hosts   map[Host]*host
	conns   map[Conn]*conn
	waiting map[Attempt]*waiter
	last    Conn
	open    int // with those that are being opened
	resting int // of these, at rest
	typical typicalNeed
	shut    bool
	bound   map[Host]int // how often a bound held since it was last asked
	part    float64      // of all openings, as told; 0: an equal one
	backoff backoff
}

type host struct {
	id       Host
	born     policy.Nanos
	leaving  bool
	process  int     // counts the processes at this name: connections of an old one are not used again
	rest     []*conn // in the order in which they came to rest
	open     int     // with those at rest, in use and being opened
	opening  int
	queue    []*waiter // in the order of their coming
	wanted   int       // openings, since it was last asked
	tokens   float64
	tokensAt policy.Nanos
	fixed    int // told with it; 0: not
	most     int // learned from the host; 0: not
	mostAt   policy.Nanos
	need     need
	fewest   int // at rest since lookedAt
	lookedAt policy.Nanos
}

type phase int

const (
	opening phase = iota
	inUse
	atRest
)

type conn struct {
	id      Conn
	host    *host
	process int
	phase   phase
	born    policy.Nanos // it came up
	since   policy.Nanos // it is in its phase
	retire  float64      // spread of its end, in [0, 1)
	used    int          // attempts that it carried
	from    *waiter      // opening: the attempt that it is opened for
}

type waiter struct {
	attempt Attempt
	host    *host
	until   policy.Nanos
	by      policy.Nanos // it is refused where it waits still for one in use; 0: it waits for one that is opened
	from    *conn        // that is opened for it
}

// New makes a pool with nothing in it.
func New(orders Orders, terms Terms, chance func() float64) *Pool {
	terms.Balancers = max(1, terms.Balancers)
	return &Pool{orders: orders, terms: terms, chance: chance, hosts: map[Host]*host{}, conns: map[Conn]*conn{},
		waiting: map[Attempt]*waiter{}, bound: map[Host]int{}}
}

// Up hears that a host takes work; born is when its process started, 0 for long ago. Another start under the same name,
// or another address, is another process: connections to the old one are not used again. Most bounds the connections to
// this host where it is not 0.
func (p *Pool) Up(now policy.Nanos, id Host, born policy.Nanos, moved bool, most int) {
	h := p.hosts[id]
	if h == nil {
		h = &host{id: id, born: born, fixed: most, tokensAt: now, lookedAt: now}
		h.tokens = p.burst(h, now)
		p.hosts[id] = h
	} else if h.born != born || moved {
		h.process++
		h.born, h.most, h.need = born, 0, need{}
		h.tokens, h.tokensAt = min(h.tokens, p.burst(h, now)), now
		p.clear(h, Leaving)
		p.relieve(now, h)
	}
	h.leaving = false
}

// Limit sets the bound on all connections anew. What is open beyond it goes as it comes free.
func (p *Pool) Limit(most int) { p.terms.Most = most }

// Leaves hears that a host drains or is gone: nothing new goes over its connections.
func (p *Pool) Leaves(id Host) {
	h := p.hosts[id]
	if h == nil {
		return
	}
	h.leaving = true
	p.clear(h, Leaving)
	for len(h.queue) > 0 {
		p.refuse(h.queue[0], Leaving)
	}
	p.forget(h)
}

// clear closes what rests or is being opened.
func (p *Pool) clear(h *host, why Why) {
	for len(h.rest) > 0 {
		p.close(h.rest[0], why)
	}
	for _, c := range p.conns {
		if c.host == h && c.phase == opening && c.from == nil {
			p.close(c, why)
		}
	}
}

// forget drops a host that is left once nothing of it remains.
func (p *Pool) forget(h *host) {
	if h.leaving && h.open == 0 && len(h.queue) == 0 && p.hosts[h.id] == h {
		delete(p.hosts, h.id)
		delete(p.bound, h.id)
	}
}

// Ask wants a connection for an attempt, which is of no use after its time. It is carried or refused, now or later.
func (p *Pool) Ask(now policy.Nanos, id Host, s Attempt, until policy.Nanos) {
	h := p.hosts[id]
	switch {
	case p.shut:
		p.orders.Refuse(s, Shut)
		return
	case h == nil:
		p.orders.Refuse(s, Unknown)
		return
	case h.leaving:
		p.orders.Refuse(s, Leaving)
		return
	case now >= until:
		p.orders.Refuse(s, Late)
		return
	}
	h.need.asked(now)
	if c := p.rested(now, h); c != nil {
		p.carry(now, c, s)
		return
	}
	w := &waiter{attempt: s, host: h, until: until}
	why := p.place(now, h)
	if why != Unknown && !p.waits(now, h, w) {
		p.bound[id]++
		p.orders.Refuse(s, why)
		return
	}
	if why != Unknown {
		w.by = now + policy.Nanos(p.terms.Wait*float64(until-now))
	}
	h.queue = append(h.queue, w)
	p.waiting[s] = w
	if why == Unknown {
		w.from = p.begin(now, h, w)
	}
}

// rested takes a connection from those at rest.
func (p *Pool) rested(now policy.Nanos, h *host) *conn {
	for len(h.rest) > 0 {
		c := h.rest[0]
		if p.terms.Reuse == Last {
			c = h.rest[len(h.rest)-1]
		}
		if why, over := p.over(now, c); over {
			p.close(c, why)
			continue
		}
		return c
	}
	return nil
}

// waits tells whether an attempt may wait for a connection that is in use: what is in use comes free at the pace of late,
// for those that wait already first.
func (p *Pool) waits(now policy.Nanos, h *host, w *waiter) bool {
	busy := h.open - h.opening - len(h.rest)
	if p.terms.Wait <= 0 || busy <= 0 || len(h.queue) >= queueMost(busy) {
		return false
	}
	expected := float64(len(h.queue)+1) / float64(busy) * h.need.hold()
	return expected <= p.terms.Wait*float64(w.until-now)
}

// queueMost bounds the attempts that wait for connections in use: two for each are more than come free within any aim.
func queueMost(busy int) int { return 2 * busy }

// carry hands an attempt to a connection.
func (p *Pool) carry(now policy.Nanos, c *conn, s Attempt) {
	if c.phase == atRest {
		p.unrest(c)
	}
	c.phase, c.since = inUse, now
	c.used++
	p.orders.Carry(c.id, s)
}

func (p *Pool) unrest(c *conn) {
	h := c.host
	if i := slices.Index(h.rest, c); i >= 0 {
		h.rest = slices.Delete(h.rest, i, i+1)
		p.resting--
	}
	h.fewest = min(h.fewest, len(h.rest))
}

// begin opens a connection, for an attempt that waits or for none.
func (p *Pool) begin(now policy.Nanos, h *host, w *waiter) *conn {
	p.last++
	c := &conn{id: p.last, host: h, process: h.process, since: now, retire: p.chance(), from: w}
	p.conns[c.id] = c
	p.open++
	h.open++
	h.opening++
	p.spend(now, h)
	p.orders.Open(h.id, c.id)
	return c
}

// Opened hears that a connection is up.
func (p *Pool) Opened(now policy.Nanos, id Conn) {
	c := p.conns[id]
	if c == nil || c.phase != opening {
		return
	}
	h := c.host
	h.opening--
	c.born, c.since, c.phase = now, now, inUse
	p.backoff = backoff{}
	if w := c.from; w != nil {
		w.from, c.from = nil, nil
		// The first that waits gets it; if that is another one, what is opened for that one is now for this.
		if first := h.queue[0]; first != w {
			w.from, first.from = first.from, nil
			if w.from != nil {
				w.from.from = w
			}
		}
	}
	p.next(now, c)
}

// next gives a connection that is free to the first attempt that waits and still has time, or lets it rest.
func (p *Pool) next(now policy.Nanos, c *conn) {
	h := c.host
	if p.shut || h.leaving || c.process != h.process {
		p.close(c, Leaving)
		p.relieve(now, h)
		return
	}
	if why, over := p.over(now, c); over && len(h.queue) == 0 {
		p.close(c, why)
		return
	}
	for len(h.queue) > 0 {
		w := h.queue[0]
		if now >= w.until {
			p.refuse(w, Late)
			continue
		}
		p.leave(w)
		p.carry(now, c, w.attempt)
		return
	}
	if p.boundOf(h) < h.open {
		p.close(c, Full)
		return
	}
	c.phase, c.since = atRest, now
	h.rest = append(h.rest, c)
	p.resting++
}

// leave takes an attempt from those that wait. What was being opened for it is for the next that nothing is opened for.
func (p *Pool) leave(w *waiter) {
	h := w.host
	delete(p.waiting, w.attempt)
	i := slices.Index(h.queue, w)
	h.queue = slices.Delete(h.queue, i, i+1)
	c := w.from
	if c == nil {
		return
	}
	w.from, c.from = nil, nil
	for _, o := range h.queue {
		if o.from == nil {
			o.from, c.from = c, o
			return
		}
	}
}

func (p *Pool) refuse(w *waiter, why Why) {
	p.leave(w)
	p.orders.Refuse(w.attempt, why)
}

// GiveUp hears that nobody wants an attempt any more that may still wait; true where it did: it is not sent.
func (p *Pool) GiveUp(s Attempt) bool {
	w := p.waiting[s]
	if w == nil {
		return false
	}
	p.leave(w)
	p.forget(w.host)
	return true
}

// Freed hears that a connection has carried its attempt and can carry another.
func (p *Pool) Freed(now policy.Nanos, id Conn) {
	c := p.conns[id]
	if c == nil || c.phase != inUse {
		return
	}
	c.host.need.held(now, now-c.since)
	p.next(now, c)
}

// Failed hears that a connection did not come up. The attempt that it was opened for is refused: its host may be dead.
func (p *Pool) Failed(now policy.Nanos, id Conn) { p.failed(now, id, NoConnect) }

func (p *Pool) failed(now policy.Nanos, id Conn, why Why) {
	c := p.conns[id]
	if c == nil {
		return
	}
	w := c.from
	c.from = nil
	p.drop(c)
	if w != nil {
		w.from = nil
		p.refuse(w, why)
	}
	p.relieve(now, c.host)
	p.forget(c.host)
}

// Closed hears that a connection has ended: with an attempt, by its host while it rested, or after a fault.
func (p *Pool) Closed(now policy.Nanos, id Conn) {
	c := p.conns[id]
	if c == nil {
		return
	}
	if c.phase == inUse {
		c.host.need.held(now, now-c.since)
	}
	p.drop(c)
	p.relieve(now, c.host)
	p.forget(c.host)
}

// Rejected hears that a host turned away the first attempt of a new connection, or broke it: it may hold too many. Its
// bound is lowered, to grow again slowly.
func (p *Pool) Rejected(now policy.Nanos, id Conn) {
	c := p.conns[id]
	if c == nil || c.used > 1 || p.terms.HostMost == 0 {
		return
	}
	h := c.host
	h.most, h.mostAt = max(1, min(p.boundOf(h), h.open)-1), now
}

// relieve looks after the attempts that wait where a connection has ended: one is opened for the first that none is opened
// for. Where that may not be and nothing is left that could come free, they are refused: an attempt that waits for nothing
// would wait until its time is over.
func (p *Pool) relieve(now policy.Nanos, h *host) {
	for _, w := range slices.Clone(h.queue) {
		if w.from != nil {
			continue
		}
		why := p.place(now, h)
		if why == Unknown {
			w.from = p.begin(now, h, w)
			return
		}
		if h.open > len(h.rest) { // some are in use or being opened
			return
		}
		p.refuse(w, why)
	}
}

// drop takes a connection out of all counts.
func (p *Pool) drop(c *conn) {
	switch c.phase {
	case atRest:
		p.unrest(c)
	case opening:
		c.host.opening--
	}
	if w := c.from; w != nil {
		w.from, c.from = nil, nil
	}
	delete(p.conns, c.id)
	c.host.open--
	p.open--
}

func (p *Pool) close(c *conn, why Why) {
	p.drop(c)
	p.orders.Close(c.id, why)
	p.forget(c.host)
}

// Shut closes what rests and refuses what waits; from now on all attempts are refused.
func (p *Pool) Shut() {
	p.shut = true
	for _, id := range p.sorted() {
		h := p.hosts[id]
		for len(h.queue) > 0 {
			p.refuse(h.queue[0], Shut)
		}
		p.clear(h, Shut)
	}
}

// sorted are the hosts with which something can happen, in order: what is done to all must not hang on the order of a map. One
// without a connection, and with none to be opened ahead, costs nothing, however many there are.
func (p *Pool) sorted() []Host {
	ids := make([]Host, 0, p.open+len(p.waiting))
	if p.terms.Ahead > 0 {
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

// Open is the number of connections, with those being opened.
func (p *Pool) Open() int { return p.open }

// Bound tells how often a bound of a host refused an attempt since the last time, and forgets it.
func (p *Pool) Bound() map[Host]int {
	b := p.bound
	p.bound = map[Host]int{}
	return b
}

// ---- bounds

// share is this balancer's part of what a host allows all.
func (p *Pool) share(of float64) float64 { return of / float64(p.terms.Balancers) }

// openings is the same of what a host bears in new connections, of which the part may be told.
func (p *Pool) openings(of float64) float64 {
	if p.part > 0 {
		return of * p.part
	}
	return p.share(of)
}

// Part tells this balancer's part of all openings from now on; 0: an equal one.
func (p *Pool) Part(part float64) { p.part = part }

// Need is the largest part of a host's openings that attempts here have wanted in a time that ends now; it begins anew.
func (p *Pool) Need(now policy.Nanos, over policy.Nanos) (part float64) {
	for _, h := range p.hosts {
		if bears := p.bears(h, now) / 2; bears > 0 {
			part = max(part, float64(h.wanted)/seconds(over)/bears)
		}
		h.wanted = 0
	}
	return part
}

// mostGrows is how long a learned bound stands before it grows by one: a host that is full stays so for seconds.
const mostGrows = 5 * policy.Second

// boundOf is how many connections a host may have from here.
func (p *Pool) boundOf(h *host) int {
	most := p.terms.Most
	if p.terms.HostMost > 0 {
		most = min(most, max(1, int(p.share(float64(p.terms.HostMost)))))
	}
	for _, m := range []int{h.fixed, h.most} {
		if m > 0 {
			most = min(most, m)
		}
	}
	return most
}

// mayOpen tells whether a host may be opened one more connection: Unknown if so, Room if one at rest elsewhere has to go
// for it, else what speaks against it.
func (p *Pool) mayOpen(now policy.Nanos, h *host) Why {
	if h.most > 0 && now-h.mostAt >= mostGrows {
		h.most, h.mostAt = h.most+1, now
	}
	switch {
	case now < p.backoff.until:
		return Local
	case h.open >= p.boundOf(h):
		return Full
	case !p.fair(h):
		return Full
	case p.open >= p.terms.Most && p.oldest(h) == nil:
		return Full
	case !p.allowed(now, h): // last: a draw is spent only on what opens
		return Budget
	case p.open >= p.terms.Most:
		return Room
	}
	return Unknown
}

// fair keeps a floor of connections for each host that has not got its own yet, so that one that hangs cannot take all
// places. Half of the places are floors: the other half goes to who needs it.
func (p *Pool) fair(h *host) bool {
	floor := p.terms.Most / 2 / max(1, len(p.hosts))
	if h.open < floor {
		return true
	}
	kept := 0
	if floor > 0 { // else there are more hosts than half of the places
		for _, o := range p.hosts {
			if o != h && !o.leaving {
				kept += max(0, floor-o.open)
			}
		}
	}
	return p.open-(p.resting-len(h.rest))+kept < p.terms.Most
}

// oldest is the connection at rest longest, of any host but one.
func (p *Pool) oldest(but *host) (c *conn) {
	if p.resting == len(but.rest) {
		return nil
	}
	for _, o := range p.conns {
		if o.phase == atRest && o.host != but && (c == nil || cmp.Or(cmp.Compare(o.since, c.since), cmp.Compare(o.id, c.id)) < 0) {
			c = o
		}
	}
	return c
}

// place is mayOpen that makes room where that is all that lacks.
func (p *Pool) place(now policy.Nanos, h *host) Why {
	why := p.mayOpen(now, h)
	if why == Room {
		p.close(p.oldest(h), Room)
		return Unknown
	}
	return why
}

// rate is how many connections a second this balancer may open to a host: half of its part. With what is saved up that
// is five eighths of the part in any second, which leaves three deviations for the draws of hundreds of balancers.
func (p *Pool) rate(h *host, now policy.Nanos) float64 { return p.openings(p.bears(h, now)) / 2 }

// bears is how many a second a host bears from all.
func (p *Pool) bears(h *host, now policy.Nanos) float64 {
	if p.terms.ColdOpenings > 0 && h.born > 0 && now-h.born < p.terms.ColdFor {
		return p.terms.ColdOpenings
	}
	return p.terms.Openings
}

// burst is what may be saved up: a quarter of a second's.
func (p *Pool) burst(h *host, now policy.Nanos) float64 { return p.rate(h, now) / 4 }

// allowed draws on the budget. A part smaller than one is drawn, and spent either way: a least of one for each of
// hundreds of balancers, all at once, is what a fresh host cannot bear.
func (p *Pool) allowed(now policy.Nanos, h *host) bool {
	if p.terms.Openings <= 0 {
		return true
	}
	h.wanted++
	p.fill(now, h)
	if h.tokens >= 1 {
		return true
	}
	t := h.tokens
	h.tokens = 0
	return p.chance() < t
}

func (p *Pool) fill(now policy.Nanos, h *host) {
	h.tokens = min(p.burst(h, now), h.tokens+p.rate(h, now)*seconds(now-h.tokensAt))
	h.tokensAt = now
}

func (p *Pool) spend(now policy.Nanos, h *host) {
	if p.terms.Openings > 0 {
		h.tokens = max(0, h.tokens-1)
	}
}

func seconds(n policy.Nanos) float64 { return float64(n) / float64(policy.Second) }

// ---- retirement and opening ahead

// over tells whether a connection should not be used again. Idle ones go at five to six eighths of the host's limit and
// old ones at three quarters of their age to all of it, spread, so that those opened together do not end together.
func (p *Pool) over(now policy.Nanos, c *conn) (why Why, over bool) {
	if p.terms.Idle > 0 && c.phase == atRest && float64(now-c.since) >= float64(p.terms.Idle)*(0.75-c.retire/8) {
		return Idle, true
	}
	if p.terms.Age > 0 && c.phase != opening && float64(now-c.born) >= float64(p.terms.Age)*(1-c.retire/4) {
		return Age, true
	}
	return Unknown, false
}

// TickEvery is how often Tick wants to be called.
const TickEvery = 100 * policy.Millisecond

// Tick does what comes with time: attempts that waited too long, connections to retire, those to open ahead.
func (p *Pool) Tick(now policy.Nanos) {
	for _, id := range p.sorted() {
		h := p.hosts[id]
		for _, w := range slices.Clone(h.queue) {
			if now >= w.until {
				p.refuse(w, Late)
			} else if w.by > 0 && now >= w.by && w.from == nil {
				p.refuse(w, Full)
			}
		}
		for _, c := range slices.Clone(h.rest) {
			if why, over := p.over(now, c); over {
				p.close(c, why)
			}
		}
		p.shrink(now, h)
		p.ahead(now, h)
	}
}

// shrink closes what nobody used for a while, but for what the need of late asks.
func (p *Pool) shrink(now policy.Nanos, h *host) {
	if p.terms.Shrink <= 0 || now-h.lookedAt < p.terms.Shrink {
		return
	}
	surplus := min(h.fewest, h.open-p.wanted(now, h))
	h.lookedAt = now
	for range surplus {
		p.close(h.rest[0], Surplus)
	}
	h.fewest = len(h.rest)
}

// wanted is how many connections a host needs: by Little's law the mean number in use is the rate of attempts times what
// one takes; some deviations of it are added. A fresh host that has had nothing yet will need what the others do.
func (p *Pool) wanted(now policy.Nanos, h *host) int {
	mean := h.need.mean(now)
	if mean == 0 && h.born > 0 && now-h.born < p.terms.ColdFor {
		mean = p.typicalNeed(now)
	}
	if mean == 0 {
		return 0
	}
	return int(math.Ceil(mean + p.terms.Ahead*math.Sqrt(mean)))
}

// typicalNeed is the mean need of the hosts that have had attempts or not, worked out once for each time.
type typicalNeed struct {
	at   policy.Nanos
	mean float64
}

// typicalNeed is asked of hosts that have had no attempt: one more of these hardly moves the mean.
func (p *Pool) typicalNeed(now policy.Nanos) float64 {
	if p.typical.at == now {
		return p.typical.mean
	}
	sum, n := 0.0, 0
	for _, o := range p.hosts {
		if !o.leaving {
			sum += o.need.mean(now)
			n++
		}
	}
	p.typical = typicalNeed{now, sum / float64(max(1, n-1))} // the one that asks is not counted
	return p.typical.mean
}

// ahead opens what will be needed, within the budget.
func (p *Pool) ahead(now policy.Nanos, h *host) {
	if p.terms.Ahead <= 0 || p.shut || h.leaving {
		return
	}
	for h.open < p.wanted(now, h) && p.open < p.terms.Most && p.mayOpen(now, h) == Unknown { // never at another's cost
		p.begin(now, h, nil)
	}
}

// need measures the attempts at a host and how long each held its connection, in slots of time that are used again.
type need struct {
	slots [needSlots]struct {
		turn     policy.Nanos
		attempts float64
		held     float64 // nanoseconds
		ended    float64
	}
}

const (
	needSlots = 4
	needSlot  = policy.Second // four seconds hold a surge's begin and forget its end soon after
)

func (n *need) at(now policy.Nanos) *struct {
	turn     policy.Nanos
	attempts float64
	held     float64
	ended    float64
} {
	turn := now / needSlot
	s := &n.slots[turn%needSlots]
	if s.turn != turn {
		s.turn, s.attempts, s.held, s.ended = turn, 0, 0, 0
	}
	return s
}

func (n *need) asked(now policy.Nanos) { n.at(now).attempts++ }

func (n *need) held(now, took policy.Nanos) {
	s := n.at(now)
	s.held += float64(took)
	s.ended++
}

// hold is how long an attempt holds its connection, in nanoseconds.
func (n *need) hold() float64 {
	held, ended := 0.0, 0.0
	for _, s := range n.slots {
		held += s.held
		ended += s.ended
	}
	if ended == 0 {
		return float64(policy.Second) // nothing is known: as much as an aim
	}
	return held / ended
}

// mean is how many connections were in use at a time.
func (n *need) mean(now policy.Nanos) float64 {
	turn, sum, first := now/needSlot, 0.0, now
	for _, s := range n.slots {
		if turn-s.turn < needSlots && s.attempts+s.ended > 0 {
			sum += s.held
			first = min(first, s.turn*needSlot)
		}
	}
	if now <= first {
		return 0
	}
	return sum / float64(now-first)
}
