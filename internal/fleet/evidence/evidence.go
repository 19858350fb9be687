// Package evidence exchanges observations between the balancers of a fleet: how recent attempts at each host ended. It summarises what
// the other balancers report of a host in a few numbers, limited in age and weight, which the policy takes into account when it judges
// the host. The package is a state machine without I/O, clock or goroutines: it takes times and messages, and returns messages to send.
// docs/notes/verdicts.md describes what can fail and the bounds.
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

// Moment is a time on this process's own monotonic clock.
type Moment = time.Duration

// HostOutcomes counts how one balancer's recent attempts at one host ended.
type HostOutcomes struct {
	Host      string
	Good, Bad int
}

// Message holds all recent observations of one balancer, as far as they fit. Each message is complete in itself and replaces the
// sender's earlier ones, so that a lost, late or repeated message makes nothing count twice.
type Message struct {
	Sequence uint64 // sequence number of the sender's messages
	SentAt   Moment // when it was sent, by the sender's clock
	Hosts    []HostOutcomes
}

// Outgoing is a message and the member it goes to.
type Outgoing struct {
	To  member.ProcessID
	Msg Message
}

// Peer is a member with which observations are exchanged.
type Peer struct {
	Life member.ProcessID
	Zone string
}

// HostSummary summarises what the other balancers report of a host. Good and Bad are the weight of their reports, in attempts, to be
// added to the balancer's own observations.
type HostSummary struct {
	Host         string
	Good, Bad    float64
	BadReporters int // how many balancers report more bad attempts than good ones
}

// Contains reports whether summaries, which are sorted by host, contain one of this host.
func Contains(summaries []HostSummary, host string) bool {
	_, has := slices.BinarySearchFunc(summaries, host, func(s HostSummary, h string) int { return cmp.Compare(s.Host, h) })
	return has
}

// NotifyChanges calls notify for each host that has a summary now, and with zeros for each host that had one before and has none now. It
// repeats unchanged summaries, because the policy treats a restarted host as a new one that has none yet.
func NotifyChanges(before, after []HostSummary, notify func(host string, good, bad float64)) {
	for _, s := range before {
		if !Contains(after, s.Host) {
			notify(s.Host, 0, 0)
		}
	}
	for _, s := range after {
		notify(s.Host, s.Good, s.Bad)
	}
}

// Config is the configuration of a Machine; it does not change during the life of a process.
type Config struct {
	Self member.ProcessID
	Zone string
}

const (
	// TickInterval is the interval at which Tick is to be called. With 1 s instead, 80 balancers sent 515 attempts to failing hosts, where
	// they sent 460 with 0.5 s and 724 without any exchange of observations.
	TickInterval = 500 * time.Millisecond
	windowTicks  = 12 // ticks whose attempts are reported
	// reportTTL is how long a balancer's report counts after its last message, long enough for two messages in a row to be lost.
	reportTTL = 9 * time.Second
	// maxDelay is how much longer than the sender's fastest message a message may take. One that waited in a socket while this process
	// or the sender was paused is out of date.
	maxDelay = 2 * time.Second
	// offsetDriftRatio is the rate at which the offset of the fastest message is raised as it ages, because clocks drift apart and
	// network paths can become longer for good.
	offsetDriftRatio = 0.1
	// Each balancer reports to partnerCount members, partnersPerTick of them per tick, and keeps the same ones as long as they run. If
	// others were drawn in each tick, in a fleet of hundreds no balancer would receive two messages of one sender in time. Sixteen
	// reporters together detect a bad host sixteen times as fast as one.
	partnerCount    = 16
	partnersPerTick = 4
	// These limits bound memory and allow for many times the size of a fleet.
	maxHosts           = 16384
	maxReporters       = 4096
	maxMessageRowBytes = 900 // all rows of a message
	rowOverheadBytes   = 8   // a row without the host's name
	MaxHostNameBytes   = 256 // MaxHostNameBytes is the maximum length of a host's name
)

// Constants of the summaries.
const (
	// minBadWeight is the weight of bad reports from which a host gets a summary: a single balancer's report cannot reach it.
	minBadWeight = 2
	// maxTotalWeight limits what all other balancers' reports of a host weigh together, in attempts: a dozen good attempts of this
	// balancer's own outweigh them.
	maxTotalWeight = 4
	// maxFlaggedRatio is the largest fraction of the hosts that can have a summary at a time; the worst are kept.
	maxFlaggedRatio = 0.25
	// A balancer that reports on biasedMinHosts or more, and finds more than biasedBadRatio of them bad, is presumed to have a problem
	// of its own, and its reports are ignored.
	biasedBadRatio, biasedMinHosts = 0.5, 4
)

