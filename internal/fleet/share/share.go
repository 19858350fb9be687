// Package share hands each balancer its present part of the bounds that hold for a whole fleet. Parts move by leases: what is
// lent is taken off the giver before the taker has it, and comes back to it after the taker has stopped using it. It is a state
// machine without I/O, clock or goroutine; docs/notes/limits.md has the proof and the bounds.
package share

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"streamrail/internal/fleet/member"
)

// Moment is a time on this process's own steady clock.
type Moment = time.Duration

// Part is a part of a bound, in billionths: whole numbers, so that what moves is what is left.
type Part int64

// All is a whole bound.
const All Part = 1e9

// Of is a part of a figure.
func (p Part) Of(bound float64) float64 { return bound * float64(p) / float64(All) }

// Terms are fixed for a process.
type Terms struct {
	Self  member.Life
	Among int           // balancers that the settings name
	Names []string      // of the bounds
	Bound []float64     // what each is, in its own unit
	Grain []float64     // what a single thing that came in adds to a need: needs differ from turn to turn by the root of what they count
	Floor []float64     // of a home part, never lent; LeastFloor at the least
	Lease time.Duration // for which a part is lent
	First uint64        // asks count from here; more than any process before under this life has counted to
	Seed  uint64
}

const (
	// skew is how far off a second any clock may be, either way; the note's proof stands on it.
	skew = 0.02
	// head is how much beyond its need a balancer wants: what comes in differs from one second to the next.
	head = 1.3
	// A balancer asks once its need is two deviations over its part, and then until it has enough of its need. Asking for what comes
	// and goes with chance took 49 KB/s of each of 24 whose tenants call them four times a second. It keeps as much beyond its need,
	// and gives back what is over when it has twice what it wants.
	chance = 2
	enough = 1.1
	// asksAtOnce members, and one in asksOf of all, are asked in a turn; the next turn asks others for what is still missing. So a
	// whole is gathered in a second and a half from any number. Half as many are asked after each turn whose answers brought nothing,
	// down to one: where all want more than there is, asking everybody took 24 KB/s of each of eight. mostRenewed bounds those who
	// are asked to go on lending.
	asksAtOnce  = 16
	asksOf      = 8
	mostRenewed = 1024 // in a turn; the rest in the next
	mostAskers  = 4096 // of one bound
	mostLeases  = 4096 // either way
	mostWants   = 32   // in one message
	// rollout is how far the settings of two balancers may differ while a new configuration goes round; the smaller figure holds.
	// Beyond that it is a fault, which must not starve all.
	rollout = 2
	// least is the smallest part worth a message.
	least = All / 10000
	// demandFades is the half-life of what is remembered of a need beyond the second over which it is measured. At a second it
	// took 4.5 s until an allowance had followed its calls to another balancer.
	demandFades = 100 * time.Millisecond
)

// LeastFloor of a home part is never lent: a process that was killed and starts from nothing has it at once, whatever its life
// before has lent, and borrows from then on. More of it, and one balancer could not have nine tenths of a bound.
const LeastFloor = 0.08

// Turn is how often needs are looked at: several times within the second in which parts are to follow demand.
const Turn = 200 * time.Millisecond

// NeedTurns make the second over which a need is measured: in one turn a few calls more or less say nothing.
const NeedTurns = 5

// Kind is what a message is for.
type Kind uint8

const (
	Ask   Kind = 1 + iota // the sender wants parts
	Grant                 // answers an Ask: what is lent, for Lease from the Ask on
	Back                  // the sender uses no more what it was lent of these on asks up to N
)

// Want is one line of a message.
type Want struct {
	Name  uint16 // place among the bounds' names, which have to be the same at both
	Part  Part   // wanted, or lent
	Bound float64
}

// Message is what one balancer tells another.
type Message struct {
	Kind  Kind
	N     uint64 // of the Ask; it grows with each
	Among int
	Sum   uint64 // of the names: who has others cannot lend
	Wants []Want
}

