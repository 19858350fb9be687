// Package runner plays a rehearsal: it brings up the stand-ins, starts balancer processes, plays load and faults, ends
// everything and has the record judged.
package runner

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"streamrail/internal/operator"
	"streamrail/internal/rehearsal/faults"
	"streamrail/internal/rehearsal/judge"
	"streamrail/internal/rehearsal/load"
	"streamrail/internal/rehearsal/model"
	"streamrail/internal/rehearsal/record"
	"streamrail/internal/rehearsal/scenario"
	"streamrail/internal/rehearsal/standin"
)

// Stage is a rehearsal that is up: the fleet, the register and the balancers.
type Stage struct {
	W       *standin.World
	Rec     *record.Record
	Callers *load.Callers
	launch  Launch
	dir     string
	ctx     context.Context
	cancel  context.CancelFunc
	looks   sync.WaitGroup
	mates   mates

	mu      sync.Mutex
	running []*life
	over    bool
	err     error
}

// life is one balancer's place, with the process that fills it now.
type life struct {
	instance Instance
	addr     string
	door     string // for operators; empty: the day needs none
	temp     string
	config   string
	starts   uint64
	at       *record.Life // of the instance
}

// readyWait bounds how long a balancer may take until it serves.
const readyWait = 10 * time.Second

// Up brings a day's world up, until all balancers serve.
func Up(ctx context.Context, day *scenario.Day, launch Launch, dir string) (*Stage, error) {
	return up(ctx, day, launch, dir, (*Stage).fleet)
}

// UpEcho brings a world up whose nodes answer all reads at once.
func UpEcho(ctx context.Context, day *scenario.Day, launch Launch, dir string) (*Stage, error) {
	return up(ctx, day, launch, dir, func(s *Stage) error {
		ids, groups := day.NodeIDs()
		for _, id := range ids {
			if _, err := s.W.AddEcho(id, groups[id]); err != nil {
				return err
			}
		}
		return nil
	})
}

func up(ctx context.Context, day *scenario.Day, launch Launch, dir string, fleet func(*Stage) error) (*Stage, error) {
	if err := room().lacks(Needs(day), day); err != nil {
		return nil, err
	}
	rec := record.New()
	s := &Stage{W: standin.NewWorld(day, rec), Rec: rec, launch: launch, dir: dir}
	s.ctx, s.cancel = context.WithCancel(ctx)
	if err := s.world(fleet); err != nil {
		s.cancel()
		return nil, err
	}
	if err := s.join(); err != nil {
		s.cancel()
		return nil, err
	}
	for b := range day.Fleet.Balancers {
		s.running = append(s.running, &life{})
		if err := s.start(b); err != nil {
			s.End()
			return nil, err
		}
	}
	for b := range day.Fleet.Balancers {
		if !s.ready(b) {
			s.End()
			return nil, fmt.Errorf("balancer %d does not serve; its log is %s", b+1, s.log(b))
		}
	}
	return s, nil
}

func (s *Stage) world(fleet func(*Stage) error) error {
	d := s.W.Day
	if err := s.W.AddRegister(); err != nil {
		return err
	}
	if err := s.W.AddGateway(); err != nil {
		return err
	}
	if err := fleet(s); err != nil {
		return err
	}
	if d.Fleet.Mode == scenario.Aside {
		s.W.Register.Set(model.Entry{Node: record.Gateway, Zone: d.Fleet.Zones[0], Kind: "origin", Condition: model.Active, Weight: 1})
	}
	var err error
	s.Callers, err = load.New(s.W)
	return err
}

// fleet makes the day's nodes.
func (s *Stage) fleet() error {
	d := s.W.Day
	ids, groups := d.NodeIDs()
	for _, id := range ids {
		n, err := s.W.AddNode(id, groups[id], false, nil)
		if err != nil {
			return err
		}
		// Warm nodes keep the popular keys wherever balancers look: who holds what is the balancers' affair.
		for k := range int(d.Load.Warm * float64(d.Load.Keys)) {
			n.Keep(model.KeyName(k))
		}
		s.W.Register.Set(n.Entry(model.Active))
	}
	return nil
}

// Usage is what a balancer takes of the machine at present.
func (s *Stage) Usage(b int) Usage {
	s.mu.Lock()
	in := s.running[b].instance
	s.mu.Unlock()
	return in.Usage()
}

func (s *Stage) log(b int) string { return filepath.Join(s.dir, fmt.Sprintf("balancer-%d.log", b+1)) }

// Addr is where a balancer serves.
func (s *Stage) Addr(b int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running[b].addr
}

