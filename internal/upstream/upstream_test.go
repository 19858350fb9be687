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

// stand makes a set with one host at a listener that hands its connections over.
func stand(t *testing.T, limits Limits) (hs *Hosts, entry discovery.Host, conns chan net.Conn) {
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
	entry = discovery.Host{Addr: l.Addr().String(), Entry: policy.Entry{Cache: "h"}}
	hs = New(limits, -1)
	hs.Listed(discovery.List{Hosts: []discovery.Host{entry}})
	t.Cleanup(hs.Close)
	return hs, entry, conns
}

func attempt(t *testing.T, line, value string, until time.Duration) (*Attempt, chan Result) {
	cmd, fault := memcache.Parse([]byte(line))
	if fault != nil {
		t.Fatal(fault)
	}
	ended := make(chan Result, 2)
	return &Attempt{To: "h", Command: &cmd, Value: []byte(value), Deadline: deadline.After(time.Now(), until), BeginBy: deadline.After(time.Now(), until),
		Room: func(n int) bool { return n < 1<<19 }, Done: func(r Result) { ended <- r }}, ended
}

func ends(t *testing.T, ended chan Result, want policy.Outcome) {
	t.Helper()
	select {
	case r := <-ended:
		if r.Outcome != want {
			t.Errorf("outcome %d, expected %d", r.Outcome, want)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("the attempt never ends")
	}
}

// atRest waits until so many connections are idle.
func atRest(t *testing.T, hs *Hosts, many int) {
	t.Helper()
	for began := time.Now(); time.Since(began) < 10*time.Second; time.Sleep(time.Millisecond) {
		hs.mu.Lock()
		n := 0
		for _, c := range hs.conns {
			if c.resting {
				n++
			}
		}
		hs.mu.Unlock()
		if n == many {
			return
		}
	}
	t.Fatal("no connection comes to rest")
}

var wide = Limits{Pool: pool.Terms{Most: 10, Idle: policy.Nanos(time.Minute)}, Origin: 10, Connect: time.Second, Grace: time.Second}

// carried is what comes of an attempt over a connection.
func carried(t *testing.T, c *conn, s *Attempt, want policy.Outcome) {
	t.Helper()
	if r, _, _ := c.carry(s); r.Outcome != want {
		t.Errorf("outcome %d, expected %d", r.Outcome, want)
	}
}

// cut is a connection that breaks after so many bytes.
type cut struct {
	net.Conn
	room int
}

func (c *cut) Write(p []byte) (int, error) {
	n := min(len(p), c.room)
	c.room -= n
	if n < len(p) {
		return n, io.ErrClosedPipe
	}
	return n, nil
}
func (c *cut) Read([]byte) (int, error)        { return 0, io.EOF }
func (c *cut) SetReadDeadline(time.Time) error { return nil }
func (c *cut) Close() error                    { return nil }

// One byte decides: a write that broke before its last byte never ran and may go elsewhere, one after it may
// have credited a phone line.
func TestBreakAtLastByte(t *testing.T) {
	const line, value = "ms k 5 O1 Pc=pay,d=900", "hello"
	var whole bytes.Buffer
	s, _ := attempt(t, line, value, time.Minute)
	whole.Write(s.Command.AppendOnward(nil, s.Deadline.Remaining()))
	total := whole.Len() + len(value) + 2
	for room, want := range map[int]policy.Outcome{0: policy.ConnectFailed, total - 1: policy.ConnectFailed, total: policy.Reset} {
		s, _ := attempt(t, line, value, time.Minute)
		hs := New(wide, -1)
		c := &conn{hosts: hs, host: &host{}, net: &cut{room: room}}
		c.in = newReader(c.net)
		carried(t, c, s, want)
		hs.Close()
	}
}

// An order that waited is not written once its host was told off longer than the grace ago, nor when the API
// call is over: either would be new work that nobody wants.
func TestOrderThatWaited(t *testing.T) {
	limits := wide
	limits.Grace = 0
	hs, entry, conns := stand(t, limits)
	real, hold := hs.Dial, make(chan struct{})
	hs.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		<-hold
		return real(ctx, network, addr)
	}
	late, ended := attempt(t, "mg k v O1 Pc=read,d=900", "", time.Minute)
	hs.Send(late)
	given, andEnded := attempt(t, "mg k v O4 Pc=read,d=900", "", time.Minute)
	hs.Send(given)
	given.GiveUp()
	ends(t, andEnded, policy.NeverSent)
	entry.Condition = policy.Draining
	hs.Listed(discovery.List{Hosts: []discovery.Host{entry}})
	ends(t, ended, policy.NeverSent)
	close(hold)
	over, ended := attempt(t, "mg k v O2 Pc=read,d=900", "", time.Minute)
	over.GiveUp()
	hs.Send(over)
	ends(t, ended, policy.NeverSent)
	gone, ended := attempt(t, "mg k v O3 Pc=read,d=900", "", time.Minute)
	gone.To = "another"
	hs.Send(gone)
	ends(t, ended, policy.NeverSent)
	c := <-conns
	c.SetReadDeadline(time.Now().Add(10 * time.Second))
	if got, _ := io.ReadAll(c); len(got) != 0 {
		t.Errorf("written all the same: %q", got)
	}
}

