package policy

import (
	"cmp"
	"iter"
	"slices"
)

// ring is the consistent-hash ring of the caches that attempts may go to. It is cut into arcs of equal length, each with its
// points in a slice of its own, so that a cache comes or goes at the cost of its own points, however many others there are. An
// arc is sorted when it is next walked. Points hold no pointers: there are hundreds of thousands on a large fleet's ring, and
// the garbage collector has not to look at them.
type ring struct {
	segments    []segment
	hosts       []*cacheHost // by number; nil: the number is free
	freeNumbers []uint32
	hostCount   int // caches on the ring
}

const (
	segmentBits  = 12
	segmentCount = 1 << segmentBits
)

type segment struct {
	nodes  []virtualNode
	sorted bool
}

// virtualNode is a virtual node of a cache. Points at one position stand in the order of their caches' ids.
type virtualNode struct {
	position   uint32 // the bits of its hash behind those that tell the arc
	hostNumber uint32 // number of the cache
}

// segmentOf and positionOf place a hash on the ring.
func segmentOf(hash uint64) int     { return int(hash >> (64 - segmentBits)) }
func positionOf(hash uint64) uint32 { return uint32(hash >> (32 - segmentBits)) }

// add puts a cache on the ring with so many points.
func (r *ring) add(h *cacheHost, virtualNodes int) {
	if r.segments == nil {
		r.segments = make([]segment, segmentCount)
	}
	h.ringNumber = r.allocateNumber(h)
	h.virtualNodes = virtualNodes
	r.hostCount++
	id := hashPrefix(string(h.Cache))
	for n := range virtualNodes {
		position := id.with(uint64(n))
		segment := &r.segments[segmentOf(position)]
		segment.nodes = append(segment.nodes, virtualNode{positionOf(position), h.ringNumber})
		segment.sorted = false
	}
}

// allocateNumber gives a cache a number.
func (r *ring) allocateNumber(h *cacheHost) uint32 {
	if last := len(r.freeNumbers) - 1; last >= 0 {
		number := r.freeNumbers[last]
		r.freeNumbers = r.freeNumbers[:last]
		r.hosts[number] = h
		return number
	}
	r.hosts = append(r.hosts, h)
	return uint32(len(r.hosts) - 1)
}

// remove takes a cache from the ring.
func (r *ring) remove(h *cacheHost) {
	id := hashPrefix(string(h.Cache))
	for n := range h.virtualNodes {
		position := id.with(uint64(n))
		segment := &r.segments[segmentOf(position)]
		i := slices.Index(segment.nodes, virtualNode{positionOf(position), h.ringNumber})
		segment.nodes = slices.Delete(segment.nodes, i, i+1) // in order: a sorted arc stays sorted
	}
	r.hosts[h.ringNumber] = nil
	r.freeNumbers = append(r.freeNumbers, h.ringNumber)
	r.hostCount--
	h.virtualNodes = 0
}

// sortedSegment is an arc's points in order.
func (r *ring) sortedSegment(i int) []virtualNode {
	segment := &r.segments[i]
	if !segment.sorted {
		slices.SortFunc(segment.nodes, func(x, y virtualNode) int {
			if c := cmp.Compare(x.position, y.position); c != 0 { // two are hardly ever equal
				return c
			}
			return cmp.Compare(r.hosts[x.hostNumber].Cache, r.hosts[y.hostNumber].Cache)
		})
		segment.sorted = true
	}
	return segment.nodes
}

// home is the first cache from the key on, nil where the ring is empty.
func (r *ring) home(k Key) *cacheHost {
	for h := range r.hostsFrom(k) {
		return h
	}
	return nil
}

// hostsFrom meets all caches in the order of the ring, from the key on; the first is its home. The ring must not change meanwhile.
func (r *ring) hostsFrom(k Key) iter.Seq[*cacheHost] {
	return func(yield func(*cacheHost) bool) {
		if r.hostCount == 0 {
			return
		}
		keyHash := hash(string(k), 0)
		start, visited := segmentOf(keyHash), hostSet{}
		nodes := r.sortedSegment(start)
		first, _ := slices.BinarySearchFunc(nodes, positionOf(keyHash),
			func(p virtualNode, position uint32) int { return cmp.Compare(p.position, position) })
		nodes = nodes[first:]
		for i := start + 1; ; i++ {
			for _, p := range nodes {
				if !visited.add(p.hostNumber, len(r.hosts)) {
					continue
				}
				if !yield(r.hosts[p.hostNumber]) || visited.count == r.hostCount {
					return
				}
			}
			nodes = r.sortedSegment(i % segmentCount)
		}
	}
}

// hostSet holds the numbers of the caches that a walk has met. Nearly all walks end within the first few.
type hostSet struct {
	small [16]uint32
	bits  []uint64 // one bit for each number, once few is full
	count int
}

// add tells whether a number of so many is new.
func (s *hostSet) add(number uint32, total int) bool {
	if s.bits != nil {
		word, bit := &s.bits[number/64], uint64(1)<<(number%64)
		if *word&bit != 0 {
			return false
		}
		*word |= bit
		s.count++
		return true
	}
	if slices.Contains(s.small[:s.count], number) {
		return false
	}
	if s.count == len(s.small) {
		s.bits = make([]uint64, (total+63)/64)
		s.count = 0
		for _, known := range s.small {
			s.add(known, total)
		}
		return s.add(number, total)
	}
	s.small[s.count] = number
	s.count++
	return true
}
