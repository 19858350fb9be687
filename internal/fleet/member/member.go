package member

import (
	"cmp"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

// Machine is one balancer's membership.
type Machine struct {
	terms  Terms
	chance *rand.Rand
	source *rand.PCG

	self   Record
	now    Moment
	due    Moment // when Tick is owed; coming much later means that this process stood still
	peers  map[Life]*peer
	names  map[string]*peer // the newest life under each name
	order  []*peer          // those present, in the order of looks
	cursor int
	dead   []*peer         // not present
	digest uint64          // of those present
	sums   [buckets]uint64 // the same by bucket
	suspects

	seq      uint32
	looks    []look
	favours  []favour
	urgent   []Life // to be looked at out of turn
	talk     []*item
	talks    map[Life]*item
	wants    []Life // of the input in hand
	asked    map[Life]Moment
	tokens   float64
	refilled Moment

	nextLook, nextTalk, nextContact, nextExchange Moment

	health   int  // 0 is well
	silent   int  // looks in a row without any answer at all
	unproven bool // it stood still, and no look has been answered since
	unlike   int  // messages in a row that told of another view
	rival    Record
	rivalAt  Moment
	aside    bool // another process has this one's name

	version   uint64
	situation Situation
	sends     []Send
	spare     []Send
	events    []Event
}

// peer is another life.
type peer struct {
	Record
	state     State
	since     Moment
	heard     Moment // of it directly; never where 0
	rtt       time.Duration
	place     int // in order or in dead
	witnesses []Life
	toldDead  bool // by a table: an own look without answer is enough then
	suspicion
}

type suspicion struct {
	own   bool // this balancer itself got no answer
	began Moment
	again Moment // when it is looked at again
}

// suspects are those under suspicion, in no order.
type suspects struct{ suspected []*peer }

// look is a ping on its way.
type look struct {
	seq         uint32
	at          Moment
	life        Life
	asked       bool // others have been asked
	nacks       []Life
	contact     bool // to one who is dead here, or to an address: silence says nothing new
	until, next Moment
}

// favour is a look for another.
type favour struct {
	seq    uint32
	for_   Life
	theirs uint32
	target Life
	until  Moment
}

// item is a rumour that is still passed on. Whoever does not know the life asks for its record.
type item struct {
	Rumour
	told int // by this balancer, or to it again by others, who then know it too
}

// New makes the machine of a process at its start. kept is what an older process of the same member hands over.
func New(t Terms, now Moment, kept *Kept) *Machine {
	m := &Machine{terms: t, source: rand.NewPCG(t.Seed, uint64(t.Self.Life)), self: t.Self, now: now, refilled: now,
		peers: map[Life]*peer{}, names: map[string]*peer{}, talks: map[Life]*item{}, asked: map[Life]Moment{},
		tokens: float64(t.Budget * burstFor)}
	m.chance = rand.New(m.source)
	m.terms.Seeds = slices.Clone(t.Seeds) // they are asked in a drawn order
	m.tally(m.self.Life)
	if kept != nil {
		m.tally(m.self.Life)
		m.self.Life, m.self.Inc = kept.Life, kept.Inc
		m.tally(m.self.Life)
		for _, r := range kept.Members {
			if p := m.raise(r); p != nil {
				p.heard = now
			}
		}
		m.self.Inc++ // so that what the older process said last is older than what this one says
	}
	m.spread(Rumour{Life: m.self.Life, Inc: m.self.Inc, State: Alive})
	m.nextLook = now + m.part(m.chance.Float64())
	m.nextTalk = now
	m.nextContact = now
	m.situation = m.judge()
	m.plan()
	return m
}

// Kept is what a newer process of the same member takes over.
type Kept struct {
	Life    Life
	Inc     Inc
	Members []Record
	Count   uint64 // of datagrams sent, for the carrier
}

// Keep is what this process hands over.
func (m *Machine) Keep() Kept {
	k := Kept{Life: m.self.Life, Inc: m.self.Inc}
	for _, p := range m.order {
		k.Members = append(k.Members, p.Record)
	}
	return k
}

// tally counts a life in among those present, or out.
func (m *Machine) tally(l Life) {
	x := l.mix()
	m.digest ^= x
	m.sums[x%buckets] ^= x
}

// Life is this process's mark.
func (m *Machine) Life() Life { return m.self.Life }

// Due is when Tick is owed.
func (m *Machine) Due() Moment { return m.due }

// Out gives what is to be sent and what has happened since the last time; the list of sends is good until the one after
// the next call.
func (m *Machine) Out() (sends []Send, events []Event) {
	sends, events = m.sends, m.events
	m.sends, m.spare = m.spare[:0], m.sends
	m.events = nil
	return sends, events
}

func (m *Machine) part(of float64) time.Duration { return time.Duration(of * float64(m.terms.Period)) }

// patience is how much longer this balancer waits for being in doubt of itself.
func (m *Machine) patience(d time.Duration) time.Duration { return d * time.Duration(1+m.health) }

// begin takes the time for an input. A machine that comes to its turn far too late stood still: what it waited for may have
// been answered and lost, and says nothing about others.
func (m *Machine) begin(now Moment) {
	now = max(now, m.now)
	late := now - max(m.due, m.now)
	m.now = now
	if late < m.part(1) {
		return
	}
	m.event(Event{What: "stalled", Name: m.self.Name, Life: m.self.Life, Cause: "stood still for " + late.Round(time.Millisecond).String()})
	m.looks, m.favours = nil, nil
	m.unproven = len(m.order) > 0
	for _, p := range m.suspected {
		p.began += late
		p.again = now
	}
	m.nextLook, m.nextContact = now, min(m.nextContact, now+m.part(1))
}

// Tick does what is due.
func (m *Machine) Tick(now Moment) {
	m.begin(now)
	m.refill()
	m.endLooks()
	m.endFavours()
	m.judgeSuspects()
	if !m.aside {
		if m.now >= m.nextLook {
			m.nextLook = m.now + m.part(0.95+0.1*m.chance.Float64())
			m.lookOnce()
		}
		if m.now >= m.nextTalk {
			m.nextTalk = m.now + m.part(directPart)
			m.talkOnce()
		}
	}
	if m.now >= m.nextContact {
		m.nextContact = m.now + m.part(contactTimes*(0.75+0.5*m.chance.Float64()))
		m.contact()
	}
	m.plan()
}

// plan sets when the next turn is owed and says when the situation has changed.
func (m *Machine) plan() {
	m.due = m.nextContact
	if !m.aside {
		m.due = min(m.due, m.nextLook)
		if len(m.talk) > 0 {
			m.due = min(m.due, m.nextTalk)
		}
	}
	for i := range m.looks {
		m.due = min(m.due, m.looks[i].next)
	}
	for i := range m.favours {
		m.due = min(m.due, m.favours[i].until)
	}
	for _, p := range m.suspected {
		m.due = min(m.due, m.verdictAt(p))
	}
	m.due = max(m.due, m.now+time.Millisecond)
	if s := m.judge(); s != m.situation {
		m.event(Event{What: "situation", Name: m.self.Name, Life: m.self.Life, Cause: m.situation.String() + " to " + s.String()})
		m.situation = s
		m.version++
	}
}

// judge finds the word for the situation.
func (m *Machine) judge() Situation {
	seen, expected := len(m.order)+1, m.terms.Expected
	switch {
	case m.aside, m.unproven, m.silent >= 2 && len(m.order) > 0:
		return Unsure
	case seen >= expected:
		return Whole
	case seen == 1:
		return Alone
	case 2*seen > expected:
		return Part
	}
	return Minority
}

func (m *Machine) event(e Event) { m.events = append(m.events, e) }

// Hear takes a message that has come from an address.
func (m *Machine) Hear(now Moment, from netip.AddrPort, msg *Message) {
	if msg.From == m.self.Life || msg.From == 0 {
		return
	}
	m.begin(now)
	m.refill()
	for _, r := range msg.Records {
		m.record(r)
	}
	p := m.peers[msg.From]
	switch {
	case p == nil && m.older(msg):
		m.plan()
		return
	case p == nil:
		m.want(msg.From)
	case msg.Kind == Rival: // below; it is no member
	default:
		m.direct(p, msg.Inc)
	}
	if msg.Kind == Rival {
		m.rivals(msg)
		m.plan()
		return
	}
	for _, r := range msg.Rumours {
		m.rumour(r, msg.Kind == Table)
	}
	m.answer(from, p, msg)
	m.askRecords(from, msg.From)
	if p != nil && p.state.present() {
		m.compare(p, msg)
	}
	m.plan()
}

// older deals with a sender whose name a newer life has: it is told so, and stands aside. What it says is not heard.
func (m *Machine) older(msg *Message) bool {
	for _, r := range msg.Records {
		if r.Life != msg.From || !r.sound() {
			continue
		}
		if r.Name == m.self.Name {
			m.rivals(msg)
			return true
		}
		if n := m.names[r.Name]; n != nil && n.Life > r.Life {
			m.send(m.reach(r), Message{Kind: Gossip, To: r.Life, Records: []Record{n.Record}})
			return true
		}
	}
	return false
}

// rivals notes that another process speaks under this one's name. Where it has the same address too it is gone: the
// address is this process's now.
func (m *Machine) rivals(msg *Message) {
	for _, r := range msg.Records {
		if r.Name != m.self.Name || r.Life == m.self.Life || !r.sound() {
			continue
		}
		if r.Addr == m.self.Addr {
			if r.Life > m.self.Life {
				m.rename(r.Life)
			}
			continue
		}
		if m.rival.Life != r.Life {
			m.event(Event{What: "name-shared", Name: r.Name, Life: r.Life, Cause: "another process has this name, at " + r.Addr.String()})
		}
		m.rival, m.rivalAt = r, m.now
		if r.Life > m.self.Life && !m.aside {
			m.aside = true
			m.event(Event{What: "name-taken", Name: r.Name, Life: r.Life, Cause: "the newer process at " + r.Addr.String() + " keeps the name"})
			m.version++
			m.nextContact = m.now
		}
		if r.Life < m.self.Life { // it may not know
			m.send(m.reach(r), Message{Kind: Rival, To: r.Life, Records: []Record{m.self}})
		}
	}
}

// rename gives this process a newer mark than one that was at its address before, born by a clock that was ahead.
func (m *Machine) rename(than Life) {
	m.tally(m.self.Life)
	m.self.Life = (than>>chanceBits+1)<<chanceBits | m.self.Life&(1<<chanceBits-1)
	m.tally(m.self.Life)
	m.spread(Rumour{Life: m.self.Life, Inc: m.self.Inc, State: Alive})
}

// direct notes that a life itself was heard.
func (m *Machine) direct(p *peer, inc Inc) {
	if p.state == Left {
		return
	}
	p.heard = m.now
	if inc > p.Inc {
		m.rumour(Rumour{Life: p.Life, Inc: inc, State: Alive}, false)
	}
	p.own, p.toldDead = false, false // it speaks: whatever found it silent is over; a refutation is on its way
}

// answer does what a kind of message owes.
func (m *Machine) answer(from netip.AddrPort, p *peer, msg *Message) {
	back := from
	if p != nil {
		back = m.reach(p.Record)
	}
	switch msg.Kind {
	case Ping:
		if msg.To != 0 && msg.To != m.self.Life { // for who was here before
			m.send(back, Message{Kind: Gossip, To: msg.From, Records: []Record{m.self}})
			return
		}
		a := Message{Kind: Ack, To: msg.From, Seq: msg.Seq, Target: m.self.Life}
		if msg.To == 0 || msg.Full || p == nil {
			a.Records = []Record{m.self}
		}
		if msg.Full { // a newcomer: where many come at once these do for each other what this one cannot do for all
			for _, o := range m.draw(referred, msg.From) {
				a.Records = append(a.Records, o.Record)
			}
		}
		if p != nil && p.state != Alive { // it has to hear what is held against it to contradict that
			a.Rumours = append(a.Rumours, Rumour{Life: p.Life, Inc: p.Inc, State: p.state})
		}
		m.send(back, a)
		if msg.Back {
			m.table(back, msg.From, allBuckets, msg.Full, false)
		}
	case Ask:
		if len(m.favours) >= mostWait {
			return
		}
		if t := m.peers[msg.Target]; t != nil {
			m.seq++
			m.favours = append(m.favours, favour{seq: m.seq, for_: msg.From, theirs: msg.Seq, target: msg.Target, until: m.now + m.part(directPart)})
			m.ping(t, m.seq)
		}
	case Ack:
		m.acked(msg)
	case Nack:
		for i := range m.looks {
			if l := &m.looks[i]; l.seq == msg.Seq && !slices.Contains(l.nacks, msg.From) && len(l.nacks) < relays+worstHealth {
				l.nacks = append(l.nacks, msg.From)
				m.silent, m.unproven = 0, false
			}
		}
	case Table:
		if msg.Back {
			m.table(back, msg.From, msg.Mask, false, false)
		}
	case Sums:
		if mask := m.differ(msg.Sums); mask != 0 {
			m.table(back, msg.From, mask, false, true)
		}
	}
	for i, w := range msg.Wants {
		if i >= wantsOnce {
			break
		}
		if p := m.peers[w]; p != nil {
			m.recordTo(back, msg.From, p.Record)
		} else if w == m.self.Life {
			m.recordTo(back, msg.From, m.self)
		}
	}
}

// acked ends the look or the favour that an Ack answers.
func (m *Machine) acked(msg *Message) {
	m.silent, m.unproven = 0, false
	for i := range m.looks {
		l := m.looks[i]
		if l.seq != msg.Seq || l.life != msg.Target && l.life != 0 {
			continue
		}
		m.looks = slices.Delete(m.looks, i, i+1)
		if m.health > 0 {
			m.health--
		}
		if p := m.peers[msg.Target]; p != nil && !l.asked && msg.From == msg.Target {
			if took := m.now - l.at; p.rtt == 0 {
				p.rtt = took
			} else {
				p.rtt += (took - p.rtt) / 8 // as TCP smooths it
			}
		}
		if p := m.peers[msg.Target]; p != nil {
			p.own = false
		}
		return
	}
	for i, f := range m.favours {
		if f.seq == msg.Seq && f.target == msg.Target {
			m.favours = slices.Delete(m.favours, i, i+1)
			if p := m.peers[f.for_]; p != nil {
				a := Message{Kind: Ack, To: f.for_, Seq: f.theirs, Target: f.target}
				if t := m.peers[f.target]; t != nil {
					a.Rumours = []Rumour{{Life: t.Life, Inc: t.Inc, State: t.state}}
				}
				m.send(m.reach(p.Record), a)
			}
			return
		}
	}
}

// lookOnce pings the next member in turn, and those suspects whose turn it is.
func (m *Machine) lookOnce() {
	if p := m.nextToLook(); p != nil {
		m.lookAt(p)
	}
	again := 0
	for _, p := range m.suspected {
		if p.own && p.again <= m.now && again < looksAgain && !m.looking(p.Life) {
			again++
			m.lookAt(p)
		}
	}
}

func (m *Machine) looking(l Life) bool {
	return slices.ContainsFunc(m.looks, func(k look) bool { return k.life == l && !k.contact })
}

func (m *Machine) nextToLook() *peer {
	for len(m.urgent) > 0 {
		p := m.peers[m.urgent[0]]
		m.urgent = m.urgent[1:]
		if p != nil && p.state.present() && !m.looking(p.Life) {
			return p
		}
	}
	if len(m.order) == 0 {
		return nil
	}
	if m.cursor >= len(m.order) {
		m.cursor = 0
		m.chance.Shuffle(len(m.order), func(i, j int) {
			m.order[i], m.order[j] = m.order[j], m.order[i]
			m.order[i].place, m.order[j].place = i, j
		})
	}
	p := m.order[m.cursor]
	m.cursor++
	if m.looking(p.Life) {
		return nil
	}
	return p
}

func (m *Machine) lookAt(p *peer) {
	if len(m.looks) >= mostWait {
		return
	}
	m.seq++
	p.again = m.now + m.patience(m.part(1))
	m.looks = append(m.looks, look{seq: m.seq, at: m.now, life: p.Life, until: m.now + m.patience(m.part(1)),
		next: m.now + m.patience(m.part(directPart))})
	m.ping(p, m.seq)
}

// ping asks a member for an answer, and tells it first what this view holds against it.
func (m *Machine) ping(p *peer, seq uint32) {
	msg := Message{Kind: Ping, To: p.Life, Seq: seq}
	if p.state != Alive {
		msg.Rumours = append(msg.Rumours, Rumour{Life: p.Life, Inc: p.Inc, State: p.state, By: m.self.Life})
	}
	if p.heard == 0 {
		msg.Records = append(msg.Records, m.self)
	}
	m.send(m.reach(p.Record), msg)
}

// endLooks asks others where no answer came, and suspects where none came to them either.
func (m *Machine) endLooks() {
	for i := 0; i < len(m.looks); {
		l := &m.looks[i]
		if m.now < l.next {
			i++
			continue
		}
		p := m.peers[l.life]
		if l.contact || p == nil || !p.state.present() {
			m.looks = slices.Delete(m.looks, i, i+1)
			continue
		}
		if !l.asked && m.now < l.until {
			l.asked, l.next = true, l.until
			m.ping(p, l.seq) // again: where datagrams get lost the second one often comes through
			for _, r := range m.draw(relays+m.health, l.life) {
				m.send(m.reach(r.Record), Message{Kind: Ask, To: r.Life, Seq: l.seq, Target: p.Life, TargetAddr: p.Addr})
			}
			i++
			continue
		}
		nacks, at := l.nacks, l.at
		m.looks = slices.Delete(m.looks, i, i+1)
		if len(nacks) == 0 { // not even those who were asked: it may be this balancer that hears nothing
			m.silent++
			if len(m.order) > 1 {
				m.health = min(m.health+1, worstHealth)
			}
		}
		if p.heard > at { // heard since the look began, by another way
			continue
		}
		if p.toldDead {
			m.verdict(p)
			continue
		}
		m.suspect(p, nacks)
	}
}

func (m *Machine) endFavours() {
	for i := 0; i < len(m.favours); {
		f := m.favours[i]
		if m.now < f.until {
			i++
			continue
		}
		m.favours = slices.Delete(m.favours, i, i+1)
		if p := m.peers[f.for_]; p != nil {
			m.send(m.reach(p.Record), Message{Kind: Nack, To: p.Life, Seq: f.theirs, Target: f.target})
		}
	}
}

// suspect notes an own look without answer, and who was asked and got none either.
func (m *Machine) suspect(p *peer, nacks []Life) {
	m.rumour(Rumour{Life: p.Life, Inc: p.Inc, State: Suspected, By: m.self.Life}, false)
	if p.state != Suspected {
		return
	}
	if !p.own {
		p.own = true
		p.began = m.now
		p.again = m.now
	}
	for _, n := range nacks {
		m.witness(p, n)
	}
}

func (m *Machine) witness(p *peer, by Life) bool {
	if by == 0 || len(p.witnesses) > witnesses || slices.Contains(p.witnesses, by) {
		return false
	}
	p.witnesses = append(p.witnesses, by)
	return true
}

// span is how long a suspicion lasts before a death: the shorter, the more witnesses bear it out (as Lifeguard has it).
func (m *Machine) span(p *peer) time.Duration {
	others := len(p.witnesses)
	if slices.Contains(p.witnesses, m.self.Life) {
		others--
	}
	least, most := float64(m.terms.Suspect), float64(m.terms.Suspect)*aloneTimes
	done := math.Log(float64(min(max(others, 0), witnesses)+1)) / math.Log(witnesses+1)
	return m.patience(time.Duration(most - (most-least)*done))
}

// verdictAt is when a suspicion ends in a death, or, where this balancer has not looked itself, in a look of its own.
func (m *Machine) verdictAt(p *peer) Moment {
	if p.own {
		return p.began + m.span(p)
	}
	return p.since + 2*aloneTimes*m.terms.Suspect
}

func (m *Machine) judgeSuspects() {
	for _, p := range slices.Clone(m.suspected) {
		if m.now < m.verdictAt(p) {
			continue
		}
		if !p.own { // it was told, and nobody brought it to an end
			p.since = m.now
			m.look(p.Life)
			continue
		}
		m.verdict(p)
	}
}

// verdict declares a death by own looks.
func (m *Machine) verdict(p *peer) {
	if !m.lately(p) { // until then it is a reason to look, as any death that is told: a line a turn said nothing new
		m.event(Event{What: "verdict", Name: p.Name, Life: p.Life, Cause: "no answer to own looks"})
	}
	m.rumour(Rumour{Life: p.Life, Inc: p.Inc, State: Dead, By: m.self.Life}, false)
}

// look looks at a life now, or puts it among those that are looked at out of turn where some looks are on their way.
func (m *Machine) look(l Life) {
	if p := m.peers[l]; p != nil && p.state.present() && len(m.looks) < looksAgain && !m.looking(l) {
		m.lookAt(p)
		return
	}
	if len(m.urgent) < mostWait && !slices.Contains(m.urgent, l) {
		m.urgent = append(m.urgent, l)
	}
}

// contact tries to reach one who is dead here, or an address to ask first; two sides that were apart find each other so.
func (m *Machine) contact() {
	if m.aside {
		m.send(m.reach(m.rival), Message{Kind: Rival, To: m.rival.Life, Records: []Record{m.self}})
		return
	}
	if m.rival.Life != 0 && m.now-m.rivalAt > time.Minute {
		m.rival = Record{}
	}
	m.forget()
	lost := slices.DeleteFunc(slices.Clone(m.dead), func(p *peer) bool { return p.state != Dead })
	if len(lost) == 0 && len(m.order)+1 >= m.terms.Expected {
		return
	}
	m.chance.Shuffle(len(m.terms.Seeds), func(i, j int) {
		m.terms.Seeds[i], m.terms.Seeds[j] = m.terms.Seeds[j], m.terms.Seeds[i]
	})
	seeds := slices.DeleteFunc(slices.Clone(m.terms.Seeds), m.known)
	if len(m.order) == 0 { // a newcomer asks some of all that it was given, soon again
		for _, s := range seeds[:min(len(seeds), relays)] {
			m.knock(s, 0, true)
		}
		m.nextContact = min(m.nextContact, m.now+m.part(1))
	}
	switch {
	case len(lost) > 0:
		p := lost[m.chance.IntN(len(lost))]
		m.knock(m.reach(p.Record), p.Life, false)
	case len(m.order) > 0 && len(seeds) > 0:
		m.knock(seeds[0], 0, false)
	}
}

// knock pings an address; of one that is dead here it says so.
func (m *Machine) knock(to netip.AddrPort, l Life, full bool) {
	if len(m.looks) >= mostWait {
		return
	}
	m.seq++
	m.looks = append(m.looks, look{seq: m.seq, at: m.now, life: l, contact: true, next: m.now + m.part(1), until: m.now + m.part(1)})
	msg := Message{Kind: Ping, To: l, Seq: m.seq, Records: []Record{m.self}, Back: full, Full: full}
	if p := m.peers[l]; p != nil {
		msg.Rumours = []Rumour{{Life: l, Inc: p.Inc, State: p.state, By: m.self.Life}}
	}
	m.send(to, msg)
}

// known tells that an address is this balancer's own or that of a member present.
func (m *Machine) known(a netip.AddrPort) bool {
	if a == m.self.Addr {
		return true
	}
	return slices.ContainsFunc(m.order, func(p *peer) bool { return p.Addr == a || m.reach(p.Record) == a })
}

func (m *Machine) reach(r Record) netip.AddrPort {
	if via, ok := m.terms.Via[r.Name]; ok {
		return via
	}
	return r.Addr
}

// draw gives some members that are alive here, all others than one.
func (m *Machine) draw(n int, but Life) (some []*peer) {
	for tries := 0; len(some) < n && tries < 4*n && len(m.order) > 0; tries++ {
		p := m.order[m.chance.IntN(len(m.order))]
		if p.Life != but && p.state == Alive && !slices.Contains(some, p) {
			some = append(some, p)
		}
	}
	return some
}

// send passes a message on with what fits of the rumours.
func (m *Machine) send(to netip.AddrPort, msg Message) {
	msg.From, msg.Inc, msg.Digest = m.self.Life, m.self.Inc, m.digest
	if msg.Kind != Table && msg.Kind != Sums && msg.Kind != Rival {
		m.fill(&msg)
	}
	m.sends = append(m.sends, Send{to, msg})
}

func (m *Machine) refill() {
	m.tokens = min(m.tokens+float64(m.terms.Budget)*(m.now-m.refilled).Seconds(), float64(m.terms.Budget*burstFor))
	m.refilled = m.now
}

// fill adds the rumours that were told least, as long as there is room and budget.
func (m *Machine) fill(msg *Message) {
	if len(m.talk) == 0 || m.tokens <= 0 {
		return
	}
	room := MostDatagram - msg.Size() - 3*3
	least := Rumour{}.size()
	if len(m.talk)*least > room {
		slices.SortFunc(m.talk, func(a, b *item) int { return cmp.Compare(a.told, b.told) })
	}
	most := m.repeats()
	kept := m.talk[:0]
	for i, it := range m.talk {
		if room < least {
			kept = append(kept, m.talk[i:]...)
			break
		}
		if size := it.size(); room >= size && it.Life != msg.To && it.told < most {
			room -= size
			m.tokens -= float64(size)
			msg.Rumours = append(msg.Rumours, it.Rumour)
			it.told++
		}
		if it.told < most {
			kept = append(kept, it)
		} else {
			delete(m.talks, it.Life)
		}
	}
	clear(m.talk[len(kept):])
	m.talk = kept
}

// repeats is how often a rumour is passed on. Where very many go about, tables are the cheaper way for the last to hear.
func (m *Machine) repeats() int {
	if len(m.talk) > manyRumours {
		return repeatsBy
	}
	return repeatsBy + log2(len(m.order)+1)
}

// spread passes a rumour on from now on, in place of what was said of the life before.
func (m *Machine) spread(r Rumour) {
	it := m.talks[r.Life]
	if it == nil {
		it = &item{}
		m.talks[r.Life] = it
		m.talk = append(m.talk, it)
	}
	*it = item{Rumour: r}
}

// talkOnce tells some members what is new, beyond what goes with looks.
func (m *Machine) talkOnce() {
	if len(m.talk) == 0 || m.tokens <= 0 {
		return
	}
	for _, p := range m.draw(gossipFan, 0) {
		if len(m.talk) > 0 {
			m.tokens -= headBytes / 2 // what the datagram itself costs
			m.send(m.reach(p.Record), Message{Kind: Gossip, To: p.Life})
		}
	}
}

// table sends what this view holds in some buckets, in parts that stand for themselves: a lost part is made good by the
// next exchange. With back the hearer's own of these buckets are wanted.
func (m *Machine) table(to netip.AddrPort, life Life, mask uint64, full, back bool) {
	if m.tokens <= 0 {
		return
	}
	part := Message{Kind: Table, To: life}
	flush := func(last bool) {
		if part.Back = back && last; part.Back {
			part.Mask = mask
		}
		if len(part.Rumours)+len(part.Records) > 0 || part.Back {
			m.tokens -= float64(part.Size())
			m.send(to, part)
		}
		part = Message{Kind: Table, To: life}
	}
	add := func(r Record, s State) {
		if m.tokens <= 0 || mask>>(r.Life.mix()%buckets)&1 == 0 {
			return
		}
		if full && s.present() {
			part.Records = append(part.Records, r)
		} else {
			part.Rumours = append(part.Rumours, Rumour{Life: r.Life, Inc: r.Inc, State: s})
		}
		if part.Size() > MostDatagram-Record.size(Record{})-2*MostName {
			flush(false)
		}
	}
	add(m.self, Alive)
	from := 0
	if len(m.order) > 0 {
		from = m.chance.IntN(len(m.order)) // so that what the budget cuts off is not always the same
	}
	for i := range m.order {
		p := m.order[(from+i)%len(m.order)]
		add(p.Record, p.state)
	}
	for _, p := range m.dead {
		if !full {
			add(p.Record, p.state)
		}
	}
	flush(true)
}

// compare starts an exchange with a member whose view stays another: the sums of the buckets first.
func (m *Machine) compare(p *peer, msg *Message) {
	if msg.Digest == m.digest {
		m.unlike = 0
		return
	}
	if msg.Kind == Table || msg.Kind == Sums {
		return
	}
	if m.unlike++; m.unlike < 2 || m.now < m.nextExchange || m.aside {
		return
	}
	m.nextExchange = m.now + m.part(exchangeTimes*(0.75+0.5*m.chance.Float64()))
	msgOut := Message{Kind: Sums, To: p.Life, Sums: make([]uint32, buckets)}
	for i, s := range m.sums {
		msgOut.Sums[i] = uint32(s)
	}
	m.tokens -= float64(msgOut.Size())
	m.send(m.reach(p.Record), msgOut)
}

// differ gives the buckets in which another's sums are not as here.
func (m *Machine) differ(sums []uint32) (mask uint64) {
	for i, s := range m.sums {
		if i < len(sums) && sums[i] != uint32(s) {
			mask |= 1 << i
		}
	}
	return mask
}

// askRecords asks a sender for the records of those that it spoke of.
func (m *Machine) askRecords(from netip.AddrPort, life Life) {
	if p := m.peers[life]; p != nil {
		from = m.reach(p.Record)
	}
	for len(m.wants) > 0 {
		n := min(len(m.wants), wantsOnce)
		m.tokens -= float64(headBytes + wantBytes*n)
		m.send(from, Message{Kind: Gossip, To: life, Wants: m.wants[:n:n]})
		m.wants = m.wants[n:]
	}
	m.wants = nil
}

// want notes a life whose record is needed of whom this input comes from.
func (m *Machine) want(l Life) {
	if at, asked := m.asked[l]; asked && m.now-at < m.part(1) {
		return
	}
	if len(m.asked) >= mostAsked {
		clear(m.asked)
	}
	m.asked[l] = m.now
	m.wants = append(m.wants, l)
}

// recordTo sends a record that was wanted, with those before it where they go to the same place.
func (m *Machine) recordTo(to netip.AddrPort, life Life, r Record) {
	n := len(m.sends)
	if n > 0 {
		if s := &m.sends[n-1]; s.Msg.Kind == Gossip && s.To == to && s.Msg.Size()+r.size() <= MostDatagram {
			s.Msg.Records = append(s.Msg.Records, r)
			m.tokens -= float64(r.size())
			return
		}
	}
	if m.tokens <= float64(-m.terms.Budget) { // a second's debt: a table is worth little without its records
		return
	}
	m.tokens -= float64(r.size() + headBytes/2)
	msg := Message{Kind: Gossip, To: life, From: m.self.Life, Inc: m.self.Inc, Digest: m.digest, Records: []Record{r}}
	m.sends = append(m.sends, Send{to, msg})
}
