package policy

import (
	"fmt"
	"testing"
)

// idleEnv is an environment that does nothing and whose clock moves only when a test sets it.
type idleEnv struct{ now Nanos }

func (s *idleEnv) Now() Nanos                           { return s.now }
func (s *idleEnv) Send(RequestID, HostID, Nanos, Nanos) {}
func (s *idleEnv) Cancel(RequestID, int)                {}
func (s *idleEnv) RateLimit(RequestID, Nanos)           {}
func (s *idleEnv) Error(RequestID)                      {}
func (s *idleEnv) Subscribe()                           {}
func (s *idleEnv) SetTimer(after Nanos, id TimerID)     {}

// makeEntries returns n list entries, numbered from the given number on.
func makeEntries(n, from int, condition Condition) (all []HostEntry) {
	for i := range n {
		all = append(all, HostEntry{HostID: HostID(fmt.Sprint("s-", from+i)), Condition: condition, Size: 1})
	}
	return all
}

var fleetSizes = []int{16, 200, 1024, 3200}

// BenchmarkListed measures an update in which half of the hosts leave and as many arrive, as in a release.
func BenchmarkListed(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			m := New(&idleEnv{now: Second}, Config{Balancers: 350, Products: []ProductConfig{{LatencySLO: Second}}, OriginKind: -1}, 1)
			m.ApplyList(ListReplace, makeEntries(n, 0, Up))
			for i := 0; b.Loop(); i++ {
				m.ApplyList(ListUpdate, append(makeEntries(n/2, i*n/2, Gone), makeEntries(n/2, n+i*n/2, Up)...))
			}
		})
	}
}

// BenchmarkFirstList measures the first list of a balancer.
func BenchmarkFirstList(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			list := makeEntries(n, 0, Up)
			b.ReportAllocs()
			for b.Loop() {
				m := New(&idleEnv{now: Second}, Config{Balancers: 350, Products: []ProductConfig{{LatencySLO: Second}}, OriginKind: -1}, 1)
				m.ApplyList(ListReplace, list)
			}
		})
	}
}

// BenchmarkOneReplaced measures an update that replaces a single host.
func BenchmarkOneReplaced(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			m := New(&idleEnv{now: Second}, Config{Balancers: 350, Products: []ProductConfig{{LatencySLO: Second}}, OriginKind: -1}, 1)
			m.ApplyList(ListReplace, makeEntries(n, 0, Up))
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				m.ApplyEntries(append(makeEntries(1, i, Gone), makeEntries(1, n+i, Up)...))
			}
		})
	}
}

// BenchmarkCall measures a request from its arrival to its final answer.
func BenchmarkCall(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			h := &idleEnv{now: Second}
			m := New(h, Config{Balancers: 350, MaxAttempts: 4, Products: []ProductConfig{{LatencySLO: Second, BilledValue: 1}}, OriginKind: -1, OverloadWindow: Second}, 1)
			m.ApplyList(ListReplace, makeEntries(n, 0, Up))
			for i := 0; b.Loop(); i++ {
				h.now += 10 * Millisecond
				id := RequestID(fmt.Sprint(i))
				m.RequestArrived(Request{ID: id, Key: Key(fmt.Sprint("key", i%1000)), Deadline: h.now + Second})
				if r := m.requests[id]; r != nil && len(r.attempts) > 0 {
					m.AttemptEnded(AttemptResult{RequestID: id, Outcome: Fulfilled, Duration: 50 * Millisecond, HostID: r.attempts[0].host.HostID})
				}
			}
		})
	}
}
