package policy

import "slices"

// Retries: when another attempt is made, and when it, or a rate-limit reply, cannot have an effect twice.

func (b *Balancer) send(r *request, to *cacheHost) {
	now := b.env.Now()
	if to.inFlight == 0 {
		to.busySince = now
	}
	to.inFlight++
	to.firstUseDue = 0
	if to != b.origin {
		b.attemptsInFlight++
	}
	r.attempts = append(r.attempts, attempt{host: to, sentAt: now, inFlight: true, goodCountAtSend: to.goodCount})
	r.inFlight++
	b.env.Send(r.ID, to.Cache, r.Deadline, r.latestStart())
}

// latestStart is the instant from which on an attempt may not begin: a repeat is dropped only within the window of
// what it repeats.
func (r *request) latestStart() Nanos {
	limit := r.Deadline
	for _, a := range r.attempts {
		if a.mayHaveRun && r.product.Effect == Deduplicated {
			limit = min(limit, a.sentAt+r.product.safeRepeatWindow())
		}
	}
	return limit
}

// maxSendDelay is for how long a balancer may be held up between its look at the clock and what it writes then.
const maxSendDelay = 150 * Millisecond

// safeRepeatWindow is the part of the window in which a repeat may be decided on and begun: what holds it up then still
// ends within the window.
func (t *ProductTerms) safeRepeatWindow() Nanos { return t.Window - min(maxSendDelay, t.Window/4) }

// retry makes a further attempt after one that failed, or gives up.
func (b *Balancer) retry(r *request, failed *cacheHost) {
	late := b.env.Now() >= r.arrivedAt+r.product.LatencySLO
	// No host was given work by an attempt that found nobody there: the next one feeds no overload.
	connected := slices.ContainsFunc(r.attempts, func(a attempt) bool { return !a.noConnection })
	switch {
	case late && r.product.OverdueValue == 0 || connected && !b.drawRetry():
		b.giveUp(r)
	case failed == b.origin:
		b.sendToOrigin(r)
	default:
		b.sendToHost(r)
	}
}

// drawRetry draws whether a further attempt is made: as often as recent ones were fulfilled, so that in an
// overload, where they are not, they stop feeding it. One in twenty is always made, to see it end.
func (b *Balancer) drawRetry() bool {
	good, bad := b.retryOutcomes.decayed(b.env.Now())
	return b.randomFloat() < max(0.05, (good+4)/(good+bad+4))
}

// MayHaveRun tells what an outcome proves; one not known here proves nothing.
func MayHaveRun(o Outcome) bool {
	return o != TurnedAway && o != ConnectFailed && o != NeverSent && o != Missed
}

// maySend is the one place that says whether an attempt may be sent now, given those before it.
func (b *Balancer) maySend(r *request, to *cacheHost) bool {
	return len(r.attempts) < b.config.MostAttempts && !r.finished && r.inFlight == 0 &&
		b.repeatHarmless(r, func(a attempt) bool {
			return r.product.Group == GroupAll || r.product.Group == GroupZone && a.host.Zone == to.Zone ||
				r.product.Group == GroupCell && a.host.Cell == to.Cell
		})
}

// mayRateLimit: the reply promises that a retry is harmless, wherever it goes.
func (b *Balancer) mayRateLimit(r *request) bool {
	return b.repeatHarmless(r, func(attempt) bool { return r.product.Group == GroupAll })
}

// repeatHarmless guards against a second effect: non-idempotent work never runs again, and deduplicated work only
// where and while every attempt that may have run is remembered.
func (b *Balancer) repeatHarmless(r *request, deduplicates func(attempt) bool) bool {
	return r.product.Effect == Idempotent || !slices.ContainsFunc(r.attempts, func(a attempt) bool {
		return (a.inFlight || a.mayHaveRun) && (r.product.Effect == NonIdempotent ||
			b.env.Now()-a.sentAt >= r.product.safeRepeatWindow() || !deduplicates(a))
	})
}
