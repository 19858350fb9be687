package model

import (
	"math/rand/v2"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// HostConfig configures a cache host.
type HostConfig struct {
	Cores            int
	Speed            float64       // of each core; a core of speed 1 does one second of work in a second
	Queue            int           // maximum number of waiting jobs; further ones are rejected
	CacheBytes       int64         // limit of the cached values' total size
	ColdCapacity     float64       // fraction of its full capacity that a freshly started host has
	WarmUpTime       time.Duration // time until it has its full capacity; 0: it starts warm
	OverloadMultiple float64       // a cold host offered more than this multiple of its capacity over OverloadWindow fails; 0: never
	OverloadWindow   time.Duration
	PauseInterval    time.Duration // average time between pauses, in which it does no work; 0: no pauses
	PauseLength      time.Duration
	DropsAbandoned   bool    // a job that the caller has given up is removed while it still waits
	MissWorkRatio    float64 // fraction of a read's work that a cache miss takes; 0: all of it
}

// Host models a cache host. It is not safe for concurrent use. The times passed to its methods must not decrease.
type Host struct {
	config            HostConfig
	processor         processor
	cache             *simplelru.LRU[string, cachedValue]
	bytes             int64
	rng               *rand.Rand
	startedAt         time.Duration
	startedCold       bool // it started cold during the run
	slowdown          float64
	stalled           bool
	paused            bool
	pauseChangeAt     time.Duration // when the next pause begins or the current one ends
	warmStepAt        time.Duration // when the warm-up takes its next step
	loadMeter         loadMeter
	failed            bool
	failedAt          time.Duration
	loadRecordedUntil time.Duration // the load meter has the capacity up to this time
	failedMultiple    float64
}

type cachedValue struct {
	version uint64
	size    int
}

// maxCachedValues limits the number of cached values in addition to their total size: for small values the bookkeeping takes
// more memory than the values themselves.
const maxCachedValues = 1 << 20

// warmUpSteps is the number of steps in which a host warms up. Each step is 2% of the warm-up, which changes the capacity
// by less than the variation of the work.
const warmUpSteps = 50

// NewHost starts a host. A cold host has an empty cache and warms up from now on; any other has its full capacity at once.
func NewHost(config HostConfig, now time.Duration, cold bool, rng *rand.Rand) *Host {
	n := &Host{config: config, rng: rng, startedAt: now, startedCold: cold && config.WarmUpTime > 0, slowdown: 1, pauseChangeAt: never, warmStepAt: never,
		processor: processor{cores: config.Cores, maxWaiting: config.Queue, now: now}, loadRecordedUntil: now,
		loadMeter: loadMeter{window: config.OverloadWindow, startedAt: now}}
	n.loadMeter.slot = int64(now) / max(1, int64(config.OverloadWindow)/loadMeterSlots)
	n.cache, _ = simplelru.NewLRU[string, cachedValue](maxCachedValues, func(_ string, k cachedValue) { n.bytes -= int64(k.size) })
	if config.PauseInterval > 0 {
		n.pauseChangeAt = now + n.nextPause()
	}
	if n.startedCold {
		n.warmStepAt = now + config.WarmUpTime/warmUpSteps
	}
	n.setRate()
	return n
}

// nextPause draws the time until the next pause, so that the hosts do not all pause at the same time.
func (n *Host) nextPause() time.Duration {
	return uniform(n.rng, n.config.PauseInterval/2, n.config.PauseInterval*3/2)
}

// Warmth returns the fraction of its full capacity that the host has.
func (n *Host) Warmth(now time.Duration) float64 {
	if !n.Cold(now) {
		return 1
	}
	return n.config.ColdCapacity + (1-n.config.ColdCapacity)*float64(now-n.startedAt)/float64(n.config.WarmUpTime)
}

// Cold reports whether the host is still warming up.
func (n *Host) Cold(now time.Duration) bool {
	return n.startedCold && now-n.startedAt < n.config.WarmUpTime
}

func (n *Host) setRate() {
	n.processor.rate = n.config.Speed * n.Warmth(n.processor.now) / n.slowdown
	if n.stalled || n.paused || n.failed {
		n.processor.rate = 0
	}
}

// capacity returns the work that the host can do per second at a given time. Pauses do not reduce it.
func (n *Host) capacity(now time.Duration) float64 {
	return n.config.Speed * n.Warmth(now) / n.slowdown * float64(n.config.Cores)
}

// recordLoad adds the capacity since its previous use and the newly offered work to the load meter. It marks a cold host as failed
// when the load is above OverloadMultiple.
func (n *Host) recordLoad(now, work time.Duration) {
	if !n.startedCold || n.failed || n.config.OverloadMultiple <= 0 {
		return
	}
	n.loadMeter.add(now, float64(work), n.capacity(now)*float64(now-n.loadRecordedUntil))
	n.loadRecordedUntil = now
	if n.Cold(now) && n.loadMeter.multiple(now) > n.config.OverloadMultiple {
		n.failed, n.failedAt, n.failedMultiple = true, now, n.loadMeter.multiple(now)
	}
}

// Offer sends a job to the host at a time up to which Advance has been called. It returns false if the queue is full or the host
// has failed.
func (n *Host) Offer(now time.Duration, j Job) bool {
	n.recordLoad(now, j.WorkTime)
	if n.failed || !n.processor.hasRoom() {
		return false
	}
	if n.config.MissWorkRatio > 0 && !j.Write && j.Key != "" && !n.cache.Contains(j.Key) {
		j.WorkTime = time.Duration(float64(j.WorkTime) * n.config.MissWorkRatio)
	}
	n.processor.add(j)
	return true
}

// Advance simulates the host up to a given time and returns the jobs that ended or were lost, in order.
func (n *Host) Advance(now time.Duration) (done []Done) {
	for {
		if n.failed {
			n.processor.now = max(n.processor.now, now)
			for _, j := range n.processor.removeAll() {
				done = append(done, Done{Job: j, At: n.failedAt, Lost: true})
			}
			return done
		}
		change := min(n.pauseChangeAt, n.warmStepAt)
		until := min(now, change, n.processor.nextEnd())
		for _, j := range n.processor.advance(max(until, n.processor.now)) {
			done = append(done, n.finish(j))
		}
		if until == change {
			n.applyChange(change)
		} else if until == now && n.processor.nextEnd() > now {
			n.recordLoad(now, 0)
			if !n.failed {
				return done
			}
		}
	}
}

func (n *Host) finish(j Job) Done {
	d := Done{Job: j, At: n.processor.now}
	if k, ok := n.cache.Get(j.Key); ok && !j.Write {
		d.Hit, d.Version, d.Size = true, k.version, k.size
	}
	return d
}

// applyChange begins or ends a pause, takes a step of the warm-up, or both.
func (n *Host) applyChange(at time.Duration) {
	if at == n.warmStepAt {
		n.warmStepAt = at + n.config.WarmUpTime/warmUpSteps
		if !n.Cold(at) {
			n.warmStepAt = never
		}
	}
	if at == n.pauseChangeAt {
		n.paused = !n.paused
		n.pauseChangeAt = at + n.nextPause()
		if n.paused {
			n.pauseChangeAt = at + uniform(n.rng, n.config.PauseLength/2, n.config.PauseLength*3/2)
		}
	}
	n.setRate()
}

// NextEvent returns the time of the next change that occurs without a further method call.
func (n *Host) NextEvent() time.Duration {
	if n.failed {
		return never
	}
	due := n.processor.nextEnd()
	if len(n.processor.running) > 0 { // without running jobs a change of the rate affects nothing
		due = min(due, n.pauseChangeAt, n.warmStepAt)
	}
	return due
}

// Abandon notifies the host that the caller no longer waits for a job. It returns true if that removed the job.
func (n *Host) Abandon(id string) bool {
	return n.config.DropsAbandoned && n.processor.removeWaiting(id)
}

// CacheValue caches a value, unless a newer version is cached.
func (n *Host) CacheValue(key string, version uint64, size int) {
	if old, ok := n.cache.Peek(key); ok {
		if old.version > version {
			return
		}
		n.cache.Remove(key)
	}
	n.bytes += int64(size)
	n.cache.Add(key, cachedValue{version, size})
	for n.bytes > n.config.CacheBytes && n.cache.Len() > 0 {
		n.cache.RemoveOldest()
	}
}

// Invalidate removes the cached value of a key if it is older than a version.
func (n *Host) Invalidate(key string, version uint64) {
	if old, ok := n.cache.Peek(key); ok && old.version < version {
		n.cache.Remove(key)
	}
}

// SetSlowdown divides the speed of the host by a factor, from the time up to which Advance has been called; a factor of 1
// restores it.
func (n *Host) SetSlowdown(factor float64) {
	n.slowdown = max(factor, 1e-3)
	n.setRate()
}

// SetStalled makes the host accept jobs without working on any, or ends that.
func (n *Host) SetStalled(on bool) {
	n.stalled = on
	n.setRate()
}

// OverloadFailure reports whether the host failed from overload while it was cold, when, and the multiple of its capacity that it
// was offered.
func (n *Host) OverloadFailure() (at time.Duration, multiple float64, failed bool) {
	return n.failedAt, n.failedMultiple, n.failed
}

// MaxLoadMultiple returns the highest multiple of its capacity that the host was offered over OverloadWindow while it was cold.
func (n *Host) MaxLoadMultiple() float64 { return n.loadMeter.highest }

// Load is the load that a host reports.
type Load struct {
	InFlight, Queue int
	Utilization     float64 // fraction of the cores that are busy
}

// Load returns the current load.
func (n *Host) Load() Load {
	return Load{InFlight: len(n.processor.running) + len(n.processor.waiting), Queue: len(n.processor.waiting),
		Utilization: float64(len(n.processor.running)) / float64(max(1, n.config.Cores))}
}

// BusyTime returns the core time that the host has spent on jobs.
func (n *Host) BusyTime() time.Duration { return n.processor.busyTime }
