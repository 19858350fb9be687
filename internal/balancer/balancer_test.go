package balancer

import (
	"testing"
	"time"

	"github.com/rs/zerolog"

	"streamrail/internal/deployment"
	"streamrail/internal/operator"
)

// TestGraceCoversDelayedWrite checks that a write which begins as late as allowed and is then delayed by 0.15 s still happens within
// the drain's grace.
func TestGraceCoversDelayedWrite(t *testing.T) {
	const delay = 150 * time.Millisecond
	for _, grace := range []time.Duration{0, 200 * time.Millisecond, 400 * time.Millisecond, time.Second, 3 * time.Second, time.Minute} {
		usable := usableGrace(grace)
		if grace >= 2*delay && usable+delay > grace {
			t.Errorf("grace %v: a write may happen %v after its end", grace, usable+delay-grace)
		}
		if usable < grace/2 || usable > grace {
			t.Errorf("grace %v: usable part %v is out of range", grace, usable)
		}
	}
	deployed := &deployment.Deployment{MaxSockets: 1024, MemoryMB: 192, DrainGrace: time.Second}
	b := New(deployed, &operator.File{}, zerolog.Nop())
	defer b.cancel()
	defer b.hosts.Close()
	if got := b.hosts.Grace(); got != usableGrace(time.Second) {
		t.Errorf("writes end %v after the notice of a drain", got)
	}
}
