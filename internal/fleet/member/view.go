package member

import (
	"cmp"
	"slices"
	"time"
)

// receiveRecord processes the record of a process that may be new to this view.
func (m *Machine) receiveRecord(r Record) {
	if !r.isValid() || r.Life == m.self.Life {
		return
	}
	if r.Name == m.self.Name {
		if r.Life > m.self.Life { // of an older one only its own messages count: others may still report the name's earlier process
			m.noteNameConflict(&Message{Records: []Record{r}})
		}
		return
	}
	if p := m.peers[r.Life]; p != nil {
		m.receiveUpdate(StateUpdate{Life: r.Life, Inc: r.Inc, State: Alive}, false)
		return
	}
	old := m.byName[r.Name]
	if old != nil && old.Life > r.Life {
		return // an older process of this name has ended, however late its record arrives
	}
	p := m.addPeer(r)
	if p == nil {
		return
	}
	delete(m.recordRequestedAt, r.Life)
	cause := "heard of"
	if old != nil {
		cause = "started again"
	}
	m.emit(Event{Kind: "state", Name: p.Name, Life: p.Life, From: Left, To: Alive, Cause: cause})
	m.enqueueUpdate(StateUpdate{Life: r.Life, Inc: r.Inc, State: Alive})
}

// addPeer adds a process as alive, in place of an older one of its name. It returns nil where the view is full or holds a newer
// process of the name.
func (m *Machine) addPeer(r Record) *peer {
	if old := m.byName[r.Name]; old != nil {
		if old.Life >= r.Life {
			return nil
		}
		m.forgetPeer(old)
	}
	if len(m.peers) >= m.config.MaxMembers && !m.evictOldestAbsent() {
		return nil
	}
	p := &peer{Record: r, state: Alive, since: m.now}
	m.peers[r.Life] = p
	m.byName[r.Name] = p
	m.addPresent(p)
	m.version++
	return p
}

// addPresent adds a member to those present, at a random place of the probe order so that newcomers are not all probed together.
func (m *Machine) addPresent(p *peer) {
	m.toggleDigest(p.Life)
	p.index = len(m.present)
	m.present = append(m.present, p)
	if slot := m.rng.IntN(len(m.present)); slot != p.index {
		other := m.present[slot]
		m.present[slot], m.present[p.index] = p, other
		other.index, p.index = p.index, slot
	}
}

// removePresent removes a member from those present.
func (m *Machine) removePresent(p *peer) {
	m.toggleDigest(p.Life)
	m.present = swapRemove(m.present, p.index)
	m.clearSuspicion(p)
}

func swapRemove(list []*peer, at int) []*peer {
	last := len(list) - 1
	list[at] = list[last]
	list[at].index = at
	list[last] = nil
	return list[:last]
}

// forgetPeer removes a process from the view.
func (m *Machine) forgetPeer(p *peer) {
	if p.state.isPresent() {
		m.removePresent(p)
	} else {
		m.absent = swapRemove(m.absent, p.index)
	}
	delete(m.peers, p.Life)
	if m.byName[p.Name] == p {
		delete(m.byName, p.Name)
	}
	if it := m.gossipByID[p.Life]; it != nil {
		delete(m.gossipByID, p.Life)
		m.gossipQueue = slices.DeleteFunc(m.gossipQueue, func(o *gossipItem) bool { return o == it })
	}
	m.version++
}

// evictOldestAbsent forgets the member that has been dead or gone for longest. It returns false where there is none.
func (m *Machine) evictOldestAbsent() bool {
	var oldest *peer
	for _, p := range m.absent {
		if oldest == nil || p.since < oldest.since {
			oldest = p
		}
	}
	if oldest == nil {
		return false
	}
	m.forgetPeer(oldest)
	return true
}

// forgetLongAbsent forgets the members that have been dead or gone for longer than deadRetention.
func (m *Machine) forgetLongAbsent() {
	for i := 0; i < len(m.absent); {
		if p := m.absent[i]; m.now-p.since > deadRetention {
			m.forgetPeer(p)
		} else {
			i++
		}
	}
}

