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

// limitShares are this balancer's parts of the tenants' allowances, and behind them of the openings that hosts bear, where the
// operator's file lets them move; nil otherwise.
type limitShares struct {
	names         []string
	bounds        []float64
	smallestParts []float64
	initialFloors []float64
	customerCount int            // so many are allowances
	arrivals      []atomic.Int64 // requests of each customer since the last turn
	nextExpiry    atomic.Int64   // by the parts' clock: some part changes by itself then

	mu             sync.Mutex
	epoch          time.Time
	machine        *share.Machine
	transport      *carry.Carrier
	recentArrivals [][share.NeedTurns]int64 // by customer, what came in the last turns
	slot           int
	stop           chan struct{}
}

// newLimitShares makes the parts of a balancer; nil where the file does not let them move, or there is nothing to share.
func (b *Balancer) newLimitShares(openings float64) *limitShares {
	if b.fleet.settings == nil || !b.fleet.settings.Limits || len(b.deployment.Customers) == 0 && openings == 0 {
		return nil
	}
	n := len(b.deployment.Customers)
	l := &limitShares{arrivals: make([]atomic.Int64, n), recentArrivals: make([][share.NeedTurns]int64, n), names: make([]string, n), bounds: make([]float64, n),
		smallestParts: make([]float64, n), initialFloors: make([]float64, n), customerCount: n, epoch: time.Now()}
	for _, name := range slices.Sorted(maps.Keys(b.deployment.Customers)) {
		c := b.deployment.Customers[name]
		l.names[c], l.bounds[c], l.smallestParts[c] = "allowance of "+name, b.deployment.Terms.Customers[c].AllowancePerS, 1/(share.NeedTurns*share.Turn.Seconds())
	}
	if openings > 0 { // needs and parts are of the whole, whichever host it is
		l.names, l.bounds, l.smallestParts = append(l.names, "openings"), append(l.bounds, 1), append(l.smallestParts, 1/openings)
		l.initialFloors = append(l.initialFloors, initialOpeningsShare)
	}
	l.nextExpiry.Store(math.MaxInt64)
	return l
}

// initialOpeningsShare of its home part of openings a process has when it starts: a fleet that starts at once opens its connections in
// a second or two, and none of it has anything to borrow yet.
const initialOpeningsShare = 0.5

func (l *limitShares) now() share.Moment { return time.Since(l.epoch) }

// startSharing begins to move parts over a carrier.
func (b *Balancer) startSharing(transport *carry.Carrier) {
	l := b.limitShares
	if l == nil {
		return
	}
	stop := make(chan struct{})
	b.upgrade.mu.Lock()
	l.mu.Lock()
	l.transport, l.stop = transport, stop
	l.machine = share.New(share.Terms{Self: transport.Self(), Among: b.deployment.Terms.Balancers, Names: l.names, Bound: l.bounds, Grain: l.smallestParts, Floor: l.initialFloors, Lease: b.fleet.settings.Lease.D(),
		First: uint64(time.Now().UnixMicro()), Seed: rand.Uint64()}, l.now())
	l.machine.Beside(b.upgrade.older != nil)
	l.mu.Unlock()
	b.upgrade.mu.Unlock()
	transport.On(carry.TopicShares, func(from member.Life, body []byte) {
		if m, ok := carry.DecodeShares(body); ok {
			b.updateShares(func(machine *share.Machine, now share.Moment) { machine.Hear(now, from, m) })
		}
	})
	b.updateShares(func(*share.Machine, share.Moment) {})
	go b.runSharing(transport, stop)
}

// stopSharing gives back what is borrowed and ends the moves. What is left to this process is half of its home part less what it
// has lent; the other half is the newer process's of an upgrade.
func (b *Balancer) stopSharing() {
	l := b.limitShares
	if l == nil {
		return
	}
	b.updateShares(func(machine *share.Machine, now share.Moment) {
		machine.Beside(true)
		machine.Tick(now, nil)
	})
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.machine != nil {
		close(l.stop)
		l.machine, l.transport = nil, nil
		l.nextExpiry.Store(math.MaxInt64)
	}
}

