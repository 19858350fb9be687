package policy

import "cmp"

const meterSlotCount = 8

// meter sums two things in slots of time that are used again in a ring.
type meter struct {
	width Nanos // of a slot; 0: outcomeSlot
	slots [meterSlotCount]struct {
		index     Nanos
		good, bad float64
	}
}

func (m *meter) slotWidth() Nanos { return cmp.Or(m.width, outcomeSlot) }

func (m *meter) add(now Nanos, good, bad float64) {
	index := now / m.slotWidth()
	s := &m.slots[index%meterSlotCount]
	if s.index != index {
		s.index, s.good, s.bad = index, 0, 0
	}
	s.good += good
	s.bad += bad
}

func (m *meter) record(now Nanos, good, bad bool) {
	var g, b float64
	if good {
		g = 1
	}
	if bad {
		b = 1
	}
	m.add(now, g, b)
}

// decayed sums the slots, the older the less.
func (m *meter) decayed(now Nanos) (good, bad float64) {
	for _, s := range m.slots {
		if age := now/m.slotWidth() - s.index; age < meterSlotCount {
			weight := 1 - float64(age)/meterSlotCount
			good += weight * s.good
			bad += weight * s.bad
		}
	}
	return good, bad
}

// totalGood sums the good of all slots.
func (m *meter) totalGood(now Nanos) (good float64) {
	for _, s := range m.slots {
		if now/m.slotWidth()-s.index < meterSlotCount {
			good += s.good
		}
	}
	return good
}

// minSlotMean is the smallest good for one bad of any slot with so many; ok tells whether there is one.
func (m *meter) minSlotMean(now Nanos, minBad float64) (lowest float64, ok bool) {
	for _, s := range m.slots {
		if now/m.slotWidth()-s.index < meterSlotCount && s.bad >= minBad && (!ok || s.good/s.bad < lowest) {
			lowest, ok = s.good/s.bad, true
		}
	}
	return lowest, ok
}

func (n Nanos) seconds() float64 { return float64(n) / float64(Second) }
