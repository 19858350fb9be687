package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// ringOrder returns the hosts in ring order from a key on, by sorting all virtual nodes.
func ringOrder(hosts map[HostID]int, key Key) (order []HostID) {
	type node struct {
		hash uint64
		host HostID
	}
	var nodes []node
	for id, virtualNodes := range hosts {
		for n := range virtualNodes {
			nodes = append(nodes, node{hash(string(id), uint64(n)), id})
		}
	}
	keyHash := hash(string(key), 0)
	slices.SortFunc(nodes, func(x, y node) int {
		if (x.hash >= keyHash) != (y.hash >= keyHash) {
			if x.hash >= keyHash {
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

// TestRingOrder compares the ring, while hosts are added and removed at random, with one that is built from scratch
// each time.
func TestRingOrder(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 20 {
		var r ring
		hosts, present := map[HostID]int{}, map[HostID]*cacheHost{}
		for range 10 + random.IntN(200) {
			id := HostID(fmt.Sprint("s-", random.IntN(60)))
			if h := present[id]; h != nil {
				r.remove(h)
				delete(present, id)
				delete(hosts, id)
			} else {
				h := &cacheHost{HostEntry: HostEntry{HostID: id}}
				present[id], hosts[id] = h, 1+random.IntN(100)
				r.add(h, hosts[id])
			}
			key := Key(fmt.Sprint("key", random.IntN(1000)))
			var got []HostID
			for h := range r.hostsFrom(key) {
				got = append(got, h.HostID)
			}
			if want := ringOrder(hosts, key); !slices.Equal(got, want) {
				t.Fatalf("from key %s: %v, expected %v", key, got, want)
			}
		}
	}
}

// TestChangedInPieces applies random lists to two balancers, in one batch at one and in small batches in another
// order at the other. Both must end with the same hosts and ring, and their sums must equal those computed from
// scratch.
func TestChangedInPieces(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	config := Config{Balancers: 10, Products: []ProductConfig{{LatencySLO: Second}}, OriginKind: -1, SizesFollowLoad: true, WarmUpTime: 10 * Second, OverloadWindow: Second, OverloadMultiple: 2}
	for range 30 {
		clock := &idleEnv{now: 100 * Second}
		whole, pieces := New(clock, config, 1), New(clock, config, 1)
		for range 1 + random.IntN(8) {
			clock.now += Second
			whole.recomputeSums() // as the periodic maintenance does
			pieces.recomputeSums()
			var list []HostEntry
			for _, n := range random.Perm(40)[:1+random.IntN(40)] {
				list = append(list, HostEntry{HostID: HostID(fmt.Sprint("s-", n)), Zone: Zone(n % 3), Condition: Condition(random.IntN(3)),
					Size: 1 + random.Float64(), ListedStart: Nanos(random.IntN(2)) * 95 * Second})
			}
			kind := ListUpdate
			if random.IntN(2) == 0 || whole.nominalSize == 0 {
				kind = ListReplace
			}
			whole.ApplyList(kind, list)
			pieces.BeginList(kind, list)
			rest := slices.Clone(list)
			if kind == ListReplace {
				for id := range pieces.hosts {
					if !slices.ContainsFunc(list, func(e HostEntry) bool { return e.HostID == id }) {
						rest = append(rest, HostEntry{HostID: id, Condition: Gone, ListedStart: pieces.hosts[id].ListedStart})
					}
				}
			}
			random.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
			for len(rest) > 0 {
				n := 1 + random.IntN(len(rest))
				pieces.ApplyEntries(rest[:n])
				rest = rest[n:]
			}
			for _, b := range []*Balancer{whole, pieces} {
				warmCapacity, loadSum := b.warmCapacity, b.loadSum
				if b.recomputeSums(); math.Abs(warmCapacity-b.warmCapacity) > 1e-6 || math.Abs(loadSum-b.loadSum) > 1e-6 || b.ring.hostCount != len(b.available) {
					t.Fatalf("warm capacity %v, load %v, %d hosts on the ring; computed from scratch %v, %v, %d", warmCapacity, loadSum, b.ring.hostCount, b.warmCapacity, b.loadSum, len(b.available))
				}
			}
			ids := func(b *Balancer) (all []HostID) {
				for h := range b.ring.hostsFrom("key") {
					all = append(all, h.HostID)
				}
				return all
			}
			if a, b := ids(whole), ids(pieces); !slices.Equal(a, b) || len(whole.hosts) != len(pieces.hosts) || whole.availableInZone != pieces.availableInZone {
				t.Fatalf("in one batch %v, in several %v", a, b)
			}
		}
	}
}
