package virtual

import (
	"fmt"
	"math"
	"slices"
	"time"

	"streamrail/internal/fleet/evidence"
	"streamrail/internal/rehearsal/model"
	"streamrail/internal/rehearsal/record"
	"streamrail/internal/rehearsal/scenario"
	"streamrail/policy"
)

// balancer is one real decision module with the world's side of it. It is the module's policy.Environment.
type balancer struct {
	d     *Day
	index int
	zone  int
	mod   *policy.Balancer // nil while it is down
	lives uint64
	calls map[policy.RequestID]*call
	after int64 // generation of the list that it has
	up    map[string]bool
	life  record.Life
	dealt bool // the front holds it for alive
	round int
	until time.Duration          // it stands still until then
	seen  *evidence.Machine      // nil: none yet
	words []evidence.HostSummary // that the module has heard
}

// awake lets the process that runs now do something: at once, or when it goes on after it stood still. Where it has ended by
// then, that is done instead, if anything.
func (b *balancer) awake(do, ended func()) {
	lives := b.lives
	if b.d.now >= b.until && b.mod != nil {
		do()
		return
	}
	b.d.at(b.until, func() {
		if b.mod != nil && b.lives == lives {
			do()
		} else if ended != nil {
			ended()
		}
	})
}

// call is a request as a balancer has it.
type call struct {
	id, key, mark string
	write         bool
	b             *balancer
	attempts      []*attempt
	out           int
	settled       bool
	rec           *record.Call
	answered      func(reply record.Reply, comeBack time.Duration)
	missed        []*node
}

// attempt is one attempt.
type attempt struct {
	b     *balancer
	lives uint64 // of the balancer when it was sent
	call  *call
	n     int
	to    *node // nil: the gateway
	work  time.Duration
	sent  time.Duration
	told  time.Duration // that is left
	came  time.Duration
	ended time.Duration // at the server, or when it heard that it was given up
	proof record.Proof
	whole bool // an answer went out whole
	ran   bool
	cold  bool

	swallowed, over bool
}

// epoch is the Unix time of a day's begin; any would do.
const epoch = policy.Nanos(1_700_000_000) * policy.Second

// wayBack is kept of a client's time for the answer to reach it, as the balancer on sockets does.
const wayBack = 3 * time.Millisecond

func (b *balancer) start() {
	if b.mod != nil {
		return // another fault has started it already
	}
	b.lives++
	b.until = 0
	b.calls, b.up, b.after, b.seen, b.words = map[policy.RequestID]*call{}, map[string]bool{}, 0, nil, nil
	b.life = record.Life{Balancer: b.index, Start: b.d.now, Ready: max(1, b.d.now)}
	seed := model.Stream(b.d.Seed, fmt.Sprint("balancer ", b.index, b.lives)).Uint64()
	b.mod = policy.New(host{b, b.lives}, b.d.terms(b.zone), seed)
	b.hear(true)
	b.dealt = true
	b.round++
}

// stop ends the balancer as the end of its process does.
func (b *balancer) stop() {
	if b.mod == nil {
		return
	}
	b.mod = nil
	b.life.End, b.life.Ordered = b.d.now, true
	b.d.rec.Lives = append(b.d.rec.Lives, b.life)
	for _, id := range sorted(b.calls) {
		c := b.calls[id]
		for _, s := range c.attempts {
			s.giveUp()
		}
		if !c.settled {
			c.settled = true
			c.rec.Excused = true
			c.answered(record.Closed, 0)
		}
	}
	b.calls = nil
}

