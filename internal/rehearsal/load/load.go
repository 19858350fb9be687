// Package load simulates the clients of a rehearsal. Requests arrive in an open loop, that is, independently of earlier
// answers, over connections that are reused. Clients give up at their deadline and retry, after the time that a
// rate-limited answer requests.
package load

import (
	"fmt"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"streamrail/internal/rehearsal/model"
	"streamrail/internal/rehearsal/record"
	"streamrail/internal/rehearsal/scenario"
	"streamrail/internal/rehearsal/standin"
)

// Clients simulates all clients of a rehearsal.
type Clients struct {
	environment *standin.Environment
	arrivals    []model.Arrival
	retryPolicy model.RetryPolicy
	targets     []*balancerTarget // indexed by balancer

	running    sync.WaitGroup
	roundRobin atomic.Uint32
	inFlight   atomic.Int64

	mu        sync.Mutex
	lateness  *hdrhistogram.Histogram // of sending, in microseconds
	latencies *hdrhistogram.Histogram // of fulfilled requests since their scheduled time, in microseconds
	tally     Tally
}

// Tally counts the outcomes of requests so far; each client retry counts as a further request.
type Tally struct {
	Finished, Fulfilled, RateLimited, Errored, Lost int
}

// The histograms cover 1 microsecond to a minute with three significant digits.
const (
	minMicros         = 1
	maxMicros         = 60_000_000
	significantDigits = 3
)

// maxInFlight limits the requests in flight; with more than that the machine cannot sustain the load of the scenario.
const maxInFlight = 50_000

// New plans the requests of a rehearsal.
func New(w *standin.Environment) (*Clients, error) {
	arrivals, err := model.Arrivals(w.Scenario.Seed, w.Scenario.LoadConfig())
	if err != nil {
		return nil, err
	}
	c := &Clients{environment: w, arrivals: arrivals, retryPolicy: w.Scenario.RetryPolicy(),
		lateness:  hdrhistogram.New(minMicros, maxMicros, significantDigits),
		latencies: hdrhistogram.New(minMicros, maxMicros, significantDigits)}
	for range w.Scenario.Fleet.Balancers {
		c.targets = append(c.targets, &balancerTarget{})
	}
	return c, nil
}

// PlannedRequests returns the number of planned requests, without client retries.
func (c *Clients) PlannedRequests() int { return len(c.arrivals) }

// BalancerUp sets the address at which a balancer serves. Clients send requests to it from now on.
func (c *Clients) BalancerUp(balancer int, addr string) {
	target := c.targets[balancer]
	target.mu.Lock()
	defer target.mu.Unlock()
	target.stateChanges++
	target.addr, target.up, target.stopping = addr, true, false
}

// BalancerDown marks a balancer that has ended or was ordered to end at once; the requests that it
// loses do not count as its mistake. Clients notice after a delay and send to it until then.
func (c *Clients) BalancerDown(balancer int) {
	target := c.targets[balancer]
	target.mu.Lock()
	defer target.mu.Unlock()
	target.stopping = true
	target.stateChanges++
	stateChanges := target.stateChanges
	time.AfterFunc(c.environment.Scenario.Clients.FailureNoticeDelay.Duration(), func() {
		target.mu.Lock()
		defer target.mu.Unlock()
		if target.stopping && target.stateChanges == stateChanges {
			target.up = false
		}
	})
}

// BalancerDraining marks a balancer that was ordered to end gracefully. Clients stop sending to it after drainNoticeDelay.
func (c *Clients) BalancerDraining(balancer int) {
	target := c.targets[balancer]
	target.mu.Lock()
	defer target.mu.Unlock()
	target.stateChanges++
	stateChanges := target.stateChanges
	time.AfterFunc(drainNoticeDelay, func() {
		target.mu.Lock()
		defer target.mu.Unlock()
		if target.stateChanges == stateChanges {
			target.up = false
		}
	})
}

