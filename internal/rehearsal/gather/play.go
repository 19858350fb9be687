// Package gather plays a fleet's membership in virtual time: the state machines as they ship, on one clock, with datagrams
// that are late, lost, repeated or cut. A seed gives the same play every time.
package gather

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

// Terms are what is fixed of a play.
type Terms struct {
	Mates   int
	Zones   int
	Seeds   int // addresses that each is given to ask first
	Period  time.Duration
	Suspect time.Duration
	Budget  int
	Seed    uint64
	Ways    model.WayTerms // between any two, at first
}

// Play is a fleet at a moment.
type Play struct {
	Now   time.Duration
	Mates []*Mate
	// Twist may change what a mate sends, and what it hears (in), before that goes on: a wrong member, for tests.
	Twist func(mate int, in bool, msg *member.Message)
	// On hears what each machine tells; Sent what leaves each; both may be nil.
	On   func(mate int, e member.Event)
	Sent func(mate, to, bytes int)

	// Shares, where given, are the bounds whose parts move; Wrong may change a machine after its turn, for tests.
	Shares *Shares
	Wrong  func(mate int, m *share.Machine)

	terms  Terms
	ways   map[[2]int]*model.Way
	common *model.Way
	cut    func(from, to int) bool
	queue  queue
	count  uint64
	lives  uint64
	names  map[int]int // a mate that has another's name by mistake
	lost   bool        // the next start is given addresses where nobody is
	dice   *rand.Rand
}

// Shares are the bounds of a fleet whose parts move.
type Shares struct {
	Names []string
	Bound []float64
	Grain []float64
	Floor []float64
	Lease time.Duration
	Need  func(mate, name int, now time.Duration) float64 // what came in there lately, in the bound's unit
}

// Mate is one balancer's place in the play.
type Mate struct {
	*member.Machine // nil while nobody runs here
	Share           *share.Machine
	Starts          int
	Stalled         time.Duration // until then
	held            []event       // what came meanwhile
	gen             uint32
	armed           time.Duration
	Bytes, Sent     int64
}

// mostHeld bounds what a socket keeps for a process that stands still.
const mostHeld = 250

// New makes a fleet of which nobody runs yet.
func New(t Terms) *Play {
	p := &Play{terms: t, ways: map[[2]int]*model.Way{}, dice: model.Stream(t.Seed, "gather")}
	p.common = model.NewWay(t.Ways, p.dice)
	for range t.Mates {
		p.Mates = append(p.Mates, &Mate{})
	}
	return p
}

func addr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7946)
}

func index(a netip.AddrPort) int {
	b := a.Addr().As4()
	return int(b[1])<<16 | int(b[2])<<8 | int(b[3])
}

// Start runs a new process at a place.
func (p *Play) Start(i int) {
	m := p.Mates[i]
	if m.Machine != nil {
		return
	}
	m.Starts++
	p.lives++
	t := member.Config{ExpectedMembers: p.terms.Mates, ProbeInterval: p.terms.Period, SuspicionTimeout: p.terms.Suspect, GossipBytesPerSecond: p.terms.Budget,
		MaxMembers: 4*p.terms.Mates + 64, Seed: p.dice.Uint64()}
	name := record.MateName(i)
	if other, ok := p.names[i]; ok {
		name = record.MateName(other)
	}
	t.Self = member.Record{Life: member.NewProcessID(p.Now.Milliseconds()+1, p.lives), Name: name, Zone: "z" + strconv.Itoa(i%max(1, p.terms.Zones)), Addr: addr(i)}
	for s := range min(p.terms.Seeds, p.terms.Mates) {
		if p.lost {
			s += p.terms.Mates
		}
		t.Seeds = append(t.Seeds, addr(s))
	}
	m.Machine = member.New(t, p.Now, nil)
	m.gen++
	m.Stalled, m.held, m.armed = 0, nil, 0
	p.take(i)
	if s := p.Shares; s != nil {
		m.Share = share.New(share.Config{Self: m.Machine.ProcessID(), Balancers: p.terms.Mates, Names: s.Names, Limits: s.Bound, NeedPerItem: s.Grain, ReservedFraction: s.Floor, Lease: s.Lease,
			FirstAskNumber: uint64(p.Now/time.Microsecond) + 1, Seed: p.dice.Uint64()}, p.Now)
		p.push(event{at: p.Now + time.Duration(p.dice.Int64N(int64(share.TickInterval))), kind: turn, to: int32(i), gen: m.gen})
	}
}

// shareTurn lets a mate's parts look at its needs.
func (p *Play) shareTurn(i int) {
	m := p.Mates[i]
	for name := range p.Shares.Names {
		m.Share.SetNeed(p.Now, name, p.Shares.Need(i, name, p.Now))
	}
	lives, _ := m.Machine.AliveMembers()
	m.Share.Tick(p.Now, lives)
	p.takeShare(i)
	if p.Wrong != nil {
		p.Wrong(i, m.Share)
	}
	p.push(event{at: p.Now + share.TickInterval, kind: turn, to: int32(i), gen: m.gen})
}

// letterBytes bounds a letter about so many bounds.
func letterBytes(wants int) int { return 130 + 30*wants }

// takeShare moves the letters of a mate's parts.
func (p *Play) takeShare(i int) {
	m := p.Mates[i]
	for _, s := range m.Share.TakeOutput() {
		at, ok := m.Machine.Envelope(s.To)
		if !ok {
			continue
		}
		to, n := index(at.To), letterBytes(len(s.Msg.Entries))
		m.Bytes += int64(n)
		m.Sent++
		if to >= len(p.Mates) || p.cut != nil && p.cut(i, to) {
			continue
		}
		w := p.common
		if own := p.ways[[2]int{i, to}]; own != nil {
			w = own
		}
		l := &parcel{m.Machine.ProcessID(), s.To, s.Msg}
		for _, d := range w.Pass(p.Now, n) {
			if !d.Spoilt {
				p.push(event{at: d.At, kind: letter, to: int32(to), from: int32(i), share: l})
			}
		}
	}
}

