package policy

import (
	"fmt"
	"testing"
)

// Bans of hosts that no list names any more are kept, so they need a bound; beyond it the answer is no, and what is out stays.
func TestBansBounded(t *testing.T) {
	s := &stage{T: t, owed: map[CallID]*debt{}, hosts: map[CacheID]*seen{}}
	b := New(s, Terms{Balancers: 1, OriginKind: -1}, 1)
	for i := range mostExcluded + 1 {
		id := CacheID(fmt.Sprint("h", i))
		b.Listed(ListReplace, []Entry{{Cache: id, Size: 1}})
		if known, held := b.Exclude(id); !known || held != (i < mostExcluded) {
			t.Fatalf("host %d: known %v, held %v", i, known, held)
		}
	}
	b.Listed(ListReplace, []Entry{{Cache: "h0", Size: 1}})
	if listed, avoided := b.Fleet(); listed != 1 || avoided != 1 {
		t.Errorf("%d listed, %d avoided", listed, avoided)
	}
	if _, held := b.Exclude("h0"); !held {
		t.Error("twice out is no")
	}
	if !b.Include("h0") || len(b.out) != mostExcluded-1 {
		t.Errorf("after one was put back %d are out", len(b.out))
	}
}
