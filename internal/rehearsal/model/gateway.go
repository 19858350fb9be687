package model

import "time"

// GatewayTerms is what the gateway behind the cache nodes is.
type GatewayTerms struct {
	Slots        int           // calls that it works on at a time
	Time         time.Duration // mean of one
	Queue        int           // that wait; more are turned away
	FallMultiple float64       // times what it can do, sent for FallFor, stop it; 0: never
	FallFor      time.Duration
	StopFor      time.Duration // how long it then does nothing
	Window       time.Duration // repeats of a mark are known for so long
	SeenMost     int           // marks and writes that it remembers; 0: 1<<20
}

// Effect is one write that was applied.
type Effect struct {
	ID, Key, Mark string
	At            time.Duration
	Version       uint64
}

// Gateway is the slow store behind all cache nodes. It is not safe for concurrent use.
type Gateway struct {
	terms   GatewayTerms
	engine  engine
	slow    float64
	strain  strain
	counted time.Duration
	until   time.Duration // it does nothing before
	stops   []Stop
	marks   map[string]Effect
	version map[string]uint64
	effects []Effect
	stopped bool
}

// Stop is a time in which the gateway did nothing, because it was sent too much.
type Stop struct {
	At       time.Duration
	Multiple float64 // of what it could do
}

const versionsMost = 1 << 20

// NewGateway starts a gateway.
func NewGateway(terms GatewayTerms, now time.Duration) *Gateway {
	return &Gateway{terms: terms, slow: 1, engine: engine{cores: terms.Slots, most: terms.Queue, rate: 1, now: now}, counted: now,
		strain: strain{span: terms.FallFor, since: now}, marks: map[string]Effect{}, version: map[string]uint64{}}
}

// Slow makes the gateway so many times slower; 1 ends that.
func (g *Gateway) Slow(times float64) {
	g.slow = max(times, 1e-3)
	g.setRate()
}

func (g *Gateway) setRate() {
	g.engine.rate = 1 / g.slow
	if g.stopped {
		g.engine.rate = 0
	}
}

// Offer sends a job at a moment to which Advance has been called. False: it never ran.
func (g *Gateway) Offer(now time.Duration, j Job) bool {
	g.weigh(now, j.Work)
	if g.stopped || !g.engine.room() {
		return false
	}
	g.engine.take(j)
	return true
}

func (g *Gateway) weigh(now, work time.Duration) {
	if g.terms.FallMultiple <= 0 || g.stopped {
		return
	}
	g.strain.add(now, float64(work), float64(now-g.counted)*float64(g.terms.Slots)/g.slow)
	g.counted = now
	if m := g.strain.multiple(now); m > g.terms.FallMultiple {
		g.stops = append(g.stops, Stop{now, m})
		g.stopped, g.until = true, now+g.terms.StopFor
		g.setRate()
	}
}

// Advance plays the gateway up to a moment and returns what has left it, in order. What it held when it stopped is lost.
func (g *Gateway) Advance(now time.Duration) (done []Done) {
	for {
		if g.stopped {
			for _, j := range g.engine.empty() {
				done = append(done, Done{Job: j, At: g.stops[len(g.stops)-1].At, Lost: true})
			}
			if now < g.until {
				g.engine.now = max(g.engine.now, now)
				return done
			}
			g.engine.now = max(g.engine.now, g.until)
			g.stopped = false
			g.counted, g.strain = g.until, strain{span: g.terms.FallFor, since: g.until, highest: g.strain.highest,
				turn: int64(g.until) / max(1, int64(g.terms.FallFor)/strainSlots)}
			g.setRate()
		}
		to := min(now, g.engine.next())
		for _, j := range g.engine.step(max(to, g.engine.now)) {
			done = append(done, g.finish(j))
		}
		if to == now && g.engine.next() > now {
			g.weigh(now, 0)
			return done
		}
	}
}

// finish applies a write once for each mark that is remembered.
func (g *Gateway) finish(j Job) Done {
	d := Done{Job: j, At: g.engine.now, Version: g.version[j.Key]}
	if !j.Write {
		return d
	}
	if j.Mark != "" {
		if old, ok := g.marks[j.Mark]; ok && d.At-old.At < g.terms.Window {
			d.Version = old.Version
			return d
		}
	}
	if len(g.version) < versionsMost { // past that, versions stand still: a day of the kit has far fewer keys
		g.version[j.Key]++
	}
	d.Version = g.version[j.Key]
	e := Effect{ID: j.ID, Key: j.Key, Mark: j.Mark, At: d.At, Version: d.Version}
	g.effects = append(g.effects, e)
	if j.Mark != "" {
		if len(g.marks) >= g.most() {
			g.forget(d.At)
		}
		g.marks[j.Mark] = e
	}
	return d
}

func (g *Gateway) most() int {
	if g.terms.SeenMost > 0 {
		return g.terms.SeenMost
	}
	return 1 << 20
}

// forget drops marks that are past their window.
func (g *Gateway) forget(now time.Duration) {
	for m, e := range g.marks {
		if now-e.At >= g.terms.Window {
			delete(g.marks, m)
		}
	}
}

// Due is the next moment at which something happens by itself.
func (g *Gateway) Due() time.Duration {
	if g.stopped {
		return g.until
	}
	return g.engine.next()
}

// GiveUp hears that the caller of a job has left; a waiting one is dropped.
func (g *Gateway) GiveUp(id string) bool { return g.engine.drop(id) }

// Effects are all writes that were applied, in order.
func (g *Gateway) Effects() []Effect { return g.effects }

// Stops are the times at which it was sent too much.
func (g *Gateway) Stops() []Stop { return g.stops }

// Strain is the highest multiple of what it could do that it was sent over its span.
func (g *Gateway) Strain() float64 { return g.strain.highest }

// InFlight is the number of jobs in hand.
func (g *Gateway) InFlight() int { return len(g.engine.running) + len(g.engine.waiting) }
