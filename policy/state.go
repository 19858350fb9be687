package policy

import (
	"cmp"
	"maps"
	"slices"
)

// State of a Balancer and its transfer to another process. The files that use it are listed at the top of policy.go.

// Balancer holds the state of one balancer.
type Balancer struct {
	env       Environment
	config    Config
	seed      prefixHash
	drawCount uint64 // random numbers drawn so far
	hosts     map[HostID]*cacheHost
	// Cache hosts that are up and not excluded, in no order. The origin is never among them.
	available       []*cacheHost
	availableInZone int             // available hosts in this balancer's zone
	origin          *cacheHost      // never nil; without an id until it is listed
	originFastest   windowedMinimum // durations of the attempts that the origin fulfilled
	ring            ring
	// Attempts in flight at available hosts.
	attemptsInFlight int
	nominalSize      float64                 // listed size that gets the nominal number of virtual nodes
	sizeByKind       map[MachineKind]float64 // replaces the listed size where listed sizes follow the load
	requests         map[RequestID]*request
	keys             keyTable
	quotas           []quota // by customer
	// Durations of attempts at cache hosts in seconds, and their number: two meters for each product, one for
	// hosts in this balancer's zone and one for hosts in other zones.
	attemptTimes []meter
	// Highest billed value of any product, and the probability with which a request beyond its quota is rate-limited
	// on arrival.
	maxBilledValue, shedProbability float64
	startedAt                       Nanos
	warmCapacity                    float64 // sum over available hosts of size times warm share
	attemptTime                     meter   // as attemptTimes, for all products together
	// Outcomes of all attempts at cache hosts; the successes, each divided by warmCapacity at its time; outcomes
	// of retries.
	hostOutcomes, goodPerCapacity, retryOutcomes meter
	zoneOutcomes                                 map[Zone]*meter // as hostOutcomes, by the hosts' zones
	// Attempts that this balancer may have in flight over all available hosts, divided by their number.
	fleetLimitPerHost  float64
	loadSum            float64         // sum of listedLoad over available hosts
	listedUpCount      int             // cache hosts that the last complete list named as up
	excluded           map[HostID]bool // by operators, whatever the list says
	listRequestPending bool            // a timer is set for a request to discovery
	firstUsePending    bool            // some host may have a firstUseDue
	reportedWaits      meter           // sum and number of the recent reported waits of all hosts
	connectOutcomes    meter           // attempts at cache hosts that got a connection, and that did not
	peerInFlight       int             // attempts at the origin by the peer process of an upgrade
	hasPeer            bool            // an upgrade is under way and the peer process runs
}

// cacheHost is the state of a cache host, or of the origin.
type cacheHost struct {
	HostEntry
	weight                        float64 // size that counts for the ring and the capacity
	availablePos                  int     // index in Balancer.available plus one; 0: not there
	ringNumber                    uint32
	virtualNodes                  int     // number of them on the ring
	countedCapacity               float64 // its part of Balancer.warmCapacity
	inFlight                      int     // attempts of this balancer that count against its limit
	busySince, lastEnded          Nanos   // inFlight last rose from 0; an attempt last ended
	listedLoad                    float64 // requests per core, by the host list
	concurrencyLimit              float64 // attempts of this balancer that may be in flight
	limitCutAt                    Nanos   // last sharp decrease of the limit
	goodCount, goodCountAtLastBad int     // successes, and their number at the last failure by overload
	backoff, backoffUntil         Nanos   // after rejections; backoff also counts refused connections
	lastConnectedAt               Nanos   // an attempt last got a connection
	connectBackoffUntil           Nanos   // after a refused connection: used only where no other host is left
	outcomes                      meter
	includedAt                    Nanos // end of an exclusion; the host counts as started then
	// Time that a further request would take, by the last load report. In seconds if hosts report durations,
	// otherwise only comparable between hosts.
	reportedWait       float64
	reportedAt         Nanos
	lastAttemptSeconds float64 // duration of the attempt that ended last
	firstUseDue        Nanos   // an included host gets its first request at this time; 0: none is due
	coldBudget         float64 // requests that it may still get while cold
	coldBudgetAt       Nanos
	excessDelay        meter   // excessDelayRatio of its attempts, and their number
	peerGood, peerBad  float64 // observations of other balancers, as numbers of outcomes
}

// request is a request that has no final answer yet or still has attempts in flight.
type request struct {
	Request
	product             *ProductConfig
	arrivedAt           Nanos
	attempts            []attempt
	inFlight            int
	finished, streaming bool
	overQuota           bool // beyond its customer's quota
	cacheMissed         bool // a cache host did not have its key
}

// attempt is one sending of a request to a cache host or the origin.
type attempt struct {
	host            *cacheHost
	sentAt          Nanos
	inFlight        bool
	counted         bool // against the limits of its host and of the fleet
	mayHaveRun      bool
	noConnection    bool
	goodCountAtSend int // goodCount of the host
}

// quota is a customer's token bucket and recent request rate.
type quota struct {
	tokens      float64
	refilledAt  Nanos
	arrivalRate meter   // requests per second
	share       float64 // this balancer's assigned fraction of the quota; 0: none is assigned
}

