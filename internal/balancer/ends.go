package balancer

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// What ends a connection of a client, from either side. docs/notes/endings.md lists what is still owed at each end.

const (
	// A client sends on while it has not heard of the end of a connection: what comes is passed over for so long, and so much of
	// it. A client that has heard closes it, which ends the wait.
	lingers   = 200 * time.Millisecond
	mostAfter = 1 << 20
	// mostAhead bounds what is read of a connection while its reader waits for something else, and so do the values that may be
	// in hand: some thousand requests. The end of a client that has sent more than that is heard when it is come to.
	mostAhead  = 1 << 20
	aheadPiece = 4 << 10
)

// ahead is what has been read of a connection while its reader could not take it.
type ahead struct {
	pieces []piece
	size   int        // of all
	end    error      // of the stream, behind them
	b      *Balancer  // whose memory it is; nil: there is enough
	held   int        // bytes of it
	mu     sync.Mutex // over the connection's time limit, while another goroutine reads ahead
}

// piece is what one read brought: a request's time counts from when it had arrived, however long it stands here.
type piece struct {
	bytes []byte
	at    time.Time
}

// drop gives all memory back.
func (a *ahead) drop() {
	if a.b != nil {
		a.b.held.Add(-int64(a.held))
	}
	a.pieces, a.size, a.held = nil, 0, 0
}

// take gives what was read ahead first, and when that came; none: the connection itself is to be read.
func (a *ahead) take(p []byte) (n int, at time.Time, none bool, err error) {
	if len(a.pieces) == 0 {
		return 0, at, a.end == nil, a.end
	}
	first := &a.pieces[0]
	at = first.at
	n = copy(p, first.bytes)
	a.size -= n
	if first.bytes = first.bytes[n:]; len(first.bytes) == 0 {
		a.pieces = a.pieces[1:]
	}
	if a.size == 0 {
		a.drop()
	}
	return n, at, false, nil
}

// leaves notes that the client has gone away: it has closed the connection, or reset it. One that has only ended its sending
// counts as gone too: nothing that comes tells the two apart.
func (c *client) leaves() { c.goneOnce.Do(func() { close(c.gone) }) }

// hasLeft tells whether it has.
func (c *client) hasLeft() bool {
	select {
	case <-c.gone:
		return true
	default:
		return false
	}
}

// hasJustLeft is hasLeft that does not wait for the reader to hear of the end: it may be held up, or be before other bytes.
func (c *client) hasJustLeft() bool {
	if !c.hasLeft() && c.receiver.ended() {
		c.leaves()
	}
	return c.hasLeft()
}

// listen waits for something other than the client's next bytes, and hears meanwhile when it goes away: what it asked for must
// not be begun after that, and what is on its way is to be given up.
func (c *client) listen(wait func()) {
	over, heard := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(heard)
		c.readAhead(over)
	}()
	wait()
	close(over)
	c.ahead.mu.Lock()
	c.net.SetReadDeadline(longAgo)
	c.ahead.mu.Unlock()
	<-heard
	c.net.SetReadDeadline(time.Time{})
}

// awaitAnswered waits until the commands read so far are answered.
func (c *client) awaitAnswered() {
	select {
	case <-c.last:
	default:
		c.listen(func() { <-c.last })
	}
}

var longAgo = time.Unix(1, 0)

// readAhead reads on until the wait is over, the client's end or the bound.
func (c *client) readAhead(over <-chan struct{}) {
	for c.ahead.size < mostAhead && c.ahead.end == nil {
		c.ahead.mu.Lock()
		select {
		case <-over:
			c.ahead.mu.Unlock()
			return
		default:
		}
		c.net.SetReadDeadline(time.Time{}) // others who woke it meant its reader, which looks for itself when it is back
		c.ahead.mu.Unlock()
		if !c.ahead.add(c.receiver.read) {
			return
		}
		if c.ahead.end != nil {
			c.leaves()
		}
	}
}

// add reads once; false where there is no memory for more.
func (a *ahead) add(read func([]byte) (int, time.Time, error)) bool {
	var room [aheadPiece]byte
	n, arrived, err := read(room[:])
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		a.end = err
	}
	if n == 0 {
		return true
	}
	a.pieces = append(a.pieces, piece{bytes.Clone(room[:n]), arrived})
	a.size += n
	if a.b != nil {
		if !a.b.hold(n) {
			return false
		}
		a.held += n
	}
	return true
}

// look tells whether anything has come that is not read yet, the client's end too. It asks the system, whatever time it is:
// a wait of any length may be over before the first look on a busy machine.
func (c *client) look() bool {
	if c.in.Buffered() > 0 || c.ahead.size > 0 || c.ahead.end != nil {
		return true
	}
	if c.receiver.raw == nil {
		return false
	}
	c.ahead.add(c.receiver.poll)
	return c.ahead.size > 0 || c.ahead.end != nil
}

// finish ends the connection once all of its commands are answered. Closed over bytes that have come unread it would be reset,
// and a reset takes answers that the client has not read yet; so it ends its sending first, and passes over what still comes.
func (c *client) finish() {
	c.ended.Store(true)
	if t, ok := c.net.(*net.TCPConn); ok && c.ahead.end == nil {
		t.CloseWrite()
		c.net.SetReadDeadline(time.Now().Add(lingers))
		io.CopyN(io.Discard, c.net, mostAfter)
	}
	c.net.Close()
}

// cut ends the sending short of an answer's length, so that the client can tell that it is not whole; the reader does the rest.
// No answer behind that one can reach the client any more: it is as gone.
func (c *client) cut() {
	c.over.Store(true)
	c.leaves()
	if t, ok := c.net.(*net.TCPConn); ok {
		t.CloseWrite()
	}
	c.interrupt()
}
