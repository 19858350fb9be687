package gather

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

// Day simulates the communication between the balancers of a scenario in virtual time and records it for the judge.
type Day struct {
	*Play
	day           *scenario.Scenario
	rec           *record.Record
	actions       []action
	memberLife    []int // by balancer: index into rec.Mates of its last process; -1: none was started
	wrongSeeds    map[int]bool
	requestCounts [][]requestCounter // by balancer and tenant
}

// requestCounter counts a tenant's requests at one balancer over the last intervals of length share.TickInterval.
type requestCounter struct {
	turn   int
	counts [share.NeedTicks + 1]int // ring buffer by interval, including the unfinished current one
}

// advance moves the counter to the current interval and clears the intervals that it enters.
func (a *requestCounter) advance(now time.Duration) {
	turn := int(now / share.TickInterval)
	for k := a.turn + 1; k <= min(turn, a.turn+len(a.counts)); k++ {
		a.counts[k%len(a.counts)] = 0
	}
	a.turn = turn
}

// perS returns the rate of requests per second over the finished intervals.
func (a *requestCounter) perS(now time.Duration) float64 {
	a.advance(now)
	sum := -a.counts[a.turn%len(a.counts)]
	for _, n := range a.counts {
		sum += n
	}
	return float64(sum) / (share.NeedTicks * share.TickInterval.Seconds())
}

// viewInterval is how often the members' views are recorded. A rehearsal on sockets polls the admin APIs at the same interval.
const viewInterval = 250 * time.Millisecond

// RestartAfter is how long a balancer that is asked to end goes on running, because clients still use their open connections.
const RestartAfter = 3 * time.Second

// NewDay starts the balancers of a scenario, schedules the scenario's faults and records the results in rec. If configure is
// not nil, it may change the simulation before the balancers start; tests use it.
func NewDay(day *scenario.Scenario, rec *record.Record, configure func(*Play)) *Day {
	m := day.Membership
	d := &Day{day: day, rec: rec, wrongSeeds: map[int]bool{}, Play: New(Terms{Mates: day.Fleet.Balancers, Zones: len(day.Fleet.Zones), Seeds: 3, Period: m.ProbePeriod.Duration(), Suspect: m.SuspicionTimeout.Duration(),
		Budget: m.GossipBytesPerSecond, Seed: day.Seed, Ways: m.LinkConfig()})}
	d.nameOverrides = map[int]int{}
	if m.ShareLimits {
		d.Shares = d.newShares()
	}
	if configure != nil {
		configure(d.Play)
	}
	for i := range d.Mates {
		d.memberLife = append(d.memberLife, -1)
		d.start(i)
	}
	for i := range day.Faults {
		d.scheduleFault(i)
	}
	for at := viewInterval; at <= day.Length.Duration(); at += viewInterval {
		d.at(at, d.recordViews)
	}
	slices.SortStableFunc(d.actions, func(a, b action) int { return int(a.at - b.at) })
	return d
}

// To advances the simulation up to the given time, including the scheduled faults.
func (d *Day) To(until time.Duration) {
	for len(d.actions) > 0 && d.actions[0].at <= until {
		x := d.actions[0]
		d.actions = d.actions[1:]
		d.Run(x.at)
		x.do()
	}
	d.Run(until)
}

// Came counts a request of a tenant that a balancer has received now.
func (d *Day) Came(balancer, tenant int) {
	if d.Shares != nil {
		a := &d.requestCounts[balancer][tenant]
		a.advance(d.Now)
		a.counts[a.turn%len(a.counts)]++
	}
}

// Parts calls tell with the fraction of each tenant's quota that the balancer may use now. It does nothing if shares do
// not move between balancers.
func (d *Day) Parts(balancer int, tell func(tenant int, part float64)) {
	m := d.Mates[balancer]
	if m.Share == nil {
		return
	}
	for t, bound := range d.Shares.Bound {
		tell(t, m.Share.Part(d.Now, t).Of(m.Share.Limit(t))/bound)
	}
}

