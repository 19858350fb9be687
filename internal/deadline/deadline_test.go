package deadline

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestDeadline checks that the remaining time shrinks as time passes and that nothing extends it.
func TestDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := After(time.Now(), time.Second)
		time.Sleep(400 * time.Millisecond)
		if got := d.Remaining(); got != 600*time.Millisecond {
			t.Errorf("%v remain of 1 s after 0.4 s", got)
		}
		if got := d.Earlier(-time.Hour).Remaining(); got != 600*time.Millisecond {
			t.Errorf("a negative span extended the deadline to %v", got)
		}
		if got := d.Earlier(100 * time.Millisecond).Remaining(); got != 500*time.Millisecond {
			t.Errorf("%v remain after moving the deadline 0.1 s earlier", got)
		}
		later := After(time.Now(), time.Hour)
		if d.First(later) != d || later.First(d) != d {
			t.Error("First did not return the earlier deadline")
		}
		time.Sleep(600 * time.Millisecond)
		if !d.Passed() || !(Deadline{}).Passed() || later.Passed() {
			t.Error("Passed is wrong for one of the deadlines")
		}
	})
}
