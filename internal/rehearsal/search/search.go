// Package search draws days with faults of all kinds, plays them in virtual time and keeps those that break a rule or
// serve least; each is shrunk to the smallest day that still shows it.
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

// Found is a day that was kept.
type Found struct {
	Day     *scenario.Day
	Service float64
	Broken  []judge.Rule
}

// Result is what a search came to.
type Result struct {
	Played  int
	Kept    int // without a broken rule
	Broken  []Found
	Worst   []Found // by service, the least first
	Checked map[judge.Rule]int
}

// mostKept bounds what is kept of either sort.
const mostKept = 10

// Days plays so many drawn days, on the cores that there are, until the context ends.
func Days(ctx context.Context, base *scenario.Day, from uint64, days, lanes int) (Result, error) {
	res := Result{Checked: map[judge.Rule]int{}}
	var mu sync.Mutex
	var group sync.WaitGroup
	var failed error
	next := make(chan uint64)
	for range lanes {
		group.Add(1)
		go func() {
			defer group.Done()
			for seed := range next {
				f, v, err := playOne(Draw(base, seed))
				mu.Lock()
				if err != nil {
					failed = err
				} else {
					res.take(f, v)
				}
				mu.Unlock()
			}
		}()
	}
	for i := range days {
		if ctx.Err() != nil {
			break
		}
		next <- from + uint64(i)
	}
	close(next)
	group.Wait()
	return res, failed
}

func (r *Result) take(f Found, v *judge.Verdict) {
	r.Played++
	for _, x := range v.Findings {
		r.Checked[x.Rule] += x.Checked
	}
	if len(f.Broken) > 0 {
		r.Broken = append(r.Broken, f)
		slices.SortFunc(r.Broken, bySeed) // the lanes' order must not decide which are kept
		r.Broken = r.Broken[:min(len(r.Broken), mostKept)]
	} else {
		r.Kept++
	}
	r.Worst = append(r.Worst, f)
	slices.SortFunc(r.Worst, func(x, y Found) int {
		if x.Service != y.Service {
			if x.Service < y.Service {
				return -1
			}
			return 1
		}
		return bySeed(x, y)
	})
	r.Worst = r.Worst[:min(len(r.Worst), mostKept)]
}

func bySeed(x, y Found) int {
	if x.Day.Seed < y.Day.Seed {
		return -1
	}
	return 1
}

func playOne(d *scenario.Day) (Found, *judge.Verdict, error) {
	res, err := virtual.Play(d, nil)
	if err != nil {
		return Found{}, nil, err
	}
	return Found{Day: d, Service: report.Of(res).Service.Whole, Broken: res.Verdict.BrokenRules()}, res.Verdict, nil
}

// drawn are the kinds of faults that a search draws: those that virtual time plays.
var drawn = []string{"slow", "stall", "kill", "vanish", "reset", "spoil", "fail", "link-delay", "link-cut", "zone-dark", "deploy",
	"register-silent", "register-rewind", "gateway-slow", "gateway-reset", "gateway-fail", "balancer-kill", "balancer-restart", "surge",
	"scan", "hot"}

// faultsMost is how many faults a day gets: more overlap so much that nothing is told apart.
const faultsMost = 4

// Draw makes a day of a base and a seed: one to four faults of any kind, size and time, over those that the base has.
func Draw(base *scenario.Day, seed uint64) *scenario.Day {
	d := *base
	d.Seed = seed
	d.Name = fmt.Sprintf("found-%d", seed)
	r := model.Stream(seed, "search")
	d.Faults = slices.Clone(base.Faults)
	for range 1 + r.IntN(faultsMost) {
		d.Faults = append(d.Faults, fault(r, &d))
	}
	return &d
}

func fault(r *rand.Rand, d *scenario.Day) scenario.Fault {
	length := d.Length.Duration()
	at := time.Duration(r.Int64N(int64(length * 3 / 4))).Truncate(time.Millisecond)
	span := time.Duration(r.Int64N(int64(length-at)-int64(length/8)) + int64(length/8)).Truncate(time.Millisecond)
	f := scenario.Fault{Do: drawn[r.IntN(len(drawn))], At: scenario.Span(at), For: scenario.Span(min(span, length-at))}
	part := 0.05 + 0.6*r.Float64()
	some := func() {
		ids, _ := d.NodeIDs()
		r.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
		f.Nodes = ids[:1+r.IntN(max(1, len(ids)*2/3))]
		slices.Sort(f.Nodes)
	}
	switch f.Do {
	case "slow":
		some()
		f.By = 2 + 10*r.Float64()
	case "stall", "kill", "vanish", "link-cut":
		some()
	case "link-delay":
		some()
		f.Delay = scenario.Span(time.Duration(5+r.IntN(200)) * time.Millisecond)
	case "reset", "spoil", "fail":
		some()
		f.Part = part
	case "zone-dark":
		f.Zone = d.Fleet.Zones[r.IntN(len(d.Fleet.Zones))]
	case "deploy":
		some()
		f.AtOnce, f.Drain, f.Same = 1+r.IntN(len(f.Nodes)), scenario.Span(2*time.Second), r.IntN(2) == 0
	case "gateway-slow":
		f.By = 1.5 + 6*r.Float64()
	case "gateway-reset", "gateway-fail":
		f.Part = part / 2
	case "register-rewind", "balancer-restart":
		f.For = 0
		f.Balancers = []int{1 + r.IntN(d.Fleet.Balancers)}
	case "register-silent", "balancer-kill":
		f.Balancers = []int{1 + r.IntN(d.Fleet.Balancers)}
	case "surge":
		f.By = 1.5 + 2.5*r.Float64()
		if r.IntN(2) == 0 {
			f.Tenant = d.Tenants[r.IntN(len(d.Tenants))].Name
		}
	case "scan":
		f.Part = part / 2
	case "hot":
		f.Part, f.Keys = part, 1+r.IntN(5)
	}
	return f
}

// Shrink looks for the smallest day that still shows what was found: without a fault, with fewer balancers, with less of
// the day. A rule that was broken has to be broken still; else the service may rise by a tenth of what was lost.
func Shrink(f Found) (Found, error) {
	shows := func(x Found) bool {
		if len(f.Broken) > 0 {
			return slices.Contains(x.Broken, f.Broken[0])
		}
		return x.Service <= f.Service+(1-f.Service)/10
	}
	for again := true; again; {
		again = false
		for _, smaller := range steps(f.Day) {
			x, _, err := playOne(smaller)
			if err != nil {
				return f, err
			}
			if shows(x) {
				f.Day, again = x.Day, true
				f.Service, f.Broken = x.Service, x.Broken
				break
			}
		}
	}
	return f, nil
}

// steps are the days that are one step smaller.
func steps(d *scenario.Day) (list []*scenario.Day) {
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
		last = max(last, f.At+f.For)
	}
	if shorter := max(last, d.Length*3/4).Duration().Truncate(time.Millisecond); scenario.Span(shorter) < d.Length && shorter >= time.Second {
		x := *d
		x.Length = scenario.Span(shorter)
		list = append(list, &x)
	}
	return list
}
