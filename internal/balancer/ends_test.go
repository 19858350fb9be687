package balancer

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"streamrail/internal/deployment"
	"streamrail/internal/discovery"
	"streamrail/internal/operator"
	"streamrail/internal/stall"
	"streamrail/policy"
)

// testTimeout bounds every wait; none of them decides a verdict unless something never comes.
const testTimeout = 10 * time.Second

// testBalancer is a balancer on loopback sockets whose connections to some hosts come up when the test says so.
type testBalancer struct {
	*testing.T
	*Balancer
	addr           string
	mu             sync.Mutex
	connectAllowed map[string]chan struct{} // by host: closed when connections to it may come up
	connecting     map[string]chan struct{} // by host: one for each that is being opened
	received       map[string][]string      // by host: the lines that have begun to come
	lines          chan string              // each of these lines, behind the host's name
}

// newTestBalancer has a host of each name; answers[name] is what it says, with the request's id for %s. Hosts in late are held up.
func newTestBalancer(t *testing.T, effect policy.Effect, window policy.Nanos, answers map[string]string, late ...string) *testBalancer {
	x := &testBalancer{T: t, connectAllowed: map[string]chan struct{}{}, connecting: map[string]chan struct{}{}, received: map[string][]string{}, lines: make(chan string, 1000)}
	terms := policy.ProductConfig{LatencySLO: 5 * policy.Second, BilledValue: 1, Effect: effect, DedupWindow: window}
	read := terms
	read.Effect = policy.Idempotent
	told := &deployment.Deployment{Name: "n", MaxSockets: 1024, MemoryMB: 192, DrainGrace: time.Second, ConnectTimeout: testTimeout, IdleTimeout: time.Minute,
		ClientTimeout: 3 * time.Second, MaxRequests: 1000, Zones: map[string]policy.Zone{"here": 0}, Kinds: map[string]policy.MachineKind{"cache": 0},
		Products:     map[string]policy.Product{"pay": 0, "read": 1},
		PolicyConfig: policy.Config{Balancers: 1, Products: []policy.ProductConfig{terms, read}, OriginKind: -1, MayCancel: true, MaxAttempts: 4, TimerGranularity: policy.Millisecond}}
	x.Balancer = New(told, &operator.File{}, zerolog.Nop())
	names := map[string]string{}
	l := discovery.List{Snapshot: true}
	for name, answer := range answers {
		at, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { at.Close() })
		names[at.Addr().String()] = name
		go x.serveHost(at, name, answer)
		l.Hosts = append(l.Hosts, discovery.Host{Addr: at.Addr().String(), HostEntry: policy.HostEntry{HostID: policy.HostID(name), Size: 1}})
	}
	for _, name := range late {
		x.connectAllowed[name], x.connecting[name] = make(chan struct{}), make(chan struct{}, 1000)
	}
	x.hosts.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		if up := x.connectAllowed[names[addr]]; up != nil {
			x.connecting[names[addr]] <- struct{}{}
			select {
			case <-up:
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		}
		return new(net.Dialer).DialContext(ctx, network, addr)
	}
	x.applyHostList(policy.ListRestored, l)
	at, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	x.addr = at.Addr().String()
	x.phase.Store(int32(Serving))
	go x.accept(at)
	t.Cleanup(func() { at.Close(); x.hosts.Close(); x.cancel() })
	return x
}

func (x *testBalancer) serveHost(at net.Listener, name, answer string) {
	for {
		c, err := at.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			in := bufio.NewReader(c)
			for {
				line, err := in.ReadString('\n')
				if err != nil {
					return
				}
				x.mu.Lock()
				x.received[name] = append(x.received[name], line)
				x.mu.Unlock()
				x.lines <- name + " " + line
				w := strings.Fields(line)
				if n := 0; w[0] == "ms" {
					fmt.Sscan(w[2], &n)
					if _, err := io.CopyN(io.Discard, in, int64(n)+2); err != nil {
						return
					}
				}
				id := ""
				for _, f := range w {
					if f[0] == 'O' {
						id = f[1:]
					}
				}
				if answer != "" {
					io.WriteString(c, strings.ReplaceAll(answer, "%s", id))
				}
			}
		}()
	}
}

func (x *testBalancer) dial() (*net.TCPConn, *bufio.Reader) {
	c, err := net.Dial("tcp", x.addr)
	if err != nil {
		x.Fatal(err)
	}
	x.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(testTimeout))
	return c.(*net.TCPConn), bufio.NewReader(c)
}

func (x *testBalancer) expectAnswer(request, want string) {
	x.Helper()
	c, in := x.dial()
	io.WriteString(c, request)
	if got, err := in.ReadString('\n'); !strings.HasPrefix(got, want) {
		x.Errorf("%.40q: got %q, %v, expected %q", request, got, err, want)
	}
}

func receiveSoon[T any](t *testing.T, from <-chan T, what string) (v T) {
	t.Helper()
	select {
	case v = <-from:
	case <-time.After(testTimeout):
		t.Fatal("never came: " + what)
	}
	return v
}

// waitFor waits for something that nothing tells of.
func (x *testBalancer) waitFor(what string, holds func() bool) {
	x.Helper()
	for began := time.Now(); !holds(); time.Sleep(time.Millisecond) {
		if time.Since(began) > testTimeout {
			x.Fatal("never: " + what)
		}
	}
}

const receipt = "HD O%s cdone\r\n"

