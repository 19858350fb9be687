package pool

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"streamrail/policy"
)

const ms, s = policy.Millisecond, policy.Second

// actionLog implements Actions. It records the calls as text and checks the rules that every call must keep.
type actionLog struct {
	text      strings.Builder
	fault     string
	conns     map[Conn]string // state of each open connection
	host      map[Conn]Host
	attemptOn map[Conn]Attempt
	attempts  map[Attempt]string // state of each attempt
	opens     []Conn
}

func newActionLog() *actionLog {
	return &actionLog{conns: map[Conn]string{}, host: map[Conn]Host{}, attemptOn: map[Conn]Attempt{}, attempts: map[Attempt]string{}}
}

func (l *actionLog) fail(format string, args ...any) {
	if l.fault == "" {
		l.fault = fmt.Sprintf(format, args...)
	}
}

func (l *actionLog) Open(h Host, c Conn) {
	fmt.Fprintf(&l.text, "open %s%d ", h, c)
	if _, twice := l.conns[c]; twice {
		l.fail("connection %d is opened twice", c)
	}
	l.conns[c], l.host[c] = "opening", h
	l.opens = append(l.opens, c)
}

func (l *actionLog) Send(c Conn, a Attempt) {
	fmt.Fprintf(&l.text, "carry %d/%d ", a, c)
	if l.conns[c] != "up" {
		l.fail("attempt %d is sent over connection %d, whose state is %q", a, c, l.conns[c])
	}
	if l.attempts[a] != "asked" {
		l.fail("attempt %d is sent, but its state was %q", a, l.attempts[a])
	}
	l.conns[c], l.attemptOn[c], l.attempts[a] = "in use", a, "carried"
}

func (l *actionLog) Close(c Conn, why Reason) {
	fmt.Fprintf(&l.text, "close %d %v ", c, why)
	if l.conns[c] == "in use" || l.conns[c] == "" {
		l.fail("connection %d is closed, but its state was %q", c, l.conns[c])
	}
	delete(l.conns, c)
}

func (l *actionLog) Refuse(a Attempt, why Reason) {
	fmt.Fprintf(&l.text, "refuse %d %v ", a, why)
	if l.attempts[a] != "asked" {
		l.fail("attempt %d is refused, but its state was %q", a, l.attempts[a])
	}
	l.attempts[a] = "refused"
}

func (l *actionLog) takeText() string {
	t := strings.TrimSpace(l.text.String())
	l.text.Reset()
	return t
}

// testPool drives a pool the way package upstream does.
type testPool struct {
	*actionLog
	p           *Pool
	now         policy.Nanos
	lastAttempt Attempt
}

func newTestPool(config Config, seed uint64) *testPool {
	l := newActionLog()
	return &testPool{actionLog: l, p: New(l, config, rand.New(rand.NewPCG(seed, 1)).Float64)}
}

func (w *testPool) checkout(h Host, left policy.Nanos) Attempt {
	w.lastAttempt++
	w.attempts[w.lastAttempt] = "asked"
	w.p.Checkout(w.now, h, w.lastAttempt, w.now+left)
	return w.lastAttempt
}

func (w *testPool) opened(c Conn) {
	w.conns[c] = "up"
	w.p.Opened(w.now, c)
}

func (w *testPool) freed(c Conn) {
	w.conns[c] = "up"
	w.p.Freed(w.now, c)
}

func (w *testPool) closed(c Conn) {
	delete(w.conns, c)
	w.p.Closed(w.now, c)
}

func (w *testPool) failed(c Conn) {
	delete(w.conns, c)
	w.p.Failed(w.now, c)
}

func (w *testPool) expect(t *testing.T, want string) {
	t.Helper()
	if got := w.takeText(); got != want {
		t.Errorf("got %q, expected %q", got, want)
	}
	if w.fault != "" {
		t.Error(w.fault)
	}
}

