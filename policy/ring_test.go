package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// ringOrder is the order in which a ring of all points, sorted anew each time, meets the caches from a key on.
func ringOrder(hosts map[CacheID]int, key Key) (order []CacheID) {
	type node struct {
		hash uint64
		host CacheID
	}
	var nodes []node
	for id, points := range hosts {
		for n := range points {
			nodes = append(nodes, node{hash(string(id), uint64(n)), id})
		}
	}
	at := hash(string(key), 0)
	slices.SortFunc(nodes, func(x, y node) int {
		if (x.hash >= at) != (y.hash >= at) {
			if x.hash >= at {
				return -1
			}
			return 1
		}
		if x.hash < y.hash {
			return -1
		}
		return 1
	})
	for _, n := range nodes {
		if !slices.Contains(order, n.host) {
			order = append(order, n.host)
		}
	}
	return order
}

// TestRingOrder holds the ring, after any caches have come and gone, against one that is laid anew.
func TestRingOrder(t *testing.T) {
	chance := rand.New(rand.NewPCG(1, 2))
	for range 20 {
		var r ring
		hosts, caches := map[CacheID]int{}, map[CacheID]*cacheHost{}
		for range 10 + chance.IntN(200) {
			id := CacheID(fmt.Sprint("s-", chance.IntN(60)))
			if h := caches[id]; h != nil {
				r.remove(h)
				delete(caches, id)
				delete(hosts, id)
			} else {
				h := &cacheHost{Entry: Entry{Cache: id}}
				caches[id], hosts[id] = h, 1+chance.IntN(100)
				r.add(h, hosts[id])
			}
			key := Key(fmt.Sprint("key", chance.IntN(1000)))
			var got []CacheID
			for h := range r.hostsFrom(key) {
				got = append(got, h.Cache)
			}
			if want := ringOrder(hosts, key); !slices.Equal(got, want) {
				t.Fatalf("from %s: %v, expected %v", key, got, want)
			}
		}
	}
}

// TestChangedInPieces applies drawn lists to two balancers, in one piece and in small ones in another order: both end with the same
// caches, ring and sums, and the sums are those that counting anew gives.
func TestChangedInPieces(t *testing.T) {
	chance := rand.New(rand.NewPCG(3, 4))
	terms := Terms{Balancers: 10, Products: []ProductTerms{{LatencySLO: Second}}, OriginKind: -1, LiveSizes: true, RampTime: 10 * Second, FallWindow: Second, FallMultiple: 2}
	for range 30 {
		clock := &still{now: 100 * Second}
		whole, pieces := New(clock, terms, 1), New(clock, terms, 1)
		for range 1 + chance.IntN(8) {
			clock.now += Second
			whole.recomputeSums() // as each beat does
			pieces.recomputeSums()
			var list []Entry
			for _, n := range chance.Perm(40)[:1+chance.IntN(40)] {
				list = append(list, Entry{Cache: CacheID(fmt.Sprint("s-", n)), Zone: Zone(n % 3), Condition: Condition(chance.IntN(3)),
					Size: 1 + chance.Float64(), Born: Nanos(chance.IntN(2)) * 95 * Second})
			}
			kind := ListUpdate
			if chance.IntN(2) == 0 || whole.nominalSize == 0 {
				kind = ListReplace
			}
			whole.Listed(kind, list)
			pieces.ListBegins(kind, list)
			rest := slices.Clone(list)
			if kind == ListReplace {
				for id := range pieces.hosts {
					if !slices.ContainsFunc(list, func(e Entry) bool { return e.Cache == id }) {
						rest = append(rest, Entry{Cache: id, Condition: Gone, Born: pieces.hosts[id].Born})
					}
				}
			}
			chance.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
			for len(rest) > 0 {
				n := 1 + chance.IntN(len(rest))
				pieces.Changed(rest[:n])
				rest = rest[n:]
			}
			for _, b := range []*Balancer{whole, pieces} {
				able, held := b.warmCapacity, b.loadSum
				if b.recomputeSums(); math.Abs(able-b.warmCapacity) > 1e-6 || math.Abs(held-b.loadSum) > 1e-6 || b.ring.hostCount != len(b.available) {
					t.Fatalf("able %v, held %v, %d on the ring; counted anew %v, %v, %d", able, held, b.ring.hostCount, b.warmCapacity, b.loadSum, len(b.available))
				}
			}
			ids := func(b *Balancer) (all []CacheID) {
				for h := range b.ring.hostsFrom("key") {
					all = append(all, h.Cache)
				}
				return all
			}
			if a, b := ids(whole), ids(pieces); !slices.Equal(a, b) || len(whole.hosts) != len(pieces.hosts) || whole.availableInZone != pieces.availableInZone {
				t.Fatalf("in one piece %v, in several %v", a, b)
			}
		}
	}
}
