package policy

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

// coldFleet plays many balancers on one clock, each with its own traffic, and counts what cold hosts get from all of them together.
type coldFleet struct {
	coldPlay
	now   Nanos
	queue events
	order int
	rand  *rand.Rand
	hosts map[CacheID]*coldHost
	turns map[CallID]int
}

// coldPlay is one play: so many balancers and hosts, of which some start at once.
type coldPlay struct {
	balancers, fleet, cold int
	perS                   float64                    // what a warm host can do
	load                   float64                    // of what all hosts could do warm
	slow                   float64                    // what cold hosts can do beside the others, which no balancer is told
	uneven                 float64                    // spread of the balancers' traffic
	restarted              float64                    // share of the balancers that start with the hosts
	leave                  float64                    // share of the warm hosts that go four seconds later, when budgets have been saved up
	allowed                func(able float64) float64 // requests in a window that may do so many there; nil: by chance alone
}

type coldHost struct {
	Entry
	speed float64
	came  []Nanos
	free  Nanos // when what it has is done
}

type event struct {
	at    Nanos
	order int
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	o := *e
	x := o[len(o)-1]
	*e = o[:len(o)-1]
	return x
}

func (f *coldFleet) later(at Nanos, do func()) {
	f.order++
	heap.Push(&f.queue, event{at, f.order, do})
}

func (f *coldFleet) playTo(until Nanos) {
	for len(f.queue) > 0 && f.queue[0].at <= until {
		e := heap.Pop(&f.queue).(event)
		f.now = e.at
		e.do()
	}
	f.now = until
}

// coldSide is one balancer of the fleet.
type coldSide struct {
	*coldFleet
	b    *Balancer
	gone bool
}

func (s *coldSide) Now() Nanos { return s.now }
func (s *coldSide) SetTimer(after Nanos, id TimerID) {
	s.later(s.now+after, func() {
		if !s.gone {
			s.b.TimerFired(id)
		}
	})
}
func (s *coldSide) Subscribe()              {}
func (s *coldSide) Cancel(CallID, int)      {}
func (s *coldSide) RateLimit(CallID, Nanos) {}
func (s *coldSide) Error(CallID)            {}

// Send has the host work on it as a queue with one server would, as fast as it is warm.
func (s *coldSide) Send(id CallID, to CacheID, deadline, _ Nanos) {
	h := s.hosts[to]
	h.came = append(h.came, s.now)
	n := s.turns[id]
	s.turns[id]++
	work := Nanos(s.rand.ExpFloat64() / (h.speed * s.warm(h, s.now)) * float64(Second))
	sent := s.now
	h.free = max(h.free, s.now) + work
	end, outcome := h.free+Millisecond, Fulfilled
	if end > deadline {
		end, outcome = deadline, TimedOut
	}
	s.later(end, func() {
		if !s.gone {
			s.b.Ended(Ending{Call: id, Attempt: n, Final: outcome == Fulfilled, Outcome: outcome, Took: s.now - sent, Cache: to})
		}
	})
}

const (
	coldFromTest = 0.2
	rampTest     = 20 * Second
	multipleTest = 3.0
	fallTest     = 2 * Second
)

func (f *coldFleet) warm(h *coldHost, at Nanos) float64 {
	if h.Born == 0 || at >= h.Born+rampTest {
		return 1
	}
	return coldFromTest + (1-coldFromTest)*(at-h.Born).seconds()/rampTest.seconds()
}

// play has the hosts start at ten seconds and tells, over all windows that begin with a request at a cold one, how many there
// were, how many were over what is chance, and the largest part of what falls it that any got; and what cold hosts got of what
// they could do in the first ten seconds.
func (p coldPlay) play(seed uint64) (windows, over int, most, used float64) {
	f := &coldFleet{coldPlay: p, rand: rand.New(rand.NewPCG(seed, 9)), hosts: map[CacheID]*coldHost{}, turns: map[CallID]int{}}
	const born = 10 * Second
	var list, changed []Entry
	for i := range p.fleet {
		id := CacheID(fmt.Sprint("h", i))
		f.hosts[id] = &coldHost{Entry: Entry{Cache: id, Size: 1}, speed: p.perS}
		list = append(list, f.hosts[id].Entry)
	}
	terms := Terms{Balancers: p.balancers, Products: []ProductTerms{{LatencySLO: Second, BilledValue: 1}}, MayCancel: true, MostAttempts: 4,
		OriginKind: -1, ColdFrom: coldFromTest, RampTime: rampTest, FallMultiple: multipleTest, FallWindow: fallTest, Tick: 5 * Millisecond}
	var sides []*coldSide
	start := func(i int) *coldSide {
		s := &coldSide{coldFleet: f}
		s.b = New(s, terms, seed*1000+uint64(i))
		return s
	}
	total := p.load * p.perS * float64(p.fleet)
	weights, sum := make([]float64, p.balancers), 0.0
	for i := range p.balancers {
		weights[i] = math.Exp(p.uneven * f.rand.NormFloat64())
		sum += weights[i]
	}
	for i := range p.balancers {
		s := start(i)
		s.b.Listed(ListReplace, list)
		sides = append(sides, s)
		mean := Second.seconds() / (total * weights[i] / sum)
		n := 0
		var arrive func()
		arrive = func() {
			n++
			id := CallID(fmt.Sprint(i, "-", n))
			key := Key(fmt.Sprint("k", int(math.Pow(f.rand.Float64(), 3)*2000)))
			sides[i].b.Arrived(Call{ID: id, Key: key, Deadline: f.now + 2*Second})
			f.later(f.now+Nanos(f.rand.ExpFloat64()*mean*float64(Second)), arrive)
		}
		f.later(Nanos(f.rand.ExpFloat64()*mean*float64(Second)), arrive)
	}
	f.playTo(born)
	for i := range p.cold {
		h := f.hosts[CacheID(fmt.Sprint("h", i))]
		h.Born, h.speed, h.came, h.free = born, p.perS*p.slow, nil, born
		changed = append(changed, h.Entry)
	}
	for i, s := range sides {
		if float64(i) < p.restarted*float64(p.balancers) {
			s.gone = true
			sides[i] = start(i)
			full := append([]Entry{}, changed...)
			sides[i].b.Listed(ListReplace, append(full, list[p.cold:]...))
		} else {
			s.b.Listed(ListUpdate, changed)
		}
	}
	f.playTo(born + 4*Second)
	var gone []Entry
	for i := p.cold; i < p.cold+int(p.leave*float64(p.fleet-p.cold)); i++ {
		e := list[i]
		e.Condition = Draining
		gone = append(gone, e)
	}
	for _, s := range sides {
		s.b.Listed(ListUpdate, gone)
	}
	f.playTo(born + 14*Second)
	got, could := 0.0, 0.0
	for i := range p.cold {
		h := f.hosts[CacheID(fmt.Sprint("h", i))]
		for from, at := range h.came {
			n := 0
			for _, c := range h.came[from:] {
				if c < at+fallTest {
					n++
				}
			}
			// What it can do in this window, by its middle, as it warms evenly.
			able := multipleTest * h.speed * f.warm(h, at+fallTest/2) * fallTest.seconds()
			windows++
			allowed := able + 2*math.Sqrt(able) + 2
			if p.allowed != nil {
				allowed = p.allowed(able)
			}
			if float64(n) > allowed {
				over++
			}
			most = max(most, float64(n)/allowed)
			if at < born+10*Second {
				got++
			}
		}
		could += h.speed * 10 * (coldFromTest + (1-coldFromTest)*10/rampTest.seconds()/2)
	}
	return windows, over, most, got / could
}

