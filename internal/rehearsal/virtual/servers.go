package virtual

import (
	"math/rand/v2"
	"time"

	"streamrail/internal/rehearsal/model"
	"streamrail/internal/rehearsal/record"
	"streamrail/internal/rehearsal/scenario"
	"streamrail/policy"
)

// node is a cache node.
type node struct {
	d      *Day
	id     string
	group  *scenario.Node
	m      *model.Node // nil while its process is down
	silent bool        // its machine says nothing
	born   time.Duration
	cold   bool
	dueAt  time.Duration
	out    []*attempt // in hand, in the order of their coming
	links  []link     // by balancer
	chance *rand.Rand

	spoil, reset, fail float64
}

type link struct {
	more time.Duration // than the usual way
	cut  bool
}

// idle is the moment of a server that waits for nothing.
const idle = time.Duration(1<<63 - 1)

func (d *Day) addNode(id string, g *scenario.Node, cold bool) *node {
	n := &node{d: d, id: id, group: g, chance: model.Stream(d.Seed, "faults "+id), links: make([]link, len(d.balancers))}
	d.nodes[id] = n
	d.order = append(d.order, n)
	n.start(cold)
	return n
}

func (n *node) start(cold bool) {
	n.m = model.NewNode(n.d.NodeTerms(n.group), n.d.now, cold, model.Stream(n.d.Seed, "pauses "+n.id))
	n.silent, n.cold, n.dueAt, n.born = false, cold, idle, 0
	if cold {
		n.born = n.d.now
		n.d.rec.ColdLast[n.id] = n.d.now + n.group.WarmFor.Duration()
	}
}

// stop ends the node's process; what it had in hand is lost with it.
func (n *node) stop(silent bool) {
	if n.m == nil {
		return
	}
	n.d.rec.Strain(n.id, n.m.Strain())
	n.m, n.silent = nil, silent
	out := n.out
	n.out = nil
	for _, s := range out {
		if !silent {
			s.answer(policy.Reset, 0)
		}
	}
}

func (n *node) entry(c model.Condition) model.Entry {
	return model.Entry{Node: n.id, Zone: n.group.Zone, Kind: "cache", Condition: c, Weight: n.group.Speed * float64(n.group.Cores), Born: n.born}
}

// change disturbs the node from now on.
func (n *node) change(do func()) {
	if n.m != nil {
		n.advance()
		do()
		n.awaits()
	}
}

// offer takes an attempt that has come.
func (n *node) offer(s *attempt) {
	s.came = n.d.now
	switch {
	case n.silent || n.links[s.b.index].cut:
		s.swallowed = true
		return
	case n.m == nil:
		s.refused()
		return
	}
	n.advance()
	if n.m == nil { // it fell over just now
		s.answer(policy.Reset, 0)
		return
	}
	s.cold = n.m.Cold(n.d.now)
	if !n.m.Offer(n.d.now, model.Job{ID: s.call.id, Key: s.call.key, Mark: s.call.mark, Write: s.call.write, Work: s.work, Tag: s}) {
		s.answer(policy.Rejected, 0)
	} else {
		n.out = append(n.out, s)
	}
	n.awaits()
}

// advance plays the model up to now.
func (n *node) advance() {
	for _, done := range n.m.Advance(n.d.now) {
		s, ok := done.Tag.(*attempt)
		if !ok {
			continue
		}
		n.leaves(s)
		s.ran = !done.Lost
		switch {
		case done.Lost:
			s.answer(policy.Reset, 0)
		case n.fail > 0 && n.chance.Float64() < n.fail:
			s.answer(policy.Errored, 0)
		case n.reset > 0 && n.chance.Float64() < n.reset:
			s.answer(policy.Reset, 0)
		case n.spoil > 0 && n.chance.Float64() < n.spoil:
			s.answer(policy.MalformedAnswer, 0)
		case n.d.Fleet.Mode == scenario.Through && (done.Write || !done.Hit):
			n.through(s, done)
		case done.Write:
			s.answer(policy.Errored, 0)
		case done.Hit:
			s.answer(policy.Fulfilled, 1)
		default:
			s.call.missed = append(s.call.missed, n)
			s.answer(policy.CacheMiss, 2)
		}
	}
	if at, multiple, fell := n.m.Fallen(); fell && n.cold {
		n.cold = false
		n.d.rec.Falls = append(n.d.rec.Falls, record.Fall{Server: n.id, At: at, Multiple: multiple})
		n.stop(false)
		n.d.list(n, model.Left)
	}
}

