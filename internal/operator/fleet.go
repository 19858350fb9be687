package operator

import (
	"bytes"
	"cmp"
	"net/netip"
	"os"
	"time"

	"streamrail/internal/fleet/member"
	"streamrail/internal/fleet/transport"
	"streamrail/internal/strict"
)

// Fleet configures how this balancer communicates with the others of its fleet; see docs/guide/members.md.
type Fleet struct {
	Name    string            `toml:"name"`     // of the fleet; datagrams of other fleets are ignored
	Address string            `toml:"address"`  // IP:port of this balancer, UDP
	Peers   []string          `toml:"peers"`    // some other balancers, contacted first; not all have to be running
	Via     map[string]string `toml:"via"`      // addresses to use for some balancers, by name, instead of their own
	Period  strict.Span       `toml:"period"`   // between probes of other balancers
	Suspect strict.Span       `toml:"suspect"`  // time a suspected balancer has to answer before it is declared dead
	Budget  int               `toml:"budget"`   // bytes per second for messages other than probes
	KeyFile string            `toml:"key_file"` // file whose content is the key of each datagram's checksum
	Limits  bool              `toml:"limits"`   // move quota shares to the balancers that get the customers' requests
	Lease   strict.Span       `toml:"lease"`    // for which a quota share is lent
	Orders  bool              `toml:"orders"`   // an operator's exclusion of a host holds at all balancers
	// Evidence makes balancers report to each other how attempts at cache hosts ended.
	Evidence bool `toml:"evidence"`

	OrdersPart float64 `toml:"orders_part"` // fraction of the cache hosts that may be excluded without force

	addr  netip.AddrPort
	peers []netip.AddrPort
	via   map[string]netip.AddrPort
	key   []byte
}

// Defaults. With them, the death of a balancer is known within six seconds in a fleet of 400; see docs/notes/members.md.
const (
	defaultPeriod     = strict.Span(400 * time.Millisecond)
	defaultSuspect    = strict.Span(2 * time.Second)
	defaultBudget     = 3000
	defaultLease      = strict.Span(3 * time.Second) // for this time a starting process has only the part of its share that is never lent
	defaultOrdersPart = 0.5                          // one zone of two can be excluded without force; more is likely a mistake
)

// minMemberCapacity is the lowest limit of balancer processes that the member table may hold. It is four times a fleet of a
// thousand, to include processes that died and were restarted and balancers that the settings do not count yet. Unused
// capacity takes no memory.
const minMemberCapacity = 4096

const (
	maxPeers    = 4096 // more than any fleet has; catches a block repeated by mistake
	minKeyBytes = 16   // a shorter key is a mistake
	maxKeyBytes = 4096
)

func (f *Fleet) check(s *strict.File) {
	const section = "fleet."
	f.Period, f.Suspect, f.Budget = cmp.Or(f.Period, defaultPeriod), cmp.Or(f.Suspect, defaultSuspect), cmp.Or(f.Budget, defaultBudget)
	f.Lease, f.OrdersPart = cmp.Or(f.Lease, defaultLease), cmp.Or(f.OrdersPart, defaultOrdersPart)
	if f.Name == "" || len(f.Name) > member.MaxNameBytes {
		s.AddFault(section+"name", "expected the fleet's name, of 1 to %d bytes, got %q", member.MaxNameBytes, f.Name)
	}
	f.addr = parseAddress(s, section+"address", f.Address)
	if len(f.Peers) > maxPeers {
		s.AddFault(section+"peers", "expected %d at most, got %d", maxPeers, len(f.Peers))
	}
	for i, p := range f.Peers {
		if a := parseAddress(s, section+"peers", p); a != f.addr {
			f.peers = append(f.peers, a)
		} else if a.IsValid() && len(f.Peers) == 1 {
			s.AddFault(section+"peers", "entry %d is this balancer's own address, and there is no other", i+1)
		}
	}
	f.via = map[string]netip.AddrPort{}
	for name, p := range f.Via {
		f.via[name] = parseAddress(s, section+"via", p)
	}
	strict.CheckRange(s, section+"period", f.Period, strict.Span(50*time.Millisecond), strict.Span(time.Minute))
	strict.CheckRange(s, section+"suspect", f.Suspect, 2*f.Period, strict.Span(10*time.Minute))
	strict.CheckRange(s, section+"budget", f.Budget, 500, 1<<20)
	strict.CheckRange(s, section+"orders_part", f.OrdersPart, 0.01, 1)
	strict.CheckRange(s, section+"lease", f.Lease, strict.Span(time.Second), strict.Span(time.Minute))
	if f.KeyFile == "" {
		if s.IsSet(section + "key_file") {
			s.AddFault(section+"key_file", "expected a path; leave the key out for no key")
		}
		return
	}
	text, err := os.ReadFile(f.KeyFile)
	if err != nil {
		s.AddFault(section+"key_file", "%v", err)
		return
	}
	f.key = bytes.TrimSpace(text)
	if len(f.key) < minKeyBytes || len(f.key) > maxKeyBytes {
		s.AddFault(section+"key_file", "expected a key of %d to %d bytes in %s, got %d", minKeyBytes, maxKeyBytes, f.KeyFile, len(f.key))
	}
}

// parseAddress parses an IP:port at which a balancer can be reached, and reports an unusable one as a fault of the key.
func parseAddress(s *strict.File, key, text string) netip.AddrPort {
	a, err := netip.ParseAddrPort(text)
	if err != nil || !member.IsUsableAddr(a) {
		requirement := "a port of 1 to 65535 and an address that others can reach, no wildcard"
		s.AddFault(key, "expected IP:port with %s, got %q", requirement, text)
		return netip.AddrPort{}
	}
	return a
}

// Configs returns the configuration of the transport and of the membership for one process of a balancer.
func (f *Fleet) Configs(self member.Record, expected int, seed uint64) (transport.Config, member.Config) {
	self.Addr = f.addr
	return transport.Config{Fleet: f.Name, Key: f.key}, member.Config{Self: self, ExpectedMembers: expected, Seeds: f.peers, AddressOverrides: f.via,
		ProbeInterval: f.Period.Duration(), SuspicionTimeout: f.Suspect.Duration(), GossipBytesPerSecond: f.Budget, MaxMembers: max(minMemberCapacity, 4*expected), Seed: seed}
}
