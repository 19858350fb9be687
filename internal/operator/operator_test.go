package operator

import (
	"errors"
	"os"
	"strings"
	"testing"

	"streamrail/internal/pool"
	"streamrail/policy"
)

// TestFaulty checks that a faulty file is refused as a whole, with file, line and key of each fault.
func TestFaulty(t *testing.T) {
	for text, want := range map[string]string{
		"[conections]\nwait = 0.5":                                        "own.toml:1: conections: unknown key",
		"[connections]\nhost_most = 0":                                    "own.toml:2: connections.host_most: no connection at all",
		"[connections]\nhost_most = -3":                                   "own.toml:2: connections.host_most: expected 0 to",
		"[connections]\nage = 90":                                         "own.toml:2: connections.age: ",
		"[connections]\nage = \"10 parsecs\"":                             "own.toml:2: connections.age: ",
		"[connections]\nage = \"5ms\"":                                    "own.toml:2: connections.age: expected a second at least",
		"[connections]\nreuse = \"first\"":                                "own.toml:2: connections.reuse: expected longest or last",
		"[connections]\ncold_openings = 4.0":                              "own.toml:2: connections.cold_openings: it needs openings too",
		"[connections]\nopenings = 4.0\ncold_openings = 9.0":              "own.toml:3: connections.cold_openings: a cold host",
		"[connections]\nwait = 1.5\nahead = 99.0":                         "own.toml:3: connections.ahead: expected 0 to 10",
		fleetSection("address = \"0.0.0.0:7946\""):                        "own.toml:3: fleet.address: expected IP:port with a port",
		fleetSection("address = \"127.0.0.1:0\""):                         "own.toml:3: fleet.address: expected IP:port with a port",
		fleetSection("address = \"here:7946\""):                           "own.toml:3: fleet.address: expected IP:port with a port",
		fleetSection(""):                                                  "own.toml:1: fleet.address: expected IP:port with a port",
		fleetSection(addressLine + "peers = [\"[::]:1\"]"):                "own.toml:4: fleet.peers: expected IP:port with a port",
		fleetSection(addressLine + "peers = [\"127.0.0.1:7946\"]"):        "own.toml:4: fleet.peers: entry 1 is this balancer's own address",
		fleetSection(addressLine + "via = {n2 = \"127.0.0.1\"}"):          "fleet.via: expected IP:port with a port",
		fleetSection(addressLine + "period = \"1s\"\nsuspect = \"1s\""):   "own.toml:5: fleet.suspect: expected 2s to 10m",
		fleetSection(addressLine + "budget = 3\nkey_file = \"/nowhere\""): "own.toml:4: fleet.budget: expected 500 to",
		fleetSection(addressLine + "key_file = \"/dev/null\""):            "own.toml:4: fleet.key_file: expected a key of 16 to",
		"[fleet]\nname = \"\"\n" + addressLine:                            "own.toml:2: fleet.name: expected the fleet's name",
	} {
		if _, err := Parse("own.toml", []byte(text)); !errors.Is(err, ErrFaulty) || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: got %v, expected %q", text, err, want)
		}
	}
}

const addressLine = "address = \"127.0.0.1:7946\"\n"

func fleetSection(text string) string { return "[fleet]\nname = \"f\"\n" + text }

// TestTerms checks the values of the sample file under deploy/, and that an empty file leaves the base unchanged.
func TestTerms(t *testing.T) {
	text, err := os.ReadFile("../../deploy/streamrail.toml")
	if err != nil {
		t.Fatal(err)
	}
	f, err := Parse("streamrail.toml", text)
	if err != nil {
		t.Fatal(err)
	}
	base := pool.Config{Balancers: 3, MaxConnections: 500, IdleTimeout: 9}
	got := f.Connections.PoolConfig(base)
	if got.OpeningsPerSecond != 40 || got.ColdOpeningsPerSecond != 20 || got.ColdFor != 20*policy.Second || got.MaxConnections != 500 || got.HostMaxConnections != 1200 {
		t.Errorf("%+v", got)
	}
	if got := (&Connections{}).PoolConfig(base); got != base {
		t.Errorf("an empty file gives %+v, expected %+v", got, base)
	}
}
