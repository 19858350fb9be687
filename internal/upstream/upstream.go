// Package upstream keeps the connections to cache hosts and to the origin and carries attempts over them, as package pool
// decides. One goroutine serves one connection, which carries one attempt at a time: ending it gives up no other.
package upstream

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"streamrail/internal/deadline"
	"streamrail/internal/discovery"
	"streamrail/internal/memcache"
	"streamrail/internal/pool"
	"streamrail/policy"
)

// Result is the outcome of an attempt, as far as it is proven.
type Result struct {
	Outcome policy.Outcome
	Load    *policy.Load  // of the host, where answers tell it
	Body    []byte        // the value, or a write's receipt; not of a value that was passed on
	Peer    time.Duration // of its time, what a long value took at the client's pace
}

// Attempt is one order to send. It ends once, through Done, which must not block.
type Attempt struct {
	To       policy.CacheID
	Command  *memcache.Command
	Value    []byte                    // of a write
	Upload   *Upload                   // the same, where it is long and still coming
	Deadline deadline.Deadline         // of its request: the attempt is not begun, nor waited for, from then on
	BeginBy  deadline.Deadline         // not a byte of it is written from then on
	Room     func(bytes int) bool      // is asked before a value is held
	Pass     func(*Value) (whole bool) // takes a long value to its end, or not; it may block
	Gone     func() bool               // tells that nobody waits for the request any more; nil: not known
	Done     func(Result)

	hosts *Hosts
	id    pool.Attempt

	mu    sync.Mutex
	stop  func() // ends the connection that carries it
	given bool   // up
}

// GiveUp stops waiting for the attempt: it leaves those that wait for a connection, or ends the one that carries it.
func (s *Attempt) GiveUp() {
	s.mu.Lock()
	s.given = true
	if s.stop != nil {
		s.stop() // under the lock: once the attempt has ended, its connection may carry another
	}
	hs := s.hosts
	s.mu.Unlock()
	if hs != nil && hs.giveUp(s) {
		s.end(Result{Outcome: policy.NeverSent}, false)
	}
}

// carry tells how to stop the attempt from now on; false where it is given up already.
func (s *Attempt) carry(stop func()) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stop = stop
	return !s.given
}

// end reports the outcome. What was given up may have run only if it was written whole.
func (s *Attempt) end(r Result, written bool) {
	s.mu.Lock()
	given := s.given
	s.stop = nil
	s.mu.Unlock()
	if given && r.Outcome != policy.Fulfilled && r.Outcome != policy.Missed {
		r.Outcome = policy.NeverSent
		if written {
			r.Outcome = policy.Cancelled
		}
	}
	s.Done(r)
}

// Limits bound the connections.
type Limits struct {
	Pool    pool.Terms
	Origin  int           // connections to the origin
	Reports bool          // answers tell the host's load
	Connect time.Duration // for a connection to come up
	Grace   time.Duration // after which nothing new is written to a host that drains or is gone
	Epoch   policy.Nanos  // the time now on the clock of which hosts' starts are told
}

// Hosts are all hosts that discovery told of.
type Hosts struct {
	limits Limits
	origin policy.Kind
	epoch  time.Time
	Dial   func(ctx context.Context, network, addr string) (net.Conn, error) // set before the first attempt, if at all

	mu       sync.Mutex
	pool     *pool.Pool
	all      map[policy.CacheID]*host
	conns    map[pool.Conn]*conn
	attempts map[pool.Attempt]*Attempt // that the pool has not carried or refused yet
	last     pool.Attempt
	over     chan struct{}           // closed by Close
	out      map[policy.CacheID]bool // taken out by hand

	sent      atomic.Int64  // attempts written whole, to the origin too
	afterTold time.Duration // the longest from when a host was told off here to a write there that was still allowed; under mu
}

type host struct {
	discovery.Host
	isOrigin bool
	told     time.Time // that it drains or is gone; zero: it does not
	open     int
}

