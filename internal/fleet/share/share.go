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
	// maxClockSkew is how far off a second any clock may be, either way; the note's proof stands on it.
	maxClockSkew = 0.02
	// demandMargin is how much beyond its need a balancer wants: what comes in differs from one second to the next.
	demandMargin = 1.3
	// A balancer asks once its need is two deviations over its part, and then until it has enough of its need. Asking for what comes
	// and goes with chance took 49 KB/s of each of 24 whose tenants call them four times a second. It keeps as much beyond its need,
	// and gives back what is over when it has twice what it wants.
	deviationFactor = 2
	satisfiedMargin = 1.1
	// baseAsksPerTick members, and one in membersPerExtraAsk of all, are asked in a turn; the next turn asks others for what is still missing. So a
	// whole is gathered in a second and a half from any number. Half as many are asked after each turn whose answers brought nothing,
	// down to one: where all want more than there is, asking everybody took 24 KB/s of each of eight. maxRenewalsPerTick bounds those who
	// are asked to go on lending.
	baseAsksPerTick    = 16
	membersPerExtraAsk = 8
	maxRenewalsPerTick = 1024 // in a turn; the rest in the next
	maxAskers          = 4096 // of one bound
	maxLeases          = 4096 // either way
	maxWants           = 32   // in one message
	// maxSettingsRatio is how far the settings of two balancers may differ while a new configuration goes round; the smaller figure holds.
	// Beyond that it is a fault, which must not starve all.
	maxSettingsRatio = 2
	// minPart is the smallest part worth a message.
	minPart = All / 10000
	// demandHalfLife is the half-life of what is remembered of a need beyond the second over which it is measured. At a second it
	// took 4.5 s until an allowance had followed its calls to another balancer.
	demandHalfLife = 100 * time.Millisecond
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
	limit   int
	peer    member.Life
	askID   uint64 // of the taker's ask
	part    Part
	expires Moment
}

// Machine is one balancer's parts.
type Machine struct {
	config    Terms
	rng       *rand.Rand
	now       Moment
	startedAt Moment
	fleetSize int // the most that anybody names

	lent, borrowed []lease
	lastAskID      uint64 // number of the last ask
	pendingAsks    []pendingAsk
	limits         []limit
	namesHash      uint64
	halved         bool // another process of an upgrade has the other half
	fruitlessTicks int  // turns in a row that asked and were given nothing
	sends          []Send
}

// limit is one limit of the fleet.
type limit struct {
	value         float64 // the smallest that anybody names
	needPerItem   float64
	asking        bool    // for more
	need          float64 // of this balancer, in the bound's unit
	needUpdatedAt Moment
	lent          Part // sums of the leases
	borrowed      Part
	askers        []asker
}

// asker is who wanted a part lately.
type asker struct {
	id      member.Life
	wanted  Part
	askedAt Moment
}

// pendingAsk is an Ask without its answer.
type pendingAsk struct {
	id     uint64
	to     member.Life
	sentAt Moment
}

// New makes a process's machine. Nothing is known of what its life before has lent.
func New(config Terms, now Moment) *Machine {
	m := &Machine{config: config, rng: rand.New(rand.NewPCG(config.Seed, uint64(config.Self))), now: now, startedAt: now, fleetSize: max(1, config.Among),
		lastAskID: config.First}
	for i, name := range config.Names {
		lim := limit{value: config.Bound[i]}
		if config.Grain != nil {
			lim.needPerItem = config.Grain[i]
		}
		m.limits = append(m.limits, lim)
		for _, c := range []byte(name) {
			m.namesHash = m.namesHash*1099511628211 ^ uint64(c)
		}
		m.namesHash = m.namesHash*1099511628211 ^ uint64(i)
	}
	return m
}

// homePart is this balancer's own part of every bound, lent or not.
func (m *Machine) homePart() Part {
	h := All / Part(m.fleetSize)
	if m.halved {
		h /= 2
	}
	return h
}

// reservedPart is what of it is never lent.
func (m *Machine) reservedPart(index int) Part {
	return Part(min(1, max(LeastFloor, m.config.Floor[index])) * float64(m.homePart()))
}

// lenderDuration is when the giver may use again what it lends now.
func (m *Machine) lenderDuration(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + maxClockSkew) / (1 - maxClockSkew))
}

// recentlyStarted tells that the life before may still have parts lent.
func (m *Machine) recentlyStarted() bool { return m.now-m.startedAt < m.lenderDuration(m.config.Lease) }

// Part is what this balancer may use of a bound now. What was borrowed counts to the end of its lease by this clock.
func (m *Machine) Part(now Moment, index int) Part {
	m.advance(now)
	return m.currentPart(index)
}

