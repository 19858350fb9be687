// Package load plays the callers of a rehearsal: an open loop of requests that does not wait for answers, over
// connections that are kept, with clients that give up, try again and come back when they are told to.
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

// Callers are all clients of a day.
type Callers struct {
	world       *standin.World
	arrivals    []model.Arrival
	retryPolicy model.Retry
	targets     []*balancerTarget // by balancer

	running    sync.WaitGroup
	roundRobin atomic.Uint32
	inFlight   atomic.Int64

	mu        sync.Mutex
	lateness  *hdrhistogram.Histogram // of sends, microseconds
	latencies *hdrhistogram.Histogram // of fulfilled calls from when they were due, microseconds
	tally     Tally
}

// Tally counts what became of calls so far.
type Tally struct {
	Due, Fulfilled, RateLimited, Errored, Lost int
}

// The histograms hold 1 microsecond to a minute with three digits.
const (
	minMicros         = 1
	maxMicros         = 60_000_000
	significantDigits = 3
)

// maxInFlight bounds the calls that are out at a time: beyond it the machine cannot carry the day.
const maxInFlight = 50_000

// New plans a day's calls.
func New(w *standin.World) (*Callers, error) {
	arrivals, err := model.Arrivals(w.Day.Seed, w.Day.LoadTerms())
	if err != nil {
		return nil, err
	}
	c := &Callers{world: w, arrivals: arrivals, retryPolicy: w.Day.Retry(),
		lateness:  hdrhistogram.New(minMicros, maxMicros, significantDigits),
		latencies: hdrhistogram.New(minMicros, maxMicros, significantDigits)}
	for range w.Day.Fleet.Balancers {
		c.targets = append(c.targets, &balancerTarget{})
	}
	return c, nil
}

// Planned is the number of calls without further tries.
func (c *Callers) Planned() int { return len(c.arrivals) }

// Up tells where a balancer serves; the front deals calls to it from now on.
func (c *Callers) Up(balancer int, addr string) {
	target := c.targets[balancer]
	target.mu.Lock()
	defer target.mu.Unlock()
	target.stateChanges++
	target.addr, target.up, target.stopping = addr, true, false
}

// Down tells that a balancer has ended, or was told to end at once, which excuses what it holds. The front notices
// later, and sends to it until then.
func (c *Callers) Down(balancer int) {
	target := c.targets[balancer]
	target.mu.Lock()
	defer target.mu.Unlock()
	target.stopping = true
	target.stateChanges++
	stateChanges := target.stateChanges
	time.AfterFunc(c.world.Day.Clients.Notice.D(), func() {
		target.mu.Lock()
		defer target.mu.Unlock()
		if target.stopping && target.stateChanges == stateChanges {
			target.up = false
		}
	})
}