// An attempt that waits for a connection being opened uses another one if that comes free earlier, and the opened one then serves the
// next attempt. A failed dial ends the attempt that it was made for, so that a host that is down is noticed.
func TestWaitForConnection(t *testing.T) {
	w := newTestPool(Config{MaxConnections: 2, MaxWaitFraction: 0.5}, 1)
	w.p.HostUp(0, "a", 0, false, 0)
	w.checkout("a", s)
	w.opened(1)
	w.checkout("a", s)
	w.expect(t, "open a1 carry 1/1 open a2")
	w.now = 10 * ms
	w.freed(1)
	w.expect(t, "carry 2/1")
	w.checkout("a", s)
	w.checkout("a", s)
	w.opened(2)
	w.now = 20 * ms
	w.freed(2)
	w.expect(t, "carry 3/2 carry 4/2")
	w.checkout("a", 5*ms) // attempts take 10 ms, which is too long for its remaining time
	w.expect(t, "refuse 5 full")
	w.p.HostUp(w.now, "b", 0, false, 0)
	w.p.HostLeaving("a")
	w.freed(1)
	w.expect(t, "close 1 leaving")
	w.checkout("b", s)
	w.checkout("b", s)
	w.failed(3)
	w.expect(t, "open b3 refuse 7 full refuse 6 no_connect")
}

// No attempt for a restarted host is sent over a connection to its earlier process.
func TestAnotherProcess(t *testing.T) {
	w := newTestPool(Config{MaxConnections: 9}, 1)
	w.p.HostUp(0, "a", 0, false, 0)
	w.checkout("a", s)
	w.checkout("a", s)
	w.opened(1)
	w.opened(2)
	w.freed(1)
	w.p.HostUp(ms, "a", ms, false, 0)
	w.freed(2)
	w.checkout("a", s)
	w.expect(t, "open a1 open a2 carry 1/1 carry 2/2 close 1 leaving close 2 leaving open a3")
}

// A connection idle for so long that its host may close it is not used. Connections opened together are not closed together.
func TestIdleConnectionsRetire(t *testing.T) {
	w := newTestPool(Config{MaxConnections: 9, IdleTimeout: 8 * s}, 3)
	w.p.HostUp(0, "a", 0, false, 0)
	for range 3 {
		w.checkout("a", s)
	}
	for c := Conn(1); c <= 3; c++ {
		w.opened(c)
	}
	for c := Conn(1); c <= 3; c++ {
		w.freed(c)
	}
	w.takeText()
	ends := map[policy.Nanos]int{}
	for w.now = 4 * s; w.now < 6*s+TickInterval; w.now += TickInterval {
		w.p.Tick(w.now)
		if n := strings.Count(w.takeText(), "idle"); n > 0 {
			ends[w.now] += n
		}
	}
	if len(ends) < 2 || len(w.conns) != 0 {
		t.Errorf("closed by time %v, %d still open", ends, len(w.conns))
	}
	w.checkout("a", s)
	w.opened(4)
	w.freed(4)
	w.now += 7 * s // without a Tick in between
	w.takeText()
	w.checkout("a", s)
	w.expect(t, "close 4 idle open a5")
}

// A host that hangs keeps every connection that it gets, so it must not get all of them.
func TestOneHostCannotTakeAll(t *testing.T) {
	w := newTestPool(Config{MaxConnections: 20}, 1)
	for i := range 5 {
		w.p.HostUp(0, Host(rune('a'+i)), 0, false, 0)
	}
	for range 40 {
		w.checkout("a", s)
	}
	for _, c := range w.opens {
		w.opened(c)
	}
	w.takeText()
	for _, h := range []Host{"b", "c", "d", "e"} {
		w.checkout(h, s)
		w.checkout(h, s)
	}
	if got := w.takeText(); strings.Count(got, "open") != 8 {
		t.Error(got)
	}
	if n := w.p.hosts["a"].open; n != 12 {
		t.Errorf("the hanging host has %d of 20", n)
	}
}

// Connections are opened ahead of need, slightly more than are in use on average, and closed after a surge.
func TestOpenAheadAndCloseSurplus(t *testing.T) {
	w := newTestPool(Config{MaxConnections: 100, AheadDeviations: 2, ShrinkInterval: 2 * s, ColdFor: 20 * s}, 1)
	w.p.HostUp(0, "a", 0, false, 0)
	run := func(n int, until policy.Nanos) {
		for ; w.now < until; w.now += 50 * ms {
			for range n {
				w.checkout("a", s)
			}
			for c, state := range w.conns {
				if state == "opening" {
					w.opened(c)
				}
			}
			w.now += 50 * ms
			for c, state := range w.conns {
				if state == "in use" {
					w.freed(c)
				}
			}
			w.p.Tick(w.now)
		}
	}
	run(16, 3*s)
	if n := w.p.hosts["a"].open; n < 16 || n > 24 { // eight in use on average, sixteen at a time
		t.Errorf("%d open during the surge", n)
	}
	w.takeText()
	w.p.HostUp(w.now, "b", w.now, false, 0) // a new host, before its first attempt
	w.p.Tick(w.now)
	if got := strings.Count(w.takeText(), "open b"); got < 8 || got > 16 {
		t.Errorf("%d opened ahead for a new host", got)
	}
	run(1, 20*s)
	if n := w.p.hosts["a"].open; n > 4 {
		t.Errorf("%d open long after the surge", n)
	}
}

