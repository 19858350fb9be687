// Package runner runs a rehearsal: it starts the stand-ins and the balancer processes, generates load and injects faults,
// stops everything and passes the record to the judge.
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

// Stage is a rehearsal that has been started: cache hosts, origin, discovery stand-in, clients and balancers.
type Stage struct {
	Environment *standin.Environment
	Record      *record.Record
	Clients     *load.Clients
	launch      Launch
	dir         string
	ctx         context.Context
	cancel      context.CancelFunc
	background  sync.WaitGroup
	membership  membership

	mu    sync.Mutex
	slots []*balancerSlot
	ended bool
	err   error
}

// balancerSlot holds what belongs to one balancer of the fleet across restarts, and its current process.
type balancerSlot struct {
	instance   Instance
	addr       string
	adminAddr  string // of the admin API; empty if the scenario does not need it
	tempDir    string
	configFile string
	starts     uint64
	run        *record.ProcessRun // record of the current process
}

// readyTimeout limits how long a balancer may take to start serving.
const readyTimeout = 10 * time.Second

// Start starts the stand-ins and the balancers of a scenario and waits until all balancers serve.
func Start(ctx context.Context, sc *scenario.Scenario, launch Launch, dir string) (*Stage, error) {
	return startStage(ctx, sc, launch, dir, (*Stage).addHosts)
}

// StartWithEchoHosts does the same as Start, but with cache hosts that answer all reads immediately.
func StartWithEchoHosts(ctx context.Context, sc *scenario.Scenario, launch Launch, dir string) (*Stage, error) {
	return startStage(ctx, sc, launch, dir, func(s *Stage) error {
		ids, groups := sc.HostIDs()
		for _, id := range ids {
			if _, err := s.Environment.AddEcho(id, groups[id]); err != nil {
				return err
			}
		}
		return nil
	})
}

// startStage starts a rehearsal with the cache hosts that addHosts adds.
func startStage(ctx context.Context, sc *scenario.Scenario, launch Launch, dir string, addHosts func(*Stage) error) (*Stage, error) {
	if err := availableResources().check(RequiredResources(sc), sc); err != nil {
		return nil, err
	}
	rec := record.New()
	s := &Stage{Environment: standin.NewEnvironment(sc, rec), Record: rec, launch: launch, dir: dir}
	s.ctx, s.cancel = context.WithCancel(ctx)
	if err := s.setUp(addHosts); err != nil {
		s.cancel()
		return nil, err
	}
	if err := s.openLinks(); err != nil {
		s.cancel()
		return nil, err
	}
	for b := range sc.Fleet.Balancers {
		s.slots = append(s.slots, &balancerSlot{})
		if err := s.start(b); err != nil {
			s.End()
			return nil, err
		}
	}
	for b := range sc.Fleet.Balancers {
		if !s.ready(b) {
			s.End()
			return nil, fmt.Errorf("balancer %d does not serve; its log is %s", b+1, s.log(b))
		}
	}
	return s, nil
}

// setUp starts the stand-ins and plans the clients' requests.
func (s *Stage) setUp(addHosts func(*Stage) error) error {
	sc := s.Environment.Scenario
	if err := s.Environment.AddDiscovery(); err != nil {
		return err
	}
	if err := s.Environment.AddOrigin(); err != nil {
		return err
	}
	if err := addHosts(s); err != nil {
		return err
	}
	if sc.Fleet.Mode == scenario.ModeAside {
		s.Environment.Discovery.Update(model.Entry{Host: record.Origin, Zone: sc.Fleet.Zones[0], MachineType: "origin", Lifecycle: model.Active, Weight: 1})
	}
	var err error
	s.Clients, err = load.New(s.Environment)
	return err
}

// addHosts starts the scenario's cache hosts.
func (s *Stage) addHosts() error {
	sc := s.Environment.Scenario
	ids, groups := sc.HostIDs()
	for _, id := range ids {
		n, err := s.Environment.AddHost(id, groups[id], false, nil)
		if err != nil {
			return err
		}
		// Every warm host holds all popular keys, because the balancers decide which host serves which key.
		for k := range int(sc.Load.WarmRatio * float64(sc.Load.Keys)) {
			n.Preload(model.KeyName(k))
		}
		s.Environment.Discovery.Update(n.Entry(model.Active))
	}
	return nil
}

