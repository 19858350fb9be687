package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"runtime"
	"strings"
	"syscall"
	"time"

	"streamrail/internal/rehearsal/measure"
	"streamrail/internal/rehearsal/report"
	"streamrail/internal/rehearsal/runner"
	"streamrail/internal/rehearsal/scenario"
)

// listCommand lists the built-in rehearsals and the kinds of faults.
type listCommand struct{}

func (listCommand) Run() error {
	for _, name := range scenario.Names() {
		d, err := scenario.Open(name)
		if err != nil {
			return err
		}
		fmt.Printf("%-20s %4.0fs  %s\n", name, d.Length.Duration().Seconds(), d.About)
	}
	fmt.Println("\nkinds of faults")
	for _, k := range scenario.Kinds() {
		fmt.Printf("%-20s %s\n", k, scenario.DescribeKind(k))
	}
	return nil
}

// checkCommand checks scenario files.
type checkCommand struct {
	Files []string `arg:"" help:"Scenario files or names of built-in rehearsals."`
}

func (c checkCommand) Run() error {
	var faults []error
	for _, f := range c.Files {
		if _, err := scenario.Open(f); err != nil {
			faults = append(faults, err)
		} else {
			fmt.Println(f + ": sound")
		}
	}
	return errors.Join(faults...)
}

// runOptions holds the flags of all commands that run scenarios.
type runOptions struct {
	Balancer  string        `help:"The balancer program; by default streamrail in the directory of this program." type:"path" placeholder:"FILE"`
	Seed      uint64        `help:"The seed, in place of the file's."`
	Balancers int           `help:"The number of balancers, in place of the file's."`
	For       time.Duration `help:"The length, in place of the file's; faults that would end later are left out."`
	Operator  string        `help:"The operator's file for the balancers, in place of the rehearsal's; 'none' for none." placeholder:"FILE"`
	Out       string        `help:"A directory for the report and the balancers' logs." type:"path" placeholder:"DIR"`
}

// findBalancer returns the path of the balancer program.
func (p *runOptions) findBalancer() (string, error) {
	path := p.Balancer
	if path == "" {
		self, err := os.Executable()
		if err != nil {
			return "", err
		}
		path = filepath.Join(filepath.Dir(self), "streamrail")
	}
	if _, err := exec.LookPath(path); err != nil {
		return "", fmt.Errorf("--balancer: no program at %s: %w", path, os.ErrNotExist)
	}
	return path, nil
}

// openScenario reads a scenario and applies the changes from the command line.
func (p *runOptions) openScenario(name string) (*scenario.Scenario, error) {
	sc, err := scenario.Open(name)
	if err != nil {
		return nil, err
	}
	if p.Seed != 0 {
		sc.Seed = p.Seed
	}
	if p.Balancers != 0 {
		sc.Fleet.Balancers = p.Balancers
	}
	switch p.Operator {
	case "":
	case "none":
		sc.Operator = ""
	default:
		text, err := os.ReadFile(p.Operator)
		if err != nil {
			return nil, err
		}
		sc.Operator = string(text)
	}
	if p.For != 0 {
		if p.For < time.Second {
			return nil, fmt.Errorf("--for: %w: expected a second at least, got %v", scenario.ErrFaulty, p.For)
		}
		sc.SetLength(p.For)
	}
	return sc, nil
}

// prepare finds the balancer program and reads a scenario.
func (p *runOptions) prepare(name string) (program string, sc *scenario.Scenario, err error) {
	if program, err = p.findBalancer(); err == nil {
		sc, err = p.openScenario(name)
	}
	return program, sc, err
}

// outputDir creates the directory for a scenario's files. The returned cleanup removes it unless --out is set.
func (p *runOptions) outputDir(name string) (dir string, cleanup func(), err error) {
	if p.Out != "" {
		dir = filepath.Join(p.Out, name)
		return dir, func() {}, os.MkdirAll(dir, 0o755)
	}
	dir, err = os.MkdirTemp("", "rehearse-")
	return dir, func() { os.RemoveAll(dir) }, err
}

// runOne runs a scenario and writes its report if --out is set.
func (p *runOptions) runOne(ctx context.Context, sc *scenario.Scenario, program string, monitor func(*runner.Stage)) (*report.Report, error) {
	dir, cleanup, err := p.outputDir(sc.Name)
	if err != nil {
		return nil, err
	}
	defer cleanup()
	res, err := runner.Run(ctx, sc, runner.Program(program), dir, monitor)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", sc.Name, err)
	}
	r := report.New(res)
	if p.Out == "" {
		return r, nil
	}
	if err := r.Write(filepath.Join(dir, "report.json")); err != nil {
		return nil, err
	}
	return r, r.HTML(filepath.Join(dir, "report.html"))
}

