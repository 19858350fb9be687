package upstream

import (
	"fmt"
	"runtime"
	"testing"

	"streamrail/internal/discovery"
	"streamrail/internal/pool"
	"streamrail/policy"
)

// BenchmarkListed measures the cost of a changed list in which half of the hosts leave and as many are new.
func BenchmarkListed(b *testing.B) {
	for _, n := range []int{16, 200, 1024} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			hs := New(Config{Pool: pool.Config{Balancers: 350, MaxConnections: 378}}, -1)
			defer hs.Close()
			list := func(n, from int, condition policy.Condition) (all []discovery.Host) {
				for i := range n {
					all = append(all, discovery.Host{HostEntry: policy.HostEntry{HostID: policy.HostID(fmt.Sprint("s-", from+i)), Condition: condition}, Addr: "127.0.0.1:1"})
				}
				return all
			}
			hs.ApplyList(discovery.List{Hosts: list(n, 0, policy.Up)})
			for i := 0; b.Loop(); i++ {
				hs.ApplyList(discovery.List{Hosts: append(list(n/2, i*n/2, policy.Gone), list(n/2, n+i*n/2, policy.Up)...)})
			}
		})
	}
}

// A host without connections needs no goroutine.
func TestNoGoroutinePerHost(t *testing.T) {
	hs := New(Config{Pool: pool.Config{Balancers: 350, MaxConnections: 378}}, -1)
	defer hs.Close()
	before := runtime.NumGoroutine()
	var all []discovery.Host
	for i := range 1025 {
		all = append(all, discovery.Host{HostEntry: policy.HostEntry{HostID: policy.HostID(fmt.Sprint("s-", i))}, Addr: "127.0.0.1:1"})
	}
	hs.ApplyList(discovery.List{Hosts: all})
	if n := runtime.NumGoroutine(); n > before {
		t.Errorf("%d goroutines, %d before", n, before)
	}
}

// BenchmarkTick measures the periodic work of an unused pool, which runs ten times a second.
func BenchmarkTick(b *testing.B) {
	for _, n := range []int{16, 200, 1024} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p := pool.New(poolActions{}, pool.Config{Balancers: 350, MaxConnections: 378}, func() float64 { return 0 })
			for i := range n {
				p.HostUp(0, pool.Host(fmt.Sprint("s-", i)), 0, false, 0)
			}
			for b.Loop() {
				p.Tick(policy.Second)
			}
		})
	}
}
