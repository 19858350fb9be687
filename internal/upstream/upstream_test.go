package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"streamrail/internal/deadline"
	"streamrail/internal/discovery"
	"streamrail/internal/memcache"
	"streamrail/internal/pool"
	"streamrail/policy"
)

// newTestHosts creates hosts with one entry. Its listener passes the accepted connections to the channel.
func newTestHosts(t *testing.T, config Config) (hs *Hosts, entry discovery.Host, conns chan net.Conn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	conns = make(chan net.Conn, 10)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			conns <- c
		}
	}()
	entry = discovery.Host{Addr: l.Addr().String(), HostEntry: policy.HostEntry{HostID: "h"}}
	hs = New(config, -1)
	hs.ApplyList(discovery.List{Hosts: []discovery.Host{entry}})
	t.Cleanup(hs.Close)
	return hs, entry, conns
}

func newAttempt(t *testing.T, line, value string, until time.Duration) (*Attempt, chan Result) {
	cmd, fault := memcache.Parse([]byte(line))
	if fault != nil {
		t.Fatal(fault)
	}
	ended := make(chan Result, 2)
	return &Attempt{To: "h", Command: &cmd, Value: []byte(value), Deadline: deadline.After(time.Now(), until), LatestStart: deadline.After(time.Now(), until),
		ReserveMemory: func(n int) bool { return n < 1<<19 }, Done: func(r Result) { ended <- r }}, ended
}

func expectOutcome(t *testing.T, ended chan Result, want policy.Outcome) {
	t.Helper()
	select {
	case r := <-ended:
		if r.Outcome != want {
			t.Errorf("outcome %d, expected %d", r.Outcome, want)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("the attempt never ended")
	}
}

// waitIdle waits until exactly count connections are idle.
func waitIdle(t *testing.T, hs *Hosts, count int) {
	t.Helper()
	for began := time.Now(); time.Since(began) < 10*time.Second; time.Sleep(time.Millisecond) {
		hs.mu.Lock()
		n := 0
		for _, c := range hs.conns {
			if c.idle {
				n++
			}
		}
		hs.mu.Unlock()
		if n == count {
			return
		}
	}
	t.Fatal("the expected number of idle connections was not reached")
}

var testConfig = Config{Pool: pool.Config{MaxConnections: 10, IdleTimeout: policy.Nanos(time.Minute)}, OriginMaxConnections: 10, ConnectTimeout: time.Second, Grace: time.Second}

// expectExchange sends an attempt over a connection and checks its outcome.
func expectExchange(t *testing.T, c *conn, a *Attempt, want policy.Outcome) {
	t.Helper()
	if r, _, _ := c.exchange(a); r.Outcome != want {
		t.Errorf("outcome %d, expected %d", r.Outcome, want)
	}
}

// truncatedConn is a connection that breaks after a number of written bytes.
type truncatedConn struct {
	net.Conn
	remaining int
}

func (c *truncatedConn) Write(p []byte) (int, error) {
	n := min(len(p), c.remaining)
	c.remaining -= n
	if n < len(p) {
		return n, io.ErrClosedPipe
	}
	return n, nil
}
func (c *truncatedConn) Read([]byte) (int, error)        { return 0, io.EOF }
func (c *truncatedConn) SetReadDeadline(time.Time) error { return nil }
func (c *truncatedConn) Close() error                    { return nil }

// A write that breaks before its last byte never ran and may be retried elsewhere. One that breaks after it may have taken effect,
// for example a payment.
func TestBreakAtLastByte(t *testing.T) {
	const line, value = "ms k 5 O1 Pc=pay,d=900", "hello"
	var whole bytes.Buffer
	a, _ := newAttempt(t, line, value, time.Minute)
	whole.Write(a.Command.AppendForwarded(nil, a.Deadline.Remaining()))
	total := whole.Len() + len(value) + 2
	for writable, want := range map[int]policy.Outcome{0: policy.ConnectFailed, total - 1: policy.ConnectFailed, total: policy.Reset} {
		a, _ := newAttempt(t, line, value, time.Minute)
		hs := New(testConfig, -1)
		c := &conn{hosts: hs, host: &host{}, net: &truncatedConn{remaining: writable}}
		c.reader = newReader(c.net)
		expectExchange(t, c, a, want)
		hs.Close()
	}
}

// An attempt that waited for a connection is not written after the grace of its host has expired, nor after it was given up: either
// would give the host useless work.
func TestAttemptThatWaited(t *testing.T) {
	config := testConfig
	config.Grace = 0
	hs, entry, conns := newTestHosts(t, config)
	real, hold := hs.Dial, make(chan struct{})
	hs.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		<-hold
		return real(ctx, network, addr)
	}
	late, ended := newAttempt(t, "mg k v O1 Pc=read,d=900", "", time.Minute)
	hs.Send(late)
	givenUp, givenUpEnded := newAttempt(t, "mg k v O4 Pc=read,d=900", "", time.Minute)
	hs.Send(givenUp)
	givenUp.GiveUp()
	expectOutcome(t, givenUpEnded, policy.NeverSent)
	entry.Condition = policy.Draining
	hs.ApplyList(discovery.List{Hosts: []discovery.Host{entry}})
	expectOutcome(t, ended, policy.NeverSent)
	close(hold)
	givenUpEarly, ended := newAttempt(t, "mg k v O2 Pc=read,d=900", "", time.Minute)
	givenUpEarly.GiveUp()
	hs.Send(givenUpEarly)
	expectOutcome(t, ended, policy.NeverSent)
	unknownHost, ended := newAttempt(t, "mg k v O3 Pc=read,d=900", "", time.Minute)
	unknownHost.To = "another"
	hs.Send(unknownHost)
	expectOutcome(t, ended, policy.NeverSent)
	c := <-conns
	c.SetReadDeadline(time.Now().Add(10 * time.Second))
	if got, _ := io.ReadAll(c); len(got) != 0 {
		t.Errorf("unexpectedly written: %q", got)
	}
}

