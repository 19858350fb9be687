package policy

// Nanos is a time in whole nanoseconds: a span, or a reading of the host's clock.
type Nanos int64

const (
	Millisecond Nanos = 1_000_000
	Second      Nanos = 1_000_000_000
)

type (
	CallID   string // one request; a client's next try has a new one
	CacheID  string // a cache host, or the origin where it is listed
	Key      string // what a request is about; empty if it names nothing
	TimerID  string // handed to Host.SetTimer and back to Balancer.SetTimer
	Product  int    // index in Terms.Products
	Customer int    // index in Terms.Customers
	Zone     int
	Kind     int // kind of machine
	Cell     int
)

// Host is all that a Balancer can do and ask. A call to it takes effect at once.
type Host interface {
	Now() Nanos
	// Send makes an attempt. Both times are instants on the clock of Now: the attempt is over at its deadline, and
	// nothing of it is sent from latestStart on.
	Send(request CallID, to CacheID, deadline, latestStart Nanos)
	Cancel(request CallID, attempt int)
	RateLimit(request CallID, retryAfter Nanos) // final; promises that a retry is harmless
	Error(request CallID)                       // final; promises nothing
	Subscribe()
	SetTimer(after Nanos, id TimerID)
}

// Outcome is how an attempt ended.
type Outcome int

const (
	Fulfilled Outcome = iota
	Errored
	TurnedAway
	TimedOut
	ConnectFailed
	Reset
	Cancelled
	NeverSent
	Missed
	Spoilt // something came that is no answer: it may have run
	Unknown
)

type Effect int

const (
	Idempotent Effect = iota
	Deduplicated
	NonIdempotent
)

// Group names the cache hosts that drop repeats of a deduplicated request.
type Group int

const (
	GroupAll Group = iota
	GroupZone
	GroupCell
)

type Condition int

const (
	Up Condition = iota
	Draining
	Gone
)

type ListKind int

const (
	ListUpdate ListKind = iota
	ListReplace
	ListRestored
	ListUnavailable
)

// Entry is one line of the list of cache hosts.
type Entry struct {
	Cache     CacheID
	Zone      Zone
	Kind      Kind
	Cell      Cell
	Condition Condition
	Size      float64
	Born      Nanos // its last start as the list tells it, 0: long ago; another one is another process
	Started   Nanos // the same on the clock of Host.Now; 0: the list has that clock
}

// Call is a request as it reaches the balancer.
type Call struct {
	ID       CallID
	Customer Customer
	Product  Product
	Key      Key
	Write    bool
	Repeat   bool  // a client's further try, where clients mark them
	Deadline Nanos // instant on the clock of Host.Now at which the client gives up this try
	Work     Nanos // what it likely takes on a standard core; 0: not told
}

// Load is what a cache host tells of itself, late and not exactly. A value that it does not tell is under zero.
type Load struct {
	InHand float64 // requests
	Busy   float64 // share of its cores
	Took   float64 // seconds that a request took lately, without waiting
}

// Ending is the outcome of one attempt.
type Ending struct {
	Call    CallID
	Attempt int
	Final   bool // the request is over
	Outcome Outcome
	Took    Nanos
	Cache   CacheID
	Load    *Load // that came with the answer; nil: none
}

type ProductTerms struct {
	LatencySLO   Nanos
	BilledValue  float64
	OverdueValue float64 // share of the billed value granted after the SLO
	Effect       Effect
	Group        Group
	Window       Nanos
}

type CustomerTerms struct {
	AllowancePerS float64 // over all balancers together
}

// Terms is what a deployment fixes for one balancer when it starts.
type Terms struct {
	Balancers     int
	Zone          Zone
	Products      []ProductTerms
	Customers     []CustomerTerms
	MustSubscribe bool
	Aside         bool // caches answer a miss and take no writes; the balancer asks the origin
	OriginKind    Kind // -1: the origin is not listed
	MayCancel     bool
	MostAttempts  int
	MaxComeBack   Nanos // 0: clients take no advice
	LiveSizes     bool  // listed sizes follow the load
	SizesEqual    bool  // listed sizes say nothing
	ColdFrom      float64
	RampTime      Nanos
	FallMultiple  float64
	FallWindow    Nanos
	AskEvery      Nanos
	KeepAlive     Nanos // an idle connection lasts so long; 0: not told
	Tick          Nanos
	CrossPrice    float64 // for an attempt that crosses zones, as a part of a request's billed value
	FetchPrice    float64 // for a fetch from the origin, likewise
}
