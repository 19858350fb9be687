package policy

// Concurrency limits: how many attempts may be out at a host, and over the fleet.

const (
	fleetInitialInFlight      = 12               // all may have out at a host not yet known; 24 crowded small fleets
	largeFleetInitialInFlight = 40               // the same where that is below two each: 12 turned popular keys away
	fleetMinInFlight          = 6                // all may have out at the least; of 2, 4, 6 and 8 six did best with overloadDelayRatio
	maxInFlight               = 256              // more than any host here was seen to need
	initialBackoff            = 20 * Millisecond // short against most work; doubled while it stays full
	// A host whose attempts are this part of their SLO later than in calm times holds too many.
	overloadDelayRatio = 0.03
)

func (b *Balancer) initialLimit() float64 {
	n := float64(b.config.Balancers)
	return max(fleetInitialInFlight/n, min(2, largeFleetInitialInFlight/n))
}

func (b *Balancer) minLimit() float64 { return min(1, fleetMinInFlight/float64(b.config.Balancers)) }

// adaptLimit moves a limit: sharply down on what failed, slowly down when crowded, slowly up when it was needed.
func (b *Balancer) adaptLimit(h *cacheHost, slo Nanos, good, overloaded, rejected bool, delayRatio float64) {
	now := b.env.Now()
	switch {
	case (overloaded || rejected) && now-h.limitCutAt > slo/4:
		h.concurrencyLimit, h.limitCutAt = max(b.minLimit(), h.concurrencyLimit*0.6), now // 0.8 and more left hosts crowded, 0.4 won nothing
	case good && delayRatio > 1:
		h.concurrencyLimit = max(b.minLimit(), h.concurrencyLimit-min(0.5, h.concurrencyLimit/2)/max(1, h.concurrencyLimit))
	case good && float64(h.inFlight+1) >= h.concurrencyLimit/2:
		// Never more than doubled: steps of one, times hundreds of balancers, made limits that bind nobody.
		step := 1 / max(1, h.concurrencyLimit)
		if h == b.origin && h.limitCutAt == 0 {
			// Nothing tells at first what it bears: it stood idle for seconds while misses were given up. 1 did as
			// well, but came nearer to what makes an origin stop.
			step = 0.3
		}
		h.concurrencyLimit = min(maxInFlight, h.concurrencyLimit+min(step, h.concurrencyLimit))
	}
}

// hostHasCapacity tells whether a host may get this request added. Under pressure traffic beyond an allowance
// stops at half of what the host bears, and cheap products a little before dear ones.
func (b *Balancer) hostHasCapacity(h *cacheHost, r *request) bool {
	limit, now := h.concurrencyLimit*b.limitShare(r), b.env.Now()
	if limit < 1 && h.inFlight == 0 {
		// Many balancers with one attempt each still crowd a small host: less than one is one with a pause after
		// it.
		return now >= h.backoffUntil && (now-h.lastEnded).seconds() >= max(b.usualAttemptSeconds(), h.lastAttemptSeconds)*(1/limit-1)
	}
	return now >= h.backoffUntil && float64(h.inFlight+1) <= max(1, limit)
}

// limitShare is the part of a limit that is open to this request.
func (b *Balancer) limitShare(r *request) float64 {
	if r.overQuota {
		return 0.5
	} else if r.product.BilledValue < b.maxBilledValue/2 {
		return 0.85
	}
	return 1
}

// fleetHasCapacity tells whether the fleet bears one more. One of hundreds of balancers meets a host too seldom to see it
// crowded, but sees what became of its last attempts: the limit of all falls where a quarter are not in time.
func (b *Balancer) fleetHasCapacity(r *request) bool {
	return float64(b.attemptsInFlight)+b.randomFloat() < b.fleetLimitPerHost*float64(len(b.available))*b.limitShare(r)
}
