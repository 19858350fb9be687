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

// log notes orders as text and holds them to what no order may break.
type log struct {
	text     strings.Builder
	fault    string
	conns    map[Conn]string // what is known of each connection that is open
	host     map[Conn]Host
	over     map[Conn]Attempt
	attempts map[Attempt]string // what became of each attempt
	opens    []Conn
}

func newLog() *log {
	return &log{conns: map[Conn]string{}, host: map[Conn]Host{}, over: map[Conn]Attempt{}, attempts: map[Attempt]string{}}
}

func (l *log) wrong(form string, args ...any) {
	if l.fault == "" {
		l.fault = fmt.Sprintf(form, args...)
	}
}

func (l *log) Open(h Host, c Conn) {
	fmt.Fprintf(&l.text, "open %s%d ", h, c)
	if _, twice := l.conns[c]; twice {
		l.wrong("connection %d is opened twice", c)
	}
	l.conns[c], l.host[c] = "opening", h
	l.opens = append(l.opens, c)
}

func (l *log) Carry(c Conn, s Attempt) {
	fmt.Fprintf(&l.text, "carry %d/%d ", s, c)
	if l.conns[c] != "up" {
		l.wrong("attempt %d goes over connection %d, which is %q", s, c, l.conns[c])
	}
	if l.attempts[s] != "asked" {
		l.wrong("attempt %d is carried, and was %q", s, l.attempts[s])
	}
	l.conns[c], l.over[c], l.attempts[s] = "in use", s, "carried"
}

func (l *log) Close(c Conn, why Why) {
	fmt.Fprintf(&l.text, "close %d %v ", c, why)
	if l.conns[c] == "in use" || l.conns[c] == "" {
		l.wrong("connection %d is closed, which is %q", c, l.conns[c])
	}
	delete(l.conns, c)
}

func (l *log) Refuse(s Attempt, why Why) {
	fmt.Fprintf(&l.text, "refuse %d %v ", s, why)
	if l.attempts[s] != "asked" {
		l.wrong("attempt %d is refused, and was %q", s, l.attempts[s])
	}
	l.attempts[s] = "refused"
}

func (l *log) took() string {
	t := strings.TrimSpace(l.text.String())
	l.text.Reset()
	return t
}

// world drives a pool as upstream does.
type world struct {
	*log
	p   *Pool
	now policy.Nanos
	n   Attempt
}

func newWorld(terms Terms, seed uint64) *world {
	l := newLog()
	return &world{log: l, p: New(l, terms, rand.New(rand.NewPCG(seed, 1)).Float64)}
}

func (w *world) ask(h Host, left policy.Nanos) Attempt {
	w.n++
	w.attempts[w.n] = "asked"
	w.p.Ask(w.now, h, w.n, w.now+left)
	return w.n
}

func (w *world) opened(c Conn) {
	w.conns[c] = "up"
	w.p.Opened(w.now, c)
}

func (w *world) freed(c Conn) {
	w.conns[c] = "up"
	w.p.Freed(w.now, c)
}

func (w *world) closed(c Conn) {
	delete(w.conns, c)
	w.p.Closed(w.now, c)
}

func (w *world) failed(c Conn) {
	delete(w.conns, c)
	w.p.Failed(w.now, c)
}

func (w *world) expect(t *testing.T, want string) {
	t.Helper()
	if got := w.took(); got != want {
		t.Errorf("got %q, expected %q", got, want)
	}
	if w.fault != "" {
		t.Error(w.fault)
	}
}

// An attempt that waits for one that is being opened takes one that comes free before; what was opened for it then serves
// the next, and a dial that fails takes the attempt with it that it was for, lest a dead host is never seen.
func TestWaits(t *testing.T) {
	w := newWorld(Terms{Most: 2, Wait: 0.5}, 1)
	w.p.Up(0, "a", 0, false, 0)
	w.ask("a", s)
	w.opened(1)
	w.ask("a", s)
	w.expect(t, "open a1 carry 1/1 open a2")
	w.now = 10 * ms
	w.freed(1)
	w.expect(t, "carry 2/1")
	w.ask("a", s)
	w.ask("a", s)
	w.opened(2)
	w.now = 20 * ms
	w.freed(2)
	w.expect(t, "carry 3/2 carry 4/2")
	w.ask("a", 5*ms) // ten milliseconds an attempt are too long for it
	w.expect(t, "refuse 5 full")
	w.p.Up(w.now, "b", 0, false, 0)
	w.p.Leaves("a")
	w.freed(1)
	w.expect(t, "close 1 leaving")
	w.ask("b", s)
	w.ask("b", s)
	w.failed(3)
	w.expect(t, "open b3 refuse 7 full refuse 6 no_connect")
}

// Another process at the same name or address is not sent anything over a connection to the one before.
func TestAnotherProcess(t *testing.T) {
	w := newWorld(Terms{Most: 9}, 1)
	w.p.Up(0, "a", 0, false, 0)
	w.ask("a", s)
	w.ask("a", s)
	w.opened(1)
	w.opened(2)
	w.freed(1)
	w.p.Up(ms, "a", ms, false, 0)
	w.freed(2)
	w.ask("a", s)
	w.expect(t, "open a1 open a2 carry 1/1 carry 2/2 close 1 leaving close 2 leaving open a3")
}

