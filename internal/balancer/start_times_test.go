package balancer

import (
	"testing"
	"time"

	"streamrail/internal/discovery"
	"streamrail/policy"
)

// TestStartTimesAcrossClockSteps steps the wall clock between two lists. A known host keeps its age, a host that starts after the step
// has the age that its start time gives, and a start time in the future counts as now.
func TestStartTimesAcrossClockSteps(t *testing.T) {
	for _, step := range []time.Duration{5 * time.Second, -5 * time.Second, time.Hour, -time.Hour} {
		wall := time.Unix(1_700_000_000, 0)
		s := newStartTimes(func() time.Time { return wall })
		now := policy.Nanos(time.Hour)
		host := func(name string, born time.Time) discovery.Host {
			return discovery.Host{HostEntry: policy.HostEntry{HostID: policy.HostID(name), ListedStart: policy.Nanos(born.UnixNano())}}
		}
		age := func(l []discovery.Host, i int) time.Duration { return time.Duration(now - l[i].LocalStart) }
		first := host("first", wall.Add(-2*time.Second))
		l := []discovery.Host{first, host("old", time.Unix(0, 0))}
		s.convert(l, now)
		if age(l, 0) != 2*time.Second || l[1].LocalStart != 0 {
			t.Errorf("step %v: before the step a host is %v old, one of long ago started at %v", step, age(l, 0), l[1].LocalStart)
		}
		now += policy.Nanos(time.Second)
		wall = wall.Add(time.Second + step)
		l = []discovery.Host{first, host("second", wall.Add(-time.Second)), host("ahead", wall.Add(time.Minute))}
		s.convert(l, now)
		if age(l, 0) != 3*time.Second || age(l, 1) != time.Second || age(l, 2) != 0 {
			t.Errorf("step %v: a host 3 s old counts as %v, one 1 s old as %v, one that starts in the future as %v", step, age(l, 0), age(l, 1), age(l, 2))
		}
		now += policy.Nanos(time.Second)
		wall = wall.Add(time.Second)
		again := []discovery.Host{host("first", wall.Add(-time.Second))}
		s.convert(again, now)
		if age(again, 0) != time.Second || len(s.converted) != 3 {
			t.Errorf("step %v: a host restarted 1 s ago counts as %v old, %d hosts are known", step, age(again, 0), len(s.converted))
		}
		for i := range l {
			l[i].Condition = policy.Gone
		}
		s.convert(l, now)
		if len(s.converted) != 0 {
			t.Errorf("step %v: %d hosts that are gone are still known", step, len(s.converted))
		}
	}
}
