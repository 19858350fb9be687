package policy

import "math"

// Load reports: hosts that tell of more load than others get fewer requests.

// passByReportedLoad draws whether a host that tells of more than the mean load is passed by, by the square of how much
// more, as most that send to it have not heard of it; at the second look, whether a call would be late there.
func (b *Balancer) passByReportedLoad(h *cacheHost, r *request, pass int) bool {
	now := b.env.Now()
	mean := b.meanReportedWait(now)
	if mean == 0 || h.reportedWait <= mean {
		return false
	}
	// Where a balancer meets a host once in half a minute, fading within 2 or 6 s forgot most of what was told.
	loadRatio := 1 + (h.reportedWait/mean-1)/(1+(now-h.reportedAt).seconds()/outcomeWindow.seconds())
	if pass > 0 {
		return r.product.OverdueValue == 0 && loadRatio*b.usualAttemptSeconds() > r.product.LatencySLO.seconds()
	}
	return b.randomFloat() > math.Pow(loadRatio, -2)
}

func (b *Balancer) meanReportedWait(now Nanos) float64 {
	sum, n := b.reportedWaits.decayed(now)
	return sum / max(n, 1)
}

// recordLoadReport takes what a host tells of its load, or else that it kept an attempt for long, since one that
// answers nothing tells nothing: how long a request takes there, against others.
func (b *Balancer) recordLoadReport(h *cacheHost, r *request, e Ending) {
	now := b.env.Now()
	switch report := e.Load; {
	case report != nil:
		h.reportedWait = 1
		if report.InHand >= 0 {
			h.reportedWait = (report.InHand + 1) / h.weight
		} else if report.Busy >= 0 {
			h.reportedWait = 1 / (1 - min(report.Busy, 0.95)) // as one queue with one server would hold
		}
		if report.Took > 0 {
			h.reportedWait *= report.Took
		}
		if report.Took != 0 {
			b.reportedWaits.add(now, h.reportedWait, 1)
		}
		if report.Took == 0 || report.InHand >= 0 && report.Busy >= 0 && report.Busy < 0.9 { // nothing was done of late, or waits
			h.reportedWait = min(h.reportedWait, b.meanReportedWait(now))
		}
	case e.Took > r.product.LatencySLO/2 && b.meanReportedWait(now) > 0:
		h.reportedWait = max(h.reportedWait, b.meanReportedWait(now)*e.Took.seconds()/b.usualAttemptSeconds())
	default:
		return
	}
	h.reportedAt = now
}
