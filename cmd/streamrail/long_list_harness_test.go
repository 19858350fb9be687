package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// The tests with long lists run a balancer with thousands of hosts and a small share of a core.
const (
	longListHosts             = 3200
	longListClients           = 20
	longListRequestInterval   = 100 * time.Millisecond // between two requests of a client
	longListRequestTimeout    = 400 * time.Millisecond // of a request
	lateTolerance             = 50 * time.Millisecond  // beyond the timeout: a later answer counts as late
	lostTolerance             = 500 * time.Millisecond // beyond the timeout: a request without an answer counts as lost
	longListLoadBalancerDelay = 400 * time.Millisecond // from SIGTERM until the load balancer in front opens no new connections
	longListKillDelay         = 200 * time.Millisecond // within which a process has ended after SIGKILL: the next one starts later
	schedulingPeriod          = 20 * time.Millisecond  // of which a process runs for its share
	raceCostFactor            = 8                      // the race detector multiplies the processor time by about this
)

// throttledProcess is a process that gets only a share of a core.
type throttledProcess struct {
	*balancerProcess
	stalledUntil atomic.Int64 // the process stays stopped until then, as Unix nanoseconds
}

// throttle limits a process to a share of a core until it ends, by stopping and resuming it in each scheduling period.
func throttle(p *balancerProcess, coreShare float64) *throttledProcess {
	s := &throttledProcess{balancerProcess: p}
	if len(buildFlags) > 0 { // the program is built with the race detector
		coreShare = min(1, raceCostFactor*coreShare)
	}
	runTime := time.Duration(coreShare * float64(schedulingPeriod))
	go func() {
		for {
			if time.Now().UnixNano() >= s.stalledUntil.Load() && p.Process.Signal(syscall.SIGCONT) != nil {
				return
			}
			time.Sleep(runTime)
			if runTime < schedulingPeriod {
				p.Process.Signal(syscall.SIGSTOP)
				time.Sleep(schedulingPeriod - runTime)
			}
		}
	}()
	return s
}

// stall stops the process for a while.
func (s *throttledProcess) stall(duration time.Duration) {
	s.stalledUntil.Store(time.Now().Add(duration).UnixNano())
	s.Process.Signal(syscall.SIGSTOP)
}

// longListDiscovery is a discovery server with thousands of hosts, whose addresses are those of six stand-ins.
type longListDiscovery struct {
	*discoveryServer
	hosts       []*cacheHost
	nextHost    int          // number of the next host to be listed
	oldestHost  int          // number of the oldest listed host
	unavailable atomic.Bool  // discovery does not answer
	hangingHost atomic.Int32 // number, from 1, of the stand-in (a sixth of the hosts) that does not answer; any other value: none
	addrs       [2]string    // discovery serves at both
}

// ServeHTTP delays its answer while discovery is unavailable.
func (l *longListDiscovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	for l.unavailable.Load() {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(10 * time.Millisecond):
		}
	}
	l.discoveryServer.ServeHTTP(w, r)
}

func newLongListDiscovery(t *testing.T, size int) *longListDiscovery {
	l := &longListDiscovery{discoveryServer: newDiscoveryServer(t)}
	for i := range 6 {
		h := newHost(t, "h", func(cmd command) string {
			if int(l.hangingHost.Load()) == i+1 {
				return ""
			}
			return answerHit(cmd)
		})
		l.hosts = append(l.hosts, h)
		go func() { // no test reads the received commands
			for range h.received {
			}
		}()
	}
	go func() {
		for range l.watchedFrom {
		}
	}()
	l.changeHosts(size, 0, "")
	for i := range l.addrs {
		server := httptest.NewServer(l)
		t.Cleanup(server.Close)
		l.addrs[i] = serverAddr(server)
	}
	return l
}

// changeHosts lists new hosts and gives some of the oldest ones another lifecycle, all within one generation.
func (l *longListDiscovery) changeHosts(added, removed int, lifecycle string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.generation++
	for range added {
		id := fmt.Sprint("h", l.nextHost)
		l.entries[id] = map[string]any{"instanceId": id, "hostPort": l.hosts[l.nextHost%len(l.hosts)].addr, "zone": "here", "machineType": "cache",
			"cell": 0, "lifecycle": "active", "weight": 1.0, "startedAtMs": 0}
		l.changedIn[id] = l.generation
		l.nextHost++
	}
	for range removed {
		id := fmt.Sprint("h", l.oldestHost)
		l.entries[id]["lifecycle"], l.changedIn[id] = lifecycle, l.generation
		l.oldestHost++
	}
	close(l.nextChange)
	l.nextChange = make(chan struct{})
}

// replaceUntil replaces the given number of hosts every second until the end.
func (l *longListDiscovery) replaceUntil(end time.Time, count int) {
	for time.Now().Before(end) {
		l.changeHosts(count, count, "left")
		time.Sleep(time.Second)
	}
}

