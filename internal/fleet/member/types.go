// Package member implements the membership protocol of a fleet of balancers, in the manner of SWIM and Lifeguard: probes,
// indirect probes, suspicion and gossip. It is a state machine without I/O, clock or goroutines: times and messages go in,
// messages and events come out, and random draws come from a seeded generator. docs/notes/members.md describes the protocol,
// the failures it covers and its bounds.
package member

import (
	"math/bits"
	"net/netip"
	"time"
)

// Moment is a time on this process's monotonic clock; only differences between Moments are meaningful.
type Moment = time.Duration

// ProcessID identifies one process: its start time in milliseconds, then random bits. Of two processes under one name the one
// with the greater ProcessID is the newer.
type ProcessID uint64

const randomBits = 22

// NewProcessID makes the identifier of a process started at a Unix time in milliseconds.
func NewProcessID(bornMs int64, random uint64) ProcessID {
	return ProcessID(uint64(bornMs)<<randomBits | random&(1<<randomBits-1))
}

// Incarnation is SWIM's incarnation number: it counts how often a process has refuted a suspicion or death reported of it. Only the
// process itself raises it.
type Incarnation uint32

// MaxIncarnation bounds the incarnation that a message may contain.
const MaxIncarnation Incarnation = 1 << 30

// State is what a view holds of a process. Of two states at the same incarnation the greater one takes precedence.
type State uint8

const (
	Alive State = iota
	Suspected
	Dead
	Left // left gracefully; final: no incarnation brings this process back
	// Queried occurs only in gossip: some member holds this process dead at this incarnation. It changes no view; the process
	// itself refutes it.
	Queried
)

func (s State) String() string {
	return [...]string{"alive", "suspected", "dead", "left", "asked"}[min(s, Queried)]
}

// isPresent reports whether a process in this state counts as part of the fleet.
func (s State) isPresent() bool { return s < Dead }

// Record is a process's identity and address, with its incarnation.
type Record struct {
	Life       ProcessID
	Inc        Incarnation
	Name, Zone string
	Addr       netip.AddrPort
}

// StateUpdate is an update on the state of a process whose record the receiver is assumed to have.
type StateUpdate struct {
	Life      ProcessID
	Inc       Incarnation
	State     State
	Suspector ProcessID // of a suspicion: the process that got no answer
}

// digestBuckets is the number of buckets into which processes are hashed, each with its own digest. Two views that differ in
// a few processes find the buckets concerned with one datagram.
const (
	digestBuckets  = 64
	allBucketsMask = 1<<digestBuckets - 1
)

// Kind is the purpose of a message.
type Kind uint8

const (
	Ping         Kind = 1 + iota // requires an Ack
	Ack                          // answers the Ping or the IndirectPing with this Seq: Target is alive
	IndirectPing                 // indirect probe: requests that the receiver ping Target; requires an Ack or a Nack
	Nack                         // answers an IndirectPing: Target did not answer its receiver either
	Gossip                       // contains updates, records and requests for records; requires no answer
	Table                        // a part of the sender's view; a death in it leads to a probe and not directly to a change of state
	NameConflict                 // the sender has the receiver's name and has stopped taking part
	// BucketDigests contains the sender's digests by bucket. It requires a Table of the buckets that differ, which in turn requests
	// the sender's.
	BucketDigests
)

// Message is the content of one datagram. From and Inc are always the sender's.
type Message struct {
	Kind           Kind
	From, To       ProcessID // To is 0 where the sender has only an address
	Inc            Incarnation
	Seq            uint32
	Digest         uint64 // of the processes present in the sender's view
	Target         ProcessID
	TargetAddr     netip.AddrPort
	WantTable      bool   // Ping, Table: requests the receiver's table
	WantRecords    bool   // with WantTable: requests the whole table, with the records
	WantedBuckets  uint64 // with WantTable: the buckets requested
	BucketDigests  []uint32
	Updates        []StateUpdate
	Records        []Record
	RecordRequests []ProcessID // processes whose records the sender lacks
}

// Outgoing is a message with the address it goes to.
type Outgoing struct {
	To  netip.AddrPort
	Msg Message
}

// Event is a change in this view, or a fault of this balancer itself.
type Event struct {
	Kind     string // state, stalled, name-taken, name-shared, situation, refuted, verdict
	Name     string
	Life     ProcessID
	From, To State
	Cause    string
}

// Situation summarises how much of the fleet this balancer sees.
type Situation uint8

const (
	Whole    Situation = iota // as many members as expected, or more
	Majority                  // fewer than expected, but more than half
	Minority                  // half of the expected members or fewer
	Alone                     // no other member
	Unsure                    // this process stalled, gets no answers, or lost its name to another process
)

func (s Situation) String() string {
	return [...]string{"whole", "part", "minority", "alone", "unsure"}[s]
}

// Config is the configuration of a Machine, fixed for the life of the process.
type Config struct {
	Self                 Record
	ExpectedMembers      int                       // number of balancers in the fleet, including this one
	Seeds                []netip.AddrPort          // addresses contacted first
	AddressOverrides     map[string]netip.AddrPort // addresses, by name, of members that are not reached at their own address
	ProbeInterval        time.Duration             // time between two probes
	SuspicionTimeout     time.Duration             // from a suspicion to the declaration of death, once enough members have confirmed it
	GossipBytesPerSecond int                       // bytes per second for everything other than probes and their answers
	MaxMembers           int                       // largest number of members known, including dead ones
	Seed                 uint64
}

