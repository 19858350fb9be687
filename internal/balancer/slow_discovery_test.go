package balancer

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// answer sends an answer of a fakeDiscovery; false if the connection has been closed.
func answer(to net.Conn, text string) bool {
	_, err := io.WriteString(to, text)
	return err == nil
}

// isWhole reports whether an answer contains the whole list.
func isWhole(text string) bool { return strings.Contains(text, `"reset":true`) }

// slowWhole answers each request for the whole list after a delay and other requests at once. The first requests are not answered.
func slowWhole(delay time.Duration, unanswered int) func(int, net.Conn, string) bool {
	return func(n int, to net.Conn, text string) bool {
		if n <= unanswered {
			return false
		}
		if isWhole(text) {
			time.Sleep(delay)
		}
		return answer(to, text)
	}
}

// moveTo reloads the configuration with the address of another discovery, which lists the host as leaving.
func (b *Balancer) moveTo(respond func(int, net.Conn, string) bool) *fakeDiscovery {
	moved := &fakeDiscovery{respond: respond, draining: true, began: time.Now(), changed: make(chan struct{}), done: make(chan struct{})}
	b.listSource.mu.Lock()
	b.listSource.dial = moved.dial
	b.listSource.mu.Unlock()
	to := *b.deployment
	to.Discovery = "moved"
	b.Reload(&to)
	return moved
}

// endFollowing ends a balancer and its stand-ins, and waits for the answers that are still being held back.
func endFollowing(b *Balancer, stands ...*fakeDiscovery) {
	b.cancel()
	b.hosts.Close()
	for _, d := range stands {
		close(d.done)
	}
	time.Sleep(10 * time.Minute)
}

// TestSlowNewAddressHeard guards against giving up each call for the whole list after the same time: at a new address that takes longer
// than that, a leaving host was never heard of.
func TestSlowNewAddressHeard(t *testing.T) {
	const grace, second = time.Second, time.Second
	for name, row := range map[string]struct {
		mode       string
		delay      time.Duration // of each whole list
		unanswered int           // requests that are never answered
		knownAfter time.Duration // since the reload
	}{
		"pushed, 3.5 s":                      {"pushed", 3500 * time.Millisecond, 0, 4*second + grace*9/10},
		"asked, 3.5 s":                       {"asked", 3500 * time.Millisecond, 0, 6 * second},
		"asked, 5.5 s":                       {"asked", 5500 * time.Millisecond, 0, 6 * second},
		"asked, 20 s":                        {"asked", 20 * second, 0, 20*second + grace},
		"asked, one unanswered, then 3.5 s":  {"asked", 3500 * time.Millisecond, 1, 6*second + grace*9/10},
		"asked, one unanswered, then 9 s":    {"asked", 9 * second, 1, 3*second + 9*second + grace},
		"pushed, two unanswered, then 5 s":   {"pushed", 5 * second, 2, 6*second + 5*second + grace},
		"asked, four unanswered, then 9 s":   {"asked", 9 * second, 4, time.Minute},
		"pushed, four unanswered, then 20 s": {"pushed", 20 * second, 4, 2 * time.Minute},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := &fakeDiscovery{respond: slowWhole(0, 0)}
				b := newFollowingBalancer(t, d, row.mode, grace, 1)
				moved := b.moveTo(slowWhole(row.delay, row.unanswered))
				defer endFollowing(b, d, moved)
				time.Sleep(row.knownAfter)
				synctest.Wait()
				if b.avoidedHosts() != 1 {
					t.Errorf("host not avoided %v after the reload; requests at %v", row.knownAfter, moved.requestTimes)
				}
			})
		})
	}
}

// TestSlowFirstListHeard guards against a start with no list at a discovery that takes longer than a call's timeout: it never served.
func TestSlowFirstListHeard(t *testing.T) {
	for _, mode := range []string{"pushed", "asked"} {
		for _, delay := range []time.Duration{3500 * time.Millisecond, 7 * time.Second, 20 * time.Second} {
			t.Run(fmt.Sprint(mode, ", ", delay), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					d := &fakeDiscovery{respond: slowWhole(delay, 0), began: time.Now(), changed: make(chan struct{}), done: make(chan struct{})}
					b := startFollowing(d.dial, mode, time.Second, 1)
					defer endFollowing(b, d)
					select {
					case <-b.listSource.ready:
					case <-time.After(delay + 100*time.Millisecond):
						t.Errorf("no list %v after the start; requests at %v", delay, d.requestTimes)
					}
				})
			})
		}
	}
}