// All balancers open connections to a fresh host at once. However many balancers there are, together they never open more in a
// second than the host tolerates, and they make use of at least a quarter of that rate.
func TestOpeningsOfAllBalancers(t *testing.T) {
	for _, balancers := range []int{1, 2, 4, 8, 400} {
		const cap = 50
		pools := make([]*testPool, balancers)
		for i := range pools {
			pools[i] = newTestPool(Config{Balancers: balancers, MaxConnections: 500, OpeningsPerSecond: 400, ColdOpeningsPerSecond: cap, ColdFor: 60 * s}, uint64(i+1))
			pools[i].p.HostUp(s, "new", s, false, 0)
		}
		perTick := []int{}
		for now := s; now < 9*s; now += 10 * ms {
			n := 0
			for _, w := range pools {
				w.now = now
				w.checkout("new", s)
				n += len(w.opens)
				for _, c := range w.opens { // each stays in use, so that every attempt needs a new one
					w.opened(c)
				}
				w.opens = w.opens[:0]
			}
			perTick = append(perTick, n)
		}
		maxPerSecond, all := 0, 0
		for i := range perTick {
			sum := 0
			for _, n := range perTick[i:min(i+100, len(perTick))] {
				sum += n
			}
			maxPerSecond, all = max(maxPerSecond, sum), all+perTick[i]
		}
		if maxPerSecond > cap || all < 8*cap/4 {
			t.Errorf("%d balancers: %d openings in a second, %d in 8 s, expected at most %d a second", balancers, maxPerSecond, all, cap)
		}
		for _, w := range pools {
			if w.fault != "" {
				t.Error(w.fault)
			}
		}
	}
}

// A host that rejects attempts on new connections gets fewer connections, and after that slowly more.
func TestRejectionsLowerLimit(t *testing.T) {
	w := newTestPool(Config{Balancers: 1, MaxConnections: 100, HostMaxConnections: 10}, 1)
	w.p.HostUp(0, "a", 0, false, 0)
	for range 8 {
		w.checkout("a", s)
	}
	for _, c := range w.opens {
		w.opened(c)
	}
	w.freed(1)
	w.checkout("a", s)
	w.p.Rejected(w.now, 1) // an earlier attempt on it succeeded, so the host's queue is full, not its connections
	w.freed(1)
	w.checkout("a", s)
	w.p.Rejected(w.now, 8)
	w.freed(8)
	w.takeText()
	w.checkout("a", s)
	w.expect(t, "refuse 11 full")
	w.now += learnedLimitInterval + 1
	w.checkout("a", s)
	w.expect(t, "open a9")
}

