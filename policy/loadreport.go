package policy

import "math"

// Load reports: hosts that tell of more load than others get fewer requests.

// yields draws whether a host that tells of more than the mean load is passed by, by the square of how much
// more, as most that send to it have not heard of it; at the second look, whether a call would be late there.
func (b *Balancer) yields(h *cache, c *call, pass int) bool {
	now := b.host.Now()
	mean := b.toldMean(now)
	if mean == 0 || h.told <= mean {
		return false
	}
	// Where a balancer meets a host once in half a minute, fading within 2 or 6 s forgot most of what was told.
	over := 1 + (h.told/mean-1)/(1+(now-h.toldAt).seconds()/window.seconds())
	if pass > 0 {
		return c.terms.OverdueValue == 0 && over*b.usual() > c.terms.LatencySLO.seconds()
	}
	return b.chance() > math.Pow(over, -2)
}

func (b *Balancer) toldMean(now Nanos) float64 {
	sum, n := b.told.faded(now)
	return sum / max(n, 1)
}

// reported takes what a host tells of its load, or else that it kept an attempt for long, since one that
// answers nothing tells nothing: how long a request takes there, against others.
func (b *Balancer) reported(h *cache, c *call, e Ending) {
	now := b.host.Now()
	switch l := e.Load; {
	case l != nil:
		h.told = 1
		if l.InHand >= 0 {
			h.told = (l.InHand + 1) / h.weight
		} else if l.Busy >= 0 {
			h.told = 1 / (1 - min(l.Busy, 0.95)) // as one queue with one server would hold
		}
		if l.Took > 0 {
			h.told *= l.Took
		}
		if l.Took != 0 {
			b.told.add(now, h.told, 1)
		}
		if l.Took == 0 || l.InHand >= 0 && l.Busy >= 0 && l.Busy < 0.9 { // nothing was done of late, or waits
			h.told = min(h.told, b.toldMean(now))
		}
	case e.Took > c.terms.LatencySLO/2 && b.toldMean(now) > 0:
		h.told = max(h.told, b.toldMean(now)*e.Took.seconds()/b.usual())
	default:
		return
	}
	h.toldAt = now
}
