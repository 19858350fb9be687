package virtual

import (
	"fmt"
	"io"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"streamrail/internal/rehearsal/judge"
	"streamrail/internal/rehearsal/load"
	"streamrail/internal/rehearsal/membersim"
	"streamrail/internal/rehearsal/model"
	"streamrail/internal/rehearsal/record"
	"streamrail/internal/rehearsal/runner"
	"streamrail/internal/rehearsal/scenario"
	"streamrail/policy"
)

// Simulation is a running simulation of a scenario.
type Simulation struct {
	*scenario.Scenario
	clock
	rec              *record.Record
	hosts            map[string]*cacheHost
	hostsInOrder     []*cacheHost          // in the order of their first start
	currentHost      map[string]*cacheHost // by the host's name in the scenario; a deploy replaces the host
	origin           *origin
	discovery        *model.Discovery
	balancers        []*balancer
	attempts         []*attempt
	retry            model.RetryPolicy // of the clients
	roundRobin       int               // number of balancer choices so far
	latency          *hdrhistogram.Histogram
	trace            io.Writer // receives one line for each event; nil: no trace
	deliberateFaults deliberateFaults
	members          *membersim.Simulation // nil: balancers do not communicate
	observations     *observationExchange  // nil: balancers do not exchange observations of hosts
}

// deliberateFaults gives the deciders false input, to check that the judge reports the rules that are broken by it. The zero
// value does nothing.
type deliberateFaults struct {
	alterOutcome   func(policy.Outcome) policy.Outcome // replaces the outcome of attempts
	hideDrains     bool                                // draining hosts are listed as up
	hideColdStarts bool                                // start times of hosts are left out, so that cold hosts seem warm
	alterReports   AlterReports                        // replaces the observations sent to other balancers
}

// tracef writes a line of the trace.
func (d *Simulation) tracef(format string, args ...any) {
	if d.trace != nil {
		fmt.Fprintf(d.trace, "%d "+format+"\n", append([]any{d.now.Nanoseconds()}, args...)...)
	}
}

// Simulate simulates a scenario. It leaves out what exists only on sockets: the balancers' own resources, misbehaving clients and
// reloads. If trace is not nil, it receives one line for each event; the same scenario and seed give the same trace byte for
// byte.
func Simulate(s *scenario.Scenario, trace io.Writer) (*runner.Result, error) {
	return simulate(s, trace, deliberateFaults{})
}

// simulate is Simulate with deliberate faults.
func simulate(s *scenario.Scenario, trace io.Writer, faults deliberateFaults) (*runner.Result, error) {
	began := time.Now()
	arrivals, err := model.Arrivals(s.Seed, s.LoadConfig())
	if err != nil {
		return nil, err
	}
	d := &Simulation{Scenario: s, rec: record.New(), hosts: map[string]*cacheHost{}, currentHost: map[string]*cacheHost{}, retry: s.RetryPolicy(),
		latency: hdrhistogram.New(1, 60_000_000, 3), trace: trace, deliberateFaults: faults}
	delays := [2]time.Duration{s.Discovery.Delay[0].Duration(), s.Discovery.Delay[1].Duration()}
	d.discovery = model.NewDiscovery(s.Fleet.Balancers, delays, model.NewRand(s.Seed, "register"))
	d.origin = &origin{simulation: d, model: model.NewOrigin(s.OriginConfig(), 0), scheduledAt: never, rng: model.NewRand(s.Seed, "faults gateway")}
	for b := range s.Fleet.Balancers {
		d.balancers = append(d.balancers, &balancer{simulation: d, index: b, zone: b % len(s.Fleet.Zones)})
	}
	ids, groups := s.HostIDs()
	for _, id := range ids {
		h := d.addHost(id, groups[id], false)
		d.currentHost[id] = h
		for k := range int(s.Load.WarmRatio * float64(s.Load.Keys)) {
			h.model.CacheValue(model.KeyName(k), 0, s.Load.ValueSize)
		}
		d.discovery.Set(0, h.listEntry(model.Active))
	}
	if s.Fleet.Mode == scenario.ModeAside {
		d.discovery.Set(0, model.Entry{Host: record.Origin, Zone: s.Fleet.Zones[0], MachineType: "origin", Lifecycle: model.Active, Weight: 1})
	}
	d.discovery.Advance(0)
	if s.Membership.Enabled {
		d.members = membersim.NewSimulation(s, d.rec, nil)
	}
	for _, b := range d.balancers {
		b.start()
	}
	if s.Membership.Enabled && s.Membership.ShareObservations {
		d.startObservationExchange(faults.alterReports)
	}
	for i := range s.Faults {
		d.scheduleFault(i)
	}
	d.scheduleArrivals(arrivals, 0)
	longest := time.Duration(0)
	for _, p := range s.Products {
		longest = max(longest, p.ClientTimeout.Duration())
	}
	d.run(s.Length.Duration() + longest*time.Duration(1+s.Clients.MaxRetries) + s.Clients.MaxRetryAfter.Duration())
	return d.result(began), nil
}

