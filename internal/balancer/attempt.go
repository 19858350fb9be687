package balancer

import (
	"time"

	"streamrail/internal/upstream"
)

// sendAttempt starts an attempt. Its result arrives on c.attemptResults.
func (c *clientRequest) sendAttempt(send action) {
	n, sentAt := len(c.attempts), time.Now()
	attempt := &upstream.Attempt{To: send.host, Command: &c.Command, Value: c.value, Deadline: send.deadline, LatestStart: send.latestStart}
	attempt.ReserveMemory = func(bytes int) bool { return c.memory.reserve(hostAnswers, bytes) }
	attempt.StreamValue = c.streamValue
	attempt.ClientGone = c.isUnwanted
	if c.upload != nil {
		attempt.Upload = &c.upload.Upload
	}
	attempt.Done = func(r upstream.Result) {
		c.attemptResults <- attemptResult{r, n, time.Since(sentAt) - r.ClientTransferTime}
	}
	if n == 0 {
		c.firstAttemptAt = sentAt
	}
	c.attempts = append(c.attempts, attempt)
	c.inFlight++
	if c.client.hasLeft() || c.isAnswerChosen() { // the client left, or the answer was chosen, after this attempt was decided
		attempt.GiveUp()
	}
	c.balancer.hosts.Send(attempt)
}

// recentArrivalTime is the time after a request's arrival in which the system is not asked whether its client has left: it cannot
// have left long enough ago to matter.
const recentArrivalTime = 50 * time.Millisecond

// isUnwanted reports whether nobody waits for the request any more, because its client has left or its answer is chosen. It is called
// right before an attempt would begin.
func (c *clientRequest) isUnwanted() bool {
	if c.isAnswerChosen() {
		return true
	}
	if time.Since(c.arrived) < recentArrivalTime {
		return c.client.hasLeft()
	}
	return c.client.hasLeftNow()
}

// cancelAttempt gives up an attempt, unless its value is already being passed on to the client.
func (c *clientRequest) cancelAttempt(cancel action) {
	if !c.isStreaming() { // the policy may not have been notified of the streaming yet
		c.attempts[cancel.attempt].GiveUp()
	}
}