// Usage returns what a balancer currently uses of the machine.
func (s *Stage) Usage(b int) Usage {
	s.mu.Lock()
	inst := s.slots[b].instance
	s.mu.Unlock()
	return inst.Usage()
}

func (s *Stage) log(b int) string { return filepath.Join(s.dir, fmt.Sprintf("balancer-%d.log", b+1)) }

// Addr returns the address on which a balancer serves clients.
func (s *Stage) Addr(b int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.slots[b].addr
}

// start launches the process of a balancer; a restarted one has the same address as before.
func (s *Stage) start(b int) (err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return nil
	}
	slot := s.slots[b]
	if slot.addr == "" {
		if slot.addr, err = s.Environment.FreeAddr(); err != nil {
			return err
		}
		slot.configFile = filepath.Join(s.dir, fmt.Sprintf("balancer-%d.json", b+1))
	}
	os.RemoveAll(slot.tempDir)
	// The directory is in the system's temporary directory because the path of s.dir may be too long for a Unix socket.
	if slot.tempDir, err = os.MkdirTemp("", "b"); err != nil {
		return err
	}
	return s.launchAt(b)
}

// launchAt starts a process for a balancer and keeps its temporary directory, which an upgrade needs. The caller holds s.mu.
func (s *Stage) launchAt(b int) (err error) {
	slot := s.slots[b]
	if s.Environment.Scenario.NeedsAdminAPI() {
		if slot.adminAddr, err = s.Environment.FreeAddr(); err != nil {
			return err
		}
	}
	s.Environment.Discovery.BalancerRestarted(b)
	slot.starts++
	if err = s.writeOperatorFile(slot.configFile, b); err != nil {
		return err
	}
	if err = writeConfig(slot.configFile, s.Environment, b, s.nameOf(b), slot.addr, slot.adminAddr, model.NewRand(s.Environment.Scenario.Seed, fmt.Sprint("balancer ", b, slot.starts)).Uint64()); err != nil {
		return err
	}
	if slot.instance, err = s.launch(s.ctx, b, Files{slot.configFile, s.log(b), slot.tempDir}); err != nil {
		return err
	}
	slot.run = &record.ProcessRun{Balancer: b, Start: s.Environment.Now()}
	s.background.Add(1)
	go s.monitor(b, slot.run, slot.instance)
	return nil
}

// monitorInterval is how often the resource usage of a balancer is read.
const monitorInterval = 250 * time.Millisecond

// monitor reads the resource usage of one process until it ends and then records its run.
func (s *Stage) monitor(b int, run *record.ProcessRun, inst Instance) {
	defer s.background.Done()
	t := time.NewTicker(monitorInterval)
	defer t.Stop()
	var peak Usage
	for {
		u := inst.Usage()
		peak.MB, peak.Sockets, peak.CPU = max(peak.MB, u.MB), max(peak.Sockets, u.Sockets), max(peak.CPU, u.CPU)
		select {
		case <-t.C:
			continue
		case <-inst.Done():
		}
		break
	}
	s.mu.Lock()
	ended := *run
	s.mu.Unlock()
	ended.End, ended.Exit = s.Environment.Now(), inst.ExitCode()
	ended.PeakMB, ended.Sockets, ended.CPU = peak.MB, peak.Sockets, max(peak.CPU, inst.Usage().CPU)
	s.Record.Add(func() { s.Record.ProcessRuns = append(s.Record.ProcessRuns, ended) })
	s.mu.Lock()
	replaced := s.slots[b].instance != inst // another process of this balancer has been started already
	s.mu.Unlock()
	if !replaced {
		s.Clients.BalancerDown(b)
	}
}

