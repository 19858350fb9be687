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

// TestScenarios runs every file of testdata. A line is a command with name=value options, times in milliseconds;
// "expect" lines name the next actions of the balancer. Four rules are checked in every scenario: one final answer
// in time, no second effect, nothing new to a draining host, and no overload of a cold host.
func TestScenarios(t *testing.T) {
	files, _ := filepath.Glob("testdata/*.txt")
	if len(files) == 0 {
		t.Fatal("testdata has no scenario files")
	}
	for _, f := range files {
		t.Run(strings.TrimSuffix(filepath.Base(f), ".txt"), func(t *testing.T) {
			text, err := os.ReadFile(f)
			if err != nil {
				t.Fatal(err)
			}
			s := &testEnv{T: t, requests: map[RequestID]*clientRequest{}, replies: map[HostID]scriptedReply{}, hosts: map[HostID]*testHost{},
				config: Config{Balancers: 1, OriginKind: -1, MayCancel: true, MaxAttempts: 6, MaxRetryAfter: Second,
					ColdCapacityFraction: 0.25, WarmUpTime: 10 * Second, OverloadMultiple: 3, OverloadWindow: Second,
					SubscribeInterval: 10 * Second, TimerGranularity: Millisecond}}
			for i, line := range strings.Split(string(text), "\n") {
				if line, _, _ = strings.Cut(line, "#"); strings.TrimSpace(line) != "" {
					s.line = fmt.Sprintf("line %d: %s", i+1, strings.TrimSpace(line))
					s.runCommand(strings.Fields(line))
				}
			}
			s.line = "the end"
			s.advanceTo(s.now + 20*Second)
			for id, d := range s.requests {
				if !d.answered {
					s.Errorf("request %s was never answered", id)
				}
			}
		})
	}
}

const testDrainGrace = Second

// timer is an action that is due at an instant.
type timer struct {
	at Nanos
	do func()
}

// scriptedReply is how a host answers by itself.
type scriptedReply struct {
	outcome      Outcome
	took         Nanos
	strayEvery   int // every strayEvery-th attempt ends as strayOutcome; 0: none
	strayOutcome Outcome
	load         *LoadReport
}

// clientRequest is a request as the rules see it.
type clientRequest struct {
	request  Request
	deadline Nanos
	attempts []attempt
	answered bool
}

// testHost is a host as the rules see it.
type testHost struct {
	HostEntry
	stoppedAt    Nanos // when it began to drain or left the list; 0: neither
	attemptsAt   []Nanos
	capacityPerS float64 // requests per second when warm; 0: not stated
}

// testEnv is the environment of one balancer. It records actions, runs timers and answers, and checks the rules
// independently of the balancer.
type testEnv struct {
	*testing.T
	config           Config
	b                *Balancer
	now              Nanos
	line             string
	requests         map[RequestID]*clientRequest
	hosts            map[HostID]*testHost
	replies          map[HostID]scriptedReply
	queue            []timer
	log              []string
	counts           map[string]int
	customerOutcomes map[Customer]Outcome
	timeouts         []Nanos // of the clients, by product
	floodCount       int
	load             *LoadReport // report that comes with the outcome being delivered
}

func (s *testEnv) record(format string, v ...any) { s.log = append(s.log, fmt.Sprintf(format, v...)) }

func (s *testEnv) schedule(in Nanos, do func()) { s.queue = append(s.queue, timer{s.now + in, do}) }

