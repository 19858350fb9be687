package balancer

import (
	"time"

	"streamrail/internal/discovery"
	"streamrail/policy"
)

// startTimes converts the start times of hosts, which discovery reports by the wall clock, to the policy's clock. The wall clock may be
// stepped at any time, so each start time is converted only once, by the host's age when that start time was first reported.
type startTimes struct {
	wallClock func() time.Time
	converted map[policy.HostID]convertedStart
}

// convertedStart is the start of one host on both clocks.
type convertedStart struct {
	reported policy.Nanos // as discovery gives it, in Unix time
	at       policy.Nanos // on the policy's clock
}

func newStartTimes(wallClock func() time.Time) *startTimes {
	return &startTimes{wallClock: wallClock, converted: map[policy.HostID]convertedStart{}}
}

// convert sets the LocalStart of the hosts. A start time in the future becomes now; hosts that are gone are forgotten.
func (s *startTimes) convert(hosts []discovery.Host, now policy.Nanos) {
	for i := range hosts {
		h := &hosts[i]
		if h.ListedStart <= 0 || h.Condition == policy.Gone {
			delete(s.converted, h.HostID)
			continue
		}
		known, isKnown := s.converted[h.HostID]
		if !isKnown || known.reported != h.ListedStart {
			age := policy.Nanos(s.wallClock().UnixNano()) - h.ListedStart
			known = convertedStart{reported: h.ListedStart, at: now - max(0, age)}
		}
		s.converted[h.HostID] = known
		h.LocalStart = known.at
	}
}
