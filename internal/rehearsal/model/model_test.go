package model

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms, s = time.Millisecond, time.Second

var testHostConfig = HostConfig{Cores: 2, Speed: 1, Queue: 3, CacheBytes: 100}

func formatDone(done []Done) (text string) {
	for _, d := range done {
		text += fmt.Sprintf("%s@%v ", d.ID, d.At)
	}
	return text
}

func expectEqual(t *testing.T, got, want any) {
	t.Helper()
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("got %v, expected %v", got, want)
	}
}

// With two cores and a queue of three, further jobs are rejected and the accepted ones end in order: later while the host is
// slowed down, and none while it is stalled.
func TestHostQueues(t *testing.T) {
	n := NewHost(testHostConfig, 0, false, NewRand(1, "n"))
	for i, want := range []bool{true, true, true, true, true, false} {
		expectEqual(t, n.Offer(0, Job{ID: string(rune('a' + i)), WorkTime: 10 * ms}), want)
	}
	expectEqual(t, formatDone(n.Advance(10*ms)), "a@10ms b@10ms ")
	n.Advance(15 * ms)
	n.SetSlowdown(2)
	expectEqual(t, formatDone(n.Advance(20*ms)), "c@20ms d@20ms "[:0])
	expectEqual(t, n.NextEvent(), 25*ms)
	n.SetStalled(true)
	expectEqual(t, formatDone(n.Advance(s)), "")
	n.SetStalled(false)
	expectEqual(t, formatDone(n.Advance(2*s)), "c@1.005s d@1.005s e@1.025s ")
}

// A cold host that is offered more than three times its capacity for two seconds fails and stays down. The same load does not
// make a warm host fail, nor does a lower load make a cold host fail.
func TestColdHostFails(t *testing.T) {
	config := HostConfig{Cores: 2, Speed: 1, Queue: 1000, ColdCapacity: 0.2, WarmUpTime: 20 * s, OverloadMultiple: 3, OverloadWindow: 2 * s}
	for _, row := range []struct {
		cold       bool
		perS       int
		wantFailed bool
	}{{true, 200, true}, {false, 200, false}, {true, 60, false}} {
		n := NewHost(config, 5*s, row.cold, NewRand(1, "n"))
		lost := 0
		for at := 5 * s; at < 12*s; at += s / time.Duration(row.perS) {
			for _, d := range n.Advance(at) {
				if d.Lost {
					lost++
				}
			}
			n.Offer(at, Job{ID: "x", WorkTime: 10 * ms})
		}
		n.Advance(12 * s)
		at, multiple, failed := n.OverloadFailure()
		if failed != row.wantFailed || failed && (at < 7*s || at > 8*s || multiple < 3 || lost == 0) {
			t.Errorf("%+v: failed %v at %v, load multiple %.1f, %d jobs lost", row, failed, at, multiple, lost)
		}
		if failed && n.Offer(13*s, Job{}) {
			t.Error("a failed host accepted a job")
		}
	}
}

// A pause only delays the running jobs: over a minute the host does the work of its cores less the time of its pauses.
func TestHostPauses(t *testing.T) {
	config := testHostConfig
	config.PauseInterval, config.PauseLength, config.Queue = 2*s, 200*ms, 1<<20
	n := NewHost(config, 0, false, NewRand(7, "n"))
	for range 20000 {
		n.Offer(0, Job{WorkTime: 10 * ms})
	}
	done := 0
	for at := time.Duration(0); at < 60*s; at = min(n.NextEvent(), 60*s) {
		done += len(n.Advance(at))
	}
	if done < 10200 || done > 11300 { // 12,000 without pauses, about a tenth less with them
		t.Errorf("%d jobs ended within a minute", done)
	}
}

// The least recently used values are evicted once the total size is above the limit. Invalidate keeps a newer value, and
// CacheValue does not replace a newer value by an older one.
func TestHostKeepsValues(t *testing.T) {
	n := NewHost(testHostConfig, 0, false, NewRand(1, "n"))
	n.CacheValue("a", 1, 40)
	n.CacheValue("b", 1, 40)
	n.Offer(0, Job{ID: "r", Key: "a", WorkTime: ms}) // makes a the most recently used
	n.Advance(ms)
	n.CacheValue("c", 1, 40)
	hit := func(key string) bool {
		n.Offer(n.processor.now, Job{Key: key, WorkTime: ms})
		return n.Advance(n.processor.now + ms)[0].Hit
	}
	expectEqual(t, []bool{hit("a"), hit("b"), hit("c")}, []bool{true, false, true})
	n.CacheValue("a", 3, 10)
	n.CacheValue("a", 2, 10) // an older value that arrives late
	n.Invalidate("a", 3)
	n.Invalidate("c", 2)
	expectEqual(t, []bool{hit("a"), hit("c")}, []bool{true, false})
	expectEqual(t, n.bytes, 10)
}