// drainNoticeDelay is how long clients still send to a balancer that was ordered to end gracefully; clients and balancer are
// notified at the same time.
const drainNoticeDelay = 300 * time.Millisecond

// Run sends the planned requests and returns when the last one has been answered or given up, or earlier when stopped.
func (c *Clients) Run(stop <-chan struct{}) {
	defer c.running.Wait()
	// Sleeps with a system call on a locked thread, because timers of the Go runtime fire up to a millisecond late.
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	for i := range c.arrivals {
		arrival := &c.arrivals[i]
		for wait := arrival.At - c.environment.Now(); wait > 0; wait = arrival.At - c.environment.Now() {
			ts := syscall.NsecToTimespec(int64(min(wait, maxSleep)))
			syscall.Nanosleep(&ts, nil)
			select {
			case <-stop:
				return
			default:
			}
		}
		c.running.Add(1)
		go func() {
			defer c.running.Done()
			c.runRequest(arrival)
		}()
	}
}

// maxSleep limits how long Run takes to notice a stop.
const maxSleep = 100 * time.Millisecond

// runRequest sends one planned request and its client retries until it is fulfilled or the client gives up.
func (c *Clients) runRequest(arrival *model.Arrival) {
	p := &c.environment.Scenario.Products[arrival.Product]
	random := model.NewRand(c.environment.Scenario.Seed, "client "+arrival.ID)
	due := arrival.At
	for sending := 1; ; sending++ {
		req := record.Request{ID: arrival.ID, FirstID: arrival.ID, Try: sending, Tenant: arrival.Tenant, Product: arrival.Product, Key: arrival.Key, DedupToken: arrival.DedupToken, KeyUsedOnce: arrival.KeyUsedOnce,
			ScheduledAt: due, Timeout: due + arrival.Timeout}
		if sending > 1 {
			req.ID = fmt.Sprintf("%s.%d", arrival.ID, sending)
		}
		c.environment.ExpectRequest(req.ID, standin.ExpectedRequest{Key: arrival.Key, Product: arrival.Product, Tenant: arrival.Tenant})
		if c.inFlight.Add(1) > maxInFlight {
			req.NotSent = true
		} else {
			c.sendRequest(&req, arrival.Zone, p.Write)
		}
		c.inFlight.Add(-1)
		c.recordResult(req, due)
		if req.Reply == record.Fulfilled {
			return
		}
		// A retry is harmless if the request was not sent, if it was rate-limited, or if the product is idempotent.
		harmless := req.Reply == record.RateLimited || req.NotSent || p.Effect == scenario.Idempotent
		wait, retry := c.retryPolicy.NextDelay(random, sending, harmless, req.RetryAfter)
		if !retry {
			return
		}
		due = c.environment.Now() + wait
		time.Sleep(wait)
	}
}

// recordResult adds the outcome of one sending to the record and to the tally.
func (c *Clients) recordResult(req record.Request, due time.Duration) {
	c.environment.Record.Add(func() { c.environment.Record.Requests = append(c.environment.Record.Requests, req) })
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tally.Finished++
	switch req.Reply {
	case record.Fulfilled:
		c.tally.Fulfilled++
		c.latencies.RecordValue(min(maxMicros, max(minMicros, (req.Answered-due).Microseconds())))
	case record.RateLimited:
		c.tally.RateLimited++
	case record.Errored:
		c.tally.Errored++
	default:
		c.tally.Lost++
	}
}

// recordLateness records how late a request was sent.
func (c *Clients) recordLateness(due, now time.Duration) {
	c.environment.RecordLateness(due, now)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lateness.RecordValue(min(maxMicros, max(minMicros, (now-due).Microseconds())))
}

// Tally returns the counts so far.
func (c *Clients) Tally() Tally {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tally
}

// Percentiles holds percentiles of a histogram as durations.
type Percentiles struct {
	P50, P90, P99, P999, Max time.Duration
	Count                    int64
}

