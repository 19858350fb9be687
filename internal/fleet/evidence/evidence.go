// Package evidence tells balancers of one fleet how attempts at hosts ended at the others, and makes of what is heard a word on each
// host for the module to weigh: a few numbers, bounded in age and in what they can do. It is a state machine without I/O, clock or
// goroutine: moments and messages come in, messages go out, chance is a seed's. docs/notes/verdicts.md has what can fail and the bounds.
package evidence

import (
	"cmp"
	"hash/fnv"
	"maps"
	"math"
	"slices"
	"time"

	"streamrail/internal/fleet/member"
	"streamrail/policy"
)

// Moment is a time on this process's own steady clock.
type Moment = time.Duration

// Row is how the attempts of one balancer at one host ended lately.
type Row struct {
	Host      string
	Good, Bad int
}

// Message is all that one balancer has seen lately, as far as it fits: each one stands for itself and replaces those before it, so
// that one that is lost, late or repeated makes nothing count twice.
type Message struct {
	N    uint64 // counts the sender's
	At   Moment // by the sender's clock
	Rows []Row
}

// Send is a message for a member.
type Send struct {
	To  member.Life
	Msg Message
}

// Peer is a member that may be told, or heard.
type Peer struct {
	Life member.Life
	Zone string
}

// Word is what the others say of a host: how many endings of each kind it is worth beside one's own. Both 0: nothing any more.
type Word struct {
	Host      string
	Good, Bad float64
	Witnesses int // who say that it is bad, of those heard
}

// Has tells whether words, in order, are of a host among others.
func Has(summaries []Word, host string) bool {
	_, has := slices.BinarySearchFunc(summaries, host, func(w Word, h string) int { return cmp.Compare(w.Host, h) })
	return has
}

// Tell says what holds now after other words did: of each turn's, as a host that was started again is another one to the module.
func Tell(before, after []Word, notify func(host string, good, bad float64)) {
	for _, w := range before {
		if !Has(after, w.Host) {
			notify(w.Host, 0, 0)
		}
	}
	for _, w := range after {
		notify(w.Host, w.Good, w.Bad)
	}
}

// Terms are fixed for a process.
type Terms struct {
	Self member.Life
	Zone string
}

const (
	Turn        = 500 * time.Millisecond
	windowTicks = 12 // turns whose endings are told
	// reportTTL is how long a witness counts after its last message: two in a row may be lost.
	reportTTL = 9 * time.Second
	// maxDelay is how much later than its quickest one a sender's message may come. One that lay in a socket while this process or the
	// other stood still says what was.
	maxDelay = 2 * time.Second
	// offsetDriftRatio lets the quickest one age: clocks go apart, and ways grow longer for good.
	offsetDriftRatio = 0.1
	// With a turn of a second 80 balancers sent 515 attempts to nodes that fail where alone they sent 724, with half of one 460.
	// partners are told by each balancer, partnersPerTick of them a turn, always the same as long as all live: at hundreds of balancers chance
	// would bring nobody two messages of one sender in time. Sixteen witnesses see a bad host sixteen times as soon.
	partnerCount    = 16
	partnersPerTick = 4
	// Bounds of memory, many times a fleet.
	maxHosts           = 16384
	maxReporters       = 4096
	maxMessageRowBytes = 900 // of rows in a message
	rowOverheadBytes   = 8   // of a row beyond the host's name
	MostName           = 256
)

const (
	// minBadWeight witnesses make a word: no single one can.
	minBadWeight = 2
	// maxTotalWeight is what all others together weigh, in endings: a dozen good ones of the module's own outweigh them.
	maxTotalWeight = 4
	// maxFlaggedRatio of the hosts may have a word against them at a time, the worst first.
	maxFlaggedRatio = 0.25
	// biasedBadRatio is the part of a witness's endings that are bad from which it has a trouble of its own, and hosts that it must have seen.
	biasedBadRatio, biasedMinHosts = 0.5, 4
)

// Machine is one balancer's evidence.
type Machine struct {
	config       Terms
	now          Moment
	tick         int
	ownCounts    map[string]*attemptCounts
	reporters    map[member.Life]*reporter
	zones        map[member.Life]string // of the members present
	partners     []member.Life
	partnerIndex int
	lastSequence uint64
	hostCount    int // listed
	sends        []Send
	summaries    []Word
}

type attemptCounts struct {
	good, bad [windowTicks]int
	tick      int // the last one noted
}

type reporter struct {
	lastSequence uint64
	lastReceived Moment // of the last message that counted
	minOffset    Moment // own clock less the sender's, of its quickest message
	minOffsetAt  Moment // when that was noted
	rows         map[string]Row
	biased       bool
}

