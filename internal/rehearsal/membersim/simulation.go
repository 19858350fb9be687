package membersim

import (
	"fmt"
	"slices"
	"time"

	"streamrail/internal/fleet/member"
	"streamrail/internal/fleet/share"
	"streamrail/internal/rehearsal/faults"
	"streamrail/internal/rehearsal/record"
	"streamrail/internal/rehearsal/scenario"
)

// action is a step of the scenario, such as the begin of a fault, with its time.
type action struct {
	at time.Duration
	do func()
}

// Simulation simulates the communication between the balancers of a scenario in virtual time and records it for the judge.
type Simulation struct {
	*Fleet
	scenario      *scenario.Scenario
	rec           *record.Record
	actions       []action
	memberLife    []int // by balancer: index into rec.Memberships of its last process; -1: none was started
	wrongSeeds    map[int]bool
	requestCounts [][]requestCounter // by balancer and tenant
}

// requestCounter counts a tenant's requests at one balancer over the last intervals of length share.TickInterval.
type requestCounter struct {
	interval int                      // index of the current interval
	counts   [share.NeedTicks + 1]int // ring buffer by interval, including the unfinished current one
}

// advance moves the counter to the current interval and clears the intervals that it enters.
func (a *requestCounter) advance(now time.Duration) {
	interval := int(now / share.TickInterval)
	for k := a.interval + 1; k <= min(interval, a.interval+len(a.counts)); k++ {
		a.counts[k%len(a.counts)] = 0
	}
	a.interval = interval
}

// perS returns the rate of requests per second over the finished intervals.
func (a *requestCounter) perS(now time.Duration) float64 {
	a.advance(now)
	sum := -a.counts[a.interval%len(a.counts)]
	for _, n := range a.counts {
		sum += n
	}
	return float64(sum) / (share.NeedTicks * share.TickInterval.Seconds())
}

// viewInterval is how often the members' views are recorded. A rehearsal on sockets polls the admin APIs at the same interval.
const viewInterval = 250 * time.Millisecond

// RestartAfter is how long a balancer that is restarted on request goes on running, because clients still use their open connections.
const RestartAfter = 3 * time.Second

// NewSimulation starts the balancers of a scenario, schedules the scenario's faults and records the results in rec. If configure is
// not nil, it may change the simulation before the balancers start; tests use it.
func NewSimulation(sc *scenario.Scenario, rec *record.Record, configure func(*Fleet)) *Simulation {
	m := sc.Membership
	d := &Simulation{scenario: sc, rec: rec, wrongSeeds: map[int]bool{}, Fleet: New(Config{Members: sc.Fleet.Balancers, Zones: len(sc.Fleet.Zones), Seeds: 3, ProbePeriod: m.ProbePeriod.Duration(), SuspicionTimeout: m.SuspicionTimeout.Duration(),
		GossipBytesPerSecond: m.GossipBytesPerSecond, Seed: sc.Seed, Links: m.LinkConfig()})}
	d.nameOverrides = map[int]int{}
	if m.ShareLimits {
		d.Limits = d.newShares()
	}
	if configure != nil {
		configure(d.Fleet)
	}
	for i := range d.Members {
		d.memberLife = append(d.memberLife, -1)
		d.start(i)
	}
	for i := range sc.Faults {
		d.scheduleFault(i)
	}
	for at := viewInterval; at <= sc.Length.Duration(); at += viewInterval {
		d.at(at, d.recordViews)
	}
	slices.SortStableFunc(d.actions, func(a, b action) int { return int(a.at - b.at) })
	return d
}

// RunTo advances the simulation up to the given time, including the scheduled faults.
func (d *Simulation) RunTo(until time.Duration) {
	for len(d.actions) > 0 && d.actions[0].at <= until {
		x := d.actions[0]
		d.actions = d.actions[1:]
		d.Run(x.at)
		x.do()
	}
	d.Run(until)
}

// CountRequest counts a request of a tenant that a balancer has received now.
func (d *Simulation) CountRequest(balancer, tenant int) {
	if d.Limits != nil {
		a := &d.requestCounts[balancer][tenant]
		a.advance(d.Now)
		a.counts[a.interval%len(a.counts)]++
	}
}

// QuotaShares calls yield with the fraction of each tenant's quota that the balancer may use now. It does nothing if shares do
// not move between balancers.
func (d *Simulation) QuotaShares(balancer int, yield func(tenant int, fraction float64)) {
	m := d.Members[balancer]
	if m.Share == nil {
		return
	}
	for t, limit := range d.Limits.Limit {
		yield(t, m.Share.Part(d.Now, t).Of(m.Share.Limit(t))/limit)
	}
}

func (d *Simulation) at(at time.Duration, do func()) { d.actions = append(d.actions, action{at, do}) }

func formatID(l member.ProcessID) string { return fmt.Sprintf("%016x", uint64(l)) }

func (d *Simulation) start(i int) {
	if d.Members[i].Machine != nil {
		return
	}
	d.nextSeedsWrong = d.wrongSeeds[i]
	d.Start(i)
	d.nextSeedsWrong = false
	d.memberLife[i] = len(d.rec.Memberships)
	d.rec.Memberships = append(d.rec.Memberships, record.Membership{Balancer: i, ProcessID: formatID(d.Members[i].ProcessID()), From: d.Now})
}

