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
	for id, h := range b.hosts {
		if !named[id] {
			h.Condition = Gone
			b.updateAvailability(h)
			b.dropIfGone(h)
		}
	}
}

// ListBegins hears that a list comes, or that none does, and takes what follows from the list as a whole. Its entries follow by
// Changed, in any order and in pieces of any size; a cache that a whole list does not name any more follows as gone.
func (b *Balancer) ListBegins(kind ListKind, entries []Entry) {
	switch kind {
	case ListUnavailable:
		b.scheduleListRequest(false)
		return
	case ListRestored:
		b.scheduleListRequest(len(entries) == 0)
	}
	if b.nominalSize == 0 {
		b.fixNominalSizes(entries)
	}
	if kind != ListUpdate {
		b.listedUpCount = 0
		for i := range entries {
			if entries[i].Condition == Up && entries[i].Kind != b.config.OriginKind {
				b.listedUpCount++
			}
		}
	}
}

// Changed takes entries of the list. It costs by their number alone.
func (b *Balancer) Changed(entries []Entry) {
	origin := b.origin
	for _, e := range entries {
		h := b.applyEntry(e)
		b.updateAvailability(h)
		b.dropIfGone(h)
	}
	if b.origin != origin {
		// What a tenth of the caches may have out: at the limit of a single one a balancer that had just started
		// turned away misses that all others sent on.
		b.origin.concurrencyLimit = b.initialLimit() * max(1, float64(max(b.listedUpCount, len(b.available)))/10)
	}
}

// updateAvailability puts a cache among those that attempts may go to, or takes it from them, as its condition now is.
func (b *Balancer) updateAvailability(h *cacheHost) {
	available := h != b.origin && b.isUp(h) && b.hosts[h.Cache] == h
	switch {
	case available && h.availablePos == 0:
		b.available = append(b.available, h)
		h.availablePos = len(b.available)
		h.countedCapacity = h.weight * b.warmShare(h)
		b.ring.add(h, b.virtualNodesOf(h))
		b.adjustSums(h, 1)
	case !available && h.availablePos > 0:
		last := b.available[len(b.available)-1]
		b.available[h.availablePos-1], last.availablePos = last, h.availablePos
		b.available[len(b.available)-1] = nil
		b.available = b.available[:len(b.available)-1]
		h.availablePos = 0
		b.ring.remove(h)
		b.adjustSums(h, -1)
	}
}

// adjustSums adds a cache to the sums over all that are available, or takes it out of them.
func (b *Balancer) adjustSums(h *cacheHost, sign int) {
	b.attemptsInFlight += sign * h.inFlight
	b.warmCapacity += float64(sign) * h.countedCapacity
	b.loadSum += float64(sign) * h.listedLoad
	if h.Zone == b.config.Zone {
		b.availableInZone += sign
	}
	if len(b.available) == 0 { // sums of many parts are not exact
		b.warmCapacity, b.loadSum = 0, 0
	}
}

// meanLoad is what the available caches hold a core, in the mean, as listed.
func (b *Balancer) meanLoad() float64 { return max(0, b.loadSum) / float64(max(1, len(b.available))) }

// isUp tells that a host may be sent to: the list names it so and nobody has taken it out.
func (b *Balancer) isUp(h *cacheHost) bool { return h.Condition == Up && !b.excluded[h.Cache] }

// Exclude takes a cache out by hand until Include: no list lifts that, nor its leaving the list.
func (b *Balancer) Exclude(id CacheID) (known, excluded bool) {
	if known = b.Knows(id); !known || len(b.excluded) >= maxExcluded && !b.excluded[id] {
		return known, false
	}
	b.Bar(id)
	return known, true
}

// Bar is Exclude for what another process has been told, or this one before its start.
func (b *Balancer) Bar(id CacheID) {
	b.excluded[id] = true
	if h := b.hosts[id]; h != nil {
		b.updateAvailability(h)
	}
}

// maxExcluded bounds the caches out by hand: those that no list names any more stay out. Many times a fleet.
const maxExcluded = 4096

// Include puts a cache back. Operators restart it meanwhile: it comes back as one that starts now, whatever
// the list knows of its start, and nothing learnt of it before holds. One that was not out stays as it is.
func (b *Balancer) Include(id CacheID) (known bool) {
	if known = b.Knows(id); !b.excluded[id] {
		return known
	}
	delete(b.excluded, id)
	if old := b.hosts[id]; old != nil {
		delete(b.hosts, id)
		h, now := b.applyEntry(old.Entry), b.env.Now()
		h.inFlight, h.busySince, h.lastEnded, h.includedAt = old.inFlight, old.busySince, old.lastEnded, now
		h.firstUseDue, b.firstUsePending = now+Nanos(float64(firstUseWithin)*b.randomFloat()), true
		b.updateAvailability(h)
	}
	return known
}

