package virtual

import (
	"fmt"
	"io"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"streamrail/internal/rehearsal/gather"
	"streamrail/internal/rehearsal/judge"
	"streamrail/internal/rehearsal/load"
	"streamrail/internal/rehearsal/model"
	"streamrail/internal/rehearsal/record"
	"streamrail/internal/rehearsal/runner"
	"streamrail/internal/rehearsal/scenario"
	"streamrail/policy"
)

// Day is a rehearsal as it is played.
type Day struct {
	*scenario.Day
	clock
	rec              *record.Record
	hosts            map[string]*cacheHost
	hostsInOrder     []*cacheHost // in the order of their coming
	currentHost      map[string]*cacheHost
	origin           *origin
	discovery        *model.Register
	balancers        []*balancer
	attempts         []*attempt
	retry            model.Retry
	roundRobin       int
	latency          *hdrhistogram.Histogram
	trace            io.Writer // one line an event; nil: none
	deliberateFaults deliberateFaults
	members          *gather.Day          // nil: balancers do not speak
	observations     *observationExchange // nil: they do not speak of nodes
}

// deliberateFaults is what a day does to its modules on purpose, to see that the judge names it. Its zero value does nothing.
type deliberateFaults struct {
	alterOutcome   func(policy.Outcome) policy.Outcome // how an attempt's end is told
	hideDrains     bool                                // leaving hosts are not told of
	hideColdStarts bool                                // cold hosts are told to be warm
	alterReports   Liars                               // who tell something else of hosts than they saw
}

// tracef writes a line of the trace.
func (d *Day) tracef(format string, args ...any) {
	if d.trace != nil {
		fmt.Fprintf(d.trace, "%d "+format+"\n", append([]any{d.now.Nanoseconds()}, args...)...)
	}
}

// Play plays a day. Balancers' own resources, rude clients and reloads, which only sockets have, are left out.
// The trace, if there is one, is the same byte for byte for the same day and seed.
func Play(s *scenario.Day, trace io.Writer) (*runner.Result, error) {
	return play(s, trace, deliberateFaults{})
}

func play(s *scenario.Day, trace io.Writer, w deliberateFaults) (*runner.Result, error) {
	began := time.Now()
	arrivals, err := model.Arrivals(s.Seed, s.LoadTerms())
	if err != nil {
		return nil, err
	}
	d := &Day{Day: s, rec: record.New(), hosts: map[string]*cacheHost{}, currentHost: map[string]*cacheHost{}, retry: s.Retry(),
		latency: hdrhistogram.New(1, 60_000_000, 3), trace: trace, deliberateFaults: w}
	late := [2]time.Duration{s.Register.Late[0].D(), s.Register.Late[1].D()}
	d.discovery = model.NewRegister(s.Fleet.Balancers, late, model.Stream(s.Seed, "register"))
	d.origin = &origin{d: d, model: model.NewGateway(s.GatewayTerms(), 0), scheduledAt: never, rng: model.Stream(s.Seed, "faults gateway")}
	for b := range s.Fleet.Balancers {
		d.balancers = append(d.balancers, &balancer{d: d, index: b, zone: b % len(s.Fleet.Zones)})
	}
	ids, groups := s.NodeIDs()
	for _, id := range ids {
		n := d.addHost(id, groups[id], false)
		d.currentHost[id] = n
		for k := range int(s.Load.Warm * float64(s.Load.Keys)) {
			n.model.Keep(model.KeyName(k), 0, s.Load.ValueSize)
		}
		d.discovery.Set(0, n.listEntry(model.Active))
	}
	if s.Fleet.Mode == scenario.Aside {
		d.discovery.Set(0, model.Entry{Node: record.Gateway, Zone: s.Fleet.Zones[0], Kind: "origin", Condition: model.Active, Weight: 1})
	}
	d.discovery.Advance(0)
	if s.Mates.On {
		d.members = gather.NewDay(s, d.rec, nil)
	}
	for _, b := range d.balancers {
		b.start()
	}
	if s.Mates.On && s.Mates.Evidence {
		d.startObservationExchange(w.alterReports)
	}
	for i := range s.Faults {
		d.scheduleFault(i)
	}
	d.scheduleArrivals(arrivals, 0)
	longest := time.Duration(0)
	for _, p := range s.Products {
		longest = max(longest, p.ClientTimeout.D())
	}
	d.run(s.Length.D() + longest*time.Duration(1+s.Clients.Tries) + s.Clients.ComeBack.D())
	return d.result(began), nil
}

// scheduleArrivals lets one call after the other come; all at once would fill the clock with a day.
func (d *Day) scheduleArrivals(arrivals []model.Arrival, i int) {
	if i < len(arrivals) {
		d.at(arrivals[i].At, func() {
			d.sendRequest(&arrivals[i], 1)
			d.scheduleArrivals(arrivals, i+1)
		})
	}
}