func sorted(calls map[policy.RequestID]*call) []policy.RequestID {
	ids := make([]policy.RequestID, 0, len(calls))
	for id := range calls {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// unnoticed lets the front deal to a balancer that has ended until it notices.
func (b *balancer) unnoticed(after time.Duration) {
	b.round++
	round := b.round
	b.d.after(after, func() {
		if b.round == round {
			b.dealt = false
		}
	})
}

// hear takes what the register's agent has: the whole list, or what has changed.
func (b *balancer) hear(whole bool) {
	if b.mod != nil {
		b.awake(func() { b.listed(whole) }, nil)
	}
}

func (b *balancer) listed(whole bool) {
	if b.d.register.Silent(b.index) {
		return
	}
	generation, reset, entries := b.d.register.List(b.index, b.after, whole)
	if generation == b.after && !reset {
		return
	}
	b.after = generation
	var list []policy.HostEntry
	named := map[string]bool{}
	for _, e := range entries {
		named[e.Node] = true
		b.told(e.Node, e.Condition == model.Active)
		list = append(list, b.d.entry(e))
	}
	kind := policy.ListUpdate
	if reset {
		kind = policy.ListReplace
		for _, n := range b.d.order {
			if b.up[n.id] && !named[n.id] {
				b.told(n.id, false)
			}
		}
	}
	b.mod.ApplyList(kind, list)
}

func (b *balancer) told(node string, up bool) {
	if was, known := b.up[node]; known && was == up || !known && !up {
		return
	}
	b.up[node] = up
	b.d.note("told %d %s %v", b.index, node, up)
	b.d.rec.Tolds = append(b.d.rec.Tolds, record.Told{Balancer: b.index, Node: node, Up: up, At: b.d.now})
}

// take takes a call that a client has sent.
func (b *balancer) take(c *call) {
	b.calls[policy.RequestID(c.id)] = c
	c.b = b
	left := c.rec.Timeout - b.d.now - wayBack
	if left <= 0 {
		c.settle(record.RateLimited, 0)
		delete(b.calls, policy.RequestID(c.id))
		return
	}
	if b.d.mates != nil {
		b.d.mates.To(b.d.now)
		b.d.mates.Came(b.index, c.rec.Tenant)
		b.d.mates.Parts(b.index, func(tenant int, part float64) {
			b.mod.SetQuotaShare(policy.Customer(tenant), max(part, math.SmallestNonzeroFloat64))
		})
	}
	b.mod.RequestArrived(policy.Request{ID: policy.RequestID(c.id), Customer: policy.Customer(c.rec.Tenant), Product: policy.Product(c.rec.Product),
		Key: policy.Key(c.key), Write: c.write, Deadline: epoch + policy.Nanos(c.rec.Timeout-wayBack)})
	b.leave(c)
}

// leave forgets a call that has its answer and whose attempts have ended.
func (b *balancer) leave(c *call) {
	if c.settled && c.out == 0 && b.calls != nil {
		delete(b.calls, policy.RequestID(c.id))
	}
}

// abandoned hears that a call's client has left.
func (b *balancer) abandoned(c *call) {
	if c.settled {
		return
	}
	c.settled = true
	b.mod.RequestAbandoned(policy.RequestID(c.id))
	b.leave(c)
}

// settle chooses a call's one final answer.
func (c *call) settle(reply record.Reply, comeBack time.Duration) {
	if !c.settled {
		c.settled = true
		c.b.d.after(c.b.d.Fleet.Same.Duration(), func() { c.answered(reply, comeBack) })
	}
}

// host is what a module acts through. A module that has ended can do nothing any more.
type host struct {
	b     *balancer
	lives uint64
}

func (h host) Now() policy.Nanos { return epoch + policy.Nanos(h.b.d.now) }

func (h host) Subscribe() {}

func (h host) SetTimer(after policy.Nanos, id policy.TimerID) {
	h.b.d.after(time.Duration(after), func() {
		if h.b.mod != nil && h.b.lives == h.lives {
			h.b.awake(func() { h.b.mod.TimerFired(id) }, nil)
		}
	})
}

func (h host) RateLimit(id policy.RequestID, comeBack policy.Nanos) {
	h.final(id, record.RateLimited, time.Duration(comeBack))
}

func (h host) Error(id policy.RequestID) { h.final(id, record.Errored, 0) }

func (h host) final(id policy.RequestID, reply record.Reply, comeBack time.Duration) {
	if c := h.b.calls[id]; c != nil {
		c.settle(reply, comeBack)
		h.b.d.after(0, func() { h.b.leave(c) })
	}
}

func (h host) Cancel(id policy.RequestID, attempt int) {
	c := h.b.calls[id]
	if c == nil || attempt >= len(c.attempts) {
		return
	}
	// Heard later, as on sockets: the module is not called from within itself.
	h.b.d.after(0, func() {
		if s := c.attempts[attempt]; !s.over && h.b.lives == h.lives {
			s.giveUp()
			s.end(policy.Cancelled, 0)
		}
	})
}

func (h host) Send(id policy.RequestID, to policy.HostID, deadline, _ policy.Nanos) {
	b, d := h.b, h.b.d
	c := b.calls[id]
	if c == nil {
		return
	}
	s := &attempt{b: b, lives: h.lives, call: c, n: len(c.attempts), sent: d.now, told: time.Duration(deadline - h.Now()), work: d.work(c)}
	c.attempts = append(c.attempts, s)
	c.out++
	if to != record.Gateway {
		s.to = d.nodes[string(to)]
	}
	d.attempts = append(d.attempts, s)
	d.note("attempt %s/%d %d to %s", id, s.n, b.index, s.server())
	d.after(s.way(), func() {
		if s.over {
			return // given up on the way: its connection ended before it came
		}
		if s.to != nil {
			s.to.offer(s)
		} else {
			d.gateway.offer(s)
		}
	})
	d.after(time.Duration(max(1, deadline-h.Now())), func() {
		late := func() {
			if !s.over {
				s.giveUp()
				s.end(policy.TimedOut, 0)
			}
		}
		if b.mod == nil || b.lives != s.lives {
			late()
			return
		}
		b.awake(late, nil)
	})
}

// way is how long bytes take one way between an attempt's balancer and its server.
func (s *attempt) way() time.Duration {
	if s.to == nil {
		return s.usual()
	}
	return s.usual() + s.to.links[s.b.index].more
}

// usual is the way without what a fault adds to it.
func (s *attempt) usual() time.Duration {
	d := s.b.d
	if s.to == nil || s.to.group.Zone == d.Fleet.Zones[s.b.zone] {
		return d.Fleet.Same.Duration()
	}
	return d.Fleet.Cross.Duration()
}

// server is the name of an attempt's server.
func (s *attempt) server() string {
	if s.to == nil {
		return record.Gateway
	}
	return s.to.id
}

// refused is a connection that nobody takes. It is noted as an attempt: the balancer meant it as one.
func (s *attempt) refused() {
	s.ended, s.proof = s.b.d.now+s.usual(), record.NeverRan
	s.b.d.after(s.usual(), func() { s.heard(policy.ConnectFailed, 0) })
}

// answer sends a server's answer on its way.
func (s *attempt) answer(o policy.Outcome, note int) {
	d := s.b.d
	if s.to != nil && s.to.links[s.b.index].cut {
		return // lost on the way: for the balancer it is still out
	}
	if s.ended == 0 {
		s.ended, s.whole = d.now+s.way(), o != policy.Reset && o != policy.MalformedAnswer
		s.proof = proofs[o]
	}
	if d.Fleet.Mode != scenario.Through {
		note = 0
	}
	d.after(s.way(), func() { s.heard(o, note) })
}

var proofs = map[policy.Outcome]record.Proof{policy.Fulfilled: record.WasServed, policy.CacheMiss: record.Missed, policy.Rejected: record.NeverRan}

// giveUp ends the connection that carries an attempt; its server hears that.
func (s *attempt) giveUp() {
	if s.over {
		return
	}
	d := s.b.d
	if s.ended == 0 || s.ended > d.now { // an answer that is still on its way proves nothing to who does not wait for it
		// As on sockets, where the end of a connection is noted as it is made, however long its way.
		s.ended, s.whole, s.proof = d.now, false, record.Nothing
	}
	d.after(s.way(), func() {
		if !s.whole {
			if s.to != nil && s.to.m != nil && s.to.m.GiveUp(s.call.id) {
				s.to.leaves(s)
			} else if s.to == nil {
				d.gateway.m.GiveUp(s.call.id)
			}
		}
	})
}

// heard is what came for an attempt: the balancer looks at it when it runs.
func (s *attempt) heard(o policy.Outcome, note int) {
	if s.b.mod == nil || s.b.lives != s.lives {
		s.end(o, note)
		return
	}
	s.b.awake(func() { s.end(o, note) }, nil)
}

// end lets the balancer hear how an attempt ended.
func (s *attempt) end(o policy.Outcome, note int) {
	b := s.b
	if s.over {
		return
	}
	s.over = true
	if b.mod == nil || b.lives != s.lives {
		return
	}
	if b.d.wrong.lie != nil {
		o = b.d.wrong.lie(o)
	}
	c := s.call
	c.out--
	b.d.note("end %s/%d %d %d", c.id, s.n, o, note)
	won := o == policy.Fulfilled && !c.settled
	if won {
		c.settle(record.Fulfilled, 0)
	}
	if b.seen != nil && s.to != nil {
		slo := policy.Nanos(b.d.Products[c.rec.Product].LatencySLO)
		if good, proves := evidence.Classify(o, policy.Nanos(b.d.now-s.sent), slo); proves {
			b.seen.RecordAttempt(b.d.now, s.to.id, good)
		}
	}
	b.mod.AttemptEnded(policy.AttemptResult{RequestID: policy.RequestID(c.id), Attempt: s.n, Final: c.settled, Outcome: o, Duration: policy.Nanos(b.d.now - s.sent),
		HostID: policy.HostID(s.server())})
	b.leave(c)
}
