package balancer

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"streamrail/internal/deployment"
	"streamrail/internal/discovery"
	"streamrail/internal/operator"
	"streamrail/policy"
)

// fakeDiscovery plays discovery at a balancer's side over pipes, on the test's clock. Its list says one host is up, until it leaves.
type fakeDiscovery struct {
	mu        sync.Mutex
	began     time.Time
	draining  bool
	down      bool // takes no connection
	callTimes []time.Duration
	waits     []time.Duration // that each of these calls may wait
	changed   chan struct{}
	done      chan struct{}
	respond   func(n int, to net.Conn, text string) bool // the n-th call's answer; false: the connection is left as it is, silent
}

func (a *fakeDiscovery) list(after int) (text string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	version, state := 1, "active"
	if a.draining {
		version, state = 2, "leaving"
	}
	entry := fmt.Sprintf(`{"instanceId":"h","hostPort":"127.0.0.1:1","zone":"here","machineType":"cache","lifecycle":%q}`, state)
	if after == version {
		entry = ""
	}
	return fmt.Sprintf(`{"generation":%d,"reset":%v,"instances":[%s]}`, version, after < 0, entry)
}

func (a *fakeDiscovery) dial(context.Context, string, string) (net.Conn, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.down {
		return nil, errors.New("refused")
	}
	near, far := net.Pipe()
	go a.serve(far)
	return near, nil
}

func (a *fakeDiscovery) serve(c net.Conn) {
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		after, wait := -1, 0
		if s := r.URL.Query().Get("after"); s != "" {
			after, _ = strconv.Atoi(s)
			wait, _ = strconv.Atoi(r.URL.Query().Get("wait_ms"))
		}
		a.mu.Lock()
		a.callTimes, a.waits = append(a.callTimes, time.Since(a.began)), append(a.waits, time.Duration(wait)*time.Millisecond)
		n, news := len(a.callTimes), a.changed
		a.mu.Unlock()
		if strings.Contains(a.list(after), "[]") {
			select {
			case <-time.After(time.Duration(wait) * time.Millisecond):
			case <-news:
			case <-a.done:
				return
			}
		}
		text := a.list(after)
		text = fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
		if !a.respond(n, c, text) {
			io.Copy(io.Discard, in) // up to the end of the connection
			return
		}
	}
}

func (a *fakeDiscovery) change(of func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	of()
	close(a.changed)
	a.changed = make(chan struct{})
}

// newFollowingBalancer is a balancer that follows the agent's list and has it.
func newFollowingBalancer(t *testing.T, a *fakeDiscovery, mode string, grace time.Duration, seed uint64) *Balancer {
	told := &deployment.Deployment{Name: "n", Seed: seed, Sockets: 1024, MemoryMB: 192, DrainGrace: grace, ConnectTimeout: time.Second, IdleLimit: time.Minute,
		Zones: map[string]policy.Zone{"here": 0}, Kinds: map[string]policy.Kind{"cache": 0},
		Terms: policy.Terms{Balancers: 1, Products: make([]policy.ProductTerms, 1), MustSubscribe: mode == "asked", AskEvery: 10 * policy.Second, OriginKind: -1}}
	b := New(told, &operator.File{}, zerolog.Nop())
	b.listSource.dial = a.dial
	a.began, a.changed, a.done = time.Now(), make(chan struct{}), make(chan struct{})
	b.restoreHostList(nil)
	b.startWatch()
	<-b.listSource.ready
	return b
}

func (b *Balancer) avoidedHosts() (n int) {
	b.callPolicy(func() { _, n = b.policy.Fleet() })
	return n
}

