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

// limitsScenario is a fleet that is asked for more than it can do. One tenant keeps to its allowance, four others do not.
const limitsScenario = `
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

const otherTenant = `
[[tenant]]
name = "shop-%d"
share = 0.175
usage = 1.257
`

// demandFactors are what the fleet is asked for, of what it can do; all allowances together are allowed of that, so that the tenants
// ask for a quarter more than theirs, but the one.
var demandFactors = []float64{0.5, 1}

const allowanceFactor = 0.78

// limitsCases are the kinds of days: at which balancers the tenant's calls come in, and what happens.
var limitsCases = []struct {
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

// limitsScenarioText is one kind of day in a scenario's words, for so many balancers.
func limitsScenarioText(balancers int, at, faults string) string {
	text := fmt.Sprintf(limitsScenario, balancers, at)
	for i := range 4 {
		text += fmt.Sprintf(otherTenant, i+1)
	}
	return text + faults
}

// limitsResult is what is looked at of one day.
type limitsResult struct {
	rep         *report.Report
	followDelay time.Duration
	maxSum      float64 // the most that the parts of the one tenant's allowance added up to
	bytesPerS   float64 // a second of the first balancer
}

// simulateLimits plays a day; move is when the tenant's calls move to the fourth balancer, if they do.
func simulateLimits(text string, seed uint64, moved bool, demand float64, move time.Duration) (p limitsResult, err error) {
	sc, err := scenario.Parse("measure", []byte(text))
	if err != nil {
		return p, err
	}
	sc.Seed, sc.Mates.Limits = seed, moved
	sc.Load.PerS, sc.Load.Quota = demand*sc.Capacity(), allowanceFactor*demand
	res, err := virtual.Play(sc, nil)
	if err != nil {
		return p, err
	}
	p.rep, p.followDelay = report.Of(res), gather.Never
	sums := map[time.Duration]float64{}
	for _, x := range res.Record.Parts {
		if x.Limit != "allowance of kiosks" {
			continue
		}
		sums[x.At] += x.Part
		p.maxSum = max(p.maxSum, sums[x.At])
		if move > 0 && x.At > move && x.Balancer == 3 && x.Part >= 0.9 {
			p.followDelay = min(p.followDelay, x.At-move)
		}
	}
	for _, t := range res.Record.Talks {
		if t.Balancer == 0 {
			p.bytesPerS = max(p.bytesPerS, float64(t.Bytes)/sc.Length.D().Seconds())
		}
	}
	return p, nil
}

// LimitsOf measures all kinds of days with so many balancers, on so many seeds.
func LimitsOf(balancers, seeds, workers int) (all []Limits, err error) {
	for k := range len(limitsCases) * len(demandFactors) {
		kind, demand := limitsCases[k%len(limitsCases)], demandFactors[k/len(limitsCases)]
		faults := kind.faults
		if kind.cut {
			names := "1"
			for i := 2; i <= balancers; i++ {
				names += fmt.Sprintf(", %d", i)
			}
			faults = fmt.Sprintf(faults, names)
		}
		text := limitsScenarioText(balancers, kind.at, faults)
		results := make([]limitsResult, 2*seeds) // of each seed the equal parts, then those that move
		err := SideBySide(len(results), workers, func(i int) (err error) {
			results[i], err = simulateLimits(text, uint64(i/2+1), i%2 == 1, demand, kind.move)
			return err
		})
		if err != nil {
			return nil, err
		}
		l := Limits{Name: kind.name, Asked: demand, Mates: balancers, Seeds: seeds, Equal: Side{Worst10: 1}, Moved: Side{Worst10: 1}}
		var followDelays []time.Duration
		for i, p := range results {
			if i%2 == 0 {
				l.Equal.add(p.rep, float64(seeds))
				continue
			}
			l.Moved.add(p.rep, float64(seeds))
			followDelays = append(followDelays, p.followDelay)
			l.Sum, l.Bytes = max(l.Sum, p.maxSum), l.Bytes+p.bytesPerS/float64(seeds)
		}
		if kind.move > 0 {
			l.Follows = gather.Of(followDelays)
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
