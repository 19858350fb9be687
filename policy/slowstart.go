package policy

import "cmp"

// Slow start: limits the requests that a host that has just started gets from all balancers together.

// warmShare returns the share of its capacity that a host has at least, by the time since its start:
// ColdCapacityFraction at the start, rising evenly to 1 within WarmUpTime.
func (b *Balancer) warmShare(h *cacheHost) float64 {
	startedAt := max(cmp.Or(h.LocalStart, h.ListedStart), h.includedAt)
	age := b.env.Now() - startedAt
	if startedAt == 0 || age >= b.config.WarmUpTime {
		return 1
	}
	return b.config.ColdCapacityFraction + (1-b.config.ColdCapacityFraction)*max(0, float64(age))/float64(b.config.WarmUpTime)
}

// coldHostMayTake reports whether a host that is warming up may take a request. The host gets a rising part of its
// own keys, the same keys at every balancer, or any key where no other host takes the request: without that
// exception new hosts stayed idle in a half-replaced fleet while the older ones were overloaded.
// In both cases a budget applies, this balancer's part of the requests that would overload the host. A fraction of
// a request is drawn at random and spent in any case: a minimum of one request for each of hundreds of balancers
// would overload the host. The budget accumulates over at most one OverloadWindow: with a lower maximum,
// balancers with one request every few seconds would hardly ever use it, and cold hosts would stay idle.
func (b *Balancer) coldHostMayTake(h *cacheHost, r *request, any bool) bool {
	warm := b.warmShare(h)
	if warm == 1 {
		return true
	}
	if !any && hashFraction(hash(string(h.HostID)+string(r.Key), 1)) >= warm {
		return false
	}
	perS, now := b.coldRequestRate(h, warm), b.env.Now()
	h.coldBudget = min(perS*b.config.OverloadWindow.seconds(), h.coldBudget+perS*(now-h.coldBudgetAt).seconds())
	h.coldBudgetAt = now
	available := h.coldBudget
	h.coldBudget = max(0, available-1)
	return available >= 1 || b.randomFloat() < available
}

// coldSafetyFactor halves the estimated rate, as requests differ in work and warm hosts may have done more than
// their share.
const coldSafetyFactor = 0.5

// coldRequestRate estimates how many requests a second this balancer may send to a cold host, from the rate at
// which the fleet fulfils this balancer's requests per unit of warm capacity. Each success is divided by the
// capacity at its time: divided by what is left after most hosts have gone, it would look like the work of a few
// hosts. A balancer that started recently divides by its own age instead of a whole window; otherwise it would
// underestimate the fleet just when a release has replaced all hosts. The minimum, fleetMinInFlight requests of
// all balancers in a window, lets a fleet start in which no host is warm.
func (b *Balancer) coldRequestRate(h *cacheHost, warm float64) float64 {
	span := min(outcomeWindow, max(outcomeSlot, b.env.Now()-b.startedAt))
	perS := b.goodPerCapacity.totalGood(b.env.Now()) / span.seconds() * h.weight
	minimum := fleetMinInFlight / float64(b.config.Balancers) / b.config.OverloadWindow.seconds()
	if b.hasPeer { // both processes of an upgrade have a minimum; the estimate follows their own traffic
		minimum /= 2
	}
	return max(coldSafetyFactor*b.config.OverloadMultiple*warm*perS, minimum)
}

// recomputeSums recomputes the warm capacity and the listed load of the available hosts.
func (b *Balancer) recomputeSums() {
	b.warmCapacity, b.loadSum = 0, 0
	for _, h := range b.available {
		h.countedCapacity = h.weight * b.warmShare(h)
		b.warmCapacity += h.countedCapacity
		b.loadSum += h.listedLoad
	}
}