// ready waits until a balancer answers and then directs clients to it.
func (s *Stage) ready(b int) bool {
	s.mu.Lock()
	slot := s.slots[b]
	inst, addr := slot.instance, slot.addr
	s.mu.Unlock()
	for began := time.Now(); time.Since(began) < readyTimeout; time.Sleep(5 * time.Millisecond) {
		select {
		case <-inst.Done():
			return false
		default:
		}
		if alive(addr) {
			s.mu.Lock()
			slot.run.Ready = max(1, s.Environment.Now())
			s.mu.Unlock()
			s.Clients.BalancerUp(b, addr)
			return true
		}
	}
	return false
}

// alive reports whether the balancer at addr answers a memcache no-op.
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

// expectExit records that the end of a balancer's process is intended, and returns the process.
func (s *Stage) expectExit(b int) Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slots[b].run.Ordered = true
	return s.slots[b].instance
}

// Kill kills a balancer and starts it again after restartDelay.
func (s *Stage) Kill(b int, restartDelay time.Duration) {
	inst := s.expectExit(b)
	s.Clients.BalancerDown(b)
	inst.Kill()
	s.restartAfterExit(b, inst, restartDelay)
}

// Restart shuts a balancer down gracefully and starts it again.
func (s *Stage) Restart(b int) {
	inst := s.expectExit(b)
	s.Clients.BalancerDraining(b)
	inst.Shutdown()
	s.restartAfterExit(b, inst, 0)
}

// Reload moves a balancer's discovery stand-in to another address and makes the balancer reload its configuration.
func (s *Stage) Reload(b int) error {
	if err := s.Environment.Discovery.ChangeAddress(b); err != nil {
		return err
	}
	s.mu.Lock()
	slot := s.slots[b]
	s.mu.Unlock()
	if err := writeConfig(slot.configFile, s.Environment, b, s.nameOf(b), slot.addr, slot.adminAddr, model.NewRand(s.Environment.Scenario.Seed, fmt.Sprint("balancer ", b, slot.starts)).Uint64()); err != nil {
		return err
	}
	slot.instance.Reload()
	return nil
}

// CrowdConnection runs the i-th of many connections that are opened within a short time and of which most never finish a
// request.
func (s *Stage) CrowdConnection(i int) { s.Clients.CrowdConnection(i) }

// MalformedClient runs one client that sends malformed input or nothing.
func (s *Stage) MalformedClient(i int) { s.Clients.MalformedClient(i) }

