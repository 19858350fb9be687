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

// fakeDiscovery is a stand-in for discovery that is reached over pipes and uses the test's clock. Its list has one host, which is active
// until the test sets draining.
type fakeDiscovery struct {
	mu           sync.Mutex
	began        time.Time
	draining     bool
	down         bool // refuses connections
	requestTimes []time.Duration
	waits        []time.Duration // the longest time for which each request may wait
	changed      chan struct{}
	done         chan struct{}
	respond      func(n int, to net.Conn, text string) bool // sends the answer to the n-th request; false: the connection stays open without a further answer
}

func (d *fakeDiscovery) list(after int) (text string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	version, state := 1, "active"
	if d.draining {
		version, state = 2, "leaving"
	}
	entry := fmt.Sprintf(`{"instanceId":"h","hostPort":"127.0.0.1:1","zone":"here","machineType":"cache","lifecycle":%q}`, state)
	if after == version {
		entry = ""
	}
	return fmt.Sprintf(`{"generation":%d,"reset":%v,"instances":[%s]}`, version, after < 0, entry)
}

func (d *fakeDiscovery) dial(context.Context, string, string) (net.Conn, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.down {
		return nil, errors.New("refused")
	}
	near, far := net.Pipe()
	go d.serve(far)
	return near, nil
}

func (d *fakeDiscovery) serve(c net.Conn) {
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
		d.mu.Lock()
		d.requestTimes, d.waits = append(d.requestTimes, time.Since(d.began)), append(d.waits, time.Duration(wait)*time.Millisecond)
		n, changed := len(d.requestTimes), d.changed
		d.mu.Unlock()
		if strings.Contains(d.list(after), "[]") {
			select {
			case <-time.After(time.Duration(wait) * time.Millisecond):
			case <-changed:
			case <-d.done:
				return
			}
		}
		text := d.list(after)
		text = fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
		if !d.respond(n, c, text) {
			io.Copy(io.Discard, in) // until the connection ends
			return
		}
	}
}

func (d *fakeDiscovery) change(apply func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	apply()
	close(d.changed)
	d.changed = make(chan struct{})
}

// newFollowingBalancer returns a balancer that follows the host list of a fakeDiscovery and has received it.
func newFollowingBalancer(t *testing.T, d *fakeDiscovery, mode string, grace time.Duration, seed uint64) *Balancer {
	d.began, d.changed, d.done = time.Now(), make(chan struct{}), make(chan struct{})
	b := startFollowing(d.dial, mode, grace, seed)
	<-b.listSource.ready
	return b
}

// startFollowing returns a balancer that begins to follow the host list of the discovery that dial reaches, and has none yet.
func startFollowing(dial func(context.Context, string, string) (net.Conn, error), mode string, grace time.Duration, seed uint64) *Balancer {
	deployed := &deployment.Deployment{Name: "n", Seed: seed, MaxSockets: 1024, MemoryMB: 192, DrainGrace: grace, ConnectTimeout: time.Second, IdleTimeout: time.Minute,
		Zones: map[string]policy.Zone{"here": 0}, Kinds: map[string]policy.MachineKind{"cache": 0},
		PolicyConfig: policy.Config{Balancers: 1, Products: make([]policy.ProductConfig, 1), MustSubscribe: mode == "asked", SubscribeInterval: 10 * policy.Second, OriginKind: -1}}
	b := New(deployed, &operator.File{}, zerolog.Nop())
	b.listSource.dial = dial
	b.restoreHostList(nil)
	b.startWatch(!b.deployment.PolicyConfig.MustSubscribe)
	return b
}

func (b *Balancer) avoidedHosts() (n int) {
	b.callPolicy(func() { _, n = b.policy.HostCounts() })
	return n
}

