package balancer

import (
	"time"

	"streamrail/internal/upstream"
)

// sendAttempt starts an attempt; how it ends comes back through c.ended.
func (c *clientRequest) sendAttempt(send action) {
	n, sentAt := len(c.attempts), time.Now()
	attempt := &upstream.Attempt{To: send.host, Command: &c.Command, Value: c.value, Deadline: send.deadline, BeginBy: send.beginBy}
	attempt.Room = c.reserveMemory
	attempt.Pass = c.streamValue
	attempt.Gone = c.isUnwanted
	if c.upload != nil {
		attempt.Upload = &c.upload.Upload
	}
	attempt.Done = func(r upstream.Result) { c.attemptResults <- attemptResult{r, n, time.Since(sentAt) - r.Peer} }
	c.attempts = append(c.attempts, attempt)
	c.inFlight++
	if c.client.hasLeft() || c.isAnswerChosen() { // since this was decided
		attempt.GiveUp()
	}
	c.b.hosts.Send(attempt)
}

// recentArrivalTime is how long after its arrival a request's client has not left for so long that it matters.
const recentArrivalTime = 50 * time.Millisecond

// isUnwanted tells whether nobody waits for the call any more, since its client has left or it is answered, right before an attempt would begin.
func (c *clientRequest) isUnwanted() bool {
	if c.isAnswerChosen() {
		return true
	}
	if time.Since(c.arrived) < recentArrivalTime {
		return c.client.hasLeft()
	}
	return c.client.hasLeftNow()
}

// cancelAttempt gives an attempt up.
func (c *clientRequest) cancelAttempt(cancel action) {
	if !c.isStreaming() { // the module may not have heard of that yet
		c.attempts[cancel.attempt].GiveUp()
	}
}

// reserveMemory takes memory for a value until the request is left; false where there is no room for it.
func (c *clientRequest) reserveMemory(bytes int) bool {
	reserved := c.b.reserveMemory(bytes)
	if reserved {
		c.heldBytes.Add(int64(bytes))
	}
	return reserved
}

// reserveMemory takes memory for values in hand; false where there is no room for it. Who takes some gives it back.
func (b *Balancer) reserveMemory(bytes int) bool {
	if b.valueBytes.Add(int64(bytes)) > b.maxValueBytes.Load() {
		b.valueBytes.Add(-int64(bytes))
		return false
	}
	return true
}
