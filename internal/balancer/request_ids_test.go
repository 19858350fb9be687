package balancer

import (
	"encoding/binary"
	"testing"
	"time"
)

// TestPastIDsBounded guards against ids of past requests that take memory without bound: they are forgotten after their time, and the oldest
// ones when there are too many.
func TestPastIDsBounded(t *testing.T) {
	past := newRequestIDs(1).past
	key := func(i int) (k idKey) {
		binary.LittleEndian.PutUint64(k[:], uint64(i))
		return k
	}
	count := 3*past.capacity + 1
	for i := range count {
		past.add(key(i), time.Duration(i))
	}
	if len(past.queue) != past.capacity || len(past.expiresAt) != past.capacity {
		t.Errorf("%d and %d ids are held, the limit is %d", len(past.queue), len(past.expiresAt), past.capacity)
	}
	now := time.Duration(count)
	if past.contains(key(count-past.capacity-1), now) || !past.contains(key(count-past.capacity), now) {
		t.Error("the oldest id is not the one that was forgotten")
	}
	past.add(key(count-1), now+pastIDRetention/2) // it comes again: its time begins anew
	now += pastIDRetention
	if past.contains(key(count-2), now) || !past.contains(key(count-1), now) {
		t.Error("an id was not forgotten after its time, or before")
	}
	if past.contains(key(count-1), now+pastIDRetention); len(past.queue)+len(past.expiresAt) > 0 {
		t.Errorf("%d and %d ids are left", len(past.queue), len(past.expiresAt))
	}
}
