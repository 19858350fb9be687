package policy

import (
	"cmp"
	"iter"
	"slices"
)

// Routing: selects the cache host for an attempt. The order of preference is a replica of the key nearer by, the
// key's home on the hash ring, then the successors on the ring.

// sendToHost makes the next attempt at a cache host, or gives the request up.
func (b *Balancer) sendToHost(r *request) {
	if to := b.pickHost(r); to != nil && b.fleetHasCapacity(r) && b.maySend(r, to) {
		b.shedProbability = max(0, b.shedProbability-0.005)
		b.send(r, to)
		return
	}
	b.raiseShedding(r)
	b.giveUp(r)
}

// pickHost selects the cache host for the next attempt, or nil if none may take it. The first pass also skips
// hosts that look unhealthy, are in connection backoff or likely have no open connection. The second pass drops
// these preferences but keeps the limits: cold-host budgets, concurrency limits, and no second attempt at the same
// host.
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
			// A host with two or more attempts above this balancer's mean is passed by for the next successor. Where
			// the host list shows load, so is, at random, a host with more than two requests per core.
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

// connectionUnlikely reports whether to skip a host because it probably has no open connection. Hosts accept a
// limited number of connections, so the skip probability follows the share of recent attempts that found none. The
// second pass may still open new connections.
func (b *Balancer) connectionUnlikely(h *cacheHost) bool {
	if b.config.IdleConnectionLife == 0 || h.lastConnectedAt > 0 && b.env.Now()-h.lastConnectedAt < b.config.IdleConnectionLife {
		return false
	}
	connected, refused := b.connectOutcomes.decayed(b.env.Now())
	return b.randomFloat() < refused/(connected+refused+4)
}

// minBusyHostsPassed is the number of busy hosts that a request may pass by during overload; without overload it
// may pass three more. Passing more hosts in an overload spreads the keys over all cache hosts, and the extra
// misses overload the origin.
const minBusyHostsPassed = 1

// maxHostsExamined bounds the hosts that one pass examines. In a fleet of thousands where all hosts are
// unreachable or cold, a request would otherwise examine every one of them and still be given up.
const maxHostsExamined = 256

// nominalVirtualNodes is the number of virtual nodes of a host of nominal size. With 100 the hosts' shares of the
// keys deviate by about a tenth.
const nominalVirtualNodes = 100

// virtualNodesOf returns the number of virtual nodes of a host. It depends on nothing local to this balancer, as
// the ring must be equal at all balancers.
func (b *Balancer) virtualNodesOf(h *cacheHost) int {
	return min(max(1, int(nominalVirtualNodes*h.weight/b.nominalSize+0.5)), 8*nominalVirtualNodes)
}

// candidates yields the hosts in order of preference: for a read its nearer replica if there is one, then the
// key's home and the successors.
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

// nearerReplica returns the host with a replica of a read's key if that host is nearer than the key's home,
// otherwise nil. The candidate for a new replica is the first host of this zone on the ring from the key on; it
// becomes the replica once its profit exceeds the threshold.
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
		u.replicaHost = candidate.HostID
	}
	h := b.hosts[u.replicaHost]
	if h == nil || home == nil || h == home || !b.isUp(h) ||
		cmp.Or(cmp.Compare(b.hopCost(h), b.hopCost(home)), cmp.Compare(h.HostID, home.HostID)) > 0 {
		return nil
	}
	return h
}
