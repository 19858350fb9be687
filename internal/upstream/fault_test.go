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

// dialError returns a system call error the way package net reports it.
func dialError(errno syscall.Errno) error {
	return &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", errno)}
}

// failingWrites is a connection whose writes fail with the given error after a number of bytes.
type failingWrites struct {
	truncatedConn
	fault error
}

func (c *failingWrites) Write(p []byte) (int, error) {
	n, err := c.truncatedConn.Write(p)
	if err != nil {
		err = c.fault
	}
	return n, err
}

// TestSystemCallErrors fails connects and first writes with each error. Errors of this machine are not attributed to the host,
// and in no case has the attempt run.
func TestSystemCallErrors(t *testing.T) {
	for errno, want := range map[syscall.Errno]policy.Outcome{
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
		t.Run("connect "+errno.Error(), func(t *testing.T) {
			hs, _, _ := newTestHosts(t, testConfig)
			hs.Dial = func(context.Context, string, string) (net.Conn, error) { return nil, dialError(errno) }
			a, ended := newAttempt(t, "mg k v O1 Pc=read,d=900", "", time.Minute)
			hs.Send(a)
			expectOutcome(t, ended, want)
		})
		t.Run("write "+errno.Error(), func(t *testing.T) {
			for _, writable := range []int{0, 1, 10} {
				a, _ := newAttempt(t, "mg k v O1 Pc=read,d=900", "", time.Minute)
				hs := New(testConfig, -1)
				c := &conn{hosts: hs, host: &host{}, net: &failingWrites{truncatedConn{remaining: writable}, os.NewSyscallError("write", errno)}}
				c.reader = newReader(c.net)
				expectExchange(t, c, a, want)
				hs.Close()
			}
		})
	}
}

// TestBackoffAfterLocalFaults counts the connects of many attempts on a machine without free ports. They are made at growing
// intervals, and without delay once a connection opens again.
func TestBackoffAfterLocalFaults(t *testing.T) {
	hs, _, conns := newTestHosts(t, testConfig)
	var connects atomic.Int64
	var repaired atomic.Bool
	real := hs.Dial
	hs.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		connects.Add(1)
		if repaired.Load() {
			return real(ctx, network, addr)
		}
		return nil, dialError(syscall.EADDRNOTAVAIL)
	}
	ask := func() policy.Outcome {
		a, ended := newAttempt(t, "mg k v O1 Pc=read,d=900", "", 200*time.Millisecond)
		hs.Send(a)
		return (<-ended).Outcome
	}
	for began := time.Now(); time.Since(began) < 500*time.Millisecond; time.Sleep(time.Millisecond) {
		if o := ask(); o != policy.NeverSent {
			t.Fatalf("outcome %d", o)
		}
	}
	if n := connects.Load(); n < 3 || n > 20 { // pauses doubling from 10 ms, each halved at the least, allow seven; the bound leaves room for randomness
		t.Errorf("%d connects in half a second", n)
	}
	repaired.Store(true)
	for began := time.Now(); ask() == policy.NeverSent; time.Sleep(time.Millisecond) {
		if time.Since(began) > 10*time.Second {
			t.Fatal("no connection is opened after the fault has ended")
		}
	}
	<-conns
	hs.mu.Lock()
	defer hs.mu.Unlock()
	if len(hs.conns) == 0 && hs.Sent() == 0 {
		t.Error("no connection was opened")
	}
}
