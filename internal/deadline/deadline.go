// Package deadline holds instants by which something must have happened. A request's deadline is fixed once, when its last
// byte arrived, and is carried unchanged to every attempt: a span would count anew from whenever it is next looked at, and
// everything that held the process up in between would be added to it.
package deadline

import "time"

// Deadline is an instant on the monotonic clock. The zero Deadline has passed.
type Deadline struct{ at time.Time }

// After is the deadline a span after an instant that was read from the clock of this process.
func After(start time.Time, span time.Duration) Deadline { return Deadline{start.Add(span)} }

// Earlier is the deadline moved forward by a span, which may only shorten it.
func (d Deadline) Earlier(span time.Duration) Deadline { return Deadline{d.at.Add(-max(0, span))} }

// First is the earlier one of two.
func (d Deadline) First(other Deadline) Deadline {
	if other.at.Before(d.at) {
		return other
	}
	return d
}

// Remaining reads the clock; it is not above zero once the deadline has passed.
func (d Deadline) Remaining() time.Duration { return time.Until(d.at) }

// Passed reads the clock.
func (d Deadline) Passed() bool { return d.Remaining() <= 0 }

// Time is the instant, for the time limits of connections and for other clocks of this process.
func (d Deadline) Time() time.Time { return d.at }
