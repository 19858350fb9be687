package policy

import (
	"cmp"
	"iter"
	"slices"
)

// Routing: which cache gets an attempt. The order is the nearest copy of the key, its home on the hash ring, then the successors.

// toCache makes the next attempt at a cache, or gives up.
func (b *Balancer) toCache(c *call) {
	if to := b.next(c); to != nil && b.room(c) && b.mayRepeat(c, to) {
		b.squeeze = max(0, b.squeeze-0.005)
		b.send(c, to)
		return
	}
	b.pressed(c)
	b.giveUp(c)
}

// next picks the cache for the next attempt: the nearest copy, else the home, else the successors.
// A later pass drops a wish, never a bound: cold hosts, limits and hosts already asked stay out.
func (b *Balancer) next(c *call) *cache {
	mean := float64(b.attemptsOut) / float64(max(1, len(b.available)))
	far := reach + 3*(1-b.squeeze)
	if h := b.returned(c); h != nil {
		return h
	}
	for pass := range 2 {
		busy, looked := 0, 0
		for h := range b.path(c) {
			if looked++; float64(busy) > far || looked > mostLooked {
				break
			}
			asked := slices.ContainsFunc(c.attempts, func(s attempt) bool { return s.at == h })
			if asked || pass == 0 && (b.host.Now() < h.absentUntil || !b.trusted(h, c) || b.scarce(h)) {
				continue
			}
			// The design's yield: two or more above this balancer's mean goes to the next. Where the list tells
			// what hosts hold, so does, by draw, one that holds more than two a core: of 1 to 3 two did best.
			yields := pass == 0 && float64(h.out) >= mean+2 || b.yields(h, c, pass)
			if yields || h.held*b.chance() > 2+2*float64(pass) || !b.bears(h, c) {
				busy++
				continue
			}
			if b.coldMayTake(h, c, pass > 0) {
				return h
			}
		}
	}
	return nil
}

// scarce tells to pass a host by to which no connection is likely open, as often as attempts lately found
// none: hosts take only so many. New ones that come just then wait for the second look.
func (b *Balancer) scarce(h *cache) bool {
	if b.terms.KeepAlive == 0 || h.metAt > 0 && b.host.Now()-h.metAt < b.terms.KeepAlive {
		return false
	}
	met, not := b.met.faded(b.host.Now())
	return b.chance() < not/(met+not+4)
}

// reach is how many busy hosts a key is carried past under pressure, and three more while nothing presses:
// in an overload keys spread over all caches and their misses bring the origin down. Of 0 to 6 one did best.
const reach = 1

// mostLooked bounds the caches that one pass looks at: with thousands of hosts that are all absent or cold a request would
// look at each of them, to be given up all the same.
const mostLooked = 256

// points is the number of virtual nodes of a host of nominal size: enough that shares stray by a tenth.
const points = 100

// pointsOf is how many a cache has. The ring is equal at every balancer, so nothing of the instance enters it.
func (b *Balancer) pointsOf(h *cache) int {
	return min(max(1, int(points*h.weight/b.unit+0.5)), 8*points)
}

// path is the order in which caches are asked: a read's nearest copy first, then home and successors.
func (b *Balancer) path(c *call) iter.Seq[*cache] {
	first := b.nearest(c)
	return func(yield func(*cache) bool) {
		if first != nil && !yield(first) {
			return
		}
		for h := range b.ring.from(c.Key) {
			if h != first && !yield(h) {
				return
			}
		}
	}
}

// nearest is a read's copy where that is nearer than its home, else nil. The candidate is the first successor
// in this zone; it becomes the copy above the threshold.
func (b *Balancer) nearest(c *call) *cache {
	u := b.table.find(c.Key)
	if u == nil || c.Write {
		return nil
	}
	var home, candidate *cache
	for h := range b.ring.from(c.Key) {
		home = cmp.Or(home, h)
		if h.Zone == b.terms.Zone {
			candidate = h
		}
		if candidate != nil || b.nearby == 0 {
			break
		}
	}
	if candidate != home && candidate != nil && u.copyAt == "" && b.profit(u, home, candidate) > b.threshold() {
		u.copyAt = candidate.Cache
	}
	h := b.caches[u.copyAt]
	if h == nil || home == nil || h == home || !b.up(h) ||
		cmp.Or(cmp.Compare(b.hop(h), b.hop(home)), cmp.Compare(h.Cache, home.Cache)) > 0 {
		return nil
	}
	return h
}
