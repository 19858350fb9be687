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
		fmt.Printf("%-20s %s\n", k, scenario.KindAbout(k))
	}
	return nil
}

type checkCommand struct {
	Files []string `arg:"" help:"Scenario files, or names of built-in rehearsals."`
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

// play is what all commands that play a day share.
type play struct {
	Balancer  string        `help:"The balancer program; by default streamrail beside this one." type:"path" placeholder:"FILE"`
	Seed      uint64        `help:"Another seed than the file's."`
	Balancers int           `help:"Another number of balancers than the file's."`
	For       time.Duration `help:"Another length than the file's; faults that do not fit are left out."`
	Operator  string        `help:"The operator's own file for the balancers, in place of the rehearsal's; 'none' for none." placeholder:"FILE"`
	Out       string        `help:"A folder for the report and the balancers' logs." type:"path" placeholder:"DIR"`
}

// program finds the balancer.
func (p *play) program() (string, error) {
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

// open reads a rehearsal with what the command line changes.
func (p *play) open(name string) (*scenario.Day, error) {
	d, err := scenario.Open(name)
	if err != nil {
		return nil, err
	}
	if p.Seed != 0 {
		d.Seed = p.Seed
	}
	if p.Balancers != 0 {
		d.Fleet.Balancers = p.Balancers
	}
	switch p.Operator {
	case "":
	case "none":
		d.Operator = ""
	default:
		text, err := os.ReadFile(p.Operator)
		if err != nil {
			return nil, err
		}
		d.Operator = string(text)
	}
	if p.For != 0 {
		if p.For < time.Second {
			return nil, fmt.Errorf("--for: %w: expected a second at least, got %v", scenario.ErrFaulty, p.For)
		}
		d.Shorten(p.For)
	}
	return d, nil
}

// prepare finds the balancer and reads a rehearsal.
func (p *play) prepare(name string) (program string, d *scenario.Day, err error) {
	if program, err = p.program(); err == nil {
		d, err = p.open(name)
	}
	return program, d, err
}

// folder is where a rehearsal's files go, and what removes them where nobody asked for them.
func (p *play) folder(name string) (dir string, done func(), err error) {
	if p.Out != "" {
		dir = filepath.Join(p.Out, name)
		return dir, func() {}, os.MkdirAll(dir, 0o755)
	}
	dir, err = os.MkdirTemp("", "rehearse-")
	return dir, func() { os.RemoveAll(dir) }, err
}

// one plays a day and lays its report down.
func (p *play) one(ctx context.Context, d *scenario.Day, program string, watch func(*runner.Stage)) (*report.Report, error) {
	dir, done, err := p.folder(d.Name)
	if err != nil {
		return nil, err
	}
	defer done()
	res, err := runner.Run(ctx, d, runner.Program(program), dir, watch)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", d.Name, err)
	}
	r := report.Of(res)
	if p.Out == "" {
		return r, nil
	}
	if err := r.Write(filepath.Join(dir, "report.json")); err != nil {
		return nil, err
	}
	return r, r.HTML(filepath.Join(dir, "report.html"))
}

// signals ends with the first interrupt.
func signals() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}

type runCommand struct {
	play
	Name string `arg:"" help:"A built-in rehearsal or a scenario file."`
	JSON bool   `help:"Print the report as JSON."`
}

func (c runCommand) Run() error {
	program, d, err := c.prepare(c.Name)
	if err != nil {
		return err
	}
	ctx, stop := signals()
	defer stop()
	var watch func(*runner.Stage)
	if terminal(os.Stderr) {
		watch = progress
	}
	r, err := c.one(ctx, d, program, watch)
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
	return outcome(r.Outcome)
}

func printJSON(v any) error {
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", " ")
	return e.Encode(v)
}

func outcome(o report.Outcome) error {
	if code := o.Exit(); code != 0 {
		return exitCode(code)
	}
	return nil
}

func terminal(f *os.File) bool {
	s, err := f.Stat()
	return err == nil && s.Mode()&os.ModeCharDevice != 0
}

