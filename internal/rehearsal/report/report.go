// Package report writes the results of a rehearsal (a simulated run of a fleet of balancers) as text, as versioned JSON and as
// one HTML page with plots. All figures are of a simulated fleet on one machine.
package report

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime"
	"slices"
	"strings"
	"time"

	"streamrail/internal/rehearsal/judge"
	"streamrail/internal/rehearsal/load"
	"streamrail/internal/rehearsal/record"
	"streamrail/internal/rehearsal/runner"
	"streamrail/internal/rehearsal/scenario"
)

// Version is the version of the JSON format. It is incremented with each change that an older reader would misread.
const Version = 1

// Outcome is the overall result of a rehearsal.
type Outcome string

const (
	Kept   Outcome = "kept"   // no rule was broken
	Broken Outcome = "broken" // a rule was broken beyond doubt
	Unsure Outcome = "unsure" // no breach is certain, but some cases are doubtful because the rehearsal itself ran late
)

// Exit returns the exit code of the process for an outcome.
func (o Outcome) Exit() int {
	return map[Outcome]int{Kept: 0, Broken: 1, Unsure: 3}[o]
}

// Report holds the results of one rehearsal.
type Report struct {
	Version   int              `json:"version"`
	Name      string           `json:"name"`
	About     string           `json:"about"`
	Seed      uint64           `json:"seed"`
	Length    time.Duration    `json:"length_ns"`
	Took      time.Duration    `json:"took_ns"`
	Simulated bool             `json:"simulated"` // always true: the fleet is simulated
	Machine   Machine          `json:"machine"`
	Outcome   Outcome          `json:"outcome"`
	Verdict   *judge.Verdict   `json:"verdict"`
	Service   Service          `json:"service"`
	Outcomes  map[string]int   `json:"tries"` // requests, client retries included, by outcome
	Latency   load.Percentiles `json:"latency"`
	Late      load.Percentiles `json:"sent_late"`
	Balancers []Balancer       `json:"balancers"`
	Servers   []Server         `json:"servers"`
	Faults    []record.Band    `json:"faults"`
	Seconds   []Second         `json:"seconds"`
	Once      Share            `json:"wanted_once"` // requests for keys that no other request uses
}

// Machine describes the machine on which the rehearsal ran.
type Machine struct {
	Cores int    `json:"cores"`
	Procs int    `json:"gomaxprocs"`
	OS    string `json:"os"`
}

// Share counts the good cases (Good) of all (Of).
type Share struct {
	Of   int `json:"of"`
	Good int `json:"good"`
}

// Service is the quality of service: billed value fulfilled within the latency SLO, divided by the billed value requested.
// Client retries count with the first request.
type Service struct {
	Whole        float64            `json:"whole"`
	Worst10s     float64            `json:"worst_10s"`
	Worst10sAt   time.Duration      `json:"worst_10s_at_ns"`
	ByProduct    map[string]float64 `json:"by_product"`
	ByTenant     map[string]float64 `json:"by_tenant"`
	WorstProduct string             `json:"worst_product"`
	WorstTenant  string             `json:"worst_tenant"`
	Calls        int                `json:"calls"`
}

// Balancer holds what one balancer used of the machine, over all processes that ran as it.
type Balancer struct {
	Name    string        `json:"name"`
	Lives   int           `json:"lives"`
	PeakMB  float64       `json:"peak_mb"`
	Sockets int           `json:"sockets"`
	CPU     time.Duration `json:"cpu_ns"`
	Calls   int           `json:"calls"`
}

// Server holds what one cache host, or the origin, received.
type Server struct {
	Name     string  `json:"name"`
	Attempts int     `json:"shots"`
	Missed   int     `json:"missed"`
	Opened   int     `json:"connections_opened"`
	MostOpen int     `json:"most_opened_in_a_second"`
	Strain   float64 `json:"strain,omitempty"` // highest load that it was sent, as a multiple of its capacity; of a host: while cold
}

