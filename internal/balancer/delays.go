package balancer

import (
	"sync/atomic"
	"time"
)

// peakDuration is the longest of some spans since the start, and since the last look.
type peakDuration struct{ sinceStart, sinceRead atomic.Int64 }

// record counts a span in.
func (p *peakDuration) record(span time.Duration) {
	raiseTo(&p.sinceStart, int64(span))
	raiseTo(&p.sinceRead, int64(span))
}

// takeRecent is the longest span since the last call of recent.
func (p *peakDuration) takeRecent() time.Duration { return time.Duration(p.sinceRead.Swap(0)) }

// longest is the longest span since the start.
func (p *peakDuration) longest() time.Duration { return time.Duration(p.sinceStart.Load()) }

// raiseTo sets a value to at least another one.
func raiseTo(value *atomic.Int64, to int64) {
	for old := value.Load(); old < to; old = value.Load() {
		if value.CompareAndSwap(old, to) {
			return
		}
	}
}

// delayStats are what may keep an answer back: how long the decisions were held by one event, how long an event waited for
// them, and the answers that came after their requests' deadlines.
type delayStats struct {
	handling, waiting peakDuration
	lateAnswers       atomic.Int64 // answers written after the deadline
	lateBy            peakDuration // by how much
	lateLogged        atomic.Int64 // of these, named in the log since the last report
	answeredByTimer   atomic.Int64 // answers by the request's own timer, as no decision had come in its time
}

// maxLateLogged bounds the late answers that the log names between two reports.
const maxLateLogged = 20

// milliseconds is a span as the log has it.
func milliseconds(span time.Duration) float64 { return float64(span.Microseconds()) / 1000 }

// recordLateAnswer counts an answer that was written after its request's deadline, and names it in the log.
func (b *Balancer) recordLateAnswer(c *clientRequest, as finalAnswer) {
	late := -c.deadline.Remaining()
	if late <= 0 || c.upload != nil { // the deadline of a long write follows from its last byte
		return
	}
	b.delays.lateAnswers.Add(1)
	b.delays.lateBy.record(late)
	if b.delays.lateLogged.Add(1) > maxLateLogged {
		return
	}
	b.log.Warn().Str("request", string(c.ID)).Stringer("answer", as).Int("attempts", len(c.attempts)).
		Float64("late_ms", milliseconds(late)).Float64("waited_ms", milliseconds(c.admitted.Sub(c.arrived))).
		Float64("lived_ms", milliseconds(time.Since(c.admitted))).Msg("answered late")
}
