package policy

import "math"

// Membership: the list of hosts, and those that operators took out by hand.

// Listed takes what discovery tells.
func (b *Balancer) Listed(kind ListKind, entries []Entry) {
	switch kind {
	case ListUnavailable:
		b.follow(false)
		return
	case ListRestored:
		b.follow(len(entries) == 0)
	}
	named := map[CacheID]bool{}
	changed, origin := kind != ListUpdate, b.origin
	if b.unit == 0 {
		b.unitOf(entries)
	}
	for _, e := range entries {
		named[e.Cache] = true
		changed = b.note(e) || changed
	}
	for id, h := range b.caches {
		if kind != ListUpdate && !named[id] {
			h.Condition = Gone
		}
		b.forget(h)
	}
	if changed {
		b.rebuild()
	}
	if b.origin != origin {
		// What a tenth of the caches may have out: at the limit of a single one a balancer that had just started
		// turned away misses that all others sent on.
		b.origin.limit = b.firstLimit() * max(1, float64(len(b.byID))/10)
	}
	b.held = 0
	for _, h := range b.byID {
		b.held += h.held / float64(len(b.byID))
	}
}

// up tells that a host may be sent to: the list names it so and nobody has taken it out.
func (b *Balancer) up(h *cache) bool { return h.Condition == Up && !b.out[h.Cache] }

// Exclude takes a cache out by hand until Include: no list lifts that, nor its leaving the list.
func (b *Balancer) Exclude(id CacheID) (known, held bool) {
	if known = b.Knows(id); !known || len(b.out) >= mostExcluded && !b.out[id] {
		return known, false
	}
	b.Bar(id)
	return known, true
}

// Bar is Exclude for what another process has been told, or this one before its start.
func (b *Balancer) Bar(id CacheID) {
	b.out[id] = true
	b.rebuild()
}

// mostExcluded bounds the caches out by hand: those that no list names any more stay out. Many times a fleet.
const mostExcluded = 4096

// Include puts a cache back. Operators restart it meanwhile: it comes back as one that starts now, whatever
// the list knows of its start, and nothing learnt of it before holds. One that was not out stays as it is.
func (b *Balancer) Include(id CacheID) (known bool) {
	if known = b.Knows(id); !b.out[id] {
		return known
	}
	delete(b.out, id)
	if old := b.caches[id]; old != nil {
		delete(b.caches, id)
		b.note(old.Entry)
		h, now := b.caches[id], b.host.Now()
		h.out, h.busySince, h.lastEnded, h.back = old.out, old.busySince, old.lastEnded, now
		h.owed, b.owing = now+Nanos(float64(backWithin)*b.chance()), true
	}
	b.rebuild()
	return known
}

// backWithin is when a cache that was put back is used at the latest, by each balancer at its own moment:
// with few requests its budget gives each balancer one in minutes, and nobody could tell that it is back.
const backWithin = 4 * Second

// returned is a cache that was put back by hand and is due to be used.
func (b *Balancer) returned(c *call) *cache {
	if !b.owing || c.Write || len(c.attempts) > 0 || c.terms.Effect != Idempotent {
		return nil
	}
	b.owing = false
	for _, h := range b.byID {
		b.owing = b.owing || h.owed > 0
		if h.owed > 0 && b.host.Now() >= h.owed {
			h.budget = max(0, h.budget-1)
			return h
		}
	}
	return nil
}

// forget drops a host that is gone once nothing is out there: others come under new ids all day.
func (b *Balancer) forget(h *cache) {
	if h.Condition == Gone && h.out == 0 && h != b.origin {
		delete(b.caches, h.Cache)
	}
}

// follow asks for the list, at a start or after a call for it that failed, at once or within againWithin.
// With a list from before a start can wait: a release starts most balancers at once, and all their calls
// together held discovery up for so long that none was answered in time. So did calls that failed, after 250
// ms, doubled.
func (b *Balancer) follow(atOnce bool) {
	if !b.terms.MustSubscribe || b.retrying {
		return
	}
	b.retrying = true
	wait := Nanos(0)
	if !atOnce {
		wait = Nanos(float64(min(b.terms.AskEvery/2, againWithin)) * b.chance())
	}
	b.host.SetTimer(wait, "list")
}

// againWithin is of the six seconds after which news counts as told once discovery can be reached, whatever
// came of earlier calls: one is left for the call itself.
const againWithin = 5 * Second

// unitOf fixes once what a listed size counts for: units of a power of two, and by kind where sizes follow
// the load, so that balancers that start at other times lay the same ring and no load report moves a key.
func (b *Balancer) unitOf(entries []Entry) {
	top := 0.0
	for _, e := range entries {
		if e.Kind != b.terms.OriginKind {
			top = max(top, e.Size)
			b.ofKind[e.Kind] = max(b.ofKind[e.Kind], e.Size)
		}
	}
	if top > 0 {
		b.unit = math.Exp2(math.Floor(math.Log2(top)))
	}
}

// note takes one entry; it tells whether the ring is touched.
func (b *Balancer) note(e Entry) bool {
	old := b.caches[e.Cache]
	if old != nil && (old.Born == e.Born || old == b.origin) {
		changed := old.Condition != e.Condition
		old.Condition = e.Condition
		if size := b.ofKind[e.Kind]; b.terms.LiveSizes && e.Size > 0 && e.Size <= size {
			old.held = max(size/e.Size-1, 0.6*old.held)
		}
		return changed
	}
	// A restart under the same name is a new process: cold, and nothing learnt of the old one holds.
	h := &cache{Entry: e, limit: b.firstLimit(), weight: e.Size}
	h.delay.width, h.budgetAt = delaySlot, b.host.Now()
	if old != nil {
		h.out, h.busySince, h.lastEnded, h.back, h.owed = old.out, old.busySince, old.lastEnded, old.back, old.owed
	}
	if size := b.ofKind[e.Kind]; b.terms.LiveSizes && size > 0 {
		h.weight = math.Exp2(math.Round(2*math.Log2(size)) / 2)
	}
	if b.terms.SizesEqual || !(h.weight > 0) {
		h.weight = b.unit
	}
	if b.terms.Aside && e.Kind == b.terms.OriginKind {
		b.origin = h
	}
	b.caches[e.Cache] = h
	if b.zones[e.Zone] == nil {
		b.zones[e.Zone] = &meter{}
	}
	return true
}
