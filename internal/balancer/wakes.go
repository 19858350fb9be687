package balancer

import (
	"time"

	"streamrail/policy"
)

// wakes hold what the module wants to be woken for. Each request leaves one or two that outlive it, tens of thousands
// at a time on a busy balancer: a timer of the runtime for each, with its goroutine, was a tenth of a call's cost. They
// stand in slots of a millisecond, which is well within the tick that the module reckons with; one timer serves all.
// All is under Balancer.mu.
type wakes struct {
	slots  [wakeSlots][]wake
	done   int64 // all slots up to this turn are empty of what is due
	armed  int64 // the turn that the timer will come for
	timer  *time.Timer
	few    int // entries in all slots
	firing []wake
}

type wake struct {
	turn int64
	id   policy.WakeID
}

const (
	wakeSlot  = policy.Millisecond
	wakeSlots = 4096 // four seconds, longer than most clients wait; what is later stays for another round
	never     = 1<<63 - 1
)

// wakeAt notes a wake that is due at a moment.
func (b *Balancer) wakeAt(due policy.Nanos, id policy.WakeID) {
	w := &b.wakes
	turn := max(int64(due/wakeSlot)+1, w.done+1) // never early
	s := &w.slots[turn%wakeSlots]
	*s = append(*s, wake{turn, id})
	if w.few++; turn < w.armed {
		b.arm(turn)
	}
}

func (b *Balancer) arm(turn int64) {
	w := &b.wakes
	w.armed = turn
	wait := time.Duration(policy.Nanos(turn)*wakeSlot - b.now)
	if w.timer == nil {
		w.timer = time.AfterFunc(wait, b.wake)
		return
	}
	w.timer.Reset(wait)
}

// wake lets the module hear of all that is due.
func (b *Balancer) wake() {
	b.decide(func() {
		w := &b.wakes
		now := int64(b.now / wakeSlot)
		if w.done == 0 || now-w.done > wakeSlots {
			w.done = now - wakeSlots // a round holds all slots
		}
		w.firing = w.firing[:0]
		for turn := w.done + 1; turn <= now; turn++ {
			s := &w.slots[turn%wakeSlots]
			kept := (*s)[:0]
			for _, x := range *s {
				if x.turn <= now {
					w.firing = append(w.firing, x)
				} else {
					kept = append(kept, x)
				}
			}
			clear((*s)[len(kept):])
			*s = kept
		}
		w.done, w.few = now, w.few-len(w.firing)
		w.armed = never
		for _, x := range w.firing {
			b.module.Woke(x.id)
		}
		next := int64(never)
		for turn := now + 1; w.few > 0 && turn <= now+wakeSlots; turn++ {
			if s := w.slots[turn%wakeSlots]; len(s) > 0 {
				next = turn // of a later round at worst, which is looked at in vain
				break
			}
		}
		if next < w.armed {
			b.arm(next)
		}
	})
}
