package pool

import "streamrail/policy"

// demand measures the attempts at a host and how long each held its connection, in a ring of time slots.
type demand struct {
	slots [demandSlots]struct {
		index    policy.Nanos
		attempts float64
		held     float64 // nanoseconds
		ended    float64
	}
}

const (
	demandSlots      = 4
	demandSlotLength = policy.Second // four seconds cover the start of a surge and drop it soon after its end
)

func (n *demand) slot(now policy.Nanos) *struct {
	index    policy.Nanos
	attempts float64
	held     float64
	ended    float64
} {
	index := now / demandSlotLength
	s := &n.slots[index%demandSlots]
	if s.index != index {
		s.index, s.attempts, s.held, s.ended = index, 0, 0, 0
	}
	return s
}

func (n *demand) recordAttempt(now policy.Nanos) { n.slot(now).attempts++ }

func (n *demand) recordHold(now, took policy.Nanos) {
	s := n.slot(now)
	s.held += float64(took)
	s.ended++
}

// meanHold returns how long an attempt holds its connection on average, in nanoseconds.
func (n *demand) meanHold() float64 {
	held, ended := 0.0, 0.0
	for _, s := range n.slots {
		held += s.held
		ended += s.ended
	}
	if ended == 0 {
		return float64(policy.Second) // no attempt has ended yet: assume as much as a latency target
	}
	return held / ended
}

// mean returns how many connections were in use on average.
func (n *demand) mean(now policy.Nanos) float64 {
	_, held, since := n.recent(now)
	if since <= 0 {
		return 0
	}
	return held / float64(since)
}

// recent returns the sums of the recent slots and the time that they cover so far.
func (n *demand) recent(now policy.Nanos) (attempts, held float64, since policy.Nanos) {
	index, first := now/demandSlotLength, now
	for _, s := range n.slots {
		if index-s.index < demandSlots && s.attempts+s.ended > 0 {
			attempts += s.attempts
			held += s.held
			first = min(first, s.index*demandSlotLength)
		}
	}
	return attempts, held, now - first
}
