// Package model holds the models that the rehearsals run against: cache hosts, the origin behind them, the discovery service,
// the clients and the network links between balancers. The models use no sockets, clocks or goroutines and no global random
// numbers: callers pass in times, counted from the start of the run, and seeded generators. The stand-ins on sockets and the
// simulation in virtual time share these models.
package model

import (
	"math"
	"slices"
	"time"
)

// never is a time later than any event of a run.
const never = time.Duration(math.MaxInt64)

// Job is one unit of work at a cache host or the origin.
type Job struct {
	ID         string        // of the request that it belongs to; "" for work without a caller that waits for it
	Key        string        // the key that it reads or writes
	DedupToken string        // deduplication token of a deduplicated write
	Write      bool          // whether it has an effect
	WorkTime   time.Duration // time that it takes on a core of speed 1
	Tag        any           // data of the caller, returned in Done
}

// Done is a job that a cache host or the origin has ended or lost.
type Done struct {
	Job
	At   time.Duration
	Lost bool // the server failed or stopped before the job ended
	Hit  bool // the key was cached; of reads at a cache host
	// Version of the key that a read found or that is current after a write.
	Version uint64
	Size    int // length in bytes of the value that a read found
}

// processor models a set of equal cores behind one queue. Its rate, the work that a core does per unit of time, is constant
// between changes, so the remaining work of each job is known exactly at each change.
type processor struct {
	cores      int
	maxWaiting int // maximum number of waiting jobs
	rate       float64
	now        time.Duration
	running    []runningJob
	waiting    []Job
	busyTime   time.Duration // total core time spent on jobs
}

type runningJob struct {
	Job
	remaining float64 // nanoseconds of work
}

// hasRoom reports whether one more job can be accepted.
func (p *processor) hasRoom() bool { return len(p.running) < p.cores || len(p.waiting) < p.maxWaiting }

// add adds a job at the processor's current time.
func (p *processor) add(j Job) {
	if len(p.running) < p.cores {
		p.running = append(p.running, runningJob{j, float64(j.WorkTime)})
		return
	}
	p.waiting = append(p.waiting, j)
}

// nextEnd returns when the first of the running jobs ends at the current rate.
func (p *processor) nextEnd() time.Duration {
	if len(p.running) == 0 || p.rate <= 0 {
		return never
	}
	shortest := p.running[0].remaining
	for _, r := range p.running[1:] {
		shortest = min(shortest, r.remaining)
	}
	// Rounded up: a time slightly too early would leave a remainder of work that never becomes zero.
	return p.now + time.Duration(math.Ceil(shortest/p.rate))
}

// advance moves on to a given time, at most that of nextEnd, and returns the jobs that end there.
func (p *processor) advance(until time.Duration) (ended []Job) {
	if until <= p.now && p.nextEnd() > until {
		return nil
	}
	elapsed := until - p.now
	p.now = until
	workDone := float64(elapsed) * p.rate
	p.busyTime += elapsed * time.Duration(len(p.running))
	for i := 0; i < len(p.running); {
		r := &p.running[i]
		if r.remaining -= workDone; r.remaining >= 1 {
			i++
			continue
		}
		ended = append(ended, r.Job)
		p.running = slices.Delete(p.running, i, i+1)
	}
	for len(p.running) < p.cores && len(p.waiting) > 0 {
		j := p.waiting[0]
		p.waiting = slices.Delete(p.waiting, 0, 1)
		p.running = append(p.running, runningJob{j, float64(j.WorkTime)})
	}
	return ended
}

// removeWaiting removes a waiting job. It returns false if the job runs already or is unknown.
func (p *processor) removeWaiting(id string) bool {
	i := slices.IndexFunc(p.waiting, func(j Job) bool { return j.ID == id })
	if i < 0 {
		return false
	}
	p.waiting = slices.Delete(p.waiting, i, i+1)
	return true
}

// removeAll removes all jobs and returns them.
func (p *processor) removeAll() (jobs []Job) {
	for _, r := range p.running {
		jobs = append(jobs, r.Job)
	}
	jobs = append(jobs, p.waiting...)
	p.running, p.waiting = nil, nil
	return jobs
}

// loadMeter compares the work offered to a server with its capacity, over a sliding window that moves in steps.
type loadMeter struct {
	window    time.Duration
	slots     [loadMeterSlots]struct{ offered, capacity float64 }
	slot      int64
	startedAt time.Duration // start of the measurement
	highest   float64
}

// loadMeterSlots is the number of steps per window. An eighth of the window is precise enough for reports with a resolution of
// seconds.
const loadMeterSlots = 8

// add records newly offered work and the capacity since its previous use.
func (m *loadMeter) add(now time.Duration, offered, capacity float64) {
	if m.window <= 0 {
		return
	}
	slot := int64(now) / max(1, int64(m.window)/loadMeterSlots)
	if slot-m.slot >= loadMeterSlots {
		clear(m.slots[:])
	} else {
		for k := m.slot + 1; k <= slot; k++ {
			m.slots[k%loadMeterSlots] = struct{ offered, capacity float64 }{}
		}
	}
	m.slot = max(m.slot, slot)
	m.slots[slot%loadMeterSlots].offered += offered
	m.slots[slot%loadMeterSlots].capacity += capacity
}

// multiple returns the offered work divided by the capacity, over the window; 0 until one full window has passed.
func (m *loadMeter) multiple(now time.Duration) float64 {
	if m.window <= 0 || now-m.startedAt < m.window {
		return 0
	}
	var offered, capacity float64
	for _, x := range m.slots {
		offered += x.offered
		capacity += x.capacity
	}
	if capacity <= 0 {
		return 0
	}
	m.highest = max(m.highest, offered/capacity)
	return offered / capacity
}
