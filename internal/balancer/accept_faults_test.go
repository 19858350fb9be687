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

// faultyListener fails accepts until it is mended.
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

// TestAcceptErrors fails accepts in every way for a while: the listener is not given up, nothing spins, and who came meanwhile is
// served afterwards.
func TestAcceptErrors(t *testing.T) {
	for _, number := range []syscall.Errno{syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
		syscall.EAGAIN, syscall.EINTR, syscall.EPERM, syscall.EPROTO, syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.EINVAL} {
		t.Run(number.Error(), func(t *testing.T) {
			t.Parallel()
			x := newTestBalancer(t, 0, 0, map[string]string{"h": "EN O%s\r\n"})
			real, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			listener := &faultyListener{Listener: real}
			listener.errno.Store(uint32(number))
			b := x.Balancer
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				b.acceptLoop(listener)
			}()
			conn, err := net.Dial("tcp", real.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			io.WriteString(conn, "mn\r\n")
			time.Sleep(300 * time.Millisecond)
			// 1 ms doubled up to 100 ms is eight in that time; four times as many leave room for chance.
			if n := listener.failed.Load(); n < 3 || n > 32 {
				t.Errorf("%d accepts failed in 0.3 s", n)
			}
			listener.errno.Store(0)
			conn.SetReadDeadline(time.Now().Add(testTimeout))
			if line, err := bufio.NewReader(conn).ReadString('\n'); line != "MN\r\n" {
				t.Errorf("got %q, %v", line, err)
			}
			real.Close()
			select {
			case <-ended:
			case <-time.After(testTimeout):
				t.Error("accepting goes on without a listener")
			}
		})
	}
}
