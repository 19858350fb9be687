package policy

import (
	"cmp"
	"math"
	"slices"
)

// Fairness: enforces the customers' quotas where there is not enough capacity for all requests.

// raiseShedding notes that a request within its quota found no capacity. A larger share of the requests beyond a
// quota is then rate-limited on arrival. Requests that find capacity lower the share again; it is stable where
// about one request in twenty finds none.
func (b *Balancer) raiseShedding(r *request) {
	if !r.overQuota {
		b.shedProbability = min(1, b.shedProbability+0.1)
	}
}

// exceedsQuota counts a request against its customer's quota and reports whether it is beyond this balancer's
// share. The share is the assigned one, or an equal part of the quota if none is assigned. It is raised where the
// median customer here uses more than its share: a balancer that gets most of the traffic, or a fleet in which all
// customers exceed their quotas, would otherwise count every customer as excessive. The factor of 1.25 keeps most
// customers below the raised limit.
func (b *Balancer) exceedsQuota(r *request) bool {
	if int(r.Customer) >= len(b.quotas) || b.config.Customers[r.Customer].QuotaPerSecond <= 0 {
		return false
	}
	q, now, equalShare := &b.quotas[r.Customer], b.env.Now(), 1/float64(b.config.Balancers)
	q.arrivalRate.add(now, 1/outcomeWindow.seconds(), 0)
	var usages []float64
	for i := range b.quotas {
		other := &b.quotas[i]
		usages = append(usages, other.arrivalRate.totalGood(now)/max(cmp.Or(other.share, equalShare)*b.config.Customers[i].QuotaPerSecond, 1e-9))
	}
	slices.Sort(usages)
	usageFactor := 1.25 * usages[len(usages)/2]
	if q.share > 0 { // may be the minimum of a balancer that has just started: scale usage to the window's filled part
		usageFactor *= outcomeWindow.seconds() / min(outcomeWindow, max(outcomeSlot, now-b.startedAt)).seconds()
	}
	rate := min(1, cmp.Or(q.share, equalShare)*max(1, usageFactor)) * b.config.Customers[r.Customer].QuotaPerSecond
	// One second of traffic plus the standard deviation of the arrivals in a window: at few requests a second,
	// ordinary variation would otherwise exceed the quota.
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