// One that rested so long that its host may be closing it is not used; those opened together do not end together.
func TestStale(t *testing.T) {
	w := newWorld(Terms{Most: 9, Idle: 8 * s}, 3)
	w.p.Up(0, "a", 0, false, 0)
	for range 3 {
		w.ask("a", s)
	}
	for c := Conn(1); c <= 3; c++ {
		w.opened(c)
	}
	for c := Conn(1); c <= 3; c++ {
		w.freed(c)
	}
	w.took()
	ends := map[policy.Nanos]int{}
	for w.now = 4 * s; w.now < 6*s+TickEvery; w.now += TickEvery {
		w.p.Tick(w.now)
		if n := strings.Count(w.took(), "idle"); n > 0 {
			ends[w.now] += n
		}
	}
	if len(ends) < 2 || len(w.conns) != 0 {
		t.Errorf("ends %v, %d left", ends, len(w.conns))
	}
	w.ask("a", s)
	w.opened(4)
	w.freed(4)
	w.now += 7 * s // no tick came
	w.took()
	w.ask("a", s)
	w.expect(t, "close 4 idle open a5")
}

// A host that hangs holds every connection that it gets. It may not get all.
func TestOneHostCannotTakeAll(t *testing.T) {
	w := newWorld(Terms{Most: 20}, 1)
	for i := range 5 {
		w.p.Up(0, Host(rune('a'+i)), 0, false, 0)
	}
	for range 40 {
		w.ask("a", s)
	}
	for _, c := range w.opens {
		w.opened(c)
	}
	w.took()
	for _, h := range []Host{"b", "c", "d", "e"} {
		w.ask(h, s)
		w.ask(h, s)
	}
	if got := w.took(); strings.Count(got, "open") != 8 {
		t.Error(got)
	}
	if n := w.p.hosts["a"].open; n != 12 {
		t.Errorf("the hanging host has %d of 20", n)
	}
}

// Connections are opened before they are needed, as many as are in use at a time and some more; after a surge they go.
func TestAheadAndShrink(t *testing.T) {
	w := newWorld(Terms{Most: 100, Ahead: 2, Shrink: 2 * s, ColdFor: 20 * s}, 1)
	w.p.Up(0, "a", 0, false, 0)
	busy := func(n int, until policy.Nanos) {
		for ; w.now < until; w.now += 50 * ms {
			for range n {
				w.ask("a", s)
			}
			for c, what := range w.conns {
				if what == "opening" {
					w.opened(c)
				}
			}
			w.now += 50 * ms
			for c, what := range w.conns {
				if what == "in use" {
					w.freed(c)
				}
			}
			w.p.Tick(w.now)
		}
	}
	busy(16, 3*s)
	if n := w.p.hosts["a"].open; n < 16 || n > 24 { // eight in use on average, sixteen at a time
		t.Errorf("%d open in the surge", n)
	}
	w.took()
	w.p.Up(w.now, "b", w.now, false, 0) // a successor, before anything is asked of it
	w.p.Tick(w.now)
	if got := strings.Count(w.took(), "open b"); got < 8 || got > 16 {
		t.Errorf("%d opened ahead for a successor", got)
	}
	busy(1, 20*s)
	if n := w.p.hosts["a"].open; n > 4 {
		t.Errorf("%d open long after the surge", n)
	}
}

// All balancers open to a fresh host at once. However many they are, in no second do they open more together than it
// bears, and while they are few they use what it bears.
func TestOpeningsTogether(t *testing.T) {
	for _, balancers := range []int{1, 2, 4, 8, 400} {
		const cap = 50
		worlds := make([]*world, balancers)
		for i := range worlds {
			worlds[i] = newWorld(Terms{Balancers: balancers, Most: 500, Openings: 400, ColdOpenings: cap, ColdFor: 60 * s}, uint64(i+1))
			worlds[i].p.Up(s, "new", s, false, 0)
		}
		perTick := []int{}
		for now := s; now < 9*s; now += 10 * ms {
			n := 0
			for _, w := range worlds {
				w.now = now
				w.ask("new", s)
				n += len(w.opens)
				for _, c := range w.opens { // each is held for good: a new one is wanted every time
					w.opened(c)
				}
				w.opens = w.opens[:0]
			}
			perTick = append(perTick, n)
		}
		most, all := 0, 0
		for i := range perTick {
			sum := 0
			for _, n := range perTick[i:min(i+100, len(perTick))] {
				sum += n
			}
			most, all = max(most, sum), all+perTick[i]
		}
		if most > cap || all < 8*cap/4 {
			t.Errorf("%d balancers: %d openings in a second, %d in 8 s, expected at most %d a second", balancers, most, all, cap)
		}
		for _, w := range worlds {
			if w.fault != "" {
				t.Error(w.fault)
			}
		}
	}
}