// start launches a balancer at its place, under the same address as before.
func (s *Stage) start(b int) (err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.over {
		return nil
	}
	l := s.running[b]
	if l.addr == "" {
		if l.addr, err = s.W.FreeAddr(); err != nil {
			return err
		}
		l.config = filepath.Join(s.dir, fmt.Sprintf("balancer-%d.json", b+1))
	}
	os.RemoveAll(l.temp)
	// Not in the day's own folder, whose path may be too long for a Unix socket's.
	if l.temp, err = os.MkdirTemp("", "b"); err != nil {
		return err
	}
	return s.launchAt(b)
}

// launchAt starts a process for a balancer, with its temporary folder as it is. Under s.mu.
func (s *Stage) launchAt(b int) (err error) {
	l := s.running[b]
	if s.W.Day.Door() {
		if l.door, err = s.W.FreeAddr(); err != nil {
			return err
		}
	}
	s.W.Register.Restarted(b)
	l.starts++
	if err = s.operator(l.config, b); err != nil {
		return err
	}
	if err = writeConfig(l.config, s.W, b, s.name(b), l.addr, l.door, model.Stream(s.W.Day.Seed, fmt.Sprint("balancer ", b, l.starts)).Uint64()); err != nil {
		return err
	}
	if l.instance, err = s.launch(s.ctx, b, Place{l.config, s.log(b), l.temp}); err != nil {
		return err
	}
	l.at = &record.Life{Balancer: b, Start: s.W.Now()}
	s.looks.Add(1)
	go s.look(b, l.at, l.instance)
	return nil
}

// lookEvery is how often a balancer's use of the machine is looked at.
const lookEvery = 250 * time.Millisecond

// look follows one process to its end and notes its life.
func (s *Stage) look(b int, of *record.Life, in Instance) {
	defer s.looks.Done()
	t := time.NewTicker(lookEvery)
	defer t.Stop()
	var peak Usage
	for {
		u := in.Usage()
		peak.MB, peak.Sockets, peak.CPU = max(peak.MB, u.MB), max(peak.Sockets, u.Sockets), max(peak.CPU, u.CPU)
		select {
		case <-t.C:
			continue
		case <-in.Done():
		}
		break
	}
	s.mu.Lock()
	at := *of
	s.mu.Unlock()
	at.End, at.Exit = s.W.Now(), in.Exit()
	at.PeakMB, at.Sockets, at.CPU = peak.MB, peak.Sockets, max(peak.CPU, in.Usage().CPU)
	s.Rec.Add(func() { s.Rec.Lives = append(s.Rec.Lives, at) })
	s.mu.Lock()
	succeeded := s.running[b].instance != in // another process has its place already
	s.mu.Unlock()
	if !succeeded {
		s.Callers.Down(b)
	}
}

// ready waits until a balancer answers, and lets the front deal to it.
func (s *Stage) ready(b int) bool {
	s.mu.Lock()
	l := s.running[b]
	in, addr := l.instance, l.addr
	s.mu.Unlock()
	for began := time.Now(); time.Since(began) < readyWait; time.Sleep(5 * time.Millisecond) {
		select {
		case <-in.Done():
			return false
		default:
		}
		if alive(addr) {
			s.mu.Lock()
			l.at.Ready = max(1, s.W.Now())
			s.mu.Unlock()
			s.Callers.Up(b, addr)
			return true
		}
	}
	return false
}

func alive(addr string) bool {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return false
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(time.Second))
	io.WriteString(c, "mn\r\n")
	line, _ := bufio.NewReader(c).ReadString('\n')
	return line == "MN\r\n"
}

// order notes that a balancer's end is wanted, and returns it.
func (s *Stage) order(b int) Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running[b].at.Ordered = true
	return s.running[b].instance
}

// Kill ends a balancer at once and starts it again after a while.
func (s *Stage) Kill(b int, back time.Duration) {
	in := s.order(b)
	s.Callers.Down(b)
	in.Kill()
	s.again(b, in, back)
}

// Restart ends a balancer in order and starts it again.
func (s *Stage) Restart(b int) {
	in := s.order(b)
	s.Callers.Leaves(b)
	in.Term()
	s.again(b, in, 0)
}

// Reload moves a balancer's register and tells it so.
func (s *Stage) Reload(b int) error {
	if err := s.W.Register.Move(b); err != nil {
		return err
	}
	s.mu.Lock()
	l := s.running[b]
	s.mu.Unlock()
	if err := writeConfig(l.config, s.W, b, s.name(b), l.addr, l.door, model.Stream(s.W.Day.Seed, fmt.Sprint("balancer ", b, l.starts)).Uint64()); err != nil {
		return err
	}
	l.instance.Hup()
	return nil
}

// Stray plays one connection of a crowd.
func (s *Stage) Stray(i int) { s.Callers.Stray(i) }

// Rude plays a rude client.
func (s *Stage) Rude(i int) { s.Callers.Rude(i) }