// keyUsage counts this balancer's reads and writes of one key.
type keyUsage struct {
	key         Key
	reads       [keySlotCount]uint32
	writes      [keySlotCount]uint32
	replicaHost HostID // empty: the key has no replica
}

// keyTable holds the tracked keys, at most maxTrackedKeys.
type keyTable struct {
	index      map[Key]int // into entries
	entries    []keyUsage
	slot       int                   // the current one
	readTotals [keySlotCount]float64 // reads of all keys, tracked or not
}

// sum returns the key's reads and writes over all slots.
func (u *keyUsage) sum() (reads, writes float64) {
	for i := range keySlotCount {
		reads += float64(u.reads[i])
		writes += float64(u.writes[i])
	}
	return reads, writes
}

// totalReads returns the reads of all keys over all slots.
func (t *keyTable) totalReads() (sum float64) {
	for _, n := range t.readTotals {
		sum += n
	}
	return sum
}

// find returns the usage of a key, or nil if it is not tracked.
func (t *keyTable) find(k Key) *keyUsage {
	if i, ok := t.index[k]; ok {
		return &t.entries[i]
	}
	return nil
}

// remove drops the i-th entry; the last one takes its place.
func (t *keyTable) remove(i int) {
	delete(t.index, t.entries[i].key)
	last := len(t.entries) - 1
	if i < last {
		t.entries[i] = t.entries[last]
		t.index[t.entries[i].key] = i
	}
	t.entries = t.entries[:last]
}

// Learnt is the learnt state that an older process hands over to a newer one. It is serialised.
type Learnt struct {
	Balancers          int     // balancers in the fleet of the older process; its limits are parts for this number
	FleetBears, Origin float64 // fleetLimitPerHost, and the concurrency limit of the origin
	Pace               float64 // mean duration of an attempt at a cache host in seconds; 0: not known
	Caches             []LearntOf
}

// LearntOf is the learnt state of one cache host.
type LearntOf struct {
	Cache     HostID
	Born      Nanos   // ListedStart of the host
	Limit     float64 // concurrency limit
	Good, Bad float64 // recent outcomes
	Back      Nanos   // end of an exclusion, on the clock of the older process
	BackAgo   Nanos   // the same as an age, which takes precedence, as the clocks of two processes may differ
}

// ExportLearnt returns the learnt state for a newer process.
func (b *Balancer) ExportLearnt() Learnt {
	state := Learnt{Balancers: b.config.Balancers, FleetBears: b.fleetLimitPerHost, Origin: b.origin.concurrencyLimit}
	if took, n := b.attemptTime.decayed(b.env.Now()); n > 0 {
		state.Pace = took / n
	}
	for _, h := range b.hosts {
		if h == b.origin {
			continue
		}
		good, bad := h.outcomes.decayed(b.env.Now())
		learnt := LearntOf{Cache: h.HostID, Born: h.ListedStart, Limit: h.concurrencyLimit, Good: good, Bad: bad, Back: h.includedAt}
		if h.includedAt > 0 {
			learnt.BackAgo = max(1, b.env.Now()-h.includedAt)
		}
		state.Caches = append(state.Caches, learnt)
	}
	slices.SortFunc(state.Caches, func(x, y LearntOf) int { return cmp.Compare(x.Cache, y.Cache) })
	return state
}

// ImportLearnt applies the learnt state of an older process, after the host list and before the first request.
// Outcomes at a host are valid at any balancer as long as the same process runs there. Limits are parts of a limit
// for the whole fleet: with another number of balancers they are learnt again.
func (b *Balancer) ImportLearnt(state Learnt) {
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
		if h == nil || h == b.origin || h.ListedStart != learnt.Born {
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

// ExcludedHosts returns the ids of the excluded hosts in ascending order.
func (b *Balancer) ExcludedHosts() []HostID { return slices.Sorted(maps.Keys(b.excluded)) }

// SetPeerOriginInFlight records how many attempts the peer process of an upgrade has in flight at the origin, and whether
// there is such a process.
func (b *Balancer) SetPeerOriginInFlight(hasPeer bool, inFlight int) {
	b.hasPeer, b.peerInFlight = hasPeer, inFlight
}

// OriginInFlight returns how many attempts of this process are in flight at the origin.
func (b *Balancer) OriginInFlight() int { return b.origin.inFlight }

// IsKnownHost reports whether an id belongs to a cache host that is listed or excluded; the origin does not count.
func (b *Balancer) IsKnownHost(id HostID) bool {
	h := b.hosts[id]
	return b.excluded[id] || h != nil && h != b.origin
}

// HostCounts returns the number of listed cache hosts, and how many of them this balancer avoids because they are not
// up, excluded, unreachable or unhealthy.
func (b *Balancer) HostCounts() (listed, avoided int) {
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

// SetObservations sets the observations of other balancers at a host, as numbers of good and bad outcomes; zeros withdraw
// them.
func (b *Balancer) SetObservations(id HostID, good, bad float64) {
	if h := b.hosts[id]; h != nil && h != b.origin {
		h.peerGood, h.peerBad = good, bad
	}
}

// SetQuotaShare sets this balancer's share of a customer's quota, as a fraction; 0 means that no share is assigned.
func (b *Balancer) SetQuotaShare(c Customer, share float64) { b.quotas[c].share = share }