// scheduleArrivals schedules the next request, which schedules the one after it. Scheduling all at once would fill the event
// queue with the requests of the whole scenario.
func (d *Simulation) scheduleArrivals(arrivals []model.Arrival, i int) {
	if i < len(arrivals) {
		d.at(arrivals[i].At, func() {
			d.sendRequest(&arrivals[i], 1)
			d.scheduleArrivals(arrivals, i+1)
		})
	}
}

// sendRequest sends a client's request or, if try is above 1, a client retry of it. It schedules the next client retry, if any.
func (d *Simulation) sendRequest(arrival *model.Arrival, try int) {
	rec := &record.Request{ID: arrival.ID, FirstID: arrival.ID, Try: try, Tenant: arrival.Tenant, Product: arrival.Product, Key: arrival.Key, DedupToken: arrival.DedupToken, KeyUsedOnce: arrival.KeyUsedOnce,
		ScheduledAt: d.now, Sent: d.now, Timeout: d.now + arrival.Timeout}
	if try > 1 {
		rec.ID = fmt.Sprintf("%s.%d", arrival.ID, try)
	}
	b := d.pickBalancer(arrival.Zone, arrival.Tenant)
	rec.Balancer = b.index
	done := false
	finish := func(reply record.Reply, retryAfter time.Duration) {
		if done {
			return
		}
		done = true
		if rec.Reply, rec.RetryAfter = reply, retryAfter; reply != record.NoAnswer && reply != record.Closed {
			rec.Answered = d.now
		}
		if reply == record.Fulfilled {
			d.latency.RecordValue(min(60_000_000, max(1, (rec.Answered-rec.ScheduledAt).Microseconds())))
		}
		d.rec.Requests = append(d.rec.Requests, *rec)
		d.tracef("answer %s %v %v", rec.ID, reply, retryAfter)
		harmless := reply == record.RateLimited || rec.NotSent || d.Products[arrival.Product].Effect == scenario.Idempotent
		rng := model.NewRand(d.Seed, fmt.Sprint("client ", arrival.ID, try))
		if wait, again := d.retry.NextDelay(rng, try, harmless, retryAfter); again && reply != record.Fulfilled {
			d.after(wait, func() { d.sendRequest(arrival, try+1) })
		}
	}
	d.tracef("call %s %s to %d until %v", rec.ID, arrival.Key, b.index, rec.Timeout)
	req := &request{id: rec.ID, key: arrival.Key, dedupToken: arrival.DedupToken, write: d.Products[arrival.Product].Write, record: rec, onAnswer: finish}
	d.after(d.Fleet.SameZoneDelay.Duration(), func() {
		if b.decider == nil {
			rec.NotSent = true
			finish(record.NoAnswer, 0)
			return
		}
		b.whenRunning(func() {
			if !done {
				b.receive(req)
			}
		}, func() {
			rec.BalancerStopped = true
			finish(record.Closed, 0)
		})
	})
	d.at(rec.Timeout, func() {
		if done {
			return
		}
		if req.balancer != nil && !req.answered {
			b.whenRunning(func() { b.clientGone(req) }, nil)
		}
		finish(record.NoAnswer, 0)
	})
}

// pickBalancer chooses a balancer for a request, in turn among those that get traffic: first among the balancers that the
// scenario sets for the tenant now, then in the client's zone, then in any zone.
func (d *Simulation) pickBalancer(zone, tenant int) *balancer {
	if allowed := d.TenantBalancers(tenant, d.now); len(allowed) > 0 {
		d.roundRobin++
		for i := range allowed {
			if b := d.balancers[allowed[(d.roundRobin+i)%len(allowed)]]; b.getsTraffic {
				return b
			}
		}
	}
	for _, sameZone := range []bool{true, false} {
		d.roundRobin++
		for i := range d.balancers {
			if b := d.balancers[(d.roundRobin+i)%len(d.balancers)]; b.getsTraffic && (!sameZone || b.zone == zone) {
				return b
			}
		}
	}
	return d.balancers[0]
}