// A client that goes away while its request waits for a connection to a host: when that comes up late, not a byte is sent.
func TestClientGoneBeforeTheConnect(t *testing.T) {
	leavings := map[string]func(c *net.TCPConn){
		"closes":       func(c *net.TCPConn) { c.Close() },
		"resets":       func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
		"ends sending": func(c *net.TCPConn) { c.CloseWrite() },
	}
	for name, request := range map[string]string{
		"a read":                  "mg k v Oa Pc=read,d=9000\r\n",
		"a write":                 "ms k 5 Oa Pc=pay,d=9000\r\nhello\r\n",
		"half of a long write":    "ms k 1000000 Oa Pc=pay,d=9000\r\n" + strings.Repeat("w", 500000),
		"a long write":            "ms k 200000 Oa Pc=pay,d=9000\r\n" + strings.Repeat("w", 200000) + "\r\n",
		"the beginning of one":    "ms k 1000000 Oa Pc=pay,d=9000\r\n",
		"a read, a probe behind":  "mg k v Oa Pc=read,d=9000\r\nmn\r\n",
		"a read, 300 more behind": strings.Repeat("mg k v Oa Pc=read,d=9000\r\n", 300),
	} {
		for how, leave := range leavings {
			t.Run(name+", "+how, func(t *testing.T) {
				t.Parallel()
				x := newTestBalancer(t, policy.NonIdempotent, 0, map[string]string{"late": receipt}, "late")
				c, _ := x.dial()
				io.WriteString(c, request)
				receiveSoon(t, x.connecting["late"], "the connect")
				leave(c)
				x.waitFor("given up", func() bool { return x.inFlight.Load() == 0 })
				close(x.connectAllowed["late"])
				x.expectAnswer("ms k 5 Olast Pc=pay,d=9000\r\nhello\r\n", "HD Olast") // over a connection that comes up late
				x.mu.Lock()
				defer x.mu.Unlock()
				if len(x.received["late"]) != 1 {
					t.Errorf("sent: %q", x.received["late"])
				}
			})
		}
	}
}

// A repeat of work that may have run must begin while the hosts still know it: where its connection comes up later it is not
// sent, and nothing is promised.
func TestWindowOverBeforeTheConnect(t *testing.T) {
	for name, row := range map[string]struct {
		effect policy.Effect
		window policy.Nanos
		again  bool
	}{
		"over":       {policy.Deduplicated, 2 * policy.Second, false},
		"not over":   {policy.Deduplicated, 60 * policy.Second, true},
		"idempotent": {policy.Idempotent, 200 * policy.Millisecond, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			x := newTestBalancer(t, row.effect, row.window, map[string]string{"fails": "SERVER_ERROR failed\r\n", "late": receipt}, "late")
			for i := range 40 { // half of the keys' homes are at the host that fails
				id := fmt.Sprint("w", i)
				c, in := x.dial()
				fmt.Fprintf(c, "ms %d-key 5 O%s Pc=pay,d=8000,k=1\r\nhello\r\n", i, id)
				before := time.Now()
				for first := ""; ; {
					select {
					case first = <-x.lines:
					case <-x.connecting["late"]:
					case <-time.After(testTimeout):
						t.Fatal("the request goes nowhere")
					}
					if strings.HasPrefix(first, "fails") { // the next attempt is for the late one
						receiveSoon(t, x.connecting["late"], "the connect of the further attempt")
						break
					} else if first == "" {
						break
					}
				}
				x.mu.Lock()
				failed := len(x.received["fails"]) > 0
				x.mu.Unlock()
				if !failed {
					c.Close()
					continue
				}
				if !row.again { // the answer comes when the window is over, the client timeout is far
					got, _ := in.ReadString('\n')
					if took := time.Since(before); got != "SERVER_ERROR failed\r\n" || took > 6*time.Second {
						t.Errorf("got %q after %v", got, took)
					}
				}
				close(x.connectAllowed["late"])
				if row.again {
					if got, _ := in.ReadString('\n'); got != "HD O"+id+" cdone\r\n" {
						t.Errorf("got %q", got)
					}
				}
				x.expectAnswer("mg other v Olast Pc=read,d=8000\r\n", "")
				x.mu.Lock()
				defer x.mu.Unlock()
				n := 0
				for _, line := range x.received["late"] {
					if strings.Contains(line, " O"+id+" ") {
						n++
					}
				}
				if (n == 1) != row.again {
					t.Errorf("%d attempts over the late connection", n)
				}
				return
			}
			t.Fatal("no key's home is the host that fails")
		})
	}
}

// A request's time counts from when it came, also where it stood behind others and was read ahead: neither from when those came,
// which would turn it away too early, nor from when it is taken, which would answer it too late.
func TestTimeOfWhatIsReadAhead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		defer near.Close()
		defer far.Close()
		c := newClientConn(near, stall.New(time.Now()), time.Now())
		var came []time.Time
		for _, text := range []string{"mn\r\n", "mn\r\nm", "n\r\n"} {
			time.Sleep(time.Second)
			came = append(came, time.Now())
			c.readAheadBuf.fill(func(p []byte) (int, time.Time, error) { return copy(p, text), time.Now(), nil })
		}
		time.Sleep(time.Second)
		for i, want := range []time.Time{came[0], came[1], came[2]} {
			if line, err := c.reader.ReadSlice('\n'); err != nil || string(line) != "mn\r\n" || !c.lastReadTime().Equal(want) {
				t.Errorf("request %d: %q, %v, counts from %v, came after %v", i, line, err, c.lastReadTime().Sub(c.openedAt), want.Sub(c.openedAt))
			}
		}
	})
}
