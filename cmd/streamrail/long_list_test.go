package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"testing"
	"time"
)

// TestLongLists checks that a balancer with thousands of hosts and a tenth of a core gives each request its one final answer in time,
// whatever event makes it apply a long list.
func TestLongLists(t *testing.T) {
	const coreShare, duration, tenth = 0.1, 8 * time.Second, longListHosts / 10
	for name, disturb := range map[string]func(r *longListRun){
		"replaced": func(r *longListRun) { r.discovery.replaceUntil(r.endsAt, longListHosts/4) },
		"killed": func(r *longListRun) {
			go r.discovery.replaceUntil(r.endsAt, tenth)
			time.Sleep(duration / 2)
			r.killAndRestart()
		},
		"released": func(r *longListRun) {
			go r.discovery.replaceUntil(r.endsAt, tenth)
			time.Sleep(duration / 4)
			r.restartGracefully()
		},
		"upgraded": func(r *longListRun) {
			go r.discovery.replaceUntil(r.endsAt, tenth)
			time.Sleep(duration / 4)
			r.upgrade()
		},
		"reloaded": func(r *longListRun) {
			for time.Now().Before(r.endsAt) {
				r.reload()
				time.Sleep(700 * time.Millisecond)
			}
		},
		"discovery away": func(r *longListRun) {
			time.Sleep(duration / 8)
			r.outage(duration/4, longListHosts/2)
			r.outage(duration/4, longListHosts/2)
		},
		"hosts hang": func(r *longListRun) {
			go r.discovery.replaceUntil(r.endsAt, tenth)
			for i := int32(1); time.Now().Before(r.endsAt); i = i%6 + 1 {
				r.discovery.hangingHost.Store(i)
				time.Sleep(time.Second)
			}
		},
		"held up": func(r *longListRun) {
			go r.discovery.replaceUntil(r.endsAt, tenth)
			for time.Now().Before(r.endsAt) {
				r.process.stall(150 * time.Millisecond)
				time.Sleep(500 * time.Millisecond)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newLongListRun(t, longListHosts, coreShare, longListRequestInterval, duration)
			r.runClients(func() { disturb(r) })
		})
	}
}

// soakVariable is the environment variable that holds the number of seeds of the soak tests and, optionally, the first seed:
// "50" or "50 101".
const soakVariable = "STREAMRAIL_SOAK"

// soakSeeds returns the number of seeds of a soak test and the first seed.
func soakSeeds() (seeds, first int) {
	seeds, first = 2, 1
	if text := os.Getenv(soakVariable); text != "" {
		fmt.Sscan(text, &seeds, &first)
	}
	return seeds, first
}

// runSoak runs a soak test once for each seed.
func runSoak(t *testing.T, soak func(t *testing.T, seed uint64)) {
	seeds, first := soakSeeds()
	for seed := first; seed < first+seeds; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			soak(t, uint64(seed))
		})
	}
}

// TestLongListSoak draws from a seed the number of hosts, the balancer's share of a core and the sequence of disturbances.
func TestLongListSoak(t *testing.T) {
	runSoak(t, func(t *testing.T, seed uint64) { soakLongList(t, rand.New(rand.NewPCG(seed, 0))) })
}

func soakLongList(t *testing.T, rng *rand.Rand) {
	const duration = 20 * time.Second
	hosts := []int{200, 1000, longListHosts}[rng.IntN(3)]
	coreShare := []float64{0.05, 0.1, 0.3, 1}[rng.IntN(4)]
	requestInterval := []time.Duration{longListRequestInterval, 5 * longListRequestInterval}[rng.IntN(2)]
	r := newLongListRun(t, hosts, coreShare, requestInterval, duration)
	r.Logf("%d hosts, %v of a core, one request per client every %v", hosts, coreShare, requestInterval)
	idleClients := rng.IntN(3) == 0
	r.runClients(func() {
		if idleClients { // connections that stay open and idle
			for range 100 {
				if c, err := net.Dial("tcp", r.listenAddr); err == nil {
					defer c.Close()
				}
			}
		}
		for time.Until(r.endsAt) > 6*time.Second {
			r.Logf("%v left", time.Until(r.endsAt).Round(time.Millisecond))
			r.discovery.hangingHost.Store(int32(rng.IntN(12) - 5)) // 1 to 6 in half of the draws, otherwise no stand-in hangs
			switch rng.IntN(7) {
			case 0:
				r.killAndRestart()
			case 1:
				r.restartGracefully()
			case 2:
				r.upgrade()
			case 3:
				for range 1 + rng.IntN(5) {
					r.reload()
					time.Sleep(time.Duration(rng.IntN(500)) * time.Millisecond)
				}
			case 4:
				r.outage(time.Duration(rng.IntN(3000))*time.Millisecond, hosts/2)
			case 5:
				for range 1 + rng.IntN(5) {
					r.process.stall(time.Duration(rng.IntN(150)) * time.Millisecond)
					time.Sleep(300 * time.Millisecond)
				}
			case 6:
				r.discovery.changeHosts(hosts/4, hosts/4, []string{"leaving", "left"}[rng.IntN(2)])
			}
			time.Sleep(time.Duration(rng.IntN(1000)) * time.Millisecond)
		}
	})
}