// New makes an empty set; the origin is what discovery lists with that kind.
func New(limits Limits, origin policy.Kind) *Hosts {
	hs := &Hosts{limits: limits, origin: origin, epoch: time.Now(), Dial: (&net.Dialer{}).DialContext, all: map[policy.CacheID]*host{}, conns: map[pool.Conn]*conn{},
		attempts: map[pool.Attempt]*Attempt{}, out: map[policy.CacheID]bool{}, over: make(chan struct{})}
	hs.pool = pool.New(orders{hs}, limits.Pool, rand.Float64)
	go hs.tick()
	return hs
}

// now is the pool's clock.
func (hs *Hosts) now() policy.Nanos { return policy.Nanos(time.Since(hs.epoch)) }

// tick lets the pool do what comes with time.
func (hs *Hosts) tick() {
	t := time.NewTicker(time.Duration(pool.TickEvery))
	defer t.Stop()
	for {
		select {
		case <-t.C:
			hs.mu.Lock()
			hs.pool.Tick(hs.now())
			hs.mu.Unlock()
		case <-hs.over:
			return
		}
	}
}

// Listed takes the hosts that discovery tells other than before; one that a whole list does not name any more is among them, as gone.
func (hs *Hosts) Listed(l discovery.List) {
	hs.mu.Lock()
	defer hs.mu.Unlock()
	at := l.At
	if at.IsZero() {
		at = time.Now()
	}
	for _, e := range l.Hosts {
		h, moved := hs.all[e.Cache], false
		if h == nil {
			h = &host{isOrigin: e.Kind == hs.origin}
			hs.all[e.Cache] = h
		} else {
			moved = h.Addr != e.Addr
		}
		h.Host = e
		hs.mark(h, e.Condition, moved, at)
		hs.forget(h)
	}
}

// forget drops a host that is gone once no connection to it is left: others come under new ids all day.
func (hs *Hosts) forget(h *host) {
	if h.Condition == policy.Gone && h.open == 0 && hs.all[h.Cache] == h {
		delete(hs.all, h.Cache)
	}
}

// mark tells the pool what a host wants from now on; this balancer was told so at a moment.
func (hs *Hosts) mark(h *host, condition policy.Condition, moved bool, at time.Time) {
	h.Condition = condition
	if condition != policy.Up || hs.out[h.Cache] {
		if h.told.IsZero() {
			h.told = at
		}
		hs.pool.Leaves(pool.Host(h.Cache))
		return
	}
	h.told = time.Time{}
	most, now := 0, hs.now()
	if h.isOrigin {
		most = hs.limits.Origin
	}
	born := policy.Nanos(0) // as the list has it: another start is another process
	if h.Born > 0 {
		born = max(1, cmp.Or(h.Started, h.Born)-hs.limits.Epoch)
	}
	hs.pool.Up(now, pool.Host(h.Cache), born, moved, most)
}

// Exclude hears that a host is taken out by hand: it is left alone like one that drains, whatever the list says.
func (hs *Hosts) Exclude(id policy.CacheID) {
	hs.mu.Lock()
	defer hs.mu.Unlock()
	hs.out[id] = true
	if h := hs.all[id]; h != nil {
		hs.mark(h, h.Condition, false, time.Now())
	}
}

// Include hears that it is put back. It may have been restarted: no connection of before is used again.
func (hs *Hosts) Include(id policy.CacheID) {
	hs.mu.Lock()
	defer hs.mu.Unlock()
	if !hs.out[id] {
		return
	}
	delete(hs.out, id)
	if h := hs.all[id]; h != nil {
		hs.mark(h, h.Condition, true, time.Now())
	}
}

// Grace is after how long nothing is written to a host that was told off.
func (hs *Hosts) Grace() time.Duration { return hs.limits.Grace }

// Sent is the number of attempts written whole, to the origin too: the list names it like the cache hosts.
func (hs *Hosts) Sent() int64 { return hs.sent.Load() }

// Send carries an attempt over a connection that rests, one that is opened or one that comes free, or refuses it.
func (hs *Hosts) Send(s *Attempt) {
	hs.mu.Lock()
	defer hs.mu.Unlock()
	hs.send(s)
}

