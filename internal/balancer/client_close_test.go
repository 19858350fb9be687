package balancer

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"runtime"
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

// testTimeout bounds every wait for something that must happen; it only expires if that never happens.
const testTimeout = 10 * time.Second

// testBalancer is a balancer on loopback sockets; the test decides when connections to some of its hosts are established.
type testBalancer struct {
	*testing.T
	*Balancer
	addr           string
	mu             sync.Mutex
	connectAllowed map[string]chan struct{} // by host: closed when connections to it may be established
	connecting     map[string]chan struct{} // by host: receives a value for each connection being opened
	received       map[string][]string      // by host: the command lines received
	lines          chan string              // each of these lines, after the host's name and a space
}

// newTestBalancer starts a balancer with a host for each name in answers. A host answers every request with its text, in which %s stands
// for the request's id. Connections to the delayed hosts wait for connectAllowed.
func newTestBalancer(t *testing.T, effect policy.Effect, window policy.Nanos, answers map[string]string, delayed ...string) *testBalancer {
	x := &testBalancer{T: t, connectAllowed: map[string]chan struct{}{}, connecting: map[string]chan struct{}{}, received: map[string][]string{}, lines: make(chan string, 1000)}
	writeConfig := policy.ProductConfig{LatencySLO: 5 * policy.Second, BilledValue: 1, Effect: effect, DedupWindow: window}
	readConfig := writeConfig
	readConfig.Effect = policy.Idempotent
	deployed := &deployment.Deployment{Name: "n", MaxSockets: 1024, MemoryMB: 192, DrainGrace: time.Second, ConnectTimeout: testTimeout, IdleTimeout: time.Minute,
		ClientTimeout: 3 * time.Second, MaxRequests: 1000, Zones: map[string]policy.Zone{"here": 0}, Kinds: map[string]policy.MachineKind{"cache": 0},
		Products:     map[string]policy.Product{"pay": 0, "read": 1},
		PolicyConfig: policy.Config{Balancers: 1, Products: []policy.ProductConfig{writeConfig, readConfig}, OriginKind: -1, MayCancel: true, MaxAttempts: 4, TimerGranularity: policy.Millisecond}}
	x.Balancer = New(deployed, &operator.File{}, zerolog.Nop())
	names := map[string]string{}
	list := discovery.List{Snapshot: true}
	for name, answer := range answers {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { listener.Close() })
		names[listener.Addr().String()] = name
		go x.serveHost(listener, name, answer)
		list.Hosts = append(list.Hosts, discovery.Host{Addr: listener.Addr().String(), HostEntry: policy.HostEntry{HostID: policy.HostID(name), Size: 1}})
	}
	for _, name := range delayed {
		x.connectAllowed[name], x.connecting[name] = make(chan struct{}), make(chan struct{}, 1000)
	}
	x.hosts.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		if allowed := x.connectAllowed[names[addr]]; allowed != nil {
			x.connecting[names[addr]] <- struct{}{}
			select {
			case <-allowed:
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		}
		return new(net.Dialer).DialContext(ctx, network, addr)
	}
	x.applyHostList(policy.ListRestored, list)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	x.addr = listener.Addr().String()
	x.phase.Store(int32(Serving))
	go x.accept(listener)
	t.Cleanup(func() { listener.Close(); x.hosts.Close(); x.cancel() })
	return x
}

func (x *testBalancer) serveHost(listener net.Listener, name, answer string) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			in := bufio.NewReader(conn)
			for {
				line, err := in.ReadString('\n')
				if err != nil {
					return
				}
				x.mu.Lock()
				x.received[name] = append(x.received[name], line)
				x.mu.Unlock()
				x.lines <- name + " " + line
				fields := strings.Fields(line)
				if n := 0; fields[0] == "ms" {
					fmt.Sscan(fields[2], &n)
					if _, err := io.CopyN(io.Discard, in, int64(n)+2); err != nil {
						return
					}
				}
				id := ""
				for _, field := range fields {
					if field[0] == 'O' {
						id = field[1:]
					}
				}
				if answer != "" {
					io.WriteString(conn, strings.ReplaceAll(answer, "%s", id))
				}
			}
		}()
	}
}

func (x *testBalancer) dial() (*net.TCPConn, *bufio.Reader) {
	conn, err := net.Dial("tcp", x.addr)
	if err != nil {
		x.Fatal(err)
	}
	x.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(testTimeout))
	return conn.(*net.TCPConn), bufio.NewReader(conn)
}

