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

// TestAnnouncedTime compares the announced time with the remaining time, from long to none.
func TestAnnouncedTime(t *testing.T) {
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
			{left: time.Second, value: maxUnblockedWrite, least: 970 * time.Millisecond, most: 980 * time.Millisecond},
			{left: time.Second, value: maxUnblockedWrite + 1, least: 700 * time.Millisecond, most: 750 * time.Millisecond},
			{left: 3 * time.Second, value: maxUnblockedWrite + 1, least: 2600 * time.Millisecond, most: 2700 * time.Millisecond},
			{left: time.Minute, upload: true, least: 500 * time.Millisecond, most: 750 * time.Millisecond}, // of the one second that the client waits
		} {
			a := &Attempt{Deadline: deadline.After(time.Now(), c.left), Value: make([]byte, c.value)}
			if c.upload {
				a.Upload = &Upload{TimeLeft: func() time.Duration { return time.Second }}
			}
			if got := a.announcedTime(); got < c.least || got > c.most {
				t.Errorf("%+v: announced %v", c, got)
			}
		}
	})
}

// TestNoTimeLeft checks that nothing is written when no time is left, and that the connection stays usable.
func TestNoTimeLeft(t *testing.T) {
	hs, _, conns := newTestHosts(t, testConfig)
	first, ended := newAttempt(t, "mg k v O1 Pc=read,d=900", "", time.Minute)
	hs.Send(first)
	host := <-conns
	host.SetDeadline(time.Now().Add(10 * time.Second))
	buffer := make([]byte, 100)
	host.Read(buffer)
	fmt.Fprint(host, "EN O1\r\n")
	expectOutcome(t, ended, policy.CacheMiss)
	waitIdle(t, hs, 1)
	late, ended := newAttempt(t, "mg k v O2 Pc=read,d=900", "", time.Minute)
	late.Deadline = deadline.After(time.Now(), time.Millisecond)
	hs.Send(late)
	expectOutcome(t, ended, policy.NeverSent)
	waitIdle(t, hs, 1)
	next, ended := newAttempt(t, "mg k v O3 Pc=read,d=900", "", time.Minute)
	hs.Send(next)
	if n, _ := host.Read(buffer); !strings.HasPrefix(string(buffer[:n]), "mg k v O3 ") {
		t.Errorf("the host got %q", buffer[:n])
	}
	fmt.Fprint(host, "EN O3\r\n")
	expectOutcome(t, ended, policy.CacheMiss)
}

// setSmallBuffers makes the system's socket buffers as small as possible.
func setSmallBuffers(network, address string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096)
		syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, 4096)
	})
}

// newSmallBufferHost creates a host with small socket buffers that reads only when the test does.
func newSmallBufferHost(t *testing.T, dialer net.Dialer) (hs *Hosts, conns chan net.Conn) {
	hs, entry, _ := newTestHosts(t, testConfig)
	listener, err := (&net.ListenConfig{Control: setSmallBuffers}).Listen(context.Background(), "tcp", "127.0.0.1:0")
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
	hs.ApplyList(discovery.List{Hosts: []discovery.Host{entry}})
	return hs, conns
}

// TestLongWriteNotRead checks that a write which the host does not read ends well before the announced time: it never ran.
func TestLongWriteNotRead(t *testing.T) {
	hs, conns := newSmallBufferHost(t, net.Dialer{Control: setSmallBuffers})
	value := strings.Repeat("v", 60<<10)
	a, ended := newAttempt(t, "ms k "+strconv.Itoa(len(value))+" O1 Pc=pay,d=4000,k=7", value, 4*time.Second)
	began := time.Now()
	hs.Send(a)
	expectOutcome(t, ended, policy.ConnectFailed)
	if took := time.Since(began); took > 2*time.Second {
		t.Errorf("the write took %v of four seconds", took)
	}
	got := bytes.Buffer{}
	host := <-conns
	host.SetDeadline(time.Now().Add(10 * time.Second))
	got.ReadFrom(host)
	if got.Len() >= len(value) {
		t.Errorf("the host had %d bytes of %d", got.Len(), len(value))
	}
}

// setLargeSendBuffer makes the send buffer large enough for everything that these tests send.
func setLargeSendBuffer(network, address string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, 1<<20) })
}

// TestGivenUpInSendBuffer gives up an attempt that is still in the send buffer because its host reads nothing. The host must not get
// the whole attempt when it reads again.
func TestGivenUpInSendBuffer(t *testing.T) {
	for name, giveUp := range map[string]func(a *Attempt){
		"given up":  (*Attempt).GiveUp,
		"timed out": func(*Attempt) {},
	} {
		t.Run(name, func(t *testing.T) {
			hs, conns := newSmallBufferHost(t, net.Dialer{Control: setLargeSendBuffer})
			value := strings.Repeat("v", 60<<10)
			a, ended := newAttempt(t, "ms k "+strconv.Itoa(len(value))+" O1 Pc=pay,d=500,k=7", value, 500*time.Millisecond)
			hs.Send(a)
			for began := time.Now(); hs.Sent() == 0; time.Sleep(time.Millisecond) {
				if time.Since(began) > 10*time.Second {
					t.Fatal("the attempt was never written")
				}
			}
			giveUp(a)
			<-ended
			host := <-conns
			host.SetDeadline(time.Now().Add(10 * time.Second))
			var got bytes.Buffer
			if _, err := got.ReadFrom(host); !errors.Is(err, syscall.ECONNRESET) {
				t.Errorf("the connection ended with %v, expected a reset", err)
			}
			if got.Len() >= len(value) {
				t.Errorf("the host had %d bytes of %d", got.Len(), len(value))
			}
		})
	}
}
