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
	arcs  []arc
	hosts []*cache // by number; nil: the number is free
	free  []uint32
	count int // caches on the ring
}

const (
	arcBits = 12
	arcsAll = 1 << arcBits
)

type arc struct {
	points []point
	sorted bool
}

// point is a virtual node of a cache. Points at one position stand in the order of their caches' ids.
type point struct {
	position uint32 // the bits of its hash behind those that tell the arc
	host     uint32 // number of the cache
}

// arcOf and positionOf place a hash on the ring.
func arcOf(hash uint64) int         { return int(hash >> (64 - arcBits)) }
func positionOf(hash uint64) uint32 { return uint32(hash >> (32 - arcBits)) }

// add puts a cache on the ring with so many points.
func (r *ring) add(h *cache, points int) {
	if r.arcs == nil {
		r.arcs = make([]arc, arcsAll)
	}
	h.number = r.numberFor(h)
	h.points = points
	r.count++
	id := hashPrefix(string(h.Cache))
	for n := range points {
		at := id.with(uint64(n))
		a := &r.arcs[arcOf(at)]
		a.points = append(a.points, point{positionOf(at), h.number})
		a.sorted = false
	}
}

// numberFor gives a cache a number.
func (r *ring) numberFor(h *cache) uint32 {
	if last := len(r.free) - 1; last >= 0 {
		number := r.free[last]
		r.free = r.free[:last]
		r.hosts[number] = h
		return number
	}
	r.hosts = append(r.hosts, h)
	return uint32(len(r.hosts) - 1)
}

// remove takes a cache from the ring.
func (r *ring) remove(h *cache) {
	id := hashPrefix(string(h.Cache))
	for n := range h.points {
		at := id.with(uint64(n))
		a := &r.arcs[arcOf(at)]
		i := slices.Index(a.points, point{positionOf(at), h.number})
		a.points = slices.Delete(a.points, i, i+1) // in order: a sorted arc stays sorted
	}
	r.hosts[h.number] = nil
	r.free = append(r.free, h.number)
	r.count--
	h.points = 0
}

// walked is an arc's points in order.
func (r *ring) walked(i int) []point {
	a := &r.arcs[i]
	if !a.sorted {
		slices.SortFunc(a.points, func(x, y point) int {
			if c := cmp.Compare(x.position, y.position); c != 0 { // two are hardly ever equal
				return c
			}
			return cmp.Compare(r.hosts[x.host].Cache, r.hosts[y.host].Cache)
		})
		a.sorted = true
	}
	return a.points
}

// home is the first cache from the key on, nil where the ring is empty.
func (r *ring) home(k Key) *cache {
	for h := range r.from(k) {
		return h
	}
	return nil
}

// from meets all caches in the order of the ring, from the key on; the first is its home. The ring must not change meanwhile.
func (r *ring) from(k Key) iter.Seq[*cache] {
	return func(yield func(*cache) bool) {
		if r.count == 0 {
			return
		}
		at := hash(string(k), 0)
		start, met := arcOf(at), hostSet{}
		points := r.walked(start)
		first, _ := slices.BinarySearchFunc(points, positionOf(at),
			func(p point, position uint32) int { return cmp.Compare(p.position, position) })
		points = points[first:]
		for i := start + 1; ; i++ {
			for _, p := range points {
				if !met.add(p.host, len(r.hosts)) {
					continue
				}
				if !yield(r.hosts[p.host]) || met.count == r.count {
					return
				}
			}
			points = r.walked(i % arcsAll)
		}
	}
}

// hostSet holds the numbers of the caches that a walk has met. Nearly all walks end within the first few.
type hostSet struct {
	few   [16]uint32
	many  []uint64 // one bit for each number, once few is full
	count int
}

// add tells whether a number of so many is new.
func (s *hostSet) add(number uint32, of int) bool {
	if s.many != nil {
		word, bit := &s.many[number/64], uint64(1)<<(number%64)
		if *word&bit != 0 {
			return false
		}
		*word |= bit
		s.count++
		return true
	}
	if slices.Contains(s.few[:s.count], number) {
		return false
	}
	if s.count == len(s.few) {
		s.many = make([]uint64, (of+63)/64)
		s.count = 0
		for _, known := range s.few {
			s.add(known, of)
		}
		return s.add(number, of)
	}
	s.few[s.count] = number
	s.count++
	return true
}
