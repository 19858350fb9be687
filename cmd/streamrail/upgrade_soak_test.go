package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// TestUpgradeSoak draws from a seed a sequence of upgrades, of which some fail or overlap, kills and standstills of either process, hosts
// taken out and put back at any process's admin API, and hosts that leave the list and come back. Clients read all the time. A host must
// get nothing while it is out or leaving.
func TestUpgradeSoak(t *testing.T) {
	runSoak(t, func(t *testing.T, seed uint64) {
		s := newUpgradeSoak(t, rand.New(rand.NewPCG(seed, 1)))
		s.run(10 * time.Second)
	})
}

const (
	soakDrainGrace = time.Second            // of the test settings
	soakSlack      = 200 * time.Millisecond // for the test's own clock readings and what is under way to a host
	soakListDelay  = 2 * time.Second        // from which a change of the list counts as told, also around an upgrade
	soakStandstill = time.Second            // at most
	soakHosts      = 5
	soakMaxOut     = 2 // hosts out or leaving at a time
)

// soakHost is a cache host and the times in which it must not get anything.
type soakHost struct {
	*cacheHost
	leaving   bool
	out       bool
	staysTill time.Time // out or leaving
	forbidden []forbiddenTime
}

// forbiddenTime is a time in which a host must not get anything; a zero end means that it lasts.
type forbiddenTime struct {
	from, to time.Time
	reason   string
}

// soakProcess is one process of the balancer.
type soakProcess struct {
	*balancerProcess
	adminAddr string
}

// upgradeSoak is one run of the soak test. The processes are started and ended in one goroutine and the operator acts in another one.
type upgradeSoak struct {
	*testing.T
	rng       *rand.Rand
	dir       string
	listen    string
	config    map[string]any // used in the goroutine that starts processes
	env       []string
	discovery *discoveryServer
	hosts     []*soakHost

	mu        sync.Mutex
	processes []*soakProcess // that were started and not ended yet, the oldest first
	ending    sync.WaitGroup
	answered  int
}

func newUpgradeSoak(t *testing.T, rng *rand.Rand) *upgradeSoak {
	s := &upgradeSoak{T: t, rng: rng, dir: shortDir(t), discovery: newDiscoveryServer(t)}
	for i := range soakHosts {
		h := &soakHost{cacheHost: newHost(t, fmt.Sprint("h", i), answerHit)}
		s.discovery.setHost(h.id, h.addr, "cache", "active")
		s.hosts = append(s.hosts, h)
		go func() {
			for range h.received {
			}
		}()
		go func() {
			for range h.closed {
			}
		}()
	}
	s.listen = freeAddr(t)
	s.config = deploymentConfig(s.discovery, s.listen, map[string]any{"discovery": []string{"automatic", "subscribe"}[rng.IntN(2)]})
	file, text := filepath.Join(s.dir, "operator.toml"), ""
	if rng.IntN(2) == 0 {
		text = fmt.Sprintf("[fleet]\nname = \"f\"\naddress = %q\npeers = [%q]\norders = %v\n", freeUDP(t), freeUDP(t), rng.IntN(2) == 0)
	}
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	s.env = []string{"STREAMRAIL_FILE=" + file, "TMPDIR=" + s.dir}
	t.Logf("discovery %v, operator's file %q", s.config["settings"].(map[string]any)["discovery"], text)
	return s
}

// run plays for a while and then checks what the hosts have received.
func (s *upgradeSoak) run(duration time.Duration) {
	ends := time.Now().Add(duration)
	s.startServing()
	stop := make(chan struct{})
	var others sync.WaitGroup
	for client := range 4 {
		others.Go(func() { s.read(client, stop) })
	}
	operatorRandom := rand.New(rand.NewPCG(s.rng.Uint64(), 2))
	others.Go(func() { s.operate(operatorRandom, stop) })
	for time.Now().Before(ends) {
		s.changeProcesses()
		time.Sleep(time.Duration(s.rng.IntN(300)) * time.Millisecond)
	}
	close(stop)
	others.Wait()
	s.ending.Wait()
	s.check()
}

// launch starts a process beside those that run, if any.
func (s *upgradeSoak) launch() *soakProcess {
	p := &soakProcess{adminAddr: freeAddr(s.T)}
	s.config["seed"] = fmt.Sprintf("%016x", s.rng.Uint64())
	p.balancerProcess = launch(s.T, s.config, append([]string{"GW_ADMIN_ADDR=" + p.adminAddr}, s.env...)...)
	p.addr = s.listen
	s.mu.Lock()
	defer s.mu.Unlock()
	s.processes = append(s.processes, p)
	return p
}