// drawWork returns the service time that a request needs at a cache host, drawn by the product's distribution.
func (d *Simulation) drawWork(req *request) time.Duration {
	p := &d.Products[req.record.Product]
	return model.RequestWork(d.Seed, req.id, p.Distribution, p.Work.Duration(), p.Variation)
}

// policyEntry converts an entry of the discovery model to the form of package policy.
func (d *Simulation) policyEntry(e model.Entry) policy.HostEntry {
	p := policy.HostEntry{HostID: policy.HostID(e.Host), Zone: policy.Zone(d.zoneIndex(e.Zone)), Condition: policy.Up, Size: e.Weight}
	if e.MachineType == "origin" {
		p.Kind = 1
	}
	switch e.Lifecycle {
	case model.Leaving:
		p.Condition = policy.Draining
	case model.Left:
		p.Condition = policy.Gone
	}
	if d.deliberateFaults.hideDrains {
		p.Condition = policy.Up
	}
	if e.StartedAt > 0 && !d.deliberateFaults.hideColdStarts {
		p.ListedStart = epoch + policy.Nanos(e.StartedAt)
	}
	return p
}

// zoneIndex returns the index of a zone; unknown zones get the index after the last one.
func (d *Simulation) zoneIndex(name string) int {
	for i, z := range d.Fleet.Zones {
		if z == name {
			return i
		}
	}
	return len(d.Fleet.Zones)
}

// effects maps the effects of products in scenario files to those of package policy.
var effects = map[string]policy.Effect{scenario.Idempotent: policy.Idempotent, scenario.Deduplicated: policy.Deduplicated,
	scenario.NonIdempotent: policy.NonIdempotent}

// policyTerms returns the configuration of the decider of a balancer in a zone, the same as on sockets.
func (d *Simulation) policyTerms(zone int) policy.Config {
	t := policy.Config{Balancers: d.Fleet.Balancers, Zone: policy.Zone(zone), CacheAside: d.Fleet.Mode == scenario.ModeAside, OriginKind: -1, MayCancel: true,
		MaxAttempts: d.Fleet.Attempts, MaxRetryAfter: policy.Nanos(d.Clients.MaxRetryAfter), ColdCapacityFraction: 1, OverloadMultiple: d.Rules.OverloadMultiple,
		OverloadWindow: policy.Nanos(d.Rules.OverloadWindow), SubscribeInterval: 10 * policy.Second, TimerGranularity: 5 * policy.Millisecond}
	if t.CacheAside {
		t.OriginKind = 1
	}
	for _, h := range d.Hosts {
		t.ColdCapacityFraction, t.WarmUpTime = min(t.ColdCapacityFraction, h.ColdCapacity), max(t.WarmUpTime, policy.Nanos(h.WarmUpTime))
	}
	for _, p := range d.Products {
		t.Products = append(t.Products, policy.ProductConfig{LatencySLO: policy.Nanos(p.LatencySLO), BilledValue: p.BilledValue,
			Effect: effects[p.Effect], DedupWindow: policy.Nanos(p.Window)})
	}
	for _, x := range d.Tenants {
		t.Customers = append(t.Customers, policy.CustomerConfig{QuotaPerSecond: x.Share * d.Load.QuotaRatio * d.Capacity()})
	}
	return t
}

// result completes the record and checks it with package judge.
func (d *Simulation) result(began time.Time) *runner.Result {
	for _, b := range d.balancers {
		b.stop()
	}
	for _, h := range d.hostsInOrder {
		if h.model != nil {
			d.rec.RecordLoad(h.id, h.model.MaxLoadMultiple())
		}
	}
	d.rec.RecordLoad(record.Origin, d.origin.model.MaxLoadMultiple())
	for _, a := range d.attempts {
		if a.receivedAt == 0 {
			continue // cancelled in transit: no server received it
		}
		r := record.Attempt{RequestID: a.request.id, Balancer: a.balancer.index, Server: a.serverName(), FirstByteAt: a.sentAt, ArrivedAt: a.sentAt, TimeLeft: max(0, a.reportedTimeout), Ended: a.endedAt, Proof: a.proof,
			Answered: a.answerComplete, Ran: a.executed, Cold: a.cold, Work: a.work, Write: a.request.write, LostOnLink: a.dropped}
		d.rec.Attempts = append(d.rec.Attempts, r)
	}
	res := &runner.Result{Scenario: d.Scenario, Record: d.rec, Latency: load.PercentilesOf(d.latency), Elapsed: time.Since(began)}
	if d.members != nil {
		d.members.RunTo(d.Length.Duration())
	}
	res.Verdict = judge.Judge(d.rec, runner.JudgeConfig(d.Scenario))
	return res
}