// Given up after its last byte, an attempt may have run; its connection ends, so that no answer comes late.
func TestGivenUp(t *testing.T) {
	hs, _, conns := stand(t, wide)
	s, ended := attempt(t, "mg k v O1 Pc=read,d=900", "", time.Minute)
	hs.Send(s)
	c := <-conns
	buf := make([]byte, 100)
	if n, _ := c.Read(buf); !strings.HasPrefix(string(buf[:n]), "mg k v O1 ") {
		t.Fatalf("got %q", buf[:n])
	}
	s.GiveUp()
	ends(t, ended, policy.Cancelled)
	if _, err := c.Read(buf); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the connection is not reset: %v", err)
	}
}

// rested is a connection whose host answers one command and closes when told to.
type rested struct {
	cut
	answers chan string
}

func (c *rested) Read(p []byte) (int, error) {
	if a, ok := <-c.answers; ok {
		return copy(p, a), nil
	}
	return 0, io.EOF
}

// An attempt handed to a connection at rest just as its host closes it goes over another one: not a byte was
// written, and calling it a reset would forbid a non-idempotent request its next attempt.
func TestClosedAsHanded(t *testing.T) {
	hs, _, conns := stand(t, wide)
	w := &rested{cut{room: 1 << 20}, make(chan string, 1)}
	real := hs.Dial
	hs.Dial = func(context.Context, string, string) (net.Conn, error) { return w, nil }
	first, ended := attempt(t, "mg k v O1 Pc=read,d=900", "", time.Minute)
	w.answers <- "EN O1\r\n"
	hs.Send(first)
	ends(t, ended, policy.Missed)
	second, ended := attempt(t, "mg k v O2 Pc=read,d=900", "", time.Minute)
	atRest(t, hs, 1)
	hs.mu.Lock()
	hs.Dial = real
	hs.mu.Unlock()
	hs.Send(second)
	close(w.answers)
	io.WriteString(<-conns, "EN O2\r\n")
	ends(t, ended, policy.Missed)
}

// The origin takes few connections: its bound holds also where an idle one to a cache host could make room.
func TestOriginBound(t *testing.T) {
	limits := wide
	limits.Pool.Most, limits.Origin = 2, 1
	hs, entry, conns := stand(t, limits)
	hs.origin = 7
	entry.Cache = "i"
	origin := entry
	origin.Cache, origin.Kind = "o", 7
	hs.Listed(discovery.List{Hosts: []discovery.Host{entry, origin}})
	cached, ended := attempt(t, "mg k v O1 Pc=read,d=900", "", time.Minute)
	cached.To = "i"
	hs.Send(cached)
	io.WriteString(<-conns, "EN O1\r\n")
	ends(t, ended, policy.Missed)
	atRest(t, hs, 1)
	held, _ := attempt(t, "mg k v O2 Pc=read,d=900", "", time.Minute)
	held.To = "o"
	hs.Send(held)
	<-conns
	more, ended := attempt(t, "mg k v O3 Pc=read,d=900", "", time.Minute)
	more.To = "o"
	hs.Send(more)
	ends(t, ended, policy.NeverSent)
}

