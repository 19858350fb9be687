package scenario

import (
	"errors"
	"strings"
	"testing"
)

// Every built-in rehearsal passes the checks, has the name of its file and a description.
func TestLibrary(t *testing.T) {
	for _, name := range Names() {
		sc, err := Open(name)
		if err != nil {
			t.Fatal(err)
		}
		if sc.Name != name || sc.About == "" {
			t.Errorf("rehearsal %s has the name %q", name, sc.Name)
		}
	}
}

// A faulty file is rejected, and the error lists each mistake with file, line and key.
func TestFaultyFiles(t *testing.T) {
	for _, row := range []struct{ text, want string }{
		{"lenght = \"5s\"", "day.toml:1: lenght: unknown key"},
		{"\n[fleet]\nballancers = 2", "day.toml:3: fleet.ballancers: unknown key"},
		{"length = 5", "day.toml:1: length: "},
		{"length = \"5 fortnights\"", "day.toml:1: length: "},
		{"length = \"0.2s\"", "day.toml:1: length: expected 1s to 1h0m0s, got 200ms"},
		{"[[node]]\nname = \"a\"\nzone = \"nowhere\"", "day.toml:3: node[1].zone: no zone is called \"nowhere\""},
		{"[[node]]\nname = \"a\"\n[[node]]\nname = \"a\"", "day.toml:4: node[2].name: "},
		{"[[node]]\nname = \"a\"\nspeed = -1.0", "day.toml:3: node[1].speed: expected 0.01 to 100, got -1"},
		{"[[fault]]\ndo = \"stall\"\nat = \"1s\"\nfor = \"2s\"\nnodes = [\"node-9\"]", "day.toml:5: fault[1].nodes: no node is called \"node-9\""},
		{"[[node]]\nname = \"a\"\ncores = 0", "day.toml:3: node[1].cores: expected 1 to 1024, got 0"},
		{"[[fault]]\ndo = \"explode\"", "day.toml:2: fault[1].do: expected one of "},
		{"[[fault]]\ndo = \"slow\"\nat = \"1s\"\nfor = \"1s\"", "day.toml:1: fault[1].by: slow needs it"},
		{"[[fault]]\ndo = \"rude\"\nat = \"1s\"\nfor = \"1s\"\ncount = 5\nzone = \"here\"", "day.toml:6: fault[1].zone: rude has no such key"},
		{"[[fault]]\ndo = \"slow\"\nat = \"25s\"\nfor = \"9s\"\nby = 2.0", "day.toml:4: fault[1].for: the fault would end at 34s, after the end of the rehearsal (30s)"},
		{"[[fault]]\ndo = \"surge\"\nat = \"1s\"\nfor = \"1s\"\nby = 2.0\ntenant = \"x\"", "day.toml:6: fault[1].tenant: no tenant is called \"x\""},
		{"[[product]]\nname = \"p\"\nshare = 1.0\nwork = \"5ms\"\nlatency_slo = \"2s\"\nclient_timeout = \"1s\"", "day.toml:6: product[1].client_timeout: "},
		{"[[product]]\nname = \"p\"\nshare = 1.0\nwork = \"5ms\"\nlatency_slo = \"1s\"\nclient_timeout = \"1s\"\neffect = \"non-idempotent\"", "product[1].write: "},
		{"[load]\nper_s = 1000000.0\nkeys = 0", "day.toml:2: load.per_s: "},
		{"[fleet]\nzones = [\"a\", \"a\"]", "day.toml:2: fleet.zones: \"a\" stands twice"},
		{"[client]\ngive_up_at = [0.9, 0.2]", "day.toml:2: client.give_up_at: "},
	} {
		_, err := Parse("day.toml", []byte(row.text))
		if !errors.Is(err, ErrFaulty) || !strings.Contains(err.Error(), row.want) {
			t.Errorf("%q: got %v, expected %q", row.text, err, row.want)
		}
	}
	_, err := Parse("day.toml", []byte("length = \"0s\"\n[load]\nkeys = 0\nzipf = 9.0"))
	if n := strings.Count(err.Error(), "day.toml:"); n != 3 {
		t.Errorf("error lists %d mistakes, expected 3: %v", n, err)
	}
}

// The random share of hosts that a fault affects is the same in every run with the same seed.
func TestAffectedHostsSameWithSameSeed(t *testing.T) {
	text := "seed = 5\n[[node]]\nname = \"n\"\ncount = 8\n[[fault]]\ndo = \"slow\"\nat = \"1s\"\nfor = \"1s\"\nby = 2.0\npart = 0.25"
	a, err := Parse("a", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	b, _ := Parse("b", []byte(text))
	if x, y := strings.Join(a.AffectedHosts(0), " "), strings.Join(b.AffectedHosts(0), " "); x != y || len(a.AffectedHosts(0)) != 2 {
		t.Errorf("affected nodes: %q and %q with the same seed", x, y)
	}
}
