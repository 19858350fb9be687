// Package record holds what clients, stand-ins and the register saw in a rehearsal. The judge and the report read
// nothing else; what a balancer says of itself does not enter. Moments are counted from the start of the day on a
// monotonic clock.
package record

import (
	"fmt"
	"sync"
	"time"
)

// Reply is what a client got for a request.
type Reply int

const (
	None        Reply = iota // nothing until its time was up
	Fulfilled                // the value or the receipt made for this request
	RateLimited              // trying again is harmless
	Errored                  // promises nothing
	Wrong                    // something else than what was made for it
	Closed                   // the connection ended with no whole answer
	CutShort                 // it ended within a value that had begun
)

func (r Reply) String() string {
	return [...]string{"no answer", "fulfilled", "rate-limited", "errored", "wrong answer", "closed without answer", "cut short"}[r]
}

// Call is one try of a client.
type Call struct {
	ID, Base  string // Base: the first try's id
	Try       int    // 1 for the first
	Tenant    int
	Product   int
	Key, Mark string
	Once      bool // nobody else wants its key
	Balancer  int
	Due       time.Duration // it was to be sent
	Sent      time.Duration // its last byte was written
	Timeout   time.Duration // its client leaves then
	Answered  time.Duration // the last byte of its final answer; 0: none
	Ended     time.Duration // with Closed: when its connection was found closed
	Reply     Reply
	ComeBack  time.Duration // that came with a rate-limited answer
	Extra     int           // further answers after the final one
	Excused   bool          // the balancer was killed, or ended in order, with it in hand
	Crossed   int           // times that it met a connection which the balancer had closed while it rested
	NotTaken  bool          // no balancer took it: no connection came up
}

// Proof is what an answer to an attempt proves.
type Proof int

const (
	Nothing   Proof = iota // it may have run
	NeverRan               // turned away
	Missed                 // a read that found nothing
	WasServed              // a value or a receipt
)

// Attempt is one command of a balancer as a server saw it.
type Attempt struct {
	Call       string
	Balancer   int
	Server     string        // a node or Gateway
	Began      time.Duration // its first byte was read
	Came       time.Duration // its last byte was read
	Told       time.Duration // that its balancer will wait, as it says; 0: nothing
	Ended      time.Duration // its answer was written, or its connection ended; 0: still out at the end of the day
	Proof      Proof
	Answered   bool // an answer was written whole
	Ran        bool // its work was done, whoever still waited for it
	Cold       bool // the server still warmed
	Work       time.Duration
	Write      bool
	Swallowed  bool   // the link lost it on the way: it reached no server
	Untimed    bool   // swallowed, some time between Came and Ended
	Unexpected string // what no client asked for in this form
}

// Gateway is the server id of the gateway.
const Gateway = "gateway"

// Told is a change of the list as one balancer was told of it.
type Told struct {
	Balancer int
	Node     string
	Up       bool // wants work
	ByHand   bool // operators took it out or put it back, whatever the list says
	At       time.Duration
}

// Effect is one write that the gateway applied.
type Effect struct {
	Call, Mark string
	At         time.Duration
}

// Fall is a cold node pushed over, or a stop of the gateway.
type Fall struct {
	Server   string
	At       time.Duration
	Multiple float64 // of what it could do
}

// Life is a time in which a balancer ran.
type Life struct {
	Balancer   int
	Start, End time.Duration
	Ready      time.Duration // it first answered; 0: never
	Ordered    bool          // its end was ordered by the day
	Exit       int
	PeakMB     float64
	Sockets    int // most at a look
	CPU        time.Duration
}

// Band is a fault as it was played.
type Band struct {
	Text     string
	From, To time.Duration
}

// Dark is a time in which connections of a balancer to some server did not come up, which nobody but the balancer sees.
type Dark struct {
	Balancer int
	From, To time.Duration // To 0: to the end
}

// Upgrade is a time in which two processes were one balancer.
type Upgrade struct {
	Balancer int
	From, To time.Duration // the newer one was ready; the older one had ended
	Ready    time.Duration // that the newer one took, 0: it never was
}

// Opening counts connections that a server took.
type Opening struct {
	Server   string
	Balancer int
	At       time.Duration
	Refused  bool
}

// Rude is one client that sent nonsense.
type Rude struct {
	What     string
	Answered bool // it was given an error or a close in time
	Served   bool // it was given a value
}

// Door is one call of the operators.
type Door struct {
	What string
	At   time.Duration
	Took time.Duration
	Yes  bool
}

// MateLife is a time in which a balancer spoke with the others under one life.
type MateLife struct {
	Balancer int
	Life     string
	From, To time.Duration // To 0: to the end
}

// Stall is a time in which a balancer stood still, or shared its name with another process.
type Stall struct {
	Balancer int
	From, To time.Duration
	Twin     int // the other one of the name, counted from 1; 0: it stood still
}

// MateCut is a time in which the way from one balancer to another lost everything, or came and went.
type MateCut struct {
	From, To   int
	Begin, End time.Duration
}

// View is what a balancer told at its door of the others.
type View struct {
	Balancer                int
	At                      time.Duration
	Life, Situation, Digest string
	Rival                   bool // it tells of another process under its name
	Mates                   []Mate
}

// Mate is one line of a view.
type Mate struct{ Name, Life, State string }

// Present tells that the view counts it as one of the fleet.
func (m Mate) Present() bool { return m.State == "alive" || m.State == "suspected" }

// Part is what a balancer told at its door of one limit; of those that are looked at together At is nearly the same.
type Part struct {
	Balancer    int
	At          time.Duration
	Limit       string
	Part        float64 // of the whole, that it may use
	Need, Bound float64
	Exact       bool // all were looked at in the same moment
}

// Talk is how many bytes a balancer had sent to the others by then.
type Talk struct {
	Balancer int
	At       time.Duration
	Bytes    int64
}

// MateName is how a balancer of the kit is called.
func MateName(balancer int) string { return fmt.Sprintf("b%d", balancer+1) }

// Record is all that was seen. Add and its kin are safe for concurrent use; the fields may be read once all is over.
type Record struct {
	mu       sync.Mutex
	Calls    []Call
	Attempts []Attempt
	Tolds    []Told
	Effects  []Effect
	Falls    []Fall
	Lives    []Life
	Bands    []Band
	Openings []Opening
	Darks    []Dark
	Rudes    []Rude
	Upgrades []Upgrade
	Doors    []Door
	Views    []View
	Stalls   []Stall
	MateCuts []MateCut
	Mates    []MateLife
	Talks    []Talk
	Parts    []Part
	Strains  map[string]float64 // the highest multiple of what it could do that a server was sent
	Lates    []Late
	ColdLast map[string]time.Duration // by cold node, until when it warmed
}

// Late is a moment at which the kit itself ran late by so much.
type Late struct {
	At, By time.Duration
}

// New makes an empty record.
func New() *Record {
	return &Record{Strains: map[string]float64{}, ColdLast: map[string]time.Duration{}}
}

// Add appends to one of the record's lists: r.Add(func() { r.Attempts = append(r.Attempts, s) }).
func (r *Record) Add(change func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
}

// Strain keeps the highest multiple that a server was sent.
func (r *Record) Strain(server string, multiple float64) {
	r.Add(func() { r.Strains[server] = max(r.Strains[server], multiple) })
}

// Until is the moment of the last call.
func (r *Record) Until() (last time.Duration) {
	for i := range r.Calls {
		last = max(last, r.Calls[i].Due)
	}
	return last
}
