// Package upstream keeps the connections to cache hosts and to the origin and carries shots over them. One
// goroutine serves one connection, which carries one shot at a time: ending it gives up no other.
package upstream

import (
	"slices"
	"sync"
	"time"

	"streamrail/internal/discovery"
	"streamrail/internal/memcache"
	"streamrail/policy"
)

// Result is the outcome of a shot, as far as it is proven.
type Result struct {
	Outcome policy.Outcome
	Note    int
	Body    []byte // the value, or a write's receipt
}

// Shot is one order to send. It ends once, through Done, which must not block.
type Shot struct {
	To      policy.CacheID
	Command *memcache.Command
	Value   []byte // of a write
	Until   time.Time
	Room    func(bytes int) bool // is asked before a value is held
	Done    func(Result)

	mu    sync.Mutex
	stop  func() // ends the connection that carries it
	given bool   // up
}

// GiveUp stops waiting for the shot, by ending its connection.
func (s *Shot) GiveUp() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.given = true
	if s.stop != nil {
		s.stop()
	}
}

// carry tells how to stop the shot from now on; false where it is given up already.
func (s *Shot) carry(stop func()) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stop = stop
	return !s.given
}

// end reports the outcome. What was given up may have run only if it was written whole.
func (s *Shot) end(r Result, written bool) {
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
	Open    int           // connections in all
	Origin  int           // to the origin
	Connect time.Duration // for a connection to come up
	Idle    time.Duration // a kept one is closed well before the host does
	Grace   time.Duration // after which nothing new is written to a host that drains or is gone
}

// Hosts are all hosts that discovery told of.
type Hosts struct {
	limits Limits
	origin policy.Kind

	mu   sync.Mutex
	all  map[policy.CacheID]*host
	idle []*conn // of all hosts, the longest idle first
	open int
	over bool // Close was called
}

type host struct {
	discovery.Host
	isOrigin bool
	told     time.Time // that it drains or is gone; zero: it does not
	open     int
}

// New makes an empty set; the origin is what discovery lists with that kind.
func New(limits Limits, origin policy.Kind) *Hosts {
	return &Hosts{limits: limits, origin: origin, all: map[policy.CacheID]*host{}}
}

// Listed takes what discovery tells.
func (hs *Hosts) Listed(l discovery.List) {
	hs.mu.Lock()
	defer hs.mu.Unlock()
	now := time.Now()
	named := map[policy.CacheID]bool{}
	for _, e := range l.Hosts {
		named[e.Cache] = true
		h := hs.all[e.Cache]
		if h == nil {
			h = &host{isOrigin: e.Kind == hs.origin}
			hs.all[e.Cache] = h
		} else if h.Addr != e.Addr || h.Born != e.Born {
			hs.closeIdle(h) // of another process
		}
		h.Host = e
		hs.mark(h, e.Condition, now)
	}
	for id, h := range hs.all {
		if l.Whole && !named[id] {
			hs.mark(h, policy.Gone, now)
		}
		hs.forget(h)
	}
}

// forget drops a host that is gone once no connection to it is left: others come under new ids all day.
func (hs *Hosts) forget(h *host) {
	if h.Condition == policy.Gone && h.open == 0 && hs.all[h.Cache] == h {
		delete(hs.all, h.Cache)
	}
}

func (hs *Hosts) mark(h *host, condition policy.Condition, now time.Time) {
	h.Condition = condition
	switch {
	case condition == policy.Up:
		h.told = time.Time{}
	case h.told.IsZero():
		h.told = now
		hs.closeIdle(h)
	}
}

func (hs *Hosts) closeIdle(h *host) {
	for _, c := range hs.idle {
		if c.host == h {
			c.net.Close() // its goroutine sees that and leaves
		}
	}
}

// Shoot carries a shot over a kept connection or a new one.
func (hs *Hosts) Shoot(s *Shot) {
	hs.mu.Lock()
	h := hs.all[s.To]
	if h == nil || hs.over {
		hs.mu.Unlock()
		s.end(Result{Outcome: policy.NeverSent}, false)
		return
	}
	// The one at rest longest: a host that closes right after an answer has been heard by then, and a shot written
	// into the close would be lost.
	for _, c := range hs.idle {
		if c.host == h {
			hs.hand(c, s)
			hs.mu.Unlock()
			return
		}
	}
	full := hs.open >= hs.limits.Open
	if full && len(hs.idle) == 0 || h.isOrigin && h.open >= hs.limits.Origin {
		hs.mu.Unlock()
		s.end(Result{Outcome: policy.NeverSent}, false)
		return
	}
	if full {
		c := hs.idle[0]
		hs.unrest(c)
		c.net.Close()
	}
	hs.open++
	h.open++
	hs.mu.Unlock()
	go (&conn{hosts: hs, host: h, addr: h.Addr}).run(s)
}

// hand gives a shot to a connection at rest.
func (hs *Hosts) hand(c *conn, s *Shot) {
	hs.unrest(c)
	c.next = s
	c.net.SetReadDeadline(time.Unix(1, 0)) // wakes its goroutine
}

// unrest takes a connection from the idle ones.
func (hs *Hosts) unrest(c *conn) {
	if i := slices.Index(hs.idle, c); i >= 0 {
		hs.idle = slices.Delete(hs.idle, i, i+1)
	}
}

// tooLate tells whether a host may not be sent anything new any more.
func (hs *Hosts) tooLate(h *host) bool {
	hs.mu.Lock()
	defer hs.mu.Unlock()
	return !h.told.IsZero() && time.Since(h.told) > hs.limits.Grace
}

// Open is the number of connections.
func (hs *Hosts) Open() int {
	hs.mu.Lock()
	defer hs.mu.Unlock()
	return hs.open
}

// Close ends all idle connections and takes no more shots.
func (hs *Hosts) Close() {
	hs.mu.Lock()
	defer hs.mu.Unlock()
	hs.over = true
	for _, c := range hs.idle {
		c.net.Close()
	}
}
