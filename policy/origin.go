package policy

// The origin: sends cache misses and writes there, up to a concurrency limit.

// sendToOrigin sends a request to the origin if its concurrency limit allows; reads leave a quarter of the limit
// to writes. Otherwise the request is given up at once: queued reads would be answered late and keep the origin
// slow.
func (b *Balancer) sendToOrigin(r *request) {
	o, limit := b.origin, b.origin.concurrencyLimit
	if !r.Write {
		limit = max(1, 0.75*limit)
	}
	full := float64(o.inFlight+b.peerInFlight) >= limit || b.env.Now() < o.backoffUntil
	if o.HostID == "" || o.Condition != Up || full || !b.maySend(r, o) {
		b.raiseShedding(r)
		b.giveUp(r)
		return
	}
	b.send(r, o)
}

// originDelay returns the part of an attempt's duration beyond the fastest recent answer of the origin. The rest is the way
// there and the set-up of the connection, which a lower limit would not shorten.
func (b *Balancer) originDelay(e AttemptResult) Nanos {
	now := b.env.Now()
	if e.Outcome == Fulfilled {
		b.originFastest.add(now, e.Duration)
	}
	return max(0, e.Duration-b.originFastest.get(now))
}