// progress shows on a terminal how a day goes.
func progress(s *runner.Stage) {
	for now := s.W.Now(); now < s.W.Day.Length.Duration(); now = s.W.Now() {
		t := s.Callers.Tally()
		fmt.Fprintf(os.Stderr, "\r%5.0fs of %.0fs  %d calls: %d fulfilled, %d rate-limited, %d errored, %d lost ", now.Seconds(),
			s.W.Day.Length.Duration().Seconds(), t.Due, t.Fulfilled, t.RateLimited, t.Errored, t.Lost)
		time.Sleep(time.Second / 2)
	}
	fmt.Fprintln(os.Stderr)
}

type upCommand struct {
	play
	Name string `arg:"" optional:"" default:"calm" help:"A built-in rehearsal or a scenario file."`
	Try  bool   `help:"Read and write some keys through a balancer, print what comes back and end."`
}

func (c upCommand) Run() error {
	program, d, err := c.prepare(c.Name)
	if err != nil {
		return err
	}
	dir, done, err := c.folder(d.Name)
	if err != nil {
		return err
	}
	defer done()
	ctx, stop := signals()
	defer stop()
	s, err := runner.Up(ctx, d, runner.Program(program), dir)
	if err != nil {
		return err
	}
	defer s.End()
	s.W.Begin()
	s.W.Open() // what is tried by hand was planned by nobody
	for b := range d.Fleet.Balancers {
		fmt.Printf("balancer %d serves at %s\n", b+1, s.Addr(b))
	}
	if d.Mates.On {
		mateTable(s, d.Fleet.Balancers)
	}
	read := fmt.Sprintf("mg line-1 v Otry1 Pc=%s,t=%s,d=1000", d.Products[0].Name, d.Tenants[0].Name)
	if !c.Try {
		host, port, _ := net.SplitHostPort(s.Addr(0))
		fmt.Printf("to read a key, with an id that is new each time:\n  printf '%s\\r\\nquit\\r\\n' | nc %s %s\nan interrupt ends it\n", read, host, port)
		<-ctx.Done()
		return nil
	}
	return try(s.Addr(0), d, read)
}

// mateTable prints what the balancers see of each other: a line a view, a column a member.
func mateTable(s *runner.Stage, n int) {
	time.Sleep(2 * time.Second) // they find each other within that
	for b := range n {
		v, ok := s.View(b)
		if !ok {
			fmt.Printf("%-4s does not answer at its door\n", fmt.Sprint("b", b+1))
			continue
		}
		fmt.Printf("%-4s %-8s sees %d of %d, digest %s:", v.Name, v.Situation, v.Seen, v.Expected, v.Digest)
		for _, m := range v.Members {
			fmt.Printf(" %s %s %.1f ms", m.Name, m.State, m.RoundTrip)
		}
		fmt.Println()
	}
}

// try makes some calls by hand and prints both sides.
func try(addr string, d *scenario.Day, read string) error {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(10 * time.Second))
	in := bufio.NewReader(conn)
	lines := []string{"mn", read, strings.NewReplacer("line-1 ", "line-2 ", "try1", "try2").Replace(read)}
	for _, p := range d.Products {
		if p.Write {
			lines = append(lines, fmt.Sprintf("ms line-1 5 Otry%d Pc=%s,t=%s,d=2000,k=mark%d\r\nhello", len(lines), p.Name, d.Tenants[0].Name, len(lines)))
		}
	}
	lines = append(lines, strings.Replace(read, "try1", "try9", 1))
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

type suiteCommand struct {
	play
	Names  []string      `arg:"" optional:"" help:"These rehearsals only."`
	Budget time.Duration `default:"8m" help:"How long all may take together; what does not fit is not played, and said."`
	Lanes  int           `help:"How many are played at a time; by default one for each three cores."`
	JSON   bool          `help:"Print the reports as JSON."`
}

// laneCores is what one rehearsal with its balancers keeps busy at the most.
const laneCores = 3

