package balancer

import (
	"time"

	"streamrail/policy"
)

// timerWheel holds the timers that the decisions have set. Each request leaves one or two that outlive it, tens of thousands
// at a time on a busy balancer: a timer of the runtime for each, with its goroutine, was a tenth of a request's cost. They
// stand in slots of a millisecond, which is well within the tick that the decisions reckon with; one timer of the runtime
// serves all. All is under Balancer.mu.
type timerWheel struct {
	slots      [wheelSlots][]wheelTimer
	firedUntil int64 // all slots up to this tick are empty of what is due
	armedFor   int64 // the tick that the runtime's timer will come for
	runtime    *time.Timer
	count      int // timers in all slots
	firing     []wheelTimer
}

// wheelTimer is one of them.
type wheelTimer struct {
	tick int64
	id   policy.TimerID
}

const (
	wheelTick  = policy.Millisecond
	wheelSlots = 4096 // four seconds, longer than most clients wait; what is later stays for another round
	noTick     = 1<<63 - 1
)

// setTimer sets one that is due at a moment.
func (b *Balancer) setTimer(due policy.Nanos, id policy.TimerID) {
	w := &b.timers
	tick := max(int64(due/wheelTick)+1, w.firedUntil+1) // never early
	slot := &w.slots[tick%wheelSlots]
	*slot = append(*slot, wheelTimer{tick, id})
	w.count++
	if tick < w.armedFor {
		b.armTimers(tick)
	}
}

// armTimers has the runtime's timer come for a tick.
func (b *Balancer) armTimers(tick int64) {
	w := &b.timers
	w.armedFor = tick
	wait := time.Duration(policy.Nanos(tick)*wheelTick - b.now)
	if w.runtime == nil {
		w.runtime = time.AfterFunc(wait, b.fireTimers)
		return
	}
	w.runtime.Reset(wait)
}

// fireTimers lets the decisions hear of all timers that are due.
func (b *Balancer) fireTimers() {
	b.post(func() {
		w := &b.timers
		w.takeDue(int64(b.now / wheelTick))
		w.armedFor = noTick
		for _, timer := range w.firing {
			b.policy.TimerFired(timer.id)
		}
		if next := w.nextTick(); next < w.armedFor {
			b.armTimers(next)
		}
	})
}

// takeDue moves what is due at a tick from the slots to firing.
func (w *timerWheel) takeDue(now int64) {
	if w.firedUntil == 0 || now-w.firedUntil > wheelSlots {
		w.firedUntil = now - wheelSlots // a round holds all slots
	}
	w.firing = w.firing[:0]
	for tick := w.firedUntil + 1; tick <= now; tick++ {
		w.takeSlot(&w.slots[tick%wheelSlots], now)
	}
	w.firedUntil = now
	w.count -= len(w.firing)
}

// takeSlot moves what is due from one slot; timers of a later round stay.
func (w *timerWheel) takeSlot(slot *[]wheelTimer, now int64) {
	kept := (*slot)[:0]
	for _, timer := range *slot {
		if timer.tick <= now {
			w.firing = append(w.firing, timer)
		} else {
			kept = append(kept, timer)
		}
	}
	clear((*slot)[len(kept):])
	*slot = kept
}

// nextTick is the first tick whose slot holds a timer, of a later round at worst, which is looked at in vain; never if none does.
func (w *timerWheel) nextTick() int64 {
	if w.count == 0 {
		return noTick
	}
	for tick := w.firedUntil + 1; tick <= w.firedUntil+wheelSlots; tick++ {
		if slot := w.slots[tick%wheelSlots]; len(slot) > 0 {
			return tick
		}
	}
	return noTick
}
