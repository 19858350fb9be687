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

// balancer is one real decision module with the world's side of it. It is the module's policy.Host.
type balancer struct {
	d                *Day
	index            int
	zone             int
	decider          *policy.Balancer // nil while it is down
	startCount       uint64
	requests         map[policy.CallID]*request
	generation       int64 // generation of the list that it has
	listedUp         map[string]bool
	lifeRecord       record.Life
	getsTraffic      bool // the front holds it for alive
	noticeSeq        int
	pausedUntil      time.Duration     // it stands still until then
	observations     *evidence.Machine // nil: none yet
	peerObservations []evidence.Word   // that the module has heard
}

// whenRunning lets the process that runs now do something: at once, or when it goes on after it stood still. Where it has ended by
// then, that is done instead, if anything.
func (b *balancer) whenRunning(do, ended func()) {
	startCount := b.startCount
	if b.d.now >= b.pausedUntil && b.decider != nil {
		do()
		return
	}
	b.d.at(b.pausedUntil, func() {
		if b.decider != nil && b.startCount == startCount {
			do()
		} else if ended != nil {
			ended()
		}
	})
}

// request is a request as a balancer has it.
type request struct {
	id, key, mark string
	write         bool
	balancer      *balancer
	attempts      []*attempt
	inFlight      int
	answered      bool
	record        *record.Call
	onAnswer      func(reply record.Reply, comeBack time.Duration)
	missedHosts   []*cacheHost
}

// attempt is one attempt.
type attempt struct {
	balancer        *balancer
	startCount      uint64 // of the balancer when it was sent
	request         *request
	index           int
	host            *cacheHost // nil: the gateway
	work            time.Duration
	sentAt          time.Duration
	reportedTimeout time.Duration // that is left
	receivedAt      time.Duration
	endedAt         time.Duration // at the server, or when it heard that it was given up
	proof           record.Proof
	answerComplete  bool // an answer went out whole
	executed        bool
	cold            bool

	dropped, done bool
}

// epoch is the Unix time of a day's begin; any would do.
const epoch = policy.Nanos(1_700_000_000) * policy.Second

// replyReserve is kept of a client's time for the answer to reach it, as the balancer on sockets does.
const replyReserve = 3 * time.Millisecond

func (b *balancer) start() {
	if b.decider != nil {
		return // another fault has started it already
	}
	b.startCount++
	b.pausedUntil = 0
	b.requests, b.listedUp, b.generation, b.observations, b.peerObservations = map[policy.CallID]*request{}, map[string]bool{}, 0, nil, nil
	b.lifeRecord = record.Life{Balancer: b.index, Start: b.d.now, Ready: max(1, b.d.now)}
	seed := model.Stream(b.d.Seed, fmt.Sprint("balancer ", b.index, b.startCount)).Uint64()
	b.decider = policy.New(policyHost{b, b.startCount}, b.d.policyTerms(b.zone), seed)
	b.pollDiscovery(true)
	b.getsTraffic = true
	b.noticeSeq++
}

// stop ends the balancer as the end of its process does.
func (b *balancer) stop() {
	if b.decider == nil {
		return
	}
	b.decider = nil
	b.lifeRecord.End, b.lifeRecord.Ordered = b.d.now, true
	b.d.rec.Lives = append(b.d.rec.Lives, b.lifeRecord)
	for _, id := range sorted(b.requests) {
		req := b.requests[id]
		for _, a := range req.attempts {
			a.cancel()
		}
		if !req.answered {
			req.answered = true
			req.record.Excused = true
			req.onAnswer(record.Closed, 0)
		}
	}
	b.requests = nil
}

