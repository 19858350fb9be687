package balancer

import (
	"net"
	"time"

	"streamrail/internal/memcache"
)

// replyTimeout bounds how long writing an answer may be blocked by a client that does not read.
const replyTimeout = 5 * time.Second

// fulfil answers with the value or the receipt that a host returned for this request.
func (c *clientRequest) fulfil(body []byte) {
	if c.Write {
		c.writeAnswer(fulfilled, memcache.AppendReceipt(nil, c.ID, body))
	} else {
		c.writeAnswer(fulfilled, memcache.AppendValue(nil, c.ID, len(body)), body, []byte("\r\n"))
	}
}

func (c *clientRequest) answerRateLimited(a action) {
	c.balancer.logGivenUp(c, rateLimited, a.retryAfter)
	c.balancer.traffic.rateLimited.Add(1)
	c.writeAnswer(rateLimited, memcache.AppendRateLimited(nil, a.retryAfter))
}

// unsentAnswer returns the answer to a request that is given up and that no host got.
func (c *clientRequest) unsentAnswer() (kind finalAnswer, text string) {
	deployed := c.balancer.deployment
	product, known := deployed.Products[string(c.Product)]
	if known && deployed.PolicyConfig.Products[product].EarlierTryMayHaveRun(c.ClientRetry) {
		return errored, memcache.ErroredAnswer
	}
	return rateLimited, string(memcache.AppendRateLimited(nil, 0))
}

// giveUpUnsent gives up an admitted request that no host got.
func (c *clientRequest) giveUpUnsent() {
	if kind, _ := c.unsentAnswer(); kind == errored {
		c.answerErrored(action{})
		return
	}
	c.answerRateLimited(action{})
}

func (c *clientRequest) answerErrored(action) {
	c.balancer.logGivenUp(c, errored, 0)
	c.balancer.traffic.errored.Add(1)
	c.writeAnswer(errored, []byte(memcache.ErroredAnswer))
}

// writeAnswer writes the final answer once the commands before this one on the connection are answered.
func (c *clientRequest) writeAnswer(kind finalAnswer, parts ...[]byte) {
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
	c.balancer.answerStats.countAnswer(c.product, kind)
	c.balancer.recordLateAnswer(c, kind)
}
