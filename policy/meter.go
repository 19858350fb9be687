package policy

import "cmp"

// meterSlotCount is the number of time slots of a meter.
const meterSlotCount = 8

// meter is a sliding window of two sums, in most uses the numbers of good and bad outcomes. It holds the recent
// time slots in a ring buffer.
type meter struct {
	width Nanos // of a slot; 0: outcomeSlot
	slots [meterSlotCount]struct {
		index     Nanos
		good, bad float64
	}
}

// slotWidth returns the length of a slot.
func (m *meter) slotWidth() Nanos { return cmp.Or(m.width, outcomeSlot) }

// add adds to both sums of the current slot.
func (m *meter) add(now Nanos, good, bad float64) {
	index := now / m.slotWidth()
	s := &m.slots[index%meterSlotCount]
	if s.index != index {
		s.index, s.good, s.bad = index, 0, 0
	}
	s.good += good
	s.bad += bad
}

// record counts one event as good, bad, both or neither.
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

// decayed returns the sums of the recent slots, where older slots count less.
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

// totalGood returns the sum of good over all recent slots, all with the same weight.
func (m *meter) totalGood(now Nanos) (good float64) {
	for _, s := range m.slots {
		if now/m.slotWidth()-s.index < meterSlotCount {
			good += s.good
		}
	}
	return good
}

// minSlotMean returns the lowest ratio of good to bad among the recent slots whose bad sum is at least minBad; ok
// reports whether there is such a slot. Used where good is a sum of values and bad their number.
func (m *meter) minSlotMean(now Nanos, minBad float64) (lowest float64, ok bool) {
	for _, s := range m.slots {
		if now/m.slotWidth()-s.index < meterSlotCount && s.bad >= minBad && (!ok || s.good/s.bad < lowest) {
			lowest, ok = s.good/s.bad, true
		}
	}
	return lowest, ok
}

// windowedMinimum is the minimum of the durations of a sliding window.
type windowedMinimum struct {
	slots [meterSlotCount]struct {
		index    Nanos
		shortest Nanos
	}
}

// minimumSlot is the length of a slot of a windowedMinimum; all slots cover 48 s, so that an overload does not become the minimum.
const minimumSlot = 6 * Second

// add takes a duration into account.
func (m *windowedMinimum) add(now, duration Nanos) {
	index := now / minimumSlot
	s := &m.slots[index%meterSlotCount]
	if s.shortest == 0 || s.index != index || duration < s.shortest {
		s.index, s.shortest = index, duration
	}
}

// get returns the shortest duration of the window, or 0 if there is none.
func (m *windowedMinimum) get(now Nanos) (shortest Nanos) {
	for _, s := range m.slots {
		if now/minimumSlot-s.index < meterSlotCount && s.shortest > 0 && (shortest == 0 || s.shortest < shortest) {
			shortest = s.shortest
		}
	}
	return shortest
}

// seconds converts a span to seconds.
func (n Nanos) seconds() float64 { return float64(n) / float64(Second) }
