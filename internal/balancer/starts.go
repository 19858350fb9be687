package balancer

import (
	"time"

	"streamrail/internal/discovery"
	"streamrail/policy"
)

// starts places the starts of hosts, which discovery tells by the wall clock, on the clock of the decisions. The wall clock may be
// stepped at any time: each start is placed once, by its age at the moment in which it was first told.
type starts struct {
	wall   func() time.Time
	placed map[policy.CacheID]start
}

type start struct {
	told policy.Nanos // Unix time
	at   policy.Nanos // on the clock of the decisions
}

func newStarts(wall func() time.Time) *starts {
	return &starts{wall: wall, placed: map[policy.CacheID]start{}}
}

// place sets when some hosts of the list started. One that starts in the future starts now; one that is gone is forgotten.
func (s *starts) place(hosts []discovery.Host, now policy.Nanos) {
	for i := range hosts {
		h := &hosts[i]
		if h.Born <= 0 || h.Condition == policy.Gone {
			delete(s.placed, h.Cache)
			continue
		}
		known, is := s.placed[h.Cache]
		if !is || known.told != h.Born {
			age := policy.Nanos(s.wall().UnixNano()) - h.Born
			known = start{told: h.Born, at: now - max(0, age)}
		}
		s.placed[h.Cache] = known
		h.Started = known.at
	}
}
