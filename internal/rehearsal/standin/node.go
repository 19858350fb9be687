package standin

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"streamrail/internal/rehearsal/model"
	"streamrail/internal/rehearsal/record"
	"streamrail/internal/rehearsal/scenario"
)

// Node is a cache node on sockets: a link for each balancer, one model.
type Node struct {
	w     *World
	ID    string
	Zone  string
	Group *scenario.Node
	links []*link
	player

	mu       sync.Mutex
	m        *model.Node // nil while it is down
	born     time.Duration
	cold     bool
	open     int // connections
	spoil    float64
	reset    float64
	fail     float64
	chance   *rand.Rand
	fetch    map[string][]*attempt // through: attempts that wait for a key that is being fetched
	attempts map[*attempt]struct{} // in hand
}

// AddNode makes a node and opens its links, at the addresses of one that has ended if that is given. A node that is not
// cold has been up for long.
func (w *World) AddNode(id string, g *scenario.Node, cold bool, old *Node) (*Node, error) {
	n := &Node{w: w, ID: id, Zone: g.Zone, Group: g, player: newPlayer(), chance: model.Stream(w.Day.Seed, "faults "+id)}
	for b := range w.Day.Fleet.Balancers {
		l := &link{balancer: b, node: id, delay: w.way(b, g.Zone), serve: n.serve}
		if old != nil {
			l.addr = old.links[b].addr
		}
		n.links = append(n.links, l)
	}
	w.mu.Lock()
	w.nodes[id] = n
	w.mu.Unlock()
	go n.play(n.step)
	return n, n.Start(cold)
}

// Start brings the node up as a new process.
func (n *Node) Start(cold bool) error {
	n.mu.Lock()
	now := n.w.Now()
	n.m = model.NewNode(n.w.Day.NodeTerms(n.Group), now, cold, model.Stream(n.w.Day.Seed, "pauses "+n.ID))
	n.born, n.cold, n.fetch, n.attempts = 0, cold, map[string][]*attempt{}, map[*attempt]struct{}{}
	if cold {
		n.born = now
		n.w.Rec.Add(func() { n.w.Rec.ColdLast[n.ID] = now + n.Group.WarmFor.Duration() })
	}
	n.mu.Unlock()
	for _, l := range n.links {
		if err := l.open(n.w); err != nil {
			return fmt.Errorf("node %s: %w", n.ID, err)
		}
	}
	return nil
}

// Stop ends the node as the end of its process does: connections break, new ones are refused.
func (n *Node) Stop() {
	n.down()
	for _, l := range n.links {
		l.close(n.w)
	}
}

// Vanish makes the node and its machine silent.
func (n *Node) Vanish() {
	for _, l := range n.links {
		l.sever(n.w)
	}
	n.down()
}

// Return brings a vanished node back as a new process.
func (n *Node) Return() error {
	for _, l := range n.links {
		if err := l.mend(n.w, true); err != nil {
			return err
		}
	}
	return n.Start(true)
}

// down ends the model; what it had in hand has run for nothing or never.
func (n *Node) down() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.m == nil {
		return
	}
	n.w.Rec.Strain(n.ID, n.m.Strain())
	n.m = nil
	for s := range n.attempts {
		s.finish(answer{lost: true})
	}
}

// Addr is where a balancer reaches the node.
func (n *Node) Addr(balancer int) string { return n.links[balancer].addr.String() }

// Entry is the node's line in the register.
func (n *Node) Entry(c model.Condition) model.Entry {
	n.mu.Lock()
	defer n.mu.Unlock()
	return model.Entry{Node: n.ID, Zone: n.Zone, Kind: "cache", Condition: c, Weight: n.Group.Speed * float64(n.Group.Cores), Born: n.born}
}

// Slow makes the node work so many times slower. It and the methods that follow disturb the node; their zero values end that.
func (n *Node) Slow(times float64) { n.change(func() { n.m.Slow(max(times, 1)) }) }

// Stall makes the node take calls and do none.
func (n *Node) Stall(on bool) { n.change(func() { n.m.Stall(on) }) }

// Spoil makes the node spoil a part of its answers.
func (n *Node) Spoil(part float64) { n.change(func() { n.spoil = part }) }

// Reset makes the node break the connection in the middle of a part of its answers.
func (n *Node) Reset(part float64) { n.change(func() { n.reset = part }) }

// Fail makes the node answer a part of its calls with an error.
func (n *Node) Fail(part float64) { n.change(func() { n.fail = part }) }

