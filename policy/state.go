package policy

import (
	"cmp"
	"maps"
	"slices"
)

// What a Balancer remembers. How it is used stands in the files that decide, listed at the top of policy.go.

// Balancer holds what one balancer knows.
type Balancer struct {
	env                                          Host
	config                                       Terms
	seed                                         prefixHash
	drawCount                                    uint64
	hosts                                        map[CacheID]*cacheHost
	available                                    []*cacheHost // the caches that are up, in no order; never the origin
	availableInZone                              int          // of them, in this balancer's zone
	origin                                       *cacheHost   // never nil
	ring                                         ring
	attemptsInFlight                             int              // at available
	nominalSize                                  float64          // listed size that gets the nominal number of points
	sizeByKind                                   map[Kind]float64 // stands for the listed size where that follows the load
	requests                                     map[CallID]*request
	keys                                         keyTable
	quotas                                       []quota
	attemptTimes                                 []meter // by product, in the zone and across: seconds that attempts at caches took, and how many
	maxBilledValue, shedProbability              float64
	startedAt                                    Nanos
	warmCapacity                                 float64          // sizes of available, as far as they are warm
	attemptTime                                  meter            // the same of all products
	hostOutcomes, goodPerCapacity, retryOutcomes meter            // attempts at caches, those that were good for a unit of able, further attempts
	zoneOutcomes                                 map[Zone]*meter  // as all, by the caches' zones
	fleetLimitPerHost                            float64          // attempts out at a host that the fleet is seen to bear
	loadSum                                      float64          // a core, summed over available, where the list tells
	listedUpCount                                int              // caches that the last whole list named as up
	excluded                                     map[CacheID]bool // taken out by hand, whatever the list says
	listRequestPending                           bool             // a try to follow the list is due
	firstUsePending                              bool             // some cache's owed may be set
	reportedWaits                                meter            // as cache.reportedWait, of all
	connectOutcomes                              meter            // attempts at caches that found a connection, and that did not
	peerInFlight                                 int              // attempts out at the origin from the other process of an upgrade
	hasPeer                                      bool             // there is one
}

// cacheHost is a cache host, or the origin.
type cacheHost struct {
	Entry
	weight                        float64
	availablePos                  int // in Balancer.available, and one; 0: it is not there
	ringNumber                    uint32
	virtualNodes                  int     // on the ring, under that number
	countedCapacity               float64 // its part of Balancer.warmCapacity
	inFlight                      int     // this balancer's attempts that have not ended
	busySince, lastEnded          Nanos
	listedLoad                    float64 // requests a core, as listed
	concurrencyLimit              float64 // attempts out that it is seen to bear
	limitCutAt                    Nanos
	goodCount, goodCountAtLastBad int // good endings, and how many there were at the last bad one
	backoff, backoffUntil         Nanos
	lastConnectedAt               Nanos // an attempt last found a connection
	connectBackoffUntil           Nanos // refused a connection: asked only where no other is left
	outcomes                      meter
	includedAt                    Nanos   // put back by hand: what was known of it before holds no more
	reportedWait                  float64 // by its last report: how long a further request would take there
	reportedAt                    Nanos
	lastAttemptSeconds            float64 // seconds, by the attempt that ended last
	firstUseDue                   Nanos   // put back by hand and not used since: it is, once this has come
	coldBudget                    float64 // requests that it may still get while cold
	coldBudgetAt                  Nanos
	excessDelay                   meter   // of its attempts beyond calm times, in parts of their SLOs
	peerGood, peerBad             float64 // endings that it is worth what other balancers say of it
}

type request struct {
	Call
	product             *ProductTerms
	arrivedAt           Nanos
	attempts            []attempt
	inFlight            int
	finished, streaming bool
	overQuota           bool // beyond its customer's allowance
	cacheMissed         bool // a cache lacked its key
}

type attempt struct {
	host            *cacheHost
	sentAt          Nanos
	inFlight        bool
	mayHaveRun      bool // may have run
	noConnection    bool // there was no connection
	goodCountAtSend int  // good endings there when it was sent
}

// quota is a customer's bucket of requests and its lately seen rate.
type quota struct {
	tokens      float64
	refilledAt  Nanos
	arrivalRate meter   // a second
	share       float64 // of it that is this balancer's, as told; 0: it is not told
}

// keyUsage counts this balancer's reads and writes of one key.
type keyUsage struct {
	key         Key
	reads       [keySlotCount]uint32
	writes      [keySlotCount]uint32
	replicaHost CacheID
}

type keyTable struct {
	index      map[Key]int
	entries    []keyUsage
	slot       int
	readTotals [keySlotCount]float64
}

func (u *keyUsage) sum() (reads, writes float64) {
	for i := range keySlotCount {
		reads += float64(u.reads[i])
		writes += float64(u.writes[i])
	}
	return reads, writes
}

