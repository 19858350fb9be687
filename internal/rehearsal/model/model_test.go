package model

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms, s = time.Millisecond, time.Second

var still = NodeTerms{Cores: 2, Speed: 1, Queue: 3, KeepBytes: 100}

func ids(done []Done) (text string) {
	for _, d := range done {
		text += fmt.Sprintf("%s@%v ", d.ID, d.At)
	}
	return text
}

func expect(t *testing.T, got, want any) {
	t.Helper()
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("got %v, expected %v", got, want)
	}
}

// Two cores, a queue of three: what comes beyond is turned away and the rest ends in order, slower while the node is
// slow and not at all while it stalls.
func TestNodeQueues(t *testing.T) {
	n := NewNode(still, 0, false, Stream(1, "n"))
	for i, want := range []bool{true, true, true, true, true, false} {
		expect(t, n.Offer(0, Job{ID: string(rune('a' + i)), Work: 10 * ms}), want)
	}
	expect(t, ids(n.Advance(10*ms)), "a@10ms b@10ms ")
	n.Advance(15 * ms)
	n.Slow(2)
	expect(t, ids(n.Advance(20*ms)), "c@20ms d@20ms "[:0])
	expect(t, n.Due(), 25*ms)
	n.Stall(true)
	expect(t, ids(n.Advance(s)), "")
	n.Stall(false)
	expect(t, ids(n.Advance(2*s)), "c@1.005s d@1.005s e@1.025s ")
}

// A fresh node that all balancers together send over three times what it can do for two seconds falls over and stays
// down; the same load does nothing to one that is warm, nor a load under the bound to the cold one.
func TestColdNodeFalls(t *testing.T) {
	terms := NodeTerms{Cores: 2, Speed: 1, Queue: 1000, ColdFrom: 0.2, WarmFor: 20 * s, FallMultiple: 3, FallFor: 2 * s}
	for _, row := range []struct {
		cold bool
		perS int
		fall bool
	}{{true, 200, true}, {false, 200, false}, {true, 60, false}} {
		n := NewNode(terms, 5*s, row.cold, Stream(1, "n"))
		lost := 0
		for at := 5 * s; at < 12*s; at += s / time.Duration(row.perS) {
			for _, d := range n.Advance(at) {
				if d.Lost {
					lost++
				}
			}
			n.Offer(at, Job{ID: "x", Work: 10 * ms})
		}
		n.Advance(12 * s)
		at, multiple, fell := n.Fallen()
		if fell != row.fall || fell && (at < 7*s || at > 8*s || multiple < 3 || lost == 0) {
			t.Errorf("%+v: fell %v at %v from %.1f, lost %d", row, fell, at, multiple, lost)
		}
		if fell && n.Offer(13*s, Job{}) {
			t.Error("a fallen node takes work")
		}
	}
}

// Pauses hold up what runs and take nothing else away: over a minute the node still does what its cores can do but for
// the time it stood still.
func TestNodePauses(t *testing.T) {
	terms := still
	terms.PauseEvery, terms.PauseFor, terms.Queue = 2*s, 200*ms, 1<<20
	n := NewNode(terms, 0, false, Stream(7, "n"))
	for range 20000 {
		n.Offer(0, Job{Work: 10 * ms})
	}
	done := 0
	for at := time.Duration(0); at < 60*s; at = min(n.Due(), 60*s) {
		done += len(n.Advance(at))
	}
	if done < 10200 || done > 11300 { // 12,000 without pauses, a tenth less with them
		t.Errorf("%d jobs in a minute", done)
	}
}

// Values go out by age of use once their bytes are over the bound, and a void keeps a newer value.
func TestNodeKeeps(t *testing.T) {
	n := NewNode(still, 0, false, Stream(1, "n"))
	n.Keep("a", 1, 40)
	n.Keep("b", 1, 40)
	n.Offer(0, Job{ID: "r", Key: "a", Work: ms}) // used last
	n.Advance(ms)
	n.Keep("c", 1, 40)
	hit := func(key string) bool {
		n.Offer(n.engine.now, Job{Key: key, Work: ms})
		return n.Advance(n.engine.now + ms)[0].Hit
	}
	expect(t, []bool{hit("a"), hit("b"), hit("c")}, []bool{true, false, true})
	n.Keep("a", 3, 10)
	n.Keep("a", 2, 10) // an older fill that comes late
	n.Void("a", 3)
	n.Void("c", 2)
	expect(t, []bool{hit("a"), hit("c")}, []bool{true, false})
	expect(t, n.bytes, 10)
}

