// Package membersim simulates the membership protocol of a fleet of balancers in virtual time. It runs the production state
// machines of packages member and share on one simulated clock, over links that can delay, lose, duplicate or cut
// datagrams. The same seed always gives the same simulation.
package membersim

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"streamrail/internal/fleet/member"
	"streamrail/internal/fleet/share"
	"streamrail/internal/rehearsal/model"
	"streamrail/internal/rehearsal/record"
)

// Config holds the fixed parameters of a simulation.
type Config struct {
	Members              int
	Zones                int
	Seeds                int // number of seed addresses that each member starts with
	ProbePeriod          time.Duration
	SuspicionTimeout     time.Duration
	GossipBytesPerSecond int
	Seed                 uint64
	Links                model.LinkConfig // initial properties of the link between any two members
}

// Fleet is a simulated fleet and its current state.
type Fleet struct {
	Now     time.Duration
	Members []*Member
	// AlterMessage may change a message that a member sends, or receives (in is true), before it is processed further. Tests use
	// it to simulate a faulty member.
	AlterMessage func(index int, in bool, msg *member.Message)
	// OnEvent is called with each event that a state machine reports, OnSend for each datagram that a member sends. Both may be
	// nil.
	OnEvent func(index int, e member.Event)
	OnSend  func(index, to, bytes int)

	// Limits, if set, are the limits whose shares move between members. AlterShare may change a share machine after its
	// periodic tick, for tests.
	Limits     *Limits
	AlterShare func(index int, m *share.Machine)

	config         Config
	links          map[[2]int]*model.Link
	defaultLink    *model.Link
	cut            func(from, to int) bool
	queue          queue
	eventCount     uint64
	starts         uint64
	nameOverrides  map[int]int // by member: the member whose name it uses by mistake
	nextSeedsWrong bool        // the next start gets seed addresses at which no member listens
	rng            *rand.Rand
}

// Limits are the limits of a fleet whose shares move between its members. The slices are indexed by limit.
type Limits struct {
	Names   []string
	Limit   []float64                                        // value of the whole limit, in its own unit
	Step    []float64                                        // what a single request or connection adds to the demand
	Minimum []float64                                        // fraction of a member's home share that is never lent
	Lease   time.Duration                                    // how long a share is lent
	Demand  func(index, name int, now time.Duration) float64 // recent demand at a member, in the limit's unit
}

// Member is one balancer of the simulation. Over time it may run several processes, one after the other.
type Member struct {
	*member.Machine          // nil while no process runs
	Share                    *share.Machine
	Starts                   int
	StalledUntil             time.Duration // the process does not run before this time
	queued                   []event       // datagrams that arrived while the process was stalled
	generation               uint32
	timerAt                  time.Duration
	BytesSent, DatagramsSent int64
}

// maxQueued is how many datagrams a socket buffers for a stalled process; further ones are lost.
const maxQueued = 250

// New returns a fleet in which no process runs yet.
func New(t Config) *Fleet {
	p := &Fleet{config: t, links: map[[2]int]*model.Link{}, rng: model.NewRand(t.Seed, "gather")}
	p.defaultLink = model.NewLink(t.Links, p.rng)
	for range t.Members {
		p.Members = append(p.Members, &Member{})
	}
	return p
}

func addr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7946)
}

func memberIndex(a netip.AddrPort) int {
	b := a.Addr().As4()
	return int(b[1])<<16 | int(b[2])<<8 | int(b[3])
}

// Start starts a new process for a balancer; it does nothing if one runs already.
func (p *Fleet) Start(i int) {
	m := p.Members[i]
	if m.Machine != nil {
		return
	}
	m.Starts++
	p.starts++
	t := member.Config{ExpectedMembers: p.config.Members, ProbeInterval: p.config.ProbePeriod, SuspicionTimeout: p.config.SuspicionTimeout, GossipBytesPerSecond: p.config.GossipBytesPerSecond,
		MaxMembers: 4*p.config.Members + 64, Seed: p.rng.Uint64()}
	name := record.BalancerName(i)
	if other, ok := p.nameOverrides[i]; ok {
		name = record.BalancerName(other)
	}
	t.Self = member.Record{Life: member.NewProcessID(p.Now.Milliseconds()+1, p.starts), Name: name, Zone: "z" + strconv.Itoa(i%max(1, p.config.Zones)), Addr: addr(i)}
	for s := range min(p.config.Seeds, p.config.Members) {
		if p.nextSeedsWrong {
			s += p.config.Members
		}
		t.Seeds = append(t.Seeds, addr(s))
	}
	m.Machine = member.New(t, p.Now, nil)
	m.generation++
	m.StalledUntil, m.queued, m.timerAt = 0, nil, 0
	p.flush(i)
	if s := p.Limits; s != nil {
		m.Share = share.New(share.Config{Self: m.Machine.ProcessID(), Balancers: p.config.Members, Names: s.Names, Limits: s.Limit, NeedPerItem: s.Step, ReservedFraction: s.Minimum, Lease: s.Lease,
			FirstAskNumber: uint64(p.Now/time.Microsecond) + 1, Seed: p.rng.Uint64()}, p.Now)
		p.push(event{at: p.Now + time.Duration(p.rng.Int64N(int64(share.TickInterval))), kind: shareTick, to: int32(i), generation: m.generation})
	}
}

