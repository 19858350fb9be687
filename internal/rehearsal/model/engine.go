// Package model holds the rehearsal kit's world without sockets: cache nodes, the gateway behind them, the register
// and the callers. Nothing here keeps a clock, starts a goroutine or draws chance of its own: moments, counted from
// the start of the day, and seeds come in. The socket stand-ins and a simulation in virtual time play the same models.
package model

import (
	"math"
	"slices"
	"time"
)

// never is a moment that does not come.
const never = time.Duration(math.MaxInt64)

// Job is one piece of work at a server.
type Job struct {
	ID    string        // of the request whose attempt it is; "" for work that nobody waits for
	Key   string        // that it reads or writes
	Mark  string        // against repeats, of a deduplicated write
	Write bool          // it has an effect
	Work  time.Duration // on a core of speed 1
	Tag   any           // the caller's own, handed back
}

// Done is a job that has left a server.
type Done struct {
	Job
	At   time.Duration
	Lost bool // the server fell over or stopped with it
	Hit  bool // a read found its key
	// Version of the key that a read found or a write left.
	Version uint64
	Size    int // bytes of the value that a read found
}

// engine is a set of equal cores behind one queue. Its rate, the work that a core does in a unit of time, is constant
// between changes, so that what is left of a job is known exactly at each of them.
type engine struct {
	cores   int
	most    int // jobs that may wait
	rate    float64
	now     time.Duration
	running []running
	waiting []Job
	busy    time.Duration // core time spent at work
}

type running struct {
	Job
	left float64 // nanoseconds of work
}

// room tells whether one more job can be taken.
func (e *engine) room() bool { return len(e.running) < e.cores || len(e.waiting) < e.most }

// take adds a job at the engine's present moment.
func (e *engine) take(j Job) {
	if len(e.running) < e.cores {
		e.running = append(e.running, running{j, float64(j.Work)})
		return
	}
	e.waiting = append(e.waiting, j)
}

// next is when the first of the running jobs ends at the present rate.
func (e *engine) next() time.Duration {
	if len(e.running) == 0 || e.rate <= 0 {
		return never
	}
	least := e.running[0].left
	for _, r := range e.running[1:] {
		least = min(least, r.left)
	}
	// Rounded up: a moment too early would leave a rest that never becomes zero.
	return e.now + time.Duration(math.Ceil(least/e.rate))
}

// step goes on to a moment that is not behind the next end, and returns what ends there.
func (e *engine) step(to time.Duration) (ended []Job) {
	if to <= e.now && e.next() > to {
		return nil
	}
	past := to - e.now
	e.now = to
	done := float64(past) * e.rate
	e.busy += past * time.Duration(len(e.running))
	for i := 0; i < len(e.running); {
		r := &e.running[i]
		if r.left -= done; r.left >= 1 {
			i++
			continue
		}
		ended = append(ended, r.Job)
		e.running = slices.Delete(e.running, i, i+1)
	}
	for len(e.running) < e.cores && len(e.waiting) > 0 {
		j := e.waiting[0]
		e.waiting = slices.Delete(e.waiting, 0, 1)
		e.running = append(e.running, running{j, float64(j.Work)})
	}
	return ended
}

// drop takes a waiting job away; false where it runs already or is not here.
func (e *engine) drop(id string) bool {
	i := slices.IndexFunc(e.waiting, func(j Job) bool { return j.ID == id })
	if i < 0 {
		return false
	}
	e.waiting = slices.Delete(e.waiting, i, i+1)
	return true
}

// empty takes all jobs away and returns them.
func (e *engine) empty() (jobs []Job) {
	for _, r := range e.running {
		jobs = append(jobs, r.Job)
	}
	jobs = append(jobs, e.waiting...)
	e.running, e.waiting = nil, nil
	return jobs
}

// strain weighs the work that a server is sent against what it can do, over a span that slides in steps.
type strain struct {
	span    time.Duration
	slots   [strainSlots]struct{ sent, can float64 }
	turn    int64
	since   time.Duration // the first moment that is covered whole
	highest float64
}

// strainSlots makes the span exact to an eighth, finer than a person reading a graph of seconds can tell.
const strainSlots = 8

func (s *strain) add(now time.Duration, sent, can float64) {
	if s.span <= 0 {
		return
	}
	turn := int64(now) / max(1, int64(s.span)/strainSlots)
	if turn-s.turn >= strainSlots {
		clear(s.slots[:])
	} else {
		for t := s.turn + 1; t <= turn; t++ {
			s.slots[t%strainSlots] = struct{ sent, can float64 }{}
		}
	}
	s.turn = max(s.turn, turn)
	s.slots[turn%strainSlots].sent += sent
	s.slots[turn%strainSlots].can += can
}

// multiple is what was sent over what could be done in the span; 0 until the span has passed once.
func (s *strain) multiple(now time.Duration) float64 {
	if s.span <= 0 || now-s.since < s.span {
		return 0
	}
	var sent, can float64
	for _, x := range s.slots {
		sent += x.sent
		can += x.can
	}
	if can <= 0 {
		return 0
	}
	s.highest = max(s.highest, sent/can)
	return sent / can
}
