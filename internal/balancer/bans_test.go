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

// failingStore keeps nothing until it is given room.
type failingStore struct {
	mu    sync.Mutex
	err   error
	saves int
	saved []string
}

func (d *failingStore) save(_ string, what any) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.saves++
	if d.err == nil {
		d.saved = what.([]string)
	}
	return d.err
}

// TestExclusionOnFullDisk takes hosts out while nothing can be written: it holds at once, the answer says that it is not kept, and it is
// kept as soon as there is room, with what was ordered meanwhile.
func TestExclusionOnFullDisk(t *testing.T) {
	for _, fault := range []error{syscall.ENOSPC, syscall.EIO, syscall.EROFS} {
		t.Run(fault.Error(), func(t *testing.T) {
			t.Parallel()
			x := newTestBalancer(t, 0, 0, map[string]string{"a": "EN O%s\r\n", "b": "EN O%s\r\n"})
			disk := &failingStore{err: fault}
			x.exclusions.save = disk.save
			for _, host := range []string{"a", "b"} {
				if err := x.setExclusion(policy.HostID(host), true, false); !errors.Is(err, errNotSaved) || !errors.Is(err, fault) {
					t.Errorf("%s is out: %v", host, err)
				}
			}
			var out []string
			x.callPolicy(func() { out = x.excludedHosts() })
			if !slices.Equal(out, []string{"a", "b"}) {
				t.Errorf("out are %q", out)
			}
			time.Sleep(500 * time.Millisecond)
			disk.mu.Lock()
			if disk.saves < 4 || disk.saves > 12 { // two at once, then 50 to 100 ms, doubled
				t.Errorf("%d tries in half a second", disk.saves)
			}
			disk.err = nil
			disk.mu.Unlock()
			for began := time.Now(); ; time.Sleep(5 * time.Millisecond) {
				disk.mu.Lock()
				kept := disk.saved
				disk.mu.Unlock()
				if slices.Equal(kept, []string{"a", "b"}) {
					break
				}
				if time.Since(began) > testTimeout {
					t.Fatalf("kept are %q", kept)
				}
			}
			if err := x.setExclusion(policy.HostID("a"), false, false); err != nil {
				t.Errorf("a is back: %v", err)
			}
		})
	}
}
