// Package policy decides where each request goes. New makes a Balancer from the Config of its deployment. After
// that, the caller reports each event by a method (ApplyList, RequestArrived, AttemptEnded, AnswerStarted,
// RequestAbandoned, TimerFired), and the Balancer acts by calling its Environment, which is declared in types.go.
// A Balancer is not safe for concurrent use, has no clock of its own and shares no state.
// Reading order: policy.go has the life cycle of a request; routing.go, ring.go and replication.go choose the
// cache host; retry.go decides what may be sent again; origin.go limits traffic to the origin; slowstart.go,
// health.go, concurrency.go, fairness.go and loadreport.go limit the traffic to each host and to the fleet;
// membership.go maintains the host list. The state is declared in state.go, meter.go and hash.go.
package policy

// New returns a balancer without any hosts; ApplyList supplies the first host list.
func New(env Environment, config Config, seed uint64) *Balancer {
	b := &Balancer{env: env, config: config, seed: seedHash(seed), startedAt: env.Now(), hosts: map[HostID]*cacheHost{},
		excluded: map[HostID]bool{}, sizeByKind: map[MachineKind]float64{}, zoneOutcomes: map[Zone]*meter{}, requests: map[RequestID]*request{},
		keys: keyTable{index: map[Key]int{}}, quotas: make([]quota, len(config.Customers)),
		attemptTimes: make([]meter, 2*len(config.Products)), origin: &cacheHost{concurrencyLimit: maxInFlight / 4},
		fleetLimitPerHost: largeFleetInitialInFlight / float64(config.Balancers)}
	for i, p := range config.Products {
		b.maxBilledValue = max(b.maxBilledValue, p.BilledValue)
		b.attemptTimes[2*i].width, b.attemptTimes[2*i+1].width = baselineSlot, baselineSlot
	}
	env.SetTimer(maintenanceInterval, "beat")
	return b
}

// RequestArrived takes a new request. The balancer owes it exactly one final answer.
func (b *Balancer) RequestArrived(in Request) {
	now := b.env.Now()
	if in.Key == "" {
		in.Key = Key(in.ID)
	}
	r := &request{Request: in, product: &b.config.Products[in.Product], arrivedAt: now}
	// Expires two ticks before the deadline: the timer may fire up to one tick late, and the answer must still
	// reach the client in time.
	b.env.SetTimer(max(0, in.Deadline-now-2*b.config.TimerGranularity), TimerID("e"+in.ID))
	b.requests[in.ID] = r
	b.countKeyUse(r)
	r.overQuota = b.exceedsQuota(r)
	switch {
	case r.ExpectedWork > r.product.LatencySLO && r.product.LateValueFraction == 0,
		r.overQuota && b.randomFloat() < max(b.shedProbability, b.meanLoad()/4):
		b.giveUp(r)
	case b.config.CacheAside && r.Write: // cache hosts do not take writes in this deployment
		b.sendToOrigin(r)
	default:
		b.sendToHost(r)
	}
}

// AttemptEnded takes the outcome of an attempt.
func (b *Balancer) AttemptEnded(e AttemptResult) {
	now := b.env.Now()
	h, r := b.hosts[e.HostID], b.requests[e.RequestID]
	if h != nil {
		if r == nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) {
			b.countAtHost(h, -1)
		} else {
			b.setCounted(&r.attempts[e.Attempt], h, false)
		}
		h.lastEnded, h.lastAttemptSeconds = now, e.Duration.seconds()
		b.dropIfGone(h)
	}
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) || !r.attempts[e.Attempt].inFlight {
		return
	}
	a := &r.attempts[e.Attempt]
	a.inFlight, a.mayHaveRun, a.noConnection = false, MayHaveRun(e.Outcome), e.Outcome == ConnectFailed
	if h != nil && h != b.origin && e.Outcome != NeverSent {
		b.connectOutcomes.record(now, !a.noConnection, a.noConnection)
		if !a.noConnection {
			h.lastConnectedAt = now
		}
	}
	r.inFlight--
	if h != nil {
		b.recordOutcome(h, r, e, a)
	}
	if e.Attempt > 0 && a.host != b.origin && !r.cacheMissed && e.Outcome != NeverSent && e.Outcome != CacheMiss &&
		e.Outcome != ConnectFailed {
		b.retryOutcomes.record(now, e.Outcome == Fulfilled, e.Outcome != Fulfilled)
	}
	switch {
	case e.Final || e.Outcome == Fulfilled || r.finished:
		b.finish(r)
	case e.Outcome == CacheMiss && b.config.CacheAside: // other deployments have no origin that the balancer could ask
		r.cacheMissed = true
		b.sendToOrigin(r)
	case r.inFlight == 0:
		b.retry(r, a.host)
	}
}

