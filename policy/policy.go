// Package policy decides where each request goes. A Balancer is made by New with the Terms of its
// deployment; from then on one method is called for each thing that happens (Listed, Arrived, Ended,
// Streaming, Abandoned, TimerFired), and it acts by calling the Host it was made with, declared in types.go.
// It is not safe for concurrent use, keeps no clock and shares nothing.
// Reading order: policy.go, the life of a request; routing.go, ring.go and replication.go, where it goes; retry.go, what may be
// sent again; origin.go; slowstart.go, health.go, concurrency.go, fairness.go, loadreport.go, what a host and the
// fleet bear; membership.go, the list. What is remembered stands in state.go, meter.go and chance.go.
package policy

// New makes a balancer that starts with nothing; its list follows by Listed.
func New(host Host, terms Terms, seed uint64) *Balancer {
	b := &Balancer{host: host, terms: terms, seed: seedHash(seed), began: host.Now(), caches: map[CacheID]*cache{},
		out: map[CacheID]bool{}, ofKind: map[Kind]float64{}, zones: map[Zone]*meter{}, calls: map[CallID]*call{},
		table: keyTable{at: map[Key]int{}}, allowances: make([]allowance, len(terms.Customers)),
		tempos: make([]meter, 2*len(terms.Products)), origin: &cache{limit: mostOut / 4},
		fleetBears: sparseOut / float64(terms.Balancers)}
	for i, p := range terms.Products {
		b.topValue = max(b.topValue, p.BilledValue)
		b.tempos[2*i].width, b.tempos[2*i+1].width = calmSlot, calmSlot
	}
	host.SetTimer(beatEvery, "beat")
	return b
}

// Arrived takes a request; from here on it is owed one final answer.
func (b *Balancer) Arrived(in Call) {
	now := b.host.Now()
	if in.Key == "" {
		in.Key = Key(in.ID)
	}
	c := &call{Call: in, terms: &b.terms.Products[in.Product], began: now}
	// Two ticks before the client leaves: a timer fires up to one tick late, and its answer must still count.
	b.host.SetTimer(max(0, in.Deadline-now-2*b.terms.Tick), TimerID("e"+in.ID))
	b.calls[in.ID] = c
	b.count(c)
	c.above = b.beyondAllowance(c)
	switch {
	case c.Work > c.terms.LatencySLO && c.terms.OverdueValue == 0,
		c.above && b.chance() < max(b.squeeze, b.meanHeld()/4):
		b.giveUp(c)
	case b.terms.Aside && c.Write: // caches do not take writes here
		b.askOrigin(c)
	default:
		b.toCache(c)
	}
}

// Ended takes the outcome of an attempt.
func (b *Balancer) Ended(e Ending) {
	now := b.host.Now()
	h, c := b.caches[e.Cache], b.calls[e.Call]
	if h != nil {
		if h.out > 0 {
			h.out--
			if h.place > 0 {
				b.attemptsOut--
			}
		}
		h.lastEnded, h.took = now, e.Took.seconds()
		b.forget(h)
	}
	if c == nil || e.Attempt < 0 || e.Attempt >= len(c.attempts) || !c.attempts[e.Attempt].out {
		return
	}
	s := &c.attempts[e.Attempt]
	s.out, s.ran, s.nobody = false, MayHaveRun(e.Outcome), e.Outcome == ConnectFailed
	if h != nil && h != b.origin && e.Outcome != NeverSent {
		b.met.tell(now, !s.nobody, s.nobody)
		if !s.nobody {
			h.metAt = now
		}
	}
	c.out--
	if h != nil {
		b.learn(h, c, e, s)
	}
	if e.Attempt > 0 && s.at != b.origin && !c.missed && e.Outcome != NeverSent && e.Outcome != Missed &&
		e.Outcome != ConnectFailed {
		b.further.tell(now, e.Outcome == Fulfilled, e.Outcome != Fulfilled)
	}
	switch {
	case e.Final || e.Outcome == Fulfilled || c.over:
		b.finish(c)
	case e.Outcome == Missed && b.terms.Aside: // elsewhere there is no origin to ask
		c.missed = true
		b.askOrigin(c)
	case c.out == 0:
		b.again(c, s.at)
	}
}

// giveUp ends a request that gets no answer: at once, so that the client can act.
func (b *Balancer) giveUp(c *call) {
	if b.mayRateLimit(c) {
		b.host.RateLimit(c.ID, b.comeBack(c))
	} else {
		b.host.Error(c.ID)
	}
	b.finish(c)
}

// comeBack spreads returning clients: within the SLO if there is time, else as late as they will honour.
func (b *Balancer) comeBack(c *call) Nanos {
	left := c.began + c.terms.LatencySLO - b.host.Now()
	if left <= 0 || c.Repeat || c.above {
		left = b.terms.MaxComeBack
	}
	return min(b.terms.MaxComeBack, Nanos(float64(left)*(0.3+0.4*b.chance())))
}

// finish forgets a request once all of its attempts have ended; until then they still teach.
func (b *Balancer) finish(c *call) {
	if !c.over {
		c.over = true
		for i, s := range c.attempts {
			if s.out && b.terms.MayCancel && !c.stream {
				b.host.Cancel(c.ID, i)
			}
		}
	}
	if c.out == 0 {
		delete(b.calls, c.ID)
	}
}

// Abandoned hears that the client has left.
func (b *Balancer) Abandoned(id CallID) {
	if c := b.calls[id]; c != nil && !c.over {
		b.finish(c)
	}
}

// Streaming hears that an answer has begun; it has no client timeout any more.
func (b *Balancer) Streaming(id CallID) {
	if c := b.calls[id]; c != nil {
		c.stream = true
	}
}

// Came hears that the last byte of a long write has come, which fixes the client's deadline.
func (b *Balancer) Came(id CallID, deadline Nanos) {
	if c := b.calls[id]; c != nil && !c.over {
		c.Deadline = deadline
		b.host.SetTimer(max(0, deadline-b.host.Now()-2*b.terms.Tick), TimerID("e"+id))
	}
}

// TimerFired gets back what Host.SetTimer was given.
func (b *Balancer) TimerFired(id TimerID) {
	switch id {
	case "beat":
		b.host.SetTimer(beatEvery, "beat")
		b.weigh()
		if slot := int(b.host.Now() / keySlot % keySlots); slot != b.table.slot {
			b.rotate(slot)
		}
		return
	case "list":
		b.retrying = false
		b.host.Subscribe()
		return
	}
	if c := b.calls[CallID(id[1:])]; c != nil && !c.over && !c.stream {
		b.giveUp(c)
	}
}