func (d *Simulation) stop(i int, leave bool) {
	if d.Members[i].Machine == nil {
		return
	}
	d.rec.Memberships[d.memberLife[i]].To = d.Now
	if leave {
		d.Leave(i)
	} else {
		d.Kill(i)
	}
}

// newShares returns the tenants' quotas as limits to be shared; the demand is the rate of the requests counted by CountRequest.
func (d *Simulation) newShares() *Limits {
	n := len(d.scenario.Tenants)
	s := &Limits{Lease: d.scenario.Membership.LeaseDuration.Duration(), Minimum: make([]float64, n)}
	for t := range n {
		s.Names, s.Limit, s.Step = append(s.Names, "allowance of "+d.scenario.Tenants[t].Name), append(s.Limit, d.scenario.TenantQuota(t)), append(s.Step, 1)
	}
	for range d.scenario.Fleet.Balancers {
		d.requestCounts = append(d.requestCounts, make([]requestCounter, n))
	}
	s.Demand = func(index, name int, now time.Duration) float64 { return d.requestCounts[index][name].perS(now) }
	return s
}

// recordViews records the membership view, the quota shares and the bytes sent so far of each running balancer.
func (d *Simulation) recordViews() {
	for i, m := range d.Members {
		if m.Machine == nil || m.StalledUntil > d.Now {
			continue
		}
		v := m.View()
		to := record.MembershipView{Balancer: i, At: d.Now, ProcessID: formatID(v.Self.Life), Situation: v.Situation.String(), Digest: formatID(member.ProcessID(v.Digest)),
			NameConflict: v.NameConflict.Life != 0}
		for _, o := range v.Members {
			to.Members = append(to.Members, record.Member{Name: o.Name, ProcessID: formatID(o.Life), State: o.State.String()})
		}
		d.rec.Views = append(d.rec.Views, to)
		for name := range len(d.scenario.Tenants) {
			if m.Share == nil {
				break
			}
			st := m.Share.State(d.Now, name)
			d.rec.LimitShares = append(d.rec.LimitShares, record.LimitShare{Balancer: i, At: d.Now, Limit: d.Limits.Names[name], Share: float64(st.Part) / float64(share.WholeLimit),
				Demand: st.Need, Quota: m.Share.Limit(name), Simultaneous: true})
		}
		d.rec.BytesSent = append(d.rec.BytesSent, record.BytesSent{Balancer: i, At: d.Now, Bytes: m.BytesSent})
	}
}

// scheduleFault schedules the scenario's i-th fault. Faults that do not concern the balancers themselves or the links between
// them have no effect here.
func (d *Simulation) scheduleFault(i int) {
	f := &d.scenario.Faults[i]
	from, to, targets := f.At.Duration(), (f.At + f.Length).Duration(), d.scenario.AffectedBalancers(i)
	switch f.Kind {
	case "balancer-kill":
		for _, b := range targets {
			d.at(from, func() { d.stop(b, false) })
			d.at(to, func() { d.start(b) })
		}
	case "balancer-astray":
		for _, b := range targets {
			d.at(from, func() { d.stop(b, false); d.wrongSeeds[b] = true; d.start(b) })
		}
	case "balancer-restart":
		for _, b := range targets {
			d.at(min(from+RestartAfter, d.scenario.Length.Duration()), func() { d.stop(b, true); d.start(b) })
		}
	case "balancer-stall":
		for _, b := range targets {
			d.at(from, func() {
				d.Stall(b, f.Length.Duration())
				d.rec.Pauses = append(d.rec.Pauses, record.Pause{Balancer: b, From: from, To: to})
			})
		}
	case "balancer-twin":
		b, other := targets[0], f.To[0]-1
		d.at(from, func() {
			d.stop(b, false)
			d.nameOverrides[b] = other
			d.start(b)
			d.rec.Pauses = append(d.rec.Pauses, record.Pause{Balancer: b, From: from, To: to, SameNameAs: other + 1})
		})
		d.at(to, func() {
			delete(d.nameOverrides, b)
			for _, x := range []int{b, other} {
				d.stop(x, false)
				d.start(x)
			}
		})
	case "mate-flap":
		faulty := false
		for at := from; at < to; at += f.Delay.Duration() {
			faulty = !faulty
			end := !faulty
			d.at(at, func() { d.changeLinks(i, end) })
		}
		d.at(to, func() { d.changeLinks(i, true) })
	case "mate-cut", "mate-loss", "mate-delay", "mate-repeat", "mate-reorder", "mate-spoil", "mate-narrow":
		d.at(from, func() { d.changeLinks(i, false) })
		d.at(to, func() { d.changeLinks(i, true) })
	}
	d.rec.LinkOutages = append(d.rec.LinkOutages, faults.LinkOutages(f, d.scenario.AffectedLinks(i))...)
}

// changeLinks applies a fault to the links that it concerns, or ends it there.
func (d *Simulation) changeLinks(i int, end bool) {
	change := d.scenario.LinkChange(i, end)
	for _, link := range d.scenario.AffectedLinks(i) {
		change(&d.Link(link[0], link[1]).LinkConfig)
	}
}
