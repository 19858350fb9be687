package measure

import (
	"fmt"
	"io"
	"slices"
	"time"

	"streamrail/internal/fleet/evidence"
	"streamrail/internal/rehearsal/record"
	"streamrail/internal/rehearsal/report"
	"streamrail/internal/rehearsal/scenario"
	"streamrail/internal/rehearsal/virtual"
)

// Evidence compares, for one scenario and the same seeds, balancers that exchange observations of cache hosts with balancers
// that do not.
type Evidence struct {
	Name         string
	Mates, Seeds int
	Alone, Told  EvidenceResult // without and with the exchange of observations
}

// EvidenceResult holds the results without or with the exchange, as means over the seeds where nothing else is stated.
type EvidenceResult struct {
	AtBad         float64 // attempts per run that arrived at a faulty host during its fault
	Vain          float64 // attempts per run at any cache host that were neither served nor a cache miss
	Service       float64
	Worst10       float64 // service in the worst ten seconds of all runs
	WorstDay      float64 // service of the worst run
	Broken        int     // number of broken rules in all runs
	Took          time.Duration
	serviceBySeed []float64 // service of each seed
}

// evidenceScenario is a fleet in which each balancer sends a request to a given cache host only once in several seconds, so that
// its own observations of a host are few.
const evidenceScenario = `
name = "evidence"
length = "40s"
[fleet]
zones = ["east", "west"]
balancers = %d
cross = "2ms"
[mates]
on = true
evidence = %v
loss = 0.05
[[node]]
name = "e"
zone = "east"
count = %d
[[node]]
name = "w"
zone = "west"
count = %[3]d
[load]
per_s = %.1f
[client]
tries = 1
`

// evidenceCases are the measured cases: a fifth of the hosts fail or hang, in two groups one after the other; all hosts are
// healthy; and some balancers report false observations.
var evidenceCases = []struct {
	name   string
	faults []scenario.Fault
	alter  virtual.AlterReports
}{
	{name: "a fifth of the nodes fail, two groups by turns", faults: alternatingFaults("fail", 1)},
	{name: "a fifth hang, two groups by turns", faults: alternatingFaults("stall", 0)},
	{name: "all nodes are well"},
	{name: "all are well, three in eight balancers call a quarter of the nodes bad", alter: alteredByThreeInEight(func(i int, r *evidence.HostOutcomes) {
		if i%4 == 0 {
			r.Good, r.Bad = 0, 9
		}
	})},
	{name: "all are well, three in eight call all nodes bad", alter: alteredByThreeInEight(func(_ int, r *evidence.HostOutcomes) { r.Good, r.Bad = 0, 9 })},
	{name: "a fifth fail by turns, three in eight call all nodes well", faults: alternatingFaults("fail", 1), alter: alteredByThreeInEight(func(_ int, r *evidence.HostOutcomes) { r.Good, r.Bad = 9, 0 })},
}

// alternatingFaults makes a tenth of the hosts faulty for some seconds and later another tenth.
func alternatingFaults(kind string, share float64) []scenario.Fault {
	group := func(k int) (hosts []string) {
		for i := range hostsPerZone / 10 {
			for _, zone := range []string{"e", "w"} {
				hosts = append(hosts, fmt.Sprintf("%s-%d", zone, 1+i+k*hostsPerZone/10))
			}
		}
		return hosts
	}
	s := func(n int) scenario.Span { return scenario.Span(time.Duration(n) * time.Second) }
	return []scenario.Fault{{Kind: kind, At: s(5), Length: s(9), Share: share, Hosts: group(0)}, {Kind: kind, At: s(20), Length: s(12), Share: share, Hosts: group(1)}}
}

