package policy

import (
	"cmp"
	"maps"
	"slices"
)

// What a Balancer remembers. How it is used stands in the files that decide, listed at the top of policy.go.

// Balancer holds what one balancer knows.
type Balancer struct {
	host               Host
	terms              Terms
	seed               prefixHash
	draws              uint64
	caches             map[CacheID]*cache
	available          []*cache // the caches that are up, in no order; never the origin
	nearby             int      // of them, in this balancer's zone
	origin             *cache   // never nil
	ring               ring
	attemptsOut        int              // at available
	unit               float64          // listed size that gets the nominal number of points
	ofKind             map[Kind]float64 // stands for the listed size where that follows the load
	calls              map[CallID]*call
	table              keyTable
	allowances         []allowance
	tempos             []meter // by product, in the zone and across: seconds that attempts at caches took, and how many
	topValue, squeeze  float64
	began              Nanos
	able               float64          // sizes of available, as far as they are warm
	pace               meter            // the same of all products
	all, done, further meter            // attempts at caches, those that were good for a unit of able, further attempts
	zones              map[Zone]*meter  // as all, by the caches' zones
	fleetBears         float64          // attempts out at a host that the fleet is seen to bear
	held               float64          // a core, summed over available, where the list tells
	listed             int              // caches that the last whole list named as up
	out                map[CacheID]bool // taken out by hand, whatever the list says
	retrying           bool             // a try to follow the list is due
	owing              bool             // some cache's owed may be set
	told               meter            // as cache.told, of all
	met                meter            // attempts at caches that found a connection, and that did not
	beside             int              // attempts out at the origin from the other process of an upgrade
	paired             bool             // there is one
}

// cache is a cache host, or the origin.
type cache struct {
	Entry
	weight               float64
	place                int // in Balancer.available, and one; 0: it is not there
	number               uint32
	points               int     // on the ring, under that number
	counted              float64 // its part of Balancer.able
	out                  int     // this balancer's attempts that have not ended
	busySince, lastEnded Nanos
	held                 float64 // requests a core, as listed
	limit                float64 // attempts out that it is seen to bear
	cutAt                Nanos
	well, badAt          int // good endings, and how many there were at the last bad one
	rest, restUntil      Nanos
	metAt                Nanos // an attempt last found a connection
	absentUntil          Nanos // refused a connection: asked only where no other is left
	health               meter
	back                 Nanos   // put back by hand: what was known of it before holds no more
	told                 float64 // by its last report: how long a further request would take there
	toldAt               Nanos
	took                 float64 // seconds, by the attempt that ended last
	owed                 Nanos   // put back by hand and not used since: it is, once this has come
	budget               float64 // requests that it may still get while cold
	budgetAt             Nanos
	delay                meter   // of its attempts beyond calm times, in parts of their SLOs
	saidGood, saidBad    float64 // endings that it is worth what other balancers say of it
}

type call struct {
	Call
	terms        *ProductTerms
	began        Nanos
	attempts     []attempt
	out          int
	over, stream bool
	above        bool // beyond its customer's allowance
	missed       bool // a cache lacked its key
}

type attempt struct {
	at     *cache
	sent   Nanos
	out    bool
	ran    bool // may have run
	nobody bool // there was no connection
	well   int  // good endings there when it was sent
}

// allowance is a customer's bucket of requests and its lately seen rate.
type allowance struct {
	tokens float64
	at     Nanos
	seen   meter   // a second
	part   float64 // of it that is this balancer's, as told; 0: it is not told
}

// keyUse counts this balancer's reads and writes of one key.
type keyUse struct {
	key    Key
	read   [keySlots]uint32
	write  [keySlots]uint32
	copyAt CacheID
}

type keyTable struct {
	at    map[Key]int
	use   []keyUse
	slot  int
	total [keySlots]float64
}

func (u *keyUse) sum() (reads, writes float64) {
	for i := range keySlots {
		reads += float64(u.read[i])
		writes += float64(u.write[i])
	}
	return reads, writes
}

func (t *keyTable) reads() (sum float64) {
	for _, n := range t.total {
		sum += n
	}
	return sum
}

func (t *keyTable) find(k Key) *keyUse {
	if i, ok := t.at[k]; ok {
		return &t.use[i]
	}
	return nil
}

// remove forgets the i-th key; the last one takes its place.
func (t *keyTable) remove(i int) {
	delete(t.at, t.use[i].key)
	last := len(t.use) - 1
	if i < last {
		t.use[i] = t.use[last]
		t.at[t.use[i].key] = i
	}
	t.use = t.use[:last]
}

