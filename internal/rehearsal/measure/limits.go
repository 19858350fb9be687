package measure

import (
	"fmt"
	"io"
	"time"

	"streamrail/internal/rehearsal/membersim"
	"streamrail/internal/rehearsal/report"
	"streamrail/internal/rehearsal/scenario"
	"streamrail/internal/rehearsal/virtual"
)

// Limits compares, for one scenario and the same seeds, limit shares that follow the traffic with equal shares.
type Limits struct {
	Name         string
	Asked        float64 // offered load as a fraction of the fleet's capacity
	Mates, Seeds int
	Equal, Moved LimitsSide
	Follows      membersim.Spread // from a move of the tenant's requests to another balancer until that one has nine tenths of its allowance
	Sum          float64          // highest sum of the shares of the tenant's allowance
	Bytes        float64          // bytes per second that a balancer sends to the others, for all purposes
}

// LimitsSide holds the results with equal or with moving shares, as means over the seeds where nothing else is stated.
type LimitsSide struct {
	Tenant  float64 // service of the tenant that keeps within its allowance: the fraction of its requests fulfilled in time
	Others  float64 // service of the tenants that exceed theirs
	Service float64 // of all tenants, by billed value
	Worst10 float64 // service in the worst ten seconds of all runs
	Refused float64 // rate-limited answers per run
	Broken  int     // number of broken rules in all runs
	Took    time.Duration
}

// limitsScenario is a fleet in which the tenants together exceed their allowances: one keeps within its own, four others do not.
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

// demandFactors are the offered loads as fractions of the fleet's capacity. All allowances together are allowanceFactor of the
// offered load, so that the tenants exceed theirs by about a quarter, except for the one that keeps within its own.
var demandFactors = []float64{0.5, 1}

const allowanceFactor = 0.78

// limitsCases are the measured cases: the balancers that receive the tenant's requests, and the faults.
var limitsCases = []struct {
	name   string
	at     string
	faults string
	move   time.Duration // when the tenant's requests move to another balancer; 0: never
	cut    bool          // the links between all balancers are cut: their numbers are filled into faults
}{
	{name: "even"},
	{name: "one", at: "at = [1]"},
	{name: "one, then another", at: "at = [1]", faults: "[[fault]]\ndo = \"tenant-move\"\nat = \"20s\"\ntenant = \"kiosks\"\nbalancers = [4]\n", move: 20 * time.Second},
	{name: "one, all ways cut", at: "at = [1]", faults: "[[fault]]\ndo = \"mate-cut\"\nat = \"5s\"\nfor = \"35s\"\nbalancers = [%s]\nto = [%[1]s]\n", cut: true},
}

// limitsScenarioText returns the scenario file of one case for a number of balancers.
func limitsScenarioText(balancers int, at, faults string) string {
	text := fmt.Sprintf(limitsScenario, balancers, at)
	for i := range 4 {
		text += fmt.Sprintf(otherTenant, i+1)
	}
	return text + faults
}

// limitsResult is the result of one simulation.
type limitsResult struct {
	report      *report.Report
	followDelay time.Duration
	maxSum      float64 // highest sum of the shares of the tenant's allowance
	bytesPerS   float64 // sent by the first balancer
}

// simulateLimits runs a simulation with equal or with moving shares. Move is when the tenant's requests move to the fourth
// balancer, if they do.
func simulateLimits(text string, seed uint64, moving bool, demand float64, move time.Duration) (result limitsResult, err error) {
	sc, err := scenario.Parse("measure", []byte(text))
	if err != nil {
		return result, err
	}
	sc.Seed, sc.Membership.ShareLimits = seed, moving
	sc.Load.RequestsPerSecond, sc.Load.QuotaRatio = demand*sc.Capacity(), allowanceFactor*demand
	res, err := virtual.Simulate(sc, nil)
	if err != nil {
		return result, err
	}
	result.report, result.followDelay = report.New(res), membersim.Never
	sums := map[time.Duration]float64{}
	for _, x := range res.Record.LimitShares {
		if x.Limit != "allowance of kiosks" {
			continue
		}
		sums[x.At] += x.Share
		result.maxSum = max(result.maxSum, sums[x.At])
		if move > 0 && x.At > move && x.Balancer == 3 && x.Share >= 0.9 {
			result.followDelay = min(result.followDelay, x.At-move)
		}
	}
	for _, t := range res.Record.BytesSent {
		if t.Balancer == 0 {
			result.bytesPerS = max(result.bytesPerS, float64(t.Bytes)/sc.Length.Duration().Seconds())
		}
	}
	return result, nil
}

