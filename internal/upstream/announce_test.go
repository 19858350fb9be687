package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"streamrail/internal/deadline"
	"streamrail/internal/discovery"
	"streamrail/policy"
)

// TestAnnounced holds what is told against what is left, from a long time to none.
func TestAnnounced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, c := range []struct {
			left        time.Duration
			value       int
			upload      bool
			least, most time.Duration
		}{
			{left: time.Second, least: 970 * time.Millisecond, most: 980 * time.Millisecond},
			{left: 10 * time.Millisecond, least: 5 * time.Millisecond, most: 5 * time.Millisecond},
			{left: time.Millisecond, most: time.Millisecond - 1},
			{left: 0, most: 0, least: -time.Second},
			{left: -time.Second, most: 0, least: -time.Hour},
			{left: time.Second, value: fits, least: 970 * time.Millisecond, most: 980 * time.Millisecond},
			{left: time.Second, value: fits + 1, least: 700 * time.Millisecond, most: 750 * time.Millisecond},
			{left: 3 * time.Second, value: fits + 1, least: 2600 * time.Millisecond, most: 2700 * time.Millisecond},
			{left: time.Minute, upload: true, least: 500 * time.Millisecond, most: 750 * time.Millisecond}, // of the client's second
		} {
			s := &Attempt{Deadline: deadline.After(time.Now(), c.left), Value: make([]byte, c.value)}
			if c.upload {
				s.Upload = &Upload{Wait: time.Second}
			}
			if got := s.announced(); got < c.least || got > c.most {
				t.Errorf("%+v: told %v", c, got)
			}
		}
	})
}

// TestNoTimeLeft makes sure that not a byte is written where nothing is left, and that the connection goes on.
func TestNoTimeLeft(t *testing.T) {
	hs, _, conns := stand(t, wide)
	first, ended := attempt(t, "mg k v O1 Pc=read,d=900", "", time.Minute)
	hs.Send(first)
	host := <-conns
	host.SetDeadline(time.Now().Add(10 * time.Second))
	buffer := make([]byte, 100)
	host.Read(buffer)
	fmt.Fprint(host, "EN O1\r\n")
	ends(t, ended, policy.Missed)
	atRest(t, hs, 1)
	late, ended := attempt(t, "mg k v O2 Pc=read,d=900", "", time.Minute)
	late.Deadline = deadline.After(time.Now(), time.Millisecond)
	hs.Send(late)
	ends(t, ended, policy.NeverSent)
	atRest(t, hs, 1)
	next, ended := attempt(t, "mg k v O3 Pc=read,d=900", "", time.Minute)
	hs.Send(next)
	if n, _ := host.Read(buffer); !strings.HasPrefix(string(buffer[:n]), "mg k v O3 ") {
		t.Errorf("the host got %q", buffer[:n])
	}
	fmt.Fprint(host, "EN O3\r\n")
	ends(t, ended, policy.Missed)
}

// narrow makes the system hold as little as it can of what is sent.
func narrow(network, address string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096)
		syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, 4096)
	})
}

// narrowHost is a host whose connections hold little and that reads when the test does.
func narrowHost(t *testing.T, dialer net.Dialer) (hs *Hosts, conns chan net.Conn) {
	hs, entry, _ := stand(t, wide)
	listener, err := (&net.ListenConfig{Control: narrow}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	conns = make(chan net.Conn, 1)
	go func() {
		if c, err := listener.Accept(); err == nil {
			conns <- c
		}
	}()
	entry.Addr = listener.Addr().String()
	hs.Dial = dialer.DialContext
	hs.Listed(discovery.List{Hosts: []discovery.Host{entry}})
	return hs, conns
}

// TestLongWriteThatIsNotTaken ends a write that its host does not take while what it was told still holds: it never ran.
func TestLongWriteThatIsNotTaken(t *testing.T) {
	hs, conns := narrowHost(t, net.Dialer{Control: narrow})
	value := strings.Repeat("v", 60<<10)
	s, ended := attempt(t, "ms k "+strconv.Itoa(len(value))+" O1 Pc=pay,d=4000,k=7", value, 4*time.Second)
	began := time.Now()
	hs.Send(s)
	ends(t, ended, policy.ConnectFailed)
	if took := time.Since(began); took > 2*time.Second {
		t.Errorf("it was waited for %v of four seconds", took)
	}
	got := bytes.Buffer{}
	host := <-conns
	host.SetDeadline(time.Now().Add(10 * time.Second))
	got.ReadFrom(host)
	if got.Len() >= len(value) {
		t.Errorf("the host had %d bytes of %d", got.Len(), len(value))
	}
}

// roomy makes the system hold all that these tests send.
func roomy(network, address string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, 1<<20) })
}

// TestGivenUpOnTheWay gives an attempt up that the system holds, as its host takes nothing: the host must not have it whole when it
// reads on.
func TestGivenUpOnTheWay(t *testing.T) {
	for name, over := range map[string]func(s *Attempt){
		"given up":  (*Attempt).GiveUp,
		"timed out": func(*Attempt) {},
	} {
		t.Run(name, func(t *testing.T) {
			hs, conns := narrowHost(t, net.Dialer{Control: roomy})
			value := strings.Repeat("v", 60<<10)
			s, ended := attempt(t, "ms k "+strconv.Itoa(len(value))+" O1 Pc=pay,d=500,k=7", value, 500*time.Millisecond)
			hs.Send(s)
			for began := time.Now(); hs.Sent() == 0; time.Sleep(time.Millisecond) {
				if time.Since(began) > 10*time.Second {
					t.Fatal("the attempt is never written")
				}
			}
			over(s)
			<-ended
			host := <-conns
			host.SetDeadline(time.Now().Add(10 * time.Second))
			var got bytes.Buffer
			if _, err := got.ReadFrom(host); !errors.Is(err, syscall.ECONNRESET) {
				t.Errorf("the connection ends with %v", err)
			}
			if got.Len() >= len(value) {
				t.Errorf("the host had %d bytes of %d", got.Len(), len(value))
			}
		})
	}
}