// An attempt given up after its last byte was written may have run. Its connection is reset, so that no late answer arrives on it.
func TestGivenUp(t *testing.T) {
	hs, _, conns := newTestHosts(t, testConfig)
	a, ended := newAttempt(t, "mg k v O1 Pc=read,d=900", "", time.Minute)
	hs.Send(a)
	c := <-conns
	buf := make([]byte, 100)
	if n, _ := c.Read(buf); !strings.HasPrefix(string(buf[:n]), "mg k v O1 ") {
		t.Fatalf("got %q", buf[:n])
	}
	a.GiveUp()
	expectOutcome(t, ended, policy.Cancelled)
	if _, err := c.Read(buf); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the connection was not reset: %v", err)
	}
}

// scriptedConn is a connection whose answers come from a channel; closing the channel closes the connection.
type scriptedConn struct {
	truncatedConn
	answers chan string
}

func (c *scriptedConn) Read(p []byte) (int, error) {
	if a, ok := <-c.answers; ok {
		return copy(p, a), nil
	}
	return 0, io.EOF
}

// An attempt assigned to an idle connection just as the host closes it is sent over another connection. None of its bytes was written,
// and reporting a reset would prevent the retry of a non-idempotent request.
func TestClosedDuringAssignment(t *testing.T) {
	hs, _, conns := newTestHosts(t, testConfig)
	w := &scriptedConn{truncatedConn{remaining: 1 << 20}, make(chan string, 1)}
	real := hs.Dial
	hs.Dial = func(context.Context, string, string) (net.Conn, error) { return w, nil }
	first, ended := newAttempt(t, "mg k v O1 Pc=read,d=900", "", time.Minute)
	w.answers <- "EN O1\r\n"
	hs.Send(first)
	expectOutcome(t, ended, policy.CacheMiss)
	second, ended := newAttempt(t, "mg k v O2 Pc=read,d=900", "", time.Minute)
	waitIdle(t, hs, 1)
	hs.mu.Lock()
	hs.Dial = real
	hs.mu.Unlock()
	hs.Send(second)
	close(w.answers)
	io.WriteString(<-conns, "EN O2\r\n")
	expectOutcome(t, ended, policy.CacheMiss)
}

