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
	"streamrail/internal/fleet/member"
	"streamrail/internal/fleet/share"
	"streamrail/internal/fleet/transport"
	"streamrail/policy"
)

// limitShares are this balancer's shares of the fleet's limits: of the customers' quotas, followed by the rate of new connections
// that a host can take. It is nil unless the operator's file lets shares move between balancers.
type limitShares struct {
	names             []string       // names of the limits
	bounds            []float64      // the whole fleet's limits
	needPerItem       []float64      // what a single arrival adds to the need
	reservedFractions []float64      // the fraction of this balancer's own share that is never lent
	customerCount     int            // the first customerCount limits are the customers' quotas
	arrivals          []atomic.Int64 // requests of each customer since the last period
	nextExpiry        atomic.Int64   // on the clock of now: when a lease ends next and a share changes

	mu             sync.Mutex
	epoch          time.Time
	machine        *share.Machine
	transport      *transport.Transport
	recentArrivals [][share.NeedTicks]int64 // requests of each customer in the last periods
	slot           int                      // index of the current period in recentArrivals
	stop           chan struct{}
}

// newLimitShares returns nil if the operator's file does not let shares move, or if there is no limit to share.
func (b *Balancer) newLimitShares(openings float64) *limitShares {
	if b.fleet.settings == nil || !b.fleet.settings.Limits || len(b.deployment.Customers) == 0 && openings == 0 {
		return nil
	}
	n := len(b.deployment.Customers)
	l := &limitShares{arrivals: make([]atomic.Int64, n), recentArrivals: make([][share.NeedTicks]int64, n), names: make([]string, n), bounds: make([]float64, n),
		needPerItem: make([]float64, n), reservedFractions: make([]float64, n), customerCount: n, epoch: time.Now()}
	for _, name := range slices.Sorted(maps.Keys(b.deployment.Customers)) {
		c := b.deployment.Customers[name]
		l.names[c], l.bounds[c], l.needPerItem[c] = "allowance of "+name, b.deployment.PolicyConfig.Customers[c].QuotaPerSecond, 1/(share.NeedTicks*share.TickInterval.Seconds())
	}
	if openings > 0 { // need and share are fractions of the limit, the same for every host
		l.names, l.bounds, l.needPerItem = append(l.names, "openings"), append(l.bounds, 1), append(l.needPerItem, 1/openings)
		l.reservedFractions = append(l.reservedFractions, reservedOpeningsFraction)
	}
	l.nextExpiry.Store(math.MaxInt64)
	return l
}

// reservedOpeningsFraction is the fraction of its own share of new connections that a process keeps from its start and never lends. If
// the whole fleet starts at once, all balancers open their connections within a second or two, before any of them can borrow.
const reservedOpeningsFraction = 0.5

func (l *limitShares) now() share.Moment { return time.Since(l.epoch) }

// startSharing starts to borrow and lend shares over a transport.
func (b *Balancer) startSharing(peerTransport *transport.Transport) {
	l := b.limitShares
	if l == nil {
		return
	}
	stop := make(chan struct{})
	b.upgrade.mu.Lock()
	l.mu.Lock()
	l.transport, l.stop = peerTransport, stop
	l.machine = share.New(share.Config{Self: peerTransport.Self(), Balancers: b.deployment.PolicyConfig.Balancers, Names: l.names, Limits: l.bounds, NeedPerItem: l.needPerItem, ReservedFraction: l.reservedFractions, Lease: b.fleet.settings.Lease.Duration(),
		FirstAskNumber: uint64(time.Now().UnixMicro()), Seed: rand.Uint64()}, l.now())
	l.machine.SetUpgrading(b.upgrade.older != nil)
	l.mu.Unlock()
	b.upgrade.mu.Unlock()
	peerTransport.Handle(transport.TopicShares, func(from member.ProcessID, body []byte) {
		if m, ok := transport.DecodeShares(body); ok {
			b.updateShares(func(machine *share.Machine, now share.Moment) { machine.Receive(now, from, m) })
		}
	})
	b.updateShares(func(*share.Machine, share.Moment) {})
	go b.runSharing(peerTransport, stop)
}

