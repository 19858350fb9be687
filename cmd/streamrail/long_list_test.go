package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"testing"
	"time"
)

// TestLongLists holds a balancer with thousands of hosts and a tenth of a core to its one final answer in time, whatever makes it
// apply a long list.
func TestLongLists(t *testing.T) {
	const share, duration, tenth = 0.1, 8 * time.Second, longListHosts / 10
	for name, happens := range map[string]func(r *longListRun){
		"replaced": func(r *longListRun) { r.list.replaceUntil(r.end, longListHosts/4) },
		"killed": func(r *longListRun) {
			go r.list.replaceUntil(r.end, tenth)
			time.Sleep(duration / 2)
			r.restart()
		},
		"released": func(r *longListRun) {
			go r.list.replaceUntil(r.end, tenth)
			time.Sleep(duration / 4)
			r.release()
		},
		"upgraded": func(r *longListRun) {
			go r.list.replaceUntil(r.end, tenth)
			time.Sleep(duration / 4)
			r.upgrade()
		},
		"reloaded": func(r *longListRun) {
			for time.Now().Before(r.end) {
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
			go r.list.replaceUntil(r.end, tenth)
			for i := int32(1); time.Now().Before(r.end); i = i%6 + 1 {
				r.list.hangs.Store(i)
				time.Sleep(time.Second)
			}
		},
		"held up": func(r *longListRun) {
			go r.list.replaceUntil(r.end, tenth)
			for time.Now().Before(r.end) {
				r.process.stall(150 * time.Millisecond)
				time.Sleep(500 * time.Millisecond)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newLongListRun(t, longListHosts, share, longListEvery, duration)
			r.play(func() { happens(r) })
		})
	}
}

// soakSeeds tells how many seeds the soak plays, from which one on, where it is started by hand: "50" or "50 101".
const soakSeeds = "STREAMRAIL_SOAK"

// TestLongListSoak draws by a seed what happens to a balancer one after the other, how many hosts there are and its share of a core.
func TestLongListSoak(t *testing.T) {
	seeds, first := 2, 1
	if text := os.Getenv(soakSeeds); text != "" {
		fmt.Sscan(text, &seeds, &first)
	}
	for seed := first; seed < first+seeds; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			soakLongList(t, rand.New(rand.NewPCG(uint64(seed), 0)))
		})
	}
}

func soakLongList(t *testing.T, chance *rand.Rand) {
	const duration = 20 * time.Second
	hosts := []int{200, 1000, longListHosts}[chance.IntN(3)]
	share := []float64{0.05, 0.1, 0.3, 1}[chance.IntN(4)]
	every := []time.Duration{longListEvery, 5 * longListEvery}[chance.IntN(2)]
	r := newLongListRun(t, hosts, share, every, duration)
	r.Logf("%d hosts, %v of a core, a request of a client every %v", hosts, share, every)
	crowd := chance.IntN(3) == 0
	r.play(func() {
		if crowd { // idle connections that stay
			for range 100 {
				if c, err := net.Dial("tcp", r.listen); err == nil {
					defer c.Close()
				}
			}
		}
		for time.Until(r.end) > 6*time.Second {
			r.Logf("%v left", time.Until(r.end).Round(time.Millisecond))
			r.list.hangs.Store(int32(chance.IntN(12) - 5)) // none of them, more often than not
			switch chance.IntN(7) {
			case 0:
				r.restart()
			case 1:
				r.release()
			case 2:
				r.upgrade()
			case 3:
				for range 1 + chance.IntN(5) {
					r.reload()
					time.Sleep(time.Duration(chance.IntN(500)) * time.Millisecond)
				}
			case 4:
				r.outage(time.Duration(chance.IntN(3000))*time.Millisecond, hosts/2)
			case 5:
				for range 1 + chance.IntN(5) {
					r.process.stall(time.Duration(chance.IntN(150)) * time.Millisecond)
					time.Sleep(300 * time.Millisecond)
				}
			case 6:
				r.list.change(hosts/4, hosts/4, []string{"leaving", "left"}[chance.IntN(2)])
			}
			time.Sleep(time.Duration(chance.IntN(1000)) * time.Millisecond)
		}
	})
}