// clientResults counts the outcomes of the clients' requests.
type clientResults struct {
	mu                                        sync.Mutex
	sent, fulfilled, rateLimited, errored     int
	late, lost, closedUnanswered, interrupted int // interrupted: the process was killed during the request
	slowest                                   time.Duration
	examples                                  []string
}

func (l *clientResults) String() string {
	return fmt.Sprintf("%d sent, %d fulfilled, %d rate-limited, %d errored, %d interrupted by a kill; %d late, %d lost, %d closed unanswered; the slowest took %v",
		l.sent, l.fulfilled, l.rateLimited, l.errored, l.interrupted, l.late, l.lost, l.closedUnanswered, l.slowest)
}

// longListRun is one balancer with clients that send requests all the time.
type longListRun struct {
	clientResults
	*testing.T
	discovery       *longListDiscovery
	process         *throttledProcess
	listenAddr      string
	config          map[string]any
	tempDir         string // the TMPDIR of the processes
	coreShare       float64
	requestInterval time.Duration // between two requests of a client
	endsAt          time.Time

	noNewConnections atomic.Bool // the load balancer in front opens no new connections
	mu               sync.Mutex
	lastKill         time.Time
}

func newLongListRun(t *testing.T, hosts int, coreShare float64, requestInterval, duration time.Duration) *longListRun {
	l := newLongListDiscovery(t, hosts)
	cfg := deploymentConfig(l.discoveryServer, freeAddr(t), readWriteThrough)
	cfg["discovery"] = l.addrs[0]
	r := &longListRun{T: t, discovery: l, listenAddr: cfg["listen"].(string), config: cfg, tempDir: shortDir(t), coreShare: coreShare, requestInterval: requestInterval}
	r.startReady()
	r.endsAt = time.Now().Add(duration)
	return r
}

// startReady starts a process and waits until it is ready for clients. It may take over from a running one.
func (r *longListRun) startReady() {
	p, _ := launchReady(r.T, r.config, r.tempDir)
	r.process = throttle(p, r.coreShare)
}

// startThrottled starts a process that is limited to its share of a core from its start on, and does not wait for it.
func (r *longListRun) startThrottled() {
	r.config["known"] = r.discovery.cachedList()
	r.process = throttle(launch(r.T, r.config, "GW_ADMIN_ADDR="+freeAddr(r.T), "TMPDIR="+r.tempDir), r.coreShare)
}

// killAndRestart kills the process and starts another one a second later.
func (r *longListRun) killAndRestart() {
	r.mu.Lock()
	r.process.Process.Kill()
	r.lastKill = time.Now()
	r.mu.Unlock()
	time.Sleep(time.Second)
	r.startThrottled()
}

// restartGracefully sends SIGTERM, kills the process at the end of the termination period, and starts another one.
func (r *longListRun) restartGracefully() {
	old := r.process
	old.Process.Signal(syscall.SIGTERM)
	time.Sleep(longListLoadBalancerDelay)
	r.noNewConnections.Store(true)
	time.Sleep(earliestKill - longListLoadBalancerDelay)
	old.Process.Kill()
	r.startThrottled()
	r.noNewConnections.Store(false)
}

// upgrade starts a newer process, which takes over the listener, before the older one gets SIGTERM and later SIGKILL.
func (r *longListRun) upgrade() {
	old := r.process
	r.config["known"] = r.discovery.cachedList()
	r.startReady()
	old.Process.Signal(syscall.SIGTERM)
	time.Sleep(earliestKill)
	old.Process.Kill()
}

// reload changes the configuration to discovery's other address, from which the balancer fetches the whole list again.
func (r *longListRun) reload() {
	r.discovery.addrs[0], r.discovery.addrs[1] = r.discovery.addrs[1], r.discovery.addrs[0]
	r.config["discovery"] = r.discovery.addrs[0]
	writeConfig(r.T, r.process.configPath, r.config)
	r.process.Process.Signal(syscall.SIGHUP)
}

// outage makes discovery unavailable for a while and then changes many hosts of the list at once.
func (r *longListRun) outage(duration time.Duration, changes int) {
	r.discovery.unavailable.Store(true)
	time.Sleep(duration)
	r.discovery.changeHosts(changes, changes, "leaving")
	r.discovery.unavailable.Store(false)
}

// runClients runs the clients until the end while disturb runs, and then checks that no request was lost or closed unanswered.
func (r *longListRun) runClients(disturb func()) {
	var clients sync.WaitGroup
	for n := range longListClients {
		clients.Go(func() { r.runClient(n) })
	}
	disturb()
	clients.Wait()
	r.Log(r.clientResults.String())
	if r.lost+r.closedUnanswered > 0 || r.fulfilled == 0 {
		r.Errorf("%s\n%q", r.clientResults.String(), r.examples)
	}
}