// Connections are bounded: one that is idle makes room, and without one the attempt is never sent.
func TestBound(t *testing.T) {
	limits := wide
	limits.Pool.Most = 1
	hs, _, conns := stand(t, limits)
	first, ended := attempt(t, "mg k v O1 Pc=read,d=900", "", time.Minute)
	hs.Send(first)
	c := <-conns
	second, never := attempt(t, "mg k v O2 Pc=read,d=900", "", time.Minute)
	hs.Send(second)
	ends(t, never, policy.NeverSent)
	io.WriteString(c, "EN O1\r\n")
	ends(t, ended, policy.Missed)
	entry := discovery.Host{Addr: c.LocalAddr().String(), Entry: policy.Entry{Cache: "i"}}
	hs.Listed(discovery.List{Hosts: []discovery.Host{entry}})
	atRest(t, hs, 1)
	third, ended := attempt(t, "mg k v O3 Pc=read,d=900", "", time.Minute)
	third.To = "i"
	hs.Send(third)
	io.WriteString(<-conns, "EN O3\r\n")
	ends(t, ended, policy.Missed)
}

// What comes and is no answer is told apart from a connection that breaks: hosts that only garble now and then
// were taken for crowded ones.
func TestSpoilt(t *testing.T) {
	for answer, want := range map[string]policy.Outcome{
		"":                         policy.Reset,
		"VA 9 O1\r\nshort":         policy.Reset, // broke off
		"EN O1":                    policy.Reset,
		"noise\r\n":                policy.Spoilt,
		"EN O1\n":                  policy.Spoilt,
		"EN O2\r\n":                policy.Spoilt,
		"VA 2 O1\r\nlonger\r\n":    policy.Spoilt,
		"VA 3000000000 O1\r\nx":    policy.Spoilt,
		strings.Repeat("x", 1<<16): policy.Spoilt,
	} {
		s, _ := attempt(t, "mg k v O1 Pc=read,d=900", "", time.Minute)
		hs := New(wide, -1)
		c := &conn{hosts: hs, host: &host{}, net: &cut{room: 1 << 20}}
		c.in = newReader(strings.NewReader(answer))
		t.Logf("%.20q", answer)
		carried(t, c, s, want)
		hs.Close()
	}
}

// A host's report reaches the module with whatever answer brings it, where the settings say that answers hold one, and nowhere else.
func TestReports(t *testing.T) {
	for answer, want := range map[string]*policy.Load{
		"VA 1 O1 h1 Linflight=7,queue=2,util=0.61\r\nx\r\n": {InHand: 7, Busy: 0.61, Took: -1},
		"EN O1 h0 Llatency_ms=40\r\n":                       {InHand: -1, Busy: -1, Took: 0.04},
		"SERVER_ERROR busy Linflight=60\r\n":                {InHand: 60, Busy: -1, Took: -1},
		"EN O1 Lutil=-3,inflight=many\r\n":                  nil,
		"EN O1\r\n":                                         nil,
	} {
		for _, told := range []bool{true, false} {
			s, _ := attempt(t, "mg k v O1 Pc=read,d=900", "", time.Minute)
			limits := wide
			limits.Reports = told
			hs := New(limits, -1)
			c := &conn{hosts: hs, host: &host{}, net: &cut{room: 1 << 20}}
			c.in = newReader(strings.NewReader(answer))
			r, _, err := c.read(s)
			if err != nil || (r.Load != nil) != (told && want != nil) || r.Load != nil && *r.Load != *want {
				t.Errorf("%q, told %v: %+v, %v", answer, told, r.Load, err)
			}
			hs.Close()
		}
	}
}