// TestStoppedFirstListsAskedAgain guards against a start that goes on waiting for two lists that came slowly and have stopped.
func TestStoppedFirstListsAskedAgain(t *testing.T) {
	for _, mode := range []string{"pushed", "asked"} {
		t.Run(mode, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := &fakeDiscovery{began: time.Now(), changed: make(chan struct{}), done: make(chan struct{}), respond: func(n int, to net.Conn, text string) bool {
					if n > 2 {
						return answer(to, text)
					}
					for i := range 20 {
						answer(to, text[i:i+1])
						time.Sleep(time.Second)
					}
					return false
				}}
				b := startFollowing(d.dial, mode, time.Second, 1)
				defer endFollowing(b, d)
				select {
				case <-b.listSource.ready:
				case <-time.After(40 * time.Second): // the second one stops after 28 s at the latest, and the policy takes up to 5 s
					t.Errorf("no list; requests at %v", d.requestTimes)
				}
			})
		})
	}
}

// TestSlowWatchHeard guards against giving up each watch after the same time: where every answer to a watch came later than that, no
// change was ever heard of.
func TestSlowWatchHeard(t *testing.T) {
	const delay, grace = 3 * time.Second, time.Second
	for _, mode := range []string{"pushed", "asked"} {
		t.Run(mode, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := &fakeDiscovery{respond: func(n int, to net.Conn, text string) bool {
					if !isWhole(text) {
						time.Sleep(delay)
					}
					return answer(to, text)
				}}
				b := newFollowingBalancer(t, d, mode, grace, 1)
				defer endFollowing(b, d)
				time.Sleep(10 * time.Second)
				d.change(func() { d.draining = true })
				time.Sleep(6*time.Second + grace*9/10)
				synctest.Wait()
				if b.avoidedHosts() != 1 {
					t.Errorf("host not avoided; requests at %v", d.requestTimes)
				}
			})
		})
	}
}

// TestSlowListAfterUnknownGeneration guards against giving up the whole list that is needed when discovery no longer knows the generation
// that a watch names.
func TestSlowListAfterUnknownGeneration(t *testing.T) {
	const delay, drainAt, grace = 4500 * time.Millisecond, time.Second, time.Second
	for _, mode := range []string{"pushed", "asked"} {
		t.Run(mode, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := &fakeDiscovery{respond: func(n int, to net.Conn, text string) bool {
					if n > 1 && !isWhole(text) {
						return answer(to, "HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n")
					}
					if n > 1 {
						time.Sleep(delay)
					}
					return answer(to, text)
				}}
				b := newFollowingBalancer(t, d, mode, grace, 1)
				defer endFollowing(b, d)
				time.Sleep(drainAt)
				d.change(func() { d.draining = true })
				time.Sleep(6*time.Second + grace*9/10)
				synctest.Wait()
				if b.avoidedHosts() != 1 {
					t.Errorf("host not avoided; requests at %v", d.requestTimes)
				}
			})
		})
	}
}

// TestOpenCallsBounded checks how many calls one balancer has open at a discovery that never answers, and makes there, and that none is
// left open after a move to another address or at the end.
func TestOpenCallsBounded(t *testing.T) {
	for mode, mostOpen := range map[string]int64{"pushed": 6, "asked": 5} {
		t.Run(mode, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := &fakeDiscovery{respond: slowWhole(0, 0)}
				b := newFollowingBalancer(t, d, mode, time.Second, 1)
				var open atomic.Int64
				moved := b.moveTo(func(n int, to net.Conn, text string) bool {
					open.Add(1)
					go func() {
						io.Copy(io.Discard, to) // until the balancer closes it
						open.Add(-1)
					}()
					return false
				})
				defer endFollowing(b, d, moved)
				for second := range 10 * 60 {
					time.Sleep(time.Second)
					synctest.Wait()
					moved.mu.Lock()
					made := len(moved.requestTimes)
					moved.mu.Unlock()
					if made > second/3+2 || open.Load() > mostOpen {
						t.Fatalf("%d calls in %d s, %d open (at most %d)", made, second+1, open.Load(), mostOpen)
					}
				}
				b.cancel()
				synctest.Wait()
				if open.Load() != 0 {
					t.Errorf("%d calls open after the end", open.Load())
				}
			})
		})
	}
}

// lineByLine returns a whole list with a leaving host and many lines behind it, and sends it at a number of lines a second.
func lineByLine(lines, perSecond int) func(int, net.Conn, string) bool {
	return func(n int, to net.Conn, text string) bool {
		if !isWhole(text) {
			return answer(to, text)
		}
		entries := []string{`{"generation":2,"reset":true,"instances":[` + hostLine("h", "leaving")}
		for i := range lines {
			entries = append(entries, ",\n"+hostLine(fmt.Sprint("h", i), "active"))
		}
		entries = append(entries, "]}")
		if !answer(to, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(strings.Join(entries, "")))) {
			return false
		}
		for _, entry := range entries {
			if !answer(to, entry) {
				return false
			}
			time.Sleep(time.Second / time.Duration(perSecond))
		}
		return true
	}
}