// setSharesUpgrading tells the parts that another process of an upgrade has come, or has ended.
func (b *Balancer) setSharesUpgrading(on bool) {
	if b.limitShares != nil {
		b.updateShares(func(machine *share.Machine, _ share.Moment) { machine.Beside(on) })
	}
}

// runSharing looks at what came in, several times a second.
func (b *Balancer) runSharing(transport *carry.Carrier, stop <-chan struct{}) {
	l := b.limitShares
	t := time.NewTicker(share.Turn)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-stop:
			return
		}
		members, _ := transport.Members()
		b.updateShares(func(machine *share.Machine, now share.Moment) {
			l.slot = (l.slot + 1) % share.NeedTurns
			for i := range l.arrivals {
				l.recentArrivals[i][l.slot] = l.arrivals[i].Swap(0)
				sum := int64(0)
				for _, n := range l.recentArrivals[i] {
					sum += n
				}
				machine.Need(now, i, float64(sum)/(share.NeedTurns*share.Turn.Seconds()))
			}
			if l.customerCount < len(l.bounds) {
				machine.Need(now, l.customerCount, b.hosts.OpeningNeed(share.Turn))
			}
			machine.Tick(now, members)
		})
	}
}

// updateShares gives the parts an input, sends what that brings and tells the module what changed.
func (b *Balancer) updateShares(input func(machine *share.Machine, now share.Moment)) {
	l := b.limitShares
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.machine == nil {
		return
	}
	input(l.machine, l.now())
	sends := l.machine.Out()
	b.applyShares() // before anybody is told that this balancer lends
	for i := range sends {
		l.transport.Tell(sends[i].To, carry.TopicShares, carry.EncodeShares(&sends[i].Msg))
	}
}

// applyShares tells the module its parts. Under limits.mu.
func (b *Balancer) applyShares() {
	l := b.limitShares
	shares := make([]float64, len(l.bounds))
	now := l.now()
	for i := range shares {
		if l.bounds[i] > 0 {
			shares[i] = l.machine.Part(now, i).Of(l.machine.Bound(i)) / l.bounds[i]
		}
	}
	l.nextExpiry.Store(int64(l.machine.Ends()))
	for i := range shares {
		shares[i] = max(shares[i], math.SmallestNonzeroFloat64) // 0 would mean that nothing is told
	}
	b.callPolicy(func() {
		for i, share := range shares[:l.customerCount] {
			b.policy.Part(policy.Customer(i), share)
		}
	})
	if l.customerCount < len(shares) {
		b.hosts.OpeningPart(shares[l.customerCount])
	}
}

// countArrival counts a request in for its customer. Where a lease has ended since the last turn the module is told first: no
// decision goes by a part that is somebody else's again.
func (b *Balancer) countArrival(c policy.Customer) {
	l := b.limitShares
	if l == nil {
		return
	}
	if int(c) < len(l.arrivals) {
		l.arrivals[c].Add(1)
	}
	if int64(l.now()) >= l.nextExpiry.Load() {
		b.updateShares(func(*share.Machine, share.Moment) {})
	}
}

// Limits are the parts as the door shows them.
func (a adminAPI) Limits() (shown admin.Limits, err error) {
	if _, err = a.b.fleetTransport(); err != nil {
		return shown, err
	}
	l := a.b.limitShares
	if l == nil {
		return shown, admin.ErrNoLimits
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.machine == nil {
		return shown, admin.ErrNoLimits
	}
	now := l.now()
	for i, name := range l.names {
		s := l.machine.State(now, i)
		shown.Limits = append(shown.Limits, admin.Limit{Name: name, Bound: l.machine.Bound(i), Part: float64(s.Part) / float64(share.All),
			Lent: float64(s.Lent) / float64(share.All), Borrowed: float64(s.Borrowed) / float64(share.All), Need: s.Need,
			Leases: s.Leases, EndsMs: s.Ends.Milliseconds(), Newborn: s.Fresh})
	}
	return shown, nil
}
