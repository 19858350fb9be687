// Package search generates scenarios with random faults, simulates them in virtual time and keeps those that break a rule
// or have the lowest service. A scenario that was kept can be shrunk to the smallest one that still shows the problem.
package search

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"streamrail/internal/rehearsal/judge"
	"streamrail/internal/rehearsal/model"
	"streamrail/internal/rehearsal/report"
	"streamrail/internal/rehearsal/scenario"
	"streamrail/internal/rehearsal/virtual"
)

// RunResult is a scenario that was kept, with its simulated service and the rules that it broke.
type RunResult struct {
	Scenario *scenario.Scenario
	Service  float64
	Broken   []judge.Rule
}

// Result is the result of a search.
type Result struct {
	Simulated     int
	Passed        int // number of scenarios that broke no rule
	Broken        []RunResult
	LowestService []RunResult // sorted by service, the lowest first
	Checked       map[judge.Rule]int
}

// maxKept is how many scenarios are kept in each of Result.Broken and Result.LowestService.
const maxKept = 10

// Run simulates the given number of random scenarios in parallel workers, with consecutive seeds from firstSeed on. If the
// context ends, it starts no further ones.
func Run(ctx context.Context, base *scenario.Scenario, firstSeed uint64, count, workers int) (Result, error) {
	res := Result{Checked: map[judge.Rule]int{}}
	var mu sync.Mutex
	var wg sync.WaitGroup
	var failed error
	next := make(chan uint64)
	for range workers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for seed := range next {
				f, v, err := simulate(Draw(base, seed))
				mu.Lock()
				if err != nil {
					failed = err
				} else {
					res.add(f, v)
				}
				mu.Unlock()
			}
		}()
	}
	for i := range count {
		if ctx.Err() != nil {
			break
		}
		next <- firstSeed + uint64(i)
	}
	close(next)
	wg.Wait()
	return res, failed
}

// add counts a simulated scenario and keeps it if it is one of the first maxKept that broke a rule, by seed, or one of the maxKept
// with the lowest service.
func (r *Result) add(f RunResult, verdict *judge.Verdict) {
	r.Simulated++
	for _, x := range verdict.Findings {
		r.Checked[x.Rule] += x.Checked
	}
	if len(f.Broken) > 0 {
		r.Broken = append(r.Broken, f)
		slices.SortFunc(r.Broken, bySeed) // which ones are kept must not depend on the order in which workers finish
		r.Broken = r.Broken[:min(len(r.Broken), maxKept)]
	} else {
		r.Passed++
	}
	r.LowestService = append(r.LowestService, f)
	slices.SortFunc(r.LowestService, func(x, y RunResult) int {
		if x.Service != y.Service {
			if x.Service < y.Service {
				return -1
			}
			return 1
		}
		return bySeed(x, y)
	})
	r.LowestService = r.LowestService[:min(len(r.LowestService), maxKept)]
}

// bySeed orders scenarios by their seed.
func bySeed(x, y RunResult) int {
	if x.Scenario.Seed < y.Scenario.Seed {
		return -1
	}
	return 1
}

// simulate runs one scenario in virtual time.
func simulate(d *scenario.Scenario) (RunResult, *judge.Verdict, error) {
	res, err := virtual.Simulate(d, nil)
	if err != nil {
		return RunResult{}, nil, err
	}
	return RunResult{Scenario: d, Service: report.New(res).Service.Whole, Broken: res.Verdict.BrokenRules()}, res.Verdict, nil
}

// faultKinds are the kinds of faults that a search draws: kinds that package virtual simulates.
var faultKinds = []string{"slow", "stall", "kill", "vanish", "reset", "spoil", "fail", "link-delay", "link-cut", "zone-dark", "deploy",
	"register-silent", "register-rewind", "gateway-slow", "gateway-reset", "gateway-fail", "balancer-kill", "balancer-restart", "surge",
	"scan", "hot"}

// maxFaults is the most faults that are added to a scenario. With more, faults overlap so much that their effects cannot be
// distinguished.
const maxFaults = 4

// Draw returns a copy of the base scenario with the given seed and one to maxFaults random faults, of any kind, size and time,
// in addition to those of the base.
func Draw(base *scenario.Scenario, seed uint64) *scenario.Scenario {
	d := *base
	d.Seed = seed
	d.Name = fmt.Sprintf("found-%d", seed)
	rng := model.NewRand(seed, "search")
	d.Faults = slices.Clone(base.Faults)
	for range 1 + rng.IntN(maxFaults) {
		d.Faults = append(d.Faults, drawFault(rng, &d))
	}
	return &d
}