// Machine holds one balancer's observations and the reports of the others.
type Machine struct {
	config       Config
	now          Moment
	tick         int
	ownCounts    map[string]*attemptCounts
	reporters    map[member.ProcessID]*reporter
	zones        map[member.ProcessID]string // zone of each member present
	partners     []member.ProcessID
	partnerIndex int    // of the partner that got the last message
	lastSequence uint64 // of the messages sent
	hostCount    int    // number of hosts in the host list
	sends        []Outgoing
	summaries    []HostSummary
}

// attemptCounts counts this balancer's attempts at one host for each tick of the window, as ring buffers.
type attemptCounts struct {
	good, bad [windowTicks]int
	tick      int // the last tick that was counted
}

// reporter is another balancer, with its last accepted message.
type reporter struct {
	lastSequence uint64
	lastReceived Moment // when the last accepted message arrived
	minOffset    Moment // arrival time by the own clock minus sending time by the sender's, for its fastest message
	minOffsetAt  Moment // when that message arrived
	rows         map[string]HostOutcomes
	biased       bool // see biasedBadRatio
}

// New returns a Machine without any observations.
func New(config Config) *Machine {
	return &Machine{config: config, ownCounts: map[string]*attemptCounts{}, reporters: map[member.ProcessID]*reporter{}, zones: map[member.ProcessID]string{}}
}

// Classify reports whether the outcome of an attempt is evidence about its host (conclusive), and whether it is good. An answer within the
// latency SLO is good; a later answer, no answer by then, and a failure are bad. An attempt that was rejected, never sent or cancelled
// before the SLO elapsed is no evidence.
func Classify(outcome policy.Outcome, took, slo policy.Nanos) (good, conclusive bool) {
	switch outcome {
	case policy.Fulfilled, policy.CacheMiss:
		return took <= slo, true
	case policy.Errored, policy.TimedOut, policy.ConnectFailed, policy.Reset, policy.MalformedAnswer:
		return false, true
	case policy.Cancelled:
		return false, took >= slo
	}
	return false, false
}