func (x *testBalancer) expectAnswer(request, want string) {
	x.Helper()
	conn, in := x.dial()
	io.WriteString(conn, request)
	if got, err := in.ReadString('\n'); !strings.HasPrefix(got, want) {
		x.Errorf("%.40q: got %q, %v, expected %q", request, got, err, want)
	}
}

func receiveSoon[T any](t *testing.T, ch <-chan T, what string) (v T) {
	t.Helper()
	select {
	case v = <-ch:
	case <-time.After(testTimeout):
		t.Fatal("timed out waiting for " + what)
	}
	return v
}

// waitFor polls a condition until it holds.
func (x *testBalancer) waitFor(what string, condition func() bool) {
	x.Helper()
	for began := time.Now(); !condition(); time.Sleep(time.Millisecond) {
		if time.Since(began) > testTimeout {
			x.Fatal("timed out waiting until " + what)
		}
	}
}

const receipt = "HD O%s cdone\r\n"

// If a client closes its connection while its request waits for a connection to a host, nothing of the request may be sent once that
// connection is established.
func TestClientGoneBeforeTheConnect(t *testing.T) {
	waysToLeave := map[string]func(conn *net.TCPConn){
		"closes":       func(conn *net.TCPConn) { conn.Close() },
		"resets":       func(conn *net.TCPConn) { conn.SetLinger(0); conn.Close() },
		"ends sending": func(conn *net.TCPConn) { conn.CloseWrite() },
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
		for how, leave := range waysToLeave {
			t.Run(name+", "+how, func(t *testing.T) {
				t.Parallel()
				x := newTestBalancer(t, policy.NonIdempotent, 0, map[string]string{"late": receipt}, "late")
				conn, _ := x.dial()
				io.WriteString(conn, request)
				receiveSoon(t, x.connecting["late"], "the connection to the host")
				leave(conn)
				x.waitFor("the request is given up", func() bool { return x.inFlight.Load() == 0 })
				close(x.connectAllowed["late"])
				x.expectAnswer("ms k 5 Olast Pc=pay,d=9000\r\nhello\r\n", "HD Olast") // over a connection that was established late
				x.mu.Lock()
				defer x.mu.Unlock()
				if len(x.received["late"]) != 1 {
					t.Errorf("sent: %q", x.received["late"])
				}
			})
		}
	}
}

// Guards against an attempt that counts at its host for ever because the policy decided it while its request was ending: the client had
// left while the policy was busy.
func TestAttemptDecidedAtTheEnd(t *testing.T) {
	x := newTestBalancer(t, policy.NonIdempotent, 0, map[string]string{"h": receipt})
	x.callPolicy(func() {
		conn, _ := x.dial()
		io.WriteString(conn, "mg k v Oa Pc=read,d=9000\r\n")
		x.waitFor("the request is taken", func() bool { return x.inFlight.Load() == 1 })
		conn.Close()
		x.waitFor("the request is given up", func() bool { return x.inFlight.Load() == 0 })
	})
	known := true
	x.waitFor("all events are processed", func() bool {
		x.callPolicy(func() {})
		return x.Balancer.mu.pendingCount.Load() == 0
	})
	x.callPolicy(func() {
		x.policy.ApplyList(policy.ListUpdate, []policy.HostEntry{{HostID: "h", Size: 1, Condition: policy.Gone}})
		known = x.policy.IsKnownHost("h") // a host that is gone is kept while it has attempts
	})
	if known {
		t.Error("the host still has an attempt in flight")
	}
}

// A retry of a write that may have run must begin within the window in which hosts recognise repeats. If its connection is established
// later the retry is not sent, and the request is answered as errored.
func TestWindowOverBeforeTheConnect(t *testing.T) {
	for name, row := range map[string]struct {
		effect   policy.Effect
		window   policy.Nanos
		repeated bool
	}{
		"over":       {policy.Deduplicated, 2 * policy.Second, false},
		"not over":   {policy.Deduplicated, 60 * policy.Second, true},
		"idempotent": {policy.Idempotent, 200 * policy.Millisecond, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			x := newTestBalancer(t, row.effect, row.window, map[string]string{"fails": "SERVER_ERROR failed\r\n", "late": receipt}, "late")
			for i := range 40 { // the host that fails is the home of half of the keys
				id := fmt.Sprint("w", i)
				conn, in := x.dial()
				fmt.Fprintf(conn, "ms %d-key 5 O%s Pc=pay,d=8000,k=1\r\nhello\r\n", i, id)
				before := time.Now()
				for first := ""; ; {
					select {
					case first = <-x.lines:
					case <-x.connecting["late"]:
					case <-time.After(testTimeout):
						t.Fatal("no attempt was made")
					}
					if strings.HasPrefix(first, "fails") { // the next attempt goes to the late host
						receiveSoon(t, x.connecting["late"], "the connection of the next attempt")
						break
					} else if first == "" {
						break
					}
				}
				x.mu.Lock()
				failed := len(x.received["fails"]) > 0
				x.mu.Unlock()
				if !failed {
					conn.Close()
					continue
				}
				if !row.repeated { // the answer arrives when the window ends, long before the client's deadline
					got, _ := in.ReadString('\n')
					if took := time.Since(before); got != "SERVER_ERROR failed\r\n" || took > 6*time.Second {
						t.Errorf("got %q after %v", got, took)
					}
				}
				close(x.connectAllowed["late"])
				if row.repeated {
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
				if (n == 1) != row.repeated {
					t.Errorf("%d attempts were sent over the late connection", n)
				}
				return
			}
			t.Fatal("the host that fails was the home of no key")
		})
	}
}

