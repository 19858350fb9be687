package policy

import (
	"cmp"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// TestScenarios plays every file of testdata. A line is a command with name=value options, times in
// milliseconds; "expect" lines name the module's next actions. The four rules hold in every scenario.
func TestScenarios(t *testing.T) {
	files, _ := filepath.Glob("testdata/*.txt")
	if len(files) == 0 {
		t.Fatal("no scenarios")
	}
	for _, f := range files {
		t.Run(strings.TrimSuffix(filepath.Base(f), ".txt"), func(t *testing.T) {
			text, err := os.ReadFile(f)
			if err != nil {
				t.Fatal(err)
			}
			s := &stage{T: t, owed: map[CallID]*debt{}, auto: map[CacheID]reply{}, hosts: map[CacheID]*seen{},
				terms: Terms{Balancers: 1, OriginKind: -1, MayCancel: true, MostAttempts: 6, MaxComeBack: Second,
					ColdFrom: 0.25, RampTime: 10 * Second, FallMultiple: 3, FallWindow: Second,
					AskEvery: 10 * Second, Tick: Millisecond}}
			for i, line := range strings.Split(string(text), "\n") {
				if line, _, _ = strings.Cut(line, "#"); strings.TrimSpace(line) != "" {
					s.where = fmt.Sprintf("line %d: %s", i+1, strings.TrimSpace(line))
					s.play(strings.Fields(line))
				}
			}
			s.where = "the end"
			s.moveTo(s.now + 20*Second)
			for id, d := range s.owed {
				if !d.done {
					s.Errorf("%s was never answered", id)
				}
			}
		})
	}
}

const drainGrace = Second

type due struct {
	at Nanos
	do func()
}

type reply struct {
	outcome Outcome
	took    Nanos
	stray   int // every so many-th attempt ends as instead
	as      Outcome
	load    *Load
}

type debt struct {
	in       Call
	until    Nanos
	attempts []attempt
	done     bool
}

type seen struct {
	Entry
	toldAt Nanos // that it drains or is gone; 0: it does not
	sent   []Nanos
	perS   float64 // what it can do when warm; 0: not stated
}

// stage is the host of one balancer: it records, plays timers and answers, and keeps the rules by itself.
type stage struct {
	*testing.T
	terms    Terms
	b        *Balancer
	now      Nanos
	where    string
	owed     map[CallID]*debt
	hosts    map[CacheID]*seen
	auto     map[CacheID]reply
	queue    []due
	did      []string
	counts   map[string]int
	off      map[Customer]Outcome
	timeouts []Nanos // of the clients, by product
	flood    int
	told     *Load // comes with the outcome in hand
}

func (s *stage) act(format string, v ...any) { s.did = append(s.did, fmt.Sprintf(format, v...)) }

func (s *stage) later(after Nanos, do func()) { s.queue = append(s.queue, due{s.now + after, do}) }

func (s *stage) moveTo(at Nanos) {
	for {
		slices.SortStableFunc(s.queue, func(x, y due) int { return cmp.Compare(x.at, y.at) })
		if len(s.queue) == 0 || s.queue[0].at > at {
			break
		}
		next := s.queue[0]
		s.queue = s.queue[1:]
		s.now = next.at
		next.do()
	}
	s.now = at
}

func (s *stage) Now() Nanos                       { return s.now }
func (s *stage) Subscribe()                       { s.act("subscribe") }
func (s *stage) SetTimer(after Nanos, id TimerID) { s.later(after, func() { s.b.TimerFired(id) }) }
func (s *stage) Cancel(id CallID, n int) {
	s.act("cancel %s %d", id, n)
	d := s.owed[id]
	s.later(Millisecond, func() { s.end(id, n, Cancelled, s.now-d.attempts[n].sentAt) })
}

// mayRun is the table of the wire: what an outcome proves.
func (s *stage) mayRun(d *debt, group func(attempt) bool) bool {
	for _, x := range d.attempts {
		if !x.inFlight && !x.mayHaveRun {
			continue
		}
		p := s.terms.Products[d.in.Product]
		if p.Effect == NonIdempotent || p.Effect == Deduplicated && (s.now-x.sentAt >= p.Window || !group(x)) {
			return false
		}
	}
	return true
}

func (s *stage) Send(id CallID, to CacheID, deadline, beginBy Nanos) {
	timeout := max(1, deadline-s.now)
	s.act("send %s %s", id, to)
	s.counts[string(to)]++
	s.counts[fmt.Sprint("zone", s.hosts[to].Zone)]++
	d, h := s.owed[id], s.hosts[to]
	out := 0
	for _, x := range d.attempts {
		if x.inFlight {
			out++
		}
	}
	switch {
	case d.done || s.now > d.until:
		s.Errorf("%s: rule 1: %s sent after its end", s.where, id)
	case !s.mayRun(d, func(x attempt) bool {
		e, p := x.host.Entry, s.terms.Products[d.in.Product]
		return p.Group == GroupAll || p.Group == GroupZone && e.Zone == h.Zone || p.Group == GroupCell && e.Cell == h.Cell
	}):
		s.Errorf("%s: rule 2: %s may run twice", s.where, id)
	case out > 0 || len(d.attempts) >= s.terms.MostAttempts:
		s.Errorf("%s: too many attempts of %s", s.where, id)
	case beginBy > deadline || slices.ContainsFunc(d.attempts, func(x attempt) bool {
		p := s.terms.Products[d.in.Product]
		return x.mayHaveRun && p.Effect == Deduplicated && beginBy > x.sentAt+p.Window
	}):
		s.Errorf("%s: rule 2: %s may still begin when its repeat is not dropped any more", s.where, id)
	case h.toldAt > 0 && s.now > h.toldAt+drainGrace:
		s.Errorf("%s: rule 3: %s sent to %s past the grace", s.where, id, to)
	}
	h.sent = append(h.sent, s.now)
	if age := s.now - h.Born; h.Born > 0 && h.perS > 0 && age < s.terms.RampTime {
		n := 0
		for _, at := range h.sent {
			if at > s.now-s.terms.FallWindow {
				n++
			}
		}
		share := s.terms.ColdFrom + (1-s.terms.ColdFrom)*age.seconds()/s.terms.RampTime.seconds()
		most := s.terms.FallMultiple * share * h.perS * s.terms.FallWindow.seconds() / float64(s.terms.Balancers)
		if float64(n) > max(1, most) {
			s.Errorf("%s: rule 4: %d sent to cold %s, %.1f allowed", s.where, n, to, most)
		}
	}
	n := len(d.attempts)
	d.attempts = append(d.attempts, attempt{host: &cacheHost{Entry: h.Entry}, sentAt: s.now, inFlight: true})
	r, ok := s.auto[to]
	if o, off := s.off[d.in.Customer]; off && ok {
		r = reply{outcome: o, took: Millisecond}
	}
	if r.stray > 0 && len(h.sent)%r.stray == 0 {
		r.outcome = r.as
		ok = r.as != TimedOut // nothing comes at all
	}
	if ok && r.took < timeout {
		s.later(r.took, func() { s.told = r.load; s.end(id, n, r.outcome, r.took); s.told = nil })
	} else {
		s.later(timeout, func() { s.end(id, n, TimedOut, timeout) })
	}
}

func (s *stage) end(id CallID, n int, o Outcome, took Nanos) {
	d := s.owed[id]
	x := &d.attempts[n]
	if !x.inFlight { // it was cancelled or answered before
		return
	}
	x.inFlight, x.mayHaveRun = false, o != TurnedAway && o != ConnectFailed && o != NeverSent && o != Missed
	was := d.done
	d.done = d.done || o == Fulfilled
	s.b.Ended(Ending{Call: id, Attempt: n, Final: was || o == Fulfilled, Outcome: o, Took: took, Cache: x.host.Cache, Load: s.told})
}

func (s *stage) final(id CallID, what string) {
	s.act("%s %s", what, id)
	d := s.owed[id]
	s.counts[what]++
	s.counts[fmt.Sprint(what, d.in.Customer)]++
	if d.done || s.now > d.until {
		s.Errorf("%s: rule 1: %s ended twice or late", s.where, id)
	}
	all := func(attempt) bool { return s.terms.Products[d.in.Product].Group == GroupAll }
	if what == "ratelimit" && !s.mayRun(d, all) {
		s.Errorf("%s: rule 2: %s rate-limited though it may have run", s.where, id)
	}
	d.done = true
}

func (s *stage) RateLimit(id CallID, comeBack Nanos) {
	if comeBack < 0 || comeBack > s.terms.MaxComeBack {
		s.Errorf("%s: come back after %d", s.where, comeBack)
	}
	s.final(id, "ratelimit")
}
func (s *stage) Error(id CallID) { s.final(id, "error") }

func (s *stage) arrive(id CallID, o options, key string) {
	p := Product(o.num("product", 0))
	if host, n, found := strings.Cut(strings.TrimPrefix(key, "@"), "/"); key[0] == '@' { // @a/2: the second key at home at a
		left, _ := strconv.Atoi(n)
		for i := 0; !found || left > 0; i++ {
			key = fmt.Sprint("k", i)
			if s.b.ring.home(Key(key)).Cache == CacheID(host) {
				left, found = left-1, true
			}
		}
	}
	in := Call{ID: id, Key: Key(key), Product: p, Customer: Customer(o.num("customer", 0)), Write: o["write"] != "",
		Deadline: s.now + o.ms("left", float64(s.timeouts[p]/Millisecond)), Work: o.ms("work", 0)}
	s.owed[id] = &debt{in: in, until: in.Deadline}
	s.b.Arrived(in)
}

type options map[string]string

func (o options) num(name string, absent float64) float64 {
	if v, ok := o[name]; ok {
		absent, _ = strconv.ParseFloat(v, 64)
	}
	return absent
}
func (o options) ms(name string, absent float64) Nanos {
	return Nanos(o.num(name, absent) * float64(Millisecond))
}

// load is the report that hand=, busy= and lat= make up; nil without any of them.
func (o options) load() *Load {
	if o["hand"]+o["busy"]+o["lat"] == "" {
		return nil
	}
	return &Load{InHand: o.num("hand", -1), Busy: o.num("busy", -1), Took: o.num("lat", -1000) / 1000}
}

func parse(words []string) (plain []string, o options) {
	o = options{}
	for _, w := range words {
		if k, v, ok := strings.Cut(w, "="); ok {
			o[k] = v
		} else {
			plain = append(plain, w)
			o[w] = "yes"
		}
	}
	return plain, o
}

var outcomeWords = map[string]Outcome{"fulfilled": Fulfilled, "errored": Errored, "full": TurnedAway, "timeout": TimedOut,
	"unconnected": ConnectFailed, "reset": Reset, "cancelled": Cancelled, "moot": NeverSent, "miss": Missed, "spoilt": Spoilt,
	"unknown": Unknown}

func (s *stage) play(words []string) {
	w, o := parse(words)
	t := &s.terms
	switch w[0] {
	case "terms":
		t.Balancers = int(o.num("balancers", 1))
		t.Aside, t.MustSubscribe, t.LiveSizes = o["aside"] != "", o["subscribe"] != "", o["live"] != ""
		t.CrossPrice, t.FetchPrice = o.num("cross", 0), o.num("fetch", 0)
		t.OriginKind = Kind(o.num("origin", -1))
		t.MostAttempts = int(o.num("shots", 6))
		t.KeepAlive = o.ms("keep", 0)
	case "customer": // customer N OUTCOME: from now on all hosts answer it so
		if len(w) == 3 {
			n, _ := strconv.Atoi(w[1])
			s.off = map[Customer]Outcome{Customer(n): outcomeWords[w[2]]}
			break
		}
		t.Customers = append(t.Customers, CustomerTerms{AllowancePerS: o.num("allowance", 0)})
	case "product":
		e := map[string]Effect{"idempotent": Idempotent, "deduplicated": Deduplicated, "nonidempotent": NonIdempotent}[w[1]]
		g := map[string]Group{"zone": GroupZone, "cell": GroupCell}[o["group"]]
		s.timeouts = append(s.timeouts, o.ms("timeout", 2000))
		t.Products = append(t.Products, ProductTerms{LatencySLO: o.ms("slo", 1000),
			BilledValue: o.num("value", 1), Effect: e, Group: g, Window: o.ms("window", 500)})
	case "list":
		if s.b == nil {
			s.now, s.counts = 1000*Second, map[string]int{}
			s.b = New(s, *t, 7)
		}
		kind := map[string]ListKind{"update": ListUpdate, "replace": ListReplace, "restored": ListRestored,
			"unavailable": ListUnavailable}[w[1]]
		var entries []Entry
		named := map[CacheID]bool{}
		for _, x := range words[2:] { // name,zone=1,cell=2,kind=1,size=2,born=0,perS=20,drain
			parts, eo := parse(strings.Split(x, ","))
			e := Entry{Cache: CacheID(parts[0]), Zone: Zone(eo.num("zone", 0)), Cell: Cell(eo.num("cell", 0)),
				Kind: Kind(eo.num("kind", 0)), Size: eo.num("size", 1)}
			if _, ok := eo["born"]; ok {
				e.Born = s.now - eo.ms("born", 0)
			}
			h := &seen{Entry: e, perS: eo.num("perS", 0)}
			if eo["drain"] != "" {
				e.Condition, h.toldAt = Draining, s.now
			}
			entries, named[e.Cache] = append(entries, e), true
			s.hosts[e.Cache] = h
		}
		for id, h := range s.hosts {
			if kind == ListReplace && !named[id] && h.toldAt == 0 {
				h.toldAt = s.now
			}
		}
		s.b.Listed(kind, entries)
	case "exclude", "include": // by hand; nobody=1: no cache has that id
		known := false
		if h := s.hosts[CacheID(w[1])]; w[0] == "include" {
			known = s.b.Include(CacheID(w[1]))
			h.toldAt, h.Born = 0, s.now
		} else if known, _ = s.b.Exclude(CacheID(w[1])); h != nil {
			h.toldAt = s.now - drainGrace - 1
		}
		if known != (o["nobody"] == "") {
			s.Errorf("%s: known: %v", s.where, known)
		}
	case "wait":
		s.moveTo(s.now + Nanos(o.num("ns", 0)) + o.ms("ms", 0))
	case "answer":
		for _, h := range strings.Split(w[1], ",") {
			s.auto[CacheID(h)] = reply{outcomeWords[w[2]], o.ms("took", 10), int(o.num("stray", 0)), outcomeWords[o["as"]], o.load()}
		}
	case "call":
		s.arrive(CallID(w[1]), o, w[2])
	case "flood": // flood N: so many requests, each for a key of its own or all for key=
		n, _ := strconv.Atoi(w[1])
		s.counts = map[string]int{}
		for i := range n {
			s.flood++
			key := cmp.Or(o["key"], fmt.Sprint("flood", s.flood))
			if of := int(o.num("of", 0)); of > 0 {
				key = fmt.Sprint("some", i%of)
			}
			if i%10 == 9 && o["other"] != "" { // every tenth is another customer's
				o["customer"] = o["other"]
			} else {
				delete(o, "customer")
			}
			s.arrive(CallID(fmt.Sprint("flood", s.flood)), o, key)
			s.moveTo(s.now + o.ms("every", 1))
		}
		s.moveTo(s.now + o.ms("rest", 0))
		s.did = nil
	case "end":
		n, _ := strconv.Atoi(w[2])
		s.end(CallID(w[1]), n, outcomeWords[w[3]], s.now-s.owed[CallID(w[1])].attempts[n].sentAt)
	case "abandon":
		s.owed[CallID(w[1])].done = true
		s.b.Abandoned(CallID(w[1]))
	case "count": // count WHAT least most: sends to a host, or answers, in the last flood
		least, _ := strconv.Atoi(w[2])
		most, _ := strconv.Atoi(w[3])
		if n := s.counts[w[1]]; n < least || n > most {
			s.Errorf("%s: it was %d", s.where, n)
		}
	case "remembers": // remembers N: so many hosts
		if n, _ := strconv.Atoi(w[1]); len(s.b.hosts) != n {
			s.Errorf("%s: it remembers %d", s.where, len(s.b.hosts))
		}
	case "bears": // bears LEAST: attempts out at a host that the fleet is seen to bear
		if least, _ := strconv.ParseFloat(w[1], 64); s.b.fleetLimitPerHost < least {
			s.Errorf("%s: it is %.3f", s.where, s.b.fleetLimitPerHost)
		}
	case "expect": // the next action; * stands for any word; "nothing": no action is left
		got := []string{"nothing"}
		if len(s.did) > 0 {
			got, s.did = strings.Fields(s.did[0]), s.did[1:]
		}
		if !slices.EqualFunc(w[1:], got, func(x, y string) bool { return x == "*" || x == y }) {
			s.Errorf("%s: got %q", s.where, got)
		}
	default:
		s.Fatalf("%s: unknown command", s.where)
	}
}
