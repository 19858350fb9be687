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
	w        *standin.World
	arrivals []model.Arrival
	retry    model.Retry
	fronts   []*front // by balancer

	wait   sync.WaitGroup
	turn   atomic.Uint32
	inHand atomic.Int64

	mu        sync.Mutex
	lateness  *hdrhistogram.Histogram // of sends, microseconds
	latencies *hdrhistogram.Histogram // of fulfilled calls from when they were due, microseconds
	tallies   Tally
}

// Tally counts what became of calls so far.
type Tally struct {
	Due, Fulfilled, RateLimited, Errored, Lost int
}

// The histograms hold 1 microsecond to a minute with three digits.
const (
	leastMicros = 1
	mostMicros  = 60_000_000
	digits      = 3
)

// mostInHand bounds the calls that are out at a time: beyond it the machine cannot carry the day.
const mostInHand = 50_000

// New plans a day's calls.
func New(w *standin.World) (*Callers, error) {
	arrivals, err := model.Arrivals(w.Day.Seed, w.Day.LoadTerms())
	if err != nil {
		return nil, err
	}
	c := &Callers{w: w, arrivals: arrivals, retry: w.Day.Retry(),
		lateness:  hdrhistogram.New(leastMicros, mostMicros, digits),
		latencies: hdrhistogram.New(leastMicros, mostMicros, digits)}
	for range w.Day.Fleet.Balancers {
		c.fronts = append(c.fronts, &front{})
	}
	return c, nil
}

// Planned is the number of calls without further tries.
func (c *Callers) Planned() int { return len(c.arrivals) }

// Up tells where a balancer serves; the front deals calls to it from now on.
func (c *Callers) Up(balancer int, addr string) {
	f := c.fronts[balancer]
	f.mu.Lock()
	defer f.mu.Unlock()
	f.round++
	f.addr, f.up, f.ending = addr, true, false
}

// Down tells that a balancer has ended, or was told to end at once, which excuses what it holds. The front notices
// later, and sends to it until then.
func (c *Callers) Down(balancer int) {
	f := c.fronts[balancer]
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ending = true
	f.round++
	round := f.round
	time.AfterFunc(c.w.Day.Clients.Notice.Duration(), func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.ending && f.round == round {
			f.up = false
		}
	})
}

// Leaves tells that a balancer was told to end in order: the front deals it no more calls after a moment.
func (c *Callers) Leaves(balancer int) {
	f := c.fronts[balancer]
	f.mu.Lock()
	defer f.mu.Unlock()
	f.round++
	round := f.round
	time.AfterFunc(leavesIn, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.round == round {
			f.up = false
		}
	})
}

// leavesIn is how long a front deals to a balancer that was told to end: it hears of that itself at the same time.
const leavesIn = 300 * time.Millisecond

// Play makes the day's calls and returns when the last has its answer or has been given up.
func (c *Callers) Play(stop <-chan struct{}) {
	defer c.wait.Wait()
	// On a thread of its own that the system wakes: the runtime's timers are up to a millisecond late.
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	for i := range c.arrivals {
		a := &c.arrivals[i]
		for wait := a.At - c.w.Now(); wait > 0; wait = a.At - c.w.Now() {
			ts := syscall.NsecToTimespec(int64(min(wait, sleepMost)))
			syscall.Nanosleep(&ts, nil)
			select {
			case <-stop:
				return
			default:
			}
		}
		c.wait.Add(1)
		go func() {
			defer c.wait.Done()
			c.live(a)
		}()
	}
}

// sleepMost bounds how long an order to stop goes unheard.
const sleepMost = 100 * time.Millisecond

