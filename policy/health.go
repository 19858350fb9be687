package policy

import "math"

// Health: outlier detection by the outcomes and durations of attempts.

const (
	outcomeSlot         = 1500 * Millisecond // eight slots cover the last twelve seconds
	outcomeWindow       = meterSlotCount * outcomeSlot
	delaySlot           = 1000 * Millisecond // short, as overload of a host begins and ends within seconds
	maintenanceInterval = 500 * Millisecond  // a quarter of keySlotLength
)

const (
	baselineSlot        = 6 * Second // eight slots cover 48 s: a shorter baseline would soon adapt to an overload
	minBaselineAttempts = 24         // per slot; the work of requests differs by a factor of several, so fewer give no reliable mean
)

// excessDelayRatio returns how much longer an attempt took than its product's baseline, as a fraction of the SLO.
// The baseline is the fastest recent slot mean of hosts at the same distance (same zone or another zone), so that
// cross-zone latency does not count as overload.
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

// recordOutcome updates the host's health and concurrency limit and the product's attempt times by the outcome of
// an attempt.
func (b *Balancer) recordOutcome(h *cacheHost, r *request, e AttemptResult, a *attempt) {
	now, slo, rejected := b.env.Now(), r.product.LatencySLO, e.Outcome == Rejected || e.Outcome == UnprovenRejection
	took := e.Duration
	if h == b.origin {
		took = b.originDelay(e)
	}
	good := (e.Outcome == Fulfilled || e.Outcome == CacheMiss) && took <= slo
	bad := !good && !rejected && e.Outcome != NeverSent && (e.Outcome != Cancelled || took >= slo/2)
	// Only outcomes that indicate overload reduce a limit. Malformed answers and broken connections occur at any
	// load, and reducing limits for them rejected requests without need. A host that refuses connections, or
	// returns an error faster than others answer, is not overloaded either: with half of the fleet gone and
	// errors at some of the remaining hosts, reduced limits left the rest nearly unused.
	overloaded := bad && e.Outcome != MalformedAnswer && e.Outcome != Reset && e.Outcome != ConnectFailed &&
		!(e.Outcome == Errored && h != b.origin && e.Duration.seconds() < b.usualAttemptSeconds())
	if good {
		h.goodCount++
	} else if overloaded {
		overloaded, h.goodCountAtLastBad = h.goodCount-min(a.goodCountAtSend, h.goodCountAtLastBad) < isolatedFailureSuccesses, h.goodCount
	}
	if rejected { // without a backoff a full host, which answers at once, looks idle and attracts all traffic
		h.backoff = min(max(initialBackoff, 2*h.backoff), Second)
		h.backoffUntil = now + Nanos(float64(h.backoff)*(0.5+b.randomFloat()))
	} else if e.Outcome == ConnectFailed { // likely unreachable until the host list changes; trying it would waste an attempt
		h.backoff = min(max(Second, 2*h.backoff), 8*Second)
		h.connectBackoffUntil = now + Nanos(float64(h.backoff)*(0.5+b.randomFloat()))
	} else if good {
		h.backoff /= 2
	}
	if h == b.origin {
		b.adaptLimit(h, slo, good, overloaded, rejected, 2*took.seconds()/slo.seconds())
		return
	}
	b.recordLoadReport(h, r, e)
	if e.Outcome == Fulfilled {
		b.attemptTime.add(now, e.Duration.seconds(), 1)
		h.excessDelay.add(now, b.excessDelayRatio(h, r, e.Duration), 1)
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

// overdueAttempts returns how many attempts should have ended at a host since one last did, by the usual duration.
// It detects a host that hangs before the first timeout.
func (b *Balancer) overdueAttempts(h *cacheHost) float64 {
	return float64(h.inFlight) * (b.env.Now() - max(h.lastEnded, h.busySince)).seconds() / b.usualAttemptSeconds()
}

// usualAttemptSeconds returns the recent mean duration of attempts at cache hosts, in seconds; one second if none
// is known.
func (b *Balancer) usualAttemptSeconds() float64 {
	took, n := b.attemptTime.decayed(b.env.Now())
	return (took + 0.01) / (n + 0.01)
}

// hungThreshold is the number of overdue attempts above which a host counts as hanging. Work differs by a factor
// of several, so lower values also trip on a single large request.
const hungThreshold = 9

// drawHealthy draws from the posterior of the host's success rate and compares it with a threshold that follows
// the whole fleet, so that a common cause (a slow origin, an overload) blames no single host. The recent outcomes
// of the host's zone are the prior: without it, a zone that is cut off would cost every balancer an attempt at
// each of its hosts. Non-idempotent requests use the mean without a draw.
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

// successPosterior returns the mean of the posterior of a host's success rate, the lowest acceptable rate and the
// number of observations.
func (b *Balancer) successPosterior(h *cacheHost) (mean, minRate, n float64) {
	now := b.env.Now()
	good, bad := h.outcomes.decayed(now)
	good, bad = good+h.peerGood, bad+h.peerBad // a dozen own successes outweigh the strongest report
	if n := b.overdueAttempts(h); n > hungThreshold {
		bad += n
	}
	zoneGood, zoneBad := b.zoneOutcomes[h.Zone].decayed(now)
	if bad == 0 && zoneBad == 0 {
		return 1, 0, 0
	}
	allGood, allBad := b.hostOutcomes.decayed(now)
	minRate = 0.75 * (allGood + 4) / (allGood + allBad + 4)
	prior := (zoneGood + 1) / (zoneGood + zoneBad + 1)
	n = good + bad + 1
	return (good + prior) / n, minRate, n
}

// isolatedFailureSuccesses is the number of successes, since the last failure or since the attempt was sent, after
// which a failure counts as isolated and does not reduce limits. Connections stop responding on any host, whereas
// overload and hangs delay most attempts. A higher number keeps limits too low.
const isolatedFailureSuccesses = 10