// Second holds the figures of one second of the run.
type Second struct {
	Asked    float64        `json:"asked"`
	Served   float64        `json:"served"`
	P50      time.Duration  `json:"p50_ns"`
	P99      time.Duration  `json:"p99_ns"`
	Attempts map[string]int `json:"shots"`
	Opened   int            `json:"opened"`
	Refused  int            `json:"rate_limited"`
}

// New returns the report of a rehearsal.
func New(res *runner.Result) *Report {
	sc := res.Scenario
	r := &Report{Version: Version, Name: sc.Name, About: sc.About, Seed: sc.Seed, Length: sc.Length.Duration(), Took: res.Elapsed, Simulated: true,
		Machine: Machine{runtime.NumCPU(), runtime.GOMAXPROCS(0), runtime.GOOS + "/" + runtime.GOARCH}, Verdict: res.Verdict, Outcome: Kept,
		Outcomes: map[string]int{}, Latency: res.Latency, Late: res.Lateness, Faults: res.Record.Faults,
		Seconds: make([]Second, int(sc.Length.Duration()/time.Second)+1)}
	switch {
	case res.Verdict.Broken():
		r.Outcome = Broken
	case res.Verdict.Unsure():
		r.Outcome = Unsure
	}
	for i := range r.Seconds {
		r.Seconds[i].Attempts = map[string]int{}
	}
	r.addRequests(sc, res.Record)
	r.addBalancersAndServers(sc, res.Record)
	return r
}

func (r *Report) secondAt(at time.Duration) *Second {
	return &r.Seconds[min(len(r.Seconds)-1, max(0, int(at/time.Second)))]
}

// addRequests adds outcomes, service and latencies of the clients' requests to the report.
func (r *Report) addRequests(sc *scenario.Scenario, rec *record.Record) {
	type firstRequest struct {
		first *record.Request // nil if the record has only client retries of it
		good  bool            // it or a client retry was fulfilled within the latency SLO
	}
	byFirstID := map[string]*firstRequest{}
	var latencies = map[int][]time.Duration{}
	for i := range rec.Requests {
		req := &rec.Requests[i]
		if outcome := req.Reply.String(); req.NotSent {
			r.Outcomes["not taken"]++
		} else {
			r.Outcomes[outcome]++
		}
		if byFirstID[req.FirstID] == nil {
			byFirstID[req.FirstID] = &firstRequest{}
		}
		if req.Try == 1 {
			byFirstID[req.FirstID].first = req
		}
		if req.Reply == record.RateLimited {
			r.secondAt(req.Answered).Refused++
		}
	}
	for i := range rec.Requests {
		req := &rec.Requests[i]
		a := byFirstID[req.FirstID]
		if req.Reply == record.Fulfilled && a.first != nil {
			took := req.Answered - a.first.ScheduledAt
			a.good = a.good || took <= sc.Products[req.Product].LatencySLO.Duration()
			sec := int(a.first.ScheduledAt / time.Second)
			latencies[sec] = append(latencies[sec], took)
		}
	}
	product, tenant := make([][2]float64, len(sc.Products)), make([][2]float64, len(sc.Tenants))
	var whole [2]float64
	for _, a := range byFirstID {
		if a.first == nil {
			continue
		}
		value, served := sc.Products[a.first.Product].BilledValue, 0.0
		if a.good {
			served = value
		}
		for _, sum := range []*[2]float64{&whole, &product[a.first.Product], &tenant[a.first.Tenant]} {
			sum[0] += value
			sum[1] += served
		}
		second := r.secondAt(a.first.ScheduledAt)
		second.Asked += value
		second.Served += served
		r.Service.Calls++
		if a.first.KeyUsedOnce {
			r.Once.Of++
			if a.good {
				r.Once.Good++
			}
		}
	}
	r.Service.Whole = ratio(whole)
	r.Service.ByProduct, r.Service.WorstProduct = ratios(product, func(i int) string { return sc.Products[i].Name })
	r.Service.ByTenant, r.Service.WorstTenant = ratios(tenant, func(i int) string { return sc.Tenants[i].Name })
	r.Service.Worst10s = 1
	last := max(1, len(r.Seconds)-1) // the end of the run falls into an entry of its own, which is no full second
	for i := 0; i+min(10, last) <= last; i++ {
		var sum [2]float64
		for _, second := range r.Seconds[i : i+min(10, last)] {
			sum[0] += second.Asked
			sum[1] += second.Served
		}
		if p := ratio(sum); p < r.Service.Worst10s {
			r.Service.Worst10s, r.Service.Worst10sAt = p, time.Duration(i)*time.Second
		}
	}
	for sec, list := range latencies {
		slices.Sort(list)
		second := r.secondAt(time.Duration(sec) * time.Second)
		second.P50, second.P99 = list[len(list)/2], list[len(list)*99/100]
	}
}

