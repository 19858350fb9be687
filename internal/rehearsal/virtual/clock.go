// Package virtual plays a rehearsal's day on a clock of its own: real decision modules of any number of balancers against
// the kit's models of nodes, gateway, register and callers, without sockets. One goroutine plays a day, so that a seed
// gives the same day byte for byte on every machine. What it leaves is a record like that of a day on sockets, for the
// same judge and report.
package virtual

import (
	"container/heap"
	"time"
)

// clock holds what is to happen, in the order of time and then of asking.
type clock struct {
	now    time.Duration
	seq    uint64
	events events
}

type event struct {
	at  time.Duration
	seq uint64
	do  func()
}

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
	old[len(old)-1] = event{} // lets what it holds go
	*e = old[:len(old)-1]
	return x
}

// at does something at a moment, at once if that has passed.
func (c *clock) at(at time.Duration, do func()) {
	c.seq++
	heap.Push(&c.events, event{max(at, c.now), c.seq, do})
}

// after does something when a time has passed.
func (c *clock) after(d time.Duration, do func()) { c.at(c.now+d, do) }

// run plays up to a moment, or until nothing is left to happen.
func (c *clock) run(until time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= until {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.do()
	}
	c.now = max(c.now, until)
}
