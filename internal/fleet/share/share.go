// Package share computes each balancer's current part of limits that apply to a whole fleet, such as a customer's quota. Balancers
// lend each other parts by leases. The lender stops using a part before the borrower can use it, and gets it back only after the
// borrower has stopped using it, so that the parts never add up to more than the limit. The package is a state machine without I/O,
// clock or goroutines; docs/notes/limits.md has the proof and the bounds.
package share

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"streamrail/internal/fleet/member"
)

// Moment is a time on this process's own monotonic clock.
type Moment = time.Duration

// Part is a part of a limit, in billionths. It is an integer so that lending and returning lose nothing to rounding.
type Part int64

// WholeLimit is the whole of a limit.
const WholeLimit Part = 1e9

// Of returns this part of a limit's value.
func (p Part) Of(value float64) float64 { return value * float64(p) / float64(WholeLimit) }

// Config is the configuration of a Machine; it does not change during the life of a process.
type Config struct {
	Self      member.ProcessID
	Balancers int       // number of balancers according to the settings
	Names     []string  // of the limits
	Limits    []float64 // value of each limit, in its own unit
	// NeedPerItem is what a single request or connection adds to the need for a limit. The random fluctuation of a need is estimated
	// from it, as the square root of the number counted.
	NeedPerItem      []float64
	ReservedFraction []float64     // fraction of the home part of each limit that is never lent; at least MinReservedFraction
	Lease            time.Duration // how long a part is lent
	FirstAskNumber   uint64        // asks are numbered from here; must exceed the numbers used by earlier processes with the same Self
	Seed             uint64        // of the random choice of members to ask
}

const (
	// maxClockSkew is the largest relative error of any balancer's clock rate, fast or slow, that the proof in docs/notes/limits.md
	// allows for.
	maxClockSkew = 0.02
	// demandMargin is the ratio of the part that a balancer wants to its need: demand varies from one second to the next.
	demandMargin = 1.3
	// A balancer starts to ask when its need exceeds its part by deviationFactor standard deviations, and goes on until its part is
	// satisfiedMargin times its need. Asking for random fluctuations as well took 49 KB/s of bandwidth at each of 24 balancers whose
	// customers sent each of them four requests per second. A balancer also wants deviationFactor deviations beyond its need, and
	// returns parts only when it has twice what it wants.
	deviationFactor = 2
	satisfiedMargin = 1.1
	// In one tick a balancer asks baseAsksPerTick members plus one in membersPerExtraAsk of all; the next tick asks others for what is
	// still missing. In this way it collects a whole limit within 1.5 s from a fleet of any size. The number is halved, down
	// to one, after each tick whose answers brought nothing: when all balancers want more than there is, asking every member took
	// 24 KB/s at each of eight balancers.
	baseAsksPerTick    = 16
	membersPerExtraAsk = 8
	maxRenewalsPerTick = 1024 // leases renewed in one tick; the others are renewed in later ticks
	maxAskers          = 4096 // of one limit
	maxLeases          = 4096 // lent, and as many borrowed
	maxEntriesPerAsk   = 32   // limits in one Ask
	// maxSettingsRatio is how far the settings of two balancers may differ while a new configuration is rolled out; meanwhile the
	// stricter value applies. A larger difference is a fault: values beyond this ratio do not apply, so that one wrong setting cannot
	// leave the whole fleet without its limits.
	maxSettingsRatio = 2
	// minPart is the smallest part worth a message.
	minPart = WholeLimit / 10000
	// demandHalfLife is how fast an earlier need is forgotten after the second over which it was measured. With a half-life of 1 s a
	// quota took 4.5 s to follow its requests to another balancer.
	demandHalfLife = 100 * time.Millisecond
)

// MinReservedFraction is the minimum fraction of a home part that is never lent. A process that restarts without state may use it at once,
// whatever its predecessor has lent, and borrows more from then on. With a larger fraction one balancer could not obtain nine tenths
// of a limit.
const MinReservedFraction = 0.08

// TickInterval is the interval at which Tick is to be called: several times within the second in which parts should follow demand.
const TickInterval = 200 * time.Millisecond

// NeedTicks is the number of ticks over which a need is measured, one second: the number of requests in a single tick varies too much.
const NeedTicks = 5

// Kind is the purpose of a message.
type Kind uint8

const (
	Ask    Kind = 1 + iota // the sender wants to borrow parts
	Grant                  // answers an Ask: the parts lent, for the duration of Lease from the time of the Ask
	Return                 // the sender no longer uses the parts of these limits that it was lent for asks up to AskNumber
)

