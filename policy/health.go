package policy

import "math"

// Health: outlier detection by how attempts ended and by how long they take.

const (
	outcomeSlot         = 1500 * Millisecond // with eight slots a host's past counts for twelve seconds
	outcomeWindow       = meterSlotCount * outcomeSlot
	delaySlot           = 1000 * Millisecond // crowding comes and goes in seconds
	maintenanceInterval = 500 * Millisecond  // a quarter of a slot of the key table
)

const (
	baselineSlot        = 6 * Second // times eight: an overload must not soon pass for the usual
	minBaselineAttempts = 24         // endings that a slot needs: work differs by a factor of several
)

// excessDelayRatio is the part of its SLO that an attempt took beyond its product's calmest slot lately, at caches as
// near as its own: the way to another zone is no crowding.
func (b *Balancer) excessDelayRatio(h *cacheHost, r *request, took Nanos) float64 {
	m := &b.attemptTimes[2*r.Product]
	if h.Zone != b.config.Zone {
		m = &b.attemptTimes[2*r.Product+1]
	}
	m.add(b.env.Now(), took.seconds(), 1)
	baseline, ok := m.minSlotMean(b.env.Now(), minBaselineAttempts)
	if !ok {
		return 0
	}
	return (took.seconds() - baseline) / r.product.LatencySLO.seconds()
}

// recordOutcome takes an attempt's outcome into the host's health and limit and the product's tempo.
func (b *Balancer) recordOutcome(h *cacheHost, r *request, e Ending, a *attempt) {
	now, slo, rejected := b.env.Now(), r.product.LatencySLO, e.Outcome == TurnedAway
	good := (e.Outcome == Fulfilled || e.Outcome == Missed) && e.Took <= slo
	bad := !good && !rejected && e.Outcome != NeverSent && (e.Outcome != Cancelled || e.Took >= slo/2)
	// Answers come spoilt and connections break on any host, whatever its load: limits cut for it turned calls
	// away. Nor is a host that is not there crowded, nor one that errs before others answer: with half of the
	// fleet gone and some of the rest erring, what was left was hardly used.
	overloaded := bad && e.Outcome != Spoilt && e.Outcome != Reset && e.Outcome != ConnectFailed &&
		!(e.Outcome == Errored && h != b.origin && e.Took.seconds() < b.usualAttemptSeconds())
	if good {
		h.goodCount++
	} else if overloaded {
		overloaded, h.goodCountAtLastBad = h.goodCount-min(a.goodCountAtSend, h.goodCountAtLastBad) < isolatedFailureGoods, h.goodCount
	}
	if rejected { // a full host answers at once and looks idle: unrested it draws the traffic of all
		h.backoff = min(max(initialBackoff, 2*h.backoff), Second)
		h.backoffUntil = now + Nanos(float64(h.backoff)*(0.5+b.randomFloat()))
	} else if e.Outcome == ConnectFailed { // no one is there until the list tells more: a try costs an attempt
		h.backoff = min(max(Second, 2*h.backoff), 8*Second)
		h.connectBackoffUntil = now + Nanos(float64(h.backoff)*(0.5+b.randomFloat()))
	} else if good {
		h.backoff /= 2
	}
	if h == b.origin {
		b.adaptLimit(h, slo, good, overloaded, rejected, 2*e.Took.seconds()/slo.seconds())
		return
	}
	b.recordLoadReport(h, r, e)
	if e.Outcome == Fulfilled {
		b.attemptTime.add(now, e.Took.seconds(), 1)
		h.excessDelay.add(now, b.excessDelayRatio(h, r, e.Took), 1)
	}
	sum, n := h.excessDelay.decayed(now)
	b.adaptLimit(h, slo, good, overloaded, rejected, sum/(n+4)/overloadDelayRatio)
	if overloaded || rejected {
		b.fleetLimitPerHost = max(b.minLimit(), b.fleetLimitPerHost*0.9)
	} else if good && float64(b.attemptsInFlight+1) >= b.fleetLimitPerHost*float64(len(b.available))/2 {
		b.fleetLimitPerHost = min(maxInFlight, b.fleetLimitPerHost*1.03)
	}
	h.outcomes.record(now, good, bad)
	b.zoneOutcomes[h.Zone].record(now, good, bad)
	b.hostOutcomes.record(now, good, bad)
	if good && b.warmCapacity > 0 {
		b.goodPerCapacity.add(now, 1/b.warmCapacity, 0)
	}
	if overloaded && !r.overQuota {
		b.raiseShedding(r)
	}
}

// overdueAttempts tells a hang before the first time-out: how many of the attempts out at a host should have ended
// since one last did, by the usual pace.
func (b *Balancer) overdueAttempts(h *cacheHost) float64 {
	return float64(h.inFlight) * (b.env.Now() - max(h.lastEnded, h.busySince)).seconds() / b.usualAttemptSeconds()
}

// usualAttemptSeconds is how long an attempt at a cache takes lately, in seconds; a second while nothing is known.
func (b *Balancer) usualAttemptSeconds() float64 {
	took, n := b.attemptTime.decayed(b.env.Now())
	return (took + 0.01) / (n + 0.01)
}

// hungThreshold is the number of endings overdue from which a host counts as hanging. Of 5, 6, 7, 9 and 14 it lost
// least: work differs by a factor of several, and fewer is often just a big piece.
const hungThreshold = 9

// drawHealthy draws from the posterior of the host's success and holds it against the fleet's, so that what
// troubles all (a slow origin, an overload) blames none. What the host's zone did lately is the prior: a cut
// or lost zone would else cost every balancer an attempt at each of its hosts. Work that cannot be repeated
// takes no draw.
func (b *Balancer) drawHealthy(h *cacheHost, r *request) bool {
	mean, minRate, n := b.successPosterior(h)
	if mean == 1 {
		return true
	}
	if r.product.Effect == NonIdempotent {
		return mean >= minRate
	}
	z := (b.randomFloat() + b.randomFloat() + b.randomFloat() + b.randomFloat() - 2) * math.Sqrt(3)
	return mean+z*math.Sqrt(mean*(1-mean)/(n+1)) >= minRate
}

// successPosterior is the mean of a host's posterior, the bar that it is held to and how many endings are behind it.
func (b *Balancer) successPosterior(h *cacheHost) (mean, minRate, n float64) {
	now := b.env.Now()
	good, bad := h.outcomes.decayed(now)
	good, bad = good+h.peerGood, bad+h.peerBad // a dozen own good ones outweigh the most said
	if n := b.overdueAttempts(h); n > hungThreshold {
		bad += n
	}
	zoneGood, zoneBad := b.zoneOutcomes[h.Zone].decayed(now)
	if bad == 0 && zoneBad == 0 {
		return 1, 0, 0
	}
	allGood, allBad := b.hostOutcomes.decayed(now)
	// Bars of 0.6 and 0.9 made no difference above noise.
	minRate = 0.75 * (allGood + 4) / (allGood + allBad + 4)
	prior := (zoneGood + 1) / (zoneGood + zoneBad + 1)
	n = good + bad + 1
	return (good + prior) / n, minRate, n
}

// isolatedFailureGoods is how many good endings, since the last bad one or since the attempt was sent, make a failure a
// stray: connections fall silent on any host, while crowding and hangs hold up most. 20 left limits low.
const isolatedFailureGoods = 10
