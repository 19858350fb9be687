package policy

import (
	"cmp"
	"math"
	"slices"
)

// Fairness: customers are held to their allowances where requests find no room.

// pressed notes that a request within its allowance found no room: more of what lies beyond one is then
// rate-limited on arrival, less again as calls find room; it settles where about one in twenty finds none.
func (b *Balancer) pressed(c *call) {
	if !c.above {
		b.squeeze = min(1, b.squeeze+0.1)
	}
}

// beyondAllowance holds a customer to this balancer's part of its allowance: an equal one where none is told,
// or more if the median customer here uses more of its part than all, lest a balancer that gets most of the
// traffic, or a fleet that all press, takes everybody for a glutton (1.25: most stay under it).
func (b *Balancer) beyondAllowance(c *call) bool {
	if int(c.Customer) >= len(b.allowances) || b.terms.Customers[c.Customer].AllowancePerS <= 0 {
		return false
	}
	a, now, equal := &b.allowances[c.Customer], b.host.Now(), 1/float64(b.terms.Balancers)
	a.seen.add(now, 1/window.seconds(), 0)
	var uses []float64
	for i := range b.allowances {
		o := &b.allowances[i]
		uses = append(uses, o.seen.total(now)/max(cmp.Or(o.part, equal)*b.terms.Customers[i].AllowancePerS, 1e-9))
	}
	slices.Sort(uses)
	above := 1.25 * uses[len(uses)/2]
	if a.part > 0 { // a part that is told may be a newborn's floor: the window is not full yet, and all press
		above *= window.seconds() / min(window, max(healthSlot, now-b.began)).seconds()
	}
	rate := min(1, cmp.Or(a.part, equal)*max(1, above)) * b.terms.Customers[c.Customer].AllowancePerS
	// A second's burst, and the chance deviation of a window: at few calls a second most was else above.
	burst := max(1, rate+math.Sqrt(rate*window.seconds()))
	if a.at == 0 {
		a.tokens = burst
	}
	a.tokens = min(burst, a.tokens+rate*(now-a.at).seconds())
	a.at = now
	if a.tokens < 1 {
		return true
	}
	a.tokens--
	return false
}
