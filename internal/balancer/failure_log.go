package balancer

import (
	"sync/atomic"
	"time"

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

// failureLog logs the attempts that failed, the requests that were given up after an attempt and the data that hosts sent for no
// attempt, within limits.
type failureLog struct {
	failures, givenUp, unattributed, unread lineLimit
}

// limits returns the limits of all kinds of lines.
func (l *failureLog) limits() []*lineLimit {
	return []*lineLimit{&l.failures, &l.givenUp, &l.unattributed, &l.unread}
}

// reset begins a new period.
func (l *failureLog) reset() {
	for _, limit := range l.limits() {
		limit.reset()
	}
}

// suppressed returns how many lines of all kinds were not logged.
func (l *failureLog) suppressed() (lines int64) {
	for _, limit := range l.limits() {
		lines += limit.suppressed.Load()
	}
	return lines
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

// logGivenUp logs how a request that had been attempted was given up. For a rate-limited answer, since_first_attempt_ms and
// retry_after_ms together say how long after the first attempt the client's retry comes.
func (b *Balancer) logGivenUp(c *clientRequest, answer finalAnswer, retryAfter time.Duration) {
	if len(c.attempts) == 0 || !b.failureLog.givenUp.allow() {
		return
	}
	b.log.Info().Str("request", string(c.ID)).Stringer("answer", answer).Int("attempts", len(c.attempts)).Int("in_flight", c.inFlight).
		Bool("may_have_run", c.mayHaveRun).Bool("client_retry", c.ClientRetry).
		Float64("since_first_attempt_ms", milliseconds(time.Since(c.firstAttemptAt))).Float64("retry_after_ms", milliseconds(retryAfter)).
		Msg("request given up")
}

// logUnreadUpload logs that the time of a long write may be over, although its last byte has not been read.
func (b *Balancer) logUnreadUpload(c *clientRequest) {
	if !b.failureLog.unread.allow() {
		return
	}
	receiver := c.client.receiver
	unread, known := receiver.unreadBytes()
	b.log.Warn().Str("request", string(c.ID)).Int("length", c.Length).Int64("missing", c.upload.end-receiver.inputState().taken).
		Int("unread", unread).Bool("unread_known", known).Int("attempts", len(c.attempts)).Int("in_flight", c.inFlight).
		Float64("since_arrival_ms", milliseconds(time.Since(c.arrived))).Msg("long write not read in time")
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
	return line.Interface("closed", stats.Closed).Interface("not_believed", stats.Unattributed).Int64("not_logged", b.failureLog.suppressed())
}