// Some hosts close a connection right after an answer. The one at rest longest has been heard closing by then; a
// attempt written to the last one used would end as one that may have run.
func TestLongestRested(t *testing.T) {
	hs, _, conns := stand(t, wide)
	var held []net.Conn
	var all []chan Result
	for range 3 {
		s, ended := attempt(t, "mg k v O1 Pc=read,d=900", "", time.Minute)
		hs.Send(s)
		c := <-conns
		c.Read(make([]byte, 100)) // it is this one's: two that are being opened may change their attempts
		held, all = append(held, c), append(all, ended)
	}
	for i, c := range held {
		io.WriteString(c, "EN O1\r\n")
		ends(t, all[i], policy.Missed)
		atRest(t, hs, i+1)
	}
	s, _ := attempt(t, "mg next v O1 Pc=read,d=900", "", time.Minute)
	hs.Send(s)
	held[0].SetReadDeadline(time.Now().Add(time.Second))
	buf := make([]byte, 200)
	if n, _ := held[0].Read(buf); !strings.Contains(string(buf[:n]), "mg next") {
		t.Errorf("the longest rested got %q", buf[:n])
	}
}

// Hosts come and go all day under new ids; what is gone leaves nothing behind once its connections have ended.
func TestGoneForgotten(t *testing.T) {
	hs, entry, conns := stand(t, wide)
	s, ended := attempt(t, "mg k v O1 Pc=read,d=900", "", time.Minute)
	hs.Send(s)
	c := <-conns
	c.Read(make([]byte, 100)) // the attempt is out
	gone := func(h discovery.Host) discovery.Host {
		h.Condition = policy.Gone
		return h
	}
	hs.Listed(discovery.List{Hosts: []discovery.Host{gone(entry)}})
	known := func() int {
		hs.mu.Lock()
		defer hs.mu.Unlock()
		return len(hs.all)
	}
	if known() != 1 {
		t.Error("forgotten with an attempt out")
	}
	io.WriteString(c, "EN O1\r\n")
	ends(t, ended, policy.Missed)
	for began := time.Now(); known() > 0; time.Sleep(time.Millisecond) {
		if time.Since(began) > 10*time.Second {
			t.Fatal("never forgotten")
		}
	}
	for i := range 100 {
		before := gone(entry)
		entry.Cache = policy.CacheID(fmt.Sprint(i))
		hs.Listed(discovery.List{Hosts: []discovery.Host{before, entry}})
	}
	if known() != 1 {
		t.Errorf("%d known of one", known())
	}
}

// A host that is out by hand gets nothing, also where the list names it again, nor what waits for a connection to it; back, it
// gets no attempt over a connection of before: it may be another process.
func TestOutByHand(t *testing.T) {
	hs, entry, conns := stand(t, wide)
	s, ended := attempt(t, "mg k v O1 Pc=read,d=900", "", time.Minute)
	hs.Send(s)
	first := <-conns
	first.Read(make([]byte, 100))
	io.WriteString(first, "EN O1\r\n")
	ends(t, ended, policy.Missed)
	atRest(t, hs, 1)
	hs.Exclude("h")
	hs.Listed(discovery.List{Hosts: []discovery.Host{entry}})
	s, ended = attempt(t, "mg k v O2 Pc=read,d=900", "", time.Minute)
	hs.Send(s)
	ends(t, ended, policy.NeverSent)
	if n, _ := first.Read(make([]byte, 1)); n != 0 {
		t.Error("the connection at rest was used")
	}
	hs.Include("h")
	s, ended = attempt(t, "mg k v O3 Pc=read,d=900", "", time.Minute)
	hs.Send(s)
	select {
	case second := <-conns:
		second.Read(make([]byte, 100))
		io.WriteString(second, "EN O3\r\n")
	case <-time.After(10 * time.Second):
		t.Fatal("no new connection")
	}
	ends(t, ended, policy.Missed)
}