// Whatever befalls calls to discovery, a host that leaves is left alone within the grace of six seconds after discovery had it
// and could be reached; at once where the agent has it, and lists are pushed.
func TestDrainingHostAvoidedInTime(t *testing.T) {
	whole := func(to net.Conn, text string) bool {
		_, err := io.WriteString(to, text)
		return err == nil
	}
	// from has what happens to the second call on, and so many more; the first brought the whole list.
	faultFrom2 := func(times int, does func(to net.Conn, text string) bool) func(int, net.Conn, string) bool {
		return func(n int, to net.Conn, text string) bool {
			if n >= 2 && n < 2+times {
				return does(to, text)
			}
			return whole(to, text)
		}
	}
	silent := func(net.Conn, string) bool { return false }
	refused := func(to net.Conn, text string) bool {
		return whole(to, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
	}
	ended := func(to net.Conn, text string) bool { to.Close(); return true }
	cut := func(to net.Conn, text string) bool { io.WriteString(to, text[:len(text)-40]); return false }
	cutOff := func(to net.Conn, text string) bool { io.WriteString(to, text[:len(text)-40]); to.Close(); return true }
	spoilt := func(to net.Conn, text string) bool {
		return whole(to, strings.Replace(text, "generation", "gen-ration", 1)) // of version 0, before the one at hand
	}
	pieces := func(each time.Duration) func(to net.Conn, text string) bool {
		return func(to net.Conn, text string) bool {
			for i := 0; i < len(text); i += 20 {
				time.Sleep(each)
				if _, err := io.WriteString(to, text[i:min(i+20, len(text))]); err != nil {
					return false
				}
			}
			return true
		}
	}
	const second = time.Second
	for name, row := range map[string]struct {
		pushed, asked bool
		respond       func(n int, to net.Conn, text string) bool
		leaves        time.Duration // from the start on
		downTo        time.Duration // the agent refuses connections from its leaving on up to then, when it is back
		atOnce        bool          // where lists are pushed it counts as told at once then
	}{
		"silent":                  {pushed: true, asked: true, respond: faultFrom2(1, silent), leaves: 5 * time.Millisecond},
		"silent, leaves late":     {pushed: true, asked: true, respond: faultFrom2(1, silent), leaves: second},
		"silent twice":            {pushed: true, respond: faultFrom2(2, silent), leaves: 5 * time.Millisecond},
		"turned away":             {pushed: true, asked: true, respond: faultFrom2(1, refused), leaves: second},
		"ended before an answer":  {pushed: true, asked: true, respond: faultFrom2(1, ended), leaves: second},
		"ended within an answer":  {pushed: true, asked: true, respond: faultFrom2(1, cutOff), leaves: second},
		"silent within an answer": {pushed: true, asked: true, respond: faultFrom2(1, cut), leaves: second},
		"spoilt":                  {pushed: true, asked: true, respond: faultFrom2(1, spoilt), leaves: second},
		"spoilt, then silent": {pushed: true, asked: true, respond: func(n int, to net.Conn, text string) bool {
			if n == 2 {
				return spoilt(to, text)
			}
			return n != 3 && whole(to, text)
		}, leaves: second},
		"in small pieces":   {pushed: true, asked: true, respond: faultFrom2(1, pieces(10*time.Millisecond)), leaves: second, atOnce: true},
		"in slow pieces":    {pushed: true, asked: true, respond: faultFrom2(1, pieces(400*time.Millisecond)), leaves: second},
		"away for long":     {pushed: true, asked: true, respond: faultFrom2(1, ended), leaves: second, downTo: 20 * second, atOnce: true},
		"away for a moment": {pushed: true, asked: true, respond: faultFrom2(1, ended), leaves: second, downTo: 1200 * time.Millisecond, atOnce: true},
		"away, then turned away": {pushed: true, respond: func(n int, to net.Conn, text string) bool {
			return map[int]func(net.Conn, string) bool{2: ended, 3: refused}[n] == nil && whole(to, text) || n == 2 && ended(to, text) || n == 3 && refused(to, text)
		}, leaves: second, downTo: 9 * second},
	} {
		for _, mode := range []string{"pushed", "asked"} {
			if mode == "pushed" && !row.pushed || mode == "asked" && !row.asked {
				continue
			}
			for _, grace := range []time.Duration{500 * time.Millisecond, time.Second, 3 * time.Second} {
				for seed := range 5 { // of the module, which draws when it asks again
					t.Run(fmt.Sprint(name, ", ", mode, ", ", grace, ", ", seed), func(t *testing.T) {
						synctest.Test(t, func(t *testing.T) {
							a := &fakeDiscovery{respond: row.respond}
							b := newFollowingBalancer(t, a, mode, grace, uint64(seed))
							defer close(a.done)
							defer b.hosts.Close()
							defer b.cancel()
							time.Sleep(time.Until(a.began.Add(row.leaves)))
							a.change(func() { a.draining, a.down = true, row.downTo > 0 })
							knownAt := row.leaves
							if row.downTo > 0 {
								time.Sleep(time.Until(a.began.Add(row.downTo)))
								a.change(func() { a.down = false })
								knownAt = row.downTo
							}
							if mode == "asked" || !row.atOnce {
								knownAt += 6 * time.Second
							}
							time.Sleep(time.Until(a.began.Add(knownAt + grace*9/10)))
							synctest.Wait()
							if b.avoidedHosts() != 1 {
								t.Errorf("not left alone %v after it leaves, told after %v; asked at %v", time.Since(a.began)-row.leaves, knownAt-row.leaves, a.callTimes)
							}
							a.mu.Lock()
							defer a.mu.Unlock()
							if n, most := len(a.callTimes), 5+int(time.Since(a.began)/(1750*time.Millisecond))+int(8*row.downTo/grace); n > most {
								t.Errorf("%d calls, at %v", n, a.callTimes)
							}
						})
					})
				}
			}
		}
	}
}

// A fleet's calls for the list, where each loads discovery: a quiet balancer's lie so far apart that 300 together stay under two
// in askEvery (10 s) from each and the half that a discovery takes at least, and no call is ever waited for beyond its time.
func TestDiscoveryCallRate(t *testing.T) {
	for _, grace := range []time.Duration{100 * time.Millisecond, time.Second, 10 * time.Second} {
		p := discovery.PaceOf(grace*9/10, false)
		if sum := p.Wait + p.Answer + p.Connect; sum > 6*time.Second {
			t.Errorf("grace %v: a silent watch is opened anew after %v", grace, sum)
		}
		if least := p.Wait * 7 / 8; 300/least.Seconds() > 300*3/10.0 {
			t.Errorf("grace %v: 300 balancers call %.0f times a second", grace, 300/least.Seconds())
		}
	}
	synctest.Test(t, func(t *testing.T) {
		a := &fakeDiscovery{respond: func(n int, to net.Conn, text string) bool { _, err := io.WriteString(to, text); return err == nil }}
		b := newFollowingBalancer(t, a, "asked", time.Second, 1)
		defer close(a.done)
		defer b.hosts.Close()
		defer b.cancel()
		time.Sleep(10 * time.Minute)
		a.mu.Lock()
		defer a.mu.Unlock()
		if n := len(a.callTimes); n > 175 {
			t.Errorf("%d calls in ten quiet minutes", n)
		}
	})
}

// A new configuration moves the list while the watch before is open, silent, or being made anew, and the first call at the new
// address gets no answer: what it has holds in the grace of four seconds after the signal where lists are pushed, of six where they
// are asked for.
func TestNewAddressFollowedInTime(t *testing.T) {
	for name, row := range map[string]struct {
		before, after func(n int) bool // whether the n-th call at the old address, and at the new one, is answered
	}{
		"open":             {func(int) bool { return true }, func(int) bool { return true }},
		"silent before":    {func(n int) bool { return n < 2 }, func(int) bool { return true }},
		"silent at first":  {func(int) bool { return true }, func(n int) bool { return n > 1 }},
		"silent at either": {func(n int) bool { return n < 2 }, func(n int) bool { return n > 1 }},
	} {
		for mode, limit := range map[string]time.Duration{"pushed": 4 * time.Second, "asked": 6 * time.Second} {
			for _, at := range []time.Duration{time.Millisecond, 1900 * time.Millisecond, 3 * time.Second, 5 * time.Second} {
				t.Run(fmt.Sprint(name, ", ", mode, ", ", at), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						const grace = time.Second
						answers := func(when func(int) bool) func(int, net.Conn, string) bool {
							return func(n int, to net.Conn, text string) bool {
								if !when(n) {
									return false
								}
								_, err := io.WriteString(to, text)
								return err == nil
							}
						}
						a := &fakeDiscovery{respond: answers(row.before)}
						b := newFollowingBalancer(t, a, mode, grace, 1)
						defer close(a.done)
						defer b.hosts.Close()
						defer b.cancel()
						time.Sleep(at)
						moved := &fakeDiscovery{respond: answers(row.after), draining: true, began: time.Now(), changed: make(chan struct{}), done: make(chan struct{})}
						defer close(moved.done)
						b.listSource.mu.Lock()
						b.listSource.dial = moved.dial
						b.listSource.mu.Unlock()
						to := *b.deployment
						to.Discovery = "moved"
						b.Reload(&to)
						time.Sleep(limit + grace*9/10)
						synctest.Wait()
						if b.avoidedHosts() != 1 {
							t.Errorf("not left alone; asked at %v", moved.callTimes)
						}
					})
				})
			}
		}
	}
}
