package member

import (
	"flag"
	"fmt"
	"hash/maphash"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"streamrail/internal/fleet/explore"
)

// exploreDepth is how many steps the exploration goes: 5 takes a second, 8 some minutes.
var exploreDepth = flag.Int("explore", 5, "number of steps to explore")

const (
	testPeriod           = 100 * time.Millisecond
	testSuspicionTimeout = 200 * time.Millisecond
)

func testAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7946)
}

func testConfig(i, n int, seed uint64) Config {
	config := Config{ExpectedMembers: n, ProbeInterval: testPeriod, SuspicionTimeout: testSuspicionTimeout, GossipBytesPerSecond: 3000, MaxMembers: 64, Seed: seed,
		Self: Record{Life: ProcessID(seed<<randomBits | uint64(i+1)), Name: fmt.Sprint("n", i), Addr: testAddr(i)}}
	for k := range n {
		config.Seeds = append(config.Seeds, testAddr(k))
	}
	return config
}

// clone makes a deep copy of a machine, so that the exploration can continue from it several times.
func (m *Machine) clone() *Machine {
	c := *m
	source := *m.rngSource
	c.rngSource, c.rng = &source, rand.New(&source)
	c.config.Seeds = slices.Clone(m.config.Seeds)
	c.peers, c.byName = map[ProcessID]*peer{}, map[string]*peer{}
	of := map[*peer]*peer{}
	for l, p := range m.peers {
		q := *p
		q.suspectedBy = slices.Clone(p.suspectedBy)
		of[p], c.peers[l] = &q, &q
	}
	for n, p := range m.byName {
		c.byName[n] = of[p]
	}
	each := func(list []*peer) (to []*peer) {
		for _, p := range list {
			to = append(to, of[p])
		}
		return to
	}
	c.present, c.absent, c.suspected = each(m.present), each(m.absent), each(m.suspected)
	c.probes = slices.Clone(m.probes)
	for i := range c.probes {
		c.probes[i].nacks = slices.Clone(c.probes[i].nacks)
	}
	c.relayedProbes, c.urgentProbes = slices.Clone(m.relayedProbes), slices.Clone(m.urgentProbes)
	c.gossipQueue, c.gossipByID, c.recordRequestedAt = nil, map[ProcessID]*gossipItem{}, map[ProcessID]Moment{}
	for _, it := range m.gossipQueue {
		q := *it
		c.gossipQueue, c.gossipByID[it.Life] = append(c.gossipQueue, &q), &q
	}
	for l, at := range m.recordRequestedAt {
		c.recordRequestedAt[l] = at
	}
	c.sends, c.spareSends, c.events = nil, nil, nil
	return &c
}

// fleetState is three members and the datagrams in flight between them.
type fleetState struct {
	now          Moment
	machines     [3]*Machine // nil where no process is running
	startCount   uint64
	inFlight     []datagram
	incarnations map[ProcessID]Incarnation       // the highest that each process has sent itself
	lastReceived map[[2]ProcessID]Moment         // when a process last received a message from another
	lastView     map[[2]ProcessID]StateUpdate    // the last state that a process held of another
	fault        func(w *fleetState, i int) bool // called after each input to inject a bug
	violation    string
}

type datagram struct {
	to   int
	from netip.AddrPort
	msg  *Message
}

func newFleetState(fault func(*fleetState, int) bool) *fleetState {
	w := &fleetState{incarnations: map[ProcessID]Incarnation{}, lastReceived: map[[2]ProcessID]Moment{}, lastView: map[[2]ProcessID]StateUpdate{}, fault: fault}
	for i := range w.machines {
		w.startMember(i)
	}
	return w
}

func (w *fleetState) startMember(i int) {
	w.startCount++
	w.machines[i] = New(testConfig(i, len(w.machines), w.startCount), w.now, nil)
	w.collect(i)
}

func (w *fleetState) clone() *fleetState {
	c := *w
	for i, m := range w.machines {
		if m != nil {
			c.machines[i] = m.clone()
		}
	}
	c.inFlight = slices.Clone(w.inFlight)
	c.incarnations, c.lastReceived, c.lastView = maps.Clone(w.incarnations), maps.Clone(w.lastReceived), maps.Clone(w.lastView)
	return &c
}

// maxInFlight bounds the datagrams in flight: beyond it the oldest are lost.
const maxInFlight = 4

