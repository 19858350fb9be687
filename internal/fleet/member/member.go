package member

import (
	"cmp"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

// Machine is the membership state of one balancer.
type Machine struct {
	config    Config
	rng       *rand.Rand
	rngSource *rand.PCG

	self          Record
	now           Moment
	due           Moment // when Tick is to be called; a call much later means that this process was stalled
	peers         map[ProcessID]*peer
	byName        map[string]*peer // the newest process of each name
	present       []*peer          // members present, in probe order
	cursor        int
	absent        []*peer               // members dead or left
	digest        uint64                // of the members present, including this one
	bucketDigests [digestBuckets]uint64 // the same for each bucket
	suspects

	seq               uint32
	probes            []probe
	relayedProbes     []relayedProbe
	urgentProbes      []ProcessID // to be probed out of turn
	gossipQueue       []*gossipItem
	gossipByID        map[ProcessID]*gossipItem
	missingRecords    []ProcessID // records missing for the input being processed
	recordRequestedAt map[ProcessID]Moment
	tokens            float64
	refilledAt        Moment

	nextProbe, nextGossip, nextReconnect, nextExchange Moment

	localHealth           int  // 0 is healthy
	consecutiveUnanswered int  // probes in a row without any answer, direct or indirect
	unansweredSinceStall  bool // this process was stalled, and no probe has been answered since
	digestMismatches      int  // messages in a row whose digest differed
	nameConflict          Record
	nameConflictAt        Moment
	nameTaken             bool // a newer process has this one's name

	version    uint64
	situation  Situation
	sends      []Outgoing
	spareSends []Outgoing
	events     []Event
}

// peer is another process.
type peer struct {
	Record
	state        State
	since        Moment
	lastReceived Moment // last direct message from it; 0 means never
	rtt          time.Duration
	index        int // in present or in absent
	suspectedBy  []ProcessID
	reportedDead bool // by a table or an update: one own probe without an answer is then enough to declare it dead
	suspicion
}

type suspicion struct {
	ownProbeFailed bool // an own probe got no answer
	startedAt      Moment
	nextProbeAt    Moment // when it is probed again
}

// suspects holds the suspected members in no particular order.
type suspects struct{ suspected []*peer }

// probe is a ping in progress.
type probe struct {
	seq                uint32
	sentAt             Moment
	target             ProcessID
	indirect           bool // other members have been asked to ping the target
	nacks              []ProcessID
	reconnect          bool // sent to a member held dead, or to an address alone: a missing answer shows nothing new
	deadline, nextStep Moment
}

// relayedProbe is an indirect probe made for another member.
type relayedProbe struct {
	seq          uint32
	requester    ProcessID
	requesterSeq uint32
	target       ProcessID
	deadline     Moment
}

// gossipItem is an update that is still being sent. Whoever lacks the process's record requests it.
type gossipItem struct {
	StateUpdate
	transmissions int // how often this balancer has sent the update, or received it again from members that therefore have it
}

// New returns the Machine of a process at its start. handedOver is the state of an older process of the same member, or nil.
func New(c Config, now Moment, handedOver *HandoverState) *Machine {
	m := &Machine{config: c, rngSource: rand.NewPCG(c.Seed, uint64(c.Self.Life)), self: c.Self, now: now, refilledAt: now,
		peers: map[ProcessID]*peer{}, byName: map[string]*peer{}, gossipByID: map[ProcessID]*gossipItem{}, recordRequestedAt: map[ProcessID]Moment{},
		tokens: float64(c.GossipBytesPerSecond * burstSeconds)}
	m.rng = rand.New(m.rngSource)
	m.config.Seeds = slices.Clone(c.Seeds) // they are shuffled
	m.toggleDigest(m.self.Life)
	if handedOver != nil {
		m.toggleDigest(m.self.Life)
		m.self.Life, m.self.Inc = handedOver.Life, handedOver.Inc
		m.toggleDigest(m.self.Life)
		for _, r := range handedOver.Members {
			if p := m.addPeer(r); p != nil {
				p.lastReceived = now
			}
		}
		m.self.Inc++ // so that this process's statements supersede the older process's
	}
	m.enqueueUpdate(StateUpdate{Life: m.self.Life, Inc: m.self.Inc, State: Alive})
	m.nextProbe = now + m.periods(m.rng.Float64())
	m.nextGossip = now
	m.nextReconnect = now
	m.situation = m.assessSituation()
	m.schedule()
	return m
}

// HandoverState is the state that a newer process of the same member takes over.
type HandoverState struct {
	Life    ProcessID
	Inc     Incarnation
	Members []Record
	Count   uint64 // of datagrams sent, for the transport
}

// HandoverState returns the state to hand over.
func (m *Machine) HandoverState() HandoverState {
	state := HandoverState{Life: m.self.Life, Inc: m.self.Inc}
	for _, p := range m.present {
		state.Members = append(state.Members, p.Record)
	}
	return state
}

// toggleDigest adds a process to the digests of those present, or removes it: XOR does both.
func (m *Machine) toggleDigest(id ProcessID) {
	h := id.hash()
	m.digest ^= h
	m.bucketDigests[h%digestBuckets] ^= h
}

// ProcessID returns this process's identifier.
func (m *Machine) ProcessID() ProcessID { return m.self.Life }

// Due returns when Tick is to be called next.
func (m *Machine) Due() Moment { return m.due }

// TakeOutput returns the messages to send and the events since its last call. The list of messages is valid until the next call,
// after which its memory is used again.
func (m *Machine) TakeOutput() (sends []Outgoing, events []Event) {
	sends, events = m.sends, m.events
	m.sends, m.spareSends = m.spareSends[:0], m.sends
	m.events = nil
	return sends, events
}

func (m *Machine) periods(n float64) time.Duration {
	return time.Duration(n * float64(m.config.ProbeInterval))
}

// scaleByHealth lengthens a timeout while this balancer has reason to doubt its own links.
func (m *Machine) scaleByHealth(d time.Duration) time.Duration {
	return d * time.Duration(1+m.localHealth)
}

// advanceClock sets the time for an input. A call long after the due time means that this process was stalled: the answers it
// waited for may have come and been lost, and their absence shows nothing about other members.
func (m *Machine) advanceClock(now Moment) {
	now = max(now, m.now)
	late := now - max(m.due, m.now)
	m.now = now
	if late < m.periods(1) {
		return
	}
	m.emit(Event{Kind: "stalled", Name: m.self.Name, Life: m.self.Life, Cause: "stood still for " + late.Round(time.Millisecond).String()})
	m.probes, m.relayedProbes = nil, nil
	m.unansweredSinceStall = len(m.present) > 0
	for _, p := range m.suspected {
		p.startedAt += late
		p.nextProbeAt = now
	}
	m.nextProbe, m.nextReconnect = now, min(m.nextReconnect, now+m.periods(1))
}

// Tick does the work that is due.
func (m *Machine) Tick(now Moment) {
	m.advanceClock(now)
	m.refillTokens()
	m.advanceProbes()
	m.expireRelayedProbes()
	m.checkSuspicions()
	if !m.nameTaken {
		if m.now >= m.nextProbe {
			m.nextProbe = m.now + m.periods(0.95+0.1*m.rng.Float64())
			m.probeNext()
		}
		if m.now >= m.nextGossip {
			m.nextGossip = m.now + m.periods(directProbePeriods)
			m.sendGossip()
		}
	}
	if m.now >= m.nextReconnect {
		m.nextReconnect = m.now + m.periods(reconnectPeriods*(0.75+0.5*m.rng.Float64()))
		m.reconnect()
	}
	m.schedule()
}

// schedule sets the time of the next Tick and emits an event when the situation has changed.
func (m *Machine) schedule() {
	m.due = m.nextReconnect
	if !m.nameTaken {
		m.due = min(m.due, m.nextProbe)
		if len(m.gossipQueue) > 0 {
			m.due = min(m.due, m.nextGossip)
		}
	}
	for i := range m.probes {
		m.due = min(m.due, m.probes[i].nextStep)
	}
	for i := range m.relayedProbes {
		m.due = min(m.due, m.relayedProbes[i].deadline)
	}
	for _, p := range m.suspected {
		m.due = min(m.due, m.suspicionEndsAt(p))
	}
	m.due = max(m.due, m.now+time.Millisecond)
	if s := m.assessSituation(); s != m.situation {
		m.emit(Event{Kind: "situation", Name: m.self.Name, Life: m.self.Life, Cause: m.situation.String() + " to " + s.String()})
		m.situation = s
		m.version++
	}
}

// assessSituation determines the situation from the number of members present and this process's own state.
func (m *Machine) assessSituation() Situation {
	seen, expected := len(m.present)+1, m.config.ExpectedMembers
	switch {
	case m.nameTaken, m.unansweredSinceStall, m.consecutiveUnanswered >= 2 && len(m.present) > 0:
		return Unsure
	case seen >= expected:
		return Whole
	case seen == 1:
		return Alone
	case 2*seen > expected:
		return Majority
	}
	return Minority
}

func (m *Machine) emit(e Event) { m.events = append(m.events, e) }

// Receive processes a message received from an address.
func (m *Machine) Receive(now Moment, from netip.AddrPort, msg *Message) {
	if msg.From == m.self.Life || msg.From == 0 {
		return
	}
	m.advanceClock(now)
	m.refillTokens()
	for _, r := range msg.Records {
		m.receiveRecord(r)
	}
	p := m.peers[msg.From]
	switch {
	case p == nil && m.handleSuperseded(msg):
		m.schedule()
		return
	case p == nil:
		m.noteMissingRecord(msg.From)
	case msg.Kind == NameConflict: // handled below; the sender is not a member
	default:
		m.noteDirectContact(p, msg.Inc)
	}
	if msg.Kind == NameConflict {
		m.noteNameConflict(msg)
		m.schedule()
		return
	}
	for _, r := range msg.Updates {
		m.receiveUpdate(r, msg.Kind == Table)
	}
	m.respond(from, p, msg)
	m.requestRecords(from, msg.From)
	if p != nil && p.state.isPresent() {
		m.compareDigest(p, msg)
	}
	m.schedule()
}

// handleSuperseded deals with a sender whose name belongs to a newer process: it is notified and the rest of its message is
// ignored. It reports whether this was so.
func (m *Machine) handleSuperseded(msg *Message) bool {
	for _, r := range msg.Records {
		if r.Life != msg.From || !r.isValid() {
			continue
		}
		if r.Name == m.self.Name {
			m.noteNameConflict(msg)
			return true
		}
		if newer := m.byName[r.Name]; newer != nil && newer.Life > r.Life {
			m.send(m.addressOf(r), Message{Kind: Gossip, To: r.Life, Records: []Record{newer.Record}})
			return true
		}
	}
	return false
}

// noteNameConflict records that another process uses this one's name. Where that process has the same address too it must have
// ended, as the address now belongs to this process.
func (m *Machine) noteNameConflict(msg *Message) {
	for _, r := range msg.Records {
		if r.Name != m.self.Name || r.Life == m.self.Life || !r.isValid() {
			continue
		}
		if r.Addr == m.self.Addr {
			if r.Life > m.self.Life {
				m.renewID(r.Life)
			}
			continue
		}
		if m.nameConflict.Life != r.Life {
			m.emit(Event{Kind: "name-shared", Name: r.Name, Life: r.Life, Cause: "another process has this name, at " + r.Addr.String()})
		}
		m.nameConflict, m.nameConflictAt = r, m.now
		if r.Life > m.self.Life && !m.nameTaken {
			m.nameTaken = true
			m.emit(Event{Kind: "name-taken", Name: r.Name, Life: r.Life, Cause: "the newer process at " + r.Addr.String() + " keeps the name"})
			m.version++
			m.nextReconnect = m.now
		}
		if r.Life < m.self.Life { // it may lack this process's record
			m.send(m.addressOf(r), Message{Kind: NameConflict, To: r.Life, Records: []Record{m.self}})
		}
	}
}

// renewID gives this process a greater identifier than that of an earlier process at its address, which was started with its
// clock ahead.
func (m *Machine) renewID(older ProcessID) {
	m.toggleDigest(m.self.Life)
	m.self.Life = (older>>randomBits+1)<<randomBits | m.self.Life&(1<<randomBits-1)
	m.toggleDigest(m.self.Life)
	m.enqueueUpdate(StateUpdate{Life: m.self.Life, Inc: m.self.Inc, State: Alive})
}

// noteDirectContact records that a message came from the process itself.
func (m *Machine) noteDirectContact(p *peer, inc Incarnation) {
	if p.state == Left {
		return
	}
	p.lastReceived = m.now
	if inc > p.Inc {
		m.receiveUpdate(StateUpdate{Life: p.Life, Inc: inc, State: Alive}, false)
	}
	p.ownProbeFailed, p.reportedDead = false, false // it is running, so these no longer hold; it refutes suspicions itself
}

// respond sends the answer that a message requires.
func (m *Machine) respond(from netip.AddrPort, p *peer, msg *Message) {
	replyTo := from
	if p != nil {
		replyTo = m.addressOf(p.Record)
	}
	switch msg.Kind {
	case Ping:
		if msg.To != 0 && msg.To != m.self.Life { // meant for an earlier process at this address
			m.send(replyTo, Message{Kind: Gossip, To: msg.From, Records: []Record{m.self}})
			return
		}
		ack := Message{Kind: Ack, To: msg.From, Seq: msg.Seq, Target: m.self.Life}
		if msg.To == 0 || msg.WantRecords || p == nil {
			ack.Records = []Record{m.self}
		}
		if msg.WantRecords { // from a newcomer: referring it to other members spreads the load when many start at once
			for _, other := range m.randomAlive(newcomerReferrals, msg.From) {
				ack.Records = append(ack.Records, other.Record)
			}
		}
		if p != nil && p.state != Alive { // it can refute a suspicion or death only once it is notified of it
			ack.Updates = append(ack.Updates, StateUpdate{Life: p.Life, Inc: p.Inc, State: p.state})
		}
		m.send(replyTo, ack)
		if msg.WantTable {
			m.sendTable(replyTo, msg.From, allBucketsMask, msg.WantRecords, false)
		}
	case IndirectPing:
		if len(m.relayedProbes) >= maxPendingProbes {
			return
		}
		if target := m.peers[msg.Target]; target != nil {
			m.seq++
			m.relayedProbes = append(m.relayedProbes, relayedProbe{seq: m.seq, requester: msg.From, requesterSeq: msg.Seq, target: msg.Target, deadline: m.now + m.periods(directProbePeriods)})
			m.ping(target, m.seq)
		}
	case Ack:
		m.handleAck(msg)
	case Nack:
		for i := range m.probes {
			if pending := &m.probes[i]; pending.seq == msg.Seq && !slices.Contains(pending.nacks, msg.From) && len(pending.nacks) < indirectProbeRelays+maxLocalHealth {
				pending.nacks = append(pending.nacks, msg.From)
				m.consecutiveUnanswered, m.unansweredSinceStall = 0, false
			}
		}
	case Table:
		if msg.WantTable {
			m.sendTable(replyTo, msg.From, msg.WantedBuckets, false, false)
		}
	case BucketDigests:
		if mask := m.differingBuckets(msg.BucketDigests); mask != 0 {
			m.sendTable(replyTo, msg.From, mask, false, true)
		}
	}
	for i, id := range msg.RecordRequests {
		if i >= maxRecordRequestsPerDatagram {
			break
		}
		if p := m.peers[id]; p != nil {
			m.sendRecord(replyTo, msg.From, p.Record)
		} else if id == m.self.Life {
			m.sendRecord(replyTo, msg.From, m.self)
		}
	}
}

// handleAck ends the probe or the relayed probe that an Ack answers.
func (m *Machine) handleAck(msg *Message) {
	m.consecutiveUnanswered, m.unansweredSinceStall = 0, false
	for i := range m.probes {
		pending := m.probes[i]
		if pending.seq != msg.Seq || pending.target != msg.Target && pending.target != 0 {
			continue
		}
		m.probes = slices.Delete(m.probes, i, i+1)
		if m.localHealth > 0 {
			m.localHealth--
		}
		if p := m.peers[msg.Target]; p != nil && !pending.indirect && msg.From == msg.Target {
			if took := m.now - pending.sentAt; p.rtt == 0 {
				p.rtt = took
			} else {
				p.rtt += (took - p.rtt) / 8 // smoothed as in TCP
			}
		}
		if p := m.peers[msg.Target]; p != nil {
			p.ownProbeFailed = false
		}
		return
	}
	for i, relayed := range m.relayedProbes {
		if relayed.seq == msg.Seq && relayed.target == msg.Target {
			m.relayedProbes = slices.Delete(m.relayedProbes, i, i+1)
			if p := m.peers[relayed.requester]; p != nil {
				ack := Message{Kind: Ack, To: relayed.requester, Seq: relayed.requesterSeq, Target: relayed.target}
				if target := m.peers[relayed.target]; target != nil {
					ack.Updates = []StateUpdate{{Life: target.Life, Inc: target.Inc, State: target.state}}
				}
				m.send(m.addressOf(p.Record), ack)
			}
			return
		}
	}
}

// probeNext pings the next member in turn, and the suspects that are due to be probed again.
func (m *Machine) probeNext() {
	if p := m.nextProbeTarget(); p != nil {
		m.startProbe(p)
	}
	suspectProbes := 0
	for _, p := range m.suspected {
		if p.ownProbeFailed && p.nextProbeAt <= m.now && suspectProbes < maxSuspectProbes && !m.isProbing(p.Life) {
			suspectProbes++
			m.startProbe(p)
		}
	}
}

func (m *Machine) isProbing(id ProcessID) bool {
	return slices.ContainsFunc(m.probes, func(p probe) bool { return p.target == id && !p.reconnect })
}

func (m *Machine) nextProbeTarget() *peer {
	for len(m.urgentProbes) > 0 {
		p := m.peers[m.urgentProbes[0]]
		m.urgentProbes = m.urgentProbes[1:]
		if p != nil && p.state.isPresent() && !m.isProbing(p.Life) {
			return p
		}
	}
	if len(m.present) == 0 {
		return nil
	}
	if m.cursor >= len(m.present) {
		m.cursor = 0
		m.rng.Shuffle(len(m.present), func(i, j int) {
			m.present[i], m.present[j] = m.present[j], m.present[i]
			m.present[i].index, m.present[j].index = i, j
		})
	}
	p := m.present[m.cursor]
	m.cursor++
	if m.isProbing(p.Life) {
		return nil
	}
	return p
}

func (m *Machine) startProbe(p *peer) {
	if len(m.probes) >= maxPendingProbes {
		return
	}
	m.seq++
	p.nextProbeAt = m.now + m.scaleByHealth(m.periods(1))
	m.probes = append(m.probes, probe{seq: m.seq, sentAt: m.now, target: p.Life, deadline: m.now + m.scaleByHealth(m.periods(1)),
		nextStep: m.now + m.scaleByHealth(m.periods(directProbePeriods))})
	m.ping(p, m.seq)
}

// ping sends a Ping to a member, with the state this view holds of it unless that is alive.
func (m *Machine) ping(p *peer, seq uint32) {
	msg := Message{Kind: Ping, To: p.Life, Seq: seq}
	if p.state != Alive {
		msg.Updates = append(msg.Updates, StateUpdate{Life: p.Life, Inc: p.Inc, State: p.state, Suspector: m.self.Life})
	}
	if p.lastReceived == 0 {
		msg.Records = append(msg.Records, m.self)
	}
	m.send(m.addressOf(p.Record), msg)
}

// advanceProbes asks other members for indirect probes where no answer came, and suspects a member where these brought none either.
func (m *Machine) advanceProbes() {
	for i := 0; i < len(m.probes); {
		pending := &m.probes[i]
		if m.now < pending.nextStep {
			i++
			continue
		}
		p := m.peers[pending.target]
		if pending.reconnect || p == nil || !p.state.isPresent() {
			m.probes = slices.Delete(m.probes, i, i+1)
			continue
		}
		if !pending.indirect && m.now < pending.deadline {
			pending.indirect, pending.nextStep = true, pending.deadline
			m.ping(p, pending.seq) // on a link that loses packets the second ping often arrives
			for _, relay := range m.randomAlive(indirectProbeRelays+m.localHealth, pending.target) {
				m.send(m.addressOf(relay.Record), Message{Kind: IndirectPing, To: relay.Life, Seq: pending.seq, Target: p.Life, TargetAddr: p.Addr})
			}
			i++
			continue
		}
		nacks, at := pending.nacks, pending.sentAt
		m.probes = slices.Delete(m.probes, i, i+1)
		if len(nacks) == 0 { // no relay answered either: this balancer itself may be cut off
			m.consecutiveUnanswered++
			if len(m.present) > 1 {
				m.localHealth = min(m.localHealth+1, maxLocalHealth)
			}
		}
		if p.lastReceived > at { // it sent a message since the probe began
			continue
		}
		if p.reportedDead {
			m.declareDead(p)
			continue
		}
		m.suspect(p, nacks)
	}
}

func (m *Machine) expireRelayedProbes() {
	for i := 0; i < len(m.relayedProbes); {
		relayed := m.relayedProbes[i]
		if m.now < relayed.deadline {
			i++
			continue
		}
		m.relayedProbes = slices.Delete(m.relayedProbes, i, i+1)
		if p := m.peers[relayed.requester]; p != nil {
			m.send(m.addressOf(p.Record), Message{Kind: Nack, To: p.Life, Seq: relayed.requesterSeq, Target: relayed.target})
		}
	}
}

// suspect records that an own probe got no answer, and which relays got none either.
func (m *Machine) suspect(p *peer, nacks []ProcessID) {
	m.receiveUpdate(StateUpdate{Life: p.Life, Inc: p.Inc, State: Suspected, Suspector: m.self.Life}, false)
	if p.state != Suspected {
		return
	}
	if !p.ownProbeFailed {
		p.ownProbeFailed = true
		p.startedAt = m.now
		p.nextProbeAt = m.now
	}
	for _, relay := range nacks {
		m.confirmSuspicion(p, relay)
	}
}

func (m *Machine) confirmSuspicion(p *peer, by ProcessID) bool {
	if by == 0 || len(p.suspectedBy) > fullConfirmations || slices.Contains(p.suspectedBy, by) {
		return false
	}
	p.suspectedBy = append(p.suspectedBy, by)
	return true
}

// suspicionTimeout returns how long a suspicion lasts before the member is declared dead. As in Lifeguard it gets shorter with
// each member that confirms the suspicion.
func (m *Machine) suspicionTimeout(p *peer) time.Duration {
	confirmations := len(p.suspectedBy)
	if slices.Contains(p.suspectedBy, m.self.Life) {
		confirmations--
	}
	shortest, longest := float64(m.config.SuspicionTimeout), float64(m.config.SuspicionTimeout)*unconfirmedSuspicionFactor
	progress := math.Log(float64(min(max(confirmations, 0), fullConfirmations)+1)) / math.Log(fullConfirmations+1)
	return m.scaleByHealth(time.Duration(longest - (longest-shortest)*progress))
}

// suspicionEndsAt returns when a suspicion ends: in a declaration of death, or in an own probe where this balancer has not made one.
func (m *Machine) suspicionEndsAt(p *peer) Moment {
	if p.ownProbeFailed {
		return p.startedAt + m.suspicionTimeout(p)
	}
	return p.since + 2*unconfirmedSuspicionFactor*m.config.SuspicionTimeout
}

func (m *Machine) checkSuspicions() {
	for _, p := range slices.Clone(m.suspected) {
		if m.now < m.suspicionEndsAt(p) {
			continue
		}
		if !p.ownProbeFailed { // reported by others, and neither confirmed nor refuted
			p.since = m.now
			m.probeSoon(p.Life)
			continue
		}
		m.declareDead(p)
	}
}

// declareDead declares a member dead after own probes without an answer.
func (m *Machine) declareDead(p *peer) {
	// A member from which a message came recently is not set dead but probed again; an event each time would be of no use.
	if !m.receivedRecently(p) {
		m.emit(Event{Kind: "verdict", Name: p.Name, Life: p.Life, Cause: "no answer to own probes"})
	}
	m.receiveUpdate(StateUpdate{Life: p.Life, Inc: p.Inc, State: Dead, Suspector: m.self.Life}, false)
}

// probeSoon probes a member now, or queues it to be probed out of turn if some probes are in progress.
func (m *Machine) probeSoon(id ProcessID) {
	if p := m.peers[id]; p != nil && p.state.isPresent() && len(m.probes) < maxSuspectProbes && !m.isProbing(id) {
		m.startProbe(p)
		return
	}
	if len(m.urgentProbes) < maxPendingProbes && !slices.Contains(m.urgentProbes, id) {
		m.urgentProbes = append(m.urgentProbes, id)
	}
}

// reconnect tries to reach a member held dead, or a seed address, so that two sides of a past partition find each other again.
func (m *Machine) reconnect() {
	if m.nameTaken {
		m.send(m.addressOf(m.nameConflict), Message{Kind: NameConflict, To: m.nameConflict.Life, Records: []Record{m.self}})
		return
	}
	if m.nameConflict.Life != 0 && m.now-m.nameConflictAt > time.Minute {
		m.nameConflict = Record{}
	}
	m.forgetLongAbsent()
	deadPeers := slices.DeleteFunc(slices.Clone(m.absent), func(p *peer) bool { return p.state != Dead })
	if len(deadPeers) == 0 && len(m.present)+1 >= m.config.ExpectedMembers {
		return
	}
	m.rng.Shuffle(len(m.config.Seeds), func(i, j int) {
		m.config.Seeds[i], m.config.Seeds[j] = m.config.Seeds[j], m.config.Seeds[i]
	})
	seeds := slices.DeleteFunc(slices.Clone(m.config.Seeds), m.isPresentAddress)
	if len(m.present) == 0 { // a newcomer tries several seeds, and again soon
		for _, s := range seeds[:min(len(seeds), indirectProbeRelays)] {
			m.pingAddress(s, 0, true)
		}
		m.nextReconnect = min(m.nextReconnect, m.now+m.periods(1))
	}
	switch {
	case len(deadPeers) > 0:
		p := deadPeers[m.rng.IntN(len(deadPeers))]
		m.pingAddress(m.addressOf(p.Record), p.Life, false)
	case len(m.present) > 0 && len(seeds) > 0:
		m.pingAddress(seeds[0], 0, false)
	}
}

// pingAddress pings an address; a member held dead there is notified of that.
func (m *Machine) pingAddress(to netip.AddrPort, id ProcessID, wantTable bool) {
	if len(m.probes) >= maxPendingProbes {
		return
	}
	m.seq++
	m.probes = append(m.probes, probe{seq: m.seq, sentAt: m.now, target: id, reconnect: true, nextStep: m.now + m.periods(1), deadline: m.now + m.periods(1)})
	msg := Message{Kind: Ping, To: id, Seq: m.seq, Records: []Record{m.self}, WantTable: wantTable, WantRecords: wantTable}
	if p := m.peers[id]; p != nil {
		msg.Updates = []StateUpdate{{Life: id, Inc: p.Inc, State: p.state, Suspector: m.self.Life}}
	}
	m.send(to, msg)
}

// isPresentAddress reports whether an address is this balancer's own or that of a member present.
func (m *Machine) isPresentAddress(addr netip.AddrPort) bool {
	if addr == m.self.Addr {
		return true
	}
	return slices.ContainsFunc(m.present, func(p *peer) bool { return p.Addr == addr || m.addressOf(p.Record) == addr })
}

func (m *Machine) addressOf(r Record) netip.AddrPort {
	if via, ok := m.config.AddressOverrides[r.Name]; ok {
		return via
	}
	return r.Addr
}

// randomAlive returns up to n randomly drawn members that are alive, other than the one excepted.
func (m *Machine) randomAlive(n int, except ProcessID) (chosen []*peer) {
	for tries := 0; len(chosen) < n && tries < 4*n && len(m.present) > 0; tries++ {
		p := m.present[m.rng.IntN(len(m.present))]
		if p.Life != except && p.state == Alive && !slices.Contains(chosen, p) {
			chosen = append(chosen, p)
		}
	}
	return chosen
}

// send queues a message, filled up with updates as far as they fit.
func (m *Machine) send(to netip.AddrPort, msg Message) {
	msg.From, msg.Inc, msg.Digest = m.self.Life, m.self.Inc, m.digest
	if msg.Kind != Table && msg.Kind != BucketDigests && msg.Kind != NameConflict {
		m.attachUpdates(&msg)
	}
	m.sends = append(m.sends, Outgoing{to, msg})
}

func (m *Machine) refillTokens() {
	m.tokens = min(m.tokens+float64(m.config.GossipBytesPerSecond)*(m.now-m.refilledAt).Seconds(), float64(m.config.GossipBytesPerSecond*burstSeconds))
	m.refilledAt = m.now
}

// attachUpdates adds the updates that were sent least often, as long as there is room and budget.
func (m *Machine) attachUpdates(msg *Message) {
	if len(m.gossipQueue) == 0 || m.tokens <= 0 {
		return
	}
	room := MaxDatagramBytes - msg.Size() - 3*3
	minSize := StateUpdate{}.size()
	if len(m.gossipQueue)*minSize > room {
		slices.SortFunc(m.gossipQueue, func(a, b *gossipItem) int { return cmp.Compare(a.transmissions, b.transmissions) })
	}
	maxSends := m.maxTransmissions()
	remaining := m.gossipQueue[:0]
	for i, item := range m.gossipQueue {
		if room < minSize {
			remaining = append(remaining, m.gossipQueue[i:]...)
			break
		}
		if size := item.size(); room >= size && item.Life != msg.To && item.transmissions < maxSends {
			room -= size
			m.tokens -= float64(size)
			msg.Updates = append(msg.Updates, item.StateUpdate)
			item.transmissions++
		}
		if item.transmissions < maxSends {
			remaining = append(remaining, item)
		} else {
			delete(m.gossipByID, item.Life)
		}
	}
	clear(m.gossipQueue[len(remaining):])
	m.gossipQueue = remaining
}

// maxTransmissions returns how often an update is sent. When very many updates are queued, tables are the cheaper way to reach
// the last members.
func (m *Machine) maxTransmissions() int {
	if len(m.gossipQueue) > manyUpdates {
		return baseTransmissions
	}
	return baseTransmissions + bitLength(len(m.present)+1)
}

// enqueueUpdate starts sending an update, in place of an earlier one on the same process.
func (m *Machine) enqueueUpdate(update StateUpdate) {
	item := m.gossipByID[update.Life]
	if item == nil {
		item = &gossipItem{}
		m.gossipByID[update.Life] = item
		m.gossipQueue = append(m.gossipQueue, item)
	}
	*item = gossipItem{StateUpdate: update}
}

// sendGossip sends new updates to some members, in addition to those in probes and answers.
func (m *Machine) sendGossip() {
	if len(m.gossipQueue) == 0 || m.tokens <= 0 {
		return
	}
	for _, p := range m.randomAlive(gossipFanout, 0) {
		if len(m.gossipQueue) > 0 {
			m.tokens -= headerBytes / 2 // the overhead of the datagram
			m.send(m.addressOf(p.Record), Message{Kind: Gossip, To: p.Life})
		}
	}
}

// sendTable sends this view of some buckets in datagrams that are independent of each other: a lost one is made up for by the
// next exchange. With wantReply the receiver is asked for its own view of these buckets.
func (m *Machine) sendTable(to netip.AddrPort, toLife ProcessID, mask uint64, withRecords, wantReply bool) {
	if m.tokens <= 0 {
		return
	}
	msg := Message{Kind: Table, To: toLife}
	flush := func(last bool) {
		if msg.WantTable = wantReply && last; msg.WantTable {
			msg.WantedBuckets = mask
		}
		if len(msg.Updates)+len(msg.Records) > 0 || msg.WantTable {
			m.tokens -= float64(msg.Size())
			m.send(to, msg)
		}
		msg = Message{Kind: Table, To: toLife}
	}
	add := func(r Record, s State) {
		if m.tokens <= 0 || mask>>(r.Life.hash()%digestBuckets)&1 == 0 {
			return
		}
		if withRecords && s.isPresent() {
			msg.Records = append(msg.Records, r)
		} else {
			msg.Updates = append(msg.Updates, StateUpdate{Life: r.Life, Inc: r.Inc, State: s})
		}
		if msg.Size() > MaxDatagramBytes-Record.size(Record{})-2*MaxNameBytes {
			flush(false)
		}
	}
	add(m.self, Alive)
	start := 0
	if len(m.present) > 0 {
		start = m.rng.IntN(len(m.present)) // so that the budget does not always cut off the same members
	}
	for i := range m.present {
		p := m.present[(start+i)%len(m.present)]
		add(p.Record, p.state)
	}
	for _, p := range m.absent {
		if !withRecords {
			add(p.Record, p.state)
		}
	}
	flush(true)
}

// compareDigest starts an exchange with a member whose view keeps differing. The digests of the buckets are sent first.
func (m *Machine) compareDigest(p *peer, msg *Message) {
	if msg.Digest == m.digest {
		m.digestMismatches = 0
		return
	}
	if msg.Kind == Table || msg.Kind == BucketDigests {
		return
	}
	if m.digestMismatches++; m.digestMismatches < 2 || m.now < m.nextExchange || m.nameTaken {
		return
	}
	m.nextExchange = m.now + m.periods(exchangePeriods*(0.75+0.5*m.rng.Float64()))
	reply := Message{Kind: BucketDigests, To: p.Life, BucketDigests: make([]uint32, digestBuckets)}
	for i, s := range m.bucketDigests {
		reply.BucketDigests[i] = uint32(s)
	}
	m.tokens -= float64(reply.Size())
	m.send(m.addressOf(p.Record), reply)
}

// differingBuckets returns the set of buckets whose digests differ from another member's.
func (m *Machine) differingBuckets(sums []uint32) (mask uint64) {
	for i, s := range m.bucketDigests {
		if i < len(sums) && sums[i] != uint32(s) {
			mask |= 1 << i
		}
	}
	return mask
}

// requestRecords asks a sender for the records of the processes it mentioned without this view knowing them.
func (m *Machine) requestRecords(from netip.AddrPort, sender ProcessID) {
	if p := m.peers[sender]; p != nil {
		from = m.addressOf(p.Record)
	}
	for len(m.missingRecords) > 0 {
		n := min(len(m.missingRecords), maxRecordRequestsPerDatagram)
		m.tokens -= float64(headerBytes + recordRequestBytes*n)
		m.send(from, Message{Kind: Gossip, To: sender, RecordRequests: m.missingRecords[:n:n]})
		m.missingRecords = m.missingRecords[n:]
	}
	m.missingRecords = nil
}

// noteMissingRecord notes that the sender of this input is to be asked for a process's record.
func (m *Machine) noteMissingRecord(id ProcessID) {
	if at, requested := m.recordRequestedAt[id]; requested && m.now-at < m.periods(1) {
		return
	}
	if len(m.recordRequestedAt) >= maxRecordRequests {
		clear(m.recordRequestedAt)
	}
	m.recordRequestedAt[id] = m.now
	m.missingRecords = append(m.missingRecords, id)
}

// sendRecord sends a requested record, in the same datagram as the ones before it where they go to the same address.
func (m *Machine) sendRecord(to netip.AddrPort, toLife ProcessID, r Record) {
	n := len(m.sends)
	if n > 0 {
		if s := &m.sends[n-1]; s.Msg.Kind == Gossip && s.To == to && s.Msg.Size()+r.size() <= MaxDatagramBytes {
			s.Msg.Records = append(s.Msg.Records, r)
			m.tokens -= float64(r.size())
			return
		}
	}
	// The budget may be overdrawn by up to that of a second: a table is of little use without its records.
	if m.tokens <= float64(-m.config.GossipBytesPerSecond) {
		return
	}
	m.tokens -= float64(r.size() + headerBytes/2)
	msg := Message{Kind: Gossip, To: toLife, From: m.self.Life, Inc: m.self.Inc, Digest: m.digest, Records: []Record{r}}
	m.sends = append(m.sends, Outgoing{to, msg})
}
