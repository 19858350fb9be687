package balancer

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"streamrail/internal/admin"
	"streamrail/internal/fleet/carry"
	"streamrail/internal/fleet/member"
	"streamrail/internal/fleet/share"
	"streamrail/policy"
)

// limits are this balancer's parts of the tenants' allowances, and behind them of the openings that hosts bear, where the
// operator's file lets them move; nil otherwise.
type limits struct {
	names   []string
	bounds  []float64
	grains  []float64
	floors  []float64
	tenants int            // so many are allowances
	came    []atomic.Int64 // requests of each customer since the last turn
	ends    atomic.Int64   // by the parts' clock: some part changes by itself then

	mu      sync.Mutex
	epoch   time.Time
	machine *share.Machine
	carrier *carry.Carrier
	recent  [][share.NeedTurns]int64 // by customer, what came in the last turns
	slot    int
	stop    chan struct{}
}

// newLimits makes the parts of a balancer; nil where the file does not let them move, or there is nothing to share.
func (b *Balancer) newLimits(openings float64) *limits {
	if b.fleet.own == nil || !b.fleet.own.Limits || len(b.told.Customers) == 0 && openings == 0 {
		return nil
	}
	n := len(b.told.Customers)
	l := &limits{came: make([]atomic.Int64, n), recent: make([][share.NeedTurns]int64, n), names: make([]string, n), bounds: make([]float64, n),
		grains: make([]float64, n), floors: make([]float64, n), tenants: n, epoch: time.Now()}
	for _, name := range slices.Sorted(maps.Keys(b.told.Customers)) {
		c := b.told.Customers[name]
		l.names[c], l.bounds[c], l.grains[c] = "allowance of "+name, b.told.Terms.Customers[c].AllowancePerS, 1/(share.NeedTurns*share.Turn.Seconds())
	}
	if openings > 0 { // needs and parts are of the whole, whichever host it is
		l.names, l.bounds, l.grains = append(l.names, "openings"), append(l.bounds, 1), append(l.grains, 1/openings)
		l.floors = append(l.floors, openingsFloor)
	}
	l.ends.Store(math.MaxInt64)
	return l
}

// openingsFloor of its home part of openings a process has when it starts: a fleet that starts at once opens its connections in
// a second or two, and none of it has anything to borrow yet.
const openingsFloor = 0.5

func (l *limits) now() share.Moment { return time.Since(l.epoch) }

// shareLimits begins to move parts over a carrier.
func (b *Balancer) shareLimits(c *carry.Carrier) {
	l := b.limits
	if l == nil {
		return
	}
	stop := make(chan struct{})
	b.upgrade.mu.Lock()
	l.mu.Lock()
	l.carrier, l.stop = c, stop
	l.machine = share.New(share.Terms{Self: c.Self(), Among: b.told.Terms.Balancers, Names: l.names, Bound: l.bounds, Grain: l.grains, Floor: l.floors, Lease: b.fleet.own.Lease.D(),
		First: uint64(time.Now().UnixMicro()), Seed: rand.Uint64()}, l.now())
	l.machine.Beside(b.upgrade.elder != nil)
	l.mu.Unlock()
	b.upgrade.mu.Unlock()
	c.On(carry.TopicShares, func(from member.Life, body []byte) {
		if m, ok := carry.DecodeShares(body); ok {
			b.withParts(func(p *share.Machine, now share.Moment) { p.Hear(now, from, m) })
		}
	})
	b.withParts(func(*share.Machine, share.Moment) {})
	go b.turnLimits(c, stop)
}

// stopSharing gives back what is borrowed and ends the moves. What is left to this process is half of its home part less what it
// has lent; the other half is the newer process's of an upgrade.
func (b *Balancer) stopSharing() {
	l := b.limits
	if l == nil {
		return
	}
	b.withParts(func(p *share.Machine, now share.Moment) {
		p.Beside(true)
		p.Tick(now, nil)
	})
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.machine != nil {
		close(l.stop)
		l.machine, l.carrier = nil, nil
		l.ends.Store(math.MaxInt64)
	}
}

