package measure

import (
	"fmt"
	"io"
	"time"

	"streamrail/internal/rehearsal/gather"
	"streamrail/internal/rehearsal/report"
	"streamrail/internal/rehearsal/scenario"
	"streamrail/internal/rehearsal/virtual"
)

// Limits are figures of one kind of day, with parts that move beside equal ones, on the same seeds.
type Limits struct {
	Name         string
	Asked        float64 // of what the fleet can do
	Mates, Seeds int
	Equal, Moved Side
	Follows      gather.Spread // from a move of the tenant's calls until nine tenths of its allowance are where they are
	Sum          float64       // the most that the parts added up to
	Bytes        float64       // that a balancer sends in a second; all its talk
}

// Side are means over the seeds.
type Side struct {
	Tenant  float64 // of the tenant that keeps within its allowance: served in time, of what it asked
	Others  float64 // of those that ask for more than theirs
	Service float64 // of all, by billed value
	Worst10 float64 // the worst ten seconds of all days
	Refused float64 // rate-limited replies in a day
	Broken  int     // rules, on all days
	Took    time.Duration
}

// pressed is a fleet that is asked for more than it can do. One tenant keeps to its allowance, four others do not.
const pressed = `
name = "limits"
length = "40s"
[fleet]
zones = ["east", "west"]
balancers = %d
cross = "2ms"
[mates]
on = true
[[node]]
name = "node"
count = 6
cores = 4
[[tenant]]
name = "kiosks"
share = 0.3
usage = 0.9
%s
`

const others = `
[[tenant]]
name = "shop-%d"
share = 0.175
usage = 1.257
`

// presses are what the fleet is asked for, of what it can do; all allowances together are allowed of that, so that the tenants
// ask for a quarter more than theirs, but the one.
var presses = []float64{0.5, 1}

const allowed = 0.78

// limitDays are the kinds of days: at which balancers the tenant's calls come in, and what happens.
var limitDays = []struct {
	name   string
	at     string
	faults string
	move   time.Duration // of the tenant
	cut    bool          // between all, whose names its faults leave open
}{
	{name: "even"},
	{name: "one", at: "at = [1]"},
	{name: "one, then another", at: "at = [1]", faults: "[[fault]]\ndo = \"tenant-move\"\nat = \"20s\"\ntenant = \"kiosks\"\nbalancers = [4]\n", move: 20 * time.Second},
	{name: "one, all ways cut", at: "at = [1]", faults: "[[fault]]\ndo = \"mate-cut\"\nat = \"5s\"\nfor = \"35s\"\nbalancers = [%s]\nto = [%[1]s]\n", cut: true},
}

// limitDay is one kind of day in a scenario's words, for so many balancers.
func limitDay(balancers int, at, faults string) string {
	text := fmt.Sprintf(pressed, balancers, at)
	for i := range 4 {
		text += fmt.Sprintf(others, i+1)
	}
	return text + faults
}

// limitPlay is what is looked at of one day.
type limitPlay struct {
	rep     *report.Report
	follows time.Duration
	sum     float64 // the most that the parts of the one tenant's allowance added up to
	bytes   float64 // a second of the first balancer
}

// playLimits plays a day; move is when the tenant's calls move to the fourth balancer, if they do.
func playLimits(text string, seed uint64, moved bool, press float64, move time.Duration) (p limitPlay, err error) {
	day, err := scenario.Parse("measure", []byte(text))
	if err != nil {
		return p, err
	}
	day.Seed, day.Mates.Limits = seed, moved
	day.Load.PerS, day.Load.Quota = press*day.Capacity(), allowed*press
	res, err := virtual.Play(day, nil)
	if err != nil {
		return p, err
	}
	p.rep, p.follows = report.Of(res), gather.Never
	sums := map[time.Duration]float64{}
	for _, x := range res.Record.Parts {
		if x.Limit != "allowance of kiosks" {
			continue
		}
		sums[x.At] += x.Part
		p.sum = max(p.sum, sums[x.At])
		if move > 0 && x.At > move && x.Balancer == 3 && x.Part >= 0.9 {
			p.follows = min(p.follows, x.At-move)
		}
	}
	for _, t := range res.Record.Talks {
		if t.Balancer == 0 {
			p.bytes = max(p.bytes, float64(t.Bytes)/day.Length.Duration().Seconds())
		}
	}
	return p, nil
}