// RecordAttempt counts the result of one of this balancer's own attempts.
func (m *Machine) RecordAttempt(now Moment, host string, good bool) {
	m.advance(now)
	o := m.ownCounts[host]
	if o == nil {
		if len(m.ownCounts) >= maxHosts || len(host) > MaxHostNameBytes || host == "" {
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

// advance sets the current time.
func (m *Machine) advance(now Moment) {
	m.now = now
	m.tick = int(now / TickInterval)
}

// advance moves to the given tick and clears the counts of ticks that have left the window.
func (o *attemptCounts) advance(tick int) {
	for k := o.tick + 1; k <= min(tick, o.tick+windowTicks); k++ {
		o.good[k%windowTicks], o.bad[k%windowTicks] = 0, 0
	}
	o.tick = tick
}

// total sums the counts over the window.
func (o *attemptCounts) total() (good, bad int) {
	for i := range windowTicks {
		good, bad = good+o.good[i], bad+o.bad[i]
	}
	return good, bad
}

// Tick queues messages to the next partners and updates the summaries. It is to be called once per TickInterval, with the members
// present and the number of hosts in the host list.
func (m *Machine) Tick(now Moment, members []Peer, hosts int) {
	m.advance(now)
	m.hostCount = hosts
	clear(m.zones)
	for _, p := range members {
		m.zones[p.Life] = p.Zone
	}
	maps.DeleteFunc(m.reporters, func(id member.ProcessID, sender *reporter) bool {
		_, present := m.zones[id]
		return !present || now-sender.lastReceived > 10*reportTTL
	})
	rows := m.rows()
	m.choosePartners(members)
	for range min(partnersPerTick, len(m.partners)) {
		m.partnerIndex = (m.partnerIndex + 1) % len(m.partners)
		m.lastSequence++
		m.sends = append(m.sends, Outgoing{m.partners[m.partnerIndex], Message{Sequence: m.lastSequence, SentAt: now, Hosts: rows}})
	}
	m.summarize()
}

// choosePartners selects partners by a hash of the two process ids alone, so that they stay the same while their processes run.
func (m *Machine) choosePartners(members []Peer) {
	type ranked struct {
		id   member.ProcessID
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
	if i := slices.IndexFunc(m.partners, func(id member.ProcessID) bool { return !slices.Contains(before, id) }); i >= 0 {
		m.partnerIndex = i + len(m.partners) - 1 // a new partner has received nothing yet: it is the next to get a message
	}
}

// hashUint64 hashes the bytes of x, least significant first.
func hashUint64(x uint64) uint64 {
	f := fnv.New64a()
	var b [8]byte
	for i := range b {
		b[i] = byte(x >> (8 * i))
	}
	f.Write(b[:])
	return f.Sum64()
}

// rows returns this balancer's observations, as many as a message holds. Hosts with bad attempts here or with a summary come first,
// sorted by the number of bad attempts, then the other hosts, by the number of good attempts.
func (m *Machine) rows() []HostOutcomes {
	var rows []HostOutcomes
	for host, o := range m.ownCounts {
		o.advance(m.tick)
		good, bad := o.total()
		if good+bad == 0 {
			delete(m.ownCounts, host)
			continue
		}
		rows = append(rows, HostOutcomes{host, good, bad})
	}
	priority := func(r HostOutcomes) int {
		if Contains(m.summaries, r.Host) || r.Bad > 0 {
			return 1
		}
		return 0
	}
	slices.SortFunc(rows, func(a, b HostOutcomes) int {
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

// Receive processes a member's message.
func (m *Machine) Receive(now Moment, from member.ProcessID, msg *Message) {
	m.advance(now)
	if _, present := m.zones[from]; !present && len(m.zones) > 0 || from == m.config.Self {
		return
	}
	sender, offset := m.reporters[from], now-msg.SentAt
	if sender == nil {
		if len(m.reporters) >= maxReporters {
			return
		}
		sender = &reporter{minOffset: offset, minOffsetAt: now}
		m.reporters[from] = sender
	}
	if msg.Sequence <= sender.lastSequence {
		return
	}
	expected := sender.minOffset + Moment(offsetDriftRatio*float64(now-sender.minOffsetAt))
	if offset-expected > maxDelay {
		return
	}
	if offset < expected {
		sender.minOffset, sender.minOffsetAt = offset, now
	}
	sender.lastSequence, sender.lastReceived, sender.rows = msg.Sequence, now, make(map[string]HostOutcomes, len(msg.Hosts))
	good, bad := 0, 0
	for _, r := range msg.Hosts {
		if r.Good >= 0 && r.Bad >= 0 && r.Good+r.Bad > 0 {
			sender.rows[r.Host] = r
			good, bad = good+min(r.Good, 1), bad+min(r.Bad, 1)
		}
	}
	sender.biased = len(sender.rows) >= biasedMinHosts && float64(bad) > biasedBadRatio*float64(good+bad)
}

// summarize computes the summaries from the reports that count now. A balancer's report on a host weighs one attempt in total, split by
// the fraction of bad ones; all balancers of another zone together weigh no more than one.
func (m *Machine) summarize() {
	type votes struct{ good, bad float64 }
	sameZone, otherZones, badReporters := map[string]votes{}, map[string]map[string]votes{}, map[string]int{}
	for id, sender := range m.reporters {
		zone, present := m.zones[id]
		if !present || sender.biased || m.now-sender.lastReceived > reportTTL {
			continue
		}
		for host, r := range sender.rows {
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
	summaries := []HostSummary{}
	for host := range badReporters {
		v := sameZone[host]
		// Another zone's failures may be due to its network paths: all its balancers together weigh at most one attempt.
		for _, zoneVotes := range otherZones[host] {
			scale := 1 / max(1, zoneVotes.good+zoneVotes.bad)
			v.good, v.bad = v.good+zoneVotes.good*scale, v.bad+zoneVotes.bad*scale
		}
		if v.bad >= minBadWeight && v.bad > v.good {
			scale := min(1, maxTotalWeight/(v.good+v.bad))
			summaries = append(summaries, HostSummary{host, v.good * scale, v.bad * scale, badReporters[host]})
		}
	}
	slices.SortFunc(summaries, func(a, b HostSummary) int {
		return cmp.Or(cmp.Compare(b.Bad/(b.Good+b.Bad), a.Bad/(a.Good+a.Bad)), cmp.Compare(b.BadReporters, a.BadReporters), cmp.Compare(a.Host, b.Host))
	})
	summaries = summaries[:min(len(summaries), int(math.Floor(maxFlaggedRatio*float64(m.hostCount))))]
	slices.SortFunc(summaries, func(a, b HostSummary) int { return cmp.Compare(a.Host, b.Host) })
	m.summaries = summaries
}

// Summaries returns the current summaries of the others' reports, sorted by host.
func (m *Machine) Summaries() []HostSummary { return slices.Clone(m.summaries) }

// ActiveReporters returns the number of balancers whose reports count now.
func (m *Machine) ActiveReporters() (n int) {
	for _, sender := range m.reporters {
		if m.now-sender.lastReceived <= reportTTL && !sender.biased {
			n++
		}
	}
	return n
}

// TakeOutput returns the messages queued since the last call.
func (m *Machine) TakeOutput() []Outgoing {
	s := m.sends
	m.sends = nil
	return s
}
