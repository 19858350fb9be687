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
	tamper    func(w *model, i int) // introduces a deliberate fault
	failure   string
}

type modelPacket struct {
	to   member.ProcessID
	from member.ProcessID
	msg  Message
}

// clock runs fast at balancer 0, the lender, and slow at the others, the borrowers: the worst skew that the proof in
// docs/notes/limits.md allows for.
func (w *model) clock(i int) Moment {
	if i == 0 {
		return Moment(float64(w.now) * (1 + maxClockSkew))
	}
	return Moment(float64(w.now) * (1 - maxClockSkew))
}

func (w *model) start(i int) {
	w.lastID++
	w.ids[i] = member.ProcessID(w.lastID)
	w.balancers[i] = New(Config{Self: w.ids[i], Balancers: len(w.balancers), Names: []string{"a"}, Limits: []float64{100}, ReservedFraction: []float64{0}, Lease: exploreLease, FirstAskNumber: uint64(w.lastID) * 100}, w.clock(i))
}

func newModel(n int, tamper func(*model, int)) *model {
	w := &model{balancers: make([]*Machine, n), ids: make([]member.ProcessID, n), tamper: tamper}
	for i := range n {
		w.start(i)
	}
	w.now = 2 * exploreLease // no balancer counts as recently started
	for i := 1; i < n; i++ {
		w.balancers[i].SetNeed(w.clock(i), 0, 100)
	}
	return w
}

func (w *model) clone() *model {
	c := *w
	c.balancers, c.ids, c.inFlight = slices.Clone(w.balancers), slices.Clone(w.ids), slices.Clone(w.inFlight)
	for i, m := range w.balancers {
		if m != nil {
			c.balancers[i] = m.clone()
		}
	}
	return &c
}

// maxInFlight limits the messages in flight; the oldest are lost.
const maxInFlight = 3

// flush puts the queued messages of a balancer in flight and checks the sum of all parts.
func (w *model) flush(i int) {
	for _, s := range w.balancers[i].TakeOutput() {
		if slices.Contains(w.ids, s.To) {
			w.inFlight = append(w.inFlight, modelPacket{s.To, w.ids[i], s.Msg})
		}
	}
	for len(w.inFlight) > maxInFlight {
		w.inFlight = w.inFlight[1:]
	}
	if w.tamper != nil {
		w.tamper(w, i)
	}
	sum := Part(0)
	for k, m := range w.balancers {
		if m != nil {
			sum += m.clone().Part(w.clock(k), 0)
		}
	}
	if sum > WholeLimit && w.failure == "" {
		w.failure = fmt.Sprintf("at %v the parts add up to %.3f of the limit", w.now, float64(sum)/float64(WholeLimit))
	}
}

// steps returns all steps possible in a state.
func (w *model) steps() (all []func(*model)) {
	for i, m := range w.balancers {
		if m == nil {
			all = append(all, func(w *model) { w.start(i); w.flush(i) })
			continue
		}
		all = append(all, func(w *model) {
			w.balancers[i].Tick(w.clock(i), w.ids)
			w.flush(i)
		})
		if i == 0 { // the lender
			all = append(all, func(w *model) { w.balancers[i] = nil })
		} else {
			all = append(all, func(w *model) { // its need ends
				w.balancers[i].limits[0].need = 0
				w.balancers[i].Tick(w.clock(i), w.ids)
				w.flush(i)
			})
		}
	}
	for k := range w.inFlight {
		all = append(all, func(w *model) { w.deliver(k, false) }, func(w *model) { w.deliver(k, true) })
	}
	for _, by := range []time.Duration{TickInterval, exploreLease - TickInterval} {
		all = append(all, func(w *model) {
			w.now += by
			for i, m := range w.balancers {
				if m != nil {
					w.flush(i)
				}
			}
		})
	}
	return all
}

func (w *model) deliver(k int, repeat bool) {
	p := w.inFlight[k]
	if !repeat {
		w.inFlight = slices.Delete(w.inFlight, k, k+1)
	}
	if i := slices.Index(w.ids, p.to); i >= 0 && w.balancers[i] != nil {
		w.balancers[i].Receive(w.clock(i), p.from, &p.msg)
		w.flush(i)
	}
}

var hashSeed = maphash.MakeSeed()

func (w *model) key() uint64 {
	var h maphash.Hash
	h.SetSeed(hashSeed)
	for i, m := range w.balancers {
		if m == nil {
			fmt.Fprint(&h, "|", i)
			continue
		}
		now := w.clock(i)
		fmt.Fprint(&h, "|", w.ids[i], m.lastAskID, m.limits[0].need > 0, m.limits[0].borrowed, m.limits[0].lent, m.recentlyStarted(), min(now-m.startedAt, 2*exploreLease))
		for _, list := range [][]lease{m.lent, m.borrowed} {
			for _, l := range list {
				fmt.Fprint(&h, ";", l.peer, l.askID, l.part, l.expires-now)
			}
		}
		for _, a := range m.pendingAsks {
			fmt.Fprint(&h, "?", a.id, a.to, now-a.sentAt)
		}
	}
	for _, p := range w.inFlight {
		fmt.Fprint(&h, ">", p.to, p.from, p.msg.Kind, p.msg.AskNumber, p.msg.Entries)
	}
	return h.Sum64()
}

// exploreAll explores every sequence of steps from a model; see explore.Sequences for the results.
func exploreAll(w *model, depth int) (states int, failure string) {
	return explore.Sequences(w, depth, (*model).clone, (*model).steps, (*model).key, func(w *model) string { return w.failure })
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
		_, explored := exploreAll(newModel(2, func(w *model, i int) {
			if w.balancers[i] != nil {
				tamper(w.balancers[i])
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