func (m *Machine) clearSuspicion(p *peer) {
	p.ownProbeFailed, p.suspectedBy = false, nil
	if at := slices.Index(m.suspected, p); at >= 0 {
		m.suspected = slices.Delete(m.suspected, at, at+1)
	}
}

// receiveUpdate processes an update. A reported death that came in a table, or that concerns a member heard recently, leads to a
// probe and to a query to the member itself: the side that reports it may just have been cut off.
func (m *Machine) receiveUpdate(r StateUpdate, fromTable bool) {
	if r.State > Queried || r.Life == 0 {
		return
	}
	if r.Life == m.self.Life {
		m.refute(r)
		return
	}
	p := m.peers[r.Life]
	if p == nil {
		if r.State.isPresent() {
			m.noteMissingRecord(r.Life)
		}
		return
	}
	if p.state == Left {
		return
	}
	switch {
	case r.State == Left:
		m.setState(p, r, Left, "left gracefully")
	case r.State == Queried:
		if r.Inc >= p.Inc && p.state.isPresent() && m.queryIsNew(r) {
			m.enqueueUpdate(StateUpdate{Life: r.Life, Inc: r.Inc, State: Queried})
		}
	case (fromTable || m.heardRecently(p)) && r.State == Dead && p.state.isPresent():
		if r.Inc >= p.Inc {
			p.reportedDead = p.reportedDead || m.now-p.lastHeard > m.config.SuspicionTimeout
			m.probeSoon(p.Life)
			if m.queryIsNew(r) {
				m.enqueueUpdate(StateUpdate{Life: r.Life, Inc: r.Inc, State: Queried})
			}
		}
	case fromTable && r.State == Suspected:
	case r.Inc > p.Inc, r.Inc == p.Inc && r.State > p.state:
		m.setState(p, r, r.State, "")
	case r.Inc == p.Inc && r.State == Suspected && p.state == Suspected && m.confirmSuspicion(p, r.Suspector): // one more member confirms the suspicion
		m.enqueueUpdate(r)
	default:
		if it := m.gossipByID[r.Life]; it != nil && it.Inc == r.Inc && it.State == r.State { // it is already being spread
			it.transmissions++
		}
	}
}

// heardRecently reports whether a message came from the process itself not long ago. Within SuspicionTimeout a report of its death cannot
// concern its present state and comes from a side that was cut off; within twice that time an own probe decides.
func (m *Machine) heardRecently(p *peer) bool {
	return p.lastHeard > 0 && m.now-p.lastHeard < 2*m.config.SuspicionTimeout
}

// queryIsNew reports whether no query to a process, and nothing stronger, is being spread at this incarnation yet.
func (m *Machine) queryIsNew(r StateUpdate) bool {
	it := m.gossipByID[r.Life]
	return it == nil || it.Inc < r.Inc || it.Inc == r.Inc && it.State == Alive
}

// refute contradicts a suspicion or death reported of this process.
func (m *Machine) refute(r StateUpdate) {
	if r.State == Alive || r.Inc < m.self.Inc || m.nameTaken {
		return
	}
	if r.State == Left { // only this process itself could have sent this, and it is still running
		return
	}
	if r.Inc >= MaxIncarnation { // no refutation can exceed it: a fault, which must not exclude this process for good
		m.renewID(m.self.Life)
		return
	}
	m.self.Inc = r.Inc + 1
	m.emit(Event{Kind: "refuted", Name: m.self.Name, Life: m.self.Life, From: r.State, To: Alive, Cause: "reported " + r.State.String() + " by " + m.nameOf(r.Suspector)})
	m.enqueueUpdate(StateUpdate{Life: m.self.Life, Inc: m.self.Inc, State: Alive})
}

func (m *Machine) nameOf(id ProcessID) string {
	if id == m.self.Life {
		return m.self.Name
	}
	if p := m.peers[id]; p != nil {
		return p.Name
	}
	return "one unknown"
}

