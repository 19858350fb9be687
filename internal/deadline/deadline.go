// Package deadline represents the instants by which requests must be answered. A request's deadline is fixed once, when its last
// byte arrives, and every attempt uses it unchanged. A timeout would instead restart wherever it is next applied, and any
// delay of the process in between would be added to it.
package deadline

import "time"

// Deadline is an instant on the monotonic clock. The zero Deadline has always passed.
type Deadline struct{ at time.Time }

// After returns the deadline a span after start, which must be a reading of this process's clock.
func After(start time.Time, span time.Duration) Deadline { return Deadline{start.Add(span)} }

// Earlier returns the deadline moved earlier by a span; a negative span leaves it unchanged.
func (d Deadline) Earlier(span time.Duration) Deadline { return Deadline{d.at.Add(-max(0, span))} }

// First returns the earlier of two deadlines.
func (d Deadline) First(other Deadline) Deadline {
	if other.at.Before(d.at) {
		return other
	}
	return d
}

// Remaining returns the time left by the current clock; it is zero or negative once the deadline has passed.
func (d Deadline) Remaining() time.Duration { return time.Until(d.at) }

// Passed reports whether the deadline has passed by the current clock.
func (d Deadline) Passed() bool { return d.Remaining() <= 0 }

// Time returns the instant, for connection deadlines and for other clocks of this process.
func (d Deadline) Time() time.Time { return d.at }
