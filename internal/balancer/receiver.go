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
	conn    net.Conn
	raw     syscall.RawConn // nil: the connection is no socket
	stalls  *stall.Detector
	tryOnce func(fd uintptr) bool

	// Of the read in hand.
	buf           []byte
	n             int
	err           error
	lastSyscallAt time.Time // its last system call
	hadToWait     bool      // nothing stood there at first
	emptyAt       time.Time // its first system call that found nothing

	arrivedAfter     time.Time     // what stands unread arrived after that
	lastByteAt       time.Time     // when the last byte that was read had arrived: later than what the read tells, or the same
	bytesWithoutWait int           // bytes that stood there already, since a read had to wait
	settleTime       time.Duration // the client was held back: it may have more to send until nothing comes for so long; 0: it was not
}

// newReceiver reads from a connection on which nothing had arrived at a moment.
func newReceiver(conn net.Conn, stalls *stall.Detector, emptyAt time.Time) *receiver {
	r := &receiver{conn: conn, raw: rawConnOf(conn), stalls: stalls, arrivedAfter: emptyAt}
	r.tryOnce = r.tryRead
	return r
}

// tryRead makes one read; false where nothing is there.
func (r *receiver) tryRead(fd uintptr) bool {
	for {
		r.lastSyscallAt = time.Now()
		n, err := syscall.Read(int(fd), r.buf)
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
	if !r.hadToWait {
		r.hadToWait, r.emptyAt = true, r.lastSyscallAt
	}
	if r.settleTime == 0 {
		r.arrivedAfter = r.lastSyscallAt
	}
}

// read waits for bytes and tells when they had arrived.
func (r *receiver) read(p []byte) (n int, arrived time.Time, err error) {
	if r.raw == nil {
		return r.readByTiming(p)
	}
	r.prepare(p)
	if err = r.raw.Read(r.tryOnce); err != nil {
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

// peerClosed asks the system whether the client has ended its sending, or the connection, also where bytes before that are unread.
func (r *receiver) peerClosed() bool {
	if r.raw == nil {
		return false
	}
	standing, err := pollEvents(r.raw, unix.POLLRDHUP)
	return err == nil && standing&(unix.POLLRDHUP|unix.POLLHUP) != 0
}

func (r *receiver) prepare(p []byte) { r.buf, r.n, r.err, r.hadToWait = p, 0, nil, false }

func (r *receiver) result() (n int, arrived time.Time, err error) {
	if r.err != nil {
		return 0, arrived, r.err
	}
	arrived = r.earliestArrival()
	r.lastByteAt = arrived
	drained := r.n < len(r.buf) && r.settleTime == 0
	if drained && r.lastSyscallAt.Sub(arrived) > kernelQueryThreshold {
		r.lastByteAt = r.lastArrival(arrived)
	}
	if drained {
		r.arrivedAfter = r.lastSyscallAt
	}
	r.buf = nil
	return r.n, arrived, nil
}

// earliestArrival is the earliest moment at which what was read can have arrived.
func (r *receiver) earliestArrival() time.Time {
	if !r.hadToWait {
		r.bytesWithoutWait += r.n
		if r.bytesWithoutWait >= minReceiveWindow && r.settleTime == 0 {
			r.settleTime = r.settlingTime()
		}
		return r.arrivedAfter
	}
	r.bytesWithoutWait = 0
	if r.lastSyscallAt.Sub(r.emptyAt) >= r.settleTime {
		r.settleTime = 0
	}
	if r.settleTime == 0 {
		r.arrivedAfter = r.stalls.EarliestEvent(r.arrivedAfter, r.lastSyscallAt)
	}
	return r.arrivedAfter
}

const (
	// minReceiveWindow is how much a client may have sent before it is held back, at the least: the system's receive buffers start
	// with twice as much. What it has written beyond that stands on its own machine, and its time runs.
	minReceiveWindow = 48 << 10
	// minSettlingTime is how long nothing must come for a client that was held back to have nothing more to send, at the least.
	minSettlingTime = 10 * time.Millisecond
)

// settlingTime is how long nothing must come then: two turns of the network.
func (r *receiver) settlingTime() time.Duration {
	info := r.tcpInfo()
	if info == nil {
		return 5 * minSettlingTime
	}
	return max(minSettlingTime, 2*time.Duration(info.Rtt)*time.Microsecond)
}

// tcpInfo is what the system tells of the connection, nil where it tells nothing.
func (r *receiver) tcpInfo() (info *unix.TCPInfo) {
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

// kernelQueryThreshold is from how long a time in which bytes may have arrived the system is asked.
const kernelQueryThreshold = 40 * time.Millisecond

// lastArrival asks the system when bytes last arrived; where it does not tell that was as early as it can have been. What it
// tells is of the last byte alone: others before it may have stood there for longer.
func (r *receiver) lastArrival(earliest time.Time) time.Time {
	info := r.tcpInfo()
	if info == nil {
		return earliest
	}
	last := r.lastSyscallAt.Add(-time.Duration(info.Last_data_recv)*time.Millisecond - kernelTimeResolution)
	if last.Before(earliest) {
		return earliest
	}
	return last
}

// kernelTimeResolution is how exact the system's times of connections are, at the worst.
const kernelTimeResolution = 10 * time.Millisecond

// maxImmediateRead is the longest that a read of what stands there already takes.
const maxImmediateRead = 2 * time.Millisecond

// readByTiming tells by how long a read took whether it had to wait.
func (r *receiver) readByTiming(p []byte) (n int, arrived time.Time, err error) {
	began := time.Now()
	n, err = r.conn.Read(p)
	ended := time.Now()
	if ended.Sub(began) >= maxImmediateRead {
		r.arrivedAfter = r.stalls.EarliestEvent(began, ended)
	}
	arrived = r.arrivedAfter
	r.lastByteAt = arrived
	if n < len(p) && !errors.Is(err, os.ErrDeadlineExceeded) {
		r.arrivedAfter = began
	}
	return n, arrived, err
}