// collect puts the messages of a machine in flight and checks its state.
func (w *fleetState) collect(i int) {
	m := w.machines[i]
	sends, events := m.TakeOutput()
	w.incarnations[m.self.Life] = max(w.incarnations[m.self.Life], m.self.Inc)
	for _, s := range sends {
		msg := s.Msg
		if msg.Size() > MaxDatagramBytes {
			w.violate("a datagram of %d bytes", msg.Size())
		}
		for to := range w.machines {
			if s.To == testAddr(to) && to != i {
				w.inFlight = append(w.inFlight, datagram{to, testAddr(i), &msg})
			}
		}
	}
	if w.fault != nil {
		w.fault(w, i)
	}
	for len(w.inFlight) > maxInFlight {
		w.inFlight = slices.Delete(w.inFlight, 0, 1)
	}
	for _, e := range events {
		if e.Kind != "verdict" {
			continue
		}
		if lastReceived, ok := w.lastReceived[[2]ProcessID{m.self.Life, e.Life}]; ok && w.now-lastReceived < testSuspicionTimeout {
			w.violate("n%d declares %s dead, from which it received a message %v ago", i, e.Name, w.now-lastReceived)
		}
	}
	w.check(i)
}

func (w *fleetState) violate(format string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf(format, args...)
	}
}

// check checks one view against the invariants of docs/notes/members.md.
func (w *fleetState) check(i int) {
	m := w.machines[i]
	self := m.self.Life
	digest, byName := self.hash(), map[string]ProcessID{}
	if m.peers[self] != nil {
		w.violate("n%d has itself among its peers", i)
	}
	for l, p := range m.peers {
		if p.Inc > w.incarnations[l] {
			w.violate("n%d holds %s at incarnation %d, which has itself sent only %d", i, p.Name, p.Inc, w.incarnations[l])
		}
		current, pair := StateUpdate{Life: l, Inc: p.Inc, State: p.state}, [2]ProcessID{self, l}
		if previous, ok := w.lastView[pair]; ok && (current.Inc < previous.Inc || current.Inc == previous.Inc && current.State < previous.State) {
			w.violate("n%d reverts from %v to %v", i, previous, current)
		}
		w.lastView[pair] = current
		if p.state.isPresent() {
			digest ^= l.hash()
			if byName[p.Name] != 0 {
				w.violate("n%d has two processes of %s present", i, p.Name)
			}
			byName[p.Name] = l
			if m.present[p.index] != p {
				w.violate("n%d: wrong index in the list of members present", i)
			}
		} else if m.absent[p.index] != p {
			w.violate("n%d: wrong index in the list of absent members", i)
		}
		for k, r := range w.lastView { // a newer process of a name replaces the older ones
			if k[0] == self && k[1] > l && m.peers[k[1]] == nil && r.Life&7 == l&7 && w.nameOf(k[1]) == p.Name {
				w.violate("n%d has added an older process of %s", i, p.Name)
			}
		}
	}
	if digest != m.digest {
		w.violate("n%d: the digest does not match the view", i)
	}
	if len(m.probes) > maxPendingProbes || len(m.relayedProbes) > maxPendingProbes || len(m.urgentProbes) > maxPendingProbes || len(m.peers) > m.config.MaxMembers {
		w.violate("n%d: a list exceeds its bound", i)
	}
}

func (w *fleetState) nameOf(l ProcessID) string { return fmt.Sprint("n", uint64(l)&7-1) }

// steps returns everything that can happen next.
func (w *fleetState) steps() (all []func(*fleetState)) {
	for i, m := range w.machines {
		if m == nil {
			all = append(all, func(w *fleetState) { w.startMember(i) })
			continue
		}
		all = append(all, func(w *fleetState) {
			w.now = max(w.now, w.machines[i].Due())
			w.machines[i].Tick(w.now)
			w.collect(i)
		})
		if i == 2 { // for one member only, as the three are alike
			all = append(all, func(w *fleetState) { w.machines[i] = nil },
				func(w *fleetState) {
					w.machines[i].Leave(w.now)
					w.collect(i)
					w.machines[i] = nil
				})
		}
	}
	for k := range w.inFlight {
		all = append(all, func(w *fleetState) { w.deliver(k, false) }, func(w *fleetState) { w.deliver(k, true) },
			func(w *fleetState) { w.inFlight = slices.Delete(w.inFlight, k, k+1) })
	}
	return all
}

// deliver delivers a datagram; with keep it stays in flight and can be delivered again.
func (w *fleetState) deliver(k int, keep bool) {
	delivered := w.inFlight[k]
	if !keep {
		w.inFlight = slices.Delete(w.inFlight, k, k+1)
	}
	m := w.machines[delivered.to]
	if m == nil {
		return
	}
	w.lastReceived[[2]ProcessID{m.self.Life, delivered.msg.From}] = w.now
	m.Receive(w.now, delivered.from, delivered.msg)
	w.collect(delivered.to)
	for _, r := range delivered.msg.Updates {
		if p := m.peers[r.Life]; r.State == Left && p != nil && p.state != Left {
			w.violate("n%d received that %s left and holds it %s", delivered.to, p.Name, p.state)
		}
	}
}

var hashSeed = maphash.MakeSeed()