// The time of a request that was read ahead after others counts from its own arrival. Counted from the arrival of those before it, it
// would be rate-limited too early; counted from when it is handled, it would be answered too late.
func TestTimeOfWhatIsReadAhead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		defer near.Close()
		defer far.Close()
		c := newClientConn(near, stall.New(time.Now()), time.Now())
		var arrivals []time.Time
		for _, text := range []string{"mn\r\n", "mn\r\nm", "n\r\n"} {
			time.Sleep(time.Second)
			arrivals = append(arrivals, time.Now())
			c.readAheadBuf.fill(func(p []byte) (int, time.Time, error) { return copy(p, text), time.Now(), nil })
		}
		time.Sleep(time.Second)
		for i, want := range []time.Time{arrivals[0], arrivals[1], arrivals[2]} {
			if line, err := c.reader.ReadSlice('\n'); err != nil || string(line) != "mn\r\n" || !c.lastReadTime().Equal(want) {
				t.Errorf("request %d: %q, %v, counts from %v, arrived after %v", i, line, err, c.lastReadTime().Sub(c.openedAt), want.Sub(c.openedAt))
			}
		}
	})
}

// TestRetryNotPromisedHarmless guards against a client retry of a deduplicated write that is refused on admission as rate-limited: an
// earlier try may have run at another balancer, and the client would come back after the deduplication window.
func TestRetryNotPromisedHarmless(t *testing.T) {
	x := newTestBalancer(t, policy.Deduplicated, 2*policy.Second, map[string]string{"h": ""})
	x.maxInFlight.Store(0)
	x.expectAnswer("ms k 1 Oa Pc=pay,d=900,k=m\r\nv\r\n", "SERVER_ERROR busy")
	x.expectAnswer("ms k 1 Ob Pc=pay,d=900,k=m,r=1\r\nv\r\n", "SERVER_ERROR failed")
	x.expectAnswer("mg k v Oc Pc=read,d=900,r=1\r\n", "SERVER_ERROR busy")
}

// TestReadAheadOfSmallReads guards against read-ahead whose many small pieces take far more memory than their bytes, which alone were counted.
func TestReadAheadOfSmallReads(t *testing.T) {
	var budget memoryBudget
	budget.limit.Store(64 << 10)
	buffer := readAheadBuffer{memory: memoryReservation{budget: &budget}}
	oneByte := func(p []byte) (int, time.Time, error) { return 1, time.Now(), nil }
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for buffer.fill(oneByte) {
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	if taken := int64(after.HeapAlloc) - int64(before.HeapAlloc); taken > 4*budget.limit.Load() {
		t.Errorf("%d pieces take %d bytes of %d", len(buffer.chunks), taken, budget.limit.Load())
	}
	runtime.KeepAlive(&buffer)
}

// TestReadAheadWithoutMemory guards against read-ahead that goes on, uncounted, at each wait of the connection's reader after the budget is
// used up.
func TestReadAheadWithoutMemory(t *testing.T) {
	server, peer := net.Pipe()
	defer peer.Close()
	c := newClientConn(server, stall.New(time.Now()), time.Now())
	c.readAheadBuf.memory.budget = &memoryBudget{}
	go func() {
		for {
			if _, err := peer.Write(make([]byte, readAheadChunkBytes)); err != nil {
				return
			}
		}
	}()
	for range 10 {
		c.watchForClose(func() { time.Sleep(10 * time.Millisecond) })
	}
	if c.readAheadBuf.size > readAheadChunkBytes {
		t.Errorf("%d bytes were read ahead without memory for them", c.readAheadBuf.size)
	}
}
