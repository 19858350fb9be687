package policy

import "math"

// Membership: the host list, and the hosts that operators have excluded.

// ApplyList applies a host list or an update of it in one call. The cost grows with the length of the list: a caller
// that must not block for that long calls BeginList, then ApplyEntries for a few entries at a time.
func (b *Balancer) ApplyList(kind ListKind, entries []HostEntry) {
	b.BeginList(kind, entries)
	if kind == ListUnavailable {
		return
	}
	b.ApplyEntries(entries)
	if kind == ListUpdate {
		return
	}
	named := make(map[HostID]bool, len(entries))
	for _, e := range entries {
		named[e.HostID] = true
	}
	for id, h := range b.hosts {
		if !named[id] {
			h.Condition = Gone
			b.updateAvailability(h)
			b.dropIfGone(h)
		}
	}
}

// BeginList announces a host list or an update, or that discovery is unavailable, and applies what depends on the
// list as a whole. The entries follow by ApplyEntries, in any order and in batches of any size. If the list is
// complete, the caller also passes the hosts that it no longer names, as Gone.
func (b *Balancer) BeginList(kind ListKind, entries []HostEntry) {
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

// ApplyEntries applies entries of the host list. Its cost depends only on their number.
func (b *Balancer) ApplyEntries(entries []HostEntry) {
	origin := b.origin
	for _, e := range entries {
		h := b.applyEntry(e)
		b.updateAvailability(h)
		b.dropIfGone(h)
	}
	if b.origin != origin {
		// As much as the initial limits of a tenth of the cache hosts: with the limit of a single host, a balancer
		// that had just started rejected misses that all others sent to the origin.
		b.origin.concurrencyLimit = b.initialLimit() * max(1, float64(max(b.listedUpCount, len(b.available)))/10)
	}
}

// updateAvailability adds a host to the available hosts and the ring, or removes it, as its present condition
// demands.
func (b *Balancer) updateAvailability(h *cacheHost) {
	available := h != b.origin && b.isUp(h) && b.hosts[h.HostID] == h
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

// adjustSums adds a host to the sums over all available hosts (sign 1) or subtracts it (sign -1).
func (b *Balancer) adjustSums(h *cacheHost, sign int) {
	b.attemptsInFlight += sign * h.inFlight
	b.warmCapacity += float64(sign) * h.countedCapacity
	b.loadSum += float64(sign) * h.listedLoad
	if h.Zone == b.config.Zone {
		b.availableInZone += sign
	}
	if len(b.available) == 0 { // removes accumulated rounding errors
		b.warmCapacity, b.loadSum = 0, 0
	}
}

// meanLoad returns the mean listed load of the available hosts, in requests per core.
func (b *Balancer) meanLoad() float64 { return max(0, b.loadSum) / float64(max(1, len(b.available))) }

// isUp reports whether a host may get requests: it is listed as up and not excluded.
func (b *Balancer) isUp(h *cacheHost) bool { return h.Condition == Up && !b.excluded[h.HostID] }

// Exclude takes a cache host out of use until Include is called; a host list that names it, or no longer does,
// makes no difference. It reports whether the host is known, and whether it is excluded now: at maxExcluded it is
// not.
func (b *Balancer) Exclude(id HostID) (known, excluded bool) {
	if known = b.IsKnownHost(id); !known || len(b.excluded) >= maxExcluded && !b.excluded[id] {
		return known, false
	}
	b.ExcludeUnchecked(id)
	return known, true
}

// ExcludeUnchecked excludes a host without the checks of Exclude, for exclusions made at another process or before this one
// started.
func (b *Balancer) ExcludeUnchecked(id HostID) {
	b.excluded[id] = true
	if h := b.hosts[id]; h != nil {
		b.updateAvailability(h)
	}
}

// maxExcluded bounds the number of excluded hosts, as exclusions of hosts that no list names any more are kept. It
// is many times the size of a fleet.
const maxExcluded = 4096

// Include ends the exclusion of a host. Operators usually restart an excluded host, so it is treated as one that
// starts now, whatever start time the list has, and its earlier statistics are dropped. A host that was not
// excluded is left unchanged.
func (b *Balancer) Include(id HostID) (known bool) {
	if known = b.IsKnownHost(id); !b.excluded[id] {
		return known
	}
	delete(b.excluded, id)
	if old := b.hosts[id]; old != nil {
		delete(b.hosts, id)
		h, now := b.applyEntry(old.HostEntry), b.env.Now()
		h.inFlight, h.busySince, h.lastEnded, h.includedAt = old.inFlight, old.busySince, old.lastEnded, now
		h.firstUseDue, b.firstUsePending = now+Nanos(float64(firstUseWithin)*b.randomFloat()), true
		b.updateAvailability(h)
	}
	return known
}

// firstUseWithin is the longest time until an included host gets its first request; each balancer draws its own
// moment. With little traffic, the cold-host budget of a balancer would allow one request in minutes, and nobody
// could see that the host is back.
const firstUseWithin = 4 * Second

// dueFirstUse returns an included host whose first request is due, or nil.
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

// dropIfGone removes a host that is gone once no attempt is in flight there. Without it, state would accumulate,
// as new hosts arrive under new ids all day.
func (b *Balancer) dropIfGone(h *cacheHost) {
	if h.Condition == Gone && h.inFlight == 0 && h != b.origin && b.hosts[h.HostID] == h {
		delete(b.hosts, h.HostID)
	}
}

// scheduleListRequest schedules a request to discovery, at a start or after a failed one. It is sent at once, or
// after a random delay if it can wait, as with a restored list. A release starts most balancers at once, and their
// simultaneous requests delayed discovery so long that none was answered in time; quick retries (from 250 ms,
// doubled each time) had the same effect.
func (b *Balancer) scheduleListRequest(immediately bool) {
	if !b.config.MustSubscribe || b.listRequestPending {
		return
	}
	b.listRequestPending = true
	delay := Nanos(0)
	if !immediately {
		delay = Nanos(float64(min(b.config.SubscribeInterval/2, maxListRetryDelay)) * b.randomFloat())
	}
	b.env.SetTimer(delay, "list")
}

// maxListRetryDelay bounds the delay of a request to discovery. Changes must be known within six seconds after
// discovery can be reached again, whatever happened to earlier requests; this leaves one second for the request
// itself.
const maxListRetryDelay = 5 * Second

// fixNominalSizes sets, once, the listed size that gets the nominal number of virtual nodes, rounded down to a
// power of two, and the size of each kind of machine where listed sizes follow the load. Balancers that start at
// different times thus build the same ring, and no load report moves a key.
func (b *Balancer) fixNominalSizes(entries []HostEntry) {
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

// applyEntry applies one entry of the host list and returns its host.
func (b *Balancer) applyEntry(e HostEntry) *cacheHost {
	old := b.hosts[e.HostID]
	if old != nil && (old.ListedStart == e.ListedStart || old == b.origin) {
		old.Condition = e.Condition
		if size := b.sizeByKind[e.Kind]; b.config.SizesFollowLoad && e.Size > 0 && e.Size <= size {
			load := max(size/e.Size-1, 0.6*old.listedLoad)
			if old.availablePos > 0 {
				b.loadSum += load - old.listedLoad
			}
			old.listedLoad = load
		}
		return old
	}
	// A restart under the same name is a new process: it is cold, and the statistics of the old one do not apply.
	h := &cacheHost{HostEntry: e, concurrencyLimit: b.initialLimit(), weight: e.Size}
	h.excessDelay.width, h.coldBudgetAt = delaySlot, b.env.Now()
	if old != nil {
		h.inFlight, h.busySince, h.lastEnded, h.includedAt, h.firstUseDue = old.inFlight, old.busySince, old.lastEnded, old.includedAt, old.firstUseDue
	}
	if size := b.sizeByKind[e.Kind]; b.config.SizesFollowLoad && size > 0 {
		h.weight = math.Exp2(math.Round(2*math.Log2(size)) / 2)
	}
	if b.config.IgnoreSizes || !(h.weight > 0) {
		h.weight = b.nominalSize
	}
	if b.config.CacheAside && e.Kind == b.config.OriginKind {
		b.origin = h
	}
	b.hosts[e.HostID] = h
	if old != nil {
		b.updateAvailability(old)
	}
	if b.zoneOutcomes[e.Zone] == nil {
		b.zoneOutcomes[e.Zone] = &meter{}
	}
	return h
}
