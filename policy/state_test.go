package policy

import (
	"fmt"
	"strconv"
	"testing"
)

// Exclusions of hosts that no list names any more are kept, so their number is bounded. Beyond the bound an
// exclusion is refused, and the existing ones remain.
func TestExclusionsBounded(t *testing.T) {
	s := &testEnv{T: t, requests: map[RequestID]*clientRequest{}, hosts: map[HostID]*testHost{}}
	b := New(s, Config{Balancers: 1, OriginKind: -1}, 1)
	for i := range maxExcluded + 1 {
		id := HostID(fmt.Sprint("h", i))
		b.ApplyList(ListReplace, []HostEntry{{HostID: id, Size: 1}})
		if known, excluded := b.Exclude(id); !known || excluded != (i < maxExcluded) {
			t.Fatalf("host %d: known %v, excluded %v", i, known, excluded)
		}
	}
	b.ApplyList(ListReplace, []HostEntry{{HostID: "h0", Size: 1}})
	if listed, avoided := b.HostCounts(); listed != 1 || avoided != 1 {
		t.Errorf("%d listed, %d avoided", listed, avoided)
	}
	if _, excluded := b.Exclude("h0"); !excluded {
		t.Error("excluding a host again at the bound was refused")
	}
	if !b.Include("h0") || len(b.excluded) != maxExcluded-1 {
		t.Errorf("after one was included, %d are excluded", len(b.excluded))
	}
}

// A burst of keys that are requested once fills the key table but displaces no key. Once keys are removed, new
// ones can be added.
func TestKeyTableIsBounded(t *testing.T) {
	table := keyTable{index: map[Key]int{}}
	for i := range maxTrackedKeys {
		if table.add(Key(strconv.Itoa(i))) == nil {
			t.Fatalf("key %d was not added", i)
		}
	}
	if table.add("flood") != nil || table.find("flood") != nil || table.find("0") == nil {
		t.Error("a full table added a key, or lost one")
	}
	table.remove(0)
	if u := table.add("next"); u == nil || u != table.find("next") || table.find(Key(strconv.Itoa(maxTrackedKeys-1))) == nil {
		t.Error("no key can be added after one was removed, or the moved entry is lost")
	}
}

// What a newer process takes over depends on its settings: limits are parts of a fleet-wide limit and do not
// apply to another number of balancers; outcomes at a host apply as long as the same process runs there; invalid
// values are ignored.
func TestTakeOver(t *testing.T) {
	newBalancer := func(balancers int, startedAt Nanos) *Balancer {
		s := &testEnv{T: t, counts: map[string]int{}, now: 1000 * Second}
		b := New(s, Config{Balancers: balancers, OriginKind: -1, Products: []ProductConfig{{LatencySLO: Second, BilledValue: 1}},
			ColdCapacityFraction: 0.25, WarmUpTime: 10 * Second, OverloadMultiple: 3, OverloadWindow: Second}, 7)
		b.ApplyList(ListRestored, []HostEntry{{HostID: "a", Size: 1, ListedStart: startedAt}, {HostID: "b", Size: 1}})
		return b
	}
	older := newBalancer(4, 0)
	older.hosts["a"].concurrencyLimit, older.fleetLimitPerHost, older.origin.concurrencyLimit = 17, 23, 31
	older.hosts["a"].outcomes.add(1000*Second, 2, 40)
	older.attemptTime.add(1000*Second, 0.06, 2)
	learnt := older.ExportLearnt()
	for _, row := range []struct {
		name                    string
		balancers               int
		startedAt               Nanos
		limit, bad              float64
		fleetLimit, meanSeconds float64
	}{
		{"the same settings", 4, 0, 17, 40, 23, 0.03},
		{"a balancer for each client", 400, 0, newBalancer(400, 0).hosts["a"].concurrencyLimit, 40, newBalancer(400, 0).fleetLimitPerHost, 0.03},
		{"started again since", 4, 900 * Second, newBalancer(4, 0).hosts["a"].concurrencyLimit, 0, 23, 0.03},
	} {
		b := newBalancer(row.balancers, row.startedAt)
		b.ImportLearnt(learnt)
		_, bad := b.hosts["a"].outcomes.decayed(1000 * Second)
		took, n := b.attemptTime.decayed(1000 * Second)
		if b.hosts["a"].concurrencyLimit != row.limit || bad != row.bad || b.fleetLimitPerHost != row.fleetLimit || took/n != row.meanSeconds {
			t.Errorf("%s: limit %v, bad outcomes %v, fleet limit per host %v, mean attempt %v s", row.name, b.hosts["a"].concurrencyLimit, bad, b.fleetLimitPerHost, took/n)
		}
	}
	b := newBalancer(4, 0)
	want := b.ExportLearnt()
	b.ImportLearnt(Learnt{Balancers: 4, FleetBears: -1, Origin: 1e9, Pace: -2, Caches: []LearntOf{{Cache: "a", Limit: -5, Good: -1, Bad: 3}, {Cache: "none", Limit: 2}}})
	if got := b.ExportLearnt(); fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("invalid values were taken over: %+v", got)
	}
}

