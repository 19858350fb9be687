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

// A fleet with a list of thousands of hosts, and a balancer that gets a small share of a core.
const (
	longListHosts    = 3200
	longListClients  = 20
	longListEvery    = 100 * time.Millisecond  // between two requests of a client
	longListTimeout  = 400 * time.Millisecond  // of a request
	lateAfter        = 50 * time.Millisecond   // beyond the timeout: the answer earns nothing
	lostAfter        = 500 * time.Millisecond  // beyond the timeout: the request counts as lost
	longListTerm     = 3700 * time.Millisecond // from SIGTERM to SIGKILL: the longest deadline and 0.7 s
	longListFront    = 400 * time.Millisecond  // from SIGTERM to the last new connection
	longListKill     = 200 * time.Millisecond  // until a process that got SIGKILL has surely ended: the next starts later
	schedulingPeriod = 20 * time.Millisecond   // in which a process gets its share of a core
	raceCost         = 8                       // times the processor time that the race detector takes
)

// starved is a process that gets a share of a core until it ends.
type starved struct {
	*running
	stalled atomic.Int64 // it stands still until then, as Unix nanoseconds
}

func starve(p *running, share float64) *starved {
	s := &starved{running: p}
	if len(buildFlags) > 0 { // it is built with the race detector
		share = min(1, raceCost*share)
	}
	slice := time.Duration(share * float64(schedulingPeriod))
	go func() {
		for {
			if time.Now().UnixNano() >= s.stalled.Load() && p.Process.Signal(syscall.SIGCONT) != nil {
				return
			}
			time.Sleep(slice)
			if slice < schedulingPeriod {
				p.Process.Signal(syscall.SIGSTOP)
				time.Sleep(schedulingPeriod - slice)
			}
		}
	}()
	return s
}

// stall has the process stand still for a while.
func (s *starved) stall(span time.Duration) {
	s.stalled.Store(time.Now().Add(span).UnixNano())
	s.Process.Signal(syscall.SIGSTOP)
}

// longList is discovery with thousands of hosts, behind whose names a few processes stand.
type longList struct {
	*list
	hosts []*cacheHost
	next  int          // number of the host that is listed next
	first int          // of the oldest host that is listed
	away  atomic.Bool  // it answers nothing
	hangs atomic.Int32 // so does the process behind a sixth of the hosts; 0: none
	addrs [2]string    // it is at both
}

// ServeHTTP is silent while discovery is away.
func (l *longList) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	for l.away.Load() {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(10 * time.Millisecond):
		}
	}
	l.list.ServeHTTP(w, r)
}

func newLongList(t *testing.T, size int) *longList {
	l := &longList{list: newList(t)}
	for i := range 6 {
		h := newHost(t, "h", func(g got) string {
			if int(l.hangs.Load()) == i+1 {
				return ""
			}
			return hit(g)
		})
		l.hosts = append(l.hosts, h)
		go func() { // nobody looks at what came
			for range h.came {
			}
		}()
	}
	go func() {
		for range l.told {
		}
	}()
	l.change(size, 0, "")
	for i := range l.addrs {
		server := httptest.NewServer(l)
		t.Cleanup(server.Close)
		l.addrs[i] = addr(server)
	}
	return l
}

// change lists some new hosts, and gives as many of the oldest ones another lifecycle. All of it is one version.
func (l *longList) change(added, removed int, lifecycle string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.generation++
	for range added {
		id := fmt.Sprint("h", l.next)
		l.entries[id] = map[string]any{"instanceId": id, "hostPort": l.hosts[l.next%len(l.hosts)].addr, "zone": "here", "machineType": "cache",
			"cell": 0, "lifecycle": "active", "weight": 1.0, "startedAtMs": 0}
		l.changed[id] = l.generation
		l.next++
	}
	for range removed {
		id := fmt.Sprint("h", l.first)
		l.entries[id]["lifecycle"], l.changed[id] = lifecycle, l.generation
		l.first++
	}
	close(l.news)
	l.news = make(chan struct{})
}

// replaceUntil replaces hosts every second until the end.
func (l *longList) replaceUntil(end time.Time, each int) {
	for time.Now().Before(end) {
		l.change(each, each, "left")
		time.Sleep(time.Second)
	}
}

