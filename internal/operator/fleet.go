package operator

import (
	"bytes"
	"cmp"
	"net/netip"
	"os"
	"time"

	"streamrail/internal/fleet/carry"
	"streamrail/internal/fleet/member"
	"streamrail/internal/strict"
)

// Fleet lets this balancer speak with the others of its fleet; see docs/guide/members.md.
type Fleet struct {
	Name    string            `toml:"name"`     // of the fleet; balancers of another one are not heard
	Address string            `toml:"address"`  // IP:port of this balancer, UDP
	Peers   []string          `toml:"peers"`    // some others, asked first; not all need be there
	Via     map[string]string `toml:"via"`      // where a balancer is reached from here, by its name, if not at its own address
	Period  strict.Span       `toml:"period"`   // between looks at the others
	Suspect strict.Span       `toml:"suspect"`  // how long a suspected one may still answer
	Budget  int               `toml:"budget"`   // bytes a second for what goes beyond looks
	KeyFile string            `toml:"key_file"` // its content keys the checksum of each datagram
	Limits  bool              `toml:"limits"`   // parts of the tenants' allowances move to where their calls are
	Lease   strict.Span       `toml:"lease"`    // for which a part is lent
	Orders  bool              `toml:"orders"`   // hosts out by hand are out at all balancers
	// Evidence has balancers tell each other how attempts at hosts ended.
	Evidence bool `toml:"evidence"`

	OrdersPart float64 `toml:"orders_part"` // of the cache hosts that may be out by hand without force

	addr  netip.AddrPort
	peers []netip.AddrPort
	via   map[string]netip.AddrPort
	key   []byte
}

// What holds where the file says nothing: a death is known within six seconds in a fleet of 400, see docs/notes/members.md.
const (
	fleetPeriod  = strict.Span(400 * time.Millisecond)
	fleetSuspect = strict.Span(2 * time.Second)
	fleetBudget  = 3000
	fleetLease   = strict.Span(3 * time.Second) // a process that starts has its floor for as long
	fleetOut     = 0.5                          // of the hosts: a zone of two goes out without force, more is more often a slip
)

// leastMembers is how many lives a balancer keeps room for at the least: four fleets of a thousand, for those that have died and
// were started again, or that the settings do not count yet. A life that is not known takes no memory.
const leastMembers = 4096

const (
	mostPeers = 4096 // more than a fleet has; a slip that repeats a block is told of
	leastKey  = 16   // bytes; a shorter one is a slip
	mostKey   = 4096
)

func (f *Fleet) check(s *strict.File) {
	const at = "fleet."
	f.Period, f.Suspect, f.Budget = cmp.Or(f.Period, fleetPeriod), cmp.Or(f.Suspect, fleetSuspect), cmp.Or(f.Budget, fleetBudget)
	f.Lease, f.OrdersPart = cmp.Or(f.Lease, fleetLease), cmp.Or(f.OrdersPart, fleetOut)
	if f.Name == "" || len(f.Name) > member.MostName {
		s.Bad(at+"name", "expected the fleet's name, of 1 to %d bytes, got %q", member.MostName, f.Name)
	}
	f.addr = address(s, at+"address", f.Address)
	if len(f.Peers) > mostPeers {
		s.Bad(at+"peers", "expected %d at most, got %d", mostPeers, len(f.Peers))
	}
	for i, p := range f.Peers {
		if a := address(s, at+"peers", p); a != f.addr {
			f.peers = append(f.peers, a)
		} else if a.IsValid() && len(f.Peers) == 1 {
			s.Bad(at+"peers", "entry %d is this balancer's own address, and there is no other", i+1)
		}
	}
	f.via = map[string]netip.AddrPort{}
	for name, p := range f.Via {
		f.via[name] = address(s, at+"via", p)
	}
	strict.Within(s, at+"period", f.Period, strict.Span(50*time.Millisecond), strict.Span(time.Minute))
	strict.Within(s, at+"suspect", f.Suspect, 2*f.Period, strict.Span(10*time.Minute))
	strict.Within(s, at+"budget", f.Budget, 500, 1<<20)
	strict.Within(s, at+"orders_part", f.OrdersPart, 0.01, 1)
	strict.Within(s, at+"lease", f.Lease, strict.Span(time.Second), strict.Span(time.Minute))
	if f.KeyFile == "" {
		if s.Given(at + "key_file") {
			s.Bad(at+"key_file", "expected a path; leave the key out for no key")
		}
		return
	}
	text, err := os.ReadFile(f.KeyFile)
	if err != nil {
		s.Bad(at+"key_file", "%v", err)
		return
	}
	f.key = bytes.TrimSpace(text)
	if len(f.key) < leastKey || len(f.key) > mostKey {
		s.Bad(at+"key_file", "expected a key of %d to %d bytes in %s, got %d", leastKey, mostKey, f.KeyFile, len(f.key))
	}
}

// address reads IP:port at which a balancer can be reached.
func address(s *strict.File, key, text string) netip.AddrPort {
	a, err := netip.ParseAddrPort(text)
	if err != nil || !member.Usable(a) {
		why := "a port of 1 to 65535 and an address that others can reach, no wildcard"
		s.Bad(key, "expected IP:port with %s, got %q", why, text)
		return netip.AddrPort{}
	}
	return a
}

// Terms are the carrier's and the membership's, for a process of a balancer.
func (f *Fleet) Terms(self member.Record, expected int, seed uint64) (carry.Terms, member.Terms) {
	self.Addr = f.addr
	return carry.Terms{Fleet: f.Name, Key: f.key}, member.Terms{Self: self, Expected: expected, Seeds: f.peers, Via: f.via,
		Period: f.Period.D(), Suspect: f.Suspect.D(), Budget: f.Budget, Most: max(leastMembers, 4*expected), Seed: seed}
}
