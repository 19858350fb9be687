package balancer

import (
	"bufio"
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// faultyListener fails every accept with an errno while one is set.
type faultyListener struct {
	net.Listener
	errno  atomic.Uint32 // 0: none
	failed atomic.Int64
}

func (l *faultyListener) Accept() (net.Conn, error) {
	if number := syscall.Errno(l.errno.Load()); number != 0 {
		l.failed.Add(1)
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", number)}
	}
	return l.Listener.Accept()
}

// TestAcceptErrors makes accepts fail for a while with each errno that the system may return. The accept loop must neither end nor spin,
// and a client that connected meanwhile must be served afterwards.
func TestAcceptErrors(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
		syscall.EAGAIN, syscall.EINTR, syscall.EPERM, syscall.EPROTO, syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.EINVAL} {
		t.Run(errno.Error(), func(t *testing.T) {
			t.Parallel()
			x := newTestBalancer(t, 0, 0, map[string]string{"h": "EN O%s\r\n"})
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			faulty := &faultyListener{Listener: listener}
			faulty.errno.Store(uint32(errno))
			b := x.Balancer
			loopEnded := make(chan struct{})
			go func() {
				defer close(loopEnded)
				b.acceptLoop(faulty)
			}()
			conn, err := net.Dial("tcp", listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			io.WriteString(conn, "mn\r\n")
			time.Sleep(300 * time.Millisecond)
			// Waits that double from 1 ms to 100 ms give eight accepts in that time; four times as many leave room for timing.
			if n := faulty.failed.Load(); n < 3 || n > 32 {
				t.Errorf("%d accepts failed in 0.3 s", n)
			}
			faulty.errno.Store(0)
			conn.SetReadDeadline(time.Now().Add(testTimeout))
			if line, err := bufio.NewReader(conn).ReadString('\n'); line != "MN\r\n" {
				t.Errorf("got %q, %v", line, err)
			}
			listener.Close()
			select {
			case <-loopEnded:
			case <-time.After(testTimeout):
				t.Error("the accept loop continues after its listener was closed")
			}
		})
	}
}