// For any sequence of events: no limit is exceeded, no connection has two attempts, each attempt ends exactly once, none waits
// forever, and the counts match the actual connections.
func TestRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := Config{Balancers: rapid.IntRange(1, 3).Draw(t, "balancers"), MaxConnections: rapid.IntRange(1, 12).Draw(t, "max connections"),
			HostMaxConnections: rapid.IntRange(0, 20).Draw(t, "host max connections"), OpeningsPerSecond: float64(rapid.IntRange(0, 40).Draw(t, "openings")),
			IdleTimeout: 3 * s, MaxAge: 9 * s, MaxWaitFraction: rapid.SampledFrom([]float64{0, 0.5}).Draw(t, "wait"),
			AheadDeviations: rapid.SampledFrom([]float64{0, 1}).Draw(t, "ahead"), ShrinkInterval: 2 * s, ColdFor: 5 * s,
			Reuse: rapid.SampledFrom([]Reuse{LongestIdle, LastUsed}).Draw(t, "reuse")}
		w := newTestPool(config, rapid.Uint64().Draw(t, "seed"))
		hosts := []Host{"a", "b", "c"}
		pick := func(state string) (Conn, bool) {
			var list []Conn
			for c := Conn(1); c <= w.p.lastID; c++ {
				if w.conns[c] == state {
					list = append(list, c)
				}
			}
			if len(list) == 0 {
				return 0, false
			}
			return rapid.SampledFrom(list).Draw(t, "connection"), true
		}
		check := func() {
			if w.fault != "" {
				t.Fatal(w.fault)
			}
			if len(w.conns) != w.p.openCount || w.p.openCount > config.MaxConnections {
				t.Fatalf("%d open by the recorded calls, %d by the count, at most %d allowed", len(w.conns), w.p.openCount, config.MaxConnections)
			}
			perHost := map[Host]int{}
			for c := range w.conns {
				perHost[w.host[c]]++
			}
			for id, h := range w.p.hosts {
				if h.open != perHost[id] || config.HostMaxConnections > 0 && h.open > max(1, config.HostMaxConnections/config.Balancers) {
					t.Fatalf("%s has %d open by the recorded calls, %d by the count", id, perHost[id], h.open)
				}
			}
			for id, h := range w.p.hosts {
				if len(h.queue) > 0 && h.open == len(h.idle) {
					t.Fatalf("attempts wait at %s, but no connection can come free", id)
				}
			}
			n := 0
			for _, state := range w.attempts {
				if state == "asked" {
					n++
				}
			}
			if n != len(w.p.waiting) {
				t.Fatalf("%d attempts have not ended, %d wait", n, len(w.p.waiting))
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"up": func(t *rapid.T) {
				h := rapid.SampledFrom(hosts).Draw(t, "host")
				w.p.HostUp(w.now, h, policy.Nanos(rapid.IntRange(0, 2).Draw(t, "started at"))*s, rapid.Bool().Draw(t, "moved"), 0)
				if h == "c" {
					w.p.UseOnce(h)
				}
			},
			"leaves": func(t *rapid.T) { w.p.HostLeaving(rapid.SampledFrom(hosts).Draw(t, "host")) },
			"ask": func(t *rapid.T) {
				for range rapid.IntRange(1, 4).Draw(t, "attempts") {
					w.checkout(rapid.SampledFrom(hosts).Draw(t, "host"), policy.Nanos(rapid.IntRange(0, 2000).Draw(t, "left"))*ms)
				}
			},
			"opened": func(*rapid.T) {
				if c, ok := pick("opening"); ok {
					w.opened(c)
				}
			},
			"failed": func(*rapid.T) {
				if c, ok := pick("opening"); ok {
					w.failed(c)
				}
			},
			"freed": func(*rapid.T) {
				if c, ok := pick("in use"); ok {
					w.freed(c)
				}
			},
			"rejected": func(*rapid.T) {
				if c, ok := pick("in use"); ok {
					w.p.Rejected(w.now, c)
				}
			},
			"closed": func(t *rapid.T) {
				if c, ok := pick(rapid.SampledFrom([]string{"in use", "up"}).Draw(t, "phase")); ok {
					w.closed(c)
				}
			},
			"given up": func(t *rapid.T) {
				a := Attempt(rapid.IntRange(1, max(1, int(w.lastAttempt))).Draw(t, "attempt"))
				if w.p.GiveUp(a) {
					if w.attempts[a] != "asked" {
						t.Fatalf("attempt %d was waiting, but its state was %q", a, w.attempts[a])
					}
					w.attempts[a] = "given up"
				}
			},
			"time": func(t *rapid.T) {
				w.now += policy.Nanos(rapid.IntRange(1, 1500).Draw(t, "wait")) * ms
				w.p.Tick(w.now)
			},
			"": func(*rapid.T) { check() },
		})
		// After shutdown no attempt is left waiting.
		w.now += 3 * s
		w.p.Tick(w.now)
		w.p.Close()
		check()
		for _, state := range w.attempts {
			if state == "asked" {
				t.Fatal("an attempt is still waiting after shutdown")
			}
		}
	})
}

// A host that comes back at another address while a connection to the former one is still being opened must stay known.
func TestHostBackDuringOpeningStaysKnown(t *testing.T) {
	w := newTestPool(Config{MaxConnections: 2}, 1)
	w.p.HostUp(0, "a", 0, false, 0)
	w.checkout("a", s)
	w.p.HostLeaving("a")
	w.p.HostUp(0, "a", 0, true, 0)
	w.checkout("a", s)
	w.expect(t, "open a1 refuse 1 leaving close 1 leaving open a2")
}