// isReady reports whether a process takes clients.
func (p *soakProcess) isReady() bool {
	answer, err := http.Get("http://" + p.adminAddr + "/api/ready")
	if err != nil {
		return false
	}
	answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// waitForReady waits until a process takes clients. It returns false if the process ends before.
func (s *upgradeSoak) waitForReady(p *soakProcess) bool {
	for began := time.Now(); !p.isReady(); time.Sleep(5 * time.Millisecond) {
		if p.hasExited() {
			return false
		}
		if time.Since(began) > waitTimeout {
			s.Error("a process is not ready in time")
			return false
		}
	}
	return true
}

func (p *soakProcess) hasExited() bool {
	select {
	case err := <-p.exited:
		p.exited <- err
		return true
	default:
		return false
	}
}

// startServing starts a process, again if it ends before it is ready.
func (s *upgradeSoak) startServing() *soakProcess {
	for {
		p := s.launch()
		if s.waitForReady(p) {
			return p
		}
		s.remove(p)
	}
}

// remove takes a process that has ended off the list.
func (s *upgradeSoak) remove(p *soakProcess) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.processes {
		if s.processes[i] == p {
			s.processes = append(s.processes[:i:i], s.processes[i+1:]...)
			return
		}
	}
}

// kill ends a process at once.
func (s *upgradeSoak) kill(p *soakProcess) {
	p.Process.Kill()
	p.waitForExit(s.T)
	s.remove(p)
}

// terminate ends a process as operators do, in the background.
func (s *upgradeSoak) terminate(p *soakProcess) {
	s.ending.Go(func() {
		p.Process.Signal(syscall.SIGTERM)
		select {
		case err := <-p.exited:
			p.exited <- err
		case <-time.After(earliestKill):
			p.Process.Kill()
			p.waitForExit(s.T)
		}
		s.remove(p)
	})
}

// running returns the processes that run, the oldest first.
func (s *upgradeSoak) running() []*soakProcess {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*soakProcess(nil), s.processes...)
}

// changeProcesses starts and ends processes in one of several ways. One process at least serves afterwards.
func (s *upgradeSoak) changeProcesses() {
	running := s.running()
	newest := running[len(running)-1]
	wait := func(longest time.Duration) { time.Sleep(time.Duration(s.rng.Int64N(int64(longest)))) }
	switch s.rng.IntN(7) {
	case 0, 1: // an upgrade, after which the next one may begin at once
		s.Log("upgrade")
		p := s.launch()
		if !s.waitForReady(p) {
			s.remove(p)
			return
		}
		wait([]time.Duration{300 * time.Millisecond, 3 * time.Second}[s.rng.IntN(2)])
		s.terminate(newest)
	case 2: // an upgrade whose newer process is killed
		s.Log("failed upgrade")
		p := s.launch()
		if s.rng.IntN(2) == 0 {
			s.waitForReady(p)
		}
		wait(200 * time.Millisecond)
		s.kill(p)
	case 3: // an upgrade whose older process is killed
		s.Log("older process killed")
		p := s.launch()
		wait(100 * time.Millisecond)
		s.kill(newest)
		if !s.waitForReady(p) {
			s.remove(p)
			s.startServing()
		}
	case 4: // an upgrade whose older process stands still before it is killed
		s.Log("older process stopped")
		p := s.launch()
		ready := s.waitForReady(p)
		if ready {
			newest.Process.Signal(syscall.SIGSTOP)
			wait(time.Second)
			s.kill(newest)
		} else {
			s.remove(p)
		}
	case 5: // all are killed, and the next one starts from the files
		s.Log("all killed")
		for _, p := range s.running() {
			s.kill(p)
		}
		s.startServing()
	case 6: // one process stands still for a while
		s.Log("standstill")
		p := running[s.rng.IntN(len(running))]
		p.Process.Signal(syscall.SIGSTOP)
		wait(soakStandstill)
		p.Process.Signal(syscall.SIGCONT)
	}
}

