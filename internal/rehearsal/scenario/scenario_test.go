package scenario

import (
	"errors"
	"strings"
	"testing"
)

// Every built-in rehearsal passes its own checks, and each kind of fault is in use or known by name.
func TestLibrary(t *testing.T) {
	for _, name := range Names() {
		d, err := Open(name)
		if err != nil {
			t.Fatal(err)
		}
		if d.Name != name || d.About == "" {
			t.Errorf("%s calls itself %q", name, d.Name)
		}
	}
}

// A faulty file is refused as a whole: each fault in it is named with file, line and key.
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
		{"[[fault]]\ndo = \"slow\"\nat = \"25s\"\nfor = \"9s\"\nby = 2.0", "day.toml:4: fault[1].for: the fault would end at 34s, after the day (30s)"},
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
		t.Errorf("%d faults of three named: %v", n, err)
	}
}

// A part of the nodes is the same in every run with a seed.
func TestHit(t *testing.T) {
	text := "seed = 5\n[[node]]\nname = \"n\"\ncount = 8\n[[fault]]\ndo = \"slow\"\nat = \"1s\"\nfor = \"1s\"\nby = 2.0\npart = 0.25"
	a, err := Parse("a", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	b, _ := Parse("b", []byte(text))
	if x, y := strings.Join(a.Hit(0), " "), strings.Join(b.Hit(0), " "); x != y || len(a.Hit(0)) != 2 {
		t.Errorf("%q and %q", x, y)
	}
}
