package balancer

import (
	"sync/atomic"
	"time"
)

// peakDuration is the longest of the recorded durations, since the start and since the last takeRecent.
type peakDuration struct{ sinceStart, sinceRead atomic.Int64 }

// record takes a duration into account.
func (p *peakDuration) record(span time.Duration) {
	raiseTo(&p.sinceStart, int64(span))
	raiseTo(&p.sinceRead, int64(span))
}

// takeRecent returns the longest duration since the last call of takeRecent.
func (p *peakDuration) takeRecent() time.Duration { return time.Duration(p.sinceRead.Swap(0)) }

// longest returns the longest duration since the start.
func (p *peakDuration) longest() time.Duration { return time.Duration(p.sinceStart.Load()) }

// raiseTo raises a value to a minimum; a larger value stays.
func raiseTo(value *atomic.Int64, minimum int64) {
	for old := value.Load(); old < minimum; old = value.Load() {
		if value.CompareAndSwap(old, minimum) {
			return
		}
	}
}

// delayStats measures what can delay an answer: how long one event occupied the policy, how long an event waited for the
// policy, and the answers that were written after their deadlines.
type delayStats struct {
	handling, waiting peakDuration
	lateAnswers       atomic.Int64 // answers written after the deadline
	lateBy            peakDuration // how long after it
	lateLogged        lineLimit    // of late answers
	answeredByTimer   atomic.Int64 // answers by the request's deadline timer, as the policy had not decided in time
}

// milliseconds converts a duration to the unit used in the log.
func milliseconds(span time.Duration) float64 { return float64(span.Microseconds()) / 1000 }

// recordLateAnswer counts and logs an answer that was written after its request's deadline.
func (b *Balancer) recordLateAnswer(c *clientRequest, answer finalAnswer) {
	due := c.deadline
	if c.upload != nil {
		known := false
		if due, known = c.upload.knownDeadline(); !known { // its client was still writing
			return
		}
	}
	late := -due.Remaining()
	if late <= 0 {
		return
	}
	b.delays.lateAnswers.Add(1)
	b.delays.lateBy.record(late)
	if !b.delays.lateLogged.allow() {
		return
	}
	b.log.Warn().Str("request", string(c.ID)).Stringer("answer", answer).Int("attempts", len(c.attempts)).
		Float64("late_ms", milliseconds(late)).Float64("waited_ms", milliseconds(c.admitted.Sub(c.arrived))).
		Float64("lived_ms", milliseconds(time.Since(c.admitted))).Msg("answered late")
}
