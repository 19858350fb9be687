package balancer

import (
	"sync/atomic"

	"github.com/rs/zerolog"

	"streamrail/internal/upstream"
	"streamrail/policy"
)

// maxLoggedPerReport bounds the lines of one kind between two reports, so that a fault of the whole fleet does not flood the log.
const maxLoggedPerReport = 20

// lineLimit limits the lines of one kind between two reports.
type lineLimit struct{ logged, suppressed atomic.Int64 }

// allow reports whether one more line may be logged, and counts it if not.
func (l *lineLimit) allow() bool {
	if l.logged.Add(1) <= maxLoggedPerReport {
		return true
	}
	l.suppressed.Add(1)
	return false
}

// reset begins a new period.
func (l *lineLimit) reset() { l.logged.Store(0) }

// failureLog logs the attempts that failed and the data that hosts sent for no attempt, within limits.
type failureLog struct {
	failures, unattributed lineLimit
}

// reset begins a new period.
func (l *failureLog) reset() {
	l.failures.reset()
	l.unattributed.reset()
}

// hasFailed reports whether an attempt's outcome explains that its request was repeated or refused.
func hasFailed(o policy.Outcome) bool {
	return o != policy.Fulfilled && o != policy.CacheMiss && o != policy.Cancelled && o != policy.NeverSent
}

// logAttemptEnd logs why an attempt failed.
func (b *Balancer) logAttemptEnd(c *clientRequest, e attemptResult) {
	if !hasFailed(e.Outcome) || !b.failureLog.failures.allow() {
		return
	}
	b.log.Info().Str("request", string(c.ID)).Str("host", string(c.attempts[e.attempt].To)).Int("attempt", e.attempt+1).
		Str("outcome", outcomeNames[e.Outcome]).Bool("may_have_run", policy.MayHaveRun(e.Outcome)).
		Uint64("connection", uint64(e.Connection)).Int("exchange", e.Exchange).Float64("took_ms", milliseconds(e.took)).
		AnErr("cause", e.Err).Msg("attempt failed")
}

// logUnattributed logs data from a host that was not taken as the answer to an attempt.
func (b *Balancer) logUnattributed(u upstream.Unattributed) {
	if !b.failureLog.unattributed.allow() {
		return
	}
	b.log.Warn().Stringer("cause", u.Cause).Str("host", string(u.Host)).Uint64("connection", uint64(u.Connection)).
		Int("exchanges", u.Exchanges).Float64("since_answer_ms", milliseconds(u.SinceAnswer)).Bytes("request", u.Request).
		AnErr("error", u.Err).Msg("answer not believed")
}

// appendConnections adds the counts of closed connections, of unattributed data and of lines that were not logged to a report.
func (b *Balancer) appendConnections(line *zerolog.Event) *zerolog.Event {
	stats := b.hosts.Stats()
	notLogged := b.failureLog.failures.suppressed.Load() + b.failureLog.unattributed.suppressed.Load()
	return line.Interface("closed", stats.Closed).Interface("not_believed", stats.Unattributed).Int64("not_logged", notLogged)
}
