package policy

// Concurrency limits: how many attempts may be out at a host, and over the fleet.

const (
	firstOut  = 12               // all may have out at a host not yet known; 24 crowded small fleets
	sparseOut = 40               // the same where that is below two each: 12 turned popular keys away
	leastOut  = 6                // all may have out at the least; of 2, 4, 6 and 8 six did best with crowdedAt
	mostOut   = 256              // more than any host here was seen to need
	firstRest = 20 * Millisecond // short against most work; doubled while it stays full
	// A host whose attempts are this part of their SLO later than in calm times holds too many.
	crowdedAt = 0.03
)

func (b *Balancer) firstLimit() float64 {
	n := float64(b.terms.Balancers)
	return max(firstOut/n, min(2, sparseOut/n))
}

func (b *Balancer) least() float64 { return min(1, leastOut/float64(b.terms.Balancers)) }

// adapt moves a limit: sharply down on what failed, slowly down when crowded, slowly up when it was needed.
func (b *Balancer) adapt(h *cache, slo Nanos, good, bad, full bool, crowd float64) {
	now := b.host.Now()
	switch {
	case (bad || full) && now-h.cutAt > slo/4:
		h.limit, h.cutAt = max(b.least(), h.limit*0.6), now // 0.8 and more left hosts crowded, 0.4 won nothing
	case good && crowd > 1:
		h.limit = max(b.least(), h.limit-min(0.5, h.limit/2)/max(1, h.limit))
	case good && float64(h.out+1) >= h.limit/2:
		// Never more than doubled: steps of one, times hundreds of balancers, made limits that bind nobody.
		step := 1 / max(1, h.limit)
		if h == b.origin && h.cutAt == 0 {
			// Nothing tells at first what it bears: it stood idle for seconds while misses were given up. 1 did as
			// well, but came nearer to what makes an origin stop.
			step = 0.3
		}
		h.limit = min(mostOut, h.limit+min(step, h.limit))
	}
}

// bears tells whether a host may get this request added. Under pressure traffic beyond an allowance
// stops at half of what the host bears, and cheap products a little before dear ones.
func (b *Balancer) bears(h *cache, c *call) bool {
	n, now := h.limit*b.portion(c), b.host.Now()
	if n < 1 && h.out == 0 {
		// Many balancers with one attempt each still crowd a small host: less than one is one with a pause after
		// it.
		return now >= h.restUntil && (now-h.lastEnded).seconds() >= max(b.usual(), h.took)*(1/n-1)
	}
	return now >= h.restUntil && float64(h.out+1) <= max(1, n)
}

// portion is the part of a limit that is open to this request.
func (b *Balancer) portion(c *call) float64 {
	if c.above {
		return 0.5
	} else if c.terms.BilledValue < b.topValue/2 {
		return 0.85
	}
	return 1
}

// room tells whether the fleet bears one more. One of hundreds of balancers meets a host too seldom to see it
// crowded, but sees what became of its last attempts: the limit of all falls where a quarter are not in time.
func (b *Balancer) room(c *call) bool {
	return float64(b.attemptsOut)+b.chance() < b.fleetBears*float64(len(b.available))*b.portion(c)
}
