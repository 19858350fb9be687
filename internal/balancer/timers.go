package balancer

import (
	"time"

	"streamrail/policy"
)

// timerWheel holds the timers that the policy has set. Each request leaves one or two timers that outlive it, which makes tens of
// thousands at a time on a busy balancer; a runtime timer with its goroutine for each took a tenth of a request's cost. The wheel keeps
// them in slots of one millisecond, finer than the policy needs, and uses a single runtime timer. It is guarded by Balancer.mu.
type timerWheel struct {
	slots      [wheelSlots][]wheelTimer
	firedUntil int64 // all timers due up to this tick have been removed from the slots
	armedFor   int64 // the tick for which the runtime timer is set
	runtime    *time.Timer
	count      int // timers in all slots
	firing     []wheelTimer
}

// wheelTimer is one timer of the wheel.
type wheelTimer struct {
	tick int64
	id   policy.TimerID
}

const (
	wheelTick  = policy.Millisecond
	wheelSlots = 4096 // four seconds, longer than most client timeouts; later timers stay in their slot for another round
	noTick     = 1<<63 - 1
)

// setTimer adds a timer that is due at the given time.
func (b *Balancer) setTimer(due policy.Nanos, id policy.TimerID) {
	w := &b.timers
	tick := max(int64(due/wheelTick)+1, w.firedUntil+1) // a timer never fires early
	slot := &w.slots[tick%wheelSlots]
	*slot = append(*slot, wheelTimer{tick, id})
	w.count++
	if tick < w.armedFor {
		b.armTimers(tick)
	}
}

// armTimers sets the runtime timer for a tick.
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

// fireTimers notifies the policy of all timers that are due.
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

// takeDue moves the timers that are due at a tick from the slots to firing.
func (w *timerWheel) takeDue(now int64) {
	if w.firedUntil == 0 || now-w.firedUntil > wheelSlots {
		w.firedUntil = now - wheelSlots // one round covers all slots
	}
	w.firing = w.firing[:0]
	for tick := w.firedUntil + 1; tick <= now; tick++ {
		w.takeSlot(&w.slots[tick%wheelSlots], now)
	}
	w.firedUntil = now
	w.count -= len(w.firing)
}

// takeSlot moves the due timers of one slot to firing; timers of a later round stay.
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

// nextTick returns the first tick whose slot holds a timer, or noTick if there is none. The timer may belong to a later round; then
// firing that tick does nothing.
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
