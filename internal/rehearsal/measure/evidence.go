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

// Evidence is one kind of day, played by balancers that tell each other of nodes and by the same ones that do not, on the same seeds.
type Evidence struct {
	Name         string
	Mates, Seeds int
	Alone, Told  EvidenceSide
}

// EvidenceSide are means over the seeds.
type EvidenceSide struct {
	AtBad    float64 // attempts a day that came to bad nodes while they were bad
	Vain     float64 // attempts a day that brought nothing, at any node
	Service  float64
	Worst10  float64 // the worst ten seconds of all days
	WorstDay float64 // service of the worst day
	Broken   int     // rules, on all days
	Took     time.Duration
	by       []float64 // service by seed
}

// scarceDay is a fleet whose balancers meet a node once in seconds.
const scarceDay = `
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

// evidenceDays are the kinds: a fifth of the nodes fail, hang, or both by turns; or all are well and some balancers lie.
var evidenceDays = []struct {
	name   string
	faults []scenario.Fault
	lie    virtual.Liars
}{
	{name: "a fifth of the nodes fail, two groups by turns", faults: byTurns("fail", 1)},
	{name: "a fifth hang, two groups by turns", faults: byTurns("stall", 0)},
	{name: "all nodes are well"},
	{name: "all are well, three in eight balancers call a quarter of the nodes bad", lie: lying(func(i int, r *evidence.HostOutcomes) {
		if i%4 == 0 {
			r.Good, r.Bad = 0, 9
		}
	})},
	{name: "all are well, three in eight call all nodes bad", lie: lying(func(_ int, r *evidence.HostOutcomes) { r.Good, r.Bad = 0, 9 })},
	{name: "a fifth fail by turns, three in eight call all nodes well", faults: byTurns("fail", 1), lie: lying(func(_ int, r *evidence.HostOutcomes) { r.Good, r.Bad = 9, 0 })},
}

// byTurns has a tenth of the nodes, then another tenth, be bad for a while.
func byTurns(do string, part float64) []scenario.Fault {
	group := func(k int) (nodes []string) {
		for i := range scarceNodes / 10 {
			for _, zone := range []string{"e", "w"} {
				nodes = append(nodes, fmt.Sprintf("%s-%d", zone, 1+i+k*scarceNodes/10))
			}
		}
		return nodes
	}
	s := func(n int) scenario.Span { return scenario.Span(time.Duration(n) * time.Second) }
	return []scenario.Fault{{Do: do, At: s(5), For: s(9), Part: part, Nodes: group(0)}, {Do: do, At: s(20), For: s(12), Part: part, Nodes: group(1)}}
}

// lying has three balancers in eight change what they tell.
func lying(change func(i int, r *evidence.HostOutcomes)) virtual.Liars {
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

// scarcePerS is what a balancer is called a second, and scarceNodes how many nodes a zone has.
const (
	scarcePerS  = 8
	scarceNodes = 30
)

// EvidenceOf measures all kinds of days with so many balancers, on so many seeds.
func EvidenceOf(mates, seeds, lanes int) (all []Evidence, err error) {
	for _, kind := range evidenceDays {
		plays := make([]EvidenceSide, 2*seeds)
		err := SideBySide(len(plays), lanes, func(i int) error {
			day, err := scenario.Parse("measure", fmt.Appendf(nil, scarceDay, mates, i%2 == 1, scarceNodes, float64(scarcePerS*mates)))
			if err != nil {
				return err
			}
			day.Seed, day.Faults = uint64(i/2+1), kind.faults
			res, err := virtual.PlayLying(day, kind.lie)
			if err != nil {
				return err
			}
			p, rep := &plays[i], report.Of(res)
			p.Service, p.Worst10, p.Broken, p.Took = rep.Service.Whole, rep.Service.Worst10s, len(rep.Verdict.BrokenRules()), rep.Took
			for _, s := range res.Record.Attempts {
				if s.Server != record.Gateway && s.Proof != record.WasServed && s.Proof != record.Missed {
					p.Vain++
				}
				for _, f := range kind.faults {
					if slices.Contains(f.Nodes, s.Server) && s.Came >= f.At.Duration() && s.Came < (f.At+f.For).Duration() {
						p.AtBad++
					}
				}
			}
			return nil
		})
		if err != nil {
			return nil, err
		}
		e := Evidence{Name: kind.name, Mates: mates, Seeds: seeds}
		for i, p := range plays {
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

func (s *EvidenceSide) add(p EvidenceSide, seeds int) {
	n := float64(seeds)
	s.AtBad, s.Vain, s.Service = s.AtBad+p.AtBad/n, s.Vain+p.Vain/n, s.Service+p.Service/n
	if len(s.by) == 0 {
		s.Worst10, s.WorstDay = 1, 1
	}
	s.Worst10, s.WorstDay = min(s.Worst10, p.Worst10), min(s.WorstDay, p.Service)
	s.Broken += p.Broken
	s.Took += p.Took / time.Duration(seeds)
	s.by = append(s.by, p.Service)
}

// Text prints the figures.
func (e Evidence) Text(to io.Writer) {
	fmt.Fprintf(to, "%d balancers, %s, %d seeds\n", e.Mates, e.Name, e.Seeds)
	for _, x := range []struct {
		name string
		s    EvidenceSide
	}{{"alone", e.Alone}, {"told", e.Told}} {
		fmt.Fprintf(to, "  %-6s %7.0f attempts at bad nodes, %7.0f in vain; service %.4f, worst day %.4f, worst 10 s %.3f; %d rules broken; %v to play\n",
			x.name, x.s.AtBad, x.s.Vain, x.s.Service, x.s.WorstDay, x.s.Worst10, x.s.Broken, x.s.Took.Round(time.Millisecond))
	}
	worst := 0.0
	for i, v := range e.Told.by {
		worst = min(worst, v-e.Alone.by[i])
	}
	fmt.Fprintf(to, "  worst difference of a day %+.4f\n", worst)
}
