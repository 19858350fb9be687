package balancer

import (
	"time"

	"streamrail/internal/upstream"
)

// sendAttempt starts an attempt; how it ends comes back through c.ended.
func (c *clientRequest) sendAttempt(o action) {
	n, sent := len(c.attempts), time.Now()
	s := &upstream.Attempt{To: o.host, Command: &c.Command, Value: c.value, Deadline: o.deadline, LatestStart: o.beginBy}
	s.ReserveMemory = c.reserveMemory
	s.StreamValue = c.streamValue
	s.ClientGone = c.isUnwanted
	if c.upload != nil {
		s.Upload = &c.upload.Upload
	}
	s.Done = func(r upstream.Result) {
		c.attemptResults <- attemptResult{r, n, time.Since(sent) - r.ClientTransferTime}
	}
	c.attempts = append(c.attempts, s)
	c.inFlight++
	if c.client.hasLeft() || c.isAnswerChosen() { // since this was decided
		s.GiveUp()
	}
	c.balancer.hosts.Send(s)
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
func (c *clientRequest) cancelAttempt(o action) {
	if !c.isStreaming() { // the module may not have heard of that yet
		c.attempts[o.attempt].GiveUp()
	}
}

// reserveMemory takes memory for a value until the request is left; false where there is no room for it.
func (c *clientRequest) reserveMemory(bytes int) bool {
	held := c.balancer.reserveMemory(bytes)
	if held {
		c.heldBytes.Add(int64(bytes))
	}
	return held
}

// reserveMemory takes memory for values in hand; false where there is no room for it. Who takes some gives it back.
func (b *Balancer) reserveMemory(bytes int) bool {
	if b.valueBytes.Add(int64(bytes)) > b.maxValueBytes.Load() {
		b.valueBytes.Add(-int64(bytes))
		return false
	}
	return true
}