// MeasureLimits measures all cases with a number of balancers and seeds, on a number of concurrent workers.
func MeasureLimits(balancers, seeds, workers int) (all []Limits, err error) {
	for k := range len(limitsCases) * len(demandFactors) {
		testCase, demand := limitsCases[k%len(limitsCases)], demandFactors[k/len(limitsCases)]
		faults := testCase.faults
		if testCase.cut {
			names := "1"
			for i := 2; i <= balancers; i++ {
				names += fmt.Sprintf(", %d", i)
			}
			faults = fmt.Sprintf(faults, names)
		}
		text := limitsScenarioText(balancers, testCase.at, faults)
		results := make([]limitsResult, 2*seeds) // for each seed with equal shares, then with moving ones
		err := RunParallel(len(results), workers, func(i int) (err error) {
			results[i], err = simulateLimits(text, uint64(i/2+1), i%2 == 1, demand, testCase.move)
			return err
		})
		if err != nil {
			return nil, err
		}
		l := Limits{Name: testCase.name, Asked: demand, Mates: balancers, Seeds: seeds, Equal: LimitsSide{Worst10: 1}, Moved: LimitsSide{Worst10: 1}}
		var followDelays []time.Duration
		for i, p := range results {
			if i%2 == 0 {
				l.Equal.add(p.report, float64(seeds))
				continue
			}
			l.Moved.add(p.report, float64(seeds))
			followDelays = append(followDelays, p.followDelay)
			l.Sum, l.Bytes = max(l.Sum, p.maxSum), l.Bytes+p.bytesPerS/float64(seeds)
		}
		if testCase.move > 0 {
			l.Follows = membersim.NewSpread(followDelays)
		}
		all = append(all, l)
	}
	return all, nil
}

// add adds the report of one of the given number of runs.
func (s *LimitsSide) add(r *report.Report, runs float64) {
	for name, service := range r.Service.ByTenant {
		if name == "kiosks" {
			s.Tenant += service / runs
			continue
		}
		s.Others += service / runs / 4
	}
	s.Service += r.Service.Whole / runs
	s.Worst10 = min(s.Worst10, r.Service.Worst10s)
	s.Refused += float64(r.Outcomes["rate-limited"]) / runs
	s.Took += r.Took / time.Duration(runs)
	s.Broken += len(r.Verdict.BrokenRules())
}

// Text prints the results.
func (l Limits) Text(to io.Writer) {
	fmt.Fprintf(to, "%d balancers, %s, load %.2f of the fleet's capacity, %d seeds\n", l.Mates, l.Name, l.Asked, l.Seeds)
	for _, x := range []struct {
		name string
		s    LimitsSide
	}{{"equal parts", l.Equal}, {"moving parts", l.Moved}} {
		fmt.Fprintf(to, "  %-13s within its allowance %.3f, beyond theirs %.3f; service %.4f, worst 10 s %.3f; %.0f rate-limited; %d rules broken; %v to simulate\n",
			x.name, x.s.Tenant, x.s.Others, x.s.Service, x.s.Worst10, x.s.Refused, x.s.Broken, x.s.Took.Round(time.Millisecond))
	}
	fmt.Fprintf(to, "  largest sum of parts %.4f; %.0f bytes per second per balancer", l.Sum, l.Bytes)
	if l.Follows.Worst > 0 {
		fmt.Fprintf(to, "; nine tenths of the allowance followed a move in %.2f s (median), p99 %.2f, worst %.2f", l.Follows.Median.Seconds(), l.Follows.P99.Seconds(), l.Follows.Worst.Seconds())
	}
	fmt.Fprintln(to)
}
