package policy

import "cmp"

// Slow start: what a host that has just started may get from all balancers together.

// warmShare is the share of its capacity that a host has at the least, by the time since its start.
func (b *Balancer) warmShare(h *cacheHost) float64 {
	startedAt := max(cmp.Or(h.Started, h.Born), h.includedAt)
	age := b.env.Now() - startedAt
	if startedAt == 0 || age >= b.config.RampTime {
		return 1
	}
	return b.config.ColdFrom + (1-b.config.ColdFrom)*max(0, float64(age))/float64(b.config.RampTime)
}

// coldHostMayTake gives a cold host a rising part of its own keys, the same at every balancer, or any key where
// no other takes the call: half of a fleet, new, stood idle beside hosts that held too much. Below that is a
// budget: this balancer's part of what would push it over. A part under one is drawn and spent either way: a
// least of one each, times hundreds of balancers, pushed hosts over. As much is saved up as the window bears:
// who asks once in seconds had a small chance each time at a quarter of it, and cold hosts stood idle.
func (b *Balancer) coldHostMayTake(h *cacheHost, r *request, any bool) bool {
	warm := b.warmShare(h)
	if warm == 1 {
		return true
	}
	if !any && hashFraction(hash(string(h.Cache)+string(r.Key), 1)) >= warm {
		return false
	}
	perS, now := b.coldRequestRate(h, warm), b.env.Now()
	h.coldBudget = min(perS*b.config.FallWindow.seconds(), h.coldBudget+perS*(now-h.coldBudgetAt).seconds())
	h.coldBudgetAt = now
	available := h.coldBudget
	h.coldBudget = max(0, available-1)
	return available >= 1 || b.randomFloat() < available
}

// coldSafetyFactor halves the guess: requests differ in work, and warm hosts may have done more than their share.
const coldSafetyFactor = 0.5

// coldRequestRate guesses what a cold host may get, from what the fleet does for a unit of size, taken as it was
// done: held against what is left after most hosts have gone it would look like the work of a few. One that
// began lately has not a window behind it: over a whole one it took the fleet for a fraction of what it is,
// just when a release had put cold hosts in place of all. fleetMinInFlight for all in a window lets a fleet start of
// which nothing is warm.
func (b *Balancer) coldRequestRate(h *cacheHost, warm float64) float64 {
	span := min(outcomeWindow, max(outcomeSlot, b.env.Now()-b.startedAt))
	perS := b.goodPerCapacity.totalGood(b.env.Now()) / span.seconds() * h.weight
	minimum := fleetMinInFlight / float64(b.config.Balancers) / b.config.FallWindow.seconds()
	if b.hasPeer { // both have a least; the rest follows what each does
		minimum /= 2
	}
	return max(coldSafetyFactor*b.config.FallMultiple*warm*perS, minimum)
}

// recomputeSums sums the sizes of the caches that are up, as far as they are warm, and what they hold.
func (b *Balancer) recomputeSums() {
	b.warmCapacity, b.loadSum = 0, 0
	for _, h := range b.available {
		h.countedCapacity = h.weight * b.warmShare(h)
		b.warmCapacity += h.countedCapacity
		b.loadSum += h.listedLoad
	}
}
