package share

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"streamrail/internal/fleet/member"
)

const testLease = 2 * time.Second

// scenarioCount is the number of random scenarios that are simulated: 100000 take four minutes.
var scenarioCount = flag.Int("days", 150, "random scenarios to simulate")

// scenarioSize is the number of balancers in a random scenario.
var scenarioSize = flag.Int("size", 0, "balancers in each random scenario; 0: 3 to 8, in one of fifty up to 40")

// simulation is some balancers with clocks of their own on an unreliable network.
type simulation struct {
	now            time.Duration // true time
	balancers      []*testBalancer
	inFlight       []packet
	rng            *rand.Rand
	lastID         int
	lossRate       float64
	blocked        [][]bool
	tamper         func(p *simulation, i int) // introduces a deliberate fault
	largestSum     Part
	olderProcesses []olderProcess
}

// olderProcess is the older process of an upgrade, which goes on using the parts it had when the newer one took over.
type olderProcess struct {
	balancer int
	parts    [2]Part
	endsAt   time.Duration
}

// upgrade has a newer process take over from a balancer's process, with the same id.
func (p *simulation) upgrade(i int, duration time.Duration) {
	m := p.balancers[i]
	m.SetUpgrading(true)
	m.Tick(m.clock(p.now), nil)
	p.flush(i)
	now := m.clock(p.now)
	p.olderProcesses = append(p.olderProcesses, olderProcess{i, [2]Part{m.Part(now, 0), m.Part(now, 1)}, p.now + duration})
	id := m.id
	p.start(i)
	p.balancers[i].id = id
	p.balancers[i].config.Self = id
	p.balancers[i].SetUpgrading(true)
}

type testBalancer struct {
	*Machine
	id          member.ProcessID
	clockRate   float64 // rate of its clock relative to true time
	clockZero   time.Duration
	pausedUntil time.Duration // true time until which the process is paused
	nextTick    time.Duration
}

type packet struct {
	arrival  time.Duration
	to       member.ProcessID
	from     member.ProcessID
	msg      Message
	receiver int // index of the receiving balancer
}

func newSimulation(n int, seed uint64) *simulation {
	p := &simulation{rng: rand.New(rand.NewPCG(seed, 7))}
	for range n {
		p.balancers = append(p.balancers, nil)
		p.blocked = append(p.blocked, make([]bool, n))
	}
	for i := range n {
		p.start(i)
	}
	return p
}

func (p *simulation) start(i int) {
	p.lastID++
	m := &testBalancer{id: member.ProcessID(p.lastID), clockRate: 1 + maxClockSkew*(2*p.rng.Float64()-1), clockZero: p.now - time.Duration(p.rng.IntN(1e9)), nextTick: p.now}
	m.Machine = New(Config{Self: m.id, Balancers: len(p.balancers), Names: []string{"a", "b"}, Limits: []float64{100, 50}, ReservedFraction: []float64{0, 0.5}, Lease: testLease,
		FirstAskNumber: uint64(p.now/time.Microsecond) + 1, Seed: p.rng.Uint64()}, m.clock(p.now))
	p.balancers[i] = m
}

// clock converts the true time to the time of the balancer's own clock.
func (m *testBalancer) clock(now time.Duration) Moment {
	return Moment(float64(now-m.clockZero) * m.clockRate)
}

func (p *simulation) members() (ids []member.ProcessID) {
	for _, m := range p.balancers {
		if m != nil {
			ids = append(ids, m.id)
		}
	}
	return ids
}

// step advances the time, delivers packets, runs ticks and checks that all parts together are no more than the limit.
func (p *simulation) step(by time.Duration) error {
	p.now += by
	for k := 0; k < len(p.inFlight); {
		delivered := p.inFlight[k]
		if delivered.arrival > p.now {
			k++
			continue
		}
		p.inFlight = slices.Delete(p.inFlight, k, k+1)
		if m := p.balancers[delivered.receiver]; m != nil && m.id == delivered.to && m.pausedUntil <= p.now {
			m.Receive(m.clock(p.now), delivered.from, &delivered.msg)
			p.flush(delivered.receiver)
		}
	}
	p.olderProcesses = slices.DeleteFunc(p.olderProcesses, func(o olderProcess) bool {
		ended := p.now >= o.endsAt
		if m := p.balancers[o.balancer]; ended && m != nil {
			m.SetUpgrading(false)
		}
		return ended
	})
	for i, m := range p.balancers {
		if m == nil || m.pausedUntil > p.now || m.nextTick > p.now {
			continue
		}
		m.Tick(m.clock(p.now), p.members())
		m.nextTick = p.now + TickInterval
		p.flush(i)
		if p.tamper != nil {
			p.tamper(p, i)
		}
	}
	return p.check()
}