// ratio returns served divided by asked, or 1 if nothing was asked.
func ratio(askedAndServed [2]float64) float64 {
	if askedAndServed[0] == 0 {
		return 1
	}
	return askedAndServed[1] / askedAndServed[0]
}

func ratios(sums [][2]float64, name func(int) string) (by map[string]float64, worst string) {
	by = map[string]float64{}
	for i, s := range sums {
		by[name(i)] = ratio(s)
		if worst == "" || by[name(i)] < by[worst] {
			worst = name(i)
		}
	}
	return by, worst
}

func (r *Report) addBalancersAndServers(sc *scenario.Scenario, rec *record.Record) {
	r.Balancers = make([]Balancer, sc.Fleet.Balancers)
	for i := range r.Balancers {
		r.Balancers[i].Name = fmt.Sprintf("balancer %d", i+1)
	}
	for _, l := range rec.ProcessRuns {
		b := &r.Balancers[l.Balancer]
		b.Lives++
		b.PeakMB, b.Sockets, b.CPU = max(b.PeakMB, l.PeakMB), max(b.Sockets, l.Sockets), b.CPU+l.CPU
	}
	for _, k := range rec.Requests {
		r.Balancers[k.Balancer].Calls++
	}
	servers := map[string]*Server{}
	serverNamed := func(name string) *Server {
		if servers[name] == nil {
			servers[name] = &Server{Name: name, Strain: rec.MaxLoads[name]}
		}
		return servers[name]
	}
	for _, s := range rec.Attempts {
		serverNamed(s.Server).Attempts++
		if s.Proof == record.CacheMiss {
			serverNamed(s.Server).Missed++
		}
		r.secondAt(s.ArrivedAt).Attempts[s.Server]++
	}
	opened := map[string]map[int]int{}
	for _, o := range rec.Openings {
		s := serverNamed(o.Server)
		s.Opened++
		if opened[o.Server] == nil {
			opened[o.Server] = map[int]int{}
		}
		sec := int(o.At / time.Second)
		opened[o.Server][sec]++
		s.MostOpen = max(s.MostOpen, opened[o.Server][sec])
		r.secondAt(o.At).Opened++
	}
	for _, s := range servers {
		r.Servers = append(r.Servers, *s)
	}
	slices.SortFunc(r.Servers, func(x, y Server) int { return cmp.Compare(x.Name, y.Name) })
}