// Constants of the protocol, relative to ProbeInterval and SuspicionTimeout.
const (
	// directProbePeriods is the part of ProbeInterval after which a probe without an answer is continued by indirect probes: the rest
	// leaves them the same time again.
	directProbePeriods  = 0.4
	indirectProbeRelays = 3 // members asked for an indirect probe (SWIM's k); at 5% packet loss all three fail in about one of 150 cases
	// unconfirmedSuspicionFactor times SuspicionTimeout pass before a death is declared that no other member has confirmed: a balancer
	// whose own links are bad, or that receives nothing, takes longer to declare others dead.
	unconfirmedSuspicionFactor = 2
	// fullConfirmations is the number of confirmations beyond the first suspicion at which its timeout is shortest; as many as
	// indirectProbeRelays.
	fullConfirmations = 3
	// maxLocalHealth bounds the doubt of a balancer that gets no answers in its own links (Lifeguard's local health): its
	// timeouts are up to 1+maxLocalHealth times as long.
	maxLocalHealth = 2
	// reconnectPeriods times ProbeInterval pass between attempts to reach a member held dead, or a seed address.
	reconnectPeriods = 4
	// exchangePeriods times ProbeInterval pass between two exchanges of bucket digests, of a few hundred bytes each, while views differ.
	exchangePeriods = 2
	// baseTransmissions plus the binary logarithm of the fleet's size is how often an update is sent, received repetitions
	// included. With a base of 2, gossip missed one view in a hundred, which got the update seconds later by a table; with
	// a base of 4 it misses one in some thousand.
	baseTransmissions = 4
	// manyUpdates queued at once, as when a whole fleet starts, would use up the budget: beyond this number updates are sent less
	// often and the exchange of tables does more of the work.
	manyUpdates = 64
	// gossipFanout is the number of members to which updates are sent in each round, every directProbePeriods of a period, in
	// addition to those in probes and answers.
	gossipFanout      = 2
	newcomerReferrals = 4 // members whose records a newcomer gets at once
	// maxSuspectProbes bounds the suspects that are probed again in one period.
	maxSuspectProbes = 4
	// deadRetention is how long dead members are remembered: a network partition may last for days.
	deadRetention     = 7 * 24 * time.Hour
	maxRecordRequests = 4096 // processes whose records were requested within the last period
	// maxPendingProbes bounds the probes in progress, the probes for other members and the queue of urgent probes: each may have to
	// hold all members of a fleet at once.
	maxPendingProbes             = 4096
	maxRecordRequestsPerDatagram = 64 // record requests in one datagram; further ones go in further datagrams
	// burstSeconds is how many seconds of GossipBytesPerSecond may be used at once. Three partitions of 400 members that rejoin have 400
	// processes to report, some 60 KB for each balancer: at 3 KB per second their views agreed after 7.5 s with a burst of 12 s
	// and after 3.8 s with one of 24 s.
	burstSeconds = 24
)

// MaxDatagramBytes bounds the size of a datagram in bytes, so that it passes any link without fragmentation.
const MaxDatagramBytes = 1200

// headerBytes bounds the fixed part of every datagram: the 22 bytes of framing, and a map with kind, sender, counter, time,
// receiver, sequence number and digest.
const headerBytes = 81

func (r StateUpdate) size() int {
	if r.Suspector == 0 {
		return 17
	}
	return 25
}

func (r Record) size() int { return 40 + len(r.Name) + len(r.Zone) }

// recordRequestBytes is the encoded size of a request for a record.
const recordRequestBytes = 9

// Size returns an upper bound of the size of the message as a datagram.
func (m *Message) Size() int {
	n := headerBytes + recordRequestBytes*len(m.RecordRequests)
	if m.Inc > 0 {
		n += 6
	}
	if len(m.BucketDigests) > 0 {
		n += 4 + 5*len(m.BucketDigests)
	}
	if m.WantedBuckets != 0 {
		n += 10
	}
	if m.Target != 0 {
		n += 10
	}
	if m.TargetAddr.IsValid() {
		n += 21
	}
	if m.WantTable || m.WantRecords {
		n += 2
	}
	if len(m.Updates)+len(m.Records)+len(m.RecordRequests) > 0 {
		n += 3 * 3 // the headers of the lists
	}
	for _, r := range m.Updates {
		n += r.size()
	}
	for _, r := range m.Records {
		n += r.size()
	}
	return n
}

// MaxNameBytes bounds the length of names and zones in bytes.
const MaxNameBytes = 64

// isValid reports whether a record can be that of a member.
func (r Record) isValid() bool {
	return r.Life != 0 && r.Name != "" && len(r.Name) <= MaxNameBytes && len(r.Zone) <= MaxNameBytes &&
		IsUsableAddr(r.Addr)
}

// IsUsableAddr reports whether a balancer can be reached at an address.
func IsUsableAddr(a netip.AddrPort) bool {
	return a.IsValid() && a.Port() != 0 && !a.Addr().IsUnspecified() && !a.Addr().IsMulticast() && a.Addr().Zone() == ""
}

// hash mixes the bits of a process identifier for the digest (the finaliser of splitmix64).
func (l ProcessID) hash() uint64 {
	x := uint64(l)
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// bitLength returns the number of bits needed to represent n, and at least 1.
func bitLength(n int) int { return max(1, bits.Len(uint(n))) }