// load is what clients saw.
type load struct {
	mu                                sync.Mutex
	sent, fulfilled, refused, failed  int
	late, lost, unanswered, interrupt int // interrupt: the process was killed under the request
	worst                             time.Duration
	examples                          []string
}

func (l *load) String() string {
	return fmt.Sprintf("%d sent, %d fulfilled, %d refused, %d failed, %d interrupted by a kill; %d late, %d lost, %d closed unanswered; the slowest took %v",
		l.sent, l.fulfilled, l.refused, l.failed, l.interrupt, l.late, l.lost, l.unanswered, l.worst)
}

// longListRun is one balancer with clients that send on all the time.
type longListRun struct {
	load
	*testing.T
	list    *longList
	process *starved
	listen  string
	config  map[string]any
	dir     string // the processes' folder
	share   float64
	every   time.Duration // between two requests of a client
	end     time.Time

	turnedOff atomic.Bool // the front sends no new connections
	mu        sync.Mutex
	kill      time.Time // the last one
}

func newLongListRun(t *testing.T, hosts int, share float64, every, duration time.Duration) *longListRun {
	l := newLongList(t, hosts)
	cfg := config(l.list, freeAddr(t), through)
	cfg["discovery"] = l.addrs[0]
	r := &longListRun{T: t, list: l, listen: cfg["listen"].(string), config: cfg, dir: shortDir(t), share: share, every: every}
	r.start()
	r.end = time.Now().Add(duration)
	return r
}

// start starts a process, beside another one or alone, and waits until it takes clients.
func (r *longListRun) start() {
	p, _ := ready(r.T, r.config, r.dir)
	r.process = starve(p, r.share)
}

// startStarved starts a process that has its share of a core from the first moment on.
func (r *longListRun) startStarved() {
	r.config["known"] = r.list.whole()
	r.process = starve(launch(r.T, r.config, "GW_ADMIN_ADDR="+freeAddr(r.T), "TMPDIR="+r.dir), r.share)
}

// restart kills the process, and starts another a while later.
func (r *longListRun) restart() {
	r.mu.Lock()
	r.process.Process.Kill()
	r.kill = time.Now()
	r.mu.Unlock()
	time.Sleep(time.Second)
	r.startStarved()
}

// release ends the process in order, kills it as soon as the terms allow, and starts another.
func (r *longListRun) release() {
	old := r.process
	old.Process.Signal(syscall.SIGTERM)
	time.Sleep(longListFront)
	r.turnedOff.Store(true)
	time.Sleep(longListTerm - longListFront)
	old.Process.Kill()
	r.startStarved()
	r.turnedOff.Store(false)
}

// upgrade has a newer process take over, which the older one hears of before it is told to end.
func (r *longListRun) upgrade() {
	old := r.process
	r.config["known"] = r.list.whole()
	r.start()
	old.Process.Signal(syscall.SIGTERM)
	time.Sleep(longListTerm)
	old.Process.Kill()
}

// reload moves discovery to its other address, with a whole list each time.
func (r *longListRun) reload() {
	r.list.addrs[0], r.list.addrs[1] = r.list.addrs[1], r.list.addrs[0]
	r.config["discovery"] = r.list.addrs[0]
	write(r.T, r.process.config, r.config)
	r.process.Process.Signal(syscall.SIGHUP)
}

// outage has discovery say nothing for a while, in which a large part of the list changes.
func (r *longListRun) outage(span time.Duration, changes int) {
	r.list.away.Store(true)
	time.Sleep(span)
	r.list.change(changes, changes, "leaving")
	r.list.away.Store(false)
}

// play runs the clients until the end, while something happens.
func (r *longListRun) play(happens func()) {
	var clients sync.WaitGroup
	for n := range longListClients {
		clients.Go(func() { r.client(n) })
	}
	happens()
	clients.Wait()
	r.Log(r.load.String())
	if r.lost+r.unanswered > 0 || r.fulfilled == 0 {
		r.Errorf("%s\n%q", r.load.String(), r.examples)
	}
}

// killed tells whether a connection was to the process that got the last SIGKILL, which takes a moment to end.
func (r *longListRun) killed(opened time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.kill.IsZero() && opened.Before(r.kill.Add(longListKill))
}

