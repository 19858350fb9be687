package upstream

import (
	"testing"
	"time"

	"streamrail/internal/discovery"
	"streamrail/policy"
)

// TestGraceStartsWhenListArrives applies a list with a draining host late. The grace starts when the list arrives: attempts may be
// written within it and not after it.
func TestGraceStartsWhenListArrives(t *testing.T) {
	const grace = time.Second
	hs := New(Config{Grace: grace}, -1)
	defer hs.Close()
	entry := func(condition policy.Condition) []discovery.Host {
		return []discovery.Host{{Addr: "127.0.0.1:1", HostEntry: policy.HostEntry{HostID: "h", Condition: condition}}}
	}
	for _, c := range []struct {
		delay   time.Duration // from the list's arrival until it is applied
		tooLate bool
	}{{0, false}, {grace / 2, false}, {grace + time.Millisecond, true}} {
		hs.ApplyList(discovery.List{Hosts: entry(policy.Up)})
		h := hs.byID["h"]
		hs.ApplyList(discovery.List{Hosts: entry(policy.Draining), ReceivedAt: time.Now().Add(-c.delay)})
		if got := hs.graceExpired(h); got != c.tooLate {
			t.Errorf("list applied %v after its arrival: grace expired is %v", c.delay, got)
		}
	}
}
