package policy

// Nanos is a time in nanoseconds: a span, or an instant on the clock of Host.Now.
type Nanos int64

const (
	Millisecond Nanos = 1_000_000
	Second      Nanos = 1_000_000_000
)

type (
	CallID   string // id of one request; a client retry has a new one
	CacheID  string // id of a cache host, or of the origin where it is listed
	Key      string // cache key of a request; empty if it has none
	TimerID  string // passed to Host.SetTimer and returned by Balancer.TimerFired
	Product  int    // index in Terms.Products
	Customer int    // index in Terms.Customers
	Zone     int
	Kind     int // kind of machine
	Cell     int
)

// Host is the environment of a Balancer: its clock, timers and actions. A call to it takes effect at once.
type Host interface {
	Now() Nanos
	// Send makes an attempt. Both times are instants on the clock of Now: the attempt ends at its deadline at the
	// latest, and from latestStart on it must not be sent any more.
	Send(request CallID, to CacheID, deadline, latestStart Nanos)
	Cancel(request CallID, attempt int)
	RateLimit(request CallID, retryAfter Nanos) // a final answer that promises that a retry is harmless
	Error(request CallID)                       // a final answer that promises nothing
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
	Spoilt // the answer is malformed; the request may have run
	Unknown
)

// Effect states whether a request may run twice.
type Effect int

const (
	Idempotent Effect = iota
	Deduplicated
	NonIdempotent
)

// Group is the set of cache hosts that recognise and drop repeats of a deduplicated request.
type Group int

const (
	GroupAll Group = iota
	GroupZone
	GroupCell
)

// Condition is the state of a host in the host list.
type Condition int

const (
	Up Condition = iota
	Draining
	Gone
)

// ListKind is how a host list is applied.
type ListKind int

const (
	ListUpdate ListKind = iota
	ListReplace
	ListRestored
	ListUnavailable
)

// Entry is one line of the host list.
type Entry struct {
	Cache     CacheID
	Zone      Zone
	Kind      Kind
	Cell      Cell
	Condition Condition
	Size      float64
	Born      Nanos // last start by the clock of the list, 0: long ago; a different value means a different process
	Started   Nanos // the same on the clock of Host.Now; 0: the list uses that clock
}

// Call is a request as it arrives at the balancer.
type Call struct {
	ID       CallID
	Customer Customer
	Product  Product
	Key      Key
	Write    bool
	Repeat   bool  // a client retry, where clients mark them
	Deadline Nanos // instant on the clock of Host.Now at which the client gives up
	Work     Nanos // expected processing time on a standard core; 0: not known
}

// Load is the load report of a cache host, which is delayed and approximate. Values that are not reported are
// negative.
type Load struct {
	InHand float64 // requests in progress
	Busy   float64 // share of its cores in use
	Took   float64 // recent mean duration of a request without waiting, in seconds
}

// Ending is the result of one attempt.
type Ending struct {
	Call    CallID
	Attempt int
	Final   bool // the request has its final answer
	Outcome Outcome
	Took    Nanos
	Cache   CacheID
	Load    *Load // received with the answer; nil: none
}

// ProductTerms is the configuration of a product.
type ProductTerms struct {
	LatencySLO   Nanos
	BilledValue  float64
	OverdueValue float64 // share of the billed value that an answer after the SLO still earns
	Effect       Effect
	Group        Group
	Window       Nanos // in which repeats of a deduplicated request are recognised
}

// CustomerTerms is the configuration of a customer.
type CustomerTerms struct {
	AllowancePerS float64 // quota at all balancers together, in requests per second
}

// Terms is the configuration of a balancer, fixed at its start.
type Terms struct {
	Balancers     int
	Zone          Zone
	Products      []ProductTerms
	Customers     []CustomerTerms
	MustSubscribe bool    // the balancer has to request the host list by Host.Subscribe
	Aside         bool    // cache hosts report misses and take no writes; the balancer asks the origin
	OriginKind    Kind    // -1: the origin is not listed
	MayCancel     bool    // attempts may be cancelled
	MostAttempts  int     // for each request
	MaxComeBack   Nanos   // longest wait that clients honour; 0: they ignore it
	LiveSizes     bool    // listed sizes follow the load
	SizesEqual    bool    // listed sizes are ignored, all hosts count as equal
	ColdFrom      float64 // share of its capacity that a host has right after its start
	RampTime      Nanos   // from a host's start until it has its full capacity
	FallMultiple  float64 // a host is overloaded by this multiple of its capacity ...
	FallWindow    Nanos   // ... within this time
	AskEvery      Nanos   // interval of requests to discovery
	KeepAlive     Nanos   // life of an idle connection; 0: not known
	Tick          Nanos   // granularity of timers
	CrossPrice    float64 // cost of a cross-zone attempt, as a fraction of the billed value of a request
	FetchPrice    float64 // cost of a fetch from the origin, likewise
}