// Writes with the same deduplication token are applied once within the window and again after it. More than three times its
// capacity stops the origin: its jobs are lost, and it works again after the outage.
func TestOrigin(t *testing.T) {
	g := NewOrigin(OriginConfig{Slots: 2, ServiceTime: 10 * ms, Queue: 1000, OverloadMultiple: 3, OverloadWindow: s, OutageLength: 2 * s, DedupWindow: s}, 0)
	write := func(id string, at time.Duration) uint64 {
		g.Advance(at)
		g.Offer(at, Job{ID: id, Key: "k", DedupToken: "m", Write: true, WorkTime: 10 * ms})
		return g.Advance(at + 10*ms)[0].Version
	}
	expectEqual(t, []uint64{write("a", 0), write("b", 500*ms), write("c", 1500*ms)}, []uint64{1, 1, 2})
	expectEqual(t, len(g.Effects()), 2)
	lost := 0
	for at := 2 * s; at < 5*s; at += ms {
		for _, d := range g.Advance(at) {
			if d.Lost {
				lost++
			}
		}
		g.Offer(at, Job{WorkTime: 10 * ms}) // five times its capacity
	}
	expectEqual(t, len(g.Outages()), 1)
	if outage := g.Outages()[0]; lost == 0 || outage.At < 2500*ms || outage.At > 3*s {
		t.Errorf("%d jobs lost, stopped at %v", lost, outage.At)
	}
	g.Advance(6 * s)
	expectEqual(t, g.Offer(6*s, Job{WorkTime: ms}), true)
}

// An agent returns each change within the delay, in generations that never decrease, and never an older state after a newer one.
func TestDiscovery(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := NewDiscovery(2, [2]time.Duration{100 * ms, 900 * ms}, NewRand(rapid.Uint64().Draw(t, "seed"), "r"))
		r.Set(0, Entry{Host: "a", Lifecycle: Active})
		r.Advance(0)
		last := map[int]int64{}
		seen := map[int]Entry{}
		now := time.Duration(0)
		for i := range 12 {
			now += time.Duration(rapid.IntRange(1, 300).Draw(t, "wait")) * ms
			if i < 6 {
				r.Set(now, Entry{Host: "a", Lifecycle: Leaving, Weight: float64(i + 1)})
			}
			r.Advance(now)
			for b := range 2 {
				g, reset, es := r.List(b, last[b], last[b] == 0)
				if g < last[b] || reset && last[b] != 0 {
					t.Fatalf("generation %d after %d", g, last[b])
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
				t.Fatalf("the last change did not arrive: %+v", es)
			}
		}
	})
}

// The same seed gives the same requests. A surge of one tenant adds requests of that tenant and leaves the others unchanged.
func TestArrivals(t *testing.T) {
	config := LoadConfig{Length: 20 * s, RequestsPerSecond: 500, Keys: 1000, Zipf: 1, Zones: []float64{1, 1}, GiveUpRange: [2]float64{0.5, 1},
		Products: []Product{{Name: "read", Share: 9, ClientTimeout: s}, {Name: "pay", Share: 1, ClientTimeout: s, Write: true, Deduplicated: true}},
		Tenants:  []Tenant{{"a", 0.5}, {"b", 0.5}}, HotKeys: []HotKeys{{From: 5 * s, To: 10 * s, Share: 0.2}}}
	first, err := Arrivals(3, config)
	if err != nil {
		t.Fatal(err)
	}
	second, _ := Arrivals(3, config)
	config.Surges = []Surge{{From: 5 * s, To: 10 * s, Tenant: "b", Factor: 3}}
	withSurge, _ := Arrivals(3, config)
	expectEqual(t, first, second)
	summarize := func(all []Arrival, tenant int) (n int, text string, once map[string]int) {
		once = map[string]int{}
		for _, a := range all {
			if a.Tenant == tenant {
				n++
				text += a.ID + a.Key + a.At.String()
			}
			if a.KeyUsedOnce {
				once[a.Key]++
			}
		}
		return n, text, once
	}
	_, before, once := summarize(first, 0)
	_, after, _ := summarize(withSurge, 0)
	if before != after {
		t.Error("the surge of tenant b changed the requests of tenant a")
	}
	for k, n := range once {
		if n != 1 {
			t.Errorf("key %s is requested %d times, expected once", k, n)
		}
	}
	if len(once) < 300 {
		t.Errorf("%d keys are requested once", len(once))
	}
	// Tenant b sends 15 s at 250/s and 5 s at 750/s; the tolerance is five standard deviations.
	if n, _, _ := summarize(withSurge, 1); math.Abs(float64(n)-7500) > 5*math.Sqrt(7500) {
		t.Errorf("%d requests of the tenant with the surge", n)
	}
}