func (s *testEnv) advanceTo(at Nanos) {
	for {
		slices.SortStableFunc(s.queue, func(x, y timer) int { return cmp.Compare(x.at, y.at) })
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

func (s *testEnv) Now() Nanos                    { return s.now }
func (s *testEnv) Subscribe()                    { s.record("subscribe") }
func (s *testEnv) SetTimer(in Nanos, id TimerID) { s.schedule(in, func() { s.b.TimerFired(id) }) }
func (s *testEnv) Cancel(id RequestID, n int) {
	s.record("cancel %s %d", id, n)
	d := s.requests[id]
	s.schedule(Millisecond, func() { s.endAttempt(id, n, Cancelled, s.now-d.attempts[n].sentAt) })
}

// repeatHarmless reports whether a repeat cannot cause a second effect, by the outcomes of the earlier attempts.
func (s *testEnv) repeatHarmless(d *clientRequest, deduplicates func(attempt) bool) bool {
	for _, x := range d.attempts {
		if !x.inFlight && !x.mayHaveRun {
			continue
		}
		p := s.config.Products[d.request.Product]
		if p.Effect == NonIdempotent || p.Effect == Deduplicated && (s.now-x.sentAt >= p.DedupWindow || !deduplicates(x)) {
			return false
		}
	}
	return true
}

func (s *testEnv) Send(id RequestID, to HostID, deadline, latestStart Nanos) {
	timeout := max(1, deadline-s.now)
	s.record("send %s %s", id, to)
	s.counts[string(to)]++
	s.counts[fmt.Sprint("zone", s.hosts[to].Zone)]++
	d, h := s.requests[id], s.hosts[to]
	inFlight := 0
	for _, x := range d.attempts {
		if x.inFlight {
			inFlight++
		}
	}
	switch {
	case d.answered || s.now > d.deadline:
		s.Errorf("%s: rule 1: %s sent after its final answer or deadline", s.line, id)
	case !s.repeatHarmless(d, func(x attempt) bool {
		e, p := x.host.HostEntry, s.config.Products[d.request.Product]
		return p.DedupScope == DedupScopeAll || p.DedupScope == DedupScopeZone && e.Zone == h.Zone || p.DedupScope == DedupScopeCell && e.Cell == h.Cell
	}):
		s.Errorf("%s: rule 2: %s may run twice", s.line, id)
	case inFlight > 0 || len(d.attempts) >= s.config.MaxAttempts:
		s.Errorf("%s: too many attempts of %s", s.line, id)
	case latestStart > deadline || slices.ContainsFunc(d.attempts, func(x attempt) bool {
		p := s.config.Products[d.request.Product]
		return x.mayHaveRun && p.Effect == Deduplicated && latestStart > x.sentAt+p.DedupWindow
	}):
		s.Errorf("%s: rule 2: %s may begin after the window in which it is dropped as a repeat", s.line, id)
	case h.stoppedAt > 0 && s.now > h.stoppedAt+testDrainGrace:
		s.Errorf("%s: rule 3: %s sent to %s after the grace", s.line, id, to)
	}
	h.attemptsAt = append(h.attemptsAt, s.now)
	if age := s.now - h.ListedStart; h.ListedStart > 0 && h.capacityPerS > 0 && age < s.config.WarmUpTime {
		n := 0
		for _, at := range h.attemptsAt {
			if at > s.now-s.config.OverloadWindow {
				n++
			}
		}
		share := s.config.ColdCapacityFraction + (1-s.config.ColdCapacityFraction)*age.seconds()/s.config.WarmUpTime.seconds()
		allowed := s.config.OverloadMultiple * share * h.capacityPerS * s.config.OverloadWindow.seconds() / float64(s.config.Balancers)
		if float64(n) > max(1, allowed) {
			s.Errorf("%s: rule 4: %d sent to cold %s, %.1f allowed", s.line, n, to, allowed)
		}
	}
	n := len(d.attempts)
	d.attempts = append(d.attempts, attempt{host: &cacheHost{HostEntry: h.HostEntry}, sentAt: s.now, inFlight: true})
	r, ok := s.replies[to]
	if o, fixed := s.customerOutcomes[d.request.Customer]; fixed && ok {
		r = scriptedReply{outcome: o, took: Millisecond}
	}
	if r.strayEvery > 0 && len(h.attemptsAt)%r.strayEvery == 0 {
		r.outcome = r.strayOutcome
		ok = r.strayOutcome != TimedOut // a timeout has no answer
	}
	if ok && r.took < timeout {
		s.schedule(r.took, func() { s.load = r.load; s.endAttempt(id, n, r.outcome, r.took); s.load = nil })
	} else {
		s.schedule(timeout, func() { s.endAttempt(id, n, TimedOut, timeout) })
	}
}

func (s *testEnv) endAttempt(id RequestID, n int, o Outcome, took Nanos) {
	d := s.requests[id]
	x := &d.attempts[n]
	if !x.inFlight { // already cancelled or answered
		return
	}
	x.inFlight, x.mayHaveRun = false, o != Rejected && o != ConnectFailed && o != NeverSent && o != CacheMiss
	wasAnswered := d.answered
	d.answered = d.answered || o == Fulfilled
	s.b.AttemptEnded(AttemptResult{RequestID: id, Attempt: n, Final: wasAnswered || o == Fulfilled, Outcome: o, Duration: took, HostID: x.host.HostID, Load: s.load})
}

func (s *testEnv) finalAnswer(id RequestID, what string) {
	s.record("%s %s", what, id)
	d := s.requests[id]
	s.counts[what]++
	s.counts[fmt.Sprint(what, d.request.Customer)]++
	if d.answered || s.now > d.deadline {
		s.Errorf("%s: rule 1: %s answered twice or late", s.line, id)
	}
	// The client's retry may arrive at any time, also after the deduplication window.
	p := s.config.Products[d.request.Product]
	earlierTryMayHaveRun := d.request.ClientRetry && p.Effect == Deduplicated && p.DedupScope == DedupScopeAll
	if what == "ratelimit" && (earlierTryMayHaveRun || !s.repeatHarmless(d, func(attempt) bool { return false })) {
		s.Errorf("%s: rule 2: %s rate-limited although it may have run", s.line, id)
	}
	d.answered = true
}

func (s *testEnv) RateLimit(id RequestID, retryAfter Nanos) {
	if retryAfter < 0 || retryAfter > s.config.MaxRetryAfter {
		s.Errorf("%s: retry after %d", s.line, retryAfter)
	}
	s.finalAnswer(id, "ratelimit")
}
func (s *testEnv) Error(id RequestID) { s.finalAnswer(id, "error") }

func (s *testEnv) arrive(id RequestID, o options, key string) {
	p := Product(o.number("product", 0))
	if host, n, found := strings.Cut(strings.TrimPrefix(key, "@"), "/"); key[0] == '@' { // @a/2: the second key whose home is a
		left, _ := strconv.Atoi(n)
		for i := 0; !found || left > 0; i++ {
			key = fmt.Sprint("k", i)
			if s.b.ring.home(Key(key)).HostID == HostID(host) {
				left, found = left-1, true
			}
		}
	}
	in := Request{ID: id, Key: Key(key), Product: p, Customer: Customer(o.number("customer", 0)), Write: o["write"] != "", ClientRetry: o["retry"] != "",
		Deadline: s.now + o.milliseconds("left", float64(s.timeouts[p]/Millisecond)), ExpectedWork: o.milliseconds("work", 0)}
	s.requests[id] = &clientRequest{request: in, deadline: in.Deadline}
	s.b.RequestArrived(in)
}

type options map[string]string

func (o options) number(name string, fallback float64) float64 {
	if v, ok := o[name]; ok {
		fallback, _ = strconv.ParseFloat(v, 64)
	}
	return fallback
}
func (o options) milliseconds(name string, fallback float64) Nanos {
	return Nanos(o.number(name, fallback) * float64(Millisecond))
}

// load returns the load report given by hand=, busy= and lat=, or nil without any of them.
func (o options) load() *LoadReport {
	if o["hand"]+o["busy"]+o["lat"] == "" {
		return nil
	}
	return &LoadReport{InProgress: o.number("hand", -1), Utilisation: o.number("busy", -1), ServiceSeconds: o.number("lat", -1000) / 1000}
}

func parseOptions(words []string) (plain []string, o options) {
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

var outcomeNames = map[string]Outcome{"fulfilled": Fulfilled, "errored": Errored, "full": Rejected, "timeout": TimedOut,
	"unconnected": ConnectFailed, "reset": Reset, "cancelled": Cancelled, "moot": NeverSent, "miss": CacheMiss, "spoilt": MalformedAnswer,
	"unknown": Unknown}

func (s *testEnv) runCommand(words []string) {
	w, o := parseOptions(words)
	t := &s.config
	switch w[0] {
	case "terms":
		t.Balancers = int(o.number("balancers", 1))
		t.CacheAside, t.MustSubscribe, t.SizesFollowLoad = o["aside"] != "", o["subscribe"] != "", o["live"] != ""
		t.CrossZoneCost, t.OriginFetchCost = o.number("cross", 0), o.number("fetch", 0)
		t.OriginKind = MachineKind(o.number("origin", -1))
		t.MaxAttempts = int(o.number("shots", 6))
		t.IdleConnectionLife = o.milliseconds("keep", 0)
	case "customer": // customer N OUTCOME: from now on all hosts answer its requests with this outcome
		if len(w) == 3 {
			n, _ := strconv.Atoi(w[1])
			s.customerOutcomes = map[Customer]Outcome{Customer(n): outcomeNames[w[2]]}
			break
		}
		t.Customers = append(t.Customers, CustomerConfig{QuotaPerSecond: o.number("allowance", 0)})
	case "product":
		e := map[string]Effect{"idempotent": Idempotent, "deduplicated": Deduplicated, "nonidempotent": NonIdempotent}[w[1]]
		g := map[string]DedupScope{"zone": DedupScopeZone, "cell": DedupScopeCell}[o["group"]]
		s.timeouts = append(s.timeouts, o.milliseconds("timeout", 2000))
		t.Products = append(t.Products, ProductConfig{LatencySLO: o.milliseconds("slo", 1000),
			BilledValue: o.number("value", 1), Effect: e, DedupScope: g, DedupWindow: o.milliseconds("window", 500)})
	case "list":
		if s.b == nil {
			s.now, s.counts = 1000*Second, map[string]int{}
			s.b = New(s, *t, 7)
		}
		kind := map[string]ListKind{"update": ListUpdate, "replace": ListReplace, "restored": ListRestored,
			"unavailable": ListUnavailable}[w[1]]
		var entries []HostEntry
		named := map[HostID]bool{}
		for _, x := range words[2:] { // name,zone=1,cell=2,kind=1,size=2,born=0,perS=20,drain
			parts, eo := parseOptions(strings.Split(x, ","))
			e := HostEntry{HostID: HostID(parts[0]), Zone: Zone(eo.number("zone", 0)), Cell: Cell(eo.number("cell", 0)),
				Kind: MachineKind(eo.number("kind", 0)), Size: eo.number("size", 1)}
			if _, ok := eo["born"]; ok {
				e.ListedStart = s.now - eo.milliseconds("born", 0)
			}
			h := &testHost{HostEntry: e, capacityPerS: eo.number("perS", 0)}
			if eo["drain"] != "" {
				e.Condition, h.stoppedAt = Draining, s.now
			}
			entries, named[e.HostID] = append(entries, e), true
			s.hosts[e.HostID] = h
		}
		for id, h := range s.hosts {
			if kind == ListReplace && !named[id] && h.stoppedAt == 0 {
				h.stoppedAt = s.now
			}
		}
		s.b.ApplyList(kind, entries)
	case "exclude", "include": // by an operator; nobody=1: no cache host has that id
		known := false
		if h := s.hosts[HostID(w[1])]; w[0] == "include" {
			known = s.b.Include(HostID(w[1]))
			h.stoppedAt, h.ListedStart = 0, s.now
		} else if known, _ = s.b.Exclude(HostID(w[1])); h != nil {
			h.stoppedAt = s.now - testDrainGrace - 1
		}
		if known != (o["nobody"] == "") {
			s.Errorf("%s: reported as known: %v", s.line, known)
		}
	case "wait":
		s.advanceTo(s.now + Nanos(o.number("ns", 0)) + o.milliseconds("ms", 0))
	case "answer":
		for _, h := range strings.Split(w[1], ",") {
			s.replies[HostID(h)] = scriptedReply{outcomeNames[w[2]], o.milliseconds("took", 10), int(o.number("stray", 0)), outcomeNames[o["as"]], o.load()}
		}
	case "call":
		s.arrive(RequestID(w[1]), o, w[2])
	case "flood": // flood N: N requests, each for a key of its own or all for key=
		n, _ := strconv.Atoi(w[1])
		s.counts = map[string]int{}
		for i := range n {
			s.floodCount++
			key := cmp.Or(o["key"], fmt.Sprint("flood", s.floodCount))
			if of := int(o.number("of", 0)); of > 0 {
				key = fmt.Sprint("some", i%of)
			}
			if i%10 == 9 && o["other"] != "" { // every tenth belongs to another customer
				o["customer"] = o["other"]
			} else {
				delete(o, "customer")
			}
			s.arrive(RequestID(fmt.Sprint("flood", s.floodCount)), o, key)
			s.advanceTo(s.now + o.milliseconds("every", 1))
		}
		s.advanceTo(s.now + o.milliseconds("rest", 0))
		s.log = nil
	case "end":
		n, _ := strconv.Atoi(w[2])
		s.endAttempt(RequestID(w[1]), n, outcomeNames[w[3]], s.now-s.requests[RequestID(w[1])].attempts[n].sentAt)
	case "abandon":
		s.requests[RequestID(w[1])].answered = true
		s.b.RequestAbandoned(RequestID(w[1]))
	case "count": // count WHAT MIN MAX: attempts at a host, or answers, in the last flood
		least, _ := strconv.Atoi(w[2])
		most, _ := strconv.Atoi(w[3])
		if n := s.counts[w[1]]; n < least || n > most {
			s.Errorf("%s: the count is %d", s.line, n)
		}
	case "remembers": // remembers N: the balancer has state of N hosts
		if n, _ := strconv.Atoi(w[1]); len(s.b.hosts) != n {
			s.Errorf("%s: the balancer has state of %d hosts", s.line, len(s.b.hosts))
		}
	case "bears": // bears MIN: lowest fleetLimitPerHost
		if least, _ := strconv.ParseFloat(w[1], 64); s.b.fleetLimitPerHost < least {
			s.Errorf("%s: fleetLimitPerHost is %.3f", s.line, s.b.fleetLimitPerHost)
		}
	case "expect": // the next action; * stands for any word; "nothing": no action is left
		got := []string{"nothing"}
		if len(s.log) > 0 {
			got, s.log = strings.Fields(s.log[0]), s.log[1:]
		}
		if !slices.EqualFunc(w[1:], got, func(x, y string) bool { return x == "*" || x == y }) {
			s.Errorf("%s: got %q", s.line, got)
		}
	default:
		s.Fatalf("%s: unknown command", s.line)
	}
}
