package policy

import (
	"fmt"
	"testing"
)

// still is a host that does nothing and whose clock stands.
type still struct{ now Nanos }

func (s *still) Now() Nanos                         { return s.now }
func (s *still) Send(CallID, CacheID, Nanos, Nanos) {}
func (s *still) Cancel(CallID, int)                 {}
func (s *still) RateLimit(CallID, Nanos)            {}
func (s *still) Error(CallID)                       {}
func (s *still) Subscribe()                         {}
func (s *still) SetTimer(after Nanos, id TimerID)   {}
func entries(n, from int, up Condition) (all []Entry) {
	for i := range n {
		all = append(all, Entry{Cache: CacheID(fmt.Sprint("s-", from+i)), Condition: up, Size: 1})
	}
	return all
}

var sizes = []int{16, 200, 1024, 3200}

// What a changed list costs: half of the hosts leave and as many come, as within seconds of a release.
func BenchmarkListed(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			m := New(&still{now: Second}, Terms{Balancers: 350, Products: []ProductTerms{{LatencySLO: Second}}, OriginKind: -1}, 1)
			m.Listed(ListReplace, entries(n, 0, Up))
			for i := 0; b.Loop(); i++ {
				m.Listed(ListUpdate, append(entries(n/2, i*n/2, Gone), entries(n/2, n+i*n/2, Up)...))
			}
		})
	}
}

// What the first list costs, and then one that changes a single host.
func BenchmarkFirstList(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			list := entries(n, 0, Up)
			b.ReportAllocs()
			for b.Loop() {
				m := New(&still{now: Second}, Terms{Balancers: 350, Products: []ProductTerms{{LatencySLO: Second}}, OriginKind: -1}, 1)
				m.Listed(ListReplace, list)
			}
		})
	}
}

func BenchmarkOneReplaced(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			m := New(&still{now: Second}, Terms{Balancers: 350, Products: []ProductTerms{{LatencySLO: Second}}, OriginKind: -1}, 1)
			m.Listed(ListReplace, entries(n, 0, Up))
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				m.Changed(append(entries(1, i, Gone), entries(1, n+i, Up)...))
			}
		})
	}
}

// What one request costs, from its arrival to its one answer.
func BenchmarkCall(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			h := &still{now: Second}
			m := New(h, Terms{Balancers: 350, MostAttempts: 4, Products: []ProductTerms{{LatencySLO: Second, BilledValue: 1}}, OriginKind: -1, FallWindow: Second}, 1)
			m.Listed(ListReplace, entries(n, 0, Up))
			for i := 0; b.Loop(); i++ {
				h.now += 10 * Millisecond
				id := CallID(fmt.Sprint(i))
				m.Arrived(Call{ID: id, Key: Key(fmt.Sprint("key", i%1000)), Deadline: h.now + Second})
				if r := m.requests[id]; r != nil && len(r.attempts) > 0 {
					m.Ended(Ending{Call: id, Outcome: Fulfilled, Took: 50 * Millisecond, Cache: r.attempts[0].host.Cache})
				}
			}
		})
	}
}
