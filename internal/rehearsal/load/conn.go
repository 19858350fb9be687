package load

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"syscall"
	"time"

	"streamrail/internal/memcache"
	"streamrail/internal/rehearsal/record"
)

// conn is one connection of a client. It carries one request at a time.
type conn struct {
	net    net.Conn
	in     *bufio.Reader
	used   bool
	lastID string // id of the last request answered on this connection
}

// newConn wraps an open network connection.
func newConn(n net.Conn) *conn {
	return &conn{net: n, in: bufio.NewReaderSize(n, 2*memcache.MaxLineBytes)}
}

// reply is one answer of a balancer.
type reply struct {
	kind       record.Reply
	id         string
	body       []byte
	retryAfter time.Duration
}

// read reads one answer. An answer that cannot be parsed counts as errored.
func (c *conn) read() (r reply, err error) {
	line, err := c.in.ReadSlice('\n')
	if err != nil {
		return r, err
	}
	line = bytes.TrimRight(line, "\r\n")
	r.kind = record.Errored
	if busy, ok := bytes.CutPrefix(line, []byte("SERVER_ERROR busy")); ok {
		r.kind = record.RateLimited
		if ms, err := strconv.Atoi(string(bytes.TrimSpace(busy))); err == nil {
			r.retryAfter = time.Duration(ms) * time.Millisecond
		}
		return r, nil
	}
	a, err := memcache.ParseAnswer(line)
	if err != nil {
		return r, nil
	}
	r.id = string(a.ID)
	switch a.Reply {
	case memcache.Value:
		r.kind, r.body = record.Fulfilled, make([]byte, a.Length+2)
		if _, err = io.ReadFull(c.in, r.body); err != nil {
			return r, err
		}
		r.body = r.body[:a.Length]
	case memcache.Receipt:
		r.kind, r.body = record.Fulfilled, bytes.Clone(a.Receipt)
	}
	return r, nil
}

// writtenValue is the value that clients write.
const writtenValue = "12345"

// sendRequest sends a request once and waits for its answer or for the client's deadline.
func (c *Clients) sendRequest(req *record.Request, zone int, write bool) {
	req.Balancer = c.pickBalancer(zone, req.Tenant)
	target := c.targets[req.Balancer]
	for {
		co, addr := target.checkout(req.ClosedConnections < maxClosedConns)
		if co == nil {
			var err error
			if co, err = dial(addr, max(time.Millisecond, req.Timeout-c.environment.Now())); err != nil {
				req.NotSent = true
				return
			}
		}
		if !c.exchange(co, req, write, target) {
			return
		}
		req.ClosedConnections++
	}
}

// maxClosedConns is how many closed idle connections a request may meet before the client opens a new one. While a balancer
// is paused for seconds, clients open hundreds of connections, which the balancer later closes all at once after its idle
// timeout. Without a new connection, the close of the last one tried would be counted as the balancer's answer.
const maxClosedConns = 100

// closeRaceWindow is how soon after a request's last byte was sent the close of an idle connection counts as having crossed
// the request in transit. A later close counts as the answer to the request.
const closeRaceWindow = 50 * time.Millisecond

// exchange sends a request over a connection and reads its answer. It returns true if the balancer had closed the
// connection while it was idle, before the request arrived.
func (c *Clients) exchange(co *conn, req *record.Request, write bool, target *balancerTarget) (closedWhileIdle bool) {
	fresh := !co.used
	co.used = true
	attrs := fmt.Sprintf("c=%s,t=%s,d=%d", c.environment.Scenario.Products[req.Product].Name, c.environment.Scenario.Tenants[req.Tenant].Name,
		max(1, (req.Timeout-c.environment.Now()).Milliseconds()))
	text := make([]byte, 0, 256)
	if write {
		if req.DedupToken != "" {
			attrs += ",k=" + req.DedupToken
		}
		text = fmt.Appendf(text, "ms %s %d O%s P%s\r\n%s\r\n", req.Key, len(writtenValue), req.ID, attrs, writtenValue)
	} else {
		text = fmt.Appendf(text, "mg %s v O%s P%s\r\n", req.Key, req.ID, attrs)
	}
	if req.Sent == 0 {
		c.recordLateness(req.ScheduledAt, c.environment.Now())
	}
	co.net.SetDeadline(time.Now().Add(req.Timeout - c.environment.Now()))
	_, err := co.net.Write(text)
	req.Sent = c.environment.Now()
	if err != nil {
		co.net.Close()
		return !fresh
	}
	for {
		r, err := co.read()
		now := c.environment.Now()
		if err == nil && r.id != "" && r.id != req.ID && r.id == co.lastID {
			c.recordExtraAnswer(r.id) // an extra answer to the previous request
			continue
		}
		if err != nil {
			co.net.Close()
			switch {
			case r.id == req.ID && r.kind == record.Fulfilled && !errors.Is(err, os.ErrDeadlineExceeded):
				req.Answered, req.Reply = now, record.CutShort
				req.BalancerStopped = target.isStopping()
			case errors.Is(err, os.ErrDeadlineExceeded):
				req.Reply = record.NoAnswer
				req.BalancerStopped = target.isStopping()
			case !fresh && now-req.Sent < closeRaceWindow && co.in.Buffered() == 0 &&
				(errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET)):
				return true // closed without a byte of an answer: the close crossed the request
			default:
				req.Reply, req.Ended = record.Closed, now
				req.BalancerStopped = target.isStopping()
			}
			return false
		}
		req.Answered, req.Reply, req.RetryAfter = now, r.kind, r.retryAfter
		if r.kind == record.Fulfilled && !c.isCorrect(req, r, write) {
			req.Reply = record.WrongAnswer
		}
		co.lastID = req.ID
		target.release(co)
		return false
	}
}

// isCorrect reports whether an answer belongs to the request and has the expected contents.
func (c *Clients) isCorrect(req *record.Request, r reply, write bool) bool {
	if r.id != req.ID {
		return false
	}
	if write {
		return string(r.body) == "r-"+req.ID
	}
	words := bytes.SplitN(r.body, []byte(" "), 4)
	return len(words) == 4 && string(words[0]) == req.Key && string(words[2]) == req.ID && len(r.body) == c.environment.Scenario.Load.ValueSize
}
