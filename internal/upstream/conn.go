package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"time"

	"streamrail/internal/httpwire"
	"streamrail/internal/memcache"
	"streamrail/policy"
)

// conn is a connection to one host; its goroutine runs run.
type conn struct {
	hosts *Hosts
	host  *host
	addr  string
	net   net.Conn
	in    *bufio.Reader
	next  *Shot  // handed over while idle; under hosts.mu
	head  []byte // written last, used again
}

// run dials and carries shots until the connection ends.
func (c *conn) run(s *Shot) {
	if c.dial(s) {
		c.serve(s)
		c.net.Close()
	}
	c.hosts.mu.Lock()
	c.hosts.open--
	c.host.open--
	c.hosts.forget(c.host)
	c.hosts.mu.Unlock()
}

func (c *conn) serve(s *Shot) {
	for s != nil && c.carry(s) {
		s = c.rest()
	}
	if c.next != nil { // found closed before anything was written: it goes over another one
		c.hosts.Shoot(c.next)
	}
}

func (c *conn) dial(s *Shot) bool {
	ctx, cancel := context.WithDeadline(context.Background(), earlier(s.Until, time.Now().Add(c.hosts.limits.Connect)))
	defer cancel()
	if !s.carry(cancel) {
		s.end(Result{Outcome: policy.NeverSent}, false)
		return false
	}
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", c.addr)
	if err != nil {
		s.end(Result{Outcome: policy.ConnectFailed}, false)
		return false
	}
	c.net, c.in = conn, newReader(conn)
	return true
}

func earlier(x, y time.Time) time.Time {
	if x.Before(y) {
		return x
	}
	return y
}

// carry writes a shot and waits for its answer; it tells whether the connection can be kept.
func (c *conn) carry(s *Shot) (keep bool) {
	// The order may have waited for the connection: what is over, or drained by now, is not written any more.
	if !s.carry(func() { c.net.Close() }) || c.hosts.tooLate(c.host) {
		s.end(Result{Outcome: policy.NeverSent}, false)
		return true
	}
	c.net.SetDeadline(s.Until)
	if !c.write(s) {
		s.end(Result{Outcome: policy.ConnectFailed}, false)
		return false
	}
	r, keep, err := c.read(s)
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		r = Result{Outcome: policy.TimedOut}
	case broken(err):
		r = Result{Outcome: policy.Reset}
	case err != nil:
		r = Result{Outcome: policy.Spoilt}
	}
	s.end(r, true)
	return keep && err == nil
}

// broken tells an end of the connection from an answer that cannot be read.
func broken(err error) bool {
	var fromNet net.Error
	return errors.As(err, &fromNet) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}

// write tells whether the last byte of a shot was written, that is, whether it may run.
func (c *conn) write(s *Shot) (whole bool) {
	c.head = c.head[:0]
	cmd := s.Command
	parts := net.Buffers{nil}
	if c.host.isOrigin {
		method, length := "GET", -1
		if cmd.Write {
			method, length = "PUT", len(s.Value)
			parts = append(parts, s.Value)
		}
		path := httpwire.AppendPath(nil, cmd.Key)
		c.head = httpwire.AppendRequest(c.head, method, string(path), c.addr, length,
			httpwire.ID, string(cmd.ID), httpwire.Attrs, string(cmd.Attrs))
	} else {
		c.head = cmd.AppendOnward(c.head, time.Until(s.Until))
		if cmd.Write {
			parts = append(parts, s.Value, []byte("\r\n"))
		}
	}
	parts[0] = c.head
	total := int64(0)
	for _, p := range parts {
		total += int64(len(p))
	}
	n, _ := parts.WriteTo(c.net)
	return n == total
}

var (
	errGarbage = errors.New("not an answer to this shot")
	errNoRoom  = errors.New("no memory for the value")
)

func (c *conn) read(s *Shot) (r Result, keep bool, err error) {
	if c.host.isOrigin {
		return c.readOrigin(s)
	}
	line, err := c.in.ReadSlice('\n')
	if err != nil {
		return r, false, err
	}
	if len(line) < 2 || line[len(line)-2] != '\r' || len(line) > memcache.MostLine {
		return r, false, errGarbage
	}
	a, err := memcache.ParseAnswer(line[:len(line)-2])
	if err != nil {
		return r, false, err
	}
	r.Note = a.Note
	switch a.Reply {
	case memcache.TurnedAway:
		r.Outcome = policy.TurnedAway
		return r, true, nil
	case memcache.Errored:
		r.Outcome = policy.Errored
		return r, true, nil
	case memcache.Miss:
		r.Outcome = policy.Missed
	case memcache.Receipt:
		r.Body = append(r.Body, a.Receipt...)
	}
	// The answer must be to this command, and of its kind and whole.
	if string(a.ID) != string(s.Command.ID) || a.Reply != memcache.Miss && (a.Reply == memcache.Receipt) != s.Command.Write ||
		a.Reply == memcache.Receipt && !memcache.IsReceipt(a.Receipt) {
		return r, false, errGarbage
	}
	if a.Reply == memcache.Value {
		if !s.Room(a.Length + 2) {
			return r, false, errNoRoom
		}
		r.Body = make([]byte, a.Length+2)
		if _, err = io.ReadFull(c.in, r.Body); err != nil {
			return r, false, err
		}
		if string(r.Body[a.Length:]) != "\r\n" {
			return r, false, errGarbage
		}
		r.Body = r.Body[:a.Length]
	}
	return r, true, nil
}

func (c *conn) readOrigin(s *Shot) (r Result, keep bool, err error) {
	resp, err := httpwire.Read(c.in, memcache.MostValue, s.Room)
	if err != nil {
		return r, false, err
	}
	switch {
	case resp.Status == 200 && (!s.Command.Write || memcache.IsReceipt(resp.Body)):
		r.Body = resp.Body
	case (resp.Status == 503 || resp.Status == 504) && resp.NotProcessed:
		r.Outcome = policy.TurnedAway
	default:
		r.Outcome = policy.Errored
	}
	return r, !resp.Close, nil
}

// rest keeps the connection until the next shot, nil where it ended before one came.
func (c *conn) rest() *Shot {
	hs := c.hosts
	hs.mu.Lock()
	if hs.over || !c.host.told.IsZero() || c.addr != c.host.Addr || c.in.Buffered() > 0 {
		hs.mu.Unlock()
		return nil
	}
	c.net.SetDeadline(time.Now().Add(hs.limits.Idle))
	hs.idle = append(hs.idle, c)
	hs.mu.Unlock()
	_, err := c.in.Peek(1)
	hs.mu.Lock()
	defer hs.mu.Unlock()
	if c.next == nil {
		hs.unrest(c) // its time is up, or the host closed it or spoke unasked
		return nil
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return nil
	}
	s := c.next
	c.next = nil
	return s
}

func newReader(from io.Reader) *bufio.Reader { return bufio.NewReaderSize(from, 2*memcache.MostLine) }