// live is the life of one request of a client, with all its tries.
func (c *Callers) live(a *model.Arrival) {
	p := &c.w.Day.Products[a.Product]
	chance := model.Stream(c.w.Day.Seed, "client "+a.ID)
	due := a.At
	for try := 1; ; try++ {
		k := record.Call{ID: a.ID, Base: a.ID, Try: try, Tenant: a.Tenant, Product: a.Product, Key: a.Key, Mark: a.Mark, Once: a.Once,
			Due: due, Timeout: due + a.Patience}
		if try > 1 {
			k.ID = fmt.Sprintf("%s.%d", a.ID, try)
		}
		c.w.Sent(k.ID, standin.Want{Key: a.Key, Product: a.Product, Tenant: a.Tenant})
		if c.inHand.Add(1) > mostInHand {
			k.NotTaken = true
		} else {
			c.try(&k, a.Zone, p.Write)
		}
		c.inHand.Add(-1)
		c.note(k, due)
		if k.Reply == record.Fulfilled {
			return
		}
		// Of what a balancer never took, and of what it rate-limited, a further try is harmless; reads are always.
		harmless := k.Reply == record.RateLimited || k.NotTaken || p.Effect == scenario.Idempotent
		wait, again := c.retry.Next(chance, try, harmless, k.ComeBack)
		if !again {
			return
		}
		due = c.w.Now() + wait
		time.Sleep(wait)
	}
}

// note takes a try into the record.
func (c *Callers) note(k record.Call, due time.Duration) {
	c.w.Rec.Add(func() { c.w.Rec.Calls = append(c.w.Rec.Calls, k) })
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tallies.Due++
	switch k.Reply {
	case record.Fulfilled:
		c.tallies.Fulfilled++
		c.latencies.RecordValue(min(mostMicros, max(leastMicros, (k.Answered-due).Microseconds())))
	case record.RateLimited:
		c.tallies.RateLimited++
	case record.Errored:
		c.tallies.Errored++
	default:
		c.tallies.Lost++
	}
}

// late notes how late a call was sent.
func (c *Callers) late(due, now time.Duration) {
	c.w.Late(due, now)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lateness.RecordValue(min(mostMicros, max(leastMicros, (now-due).Microseconds())))
}

// Tally counts so far.
func (c *Callers) Tally() Tally {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tallies
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

// pick finds the balancer for a call: those that its tenant uses, or else of its zone, in turn; else any that the front holds for
// alive.
func (c *Callers) pick(zone, tenant int) int {
	if use := c.w.Day.TenantAt(tenant, c.w.Now()); len(use) > 0 {
		n := int(c.turn.Add(1))
		for i := range use {
			if b := use[(n+i)%len(use)]; c.fronts[b].alive() {
				return b
			}
		}
	}
	zones := len(c.w.Day.Fleet.Zones)
	for _, own := range []bool{true, false} {
		n := int(c.turn.Add(1))
		for i := range c.fronts {
			b := (n + i) % len(c.fronts)
			if (!own || b%zones == zone) && c.fronts[b].alive() {
				return b
			}
		}
	}
	return 0
}

// front holds the connections to one balancer.
type front struct {
	mu     sync.Mutex
	addr   string
	up     bool // as far as the front has noticed
	ending bool // it was told to end: what it holds is lost with it
	round  int
	rest   []*conn // the last used one last
}

func (f *front) alive() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.up
}

// take hands out a connection that rests, nil where there is none or none is wanted, and the address for a new one.
func (f *front) take(rested bool) (c *conn, addr string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n := len(f.rest); rested && n > 0 {
		c, f.rest = f.rest[n-1], f.rest[:n-1]
	}
	return c, f.addr
}

func (f *front) give(c *conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rest = append(f.rest, c)
}

func (f *front) ends() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ending
}

// Rest closes the connections that rest, and notes what came on them unasked.
func (c *Callers) Rest() {
	for _, f := range c.fronts {
		f.mu.Lock()
		rest := f.rest
		f.rest = nil
		f.mu.Unlock()
		for _, k := range rest {
			k.net.SetReadDeadline(time.Now().Add(5 * time.Millisecond))
			c.extra(k)
			k.net.Close()
		}
	}
}

// extra notes answers on a connection that nobody waits for.
func (c *Callers) extra(k *conn) {
	for {
		a, err := k.read()
		if err != nil {
			return
		}
		c.again(a.id)
	}
}

// again notes one more answer to a call that has its own.
func (c *Callers) again(id string) {
	c.w.Rec.Add(func() {
		for i := len(c.w.Rec.Calls) - 1; i >= 0; i-- {
			if k := &c.w.Rec.Calls[i]; k.ID == id {
				k.Extra++
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