// setState changes the state held of a process and spreads it.
func (m *Machine) setState(p *peer, r StateUpdate, to State, cause string) {
	from := p.state
	if cause == "" {
		cause = "reported by others"
		switch {
		case r.Suspector != 0:
			cause = "no answer to " + m.nameOf(r.Suspector)
		case to == Alive && from != Alive:
			cause = "it says so"
		}
	}
	p.Inc = max(p.Inc, r.Inc)
	p.state = to
	switch {
	case from.isPresent() && !to.isPresent():
		m.removePresent(p)
		p.index = len(m.absent)
		m.absent = append(m.absent, p)
	case !from.isPresent() && to.isPresent():
		m.absent = swapRemove(m.absent, p.index)
		m.addPresent(p)
	}
	m.clearSuspicion(p)
	p.reportedDead = false
	if to == Suspected {
		m.confirmSuspicion(p, r.Suspector)
		p.startedAt, p.nextProbeAt = m.now, m.now
		m.suspected = append(m.suspected, p)
		// Some of the members that learn of a suspicion probe for themselves: this comes sooner than their turn and makes the
		// process refute it.
		if r.Suspector != m.self.Life && m.rng.IntN(len(m.present)) < fullConfirmations {
			m.probeSoon(p.Life)
		}
	}
	if from != to {
		p.since = m.now
		m.version++
		m.emit(Event{Kind: "state", Name: p.Name, Life: p.Life, From: from, To: to, Cause: cause})
	}
	m.enqueueUpdate(StateUpdate{Life: p.Life, Inc: p.Inc, State: to, Suspector: r.Suspector})
}

// Leave announces to some members, which spread it, that this process is ending gracefully.
func (m *Machine) Leave(now Moment) {
	m.advanceClock(now)
	m.refillTokens()
	if m.nameTaken {
		return
	}
	for _, p := range m.randomAlive(2*fullConfirmations, 0) {
		m.send(m.addressOf(p.Record), Message{Kind: Gossip, To: p.Life, Updates: []StateUpdate{{Life: m.self.Life, Inc: m.self.Inc, State: Left}}})
	}
}

// Member is what a view holds of one process.
type Member struct {
	Record
	State        State
	Since        Moment
	LastReceived Moment // directly; 0 means never
	RoundTrip    time.Duration
	SuspectedBy  []string
}

// View is a snapshot of the membership. It always lags behind the true state.
type View struct {
	Self            Record
	Situation       Situation
	ExpectedMembers int
	PresentCount    int // members alive and suspected, including this one
	Version         uint64
	Digest          uint64
	NameConflict    Record // another process under this one's name, if any
	Now             Moment
	Members         []Member // all others, including dead ones
}

// View returns the present view; the situation is that of the last input.
func (m *Machine) View() View {
	v := View{Self: m.self, Situation: m.situation, ExpectedMembers: m.config.ExpectedMembers, PresentCount: len(m.present) + 1, Version: m.version,
		Digest: m.digest, NameConflict: m.nameConflict, Now: m.now}
	for _, list := range [][]*peer{m.present, m.absent} {
		for _, p := range list {
			member := Member{Record: p.Record, State: p.state, Since: p.since, LastReceived: p.lastHeard, RoundTrip: p.rtt}
			for _, w := range p.suspectedBy {
				member.SuspectedBy = append(member.SuspectedBy, m.nameOf(w))
			}
			v.Members = append(v.Members, member)
		}
	}
	slices.SortFunc(v.Members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return v
}

// IsPresent reports whether a process is present in this view.
func (m *Machine) IsPresent(id ProcessID) bool {
	p := m.peers[id]
	return id == m.self.Life || p != nil && p.state.isPresent()
}

// PresentCount returns how many members are present, including this one, and their digest.
func (m *Machine) PresentCount() (n int, digest uint64) { return len(m.present) + 1, m.digest }

// Envelope returns the address and header for another package's message to a member, and false where the member is not present.
func (m *Machine) Envelope(to ProcessID) (Outgoing, bool) {
	p := m.peers[to]
	if p == nil || !p.state.isPresent() || m.nameTaken {
		return Outgoing{}, false
	}
	return Outgoing{m.addressOf(p.Record), Message{Kind: Gossip, From: m.self.Life, To: to, Inc: m.self.Inc, Digest: m.digest}}, true
}

// AliveMembers returns the processes that are alive in this view, without this one, and the situation.
func (m *Machine) AliveMembers() (all []ProcessID, s Situation) {
	for _, p := range m.present {
		if p.state == Alive {
			all = append(all, p.Life)
		}
	}
	return all, m.situation
}
