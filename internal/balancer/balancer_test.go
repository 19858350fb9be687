package balancer

import (
	"testing"
	"time"

	"github.com/rs/zerolog"

	"streamrail/internal/deployment"
	"streamrail/internal/operator"
)

// TestGraceCoversDelayedWrite holds that a write which is begun as late as it may be, and held up by 0.15 s, comes within the drain's grace.
func TestGraceCoversDelayedWrite(t *testing.T) {
	const holdUp = 150 * time.Millisecond
	for _, grace := range []time.Duration{0, 200 * time.Millisecond, 400 * time.Millisecond, time.Second, 3 * time.Second, time.Minute} {
		usable := usableGrace(grace)
		if grace >= 2*holdUp && usable+holdUp > grace {
			t.Errorf("grace %v: a write may come %v after its end", grace, usable+holdUp-grace)
		}
		if usable < grace/2 || usable > grace {
			t.Errorf("grace %v: %v of it are used", grace, usable)
		}
	}
	told := &deployment.Deployment{MaxSockets: 1024, MemoryMB: 192, DrainGrace: time.Second}
	b := New(told, &operator.File{}, zerolog.Nop())
	defer b.cancel()
	defer b.hosts.Close()
	if got := b.hosts.Grace(); got != usableGrace(time.Second) {
		t.Errorf("writes end %v after a drain was told", got)
	}
}
