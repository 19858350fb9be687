// Package member keeps each balancer's view of the other balancers of its fleet. It is a state machine without I/O, clock
// or goroutine: moments and messages come in, messages and events go out, and chance is a seed's. docs/notes/members.md has
// the protocol, what can fail and the bounds.
package member

import (
	"math/bits"
	"net/netip"
	"time"
)

// Moment is a time on this process's own steady clock; only differences mean anything.
type Moment = time.Duration

// Life marks one process: the milliseconds of its birth, then chance. Of two lives under one name the greater is the newer.
type Life uint64

const chanceBits = 22

// NewLife makes the mark of a process born at a moment of Unix time.
func NewLife(bornMs int64, chance uint64) Life {
	return Life(uint64(bornMs)<<chanceBits | chance&(1<<chanceBits-1))
}

// Inc counts how often a life has contradicted what was said of it. Only the life itself raises it.
type Inc uint32

// MostInc bounds what others may say.
const MostInc Inc = 1 << 30

// State is what a view holds of a life. At one incarnation the greater one holds.
type State uint8

const (
	Alive State = iota
	Suspected
	Dead
	Left // in order, for good: no incarnation brings this life back
	// Asked is only in rumours: somebody holds this life dead at the incarnation. It changes no view; the life itself answers.
	Asked
)

func (s State) String() string {
	return [...]string{"alive", "suspected", "dead", "left", "asked"}[min(s, Asked)]
}

// present tells that a life counts as one of the fleet.
func (s State) present() bool { return s < Dead }

// Record is what is fixed of a life.
type Record struct {
	Life       Life
	Inc        Inc
	Name, Zone string
	Addr       netip.AddrPort
}

// Rumour is what is said of a life that the hearer is taken to know.
type Rumour struct {
	Life  Life
	Inc   Inc
	State State
	By    Life // of a suspicion: who got no answer
}

// buckets are those in which lives are counted, so that two views which differ in a few find these at the cost of a datagram.
const (
	buckets    = 64
	allBuckets = 1<<buckets - 1
)

// Kind is what a message is for.
type Kind uint8

const (
	Ping   Kind = 1 + iota // Ack is owed
	Ack                    // to the Ping or the Ask with this Seq; Target lives
	Ask                    // look at Target for me: Ack or Nack is owed
	Nack                   // Target did not answer me either
	Gossip                 // carries rumours, records, wants; nothing is owed
	Table                  // a part of all that the sender holds; a death in it is a reason to look, not a verdict
	Rival                  // the sender has your name and stands aside
	Sums                   // the sender's digest by buckets; its table is owed for those that differ, and with Back yours
)

// Message is one datagram's content. Every message tells From and Inc, the sender's own.
type Message struct {
	Kind       Kind
	From, To   Life // To is 0 where the sender knows only an address
	Inc        Inc
	Seq        uint32
	Digest     uint64 // of the lives present in the sender's view
	Target     Life
	TargetAddr netip.AddrPort
	Back       bool   // Ping, Table: the hearer's table is wanted
	Full       bool   // with Back: all of it, with the records
	Mask       uint64 // with Back: of these buckets
	Sums       []uint32
	Rumours    []Rumour
	Records    []Record
	Wants      []Life // records that the sender lacks
}

// Send is a message for an address.
type Send struct {
	To  netip.AddrPort
	Msg Message
}

// Event is a change in this view, or a fault of this balancer's own.
type Event struct {
	What     string // state, stalled, name-taken, name-shared, situation
	Name     string
	Life     Life
	From, To State
	Cause    string
}

// Situation says in one word how much of the fleet this balancer sees.
type Situation uint8

const (
	Whole    Situation = iota // as many as expected, or more
	Part                      // fewer, and more than half
	Minority                  // half or fewer
	Alone                     // nobody else
	Unsure                    // it was itself stalled, hears no answers, or another process has its name
)

func (s Situation) String() string {
	return [...]string{"whole", "part", "minority", "alone", "unsure"}[s]
}

