package balancer

import (
	"sync/atomic"
	"time"
)

// peak is the longest of some spans since the start, and since the last look.
type peak struct{ ever, lately atomic.Int64 }

// note counts a span in.
func (p *peak) note(span time.Duration) {
	raise(&p.ever, int64(span))
	raise(&p.lately, int64(span))
}

// recent is the longest span since the last call of recent.
func (p *peak) recent() time.Duration { return time.Duration(p.lately.Swap(0)) }

// longest is the longest span since the start.
func (p *peak) longest() time.Duration { return time.Duration(p.ever.Load()) }

// raise sets a value to at least another one.
func raise(value *atomic.Int64, to int64) {
	for old := value.Load(); old < to; old = value.Load() {
		if value.CompareAndSwap(old, to) {
			return
		}
	}
}

// delays are what may keep an answer back: how long the decisions were held by one event, how long an event waited for
// them, and the answers that came after their requests' deadlines.
type delays struct {
	held, waited peak
	late         atomic.Int64 // answers written after the deadline
	latest       peak         // by how much
	told         atomic.Int64 // of these, named in the log since the last report
	guarded      atomic.Int64 // answers by the request's own timer, as no decision had come in its time
}

// lateNamed bounds the late answers that the log names between two reports.
const lateNamed = 20

// milliseconds is a span as the log has it.
func milliseconds(span time.Duration) float64 { return float64(span.Microseconds()) / 1000 }

// noteLate counts an answer that was written after its request's deadline, and names it in the log.
func (b *Balancer) noteLate(c *call, as final) {
	late := -c.deadline.Remaining()
	if late <= 0 || c.upload != nil { // the deadline of a long write follows from its last byte
		return
	}
	b.delays.late.Add(1)
	b.delays.latest.note(late)
	if b.delays.told.Add(1) > lateNamed {
		return
	}
	b.log.Warn().Str("request", string(c.ID)).Stringer("answer", as).Int("attempts", len(c.attempts)).
		Float64("late_ms", milliseconds(late)).Float64("waited_ms", milliseconds(c.begun.Sub(c.arrived))).
		Float64("lived_ms", milliseconds(time.Since(c.begun))).Msg("answered late")
}
