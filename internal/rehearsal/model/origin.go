package model

import "time"

// OriginConfig configures the origin behind the cache hosts.
type OriginConfig struct {
	Slots            int           // number of requests that it works on at a time
	ServiceTime      time.Duration // mean service time of a request
	Queue            int           // maximum number of waiting requests; further ones are rejected
	OverloadMultiple float64       // it stops when it is offered more than this multiple of its capacity over OverloadWindow; 0: never
	OverloadWindow   time.Duration
	OutageLength     time.Duration // how long it stays stopped
	DedupWindow      time.Duration // how long it deduplicates writes with the same token
	MaxTokens        int           // number of deduplication tokens above which it removes expired ones; 0: 1<<20
}

// Effect is one applied write.
type Effect struct {
	ID, Key, DedupToken string
	At                  time.Duration
	Version             uint64
}

// Origin models the origin, the slow store behind all cache hosts. It is not safe for concurrent use.
type Origin struct {
	config            OriginConfig
	processor         processor
	slowdown          float64
	loadMeter         loadMeter
	loadRecordedUntil time.Duration
	stoppedUntil      time.Duration // end of the current outage
	stops             []Outage
	appliedTokens     map[string]Effect
	versions          map[string]uint64
	effects           []Effect
	stopped           bool
}

// Outage is an outage of the origin caused by overload.
type Outage struct {
	At           time.Duration
	LoadMultiple float64 // offered work as a multiple of its capacity
}

// maxVersionedKeys limits the number of keys whose versions are kept.
const maxVersionedKeys = 1 << 20

// NewOrigin starts an origin.
func NewOrigin(config OriginConfig, now time.Duration) *Origin {
	return &Origin{config: config, slowdown: 1, processor: processor{cores: config.Slots, maxWaiting: config.Queue, rate: 1, now: now}, loadRecordedUntil: now,
		loadMeter: loadMeter{window: config.OverloadWindow, startedAt: now}, appliedTokens: map[string]Effect{}, versions: map[string]uint64{}}
}

// SetSlowdown divides the speed of the origin by a factor; a factor of 1 restores it.
func (g *Origin) SetSlowdown(factor float64) {
	g.slowdown = max(factor, 1e-3)
	g.setRate()
}

func (g *Origin) setRate() {
	g.processor.rate = 1 / g.slowdown
	if g.stopped {
		g.processor.rate = 0
	}
}

// Offer sends a job to the origin at a time up to which Advance has been called. It returns false if the job is rejected, so
// that it never runs.
func (g *Origin) Offer(now time.Duration, j Job) bool {
	g.recordLoad(now, j.WorkTime)
	if g.stopped || !g.processor.hasRoom() {
		return false
	}
	g.processor.add(j)
	return true
}

func (g *Origin) recordLoad(now, work time.Duration) {
	if g.config.OverloadMultiple <= 0 || g.stopped {
		return
	}
	g.loadMeter.add(now, float64(work), float64(now-g.loadRecordedUntil)*float64(g.config.Slots)/g.slowdown)
	g.loadRecordedUntil = now
	if m := g.loadMeter.multiple(now); m > g.config.OverloadMultiple {
		g.stops = append(g.stops, Outage{now, m})
		g.stopped, g.stoppedUntil = true, now+g.config.OutageLength
		g.setRate()
	}
}

// Advance simulates the origin up to a given time and returns the jobs that ended or were lost, in order. The jobs that are
// queued or running when it stops are lost.
func (g *Origin) Advance(now time.Duration) (done []Done) {
	for {
		if g.stopped {
			for _, j := range g.processor.removeAll() {
				done = append(done, Done{Job: j, At: g.stops[len(g.stops)-1].At, Lost: true})
			}
			if now < g.stoppedUntil {
				g.processor.now = max(g.processor.now, now)
				return done
			}
			g.processor.now = max(g.processor.now, g.stoppedUntil)
			g.stopped = false
			g.loadRecordedUntil, g.loadMeter = g.stoppedUntil, loadMeter{window: g.config.OverloadWindow, startedAt: g.stoppedUntil, highest: g.loadMeter.highest,
				slot: int64(g.stoppedUntil) / max(1, int64(g.config.OverloadWindow)/loadMeterSlots)}
			g.setRate()
		}
		until := min(now, g.processor.nextEnd())
		for _, j := range g.processor.advance(max(until, g.processor.now)) {
			done = append(done, g.finish(j))
		}
		if until == now && g.processor.nextEnd() > now {
			g.recordLoad(now, 0)
			return done
		}
	}
}

// finish completes a job. A write whose deduplication token was applied within the window is not applied again.
func (g *Origin) finish(j Job) Done {
	d := Done{Job: j, At: g.processor.now, Version: g.versions[j.Key]}
	if !j.Write {
		return d
	}
	if j.DedupToken != "" {
		if old, ok := g.appliedTokens[j.DedupToken]; ok && d.At-old.At < g.config.DedupWindow {
			d.Version = old.Version
			return d
		}
	}
	if len(g.versions) < maxVersionedKeys { // at the limit versions no longer change; a run uses far fewer keys
		g.versions[j.Key]++
	}
	d.Version = g.versions[j.Key]
	e := Effect{ID: j.ID, Key: j.Key, DedupToken: j.DedupToken, At: d.At, Version: d.Version}
	g.effects = append(g.effects, e)
	if j.DedupToken != "" {
		if len(g.appliedTokens) >= g.maxTokens() {
			g.removeExpiredTokens(d.At)
		}
		g.appliedTokens[j.DedupToken] = e
	}
	return d
}

func (g *Origin) maxTokens() int {
	if g.config.MaxTokens > 0 {
		return g.config.MaxTokens
	}
	return 1 << 20
}

// removeExpiredTokens removes the deduplication tokens whose window has passed.
func (g *Origin) removeExpiredTokens(now time.Duration) {
	for token, e := range g.appliedTokens {
		if now-e.At >= g.config.DedupWindow {
			delete(g.appliedTokens, token)
		}
	}
}

// NextEvent returns the time of the next change that occurs without a further method call.
func (g *Origin) NextEvent() time.Duration {
	if g.stopped {
		return g.stoppedUntil
	}
	return g.processor.nextEnd()
}

// Abandon notifies the origin that the caller no longer waits for a job. It removes a waiting job and returns true if it did.
func (g *Origin) Abandon(id string) bool { return g.processor.removeWaiting(id) }

// Effects returns all applied writes, in order.
func (g *Origin) Effects() []Effect { return g.effects }

// Outages returns the outages caused by overload.
func (g *Origin) Outages() []Outage { return g.stops }

// MaxLoadMultiple returns the highest multiple of its capacity that it was offered over OverloadWindow.
func (g *Origin) MaxLoadMultiple() float64 { return g.loadMeter.highest }

// InFlight returns the number of running and waiting jobs.
func (g *Origin) InFlight() int { return len(g.processor.running) + len(g.processor.waiting) }
