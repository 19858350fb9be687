package policy

import (
	"fmt"
	"strconv"
	"testing"
)

// Bans of hosts that no list names any more are kept, so they need a bound; beyond it the answer is no, and what is out stays.
func TestBansBounded(t *testing.T) {
	s := &stage{T: t, owed: map[CallID]*debt{}, hosts: map[CacheID]*seen{}}
	b := New(s, Terms{Balancers: 1, OriginKind: -1}, 1)
	for i := range maxExcluded + 1 {
		id := CacheID(fmt.Sprint("h", i))
		b.Listed(ListReplace, []Entry{{Cache: id, Size: 1}})
		if known, held := b.Exclude(id); !known || held != (i < maxExcluded) {
			t.Fatalf("host %d: known %v, held %v", i, known, held)
		}
	}
	b.Listed(ListReplace, []Entry{{Cache: "h0", Size: 1}})
	if listed, avoided := b.Fleet(); listed != 1 || avoided != 1 {
		t.Errorf("%d listed, %d avoided", listed, avoided)
	}
	if _, held := b.Exclude("h0"); !held {
		t.Error("twice out is no")
	}
	if !b.Include("h0") || len(b.excluded) != maxExcluded-1 {
		t.Errorf("after one was put back %d are out", len(b.excluded))
	}
}

// A flood of keys wanted once fills the key table and puts out none: keys that matter stay, and there is room again once some have gone.
func TestKeyTableIsBounded(t *testing.T) {
	table := keyTable{index: map[Key]int{}}
	for i := range maxTrackedKeys {
		if table.add(Key(strconv.Itoa(i))) == nil {
			t.Fatalf("no room for key %d", i)
		}
	}
	if table.add("flood") != nil || table.find("flood") != nil || table.find("0") == nil {
		t.Error("a full table took one up, or lost one")
	}
	table.remove(0)
	if u := table.add("next"); u == nil || u != table.find("next") || table.find(Key(strconv.Itoa(maxTrackedKeys-1))) == nil {
		t.Error("no room after one has gone, or the one moved is lost")
	}
}

// What a newer process takes over depends on what its settings leave of it: bounds are parts of a whole that another number of
// balancers divides otherwise; the outcomes of attempts at a host hold while the same process runs there; nonsense holds never.
func TestTakeOver(t *testing.T) {
	made := func(balancers int, born Nanos) *Balancer {
		s := &stage{T: t, counts: map[string]int{}, now: 1000 * Second}
		b := New(s, Terms{Balancers: balancers, OriginKind: -1, Products: []ProductTerms{{LatencySLO: Second, BilledValue: 1}},
			ColdFrom: 0.25, RampTime: 10 * Second, FallMultiple: 3, FallWindow: Second}, 7)
		b.Listed(ListRestored, []Entry{{Cache: "a", Size: 1, Born: born}, {Cache: "b", Size: 1}})
		return b
	}
	older := made(4, 0)
	older.hosts["a"].concurrencyLimit, older.fleetLimitPerHost, older.origin.concurrencyLimit = 17, 23, 31
	older.hosts["a"].outcomes.add(1000*Second, 2, 40)
	older.attemptTime.add(1000*Second, 0.06, 2)
	learnt := older.Tell()
	for _, row := range []struct {
		name        string
		balancers   int
		born        Nanos
		limit, bad  float64
		fleet, pace float64
	}{
		{"the same settings", 4, 0, 17, 40, 23, 0.03},
		{"a balancer for each client", 400, 0, made(400, 0).hosts["a"].concurrencyLimit, 40, made(400, 0).fleetLimitPerHost, 0.03},
		{"started again since", 4, 900 * Second, made(4, 0).hosts["a"].concurrencyLimit, 0, 23, 0.03},
	} {
		b := made(row.balancers, row.born)
		b.TakeOver(learnt)
		_, bad := b.hosts["a"].outcomes.decayed(1000 * Second)
		took, n := b.attemptTime.decayed(1000 * Second)
		if b.hosts["a"].concurrencyLimit != row.limit || bad != row.bad || b.fleetLimitPerHost != row.fleet || took/n != row.pace {
			t.Errorf("%s: limit %v, bad %v, fleet %v, pace %v", row.name, b.hosts["a"].concurrencyLimit, bad, b.fleetLimitPerHost, took/n)
		}
	}
	b := made(4, 0)
	want := b.Tell()
	b.TakeOver(Learnt{Balancers: 4, FleetBears: -1, Origin: 1e9, Pace: -2, Caches: []LearntOf{{Cache: "a", Limit: -5, Good: -1, Bad: 3}, {Cache: "none", Limit: 2}}})
	if got := b.Tell(); fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("nonsense was taken: %+v", got)
	}
}

// A tenant is held to the part of its allowance that this balancer is told, and to what it guesses again once nothing is told.
func TestToldPart(t *testing.T) {
	s := &stage{T: t, counts: map[string]int{}, now: 1000 * Second}
	b := New(s, Terms{Balancers: 10, OriginKind: -1, Products: []ProductTerms{{LatencySLO: Second, BilledValue: 1}},
		Customers: []CustomerTerms{{AllowancePerS: 100}, {AllowancePerS: 100}, {AllowancePerS: 100}}}, 7)
	above := func() (n int) {
		for range 500 { // ten seconds at half of the allowance, all of it here
			s.now += 20 * Millisecond
			if b.exceedsQuota(&request{Call: Call{Customer: 0}}) {
				n++
			}
		}
		return n
	}
	if n := above(); n < 200 {
		t.Errorf("%d of 500 beyond an equal part of a tenth", n)
	}
	b.Part(0, 1)
	if n := above(); n > 0 {
		t.Errorf("%d of 500 beyond the whole", n)
	}
	b.Part(0, 0)
	if n := above(); n < 200 {
		t.Errorf("%d of 500 beyond once nothing is told", n)
	}
}

// Where all press, a told part makes a glutton of none: not a newborn's floor in its first seconds, and not a part that differs
// from the others' because calls came elsewhere. Who presses more than most is one.
func TestToldPartsWhereAllPress(t *testing.T) {
	s := &stage{T: t, counts: map[string]int{}, now: 1000 * Second}
	b := New(s, Terms{Balancers: 10, OriginKind: -1, Products: []ProductTerms{{LatencySLO: Second, BilledValue: 1}},
		Customers: []CustomerTerms{{AllowancePerS: 100}, {AllowancePerS: 100}, {AllowancePerS: 100}}}, 7)
	parts := []float64{0.01, 0.01, 0.02}
	for c, p := range parts {
		b.Part(Customer(c), p)
	}
	above := func(perS [3]float64) (n [3]int) { // in four seconds
		var owed [3]float64
		for range 400 {
			s.now += 10 * Millisecond
			for c := range owed {
				for owed[c] += perS[c] / 100; owed[c] >= 1; owed[c]-- {
					if b.exceedsQuota(&request{Call: Call{Customer: Customer(c)}}) {
						n[c]++
					}
				}
			}
		}
		return n
	}
	if n := above([3]float64{20, 20, 40}); n[0]+n[1]+n[2] > 50 {
		t.Errorf("%d of 80, 80 and 160 beyond their parts while all press alike", n)
	}
	if n := above([3]float64{20, 20, 200}); n[0]+n[1] > 20 || n[2] < 400 {
		t.Errorf("%d of 80, 80 and 800 beyond their parts where the last presses most", n)
	}
}
