package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"time"

	"streamrail/internal/deadline"
	"streamrail/internal/httpwire"
	"streamrail/internal/loadreport"
	"streamrail/internal/memcache"
	"streamrail/internal/pool"
	"streamrail/policy"
)

// conn is a connection to one host; its goroutine runs run.
type conn struct {
	id     pool.Conn
	hosts  *Hosts
	host   *host
	addr   string
	cancel context.CancelFunc // of its dial
	net    net.Conn
	in     *bufio.Reader
	head   []byte // written last, used again

	// Under hosts.mu.
	next       *Attempt // that it is to carry
	resting    bool     // its goroutine waits in a read
	closing    bool     // the pool has dropped it
	unfinished bool     // its last attempt has ended without the answer that it waits for
}

// run dials and carries attempts until the connection ends.
func (c *conn) run(ctx context.Context) {
	hs := c.hosts
	net, err := hs.Dial(ctx, "tcp", c.addr)
	c.cancel()
	hs.mu.Lock()
	switch {
	case err != nil && !c.closing && isLocal(err):
		hs.pool.FailedHere(hs.now(), c.id)
	case err != nil && !c.closing:
		hs.pool.Failed(hs.now(), c.id)
	case err == nil:
		c.net, c.in = net, newReader(net)
		if !c.closing {
			hs.pool.Opened(hs.now(), c.id)
		}
		c.serve()
		c.end()
	}
	delete(hs.conns, c.id)
	c.host.open--
	hs.forget(c.host)
	hs.mu.Unlock()
}

// serve carries what the pool hands to the connection, and rests in between. Called and left under hosts.mu.
func (c *conn) serve() {
	hs := c.hosts
	for first := true; !c.closing; first = false {
		s := c.next
		if s == nil {
			if s = c.rest(); s == nil {
				return
			}
		}
		c.next = nil
		hs.mu.Unlock()
		r, written, keep := c.carry(s)
		s.end(r, written) // first: who gives it up after this ends no other attempt
		hs.mu.Lock()
		if first && (r.Outcome == policy.TurnedAway || r.Outcome == policy.Reset) {
			hs.pool.Rejected(hs.now(), c.id)
		}
		c.unfinished = !keep
		if !keep || c.in.Buffered() > 0 { // what came unasked belongs to no attempt
			hs.pool.Closed(hs.now(), c.id)
			c.closing = true
		} else {
			hs.pool.Freed(hs.now(), c.id)
		}
	}
}

// carry writes an attempt and waits for its answer; it tells what came of it, whether its last byte was written and whether
// the connection can be kept.
func (c *conn) carry(s *Attempt) (r Result, written, keep bool) {
	// The order may have waited for the connection: what is over, or drained by now, is not written any more.
	if !s.carry(c.abort) || c.hosts.tooLate(c.host) || s.BeginBy.Passed() || s.Deadline.Passed() ||
		s.Gone != nil && s.Gone() {
		return Result{Outcome: policy.NeverSent}, false, true
	}
	c.net.SetReadDeadline(s.Deadline.Time())
	told := s.announced()
	if told < time.Millisecond {
		return Result{Outcome: policy.NeverSent}, false, true
	}
	if s.Upload != nil && !s.Upload.Take() { // another attempt has had the value
		return Result{Outcome: policy.NeverSent}, false, true
	}
	began := time.Now()
	if o := c.write(s, told); o != policy.Fulfilled {
		return Result{Outcome: o}, false, false
	}
	var peer time.Duration
	if s.Upload != nil {
		peer = time.Since(began)
	}
	c.hosts.sent.Add(1)
	r, keep, err := c.read(s)
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		r = Result{Outcome: policy.TimedOut}
	case broken(err):
		r = Result{Outcome: policy.Reset}
	case err != nil:
		r = Result{Outcome: policy.Spoilt}
	}
	r.Peer += peer
	return r, true, keep && err == nil
}

// fits is what a connection on which nothing is out always takes without waiting: the system's buffers are larger.
const fits = 8 << 10

// broken tells an end of the connection from an answer that cannot be read.
func broken(err error) bool {
	var fromNet net.Error
	return errors.As(err, &fromNet) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}

// end closes the connection, by a reset where an attempt may still be on its way.
func (c *conn) end() {
	if c.unfinished {
		c.abort()
		return
	}
	c.net.Close()
}

