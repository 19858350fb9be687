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

// Life identifies one process: its start time in milliseconds, then random bits. Of two processes under one name the one
// with the greater Life is the newer.
type Life uint64

const randomBits = 22

// NewLife makes the identifier of a process started at a Unix time in milliseconds.
func NewLife(bornMs int64, random uint64) Life {
	return Life(uint64(bornMs)<<randomBits | random&(1<<randomBits-1))
}

// Inc is SWIM's incarnation number: it counts how often a process has refuted a suspicion or death reported of it. Only the
// process itself raises it.
type Inc uint32

// MostInc bounds the incarnation that a message may contain.
const MostInc Inc = 1 << 30

// State is what a view holds of a process. Of two states at the same incarnation the greater one takes precedence.
type State uint8

const (
	Alive State = iota
	Suspected
	Dead
	Left // left gracefully; final: no incarnation brings this process back
	// Asked occurs only in gossip: some member holds this process dead at this incarnation. It changes no view; the process
	// itself refutes it.
	Asked
)

func (s State) String() string {
	return [...]string{"alive", "suspected", "dead", "left", "asked"}[min(s, Asked)]
}

// isPresent reports whether a process in this state counts as part of the fleet.
func (s State) isPresent() bool { return s < Dead }

// Record is a process's identity and address, with its incarnation.
type Record struct {
	Life       Life
	Inc        Inc
	Name, Zone string
	Addr       netip.AddrPort
}

// Rumour is an update on the state of a process whose record the receiver is assumed to have.
type Rumour struct {
	Life  Life
	Inc   Inc
	State State
	By    Life // of a suspicion: the process that got no answer
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
	Ping   Kind = 1 + iota // requires an Ack
	Ack                    // answers the Ping or the Ask with this Seq: Target is alive
	Ask                    // indirect probe: requests that the receiver ping Target; requires an Ack or a Nack
	Nack                   // answers an Ask: Target did not answer the receiver of the Ask either
	Gossip                 // contains updates, records and requests for records; requires no answer
	Table                  // a part of the sender's view; a death in it leads to a probe and not directly to a change of state
	Rival                  // the sender has the receiver's name and has stopped taking part
	Sums                   // the sender's digests by bucket; requires a Table of the buckets that differ, which in turn requests the sender's
)

// Message is the content of one datagram. From and Inc are always the sender's.
type Message struct {
	Kind       Kind
	From, To   Life // To is 0 where the sender knows only an address
	Inc        Inc
	Seq        uint32
	Digest     uint64 // of the processes present in the sender's view
	Target     Life
	TargetAddr netip.AddrPort
	Back       bool   // Ping, Table: requests the receiver's table
	Full       bool   // with Back: requests the whole table, with the records
	Mask       uint64 // with Back: the buckets requested
	Sums       []uint32
	Rumours    []Rumour
	Records    []Record
	Wants      []Life // processes whose records the sender lacks
}

// Send is a message with the address it goes to.
type Send struct {
	To  netip.AddrPort
	Msg Message
}

// Event is a change in this view, or a fault of this balancer itself.
type Event struct {
	What     string // state, stalled, name-taken, name-shared, situation, refuted, verdict
	Name     string
	Life     Life
	From, To State
	Cause    string
}

// Situation summarises how much of the fleet this balancer sees.
type Situation uint8

const (
	Whole    Situation = iota // as many members as expected, or more
	Part                      // fewer than expected, but more than half
	Minority                  // half of the expected members or fewer
	Alone                     // no other member
	Unsure                    // this process stalled, gets no answers, or lost its name to another process
)

func (s Situation) String() string {
	return [...]string{"whole", "part", "minority", "alone", "unsure"}[s]
}

// Terms is the configuration of a Machine, fixed for the life of the process.
type Terms struct {
	Self     Record
	Expected int                       // number of balancers in the fleet, including this one
	Seeds    []netip.AddrPort          // addresses contacted first
	Via      map[string]netip.AddrPort // addresses, by name, of members that are not reached at their own address
	Period   time.Duration             // time between two probes
	Suspect  time.Duration             // time from a suspicion to the declaration of death, once enough other members have confirmed it
	Budget   int                       // bytes per second for everything other than probes and their answers
	Most     int                       // largest number of members known, including dead ones
	Seed     uint64
}