// LimitEntry is the entry of a message for one limit.
type LimitEntry struct {
	Index uint16  // index of the limit in Config.Names, which must be the same at both balancers
	Part  Part    // wanted in an Ask, lent in a Grant
	Limit float64 // the limit's value according to the sender
}

// Message is what one balancer sends another.
type Message struct {
	Kind      Kind
	AskNumber uint64 // number of the Ask, greater for each
	Balancers int    // number of balancers according to the sender's settings
	NamesHash uint64 // hash of Config.Names; a message from a balancer with other names is ignored
	Entries   []LimitEntry
}

// Outgoing is a message and the member it goes to.
type Outgoing struct {
	To  member.ProcessID
	Msg Message
}

// lease is a part lent for a time, as recorded by the lender or the borrower. A newer lease of a limit between the same two balancers
// replaces older ones: the borrower uses only the newest one that it has, and the lender assumes that the largest unexpired one is in
// use.
type lease struct {
	limit   int              // index of the limit
	peer    member.ProcessID // the other balancer
	askID   uint64           // number of the borrower's Ask
	part    Part
	expires Moment
}

// Machine manages one balancer's parts of all limits.
type Machine struct {
	config    Config
	rng       *rand.Rand
	now       Moment
	startedAt Moment
	fleetSize int // the largest number of balancers that any balancer's settings name

	lent, borrowed []lease
	lastAskID      uint64 // number of the most recent ask
	pendingAsks    []pendingAsk
	limits         []limit
	namesHash      uint64 // hash of the limits' names
	halved         bool   // during an upgrade, another process of this balancer uses the other half
	fruitlessTicks int    // consecutive ticks that asked and got nothing
	sends          []Outgoing
}

// limit is the state of one fleet-wide limit.
type limit struct {
	value         float64 // the smallest that any balancer's settings name
	needPerItem   float64 // see Config.NeedPerItem
	asking        bool    // this balancer is asking for more
	need          float64 // this balancer's need, in the limit's unit
	needUpdatedAt Moment
	lent          Part // sum over all borrowers
	borrowed      Part // sum over all lenders
	askers        []asker
}

// asker is a member that recently asked for a part.
type asker struct {
	id      member.ProcessID
	wanted  Part
	askedAt Moment
}

// pendingAsk is an Ask that has not been answered yet.
type pendingAsk struct {
	id     uint64
	to     member.ProcessID
	sentAt Moment
}

// New returns a Machine with no leases. It does not know what an earlier process of this balancer has lent, so for one lease it uses
// only its reserved part and what it borrows.
func New(config Config, now Moment) *Machine {
	m := &Machine{config: config, rng: rand.New(rand.NewPCG(config.Seed, uint64(config.Self))), now: now, startedAt: now, fleetSize: max(1, config.Balancers),
		lastAskID: config.FirstAskNumber}
	for i, name := range config.Names {
		lim := limit{value: config.Limits[i]}
		if config.NeedPerItem != nil {
			lim.needPerItem = config.NeedPerItem[i]
		}
		m.limits = append(m.limits, lim)
		for _, c := range []byte(name) {
			m.namesHash = m.namesHash*1099511628211 ^ uint64(c)
		}
		m.namesHash = m.namesHash*1099511628211 ^ uint64(i)
	}
	return m
}

// homePart is this balancer's own part of every limit, whether lent or not.
func (m *Machine) homePart() Part {
	h := WholeLimit / Part(m.fleetSize)
	if m.halved {
		h /= 2
	}
	return h
}

// reservedPart is what of the home part is never lent.
func (m *Machine) reservedPart(index int) Part {
	return Part(min(1, max(MinReservedFraction, m.config.ReservedFraction[index])) * float64(m.homePart()))
}

// lenderDuration is how long a lender waits before it uses again what it lends now for a duration d: even if its clock is fast and
// the borrower's is slow, the borrower's lease has then expired.
func (m *Machine) lenderDuration(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + maxClockSkew) / (1 - maxClockSkew))
}

// recentlyStarted reports whether parts lent by an earlier process of this balancer may still be in use.
func (m *Machine) recentlyStarted() bool { return m.now-m.startedAt < m.lenderDuration(m.config.Lease) }

// Part returns what this balancer may use of a limit now. A borrowed part counts until its lease expires by this process's clock.
func (m *Machine) Part(now Moment, index int) Part {
	m.advance(now)
	return m.currentPart(index)
}

