package policy

// Replication: a key gets a replica in a zone whose reads of the key outweigh the cost of the replica.

const sameZoneCost, crossZoneCost = 1.0, 3.0 // relative costs of a hop to a host

// hopCost returns the cost of an attempt at a host by its zone.
func (b *Balancer) hopCost(h *cacheHost) float64 {
	if h.Zone == b.config.Zone {
		return sameZoneCost
	}
	return crossZoneCost
}

// replicaProfit returns the hop costs that a replica at the candidate saves, less one refill for each write.
func (b *Balancer) replicaProfit(u *keyUsage, current, candidate *cacheHost) float64 {
	reads, writes := u.sum()
	return reads*b.hopCost(current) - reads*b.hopCost(candidate) - writes*b.hopCost(candidate)
}

// replicaThreshold returns the profit above which a key gets a replica: the mean number of reads per host times
// the cost difference of a cross-zone hop. Where a fetch from the origin costs more than a crossing, the profit of
// one more read is added: with few reads the first term is below one read, so that each zone would fetch keys that
// it reads only once. The addition is a single cost difference, as a higher threshold overloads the homes of
// popular keys.
func (b *Balancer) replicaThreshold() float64 {
	t := b.keys.totalReads() / float64(max(1, len(b.available))) * (crossZoneCost - sameZoneCost)
	if b.config.OriginFetchCost > b.config.CrossZoneCost {
		t += crossZoneCost - sameZoneCost
	}
	return t
}

const (
	keySlotCount   = 6 // key statistics cover the last twelve seconds
	keySlotLength  = 2 * Second
	maxTrackedKeys = 4096 // less than a megabyte, and many times the number of keys that are read twice within the slots
)

// add starts to track a key, or returns nil if the table is full: a burst of keys that are requested once must not
// displace those in use.
func (t *keyTable) add(k Key) *keyUsage {
	if len(t.entries) == maxTrackedKeys {
		return nil
	}
	t.entries = append(t.entries, keyUsage{key: k})
	t.index[k] = len(t.entries) - 1
	return &t.entries[len(t.entries)-1]
}

// countKeyUse counts a request's read or write of its key.
func (b *Balancer) countKeyUse(r *request) {
	t, u := &b.keys, b.keys.find(r.Key)
	if u == nil {
		u = t.add(r.Key)
	}
	if !r.Write {
		t.readTotals[t.slot]++
	}
	if u != nil && r.Write {
		u.writes[t.slot]++
	} else if u != nil {
		u.reads[t.slot]++
	}
}

// rotateKeySlots starts the next slot. It drops replicas that earn less than half of the threshold and keys
// without recent use.
func (b *Balancer) rotateKeySlots(slot int) {
	t := &b.keys
	t.slot, t.readTotals[slot] = slot, 0
	for i := range t.entries {
		t.entries[i].reads[slot], t.entries[i].writes[slot] = 0, 0
	}
	minProfit := b.replicaThreshold() / 2
	for i := len(t.entries) - 1; i >= 0; i-- {
		u := &t.entries[i]
		if replica := b.hosts[u.replicaHost]; replica == nil || !b.isUp(replica) {
			u.replicaHost = ""
		} else if home := b.ring.home(u.key); home != nil && b.replicaProfit(u, home, replica) < minProfit {
			u.replicaHost = ""
		}
		if reads, writes := u.sum(); reads+writes == 0 {
			t.remove(i)
		}
	}
}