// stopSharing returns what is borrowed and stops sharing. This process keeps half of its own share, less what it has lent; the newer
// process of an upgrade has the other half.
func (b *Balancer) stopSharing() {
	l := b.limitShares
	if l == nil {
		return
	}
	b.updateShares(func(machine *share.Machine, now share.Moment) {
		machine.SetUpgrading(true)
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

// setSharesUpgrading halves the shares while the peer process of an upgrade runs, and restores them when it has ended.
func (b *Balancer) setSharesUpgrading(on bool) {
	if b.limitShares != nil {
		b.updateShares(func(machine *share.Machine, _ share.Moment) { machine.SetUpgrading(on) })
	}
}

// runSharing measures the need for each limit and adjusts the shares in every period, until it is stopped.
func (b *Balancer) runSharing(peerTransport *transport.Transport, stop <-chan struct{}) {
	l := b.limitShares
	t := time.NewTicker(share.TickInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-stop:
			return
		}
		members, _ := peerTransport.AliveMembers()
		b.updateShares(func(machine *share.Machine, now share.Moment) {
			l.slot = (l.slot + 1) % share.NeedTicks
			for i := range l.arrivals {
				l.recentArrivals[i][l.slot] = l.arrivals[i].Swap(0)
				sum := int64(0)
				for _, n := range l.recentArrivals[i] {
					sum += n
				}
				machine.SetNeed(now, i, float64(sum)/(share.NeedTicks*share.TickInterval.Seconds()))
			}
			if l.customerCount < len(l.bounds) {
				machine.SetNeed(now, l.customerCount, b.hosts.OpeningsNeed(share.TickInterval))
			}
			machine.Tick(now, members)
		})
	}
}

// updateShares feeds an input to the state machine, applies the shares that result and sends the messages to other balancers.
func (b *Balancer) updateShares(input func(machine *share.Machine, now share.Moment)) {
	l := b.limitShares
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.machine == nil {
		return
	}
	input(l.machine, l.now())
	sends := l.machine.TakeOutput()
	b.applyShares() // first, so that a lent share is no longer used here when the borrower receives it
	for i := range sends {
		l.transport.Send(sends[i].To, transport.TopicShares, transport.EncodeShares(&sends[i].Msg))
	}
}

// applyShares passes the shares to the policy and to the connection pool. The caller holds limitShares.mu.
func (b *Balancer) applyShares() {
	l := b.limitShares
	shares := make([]float64, len(l.bounds))
	now := l.now()
	for i := range shares {
		if l.bounds[i] > 0 {
			shares[i] = l.machine.Part(now, i).Of(l.machine.Limit(i)) / l.bounds[i]
		}
	}
	l.nextExpiry.Store(int64(l.machine.NextExpiry()))
	for i := range shares {
		shares[i] = max(shares[i], math.SmallestNonzeroFloat64) // 0 would mean that no share is set
	}
	b.callPolicy(func() {
		for i, fraction := range shares[:l.customerCount] {
			b.policy.SetQuotaShare(policy.Customer(i), fraction)
		}
	})
	if l.customerCount < len(shares) {
		b.hosts.SetOpeningsShare(shares[l.customerCount])
	}
}

// countArrival counts a request of a customer. If a lease has ended since the last period, the shares are updated first, so that no
// decision uses a share that belongs to another balancer again.
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

// Limits returns the shares of this balancer.
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
		shown.Limits = append(shown.Limits, admin.Limit{Name: name, FleetTotal: l.machine.Limit(i), Part: float64(s.Part) / float64(share.WholeLimit),
			Lent: float64(s.Lent) / float64(share.WholeLimit), Borrowed: float64(s.Borrowed) / float64(share.WholeLimit), Need: s.Need,
			Leases: s.Leases, NextExpiryMs: s.NextExpiry.Milliseconds(), RecentlyStarted: s.RecentlyStarted})
	}
	return shown, nil
}