// currentPart is Part without setting the time.
func (m *Machine) currentPart(index int) Part {
	lim := &m.limits[index]
	if m.recentlyStarted() {
		return min(m.reservedPart(index), m.homePart()-lim.lent) + lim.borrowed
	}
	return max(0, m.homePart()-lim.lent) + lim.borrowed
}

// State describes one limit for the admin API.
type State struct {
	Part, Lent, Borrowed Part
	Need                 float64
	Leases               int    // lent and borrowed
	NextExpiry           Moment // time until the first of the leases expires; 0 if there is none
	RecentlyStarted      bool   // of its home part this process uses only the reserved part
}

// State returns the current state of a limit.
func (m *Machine) State(now Moment, index int) State {
	s := State{Part: m.Part(now, index), Lent: m.limits[index].lent, Borrowed: m.limits[index].borrowed, Need: m.currentNeed(&m.limits[index]), RecentlyStarted: m.recentlyStarted()}
	for _, list := range [][]lease{m.lent, m.borrowed} {
		for _, l := range list {
			if l.limit == index {
				s.Leases++
				if left := l.expires - m.now; s.NextExpiry == 0 || left < s.NextExpiry {
					s.NextExpiry = left
				}
			}
		}
	}
	return s
}

// Limit returns the value of a limit: the smallest that any balancer names.
func (m *Machine) Limit(index int) float64 { return m.limits[index].value }

// NextExpiry returns when the next borrowed part expires. From then on, results of Part are out of date.
func (m *Machine) NextExpiry() Moment {
	earliest := Moment(math.MaxInt64)
	for i := range m.borrowed {
		earliest = min(earliest, m.borrowed[i].expires)
	}
	return earliest
}

// TakeOutput returns the messages queued since the last call.
func (m *Machine) TakeOutput() (sends []Outgoing) {
	sends, m.sends = m.sends, nil
	return sends
}

// advance sets the current time and removes expired leases. A lease always expires at the borrower first: the borrower counts from
// the time it sent the ask, the lender from the later time it granted it.
func (m *Machine) advance(now Moment) {
	m.now = max(m.now, now)
	m.borrowed = slices.DeleteFunc(m.borrowed, func(l lease) bool {
		if expired := m.now >= l.expires; expired {
			m.limits[l.limit].borrowed -= l.part
			return true
		}
		return false
	})
	m.removeLent(func(l lease) bool { return m.now >= l.expires })
}

// removeLent removes leases that this balancer has granted.
func (m *Machine) removeLent(remove func(lease) bool) {
	before := len(m.lent)
	if m.lent = slices.DeleteFunc(m.lent, remove); len(m.lent) == before {
		return
	}
	for i := range m.limits {
		m.limits[i].lent = m.totalLent(i, 0)
	}
}

