package balancer

import (
	"errors"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"streamrail/policy"
)

// fullDisk keeps nothing until it is given room.
type fullDisk struct {
	mu    sync.Mutex
	fault error
	tries int
	kept  []string
}

func (d *fullDisk) save(_ string, what any) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tries++
	if d.fault == nil {
		d.kept = what.([]string)
	}
	return d.fault
}

// TestBanOnFullDisk takes hosts out while nothing can be written: it holds at once, the answer says that it is not kept, and it is
// kept as soon as there is room, with what was ordered meanwhile.
func TestBanOnFullDisk(t *testing.T) {
	for _, fault := range []error{syscall.ENOSPC, syscall.EIO, syscall.EROFS} {
		t.Run(fault.Error(), func(t *testing.T) {
			t.Parallel()
			x := crossed(t, 0, 0, map[string]string{"a": "EN O%s\r\n", "b": "EN O%s\r\n"})
			disk := &fullDisk{fault: fault}
			x.bans.save = disk.save
			for _, host := range []string{"a", "b"} {
				if err := x.ban(policy.CacheID(host), true, false); !errors.Is(err, errNotKept) || !errors.Is(err, fault) {
					t.Errorf("%s is out: %v", host, err)
				}
			}
			var out []string
			x.decide(func() { out = x.excluded() })
			if !slices.Equal(out, []string{"a", "b"}) {
				t.Errorf("out are %q", out)
			}
			time.Sleep(500 * time.Millisecond)
			disk.mu.Lock()
			if disk.tries < 4 || disk.tries > 12 { // two at once, then 50 to 100 ms, doubled
				t.Errorf("%d tries in half a second", disk.tries)
			}
			disk.fault = nil
			disk.mu.Unlock()
			for began := time.Now(); ; time.Sleep(5 * time.Millisecond) {
				disk.mu.Lock()
				kept := disk.kept
				disk.mu.Unlock()
				if slices.Equal(kept, []string{"a", "b"}) {
					break
				}
				if time.Since(began) > patience {
					t.Fatalf("kept are %q", kept)
				}
			}
			if err := x.ban(policy.CacheID("a"), false, false); err != nil {
				t.Errorf("a is back: %v", err)
			}
		})
	}
}