// wasKilled reports whether a connection opened at that time was one to the killed process, which takes a moment to end.
func (r *longListRun) wasKilled(opened time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.lastKill.IsZero() && opened.Before(r.lastKill.Add(longListKillDelay))
}

// longListClient sends requests one at a time and keeps its connection for as long as it stays open.
type longListClient struct {
	run      *longListRun
	conn     net.Conn // nil if none is open
	in       *bufio.Reader
	openedAt time.Time
}

// runClient sends the requests of client n until the end.
func (r *longListRun) runClient(n int) {
	c := &longListClient{run: r}
	defer c.close()
	for i := 0; time.Now().Before(r.endsAt); i++ {
		began := time.Now()
		c.sendRequest(fmt.Sprintf("c%dr%d", n, i), fmt.Sprint("key", (n*7919+i*104729)%5000), began.Add(longListRequestTimeout))
		time.Sleep(time.Until(began.Add(r.requestInterval)))
	}
}

// sendRequest sends one request, and again if the balancer did not accept it, until the answer arrives or the deadline is too near.
func (c *longListClient) sendRequest(id, key string, deadline time.Time) {
	const minTimeLeft = 10 * time.Millisecond
	for timeLeft := time.Until(deadline); timeLeft >= minTimeLeft; timeLeft = time.Until(deadline) {
		if !c.ensureConnected() { // a refused connection is reported at once
			time.Sleep(5 * time.Millisecond)
			continue
		}
		timeLeft = time.Until(deadline)
		sent := time.Now()
		c.conn.SetDeadline(deadline.Add(lostTolerance))
		if _, err := io.WriteString(c.conn, getRequest(key, id, int(timeLeft.Milliseconds()))); err != nil {
			c.close() // the connection had ended before: the balancer never read the request
			continue
		}
		line, err := c.readAnswer()
		done := c.run.recordAnswer(id, line, time.Since(sent), timeLeft, err, c.run.wasKilled(c.openedAt))
		if err != nil {
			c.close()
		}
		if done {
			return
		}
	}
}

// readAnswer reads an answer and returns its first line without the value.
func (c *longListClient) readAnswer() (line string, err error) {
	line, err = c.in.ReadString('\n')
	if err == nil && line[:2] == "VA" {
		_, err = c.in.ReadString('\n')
	}
	return line, err
}

// ensureConnected opens a connection if none is open. It returns false if that is not possible now.
func (c *longListClient) ensureConnected() bool {
	if c.conn != nil && c.closedByPeer() {
		c.close()
	}
	if c.conn != nil {
		return true
	}
	if c.run.noNewConnections.Load() {
		return false
	}
	conn, err := net.DialTimeout("tcp", c.run.listenAddr, longListRequestTimeout)
	if err != nil {
		return false
	}
	c.conn, c.in, c.openedAt = conn, bufio.NewReader(conn), time.Now()
	return true
}

func (c *longListClient) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// closedByPeer reports whether the balancer has closed the idle connection, as a client checks before it reuses one.
func (c *longListClient) closedByPeer() bool {
	c.conn.SetReadDeadline(time.Now().Add(100 * time.Microsecond))
	_, err := c.in.Peek(1)
	return !errors.Is(err, os.ErrDeadlineExceeded)
}

// recordAnswer counts the outcome of a request. It returns false if the client is to send the request again.
func (r *longListRun) recordAnswer(id, line string, took, timeLeft time.Duration, err error, killed bool) (done bool) {
	r.clientResults.mu.Lock()
	defer r.clientResults.mu.Unlock()
	r.sent++
	r.slowest = max(r.slowest, took)
	example := func(outcome string) {
		if len(r.examples) < 10 {
			r.examples = append(r.examples, fmt.Sprintf("%s %s after %v of %v: %v", id, outcome, took, timeLeft, err))
		}
	}
	switch {
	case err != nil && killed:
		r.interrupted++
		return false
	case errors.Is(err, os.ErrDeadlineExceeded):
		r.lost++
		example("lost")
		return true
	case err == io.EOF: // the balancer may close an idle connection while the request is on its way and never read it
		r.sent--
		return false
	case err != nil:
		r.closedUnanswered++
		example("closed unanswered")
		return true
	case line[:2] == "VA":
		r.fulfilled++
	case len(line) > 17 && line[:17] == "SERVER_ERROR busy":
		r.rateLimited++
	default:
		r.errored++
	}
	if took > timeLeft+lateTolerance {
		r.late++
		example("late")
	}
	return true
}

// cachedList returns the host list in the form that a configuration gives to a starting balancer.
func (l *longListDiscovery) cachedList() map[string]any {
	l.mu.Lock()
	defer l.mu.Unlock()
	var entries []map[string]any
	for _, e := range l.entries {
		if e["lifecycle"] != "left" {
			entries = append(entries, maps.Clone(e))
		}
	}
	return wholeList(l.generation, entries...)
}