func (t *keyTable) totalReads() (sum float64) {
	for _, n := range t.readTotals {
		sum += n
	}
	return sum
}

func (t *keyTable) find(k Key) *keyUsage {
	if i, ok := t.index[k]; ok {
		return &t.entries[i]
	}
	return nil
}

// remove forgets the i-th key; the last one takes its place.
func (t *keyTable) remove(i int) {
	delete(t.index, t.entries[i].key)
	last := len(t.entries) - 1
	if i < last {
		t.entries[i] = t.entries[last]
		t.index[t.entries[i].key] = i
	}
	t.entries = t.entries[:last]
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
	state := Learnt{Balancers: b.config.Balancers, FleetBears: b.fleetLimitPerHost, Origin: b.origin.concurrencyLimit}
	if took, n := b.attemptTime.decayed(b.env.Now()); n > 0 {
		state.Pace = took / n
	}
	for _, h := range b.hosts {
		if h == b.origin {
			continue
		}
		good, bad := h.outcomes.decayed(b.env.Now())
		learnt := LearntOf{Cache: h.Cache, Born: h.Born, Limit: h.concurrencyLimit, Good: good, Bad: bad, Back: h.includedAt}
		if h.includedAt > 0 {
			learnt.BackAgo = max(1, b.env.Now()-h.includedAt)
		}
		state.Caches = append(state.Caches, learnt)
	}
	slices.SortFunc(state.Caches, func(x, y LearntOf) int { return cmp.Compare(x.Cache, y.Cache) })
	return state
}

// TakeOver takes it, after the list and before the first request. How attempts at a host ended means the same to any
// balancer, as long as the same process runs there. Bounds are parts of what all may have out: among another number
// of balancers they are learnt afresh.
func (b *Balancer) TakeOver(state Learnt) {
	now := b.env.Now()
	validLimit := func(taken, current float64) float64 {
		if state.Balancers == b.config.Balancers && taken > 0 && taken <= maxInFlight {
			return taken
		}
		return current
	}
	b.fleetLimitPerHost, b.origin.concurrencyLimit = validLimit(state.FleetBears, b.fleetLimitPerHost), validLimit(state.Origin, b.origin.concurrencyLimit)
	if state.Pace > 0 && state.Pace < 3600 {
		b.attemptTime.add(now, state.Pace, 1)
	}
	for _, learnt := range state.Caches {
		h := b.hosts[learnt.Cache]
		if h == nil || h == b.origin || h.Born != learnt.Born {
			continue
		}
		h.concurrencyLimit, h.includedAt = validLimit(learnt.Limit, h.concurrencyLimit), min(learnt.Back, now)
		if learnt.BackAgo > 0 {
			h.includedAt = now - learnt.BackAgo
		}
		if learnt.Good >= 0 && learnt.Bad >= 0 {
			for _, m := range []*meter{&h.outcomes, b.zoneOutcomes[h.Zone], &b.hostOutcomes} {
				m.add(now, learnt.Good, learnt.Bad)
			}
		}
	}
	b.recomputeSums()
}

// Excluded are the caches that are out by hand, in order.
func (b *Balancer) Excluded() []CacheID { return slices.Sorted(maps.Keys(b.excluded)) }

// Beside hears what the other process of an upgrade has out at the origin; where paired is false there is none any more.
func (b *Balancer) Beside(paired bool, inFlight int) { b.hasPeer, b.peerInFlight = paired, inFlight }

// AtOrigin is what this process has out there.
func (b *Balancer) AtOrigin() int { return b.origin.inFlight }

// Knows tells whether an id is a cache's, listed or out by hand; the origin is none.
func (b *Balancer) Knows(id CacheID) bool {
	h := b.hosts[id]
	return b.excluded[id] || h != nil && h != b.origin
}

// Fleet counts the caches that are listed, and those of them that this balancer avoids, by hand or by choice.
func (b *Balancer) Fleet() (listed, avoided int) {
	now := b.env.Now()
	for _, h := range b.hosts {
		if h == b.origin || h.Condition == Gone {
			continue
		}
		listed++
		if mean, minRate, _ := b.successPosterior(h); !b.isUp(h) || now < h.connectBackoffUntil || mean < minRate {
			avoided++
		}
	}
	return listed, avoided
}

// Said hears what other balancers say of a cache, as so many endings of each kind; both 0: nothing any more.
func (b *Balancer) Said(id CacheID, good, bad float64) {
	if h := b.hosts[id]; h != nil && h != b.origin {
		h.peerGood, h.peerBad = good, bad
	}
}

// Part hears which part of a customer's allowance is this balancer's from now on; 0: nothing is told any more.
func (b *Balancer) Part(c Customer, share float64) { b.quotas[c].share = share }
