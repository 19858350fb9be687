// Package balancer serves clients: it takes requests from their connections, has the module decide about
// each, carries out what it orders and answers. The files follow the stages of a request: accept, read,
// decide, send, reply. Nothing here chooses where a call goes or whether it is tried again.
package balancer

import (
	"context"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"streamrail/internal/admin"
	"streamrail/internal/deployment"
	"streamrail/internal/discovery"
	"streamrail/internal/handover"
	"streamrail/internal/operator"
	"streamrail/internal/pool"
	"streamrail/internal/stall"
	"streamrail/internal/upstream"
	"streamrail/policy"
)

// Balancer is one running balancer.
type Balancer struct {
	deployment     *deployment.Deployment
	log            zerolog.Logger
	hosts          *upstream.Hosts
	epoch          time.Time    // the decisions' clock goes on from here
	epochNanos     policy.Nanos // what it shows then
	stalls         *stall.Detector
	startTimes     *startTimes
	listeningSince time.Time // no client's connection came before that

	phase              atomic.Int32
	phaseChanged       chan struct{} // a phase was ordered
	ctx                context.Context
	cancel             context.CancelFunc // of running
	listSource         listSource
	hasHostList        atomic.Bool // a list: discovery's, or one of before with a host; without any nothing can be served
	discoveryTimeouts  discovery.Timeouts
	subscribeRequested chan struct{}

	// mu guards the module, which is not concurrent, and what its orders touch. Nothing is sent, written or
	// waited for under it, and no answer waits for it: events are posted (decisions.go).
	mu       policyLock
	policy   *policy.Balancer
	now      policy.Nanos // fixed for the thing that happens
	timers   timerWheel
	requests map[policy.RequestID]*clientRequest

	requestCount atomic.Uint64
	requestIDs   idSet

	clients       *clientConns
	toIdleWorker  chan *clientRequest // is read by goroutines that rest between calls
	idleWorkers   atomic.Int64        // are so many
	capacity      resourceLimits      // what a balancer may hold
	inFlight      atomic.Int64        // requests in hand
	maxInFlight   atomic.Int64
	valueBytes    atomic.Int64 // bytes of values in hand
	maxValueBytes atomic.Int64
	traffic       trafficStats
	delays        delayStats
	answerStats   *answerStats
	upgrade       upgradeLink
	exclusions    exclusionStore
	fleet         fleetMembership
	limitShares   *limitShares         // nil: parts of what holds for the fleet are equal ones
	fleetOrders   *exclusionOrders     // nil: orders by hand hold here alone
	observations  *observationExchange // nil: hosts are judged by own attempts alone
}

// New makes a balancer in the phase starting, of what the platform tells it and what the operator sets.
func New(deployed *deployment.Deployment, operatorFile *operator.File, log zerolog.Logger) *Balancer {
	grace := usableGrace(deployed.DrainGrace)
	sockets := deployed.MaxSockets - reservedSockets
	if deployed.Admin != "" {
		sockets -= admin.Descriptors + handover.Descriptors
	}
	if operatorFile.Fleet != nil {
		sockets--
	}
	upstreamSockets := sockets * upstreamEighths / 8
	epoch := time.Now()
	epochNanos := policy.Nanos(epoch.UnixNano())
	b := &Balancer{deployment: deployed, log: log, epoch: epoch, epochNanos: epochNanos, phaseChanged: make(chan struct{}, 4), toIdleWorker: make(chan *clientRequest),
		subscribeRequested: make(chan struct{}, 1), requests: map[policy.RequestID]*clientRequest{}, requestIDs: idSet{inUse: map[string]struct{}{}},
		traffic:     trafficStats{hosts: map[policy.HostID]*[2]int64{}},
		answerStats: newAnswerStats(deployed),
		clients:     newClientConns(deployed.MaxSockets / 4),
		hosts: upstream.New(upstream.Config{Pool: operatorFile.Connections.PoolConfig(pool.Config{Balancers: deployed.PolicyConfig.Balancers,
			MaxConnections: upstreamSockets, IdleTimeout: policy.Nanos(deployed.IdleTimeout)}), OriginMaxConnections: maxAttemptsToOrigin, ConnectTimeout: deployed.ConnectTimeout, LoadReports: deployed.LoadReports,
			Grace: grace, Now: epochNanos}, deployed.PolicyConfig.OriginKind)}
	b.mu.handle = b.handleEvent
	b.startTimes = newStartTimes(time.Now)
	b.exclusions.save = handover.Save
	b.discoveryTimeouts = discovery.NewTimeouts(grace, !deployed.PolicyConfig.MustSubscribe)
	b.fleet.settings = operatorFile.Fleet
	b.capacity = resourceLimits{clients: int64(sockets - upstreamSockets), upstream: int64(upstreamSockets), requests: min(int64(deployed.MaxRequests), int64(deployed.MemoryMB)<<20/memoryDivisor/bytesPerRequest),
		bytes: int64(deployed.MemoryMB) << 20 / memoryDivisor}
	b.setLimits(b.capacity)
	debug.SetMemoryLimit(b.memoryLimit())
	b.upgrade.answers = make(chan handover.Message, 4)
	b.timers.armedFor = noTick
	b.ctx, b.cancel = context.WithCancel(context.Background())
	b.listeningSince = b.epoch
	b.stalls = stall.New(b.epoch)
	go b.runStallTicker()
	b.listSource.addr, b.listSource.ready, b.listSource.hosts = deployed.Discovery, make(chan struct{}), map[policy.HostID]discovery.Host{}
	b.limitShares = b.newLimitShares(operatorFile.Connections.Openings)
	b.fleetOrders = b.newExclusionOrders()
	b.observations = b.newObservationExchange()
	b.callPolicy(func() { b.policy = policy.New(policyEnvironment{b}, deployed.PolicyConfig, deployed.Seed) })
	return b
}

// graceReserve is for how long the process may be held up between a look at the clock and the write that follows, and some more for
// goroutines that are late.
const graceReserve = 200 * time.Millisecond

// usableGrace is the part of a drain's grace after which no write may begin: whatever holds it up then, it comes within the whole.
func usableGrace(grace time.Duration) time.Duration {
	return grace - min(max(graceReserve, grace/10), grace/2)
}

// runStallTicker tells the stall detector that the process runs.
func (b *Balancer) runStallTicker() {
	t := time.NewTicker(stall.TickInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			b.stalls.Tick(time.Now())
		case <-b.ctx.Done():
			return
		}
	}
}

const (
	// upstreamEighths is the eighths of the room for connections to hosts. Clients hold a third of the descriptors at most
	// for requests, and each of those needs one to a host; what else connects stands on the clients' side.
	upstreamEighths     = 3
	reservedSockets     = 16       // descriptors for the listener, discovery, logs and the runtime: seven, and some to spare
	memoryDivisor       = 4        // of the memory for requests in hand, and as much for their values
	bytesPerRequest     = 32 << 10 // stacks and buffers of one with its two connections
	maxAttemptsToOrigin = 64       // the module starts with as many attempts out there
)
