package policy

// Nanos is a time in nanoseconds: a span, or an instant on the clock of Environment.Now.
type Nanos int64

const (
	Millisecond Nanos = 1_000_000
	Second      Nanos = 1_000_000_000
)

type (
	RequestID   string // id of one request; a client retry has a new one
	HostID      string // id of a cache host, or of the origin where it is listed
	Key         string // cache key of a request; empty if it has none
	TimerID     string // passed to Environment.SetTimer and returned by Balancer.TimerFired
	Product     int    // index in Config.Products
	Customer    int    // index in Config.Customers
	Zone        int
	MachineKind int // kind of machine
	Cell        int
)

// Environment is the interface through which a Balancer acts: its clock, timers and actions. A call to it takes effect at once.
type Environment interface {
	Now() Nanos
	// Send makes an attempt. Both times are instants on the clock of Now: the attempt ends at its deadline at the
	// latest, and from latestStart on it must not be sent any more.
	Send(request RequestID, to HostID, deadline, latestStart Nanos)
	Cancel(request RequestID, attempt int)
	RateLimit(request RequestID, retryAfter Nanos) // a final answer that promises that a retry is harmless
	Error(request RequestID)                       // a final answer that promises nothing
	Subscribe()                                    // requests the host list from discovery; the answer is reported by ApplyList
	SetTimer(after Nanos, id TimerID)
}

// Outcome is how an attempt ended.
type Outcome int

const (
	Fulfilled         Outcome = iota
	Errored                   // the receiver answered with an error; the request may have run
	Rejected                  // the receiver was full and did not run the request
	TimedOut                  // no answer by the deadline
	ConnectFailed             // no connection, or it broke before the request was completely written
	Reset                     // the connection broke after that and before a complete answer
	Cancelled                 // cancelled after the request was completely written
	NeverSent                 // ended before the request was completely written, for a reason other than the receiver
	CacheMiss                 // the cache host does not have the key
	MalformedAnswer           // the answer is malformed; the request may have run
	UnprovenRejection         // a refusal without an id that may belong to an earlier attempt; the request may have run
	Unknown
)

// Effect states whether a request may run twice.
type Effect int

const (
	Idempotent    Effect = iota // any number of times
	Deduplicated                // cache hosts recognise and drop repeats within ProductConfig.DedupWindow
	NonIdempotent               // never
)

// DedupScope is the set of cache hosts that recognise and drop repeats of a deduplicated request.
type DedupScope int

const (
	DedupScopeAll DedupScope = iota
	DedupScopeZone
	DedupScopeCell
)

// Condition is the state of a host in the host list.
type Condition int

const (
	Up       Condition = iota
	Draining           // gets nothing new and finishes what it has
	Gone               // not in the list any more
)

// ListKind is how a host list is applied.
type ListKind int

const (
	ListUpdate      ListKind = iota // changed entries
	ListReplace                     // a complete list
	ListRestored                    // a complete list from before the start, which may be outdated; may be empty
	ListHandedOver                  // a complete list that another process keeps current until this one asks for lists itself; may be empty
	ListUnavailable                 // no list: a request to discovery has failed
)

// HostEntry is one line of the host list.
type HostEntry struct {
	HostID      HostID
	Zone        Zone
	Kind        MachineKind
	Cell        Cell
	Condition   Condition
	Size        float64
	ListedStart Nanos // last start by the clock of the list, 0: long ago; a different value means a different process
	LocalStart  Nanos // the same on the clock of Environment.Now; 0: the list uses that clock
}

// Request is a request as it arrives at the balancer.
type Request struct {
	ID          RequestID
	Customer    Customer
	Product     Product
	Key         Key
	Write       bool
	ClientRetry bool  // a client retry, where clients mark them
	Deadline    Nanos // instant on the clock of Environment.Now at which the client gives up

	ValueArriving bool  // a long write whose value the client still writes; WriteReceived follows
	ExpectedWork  Nanos // expected processing time on a standard core; 0: not known
}

// LoadReport is the load report of a cache host, which is delayed and approximate. Values that are not reported are
// negative.
type LoadReport struct {
	InProgress     float64 // requests in progress
	Utilisation    float64 // share of its cores in use
	ServiceSeconds float64 // recent mean duration of a request without waiting, in seconds
}

// AttemptResult is the result of one attempt.
type AttemptResult struct {
	RequestID RequestID
	Attempt   int
	Final     bool // the request has its final answer
	Outcome   Outcome
	Duration  Nanos
	HostID    HostID
	Load      *LoadReport // received with the answer; nil: none
}

// ProductConfig is the configuration of a product.
type ProductConfig struct {
	LatencySLO        Nanos
	BilledValue       float64
	LateValueFraction float64 // share of the billed value that an answer after the SLO still earns
	Effect            Effect
	DedupScope        DedupScope
	DedupWindow       Nanos // in which repeats of a deduplicated request are recognised
}

// CustomerConfig is the configuration of a customer.
type CustomerConfig struct {
	QuotaPerSecond float64 // quota at all balancers together, in requests per second
}

// Config is the configuration of a balancer, fixed at its start.
type Config struct {
	Balancers            int
	Zone                 Zone
	Products             []ProductConfig
	Customers            []CustomerConfig
	MustSubscribe        bool        // the balancer has to request the host list by Environment.Subscribe
	CacheAside           bool        // cache hosts report misses and take no writes; the balancer asks the origin
	OriginKind           MachineKind // -1: the origin is not listed
	MayCancel            bool        // attempts may be cancelled
	MaxAttempts          int         // for each request
	MaxRetryAfter        Nanos       // longest wait that clients honour; 0: they ignore it
	SizesFollowLoad      bool        // listed sizes follow the load
	IgnoreSizes          bool        // listed sizes are ignored, all hosts count as equal
	ColdCapacityFraction float64     // share of its capacity that a host has right after its start
	WarmUpTime           Nanos       // from a host's start until it has its full capacity
	OverloadMultiple     float64     // a host is overloaded by this multiple of its capacity ...
	OverloadWindow       Nanos       // ... within this time
	SubscribeInterval    Nanos       // interval of requests to discovery
	IdleConnectionLife   Nanos       // life of an idle connection; 0: not known
	TimerGranularity     Nanos       // granularity of timers
	CrossZoneCost        float64     // cost of a cross-zone attempt, as a fraction of the billed value of a request
	OriginFetchCost      float64     // cost of a fetch from the origin, likewise
}