// TestDrainingHostAvoidedInTime makes requests to discovery fail in many ways while a host starts to drain. The balancer must avoid the
// host at most six seconds and most of the grace after discovery lists it as draining and can be reached; with pushed lists, some
// faults allow only the grace.
func TestDrainingHostAvoidedInTime(t *testing.T) {
	sendAll := func(to net.Conn, text string) bool {
		_, err := io.WriteString(to, text)
		return err == nil
	}
	// faultsFromSecond injects a fault into the given number of requests from the second on; the first one returns the complete list.
	faultsFromSecond := func(times int, fault func(to net.Conn, text string) bool) func(int, net.Conn, string) bool {
		return func(n int, to net.Conn, text string) bool {
			if n >= 2 && n < 2+times {
				return fault(to, text)
			}
			return sendAll(to, text)
		}
	}
	silent := func(net.Conn, string) bool { return false }
	refused := func(to net.Conn, text string) bool {
		return sendAll(to, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
	}
	ended := func(to net.Conn, text string) bool { to.Close(); return true }
	truncated := func(to net.Conn, text string) bool { io.WriteString(to, text[:len(text)-40]); return false }
	truncatedAndClosed := func(to net.Conn, text string) bool { io.WriteString(to, text[:len(text)-40]); to.Close(); return true }
	damaged := func(to net.Conn, text string) bool {
		return sendAll(to, strings.Replace(text, "generation", "gen-ration", 1)) // read as generation 0, which is older than the known list
	}
	inPieces := func(each time.Duration) func(to net.Conn, text string) bool {
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
		drainsAt      time.Duration // since the start
		downTo        time.Duration // discovery refuses connections from drainsAt until then; 0: it does not
		atOnce        bool          // with pushed lists, the change must be known as soon as discovery has it and can be reached
	}{
		"silent":                  {pushed: true, asked: true, respond: faultsFromSecond(1, silent), drainsAt: 5 * time.Millisecond},
		"silent, leaves late":     {pushed: true, asked: true, respond: faultsFromSecond(1, silent), drainsAt: second},
		"silent twice":            {pushed: true, respond: faultsFromSecond(2, silent), drainsAt: 5 * time.Millisecond},
		"turned away":             {pushed: true, asked: true, respond: faultsFromSecond(1, refused), drainsAt: second},
		"ended before an answer":  {pushed: true, asked: true, respond: faultsFromSecond(1, ended), drainsAt: second},
		"ended within an answer":  {pushed: true, asked: true, respond: faultsFromSecond(1, truncatedAndClosed), drainsAt: second},
		"silent within an answer": {pushed: true, asked: true, respond: faultsFromSecond(1, truncated), drainsAt: second},
		"spoilt":                  {pushed: true, asked: true, respond: faultsFromSecond(1, damaged), drainsAt: second},
		"spoilt, then silent": {pushed: true, asked: true, respond: func(n int, to net.Conn, text string) bool {
			if n == 2 {
				return damaged(to, text)
			}
			return n != 3 && sendAll(to, text)
		}, drainsAt: second},
		"in small pieces":   {pushed: true, asked: true, respond: faultsFromSecond(1, inPieces(10*time.Millisecond)), drainsAt: second, atOnce: true},
		"in slow pieces":    {pushed: true, asked: true, respond: faultsFromSecond(1, inPieces(400*time.Millisecond)), drainsAt: second},
		"away for long":     {pushed: true, asked: true, respond: faultsFromSecond(1, ended), drainsAt: second, downTo: 20 * second, atOnce: true},
		"away for a moment": {pushed: true, asked: true, respond: faultsFromSecond(1, ended), drainsAt: second, downTo: 1200 * time.Millisecond, atOnce: true},
		"away, then turned away": {pushed: true, respond: func(n int, to net.Conn, text string) bool {
			return map[int]func(net.Conn, string) bool{2: ended, 3: refused}[n] == nil && sendAll(to, text) || n == 2 && ended(to, text) || n == 3 && refused(to, text)
		}, drainsAt: second, downTo: 9 * second},
	} {
		for _, mode := range []string{"pushed", "asked"} {
			if mode == "pushed" && !row.pushed || mode == "asked" && !row.asked {
				continue
			}
			for _, grace := range []time.Duration{500 * time.Millisecond, time.Second, 3 * time.Second} {
				for seed := range 5 { // of the policy, which draws the delay of its next request
					t.Run(fmt.Sprint(name, ", ", mode, ", ", grace, ", ", seed), func(t *testing.T) {
						synctest.Test(t, func(t *testing.T) {
							d := &fakeDiscovery{respond: row.respond}
							b := newFollowingBalancer(t, d, mode, grace, uint64(seed))
							defer close(d.done)
							defer b.hosts.Close()
							defer b.cancel()
							time.Sleep(time.Until(d.began.Add(row.drainsAt)))
							d.change(func() { d.draining, d.down = true, row.downTo > 0 })
							knownAt := row.drainsAt
							if row.downTo > 0 {
								time.Sleep(time.Until(d.began.Add(row.downTo)))
								d.change(func() { d.down = false })
								knownAt = row.downTo
							}
							if mode == "asked" || !row.atOnce {
								knownAt += 6 * time.Second
							}
							time.Sleep(time.Until(d.began.Add(knownAt + grace*9/10)))
							synctest.Wait()
							if b.avoidedHosts() != 1 {
								t.Errorf("host not avoided %v after it began to drain, known after %v; requests at %v", time.Since(d.began)-row.drainsAt, knownAt-row.drainsAt, d.requestTimes)
							}
							d.mu.Lock()
							defer d.mu.Unlock()
							if n, most := len(d.requestTimes), 5+int(time.Since(d.began)/(1750*time.Millisecond))+int(8*row.downTo/grace); n > most {
								t.Errorf("%d requests to discovery, at %v", n, d.requestTimes)
							}
						})
					})
				}
			}
		}
	}
}

// TestDiscoveryRequestRate bounds the load on discovery where the policy subscribes: without changes, 300 balancers must make at most three
// requests each in 10 s, and a watch without an answer must be reopened within six seconds.
func TestDiscoveryRequestRate(t *testing.T) {
	for _, grace := range []time.Duration{100 * time.Millisecond, time.Second, 10 * time.Second} {
		p := discovery.NewTimeouts(grace*9/10, false)
		if sum := p.LongPoll + p.ResponseGrace + p.Connect; sum > 6*time.Second {
			t.Errorf("grace %v: a watch without an answer is reopened after %v", grace, sum)
		}
		if minInterval := p.LongPoll * 7 / 8; 300/minInterval.Seconds() > 300*3/10.0 {
			t.Errorf("grace %v: 300 balancers send %.0f requests a second", grace, 300/minInterval.Seconds())
		}
	}
	synctest.Test(t, func(t *testing.T) {
		d := &fakeDiscovery{respond: func(n int, to net.Conn, text string) bool { _, err := io.WriteString(to, text); return err == nil }}
		b := newFollowingBalancer(t, d, "asked", time.Second, 1)
		defer close(d.done)
		defer b.hosts.Close()
		defer b.cancel()
		time.Sleep(10 * time.Minute)
		d.mu.Lock()
		defer d.mu.Unlock()
		if n := len(d.requestTimes); n > 175 {
			t.Errorf("%d requests in ten minutes without changes", n)
		}
	})
}

// TestNewAddressFollowedInTime reloads the configuration with a new discovery address while the previous watch is open, silent or being
// reopened, and also with a first request to the new address that gets no answer. The new list must be in force within the grace and four
// seconds after the reload with pushed lists, and within the grace and six seconds otherwise.
func TestNewAddressFollowedInTime(t *testing.T) {
	for name, row := range map[string]struct {
		before, after func(n int) bool // whether the n-th request at the old address, and at the new one, is answered
	}{
		"open":             {func(int) bool { return true }, func(int) bool { return true }},
		"silent before":    {func(n int) bool { return n < 2 }, func(int) bool { return true }},
		"silent at first":  {func(int) bool { return true }, func(n int) bool { return n > 1 }},
		"silent at either": {func(n int) bool { return n < 2 }, func(n int) bool { return n > 1 }},
	} {
		for mode, limit := range map[string]time.Duration{"pushed": 4 * time.Second, "asked": 6 * time.Second} {
			for _, reloadAt := range []time.Duration{time.Millisecond, 1900 * time.Millisecond, 3 * time.Second, 5 * time.Second} {
				t.Run(fmt.Sprint(name, ", ", mode, ", ", reloadAt), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						const grace = time.Second
						answers := func(isAnswered func(int) bool) func(int, net.Conn, string) bool {
							return func(n int, to net.Conn, text string) bool {
								if !isAnswered(n) {
									return false
								}
								_, err := io.WriteString(to, text)
								return err == nil
							}
						}
						d := &fakeDiscovery{respond: answers(row.before)}
						b := newFollowingBalancer(t, d, mode, grace, 1)
						defer close(d.done)
						defer b.hosts.Close()
						defer b.cancel()
						time.Sleep(reloadAt)
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
							t.Errorf("host not avoided; requests at %v", moved.requestTimes)
						}
					})
				})
			}
		}
	}
}