// A mark is applied once within its window and again after it; three times its capacity stops the gateway, what it
// held is lost and it comes back by itself.
func TestGateway(t *testing.T) {
	g := NewGateway(GatewayTerms{Slots: 2, Time: 10 * ms, Queue: 1000, FallMultiple: 3, FallFor: s, StopFor: 2 * s, Window: s}, 0)
	pay := func(id string, at time.Duration) uint64 {
		g.Advance(at)
		g.Offer(at, Job{ID: id, Key: "k", Mark: "m", Write: true, Work: 10 * ms})
		return g.Advance(at + 10*ms)[0].Version
	}
	expect(t, []uint64{pay("a", 0), pay("b", 500*ms), pay("c", 1500*ms)}, []uint64{1, 1, 2})
	expect(t, len(g.Effects()), 2)
	lost := 0
	for at := 2 * s; at < 5*s; at += ms {
		for _, d := range g.Advance(at) {
			if d.Lost {
				lost++
			}
		}
		g.Offer(at, Job{Work: 10 * ms}) // five times what it can do
	}
	expect(t, len(g.Stops()), 1)
	if stop := g.Stops()[0]; lost == 0 || stop.At < 2500*ms || stop.At > 3*s {
		t.Errorf("lost %d, stopped at %v", lost, stop.At)
	}
	g.Advance(6 * s)
	expect(t, g.Offer(6*s, Job{Work: ms}), true)
}

// An agent tells a change within the delay, in versions that only grow, and never an older state after a newer one.
func TestRegister(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := NewRegister(2, [2]time.Duration{100 * ms, 900 * ms}, Stream(rapid.Uint64().Draw(t, "seed"), "r"))
		r.Set(0, Entry{Node: "a", Condition: Active})
		r.Advance(0)
		last := map[int]int64{}
		seen := map[int]Entry{}
		now := time.Duration(0)
		for i := range 12 {
			now += time.Duration(rapid.IntRange(1, 300).Draw(t, "wait")) * ms
			if i < 6 {
				r.Set(now, Entry{Node: "a", Condition: Leaving, Weight: float64(i + 1)})
			}
			r.Advance(now)
			for b := range 2 {
				g, reset, es := r.List(b, last[b], last[b] == 0)
				if g < last[b] || reset && last[b] != 0 {
					t.Fatalf("version %d after %d", g, last[b])
				}
				last[b] = g
				for _, e := range es {
					if e.Weight < seen[b].Weight {
						t.Fatalf("state %v after %v", e.Weight, seen[b].Weight)
					}
					seen[b] = e
				}
			}
		}
		r.Advance(now + s)
		for b := range 2 {
			if _, _, es := r.List(b, 0, true); es[0].Weight != 6 {
				t.Fatalf("the last change never came: %+v", es)
			}
		}
	})
}

// The same seed gives the same day; a surge of one tenant adds calls of its own and moves nobody else's.
func TestArrivals(t *testing.T) {
	terms := LoadTerms{For: 20 * s, PerS: 500, Keys: 1000, Zipf: 1, Zones: []float64{1, 1}, GiveUpAt: [2]float64{0.5, 1},
		Products: []Product{{Name: "read", Share: 9, ClientTimeout: s}, {Name: "pay", Share: 1, ClientTimeout: s, Write: true, Marked: true}},
		Tenants:  []Tenant{{"a", 0.5}, {"b", 0.5}}, Focuses: []Focus{{From: 5 * s, To: 10 * s, Part: 0.2}}}
	plain, err := Arrivals(3, terms)
	if err != nil {
		t.Fatal(err)
	}
	again, _ := Arrivals(3, terms)
	terms.Surges = []Surge{{From: 5 * s, To: 10 * s, Tenant: "b", Times: 3}}
	surged, _ := Arrivals(3, terms)
	expect(t, plain, again)
	of := func(all []Arrival, tenant int) (n int, text string, once map[string]int) {
		once = map[string]int{}
		for _, a := range all {
			if a.Tenant == tenant {
				n++
				text += a.ID + a.Key + a.At.String()
			}
			if a.Once {
				once[a.Key]++
			}
		}
		return n, text, once
	}
	_, before, once := of(plain, 0)
	_, after, _ := of(surged, 0)
	if before != after {
		t.Error("the surge of b moved a's calls")
	}
	for k, n := range once {
		if n != 1 {
			t.Errorf("%s is wanted %d times", k, n)
		}
	}
	if len(once) < 300 {
		t.Errorf("%d keys are wanted once", len(once))
	}
	// b: 15 s at 250/s and 5 s at 750/s; five standard deviations.
	if n, _, _ := of(surged, 1); math.Abs(float64(n)-7500) > 5*math.Sqrt(7500) {
		t.Errorf("%d calls of the surging tenant", n)
	}
}