func (c suiteCommand) Run() error {
	program, err := c.program()
	if err != nil {
		return err
	}
	names := c.Names
	if len(names) == 0 {
		names = scenario.Names()
	}
	var days []*scenario.Day
	for _, n := range names {
		d, err := c.open(n)
		if err != nil {
			return err
		}
		days = append(days, d)
	}
	ctx, stop := signals()
	defer stop()
	reports, err := c.all(ctx, days, program)
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
	if n := len(days) - len(reports); n > 0 {
		fmt.Fprintf(os.Stderr, "%d rehearsals did not fit into %v\n", n, c.Budget)
		if worst == report.Kept {
			worst = report.Unsure
		}
	}
	return outcome(worst)
}

// all plays days on lanes; what the budget leaves no time for is left out. The reports come in the days' order.
func (c suiteCommand) all(ctx context.Context, days []*scenario.Day, program string) (reports []*report.Report, err error) {
	lanes := c.Lanes
	if lanes <= 0 {
		lanes = max(1, runtime.GOMAXPROCS(0)/laneCores)
	}
	end := time.Now().Add(c.Budget)
	played := make([]*report.Report, len(days))
	err = measure.SideBySide(len(days), lanes, func(i int) (err error) {
		if !time.Now().Add(days[i].Length.Duration()).After(end) {
			played[i], err = c.one(ctx, days[i], program, nil)
		}
		return err
	})
	for _, r := range played {
		if r != nil {
			reports = append(reports, r)
		}
	}
	return reports, err
}

type measureCommand struct {
	What     string        `arg:"" optional:"" enum:",members,limits,sizes,evidence" default:"" help:"evidence: balancers that tell each other of nodes beside the same ones alone, in virtual time; sizes: what a balancer takes with many hosts and balancers; members: how balancers see each other, in virtual time and on sockets; limits: parts that move beside equal ones, in virtual time; else what a balancer adds to a call."`
	Virtual  []int         `default:"16,100,400" help:"With members: sizes in virtual time."`
	Sockets  []int         `default:"5,16,40" help:"With members: sizes on sockets."`
	Seeds    int           `default:"200" help:"With members: seeds in virtual time."`
	Times    int           `default:"10" help:"With members: how many deaths and starts on sockets; a third as many cuts."`
	Quiet    time.Duration `default:"2h" help:"With members: how long each quiet fleet is played in virtual time."`
	Stalled  time.Duration `default:"2h" help:"With members: how long the fleet with 5% loss and stalls is played in virtual time."`
	Balancer string        `help:"The balancer program; by default streamrail beside this one." type:"path" placeholder:"FILE"`
	Rates    []float64     `default:"500,1000,2000,4000,8000,16000" help:"requests a second."`
	For      time.Duration `default:"4s" help:"How long each rate is kept up, each way."`
	Repeats  int           `default:"3" help:"How often; the figures are medians."`
	Clients  []int         `help:"In place of rates: so many clients, each of which sends its next call as soon as it has its answer."`
	Hosts    []int         `default:"8" help:"With --clients: so many cache hosts, which answer at once; with sizes: hosts in the list."`
	Fleet    []int         `default:"8,350,1024" help:"With sizes: balancers in the settings."`
	JSON     bool          `help:"Print the rows as JSON."`
}

func (c measureCommand) Run() error {
	program, err := (&play{Balancer: c.Balancer}).program()
	if err != nil {
		return err
	}
	if c.For < time.Second || c.Repeats < 1 {
		return fmt.Errorf("--for, --repeats: %w: expected a second and one at least", scenario.ErrFaulty)
	}
	ctx, stop := signals()
	defer stop()
	switch c.What {
	case "members":
		return c.members(ctx, program)
	case "limits":
		return bySize(c, measure.LimitsOf)
	case "evidence":
		return bySize(c, measure.EvidenceOf)
	case "sizes":
		return c.sizes(ctx, program)
	}
	if len(c.Clients) > 0 {
		return c.closed(ctx, program)
	}
	var tell func(measure.Row)
	if !c.JSON {
		measure.Head(os.Stdout)
		tell = func(r measure.Row) { measure.Line(os.Stdout, r) }
	}
	rows, err := measure.Rates(ctx, runner.Program(program), c.Rates, c.For, c.Repeats, tell)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(rows)
	}
	fmt.Printf("driven at %v late or less at p99.9, %d cores: %.0f requests a second\n", measure.LateMost, runtime.NumCPU(), measure.Driven(rows))
	return nil
}