func (s *Stage) again(b int, in Instance, wait time.Duration) {
	s.looks.Add(1)
	go func() {
		defer s.looks.Done()
		<-in.Done()
		select {
		case <-time.After(wait):
		case <-s.ctx.Done():
			return
		}
		s.mu.Lock()
		another := s.running[b].instance != in // that another fault has started by then
		s.mu.Unlock()
		if another {
			return
		}
		if err := s.start(b); err != nil {
			s.mu.Lock()
			s.err = err
			s.mu.Unlock()
			return
		}
		s.ready(b)
	}()
}

// settleWait is given to attempts that still run when the last call is over.
const settleWait = 300 * time.Millisecond

// Play plays the day on the stage, from now on.
func (s *Stage) Play(ctx context.Context) error {
	s.W.Begin()
	stop := ctx.Done()
	beat := make(chan struct{})
	var sides sync.WaitGroup
	sides.Add(3)
	go func() { defer sides.Done(); s.watchMates(beat) }()
	var fault error
	go func() { defer sides.Done(); fault = faults.New(s.W, s).Play(stop) }()
	go func() { defer sides.Done(); s.pulse(beat) }()
	s.Callers.Play(stop)
	s.Callers.Rest()
	close(beat)
	sides.Wait()
	time.Sleep(settleWait)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return s.err
	}
	return fault
}

// pulseEvery is how often the kit looks whether it gets the processor in time.
const pulseEvery = 5 * time.Millisecond

// pulse measures the kit's own lateness, also where nothing else is due.
func (s *Stage) pulse(stop <-chan struct{}) {
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		due := s.W.Now() + pulseEvery
		t.Reset(pulseEvery)
		select {
		case <-t.C:
			s.W.Late(due, s.W.Now())
		case <-stop:
			return
		}
	}
}

// End ends the balancers and the stand-ins; the record is whole then.
func (s *Stage) End() {
	s.mu.Lock()
	s.over = true
	for _, l := range s.running {
		if l.at != nil {
			l.at.Ordered = true
		}
	}
	s.mu.Unlock()
	s.cancel()
	s.looks.Wait()
	for _, l := range s.running {
		os.RemoveAll(l.temp)
	}
	for _, n := range s.W.Nodes() {
		n.Stop()
	}
	if s.mates.ways != nil {
		s.mates.ways.Close()
	}
	if s.W.Gateway != nil {
		s.W.Gateway.Strain()
	}
	time.Sleep(20 * time.Millisecond) // for the last attempts' ends to be noted
}

// Straight makes the callers speak to a node in place of the balancers.
func (s *Stage) Straight(node string) { s.Callers.Up(0, s.W.Node(node).Addr(0)) }

// Terms are what the judge holds the day to.
func Terms(d *scenario.Day) judge.Terms {
	var mates judge.Mates
	if m := d.Mates; m.On {
		mates = judge.Mates{Count: d.Fleet.Balancers, Period: m.Period.Duration(), Suspect: m.Suspect.Duration(), Budget: m.Budget, Loss: m.Loss, Lease: m.Lease.Duration()}
	}
	own, err := operator.Parse("operator", []byte(d.Operator))
	if err != nil {
		own = &operator.File{} // the balancers say what is wrong with it
	}
	t := judge.Terms{Mates: mates, Openings: own.Connections.Openings, Attempts: d.Fleet.Attempts, DrainGrace: d.Rules.DrainGrace.Duration(), Slack: d.Rules.Slack.Duration(), Prompt: d.Rules.Prompt.Duration(),
		ColdBlame: d.Rules.ColdBlame, FallFor: d.Rules.FallFor.Duration(), Connect: connectTimeout}
	kinds := map[string]judge.Effect{scenario.Idempotent: judge.Idempotent, scenario.Deduplicated: judge.Deduplicated,
		scenario.NonIdempotent: judge.NonIdempotent}
	for _, p := range d.Products {
		t.Products = append(t.Products, judge.Product{Name: p.Name, Effect: kinds[p.Effect], Window: p.Window.Duration(), Write: p.Write})
	}
	return t
}

// Result is a rehearsal that was played.
type Result struct {
	Day     *scenario.Day
	Record  *record.Record
	Verdict *judge.Verdict
	Latency load.Percentiles
	Late    load.Percentiles
	Took    time.Duration
}

// Run plays a day from its begin to the verdict.
func Run(ctx context.Context, day *scenario.Day, launch Launch, dir string, watch func(*Stage)) (*Result, error) {
	began := time.Now()
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	s, err := Up(ctx, day, launch, dir)
	if err != nil {
		return nil, err
	}
	if watch != nil {
		go watch(s)
	}
	err = s.Play(ctx)
	s.End()
	if err != nil {
		return nil, err
	}
	r := &Result{Day: day, Record: s.Rec, Latency: s.Callers.Latency(), Late: s.Callers.Lateness(), Took: time.Since(began)}
	settleMates(s.Rec)
	r.Verdict = judge.Judge(s.Rec, Terms(day))
	return r, nil
}
