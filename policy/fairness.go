package policy

import (
	"cmp"
	"math"
	"slices"
)

// Fairness: customers are held to their allowances where requests find no room.

// raiseShedding notes that a request within its allowance found no room: more of what lies beyond one is then
// rate-limited on arrival, less again as calls find room; it settles where about one in twenty finds none.
func (b *Balancer) raiseShedding(r *request) {
	if !r.overQuota {
		b.shedProbability = min(1, b.shedProbability+0.1)
	}
}

// exceedsQuota holds a customer to this balancer's part of its allowance: an equal one where none is told,
// or more if the median customer here uses more of its part than all, lest a balancer that gets most of the
// traffic, or a fleet that all press, takes everybody for a glutton (1.25: most stay under it).
func (b *Balancer) exceedsQuota(r *request) bool {
	if int(r.Customer) >= len(b.quotas) || b.config.Customers[r.Customer].AllowancePerS <= 0 {
		return false
	}
	q, now, equalShare := &b.quotas[r.Customer], b.env.Now(), 1/float64(b.config.Balancers)
	q.arrivalRate.add(now, 1/outcomeWindow.seconds(), 0)
	var usages []float64
	for i := range b.quotas {
		other := &b.quotas[i]
		usages = append(usages, other.arrivalRate.totalGood(now)/max(cmp.Or(other.share, equalShare)*b.config.Customers[i].AllowancePerS, 1e-9))
	}
	slices.Sort(usages)
	usageFactor := 1.25 * usages[len(usages)/2]
	if q.share > 0 { // a part that is told may be a newborn's floor: the window is not full yet, and all press
		usageFactor *= outcomeWindow.seconds() / min(outcomeWindow, max(outcomeSlot, now-b.startedAt)).seconds()
	}
	rate := min(1, cmp.Or(q.share, equalShare)*max(1, usageFactor)) * b.config.Customers[r.Customer].AllowancePerS
	// A second's burst, and the chance deviation of a window: at few calls a second most was else above.
	burst := max(1, rate+math.Sqrt(rate*outcomeWindow.seconds()))
	if q.refilledAt == 0 {
		q.tokens = burst
	}
	q.tokens = min(burst, q.tokens+rate*(now-q.refilledAt).seconds())
	q.refilledAt = now
	if q.tokens < 1 {
		return true
	}
	q.tokens--
	return false
}
