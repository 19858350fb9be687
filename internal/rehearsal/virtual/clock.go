// Package virtual simulates a scenario in virtual time, without sockets. The production decision code (package policy) of any
// number of balancers runs against the models of cache hosts, origin, discovery and clients in package model. A simulation
// runs in one goroutine, so the same seed gives the same events byte for byte on every machine. Its record has the same form
// as that of a rehearsal on sockets and is evaluated by the same judge and report.
package virtual

import (
	"container/heap"
	"time"
)

// clock is an event queue ordered by time; events of the same time run in the order in which they were scheduled.
type clock struct {
	now    time.Duration
	seq    uint64
	events events
}

// event is a scheduled function; seq is the order of scheduling.
type event struct {
	at  time.Duration
	seq uint64
	do  func()
}

// events implements heap.Interface.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	old[len(old)-1] = event{} // releases the closure for garbage collection
	*e = old[:len(old)-1]
	return x
}

// at schedules a function for the given time, or for now if that time has passed.
func (c *clock) at(at time.Duration, do func()) {
	c.seq++
	heap.Push(&c.events, event{max(at, c.now), c.seq, do})
}

// after schedules a function to run after the given delay.
func (c *clock) after(d time.Duration, do func()) { c.at(c.now+d, do) }

// run executes all events up to the given time and then sets the clock to it.
func (c *clock) run(until time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= until {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.do()
	}
	c.now = max(c.now, until)
}