// interruptContext returns a context that ends with the first SIGINT or SIGTERM.
func interruptContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}

// runCommand runs one scenario against real balancers.
type runCommand struct {
	runOptions
	Name string `arg:"" help:"A built-in rehearsal or a scenario file."`
	JSON bool   `help:"Print the report as JSON."`
}

func (c runCommand) Run() error {
	program, sc, err := c.prepare(c.Name)
	if err != nil {
		return err
	}
	ctx, stop := interruptContext()
	defer stop()
	var monitor func(*runner.Stage)
	if isTerminal(os.Stderr) {
		monitor = showProgress
	}
	r, err := c.runOne(ctx, sc, program, monitor)
	if err != nil {
		return err
	}
	if c.JSON {
		if err := printJSON(r); err != nil {
			return err
		}
	} else {
		r.Text(os.Stdout)
	}
	return exitError(r.Outcome)
}

// printJSON prints a value as JSON.
func printJSON(v any) error {
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", " ")
	return e.Encode(v)
}

// exitError returns the exit code of an outcome as an error, or nil if it is 0.
func exitError(o report.Outcome) error {
	if code := o.Exit(); code != 0 {
		return exitCode(code)
	}
	return nil
}

// isTerminal reports whether a file is a terminal.
func isTerminal(f *os.File) bool {
	s, err := f.Stat()
	return err == nil && s.Mode()&os.ModeCharDevice != 0
}

// showProgress shows the progress of a running scenario on a terminal.
func showProgress(s *runner.Stage) {
	for now := s.Environment.Now(); now < s.Environment.Scenario.Length.Duration(); now = s.Environment.Now() {
		t := s.Clients.Tally()
		fmt.Fprintf(os.Stderr, "\r%5.0fs of %.0fs  %d requests: %d fulfilled, %d rate-limited, %d errored, %d lost ", now.Seconds(),
			s.Environment.Scenario.Length.Duration().Seconds(), t.Finished, t.Fulfilled, t.RateLimited, t.Errored, t.Lost)
		time.Sleep(time.Second / 2)
	}
	fmt.Fprintln(os.Stderr)
}

// upCommand starts a fleet and its balancers and keeps them running for manual tests.
type upCommand struct {
	runOptions
	Name string `arg:"" optional:"" default:"calm" help:"A built-in rehearsal or a scenario file."`
	Try  bool   `help:"Read and write some keys through a balancer, print the answers and exit."`
}

func (c upCommand) Run() error {
	program, sc, err := c.prepare(c.Name)
	if err != nil {
		return err
	}
	dir, cleanup, err := c.outputDir(sc.Name)
	if err != nil {
		return err
	}
	defer cleanup()
	ctx, stop := interruptContext()
	defer stop()
	s, err := runner.Start(ctx, sc, runner.Program(program), dir)
	if err != nil {
		return err
	}
	defer s.End()
	s.Environment.Begin()
	s.Environment.AcceptAll() // accept requests that are not part of the scenario
	for b := range sc.Fleet.Balancers {
		fmt.Printf("balancer %d serves at %s\n", b+1, s.Addr(b))
	}
	if sc.Membership.Enabled {
		printMemberViews(s, sc.Fleet.Balancers)
	}
	readRequest := fmt.Sprintf("mg line-1 v Otry1 Pc=%s,t=%s,d=1000", sc.Products[0].Name, sc.Tenants[0].Name)
	if !c.Try {
		host, port, _ := net.SplitHostPort(s.Addr(0))
		fmt.Printf("to read a key, with a new request id each time:\n  printf '%s\\r\\nquit\\r\\n' | nc %s %s\ninterrupt this program to stop\n", readRequest, host, port)
		<-ctx.Done()
		return nil
	}
	return tryRequests(s.Addr(0), sc, readRequest)
}

