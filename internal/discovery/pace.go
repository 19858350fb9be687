package discovery

import "time"

// What the protocol's page says of a watch that has fallen silent: what it misses counts as told so long after it fell
// silent, and for a call that may wait so long after that wait is over, if that is later; whether or not it arrived.
const (
	toldAfterSilence = 6 * time.Second
	toldAfterWait    = 2 * time.Second
)

// Pace holds all waits of discovery. They are parts of one sum: fell silent, noticed, asked again, answered and applied, all
// before what was missed must hold. See docs/notes/drain.md.
type Pace struct {
	Wait    time.Duration // what one call may wait for news; drawn from seven eighths of it on, lest all balancers ask in step
	Answer  time.Duration // beyond that until an answer begins: then the watch has fallen silent
	Whole   time.Duration // for all of an answer that has begun, or to a call that waits for nothing
	Connect time.Duration
	First   time.Duration // before a try after one that failed, doubled up to
	Last    time.Duration
}

const (
	askedWait = 10 * time.Second // where each call loads discovery: one in ten seconds is what a quiet list costs
	longAgain = 2 * time.Second  // between tries, however long the grace
	leastWait = 10 * time.Millisecond
)

// PaceOf makes a pace for a grace in which sends to a host that leaves must end. Where lists are pushed, calls to the agent cost
// nothing and what it has counts as told whether or not a watch is open.
func PaceOf(grace time.Duration, pushed bool) Pace {
	p := Pace{Wait: askedWait, Whole: toldAfterSilence / 2}
	if pushed { // two watches in a row may fall silent, and the grace is left for the third
		p.Wait = toldAfterSilence / 3
		p.Answer = toldAfterSilence / 6
		p.Connect = grace / 4
		p.Last = max(leastWait, min(grace/4, longAgain))
	} else { // half of what is left is for the call that follows: a quarter to connect, a quarter for its answer
		room := max(toldAfterSilence-p.Wait, toldAfterWait) + grace
		p.Answer = room / 2
		p.Connect = room / 4
		p.Last = longAgain
	}
	p.Connect = max(leastWait, min(p.Connect, time.Second)) // the agent is on this machine
	p.First = min(100*time.Millisecond, p.Last)
	return p
}

// draw is what the next call may wait; chance is in [0, 1).
func (p Pace) draw(chance float64) time.Duration {
	return (p.Wait - time.Duration(chance*float64(p.Wait/8))).Truncate(time.Millisecond)
}
