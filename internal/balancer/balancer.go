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
	told       *deployment.Deployment
	log        zerolog.Logger
	hosts      *upstream.Hosts
	epoch      time.Time    // the decisions' clock goes on from here
	epochNanos policy.Nanos // what it shows then
	stalls     *stall.Detector
	starts     *starts
	listening  time.Time // no client's connection came before that

	phase     atomic.Int32
	changed   chan struct{} // a phase was ordered
	running   context.Context
	end       context.CancelFunc // of running
	source    source
	knows     atomic.Bool // a list: discovery's, or one of before with a host; without any nothing can be served
	pace      discovery.Pace
	subscribe chan struct{}

	// mu guards the module, which is not concurrent, and what its orders touch. Nothing is sent, written or
	// waited for under it, and no answer waits for it: events are posted (decisions.go).
	mu     moduleLock
	module *policy.Balancer
	now    policy.Nanos // fixed for the thing that happens
	timers timerWheel
	calls  map[policy.CallID]*call

	taken atomic.Uint64
	ids   claims

	clients    *clients
	rested     chan *call   // is read by goroutines that rest between calls
	resting    atomic.Int64 // are so many
	whole      holds        // what a balancer may hold
	open       atomic.Int64 // requests in hand
	mostInHand atomic.Int64
	held       atomic.Int64 // bytes of values in hand
	mostHeld   atomic.Int64
	tally      tally
	delays     delays
	figures    *figures
	upgrade    upgrade
	bans       bans
	fleet      fleet
	limits     *limits    // nil: parts of what holds for the fleet are equal ones
	orders     *orders    // nil: orders by hand hold here alone
	witnesses  *witnesses // nil: hosts are judged by own attempts alone
}

// New makes a balancer in the phase starting, of what the platform tells it and what the operator sets.
func New(told *deployment.Deployment, own *operator.File, log zerolog.Logger) *Balancer {
	grace := usableGrace(told.DrainGrace)
	room := told.Sockets - ownSockets
	if told.Admin != "" {
		room -= admin.Descriptors + handover.Descriptors
	}
	if own.Fleet != nil {
		room--
	}
	up := room * upstreamPart / 8
	epoch := time.Now()
	epochNanos := policy.Nanos(epoch.UnixNano())
	b := &Balancer{told: told, log: log, epoch: epoch, epochNanos: epochNanos, changed: make(chan struct{}, 4), rested: make(chan *call),
		subscribe: make(chan struct{}, 1), calls: map[policy.CallID]*call{}, ids: claims{taken: map[string]struct{}{}},
		tally:   tally{hosts: map[policy.CacheID]*[2]int64{}},
		figures: newFigures(told),
		clients: newClients(told.Sockets / 4),
		hosts: upstream.New(upstream.Limits{Pool: own.Connections.Terms(pool.Terms{Balancers: told.Terms.Balancers,
			Most: up, Idle: policy.Nanos(told.IdleLimit)}), Origin: mostToOrigin, Connect: told.ConnectTimeout, Reports: told.Reports,
			Grace: grace, Epoch: epochNanos}, told.Terms.OriginKind)}
	b.mu.hear = b.hear
	b.starts = newStarts(time.Now)
	b.bans.save = handover.Save
	b.pace = discovery.PaceOf(grace, !told.Terms.MustSubscribe)
	b.fleet.own = own.Fleet
	b.whole = holds{clients: int64(room - up), upstream: int64(up), calls: min(int64(told.MostOpen), int64(told.MemoryMB)<<20/part/callBytes),
		bytes: int64(told.MemoryMB) << 20 / part}
	b.limit(b.whole)
	debug.SetMemoryLimit(b.memory())
	b.upgrade.answers = make(chan handover.Message, 4)
	b.timers.armedFor = never
	b.running, b.end = context.WithCancel(context.Background())
	b.listening = b.epoch
	b.stalls = stall.New(b.epoch)
	go b.beat()
	b.source.addr, b.source.first, b.source.hosts = told.Discovery, make(chan struct{}), map[policy.CacheID]discovery.Host{}
	b.limits = b.newLimits(own.Connections.Openings)
	b.orders = b.newOrders()
	b.witnesses = b.newWitnesses()
	b.decide(func() { b.module = policy.New(host{b}, told.Terms, told.Seed) })
	return b
}

// graceReserve is for how long the process may be held up between a look at the clock and the write that follows, and some more for
// goroutines that are late.
const graceReserve = 200 * time.Millisecond

// usableGrace is the part of a drain's grace after which no write may begin: whatever holds it up then, it comes within the whole.
func usableGrace(grace time.Duration) time.Duration {
	return grace - min(max(graceReserve, grace/10), grace/2)
}

// beat tells the stall detector that the process runs.
func (b *Balancer) beat() {
	t := time.NewTicker(stall.Period)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			b.stalls.Beat(time.Now())
		case <-b.running.Done():
			return
		}
	}
}

const (
	// upstreamPart is the eighths of the room for connections to hosts. Clients hold a third of the descriptors at most
	// for requests, and each of those needs one to a host; what else connects stands on the clients' side.
	upstreamPart = 3
	ownSockets   = 16       // descriptors for the listener, discovery, logs and the runtime: seven, and some to spare
	part         = 4        // of the memory for requests in hand, and as much for their values
	callBytes    = 32 << 10 // stacks and buffers of one with its two connections
	mostToOrigin = 64       // the module starts with as many attempts out there
)
