package policy

import "cmp"

// Slow start: what a host that has just started may get from all balancers together.

// warmth is the share of its capacity that a host has at the least, by the time since its start.
func (b *Balancer) warmth(h *cache) float64 {
	born := max(cmp.Or(h.Started, h.Born), h.back)
	age := b.host.Now() - born
	if born == 0 || age >= b.terms.RampTime {
		return 1
	}
	return b.terms.ColdFrom + (1-b.terms.ColdFrom)*max(0, float64(age))/float64(b.terms.RampTime)
}

// coldMayTake gives a cold host a rising part of its own keys, the same at every balancer, or any key where
// no other takes the call: half of a fleet, new, stood idle beside hosts that held too much. Below that is a
// budget: this balancer's part of what would push it over. A part under one is drawn and spent either way: a
// least of one each, times hundreds of balancers, pushed hosts over. As much is saved up as the window bears:
// who asks once in seconds had a small chance each time at a quarter of it, and cold hosts stood idle.
func (b *Balancer) coldMayTake(h *cache, c *call, any bool) bool {
	w := b.warmth(h)
	if w == 1 {
		return true
	}
	if !any && part(hash(string(h.Cache)+string(c.Key), 1)) >= w {
		return false
	}
	perS, now := b.coldRate(h, w), b.host.Now()
	h.budget = min(perS*b.terms.FallWindow.seconds(), h.budget+perS*(now-h.budgetAt).seconds())
	h.budgetAt = now
	t := h.budget
	h.budget = max(0, t-1)
	return t >= 1 || b.chance() < t
}

// coldSafety halves the guess: requests differ in work, and warm hosts may have done more than their share.
const coldSafety = 0.5

// coldRate guesses what a cold host may get, from what the fleet does for a unit of size, taken as it was
// done: held against what is left after most hosts have gone it would look like the work of a few. One that
// began lately has not a window behind it: over a whole one it took the fleet for a fraction of what it is,
// just when a release had put cold hosts in place of all. leastOut for all in a window lets a fleet start of
// which nothing is warm.
func (b *Balancer) coldRate(h *cache, w float64) float64 {
	span := min(window, max(healthSlot, b.host.Now()-b.began))
	perS := b.done.total(b.host.Now()) / span.seconds() * h.weight
	least := leastOut / float64(b.terms.Balancers) / b.terms.FallWindow.seconds()
	if b.paired { // both have a least; the rest follows what each does
		least /= 2
	}
	return max(coldSafety*b.terms.FallMultiple*w*perS, least)
}

// weigh sums the sizes of the caches that are up, as far as they are warm, and what they hold.
func (b *Balancer) weigh() {
	b.able, b.held = 0, 0
	for _, h := range b.available {
		h.counted = h.weight * b.warmth(h)
		b.able += h.counted
		b.held += h.held
	}
}