// sendRequest makes a client's try of a call.
func (d *Day) sendRequest(arrival *model.Arrival, try int) {
	rec := &record.Call{ID: arrival.ID, Base: arrival.ID, Try: try, Tenant: arrival.Tenant, Product: arrival.Product, Key: arrival.Key, Mark: arrival.Mark, Once: arrival.Once,
		Due: d.now, Sent: d.now, Timeout: d.now + arrival.Patience}
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
		if rec.Reply, rec.ComeBack = reply, retryAfter; reply != record.None && reply != record.Closed {
			rec.Answered = d.now
		}
		if reply == record.Fulfilled {
			d.latency.RecordValue(min(60_000_000, max(1, (rec.Answered-rec.Due).Microseconds())))
		}
		d.rec.Calls = append(d.rec.Calls, *rec)
		d.tracef("answer %s %v %v", rec.ID, reply, retryAfter)
		harmless := reply == record.RateLimited || rec.NotTaken || d.Products[arrival.Product].Effect == scenario.Idempotent
		rng := model.Stream(d.Seed, fmt.Sprint("client ", arrival.ID, try))
		if wait, again := d.retry.Next(rng, try, harmless, retryAfter); again && reply != record.Fulfilled {
			d.after(wait, func() { d.sendRequest(arrival, try+1) })
		}
	}
	d.tracef("call %s %s to %d until %v", rec.ID, arrival.Key, b.index, rec.Timeout)
	req := &request{id: rec.ID, key: arrival.Key, mark: arrival.Mark, write: d.Products[arrival.Product].Write, record: rec, onAnswer: finish}
	d.after(d.Fleet.Same.D(), func() {
		if b.decider == nil {
			rec.NotTaken = true
			finish(record.None, 0)
			return
		}
		b.whenRunning(func() {
			if !done {
				b.receive(req)
			}
		}, func() {
			rec.Excused = true
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
		finish(record.None, 0)
	})
}

// pickBalancer deals a call to a balancer of its client's zone, else to any that the front holds for alive.
func (d *Day) pickBalancer(zone, tenant int) *balancer {
	if allowed := d.TenantAt(tenant, d.now); len(allowed) > 0 {
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

func (d *Day) drawWork(req *request) time.Duration {
	p := &d.Products[req.record.Product]
	return model.Work(d.Seed, req.id, p.Law, p.Work.D(), p.Variation)
}

// policyEntry is a register's line as the module takes it.
func (d *Day) policyEntry(e model.Entry) policy.Entry {
	p := policy.Entry{Cache: policy.CacheID(e.Node), Zone: policy.Zone(d.zoneIndex(e.Zone)), Condition: policy.Up, Size: e.Weight}
	if e.Kind == "origin" {
		p.Kind = 1
	}
	switch e.Condition {
	case model.Leaving:
		p.Condition = policy.Draining
	case model.Left:
		p.Condition = policy.Gone
	}
	if d.deliberateFaults.hideDrains {
		p.Condition = policy.Up
	}
	if e.Born > 0 && !d.deliberateFaults.hideColdStarts {
		p.Born = epoch + policy.Nanos(e.Born)
	}
	return p
}

func (d *Day) zoneIndex(name string) int {
	for i, z := range d.Fleet.Zones {
		if z == name {
			return i
		}
	}
	return len(d.Fleet.Zones)
}

var effects = map[string]policy.Effect{scenario.Idempotent: policy.Idempotent, scenario.Deduplicated: policy.Deduplicated,
	scenario.NonIdempotent: policy.NonIdempotent}

// policyTerms are what a balancer in a zone is told, as on sockets.
func (d *Day) policyTerms(zone int) policy.Terms {
	t := policy.Terms{Balancers: d.Fleet.Balancers, Zone: policy.Zone(zone), Aside: d.Fleet.Mode == scenario.Aside, OriginKind: -1, MayCancel: true,
		MostAttempts: d.Fleet.Attempts, MaxComeBack: policy.Nanos(d.Clients.ComeBack), ColdFrom: 1, FallMultiple: d.Rules.FallMultiple,
		FallWindow: policy.Nanos(d.Rules.FallFor), AskEvery: 10 * policy.Second, Tick: 5 * policy.Millisecond}
	if t.Aside {
		t.OriginKind = 1
	}
	for _, n := range d.Nodes {
		t.ColdFrom, t.RampTime = min(t.ColdFrom, n.ColdFrom), max(t.RampTime, policy.Nanos(n.WarmFor))
	}
	for _, p := range d.Products {
		t.Products = append(t.Products, policy.ProductTerms{LatencySLO: policy.Nanos(p.LatencySLO), BilledValue: p.BilledValue,
			Effect: effects[p.Effect], Window: policy.Nanos(p.Window)})
	}
	for _, x := range d.Tenants {
		t.Customers = append(t.Customers, policy.CustomerTerms{AllowancePerS: x.Share * d.Load.Quota * d.Capacity()})
	}
	return t
}

// result closes the record and has it judged.
func (d *Day) result(began time.Time) *runner.Result {
	for _, b := range d.balancers {
		b.stop()
	}
	for _, h := range d.hostsInOrder {
		if h.model != nil {
			d.rec.Strain(h.id, h.model.Strain())
		}
	}
	d.rec.Strain(record.Gateway, d.origin.model.Strain())
	for _, a := range d.attempts {
		if a.receivedAt == 0 {
			continue // given up on the way: no server saw it
		}
		r := record.Attempt{Call: a.request.id, Balancer: a.balancer.index, Server: a.serverName(), Began: a.sentAt, Came: a.sentAt, Told: max(0, a.reportedTimeout), Ended: a.endedAt, Proof: a.proof,
			Answered: a.answerComplete, Ran: a.executed, Cold: a.cold, Work: a.work, Write: a.request.write, Swallowed: a.dropped}
		d.rec.Attempts = append(d.rec.Attempts, r)
	}
	res := &runner.Result{Day: d.Day, Record: d.rec, Latency: load.PercentilesOf(d.latency), Took: time.Since(began)}
	if d.members != nil {
		d.members.To(d.Length.D())
	}
	res.Verdict = judge.Judge(d.rec, runner.Terms(d.Day))
	return res
}