// printMemberViews prints the balancers' views of each other: one line per balancer, one column per member.
func printMemberViews(s *runner.Stage, n int) {
	time.Sleep(2 * time.Second) // the balancers learn of each other within this time
	for b := range n {
		v, ok := s.MembershipView(b)
		if !ok {
			fmt.Printf("%-4s: its admin API does not answer\n", fmt.Sprint("b", b+1))
			continue
		}
		fmt.Printf("%-4s %-8s sees %d of %d, digest %s:", v.Name, v.Situation, v.PresentCount, v.Expected, v.Digest)
		for _, m := range v.Members {
			fmt.Printf(" %s %s %.1f ms", m.Name, m.State, m.RoundTrip)
		}
		fmt.Println()
	}
}

// tryRequests sends some requests to a balancer and prints the requests and the answers.
func tryRequests(addr string, sc *scenario.Scenario, readRequest string) error {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(10 * time.Second))
	in := bufio.NewReader(conn)
	lines := []string{"mn", readRequest, strings.NewReplacer("line-1 ", "line-2 ", "try1", "try2").Replace(readRequest)}
	for _, p := range sc.Products {
		if p.Write {
			lines = append(lines, fmt.Sprintf("ms line-1 5 Otry%d Pc=%s,t=%s,d=2000,k=mark%d\r\nhello", len(lines), p.Name, sc.Tenants[0].Name, len(lines)))
		}
	}
	lines = append(lines, strings.Replace(readRequest, "try1", "try9", 1))
	for _, l := range lines {
		fmt.Println("> " + strings.ReplaceAll(l, "\r\n", "\n> "))
		fmt.Fprintf(conn, "%s\r\n", l)
		answer, err := in.ReadString('\n')
		if err != nil {
			return fmt.Errorf("no answer: %w", err)
		}
		fmt.Print("< " + answer)
		var n int
		if k, _ := fmt.Sscanf(answer, "VA %d", &n); k == 1 {
			value := make([]byte, n+2)
			if _, err := io.ReadFull(in, value); err != nil {
				return err
			}
			fmt.Printf("< %.60s... (%d bytes)\n", value, n)
		}
	}
	return nil
}

// suiteCommand runs several scenarios, by default all built-in ones.
type suiteCommand struct {
	runOptions
	Names  []string      `arg:"" optional:"" help:"The rehearsals to run; by default all built-in ones."`
	Budget time.Duration `default:"8m" help:"Total time; rehearsals that do not fit are not run, and their number is printed."`
	Lanes  int           `help:"How many rehearsals run at the same time; by default one per three cores."`
	JSON   bool          `help:"Print the reports as JSON."`
}

// coresPerLane is the number of cores that one scenario and its balancers use at most.
const coresPerLane = 3

func (c suiteCommand) Run() error {
	program, err := c.findBalancer()
	if err != nil {
		return err
	}
	names := c.Names
	if len(names) == 0 {
		names = scenario.Names()
	}
	var scenarios []*scenario.Scenario
	for _, n := range names {
		sc, err := c.openScenario(n)
		if err != nil {
			return err
		}
		scenarios = append(scenarios, sc)
	}
	ctx, stop := interruptContext()
	defer stop()
	reports, err := c.runAll(ctx, scenarios, program)
	if err != nil {
		return err
	}
	worst := report.Kept
	for _, r := range reports {
		if c.JSON {
			continue
		}
		fmt.Printf("%-20s rules %-7s service %.3f, worst 10 s %.3f, %d calls, p99 %v\n", r.Name, r.Outcome, r.Service.Whole, r.Service.Worst10s,
			r.Service.Calls, r.Latency.P99.Round(time.Millisecond))
		for _, rule := range r.Verdict.BrokenRules() {
			fmt.Printf("    broken: %s\n", rule)
		}
	}
	for _, r := range reports {
		if r.Outcome == report.Broken || worst == report.Kept {
			worst = r.Outcome
		}
	}
	if c.JSON {
		if err := printJSON(reports); err != nil {
			return err
		}
	}
	if n := len(scenarios) - len(reports); n > 0 {
		fmt.Fprintf(os.Stderr, "%d rehearsals were not run because they did not fit into %v\n", n, c.Budget)
		if worst == report.Kept {
			worst = report.Unsure
		}
	}
	return exitError(worst)
}

