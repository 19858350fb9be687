package deadline

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestDeadline holds that time which passes shortens what remains and that nothing lengthens it.
func TestDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := After(time.Now(), time.Second)
		time.Sleep(400 * time.Millisecond)
		if got := d.Remaining(); got != 600*time.Millisecond {
			t.Errorf("%v remain of a second after 0.4 s", got)
		}
		if got := d.Earlier(-time.Hour).Remaining(); got != 600*time.Millisecond {
			t.Errorf("a negative span lengthened it to %v", got)
		}
		if got := d.Earlier(100 * time.Millisecond).Remaining(); got != 500*time.Millisecond {
			t.Errorf("%v remain where 0.1 s was taken off", got)
		}
		later := After(time.Now(), time.Hour)
		if d.First(later) != d || later.First(d) != d {
			t.Error("the first of two is not the earlier one")
		}
		time.Sleep(600 * time.Millisecond)
		if !d.Passed() || !(Deadline{}).Passed() || later.Passed() {
			t.Error("passed at the wrong time")
		}
	})
}