// PercentilesOf returns the percentiles of a histogram of microseconds.
func PercentilesOf(h *hdrhistogram.Histogram) Percentiles {
	at := func(q float64) time.Duration { return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond }
	return Percentiles{at(50), at(90), at(99), at(99.9), time.Duration(h.Max()) * time.Microsecond, h.TotalCount()}
}

// Latency returns the latencies of fulfilled requests, counted from their scheduled time.
func (c *Clients) Latency() Percentiles {
	c.mu.Lock()
	defer c.mu.Unlock()
	return PercentilesOf(c.latencies)
}

// Lateness returns how late requests were sent.
func (c *Clients) Lateness() Percentiles {
	c.mu.Lock()
	defer c.mu.Unlock()
	return PercentilesOf(c.lateness)
}

// pickBalancer chooses the balancer for a request, in rotation among those believed to be up: first those that its tenant
// uses, then those of the client's zone, then any. If none is up it returns balancer 0.
func (c *Clients) pickBalancer(zone, tenant int) int {
	if allowed := c.environment.Scenario.TenantBalancers(tenant, c.environment.Now()); len(allowed) > 0 {
		n := int(c.roundRobin.Add(1))
		for i := range allowed {
			if b := allowed[(n+i)%len(allowed)]; c.targets[b].isUp() {
				return b
			}
		}
	}
	zones := len(c.environment.Scenario.Fleet.Zones)
	for _, sameZone := range []bool{true, false} {
		n := int(c.roundRobin.Add(1))
		for i := range c.targets {
			b := (n + i) % len(c.targets)
			if (!sameZone || b%zones == zone) && c.targets[b].isUp() {
				return b
			}
		}
	}
	return 0
}

// balancerTarget is one balancer as the clients see it, with their idle connections to it.
type balancerTarget struct {
	mu           sync.Mutex
	addr         string
	up           bool // as far as clients have noticed
	stopping     bool // it ended or was ordered to end at once; its open requests are lost
	stateChanges int
	idle         []*conn // most recently used last
}

// isUp reports whether clients believe that the balancer is up.
func (t *balancerTarget) isUp() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.up
}

// checkout returns an idle connection, or nil if there is none or reuse is false, and the address for a new connection.
func (t *balancerTarget) checkout(reuse bool) (c *conn, addr string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if n := len(t.idle); reuse && n > 0 {
		c, t.idle = t.idle[n-1], t.idle[:n-1]
	}
	return c, t.addr
}

// release returns a connection to the idle ones.
func (t *balancerTarget) release(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.idle = append(t.idle, c)
}

// isStopping reports whether the balancer ended or was ordered to end at once.
func (t *balancerTarget) isStopping() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.stopping
}

// CloseIdle closes the idle connections and records answers that arrived on them unrequested.
func (c *Clients) CloseIdle() {
	for _, target := range c.targets {
		target.mu.Lock()
		idle := target.idle
		target.idle = nil
		target.mu.Unlock()
		for _, conn := range idle {
			conn.net.SetReadDeadline(time.Now().Add(5 * time.Millisecond))
			c.readExtraAnswers(conn)
			conn.net.Close()
		}
	}
}

// readExtraAnswers records answers on a connection that no request waits for.
func (c *Clients) readExtraAnswers(conn *conn) {
	for {
		a, err := conn.read()
		if err != nil {
			return
		}
		c.recordExtraAnswer(a.id)
	}
}

// recordExtraAnswer counts an additional answer to a request that was already answered.
func (c *Clients) recordExtraAnswer(id string) {
	c.environment.Record.Add(func() {
		for i := len(c.environment.Record.Requests) - 1; i >= 0; i-- {
			if req := &c.environment.Record.Requests[i]; req.ID == id {
				req.ExtraAnswers++
				return
			}
		}
	})
}

// dial opens a connection to a balancer.
func dial(addr string, timeout time.Duration) (*conn, error) {
	n, err := net.DialTimeout("tcp", addr, timeout)
	if err != nil {
		return nil, err
	}
	return newConn(n), nil
}
