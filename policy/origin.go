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
