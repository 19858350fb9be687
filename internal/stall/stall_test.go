package stall

import (
	"testing"
	"time"
)

// TestEarliest checks waits before, during and after a stall: the event that ended the wait may have happened as early as the
// start of the stall, but not before the wait began.
func TestEarliest(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	for _, c := range []struct {
		name               string
		ticks              []int
		began, ended, want int
	}{
		{"no stall", []int{30, 60, 90}, 10, 100, 100},
		{"a late tick", []int{30, 85}, 10, 100, 100},
		{"the stall has ended, no tick since", []int{30, 60}, 10, 500, 60},
		{"the same, the wait began within it", []int{30, 60}, 400, 500, 400},
		{"the first tick after it", []int{30, 60, 500}, 10, 501, 60},
		{"just after it", []int{30, 60, 500, 530}, 10, 550, 60},
		{"long after it", []int{30, 60, 500, 530, 560, 590}, 10, 600, 600},
		{"the wait began after it", []int{30, 60, 500}, 510, 520, 510},
		{"two stalls", []int{30, 300, 330, 600}, 310, 610, 330},
	} {
		d := New(start)
		for _, ms := range c.ticks {
			d.Tick(at(ms))
		}
		if got := d.EarliestEvent(at(c.began), at(c.ended)); got != at(c.want) {
			t.Errorf("%s: %v after the start, expected %d ms", c.name, got.Sub(start), c.want)
		}
	}
}