func (p *simulation) flush(i int) {
	m := p.balancers[i]
	for _, s := range m.TakeOutput() {
		for to, o := range p.balancers {
			if o == nil || o.id != s.To || p.blocked[i][to] || p.rng.Float64() < p.lossRate {
				continue
			}
			for range 1 + p.rng.IntN(8)/7 {
				p.inFlight = append(p.inFlight, packet{p.now + time.Duration(p.rng.IntN(60))*time.Millisecond + time.Duration(p.rng.IntN(20)/19)*time.Second, s.To, m.id, s.Msg, to})
			}
		}
	}
}

func (p *simulation) check() error {
	for index := range 2 {
		sum := Part(0)
		for _, o := range p.olderProcesses {
			sum += o.parts[index]
		}
		for _, m := range p.balancers {
			if m != nil && m.pausedUntil <= p.now {
				part := m.Part(m.clock(p.now), index)
				if part < 0 {
					return fmt.Errorf("at %v: negative part %d", p.now, part)
				}
				sum += part
			}
		}
		p.largestSum = max(p.largestSum, sum)
		if sum > WholeLimit {
			return fmt.Errorf("at %v: parts of limit %d add up to %.4f of it", p.now, index, float64(sum)/float64(WholeLimit))
		}
	}
	return nil
}

// runScenario simulates random demand, network cuts, message losses, pauses, kills, restarts and upgrades. It returns the largest sum
// of parts that it saw.
func runScenario(seed uint64, tamper func(*simulation, int)) (Part, error) {
	rng := rand.New(rand.NewPCG(seed, 9))
	n := 3 + rng.IntN(6)
	switch {
	case *scenarioSize > 0:
		n = *scenarioSize
	case seed%50 == 49:
		n = 9 + rng.IntN(32)
	}
	p := newSimulation(n, seed)
	p.tamper = tamper
	for p.now < 30*time.Second {
		// In one scenario of four something happens about twice a second; in the others events are far enough apart for leases
		// to expire.
		switch i := rng.IntN(n); rng.IntN(30 * (1 + int(seed%4)*15)) {
		case 0:
			p.balancers[i] = nil
		case 1, 2:
			if p.balancers[i] == nil && !slices.ContainsFunc(p.olderProcesses, func(o olderProcess) bool { return o.balancer == i }) {
				p.start(i)
			}
		case 3:
			if p.balancers[i] != nil {
				p.balancers[i].pausedUntil = p.now + time.Duration(rng.IntN(5000))*time.Millisecond
			}
		case 9:
			if m := p.balancers[i]; m != nil && m.pausedUntil <= p.now && !slices.ContainsFunc(p.olderProcesses, func(o olderProcess) bool { return o.balancer == i }) {
				p.upgrade(i, time.Duration(rng.IntN(6000))*time.Millisecond)
			}
		case 4:
			p.blocked[i][rng.IntN(n)] = true
		case 5, 6:
			p.blocked[i][rng.IntN(n)] = false
		case 7:
			p.lossRate = rng.Float64() / 2
		case 8:
			if m := p.balancers[i]; m != nil && m.pausedUntil <= p.now {
				m.SetNeed(m.clock(p.now), rng.IntN(2), rng.Float64()*float64(1+seed%2*149))
			}
		}
		// Demand for limit 0 moves from balancer to balancer.
		if m := p.balancers[int(p.now/(7*time.Second))%n]; m != nil && m.pausedUntil <= p.now {
			m.SetNeed(m.clock(p.now), 0, 60)
		}
		if err := p.step(20 * time.Millisecond); err != nil {
			return p.largestSum, fmt.Errorf("seed %d, %w", seed, err)
		}
	}
	return p.largestSum, nil
}