// giveUp answers a request that cannot be fulfilled: rate-limited where a retry is harmless, errored otherwise. It
// answers at once, so that the client can react early.
func (b *Balancer) giveUp(r *request) {
	if b.mayRateLimit(r) {
		b.env.RateLimit(r.ID, b.retryAfter(r))
	} else {
		b.env.Error(r.ID)
	}
	b.finish(r)
}

// retryAfter returns how long the client should wait before it retries: a random part of the time left within the
// SLO, so that the retries of clients spread out. Where no time is left, for a client retry and for a request
// beyond its quota, it is a random part of the longest wait that clients honour.
func (b *Balancer) retryAfter(r *request) Nanos {
	left := r.arrivedAt + r.product.LatencySLO - b.env.Now()
	if left <= 0 || r.ClientRetry || r.overQuota {
		left = b.config.MaxRetryAfter
	}
	return min(b.config.MaxRetryAfter, Nanos(float64(left)*(0.3+0.4*b.randomFloat())))
}

// finish ends a request and cancels its open attempts where allowed. The request is kept until all its attempts
// have ended, as their outcomes still count in the statistics.
func (b *Balancer) finish(r *request) {
	if !r.finished {
		r.finished = true
		for i, a := range r.attempts {
			if a.inFlight && b.config.MayCancel && !r.streaming {
				b.env.Cancel(r.ID, i)
			}
		}
	}
	if r.inFlight == 0 {
		delete(b.requests, r.ID)
	}
}

// RequestAbandoned reports that the client has left.
func (b *Balancer) RequestAbandoned(id RequestID) {
	if r := b.requests[id]; r != nil && !r.finished {
		b.finish(r)
	}
}

// AnswerStarted reports that an answer has begun; from then on the client timeout does not apply. The host has done its work: how long
// the transfer takes depends on the client, so the attempt no longer counts against the host's limit.
func (b *Balancer) AnswerStarted(id RequestID) {
	r := b.requests[id]
	if r == nil || r.streaming {
		return
	}
	r.streaming = true
	b.setInFlightCounted(r, false)
}

// WriteReceived reports that the last byte of a long write has arrived, which fixes the client's deadline. Until then the host has had
// nothing to do, so only from now on the attempt counts against its limit.
func (b *Balancer) WriteReceived(id RequestID, deadline Nanos) {
	if r := b.requests[id]; r != nil && !r.finished {
		r.ValueArriving = false
		b.setInFlightCounted(r, true)
		r.Deadline = deadline
		b.env.SetTimer(max(0, deadline-b.env.Now()-2*b.config.TimerGranularity), TimerID("e"+id))
	}
}

// TimerFired reports that a timer set by Environment.SetTimer has expired.
func (b *Balancer) TimerFired(id TimerID) {
	switch id {
	case "beat":
		b.env.SetTimer(maintenanceInterval, "beat")
		b.recomputeSums()
		if slot := int(b.env.Now() / keySlotLength % keySlotCount); slot != b.keys.slot {
			b.rotateKeySlots(slot)
		}
		return
	case "list":
		b.listRequestPending = false
		b.env.Subscribe()
		return
	}
	if r := b.requests[RequestID(id[1:])]; r != nil && !r.finished && !r.streaming {
		b.giveUp(r)
	}
}
