package policy

import "math"

// Load reports: hosts that report more load than others get fewer requests.

// passByReportedLoad reports whether to pass by a host that reports more than the mean load. The first pass
// decides at random and keeps the host with the inverse square of its load ratio as the probability: most
// balancers that send to the host have not seen its report yet, so those that have must react more strongly. The
// second pass skips the host only if the request would be late there and a late answer has no value.
func (b *Balancer) passByReportedLoad(h *cacheHost, r *request, pass int) bool {
	now := b.env.Now()
	mean := b.meanReportedWait(now)
	if mean == 0 || h.reportedWait <= mean {
		return false
	}
	// Reports lose weight over an outcomeWindow: where a balancer sends to a host only every half minute, decay
	// within a few seconds would discard most of them.
	loadRatio := 1 + (h.reportedWait/mean-1)/(1+(now-h.reportedAt).seconds()/outcomeWindow.seconds())
	if pass > 0 {
		return r.product.LateValueFraction == 0 && loadRatio*b.usualAttemptSeconds() > r.product.LatencySLO.seconds()
	}
	return b.randomFloat() > math.Pow(loadRatio, -2)
}

// meanReportedWait returns the recent mean of the reported waits of all hosts; 0 if none is known.
func (b *Balancer) meanReportedWait(now Nanos) float64 {
	sum, n := b.reportedWaits.decayed(now)
	return sum / max(n, 1)
}

// recordLoadReport updates a host's reported wait by the load report that came with an answer. A host that does
// not answer does not report either, so without a report an attempt of more than half of the SLO counts as a wait
// in proportion to its duration.
func (b *Balancer) recordLoadReport(h *cacheHost, r *request, e AttemptResult) {
	now := b.env.Now()
	switch report := e.Load; {
	case report != nil:
		h.reportedWait = 1
		if report.InProgress >= 0 {
			h.reportedWait = (report.InProgress + 1) / h.weight
		} else if report.Utilisation >= 0 {
			h.reportedWait = 1 / (1 - min(report.Utilisation, 0.95)) // queue length of a single server at this utilisation
		}
		if report.ServiceSeconds > 0 {
			h.reportedWait *= report.ServiceSeconds
		}
		if report.ServiceSeconds != 0 {
			b.reportedWaits.add(now, h.reportedWait, 1)
		}
		if report.ServiceSeconds == 0 || report.InProgress >= 0 && report.Utilisation >= 0 && report.Utilisation < 0.9 { // no recent requests, or no queue
			h.reportedWait = min(h.reportedWait, b.meanReportedWait(now))
		}
	case e.Duration > r.product.LatencySLO/2 && b.meanReportedWait(now) > 0:
		h.reportedWait = max(h.reportedWait, b.meanReportedWait(now)*e.Duration.seconds()/b.usualAttemptSeconds())
	default:
		return
	}
	h.reportedAt = now
}
