package discovery

import "time"

// toldAfter is when a change of the list counts as told at the latest, whether or not it arrived: so long after discovery had it
// and could be reached, whatever became of earlier calls, and whether a watch is open, silent or none.
const toldAfter = 6 * time.Second

// Pace holds all waits of discovery. They are parts of one sum: fell silent, noticed, asked again, answered and applied, all
// before what was missed must hold. See docs/notes/drain.md.
type Pace struct {
	Wait    time.Duration // what one call may wait for news; drawn from seven eighths of it on, lest all balancers ask in step
	Answer  time.Duration // beyond that until an answer begins: then the watch has fallen silent
	Whole   time.Duration // until the answer begins to a call that waits for nothing
	Piece   time.Duration // between two pieces of an answer that has begun
	Pieces  time.Duration // for all of them
	Connect time.Duration
	First   time.Duration // before a try after one that failed, doubled up to
	Last    time.Duration
}

const (
	longAgain = 2 * time.Second // between tries, however long the grace
	leastWait = 10 * time.Millisecond
)

// PaceOf makes a pace for a grace in which sends to a host that leaves must end. Where lists are pushed, calls to the agent cost
// nothing and what it has counts as told whether or not a watch is open.
func PaceOf(grace time.Duration, pushed bool) Pace {
	p := Pace{Answer: toldAfter / 6, Whole: toldAfter / 2, Piece: toldAfter / 4, Pieces: toldAfter * 5 / 6}
	if pushed { // two watches in a row may fall silent, and the grace is left for the third
		p.Wait = toldAfter / 3
		p.Connect = grace / 4
		p.Last = max(leastWait, min(grace/4, longAgain))
	} else { // each call loads discovery: as few as leave a sixth, and the grace, for the one that follows a silent one
		p.Wait = toldAfter * 2 / 3
		p.Connect = (toldAfter/6 + grace) / 4
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