// LimitsOf measures all kinds of days with so many balancers, on so many seeds.
func LimitsOf(mates, seeds, lanes int) (all []Limits, err error) {
	for k := range len(limitDays) * len(presses) {
		kind, press := limitDays[k%len(limitDays)], presses[k/len(limitDays)]
		faults := kind.faults
		if kind.cut {
			names := "1"
			for i := 2; i <= mates; i++ {
				names += fmt.Sprintf(", %d", i)
			}
			faults = fmt.Sprintf(faults, names)
		}
		text := limitDay(mates, kind.at, faults)
		plays := make([]limitPlay, 2*seeds) // of each seed the equal parts, then those that move
		err := SideBySide(len(plays), lanes, func(i int) (err error) {
			plays[i], err = playLimits(text, uint64(i/2+1), i%2 == 1, press, kind.move)
			return err
		})
		if err != nil {
			return nil, err
		}
		l := Limits{Name: kind.name, Asked: press, Mates: mates, Seeds: seeds, Equal: Side{Worst10: 1}, Moved: Side{Worst10: 1}}
		var follows []time.Duration
		for i, p := range plays {
			if i%2 == 0 {
				l.Equal.add(p.rep, float64(seeds))
				continue
			}
			l.Moved.add(p.rep, float64(seeds))
			follows = append(follows, p.follows)
			l.Sum, l.Bytes = max(l.Sum, p.sum), l.Bytes+p.bytes/float64(seeds)
		}
		if kind.move > 0 {
			l.Follows = gather.Of(follows)
		}
		all = append(all, l)
	}
	return all, nil
}

// add takes a day in.
func (s *Side) add(r *report.Report, days float64) {
	for name, part := range r.Service.ByTenant {
		if name == "kiosks" {
			s.Tenant += part / days
			continue
		}
		s.Others += part / days / 4
	}
	s.Service += r.Service.Whole / days
	s.Worst10 = min(s.Worst10, r.Service.Worst10s)
	s.Refused += float64(r.Tries["rate-limited"]) / days
	s.Took += r.Took / time.Duration(days)
	s.Broken += len(r.Verdict.BrokenRules())
}

// Text prints the figures.
func (l Limits) Text(to io.Writer) {
	fmt.Fprintf(to, "%d balancers, %s, %.2f of what the fleet can do, %d seeds\n", l.Mates, l.Name, l.Asked, l.Seeds)
	for _, x := range []struct {
		name string
		s    Side
	}{{"equal parts", l.Equal}, {"moving parts", l.Moved}} {
		fmt.Fprintf(to, "  %-13s within its allowance %.3f, beyond theirs %.3f; service %.4f, worst 10 s %.3f; %.0f refused; %d rules broken; %v to play\n",
			x.name, x.s.Tenant, x.s.Others, x.s.Service, x.s.Worst10, x.s.Refused, x.s.Broken, x.s.Took.Round(time.Millisecond))
	}
	fmt.Fprintf(to, "  largest sum of parts %.4f; %.0f bytes a second a balancer", l.Sum, l.Bytes)
	if l.Follows.Worst > 0 {
		fmt.Fprintf(to, "; nine tenths followed a move in %.2f s, p99 %.2f, worst %.2f", l.Follows.Median.Seconds(), l.Follows.P99.Seconds(), l.Follows.Worst.Seconds())
	}
	fmt.Fprintln(to)
}