// tickShare passes a member's current demand to its share machine and runs the machine's periodic tick.
func (p *Fleet) tickShare(i int) {
	m := p.Members[i]
	for name := range p.Limits.Names {
		m.Share.SetNeed(p.Now, name, p.Limits.Demand(i, name, p.Now))
	}
	alive, _ := m.Machine.AliveMembers()
	m.Share.Tick(p.Now, alive)
	p.flushShare(i)
	if p.AlterShare != nil {
		p.AlterShare(i, m.Share)
	}
	p.push(event{at: p.Now + share.TickInterval, kind: shareTick, to: int32(i), generation: m.generation})
}

// shareMessageBytes is an upper bound for the size of a share message about this many limits.
func shareMessageBytes(wants int) int { return 130 + 30*wants }

// flushShare sends the pending messages of a member's share machine over the simulated links.
func (p *Fleet) flushShare(i int) {
	m := p.Members[i]
	for _, s := range m.Share.TakeOutput() {
		at, ok := m.Machine.Envelope(s.To)
		if !ok {
			continue
		}
		to, size := memberIndex(at.To), shareMessageBytes(len(s.Msg.Entries))
		m.BytesSent += int64(size)
		m.DatagramsSent++
		if to >= len(p.Members) || p.cut != nil && p.cut(i, to) {
			continue
		}
		link := p.defaultLink
		if override := p.links[[2]int{i, to}]; override != nil {
			link = override
		}
		delivery := &shareDelivery{m.Machine.ProcessID(), s.To, s.Msg}
		for _, d := range link.Send(p.Now, size) {
			if !d.Corrupt {
				p.push(event{at: d.At, kind: deliverShare, to: int32(to), from: int32(i), share: delivery})
			}
		}
	}
}

// shareDelivery is a share message in transit.
type shareDelivery struct {
	from, to member.ProcessID
	msg      share.Message
}

// Kill ends a balancer's process without notice to the other members.
func (p *Fleet) Kill(i int) {
	m := p.Members[i]
	m.Machine, m.Share = nil, nil
	m.generation++
	m.queued = nil
}

// Leave ends a balancer's process after it has announced its departure to the other members.
func (p *Fleet) Leave(i int) {
	if m := p.Members[i]; m.Machine != nil {
		m.Machine.Leave(p.Now)
		p.flush(i)
		p.Kill(i)
	}
}

// Stall suspends a balancer's process for the given time.
func (p *Fleet) Stall(i int, d time.Duration) {
	if m := p.Members[i]; m.Machine != nil && m.StalledUntil <= p.Now {
		m.StalledUntil = p.Now + d
		p.push(event{at: m.StalledUntil, kind: wake, to: int32(i), generation: m.generation})
	}
}

// Cut sets which links lose all datagrams from now on; nil means none.
func (p *Fleet) Cut(cut func(from, to int) bool) { p.cut = cut }

// Link returns the link from one member to another. From the first call on, this link has its own properties instead of the
// default ones.
func (p *Fleet) Link(from, to int) *model.Link {
	link := p.links[[2]int{from, to}]
	if link == nil {
		link = model.NewLink(p.config.Links, p.rng)
		p.links[[2]int{from, to}] = link
	}
	return link
}

// Run advances the simulation up to the given time.
func (p *Fleet) Run(until time.Duration) {
	for len(p.queue) > 0 && p.queue[0].at <= until {
		p.step()
	}
	p.Now = until
}