func (hs *Hosts) send(s *Attempt) {
	hs.last++
	s.mu.Lock()
	s.hosts, s.id = hs, hs.last
	given := s.given
	s.mu.Unlock()
	if given {
		s.end(Result{Outcome: policy.NeverSent}, false)
		return
	}
	hs.attempts[s.id] = s
	hs.pool.Ask(hs.now(), pool.Host(s.To), s.id, policy.Nanos(s.BeginBy.Time().Sub(hs.epoch)))
}

// giveUp takes an attempt from those that wait; false where it does not.
func (hs *Hosts) giveUp(s *Attempt) bool {
	hs.mu.Lock()
	defer hs.mu.Unlock()
	if !hs.pool.GiveUp(s.id) {
		return false
	}
	delete(hs.attempts, s.id)
	return true
}

// orders carries out what the pool decides. All is called under Hosts.mu.
type orders struct{ hs *Hosts }

func (o orders) Open(to pool.Host, id pool.Conn) {
	h := o.hs.all[policy.CacheID(to)]
	ctx, cancel := context.WithTimeout(context.Background(), o.hs.limits.Connect)
	c := &conn{id: id, hosts: o.hs, host: h, addr: h.Addr, cancel: cancel}
	h.open++
	o.hs.conns[id] = c
	go c.run(ctx)
}

func (o orders) Carry(id pool.Conn, attempt pool.Attempt) {
	c := o.hs.conns[id]
	c.next = o.hs.attempts[attempt]
	delete(o.hs.attempts, attempt)
	if c.resting {
		c.net.SetReadDeadline(longAgo) // wakes its goroutine
	}
}

func (o orders) Close(id pool.Conn, _ pool.Why) {
	c := o.hs.conns[id]
	c.closing = true
	c.cancel()
	if c.resting {
		c.net.Close() // its goroutine sees that and leaves
	}
}

func (o orders) Refuse(attempt pool.Attempt, why pool.Why) {
	s := o.hs.attempts[attempt]
	delete(o.hs.attempts, attempt)
	outcome := policy.NeverSent
	if why == pool.NoConnect {
		outcome = policy.ConnectFailed
	}
	s.end(Result{Outcome: outcome}, false)
}

var longAgo = time.Unix(1, 0)

// tooLate tells whether a host may not be sent anything new any more.
func (hs *Hosts) tooLate(h *host) bool {
	hs.mu.Lock()
	defer hs.mu.Unlock()
	if h.told.IsZero() {
		return false
	}
	since := time.Since(h.told)
	if since > hs.limits.Grace {
		return true
	}
	hs.afterTold = max(hs.afterTold, since)
	return false
}

// AfterTold is how long after a host was told off something was still written to it, at the most since the start: what was on its
// way to a connection. Near the whole grace means that this process is held up.
func (hs *Hosts) AfterTold() time.Duration {
	hs.mu.Lock()
	defer hs.mu.Unlock()
	return hs.afterTold
}

// Limit sets the bound on all connections anew.
func (hs *Hosts) Limit(most int) {
	hs.mu.Lock()
	defer hs.mu.Unlock()
	hs.pool.Limit(most)
}

// OpeningNeed is the largest part of what a host bears in new connections that was wanted here in a time that ends now.
func (hs *Hosts) OpeningNeed(over time.Duration) float64 {
	hs.mu.Lock()
	defer hs.mu.Unlock()
	return hs.pool.Need(hs.now(), policy.Nanos(over))
}

// OpeningPart tells this balancer's part of them; 0: an equal one.
func (hs *Hosts) OpeningPart(part float64) {
	hs.mu.Lock()
	defer hs.mu.Unlock()
	hs.pool.Part(part)
}

// Open is the number of connections.
func (hs *Hosts) Open() int {
	hs.mu.Lock()
	defer hs.mu.Unlock()
	return len(hs.conns)
}

// Bound tells how often bounds on connections refused an attempt, by host, since the last time.
func (hs *Hosts) Bound() map[pool.Host]int {
	hs.mu.Lock()
	defer hs.mu.Unlock()
	return hs.pool.Bound()
}

// Close ends all idle connections and takes no more attempts.
func (hs *Hosts) Close() {
	hs.mu.Lock()
	defer hs.mu.Unlock()
	hs.pool.Shut()
	close(hs.over)
}
