package policy

// Replication: a key gets a copy in a zone where its reads there pay for it.

const inZone, across = 1.0, 3.0 // the design's hop costs

func (b *Balancer) hop(h *cache) float64 {
	if h.Zone == b.terms.Zone {
		return inZone
	}
	return across
}

// profit is Estimate Profit: a write costs the copy one refill.
func (b *Balancer) profit(u *keyUse, nearest, candidate *cache) float64 {
	reads, writes := u.sum()
	return reads*b.hop(nearest) - reads*b.hop(candidate) - writes*b.hop(candidate)
}

// threshold is the design's, and a second read where a fetch has a price above a crossing's: with few reads
// the design's is under one, and each zone fetched keys read once. Four hops, not two, crowded popular homes.
func (b *Balancer) threshold() float64 {
	t := b.table.reads() / float64(max(1, len(b.available))) * (across - inZone)
	if b.terms.FetchPrice > b.terms.CrossPrice {
		t += across - inZone
	}
	return t
}

const (
	keySlots  = 6 // the design's six slots of two seconds
	keySlot   = 2 * Second
	tableSize = 4096 // keys; a fraction of a megabyte, and many times the keys that are read twice in the window
)

// admit takes a key up while there is room: a flood of keys wanted once must not put out those that matter.
func (t *keyTable) admit(k Key) *keyUse {
	if len(t.use) == tableSize {
		return nil
	}
	t.use = append(t.use, keyUse{key: k})
	t.at[k] = len(t.use) - 1
	return &t.use[len(t.use)-1]
}

func (b *Balancer) count(c *call) {
	t, u := &b.table, b.table.find(c.Key)
	if u == nil {
		u = t.admit(c.Key)
	}
	if !c.Write {
		t.total[t.slot]++
	}
	if u != nil && c.Write {
		u.write[t.slot]++
	} else if u != nil {
		u.read[t.slot]++
	}
}

// rotate starts the next slot: copies under half the threshold and keys not used any more go.
func (b *Balancer) rotate(slot int) {
	t := &b.table
	t.slot, t.total[slot] = slot, 0
	for i := range t.use {
		t.use[i].read[slot], t.use[i].write[slot] = 0, 0
	}
	least := b.threshold() / 2
	for i := len(t.use) - 1; i >= 0; i-- {
		u := &t.use[i]
		if at := b.caches[u.copyAt]; at == nil || !b.up(at) {
			u.copyAt = ""
		} else if home := b.ring.home(u.key); home != nil && b.profit(u, home, at) < least {
			u.copyAt = ""
		}
		if reads, writes := u.sum(); reads+writes == 0 {
			t.remove(i)
		}
	}
}
