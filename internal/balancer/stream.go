package balancer

import (
	"io"

	"streamrail/internal/memcache"
	"streamrail/internal/upstream"
)

// streamValue answers the request with a long value of a host, which is passed on as it arrives, once the commands before it are answered.
// If the value cannot be completed, the client's connection ends before the announced length, so that the client can detect it.
func (c *clientRequest) streamValue(v *upstream.Value) (whole bool) {
	begun := false
	c.balancer.callPolicy(func() {
		if begun = c.startStream(); begun {
			c.balancer.policy.AnswerStarted(c.id)
		}
	})
	if !begun {
		return false
	}
	c.balancer.streams.Add(1)
	defer c.balancer.streams.Add(-1)
	defer close(c.answered)
	defer c.balancer.answerStats.unanswered.Add(-1)
	select {
	case <-c.previousAnswered:
	case <-c.client.gone:
		return false
	}
	out := upstream.ExtendingConn{Conn: c.client.conn}
	_, err := out.Write(memcache.AppendValue(nil, c.ID, v.Length))
	if err == nil {
		_, err = upstream.Copy(out, v, v.Length)
	}
	if err == nil {
		if err = v.End(); err == nil {
			_, err = io.WriteString(out, "\r\n")
		}
	}
	if err != nil {
		c.client.abortAnswer()
		return false
	}
	c.balancer.traffic.fulfilled.Add(1)
	c.balancer.answerStats.countAnswer(c.product, fulfilled)
	return true
}

// startStream chooses a long value as the final answer; false if another one is chosen already.
func (c *clientRequest) startStream() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.answerChosen {
		return false
	}
	c.answerChosen, c.streaming = true, true
	return true
}

func (c *clientRequest) isStreaming() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.streaming
}