// Send is a message for a member.
type Send struct {
	To  member.Life
	Msg Message
}

// lease is a part that is elsewhere for now, as either side has it. A later one between the same two takes the place of those
// before: the taker uses the newest that it has, and the giver reckons with the largest that has not ended.
type lease struct {
	name  int
	with  member.Life
	n     uint64 // of the taker's ask
	part  Part
	until Moment
}

// Machine is one balancer's parts.
type Machine struct {
	terms  Terms
	chance *rand.Rand
	now    Moment
	born   Moment
	among  int // the most that anybody names

	lent, borrowed []lease
	next           uint64 // number of the last ask
	asks           []ask
	bounds         []bound
	sum            uint64
	half           bool // another process of an upgrade has the other half
	vain           int  // turns in a row that asked and were given nothing
	sends          []Send
}

// bound is one limit of the fleet.
type bound struct {
	most   float64 // the smallest that anybody names
	grain  float64
	asking bool    // for more
	need   float64 // of this balancer, in the bound's unit
	needAt Moment
	lent   Part // sums of the leases
	got    Part
	askers []asker
}

// asker is who wanted a part lately.
type asker struct {
	life member.Life
	part Part
	at   Moment
}

// ask is an Ask without its answer.
type ask struct {
	n  uint64
	to member.Life
	at Moment
}

// New makes a process's machine. Nothing is known of what its life before has lent.
func New(t Terms, now Moment) *Machine {
	m := &Machine{terms: t, chance: rand.New(rand.NewPCG(t.Seed, uint64(t.Self))), now: now, born: now, among: max(1, t.Among),
		next: t.First}
	for i, name := range t.Names {
		b := bound{most: t.Bound[i]}
		if t.Grain != nil {
			b.grain = t.Grain[i]
		}
		m.bounds = append(m.bounds, b)
		for _, c := range []byte(name) {
			m.sum = m.sum*1099511628211 ^ uint64(c)
		}
		m.sum = m.sum*1099511628211 ^ uint64(i)
	}
	return m
}

// home is this balancer's own part of every bound, lent or not.
func (m *Machine) home() Part {
	h := All / Part(m.among)
	if m.half {
		h /= 2
	}
	return h
}

// floor is what of it is never lent.
func (m *Machine) floor(name int) Part {
	return Part(min(1, max(LeastFloor, m.terms.Floor[name])) * float64(m.home()))
}

// after is when the giver may use again what it lends now.
func (m *Machine) after(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + skew) / (1 - skew))
}

// fresh tells that the life before may still have parts lent.
func (m *Machine) fresh() bool { return m.now-m.born < m.after(m.terms.Lease) }

// Part is what this balancer may use of a bound now. What was borrowed counts to the end of its lease by this clock.
func (m *Machine) Part(now Moment, name int) Part {
	m.begin(now)
	return m.part(name)
}

func (m *Machine) part(name int) Part {
	b := &m.bounds[name]
	if m.fresh() {
		return min(m.floor(name), m.home()-b.lent) + b.got
	}
	return max(0, m.home()-b.lent) + b.got
}

// State is what a door shows of one bound.
type State struct {
	Part, Lent, Borrowed Part
	Need                 float64
	Leases               int    // both ways
	Ends                 Moment // from now to the first of their ends; 0 without one
	Fresh                bool   // this process has its floor only
}

// State tells how a bound stands here.
func (m *Machine) State(now Moment, name int) State {
	s := State{Part: m.Part(now, name), Lent: m.bounds[name].lent, Borrowed: m.bounds[name].got, Need: m.needed(&m.bounds[name]), Fresh: m.fresh()}
	for _, list := range [][]lease{m.lent, m.borrowed} {
		for _, l := range list {
			if l.name == name {
				s.Leases++
				if left := l.until - m.now; s.Ends == 0 || left < s.Ends {
					s.Ends = left
				}
			}
		}
	}
	return s
}