// drawFault returns a random fault within the length of the scenario.
func drawFault(rng *rand.Rand, d *scenario.Scenario) scenario.Fault {
	length := d.Length.Duration()
	at := time.Duration(rng.Int64N(int64(length * 3 / 4))).Truncate(time.Millisecond)
	duration := time.Duration(rng.Int64N(int64(length-at)-int64(length/8)) + int64(length/8)).Truncate(time.Millisecond)
	f := scenario.Fault{Kind: faultKinds[rng.IntN(len(faultKinds))], At: scenario.Span(at), Length: scenario.Span(min(duration, length-at))}
	probability := 0.05 + 0.6*rng.Float64()
	pickHosts := func() {
		ids, _ := d.HostIDs()
		rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
		f.Hosts = ids[:1+rng.IntN(max(1, len(ids)*2/3))]
		slices.Sort(f.Hosts)
	}
	switch f.Kind {
	case "slow":
		pickHosts()
		f.Factor = 2 + 10*rng.Float64()
	case "stall", "kill", "vanish", "link-cut":
		pickHosts()
	case "link-delay":
		pickHosts()
		f.Delay = scenario.Span(time.Duration(5+rng.IntN(200)) * time.Millisecond)
	case "reset", "spoil", "fail":
		pickHosts()
		f.Share = probability
	case "zone-dark":
		f.Zone = d.Fleet.Zones[rng.IntN(len(d.Fleet.Zones))]
	case "deploy":
		pickHosts()
		f.AtOnce, f.Drain, f.SameAddress = 1+rng.IntN(len(f.Hosts)), scenario.Span(2*time.Second), rng.IntN(2) == 0
	case "gateway-slow":
		f.Factor = 1.5 + 6*rng.Float64()
	case "gateway-reset", "gateway-fail":
		f.Share = probability / 2
	case "register-rewind", "balancer-restart":
		f.Length = 0
		f.Balancers = []int{1 + rng.IntN(d.Fleet.Balancers)}
	case "register-silent", "balancer-kill":
		f.Balancers = []int{1 + rng.IntN(d.Fleet.Balancers)}
	case "surge":
		f.Factor = 1.5 + 2.5*rng.Float64()
		if rng.IntN(2) == 0 {
			f.Tenant = d.Tenants[rng.IntN(len(d.Tenants))].Name
		}
	case "scan":
		f.Share = probability / 2
	case "hot":
		f.Share, f.Keys = probability, 1+rng.IntN(5)
	}
	return f
}

// Shrink reduces a scenario as long as it still shows the problem, by removing faults, removing balancers or shortening it.
// If the scenario broke rules before a step, the first of them must still be broken after it. Otherwise a step may raise the
// service by at most a tenth of what was missing to 1.
func Shrink(f RunResult) (RunResult, error) {
	reproduces := func(x RunResult) bool {
		if len(f.Broken) > 0 {
			return slices.Contains(x.Broken, f.Broken[0])
		}
		return x.Service <= f.Service+(1-f.Service)/10
	}
	for shrunk := true; shrunk; {
		shrunk = false
		for _, smaller := range smallerScenarios(f.Scenario) {
			x, _, err := simulate(smaller)
			if err != nil {
				return f, err
			}
			if reproduces(x) {
				f.Scenario, shrunk = x.Scenario, true
				f.Service, f.Broken = x.Service, x.Broken
				break
			}
		}
	}
	return f, nil
}

// smallerScenarios returns the scenarios that are one reduction step smaller.
func smallerScenarios(d *scenario.Scenario) (list []*scenario.Scenario) {
	for i := range d.Faults {
		x := *d
		x.Faults = slices.Delete(slices.Clone(d.Faults), i, i+1)
		list = append(list, &x)
	}
	if d.Fleet.Balancers > 1 && !slices.ContainsFunc(d.Faults, func(f scenario.Fault) bool { return slices.Contains(f.Balancers, d.Fleet.Balancers) }) {
		x := *d
		x.Fleet.Balancers--
		list = append(list, &x)
	}
	last := scenario.Span(0)
	for _, f := range d.Faults {
		last = max(last, f.At+f.Length)
	}
	if shorter := max(last, d.Length*3/4).Duration().Truncate(time.Millisecond); scenario.Span(shorter) < d.Length && shorter >= time.Second {
		x := *d
		x.Length = scenario.Span(shorter)
		list = append(list, &x)
	}
	return list
}