// The origin accepts few connections: its limit holds even if an idle connection to a cache host could make room.
func TestOriginLimit(t *testing.T) {
	config := testConfig
	config.Pool.MaxConnections, config.OriginMaxConnections = 2, 1
	hs, entry, conns := newTestHosts(t, config)
	hs.origin = 7
	entry.HostID = "i"
	origin := entry
	origin.HostID, origin.Kind = "o", 7
	hs.ApplyList(discovery.List{Hosts: []discovery.Host{entry, origin}})
	cached, ended := newAttempt(t, "mg k v O1 Pc=read,d=900", "", time.Minute)
	cached.To = "i"
	hs.Send(cached)
	io.WriteString(<-conns, "EN O1\r\n")
	expectOutcome(t, ended, policy.CacheMiss)
	waitIdle(t, hs, 1)
	held, _ := newAttempt(t, "mg k v O2 Pc=read,d=900", "", time.Minute)
	held.To = "o"
	hs.Send(held)
	<-conns
	more, ended := newAttempt(t, "mg k v O3 Pc=read,d=900", "", time.Minute)
	more.To = "o"
	hs.Send(more)
	expectOutcome(t, ended, policy.NeverSent)
}

// At the connection limit an idle connection is closed to make room; without an idle one the attempt is refused.
func TestConnectionLimit(t *testing.T) {
	config := testConfig
	config.Pool.MaxConnections = 1
	hs, _, conns := newTestHosts(t, config)
	first, ended := newAttempt(t, "mg k v O1 Pc=read,d=900", "", time.Minute)
	hs.Send(first)
	c := <-conns
	second, refused := newAttempt(t, "mg k v O2 Pc=read,d=900", "", time.Minute)
	hs.Send(second)
	expectOutcome(t, refused, policy.NeverSent)
	io.WriteString(c, "EN O1\r\n")
	expectOutcome(t, ended, policy.CacheMiss)
	entry := discovery.Host{Addr: c.LocalAddr().String(), HostEntry: policy.HostEntry{HostID: "i"}}
	hs.ApplyList(discovery.List{Hosts: []discovery.Host{entry}})
	waitIdle(t, hs, 1)
	third, ended := newAttempt(t, "mg k v O3 Pc=read,d=900", "", time.Minute)
	third.To = "i"
	hs.Send(third)
	io.WriteString(<-conns, "EN O3\r\n")
	expectOutcome(t, ended, policy.CacheMiss)
}

// Invalid answers are distinguished from broken connections. Otherwise a host that occasionally sends garbage would be treated as
// overloaded.
func TestInvalidAnswers(t *testing.T) {
	for answer, want := range map[string]policy.Outcome{
		"":                         policy.Reset,
		"VA 9 O1\r\nshort":         policy.Reset, // the connection breaks within the value
		"EN O1":                    policy.Reset,
		"noise\r\n":                policy.MalformedAnswer,
		"EN O1\n":                  policy.MalformedAnswer,
		"EN O2\r\n":                policy.MalformedAnswer,
		"VA 2 O1\r\nlonger\r\n":    policy.MalformedAnswer,
		"VA 3000000000 O1\r\nx":    policy.MalformedAnswer,
		strings.Repeat("x", 1<<16): policy.MalformedAnswer,
	} {
		a, _ := newAttempt(t, "mg k v O1 Pc=read,d=900", "", time.Minute)
		hs := New(testConfig, -1)
		c := &conn{hosts: hs, host: &host{}, net: &truncatedConn{remaining: 1 << 20}}
		c.reader = newReader(strings.NewReader(answer))
		t.Logf("%.20q", answer)
		expectExchange(t, c, a, want)
		hs.Close()
	}
}

// A host's load report is returned with every kind of answer that contains one, but only if load reports are enabled in the settings.
func TestReports(t *testing.T) {
	for answer, want := range map[string]*policy.LoadReport{
		"VA 1 O1 h1 Linflight=7,queue=2,util=0.61\r\nx\r\n": {InProgress: 7, Utilisation: 0.61, ServiceSeconds: -1},
		"EN O1 h0 Llatency_ms=40\r\n":                       {InProgress: -1, Utilisation: -1, ServiceSeconds: 0.04},
		"SERVER_ERROR busy Linflight=60\r\n":                {InProgress: 60, Utilisation: -1, ServiceSeconds: -1},
		"EN O1 Lutil=-3,inflight=many\r\n":                  nil,
		"EN O1\r\n":                                         nil,
	} {
		for _, enabled := range []bool{true, false} {
			a, _ := newAttempt(t, "mg k v O1 Pc=read,d=900", "", time.Minute)
			config := testConfig
			config.LoadReports = enabled
			hs := New(config, -1)
			c := &conn{hosts: hs, host: &host{}, net: &truncatedConn{remaining: 1 << 20}}
			c.reader = newReader(strings.NewReader(answer))
			r, _, err := c.read(a)
			if err != nil || (r.Load != nil) != (enabled && want != nil) || r.Load != nil && *r.Load != *want {
				t.Errorf("%q, reports enabled %v: %+v, %v", answer, enabled, r.Load, err)
			}
			hs.Close()
		}
	}
}