// A customer is limited to the share of its quota that is assigned to this balancer, and to the estimated one
// after the assignment is withdrawn.
func TestAssignedShare(t *testing.T) {
	s := &testEnv{T: t, counts: map[string]int{}, now: 1000 * Second}
	b := New(s, Config{Balancers: 10, OriginKind: -1, Products: []ProductConfig{{LatencySLO: Second, BilledValue: 1}},
		Customers: []CustomerConfig{{QuotaPerSecond: 100}, {QuotaPerSecond: 100}, {QuotaPerSecond: 100}}}, 7)
	countOverQuota := func() (n int) {
		for range 500 { // ten seconds at half of the quota, all of it at this balancer
			s.now += 20 * Millisecond
			if b.exceedsQuota(&request{Request: Request{Customer: 0}}) {
				n++
			}
		}
		return n
	}
	if n := countOverQuota(); n < 200 {
		t.Errorf("%d of 500 beyond an equal share of a tenth", n)
	}
	b.SetQuotaShare(0, 1)
	if n := countOverQuota(); n > 0 {
		t.Errorf("%d of 500 beyond the whole quota", n)
	}
	b.SetQuotaShare(0, 0)
	if n := countOverQuota(); n < 200 {
		t.Errorf("%d of 500 beyond the quota after the assignment was withdrawn", n)
	}
}

// Where all customers exceed their quotas, an assigned share singles out none of them: neither the minimum share
// of a balancer that has just started, nor a share that differs from the others' because the traffic went to other
// balancers. A customer that exceeds its quota by more than most is singled out.
func TestAssignedSharesWhenAllExceed(t *testing.T) {
	s := &testEnv{T: t, counts: map[string]int{}, now: 1000 * Second}
	b := New(s, Config{Balancers: 10, OriginKind: -1, Products: []ProductConfig{{LatencySLO: Second, BilledValue: 1}},
		Customers: []CustomerConfig{{QuotaPerSecond: 100}, {QuotaPerSecond: 100}, {QuotaPerSecond: 100}}}, 7)
	shares := []float64{0.01, 0.01, 0.02}
	for c, share := range shares {
		b.SetQuotaShare(Customer(c), share)
	}
	countOverQuota := func(perS [3]float64) (n [3]int) { // in four seconds
		var due [3]float64
		for range 400 {
			s.now += 10 * Millisecond
			for c := range due {
				for due[c] += perS[c] / 100; due[c] >= 1; due[c]-- {
					if b.exceedsQuota(&request{Request: Request{Customer: Customer(c)}}) {
						n[c]++
					}
				}
			}
		}
		return n
	}
	if n := countOverQuota([3]float64{20, 20, 40}); n[0]+n[1]+n[2] > 50 {
		t.Errorf("%d of 80, 80 and 160 beyond their shares while all exceed them alike", n)
	}
	if n := countOverQuota([3]float64{20, 20, 200}); n[0]+n[1] > 20 || n[2] < 400 {
		t.Errorf("%d of 80, 80 and 800 beyond their shares where the last exceeds its own most", n)
	}
}
