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

// failingStore fails every save while err is set.
type failingStore struct {
	mu    sync.Mutex
	err   error
	saves int
	saved []string
}

func (s *failingStore) save(_ string, value any) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.saves++
	if s.err == nil {
		s.saved = value.([]string)
	}
	return s.err
}

// TestExclusionOnFullDisk excludes hosts while nothing can be written. Each exclusion must take effect at once, the returned error must
// say that it is not saved, and all of them must be saved as soon as writing works again.
func TestExclusionOnFullDisk(t *testing.T) {
	for _, saveErr := range []error{syscall.ENOSPC, syscall.EIO, syscall.EROFS} {
		t.Run(saveErr.Error(), func(t *testing.T) {
			t.Parallel()
			x := newTestBalancer(t, 0, 0, map[string]string{"a": "EN O%s\r\n", "b": "EN O%s\r\n"})
			disk := &failingStore{err: saveErr}
			x.exclusions.save = disk.save
			for _, host := range []string{"a", "b"} {
				if err := x.setExclusion(policy.HostID(host), true, false); !errors.Is(err, errNotSaved) || !errors.Is(err, saveErr) {
					t.Errorf("excluding %s: got error %v", host, err)
				}
			}
			var excluded []string
			x.callPolicy(func() { excluded = x.excludedHosts() })
			if !slices.Equal(excluded, []string{"a", "b"}) {
				t.Errorf("excluded hosts: %q", excluded)
			}
			time.Sleep(500 * time.Millisecond)
			disk.mu.Lock()
			if disk.saves < 4 || disk.saves > 12 { // one for each exclusion at once, then waits from 50 to 100 ms that double
				t.Errorf("%d saves in half a second", disk.saves)
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
					t.Fatalf("saved hosts: %q", kept)
				}
			}
			if err := x.setExclusion(policy.HostID("a"), false, false); err != nil {
				t.Errorf("including a again: %v", err)
			}
		})
	}
}
