package balancer

import (
	"net"
	"time"

	"streamrail/internal/memcache"
)

// replyTimeout bounds how long a client may leave an answer unread.
const replyTimeout = 5 * time.Second

// fulfil passes on the value or the receipt that a host gave for this request.
func (c *clientRequest) fulfil(body []byte) {
	if c.Write {
		c.writeAnswer(fulfilled, memcache.AppendReceipt(nil, c.ID, body))
	} else {
		c.writeAnswer(fulfilled, memcache.AppendValue(nil, c.ID, len(body)), body, []byte("\r\n"))
	}
}

func (c *clientRequest) answerRateLimited(o action) {
	c.balancer.traffic.rateLimited.Add(1)
	c.writeAnswer(rateLimited, memcache.AppendRateLimited(nil, o.retryAfter))
}

func (c *clientRequest) answerErrored(action) {
	c.balancer.traffic.errored.Add(1)
	c.writeAnswer(errored, []byte(memcache.ErroredAnswer))
}

// writeAnswer writes the final answer in its turn.
func (c *clientRequest) writeAnswer(as finalAnswer, parts ...[]byte) {
	defer close(c.answered)
	defer c.balancer.answerStats.unanswered.Add(-1)
	select {
	case <-c.previousAnswered:
	case <-c.client.gone:
		return
	}
	c.client.conn.SetWriteDeadline(time.Now().Add(replyTimeout))
	buffers := net.Buffers(parts)
	if _, err := buffers.WriteTo(c.client.conn); err != nil {
		c.client.abortAnswer()
		return
	}
	c.balancer.answerStats.countAnswer(c.product, as)
	c.balancer.recordLateAnswer(c, as)
}