// Whatever messages are lost and processes paused, killed and restarted, the parts never add up to more than the limit.
func TestNeverMoreThanTheWhole(t *testing.T) {
	largestSum := Part(0)
	for seed := range uint64(*scenarioCount) {
		sum, err := runScenario(seed, nil)
		if err != nil {
			t.Fatal(err)
		}
		largestSum = max(largestSum, sum)
	}
	t.Logf("the largest sum was %.4f of the limit", float64(largestSum)/float64(WholeLimit))
	if largestSum < WholeLimit*9/10 {
		t.Error("the sum of the parts never comes near the limit, so the scenarios show nothing")
	}
}

// A balancer that gets all requests of a customer has nine tenths of the quota within two seconds of the move and keeps it; two
// balancers that both want all of it get about half each.
func TestFollowsDemand(t *testing.T) {
	for _, n := range []int{3, 8, 16} {
		p := newSimulation(n, 3)
		run := func(d time.Duration, wants ...int) {
			for until := p.now + d; p.now < until; {
				for _, i := range wants {
					p.balancers[i].SetNeed(p.balancers[i].clock(p.now), 0, 100)
				}
				if err := p.step(20 * time.Millisecond); err != nil {
					t.Fatal(err)
				}
			}
		}
		run(4 * time.Second)
		for _, i := range []int{0, n - 1} {
			run(2*time.Second, i)
			if got := p.balancers[i].Part(p.balancers[i].clock(p.now), 0); got < WholeLimit*9/10 {
				t.Errorf("%d balancers: %.3f of the quota at the one that gets the requests, two seconds after the move", n, float64(got)/float64(WholeLimit))
			}
			run(6*time.Second, i) // long enough for leases to be renewed several times
			if got := p.balancers[i].Part(p.balancers[i].clock(p.now), 0); got < WholeLimit*9/10 {
				t.Errorf("%d balancers: %.3f of the quota some seconds later", n, float64(got)/float64(WholeLimit))
			}
			run(time.Second)
		}
		run(12*time.Second, 0, n-1)
		a, b := p.balancers[0].Part(p.balancers[0].clock(p.now), 0), p.balancers[n-1].Part(p.balancers[n-1].clock(p.now), 0)
		if min(a, b) < WholeLimit*35/100 {
			t.Errorf("%d balancers: %.3f and %.3f of the quota at two that both want all of it", n, float64(a)/float64(WholeLimit), float64(b)/float64(WholeLimit))
		}
	}
}

// A late grant for an ask is not accepted once a later ask was answered with nothing: by then the lender uses that part again.
func TestLateAnswer(t *testing.T) {
	const self, lender = member.ProcessID(8), member.ProcessID(16)
	m := New(Config{Self: self, Balancers: 4, Names: []string{"a"}, Limits: []float64{100}, ReservedFraction: []float64{0}, Lease: 2 * time.Second, FirstAskNumber: 1, Seed: 1}, 0)
	ask := func(now Moment) uint64 {
		m.SetNeed(now, 0, 100)
		m.Tick(now, []member.ProcessID{self, lender})
		for _, s := range m.TakeOutput() {
			if s.Msg.Kind == Ask {
				return s.Msg.AskNumber
			}
		}
		t.Fatalf("no Ask sent at %v", now)
		return 0
	}
	receive := func(now Moment, n uint64, part Part) {
		m.Receive(now, lender, &Message{Kind: Grant, AskNumber: n, Balancers: 4, NamesHash: m.namesHash, Entries: []LimitEntry{{Part: part, Limit: 100}}})
	}
	first := ask(0)
	second := ask(600 * time.Millisecond)
	receive(650*time.Millisecond, second, WholeLimit/10)
	third := ask(700 * time.Millisecond)
	receive(750*time.Millisecond, third, 0)
	returned := m.TakeOutput()
	if len(returned) != 1 || returned[0].Msg.Kind != Return || returned[0].Msg.AskNumber != second {
		t.Errorf("sent %+v after the lender stopped lending, want one Return for the earlier grant", returned)
	}
	receive(800*time.Millisecond, first, WholeLimit/10)
	if got := m.limits[0].borrowed; got != 0 {
		t.Errorf("borrowed %d from a late grant, want 0", got)
	}
}