// Terms are fixed for a process.
type Terms struct {
	Self     Record
	Expected int                       // balancers of the fleet, this one too
	Seeds    []netip.AddrPort          // asked first
	Via      map[string]netip.AddrPort // where a member is reached from here, if not at its own address
	Period   time.Duration             // between looks at members
	Suspect  time.Duration             // from a suspicion to the death that follows, with witnesses enough
	Budget   int                       // bytes a second for what goes beyond looks and their answers
	Most     int                       // members known, dead ones too
	Seed     uint64
}

// What follows from Period and Suspect.
const (
	// directPart is the part of a period after which others are asked: it leaves as much again for their answers.
	directPart = 0.4
	relays     = 3 // asked for a look; SWIM's k. With 5% loss three fail together once in 150 times
	// aloneTimes Suspect passes without one other witness before a death: a balancer whose own links are bad, or that hears
	// nobody, is slower to judge than one that others bear out.
	aloneTimes = 2
	witnesses  = 3 // beyond the first after which a suspicion is at its shortest; those asked for a look are as many
	// worstHealth is how far a balancer that gets no answers doubts itself: it waits so many times longer, and once.
	worstHealth = 2
	// contactTimes Period pass between tries to reach one who is dead here, or an address to ask first.
	contactTimes = 4
	// exchangeTimes Period pass between comparisons of buckets where views stay unlike, of some hundred bytes each.
	exchangeTimes = 2
	// repeatsBy and the binary logarithm of the fleet is how often a rumour is passed on, or heard again from others. With 2
	// one view in a hundred was missed and learnt it by a table, seconds later; with 4 one in some thousand.
	repeatsBy = 4
	// manyRumours at once, as when a whole fleet starts, would take all the budget: then tables do more of it.
	manyRumours = 64
	// gossipFan members hear of rumours at a time, directPart of a period apart, beyond what goes with looks.
	gossipFan = 2
	referred  = 4 // members that a newcomer is told of at once
	// looksAgain is how many suspects are looked at again in one period.
	looksAgain = 4
	// keepDead is how long the dead are remembered: two sides may be apart for days.
	keepDead  = 7 * 24 * time.Hour
	mostAsked = 4096 // lives whose records were asked for just now
	mostWait  = 4096 // of those to be looked at out of turn, of looks at them and of looks for others: a whole fleet may wait at once
	wantsOnce = 64   // wants of records in one datagram; more go in further ones
	// burstFor is how many seconds' budget may go at once. Three sides of 400 that find each other again have 400 lives to
	// tell of, some 60 KB a balancer: with 12 s of 3 KB they were equal after 7.5 s, with 24 after 3.8.
	burstFor = 24
)

// MostDatagram bounds a datagram; it passes any link whole.
const MostDatagram = 1200

// headBytes bounds what every datagram has: the frame's 22, a map with kind, sender, count, time, hearer, number and digest.
const headBytes = 81

func (r Rumour) size() int {
	if r.By == 0 {
		return 17
	}
	return 25
}

func (r Record) size() int { return 40 + len(r.Name) + len(r.Zone) }

const wantBytes = 9

// Size bounds the message as it is sent.
func (m *Message) Size() int {
	n := headBytes + wantBytes*len(m.Wants)
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
		n += 3 * 3 // the lists' heads
	}
	for _, r := range m.Rumours {
		n += r.size()
	}
	for _, r := range m.Records {
		n += r.size()
	}
	return n
}

// MostName bounds names and zones.
const MostName = 64

// sound tells that a record can be one of this fleet's.
func (r Record) sound() bool {
	return r.Life != 0 && r.Name != "" && len(r.Name) <= MostName && len(r.Zone) <= MostName &&
		Usable(r.Addr)
}

// Usable tells that a balancer can be reached at an address.
func Usable(a netip.AddrPort) bool {
	return a.IsValid() && a.Port() != 0 && !a.Addr().IsUnspecified() && !a.Addr().IsMulticast() && a.Addr().Zone() == ""
}

// mix spreads a life's bits for the digest (the finaliser of splitmix64).
func (l Life) mix() uint64 {
	x := uint64(l)
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// log2 is the binary logarithm, rounded up, and one at least.
func log2(n int) int { return max(1, bits.Len(uint(n))) }
