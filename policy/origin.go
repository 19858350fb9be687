package policy

// The origin: fetches of what caches lack, and writes, up to a concurrency limit.

// sendToOrigin sends to the origin as much as it is seen to bear; reads leave a quarter of that to writes.
// What it could not answer in time is rate-limited at once: queued reads would come late and keep it slow.
func (b *Balancer) sendToOrigin(r *request) {
	o, limit := b.origin, b.origin.concurrencyLimit
	if !r.Write {
		limit = max(1, 0.75*limit)
	}
	full := float64(o.inFlight+b.peerInFlight) >= limit || b.env.Now() < o.backoffUntil
	if o.Cache == "" || o.Condition != Up || full || !b.maySend(r, o) {
		b.raiseShedding(r)
		b.giveUp(r)
		return
	}
	b.send(r, o)
}
