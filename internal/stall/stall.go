// Package stall detects when this process was stalled: stopped, or short of processor time or memory. Bytes that arrived
// during a stall are read late, so a timeout that is counted from the read would end too late.
package stall

import (
	"sync"
	"time"
)

const (
	// TickInterval is the interval at which Tick is to be called.
	TickInterval = 30 * time.Millisecond
	// stallThreshold is the time between two calls of Tick above which the process counts as stalled.
	stallThreshold = 2 * TickInterval
	// delayedReadWindow is how long after a stall reads may still return data that arrived during it.
	delayedReadWindow = 2 * TickInterval
)

// Detector detects stalls from the time between calls of Tick. It reads no clock itself and is safe for concurrent use.
type Detector struct {
	mu         sync.Mutex
	lastTick   time.Time
	stallStart time.Time // of the last stall
	stallEnd   time.Time // zero if there was none
}

// New returns a detector whose first tick is now.
func New(now time.Time) *Detector { return &Detector{lastTick: now} }

// Tick records that the process is running now.
func (d *Detector) Tick(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if now.Sub(d.lastTick) > stallThreshold {
		d.stallStart, d.stallEnd = d.lastTick, now
	}
	d.lastTick = now
}

// EarliestEvent returns the earliest instant at which the event that ended a wait may have happened. If the process was running,
// this is the end of the wait; after a stall it is the start of the stall, but not before the wait began.
func (d *Detector) EarliestEvent(began, ended time.Time) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	earliest := ended
	switch {
	case ended.Sub(d.lastTick) > stallThreshold: // the stall lasts or has only just ended
		earliest = d.lastTick
	case !d.stallEnd.IsZero() && ended.Sub(d.stallEnd) < delayedReadWindow:
		earliest = d.stallStart
	}
	if earliest.Before(began) {
		return began
	}
	return earliest
}
