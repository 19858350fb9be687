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

// conn is a connection to a host. Its goroutine executes run.
type conn struct {
	id          pool.Conn
	hosts       *Hosts
	host        *host
	hostID      policy.HostID
	addr        string
	cancel      context.CancelFunc // cancels its dial
	net         net.Conn
	reader      *bufio.Reader
	writeBuffer []byte // buffer for the command line or request header, reused

	// Guarded by hosts.mu.
	next       *Attempt // the attempt to send next
	idle       bool     // its goroutine waits in a read for the next attempt
	closing    bool     // the pool has removed the connection
	unfinished bool     // the last attempt ended without a complete answer

	// Used by its goroutine only.
	exchanges  int       // attempts written so far, counting one whose write failed
	answeredAt time.Time // when the last complete answer had been read; zero before the first
}

// run dials and serves attempts until the connection ends.
func (c *conn) run(ctx context.Context) {
	hs := c.hosts
	net, err := hs.Dial(ctx, "tcp", c.addr)
	c.cancel()
	hs.mu.Lock()
	switch {
	case err != nil && !c.closing && isLocal(err):
		hs.pool.FailedLocally(hs.now(), c.id)
	case err != nil && !c.closing:
		hs.pool.Failed(hs.now(), c.id)
	case err == nil:
		c.net, c.reader = net, newReader(net)
		if !c.closing {
			hs.pool.Opened(hs.now(), c.id)
		}
		c.serve()
		c.closeOrReset()
	}
	delete(hs.conns, c.id)
	c.host.open--
	hs.removeIfUnused(c.host)
	hs.mu.Unlock()
}

// serve sends the attempts that the pool assigns to the connection and waits in between. The caller holds hosts.mu; it is released
// while serve blocks.
func (c *conn) serve() {
	hs := c.hosts
	for first := true; !c.closing; first = false {
		a := c.next
		if a == nil {
			if a = c.waitForAttempt(); a == nil {
				return
			}
		}
		c.next = nil
		hs.mu.Unlock()
		r, written, keep := c.exchange(a)
		a.finish(r, written) // before the connection is reused: a later GiveUp cannot end another attempt
		hs.mu.Lock()
		if first && (r.Outcome == policy.Rejected || r.Outcome == policy.Reset) {
			hs.pool.Rejected(hs.now(), c.id)
		}
		if why := c.endReason(r, keep); why != pool.Unknown {
			c.unfinished = why == pool.Unfinished
			c.ended(why)
			c.closing = true
		} else {
			hs.pool.Freed(hs.now(), c.id)
		}
	}
}

// endReason returns why the connection cannot be reused after an attempt, or Unknown if it can.
func (c *conn) endReason(r Result, keep bool) pool.Reason {
	switch {
	case keep && c.reader.Buffered() > 0:
		c.report(UnexpectedData, nil, nil)
		return pool.UnexpectedData
	case keep:
		return pool.Unknown
	case r.Err == nil && r.Exchange > 0:
		return pool.NotKept
	}
	return pool.Unfinished
}

// ended tells the pool that the connection cannot be used any more. The caller holds hosts.mu.
func (c *conn) ended(why pool.Reason) {
	c.hosts.closed[why]++
	c.hosts.pool.Closed(c.hosts.now(), c.id)
}

// exchange writes an attempt and reads its answer. It returns the result, whether the last byte of the attempt was written, and
// whether the connection can be reused.
func (c *conn) exchange(a *Attempt) (r Result, written, keep bool) {
	// The attempt may have waited for the connection. It is not written if its time is over or the grace of its host has expired.
	if !a.setStop(c.reset) || c.hosts.graceExpired(c.host) || a.LatestStart.Passed() || a.Deadline.Passed() ||
		a.ClientGone != nil && a.ClientGone() {
		return Result{Outcome: policy.NeverSent}, false, true
	}
	c.net.SetReadDeadline(a.Deadline.Time())
	announced := a.announcedTime()
	if announced < time.Millisecond {
		return Result{Outcome: policy.NeverSent}, false, true
	}
	if a.Upload != nil {
		if !c.hosts.beginTransfer(c.host) {
			return Result{Outcome: policy.NeverSent, Err: errTooManyTransfers}, false, true
		}
		defer c.hosts.endTransfer(c.host)
		if !a.Upload.Take() { // another attempt has taken the value
			return Result{Outcome: policy.NeverSent}, false, true
		}
	}
	began := time.Now()
	c.exchanges++
	if outcome, err := c.write(a, announced); outcome != policy.Fulfilled {
		return c.describe(Result{Outcome: outcome}, err), false, false
	}
	var clientTime time.Duration
	if a.Upload != nil {
		clientTime = time.Since(began)
	}
	c.hosts.sent.Add(1)
	r, keep, err := c.read(a)
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		r = Result{Outcome: policy.TimedOut}
	case isConnectionError(err):
		r = Result{Outcome: policy.Reset}
	case errors.Is(err, errTooManyTransfers) || errors.Is(err, errNoMemory): // that says nothing about the host
		r = Result{Outcome: policy.Cancelled}
	case err != nil:
		c.reportDisbelieved(a, err)
		r = Result{Outcome: policy.MalformedAnswer}
	default:
		c.answeredAt = time.Now()
	}
	r.ClientTransferTime += clientTime
	return c.describe(r, err), true, keep && err == nil
}

