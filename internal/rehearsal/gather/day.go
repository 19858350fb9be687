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

// moment is something to do in a day.
type moment struct {
	at time.Duration
	do func()
}

// Day is a rehearsal's balancers as they speak with each other, in virtual time.
type Day struct {
	*Play
	day     *scenario.Day
	rec     *record.Record
	moments []moment
	life    []int // of each balancer, its line in rec.Mates; -1: nobody runs
	astray  map[int]bool
	came    [][]arrivals // by balancer and tenant
}

// arrivals are the calls of the last turns.
type arrivals struct {
	turn int
	n    [share.NeedTicks + 1]int // by turn; the one that goes on among them
}

func (a *arrivals) to(now time.Duration) {
	turn := int(now / share.TickInterval)
	for k := a.turn + 1; k <= min(turn, a.turn+len(a.n)); k++ {
		a.n[k%len(a.n)] = 0
	}
	a.turn = turn
}

// perS is how many came in each second of the turns that are over.
func (a *arrivals) perS(now time.Duration) float64 {
	a.to(now)
	sum := -a.n[a.turn%len(a.n)]
	for _, n := range a.n {
		sum += n
	}
	return float64(sum) / (share.NeedTicks * share.TickInterval.Seconds())
}

// lookEvery is how often the views are noted, as at the doors of a day on sockets.
const lookEvery = 250 * time.Millisecond

// RestartAfter is how long a balancer that is told to end goes on: its clients use the connections that they have.
const RestartAfter = 3 * time.Second

// NewDay lays out what the balancers of a day will say to each other, which is noted. Before may change the play, for tests.
func NewDay(day *scenario.Day, rec *record.Record, before func(*Play)) *Day {
	m := day.Mates
	d := &Day{day: day, rec: rec, astray: map[int]bool{}, Play: New(Terms{Mates: day.Fleet.Balancers, Zones: len(day.Fleet.Zones), Seeds: 3, Period: m.Period.Duration(), Suspect: m.Suspect.Duration(),
		Budget: m.Budget, Seed: day.Seed, Ways: m.Way()})}
	d.names = map[int]int{}
	if m.Limits {
		d.Shares = d.shares()
	}
	if before != nil {
		before(d.Play)
	}
	for i := range d.Mates {
		d.life = append(d.life, -1)
		d.start(i)
	}
	for i := range day.Faults {
		d.fault(i)
	}
	for at := lookEvery; at <= day.Length.Duration(); at += lookEvery {
		d.at(at, d.look)
	}
	slices.SortStableFunc(d.moments, func(a, b moment) int { return int(a.at - b.at) })
	return d
}

// To plays up to a moment.
func (d *Day) To(until time.Duration) {
	for len(d.moments) > 0 && d.moments[0].at <= until {
		x := d.moments[0]
		d.moments = d.moments[1:]
		d.Run(x.at)
		x.do()
	}
	d.Run(until)
}

// Came counts a call of a tenant in at a balancer, now.
func (d *Day) Came(balancer, tenant int) {
	if d.Shares != nil {
		a := &d.came[balancer][tenant]
		a.to(d.Now)
		a.n[a.turn%len(a.n)]++
	}
}

// Parts tells what a balancer may use of each tenant's allowance now; nothing where no parts move.
func (d *Day) Parts(balancer int, tell func(tenant int, part float64)) {
	m := d.Mates[balancer]
	if m.Share == nil {
		return
	}
	for t, bound := range d.Shares.Bound {
		tell(t, m.Share.Part(d.Now, t).Of(m.Share.Limit(t))/bound)
	}
}

func (d *Day) at(at time.Duration, do func()) { d.moments = append(d.moments, moment{at, do}) }

func lifeName(l member.ProcessID) string { return fmt.Sprintf("%016x", uint64(l)) }

func (d *Day) start(i int) {
	if d.Mates[i].Machine != nil {
		return
	}
	d.lost = d.astray[i]
	d.Start(i)
	d.lost = false
	d.life[i] = len(d.rec.Mates)
	d.rec.Mates = append(d.rec.Mates, record.MateLife{Balancer: i, Life: lifeName(d.Mates[i].ProcessID()), From: d.Now})
}

func (d *Day) end(i int, leave bool) {
	if d.Mates[i].Machine == nil {
		return
	}
	d.rec.Mates[d.life[i]].To = d.Now
	if leave {
		d.Leave(i)
	} else {
		d.Kill(i)
	}
}