// runAll runs scenarios, several at a time. It skips those for which the budget leaves too little time. The reports are in
// the order of the scenarios.
func (c suiteCommand) runAll(ctx context.Context, scenarios []*scenario.Scenario, program string) (reports []*report.Report, err error) {
	lanes := c.Lanes
	if lanes <= 0 {
		lanes = max(1, runtime.GOMAXPROCS(0)/coresPerLane)
	}
	deadline := time.Now().Add(c.Budget)
	results := make([]*report.Report, len(scenarios))
	err = measure.RunParallel(len(scenarios), lanes, func(i int) (err error) {
		if !time.Now().Add(scenarios[i].Length.Duration()).After(deadline) {
			results[i], err = c.runOne(ctx, scenarios[i], program, nil)
		}
		return err
	})
	for _, r := range results {
		if r != nil {
			reports = append(reports, r)
		}
	}
	return reports, err
}

// measureCommand measures balancers and the load generator.
type measureCommand struct {
	What     string        `arg:"" optional:"" enum:",members,limits,sizes,evidence" default:"" help:"evidence: balancers that share their observations of hosts compared with ones that do not, in virtual time; sizes: the resources that a balancer needs with many hosts and balancers; members: how balancers detect each other, in virtual time and on sockets; limits: moving quota shares compared with equal ones, in virtual time; by default the latency and CPU time that a balancer adds to a request."`
	Virtual  []int         `default:"16,100,400" help:"With members, limits and evidence: fleet sizes in virtual time."`
	Sockets  []int         `default:"5,16,40" help:"With members: fleet sizes on sockets."`
	Seeds    int           `default:"200" help:"With members, limits and evidence: number of seeds in virtual time."`
	Times    int           `default:"10" help:"With members: how many process deaths and starts on sockets; a third as many network partitions."`
	Quiet    time.Duration `default:"2h" help:"With members: virtual running time of each fleet without faults."`
	Stalled  time.Duration `default:"2h" help:"With members: virtual running time of the fleet with 5% packet loss and stalls."`
	Balancer string        `help:"The balancer program; by default streamrail in the directory of this program." type:"path" placeholder:"FILE"`
	Rates    []float64     `default:"500,1000,2000,4000,8000,16000" help:"Rates to measure, in requests per second."`
	For      time.Duration `default:"4s" help:"How long each rate is kept up, with and without the balancer."`
	Repeats  int           `default:"3" help:"Number of repetitions; the printed values are medians."`
	Clients  []int         `help:"In place of rates: numbers of clients, each of which sends its next request as soon as it has an answer."`
	Hosts    []int         `default:"8" help:"With --clients: numbers of cache hosts, which answer immediately; with sizes: hosts in the list."`
	Fleet    []int         `default:"8,350,1024" help:"With sizes: balancers in the settings."`
	JSON     bool          `help:"Print the rows as JSON."`
}

func (c measureCommand) Run() error {
	program, err := (&runOptions{Balancer: c.Balancer}).findBalancer()
	if err != nil {
		return err
	}
	if c.For < time.Second || c.Repeats < 1 {
		return fmt.Errorf("--for, --repeats: %w: expected a second and one at least", scenario.ErrFaulty)
	}
	ctx, stop := interruptContext()
	defer stop()
	switch c.What {
	case "members":
		return c.measureMembers(ctx, program)
	case "limits":
		return measureBySize(c, measure.MeasureLimits)
	case "evidence":
		return measureBySize(c, measure.MeasureEvidence)
	case "sizes":
		return c.measureSizes(ctx, program)
	}
	if len(c.Clients) > 0 {
		return c.measureSaturation(ctx, program)
	}
	var printRow func(measure.RateRow)
	if !c.JSON {
		measure.PrintHead(os.Stdout)
		printRow = func(r measure.RateRow) { measure.PrintRow(os.Stdout, r) }
	}
	rows, err := measure.Rates(ctx, runner.Program(program), c.Rates, c.For, c.Repeats, printRow)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(rows)
	}
	fmt.Printf("driven at %v late or less at p99.9, %d cores: %.0f requests a second\n", measure.MaxLateness, runtime.NumCPU(), measure.MaxReachedRate(rows))
	return nil
}

// measureBySize measures fleets of each size in virtual time and prints the results.
func measureBySize[T interface{ Text(io.Writer) }](c measureCommand, measureSize func(balancers, seeds, parallel int) ([]T, error)) error {
	var all []T
	for _, n := range c.Virtual {
		rows, err := measureSize(n, c.Seeds, runtime.GOMAXPROCS(0))
		if err != nil {
			return err
		}
		for _, r := range rows {
			if !c.JSON {
				r.Text(os.Stdout)
			}
		}
		all = append(all, rows...)
	}
	if c.JSON {
		return printJSON(all)
	}
	return nil
}