// Bound is the figure that the part is of: the smallest that any balancer names.
func (m *Machine) Bound(name int) float64 { return m.bounds[name].most }

// Ends is when some part changes by itself: who spends has to ask again from then on.
func (m *Machine) Ends() Moment {
	ends := Moment(math.MaxInt64)
	for i := range m.borrowed {
		ends = min(ends, m.borrowed[i].until)
	}
	return ends
}

// Out gives what is to be sent since the last time.
func (m *Machine) Out() (sends []Send) {
	sends, m.sends = m.sends, nil
	return sends
}

// begin takes the time and ends the leases that are over. A borrowed one ends first: both sides count from the ask.
func (m *Machine) begin(now Moment) {
	m.now = max(m.now, now)
	m.borrowed = slices.DeleteFunc(m.borrowed, func(l lease) bool {
		if over := m.now >= l.until; over {
			m.bounds[l.name].got -= l.part
			return true
		}
		return false
	})
	m.dropLent(func(l lease) bool { return m.now >= l.until })
}

// dropLent ends leases that this balancer has given.
func (m *Machine) dropLent(over func(lease) bool) {
	was := len(m.lent)
	if m.lent = slices.DeleteFunc(m.lent, over); len(m.lent) == was {
		return
	}
	for i := range m.bounds {
		m.bounds[i].lent = m.lentOf(i, 0)
	}
}

// lentOf sums what is lent of a bound to all others than one: of each taker the largest lease that has not ended.
func (m *Machine) lentOf(name int, but member.Life) (sum Part) {
	for i, l := range m.lent {
		if l.name != name || l.with == but {
			continue
		}
		largest := !slices.ContainsFunc(m.lent[:i], func(o lease) bool { return o.name == name && o.with == l.with && o.part >= l.part }) &&
			!slices.ContainsFunc(m.lent[i+1:], func(o lease) bool { return o.name == name && o.with == l.with && o.part > l.part })
		if largest {
			sum += l.part
		}
	}
	return sum
}

// Beside halves what this process has, while another one of an upgrade has the other half.
func (m *Machine) Beside(on bool) { m.half = on }

// Need tells how much of a bound came in for lately, in its unit.
func (m *Machine) Need(now Moment, name int, need float64) {
	m.begin(now)
	b := &m.bounds[name]
	b.need, b.needAt = max(need, b.need*fades(m.now-b.needAt)), m.now
}

// needed is what is left of the need that was last told: all of it until the next is owed.
func (m *Machine) needed(b *bound) float64 {
	return b.need * fades(m.now-b.needAt-Turn)
}

func fades(age time.Duration) float64 { return math.Exp2(-float64(max(0, age)) / float64(demandFades)) }

// strays is how far a need strays by chance.
func (m *Machine) strays(b *bound) float64 { return chance * math.Sqrt(m.needed(b)*b.grain) }

// wanted is the part that would meet a need, with what comes beyond it by chance.
func (m *Machine) wanted(b *bound) Part {
	need := m.needed(b)
	return b.partOf(max(need*head, need+m.strays(b)))
}

// short tells that this balancer has too little of a bound.
func (m *Machine) short(name int) bool {
	b, part := &m.bounds[name], m.part(name)
	if b.asking {
		b.asking = b.partOf(m.needed(b)*enough) > part+least
	} else {
		b.asking = b.partOf(m.needed(b)-m.strays(b)) > part+least
	}
	return b.asking
}

// partOf is a figure as a part of the bound.
func (b *bound) partOf(x float64) Part {
	if b.most <= 0 {
		return 0
	}
	return Part(max(0, min(1, x/b.most)) * float64(All))
}

