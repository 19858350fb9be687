package policy

import (
	"cmp"
	"iter"
	"slices"
)

// ring is the consistent-hash ring of the available cache hosts. It is divided into segments of equal length, each
// with its virtual nodes in a slice of its own, so that adding or removing a host costs only as much as its own
// virtual nodes. A segment is sorted when it is next read. Virtual nodes hold no pointers: a large fleet has
// hundreds of thousands of them, which the garbage collector then does not have to scan.
type ring struct {
	segments    []segment
	hosts       []*cacheHost // by ring number; nil: the number is free
	freeNumbers []uint32
	hostCount   int
}

const (
	segmentBits  = 12
	segmentCount = 1 << segmentBits
)

// segment is one of the equal parts of the ring.
type segment struct {
	nodes  []virtualNode
	sorted bool
}

// virtualNode is one point of a host on the ring. Nodes at the same position are ordered by the ids of their
// hosts.
type virtualNode struct {
	position   uint32 // the bits of its hash that follow the segment's bits
	hostNumber uint32 // ring number of the host
}

// segmentOf returns the segment of a hash.
func segmentOf(hash uint64) int { return int(hash >> (64 - segmentBits)) }

// positionOf returns the position of a hash within its segment.
func positionOf(hash uint64) uint32 { return uint32(hash >> (32 - segmentBits)) }

// add adds a host to the ring with the given number of virtual nodes.
func (r *ring) add(h *cacheHost, virtualNodes int) {
	if r.segments == nil {
		r.segments = make([]segment, segmentCount)
	}
	h.ringNumber = r.allocateNumber(h)
	h.virtualNodes = virtualNodes
	r.hostCount++
	id := hashPrefix(string(h.HostID))
	for n := range virtualNodes {
		position := id.with(uint64(n))
		segment := &r.segments[segmentOf(position)]
		segment.nodes = append(segment.nodes, virtualNode{positionOf(position), h.ringNumber})
		segment.sorted = false
	}
}

// allocateNumber returns a free ring number and assigns it to the host.
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

// remove removes a host from the ring.
func (r *ring) remove(h *cacheHost) {
	id := hashPrefix(string(h.HostID))
	for n := range h.virtualNodes {
		position := id.with(uint64(n))
		segment := &r.segments[segmentOf(position)]
		i := slices.Index(segment.nodes, virtualNode{positionOf(position), h.ringNumber})
		segment.nodes = slices.Delete(segment.nodes, i, i+1) // keeps the order, so a sorted segment stays sorted
	}
	r.hosts[h.ringNumber] = nil
	r.freeNumbers = append(r.freeNumbers, h.ringNumber)
	r.hostCount--
	h.virtualNodes = 0
}

// sortedSegment returns the virtual nodes of a segment in ring order.
func (r *ring) sortedSegment(i int) []virtualNode {
	segment := &r.segments[i]
	if !segment.sorted {
		slices.SortFunc(segment.nodes, func(x, y virtualNode) int {
			if c := cmp.Compare(x.position, y.position); c != 0 { // equal positions are rare
				return c
			}
			return cmp.Compare(r.hosts[x.hostNumber].HostID, r.hosts[y.hostNumber].HostID)
		})
		segment.sorted = true
	}
	return segment.nodes
}

// home returns the host that owns a key, or nil if the ring is empty.
func (r *ring) home(k Key) *cacheHost {
	for h := range r.hostsFrom(k) {
		return h
	}
	return nil
}

// hostsFrom yields all hosts in ring order from the key on; the first is the key's home. The ring must not change
// during the iteration.
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

// hostSet is the set of ring numbers that an iteration has visited. Nearly all iterations end within the first few
// hosts.
type hostSet struct {
	small [16]uint32 // used until it is full
	bits  []uint64   // one bit for each ring number, once small is full
	count int
}

// add adds a ring number, out of total numbers, and reports whether it is new.
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
