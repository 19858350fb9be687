package share

import (
	"flag"
	"fmt"
	"hash/maphash"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"streamrail/internal/fleet/explore"
	"streamrail/internal/fleet/member"
)

// exploreDepth is the length of the explored sequences of steps: 6 takes a second, 8 some minutes.
var exploreDepth = flag.Int("explore", 6, "steps to explore")

const exploreLease = 4 * TickInterval

// clone returns a deep copy without queued messages.
func (m *Machine) clone() *Machine {
	c := *m
	c.rng = rand.New(rand.NewPCG(1, 1)) // only the sequence of asks is random, and a balancer has at most two others to ask
	c.lent, c.borrowed, c.pendingAsks, c.limits = slices.Clone(m.lent), slices.Clone(m.borrowed), slices.Clone(m.pendingAsks), slices.Clone(m.limits)
	for i := range c.limits {
		c.limits[i].askers = slices.Clone(m.limits[i].askers)
	}
	c.sends = nil
	return &c
}

// model is a few balancers with the true time and the messages in flight between them.
type model struct {
	now       time.Duration
	balancers []*Machine
	ids       []member.ProcessID
	lastID    int
	inFlight  []modelPacket
	tamper    func(t *model, i int) // introduces a deliberate fault
	failure   string
}

type modelPacket struct {
	to   member.ProcessID
	from member.ProcessID
	msg  Message
}

// clock runs fast at balancer 0, the lender, and slow at the others, the borrowers: the worst skew that the proof in
// docs/notes/limits.md allows for.
func (t *model) clock(i int) Moment {
	if i == 0 {
		return Moment(float64(t.now) * (1 + maxClockSkew))
	}
	return Moment(float64(t.now) * (1 - maxClockSkew))
}

func (t *model) start(i int) {
	t.lastID++
	t.ids[i] = member.ProcessID(t.lastID)
	t.balancers[i] = New(Config{Self: t.ids[i], Balancers: len(t.balancers), Names: []string{"a"}, Limits: []float64{100}, ReservedFraction: []float64{0}, Lease: exploreLease, FirstAskNumber: uint64(t.lastID) * 100}, t.clock(i))
}

func newModel(n int, tamper func(*model, int)) *model {
	t := &model{balancers: make([]*Machine, n), ids: make([]member.ProcessID, n), tamper: tamper}
	for i := range n {
		t.start(i)
	}
	t.now = 2 * exploreLease // no balancer counts as recently started
	for i := 1; i < n; i++ {
		t.balancers[i].SetNeed(t.clock(i), 0, 100)
	}
	return t
}

func (t *model) clone() *model {
	c := *t
	c.balancers, c.ids, c.inFlight = slices.Clone(t.balancers), slices.Clone(t.ids), slices.Clone(t.inFlight)
	for i, m := range t.balancers {
		if m != nil {
			c.balancers[i] = m.clone()
		}
	}
	return &c
}

// maxInFlight limits the messages in flight; the oldest are lost.
const maxInFlight = 3

// flush puts the queued messages of a balancer in flight and checks the sum of all parts.
func (t *model) flush(i int) {
	for _, s := range t.balancers[i].TakeOutput() {
		if slices.Contains(t.ids, s.To) {
			t.inFlight = append(t.inFlight, modelPacket{s.To, t.ids[i], s.Msg})
		}
	}
	for len(t.inFlight) > maxInFlight {
		t.inFlight = t.inFlight[1:]
	}
	if t.tamper != nil {
		t.tamper(t, i)
	}
	sum := Part(0)
	for k, m := range t.balancers {
		if m != nil {
			sum += m.clone().Part(t.clock(k), 0)
		}
	}
	if sum > WholeLimit && t.failure == "" {
		t.failure = fmt.Sprintf("at %v the parts add up to %.3f of the limit", t.now, float64(sum)/float64(WholeLimit))
	}
}