func hostLine(id, lifecycle string) string {
	return fmt.Sprintf(`{"instanceId":%q,"hostPort":"127.0.0.1:1","zone":"here","machineType":"cache","cell":0,"lifecycle":%q,"weight":1,"startedAtMs":0}`, id, lifecycle)
}

// TestSteadyLongListHeard guards against giving up a list that comes steadily because the whole of it takes longer than a fixed time, and
// against more calls beside it, which make a busy discovery slower still.
func TestSteadyLongListHeard(t *testing.T) {
	for _, mode := range []string{"pushed", "asked"} {
		for _, row := range []struct{ lines, perSecond int }{{2800, 400}, {8000, 200}} {
			t.Run(fmt.Sprint(mode, ", ", row.lines, " lines"), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					d := &fakeDiscovery{respond: slowWhole(0, 0)}
					b := newFollowingBalancer(t, d, mode, time.Second, 1)
					moved := b.moveTo(lineByLine(row.lines, row.perSecond))
					defer endFollowing(b, d, moved)
					time.Sleep(time.Duration(row.lines)*time.Second/time.Duration(row.perSecond) + time.Second)
					synctest.Wait()
					b.listSource.mu.Lock()
					defer b.listSource.mu.Unlock()
					moved.mu.Lock()
					defer moved.mu.Unlock()
					if n := len(b.listSource.hosts); n != row.lines+1 || moved.waits[0] > 0 || len(moved.waits) > 1 && moved.waits[1] == 0 {
						t.Errorf("%d hosts known, expected %d; requests at %v, with waits %v", n, row.lines+1, moved.requestTimes, moved.waits)
					}
				})
			})
		}
	}
}

// TestStoppedListAskedAgain checks that a list that stops, or comes too slowly to be of use, does not keep a second call from being made.
func TestStoppedListAskedAgain(t *testing.T) {
	const grace = time.Second
	for name, firstAnswer := range map[string]func(to net.Conn, text string){
		"stops": func(to net.Conn, text string) { answer(to, text[:len(text)-40]) },
		"trickles": func(to net.Conn, text string) {
			for i := range text[:len(text)-40] {
				time.Sleep(time.Second)
				answer(to, text[i:i+1])
			}
		},
	} {
		for mode, limit := range map[string]time.Duration{"pushed": 4 * time.Second, "asked": 6 * time.Second} {
			if name == "trickles" {
				limit = 6 * time.Second
			}
			t.Run(name+", "+mode, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					d := &fakeDiscovery{respond: slowWhole(0, 0)}
					b := newFollowingBalancer(t, d, mode, grace, 1)
					moved := b.moveTo(func(n int, to net.Conn, text string) bool {
						if n == 1 {
							firstAnswer(to, text)
							return false
						}
						return answer(to, text)
					})
					defer endFollowing(b, d, moved)
					time.Sleep(limit + grace*9/10)
					synctest.Wait()
					if b.avoidedHosts() != 1 {
						t.Errorf("host not avoided; requests at %v", moved.requestTimes)
					}
				})
			})
		}
	}
}

// TestLeavingHostOfUnfinishedList guards against waiting for the end of a long list: its lines say already which hosts leave, and the
// end may come later than the time by which that must be known, or never.
func TestLeavingHostOfUnfinishedList(t *testing.T) {
	for _, mode := range []string{"pushed", "asked"} {
		for name, respond := range map[string]func(int, net.Conn, string) bool{
			"slow": lineByLine(4000, 400),
			"stops": func(n int, to net.Conn, text string) bool {
				answer(to, text[:len(text)-2])
				return false
			},
			"cut off": func(n int, to net.Conn, text string) bool {
				if n == 1 {
					answer(to, text[:len(text)-2])
					time.Sleep(time.Second)
				}
				return false
			},
		} {
			t.Run(mode+", "+name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					d := &fakeDiscovery{respond: slowWhole(0, 0)}
					b := newFollowingBalancer(t, d, mode, time.Second, 1)
					moved := b.moveTo(respond)
					defer endFollowing(b, d, moved)
					for _, at := range []time.Duration{300 * time.Millisecond, 5 * time.Second} {
						time.Sleep(time.Until(moved.began.Add(at)))
						synctest.Wait()
						if b.avoidedHosts() != 1 {
							t.Errorf("host not avoided %v after the reload; requests at %v", at, moved.requestTimes)
						}
					}
				})
			})
		}
	}
}