// totalLent sums what is lent of a limit to all members but one. For each borrower, the largest unexpired lease counts.
func (m *Machine) totalLent(index int, except member.ProcessID) (sum Part) {
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

// SetUpgrading sets whether another process of an upgrade runs at the same time; while it does, each of the two has half the home part.
func (m *Machine) SetUpgrading(on bool) { m.halved = on }

// SetNeed reports the recent demand for a limit, in the limit's unit.
func (m *Machine) SetNeed(now Moment, index int, need float64) {
	m.advance(now)
	lim := &m.limits[index]
	lim.need, lim.needUpdatedAt = max(need, lim.need*decay(m.now-lim.needUpdatedAt)), m.now
}

// currentNeed is the last reported need, which decays once the next report is overdue.
func (m *Machine) currentNeed(lim *limit) float64 {
	return lim.need * decay(m.now-lim.needUpdatedAt-TickInterval)
}

// decay is the factor by which a need of this age is reduced.
func decay(age time.Duration) float64 {
	return math.Exp2(-float64(max(0, age)) / float64(demandHalfLife))
}

// needFluctuation is the deviation of a need that is attributed to random variation.
func (m *Machine) needFluctuation(lim *limit) float64 {
	return deviationFactor * math.Sqrt(m.currentNeed(lim)*lim.needPerItem)
}

// wantedPart is the part that covers a need and its random variation.
func (m *Machine) wantedPart(lim *limit) Part {
	need := m.currentNeed(lim)
	return lim.partOf(max(need*demandMargin, need+m.needFluctuation(lim)))
}

// needsMore reports whether this balancer has too little of a limit, with hysteresis: see deviationFactor.
func (m *Machine) needsMore(index int) bool {
	lim, part := &m.limits[index], m.currentPart(index)
	if lim.asking {
		lim.asking = lim.partOf(m.currentNeed(lim)*satisfiedMargin) > part+minPart
	} else {
		lim.asking = lim.partOf(m.currentNeed(lim)-m.needFluctuation(lim)) > part+minPart
	}
	return lim.asking
}

// partOf converts a value in the limit's unit to a part of the limit.
func (lim *limit) partOf(x float64) Part {
	if lim.value <= 0 {
		return 0
	}
	return Part(max(0, min(1, x/lim.value)) * float64(WholeLimit))
}

// Tick asks members for parts that are missing and returns borrowed parts that are not needed. During an upgrade it returns all.
func (m *Machine) Tick(now Moment, members []member.ProcessID) {
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

// returnBorrowed returns the borrowed parts of limits of which this balancer has too much.
func (m *Machine) returnBorrowed(excess func(*limit) bool) {
	m.borrowed = slices.DeleteFunc(m.borrowed, func(l lease) bool {
		lim := &m.limits[l.limit]
		if !excess(lim) {
			return false
		}
		lim.borrowed -= l.part
		// A grant that still arrives for one of these asks is ignored; the Return covers it too.
		m.pendingAsks = slices.DeleteFunc(m.pendingAsks, func(a pendingAsk) bool { return a.to == l.peer && a.id <= l.askID })
		m.send(l.peer, Message{Kind: Return, AskNumber: l.askID, Entries: []LimitEntry{{Index: uint16(l.limit)}}})
		return true
	})
}

// askMembers asks randomly chosen members for parts that are missing, and lenders to renew leases that expire soon.
func (m *Machine) askMembers(members []member.ProcessID) {
	others := slices.DeleteFunc(slices.Clone(members), func(l member.ProcessID) bool {
		return l == m.config.Self || slices.ContainsFunc(m.pendingAsks, func(a pendingAsk) bool { return a.to == l && m.now-a.sentAt < m.config.Lease/4 })
	})
	if len(others) == 0 {
		return
	}
	renew := map[member.ProcessID]bool{}
	for _, l := range m.borrowed {
		if l.expires-m.now < m.config.Lease*2/3 { // early enough for three attempts to renew it
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

// askMember asks a member for the parts it lends now plus what is missing.
func (m *Machine) askMember(to member.ProcessID) {
	m.lastAskID++
	msg := Message{Kind: Ask, AskNumber: m.lastAskID}
	for i := range m.limits {
		lim := &m.limits[i]
		want := m.wantedPart(lim) - m.currentPart(i)
		for _, l := range m.borrowed {
			if l.peer == to && l.limit == i {
				want += l.part
			}
		}
		if want > minPart && len(msg.Entries) < maxEntriesPerAsk {
			msg.Entries = append(msg.Entries, LimitEntry{Index: uint16(i), Part: min(want, WholeLimit), Limit: m.config.Limits[i]})
		}
	}
	if len(msg.Entries) == 0 {
		return
	}
	m.pendingAsks = append(m.pendingAsks, pendingAsk{m.lastAskID, to, m.now})
	m.send(to, msg)
}

// send queues a message to a member.
func (m *Machine) send(to member.ProcessID, msg Message) {
	msg.Balancers, msg.NamesHash = m.config.Balancers, m.namesHash
	m.sends = append(m.sends, Outgoing{to, msg})
}

// Receive processes a message from a member.
func (m *Machine) Receive(now Moment, from member.ProcessID, msg *Message) {
	m.advance(now)
	if msg.NamesHash != m.namesHash || from == m.config.Self || msg.Balancers < 1 {
		return
	}
	m.fleetSize = max(m.fleetSize, min(msg.Balancers, maxSettingsRatio*m.config.Balancers)) // the larger number gives the smaller home part
	for _, entry := range msg.Entries {
		if int(entry.Index) >= len(m.limits) {
			return
		}
	}
	switch msg.Kind {
	case Ask:
		m.grant(from, msg)
	case Grant:
		m.acceptGrant(from, msg)
	case Return:
		for _, entry := range msg.Entries {
			m.removeLent(func(l lease) bool { return l.peer == from && l.limit == int(entry.Index) && l.askID <= msg.AskNumber })
			if !slices.ContainsFunc(m.lent, func(l lease) bool { return l.peer == from && l.limit == int(entry.Index) }) {
				m.limits[entry.Index].removeAsker(from) // otherwise its earlier ask would reduce other members' parts until that expires
			}
		}
	}
}

// grant answers an Ask with what can be spared, shared max-min fairly among the members that asked recently. This may be less than
// the member has borrowed before, or nothing.
func (m *Machine) grant(to member.ProcessID, msg *Message) {
	answer := Message{Kind: Grant, AskNumber: msg.AskNumber}
	for _, entry := range msg.Entries {
		lim, index := &m.limits[entry.Index], int(entry.Index)
		lim.value = min(lim.value, max(entry.Limit, m.config.Limits[entry.Index]/maxSettingsRatio))
		lim.recordAsk(to, entry.Part, m.now, m.config.Lease)
		granted := Part(0)
		if !m.recentlyStarted() && !m.halved && len(m.lent) < maxLeases {
			ownPart := min(max(m.reservedPart(index), m.wantedPart(lim)), m.homePart()) // its own need comes first, up to its home part
			spare := m.homePart() - ownPart
			granted = max(0, min(entry.Part, lim.fairPart(to, spare), spare-m.totalLent(index, to)))
		}
		if granted > 0 {
			m.lent = append(m.lent, lease{index, to, msg.AskNumber, granted, m.now + m.lenderDuration(m.config.Lease)})
			lim.lent = m.totalLent(index, 0)
		}
		answer.Entries = append(answer.Entries, LimitEntry{Index: entry.Index, Part: granted, Limit: lim.value})
	}
	m.send(to, answer)
}

// recordAsk records how much a member wants, and removes outdated entries.
func (lim *limit) recordAsk(id member.ProcessID, wanted Part, now Moment, keep time.Duration) {
	lim.askers = slices.DeleteFunc(lim.askers, func(a asker) bool { return a.id == id || now-a.askedAt > keep })
	if len(lim.askers) < maxAskers {
		lim.askers = append(lim.askers, asker{id, max(0, wanted), now})
	}
}

// removeAsker removes a member that wants nothing any more.
func (lim *limit) removeAsker(id member.ProcessID) {
	lim.askers = slices.DeleteFunc(lim.askers, func(a asker) bool { return a.id == id })
}

// fairPart is one asker's max-min fair share of what can be spared: all get the same, but none more than it wants.
func (lim *limit) fairPart(id member.ProcessID, spare Part) Part {
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

// acceptGrant records the parts that a member has lent. The lease counts from the time of the ask, which is before the time from which
// the lender counts.
func (m *Machine) acceptGrant(from member.ProcessID, msg *Message) {
	i := slices.IndexFunc(m.pendingAsks, func(a pendingAsk) bool { return a.id == msg.AskNumber && a.to == from })
	if i < 0 {
		return // a duplicate, or too late
	}
	askedAt := m.pendingAsks[i].sentAt
	// This also answers earlier asks.
	m.pendingAsks = slices.DeleteFunc(m.pendingAsks, func(a pendingAsk) bool { return a.to == from && a.id <= msg.AskNumber })
	until := askedAt + time.Duration(float64(m.config.Lease)*(1-maxClockSkew))
	for _, entry := range msg.Entries {
		lim, index := &m.limits[entry.Index], int(entry.Index)
		lim.value = min(lim.value, max(entry.Limit, m.config.Limits[entry.Index]/maxSettingsRatio))
		if entry.Part < 0 || entry.Part > WholeLimit || slices.ContainsFunc(m.borrowed, func(l lease) bool { return l.peer == from && l.limit == index && l.askID > msg.AskNumber }) {
			continue
		}
		previous := Part(0)
		m.borrowed = slices.DeleteFunc(m.borrowed, func(l lease) bool {
			replaced := l.peer == from && l.limit == index
			if replaced {
				lim.borrowed -= l.part
				previous += l.part
			}
			if replaced && l.part > entry.Part { // otherwise the lender counts the larger one as in use until it expires
				m.send(from, Message{Kind: Return, AskNumber: l.askID, Entries: []LimitEntry{{Index: entry.Index}}})
			}
			return replaced
		})
		if entry.Part > previous+minPart {
			m.fruitlessTicks = 0
		}
		if entry.Part > 0 && until > m.now && len(m.borrowed) < maxLeases {
			m.borrowed = append(m.borrowed, lease{index, from, msg.AskNumber, entry.Part, until})
			lim.borrowed += entry.Part
		}
	}
}
