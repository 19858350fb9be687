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
	rec       *record.Record
	nodes     map[string]*node
	order     []*node // in the order of their coming
	place     map[string]*node
	gateway   *gateway
	register  *model.Register
	balancers []*balancer
	attempts  []*attempt
	retry     model.Retry
	turn      int
	latency   *hdrhistogram.Histogram
	trace     io.Writer // one line an event; nil: none
	wrong     wrong
	mates     *gather.Day // nil: balancers do not speak
	evidence  *evidenceOf // nil: they do not speak of nodes
}

// wrong is what a day does to its modules on purpose, to see that the judge names it. Its zero value does nothing.
type wrong struct {
	lie   func(policy.Outcome) policy.Outcome // how an attempt's end is told
	deaf  bool                                // leaving hosts are not told of
	warm  bool                                // cold hosts are told to be warm
	liars Liars                               // who tell something else of hosts than they saw
}

// note writes a line of the trace.
func (d *Day) note(form string, args ...any) {
	if d.trace != nil {
		fmt.Fprintf(d.trace, "%d "+form+"\n", append([]any{d.now.Nanoseconds()}, args...)...)
	}
}

// Play plays a day. Balancers' own resources, rude clients and reloads, which only sockets have, are left out.
// The trace, if there is one, is the same byte for byte for the same day and seed.
func Play(s *scenario.Day, trace io.Writer) (*runner.Result, error) {
	return play(s, trace, wrong{})
}

func play(s *scenario.Day, trace io.Writer, w wrong) (*runner.Result, error) {
	began := time.Now()
	arrivals, err := model.Arrivals(s.Seed, s.LoadTerms())
	if err != nil {
		return nil, err
	}
	d := &Day{Day: s, rec: record.New(), nodes: map[string]*node{}, place: map[string]*node{}, retry: s.Retry(),
		latency: hdrhistogram.New(1, 60_000_000, 3), trace: trace, wrong: w}
	late := [2]time.Duration{s.Register.Late[0].Duration(), s.Register.Late[1].Duration()}
	d.register = model.NewRegister(s.Fleet.Balancers, late, model.Stream(s.Seed, "register"))
	d.gateway = &gateway{d: d, m: model.NewGateway(s.GatewayTerms(), 0), dueAt: idle, chance: model.Stream(s.Seed, "faults gateway")}
	for b := range s.Fleet.Balancers {
		d.balancers = append(d.balancers, &balancer{d: d, index: b, zone: b % len(s.Fleet.Zones)})
	}
	ids, groups := s.NodeIDs()
	for _, id := range ids {
		n := d.addNode(id, groups[id], false)
		d.place[id] = n
		for k := range int(s.Load.Warm * float64(s.Load.Keys)) {
			n.m.Keep(model.KeyName(k), 0, s.Load.ValueSize)
		}
		d.register.Set(0, n.entry(model.Active))
	}
	if s.Fleet.Mode == scenario.Aside {
		d.register.Set(0, model.Entry{Node: record.Gateway, Zone: s.Fleet.Zones[0], Kind: "origin", Condition: model.Active, Weight: 1})
	}
	d.register.Advance(0)
	if s.Mates.On {
		d.mates = gather.NewDay(s, d.rec, nil)
	}
	for _, b := range d.balancers {
		b.start()
	}
	if s.Mates.On && s.Mates.Evidence {
		d.shareEvidence(w.liars)
	}
	for i := range s.Faults {
		d.fault(i)
	}
	d.next(arrivals, 0)
	longest := time.Duration(0)
	for _, p := range s.Products {
		longest = max(longest, p.ClientTimeout.Duration())
	}
	d.run(s.Length.Duration() + longest*time.Duration(1+s.Clients.Tries) + s.Clients.ComeBack.Duration())
	return d.result(began), nil
}

// next lets one call after the other come; all at once would fill the clock with a day.
func (d *Day) next(arrivals []model.Arrival, i int) {
	if i < len(arrivals) {
		d.at(arrivals[i].At, func() {
			d.try(&arrivals[i], 1)
			d.next(arrivals, i+1)
		})
	}
}

// try makes a client's try of a call.
func (d *Day) try(a *model.Arrival, try int) {
	k := &record.Call{ID: a.ID, Base: a.ID, Try: try, Tenant: a.Tenant, Product: a.Product, Key: a.Key, Mark: a.Mark, Once: a.Once,
		Due: d.now, Sent: d.now, Timeout: d.now + a.Patience}
	if try > 1 {
		k.ID = fmt.Sprintf("%s.%d", a.ID, try)
	}
	b := d.pick(a.Zone, a.Tenant)
	k.Balancer = b.index
	over := false
	ends := func(reply record.Reply, comeBack time.Duration) {
		if over {
			return
		}
		over = true
		if k.Reply, k.ComeBack = reply, comeBack; reply != record.None && reply != record.Closed {
			k.Answered = d.now
		}
		if reply == record.Fulfilled {
			d.latency.RecordValue(min(60_000_000, max(1, (k.Answered-k.Due).Microseconds())))
		}
		d.rec.Calls = append(d.rec.Calls, *k)
		d.note("answer %s %v %v", k.ID, reply, comeBack)
		harmless := reply == record.RateLimited || k.NotTaken || d.Products[a.Product].Effect == scenario.Idempotent
		chance := model.Stream(d.Seed, fmt.Sprint("client ", a.ID, try))
		if wait, again := d.retry.Next(chance, try, harmless, comeBack); again && reply != record.Fulfilled {
			d.after(wait, func() { d.try(a, try+1) })
		}
	}
	d.note("call %s %s to %d until %v", k.ID, a.Key, b.index, k.Timeout)
	c := &call{id: k.ID, key: a.Key, mark: a.Mark, write: d.Products[a.Product].Write, rec: k, answered: ends}
	d.after(d.Fleet.Same.Duration(), func() {
		if b.mod == nil {
			k.NotTaken = true
			ends(record.None, 0)
			return
		}
		b.awake(func() {
			if !over {
				b.take(c)
			}
		}, func() {
			k.Excused = true
			ends(record.Closed, 0)
		})
	})
	d.at(k.Timeout, func() {
		if over {
			return
		}
		if c.b != nil && !c.settled {
			b.awake(func() { b.abandoned(c) }, nil)
		}
		ends(record.None, 0)
	})
}

