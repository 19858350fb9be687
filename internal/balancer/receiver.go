package balancer

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"streamrail/internal/stall"
)

// receiver reads a client's connection and tells when what it read had arrived at the earliest. The time of the read itself is
// too late where the bytes stood unread before: behind a reader that had stopped, in the accept queue, or while the whole
// process was held up. It is used by one goroutine at a time.
type receiver struct {
	conn   net.Conn
	raw    syscall.RawConn // nil: the connection is no socket
	stalls *stall.Detector
	try    func(fd uintptr) bool

	// Of the read in hand.
	into    []byte
	n       int
	err     error
	started time.Time // its last system call
	waited  bool      // nothing stood there at first
	emptyAt time.Time // its first system call that found nothing

	since    time.Time     // what stands unread arrived after that
	lastByte time.Time     // when the last byte that was read had arrived: later than what the read tells, or the same
	unread   int           // bytes that stood there already, since a read had to wait
	settles  time.Duration // the client was held back: it may have more to send until nothing comes for so long; 0: it was not
}

// newReceiver reads from a connection on which nothing had arrived at a moment.
func newReceiver(conn net.Conn, stalls *stall.Detector, emptyAt time.Time) *receiver {
	r := &receiver{conn: conn, raw: rawOf(conn), stalls: stalls, since: emptyAt}
	r.try = r.tryRead
	return r
}

// tryRead makes one read; false where nothing is there.
func (r *receiver) tryRead(fd uintptr) bool {
	for {
		r.started = time.Now()
		n, err := syscall.Read(int(fd), r.into)
		switch {
		case err == syscall.EINTR:
			continue
		case err == syscall.EAGAIN:
			r.foundNothing()
			return false
		case err != nil:
			r.n, r.err = 0, os.NewSyscallError("read", err)
		case n == 0:
			r.n, r.err = 0, io.EOF
		default:
			r.n = n
		}
		return true
	}
}

// foundNothing notes that a read has to wait.
func (r *receiver) foundNothing() {
	if !r.waited {
		r.waited, r.emptyAt = true, r.started
	}
	if r.settles == 0 {
		r.since = r.started
	}
}

// read waits for bytes and tells when they had arrived.
func (r *receiver) read(p []byte) (n int, arrived time.Time, err error) {
	if r.raw == nil {
		return r.readAny(p)
	}
	r.prepare(p)
	if err = r.raw.Read(r.try); err != nil {
		return 0, arrived, err
	}
	return r.result()
}

// poll is read that does not wait, whatever time limit the connection has.
func (r *receiver) poll(p []byte) (n int, arrived time.Time, err error) {
	r.prepare(p)
	r.err = os.ErrDeadlineExceeded
	err = r.raw.Control(func(fd uintptr) {
		if r.tryRead(fd) && r.n > 0 {
			r.err = nil
		}
	})
	if err != nil {
		return 0, arrived, err
	}
	return r.result()
}

// ended asks the system whether the client has ended its sending, or the connection, also where bytes before that are unread.
func (r *receiver) ended() bool {
	if r.raw == nil {
		return false
	}
	standing, err := pollNow(r.raw, unix.POLLRDHUP)
	return err == nil && standing&(unix.POLLRDHUP|unix.POLLHUP) != 0
}

func (r *receiver) prepare(p []byte) { r.into, r.n, r.err, r.waited = p, 0, nil, false }

func (r *receiver) result() (n int, arrived time.Time, err error) {
	if r.err != nil {
		return 0, arrived, r.err
	}
	arrived = r.arrival()
	r.lastByte = arrived
	drained := r.n < len(r.into) && r.settles == 0
	if drained && r.started.Sub(arrived) > unsure {
		r.lastByte = r.lastArrival(arrived)
	}
	if drained {
		r.since = r.started
	}
	r.into = nil
	return r.n, arrived, nil
}

// arrival is the earliest moment at which what was read can have arrived.
func (r *receiver) arrival() time.Time {
	if !r.waited {
		r.unread += r.n
		if r.unread >= leastWindow && r.settles == 0 {
			r.settles = r.settlingTime()
		}
		return r.since
	}
	r.unread = 0
	if r.started.Sub(r.emptyAt) >= r.settles {
		r.settles = 0
	}
	if r.settles == 0 {
		r.since = r.stalls.Earliest(r.since, r.started)
	}
	return r.since
}

const (
	// leastWindow is how much a client may have sent before it is held back, at the least: the system's receive buffers start
	// with twice as much. What it has written beyond that stands on its own machine, and its time runs.
	leastWindow = 48 << 10
	// leastSettling is how long nothing must come for a client that was held back to have nothing more to send, at the least.
	leastSettling = 10 * time.Millisecond
)

// settlingTime is how long nothing must come then: two turns of the network.
func (r *receiver) settlingTime() time.Duration {
	info := r.info()
	if info == nil {
		return 5 * leastSettling
	}
	return max(leastSettling, 2*time.Duration(info.Rtt)*time.Microsecond)
}

// info is what the system tells of the connection, nil where it tells nothing.
func (r *receiver) info() (info *unix.TCPInfo) {
	if r.raw == nil {
		return nil
	}
	r.raw.Control(func(fd uintptr) {
		told, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil && told.State != 0 { // else nothing was filled in: every connection has a state
			info = told
		}
	})
	return info
}

// unsure is from how long a time in which bytes may have arrived the system is asked.
const unsure = 40 * time.Millisecond

// lastArrival asks the system when bytes last arrived; where it does not tell that was as early as it can have been. What it
// tells is of the last byte alone: others before it may have stood there for longer.
func (r *receiver) lastArrival(earliest time.Time) time.Time {
	info := r.info()
	if info == nil {
		return earliest
	}
	last := r.started.Add(-time.Duration(info.Last_data_recv)*time.Millisecond - kernelTick)
	if last.Before(earliest) {
		return earliest
	}
	return last
}

// kernelTick is how exact the system's times of connections are, at the worst.
const kernelTick = 10 * time.Millisecond

// promptRead is the longest that a read of what stands there already takes.
const promptRead = 2 * time.Millisecond

// readAny tells by how long a read took whether it had to wait.
func (r *receiver) readAny(p []byte) (n int, arrived time.Time, err error) {
	began := time.Now()
	n, err = r.conn.Read(p)
	ended := time.Now()
	if ended.Sub(began) >= promptRead {
		r.since = r.stalls.Earliest(began, ended)
	}
	arrived = r.since
	r.lastByte = arrived
	if n < len(p) && !errors.Is(err, os.ErrDeadlineExceeded) {
		r.since = began
	}
	return n, arrived, err
}