// Tick looks at all needs: asks members for what is missing, gives back what is over.
func (m *Machine) Tick(now Moment, members []member.Life) {
	m.begin(now)
	m.asks = slices.DeleteFunc(m.asks, func(a ask) bool { return m.now-a.at > m.terms.Lease/2 })
	if m.half {
		m.giveBack(func(*bound) bool { return true })
		return
	}
	m.giveBack(func(b *bound) bool { return m.wanted(b)*2 < m.home()-b.lent+b.got-least && b.got > 0 })
	m.askMissing(members)
}

// giveBack ends leases of bounds of which there is too much.
func (m *Machine) giveBack(over func(*bound) bool) {
	m.borrowed = slices.DeleteFunc(m.borrowed, func(l lease) bool {
		b := &m.bounds[l.name]
		if !over(b) {
			return false
		}
		b.got -= l.part
		m.asks = slices.DeleteFunc(m.asks, func(a ask) bool { return a.to == l.with && a.n <= l.n }) // what comes late is given back too
		m.send(l.with, Message{Kind: Back, N: l.n, Wants: []Want{{Name: uint16(l.name)}}})
		return true
	})
}

// askMissing asks some members, others each time, for what is missing, and those who lend already to go on in time.
func (m *Machine) askMissing(members []member.Life) {
	others := slices.DeleteFunc(slices.Clone(members), func(l member.Life) bool {
		return l == m.terms.Self || slices.ContainsFunc(m.asks, func(a ask) bool { return a.to == l && m.now-a.at < m.terms.Lease/4 })
	})
	if len(others) == 0 {
		return
	}
	renew := map[member.Life]bool{}
	for _, l := range m.borrowed {
		if l.until-m.now < m.terms.Lease*2/3 { // three tries before it ends
			renew[l.with] = true
		}
	}
	missing := false
	for i := range m.bounds {
		missing = m.short(i) || missing
	}
	m.chance.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	asked, renewed, most := 0, 0, max(1, (asksAtOnce+len(others)/asksOf)>>min(m.vain, 30))
	if missing {
		m.vain++
	}
	for _, to := range others {
		switch {
		case renew[to] && renewed < mostRenewed:
			renewed++
		case missing && asked < most:
			asked++
		default:
			continue
		}
		m.askOne(to)
	}
}

// askOne asks a member for what this balancer would have of it: what it lends now and its part of what is missing.
func (m *Machine) askOne(to member.Life) {
	m.next++
	msg := Message{Kind: Ask, N: m.next}
	for i := range m.bounds {
		b := &m.bounds[i]
		want := m.wanted(b) - m.part(i)
		for _, l := range m.borrowed {
			if l.with == to && l.name == i {
				want += l.part
			}
		}
		if want > least && len(msg.Wants) < mostWants {
			msg.Wants = append(msg.Wants, Want{Name: uint16(i), Part: min(want, All), Bound: m.terms.Bound[i]})
		}
	}
	if len(msg.Wants) == 0 {
		return
	}
	m.asks = append(m.asks, ask{m.next, to, m.now})
	m.send(to, msg)
}

func (m *Machine) send(to member.Life, msg Message) {
	msg.Among, msg.Sum = m.terms.Among, m.sum
	m.sends = append(m.sends, Send{to, msg})
}

// Hear takes a message of a member.
func (m *Machine) Hear(now Moment, from member.Life, msg *Message) {
	m.begin(now)
	if msg.Sum != m.sum || from == m.terms.Self || msg.Among < 1 {
		return
	}
	m.among = max(m.among, min(msg.Among, rollout*m.terms.Among)) // the smaller part holds
	for _, w := range msg.Wants {
		if int(w.Name) >= len(m.bounds) {
			return
		}
	}
	switch msg.Kind {
	case Ask:
		m.grant(from, msg)
	case Grant:
		m.take(from, msg)
	case Back:
		for _, w := range msg.Wants {
			m.dropLent(func(l lease) bool { return l.with == from && l.name == int(w.Name) && l.n <= msg.N })
			if !slices.ContainsFunc(m.lent, func(l lease) bool { return l.with == from && l.name == int(w.Name) }) {
				m.bounds[w.Name].forget(from) // what it asked before would halve for a lease what others get
			}
		}
	}
}