// Some hosts close a connection right after an answer. On the connection idle longest the close has been noticed already; an attempt
// written to the one used last would be lost and count as possibly run.
func TestLongestIdleUsedFirst(t *testing.T) {
	hs, _, conns := newTestHosts(t, testConfig)
	var held []net.Conn
	var all []chan Result
	for range 3 {
		a, ended := newAttempt(t, "mg k v O1 Pc=read,d=900", "", time.Minute)
		hs.Send(a)
		c := <-conns
		c.Read(make([]byte, 100)) // wait until this connection serves this attempt: connections being opened may swap their attempts
		held, all = append(held, c), append(all, ended)
	}
	for i, c := range held {
		io.WriteString(c, "EN O1\r\n")
		expectOutcome(t, all[i], policy.CacheMiss)
		waitIdle(t, hs, i+1)
	}
	a, _ := newAttempt(t, "mg next v O1 Pc=read,d=900", "", time.Minute)
	hs.Send(a)
	held[0].SetReadDeadline(time.Now().Add(time.Second))
	buf := make([]byte, 200)
	if n, _ := held[0].Read(buf); !strings.Contains(string(buf[:n]), "mg next") {
		t.Errorf("the connection idle longest got %q", buf[:n])
	}
}

// Hosts that are gone are removed once their connections have ended. Otherwise they would pile up, since new hosts have new ids.
func TestGoneHostsRemoved(t *testing.T) {
	hs, entry, conns := newTestHosts(t, testConfig)
	a, ended := newAttempt(t, "mg k v O1 Pc=read,d=900", "", time.Minute)
	hs.Send(a)
	c := <-conns
	c.Read(make([]byte, 100)) // the attempt is in flight
	gone := func(h discovery.Host) discovery.Host {
		h.Condition = policy.Gone
		return h
	}
	hs.ApplyList(discovery.List{Hosts: []discovery.Host{gone(entry)}})
	known := func() int {
		hs.mu.Lock()
		defer hs.mu.Unlock()
		return len(hs.byID)
	}
	if known() != 1 {
		t.Error("removed with an attempt in flight")
	}
	io.WriteString(c, "EN O1\r\n")
	expectOutcome(t, ended, policy.CacheMiss)
	for began := time.Now(); known() > 0; time.Sleep(time.Millisecond) {
		if time.Since(began) > 10*time.Second {
			t.Fatal("never removed")
		}
	}
	for i := range 100 {
		before := gone(entry)
		entry.HostID = policy.HostID(fmt.Sprint(i))
		hs.ApplyList(discovery.List{Hosts: []discovery.Host{before, entry}})
	}
	if known() != 1 {
		t.Errorf("%d hosts known, expected one", known())
	}
}

// A host that an operator has excluded gets no attempts, even if the list contains it again. After it is included again, no earlier
// connection to it is used: it may be another process.
func TestExcludedHost(t *testing.T) {
	hs, entry, conns := newTestHosts(t, testConfig)
	a, ended := newAttempt(t, "mg k v O1 Pc=read,d=900", "", time.Minute)
	hs.Send(a)
	first := <-conns
	first.Read(make([]byte, 100))
	io.WriteString(first, "EN O1\r\n")
	expectOutcome(t, ended, policy.CacheMiss)
	waitIdle(t, hs, 1)
	hs.Exclude("h")
	hs.ApplyList(discovery.List{Hosts: []discovery.Host{entry}})
	a, ended = newAttempt(t, "mg k v O2 Pc=read,d=900", "", time.Minute)
	hs.Send(a)
	expectOutcome(t, ended, policy.NeverSent)
	if n, _ := first.Read(make([]byte, 1)); n != 0 {
		t.Error("the idle connection was used")
	}
	hs.Include("h")
	a, ended = newAttempt(t, "mg k v O3 Pc=read,d=900", "", time.Minute)
	hs.Send(a)
	select {
	case second := <-conns:
		second.Read(make([]byte, 100))
		io.WriteString(second, "EN O3\r\n")
	case <-time.After(10 * time.Second):
		t.Fatal("no new connection was opened")
	}
	expectOutcome(t, ended, policy.CacheMiss)
}
