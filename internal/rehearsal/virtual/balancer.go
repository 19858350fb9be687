package virtual

import (
	"fmt"
	"math"
	"slices"
	"time"

	"streamrail/internal/fleet/evidence"
	"streamrail/internal/rehearsal/model"
	"streamrail/internal/rehearsal/record"
	"streamrail/internal/rehearsal/scenario"
	"streamrail/policy"
)

// balancer is a simulated balancer: the production decision code (decider) and the simulated process around it, which gives
// the decider its input and carries out its decisions.
type balancer struct {
	simulation       *Simulation
	index            int
	zone             int
	decider          *policy.Balancer // nil while the process is down
	startCount       uint64
	requests         map[policy.RequestID]*request
	generation       int64           // of its host list
	listedUp         map[string]bool // by host: whether the balancer was last notified that it is up
	lifeRecord       record.ProcessRun
	getsTraffic      bool                   // the load balancing in front of the fleet considers it alive
	noticeSeq        int                    // incremented by a start and by endTrafficAfter, so that an outdated delay has no effect
	pausedUntil      time.Duration          // the process is stalled until then
	observations     *evidence.Machine      // nil before the first exchange
	peerObservations []evidence.HostSummary // what was last reported to the decider
}

// whenRunning calls do in the current process, at once or, if the process is stalled, at the end of the stall. If the process
// has ended by then, it calls ended instead, unless that is nil.
func (b *balancer) whenRunning(do, ended func()) {
	startCount := b.startCount
	if b.simulation.now >= b.pausedUntil && b.decider != nil {
		do()
		return
	}
	b.simulation.at(b.pausedUntil, func() {
		if b.decider != nil && b.startCount == startCount {
			do()
		} else if ended != nil {
			ended()
		}
	})
}

// request is a client's request at a balancer, with its attempts.
type request struct {
	id, key, dedupToken string
	write               bool
	balancer            *balancer
	attempts            []*attempt
	inFlight            int
	answered            bool
	record              *record.Request
	onAnswer            func(reply record.Reply, retryAfter time.Duration)
	missedHosts         []*cacheHost // hosts that did not have the value; the origin's answer is cached there
}

// attempt is one sending of a request to a cache host or the origin.
type attempt struct {
	balancer        *balancer
	startCount      uint64 // of the balancer's process that sent it
	request         *request
	index           int
	host            *cacheHost // nil: the origin
	work            time.Duration
	sentAt          time.Duration
	reportedTimeout time.Duration // remaining time that the server is given
	receivedAt      time.Duration
	endedAt         time.Duration // at the server: when it answered or noticed the cancellation
	proof           record.Proof
	answerComplete  bool // the server sent a complete answer
	executed        bool
	cold            bool

	dropped, done bool
}

// epoch is the Unix time at which each simulation starts. Its value has no special meaning.
const epoch = policy.Nanos(1_700_000_000) * policy.Second

// replyReserve is the part of a client's timeout that is reserved for the answer to reach the client. The production balancer
// reserves it too.
const replyReserve = 3 * time.Millisecond

func (b *balancer) start() {
	if b.decider != nil {
		return // already started by another fault
	}
	b.startCount++
	b.pausedUntil = 0
	b.requests, b.listedUp, b.generation, b.observations, b.peerObservations = map[policy.RequestID]*request{}, map[string]bool{}, 0, nil, nil
	b.lifeRecord = record.ProcessRun{Balancer: b.index, Start: b.simulation.now, Ready: max(1, b.simulation.now)}
	seed := model.NewRand(b.simulation.Seed, fmt.Sprint("balancer ", b.index, b.startCount)).Uint64()
	b.decider = policy.New(policyHost{b, b.startCount}, b.simulation.policyTerms(b.zone), seed)
	b.pollDiscovery(true)
	b.getsTraffic = true
	b.noticeSeq++
}