// shares are the tenants' allowances, with needs as the day's calls came in.
func (d *Day) shares() *Shares {
	n := len(d.day.Tenants)
	s := &Shares{Lease: d.day.Mates.Lease.Duration(), Floor: make([]float64, n)}
	for t := range n {
		s.Names, s.Bound, s.Grain = append(s.Names, "allowance of "+d.day.Tenants[t].Name), append(s.Bound, d.day.Allowance(t)), append(s.Grain, 1)
	}
	for range d.day.Fleet.Balancers {
		d.came = append(d.came, make([]arrivals, n))
	}
	s.Need = func(mate, name int, now time.Duration) float64 { return d.came[mate][name].perS(now) }
	return s
}

// look notes all views, and what each has sent.
func (d *Day) look() {
	for i, m := range d.Mates {
		if m.Machine == nil || m.Stalled > d.Now {
			continue
		}
		v := m.View()
		to := record.View{Balancer: i, At: d.Now, Life: lifeName(v.Self.Life), Situation: v.Situation.String(), Digest: lifeName(member.ProcessID(v.Digest)),
			Rival: v.NameConflict.Life != 0}
		for _, o := range v.Members {
			to.Mates = append(to.Mates, record.Mate{Name: o.Name, Life: lifeName(o.Life), State: o.State.String()})
		}
		d.rec.Views = append(d.rec.Views, to)
		for name := range len(d.day.Tenants) {
			if m.Share == nil {
				break
			}
			st := m.Share.State(d.Now, name)
			d.rec.Parts = append(d.rec.Parts, record.Part{Balancer: i, At: d.Now, Limit: d.Shares.Names[name], Part: float64(st.Part) / float64(share.WholeLimit),
				Need: st.Need, Bound: m.Share.Limit(name), Exact: true})
		}
		d.rec.Talks = append(d.rec.Talks, record.Talk{Balancer: i, At: d.Now, Bytes: m.Bytes})
	}
}

// fault lays one of the day's faults on the clock; those that are not about balancers do nothing here.
func (d *Day) fault(i int) {
	f := &d.day.Faults[i]
	from, to, hit := f.At.Duration(), (f.At + f.For).Duration(), d.day.HitBalancers(i)
	switch f.Do {
	case "balancer-kill":
		for _, b := range hit {
			d.at(from, func() { d.end(b, false) })
			d.at(to, func() { d.start(b) })
		}
	case "balancer-astray":
		for _, b := range hit {
			d.at(from, func() { d.end(b, false); d.astray[b] = true; d.start(b) })
		}
	case "balancer-restart":
		for _, b := range hit {
			d.at(min(from+RestartAfter, d.day.Length.Duration()), func() { d.end(b, true); d.start(b) })
		}
	case "balancer-stall":
		for _, b := range hit {
			d.at(from, func() {
				d.Stall(b, f.For.Duration())
				d.rec.Stalls = append(d.rec.Stalls, record.Stall{Balancer: b, From: from, To: to})
			})
		}
	case "balancer-twin":
		b, other := hit[0], f.To[0]-1
		d.at(from, func() {
			d.end(b, false)
			d.names[b] = other
			d.start(b)
			d.rec.Stalls = append(d.rec.Stalls, record.Stall{Balancer: b, From: from, To: to, Twin: other + 1})
		})
		d.at(to, func() {
			delete(d.names, b)
			for _, x := range []int{b, other} {
				d.end(x, false)
				d.start(x)
			}
		})
	case "mate-flap":
		on := false
		for at := from; at < to; at += f.Delay.Duration() {
			on = !on
			end := !on
			d.at(at, func() { d.harm(i, end) })
		}
		d.at(to, func() { d.harm(i, true) })
	case "mate-cut", "mate-loss", "mate-delay", "mate-repeat", "mate-reorder", "mate-spoil", "mate-narrow":
		d.at(from, func() { d.harm(i, false) })
		d.at(to, func() { d.harm(i, true) })
	}
	d.rec.MateCuts = append(d.rec.MateCuts, faults.Cuts(f, d.day.Ways(i))...)
}

func (d *Day) harm(i int, end bool) {
	change := d.day.Harm(i, end)
	for _, w := range d.day.Ways(i) {
		change(&d.Way(w[0], w[1]).WayTerms)
	}
}