// restartAfterExit waits until a process has ended and starts the balancer again after a delay.
func (s *Stage) restartAfterExit(b int, inst Instance, delay time.Duration) {
	s.background.Add(1)
	go func() {
		defer s.background.Done()
		<-inst.Done()
		select {
		case <-time.After(delay):
		case <-s.ctx.Done():
			return
		}
		s.mu.Lock()
		replaced := s.slots[b].instance != inst // another fault has started a new process meanwhile
		s.mu.Unlock()
		if replaced {
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

// settleDelay is the time that attempts which still run after the last request have to end.
const settleDelay = 300 * time.Millisecond

// Run starts the scenario's clock and runs its load and faults to the end.
func (s *Stage) Run(ctx context.Context) error {
	s.Environment.Begin()
	stop := ctx.Done()
	finished := make(chan struct{})
	var tasks sync.WaitGroup
	tasks.Add(3)
	go func() { defer tasks.Done(); s.pollMembers(finished) }()
	var fault error
	go func() { defer tasks.Done(); fault = faults.New(s.Environment, s).Run(stop) }()
	go func() { defer tasks.Done(); s.measureLateness(finished) }()
	s.Clients.Run(stop)
	s.Clients.CloseIdle()
	close(finished)
	tasks.Wait()
	time.Sleep(settleDelay)
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

// latenessInterval is how often measureLateness checks that this process gets the processor in time.
const latenessInterval = 5 * time.Millisecond

// measureLateness records how late this process's timers fire, also while no request or fault is scheduled. With
// it the judge distinguishes delays caused by the balancers from delays caused by a busy machine.
func (s *Stage) measureLateness(stop <-chan struct{}) {
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		due := s.Environment.Now() + latenessInterval
		t.Reset(latenessInterval)
		select {
		case <-t.C:
			s.Environment.RecordLateness(due, s.Environment.Now())
		case <-stop:
			return
		}
	}
}

// End stops the balancers and the stand-ins; afterwards the record is complete.
func (s *Stage) End() {
	s.mu.Lock()
	s.ended = true
	for _, slot := range s.slots {
		if slot.run != nil {
			slot.run.Ordered = true
		}
	}
	s.mu.Unlock()
	s.cancel()
	s.background.Wait()
	for _, slot := range s.slots {
		os.RemoveAll(slot.tempDir)
	}
	for _, n := range s.Environment.Hosts() {
		n.Stop()
	}
	if s.membership.links != nil {
		s.membership.links.Close()
	}
	if s.Environment.Origin != nil {
		s.Environment.Origin.RecordLoad()
	}
	time.Sleep(20 * time.Millisecond) // lets the ends of the last attempts be recorded
}

// BypassBalancers makes clients send requests directly to a cache host instead of the balancers.
func (s *Stage) BypassBalancers(host string) {
	s.Clients.BalancerUp(0, s.Environment.Host(host).Addr(0))
}

// JudgeConfig returns the limits that the judge applies to a rehearsal of the scenario.
func JudgeConfig(sc *scenario.Scenario) judge.Config {
	var membership judge.MembershipConfig
	if m := sc.Membership; m.Enabled {
		membership = judge.MembershipConfig{Balancers: sc.Fleet.Balancers, ProbePeriod: m.ProbePeriod.Duration(), SuspicionTimeout: m.SuspicionTimeout.Duration(), GossipBytesPerSecond: m.GossipBytesPerSecond, LossRatio: m.LossRatio, Lease: m.LeaseDuration.Duration()}
	}
	operatorSettings, err := operator.Parse("operator", []byte(sc.Operator))
	if err != nil {
		operatorSettings = &operator.File{} // the balancers report the mistakes in the file
	}
	t := judge.Config{Membership: membership, OpeningsPerSecond: operatorSettings.Connections.Openings, MaxAttempts: sc.Fleet.Attempts, DrainGrace: sc.Rules.DrainGrace.Duration(), Slack: sc.Rules.Slack.Duration(), PromptTimeout: sc.Rules.PromptTimeout.Duration(),
		ColdMissThreshold: sc.Rules.ColdMissThreshold, OverloadWindow: sc.Rules.OverloadWindow.Duration(), ConnectTimeout: connectTimeout}
	effects := map[string]judge.Effect{scenario.Idempotent: judge.Idempotent, scenario.Deduplicated: judge.Deduplicated,
		scenario.NonIdempotent: judge.NonIdempotent}
	for _, p := range sc.Products {
		t.Products = append(t.Products, judge.Product{Name: p.Name, Effect: effects[p.Effect], Window: p.Window.Duration(), Write: p.Write})
	}
	return t
}

// Result is the outcome of a rehearsal.
type Result struct {
	Scenario *scenario.Scenario
	Record   *record.Record
	Verdict  *judge.Verdict
	Latency  load.Percentiles
	Lateness load.Percentiles
	Elapsed  time.Duration
}

// Run runs a rehearsal from its start to the verdict. If watch is not nil, it runs concurrently in a
// goroutine of its own.
func Run(ctx context.Context, sc *scenario.Scenario, launch Launch, dir string, watch func(*Stage)) (*Result, error) {
	began := time.Now()
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	s, err := Start(ctx, sc, launch, dir)
	if err != nil {
		return nil, err
	}
	if watch != nil {
		go watch(s)
	}
	err = s.Run(ctx)
	s.End()
	if err != nil {
		return nil, err
	}
	r := &Result{Scenario: sc, Record: s.Record, Latency: s.Clients.Latency(), Lateness: s.Clients.Lateness(), Elapsed: time.Since(began)}
	recordMemberships(s.Record)
	r.Verdict = judge.Judge(s.Record, JudgeConfig(sc))
	return r, nil
}
