package policy

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

// coldSimulation runs many balancers on one clock, each with its own traffic, and counts the requests that cold
// hosts get from all of them together.
type coldSimulation struct {
	coldScenario
	now           Nanos
	queue         events
	eventCount    int
	rand          *rand.Rand
	hosts         map[HostID]*simulatedHost
	attemptCounts map[RequestID]int
}

// coldScenario describes one run: the balancers, the hosts, and the hosts that start cold at the same time.
type coldScenario struct {
	balancers, hostCount, coldHosts int
	capacityPerS                    float64                          // of a warm host, in requests
	load                            float64                          // of all requests, as a fraction of the capacity of all hosts when warm
	coldSpeed                       float64                          // capacity of the cold hosts relative to the others; the balancers do not know it
	trafficSpread                   float64                          // spread of traffic between the balancers (sigma of a log-normal distribution)
	restartedBalancers              float64                          // fraction of the balancers that start together with the cold hosts
	leavingHosts                    float64                          // fraction of the warm hosts that leave four seconds later, when budgets have accumulated
	allowedRequests                 func(overloadAt float64) float64 // requests allowed in a window, by overloadAt; nil: overloadAt plus random variation
}

// simulatedHost is a cache host with a queue and a single server.
type simulatedHost struct {
	HostEntry
	capacityPerS float64
	arrivals     []Nanos
	idleFrom     Nanos // when its queued work is done
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

func (f *coldSimulation) schedule(at Nanos, do func()) {
	f.eventCount++
	heap.Push(&f.queue, event{at, f.eventCount, do})
}

func (f *coldSimulation) runUntil(until Nanos) {
	for len(f.queue) > 0 && f.queue[0].at <= until {
		e := heap.Pop(&f.queue).(event)
		f.now = e.at
		e.do()
	}
	f.now = until
}

// simulatedBalancer is the environment of one balancer of the fleet.
type simulatedBalancer struct {
	*coldSimulation
	b       *Balancer
	stopped bool
}

func (s *simulatedBalancer) Now() Nanos { return s.now }
func (s *simulatedBalancer) SetTimer(after Nanos, id TimerID) {
	s.schedule(s.now+after, func() {
		if !s.stopped {
			s.b.TimerFired(id)
		}
	})
}
func (s *simulatedBalancer) Subscribe()                 {}
func (s *simulatedBalancer) Cancel(RequestID, int)      {}
func (s *simulatedBalancer) RateLimit(RequestID, Nanos) {}
func (s *simulatedBalancer) Error(RequestID)            {}

// Send queues the request at the host, whose speed follows its warm-up.
func (s *simulatedBalancer) Send(id RequestID, to HostID, deadline, _ Nanos) {
	h := s.hosts[to]
	h.arrivals = append(h.arrivals, s.now)
	n := s.attemptCounts[id]
	s.attemptCounts[id]++
	work := Nanos(s.rand.ExpFloat64() / (h.capacityPerS * s.warmShare(h, s.now)) * float64(Second))
	sent := s.now
	h.idleFrom = max(h.idleFrom, s.now) + work
	end, outcome := h.idleFrom+Millisecond, Fulfilled
	if end > deadline {
		end, outcome = deadline, TimedOut
	}
	s.schedule(end, func() {
		if !s.stopped {
			s.b.AttemptEnded(AttemptResult{RequestID: id, Attempt: n, Final: outcome == Fulfilled, Outcome: outcome, Duration: s.now - sent, HostID: to})
		}
	})
}

const (
	testColdCapacityFraction = 0.2
	testWarmUpTime           = 20 * Second
	testOverloadMultiple     = 3.0
	testOverloadWindow       = 2 * Second
)

func (f *coldSimulation) warmShare(h *simulatedHost, at Nanos) float64 {
	if h.ListedStart == 0 || at >= h.ListedStart+testWarmUpTime {
		return 1
	}
	return testColdCapacityFraction + (1-testColdCapacityFraction)*(at-h.ListedStart).seconds()/testWarmUpTime.seconds()
}

// run starts the cold hosts after ten seconds. Of all windows that begin with a request at a cold host it returns
// the number, how many exceed the allowed requests, and the highest ratio of requests to allowed ones. used is the
// fraction of the cold hosts' capacity that was used in their first ten seconds.
func (p coldScenario) run(seed uint64) (windows, exceeded int, maxRatio, used float64) {
	f := &coldSimulation{coldScenario: p, rand: rand.New(rand.NewPCG(seed, 9)), hosts: map[HostID]*simulatedHost{}, attemptCounts: map[RequestID]int{}}
	const coldStart = 10 * Second
	var list, changed []HostEntry
	for i := range p.hostCount {
		id := HostID(fmt.Sprint("h", i))
		f.hosts[id] = &simulatedHost{HostEntry: HostEntry{HostID: id, Size: 1}, capacityPerS: p.capacityPerS}
		list = append(list, f.hosts[id].HostEntry)
	}
	config := Config{Balancers: p.balancers, Products: []ProductConfig{{LatencySLO: Second, BilledValue: 1}}, MayCancel: true, MaxAttempts: 4,
		OriginKind: -1, ColdCapacityFraction: testColdCapacityFraction, WarmUpTime: testWarmUpTime, OverloadMultiple: testOverloadMultiple, OverloadWindow: testOverloadWindow, TimerGranularity: 5 * Millisecond}
	var balancers []*simulatedBalancer
	start := func(i int) *simulatedBalancer {
		s := &simulatedBalancer{coldSimulation: f}
		s.b = New(s, config, seed*1000+uint64(i))
		return s
	}
	total := p.load * p.capacityPerS * float64(p.hostCount)
	weights, sum := make([]float64, p.balancers), 0.0
	for i := range p.balancers {
		weights[i] = math.Exp(p.trafficSpread * f.rand.NormFloat64())
		sum += weights[i]
	}
	for i := range p.balancers {
		s := start(i)
		s.b.ApplyList(ListReplace, list)
		balancers = append(balancers, s)
		mean := Second.seconds() / (total * weights[i] / sum)
		n := 0
		var arrive func()
		arrive = func() {
			n++
			id := RequestID(fmt.Sprint(i, "-", n))
			key := Key(fmt.Sprint("k", int(math.Pow(f.rand.Float64(), 3)*2000)))
			balancers[i].b.RequestArrived(Request{ID: id, Key: key, Deadline: f.now + 2*Second})
			f.schedule(f.now+Nanos(f.rand.ExpFloat64()*mean*float64(Second)), arrive)
		}
		f.schedule(Nanos(f.rand.ExpFloat64()*mean*float64(Second)), arrive)
	}
	f.runUntil(coldStart)
	for i := range p.coldHosts {
		h := f.hosts[HostID(fmt.Sprint("h", i))]
		h.ListedStart, h.capacityPerS, h.arrivals, h.idleFrom = coldStart, p.capacityPerS*p.coldSpeed, nil, coldStart
		changed = append(changed, h.HostEntry)
	}
	for i, s := range balancers {
		if float64(i) < p.restartedBalancers*float64(p.balancers) {
			s.stopped = true
			balancers[i] = start(i)
			full := append([]HostEntry{}, changed...)
			balancers[i].b.ApplyList(ListReplace, append(full, list[p.coldHosts:]...))
		} else {
			s.b.ApplyList(ListUpdate, changed)
		}
	}
	f.runUntil(coldStart + 4*Second)
	var gone []HostEntry
	for i := p.coldHosts; i < p.coldHosts+int(p.leavingHosts*float64(p.hostCount-p.coldHosts)); i++ {
		e := list[i]
		e.Condition = Draining
		gone = append(gone, e)
	}
	for _, s := range balancers {
		s.b.ApplyList(ListUpdate, gone)
	}
	f.runUntil(coldStart + 14*Second)
	received, possible := 0.0, 0.0
	for i := range p.coldHosts {
		h := f.hosts[HostID(fmt.Sprint("h", i))]
		for from, at := range h.arrivals {
			n := 0
			for _, c := range h.arrivals[from:] {
				if c < at+testOverloadWindow {
					n++
				}
			}
			// Requests in this window that overload the host; the warm share rises evenly, so its middle counts.
			overloadAt := testOverloadMultiple * h.capacityPerS * f.warmShare(h, at+testOverloadWindow/2) * testOverloadWindow.seconds()
			windows++
			allowed := overloadAt + 2*math.Sqrt(overloadAt) + 2
			if p.allowedRequests != nil {
				allowed = p.allowedRequests(overloadAt)
			}
			if float64(n) > allowed {
				exceeded++
			}
			maxRatio = max(maxRatio, float64(n)/allowed)
			if at < coldStart+10*Second {
				received++
			}
		}
		possible += h.capacityPerS * 10 * (testColdCapacityFraction + (1-testColdCapacityFraction)*10/testWarmUpTime.seconds()/2)
	}
	return windows, exceeded, maxRatio, received / possible
}

// The budget of a cold host applies to the sum of all balancers. With N the number of requests that overload a
// host in a window, no window may exceed N by more than random variation, 2*sqrt(N)+2, and the cold hosts must be
// used. Cases: hosts slower than the balancers assume, uneven traffic, most balancers just restarted, all warm
// hosts leaving when budgets have accumulated.
func TestColdHostsWithinTotalBudget(t *testing.T) {
	for _, row := range []struct {
		coldScenario
		used float64
	}{
		{coldScenario{balancers: 20, hostCount: 12, coldHosts: 1, capacityPerS: 20, load: 0.6, coldSpeed: 1, trafficSpread: 1}, 0.2},
		{coldScenario{balancers: 20, hostCount: 12, coldHosts: 4, capacityPerS: 20, load: 0.6, coldSpeed: 1, trafficSpread: 1, leavingHosts: 0.75}, 0.2},
		{coldScenario{balancers: 30, hostCount: 12, coldHosts: 12, capacityPerS: 20, load: 0.6, coldSpeed: 1, trafficSpread: 1}, 0.4},
		{coldScenario{balancers: 30, hostCount: 12, coldHosts: 8, capacityPerS: 20, load: 1.2, coldSpeed: 0.6, trafficSpread: 1, restartedBalancers: 0.7}, 0.3},
		{coldScenario{balancers: 30, hostCount: 12, coldHosts: 4, capacityPerS: 20, load: 1.2, coldSpeed: 0.6, trafficSpread: 1, leavingHosts: 1}, 0.3},
		{coldScenario{balancers: 300, hostCount: 30, coldHosts: 10, capacityPerS: 20, load: 0.9, coldSpeed: 0.6, trafficSpread: 1, restartedBalancers: 0.7, leavingHosts: 0.75}, 0.05},
	} {
		for seed := range uint64(2) {
			windows, exceeded, maxRatio, used := row.run(seed)
			t.Logf("%+v: %d windows, %d exceeded, highest ratio %.2f, used %.2f", row.coldScenario, windows, exceeded, maxRatio, used)
			if exceeded > 0 || used < row.used {
				t.Errorf("%+v, seed %d: %d of %d windows beyond random variation, highest ratio %.2f; cold hosts used %.2f of their capacity",
					row.coldScenario, seed, exceeded, windows, maxRatio, used)
			}
		}
	}
}

// slowStartLimit returns the requests that the operators allow in a window, by the number that overloads the host.
func slowStartLimit(overloadAt float64) float64 {
	if overloadAt < 30 {
		return overloadAt + 3*math.Sqrt(overloadAt) + 3
	}
	return overloadAt + 2*math.Sqrt(overloadAt) + 2
}

// TestColdHostsOfAnySize checks the slow-start rule in fleets of 1 to 900 balancers and with hosts that may get
// less than one request in a window, where the minimum rates of all balancers add up.
func TestColdHostsOfAnySize(t *testing.T) {
	shapes := []coldScenario{
		{hostCount: 12, coldHosts: 4, load: 0.6, coldSpeed: 1, trafficSpread: 1, leavingHosts: 1},
		{hostCount: 12, coldHosts: 12, load: 1.2, coldSpeed: 1, trafficSpread: 1},
		{hostCount: 12, coldHosts: 8, load: 1.2, coldSpeed: 1, trafficSpread: 1, restartedBalancers: 0.7, leavingHosts: 1},
	}
	for _, balancers := range []int{1, 2, 5, 20, 30, 300, 900} {
		t.Run(fmt.Sprint(balancers), func(t *testing.T) {
			t.Parallel()
			for _, capacityPerS := range []float64{0.5, 1, 4, 20} {
				for i, scenario := range shapes {
					scenario.balancers, scenario.capacityPerS, scenario.allowedRequests = balancers, capacityPerS, slowStartLimit
					windows, exceeded, maxRatio, used := scenario.run(0)
					t.Logf("%v a second, shape %d: %d windows, %d exceeded, highest ratio %.2f, used %.2f", capacityPerS, i, windows, exceeded, maxRatio, used)
					if exceeded > 0 {
						t.Errorf("%v a second, shape %d: %d of %d windows exceed the limit, highest ratio %.2f", capacityPerS, i, exceeded, windows, maxRatio)
					}
				}
			}
		})
	}
}