// alteredByThreeInEight makes three in eight balancers alter the observations that they report.
func alteredByThreeInEight(change func(i int, r *evidence.HostOutcomes)) virtual.AlterReports {
	return func(b int, rows []evidence.HostOutcomes) []evidence.HostOutcomes {
		if b%8 >= 3 {
			return rows
		}
		rows = slices.Clone(rows)
		for i := range rows {
			change(i, &rows[i])
		}
		return rows
	}
}

// requestsPerBalancer is the number of requests per second at each balancer, and hostsPerZone the number of cache hosts per
// zone.
const (
	requestsPerBalancer = 8
	hostsPerZone        = 30
)

// MeasureEvidence measures all cases with a number of balancers and seeds, on a number of concurrent workers.
func MeasureEvidence(balancers, seeds, workers int) (all []Evidence, err error) {
	for _, testCase := range evidenceCases {
		results := make([]EvidenceResult, 2*seeds)
		err := RunParallel(len(results), workers, func(i int) error {
			sc, err := scenario.Parse("measure", fmt.Appendf(nil, evidenceScenario, balancers, i%2 == 1, hostsPerZone, float64(requestsPerBalancer*balancers)))
			if err != nil {
				return err
			}
			sc.Seed, sc.Faults = uint64(i/2+1), testCase.faults
			res, err := virtual.SimulateFalseReports(sc, testCase.alter)
			if err != nil {
				return err
			}
			p, rep := &results[i], report.New(res)
			p.Service, p.Worst10, p.Broken, p.Took = rep.Service.Whole, rep.Service.Worst10s, len(rep.Verdict.BrokenRules()), rep.Took
			for _, s := range res.Record.Attempts {
				if s.Server != record.Origin && s.Proof != record.Served && s.Proof != record.CacheMiss {
					p.Vain++
				}
				for _, f := range testCase.faults {
					if slices.Contains(f.Hosts, s.Server) && s.ArrivedAt >= f.At.Duration() && s.ArrivedAt < (f.At+f.Length).Duration() {
						p.AtBad++
					}
				}
			}
			return nil
		})
		if err != nil {
			return nil, err
		}
		e := Evidence{Name: testCase.name, Mates: balancers, Seeds: seeds}
		for i, p := range results {
			if i%2 == 0 {
				e.Alone.add(p, seeds)
			} else {
				e.Told.add(p, seeds)
			}
		}
		all = append(all, e)
	}
	return all, nil
}

func (s *EvidenceResult) add(result EvidenceResult, seeds int) {
	n := float64(seeds)
	s.AtBad, s.Vain, s.Service = s.AtBad+result.AtBad/n, s.Vain+result.Vain/n, s.Service+result.Service/n
	if len(s.serviceBySeed) == 0 {
		s.Worst10, s.WorstDay = 1, 1
	}
	s.Worst10, s.WorstDay = min(s.Worst10, result.Worst10), min(s.WorstDay, result.Service)
	s.Broken += result.Broken
	s.Took += result.Took / time.Duration(seeds)
	s.serviceBySeed = append(s.serviceBySeed, result.Service)
}

// Text prints the results.
func (e Evidence) Text(to io.Writer) {
	fmt.Fprintf(to, "%d balancers, %s, %d seeds\n", e.Mates, e.Name, e.Seeds)
	for _, x := range []struct {
		name string
		s    EvidenceResult
	}{{"alone", e.Alone}, {"told", e.Told}} {
		fmt.Fprintf(to, "  %-6s %7.0f attempts at faulty hosts, %7.0f without result; service %.4f, worst run %.4f, worst 10 s %.3f; %d rules broken; %v to simulate\n",
			x.name, x.s.AtBad, x.s.Vain, x.s.Service, x.s.WorstDay, x.s.Worst10, x.s.Broken, x.s.Took.Round(time.Millisecond))
	}
	worst := 0.0
	for i, v := range e.Told.serviceBySeed {
		worst = min(worst, v-e.Alone.serviceBySeed[i])
	}
	fmt.Fprintf(to, "  worst difference of a run %+.4f\n", worst)
}