func (m *Machine) currentPart(index int) Part {
	lim := &m.limits[index]
	if m.recentlyStarted() {
		return min(m.reservedPart(index), m.homePart()-lim.lent) + lim.borrowed
	}
	return max(0, m.homePart()-lim.lent) + lim.borrowed
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
func (m *Machine) State(now Moment, index int) State {
	s := State{Part: m.Part(now, index), Lent: m.limits[index].lent, Borrowed: m.limits[index].borrowed, Need: m.currentNeed(&m.limits[index]), Fresh: m.recentlyStarted()}
	for _, list := range [][]lease{m.lent, m.borrowed} {
		for _, l := range list {
			if l.limit == index {
				s.Leases++
				if left := l.expires - m.now; s.Ends == 0 || left < s.Ends {
					s.Ends = left
				}
			}
		}
	}
	return s
}

// Bound is the figure that the part is of: the smallest that any balancer names.
func (m *Machine) Bound(index int) float64 { return m.limits[index].value }

// Ends is when some part changes by itself: who spends has to ask again from then on.
func (m *Machine) Ends() Moment {
	ends := Moment(math.MaxInt64)
	for i := range m.borrowed {
		ends = min(ends, m.borrowed[i].expires)
	}
	return ends
}

// Out gives what is to be sent since the last time.
func (m *Machine) Out() (sends []Send) {
	sends, m.sends = m.sends, nil
	return sends
}

// advance takes the time and ends the leases that are over. A borrowed one ends first: both sides count from the ask.
func (m *Machine) advance(now Moment) {
	m.now = max(m.now, now)
	m.borrowed = slices.DeleteFunc(m.borrowed, func(l lease) bool {
		if over := m.now >= l.expires; over {
			m.limits[l.limit].borrowed -= l.part
			return true
		}
		return false
	})
	m.removeLent(func(l lease) bool { return m.now >= l.expires })
}

// removeLent ends leases that this balancer has given.
func (m *Machine) removeLent(over func(lease) bool) {
	before := len(m.lent)
	if m.lent = slices.DeleteFunc(m.lent, over); len(m.lent) == before {
		return
	}
	for i := range m.limits {
		m.limits[i].lent = m.totalLent(i, 0)
	}
}

// totalLent sums what is lent of a bound to all others than one: of each taker the largest lease that has not ended.
func (m *Machine) totalLent(index int, except member.Life) (sum Part) {
	for i, l := range m.lent {
		if l.limit != index || l.peer == except {
			continue
		}
		largest := !slices.ContainsFunc(m.lent[:i], func(o lease) bool { return o.limit == index && o.peer == l.peer && o.part >= l.part }) &&
			!slices.ContainsFunc(m.lent[i+1:], func(o lease) bool { return o.limit == index && o.peer == l.peer && o.part > l.part })
		if largest {
			sum += l.part
		}
	}
	return sum
}

// Beside halves what this process has, while another one of an upgrade has the other half.
func (m *Machine) Beside(on bool) { m.halved = on }

// Need tells how much of a bound came in for lately, in its unit.
func (m *Machine) Need(now Moment, index int, need float64) {
	m.advance(now)
	lim := &m.limits[index]
	lim.need, lim.needUpdatedAt = max(need, lim.need*decay(m.now-lim.needUpdatedAt)), m.now
}

// currentNeed is what is left of the need that was last told: all of it until the next is owed.
func (m *Machine) currentNeed(lim *limit) float64 {
	return lim.need * decay(m.now-lim.needUpdatedAt-Turn)
}

func decay(age time.Duration) float64 {
	return math.Exp2(-float64(max(0, age)) / float64(demandHalfLife))
}

// needFluctuation is how far a need strays by chance.
func (m *Machine) needFluctuation(lim *limit) float64 {
	return deviationFactor * math.Sqrt(m.currentNeed(lim)*lim.needPerItem)
}

// wantedPart is the part that would meet a need, with what comes beyond it by chance.
func (m *Machine) wantedPart(lim *limit) Part {
	need := m.currentNeed(lim)
	return lim.partOf(max(need*demandMargin, need+m.needFluctuation(lim)))
}

// needsMore tells that this balancer has too little of a bound.
func (m *Machine) needsMore(index int) bool {
	lim, part := &m.limits[index], m.currentPart(index)
	if lim.asking {
		lim.asking = lim.partOf(m.currentNeed(lim)*satisfiedMargin) > part+minPart
	} else {
		lim.asking = lim.partOf(m.currentNeed(lim)-m.needFluctuation(lim)) > part+minPart
	}
	return lim.asking
}

// partOf is a figure as a part of the bound.
func (lim *limit) partOf(x float64) Part {
	if lim.value <= 0 {
		return 0
	}
	return Part(max(0, min(1, x/lim.value)) * float64(All))
}

// Tick looks at all needs: asks members for what is missing, gives back what is over.
func (m *Machine) Tick(now Moment, members []member.Life) {
	m.advance(now)
	m.pendingAsks = slices.DeleteFunc(m.pendingAsks, func(a pendingAsk) bool { return m.now-a.sentAt > m.config.Lease/2 })
	if m.halved {
		m.returnBorrowed(func(*limit) bool { return true })
		return
	}
	m.returnBorrowed(func(lim *limit) bool {
		return m.wantedPart(lim)*2 < m.homePart()-lim.lent+lim.borrowed-minPart && lim.borrowed > 0
	})
	m.askMembers(members)
}

// returnBorrowed ends leases of bounds of which there is too much.
func (m *Machine) returnBorrowed(excess func(*limit) bool) {
	m.borrowed = slices.DeleteFunc(m.borrowed, func(l lease) bool {
		lim := &m.limits[l.limit]
		if !excess(lim) {
			return false
		}
		lim.borrowed -= l.part
		m.pendingAsks = slices.DeleteFunc(m.pendingAsks, func(a pendingAsk) bool { return a.to == l.peer && a.id <= l.askID }) // what comes late is given back too
		m.send(l.peer, Message{Kind: Back, N: l.askID, Wants: []Want{{Name: uint16(l.limit)}}})
		return true
	})
}

// askMembers asks some members, others each time, for what is missing, and those who lend already to go on in time.
func (m *Machine) askMembers(members []member.Life) {
	others := slices.DeleteFunc(slices.Clone(members), func(l member.Life) bool {
		return l == m.config.Self || slices.ContainsFunc(m.pendingAsks, func(a pendingAsk) bool { return a.to == l && m.now-a.sentAt < m.config.Lease/4 })
	})
	if len(others) == 0 {
		return
	}
	renew := map[member.Life]bool{}
	for _, l := range m.borrowed {
		if l.expires-m.now < m.config.Lease*2/3 { // three tries before it ends
			renew[l.peer] = true
		}
	}
	missing := false
	for i := range m.limits {
		missing = m.needsMore(i) || missing
	}
	m.rng.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	asked, renewed, maxAsks := 0, 0, max(1, (baseAsksPerTick+len(others)/membersPerExtraAsk)>>min(m.fruitlessTicks, 30))
	if missing {
		m.fruitlessTicks++
	}
	for _, to := range others {
		switch {
		case renew[to] && renewed < maxRenewalsPerTick:
			renewed++
		case missing && asked < maxAsks:
			asked++
		default:
			continue
		}
		m.askMember(to)
	}
}

// askMember asks a member for what this balancer would have of it: what it lends now and its part of what is missing.
func (m *Machine) askMember(to member.Life) {
	m.lastAskID++
	msg := Message{Kind: Ask, N: m.lastAskID}
	for i := range m.limits {
		lim := &m.limits[i]
		want := m.wantedPart(lim) - m.currentPart(i)
		for _, l := range m.borrowed {
			if l.peer == to && l.limit == i {
				want += l.part
			}
		}
		if want > minPart && len(msg.Wants) < maxWants {
			msg.Wants = append(msg.Wants, Want{Name: uint16(i), Part: min(want, All), Bound: m.config.Bound[i]})
		}
	}
	if len(msg.Wants) == 0 {
		return
	}
	m.pendingAsks = append(m.pendingAsks, pendingAsk{m.lastAskID, to, m.now})
	m.send(to, msg)
}

func (m *Machine) send(to member.Life, msg Message) {
	msg.Among, msg.Sum = m.config.Among, m.namesHash
	m.sends = append(m.sends, Send{to, msg})
}

// Hear takes a message of a member.
func (m *Machine) Hear(now Moment, from member.Life, msg *Message) {
	m.advance(now)
	if msg.Sum != m.namesHash || from == m.config.Self || msg.Among < 1 {
		return
	}
	m.fleetSize = max(m.fleetSize, min(msg.Among, maxSettingsRatio*m.config.Among)) // the smaller part holds
	for _, w := range msg.Wants {
		if int(w.Name) >= len(m.limits) {
			return
		}
	}
	switch msg.Kind {
	case Ask:
		m.grant(from, msg)
	case Grant:
		m.acceptGrant(from, msg)
	case Back:
		for _, w := range msg.Wants {
			m.removeLent(func(l lease) bool { return l.peer == from && l.limit == int(w.Name) && l.askID <= msg.N })
			if !slices.ContainsFunc(m.lent, func(l lease) bool { return l.peer == from && l.limit == int(w.Name) }) {
				m.limits[w.Name].removeAsker(from) // what it asked before would halve for a lease what others get
			}
		}
	}
}

// grant lends what can be spared, by max-min among those who asked lately; it may be less than before, or nothing.
func (m *Machine) grant(to member.Life, msg *Message) {
	answer := Message{Kind: Grant, N: msg.N}
	for _, w := range msg.Wants {
		lim, index := &m.limits[w.Name], int(w.Name)
		lim.value = min(lim.value, max(w.Bound, m.config.Bound[w.Name]/maxSettingsRatio))
		lim.recordAsk(to, w.Part, m.now, m.config.Lease)
		granted := Part(0)
		if !m.recentlyStarted() && !m.halved && len(m.lent) < maxLeases {
			ownPart := min(max(m.reservedPart(index), m.wantedPart(lim)), m.homePart()) // its own need goes first, up to its own part
			spare := m.homePart() - ownPart
			granted = max(0, min(w.Part, lim.fairPart(to, spare), spare-m.totalLent(index, to)))
		}
		if granted > 0 {
			m.lent = append(m.lent, lease{index, to, msg.N, granted, m.now + m.lenderDuration(m.config.Lease)})
			lim.lent = m.totalLent(index, 0)
		}
		answer.Wants = append(answer.Wants, Want{Name: w.Name, Part: granted, Bound: lim.value})
	}
	m.send(to, answer)
}

// recordAsk notes who wants how much.
func (lim *limit) recordAsk(id member.Life, wanted Part, now Moment, keep time.Duration) {
	lim.askers = slices.DeleteFunc(lim.askers, func(a asker) bool { return a.id == id || now-a.askedAt > keep })
	if len(lim.askers) < maxAskers {
		lim.askers = append(lim.askers, asker{id, max(0, wanted), now})
	}
}

// removeAsker takes out who wants nothing any more.
func (lim *limit) removeAsker(id member.Life) {
	lim.askers = slices.DeleteFunc(lim.askers, func(a asker) bool { return a.id == id })
}

// fairPart is what one of the askers gets of what can be spared: all get the same, none more than it wants.
func (lim *limit) fairPart(id member.Life, spare Part) Part {
	sorted := slices.SortedFunc(slices.Values(lim.askers), func(x, y asker) int { return cmp.Compare(x.wanted, y.wanted) })
	for i, a := range sorted {
		each := spare / Part(len(sorted)-i)
		part := min(a.wanted, each)
		if a.id == id {
			return part
		}
		spare -= part
	}
	return 0
}

// acceptGrant adds what was lent, from the moment of the ask on: the giver counts from a later one.
func (m *Machine) acceptGrant(from member.Life, msg *Message) {
	i := slices.IndexFunc(m.pendingAsks, func(a pendingAsk) bool { return a.id == msg.N && a.to == from })
	if i < 0 {
		return // repeated, or too late to count on
	}
	askedAt := m.pendingAsks[i].sentAt
	m.pendingAsks = slices.DeleteFunc(m.pendingAsks, func(a pendingAsk) bool { return a.to == from && a.id <= msg.N }) // what was asked before is answered by this
	until := askedAt + time.Duration(float64(m.config.Lease)*(1-maxClockSkew))
	for _, w := range msg.Wants {
		lim, index := &m.limits[w.Name], int(w.Name)
		lim.value = min(lim.value, max(w.Bound, m.config.Bound[w.Name]/maxSettingsRatio))
		if w.Part < 0 || w.Part > All || slices.ContainsFunc(m.borrowed, func(l lease) bool { return l.peer == from && l.limit == index && l.askID > msg.N }) {
			continue
		}
		previous := Part(0)
		m.borrowed = slices.DeleteFunc(m.borrowed, func(l lease) bool {
			replaced := l.peer == from && l.limit == index
			if replaced {
				lim.borrowed -= l.part
				previous += l.part
			}
			if replaced && l.part > w.Part { // else the giver reckons with the larger one until that ends
				m.send(from, Message{Kind: Back, N: l.askID, Wants: []Want{{Name: w.Name}}})
			}
			return replaced
		})
		if w.Part > previous+minPart {
			m.fruitlessTicks = 0
		}
		if w.Part > 0 && until > m.now && len(m.borrowed) < maxLeases {
			m.borrowed = append(m.borrowed, lease{index, from, msg.N, w.Part, until})
			lim.borrowed += w.Part
		}
	}
}
