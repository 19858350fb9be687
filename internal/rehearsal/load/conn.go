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

// conn is one connection of a client, over which one call goes at a time.
type conn struct {
	net  net.Conn
	in   *bufio.Reader
	used bool
	last string // the id of the call that it carried last
}

func newConn(n net.Conn) *conn {
	return &conn{net: n, in: bufio.NewReaderSize(n, 2*memcache.MaxLineBytes)}
}

// reply is one answer of a balancer.
type reply struct {
	kind     record.Reply
	id       string
	body     []byte
	comeBack time.Duration
}

// read takes one answer; an answer that no client can read is an errored one.
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
			r.comeBack = time.Duration(ms) * time.Millisecond
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

// value is what clients write.
const value = "12345"

// try makes one try of a call: it is sent, and its answer or the end of its client's patience is awaited.
func (c *Callers) try(k *record.Call, zone int, write bool) {
	k.Balancer = c.pick(zone, k.Tenant)
	f := c.fronts[k.Balancer]
	for {
		co, addr := f.take(k.Crossed < mostCrossed)
		if co == nil {
			var err error
			if co, err = dial(addr, max(time.Millisecond, k.Timeout-c.w.Now())); err != nil {
				k.NotTaken = true
				return
			}
		}
		if !c.over(co, k, write, f) {
			return
		}
		k.Crossed++
	}
}

// mostCrossed is how many closed connections a client meets before it opens one of its own. A balancer that stood still
// for seconds leaves hundreds that were opened meanwhile, and closes them all when they have rested long enough; taking
// the hundredth for an answer blamed the balancer for what its clients kept.
const mostCrossed = 100

// crossesIn is within what time of the call's last byte the close of a resting connection, on its way by then, is seen;
// one that comes later answers the call.
const crossesIn = 50 * time.Millisecond

// over carries a try over a connection; true where the connection was closed while it rested, before the call.
func (c *Callers) over(co *conn, k *record.Call, write bool, f *front) (crossed bool) {
	fresh := !co.used
	co.used = true
	attrs := fmt.Sprintf("c=%s,t=%s,d=%d", c.w.Day.Products[k.Product].Name, c.w.Day.Tenants[k.Tenant].Name,
		max(1, (k.Timeout-c.w.Now()).Milliseconds()))
	text := make([]byte, 0, 256)
	if write {
		if k.Mark != "" {
			attrs += ",k=" + k.Mark
		}
		text = fmt.Appendf(text, "ms %s %d O%s P%s\r\n%s\r\n", k.Key, len(value), k.ID, attrs, value)
	} else {
		text = fmt.Appendf(text, "mg %s v O%s P%s\r\n", k.Key, k.ID, attrs)
	}
	if k.Sent == 0 {
		c.late(k.Due, c.w.Now())
	}
	co.net.SetDeadline(time.Now().Add(k.Timeout - c.w.Now()))
	_, err := co.net.Write(text)
	k.Sent = c.w.Now()
	if err != nil {
		co.net.Close()
		return !fresh
	}
	for {
		r, err := co.read()
		now := c.w.Now()
		if err == nil && r.id != "" && r.id != k.ID && r.id == co.last {
			c.again(r.id) // a further answer to the call before
			continue
		}
		if err != nil {
			co.net.Close()
			switch {
			case r.id == k.ID && r.kind == record.Fulfilled && !errors.Is(err, os.ErrDeadlineExceeded):
				k.Answered, k.Reply = now, record.CutShort
				k.Excused = f.ends()
			case errors.Is(err, os.ErrDeadlineExceeded):
				k.Reply = record.None
				k.Excused = f.ends()
			case !fresh && now-k.Sent < crossesIn && co.in.Buffered() == 0 &&
				(errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET)):
				return true // closed with not a byte of an answer: that crossed the call
			default:
				k.Reply, k.Ended = record.Closed, now
				k.Excused = f.ends()
			}
			return false
		}
		k.Answered, k.Reply, k.ComeBack = now, r.kind, r.comeBack
		if r.kind == record.Fulfilled && !c.right(k, r, write) {
			k.Reply = record.Wrong
		}
		co.last = k.ID
		f.give(co)
		return false
	}
}

// right tells whether an answer was made for a call.
func (c *Callers) right(k *record.Call, r reply, write bool) bool {
	if r.id != k.ID {
		return false
	}
	if write {
		return string(r.body) == "r-"+k.ID
	}
	words := bytes.SplitN(r.body, []byte(" "), 4)
	return len(words) == 4 && string(words[0]) == k.Key && string(words[2]) == k.ID && len(r.body) == c.w.Day.Load.ValueSize
}