// New makes one that knows nothing.
func New(config Terms) *Machine {
	return &Machine{config: config, ownCounts: map[string]*attemptCounts{}, reporters: map[member.Life]*reporter{}, zones: map[member.Life]string{}}
}

// Proves tells what the end of an attempt says of its host, if it says anything: an answer within the latency SLO is good, none by then is
// bad, and so is a failure. One that was turned away, never sent or called back early says nothing.
func Proves(outcome policy.Outcome, took, slo policy.Nanos) (good, proves bool) {
	switch outcome {
	case policy.Fulfilled, policy.Missed:
		return took <= slo, true
	case policy.Errored, policy.TimedOut, policy.ConnectFailed, policy.Reset, policy.Spoilt:
		return false, true
	case policy.Cancelled:
		return false, took >= slo
	}
	return false, false
}

// Ended notes how an attempt of this balancer's own ended.
func (m *Machine) Ended(now Moment, host string, good bool) {
	m.advance(now)
	o := m.ownCounts[host]
	if o == nil {
		if len(m.ownCounts) >= maxHosts || len(host) > MostName || host == "" {
			return
		}
		o = &attemptCounts{tick: m.tick}
		m.ownCounts[host] = o
	}
	o.advance(m.tick)
	if good {
		o.good[m.tick%windowTicks]++
	} else {
		o.bad[m.tick%windowTicks]++
	}
}

func (m *Machine) advance(now Moment) {
	m.now = now
	m.tick = int(now / Turn)
}

// advance forgets what has left the window.
func (o *attemptCounts) advance(tick int) {
	for k := o.tick + 1; k <= min(tick, o.tick+windowTicks); k++ {
		o.good[k%windowTicks], o.bad[k%windowTicks] = 0, 0
	}
	o.tick = tick
}

func (o *attemptCounts) total() (good, bad int) {
	for i := range windowTicks {
		good, bad = good+o.good[i], bad+o.bad[i]
	}
	return good, bad
}

// Tick is called once a turn with the members present and the number of hosts listed.
func (m *Machine) Tick(now Moment, members []Peer, hosts int) {
	m.advance(now)
	m.hostCount = hosts
	clear(m.zones)
	for _, p := range members {
		m.zones[p.Life] = p.Zone
	}
	maps.DeleteFunc(m.reporters, func(l member.Life, w *reporter) bool {
		_, present := m.zones[l]
		return !present || now-w.lastReceived > 10*reportTTL
	})
	rows := m.rows()
	m.choosePartners(members)
	for range min(partnersPerTick, len(m.partners)) {
		m.partnerIndex = (m.partnerIndex + 1) % len(m.partners)
		m.lastSequence++
		m.sends = append(m.sends, Send{m.partners[m.partnerIndex], Message{N: m.lastSequence, At: now, Rows: rows}})
	}
	m.summarize()
}

// choosePartners draws partners by the two lives alone, so that they stay the same.
func (m *Machine) choosePartners(members []Peer) {
	type ranked struct {
		id   member.Life
		rank uint64
	}
	all := make([]ranked, 0, len(members))
	for _, p := range members {
		if p.Life != m.config.Self {
			all = append(all, ranked{p.Life, hashUint64(uint64(m.config.Self) ^ hashUint64(uint64(p.Life)))})
		}
	}
	slices.SortFunc(all, func(a, b ranked) int { return cmp.Compare(a.rank, b.rank) })
	before := m.partners
	m.partners = nil
	for _, r := range all[:min(partnerCount, len(all))] {
		m.partners = append(m.partners, r.id)
	}
	if i := slices.IndexFunc(m.partners, func(l member.Life) bool { return !slices.Contains(before, l) }); i >= 0 {
		m.partnerIndex = i + len(m.partners) - 1 // a newcomer knows nothing yet: it is told next
	}
}

func hashUint64(x uint64) uint64 {
	f := fnv.New64a()
	var b [8]byte
	for i := range b {
		b[i] = byte(x >> (8 * i))
	}
	f.Write(b[:])
	return f.Sum64()
}

