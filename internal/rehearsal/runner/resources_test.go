package runner

import (
	"strings"
	"testing"

	"streamrail/internal/rehearsal/scenario"
)

// A scenario may be larger than the machine can run. The rehearsal is then refused with an error that names the resource
// that is insufficient.
func TestRoom(t *testing.T) {
	sc, err := scenario.Parse("day", []byte("name = \"big\"\nlength = \"10s\"\n[fleet]\nzones = [\"a\"]\nbalancers = 1025\n[[node]]\nname = \"n\"\ncount = 1025\n"))
	if err != nil {
		t.Fatal(err)
	}
	needs := RequiredResources(sc)
	for _, row := range []struct {
		has  Resources
		want string
	}{
		{Resources{}, ""},
		{needs, ""},
		{Resources{needs.Descriptors - 1, needs.MemoryMB}, "descriptors"},
		{Resources{needs.Descriptors, needs.MemoryMB - 1}, "memory"},
	} {
		if err := row.has.check(needs, sc); (err == nil) != (row.want == "") || err != nil && !strings.Contains(err.Error(), row.want) {
			t.Errorf("%+v: %v", row.has, err)
		}
	}
	if needs.Descriptors < 1025*1025 || needs.MemoryMB < 1025 {
		t.Errorf("needs only %+v", needs)
	}
}