// describe adds the connection and the error, if there was one, to the result of an attempt that was written.
func (c *conn) describe(r Result, err error) Result {
	r.Connection, r.Exchange, r.Err = c.id, c.exchanges, err
	return r
}

// maxUnblockedWrite is the number of bytes that an idle connection accepts without blocking: the system's socket buffers are larger.
const maxUnblockedWrite = 8 << 10

// isConnectionError distinguishes the end of a connection from an invalid answer.
func isConnectionError(err error) bool {
	var netError net.Error
	return errors.As(err, &netError) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}

// closeOrReset closes the connection, with a reset if its last attempt may still be in transit.
func (c *conn) closeOrReset() {
	if c.unfinished {
		c.reset()
		return
	}
	c.net.Close()
}

// reset closes the connection with a TCP reset. Otherwise the system would still deliver the buffered rest of an attempt to a host
// that cannot be reached at present. The attempt could then run there long after it was given up, past its deadline and outside
// the window in which duplicates are detected.
func (c *conn) reset() {
	if socket, ok := c.net.(*net.TCPConn); ok {
		socket.SetLinger(0)
	}
	c.net.Close()
}

// write sends an attempt and the remaining time announced to the host. It returns Fulfilled if the last byte was written, that is,
// if the attempt may run, and otherwise why it was not.
func (c *conn) write(a *Attempt, announced time.Duration) (policy.Outcome, error) {
	if len(a.Value) > maxUnblockedWrite { // a write that is incomplete by then is abandoned
		c.net.SetWriteDeadline(a.LatestStart.First(deadline.After(time.Now(), a.transferTime())).Time())
		defer c.net.SetWriteDeadline(time.Time{})
	}
	c.writeBuffer = c.writeBuffer[:0]
	cmd := a.Command
	parts := net.Buffers{nil}
	if c.host.isOrigin {
		method, length := "GET", -1
		if cmd.Write {
			method, length = "PUT", cmd.Length
			parts = append(parts, a.Value)
		}
		path := httpwire.AppendPath(nil, cmd.Key)
		c.writeBuffer = httpwire.AppendRequest(c.writeBuffer, method, string(path), c.addr, length,
			httpwire.HeaderRequestID, string(cmd.ID), httpwire.HeaderAttrs, string(cmd.AppendAttrs(nil, announced)))
	} else {
		c.writeBuffer = cmd.AppendForwarded(c.writeBuffer, announced)
		if cmd.Write {
			parts = append(parts, a.Value, []byte("\r\n"))
		}
	}
	if a.Upload != nil {
		return c.writeUpload(a, announced)
	}
	parts[0] = c.writeBuffer
	total := int64(0)
	for _, p := range parts {
		total += int64(len(p))
	}
	n, err := int64(0), error(nil)
	if len(parts) == 1 {
		var written int
		written, err = c.net.Write(c.writeBuffer)
		n = int64(written)
	} else {
		n, err = parts.WriteTo(c.net)
	}
	switch {
	case n == total:
		return policy.Fulfilled, nil
	case isLocal(err):
		return policy.NeverSent, err
	}
	return policy.ConnectFailed, err
}

var (
	errInvalidAnswer = errors.New("not an answer to this attempt")
	errForeignID     = errors.New("answer with the id of another request")
	errNoMemory      = errors.New("no memory for the value")

	errTooManyTransfers = errors.New("too many long values are in transfer")
)