// besideLimits tells the parts that another process of an upgrade has come, or has ended.
func (b *Balancer) besideLimits(on bool) {
	if b.limits != nil {
		b.withParts(func(p *share.Machine, _ share.Moment) { p.Beside(on) })
	}
}

// turnLimits looks at what came in, several times a second.
func (b *Balancer) turnLimits(c *carry.Carrier, stop <-chan struct{}) {
	l := b.limits
	t := time.NewTicker(share.Turn)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-stop:
			return
		}
		members, _ := c.Members()
		b.withParts(func(p *share.Machine, now share.Moment) {
			l.slot = (l.slot + 1) % share.NeedTurns
			for i := range l.came {
				l.recent[i][l.slot] = l.came[i].Swap(0)
				sum := int64(0)
				for _, n := range l.recent[i] {
					sum += n
				}
				p.Need(now, i, float64(sum)/(share.NeedTurns*share.Turn.Seconds()))
			}
			if l.tenants < len(l.bounds) {
				p.Need(now, l.tenants, b.hosts.OpeningNeed(share.Turn))
			}
			p.Tick(now, members)
		})
	}
}

// withParts gives the parts an input, sends what that brings and tells the module what changed.
func (b *Balancer) withParts(input func(p *share.Machine, now share.Moment)) {
	l := b.limits
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.machine == nil {
		return
	}
	input(l.machine, l.now())
	sends := l.machine.Out()
	b.tellParts() // before anybody is told that this balancer lends
	for i := range sends {
		l.carrier.Tell(sends[i].To, carry.TopicShares, carry.EncodeShares(&sends[i].Msg))
	}
}

// tellParts tells the module its parts. Under limits.mu.
func (b *Balancer) tellParts() {
	l := b.limits
	parts := make([]float64, len(l.bounds))
	now := l.now()
	for i := range parts {
		if l.bounds[i] > 0 {
			parts[i] = l.machine.Part(now, i).Of(l.machine.Bound(i)) / l.bounds[i]
		}
	}
	l.ends.Store(int64(l.machine.Ends()))
	for i := range parts {
		parts[i] = max(parts[i], math.SmallestNonzeroFloat64) // 0 would mean that nothing is told
	}
	b.decide(func() {
		for i, p := range parts[:l.tenants] {
			b.module.Part(policy.Customer(i), p)
		}
	})
	if l.tenants < len(parts) {
		b.hosts.OpeningPart(parts[l.tenants])
	}
}

// arrives counts a request in for its customer. Where a lease has ended since the last turn the module is told first: no
// decision goes by a part that is somebody else's again.
func (b *Balancer) arrives(c policy.Customer) {
	l := b.limits
	if l == nil {
		return
	}
	if int(c) < len(l.came) {
		l.came[c].Add(1)
	}
	if int64(l.now()) >= l.ends.Load() {
		b.withParts(func(*share.Machine, share.Moment) {})
	}
}

// Limits are the parts as the door shows them.
func (d door) Limits() (to admin.Limits, err error) {
	if _, err = d.b.speaker(); err != nil {
		return to, err
	}
	l := d.b.limits
	if l == nil {
		return to, admin.ErrNoLimits
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.machine == nil {
		return to, admin.ErrNoLimits
	}
	now := l.now()
	for i, name := range l.names {
		s := l.machine.State(now, i)
		to.Limits = append(to.Limits, admin.Limit{Name: name, Bound: l.machine.Bound(i), Part: float64(s.Part) / float64(share.All),
			Lent: float64(s.Lent) / float64(share.All), Borrowed: float64(s.Borrowed) / float64(share.All), Need: s.Need,
			Leases: s.Leases, EndsMs: s.Ends.Milliseconds(), Newborn: s.Fresh})
	}
	return to, nil
}
