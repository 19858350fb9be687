package membersim

import (
	"fmt"
	"hash/fnv"
	"testing"
	"time"

	"streamrail/internal/fleet/member"
	"streamrail/internal/rehearsal/model"
	"streamrail/internal/rehearsal/record"
)

func testTerms(n int, seed uint64, loss float64) Config {
	return Config{Members: n, Zones: 3, Seeds: 3, ProbePeriod: 400 * time.Millisecond, SuspicionTimeout: 2 * time.Second, GossipBytesPerSecond: 3000, Seed: seed,
		Links: model.LinkConfig{LossRatio: loss, Delay: time.Millisecond, Jitter: 9 * time.Millisecond}}
}

// The same seed must give the same simulation, so that findings of a search can be reproduced.
func TestSameSeed(t *testing.T) {
	eventHash := func() uint64 {
		h := fnv.New64a()
		p := New(testTerms(12, 5, 0.1))
		p.OnEvent = func(i int, e member.Event) { fmt.Fprintln(h, p.Now, i, e) }
		p.StartAll(time.Minute)
		p.Kill(3)
		p.Stall(4, 3*time.Second)
		p.Run(p.Now + 20*time.Second)
		return h.Sum64()
	}
	if a, b := eventHash(), eventHash(); a != b {
		t.Errorf("the same seed gave different event logs: hashes %x and %x", a, b)
	}
}

// Checks the documented bounds with a few seeds: the time until all views reflect a death, a start and the end of a
// partition, and that no member is wrongly declared dead when one datagram in twenty is lost and members stall for up to a
// second.
func TestDetectionTimes(t *testing.T) {
	for _, n := range []int{5, 16, 40} {
		for seed := range uint64(3) {
			u := testTerms(n, seed+1, 0)
			if _, last := DeathDetection(u); last > 6*time.Second {
				t.Errorf("%d members, seed %d: a death reached all views after %v", n, u.Seed, last)
			}
			if d := JoinTime(u); d > 3*time.Second {
				t.Errorf("%d members, seed %d: a start reached all views after %v", n, u.Seed, d)
			}
			if d := PartitionRecovery(u, 3); d > 6*time.Second {
				t.Errorf("%d members, seed %d: views were equal %v after the end of a partition", n, u.Seed, d)
			}
			c := RunWithoutDeaths(testTerms(n, seed+1, 0.05), time.Minute, 100*time.Millisecond, time.Second)
			if c.Deaths != 0 || c.BytesPerS > 3000 {
				t.Errorf("%d members, seed %d: false deaths or too much traffic: %+v", n, u.Seed, c)
			}
		}
	}
}

// Two members use the same name by mistake: both must notice it, the newer one keeps the name, and no view lists both.
func TestNameConflict(t *testing.T) {
	p := New(testTerms(6, 1, 0))
	p.StartAll(time.Minute)
	p.nameOverrides = map[int]int{5: 0} // the sixth member is restarted under the name of the first
	p.Kill(5)
	p.Run(p.Now + 20*time.Second)
	p.Start(5)
	p.Run(p.Now + 5*time.Second)
	older, newer := p.Members[0].View(), p.Members[5].View()
	if older.Situation != member.Unsure || older.NameConflict.Addr != addr(5) || newer.NameConflict.Addr != addr(0) {
		t.Errorf("older member: situation %v, name conflict %v; newer member: situation %v, name conflict %v", older.Situation, older.NameConflict, newer.Situation, newer.NameConflict)
	}
	for i := 1; i < 5; i++ {
		if p.Members[i].IsPresent(p.Members[0].ProcessID()) || !p.Members[i].IsPresent(p.Members[5].ProcessID()) {
			t.Errorf("%s does not list only the newer member of that name", record.BalancerName(i))
		}
	}
}

// Each member that has detected a death by its own probes must report it once. Guards against a log that repeated the same
// death at every tick for a second.
func TestDeathReportedOnce(t *testing.T) {
	p := New(testTerms(6, 1, 0))
	p.StartAll(time.Minute)
	reports := make([]int, 6)
	p.OnEvent = func(index int, e member.Event) {
		if e.Kind == "verdict" {
			reports[index]++
		}
	}
	p.Kill(2)
	p.Run(p.Now + 20*time.Second)
	sum := 0
	for i, n := range reports {
		sum += n
		if n > 1 {
			t.Errorf("%s reported one death %d times", record.BalancerName(i), n)
		}
	}
	if sum == 0 {
		t.Error("no member reported the death")
	}
}
