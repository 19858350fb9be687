package policy

import "cmp"

const meterSlots = 8

// meter sums two things in slots of time that are used again in a ring.
type meter struct {
	width Nanos // of a slot; 0: healthSlot
	slots [meterSlots]struct {
		turn      Nanos
		good, bad float64
	}
}

func (m *meter) span() Nanos { return cmp.Or(m.width, healthSlot) }

func (m *meter) add(now Nanos, good, bad float64) {
	turn := now / m.span()
	s := &m.slots[turn%meterSlots]
	if s.turn != turn {
		s.turn, s.good, s.bad = turn, 0, 0
	}
	s.good += good
	s.bad += bad
}

func (m *meter) tell(now Nanos, good, bad bool) {
	var g, b float64
	if good {
		g = 1
	}
	if bad {
		b = 1
	}
	m.add(now, g, b)
}

// faded sums the slots, the older the less.
func (m *meter) faded(now Nanos) (good, bad float64) {
	for _, s := range m.slots {
		if age := now/m.span() - s.turn; age < meterSlots {
			f := 1 - float64(age)/meterSlots
			good += f * s.good
			bad += f * s.bad
		}
	}
	return good, bad
}

// total sums the good of all slots.
func (m *meter) total(now Nanos) (good float64) {
	for _, s := range m.slots {
		if now/m.span()-s.turn < meterSlots {
			good += s.good
		}
	}
	return good
}

// leastMean is the smallest good for one bad of any slot with so many; ok tells whether there is one.
func (m *meter) leastMean(now Nanos, many float64) (least float64, ok bool) {
	for _, s := range m.slots {
		if now/m.span()-s.turn < meterSlots && s.bad >= many && (!ok || s.good/s.bad < least) {
			least, ok = s.good/s.bad, true
		}
	}
	return least, ok
}

func (n Nanos) seconds() float64 { return float64(n) / float64(Second) }