// Leaves tells that a balancer was told to end in order: the front deals it no more calls after a moment.
func (c *Callers) Leaves(balancer int) {
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

// drainNoticeDelay is how long a front deals to a balancer that was told to end: it hears of that itself at the same time.
const drainNoticeDelay = 300 * time.Millisecond

// Play makes the day's calls and returns when the last has its answer or has been given up.
func (c *Callers) Play(stop <-chan struct{}) {
	defer c.running.Wait()
	// On a thread of its own that the system wakes: the runtime's timers are up to a millisecond late.
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	for i := range c.arrivals {
		arrival := &c.arrivals[i]
		for wait := arrival.At - c.world.Now(); wait > 0; wait = arrival.At - c.world.Now() {
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

// maxSleep bounds how long an order to stop goes unheard.
const maxSleep = 100 * time.Millisecond

// runRequest is the life of one request of a client, with all its tries.
func (c *Callers) runRequest(arrival *model.Arrival) {
	p := &c.world.Day.Products[arrival.Product]
	random := model.Stream(c.world.Day.Seed, "client "+arrival.ID)
	due := arrival.At
	for try := 1; ; try++ {
		req := record.Call{ID: arrival.ID, Base: arrival.ID, Try: try, Tenant: arrival.Tenant, Product: arrival.Product, Key: arrival.Key, Mark: arrival.Mark, Once: arrival.Once,
			Due: due, Timeout: due + arrival.Patience}
		if try > 1 {
			req.ID = fmt.Sprintf("%s.%d", arrival.ID, try)
		}
		c.world.Sent(req.ID, standin.Want{Key: arrival.Key, Product: arrival.Product, Tenant: arrival.Tenant})
		if c.inFlight.Add(1) > maxInFlight {
			req.NotTaken = true
		} else {
			c.sendRequest(&req, arrival.Zone, p.Write)
		}
		c.inFlight.Add(-1)
		c.recordResult(req, due)
		if req.Reply == record.Fulfilled {
			return
		}
		// Of what a balancer never took, and of what it rate-limited, a further try is harmless; reads are always.
		harmless := req.Reply == record.RateLimited || req.NotTaken || p.Effect == scenario.Idempotent
		wait, retry := c.retryPolicy.Next(random, try, harmless, req.ComeBack)
		if !retry {
			return
		}
		due = c.world.Now() + wait
		time.Sleep(wait)
	}
}

// recordResult takes a try into the record.
func (c *Callers) recordResult(req record.Call, due time.Duration) {
	c.world.Rec.Add(func() { c.world.Rec.Calls = append(c.world.Rec.Calls, req) })
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tally.Due++
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

// recordLateness notes how late a call was sent.
func (c *Callers) recordLateness(due, now time.Duration) {
	c.world.Late(due, now)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lateness.RecordValue(min(maxMicros, max(minMicros, (now-due).Microseconds())))
}

// Tally counts so far.
func (c *Callers) Tally() Tally {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tally
}

// Percentiles of a histogram, as times.
type Percentiles struct {
	P50, P90, P99, P999, Max time.Duration
	Count                    int64
}

// PercentilesOf reads them off a histogram of microseconds.
func PercentilesOf(h *hdrhistogram.Histogram) Percentiles {
	at := func(q float64) time.Duration { return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond }
	return Percentiles{at(50), at(90), at(99), at(99.9), time.Duration(h.Max()) * time.Microsecond, h.TotalCount()}
}

// Latency is that of fulfilled calls, from when they were due.
func (c *Callers) Latency() Percentiles {
	c.mu.Lock()
	defer c.mu.Unlock()
	return PercentilesOf(c.latencies)
}

// Lateness is by how much calls were sent late.
func (c *Callers) Lateness() Percentiles {
	c.mu.Lock()
	defer c.mu.Unlock()
	return PercentilesOf(c.lateness)
}

// pickBalancer finds the balancer for a call: those that its tenant uses, or else of its zone, in turn; else any that the front holds for
// alive.
func (c *Callers) pickBalancer(zone, tenant int) int {
	if allowed := c.world.Day.TenantAt(tenant, c.world.Now()); len(allowed) > 0 {
		n := int(c.roundRobin.Add(1))
		for i := range allowed {
			if b := allowed[(n+i)%len(allowed)]; c.targets[b].isUp() {
				return b
			}
		}
	}
	zones := len(c.world.Day.Fleet.Zones)
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

// balancerTarget holds the connections to one balancer.
type balancerTarget struct {
	mu           sync.Mutex
	addr         string
	up           bool // as far as the front has noticed
	stopping     bool // it was told to end: what it holds is lost with it
	stateChanges int
	idle         []*conn // the last used one last
}

func (f *balancerTarget) isUp() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.up
}

// checkout hands out a connection that rests, nil where there is none or none is wanted, and the address for a new one.
func (f *balancerTarget) checkout(reuse bool) (c *conn, addr string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n := len(f.idle); reuse && n > 0 {
		c, f.idle = f.idle[n-1], f.idle[:n-1]
	}
	return c, f.addr
}

func (f *balancerTarget) release(c *conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.idle = append(f.idle, c)
}

func (f *balancerTarget) isStopping() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stopping
}

// Rest closes the connections that rest, and notes what came on them unasked.
func (c *Callers) Rest() {
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

// readExtraAnswers notes answers on a connection that nobody waits for.
func (c *Callers) readExtraAnswers(conn *conn) {
	for {
		a, err := conn.read()
		if err != nil {
			return
		}
		c.recordExtraAnswer(a.id)
	}
}

// recordExtraAnswer notes one more answer to a call that has its own.
func (c *Callers) recordExtraAnswer(id string) {
	c.world.Rec.Add(func() {
		for i := len(c.world.Rec.Calls) - 1; i >= 0; i-- {
			if req := &c.world.Rec.Calls[i]; req.ID == id {
				req.Extra++
				return
			}
		}
	})
}

func dial(addr string, timeout time.Duration) (*conn, error) {
	n, err := net.DialTimeout("tcp", addr, timeout)
	if err != nil {
		return nil, err
	}
	return newConn(n), nil
}