// measureSizes measures the resources that one balancer needs with many hosts and balancers.
func (c measureCommand) measureSizes(ctx context.Context, program string) error {
	printSize := func(s measure.Size) { measure.PrintSize(os.Stdout, s) }
	if c.JSON {
		printSize = func(measure.Size) {}
	} else {
		measure.PrintSizesHead(os.Stdout)
	}
	rows, err := measure.MeasureSizes(ctx, runner.Program(program), c.Hosts, c.Fleet, printSize)
	if err == nil && c.JSON {
		err = printJSON(rows)
	}
	return err
}

// measureMembers measures how quickly and accurately balancers detect each other's starts and failures.
func (c measureCommand) measureMembers(ctx context.Context, program string) error {
	var all []measure.Members
	show := func(m measure.Members) {
		all = append(all, m)
		if !c.JSON {
			m.Text(os.Stdout)
		}
	}
	for _, n := range c.Virtual {
		show(measure.MeasureMembersSimulated(n, c.Seeds, runtime.GOMAXPROCS(0), c.Quiet, c.Stalled, os.Stderr))
	}
	for _, n := range c.Sockets {
		m, err := measure.MeasureMembersOnSockets(ctx, runner.Program(program), n, c.Times)
		if err != nil {
			return err
		}
		show(m)
	}
	if c.JSON {
		return printJSON(all)
	}
	return nil
}

// measureSaturation measures the highest throughput of a balancer.
func (c measureCommand) measureSaturation(ctx context.Context, program string) error {
	var rows []measure.ClosedLoop
	if !c.JSON {
		measure.PrintClosedLoopHead(os.Stdout)
	}
	for _, hosts := range c.Hosts {
		for _, clients := range c.Clients {
			for range c.Repeats {
				r, err := measure.RunClosedLoop(ctx, runner.Program(program), clients, hosts, c.For)
				if err != nil {
					return err
				}
				rows = append(rows, r)
				if !c.JSON {
					r.PrintRow(os.Stdout)
				}
			}
		}
	}
	if c.JSON {
		return printJSON(rows)
	}
	return nil
}

// compareCommand compares reports or balancer programs.
type compareCommand struct {
	runOptions
	A     string   `arg:"" help:"A report, a directory of reports, or a balancer program."`
	B     string   `arg:"" help:"Another one of the same kind."`
	Names []string `arg:"" optional:"" help:"With programs: the rehearsals to run with both; by default all."`
	Seeds []uint64 `help:"With programs: the seeds of each rehearsal." default:"1"`
}

func (c compareCommand) Run() error {
	a, errA := readReports(c.A)
	b, errB := readReports(c.B)
	if errA == nil && errB == nil {
		return report.Compare(os.Stdout, a, b)
	}
	if !isExecutable(c.A) || !isExecutable(c.B) {
		return errors.Join(errA, errB)
	}
	names := c.Names
	if len(names) == 0 {
		names = scenario.Names()
	}
	ctx, stop := interruptContext()
	defer stop()
	a, b = nil, nil
	for _, name := range names {
		for _, seed := range c.Seeds {
			c.Seed = seed
			// The programs run alternately, so that a drift of the machine's speed favours neither.
			for i, program := range []string{c.A, c.B} {
				sc, err := c.openScenario(name)
				if err != nil {
					return err
				}
				r, err := c.runOne(ctx, sc, program, nil)
				if err != nil {
					return err
				}
				if i == 0 {
					a = append(a, r)
				} else {
					b = append(b, r)
				}
			}
		}
	}
	return report.Compare(os.Stdout, a, b)
}

// isExecutable reports whether a path is an executable file.
func isExecutable(path string) bool {
	s, err := os.Stat(path)
	return err == nil && !s.IsDir() && s.Mode()&0o111 != 0
}

// readReports reads one report, or all reports below a directory.
func readReports(path string) (list []*report.Report, err error) {
	s, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if !s.IsDir() {
		if isExecutable(path) {
			return nil, fmt.Errorf("%s: a program", path)
		}
		r, err := report.Read(path)
		return []*report.Report{r}, err
	}
	err = filepath.WalkDir(path, func(p string, e os.DirEntry, err error) error {
		if err != nil || e.Name() != "report.json" {
			return err
		}
		r, err := report.Read(p)
		list = append(list, r)
		return err
	})
	if err == nil && len(list) == 0 {
		err = fmt.Errorf("%s: no report.json in it", path)
	}
	return list, err
}