// grant lends what can be spared, by max-min among those who asked lately; it may be less than before, or nothing.
func (m *Machine) grant(to member.Life, msg *Message) {
	answer := Message{Kind: Grant, N: msg.N}
	for _, w := range msg.Wants {
		b, name := &m.bounds[w.Name], int(w.Name)
		b.most = min(b.most, max(w.Bound, m.terms.Bound[w.Name]/rollout))
		b.heard(to, w.Part, m.now, m.terms.Lease)
		n := Part(0)
		if !m.fresh() && !m.half && len(m.lent) < mostLeases {
			own := min(max(m.floor(name), m.wanted(b)), m.home()) // its own need goes first, up to its own part
			spare := m.home() - own
			n = max(0, min(w.Part, b.fair(to, spare), spare-m.lentOf(name, to)))
		}
		if n > 0 {
			m.lent = append(m.lent, lease{name, to, msg.N, n, m.now + m.after(m.terms.Lease)})
			b.lent = m.lentOf(name, 0)
		}
		answer.Wants = append(answer.Wants, Want{Name: w.Name, Part: n, Bound: b.most})
	}
	m.send(to, answer)
}

// heard notes who wants how much.
func (b *bound) heard(who member.Life, part Part, now Moment, keep time.Duration) {
	b.askers = slices.DeleteFunc(b.askers, func(a asker) bool { return a.life == who || now-a.at > keep })
	if len(b.askers) < mostAskers {
		b.askers = append(b.askers, asker{who, max(0, part), now})
	}
}

// forget takes out who wants nothing any more.
func (b *bound) forget(who member.Life) {
	b.askers = slices.DeleteFunc(b.askers, func(a asker) bool { return a.life == who })
}

// fair is what one of the askers gets of what can be spared: all get the same, none more than it wants.
func (b *bound) fair(who member.Life, spare Part) Part {
	sorted := slices.SortedFunc(slices.Values(b.askers), func(x, y asker) int { return cmp.Compare(x.part, y.part) })
	for i, a := range sorted {
		each := spare / Part(len(sorted)-i)
		n := min(a.part, each)
		if a.life == who {
			return n
		}
		spare -= n
	}
	return 0
}

// take adds what was lent, from the moment of the ask on: the giver counts from a later one.
func (m *Machine) take(from member.Life, msg *Message) {
	i := slices.IndexFunc(m.asks, func(a ask) bool { return a.n == msg.N && a.to == from })
	if i < 0 {
		return // repeated, or too late to count on
	}
	at := m.asks[i].at
	m.asks = slices.DeleteFunc(m.asks, func(a ask) bool { return a.to == from && a.n <= msg.N }) // what was asked before is answered by this
	until := at + time.Duration(float64(m.terms.Lease)*(1-skew))
	for _, w := range msg.Wants {
		b, name := &m.bounds[w.Name], int(w.Name)
		b.most = min(b.most, max(w.Bound, m.terms.Bound[w.Name]/rollout))
		if w.Part < 0 || w.Part > All || slices.ContainsFunc(m.borrowed, func(l lease) bool { return l.with == from && l.name == name && l.n > msg.N }) {
			continue
		}
		had := Part(0)
		m.borrowed = slices.DeleteFunc(m.borrowed, func(l lease) bool {
			before := l.with == from && l.name == name
			if before {
				b.got -= l.part
				had += l.part
			}
			if before && l.part > w.Part { // else the giver reckons with the larger one until that ends
				m.send(from, Message{Kind: Back, N: l.n, Wants: []Want{{Name: w.Name}}})
			}
			return before
		})
		if w.Part > had+least {
			m.vain = 0
		}
		if w.Part > 0 && until > m.now && len(m.borrowed) < mostLeases {
			m.borrowed = append(m.borrowed, lease{name, from, msg.N, w.Part, until})
			b.got += w.Part
		}
	}
}