// Text writes the report as plain text.
func (r *Report) Text(to io.Writer) {
	fmt.Fprintf(to, "%s: %s\n", r.Name, r.About)
	fmt.Fprintf(to, "simulated fleet, %v on %d cores, seed %d\n\n", r.Length, r.Machine.Cores, r.Seed)
	group := ""
	for _, f := range r.Verdict.Findings {
		if f.Group != group {
			group = f.Group
			fmt.Fprintln(to, group)
		}
		status := "kept"
		switch {
		case f.Breaches > 0:
			status = fmt.Sprintf("BROKEN %d times", f.Breaches)
		case f.Doubtful > 0:
			status = fmt.Sprintf("not sure in %d cases: the machine ran late", f.Doubtful)
		case f.Checked == 0:
			status = "not exercised"
		}
		fmt.Fprintf(to, "  %-38s %7d checked   %s\n", f.Rule, f.Checked, status)
		for i, b := range f.Examples {
			if i == 3 {
				fmt.Fprintf(to, "      more in the report\n")
				break
			}
			fmt.Fprintf(to, "      %s %s: %s\n", b.At.Round(time.Millisecond), b.Call, b.Text)
		}
	}
	for _, n := range r.Verdict.Notes {
		fmt.Fprintf(to, "  within the rules: %s\n", n)
	}
	s := r.Service
	fmt.Fprintf(to, "\nservice %.3f of the billed value in time (%d calls); worst 10 s %.3f from %v; worst product %s %.3f; worst tenant %s %.3f\n",
		s.Whole, s.Calls, s.Worst10s, s.Worst10sAt, s.WorstProduct, s.ByProduct[s.WorstProduct], s.WorstTenant, s.ByTenant[s.WorstTenant])
	if r.Once.Of > 0 {
		fmt.Fprintf(to, "keys wanted once: %d of %d in time\n", r.Once.Good, r.Once.Of)
	}
	var counts []string
	for outcome, n := range r.Outcomes {
		counts = append(counts, fmt.Sprintf("%s %d", outcome, n))
	}
	slices.Sort(counts)
	fmt.Fprintf(to, "tries: %s\n", strings.Join(counts, ", "))
	l := r.Latency
	fmt.Fprintf(to, "fulfilled after p50 %v, p90 %v, p99 %v, p99.9 %v\n", l.P50, l.P90, l.P99, l.P999)
	fmt.Fprintf(to, "the kit sent late by p99 %v, p99.9 %v, at most %v; ran late by at most %v\n", r.Late.P99, r.Late.P999, r.Late.Max,
		r.Verdict.MaxLateness.Round(time.Microsecond))
	for _, b := range r.Balancers {
		fmt.Fprintf(to, "%s: %d calls, %d lives, %.0f MB, %d descriptors, %v of processor\n", b.Name, b.Calls, b.Lives, b.PeakMB, b.Sockets, b.CPU)
	}
	for _, x := range r.Servers {
		fmt.Fprintf(to, "%s: %d attempts, %d missed, %d connections (at most %d in a second)", x.Name, x.Attempts, x.Missed, x.Opened, x.MostOpen)
		if x.Strain > 0 {
			fmt.Fprintf(to, ", sent at most %.2f times what it could do", x.Strain)
		}
		fmt.Fprintln(to)
	}
	fmt.Fprintf(to, "\n%s: rules %s\n", r.Name, r.Outcome)
}

// Write saves the report as JSON.
func (r *Report) Write(path string) error {
	text, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o644)
}

// Read loads a report that Write saved.
func Read(path string) (*Report, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var r Report
	if err := json.Unmarshal(text, &r); err != nil {
		return nil, fmt.Errorf("%s: not a report: %w", path, err)
	}
	if r.Version != Version || r.Verdict == nil {
		return nil, fmt.Errorf("%s: %w %d, got %d", path, errVersion, Version, r.Version)
	}
	return &r, nil
}

var errVersion = errors.New("expected a report of version")

// Compare writes two sets of reports side by side. Reports of the same rehearsal, seed and length are paired.
func Compare(to io.Writer, a, b []*Report) error {
	n := 0
	fmt.Fprintf(to, "%-20s %6s  %8s %8s %8s  %10s %10s  %s\n", "rehearsal", "seed", "service", "", "change", "p99", "", "rules")
	for _, x := range a {
		i := slices.IndexFunc(b, func(y *Report) bool { return y.Name == x.Name && y.Seed == x.Seed && y.Length == x.Length })
		if i < 0 {
			continue
		}
		y := b[i]
		n++
		fmt.Fprintf(to, "%-20s %6d  %8.3f %8.3f %+8.3f  %10v %10v  %s, %s\n", x.Name, x.Seed, x.Service.Whole, y.Service.Whole,
			y.Service.Whole-x.Service.Whole, x.Latency.P99, y.Latency.P99, x.Outcome, y.Outcome)
	}
	if n == 0 {
		return errors.New("no two reports are of one rehearsal, length and seed")
	}
	return nil
}
