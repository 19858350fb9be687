package balancer

import (
	"time"

	"streamrail/internal/upstream"
)

// send starts an attempt; how it ends comes back through c.ended.
func (c *call) send(o order) {
	n, sent := len(c.attempts), time.Now()
	s := &upstream.Attempt{To: o.to, Command: &c.Command, Value: c.value, Deadline: o.deadline, BeginBy: o.beginBy}
	s.Room = c.hold
	s.Pass = c.pass
	s.Gone = c.clientGone
	if c.upload != nil {
		s.Upload = &c.upload.Upload
	}
	s.Done = func(r upstream.Result) { c.ended <- ending{r, n, time.Since(sent) - r.Peer} }
	c.attempts = append(c.attempts, s)
	c.out++
	if c.client.hasLeft() || c.isSettled() { // since this was decided
		s.GiveUp()
	}
	c.b.hosts.Send(s)
}

// freshFor is how long after its arrival a request's client has not left for so long that it matters.
const freshFor = 50 * time.Millisecond

// clientGone tells whether nobody waits for the call any more, since its client has left or it is answered, right before an attempt would begin.
func (c *call) clientGone() bool {
	if c.isSettled() {
		return true
	}
	if time.Since(c.arrived) < freshFor {
		return c.client.hasLeft()
	}
	return c.client.hasJustLeft()
}

// recall gives an attempt up.
func (c *call) recall(o order) {
	if !c.isStreaming() { // the module may not have heard of that yet
		c.attempts[o.attempt].GiveUp()
	}
}

// hold takes memory for a value until the request is left; false where there is no room for it.
func (c *call) hold(bytes int) bool {
	held := c.b.hold(bytes)
	if held {
		c.held.Add(int64(bytes))
	}
	return held
}

// hold takes memory for values in hand; false where there is no room for it. Who takes some gives it back.
func (b *Balancer) hold(bytes int) bool {
	if b.held.Add(int64(bytes)) > b.mostHeld.Load() {
		b.held.Add(-int64(bytes))
		return false
	}
	return true
}
