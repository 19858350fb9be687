// Package stall tells when this process was held up: stopped, starved of the processor or of memory. Bytes that arrived
// meanwhile are read late, and what is counted from the moment of the read would be too long.
package stall

import (
	"sync"
	"time"
)

const (
	// Period is how often Beat wants to be called.
	Period = 30 * time.Millisecond
	// noticed is the pause between two beats from which the process counts as held up.
	noticed = 2 * Period
	// aftermath is how long after a stall reads may still bring what arrived within it.
	aftermath = 2 * Period
)

// Detector learns of stalls from the pauses between its beats. It reads no clock itself and is safe for concurrent use.
type Detector struct {
	mu       sync.Mutex
	lastBeat time.Time
	from     time.Time // the last stall
	until    time.Time
}

// New makes a detector of which the first beat is now.
func New(now time.Time) *Detector { return &Detector{lastBeat: now} }

// Beat notes that the process runs.
func (d *Detector) Beat(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if now.Sub(d.lastBeat) > noticed {
		d.from, d.until = d.lastBeat, now
	}
	d.lastBeat = now
}

// Earliest is when what a wait from began to ended brought may have happened at the earliest: at its end where the process
// ran, and no earlier than its beginning.
func (d *Detector) Earliest(began, ended time.Time) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	earliest := ended
	switch {
	case ended.Sub(d.lastBeat) > noticed: // held up until just now, or still
		earliest = d.lastBeat
	case !d.until.IsZero() && ended.Sub(d.until) < aftermath:
		earliest = d.from
	}
	if earliest.Before(began) {
		return began
	}
	return earliest
}
