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
name = "%s"
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
}{
	{"even", "", "", 0},
	{"one", "at = [1]", "", 0},
	{"one, then another", "at = [1]", "[[fault]]\ndo = \"tenant-move\"\nat = \"20s\"\ntenant = \"kiosks\"\nbalancers = [4]\n", 20 * time.Second},
	{"one, all ways cut", "at = [1]", "[[fault]]\ndo = \"mate-cut\"\nat = \"5s\"\nfor = \"35s\"\nbalancers = [%s]\nto = [%[1]s]\n", 0},
}

// LimitsOf measures all kinds of days with so many balancers, on so many seeds.
func LimitsOf(mates, seeds, lanes int) (all []Limits, err error) {
	for k := range len(limitDays) * len(presses) {
		kind, press := limitDays[k%len(limitDays)], presses[k/len(limitDays)]
		named := min(mates, 16) // a file names no more; the others are added
		if kind.faults != "" && kind.move == 0 && named < mates {
			continue
		}
		l := Limits{Name: kind.name, Asked: press, Mates: mates, Seeds: seeds, Equal: Side{Worst10: 1}, Moved: Side{Worst10: 1}}
		names := ""
		for i := range named {
			names += fmt.Sprintf(", %d", i+1)
		}
		text := fmt.Sprintf(pressed, "limits", named, kind.at)
		for i := range 4 {
			text += fmt.Sprintf(others, i+1)
		}
		if faults := kind.faults; faults != "" {
			if kind.move == 0 {
				faults = fmt.Sprintf(faults, names[2:])
			}
			text += faults
		}
		type one struct {
			rep     *report.Report
			follows time.Duration
			sum     float64
			bytes   float64
			err     error
		}
		runs := make([][2]one, seeds)
		next := make(chan int, 2*seeds)
		for i := range 2 * seeds {
			next <- i
		}
		close(next)
		done := make(chan bool)
		for range lanes {
			go func() {
				for i := range next {
					to := &runs[i/2][i%2]
					var day *scenario.Day
					if day, to.err = scenario.Parse("measure", []byte(text)); to.err != nil {
						continue
					}
					day.Seed, day.Mates.Limits, day.Fleet.Balancers = uint64(i/2+1), i%2 == 1, mates
					day.Load.PerS, day.Load.Quota = press*day.Capacity(), allowed*press
					res, err := virtual.Play(day, nil)
					if to.err = err; err != nil {
						continue
					}
					to.rep = report.Of(res)
					to.follows = gather.Never
					sums := map[time.Duration]float64{}
					for _, p := range res.Record.Parts {
						if p.Limit != "allowance of kiosks" {
							continue
						}
						sums[p.At] += p.Part
						if kind.move > 0 && p.At > kind.move && p.Balancer == 3 && p.Part >= 0.9 {
							to.follows = min(to.follows, p.At-kind.move)
						}
					}
					for _, s := range sums {
						to.sum = max(to.sum, s)
					}
					for _, t := range res.Record.Talks {
						if t.Balancer == 0 {
							to.bytes = max(to.bytes, float64(t.Bytes)/day.Length.D().Seconds())
						}
					}
				}
				done <- true
			}()
		}
		for range lanes {
			<-done
		}
		var follows []time.Duration
		for _, r := range runs {
			for k, side := range []*Side{&l.Equal, &l.Moved} {
				if r[k].err != nil {
					return nil, r[k].err
				}
				side.add(r[k].rep, float64(seeds))
			}
			follows = append(follows, r[1].follows)
			l.Sum, l.Bytes = max(l.Sum, r[1].sum), l.Bytes+r[1].bytes/float64(seeds)
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