// read reads the answer to an attempt. After an answer without an id the connection is not reused.
func (c *conn) read(a *Attempt) (r Result, keep bool, err error) {
	if c.host.isOrigin {
		return c.readOrigin(a)
	}
	line, err := c.reader.ReadSlice('\n')
	if err != nil {
		return r, false, err
	}
	if len(line) < 2 || line[len(line)-2] != '\r' || len(line) > memcache.MaxLineBytes {
		return r, false, errInvalidAnswer
	}
	answer, err := memcache.ParseAnswer(line[:len(line)-2])
	if err != nil {
		return r, false, err
	}
	if c.hosts.config.LoadReports {
		r.Load = loadreport.Parse(string(answer.Report), "=")
	}
	switch answer.Reply {
	case memcache.Rejected:
		r.Outcome = policy.Rejected
		if c.exchanges > 1 { // a second answer to an earlier attempt would look the same
			r.Outcome = policy.UnprovenRejection
		}
		return r, false, nil
	case memcache.Errored:
		r.Outcome = policy.Errored
		return r, false, nil
	case memcache.Miss:
		r.Outcome = policy.CacheMiss
	case memcache.Receipt:
		r.Body = append(r.Body, answer.Receipt...)
	}
	if string(answer.ID) != string(a.Command.ID) {
		return r, false, errForeignID
	}
	// The answer must be complete and of the kind that the command expects.
	if answer.Reply != memcache.Miss && (answer.Reply == memcache.Receipt) != a.Command.Write ||
		answer.Reply == memcache.Receipt && !memcache.IsReceipt(answer.Receipt) {
		return r, false, errInvalidAnswer
	}
	if answer.Reply == memcache.Value {
		if answer.Length > MaxBufferedBytes {
			return c.streamValue(a, r, answer.Length, c.readLineEnd)
		}
		if !a.ReserveMemory(answer.Length + 2) {
			return r, false, errNoMemory
		}
		r.Body = make([]byte, answer.Length+2)
		if _, err = io.ReadFull(c.reader, r.Body); err != nil {
			return r, false, err
		}
		if string(r.Body[answer.Length:]) != "\r\n" {
			return r, false, errInvalidAnswer
		}
		r.Body = r.Body[:answer.Length]
	}
	return r, true, nil
}

// readLineEnd reads the line end that follows a value.
func (c *conn) readLineEnd() error {
	var end [2]byte
	if _, err := io.ReadFull(c.reader, end[:]); err != nil {
		return err
	}
	if string(end[:]) != "\r\n" {
		return errInvalidAnswer
	}
	return nil
}

// readOrigin reads an answer of the origin. It has no id, so on a connection that carried an earlier attempt it could be a second
// answer to that one: the connection is not reused.
func (c *conn) readOrigin(a *Attempt) (r Result, keep bool, err error) {
	maxBuffered := MaxBufferedBytes
	if a.Command.Write {
		maxBuffered = memcache.MaxValueBytes // the body is a receipt or an error text
	}
	resp, err := httpwire.Read(c.reader, memcache.MaxValueBytes, maxBuffered, a.ReserveMemory)
	if err != nil {
		return r, false, err
	}
	if resp.UnreadLength > 0 {
		r, _, err = c.streamValue(a, r, resp.UnreadLength, func() error { return nil })
		return r, false, err
	}
	switch {
	case resp.Status == 200 && (!a.Command.Write || memcache.IsReceipt(resp.Body)):
		r.Body = resp.Body
	case (resp.Status == 503 || resp.Status == 504) && resp.NotProcessed:
		r.Outcome = policy.Rejected
	default:
		r.Outcome = policy.Errored
	}
	return r, false, nil
}

// waitForAttempt waits until the pool assigns an attempt to the connection. It returns nil if the connection ended first. The caller
// holds hosts.mu; it is released during the wait. An idle connection blocks in a read, so that a close by the host is noticed at once.
func (c *conn) waitForAttempt() *Attempt {
	hs := c.hosts
	c.idle = true
	c.net.SetReadDeadline(time.Time{})
	hs.mu.Unlock()
	_, err := c.reader.Peek(1)
	hs.mu.Lock()
	c.idle = false
	a := c.next
	c.next = nil
	switch {
	case c.closing:
		return nil
	case a != nil && errors.Is(err, os.ErrDeadlineExceeded):
		return a
	}
	// The host closed the connection or sent unexpected data. An attempt that was assigned meanwhile is sent over another
	// connection: none of its bytes was written.
	why := pool.EndedByHost
	if err == nil {
		why = pool.UnexpectedData
		c.report(UnexpectedData, nil, nil)
	}
	c.ended(why)
	if a != nil {
		hs.send(a)
	}
	return nil
}

func newReader(from io.Reader) *bufio.Reader {
	return bufio.NewReaderSize(from, 2*memcache.MaxLineBytes)
}