// bySize measures fleets of each size in virtual time and prints the figures.
func bySize[T interface{ Text(io.Writer) }](c measureCommand, of func(mates, seeds, lanes int) ([]T, error)) error {
	var all []T
	for _, n := range c.Virtual {
		rows, err := of(n, c.Seeds, runtime.GOMAXPROCS(0))
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

// sizes measures what one balancer takes.
func (c measureCommand) sizes(ctx context.Context, program string) error {
	tell := func(s measure.Size) { measure.SizesLine(os.Stdout, s) }
	if c.JSON {
		tell = func(measure.Size) {}
	} else {
		measure.SizesHead(os.Stdout)
	}
	rows, err := measure.SizesOf(ctx, runner.Program(program), c.Hosts, c.Fleet, tell)
	if err == nil && c.JSON {
		err = printJSON(rows)
	}
	return err
}

// members measures how balancers see each other.
func (c measureCommand) members(ctx context.Context, program string) error {
	var all []measure.Members
	show := func(m measure.Members) {
		all = append(all, m)
		if !c.JSON {
			m.Text(os.Stdout)
		}
	}
	for _, n := range c.Virtual {
		show(measure.Virtual(n, c.Seeds, runtime.GOMAXPROCS(0), c.Quiet, c.Stalled, os.Stderr))
	}
	for _, n := range c.Sockets {
		m, err := measure.OnSockets(ctx, runner.Program(program), n, c.Times)
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

// closed measures how much a balancer does at the most.
func (c measureCommand) closed(ctx context.Context, program string) error {
	var rows []measure.Closed
	if !c.JSON {
		measure.ClosedHead(os.Stdout)
	}
	for _, hosts := range c.Hosts {
		for _, clients := range c.Clients {
			for range c.Repeats {
				r, err := measure.Saturate(ctx, runner.Program(program), clients, hosts, c.For)
				if err != nil {
					return err
				}
				rows = append(rows, r)
				if !c.JSON {
					r.Line(os.Stdout)
				}
			}
		}
	}
	if c.JSON {
		return printJSON(rows)
	}
	return nil
}

type compareCommand struct {
	play
	A     string   `arg:"" help:"A report, a folder of reports, or a balancer program."`
	B     string   `arg:"" help:"Another one of the same sort."`
	Names []string `arg:"" optional:"" help:"With programs: the rehearsals to play on both; by default all."`
	Seeds []uint64 `help:"With programs: the seeds of each rehearsal." default:"1"`
}

func (c compareCommand) Run() error {
	a, errA := reports(c.A)
	b, errB := reports(c.B)
	if errA == nil && errB == nil {
		return report.Compare(os.Stdout, a, b)
	}
	if !runnable(c.A) || !runnable(c.B) {
		return errors.Join(errA, errB)
	}
	names := c.Names
	if len(names) == 0 {
		names = scenario.Names()
	}
	ctx, stop := signals()
	defer stop()
	a, b = nil, nil
	for _, name := range names {
		for _, seed := range c.Seeds {
			c.Seed = seed
			// In turn, so that a machine whose speed drifts favours neither.
			for i, program := range []string{c.A, c.B} {
				d, err := c.open(name)
				if err != nil {
					return err
				}
				r, err := c.one(ctx, d, program, nil)
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

func runnable(path string) bool {
	s, err := os.Stat(path)
	return err == nil && !s.IsDir() && s.Mode()&0o111 != 0
}

// reports reads one report, or all below a folder.
func reports(path string) (list []*report.Report, err error) {
	s, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if !s.IsDir() {
		if runnable(path) {
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