// steps returns all steps possible in a state.
func (t *model) steps() (all []func(*model)) {
	for i, m := range t.balancers {
		if m == nil {
			all = append(all, func(t *model) { t.start(i); t.flush(i) })
			continue
		}
		all = append(all, func(t *model) {
			t.balancers[i].Tick(t.clock(i), t.ids)
			t.flush(i)
		})
		if i == 0 { // the lender
			all = append(all, func(t *model) { t.balancers[i] = nil })
		} else {
			all = append(all, func(t *model) { // its need ends
				t.balancers[i].limits[0].need = 0
				t.balancers[i].Tick(t.clock(i), t.ids)
				t.flush(i)
			})
		}
	}
	for k := range t.inFlight {
		all = append(all, func(t *model) { t.deliver(k, false) }, func(t *model) { t.deliver(k, true) })
	}
	for _, by := range []time.Duration{TickInterval, exploreLease - TickInterval} {
		all = append(all, func(t *model) {
			t.now += by
			for i, m := range t.balancers {
				if m != nil {
					t.flush(i)
				}
			}
		})
	}
	return all
}

func (t *model) deliver(k int, repeat bool) {
	p := t.inFlight[k]
	if !repeat {
		t.inFlight = slices.Delete(t.inFlight, k, k+1)
	}
	if i := slices.Index(t.ids, p.to); i >= 0 && t.balancers[i] != nil {
		t.balancers[i].Receive(t.clock(i), p.from, &p.msg)
		t.flush(i)
	}
}

var hashSeed = maphash.MakeSeed()

func (t *model) key() uint64 {
	var h maphash.Hash
	h.SetSeed(hashSeed)
	for i, m := range t.balancers {
		if m == nil {
			fmt.Fprint(&h, "|", i)
			continue
		}
		now := t.clock(i)
		fmt.Fprint(&h, "|", t.ids[i], m.lastAskID, m.limits[0].need > 0, m.limits[0].borrowed, m.limits[0].lent, m.recentlyStarted(), min(now-m.startedAt, 2*exploreLease))
		for _, list := range [][]lease{m.lent, m.borrowed} {
			for _, l := range list {
				fmt.Fprint(&h, ";", l.peer, l.askID, l.part, l.expires-now)
			}
		}
		for _, a := range m.pendingAsks {
			fmt.Fprint(&h, "?", a.id, a.to, now-a.sentAt)
		}
	}
	for _, p := range t.inFlight {
		fmt.Fprint(&h, ">", p.to, p.from, p.msg.Kind, p.msg.AskNumber, p.msg.Entries)
	}
	return h.Sum64()
}

// exploreAll explores every sequence of steps from a model; see explore.Sequences for the results.
func exploreAll(t *model, depth int) (states int, failure string) {
	return explore.Sequences(t, depth, (*model).clone, (*model).steps, (*model).key, func(t *model) string { return t.failure })
}

// In no sequence of ticks, deliveries, duplicates, losses, kills, restarts and expiries of leases do the parts add up to more than the
// limit, with the largest clock skew allowed.
func TestEveryOrder(t *testing.T) {
	for n := 2; n <= 3; n++ {
		states, failure := exploreAll(newModel(n, nil), *exploreDepth-n+2)
		t.Logf("%d balancers: %d states", n, states)
		if failure != "" {
			t.Errorf("%d balancers: %s", n, failure)
		}
	}
}

// faultyBehaviours returns functions that each introduce one fault into a balancer.
func faultyBehaviours() map[string]func(m *Machine) {
	return map[string]func(m *Machine){
		"uses an expired lease": func(m *Machine) {
			for i := range m.borrowed {
				m.borrowed[i].expires += 10 * m.config.Lease
			}
		},
		"lends without reducing its own part": func(m *Machine) {
			m.lent = nil
			for i := range m.limits {
				m.limits[i].lent = 0
			}
		},
		"forgets what it lent after a restart":      func(m *Machine) { m.startedAt = -1000 * time.Second },
		"adds the parts of dead members to its own": func(m *Machine) { m.fleetSize = max(1, m.fleetSize-1) },
	}
}

// Each fault is detected both by the exploration and by the random scenarios.
func TestFaultyBalancersFound(t *testing.T) {
	for name, tamper := range faultyBehaviours() {
		_, explored := exploreAll(newModel(2, func(t *model, i int) {
			if t.balancers[i] != nil {
				tamper(t.balancers[i])
			}
		}), 7)
		drawn := ""
		for seed := uint64(0); seed < 400 && drawn == ""; seed++ {
			if _, err := runScenario(seed, func(p *simulation, i int) { tamper(p.balancers[i].Machine) }); err != nil {
				drawn = err.Error()
			}
		}
		t.Logf("%s: exploration found %q, random scenarios found %q", name, explored, drawn)
		if drawn == "" || explored == "" {
			t.Errorf("%s: exploration found %q, random scenarios found %q", name, explored, drawn)
		}
	}
}