func (n *node) leaves(s *attempt) {
	for i, x := range n.out {
		if x == s {
			n.out = append(n.out[:i], n.out[i+1:]...)
			return
		}
	}
}

// through asks the gateway for a read's value or hands a write on. Fetches of one key are not joined here.
func (n *node) through(s *attempt, done model.Done) {
	n.d.gateway.take(s.call, done.Write, func(r fetched) {
		switch {
		case r.full:
			s.answer(policy.Rejected, 2)
		case r.lost:
			s.answer(policy.Errored, 2)
		default:
			if n.m != nil && !done.Write {
				n.m.Keep(s.call.key, r.version, n.d.Load.ValueSize)
			}
			s.answer(policy.Fulfilled, 2)
		}
	})
}

// awaits sets when the node is looked at next.
func (n *node) awaits() {
	if n.m == nil {
		return
	}
	due := n.m.Due()
	if due >= n.dueAt || due == idle {
		return
	}
	n.dueAt = due
	m := n.m
	n.d.at(due, func() {
		if n.m != m || n.dueAt != due {
			return // another process, or looked at by then
		}
		n.dueAt = idle
		n.advance()
		n.awaits()
	})
}

// gateway is the slow store.
type gateway struct {
	d           *Day
	m           *model.Gateway
	dueAt       time.Duration
	told, stops int
	reset, fail float64
	chance      *rand.Rand
}

type fetched struct {
	lost, full bool
	version    uint64
}

// take sends a job; done hears what came of it.
func (g *gateway) take(c *call, write bool, done func(fetched)) {
	g.advance()
	work := model.Work(g.d.Seed, "gateway "+c.id, model.Exponential, g.d.Gateway.Time.Duration(), 1)
	if !g.m.Offer(g.d.now, model.Job{ID: c.id, Key: c.key, Mark: c.mark, Write: write, Work: work, Tag: done}) {
		g.d.after(0, func() { done(fetched{full: true}) })
	}
	g.awaits()
}

// offer takes a balancer's attempt.
func (g *gateway) offer(s *attempt) {
	s.came = g.d.now
	if g.fail > 0 && g.chance.Float64() < g.fail {
		s.answer(policy.Errored, 0)
		return
	}
	reset := g.reset > 0 && g.chance.Float64() < g.reset
	g.take(s.call, s.call.write, func(r fetched) {
		s.ran = !r.lost && !r.full
		switch {
		case r.full:
			s.answer(policy.Rejected, 0)
		case r.lost || reset:
			s.answer(policy.Reset, 0)
		default:
			s.answer(policy.Fulfilled, 0)
		}
		if s.ran && !s.call.write {
			for _, n := range s.call.missed {
				if n.m != nil {
					n.m.Keep(s.call.key, r.version, g.d.Load.ValueSize)
				}
			}
			s.call.missed = nil
		}
	})
}

func (g *gateway) advance() {
	for _, done := range g.m.Advance(g.d.now) {
		if done.Write && !done.Lost {
			for _, n := range g.d.order {
				if n.m != nil {
					n.m.Void(done.Key, done.Version)
				}
			}
		}
		done.Tag.(func(fetched))(fetched{lost: done.Lost, version: done.Version})
	}
	for _, e := range g.m.Effects()[g.told:] {
		g.d.rec.Effects = append(g.d.rec.Effects, record.Effect{Call: e.ID, Mark: e.Mark, At: e.At})
		g.told++
	}
	for _, s := range g.m.Stops()[g.stops:] {
		g.d.rec.Falls = append(g.d.rec.Falls, record.Fall{Server: record.Gateway, At: s.At, Multiple: s.Multiple})
		g.stops++
	}
}

func (g *gateway) awaits() {
	due := g.m.Due()
	if due >= g.dueAt || due == idle {
		return
	}
	g.dueAt = due
	g.d.at(due, func() {
		if g.dueAt == due {
			g.dueAt = idle
			g.advance()
			g.awaits()
		}
	})
}
