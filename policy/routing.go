package policy

import (
	"cmp"
	"iter"
	"slices"
)

// Routing: which cache gets an attempt. The order is the nearest copy of the key, its home on the hash ring, then the successors.

// sendToHost makes the next attempt at a cache, or gives up.
func (b *Balancer) sendToHost(r *request) {
	if to := b.pickHost(r); to != nil && b.fleetHasCapacity(r) && b.maySend(r, to) {
		b.shedProbability = max(0, b.shedProbability-0.005)
		b.send(r, to)
		return
	}
	b.raiseShedding(r)
	b.giveUp(r)
}

// pickHost picks the cache for the next attempt: the nearest copy, else the home, else the successors.
// A later pass drops a wish, never a bound: cold hosts, limits and hosts already asked stay out.
func (b *Balancer) pickHost(r *request) *cacheHost {
	meanInFlight := float64(b.attemptsInFlight) / float64(max(1, len(b.available)))
	maxBusy := minBusyHostsPassed + 3*(1-b.shedProbability)
	if h := b.dueFirstUse(r); h != nil {
		return h
	}
	for pass := range 2 {
		busy, examined := 0, 0
		for h := range b.candidates(r) {
			if examined++; float64(busy) > maxBusy || examined > maxHostsExamined {
				break
			}
			attempted := slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.host == h })
			if attempted || pass == 0 && (b.env.Now() < h.connectBackoffUntil || !b.drawHealthy(h, r) || b.connectionUnlikely(h)) {
				continue
			}
			// The design's yield: two or more above this balancer's mean goes to the next. Where the list tells
			// what hosts hold, so does, by draw, one that holds more than two a core: of 1 to 3 two did best.
			passedBy := pass == 0 && float64(h.inFlight) >= meanInFlight+2 || b.passByReportedLoad(h, r, pass)
			if passedBy || h.listedLoad*b.randomFloat() > 2+2*float64(pass) || !b.hostHasCapacity(h, r) {
				busy++
				continue
			}
			if b.coldHostMayTake(h, r, pass > 0) {
				return h
			}
		}
	}
	return nil
}

// connectionUnlikely tells to pass a host by to which no connection is likely open, as often as attempts lately found
// none: hosts take only so many. New ones that come just then wait for the second look.
func (b *Balancer) connectionUnlikely(h *cacheHost) bool {
	if b.config.KeepAlive == 0 || h.lastConnectedAt > 0 && b.env.Now()-h.lastConnectedAt < b.config.KeepAlive {
		return false
	}
	connected, refused := b.connectOutcomes.decayed(b.env.Now())
	return b.randomFloat() < refused/(connected+refused+4)
}

// minBusyHostsPassed is how many busy hosts a key is carried past under pressure, and three more while nothing presses:
// in an overload keys spread over all caches and their misses bring the origin down. Of 0 to 6 one did best.
const minBusyHostsPassed = 1

// maxHostsExamined bounds the caches that one pass looks at: with thousands of hosts that are all absent or cold a request would
// look at each of them, to be given up all the same.
const maxHostsExamined = 256

// nominalVirtualNodes is the number of virtual nodes of a host of nominal size: enough that shares stray by a tenth.
const nominalVirtualNodes = 100

// virtualNodesOf is how many a cache has. The ring is equal at every balancer, so nothing of the instance enters it.
func (b *Balancer) virtualNodesOf(h *cacheHost) int {
	return min(max(1, int(nominalVirtualNodes*h.weight/b.nominalSize+0.5)), 8*nominalVirtualNodes)
}

// candidates is the order in which caches are asked: a read's nearest copy first, then home and successors.
func (b *Balancer) candidates(r *request) iter.Seq[*cacheHost] {
	first := b.nearerReplica(r)
	return func(yield func(*cacheHost) bool) {
		if first != nil && !yield(first) {
			return
		}
		for h := range b.ring.hostsFrom(r.Key) {
			if h != first && !yield(h) {
				return
			}
		}
	}
}

// nearerReplica is a read's copy where that is nearer than its home, else nil. The candidate is the first successor
// in this zone; it becomes the copy above the threshold.
func (b *Balancer) nearerReplica(r *request) *cacheHost {
	u := b.keys.find(r.Key)
	if u == nil || r.Write {
		return nil
	}
	var home, candidate *cacheHost
	for h := range b.ring.hostsFrom(r.Key) {
		home = cmp.Or(home, h)
		if h.Zone == b.config.Zone {
			candidate = h
		}
		if candidate != nil || b.availableInZone == 0 {
			break
		}
	}
	if candidate != home && candidate != nil && u.replicaHost == "" && b.replicaProfit(u, home, candidate) > b.replicaThreshold() {
		u.replicaHost = candidate.Cache
	}
	h := b.hosts[u.replicaHost]
	if h == nil || home == nil || h == home || !b.isUp(h) ||
		cmp.Or(cmp.Compare(b.hopCost(h), b.hopCost(home)), cmp.Compare(h.Cache, home.Cache)) > 0 {
		return nil
	}
	return h
}