func (p *Fleet) step() {
	e := p.queue.pop()
	p.Now = e.at
	m := p.Members[e.to]
	arrives := e.kind == deliver || e.kind == deliverShare
	if m.Machine == nil || !arrives && e.generation != m.generation {
		return
	}
	if m.StalledUntil > p.Now {
		if e.kind == shareTick {
			e.at = m.StalledUntil
			p.push(e)
		} else if arrives && len(m.queued) < maxQueued {
			m.queued = append(m.queued, e)
		} else if e.kind == tick {
			m.timerAt = 0
		}
		return
	}
	switch e.kind {
	case deliver:
		if p.AlterMessage != nil {
			msg := *e.msg
			msg.Updates, msg.Records = slices.Clone(msg.Updates), slices.Clone(msg.Records)
			p.AlterMessage(int(e.to), true, &msg)
			e.msg = &msg
		}
		m.Machine.Receive(p.Now, addr(int(e.from)), e.msg)
	case tick:
		if m.timerAt != e.at { // an earlier timer has replaced this one
			return
		}
		m.timerAt = 0
		m.Machine.Tick(p.Now)
	case deliverShare:
		p.receiveShare(int(e.to), e.share)
		return
	case shareTick:
		p.tickShare(int(e.to))
		return
	case wake:
		// After a stall the timer and the buffered datagrams are due at once; a real process may handle either first.
		if p.rng.IntN(2) == 0 {
			m.Machine.Tick(p.Now)
			p.flush(int(e.to))
		}
		queued := m.queued
		m.queued = nil
		for _, q := range queued {
			if q.kind == deliverShare {
				p.receiveShare(int(e.to), q.share)
				continue
			}
			m.Machine.Receive(p.Now, addr(int(q.from)), q.msg)
			p.flush(int(e.to))
		}
		m.Machine.Tick(p.Now)
	}
	p.flush(int(e.to))
}

func (p *Fleet) receiveShare(i int, delivery *shareDelivery) {
	m := p.Members[i]
	if m.Share != nil && delivery.to == m.Machine.ProcessID() && m.Machine.IsPresent(delivery.from) {
		m.Share.Receive(p.Now, delivery.from, &delivery.msg)
		p.flushShare(i)
	}
}

// flush sends a member machine's pending datagrams over the simulated links, reports its events and sets its next timer.
func (p *Fleet) flush(i int) {
	m := p.Members[i]
	sends, events := m.Machine.TakeOutput()
	for k := range sends {
		s := &sends[k]
		if p.AlterMessage != nil {
			p.AlterMessage(i, false, &s.Msg)
		}
		to := memberIndex(s.To)
		size := s.Msg.Size()
		m.BytesSent += int64(size)
		m.DatagramsSent++
		if p.OnSend != nil {
			p.OnSend(i, to, size)
		}
		if to >= len(p.Members) || p.cut != nil && p.cut(i, to) {
			continue
		}
		link := p.defaultLink
		if len(p.links) > 0 {
			if override := p.links[[2]int{i, to}]; override != nil {
				link = override
			}
		}
		msg := new(member.Message)
		*msg = s.Msg
		for _, d := range link.Send(p.Now, size) {
			if !d.Corrupt { // receivers drop corrupted datagrams because of the checksum
				p.push(event{at: d.At, kind: deliver, to: int32(to), from: int32(i), msg: msg})
			}
		}
	}
	if p.OnEvent != nil {
		for _, e := range events {
			p.OnEvent(i, e)
		}
	}
	if due := max(m.Machine.Due(), p.Now); m.timerAt == 0 || due < m.timerAt {
		m.timerAt = due
		p.push(event{at: due, kind: tick, to: int32(i), generation: m.generation})
	}
}

// kind is the kind of an event.
type kind uint8

const (
	deliver kind = iota
	tick
	wake
	deliverShare
	shareTick
)

type event struct {
	at         time.Duration
	seq        uint64
	msg        *member.Message
	share      *shareDelivery
	to, from   int32
	generation uint32
	kind       kind
}

func (p *Fleet) push(e event) {
	p.eventCount++
	e.seq = p.eventCount
	p.queue.push(e)
}

// queue is a 4-ary heap of events, ordered by time and then by the order of scheduling.
type queue []event

func (a *event) before(b *event) bool { return a.at < b.at || a.at == b.at && a.seq < b.seq }

func (q *queue) push(e event) {
	*q = append(*q, e)
	h := *q
	i := len(h) - 1
	for i > 0 {
		up := (i - 1) / 4
		if !e.before(&h[up]) {
			break
		}
		h[i] = h[up]
		i = up
	}
	h[i] = e
}

func (q *queue) pop() event {
	h := *q
	top, last := h[0], h[len(h)-1]
	h[len(h)-1] = event{}
	h = h[:len(h)-1]
	*q = h
	if len(h) == 0 {
		return top
	}
	i := 0
	for {
		least := 4*i + 1
		if least >= len(h) {
			break
		}
		for c := least + 1; c < min(4*i+5, len(h)); c++ {
			if h[c].before(&h[least]) {
				least = c
			}
		}
		if !h[least].before(&last) {
			break
		}
		h[i] = h[least]
		i = least
	}
	h[i] = last
	return top
}