// parcel is a letter about parts on its way.
type parcel struct {
	from, to member.ProcessID
	msg      share.Message
}

// Kill ends the process at a place without a word.
func (p *Play) Kill(i int) {
	m := p.Mates[i]
	m.Machine, m.Share = nil, nil
	m.gen++
	m.held = nil
}

// Leave ends it in order.
func (p *Play) Leave(i int) {
	if m := p.Mates[i]; m.Machine != nil {
		m.Machine.Leave(p.Now)
		p.take(i)
		p.Kill(i)
	}
}

// Stall has the process at a place stand still.
func (p *Play) Stall(i int, d time.Duration) {
	if m := p.Mates[i]; m.Machine != nil && m.Stalled <= p.Now {
		m.Stalled = p.Now + d
		p.push(event{at: m.Stalled, kind: wake, to: int32(i), gen: m.gen})
	}
}

// Cut tells which ways lose all from now on; nil for none.
func (p *Play) Cut(cut func(from, to int) bool) { p.cut = cut }

// Way is the way between two, apart from the common one from now on.
func (p *Play) Way(from, to int) *model.Way {
	w := p.ways[[2]int{from, to}]
	if w == nil {
		w = model.NewWay(p.terms.Ways, p.dice)
		p.ways[[2]int{from, to}] = w
	}
	return w
}

// Run goes on until a moment.
func (p *Play) Run(until time.Duration) {
	for len(p.queue) > 0 && p.queue[0].at <= until {
		p.step()
	}
	p.Now = until
}

func (p *Play) step() {
	e := p.queue.pop()
	p.Now = e.at
	m := p.Mates[e.to]
	arrives := e.kind == deliver || e.kind == letter
	if m.Machine == nil || !arrives && e.gen != m.gen {
		return
	}
	if m.Stalled > p.Now {
		if e.kind == turn {
			e.at = m.Stalled
			p.push(e)
		} else if arrives && len(m.held) < mostHeld {
			m.held = append(m.held, e)
		} else if e.kind == tick {
			m.armed = 0
		}
		return
	}
	switch e.kind {
	case deliver:
		if p.Twist != nil {
			msg := *e.msg
			msg.Updates, msg.Records = slices.Clone(msg.Updates), slices.Clone(msg.Records)
			p.Twist(int(e.to), true, &msg)
			e.msg = &msg
		}
		m.Machine.Receive(p.Now, addr(int(e.from)), e.msg)
	case tick:
		if m.armed != e.at { // another has taken its place
			return
		}
		m.armed = 0
		m.Machine.Tick(p.Now)
	case letter:
		p.hearShare(int(e.to), e.share)
		return
	case turn:
		p.shareTurn(int(e.to))
		return
	case wake:
		// The clock's turn and what has come are both there; which is first is chance.
		if p.dice.IntN(2) == 0 {
			m.Machine.Tick(p.Now)
			p.take(int(e.to))
		}
		held := m.held
		m.held = nil
		for _, h := range held {
			if h.kind == letter {
				p.hearShare(int(e.to), h.share)
				continue
			}
			m.Machine.Receive(p.Now, addr(int(h.from)), h.msg)
			p.take(int(e.to))
		}
		m.Machine.Tick(p.Now)
	}
	p.take(int(e.to))
}

func (p *Play) hearShare(i int, l *parcel) {
	m := p.Mates[i]
	if m.Share != nil && l.to == m.Machine.ProcessID() && m.Machine.IsPresent(l.from) {
		m.Share.Receive(p.Now, l.from, &l.msg)
		p.takeShare(i)
	}
}

// take moves what a machine sends and tells, and arms its next turn.
func (p *Play) take(i int) {
	m := p.Mates[i]
	sends, events := m.Machine.TakeOutput()
	for k := range sends {
		s := &sends[k]
		if p.Twist != nil {
			p.Twist(i, false, &s.Msg)
		}
		to := index(s.To)
		n := s.Msg.Size()
		m.Bytes += int64(n)
		m.Sent++
		if p.Sent != nil {
			p.Sent(i, to, n)
		}
		if to >= len(p.Mates) || p.cut != nil && p.cut(i, to) {
			continue
		}
		w := p.common
		if len(p.ways) > 0 {
			if own := p.ways[[2]int{i, to}]; own != nil {
				w = own
			}
		}
		msg := new(member.Message)
		*msg = s.Msg
		for _, d := range w.Pass(p.Now, n) {
			if !d.Spoilt { // a spoilt one is dropped by its checksum
				p.push(event{at: d.At, kind: deliver, to: int32(to), from: int32(i), msg: msg})
			}
		}
	}
	if p.On != nil {
		for _, e := range events {
			p.On(i, e)
		}
	}
	if due := max(m.Machine.Due(), p.Now); m.armed == 0 || due < m.armed {
		m.armed = due
		p.push(event{at: due, kind: tick, to: int32(i), gen: m.gen})
	}
}

type kind uint8

const (
	deliver kind = iota
	tick
	wake
	letter
	turn
)

type event struct {
	at       time.Duration
	n        uint64
	msg      *member.Message
	share    *parcel
	to, from int32
	gen      uint32
	kind     kind
}

func (p *Play) push(e event) {
	p.count++
	e.n = p.count
	p.queue.push(e)
}

// queue is a heap of four branches, by time and then by when things were asked for.
type queue []event

func (a *event) before(b *event) bool { return a.at < b.at || a.at == b.at && a.n < b.n }

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