// Delay makes the way from a balancer so much longer than usual.
func (n *Node) Delay(balancer int, more time.Duration) {
	n.links[balancer].setDelay(n.w.way(balancer, n.Zone) + more)
}

// Cut makes the way from a balancer lose everything, or ends that.
func (n *Node) Cut(balancer int, on bool) error {
	if on {
		n.links[balancer].sever(n.w)
		return nil
	}
	return n.links[balancer].mend(n.w, false)
}

func (n *Node) change(do func()) {
	n.mu.Lock()
	if n.m != nil {
		n.advance(n.w.Now())
		do()
	}
	n.mu.Unlock()
	n.wake()
}

func (n *Node) keep(key string, version uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.m != nil {
		n.m.Keep(key, version, n.w.Day.Load.ValueSize)
	}
}

func (n *Node) void(key string, version uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.m != nil {
		n.m.Void(key, version)
	}
}

// Keep stores a value before the day begins.
func (n *Node) Keep(key string) { n.keep(key, 0) }

// step plays the model up to now and tells how long nothing is due.
func (n *Node) step() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.m == nil {
		return time.Hour
	}
	n.advance(n.w.Now())
	return min(time.Hour, max(0, n.m.Due()-n.w.Now()))
}

// advance plays the model up to a moment and ends what is done. Under n.mu.
func (n *Node) advance(now time.Duration) {
	for _, d := range n.m.Advance(now) {
		s, ok := d.Tag.(*attempt)
		if !ok {
			continue
		}
		s.ran = !d.Lost
		n.w.Late(d.At, now)
		switch {
		case d.Lost:
			s.finish(answer{lost: true})
		case n.fail > 0 && n.chance.Float64() < n.fail:
			s.finish(answer{failed: true})
		case n.w.Day.Fleet.Mode == scenario.Through && (d.Write || !d.Hit):
			n.through(s, d)
		case d.Write: // caches take no writes where balancers ask the gateway
			s.finish(answer{failed: true})
		case d.Hit:
			s.finish(answer{value: n.w.Value(d.Key, d.Version, d.ID), hit: true})
		default:
			n.w.miss(d.ID, n)
			s.finish(answer{miss: true})
		}
	}
	if at, multiple, fell := n.m.Fallen(); fell && n.cold {
		n.cold = false // told once
		n.w.Rec.Add(func() { n.w.Rec.Falls = append(n.w.Rec.Falls, record.Fall{Server: n.ID, At: at, Multiple: multiple}) })
		go func() {
			n.Stop()
			n.w.Register.Set(n.Entry(model.Left))
		}()
	}
}

// through asks the gateway for a read's value, once for all that wait for the key, or hands a write on. Under n.mu.
func (n *Node) through(s *attempt, d model.Done) {
	j := model.Job{ID: d.ID, Key: d.Key, Mark: d.Mark, Write: d.Write}
	if d.Write {
		go n.w.Gateway.take(j, func(r result) { // on its own: the gateway's lock is taken before a node's
			s.finish(answer{failed: r.lost, busy: r.full, receipt: !r.lost && !r.full})
		})
		return
	}
	waiting := n.fetch[d.Key]
	n.fetch[d.Key] = append(waiting, s)
	if len(waiting) > 0 {
		return
	}
	go n.w.Gateway.take(j, func(r result) {
		n.mu.Lock()
		waiting := n.fetch[j.Key]
		delete(n.fetch, j.Key)
		if n.m != nil && !r.lost && !r.full {
			n.m.Keep(j.Key, r.version, n.w.Day.Load.ValueSize)
		}
		n.mu.Unlock()
		for _, s := range waiting {
			switch {
			case r.full:
				s.finish(answer{busy: true})
			case r.lost:
				s.finish(answer{failed: true})
			default:
				s.finish(answer{value: n.w.Value(j.Key, r.version, s.id)})
			}
		}
	})
}

// offer sends an attempt to the model.
func (n *Node) offer(s *attempt) {
	n.mu.Lock()
	if n.m == nil {
		n.mu.Unlock()
		s.finish(answer{lost: true})
		return
	}
	now := n.w.Now()
	n.advance(now)
	s.cold = n.m.Cold(now)
	n.attempts[s] = struct{}{}
	j := model.Job{ID: s.id, Key: s.key, Mark: s.mark, Write: s.write, Work: s.work, Tag: s}
	if !n.m.Offer(now, j) {
		s.finish(answer{busy: true})
	} else {
		n.advance(n.w.Now()) // the smallest pieces of work are done by now, without a timer
	}
	n.mu.Unlock()
	n.wake()
}
