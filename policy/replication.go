package policy

// Replication: a key gets a copy in a zone where its reads there pay for it.

const sameZoneCost, crossZoneCost = 1.0, 3.0 // the design's hop costs

func (b *Balancer) hopCost(h *cacheHost) float64 {
	if h.Zone == b.config.Zone {
		return sameZoneCost
	}
	return crossZoneCost
}

// replicaProfit is Estimate Profit: a write costs the copy one refill.
func (b *Balancer) replicaProfit(u *keyUsage, current, candidate *cacheHost) float64 {
	reads, writes := u.sum()
	return reads*b.hopCost(current) - reads*b.hopCost(candidate) - writes*b.hopCost(candidate)
}

// replicaThreshold is the design's, and a second read where a fetch has a price above a crossing's: with few reads
// the design's is under one, and each zone fetched keys read once. Four hops, not two, crowded popular homes.
func (b *Balancer) replicaThreshold() float64 {
	t := b.keys.totalReads() / float64(max(1, len(b.available))) * (crossZoneCost - sameZoneCost)
	if b.config.FetchPrice > b.config.CrossPrice {
		t += crossZoneCost - sameZoneCost
	}
	return t
}

const (
	keySlotCount   = 6 // the design's six slots of two seconds
	keySlotLength  = 2 * Second
	maxTrackedKeys = 4096 // keys; a fraction of a megabyte, and many times the keys that are read twice in the window
)

// add takes a key up while there is room: a flood of keys wanted once must not put out those that matter.
func (t *keyTable) add(k Key) *keyUsage {
	if len(t.entries) == maxTrackedKeys {
		return nil
	}
	t.entries = append(t.entries, keyUsage{key: k})
	t.index[k] = len(t.entries) - 1
	return &t.entries[len(t.entries)-1]
}

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

// rotateKeySlots starts the next slot: copies under half the threshold and keys not used any more go.
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