// rows are those of this balancer, the most useful first, as many as a message holds: hosts that are bad here or that others call bad, then
// those seen most often.
func (m *Machine) rows() []Row {
	var rows []Row
	for host, o := range m.ownCounts {
		o.advance(m.tick)
		good, bad := o.total()
		if good+bad == 0 {
			delete(m.ownCounts, host)
			continue
		}
		rows = append(rows, Row{host, good, bad})
	}
	priority := func(r Row) int {
		if Has(m.summaries, r.Host) || r.Bad > 0 {
			return 1
		}
		return 0
	}
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(priority(b), priority(a)), cmp.Compare(b.Bad, a.Bad), cmp.Compare(b.Good, a.Good), cmp.Compare(a.Host, b.Host))
	})
	remaining := maxMessageRowBytes
	for i, r := range rows {
		if remaining -= len(r.Host) + rowOverheadBytes; remaining < 0 {
			return rows[:i]
		}
	}
	return rows
}

// Hear takes a member's message.
func (m *Machine) Hear(now Moment, from member.Life, msg *Message) {
	m.advance(now)
	if _, present := m.zones[from]; !present && len(m.zones) > 0 || from == m.config.Self {
		return
	}
	w, offset := m.reporters[from], now-msg.At
	if w == nil {
		if len(m.reporters) >= maxReporters {
			return
		}
		w = &reporter{minOffset: offset, minOffsetAt: now}
		m.reporters[from] = w
	}
	if msg.N <= w.lastSequence {
		return
	}
	expected := w.minOffset + Moment(offsetDriftRatio*float64(now-w.minOffsetAt))
	if offset-expected > maxDelay {
		return
	}
	if offset < expected {
		w.minOffset, w.minOffsetAt = offset, now
	}
	w.lastSequence, w.lastReceived, w.rows = msg.N, now, make(map[string]Row, len(msg.Rows))
	good, bad := 0, 0
	for _, r := range msg.Rows {
		if r.Good >= 0 && r.Bad >= 0 && r.Good+r.Bad > 0 {
			w.rows[r.Host] = r
			good, bad = good+min(r.Good, 1), bad+min(r.Bad, 1)
		}
	}
	w.biased = len(w.rows) >= biasedMinHosts && float64(bad) > biasedBadRatio*float64(good+bad)
}

// summarize makes the words of what counts now.
func (m *Machine) summarize() {
	type votes struct{ good, bad float64 }
	sameZone, otherZones, badReporters := map[string]votes{}, map[string]map[string]votes{}, map[string]int{}
	for l, w := range m.reporters {
		zone, present := m.zones[l]
		if !present || w.biased || m.now-w.lastReceived > reportTTL {
			continue
		}
		for host, r := range w.rows {
			badRatio := float64(r.Bad) / float64(r.Good+r.Bad)
			if badRatio > 0.5 {
				badReporters[host]++
			}
			if zone == m.config.Zone {
				v := sameZone[host]
				sameZone[host] = votes{v.good + 1 - badRatio, v.bad + badRatio}
				continue
			}
			if otherZones[host] == nil {
				otherZones[host] = map[string]votes{}
			}
			v := otherZones[host][zone]
			otherZones[host][zone] = votes{v.good + 1 - badRatio, v.bad + badRatio}
		}
	}
	summaries := []Word{}
	for host := range badReporters {
		v := sameZone[host]
		for _, zoneVotes := range otherZones[host] { // what another zone sees may be its ways': together it counts as one
			scale := 1 / max(1, zoneVotes.good+zoneVotes.bad)
			v.good, v.bad = v.good+zoneVotes.good*scale, v.bad+zoneVotes.bad*scale
		}
		if v.bad >= minBadWeight && v.bad > v.good {
			scale := min(1, maxTotalWeight/(v.good+v.bad))
			summaries = append(summaries, Word{host, v.good * scale, v.bad * scale, badReporters[host]})
		}
	}
	slices.SortFunc(summaries, func(a, b Word) int {
		return cmp.Or(cmp.Compare(b.Bad/(b.Good+b.Bad), a.Bad/(a.Good+a.Bad)), cmp.Compare(b.Witnesses, a.Witnesses), cmp.Compare(a.Host, b.Host))
	})
	summaries = summaries[:min(len(summaries), int(math.Floor(maxFlaggedRatio*float64(m.hostCount))))]
	slices.SortFunc(summaries, func(a, b Word) int { return cmp.Compare(a.Host, b.Host) })
	m.summaries = summaries
}

// Words are what the others say now, by host, in order.
func (m *Machine) Words() []Word { return slices.Clone(m.summaries) }

// Heard is how many witnesses count now.
func (m *Machine) Heard() (n int) {
	for _, w := range m.reporters {
		if m.now-w.lastReceived <= reportTTL && !w.biased {
			n++
		}
	}
	return n
}

// Out are the messages to send.
func (m *Machine) Out() []Send {
	s := m.sends
	m.sends = nil
	return s
}