// firstUseWithin is when a cache that was put back is used at the latest, by each balancer at its own moment:
// with few requests its budget gives each balancer one in minutes, and nobody could tell that it is back.
const firstUseWithin = 4 * Second

// dueFirstUse is a cache that was put back by hand and is due to be used.
func (b *Balancer) dueFirstUse(r *request) *cacheHost {
	if !b.firstUsePending || r.Write || len(r.attempts) > 0 || r.product.Effect != Idempotent {
		return nil
	}
	b.firstUsePending = false
	for _, h := range b.available {
		b.firstUsePending = b.firstUsePending || h.firstUseDue > 0
		if h.firstUseDue > 0 && b.env.Now() >= h.firstUseDue {
			h.coldBudget = max(0, h.coldBudget-1)
			return h
		}
	}
	return nil
}

// dropIfGone drops a host that is gone once nothing is out there: others come under new ids all day.
func (b *Balancer) dropIfGone(h *cacheHost) {
	if h.Condition == Gone && h.inFlight == 0 && h != b.origin && b.hosts[h.Cache] == h {
		delete(b.hosts, h.Cache)
	}
}

// scheduleListRequest asks for the list, at a start or after a call for it that failed, at once or within maxListRetryDelay.
// With a list from before a start can wait: a release starts most balancers at once, and all their calls
// together held discovery up for so long that none was answered in time. So did calls that failed, after 250
// ms, doubled.
func (b *Balancer) scheduleListRequest(immediately bool) {
	if !b.config.MustSubscribe || b.listRequestPending {
		return
	}
	b.listRequestPending = true
	delay := Nanos(0)
	if !immediately {
		delay = Nanos(float64(min(b.config.AskEvery/2, maxListRetryDelay)) * b.randomFloat())
	}
	b.env.SetTimer(delay, "list")
}

// maxListRetryDelay is of the six seconds after which news counts as told once discovery can be reached, whatever
// came of earlier calls: one is left for the call itself.
const maxListRetryDelay = 5 * Second

// fixNominalSizes fixes once what a listed size counts for: units of a power of two, and by kind where sizes follow
// the load, so that balancers that start at other times lay the same ring and no load report moves a key.
func (b *Balancer) fixNominalSizes(entries []Entry) {
	largest := 0.0
	for _, e := range entries {
		if e.Kind != b.config.OriginKind {
			largest = max(largest, e.Size)
			b.sizeByKind[e.Kind] = max(b.sizeByKind[e.Kind], e.Size)
		}
	}
	if largest > 0 {
		b.nominalSize = math.Exp2(math.Floor(math.Log2(largest)))
	}
}

// applyEntry takes one entry.
func (b *Balancer) applyEntry(e Entry) *cacheHost {
	old := b.hosts[e.Cache]
	if old != nil && (old.Born == e.Born || old == b.origin) {
		old.Condition = e.Condition
		if size := b.sizeByKind[e.Kind]; b.config.LiveSizes && e.Size > 0 && e.Size <= size {
			load := max(size/e.Size-1, 0.6*old.listedLoad)
			if old.availablePos > 0 {
				b.loadSum += load - old.listedLoad
			}
			old.listedLoad = load
		}
		return old
	}
	// A restart under the same name is a new process: cold, and nothing learnt of the old one holds.
	h := &cacheHost{Entry: e, concurrencyLimit: b.initialLimit(), weight: e.Size}
	h.excessDelay.width, h.coldBudgetAt = delaySlot, b.env.Now()
	if old != nil {
		h.inFlight, h.busySince, h.lastEnded, h.includedAt, h.firstUseDue = old.inFlight, old.busySince, old.lastEnded, old.includedAt, old.firstUseDue
	}
	if size := b.sizeByKind[e.Kind]; b.config.LiveSizes && size > 0 {
		h.weight = math.Exp2(math.Round(2*math.Log2(size)) / 2)
	}
	if b.config.SizesEqual || !(h.weight > 0) {
		h.weight = b.nominalSize
	}
	if b.config.Aside && e.Kind == b.config.OriginKind {
		b.origin = h
	}
	b.hosts[e.Cache] = h
	if old != nil {
		b.updateAvailability(old)
	}
	if b.zoneOutcomes[e.Zone] == nil {
		b.zoneOutcomes[e.Zone] = &meter{}
	}
	return h
}
