package balancer

import (
	"time"

	"streamrail/internal/discovery"
	"streamrail/policy"
)

// startTimes places the starts of hosts, which discovery tells by the wall clock, on the clock of the decisions. The wall clock may be
// stepped at any time: each start is placed once, by its age at the moment in which it was first told.
type startTimes struct {
	wallClock func() time.Time
	placed    map[policy.CacheID]placedStart
}

type placedStart struct {
	reported policy.Nanos // Unix time
	at       policy.Nanos // on the clock of the decisions
}

func newStartTimes(wall func() time.Time) *startTimes {
	return &startTimes{wallClock: wall, placed: map[policy.CacheID]placedStart{}}
}

// place sets when some hosts of the list started. One that starts in the future starts now; one that is gone is forgotten.
func (s *startTimes) place(hosts []discovery.Host, now policy.Nanos) {
	for i := range hosts {
		h := &hosts[i]
		if h.Born <= 0 || h.Condition == policy.Gone {
			delete(s.placed, h.Cache)
			continue
		}
		known, isKnown := s.placed[h.Cache]
		if !isKnown || known.reported != h.Born {
			age := policy.Nanos(s.wallClock().UnixNano()) - h.Born
			known = placedStart{reported: h.Born, at: now - max(0, age)}
		}
		s.placed[h.Cache] = known
		h.Started = known.at
	}
}
