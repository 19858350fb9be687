package runner

import (
	"strings"
	"testing"

	"streamrail/internal/rehearsal/scenario"
)

// A scenario may be larger than the machine can run. The rehearsal is then refused with an error that names the resource
// that is insufficient.
func TestInsufficientResources(t *testing.T) {
	sc, err := scenario.Parse("day", []byte("name = \"big\"\nlength = \"10s\"\n[fleet]\nzones = [\"a\"]\nbalancers = 1025\n[[node]]\nname = \"n\"\ncount = 1025\n"))
	if err != nil {
		t.Fatal(err)
	}
	required := RequiredResources(sc)
	for _, row := range []struct {
		available Resources
		want      string
	}{
		{Resources{}, ""},
		{required, ""},
		{Resources{required.Descriptors - 1, required.MemoryMB}, "descriptors"},
		{Resources{required.Descriptors, required.MemoryMB - 1}, "memory"},
	} {
		if err := row.available.check(required, sc); (err == nil) != (row.want == "") || err != nil && !strings.Contains(err.Error(), row.want) {
			t.Errorf("%+v: %v", row.available, err)
		}
	}
	if required.Descriptors < 1025*1025 || required.MemoryMB < 1025 {
		t.Errorf("needs only %+v", required)
	}
}