// key identifies equal states. Times are relative to now, in quarters of a period: finer differences only change waiting times.
func (w *fleetState) key() uint64 {
	var h maphash.Hash
	h.SetSeed(hashSeed)
	relative := func(at Moment) int64 { return int64((at - w.now) / (testPeriod / 4)) }
	for i, m := range w.machines {
		if m == nil {
			fmt.Fprint(&h, "|", i)
			continue
		}
		fmt.Fprint(&h, "|", m.self.Life, m.self.Inc, m.nameTaken, m.localHealth, m.consecutiveUnanswered, m.unansweredSinceStall, m.cursor, relative(m.due), relative(m.nextProbe), relative(m.nextReconnect))
		for _, list := range [][]*peer{m.present, m.absent} {
			for _, p := range list {
				fmt.Fprint(&h, ";", p.Life, p.Inc, p.state, p.ownProbeFailed, p.suspectedBy, relative(p.lastReceived), relative(p.startedAt))
			}
		}
		for _, probe := range m.probes {
			fmt.Fprint(&h, "?", probe.seq, probe.target, probe.indirect, probe.nacks, relative(probe.nextStep))
		}
		for _, f := range m.relayedProbes {
			fmt.Fprint(&h, "!", f.seq, f.requester, relative(f.deadline))
		}
		for _, item := range m.gossipQueue {
			fmt.Fprint(&h, "~", item.StateUpdate, item.transmissions)
		}
	}
	for _, f := range w.inFlight {
		fmt.Fprint(&h, ">", f.to, f.msg.Kind, f.msg.From, f.msg.Seq, f.msg.Inc, f.msg.Updates, len(f.msg.Records))
	}
	return h.Sum64()
}

// exploreOrders goes through every order of steps from a state and returns the number of states and the first violation.
func exploreOrders(w *fleetState, depth int) (states int, wrong string) {
	return explore.Sequences(w, depth, (*fleetState).clone, (*fleetState).steps, (*fleetState).key, func(w *fleetState) string { return w.violation })
}

// settledFleet returns a fleet in which all members know each other and the last one has received nothing for some periods, so
// that the exploration starts close to a suspicion or a death.
func settledFleet(fault func(*fleetState, int) bool, silent int) *fleetState {
	w := newFleetState(nil)
	w.runInOrder(10*testPeriod, func(int) bool { return true })
	w.runInOrder(Moment(silent)*testPeriod, func(i int) bool { return i != 2 })
	w.fault = fault
	return w
}

// runInOrder runs the members in the order of their due times and delivers at once to those that may receive.
func (w *fleetState) runInOrder(d time.Duration, receives func(int) bool) {
	for until := w.now + d; w.now < until; {
		first := 0
		for i, m := range w.machines {
			if m.Due() < w.machines[first].Due() {
				first = i
			}
		}
		w.now = max(w.now, w.machines[first].Due())
		w.machines[first].Tick(w.now)
		w.collect(first)
		for len(w.inFlight) > 0 {
			if receives(w.inFlight[0].to) {
				w.deliver(0, false)
			} else {
				w.inFlight = w.inFlight[1:]
			}
		}
	}
}

// Every order of deliveries, losses, repetitions, ticks, kills, starts and leaves keeps the invariants: from a complete fleet, from
// one in which a member is about to be suspected, and from one in which it is about to be declared dead.
func TestEveryOrder(t *testing.T) {
	for _, silent := range []int{0, 2, 6} {
		w := settledFleet(nil, silent)
		if w.violation != "" {
			t.Fatal(w.violation)
		}
		n, wrong := exploreOrders(w, *exploreDepth-silent/6)
		t.Logf("%d periods silent: %d states", silent, n)
		if wrong != "" {
			t.Errorf("%d periods silent: %s", silent, wrong)
		}
	}
}

// The exploration finds injected bugs.
func TestExplorerFindsBugs(t *testing.T) {
	for name, fault := range map[string]func(w *fleetState, i int) bool{
		"raises the incarnation of another": func(w *fleetState, i int) bool {
			for _, f := range w.inFlight {
				for k := range f.msg.Updates {
					if r := &f.msg.Updates[k]; i == 0 && r.Life != f.msg.From && r.State == Suspected {
						r.Inc = 7
					}
				}
			}
			return true
		},
		"declares deaths at once": func(w *fleetState, i int) bool { w.machines[0].config.SuspicionTimeout = 1; return true },
		"forgets who left": func(w *fleetState, i int) bool {
			for _, p := range w.machines[i].absent {
				if p.state == Left {
					p.state = Dead
				}
			}
			return true
		},
	} {
		wrong := ""
		for _, silent := range []int{0, 2, 6} {
			if _, wrong = exploreOrders(settledFleet(fault, silent), 6); wrong != "" {
				break
			}
		}
		if wrong == "" {
			t.Errorf("%s: not found", name)
		} else {
			t.Logf("%s: %s", name, wrong)
		}
	}
}
