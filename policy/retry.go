package policy

import "slices"

// Retries: decides when another attempt is made, and whether an attempt or a rate-limit reply could cause a second
// effect.

// send starts an attempt at a cache host or the origin.
func (b *Balancer) send(r *request, to *cacheHost) {
	now := b.env.Now()
	to.firstUseDue = 0
	r.attempts = append(r.attempts, attempt{host: to, sentAt: now, inFlight: true, goodCountAtSend: to.goodCount})
	r.inFlight++
	b.setCounted(&r.attempts[len(r.attempts)-1], to, !r.ValueArriving)
	b.env.Send(r.ID, to.HostID, r.Deadline, r.latestStart())
}

// latestStart returns the instant from which on an attempt must not begin: the receiver drops a repeat only within
// the deduplication window of the earlier attempt.
func (r *request) latestStart() Nanos {
	limit := r.Deadline
	for _, a := range r.attempts {
		if a.mayHaveRun && r.product.Effect == Deduplicated {
			limit = min(limit, a.sentAt+r.product.safeRepeatWindow())
		}
	}
	return limit
}

// maxSendDelay is the longest expected delay (for example by scheduling) between reading the clock for a decision
// and writing the request that follows from it.
const maxSendDelay = 150 * Millisecond

// safeRepeatWindow returns the part of the deduplication window in which a repeat may be decided on and begun.
// Even if its sending is delayed by maxSendDelay, it still falls within the window.
func (t *ProductConfig) safeRepeatWindow() Nanos {
	return t.DedupWindow - min(maxSendDelay, t.DedupWindow/4)
}

// retry makes a further attempt after one that failed, or gives the request up.
func (b *Balancer) retry(r *request, failed *cacheHost) {
	late := b.env.Now() >= r.arrivedAt+r.product.LatencySLO
	// An attempt that got no connection gave no host any work, so a retry after it does not add to an overload.
	connected := slices.ContainsFunc(r.attempts, func(a attempt) bool { return !a.noConnection })
	switch {
	case late && r.product.LateValueFraction == 0 || connected && !b.drawRetry():
		b.giveUp(r)
	case failed == b.origin:
		b.sendToOrigin(r)
	default:
		b.sendToHost(r)
	}
}

// drawRetry decides at random whether a retry is made, with the success rate of recent retries as its probability.
// In an overload, where retries fail, they then stop adding load. At least one in twenty is made, to notice when
// the overload ends.
func (b *Balancer) drawRetry() bool {
	good, bad := b.retryOutcomes.decayed(b.env.Now())
	return b.randomFloat() < max(0.05, (good+4)/(good+bad+4))
}

// MayHaveRun reports whether a request may have run at the receiver, given the outcome of the attempt. Any outcome
// that is no proof of the contrary counts as one that may have run.
func MayHaveRun(o Outcome) bool {
	return o != Rejected && o != ConnectFailed && o != NeverSent && o != CacheMiss
}

// maySend reports whether an attempt may be sent now, given the attempts before it. No attempt is sent without
// this check. Non-idempotent work must not run again; deduplicated work may be repeated only within the window and
// only at a host that recognises every earlier attempt that may have run.
func (b *Balancer) maySend(r *request, to *cacheHost) bool {
	return len(r.attempts) < b.config.MaxAttempts && !r.finished && r.inFlight == 0 &&
		(r.product.Effect == Idempotent || !slices.ContainsFunc(r.attempts, func(a attempt) bool {
			return a.mayRun() && (r.product.Effect == NonIdempotent ||
				b.env.Now()-a.sentAt >= r.product.safeRepeatWindow() || !r.product.deduplicates(a.host, to))
		}))
}

// mayRun reports whether an attempt may have run or may yet run.
func (a attempt) mayRun() bool { return a.inFlight || a.mayHaveRun }

// deduplicates reports whether one host drops the repeat of a request that ran at another.
func (t *ProductConfig) deduplicates(ranAt, repeatAt *cacheHost) bool {
	switch t.DedupScope {
	case DedupScopeZone:
		return ranAt.Zone == repeatAt.Zone
	case DedupScopeCell:
		return ranAt.Cell == repeatAt.Cell
	}
	return true
}

// mayRateLimit reports whether a request may be answered as rate-limited, which promises that a client retry is
// harmless whenever and wherever it arrives. No deduplication window supports that promise: the client chooses when
// to retry, and the balancer that gets the retry may hold it for a while.
func (b *Balancer) mayRateLimit(r *request) bool {
	return r.product.Effect == Idempotent || !r.product.EarlierTryMayHaveRun(r.ClientRetry) && !slices.ContainsFunc(r.attempts, attempt.mayRun)
}

// EarlierTryMayHaveRun reports whether an earlier try of a request may have run, given whether the request is marked as
// a client retry. Where all hosts drop repeats, clients also retry after an error, and the earlier try may have been
// made at another balancer. Other requests with an effect are retried only if nothing ran.
func (t *ProductConfig) EarlierTryMayHaveRun(clientRetry bool) bool {
	return clientRetry && t.Effect == Deduplicated && t.DedupScope == DedupScopeAll
}
