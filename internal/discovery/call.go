package discovery

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	"streamrail/internal/httpwire"
)

const maxListBytes = 8 << 20 // room for about ten thousand hosts

// connection is a connection to discovery, which carries one call at a time.
type connection struct {
	net.Conn
	reader      *bufio.Reader
	calls       int   // calls written to it so far
	call        *call // that is being carried out
	hasDeadline bool  // of reads
}

// Read reads from the network, notes the progress of the call and announces leaving hosts when they are due.
func (c *connection) Read(b []byte) (int, error) {
	for {
		dueAt := c.call.leaving.announce(time.Now())
		if c.hasDeadline || !dueAt.IsZero() {
			c.SetReadDeadline(dueAt)
			c.hasDeadline = !dueAt.IsZero()
		}
		n, err := c.Conn.Read(b)
		if n > 0 {
			c.call.progress.received(time.Now(), n)
		}
		if n > 0 || !c.hasDeadline || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
	}
}

// call is one request to discovery: for a snapshot, or for the changes since a generation. A goroutine carries it out. A call that is
// late stays open beside the next one until it is given up.
type call struct {
	target    string
	watching  bool // asks for changes
	known     int64
	startedAt time.Time
	cancel    context.CancelFunc // gives the call up and closes its connection
	progress  progress
	leaving   leavingHosts
	late      bool // Next has reported that the response is late
}

// response is what became of a call, or a part of its response if the list is partial.
type response struct {
	call *call
	conn *connection // on which the next call can be made; nil if there is none
	list List
	err  error
}

// unusableError marks a response that arrived but cannot be used.
type unusableError struct{ error }

// staleError marks a response that may be a second one to an earlier call on the connection.
type staleError struct{ error }

// progress tells from when on a call is late. It is safe for concurrent use.
type progress struct {
	responseTimeout time.Duration // from the request until the response begins
	timeouts        Timeouts

	mu        sync.Mutex
	stage     callStage
	lateAt    time.Time
	firstAt   time.Time // when the first byte of the response arrived
	lastAt    time.Time // when the last byte so far arrived
	mark      time.Time // when the first byte arrived, or the last minProgressBytes were complete
	sinceMark int       // bytes that have arrived since then
	steady    bool      // minProgressBytes have been complete once
}

// minProgressBytes is how much of a response must arrive within Timeouts.Body; the text of some twelve hosts.
const minProgressBytes = 2 << 10

// callStage is how far a call has come.
type callStage int

const (
	connecting callStage = iota
	waiting              // for the response to begin
	receiving
)

func (s callStage) String() string {
	return [...]string{"not connected", "no response", "the response is not complete"}[s]
}

func (p *progress) start(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lateAt = now.Add(p.timeouts.Connect)
}

// requestSent notes that the connection is open and the request is on its way.
func (p *progress) requestSent(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stage, p.lateAt = waiting, now.Add(p.responseTimeout)
}

// received notes that n bytes of the response have arrived.
func (p *progress) received(now time.Time, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stage != receiving {
		p.stage, p.firstAt, p.mark = receiving, now, now
	}
	p.lastAt = now
	if p.sinceMark += n; p.sinceMark >= minProgressBytes {
		p.mark, p.sinceMark, p.steady = now, 0, true
	}
	p.lateAt = now.Add(p.timeouts.Read)
	if end := p.mark.Add(p.timeouts.Body); end.Before(p.lateAt) {
		p.lateAt = end
	}
}

// isSteady reports whether a response is arriving steadily.
func (p *progress) isSteady(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.steady && now.Before(p.lateAt)
}

// isArriving reports whether a response is arriving, however slowly.
func (p *progress) isArriving(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stage == receiving && now.Sub(p.lastAt) < p.timeouts.Read
}

// currentStage returns how far the call has come.
func (p *progress) currentStage() callStage {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stage
}

// lateness returns the time from which on the call is late, and whether its response arrives steadily until then.
func (p *progress) lateness() (lateAt time.Time, steady bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lateAt, p.steady
}

// firstByteAt returns when the first byte of the response arrived.
func (p *progress) firstByteAt() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.firstAt
}

// carryOut makes a call, on an open connection if one is given, and delivers the response unless the call has been given up.
func (w *Watch) carryOut(ctx context.Context, c *call, conn *connection) {
	defer c.cancel()
	c.leaving.deliver = func(l List) { w.deliver(ctx, response{call: c, list: l}) }
	r := response{call: c}
	r.list, r.conn, r.err = w.exchange(ctx, c, conn)
	if !w.deliver(ctx, r) && r.conn != nil {
		r.conn.Close()
	}
}

// deliver passes a response on to Next. It reports false if the call has been given up.
func (w *Watch) deliver(ctx context.Context, r response) bool {
	select {
	case w.responses <- r:
		return true
	case <-ctx.Done():
		return false
	}
}

// exchange sends the request of a call and reads its response. It returns the connection if it can carry another call, and closes it
// otherwise.
func (w *Watch) exchange(ctx context.Context, c *call, conn *connection) (l List, reusable *connection, err error) {
	if conn == nil {
		dialed, err := w.dial(ctx)
		if err != nil {
			return l, nil, err
		}
		conn = &connection{Conn: dialed}
		conn.reader = bufio.NewReader(conn)
	}
	conn.calls++
	conn.call = c
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	l, closes, err := w.converse(c, conn)
	if !stop() || closes || err != nil || conn.reader.Buffered() > 0 { // data after the response belongs to no call
		conn.Close()
		return l, nil, err
	}
	return l, conn, nil
}

func (w *Watch) dial(ctx context.Context) (net.Conn, error) {
	if w.Dial != nil {
		return w.Dial(ctx, "tcp", w.Addr)
	}
	return new(net.Dialer).DialContext(ctx, "tcp", w.Addr)
}

// converse writes the request of a call, reads the response and checks it. It reports whether the connection is to be closed.
func (w *Watch) converse(c *call, conn *connection) (l List, closes bool, err error) {
	c.progress.requestSent(time.Now())
	if _, err = conn.Write(httpwire.AppendRequest(nil, "GET", c.target, w.Addr, -1)); err != nil {
		return l, true, err
	}
	response, body, err := httpwire.Open(conn.reader, maxListBytes)
	if err != nil {
		return l, true, err
	}
	if response.Status/100 == 4 { // for example because it does not know the generation
		return l, true, unusableError{fmt.Errorf("status %d", response.Status)}
	}
	if response.Status != 200 {
		return l, true, fmt.Errorf("status %d", response.Status)
	}
	c.leaving.firstByteAt = c.progress.firstByteAt()
	l, err = w.Names.Decode(body, c.leaving.add)
	switch {
	case body.Err() != nil:
		return l, true, body.Err()
	case err != nil:
		return l, true, unusableError{err}
	}
	l.ReceivedAt = c.progress.firstByteAt()
	return l, response.Close, c.check(l, conn.calls > 1)
}

// check returns an error if a list cannot be the response to this call.
func (c *call) check(l List, connectionReused bool) error {
	switch {
	case l.olderThan(c.known) && connectionReused:
		return staleError{fmt.Errorf("got a list of generation %d after generation %d on the same connection", l.Generation, c.known)}
	case l.Snapshot:
	case !c.watching:
		return unusableError{errors.New("got changes, expected a snapshot")}
	case l.Generation < c.known: // another discovery server, or one that lost its state
		return unusableError{fmt.Errorf("got changes of generation %d after generation %d", l.Generation, c.known)}
	}
	return nil
}
