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
		return // the record of an older process of this name, which has ended, arrived late
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
	if item := m.gossipByID[p.Life]; item != nil {
		delete(m.gossipByID, p.Life)
		m.gossipQueue = slices.DeleteFunc(m.gossipQueue, func(other *gossipItem) bool { return other == item })
	}
	m.version++
}

// evictOldestAbsent forgets the member that has been dead or has left for longest. It returns false where there is none.
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

// forgetLongAbsent forgets the members that have been dead or have left for longer than deadRetention.
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

// receiveUpdate processes an update. A death reported in a table, or of a member that sent a message recently, leads to a
// probe and to a query to the member itself: the side that reports it may just have been cut off.
func (m *Machine) receiveUpdate(update StateUpdate, fromTable bool) {
	if update.State > Queried || update.Life == 0 {
		return
	}
	if update.Life == m.self.Life {
		m.refute(update)
		return
	}
	p := m.peers[update.Life]
	if p == nil {
		if update.State.isPresent() {
			m.noteMissingRecord(update.Life)
		}
		return
	}
	if p.state == Left {
		return
	}
	switch {
	case update.State == Left:
		m.setState(p, update, Left, "left gracefully")
	case update.State == Queried:
		if update.Inc >= p.Inc && p.state.isPresent() && m.queryIsNew(update) {
			m.enqueueUpdate(StateUpdate{Life: update.Life, Inc: update.Inc, State: Queried})
		}
	case (fromTable || m.receivedRecently(p)) && update.State == Dead && p.state.isPresent():
		if update.Inc >= p.Inc {
			p.reportedDead = p.reportedDead || m.now-p.lastReceived > m.config.SuspicionTimeout
			m.probeSoon(p.Life)
			if m.queryIsNew(update) {
				m.enqueueUpdate(StateUpdate{Life: update.Life, Inc: update.Inc, State: Queried})
			}
		}
	case fromTable && update.State == Suspected:
	case update.Inc > p.Inc, update.Inc == p.Inc && update.State > p.state:
		m.setState(p, update, update.State, "")
	// One more member confirms the suspicion.
	case update.Inc == p.Inc && update.State == Suspected && p.state == Suspected && m.confirmSuspicion(p, update.Suspector):
		m.enqueueUpdate(update)
	default:
		if item := m.gossipByID[update.Life]; item != nil && item.Inc == update.Inc && item.State == update.State { // it is already being spread
			item.transmissions++
		}
	}
}

// receivedRecently reports whether a message came from the process itself not long ago. Within SuspicionTimeout a report of its
// death cannot concern its present state and comes from a side that was cut off; within twice that time an own probe decides.
func (m *Machine) receivedRecently(p *peer) bool {
	return p.lastReceived > 0 && m.now-p.lastReceived < 2*m.config.SuspicionTimeout
}

// queryIsNew reports whether no query to a process, and nothing stronger, is being spread at this incarnation yet.
func (m *Machine) queryIsNew(update StateUpdate) bool {
	item := m.gossipByID[update.Life]
	return item == nil || item.Inc < update.Inc || item.Inc == update.Inc && item.State == Alive
}

// refute contradicts a suspicion or death reported of this process.
func (m *Machine) refute(update StateUpdate) {
	if update.State == Alive || update.Inc < m.self.Inc || m.nameTaken {
		return
	}
	if update.State == Left { // only this process itself could have sent this, and it is still running
		return
	}
	if update.Inc >= MaxIncarnation { // no refutation can exceed it: a fault, which must not exclude this process for good
		m.renewID(m.self.Life)
		return
	}
	m.self.Inc = update.Inc + 1
	m.emit(Event{Kind: "refuted", Name: m.self.Name, Life: m.self.Life, From: update.State, To: Alive, Cause: "reported " + update.State.String() + " by " + m.nameOf(update.Suspector)})
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
func (m *Machine) setState(p *peer, update StateUpdate, to State, cause string) {
	from := p.state
	if cause == "" {
		cause = "reported by others"
		switch {
		case update.Suspector != 0:
			cause = "no answer to " + m.nameOf(update.Suspector)
		case to == Alive && from != Alive:
			cause = "it says so"
		}
	}
	p.Inc = max(p.Inc, update.Inc)
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
		m.confirmSuspicion(p, update.Suspector)
		p.startedAt, p.nextProbeAt = m.now, m.now
		m.suspected = append(m.suspected, p)
		// Some of the members that are notified of a suspicion probe the member out of turn: this makes it refute the suspicion
		// sooner.
		if update.Suspector != m.self.Life && m.rng.IntN(len(m.present)) < fullConfirmations {
			m.probeSoon(p.Life)
		}
	}
	if from != to {
		p.since = m.now
		m.version++
		m.emit(Event{Kind: "state", Name: p.Name, Life: p.Life, From: from, To: to, Cause: cause})
	}
	m.enqueueUpdate(StateUpdate{Life: p.Life, Inc: p.Inc, State: to, Suspector: update.Suspector})
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
			member := Member{Record: p.Record, State: p.state, Since: p.since, LastReceived: p.lastReceived, RoundTrip: p.rtt}
			for _, suspector := range p.suspectedBy {
				member.SuspectedBy = append(member.SuspectedBy, m.nameOf(suspector))
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
