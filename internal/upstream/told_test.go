package upstream

import (
	"testing"
	"time"

	"streamrail/internal/discovery"
	"streamrail/policy"
)

// TestGraceStartsWhenListArrives applies the end of a host late: nothing is written to it any more once the grace is over that began when
// the list came, and within it something still may.
func TestGraceStartsWhenListArrives(t *testing.T) {
	const grace = time.Second
	hs := New(Limits{Grace: grace}, -1)
	defer hs.Close()
	entry := func(condition policy.Condition) []discovery.Host {
		return []discovery.Host{{Addr: "127.0.0.1:1", Entry: policy.Entry{Cache: "h", Condition: condition}}}
	}
	for _, c := range []struct {
		delay   time.Duration // from the list's arrival until it is applied
		tooLate bool
	}{{0, false}, {grace / 2, false}, {grace + time.Millisecond, true}} {
		hs.Listed(discovery.List{Hosts: entry(policy.Up)})
		h := hs.byID["h"]
		hs.Listed(discovery.List{Hosts: entry(policy.Draining), At: time.Now().Add(-c.delay)})
		if got := hs.graceExpired(h); got != c.tooLate {
			t.Errorf("applied %v after it came: too late is %v", c.delay, got)
		}
	}
}
