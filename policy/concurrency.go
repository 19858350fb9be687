package policy

// Concurrency limits: how many attempts may be in flight at a host, and over the fleet.

const (
	// Attempts of all balancers together in flight at one host. Each balancer's limit is its equal part.
	fleetInitialInFlight      = 12               // at a host without history; twice as many overloaded small fleets
	largeFleetInitialInFlight = 40               // the same where the equal part of 12 is below two; 12 there rejected requests for popular keys
	fleetMinInFlight          = 6                // the lowest limit
	maxInFlight               = 256              // upper bound of every limit of a single balancer, more than any known host needs
	initialBackoff            = 20 * Millisecond // short compared with most requests; doubled while the host stays full
	// Mean excess delay of a host's attempts, as a fraction of their SLO, above which the host counts as
	// overloaded.
	overloadDelayRatio = 0.03
)

// initialLimit returns this balancer's concurrency limit at a host without history.
func (b *Balancer) initialLimit() float64 {
	n := float64(b.config.Balancers)
	return max(fleetInitialInFlight/n, min(2, largeFleetInitialInFlight/n))
}

// minLimit returns the lowest concurrency limit of this balancer at a host.
func (b *Balancer) minLimit() float64 { return min(1, fleetMinInFlight/float64(b.config.Balancers)) }

// adaptLimit adjusts a concurrency limit: a sharp decrease after a rejection or a failure by overload, a slow
// decrease while delays are high, a slow increase while the limit is used.
func (b *Balancer) adaptLimit(h *cacheHost, slo Nanos, good, overloaded, rejected bool, delayRatio float64) {
	now := b.env.Now()
	switch {
	case (overloaded || rejected) && now-h.limitCutAt > slo/4:
		h.concurrencyLimit, h.limitCutAt = max(b.minLimit(), h.concurrencyLimit*0.6), now // with a factor of 0.8 or more hosts stayed overloaded
	case good && delayRatio > 1:
		h.concurrencyLimit = max(b.minLimit(), h.concurrencyLimit-min(0.5, h.concurrencyLimit/2)/max(1, h.concurrencyLimit))
	case good && float64(h.inFlight+1) >= h.concurrencyLimit/2:
		// The limit at most doubles: with hundreds of balancers, steps of one add up to limits without effect.
		step := 1 / max(1, h.concurrencyLimit)
		if h == b.origin && h.limitCutAt == 0 {
			// Until the first decrease the origin's capacity is unknown, and the regular step is so slow that misses
			// were given up for seconds while the origin was idle. A step of 1 risks overloading the origin.
			step = 0.3
		}
		h.concurrencyLimit = min(maxInFlight, h.concurrencyLimit+min(step, h.concurrencyLimit))
	}
}

// countAtHost changes how many attempts count against the limits of a host and of the fleet.
func (b *Balancer) countAtHost(h *cacheHost, change int) {
	if h.inFlight+change < 0 {
		return
	}
	if h.inFlight == 0 {
		h.busySince = b.env.Now()
	}
	h.inFlight += change
	if h.availablePos > 0 {
		b.attemptsInFlight += change
	}
}

// setCounted makes an attempt count against the limits of its host and of the fleet, or not. An attempt counts while its host works on it,
// not while a client writes or reads a long value.
func (b *Balancer) setCounted(a *attempt, h *cacheHost, counted bool) {
	switch {
	case counted && !a.counted:
		b.countAtHost(h, 1)
	case !counted && a.counted:
		b.countAtHost(h, -1)
	}
	a.counted = counted
}

// setInFlightCounted does the same for the attempts of a request that have not ended.
func (b *Balancer) setInFlightCounted(r *request, counted bool) {
	for i := range r.attempts {
		if h := b.hosts[r.attempts[i].host.HostID]; h != nil && r.attempts[i].inFlight {
			b.setCounted(&r.attempts[i], h, counted)
		}
	}
}

// hostHasCapacity reports whether a host may get one more request. Requests beyond a quota are limited to half of
// the host's limit, and products of low value to slightly less than all of it.
func (b *Balancer) hostHasCapacity(h *cacheHost, r *request) bool {
	limit, now := h.concurrencyLimit*b.limitShare(r), b.env.Now()
	if limit < 1 && h.inFlight == 0 {
		// Many balancers with one attempt each still overload a small host: a limit below one means one attempt
		// followed by a pause.
		return now >= h.backoffUntil && (now-h.lastEnded).seconds() >= max(b.usualAttemptSeconds(), h.lastAttemptSeconds)*(1/limit-1)
	}
	return now >= h.backoffUntil && float64(h.inFlight+1) <= max(1, limit)
}

// limitShare returns the fraction of a concurrency limit that is available to this request.
func (b *Balancer) limitShare(r *request) float64 {
	if r.overQuota {
		return 0.5
	} else if r.product.BilledValue < b.maxBilledValue/2 {
		return 0.85
	}
	return 1
}

// fleetHasCapacity reports whether this balancer may have one more attempt in flight over all hosts. One of
// hundreds of balancers sends to a host too rarely to notice its overload, but sees the outcomes of its recent
// attempts at all hosts: the common limit falls where about a quarter of them are not in time.
func (b *Balancer) fleetHasCapacity(r *request) bool {
	return float64(b.attemptsInFlight)+b.randomFloat() < b.fleetLimitPerHost*float64(len(b.available))*b.limitShare(r)
}
