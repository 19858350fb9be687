package policy

// The origin: fetches of what caches lack, and writes, up to a concurrency limit.

// askOrigin sends to the origin as much as it is seen to bear; reads leave a quarter of that to writes.
// What it could not answer in time is rate-limited at once: queued reads would come late and keep it slow.
func (b *Balancer) askOrigin(c *call) {
	o, most := b.origin, b.origin.limit
	if !c.Write {
		most = max(1, 0.75*most)
	}
	full := float64(o.out+b.beside) >= most || b.host.Now() < o.restUntil
	if o.Cache == "" || o.Condition != Up || full || !b.mayRepeat(c, o) {
		b.pressed(c)
		b.giveUp(c)
		return
	}
	b.send(c, o)
}