func (d *Day) at(at time.Duration, do func()) { d.actions = append(d.actions, action{at, do}) }

func formatID(l member.ProcessID) string { return fmt.Sprintf("%016x", uint64(l)) }

func (d *Day) start(i int) {
	if d.Mates[i].Machine != nil {
		return
	}
	d.nextSeedsWrong = d.wrongSeeds[i]
	d.Start(i)
	d.nextSeedsWrong = false
	d.memberLife[i] = len(d.rec.Memberships)
	d.rec.Memberships = append(d.rec.Memberships, record.Membership{Balancer: i, ProcessID: formatID(d.Mates[i].ProcessID()), From: d.Now})
}

func (d *Day) stop(i int, leave bool) {
	if d.Mates[i].Machine == nil {
		return
	}
	d.rec.Memberships[d.memberLife[i]].To = d.Now
	if leave {
		d.Leave(i)
	} else {
		d.Kill(i)
	}
}

// newShares returns the tenants' quotas as limits to be shared; the demand is the rate of the requests counted by Came.
func (d *Day) newShares() *Shares {
	n := len(d.day.Tenants)
	s := &Shares{Lease: d.day.Membership.LeaseDuration.Duration(), Floor: make([]float64, n)}
	for t := range n {
		s.Names, s.Bound, s.Grain = append(s.Names, "allowance of "+d.day.Tenants[t].Name), append(s.Bound, d.day.TenantQuota(t)), append(s.Grain, 1)
	}
	for range d.day.Fleet.Balancers {
		d.requestCounts = append(d.requestCounts, make([]requestCounter, n))
	}
	s.Need = func(index, name int, now time.Duration) float64 { return d.requestCounts[index][name].perS(now) }
	return s
}

// recordViews records the membership view, the quota shares and the bytes sent so far of each running balancer.
func (d *Day) recordViews() {
	for i, m := range d.Mates {
		if m.Machine == nil || m.Stalled > d.Now {
			continue
		}
		v := m.View()
		to := record.MembershipView{Balancer: i, At: d.Now, ProcessID: formatID(v.Self.Life), Situation: v.Situation.String(), Digest: formatID(member.ProcessID(v.Digest)),
			NameConflict: v.NameConflict.Life != 0}
		for _, o := range v.Members {
			to.Members = append(to.Members, record.Member{Name: o.Name, ProcessID: formatID(o.Life), State: o.State.String()})
		}
		d.rec.Views = append(d.rec.Views, to)
		for name := range len(d.day.Tenants) {
			if m.Share == nil {
				break
			}
			st := m.Share.State(d.Now, name)
			d.rec.LimitShares = append(d.rec.LimitShares, record.LimitShare{Balancer: i, At: d.Now, Limit: d.Shares.Names[name], Share: float64(st.Part) / float64(share.WholeLimit),
				Demand: st.Need, Quota: m.Share.Limit(name), Simultaneous: true})
		}
		d.rec.BytesSent = append(d.rec.BytesSent, record.BytesSent{Balancer: i, At: d.Now, Bytes: m.Bytes})
	}
}

// scheduleFault schedules a fault of the scenario. Faults that do not concern the balancers themselves or the links between
// them have no effect here.
func (d *Day) scheduleFault(i int) {
	f := &d.day.Faults[i]
	from, to, targets := f.At.Duration(), (f.At + f.Length).Duration(), d.day.AffectedBalancers(i)
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
			d.at(min(from+RestartAfter, d.day.Length.Duration()), func() { d.stop(b, true); d.start(b) })
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
	d.rec.LinkOutages = append(d.rec.LinkOutages, faults.LinkOutages(f, d.day.AffectedLinks(i))...)
}

// changeLinks applies a fault to the links that it concerns, or ends it there.
func (d *Day) changeLinks(i int, end bool) {
	change := d.day.LinkChange(i, end)
	for _, w := range d.day.AffectedLinks(i) {
		change(&d.Way(w[0], w[1]).LinkConfig)
	}
}
