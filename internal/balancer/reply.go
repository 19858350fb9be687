package balancer

import (
	"net"
	"time"

	"streamrail/internal/memcache"
)

// replyWait bounds how long a client may leave an answer unread.
const replyWait = 5 * time.Second

// fulfil passes on the value or the receipt that a host gave for this request.
func (c *call) fulfil(body []byte) {
	if c.Write {
		c.answer(fulfilled, memcache.AppendReceipt(nil, c.ID, body))
	} else {
		c.answer(fulfilled, memcache.AppendValue(nil, c.ID, len(body)), body, []byte("\r\n"))
	}
}

func (c *call) rateLimit(o order) {
	c.b.tally.rateLimited.Add(1)
	c.answer(rateLimited, memcache.AppendRateLimited(nil, o.comeBack))
}

func (c *call) errored(order) {
	c.b.tally.errored.Add(1)
	c.answer(errored, []byte(memcache.NoAnswer))
}

// answer writes the final answer in its turn.
func (c *call) answer(as final, parts ...[]byte) {
	defer close(c.answered)
	defer c.b.figures.inHand.Add(-1)
	select {
	case <-c.turn:
	case <-c.client.gone:
		return
	}
	c.client.net.SetWriteDeadline(time.Now().Add(replyWait))
	buffers := net.Buffers(parts)
	if _, err := buffers.WriteTo(c.client.net); err != nil {
		c.client.cut()
		return
	}
	c.b.figures.answered(c.product, as)
	c.b.noteLate(c, as)
}