// The budget of a cold host holds for the sum of all balancers: beyond what falls it, N calls in any of its windows, only chance
// is allowed, 2 root(N) + 2; and cold hosts are used. Hosts that are slower than any balancer is told, uneven traffic, most
// balancers begun anew, all that is warm gone when budgets have been saved up.
func TestColdHostsUnderAllTogether(t *testing.T) {
	for _, row := range []struct {
		coldPlay
		used float64
	}{
		{coldPlay{balancers: 20, fleet: 12, cold: 1, perS: 20, load: 0.6, slow: 1, uneven: 1}, 0.2},
		{coldPlay{balancers: 20, fleet: 12, cold: 4, perS: 20, load: 0.6, slow: 1, uneven: 1, leave: 0.75}, 0.2},
		{coldPlay{balancers: 30, fleet: 12, cold: 12, perS: 20, load: 0.6, slow: 1, uneven: 1}, 0.4},
		{coldPlay{balancers: 30, fleet: 12, cold: 8, perS: 20, load: 1.2, slow: 0.6, uneven: 1, restarted: 0.7}, 0.3},
		{coldPlay{balancers: 30, fleet: 12, cold: 4, perS: 20, load: 1.2, slow: 0.6, uneven: 1, leave: 1}, 0.3},
		{coldPlay{balancers: 300, fleet: 30, cold: 10, perS: 20, load: 0.9, slow: 0.6, uneven: 1, restarted: 0.7, leave: 0.75}, 0.05},
	} {
		for seed := range uint64(2) {
			windows, over, most, used := row.play(seed)
			t.Logf("%+v: %d windows, %d over, most %.2f, used %.2f", row.coldPlay, windows, over, most, used)
			if over > 0 || used < row.used {
				t.Errorf("%+v, seed %d: %d of %d windows over what is chance, the most %.2f of it; cold hosts did %.2f of what they could",
					row.coldPlay, seed, over, windows, most, used)
			}
		}
	}
}

// slowStart is what the operators' rule allows of requests in a window that may do so many.
func slowStart(able float64) float64 {
	if able < 30 {
		return able + 3*math.Sqrt(able) + 3
	}
	return able + 2*math.Sqrt(able) + 2
}

// TestColdHostsOfAnySize holds the rule in fleets of 1 to 900 balancers and with hosts that may do under one request in a window: the
// least that each balancer may send adds up there.
func TestColdHostsOfAnySize(t *testing.T) {
	shapes := []coldPlay{
		{fleet: 12, cold: 4, load: 0.6, slow: 1, uneven: 1, leave: 1},
		{fleet: 12, cold: 12, load: 1.2, slow: 1, uneven: 1},
		{fleet: 12, cold: 8, load: 1.2, slow: 1, uneven: 1, restarted: 0.7, leave: 1},
	}
	for _, balancers := range []int{1, 2, 5, 20, 30, 300, 900} {
		t.Run(fmt.Sprint(balancers), func(t *testing.T) {
			t.Parallel()
			for _, perS := range []float64{0.5, 1, 4, 20} {
				for i, play := range shapes {
					play.balancers, play.perS, play.allowed = balancers, perS, slowStart
					windows, over, most, used := play.play(0)
					t.Logf("%v a second, shape %d: %d windows, %d over, most %.2f, used %.2f", perS, i, windows, over, most, used)
					if over > 0 {
						t.Errorf("%v a second, shape %d: %d of %d windows over what is allowed, the most %.2f of it", perS, i, over, windows, most)
					}
				}
			}
		})
	}
}