// pick deals a call to a balancer of its client's zone, else to any that the front holds for alive.
func (d *Day) pick(zone, tenant int) *balancer {
	if use := d.TenantAt(tenant, d.now); len(use) > 0 {
		d.turn++
		for i := range use {
			if b := d.balancers[use[(d.turn+i)%len(use)]]; b.dealt {
				return b
			}
		}
	}
	for _, own := range []bool{true, false} {
		d.turn++
		for i := range d.balancers {
			if b := d.balancers[(d.turn+i)%len(d.balancers)]; b.dealt && (!own || b.zone == zone) {
				return b
			}
		}
	}
	return d.balancers[0]
}

func (d *Day) work(c *call) time.Duration {
	p := &d.Products[c.rec.Product]
	return model.Work(d.Seed, c.id, p.Law, p.Work.Duration(), p.Variation)
}

// entry is a register's line as the module takes it.
func (d *Day) entry(e model.Entry) policy.HostEntry {
	p := policy.HostEntry{HostID: policy.HostID(e.Node), Zone: policy.Zone(d.zoneOf(e.Zone)), Condition: policy.Up, Size: e.Weight}
	if e.Kind == "origin" {
		p.Kind = 1
	}
	switch e.Condition {
	case model.Leaving:
		p.Condition = policy.Draining
	case model.Left:
		p.Condition = policy.Gone
	}
	if d.wrong.deaf {
		p.Condition = policy.Up
	}
	if e.Born > 0 && !d.wrong.warm {
		p.ListedStart = epoch + policy.Nanos(e.Born)
	}
	return p
}

func (d *Day) zoneOf(name string) int {
	for i, z := range d.Fleet.Zones {
		if z == name {
			return i
		}
	}
	return len(d.Fleet.Zones)
}

var effects = map[string]policy.Effect{scenario.Idempotent: policy.Idempotent, scenario.Deduplicated: policy.Deduplicated,
	scenario.NonIdempotent: policy.NonIdempotent}

// terms are what a balancer in a zone is told, as on sockets.
func (d *Day) terms(zone int) policy.Config {
	t := policy.Config{Balancers: d.Fleet.Balancers, Zone: policy.Zone(zone), CacheAside: d.Fleet.Mode == scenario.Aside, OriginKind: -1, MayCancel: true,
		MaxAttempts: d.Fleet.Attempts, MaxRetryAfter: policy.Nanos(d.Clients.ComeBack), ColdCapacityFraction: 1, OverloadMultiple: d.Rules.FallMultiple,
		OverloadWindow: policy.Nanos(d.Rules.FallFor), SubscribeInterval: 10 * policy.Second, TimerGranularity: 5 * policy.Millisecond}
	if t.CacheAside {
		t.OriginKind = 1
	}
	for _, n := range d.Nodes {
		t.ColdCapacityFraction, t.WarmUpTime = min(t.ColdCapacityFraction, n.ColdFrom), max(t.WarmUpTime, policy.Nanos(n.WarmFor))
	}
	for _, p := range d.Products {
		t.Products = append(t.Products, policy.ProductConfig{LatencySLO: policy.Nanos(p.LatencySLO), BilledValue: p.BilledValue,
			Effect: effects[p.Effect], DedupWindow: policy.Nanos(p.Window)})
	}
	for _, x := range d.Tenants {
		t.Customers = append(t.Customers, policy.CustomerConfig{QuotaPerSecond: x.Share * d.Load.Quota * d.Capacity()})
	}
	return t
}

// result closes the record and has it judged.
func (d *Day) result(began time.Time) *runner.Result {
	for _, b := range d.balancers {
		b.stop()
	}
	for _, n := range d.order {
		if n.m != nil {
			d.rec.Strain(n.id, n.m.Strain())
		}
	}
	d.rec.Strain(record.Gateway, d.gateway.m.Strain())
	for _, s := range d.attempts {
		if s.came == 0 {
			continue // given up on the way: no server saw it
		}
		r := record.Attempt{Call: s.call.id, Balancer: s.b.index, Server: s.server(), Began: s.sent, Came: s.sent, Told: max(0, s.told), Ended: s.ended, Proof: s.proof,
			Answered: s.whole, Ran: s.ran, Cold: s.cold, Work: s.work, Write: s.call.write, Swallowed: s.swallowed}
		d.rec.Attempts = append(d.rec.Attempts, r)
	}
	res := &runner.Result{Day: d.Day, Record: d.rec, Latency: load.PercentilesOf(d.latency), Took: time.Since(began)}
	if d.mates != nil {
		d.mates.To(d.Length.Duration())
	}
	res.Verdict = judge.Judge(d.rec, runner.Terms(d.Day))
	return res
}
