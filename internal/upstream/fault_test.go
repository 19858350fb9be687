package upstream

import (
	"context"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"streamrail/policy"
)

// dialFault is how the network tells an error of a system call.
func dialFault(number syscall.Errno) error {
	return &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", number)}
}

// faultyWrites is a connection of which the system takes so many bytes and then fails.
type faultyWrites struct {
	cut
	fault error
}

func (c *faultyWrites) Write(p []byte) (int, error) {
	n, err := c.cut.Write(p)
	if err != nil {
		err = c.fault
	}
	return n, err
}

// TestFaultsOfSystemCalls has connects and first writes fail in every way: what this machine lacks does no harm to the host, and
// nothing has run in any of them.
func TestFaultsOfSystemCalls(t *testing.T) {
	for number, want := range map[syscall.Errno]policy.Outcome{
		syscall.EADDRNOTAVAIL: policy.NeverSent,
		syscall.EADDRINUSE:    policy.NeverSent,
		syscall.EAGAIN:        policy.NeverSent,
		syscall.EMFILE:        policy.NeverSent,
		syscall.ENFILE:        policy.NeverSent,
		syscall.ENOBUFS:       policy.NeverSent,
		syscall.ENOMEM:        policy.NeverSent,
		syscall.EPERM:         policy.NeverSent,
		syscall.EACCES:        policy.NeverSent,
		syscall.ENETDOWN:      policy.NeverSent,
		syscall.ENETUNREACH:   policy.NeverSent,
		syscall.ECONNREFUSED:  policy.ConnectFailed,
		syscall.ECONNRESET:    policy.ConnectFailed,
		syscall.EHOSTUNREACH:  policy.ConnectFailed,
		syscall.EHOSTDOWN:     policy.ConnectFailed,
		syscall.ETIMEDOUT:     policy.ConnectFailed,
	} {
		t.Run("connect "+number.Error(), func(t *testing.T) {
			hs, _, _ := stand(t, wide)
			hs.Dial = func(context.Context, string, string) (net.Conn, error) { return nil, dialFault(number) }
			s, ended := attempt(t, "mg k v O1 Pc=read,d=900", "", time.Minute)
			hs.Send(s)
			ends(t, ended, want)
		})
		t.Run("write "+number.Error(), func(t *testing.T) {
			for _, room := range []int{0, 1, 10} {
				s, _ := attempt(t, "mg k v O1 Pc=read,d=900", "", time.Minute)
				hs := New(wide, -1)
				c := &conn{hosts: hs, host: &host{}, net: &faultyWrites{cut{room: room}, os.NewSyscallError("write", number)}}
				c.in = newReader(c.net)
				carried(t, c, s, want)
				hs.Close()
			}
		})
	}
}

// TestPauseAfterLocalFaults counts the connects of many requests on a machine that has no ports: they are made in growing pauses,
// and at once again when one comes up.
func TestPauseAfterLocalFaults(t *testing.T) {
	hs, _, conns := stand(t, wide)
	var connects atomic.Int64
	var mended atomic.Bool
	real := hs.Dial
	hs.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		connects.Add(1)
		if mended.Load() {
			return real(ctx, network, addr)
		}
		return nil, dialFault(syscall.EADDRNOTAVAIL)
	}
	ask := func() policy.Outcome {
		s, ended := attempt(t, "mg k v O1 Pc=read,d=900", "", 200*time.Millisecond)
		hs.Send(s)
		return (<-ended).Outcome
	}
	for began := time.Now(); time.Since(began) < 500*time.Millisecond; time.Sleep(time.Millisecond) {
		if o := ask(); o != policy.NeverSent {
			t.Fatalf("outcome %d", o)
		}
	}
	if n := connects.Load(); n < 3 || n > 20 { // 10 ms doubled, each by half at the least, is seven in that time, and some for chance
		t.Errorf("%d connects in half a second", n)
	}
	mended.Store(true)
	for began := time.Now(); ask() == policy.NeverSent; time.Sleep(time.Millisecond) {
		if time.Since(began) > 10*time.Second {
			t.Fatal("nothing is opened any more")
		}
	}
	<-conns
	hs.mu.Lock()
	defer hs.mu.Unlock()
	if len(hs.conns) == 0 && hs.Sent() == 0 {
		t.Error("no connection came up")
	}
}