// A host that turns away what comes over new connections gets fewer, and more again slowly.
func TestRejected(t *testing.T) {
	w := newWorld(Terms{Balancers: 1, Most: 100, HostMost: 10}, 1)
	w.p.Up(0, "a", 0, false, 0)
	for range 8 {
		w.ask("a", s)
	}
	for _, c := range w.opens {
		w.opened(c)
	}
	w.freed(1)
	w.ask("a", s)
	w.p.Rejected(w.now, 1) // it has carried one well before: that is the host's queue
	w.freed(1)
	w.ask("a", s)
	w.p.Rejected(w.now, 8)
	w.freed(8)
	w.took()
	w.ask("a", s)
	w.expect(t, "refuse 11 full")
	w.now += mostGrows + 1
	w.ask("a", s)
	w.expect(t, "open a9")
}

// Whatever comes in whatever order: never over a bound, never two attempts on a connection, each attempt has one end, none is
// forgotten, and what is counted is what there is.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		terms := Terms{Balancers: rapid.IntRange(1, 3).Draw(t, "balancers"), Most: rapid.IntRange(1, 12).Draw(t, "most"),
			HostMost: rapid.IntRange(0, 20).Draw(t, "host most"), Openings: float64(rapid.IntRange(0, 40).Draw(t, "openings")),
			Idle: 3 * s, Age: 9 * s, Wait: rapid.SampledFrom([]float64{0, 0.5}).Draw(t, "wait"),
			Ahead: rapid.SampledFrom([]float64{0, 1}).Draw(t, "ahead"), Shrink: 2 * s, ColdFor: 5 * s,
			Reuse: rapid.SampledFrom([]Reuse{Longest, Last}).Draw(t, "reuse")}
		w := newWorld(terms, rapid.Uint64().Draw(t, "seed"))
		hosts := []Host{"a", "b", "c"}
		some := func(what string) (Conn, bool) {
			var list []Conn
			for c := Conn(1); c <= w.p.last; c++ {
				if w.conns[c] == what {
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
			if len(w.conns) != w.p.open || w.p.open > terms.Most {
				t.Fatalf("%d open by the orders, %d by the count, %d at most", len(w.conns), w.p.open, terms.Most)
			}
			of := map[Host]int{}
			for c := range w.conns {
				of[w.host[c]]++
			}
			for id, h := range w.p.hosts {
				if h.open != of[id] || terms.HostMost > 0 && h.open > max(1, terms.HostMost/terms.Balancers) {
					t.Fatalf("%s has %d open by the orders, %d by the count", id, of[id], h.open)
				}
			}
			for id, h := range w.p.hosts {
				if len(h.queue) > 0 && h.open == len(h.rest) {
					t.Fatalf("attempts wait at %s for nothing", id)
				}
			}
			n := 0
			for _, what := range w.attempts {
				if what == "asked" {
					n++
				}
			}
			if n != len(w.p.waiting) {
				t.Fatalf("%d attempts have no end, %d wait", n, len(w.p.waiting))
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"up": func(t *rapid.T) {
				w.p.Up(w.now, rapid.SampledFrom(hosts).Draw(t, "host"), policy.Nanos(rapid.IntRange(0, 2).Draw(t, "born"))*s, rapid.Bool().Draw(t, "moved"), 0)
			},
			"leaves": func(t *rapid.T) { w.p.Leaves(rapid.SampledFrom(hosts).Draw(t, "host")) },
			"ask": func(t *rapid.T) {
				for range rapid.IntRange(1, 4).Draw(t, "shots") {
					w.ask(rapid.SampledFrom(hosts).Draw(t, "host"), policy.Nanos(rapid.IntRange(0, 2000).Draw(t, "left"))*ms)
				}
			},
			"opened": func(*rapid.T) {
				if c, ok := some("opening"); ok {
					w.opened(c)
				}
			},
			"failed": func(*rapid.T) {
				if c, ok := some("opening"); ok {
					w.failed(c)
				}
			},
			"freed": func(*rapid.T) {
				if c, ok := some("in use"); ok {
					w.freed(c)
				}
			},
			"rejected": func(*rapid.T) {
				if c, ok := some("in use"); ok {
					w.p.Rejected(w.now, c)
				}
			},
			"closed": func(t *rapid.T) {
				if c, ok := some(rapid.SampledFrom([]string{"in use", "up"}).Draw(t, "phase")); ok {
					w.closed(c)
				}
			},
			"given up": func(t *rapid.T) {
				sh := Attempt(rapid.IntRange(1, max(1, int(w.n))).Draw(t, "attempt"))
				if w.p.GiveUp(sh) {
					if w.attempts[sh] != "asked" {
						t.Fatalf("attempt %d, which was %q, waited", sh, w.attempts[sh])
					}
					w.attempts[sh] = "given up"
				}
			},
			"time": func(t *rapid.T) {
				w.now += policy.Nanos(rapid.IntRange(1, 1500).Draw(t, "wait")) * ms
				w.p.Tick(w.now)
			},
			"": func(*rapid.T) { check() },
		})
		// In the end nothing is left behind.
		w.now += 3 * s
		w.p.Tick(w.now)
		w.p.Shut()
		check()
		for _, what := range w.attempts {
			if what == "asked" {
				t.Fatal("an attempt is left waiting")
			}
		}
	})
}