// Learnt is what a newer process takes over of what an older one has learnt.
type Learnt struct {
	Balancers          int // among which the older one's bounds were parts of a whole
	FleetBears, Origin float64
	Pace               float64 // seconds that an attempt at a cache takes; 0: not known
	Caches             []LearntOf
}

// LearntOf is of one cache.
type LearntOf struct {
	Cache     CacheID
	Born      Nanos
	Limit     float64
	Good, Bad float64
	Back      Nanos // on the older one's clock
	BackAgo   Nanos // goes before it: clocks of two processes may differ
}

// Tell gives what there is to take over.
func (b *Balancer) Tell() Learnt {
	l := Learnt{Balancers: b.terms.Balancers, FleetBears: b.fleetBears, Origin: b.origin.limit}
	if took, n := b.pace.faded(b.host.Now()); n > 0 {
		l.Pace = took / n
	}
	for _, h := range b.caches {
		if h == b.origin {
			continue
		}
		good, bad := h.health.faded(b.host.Now())
		told := LearntOf{Cache: h.Cache, Born: h.Born, Limit: h.limit, Good: good, Bad: bad, Back: h.back}
		if h.back > 0 {
			told.BackAgo = max(1, b.host.Now()-h.back)
		}
		l.Caches = append(l.Caches, told)
	}
	slices.SortFunc(l.Caches, func(x, y LearntOf) int { return cmp.Compare(x.Cache, y.Cache) })
	return l
}

// TakeOver takes it, after the list and before the first request. How attempts at a host ended means the same to any
// balancer, as long as the same process runs there. Bounds are parts of what all may have out: among another number
// of balancers they are learnt afresh.
func (b *Balancer) TakeOver(l Learnt) {
	now := b.host.Now()
	sane := func(limit, old float64) float64 {
		if l.Balancers == b.terms.Balancers && limit > 0 && limit <= mostOut {
			return limit
		}
		return old
	}
	b.fleetBears, b.origin.limit = sane(l.FleetBears, b.fleetBears), sane(l.Origin, b.origin.limit)
	if l.Pace > 0 && l.Pace < 3600 {
		b.pace.add(now, l.Pace, 1)
	}
	for _, x := range l.Caches {
		h := b.caches[x.Cache]
		if h == nil || h == b.origin || h.Born != x.Born {
			continue
		}
		h.limit, h.back = sane(x.Limit, h.limit), min(x.Back, now)
		if x.BackAgo > 0 {
			h.back = now - x.BackAgo
		}
		if x.Good >= 0 && x.Bad >= 0 {
			for _, m := range []*meter{&h.health, b.zones[h.Zone], &b.all} {
				m.add(now, x.Good, x.Bad)
			}
		}
	}
	b.weigh()
}

// Excluded are the caches that are out by hand, in order.
func (b *Balancer) Excluded() []CacheID { return slices.Sorted(maps.Keys(b.out)) }

// Beside hears what the other process of an upgrade has out at the origin; where paired is false there is none any more.
func (b *Balancer) Beside(paired bool, atOrigin int) { b.paired, b.beside = paired, atOrigin }

// AtOrigin is what this process has out there.
func (b *Balancer) AtOrigin() int { return b.origin.out }

// Knows tells whether an id is a cache's, listed or out by hand; the origin is none.
func (b *Balancer) Knows(id CacheID) bool {
	h := b.caches[id]
	return b.out[id] || h != nil && h != b.origin
}

// Fleet counts the caches that are listed, and those of them that this balancer avoids, by hand or by choice.
func (b *Balancer) Fleet() (listed, avoided int) {
	now := b.host.Now()
	for _, h := range b.caches {
		if h == b.origin || h.Condition == Gone {
			continue
		}
		listed++
		if mean, bar, _ := b.standing(h); !b.up(h) || now < h.absentUntil || mean < bar {
			avoided++
		}
	}
	return listed, avoided
}

// Said hears what other balancers say of a cache, as so many endings of each kind; both 0: nothing any more.
func (b *Balancer) Said(id CacheID, good, bad float64) {
	if h := b.caches[id]; h != nil && h != b.origin {
		h.saidGood, h.saidBad = good, bad
	}
}

// Part hears which part of a customer's allowance is this balancer's from now on; 0: nothing is told any more.
func (b *Balancer) Part(c Customer, part float64) { b.allowances[c].part = part }
