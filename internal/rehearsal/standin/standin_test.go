package standin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"streamrail/internal/rehearsal/model"
	"streamrail/internal/rehearsal/record"
	"streamrail/internal/rehearsal/scenario"
)

// waitTimeout limits every wait. It only matters if an expected event never happens.
const waitTimeout = 10 * time.Second

// newEnvironment starts a cache host, the origin and discovery for one balancer.
func newEnvironment(t *testing.T, settings string) (*Environment, *Host) {
	t.Helper()
	sc, err := scenario.Parse("test", []byte("[fleet]\nbalancers = 1\nsame = \"0s\"\n"+settings))
	if err != nil {
		t.Fatal(err)
	}
	w := NewEnvironment(sc, record.New())
	if err := w.AddDiscovery(); err != nil {
		t.Fatal(err)
	}
	if err := w.AddOrigin(); err != nil {
		t.Fatal(err)
	}
	n, err := w.AddHost("node-1", &sc.Hosts[0], false, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Stop)
	w.Discovery.Update(n.Entry(model.Active))
	w.Begin()
	return w, n
}

// roundTrip sends a command and returns the first line of its answer.
func roundTrip(t *testing.T, c net.Conn, in *bufio.Reader, text string) string {
	t.Helper()
	c.SetDeadline(time.Now().Add(waitTimeout))
	io.WriteString(c, text)
	line, err := in.ReadString('\n')
	if err != nil {
		return err.Error()
	}
	return strings.TrimSpace(line)
}

func dial(t *testing.T, addr string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c, bufio.NewReader(c)
}

func (n *Host) inFlight() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.model.Load().InFlight
}

// waitForRecord waits until the record meets a condition.
func waitForRecord(t *testing.T, w *Environment, what string, found func(r *record.Record) bool) {
	t.Helper()
	for start := time.Now(); ; time.Sleep(time.Millisecond) {
		ok := false
		w.Record.Add(func() { ok = found(w.Record) })
		if ok {
			return
		}
		if time.Since(start) > waitTimeout {
			t.Fatal("not recorded in time: " + what)
		}
	}
}

// A balancer that closes its connection does not stop an attempt that is already running: the record must show that the
// attempt ran and its effect.
func TestGivenUpStillRuns(t *testing.T) {
	w, n := newEnvironment(t, "mode = \"through\"\n[[node]]\nname = \"node\"\n[gateway]\ntime = \"5ms\"")
	w.ExpectRequest("w1", ExpectedRequest{Key: "k", Product: 2})
	c, _ := dial(t, n.Addr(0))
	n.SetStalled(true)
	io.WriteString(c, "ms k 2 Ow1 Pc=credit,t=shops,d=900\r\nhi\r\n")
	for start := time.Now(); n.inFlight() == 0; time.Sleep(time.Millisecond) {
		if time.Since(start) > waitTimeout {
			t.Fatal("the attempt never reached the cache host")
		}
	}
	c.Close()
	n.SetStalled(false)
	waitForRecord(t, w, "the attempt that ran", func(r *record.Record) bool {
		return len(r.Effects) == 1 && r.Effects[0].RequestID == "w1" && len(r.Attempts) > 0 && r.Attempts[0].Ran && r.Attempts[0].Proof == record.NothingProven
	})
}

// Over a cut link no connection is established and nothing is answered; after the cut, new connections work again.
func TestCutLink(t *testing.T) {
	w, n := newEnvironment(t, "[[node]]\nname = \"node\"\n[load]\nwarm = 0.1")
	n.Preload("k")
	for _, id := range []string{"a", "b", "c"} {
		w.ExpectRequest(id, ExpectedRequest{Key: "k"})
	}
	c, in := dial(t, n.Addr(0))
	get := func(id string) string { return "mg k v O" + id + " Pc=balance,t=shops,d=900\r\n" }
	if got := roundTrip(t, c, in, get("a")); got != "VA 300 Oa h1" {
		t.Fatal(got)
	}
	io.ReadFull(in, make([]byte, 302))
	n.Cut(0, true)
	if c, err := net.DialTimeout("tcp", n.Addr(0), 100*time.Millisecond); err == nil {
		c.Close()
		t.Error("a connection was established over a cut link")
	}
	io.WriteString(c, get("b"))
	c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	if _, err := in.ReadByte(); err == nil {
		t.Error("an answer arrived over a cut link")
	}
	c.Close()
	waitForRecord(t, w, "the attempt lost on the link", func(r *record.Record) bool {
		return len(r.Attempts) == 2 && r.Attempts[1].RequestID == "b" && r.Attempts[1].LostOnLink && !r.Attempts[1].Ran
	})
	if err := n.Cut(0, false); err != nil {
		t.Fatal(err)
	}
	c, in = dial(t, n.Addr(0))
	if got := roundTrip(t, c, in, get("c")); got != "VA 300 Oc h1" {
		t.Error(got)
	}
}

