package pool

import (
	"math"
	"slices"

	"streamrail/policy"
)

// mustRetire reports whether and why a connection must not be used again. Idle connections retire at five to six eighths of the host's idle
// limit, old ones between three quarters and all of the maximum age. The random spread keeps connections that were opened
// together from ending together.
func (p *Pool) mustRetire(now policy.Nanos, c *conn) (why Reason, retire bool) {
	if p.config.IdleTimeout > 0 && c.phase == idle && float64(now-c.phaseSince) >= float64(p.config.IdleTimeout)*(0.75-c.retireJitter/8) {
		return Idle, true
	}
	if p.config.MaxAge > 0 && c.phase != opening && float64(now-c.openedAt) >= float64(p.config.MaxAge)*(1-c.retireJitter/4) {
		return Age, true
	}
	return Unknown, false
}

// TickInterval is the interval at which Tick must be called.
const TickInterval = 100 * policy.Millisecond

// Tick does the periodic work: it refuses attempts that waited too long, retires connections and opens connections ahead.
func (p *Pool) Tick(now policy.Nanos) {
	for _, id := range p.activeHosts() {
		h := p.hosts[id]
		for _, w := range slices.Clone(h.queue) {
			if now >= w.expires {
				p.refuse(w, Expired)
			} else if w.refuseAt > 0 && now >= w.refuseAt && w.opening == nil {
				p.refuse(w, LimitReached)
			}
		}
		for _, c := range slices.Clone(h.idle) {
			if why, retire := p.mustRetire(now, c); retire {
				p.close(c, why)
			}
		}
		p.closeSurplus(now, h)
		p.openAhead(now, h)
	}
}

// closeSurplus closes the connections that stayed idle during the last interval, but keeps as many as recent demand calls for.
func (p *Pool) closeSurplus(now policy.Nanos, h *host) {
	if p.config.ShrinkInterval <= 0 || now-h.shrunkAt < p.config.ShrinkInterval {
		return
	}
	surplus := min(h.minIdle, h.open-p.targetConnections(now, h))
	h.shrunkAt = now
	for range surplus {
		p.close(h.idle[0], Surplus)
	}
	h.minIdle = len(h.idle)
}

// targetConnections returns how many connections a host needs. By Little's law the mean number in use is the rate of attempts times their
// duration; AheadDeviations standard deviations are added. A cold host without attempts so far is expected to need as many as the others.
func (p *Pool) targetConnections(now policy.Nanos, h *host) int {
	mean := h.demand.mean(now)
	if mean == 0 && h.startedAt > 0 && now-h.startedAt < p.config.ColdFor {
		mean = p.meanHostDemand(now)
	}
	if mean == 0 {
		return 0
	}
	return int(math.Ceil(mean+p.config.AheadDeviations*math.Sqrt(mean))) + p.spareTarget(now, h)
}

// meanDemand caches the mean demand of all hosts at one instant.
type meanDemand struct {
	at   policy.Nanos
	mean float64
}

// meanHostDemand returns the mean demand of the other hosts, for a host without attempts so far. It is computed once for each instant:
// which of the hosts without attempts is left out does not change the mean.
func (p *Pool) meanHostDemand(now policy.Nanos) float64 {
	if p.cachedMean.at == now {
		return p.cachedMean.mean
	}
	sum, n := 0.0, 0
	for _, o := range p.hosts {
		if !o.leaving {
			sum += o.demand.mean(now)
			n++
		}
	}
	p.cachedMean = meanDemand{now, sum / float64(max(1, n-1))} // the host in question is not counted
	return p.cachedMean.mean
}

// openAhead opens the connections that will be needed, within the opening rate.
func (p *Pool) openAhead(now policy.Nanos, h *host) {
	if p.config.AheadDeviations <= 0 || p.closed || h.leaving {
		return
	}
	for h.open < p.targetConnections(now, h) && p.openCount < p.config.MaxConnections && p.mayOpen(now, h) == Unknown { // never closes connections to other hosts
		p.startOpening(now, h, nil)
	}
}