// longListClient sends requests, one at a time, over one connection while that stays open.
type longListClient struct {
	run    *longListRun
	conn   net.Conn // nil: none is open
	in     *bufio.Reader
	opened time.Time
}

// client sends requests until the end.
func (r *longListRun) client(n int) {
	c := &longListClient{run: r}
	defer c.close()
	for i := 0; time.Now().Before(r.end); i++ {
		began := time.Now()
		c.request(fmt.Sprintf("c%dr%d", n, i), fmt.Sprint("key", (n*7919+i*104729)%5000), began.Add(longListTimeout))
		time.Sleep(time.Until(began.Add(r.every)))
	}
}

// request sends one, again where it was not taken, until it has its answer or its time is over.
func (c *longListClient) request(id, key string, until time.Time) {
	const leastLeft = 10 * time.Millisecond
	for left := time.Until(until); left >= leastLeft; left = time.Until(until) {
		if !c.connect() { // the client knows at once that nobody listens
			time.Sleep(5 * time.Millisecond)
			continue
		}
		left = time.Until(until)
		sent := time.Now()
		c.conn.SetDeadline(until.Add(lostAfter))
		if _, err := io.WriteString(c.conn, get(key, id, int(left.Milliseconds()))); err != nil {
			c.close() // it had ended before: the request was never taken
			continue
		}
		line, err := c.answer()
		over := c.run.saw(id, line, time.Since(sent), left, err, c.run.killed(c.opened))
		if err != nil {
			c.close()
		}
		if over {
			return
		}
	}
}

// answer reads the first line of an answer, and passes over a value.
func (c *longListClient) answer() (line string, err error) {
	line, err = c.in.ReadString('\n')
	if err == nil && line[:2] == "VA" {
		_, err = c.in.ReadString('\n')
	}
	return line, err
}

// connect sees to it that a connection is open; false where none is to be had just now.
func (c *longListClient) connect() bool {
	if c.conn != nil && c.hasEnded() {
		c.close()
	}
	if c.conn != nil {
		return true
	}
	if c.run.turnedOff.Load() {
		return false
	}
	conn, err := net.DialTimeout("tcp", c.run.listen, longListTimeout)
	if err != nil {
		return false
	}
	c.conn, c.in, c.opened = conn, bufio.NewReader(conn), time.Now()
	return true
}

func (c *longListClient) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// hasEnded tells whether the other side has closed a connection at rest, as a client sees before it uses it again.
func (c *longListClient) hasEnded() bool {
	c.conn.SetReadDeadline(time.Now().Add(100 * time.Microsecond))
	_, err := c.in.Peek(1)
	return !errors.Is(err, os.ErrDeadlineExceeded)
}

// saw notes what came of a request; false where the client sends it once more.
func (r *longListRun) saw(id, line string, took, left time.Duration, err error, killed bool) (over bool) {
	r.load.mu.Lock()
	defer r.load.mu.Unlock()
	r.sent++
	r.worst = max(r.worst, took)
	example := func(what string) {
		if len(r.examples) < 10 {
			r.examples = append(r.examples, fmt.Sprintf("%s %s after %v of %v: %v", id, what, took, left, err))
		}
	}
	switch {
	case err != nil && killed:
		r.interrupt++
		return false
	case errors.Is(err, os.ErrDeadlineExceeded):
		r.lost++
		example("lost")
		return true
	case err == io.EOF: // the close of a connection at rest may cross a request that was not read
		r.sent--
		return false
	case err != nil:
		r.unanswered++
		example("closed unanswered")
		return true
	case line[:2] == "VA":
		r.fulfilled++
	case len(line) > 17 && line[:17] == "SERVER_ERROR busy":
		r.refused++
	default:
		r.failed++
	}
	if took > left+lateAfter {
		r.late++
		example("late")
	}
	return true
}

// whole is the list as a balancer keeps it over a restart.
func (l *longList) whole() map[string]any {
	l.mu.Lock()
	defer l.mu.Unlock()
	var entries []map[string]any
	for _, e := range l.entries {
		if e["lifecycle"] != "left" {
			entries = append(entries, maps.Clone(e))
		}
	}
	return whole(l.generation, entries...)
}