// operate takes hosts out and puts them back, and changes the list.
func (s *upgradeSoak) operate(random *rand.Rand, stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(random.IntN(250)) * time.Millisecond):
		}
		h := s.hosts[random.IntN(len(s.hosts))]
		busy := 0
		for _, other := range s.hosts {
			if other.out || other.leaving {
				busy++
			}
		}
		stay := soakDrainGrace + soakSlack + time.Duration(random.IntN(2500))*time.Millisecond
		switch {
		case (h.out || h.leaving) && time.Now().Before(h.staysTill):
		case h.out:
			h.allow()
			h.out = !s.order(random, "include", h.id)
		case h.leaving:
			h.allow()
			s.discovery.setHostStartedAt(h.id, h.addr, "cache", "active", time.Now().UnixMilli())
			h.leaving = false
		case busy == soakMaxOut:
		case random.IntN(3) == 0:
			s.discovery.setHost(h.id, h.addr, "cache", "leaving")
			h.leaving = true
			h.staysTill = time.Now().Add(soakListDelay + stay)
			h.forbid(soakListDelay, "leaving")
		default:
			h.out = true // perhaps also without a yes, so it is put back later
			if s.order(random, "exclude", h.id) {
				h.staysTill = time.Now().Add(stay)
				h.forbid(0, "out")
			}
		}
	}
}

// order calls the admin API of a random process until one says yes. It returns false if none does within a second.
func (s *upgradeSoak) order(random *rand.Rand, action, host string) bool {
	client := http.Client{Timeout: 2 * time.Second}
	for began := time.Now(); time.Since(began) < time.Second; time.Sleep(10 * time.Millisecond) {
		processes := s.running()
		if len(processes) == 0 {
			continue
		}
		p := processes[random.IntN(len(processes))]
		answer, err := client.Post("http://"+p.adminAddr+"/api/"+action, "application/json", strings.NewReader(fmt.Sprintf(`{"member":%q}`, host)))
		if err != nil {
			continue
		}
		answer.Body.Close()
		if answer.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// forbid notes that the host must not get anything from a drain's grace after a delay on.
func (h *soakHost) forbid(delay time.Duration, reason string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.forbidden = append(h.forbidden, forbiddenTime{from: time.Now().Add(delay + soakDrainGrace + soakSlack), reason: reason})
}

// allow ends the time in which the host must not get anything.
func (h *soakHost) allow() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if n := len(h.forbidden); n > 0 && h.forbidden[n-1].to.IsZero() {
		h.forbidden[n-1].to = time.Now()
	}
}

// read reads random keys, on a new connection after each one that ends.
func (s *upgradeSoak) read(client int, stop chan struct{}) {
	for n := 0; ; {
		conn, err := net.Dial("tcp", s.listen)
		if err != nil {
			time.Sleep(5 * time.Millisecond)
		}
		for in := bufio.NewReader(conn); err == nil; n++ {
			select {
			case <-stop:
				conn.Close()
				return
			default:
			}
			conn.SetDeadline(time.Now().Add(2 * time.Second))
			fmt.Fprint(conn, getRequest(fmt.Sprint("k", n%50), fmt.Sprintf("c%dn%d", client, n), 900))
			var line string
			if line, err = in.ReadString('\n'); err == nil && strings.HasPrefix(line, "VA") {
				_, err = in.ReadString('\n')
				s.mu.Lock()
				s.answered++
				s.mu.Unlock()
			}
			time.Sleep(2 * time.Millisecond)
		}
		select {
		case <-stop:
			return
		default:
		}
		if conn != nil {
			conn.Close()
		}
	}
}

// check compares what the hosts have received with the times in which they must not get anything.
func (s *upgradeSoak) check() {
	checked := 0
	for _, h := range s.hosts {
		h.mu.Lock()
		for _, f := range h.forbidden {
			if f.to.IsZero() {
				f.to = time.Now()
			}
			checked++
			for _, c := range h.commands {
				if c.fields[0] == "mg" && c.receivedAt.After(f.from) && c.receivedAt.Before(f.to) {
					s.Errorf("%s got %q at %v, %v after it was not to get anything (%s, until %v)", h.id, c.line, c.receivedAt.Format("05.000"), c.receivedAt.Sub(f.from), f.reason, f.to.Format("05.000"))
					break
				}
			}
		}
		h.mu.Unlock()
	}
	s.Logf("%d reads answered, %d times checked in which a host was out or leaving", s.answered, checked)
	if s.answered == 0 || checked == 0 {
		s.Error("nothing was played")
	}
}