// abort ends the connection by a reset. What the system still holds of an attempt would else go on to a server that cannot be
// reached now, and begin there long after the attempt was given up: with a deadline that has passed, and beyond the window in
// which it would be known for a repeat.
func (c *conn) abort() {
	if socket, ok := c.net.(*net.TCPConn); ok {
		socket.SetLinger(0)
	}
	c.net.Close()
}

// write tells by Fulfilled that the last byte of an attempt was written, that is, that it may run. The server is
// told so much time.
func (c *conn) write(s *Attempt, told time.Duration) policy.Outcome {
	if len(s.Value) > fits { // what is not whole by then is not to be
		c.net.SetWriteDeadline(s.BeginBy.First(deadline.After(time.Now(), s.transfer())).Time())
		defer c.net.SetWriteDeadline(time.Time{})
	}
	c.head = c.head[:0]
	cmd := s.Command
	parts := net.Buffers{nil}
	if c.host.isOrigin {
		method, length := "GET", -1
		if cmd.Write {
			method, length = "PUT", cmd.Length
			parts = append(parts, s.Value)
		}
		path := httpwire.AppendPath(nil, cmd.Key)
		c.head = httpwire.AppendRequest(c.head, method, string(path), c.addr, length,
			httpwire.ID, string(cmd.ID), httpwire.Attrs, string(cmd.AppendAttrs(nil, told)))
	} else {
		c.head = cmd.AppendOnward(c.head, told)
		if cmd.Write {
			parts = append(parts, s.Value, []byte("\r\n"))
		}
	}
	if s.Upload != nil {
		return c.upload(s, told)
	}
	parts[0] = c.head
	total := int64(0)
	for _, p := range parts {
		total += int64(len(p))
	}
	n, err := int64(0), error(nil)
	if len(parts) == 1 {
		var written int
		written, err = c.net.Write(c.head)
		n = int64(written)
	} else {
		n, err = parts.WriteTo(c.net)
	}
	switch {
	case n == total:
		return policy.Fulfilled
	case isLocal(err):
		return policy.NeverSent
	}
	return policy.ConnectFailed
}

var (
	errGarbage = errors.New("not an answer to this attempt")
	errNoRoom  = errors.New("no memory for the value")
)

func (c *conn) read(s *Attempt) (r Result, keep bool, err error) {
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
	if c.hosts.limits.Reports {
		r.Load = loadreport.Parse(string(a.Report), "=")
	}
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
		if a.Length > Whole {
			return c.pass(s, r, a.Length, c.lineEnd)
		}
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

// lineEnd reads what follows a value.
func (c *conn) lineEnd() error {
	var end [2]byte
	if _, err := io.ReadFull(c.in, end[:]); err != nil {
		return err
	}
	if string(end[:]) != "\r\n" {
		return errGarbage
	}
	return nil
}

func (c *conn) readOrigin(s *Attempt) (r Result, keep bool, err error) {
	whole := Whole
	if s.Command.Write {
		whole = memcache.MostValue // it is a receipt, or the body of an error
	}
	resp, err := httpwire.Read(c.in, memcache.MostValue, whole, s.Room)
	if err != nil {
		return r, false, err
	}
	if resp.Coming > 0 {
		r, keep, err = c.pass(s, r, resp.Coming, func() error { return nil })
		return r, keep && !resp.Close, err
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

// rest waits until the pool hands the connection an attempt, nil where it ended before one came. Called and left under
// hosts.mu. At rest it blocks in a read, so that a host that closes is heard at once.
func (c *conn) rest() *Attempt {
	hs := c.hosts
	c.resting = true
	c.net.SetReadDeadline(time.Time{})
	hs.mu.Unlock()
	_, err := c.in.Peek(1)
	hs.mu.Lock()
	c.resting = false
	s := c.next
	c.next = nil
	switch {
	case c.closing:
		return nil
	case s != nil && errors.Is(err, os.ErrDeadlineExceeded):
		return s
	}
	// The host closed it, or spoke unasked. An attempt that was handed over just then goes over another one: not a byte of
	// it was written.
	hs.pool.Closed(hs.now(), c.id)
	if s != nil {
		hs.send(s)
	}
	return nil
}

func newReader(from io.Reader) *bufio.Reader { return bufio.NewReaderSize(from, 2*memcache.MostLine) }
