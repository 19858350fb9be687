// Package balancer serves clients: it reads requests from their connections, lets package policy decide about
// each, carries out the decisions and answers. The stages of a request are in accept.go,
// read.go, decide.go, attempt.go and reply.go. Nothing here chooses where a request goes or whether it is retried.
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
	epoch          time.Time    // start of the policy's clock
	epochNanos     policy.Nanos // the policy's clock at epoch
	stalls         *stall.Detector
	startTimes     *startTimes
	listeningSince time.Time // no client connection arrived before that

	phase              atomic.Int32
	phaseChanged       chan struct{} // receives a value for each new phase
	ctx                context.Context
	cancel             context.CancelFunc // ends ctx
	listSource         listSource
	hasHostList        atomic.Bool // there is a host list from discovery, or a restored one with at least one host; without one nothing can be served
	discoveryTimeouts  discovery.Timeouts
	subscribeRequested chan struct{}

	// mu guards the policy, which is not safe for concurrent use, and what its actions change. Nothing is sent, written or
	// waited for while it is held, and no answer waits for it: events are posted (policy_lock.go).
	mu       policyLock
	policy   *policy.Balancer
	now      policy.Nanos // constant while one event is handled
	timers   timerWheel
	requests map[policy.RequestID]*clientRequest

	requestCount atomic.Uint64
	requestIDs   requestIDs

	clients         *clientConns
	toIdleWorker    chan *clientRequest // hands a request to an idle goroutine
	idleWorkers     atomic.Int64        // goroutines that receive from toIdleWorker
	capacity        resourceLimits      // limits of a single process, which the two processes of an upgrade split
	inFlight        atomic.Int64        // requests in flight
	streams         atomic.Int64        // long values that are being passed on to clients
	maxInFlight     atomic.Int64
	memory          memoryBudget
	traffic         trafficStats
	delays          delayStats
	failureLog      failureLog
	answerStats     *answerStats
	upgrade         upgradeLink
	exclusions      exclusionStore
	fleet           fleetMembership
	limitShares     *limitShares         // nil: fleet-wide limits are split into equal shares
	exclusionOrders *exclusionOrders     // nil: operators' exclusions apply to this balancer only
	observations    *observationExchange // nil: hosts are assessed by the attempts of this balancer only
}

// New returns a balancer in phase Starting, configured by the deployment and by the operator's file.
func New(deployed *deployment.Deployment, operatorFile *operator.File, log zerolog.Logger) *Balancer {
	grace := usableGrace(deployed.DrainGrace)
	sockets := deployed.MaxSockets - reservedSockets
	if deployed.Admin != "" {
		sockets -= admin.MaxDescriptors + handover.MaxDescriptors
	}
	if operatorFile.Fleet != nil {
		sockets--
	}
	upstreamSockets := sockets * upstreamEighths / 8
	epoch := time.Now()
	epochNanos := policy.Nanos(epoch.UnixNano())
	b := &Balancer{deployment: deployed, log: log, epoch: epoch, epochNanos: epochNanos, phaseChanged: make(chan struct{}, 4), toIdleWorker: make(chan *clientRequest),
		subscribeRequested: make(chan struct{}, 1), requests: map[policy.RequestID]*clientRequest{}, requestIDs: newRequestIDs(deployed.MemoryMB),
		traffic:     trafficStats{hosts: map[policy.HostID]*[2]int64{}},
		answerStats: newAnswerStats(deployed),
		clients:     newClientConns(deployed.MaxSockets / 4),
		hosts: upstream.New(upstream.Config{Pool: operatorFile.Connections.PoolConfig(pool.Config{Balancers: deployed.PolicyConfig.Balancers,
			MaxConnections: upstreamSockets, IdleTimeout: policy.Nanos(deployed.IdleTimeout)}), OriginMaxConnections: maxAttemptsToOrigin, ConnectTimeout: deployed.ConnectTimeout, LoadReports: deployed.LoadReports,
			Grace: grace, Now: epochNanos}, deployed.PolicyConfig.OriginKind)}
	b.hosts.OnUnattributed = b.logUnattributed
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
	b.exclusionOrders = b.newExclusionOrders()
	b.observations = b.newObservationExchange()
	b.callPolicy(func() { b.policy = policy.New(policyEnvironment{b}, deployed.PolicyConfig, deployed.Seed) })
	return b
}

// graceReserve covers a stall of the process between reading the clock and the write that follows, and goroutines that are scheduled
// late.
const graceReserve = 200 * time.Millisecond

// usableGrace returns the part of a drain's grace in which a write may begin. A write that is delayed after that still happens within
// the whole grace.
func usableGrace(grace time.Duration) time.Duration {
	return grace - min(max(graceReserve, grace/10), grace/2)
}

// runStallTicker periodically notifies the stall detector that the process runs.
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
	// upstreamEighths is how many eighths of the sockets are for connections to hosts. Clients use at most a third of the descriptors
	// for requests, and each request needs one connection to a host. Other incoming connections use the clients' part.
	upstreamEighths     = 3
	reservedSockets     = 16       // descriptors for the listener, discovery, logs and the runtime: seven, plus a reserve
	memoryDivisor       = 4        // one such part of the memory is for requests in flight, another one for their values
	bytesPerRequest     = 32 << 10 // stacks and buffers of a request and its two connections
	maxAttemptsToOrigin = 64       // the policy's initial limit on concurrent attempts to the origin is the same
)
