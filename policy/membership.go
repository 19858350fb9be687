package policy

import "math"

// Membership: the list of hosts, and those that operators took out by hand.

// Listed takes what discovery tells, in one piece. It costs as much as the list is long: a caller that must not be held for
// that long calls ListBegins, then Changed for a few entries at a time.
func (b *Balancer) Listed(kind ListKind, entries []Entry) {
	b.ListBegins(kind, entries)
	if kind == ListUnavailable {
		return
	}
	b.Changed(entries)
	if kind == ListUpdate {
		return
	}
	named := make(map[CacheID]bool, len(entries))
	for _, e := range entries {
		named[e.Cache] = true
	}
	for id, h := range b.caches {
		if !named[id] {
			h.Condition = Gone
			b.settle(h)
			b.forget(h)
		}
	}
}

// ListBegins hears that a list comes, or that none does, and takes what follows from the list as a whole. Its entries follow by
// Changed, in any order and in pieces of any size; a cache that a whole list does not name any more follows as gone.
func (b *Balancer) ListBegins(kind ListKind, entries []Entry) {
	switch kind {
	case ListUnavailable:
		b.follow(false)
		return
	case ListRestored:
		b.follow(len(entries) == 0)
	}
	if b.unit == 0 {
		b.unitOf(entries)
	}
	if kind != ListUpdate {
		b.listed = 0
		for i := range entries {
			if entries[i].Condition == Up && entries[i].Kind != b.terms.OriginKind {
				b.listed++
			}
		}
	}
}

// Changed takes entries of the list. It costs by their number alone.
func (b *Balancer) Changed(entries []Entry) {
	origin := b.origin
	for _, e := range entries {
		h := b.note(e)
		b.settle(h)
		b.forget(h)
	}
	if b.origin != origin {
		// What a tenth of the caches may have out: at the limit of a single one a balancer that had just started
		// turned away misses that all others sent on.
		b.origin.limit = b.firstLimit() * max(1, float64(max(b.listed, len(b.available)))/10)
	}
}

// settle puts a cache among those that attempts may go to, or takes it from them, as its condition now is.
func (b *Balancer) settle(h *cache) {
	available := h != b.origin && b.up(h) && b.caches[h.Cache] == h
	switch {
	case available && h.place == 0:
		b.available = append(b.available, h)
		h.place = len(b.available)
		h.counted = h.weight * b.warmth(h)
		b.ring.add(h, b.pointsOf(h))
		b.tallyOf(h, 1)
	case !available && h.place > 0:
		last := b.available[len(b.available)-1]
		b.available[h.place-1], last.place = last, h.place
		b.available[len(b.available)-1] = nil
		b.available = b.available[:len(b.available)-1]
		h.place = 0
		b.ring.remove(h)
		b.tallyOf(h, -1)
	}
}

// tallyOf adds a cache to the sums over all that are available, or takes it out of them.
func (b *Balancer) tallyOf(h *cache, sign int) {
	b.attemptsOut += sign * h.out
	b.able += float64(sign) * h.counted
	b.held += float64(sign) * h.held
	if h.Zone == b.terms.Zone {
		b.nearby += sign
	}
	if len(b.available) == 0 { // sums of many parts are not exact
		b.able, b.held = 0, 0
	}
}

// meanHeld is what the available caches hold a core, in the mean, as listed.
func (b *Balancer) meanHeld() float64 { return max(0, b.held) / float64(max(1, len(b.available))) }

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
	if h := b.caches[id]; h != nil {
		b.settle(h)
	}
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
		h, now := b.note(old.Entry), b.host.Now()
		h.out, h.busySince, h.lastEnded, h.back = old.out, old.busySince, old.lastEnded, now
		h.owed, b.owing = now+Nanos(float64(backWithin)*b.chance()), true
		b.settle(h)
	}
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
	for _, h := range b.available {
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
	if h.Condition == Gone && h.out == 0 && h != b.origin && b.caches[h.Cache] == h {
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

// note takes one entry.
func (b *Balancer) note(e Entry) *cache {
	old := b.caches[e.Cache]
	if old != nil && (old.Born == e.Born || old == b.origin) {
		old.Condition = e.Condition
		if size := b.ofKind[e.Kind]; b.terms.LiveSizes && e.Size > 0 && e.Size <= size {
			held := max(size/e.Size-1, 0.6*old.held)
			if old.place > 0 {
				b.held += held - old.held
			}
			old.held = held
		}
		return old
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
	if old != nil {
		b.settle(old)
	}
	if b.zones[e.Zone] == nil {
		b.zones[e.Zone] = &meter{}
	}
	return h
}