// Guards against a cut link that still establishes a connection because its host was accepting when the cut began.
func TestCutWhileAccepting(t *testing.T) {
	for range 16 { // side by side, so that they hold each other up
		t.Run("", func(t *testing.T) {
			t.Parallel()
			_, n := newEnvironment(t, "[[node]]\nname = \"node\"")
			for range 30 {
				dial(t, n.Addr(0))
				n.Cut(0, true)
				if c, err := net.DialTimeout("tcp", n.Addr(0), 20*time.Millisecond); err == nil {
					c.Close()
					t.Fatal("a connection was established over a cut link")
				}
				if err := n.Cut(0, false); err != nil {
					t.Fatal(err)
				}
			}
		})
	}
}

// A cache host rejects commands on connections above its limit. A successor at the same address counts as a new process.
func TestConnections(t *testing.T) {
	w, n := newEnvironment(t, "[[node]]\nname = \"node\"\nconnections = 1\nwarm_for = \"10s\"")
	w.ExpectRequest("a", ExpectedRequest{Key: "k"})
	c, in := dial(t, n.Addr(0))
	if got := roundTrip(t, c, in, "mn\r\n"); got != "MN" {
		t.Fatal(got)
	}
	c2, in2 := dial(t, n.Addr(0))
	if got := roundTrip(t, c2, in2, "mg k v Oa Pc=balance,t=shops,d=900\r\n"); got != "SERVER_ERROR busy" {
		t.Error(got)
	}
	n.Stop()
	c.SetReadDeadline(time.Now().Add(waitTimeout))
	if _, err := in.ReadByte(); err == nil {
		t.Error("the connection stayed open after its cache host stopped")
	}
	if _, err := net.Dial("tcp", n.Addr(0)); err == nil {
		t.Error("a stopped cache host accepts connections")
	}
	next, err := w.AddHost("node-1.2", n.Group, true, n)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(next.Stop)
	if next.Addr(0) != n.Addr(0) || next.Entry(model.Active).StartedAt == 0 {
		t.Errorf("the successor is at %s, started at %v", next.Addr(0), next.Entry(model.Active).StartedAt)
	}
	c3, in3 := dial(t, next.Addr(0))
	if got := roundTrip(t, c3, in3, "stats load\r\n"); !strings.HasPrefix(got, "STAT inflight") {
		t.Error(got)
	}
}

// Discovery stops answering when silenced. After its generations start over, it sends the full list to a watch that names
// a later generation.
func TestDiscoveryAgent(t *testing.T) {
	w, _ := newEnvironment(t, "")
	get := func(query string, wait time.Duration) string {
		c := http.Client{Timeout: wait}
		r, err := c.Get("http://" + w.Discovery.Addr(0) + "/api/targets" + query)
		if err != nil {
			return "silent"
		}
		defer r.Body.Close()
		text, _ := io.ReadAll(r.Body)
		return string(text)
	}
	if got := get("", waitTimeout); !strings.Contains(got, `"reset":true`) || !strings.Contains(got, `"instanceId":"node-1"`) {
		t.Error(got)
	}
	w.Discovery.SetSilent(0, true)
	if got := get("", 100*time.Millisecond); got != "silent" {
		t.Error(got)
	}
	w.Discovery.SetSilent(0, false)
	w.Discovery.ResetGenerations(0)
	if got := get(fmt.Sprintf("?after=%d&wait_ms=5000", 7), waitTimeout); !strings.Contains(got, `"reset":true`) {
		t.Error(got)
	}
	if _, err := listen(&net.TCPAddr{IP: net.IPv4(10, 0, 0, 1)}); err == nil {
		t.Error("a non-loopback address was opened")
	}
}