func sorted(calls map[policy.CallID]*request) []policy.CallID {
	ids := make([]policy.CallID, 0, len(calls))
	for id := range calls {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// endTrafficAfter lets the front deal to a balancer that has ended until it notices.
func (b *balancer) endTrafficAfter(delay time.Duration) {
	b.noticeSeq++
	seq := b.noticeSeq
	b.d.after(delay, func() {
		if b.noticeSeq == seq {
			b.getsTraffic = false
		}
	})
}

// pollDiscovery takes what the register's agent has: the whole list, or what has changed.
func (b *balancer) pollDiscovery(whole bool) {
	if b.decider != nil {
		b.whenRunning(func() { b.applyList(whole) }, nil)
	}
}

func (b *balancer) applyList(whole bool) {
	if b.d.discovery.Silent(b.index) {
		return
	}
	generation, reset, entries := b.d.discovery.List(b.index, b.generation, whole)
	if generation == b.generation && !reset {
		return
	}
	b.generation = generation
	var list []policy.Entry
	named := map[string]bool{}
	for _, e := range entries {
		named[e.Node] = true
		b.recordNotice(e.Node, e.Condition == model.Active)
		list = append(list, b.d.policyEntry(e))
	}
	kind := policy.ListUpdate
	if reset {
		kind = policy.ListReplace
		for _, h := range b.d.hostsInOrder {
			if b.listedUp[h.id] && !named[h.id] {
				b.recordNotice(h.id, false)
			}
		}
	}
	b.decider.Listed(kind, list)
}

func (b *balancer) recordNotice(hostID string, up bool) {
	if was, known := b.listedUp[hostID]; known && was == up || !known && !up {
		return
	}
	b.listedUp[hostID] = up
	b.d.tracef("told %d %s %v", b.index, hostID, up)
	b.d.rec.Tolds = append(b.d.rec.Tolds, record.Told{Balancer: b.index, Node: hostID, Up: up, At: b.d.now})
}

// receive takes a call that a client has sent.
func (b *balancer) receive(req *request) {
	b.requests[policy.CallID(req.id)] = req
	req.balancer = b
	left := req.record.Timeout - b.d.now - replyReserve
	if left <= 0 {
		req.answer(record.RateLimited, 0)
		delete(b.requests, policy.CallID(req.id))
		return
	}
	if b.d.members != nil {
		b.d.members.To(b.d.now)
		b.d.members.Came(b.index, req.record.Tenant)
		b.d.members.Parts(b.index, func(tenant int, share float64) {
			b.decider.Part(policy.Customer(tenant), max(share, math.SmallestNonzeroFloat64))
		})
	}
	b.decider.Arrived(policy.Call{ID: policy.CallID(req.id), Customer: policy.Customer(req.record.Tenant), Product: policy.Product(req.record.Product),
		Key: policy.Key(req.key), Write: req.write, Deadline: epoch + policy.Nanos(req.record.Timeout-replyReserve)})
	b.forgetIfDone(req)
}

// forgetIfDone forgets a call that has its answer and whose attempts have ended.
func (b *balancer) forgetIfDone(req *request) {
	if req.answered && req.inFlight == 0 && b.requests != nil {
		delete(b.requests, policy.CallID(req.id))
	}
}

// clientGone hears that a call's client has left.
func (b *balancer) clientGone(req *request) {
	if req.answered {
		return
	}
	req.answered = true
	b.decider.Abandoned(policy.CallID(req.id))
	b.forgetIfDone(req)
}

// answer chooses a call's one final answer.
func (r *request) answer(reply record.Reply, retryAfter time.Duration) {
	if !r.answered {
		r.answered = true
		r.balancer.d.after(r.balancer.d.Fleet.Same.D(), func() { r.onAnswer(reply, retryAfter) })
	}
}

// policyHost is what a module acts through. A module that has ended can do nothing any more.
type policyHost struct {
	b          *balancer
	startCount uint64
}

func (h policyHost) Now() policy.Nanos { return epoch + policy.Nanos(h.b.d.now) }

func (h policyHost) Subscribe() {}

func (h policyHost) SetTimer(after policy.Nanos, id policy.TimerID) {
	h.b.d.after(time.Duration(after), func() {
		if h.b.decider != nil && h.b.startCount == h.startCount {
			h.b.whenRunning(func() { h.b.decider.TimerFired(id) }, nil)
		}
	})
}

func (h policyHost) RateLimit(id policy.CallID, retryAfter policy.Nanos) {
	h.answer(id, record.RateLimited, time.Duration(retryAfter))
}

func (h policyHost) Error(id policy.CallID) { h.answer(id, record.Errored, 0) }

func (h policyHost) answer(id policy.CallID, reply record.Reply, retryAfter time.Duration) {
	if req := h.b.requests[id]; req != nil {
		req.answer(reply, retryAfter)
		h.b.d.after(0, func() { h.b.forgetIfDone(req) })
	}
}

func (h policyHost) Cancel(id policy.CallID, attempt int) {
	req := h.b.requests[id]
	if req == nil || attempt >= len(req.attempts) {
		return
	}
	// Heard later, as on sockets: the module is not called from within itself.
	h.b.d.after(0, func() {
		if a := req.attempts[attempt]; !a.done && h.b.startCount == h.startCount {
			a.cancel()
			a.complete(policy.Cancelled, 0)
		}
	})
}

func (h policyHost) Send(id policy.CallID, to policy.CacheID, deadline, _ policy.Nanos) {
	b, d := h.b, h.b.d
	req := b.requests[id]
	if req == nil {
		return
	}
	a := &attempt{balancer: b, startCount: h.startCount, request: req, index: len(req.attempts), sentAt: d.now, reportedTimeout: time.Duration(deadline - h.Now()), work: d.drawWork(req)}
	req.attempts = append(req.attempts, a)
	req.inFlight++
	if to != record.Gateway {
		a.host = d.hosts[string(to)]
	}
	d.attempts = append(d.attempts, a)
	d.tracef("attempt %s/%d %d to %s", id, a.index, b.index, a.serverName())
	d.after(a.oneWayDelay(), func() {
		if a.done {
			return // given up on the way: its connection ended before it came
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

// oneWayDelay is how long bytes take one way between an attempt's balancer and its server.
func (a *attempt) oneWayDelay() time.Duration {
	if a.host == nil {
		return a.baseDelay()
	}
	return a.baseDelay() + a.host.links[a.balancer.index].extraDelay
}

// baseDelay is the way without what a fault adds to it.
func (a *attempt) baseDelay() time.Duration {
	d := a.balancer.d
	if a.host == nil || a.host.group.Zone == d.Fleet.Zones[a.balancer.zone] {
		return d.Fleet.Same.D()
	}
	return d.Fleet.Cross.D()
}

// serverName is the name of an attempt's server.
func (a *attempt) serverName() string {
	if a.host == nil {
		return record.Gateway
	}
	return a.host.id
}

// refuse is a connection that nobody takes. It is noted as an attempt: the balancer meant it as one.
func (a *attempt) refuse() {
	a.endedAt, a.proof = a.balancer.d.now+a.baseDelay(), record.NeverRan
	a.balancer.d.after(a.baseDelay(), func() { a.deliver(policy.ConnectFailed, 0) })
}

// answer sends a server's answer on its way.
func (a *attempt) answer(outcome policy.Outcome, cacheResult int) {
	d := a.balancer.d
	if a.host != nil && a.host.links[a.balancer.index].cut {
		return // lost on the way: for the balancer it is still out
	}
	if a.endedAt == 0 {
		a.endedAt, a.answerComplete = d.now+a.oneWayDelay(), outcome != policy.Reset && outcome != policy.Spoilt
		a.proof = proofs[outcome]
	}
	if d.Fleet.Mode != scenario.Through {
		cacheResult = 0
	}
	d.after(a.oneWayDelay(), func() { a.deliver(outcome, cacheResult) })
}

var proofs = map[policy.Outcome]record.Proof{policy.Fulfilled: record.WasServed, policy.Missed: record.Missed, policy.TurnedAway: record.NeverRan}

// cancel ends the connection that carries an attempt; its server hears that.
func (a *attempt) cancel() {
	if a.done {
		return
	}
	d := a.balancer.d
	if a.endedAt == 0 || a.endedAt > d.now { // an answer that is still on its way proves nothing to who does not wait for it
		// As on sockets, where the end of a connection is noted as it is made, however long its way.
		a.endedAt, a.answerComplete, a.proof = d.now, false, record.Nothing
	}
	d.after(a.oneWayDelay(), func() {
		if !a.answerComplete {
			if a.host != nil && a.host.model != nil && a.host.model.GiveUp(a.request.id) {
				a.host.remove(a)
			} else if a.host == nil {
				d.origin.model.GiveUp(a.request.id)
			}
		}
	})
}

// deliver is what came for an attempt: the balancer looks at it when it runs.
func (a *attempt) deliver(outcome policy.Outcome, cacheResult int) {
	if a.balancer.decider == nil || a.balancer.startCount != a.startCount {
		a.complete(outcome, cacheResult)
		return
	}
	a.balancer.whenRunning(func() { a.complete(outcome, cacheResult) }, nil)
}

// complete lets the balancer hear how an attempt ended.
func (a *attempt) complete(outcome policy.Outcome, cacheResult int) {
	b := a.balancer
	if a.done {
		return
	}
	a.done = true
	if b.decider == nil || b.startCount != a.startCount {
		return
	}
	if b.d.deliberateFaults.alterOutcome != nil {
		outcome = b.d.deliberateFaults.alterOutcome(outcome)
	}
	req := a.request
	req.inFlight--
	b.d.tracef("end %s/%d %d %d", req.id, a.index, outcome, cacheResult)
	won := outcome == policy.Fulfilled && !req.answered
	if won {
		req.answer(record.Fulfilled, 0)
	}
	if b.observations != nil && a.host != nil {
		slo := policy.Nanos(b.d.Products[req.record.Product].LatencySLO)
		if good, conclusive := evidence.Proves(outcome, policy.Nanos(b.d.now-a.sentAt), slo); conclusive {
			b.observations.Ended(b.d.now, a.host.id, good)
		}
	}
	b.decider.Ended(policy.Ending{Call: policy.CallID(req.id), Attempt: a.index, Final: req.answered, Outcome: outcome, Took: policy.Nanos(b.d.now - a.sentAt),
		Cache: policy.CacheID(a.serverName())})
	b.forgetIfDone(req)
}