// stop ends the balancer's process: its attempts are cancelled and its unanswered clients see a closed connection.
func (b *balancer) stop() {
	if b.decider == nil {
		return
	}
	b.decider = nil
	b.lifeRecord.End, b.lifeRecord.Ordered = b.simulation.now, true
	b.simulation.rec.ProcessRuns = append(b.simulation.rec.ProcessRuns, b.lifeRecord)
	for _, id := range sorted(b.requests) {
		req := b.requests[id]
		for _, a := range req.attempts {
			a.cancel()
		}
		if !req.answered {
			req.answered = true
			req.record.BalancerStopped = true
			req.onAnswer(record.Closed, 0)
		}
	}
	b.requests = nil
}

func sorted(requests map[policy.RequestID]*request) []policy.RequestID {
	ids := make([]policy.RequestID, 0, len(requests))
	for id := range requests {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// endTrafficAfter stops the traffic to a balancer after the given delay, which is how long the load balancing in front of the
// fleet takes to notice that the balancer ends. A restart within the delay cancels it.
func (b *balancer) endTrafficAfter(delay time.Duration) {
	b.noticeSeq++
	seq := b.noticeSeq
	b.simulation.after(delay, func() {
		if b.noticeSeq == seq {
			b.getsTraffic = false
		}
	})
}

// pollDiscovery fetches the host list from discovery: the whole list, or the changes since the last generation.
func (b *balancer) pollDiscovery(whole bool) {
	if b.decider != nil {
		b.whenRunning(func() { b.applyList(whole) }, nil)
	}
}

// applyList fetches the list or its changes and passes them to the decider.
func (b *balancer) applyList(whole bool) {
	if b.simulation.discovery.Silent(b.index) {
		return
	}
	generation, reset, entries := b.simulation.discovery.List(b.index, b.generation, whole)
	if generation == b.generation && !reset {
		return
	}
	b.generation = generation
	var list []policy.HostEntry
	named := map[string]bool{}
	for _, e := range entries {
		named[e.Host] = true
		b.recordNotice(e.Host, e.Lifecycle == model.Active)
		list = append(list, b.simulation.policyEntry(e))
	}
	kind := policy.ListUpdate
	if reset {
		kind = policy.ListReplace
		for _, h := range b.simulation.hostsInOrder {
			if b.listedUp[h.id] && !named[h.id] {
				b.recordNotice(h.id, false)
			}
		}
	}
	b.decider.ApplyList(kind, list)
}

// recordNotice records that the balancer has been notified that a host is up or not.
func (b *balancer) recordNotice(hostID string, up bool) {
	if was, known := b.listedUp[hostID]; known && was == up || !known && !up {
		return
	}
	b.listedUp[hostID] = up
	b.simulation.tracef("told %d %s %v", b.index, hostID, up)
	b.simulation.rec.HostNotices = append(b.simulation.rec.HostNotices, record.HostNotice{Balancer: b.index, Host: hostID, Available: up, At: b.simulation.now})
}

// receive passes a client's request to the decider. A request without time left is rate-limited at once.
func (b *balancer) receive(req *request) {
	b.requests[policy.RequestID(req.id)] = req
	req.balancer = b
	left := req.record.Timeout - b.simulation.now - replyReserve
	if left <= 0 {
		req.answer(record.RateLimited, 0)
		delete(b.requests, policy.RequestID(req.id))
		return
	}
	if b.simulation.members != nil {
		b.simulation.members.RunTo(b.simulation.now)
		b.simulation.members.CountRequest(b.index, req.record.Tenant)
		b.simulation.members.QuotaShares(b.index, func(tenant int, share float64) {
			b.decider.SetQuotaShare(policy.Customer(tenant), max(share, math.SmallestNonzeroFloat64))
		})
	}
	b.decider.RequestArrived(policy.Request{ID: policy.RequestID(req.id), Customer: policy.Customer(req.record.Tenant), Product: policy.Product(req.record.Product),
		Key: policy.Key(req.key), Write: req.write, Deadline: epoch + policy.Nanos(req.record.Timeout-replyReserve)})
	b.forgetIfDone(req)
}

// forgetIfDone removes a request that has its final answer and no attempts in flight.
func (b *balancer) forgetIfDone(req *request) {
	if req.answered && req.inFlight == 0 && b.requests != nil {
		delete(b.requests, policy.RequestID(req.id))
	}
}

// clientGone handles a client that has given up before its request was answered.
func (b *balancer) clientGone(req *request) {
	if req.answered {
		return
	}
	req.answered = true
	b.decider.RequestAbandoned(policy.RequestID(req.id))
	b.forgetIfDone(req)
}

// answer sends the request's final answer to the client. Only the first call has an effect.
func (r *request) answer(reply record.Reply, retryAfter time.Duration) {
	if !r.answered {
		r.answered = true
		r.balancer.simulation.after(r.balancer.simulation.Fleet.SameZoneDelay.Duration(), func() { r.onAnswer(reply, retryAfter) })
	}
}

// policyHost implements policy.Environment for one process of a balancer. The timers and cancellations of a process that has ended
// have no effect.
type policyHost struct {
	b          *balancer
	startCount uint64
}

func (h policyHost) Now() policy.Nanos { return epoch + policy.Nanos(h.b.simulation.now) }

func (h policyHost) Subscribe() {}

func (h policyHost) SetTimer(after policy.Nanos, id policy.TimerID) {
	h.b.simulation.after(time.Duration(after), func() {
		if h.b.decider != nil && h.b.startCount == h.startCount {
			h.b.whenRunning(func() { h.b.decider.TimerFired(id) }, nil)
		}
	})
}

func (h policyHost) RateLimit(id policy.RequestID, retryAfter policy.Nanos) {
	h.answer(id, record.RateLimited, time.Duration(retryAfter))
}

func (h policyHost) Error(id policy.RequestID) { h.answer(id, record.Errored, 0) }

// answer gives a request its final answer on behalf of the decider.
func (h policyHost) answer(id policy.RequestID, reply record.Reply, retryAfter time.Duration) {
	if req := h.b.requests[id]; req != nil {
		req.answer(reply, retryAfter)
		h.b.simulation.after(0, func() { h.b.forgetIfDone(req) })
	}
}

func (h policyHost) Cancel(id policy.RequestID, attempt int) {
	req := h.b.requests[id]
	if req == nil || attempt >= len(req.attempts) {
		return
	}
	// Reported by a later event, as on sockets, so that the decider is not called from within its own call.
	h.b.simulation.after(0, func() {
		if a := req.attempts[attempt]; !a.done && h.b.startCount == h.startCount {
			a.cancel()
			a.complete(policy.Cancelled, 0)
		}
	})
}

func (h policyHost) Send(id policy.RequestID, to policy.HostID, deadline, _ policy.Nanos) {
	b, d := h.b, h.b.simulation
	req := b.requests[id]
	if req == nil {
		return
	}
	a := &attempt{balancer: b, startCount: h.startCount, request: req, index: len(req.attempts), sentAt: d.now, reportedTimeout: time.Duration(deadline - h.Now()), work: d.drawWork(req)}
	req.attempts = append(req.attempts, a)
	req.inFlight++
	if to != record.Origin {
		a.host = d.hosts[string(to)]
	}
	d.attempts = append(d.attempts, a)
	d.tracef("attempt %s/%d %d to %s", id, a.index, b.index, a.serverName())
	d.after(a.oneWayDelay(), func() {
		if a.done {
			return // cancelled in transit: its connection was closed before it arrived
		}
		if a.host != nil {
			a.host.receive(a)
		} else {
			d.origin.receive(a)
		}
	})
	d.after(time.Duration(max(1, deadline-h.Now())), func() {
		timeOut := func() {
			if !a.done {
				a.cancel()
				a.complete(policy.TimedOut, 0)
			}
		}
		if b.decider == nil || b.startCount != a.startCount {
			timeOut()
			return
		}
		b.whenRunning(timeOut, nil)
	})
}

// oneWayDelay is the one-way network delay between an attempt's balancer and its server.
func (a *attempt) oneWayDelay() time.Duration {
	if a.host == nil {
		return a.baseDelay()
	}
	return a.baseDelay() + a.host.links[a.balancer.index].extraDelay
}

// baseDelay is the one-way network delay without what a fault adds to it.
func (a *attempt) baseDelay() time.Duration {
	d := a.balancer.simulation
	if a.host == nil || a.host.group.Zone == d.Fleet.Zones[a.balancer.zone] {
		return d.Fleet.SameZoneDelay.Duration()
	}
	return d.Fleet.CrossZoneDelay.Duration()
}

// serverName returns the name of an attempt's server, as it stands in records.
func (a *attempt) serverName() string {
	if a.host == nil {
		return record.Origin
	}
	return a.host.id
}

// refuse reports that the connection was refused. The attempt is still recorded, because the balancer chose to make it.
func (a *attempt) refuse() {
	a.endedAt, a.proof = a.balancer.simulation.now+a.baseDelay(), record.NeverRan
	a.balancer.simulation.after(a.baseDelay(), func() { a.deliver(policy.ConnectFailed, 0) })
}

// answer sends a server's answer to the balancer.
func (a *attempt) answer(outcome policy.Outcome, cacheResult int) {
	d := a.balancer.simulation
	if a.host != nil && a.host.links[a.balancer.index].cut {
		return // lost in transit: for the balancer the attempt remains in flight
	}
	if a.endedAt == 0 {
		a.endedAt, a.answerComplete = d.now+a.oneWayDelay(), outcome != policy.Reset && outcome != policy.MalformedAnswer
		a.proof = proofs[outcome]
	}
	if d.Fleet.Mode != scenario.ModeThrough {
		cacheResult = 0
	}
	d.after(a.oneWayDelay(), func() { a.deliver(outcome, cacheResult) })
}

// proofs maps outcomes to what the server's answer proves about the execution of the request.
var proofs = map[policy.Outcome]record.Proof{policy.Fulfilled: record.Served, policy.CacheMiss: record.CacheMiss, policy.Rejected: record.NeverRan}

// cancel closes the connection of an attempt; the server notices after the network delay.
func (a *attempt) cancel() {
	if a.done {
		return
	}
	d := a.balancer.simulation
	if a.endedAt == 0 || a.endedAt > d.now { // an answer still in transit proves nothing, since the balancer no longer waits for it
		// As on sockets, the end of a connection is recorded when it is closed, whatever the network delay.
		a.endedAt, a.answerComplete, a.proof = d.now, false, record.NothingProven
	}
	d.after(a.oneWayDelay(), func() {
		if !a.answerComplete {
			if a.host != nil && a.host.model != nil && a.host.model.Abandon(a.request.id) {
				a.host.remove(a)
			} else if a.host == nil {
				d.origin.model.Abandon(a.request.id)
			}
		}
	})
}

// deliver passes an attempt's outcome to its balancer, which handles it once it is not stalled.
func (a *attempt) deliver(outcome policy.Outcome, cacheResult int) {
	if a.balancer.decider == nil || a.balancer.startCount != a.startCount {
		a.complete(outcome, cacheResult)
		return
	}
	a.balancer.whenRunning(func() { a.complete(outcome, cacheResult) }, nil)
}

// complete reports an attempt's outcome to the decider, and answers the client if the attempt was the first to be fulfilled.
func (a *attempt) complete(outcome policy.Outcome, cacheResult int) {
	b := a.balancer
	if a.done {
		return
	}
	a.done = true
	if b.decider == nil || b.startCount != a.startCount {
		return
	}
	if b.simulation.deliberateFaults.alterOutcome != nil {
		outcome = b.simulation.deliberateFaults.alterOutcome(outcome)
	}
	req := a.request
	req.inFlight--
	b.simulation.tracef("end %s/%d %d %d", req.id, a.index, outcome, cacheResult)
	won := outcome == policy.Fulfilled && !req.answered
	if won {
		req.answer(record.Fulfilled, 0)
	}
	if b.observations != nil && a.host != nil {
		slo := policy.Nanos(b.simulation.Products[req.record.Product].LatencySLO)
		if good, conclusive := evidence.Classify(outcome, policy.Nanos(b.simulation.now-a.sentAt), slo); conclusive {
			b.observations.RecordAttempt(b.simulation.now, a.host.id, good)
		}
	}
	b.decider.AttemptEnded(policy.AttemptResult{RequestID: policy.RequestID(req.id), Attempt: a.index, Final: req.answered, Outcome: outcome, Duration: policy.Nanos(b.simulation.now - a.sentAt),
		HostID: policy.HostID(a.serverName())})
	b.forgetIfDone(req)
}