// Constants of the protocol, relative to Period and Suspect.
const (
	// directProbePeriods is the part of Period after which a probe without an answer is continued by indirect probes: the rest
	// leaves them the same time again.
	directProbePeriods  = 0.4
	indirectProbeRelays = 3 // members asked for an indirect probe (SWIM's k); at 5% packet loss all three fail in about one of 150 cases
	// unconfirmedSuspicionFactor times Suspect pass before a death is declared that no other member has confirmed: a balancer
	// whose own links are bad, or that receives nothing, takes longer to declare others dead.
	unconfirmedSuspicionFactor = 2
	fullConfirmations          = 3 // confirmations beyond the first suspicion at which its timeout is shortest; as many as indirectProbeRelays
	// maxLocalHealth bounds the doubt of a balancer that gets no answers in its own links (Lifeguard's local health): its
	// timeouts are up to 1+maxLocalHealth times as long.
	maxLocalHealth = 2
	// reconnectPeriods times Period pass between attempts to reach a member held dead, or a seed address.
	reconnectPeriods = 4
	// exchangePeriods times Period pass between two exchanges of bucket digests, of a few hundred bytes each, while views differ.
	exchangePeriods = 2
	// baseTransmissions plus the binary logarithm of the fleet's size is how often an update is sent, received repetitions
	// included. With a base of 2, gossip missed one view in a hundred, which learnt of the update seconds later by a table; with
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
	deadRetention       = 7 * 24 * time.Hour
	maxRecordRequests   = 4096 // processes whose records were requested within the last period
	maxPendingProbes    = 4096 // bounds the probes in progress, the probes for others and the queue of urgent probes: a whole fleet may be waiting at once
	maxWantsPerDatagram = 64   // record requests in one datagram; further ones go in further datagrams
	// burstSeconds is how many seconds of Budget may be used at once. Three partitions of 400 members that rejoin have 400
	// processes to report, some 60 KB for each balancer: at 3 KB per second their views agreed after 7.5 s with a burst of 12 s
	// and after 3.8 s with one of 24 s.
	burstSeconds = 24
)

// MostDatagram bounds the size of a datagram in bytes, so that it passes any link without fragmentation.
const MostDatagram = 1200

// headerBytes bounds the fixed part of every datagram: the 22 bytes of framing, and a map with kind, sender, counter, time,
// receiver, sequence number and digest.
const headerBytes = 81

func (r Rumour) size() int {
	if r.By == 0 {
		return 17
	}
	return 25
}

func (r Record) size() int { return 40 + len(r.Name) + len(r.Zone) }

const wantBytes = 9

// Size returns an upper bound of the size of the message as a datagram.
func (m *Message) Size() int {
	n := headerBytes + wantBytes*len(m.Wants)
	if m.Inc > 0 {
		n += 6
	}
	if len(m.Sums) > 0 {
		n += 4 + 5*len(m.Sums)
	}
	if m.Mask != 0 {
		n += 10
	}
	if m.Target != 0 {
		n += 10
	}
	if m.TargetAddr.IsValid() {
		n += 21
	}
	if m.Back || m.Full {
		n += 2
	}
	if len(m.Rumours)+len(m.Records)+len(m.Wants) > 0 {
		n += 3 * 3 // the headers of the lists
	}
	for _, r := range m.Rumours {
		n += r.size()
	}
	for _, r := range m.Records {
		n += r.size()
	}
	return n
}

// MostName bounds the length of names and zones in bytes.
const MostName = 64

// isValid reports whether a record can be that of a member.
func (r Record) isValid() bool {
	return r.Life != 0 && r.Name != "" && len(r.Name) <= MostName && len(r.Zone) <= MostName &&
		Usable(r.Addr)
}

// Usable reports whether a balancer can be reached at an address.
func Usable(a netip.AddrPort) bool {
	return a.IsValid() && a.Port() != 0 && !a.Addr().IsUnspecified() && !a.Addr().IsMulticast() && a.Addr().Zone() == ""
}

// hash mixes the bits of a process identifier for the digest (the finaliser of splitmix64).
func (l Life) hash() uint64 {
	x := uint64(l)
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// bitLength returns the number of bits needed to represent n, and at least 1.
func bitLength(n int) int { return max(1, bits.Len(uint(n))) }
