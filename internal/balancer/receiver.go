package balancer

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"streamrail/internal/stall"
)

// receiver reads a client connection and returns the earliest time at which what it read can have arrived. The time of the read itself
// is too late if the bytes waited unread: because the reader had paused, in the accept queue, or while the whole process was stalled.
// It must be used by one goroutine at a time, apart from the methods that say otherwise.
type receiver struct {
	conn    net.Conn
	raw     syscall.RawConn // nil: the connection is not a socket
	stalls  *stall.Detector
	tryOnce func(fd uintptr) bool

	// State of the read in progress.
	buf           []byte
	n             int
	err           error
	lastSyscallAt time.Time // start of its last system call
	hadToWait     bool      // its first system call found nothing
	emptyAt       time.Time // start of its first system call that found nothing

	arrivedAfter     time.Time     // unread input arrived after that
	lastByteAt       time.Time     // when the last byte that was read had arrived: not before the time that the read returned
	bytesWithoutWait int           // bytes that were there without a wait, since the last read that had to wait
	settleTime       time.Duration // 0: the client was not blocked by a full window; otherwise it may have more to send until nothing has arrived for this time

	mu    sync.Mutex
	input inputState // for other goroutines; guarded by mu
}

// inputState is what is known about the input that a receiver has not read yet.
type inputState struct {
	taken        int64         // bytes read so far
	arrivedAfter time.Time     // the client wrote what is not read yet after that
	waitingSince time.Time     // a read has waited for input since then; zero: none waits
	settleTime   time.Duration // as receiver.settleTime
}

// newReceiver returns a receiver of a connection on which nothing had arrived at emptyAt.
func newReceiver(conn net.Conn, stalls *stall.Detector, emptyAt time.Time) *receiver {
	r := &receiver{conn: conn, raw: rawConnOf(conn), stalls: stalls, arrivedAfter: emptyAt, input: inputState{arrivedAfter: emptyAt}}
	r.tryOnce = r.tryRead
	return r
}

// tryRead does one read; false if there is no input.
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

// foundNothing records that a read has to wait.
func (r *receiver) foundNothing() {
	if !r.hadToWait {
		r.hadToWait, r.emptyAt = true, r.lastSyscallAt
	}
	if r.settleTime == 0 {
		r.arrivedAfter = r.lastSyscallAt
	}
	r.publish(0, r.emptyAt)
}

// publish updates the input state after a read of n bytes, or when a read begins to wait.
func (r *receiver) publish(n int, waitingSince time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.input.taken += int64(n)
	r.input.arrivedAfter, r.input.waitingSince, r.input.settleTime = r.arrivedAfter, waitingSince, r.settleTime
}

// inputState returns what is known about the unread input. Any goroutine may call it.
func (r *receiver) inputState() inputState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.input
}

// earliestUnread returns the earliest time at which the client can have written input that was not read at the given time. Any
// goroutine may call it.
func (r *receiver) earliestUnread(state inputState, now time.Time) time.Time {
	if !state.waitingSince.IsZero() && now.Sub(state.waitingSince) >= state.settleTime {
		return r.stalls.EarliestEvent(state.waitingSince, now)
	}
	return state.arrivedAfter
}

// unreadBytes asks the system how many bytes it holds unread; false if it does not tell. Any goroutine may call it.
func (r *receiver) unreadBytes() (n int, known bool) {
	if r.raw == nil {
		return 0, false
	}
	err := r.raw.Control(func(fd uintptr) {
		unread, err := unix.IoctlGetInt(int(fd), unix.TIOCINQ)
		n, known = unread, err == nil
	})
	return n, known && err == nil
}

// read waits for bytes and returns the earliest time at which they can have arrived.
func (r *receiver) read(p []byte) (n int, arrived time.Time, err error) {
	if r.raw == nil {
		return r.readByTiming(p)
	}
	r.prepare(p)
	if err = r.raw.Read(r.tryOnce); err != nil {
		r.publish(0, time.Time{})
		return 0, arrived, err
	}
	return r.result()
}

// poll is like read, but does not wait and ignores the connection's read deadline.
func (r *receiver) poll(p []byte) (n int, arrived time.Time, err error) {
	if r.raw == nil {
		return 0, arrived, os.ErrDeadlineExceeded
	}
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

// peerClosed asks the system whether the client has shut down its sending side or the connection, even if bytes before that are unread.
func (r *receiver) peerClosed() bool {
	if r.raw == nil {
		return false
	}
	ready, err := pollEvents(r.raw, unix.POLLRDHUP)
	return err == nil && ready&(unix.POLLRDHUP|unix.POLLHUP) != 0
}

func (r *receiver) prepare(p []byte) { r.buf, r.n, r.err, r.hadToWait = p, 0, nil, false }

func (r *receiver) result() (n int, arrived time.Time, err error) {
	if r.err != nil {
		r.publish(0, time.Time{})
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
	r.publish(r.n, time.Time{})
	return r.n, arrived, nil
}

// earliestArrival returns the earliest time at which what was just read can have arrived.
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
	// minReceiveWindow is the least that a client can have sent before a full receive window blocks it; receive buffers start at twice
	// that size. What the client has written beyond it waits on the client's machine, while the time of its requests runs.
	minReceiveWindow = 48 << 10
	// minSettlingTime is the minimum time without input after which a client that was blocked is assumed to have nothing more to send.
	minSettlingTime = 10 * time.Millisecond
)

// settlingTime returns the time without input after which the client of this connection is assumed to have nothing more to send: two
// round trips, or minSettlingTime if that is longer.
func (r *receiver) settlingTime() time.Duration {
	info := r.tcpInfo()
	if info == nil {
		return 5 * minSettlingTime
	}
	return max(minSettlingTime, 2*time.Duration(info.Rtt)*time.Microsecond)
}

// tcpInfo returns the kernel's information about the connection, nil if there is none.
func (r *receiver) tcpInfo() (info *unix.TCPInfo) {
	if r.raw == nil {
		return nil
	}
	r.raw.Control(func(fd uintptr) {
		got, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil && got.State != 0 { // a state of 0 means that nothing was filled in
			info = got
		}
	})
	return info
}

// kernelQueryThreshold is the span of possible arrival times above which the kernel is asked when the last byte arrived.
const kernelQueryThreshold = 40 * time.Millisecond

// lastArrival asks the kernel when the last byte arrived, and returns earliest if the kernel does not know. Bytes before the last one may
// have arrived earlier.
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

// kernelTimeResolution is the coarsest resolution of the kernel's times in TCP_INFO.
const kernelTimeResolution = 10 * time.Millisecond

// maxImmediateRead is the longest that a read takes if the input was already there.
const maxImmediateRead = 2 * time.Millisecond

// readByTiming reads from a connection that is not a socket, and judges by the duration of the read whether it had to wait.
func (r *receiver) readByTiming(p []byte) (n int, arrived time.Time, err error) {
	startedAt := time.Now()
	r.publish(0, startedAt)
	n, err = r.conn.Read(p)
	endedAt := time.Now()
	if endedAt.Sub(startedAt) >= maxImmediateRead {
		r.arrivedAfter = r.stalls.EarliestEvent(startedAt, endedAt)
	}
	arrived = r.arrivedAfter
	r.lastByteAt = arrived
	if n < len(p) && !errors.Is(err, os.ErrDeadlineExceeded) {
		r.arrivedAfter = startedAt
	}
	r.publish(n, time.Time{})
	return n, arrived, err
}
