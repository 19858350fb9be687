package balancer

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"streamrail/internal/deployment"
	"streamrail/internal/discovery"
	"streamrail/internal/operator"
	"streamrail/internal/upstream"
	"streamrail/policy"
)

// deadlineSlack is the most by which the deadline sent to a server may exceed the client's.
const deadlineSlack = 150 * time.Millisecond

// dedupWindow is how long the hosts in these tests recognise a repeat of a deduplicated request.
const dedupWindow = 600 * time.Millisecond

// sentRequest is when a client sent a request and the timeout it gave.
type sentRequest struct {
	sent    time.Time
	timeout time.Duration
}

// recordedAttempt is one attempt as it was written to a server.
type recordedAttempt struct {
	id          string
	server      string
	at          time.Time // when the write of its last byte began
	sentTimeout time.Duration
	write       bool
}

// attemptLog records what clients sent and what was written to servers.
type attemptLog struct {
	mu       sync.Mutex
	requests map[string]sentRequest
	attempts []recordedAttempt
	harmless map[[2]string]bool // by request and server: the answer promised that nothing ran there
}

func newAttemptLog() *attemptLog {
	return &attemptLog{requests: map[string]sentRequest{}, harmless: map[[2]string]bool{}}
}

func (l *attemptLog) recordRequests(ids []string, timeout time.Duration) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, id := range ids {
		l.requests[id] = sentRequest{now, timeout}
	}
}

func (l *attemptLog) recordAttempt(a recordedAttempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts = append(l.attempts, a)
}

func (l *attemptLog) recordRefusal(id, server string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.harmless[[2]string{id, server}] = true
}

// violation is one attempt that broke a rule about deadlines or windows.
type violation struct {
	attempt recordedAttempt
	rule    string
	by      time.Duration
}

// check compares every attempt with its client's deadline, and repeats of writes with the window.
func (l *attemptLog) check(slack time.Duration) (violations []violation, attempts int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	first := map[string]time.Time{}
	for _, a := range l.attempts {
		request, known := l.requests[a.id]
		if !known {
			violations = append(violations, violation{a, "belongs to no request of a client", 0})
			continue
		}
		deadline := request.sent.Add(request.timeout)
		if by := a.at.Add(a.sentTimeout).Sub(deadline); by > slack {
			violations = append(violations, violation{a, "was sent a longer timeout than the client has left", by})
		}
		if by := a.at.Sub(deadline); by > slack {
			violations = append(violations, violation{a, "was written after the deadline", by})
		}
		if firstAt, repeat := first[a.id]; !repeat {
			if !l.harmless[[2]string{a.id, a.server}] {
				first[a.id] = a.at
			}
		} else if by := a.at.Sub(firstAt.Add(dedupWindow)); a.write && by > 0 {
			violations = append(violations, violation{a, "was repeated after the window", by})
		}
	}
	return violations, len(l.attempts)
}

// recordedConn is a connection to a server. It records each attempt once its last byte is written, and may delay writes.
type recordedConn struct {
	net.Conn
	server         string
	attemptLog     *attemptLog
	writeDelay     func() time.Duration
	pending        []byte
	writeStartedAt time.Time // start of the current write
}

func (c *recordedConn) Write(p []byte) (int, error) {
	if len(c.pending) == 0 || isStreamed(c.pending) { // otherwise it continues the current write: a socket would take all its buffers in one call
		c.writeStartedAt = time.Now() // before the delay, which a busy machine makes longer; report reduces the slack by the longest delay
		time.Sleep(c.writeDelay())
	}
	n, err := c.Conn.Write(p)
	c.pending = append(c.pending, p[:n]...)
	for {
		a, size := parseAttempt(c.pending)
		if size == 0 {
			return n, err
		}
		c.pending = c.pending[size:]
		a.at, a.server = c.writeStartedAt, c.server
		c.attemptLog.recordAttempt(a)
	}
}

// valueLengthPattern finds the length of the value in the header of a write, in either protocol.
var valueLengthPattern = regexp.MustCompile(`(?i)^ms \S+ (\d+)|\r\ncontent-length: (\d+)`)

// isStreamed reports whether what was written begins an attempt with a long value, which is written in pieces as they arrive from the
// client.
func isStreamed(written []byte) bool {
	match := valueLengthPattern.FindSubmatch(written)
	if match == nil {
		return false
	}
	length, _ := strconv.Atoi(string(match[1]) + string(match[2]))
	return length > upstream.MaxBufferedBytes
}

// parseAttempt parses the first attempt in what was written, in either protocol; size 0 means that it is incomplete.
func parseAttempt(text []byte) (a recordedAttempt, size int) {
	line, _, found := bytes.Cut(text, []byte("\r\n"))
	if !found {
		return a, 0
	}
	fields := strings.Fields(string(line))
	if strings.HasSuffix(string(line), "HTTP/1.1") {
		return parseOriginAttempt(text, fields[0] == "PUT")
	}
	size = len(line) + 2
	if fields[0] == "ms" {
		length, _ := strconv.Atoi(fields[2])
		size += length + 2
		a.write = true
	}
	if len(text) < size {
		return a, 0
	}
	for _, field := range fields[1:] {
		switch field[0] {
		case 'O':
			a.id = field[1:]
		case 'P':
			a.sentTimeout = timeoutIn(field[1:])
		}
	}
	return a, size
}

func parseOriginAttempt(text []byte, write bool) (a recordedAttempt, size int) {
	header, _, found := bytes.Cut(text, []byte("\r\n\r\n"))
	if !found {
		return a, 0
	}
	a.write, size = write, len(header)+4
	for _, line := range strings.Split(string(header), "\r\n")[1:] {
		name, value, _ := strings.Cut(line, ": ")
		switch strings.ToLower(name) {
		case "x-request-id":
			a.id = value
		case "x-attrs":
			a.sentTimeout = timeoutIn(value)
		case "content-length":
			length, _ := strconv.Atoi(value)
			size += length
		}
	}
	if len(text) < size {
		return a, 0
	}
	return a, size
}

// timeoutIn returns the timeout in a list of attributes.
func timeoutIn(attrs string) time.Duration {
	for _, pair := range strings.Split(attrs, ",") {
		if digits, found := strings.CutPrefix(pair, "d="); found {
			ms, _ := strconv.Atoi(digits)
			return time.Duration(ms) * time.Millisecond
		}
	}
	return 0
}

// randomSource is a seeded source of random numbers for concurrent use.
type randomSource struct {
	mu   sync.Mutex
	rand *rand.Rand
}

func newRandomSource(seed uint64) *randomSource {
	return &randomSource{rand: rand.New(rand.NewPCG(seed, 1))}
}

func (d *randomSource) upTo(n int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rand.IntN(n)
}

func (d *randomSource) durationUpTo(longest time.Duration) time.Duration {
	return time.Duration(d.upTo(int(longest) + 1))
}

// faultyHosts is a balancer on loopback sockets whose cache hosts and origin misbehave at random.
type faultyHosts struct {
	*Balancer
	attemptLog    *attemptLog
	random        *randomSource
	addr          string
	maxWriteDelay time.Duration // longest delay between reading the clock and a write
}

type injectedFaults struct {
	answers          []string      // what cache hosts do, one picked at random for each attempt
	origin           []string      // the same for the origin
	refusedPercent   int           // share of connections to servers that are refused
	maxConnectDelay  time.Duration // longest delay until a connection is established
	maxWriteDelay    time.Duration // longest delay between reading the clock and a write
	maxLockHold      time.Duration // longest time for which the policy's lock is held now and then
	cachesTakeWrites bool          // cache hosts take writes and fetch misses themselves: the balancer contacts no origin
}

func newFaultyHosts(t *testing.T, seed uint64, faults injectedFaults) *faultyHosts {
	f := &faultyHosts{attemptLog: newAttemptLog(), random: newRandomSource(seed), maxWriteDelay: faults.maxWriteDelay}
	productConfig := func(effect policy.Effect) policy.ProductConfig {
		return policy.ProductConfig{LatencySLO: 5 * policy.Second, BilledValue: 1, Effect: effect, DedupWindow: policy.Nanos(dedupWindow)}
	}
	deployed := &deployment.Deployment{Name: "n", MaxSockets: 1024, MemoryMB: 192, DrainGrace: time.Second, ConnectTimeout: time.Second, IdleTimeout: time.Minute,
		ClientTimeout: 3 * time.Second, MaxRequests: 1000, Zones: map[string]policy.Zone{"here": 0}, Kinds: map[string]policy.MachineKind{"cache": 0, "origin": 1},
		Products: map[string]policy.Product{"marked": 0, "read": 1, "pay": 2},
		PolicyConfig: policy.Config{Balancers: 1, Products: []policy.ProductConfig{productConfig(policy.Deduplicated), productConfig(policy.Idempotent), productConfig(policy.NonIdempotent)},
			OriginKind: 1, CacheAside: !faults.cachesTakeWrites, MayCancel: true, MaxAttempts: 6, TimerGranularity: policy.Millisecond}}
	f.Balancer = New(deployed, &operator.File{}, zerolog.Nop())
	names := map[string]string{}
	list := discovery.List{Snapshot: true}
	for i := range 5 {
		name := "cache-" + strconv.Itoa(i)
		names[f.cacheHost(t, name, faults.answers)] = name
	}
	if !faults.cachesTakeWrites {
		names[f.originHost(t, faults.origin)] = "origin"
	}
	for addr, name := range names {
		kind := policy.MachineKind(0)
		if name == "origin" {
			kind = 1
		}
		list.Hosts = append(list.Hosts, discovery.Host{Addr: addr, HostEntry: policy.HostEntry{HostID: policy.HostID(name), Kind: kind, Size: 1}})
	}
	f.hosts.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		if f.random.upTo(100) < faults.refusedPercent {
			return nil, errors.New("refused by the test")
		}
		select {
		case <-time.After(f.random.durationUpTo(faults.maxConnectDelay)):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		conn, err := new(net.Dialer).DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		writeDelay := func() time.Duration { return f.random.durationUpTo(faults.maxWriteDelay) }
		return &recordedConn{Conn: conn, server: names[addr], attemptLog: f.attemptLog, writeDelay: writeDelay}, nil
	}
	f.applyHostList(policy.ListRestored, list)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f.addr = listener.Addr().String()
	f.phase.Store(int32(Serving))
	go f.accept(listener)
	done := make(chan struct{})
	if faults.maxLockHold > 0 {
		go f.blockPolicy(faults.maxLockHold, done)
	}
	t.Cleanup(func() { close(done); listener.Close(); f.hosts.Close(); f.cancel() })
	return f
}

// blockPolicy holds the policy's lock now and then, which delays everything that waits for it.
func (f *faultyHosts) blockPolicy(maxHold time.Duration, done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(f.random.durationUpTo(50 * time.Millisecond)):
		}
		f.mu.Lock()
		time.Sleep(f.random.durationUpTo(maxHold))
		f.mu.Unlock()
	}
}

// cacheHost starts a cache host that treats each attempt in one of the given ways at random, and returns its address.
func (f *faultyHosts) cacheHost(t *testing.T, name string, answers []string) string {
	return f.startServer(t, func(conn net.Conn, in *bufio.Reader) bool {
		line, err := in.ReadString('\n')
		if err != nil {
			return false
		}
		fields := strings.Fields(line)
		id := ""
		for _, field := range fields[1:] {
			if field[0] == 'O' {
				id = field[1:]
			}
		}
		if fields[0] == "ms" {
			length, _ := strconv.Atoi(fields[2])
			if _, err = io.CopyN(io.Discard, in, int64(length)+2); err != nil {
				return false
			}
		}
		behaviour := answers[f.random.upTo(len(answers))]
		if strings.HasSuffix(behaviour, "busy") || strings.HasSuffix(behaviour, "miss") {
			f.attemptLog.recordRefusal(id, name)
		}
		return f.respond(conn, behaviour, map[string]string{
			"hit": "VA 2 O" + id + "\r\nhi\r\n", "receipt": "HD O" + id + " cdone\r\n", "miss": "EN O" + id + "\r\n",
			"failed": "SERVER_ERROR failed\r\n", "busy": "SERVER_ERROR busy\r\n"})
	})
}

func (f *faultyHosts) originHost(t *testing.T, answers []string) string {
	return f.startServer(t, func(conn net.Conn, in *bufio.Reader) bool {
		request, err := http.ReadRequest(in)
		if err != nil {
			return false
		}
		if _, err = io.Copy(io.Discard, request.Body); err != nil {
			return false
		}
		behaviour := answers[f.random.upTo(len(answers))]
		if strings.HasSuffix(behaviour, "busy") {
			f.attemptLog.recordRefusal(request.Header.Get("X-Request-ID"), "origin")
		}
		return f.respond(conn, behaviour, map[string]string{
			"hit": "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", "failed": "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n",
			"busy": "HTTP/1.1 503 No\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"})
	})
}

// respond carries out the given behaviour of a server. It returns false if the connection is to be closed.
func (f *faultyHosts) respond(conn net.Conn, behaviour string, responses map[string]string) bool {
	if rest, isSlow := strings.CutPrefix(behaviour, "slow "); isSlow {
		time.Sleep(f.random.durationUpTo(400 * time.Millisecond))
		behaviour = rest
	}
	switch behaviour {
	case "hang":
		return true
	case "close":
		return false
	}
	_, err := io.WriteString(conn, responses[behaviour])
	return err == nil
}

func (f *faultyHosts) startServer(t *testing.T, serve func(net.Conn, *bufio.Reader) bool) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				for in := bufio.NewReader(conn); serve(conn, in); {
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// sendRequests sends requests over several connections, some of them pipelined, and waits until each is answered or times out.
func (f *faultyHosts) sendRequests(t *testing.T, name string, connections, batches int) {
	var clients sync.WaitGroup
	for i := range connections {
		clients.Go(func() {
			for k := range batches {
				f.sendBatch(t, fmt.Sprintf("%s-%d-%d", name, i, k))
			}
		})
	}
	clients.Wait()
}

// sendBatch sends up to forty requests at once over a new connection.
func (f *faultyHosts) sendBatch(t *testing.T, name string) {
	conn, err := net.Dial("tcp", f.addr)
	if err != nil {
		t.Error(err)
		return
	}
	defer conn.Close()
	timeout := []time.Duration{150, 400, 1000, 2500}[f.random.upTo(4)] * time.Millisecond
	if f.random.upTo(5) == 0 {
		f.slowWrite(conn, name, timeout)
		f.awaitAnswers(t, conn, name, 1, timeout)
		return
	}
	size := []int{1, 1, 3, 40}[f.random.upTo(4)]
	var text strings.Builder
	var ids []string
	for n := range size {
		id := name + "-" + strconv.Itoa(n)
		ids = append(ids, id)
		if f.random.upTo(3) == 0 {
			product := []string{"marked", "pay"}[f.random.upTo(2)]
			fmt.Fprintf(&text, "ms key-%s 5 O%s Pc=%s,d=%d,k=%s\r\nhello\r\n", id, id, product, timeout.Milliseconds(), id)
		} else {
			fmt.Fprintf(&text, "mg key-%s v O%s Pc=read,d=%d\r\n", id, id, timeout.Milliseconds())
		}
	}
	io.WriteString(conn, text.String())
	f.attemptLog.recordRequests(ids, timeout)
	f.awaitAnswers(t, conn, name, len(ids), timeout)
}

// slowWrite sends a long value in pieces; its timeout runs from the last byte.
func (f *faultyHosts) slowWrite(conn net.Conn, id string, timeout time.Duration) {
	value := bytes.Repeat([]byte("v"), []int{20 << 10, 60 << 10, 150 << 10}[f.random.upTo(3)])
	fmt.Fprintf(conn, "ms key-%s %d O%s Pc=marked,d=%d,k=%s\r\n", id, len(value), id, timeout.Milliseconds(), id)
	for len(value) > 0 {
		time.Sleep(f.random.durationUpTo(100 * time.Millisecond))
		piece := min(len(value), 16<<10)
		conn.Write(value[:piece])
		value = value[piece:]
	}
	io.WriteString(conn, "\r\n")
	f.attemptLog.recordRequests([]string{id}, timeout)
}

// awaitAnswers reads the answers and fails the test if a request gets none.
func (f *faultyHosts) awaitAnswers(t *testing.T, conn net.Conn, name string, requests int, timeout time.Duration) {
	conn.SetReadDeadline(time.Now().Add(timeout + testTimeout))
	in := bufio.NewReader(conn)
	for range requests {
		line, err := in.ReadString('\n')
		if err != nil {
			t.Errorf("%s: %v in place of an answer", name, err)
			return
		}
		if strings.HasPrefix(line, "VA ") {
			in.ReadString('\n')
		}
	}
}

// report fails the test for each rule that was broken, and says how often and by how much.
func (f *faultyHosts) report(t *testing.T) {
	violations, attempts := f.attemptLog.check(deadlineSlack - f.maxWriteDelay)
	count, worst := map[string]int{}, map[string]time.Duration{}
	for _, v := range violations {
		kind, _, _ := strings.Cut(v.attempt.server, "-")
		what := "to a " + kind + " server " + v.rule
		count[what]++
		worst[what] = max(worst[what], v.by)
	}
	for _, v := range violations[:min(len(violations), 3)] {
		t.Logf("%s at %s %s, by %v", v.attempt.id, v.attempt.server, v.rule, v.by)
	}
	for what, n := range count {
		t.Errorf("%d of %d attempts %s, by at most %v", n, attempts, what, worst[what].Round(time.Millisecond))
	}
	if attempts == 0 {
		t.Error("no attempt was made")
	}
}

// TestDeadlinesSentToServers injects random faults and delays: no attempt may send a server a longer timeout than its client has left.
func TestDeadlinesSentToServers(t *testing.T) {
	answers := []string{"hit", "receipt", "miss", "failed", "busy", "close", "hang", "slow failed", "slow miss", "slow busy"}
	origin := []string{"hit", "failed", "busy", "close", "slow hit", "slow busy"}
	kinds := map[string]injectedFaults{
		"servers":    {answers: answers, origin: origin},
		"connects":   {answers: answers, origin: origin, refusedPercent: 20, maxConnectDelay: 300 * time.Millisecond},
		"scheduling": {answers: answers, origin: origin, maxLockHold: 2 * time.Second},
		"through":    {answers: answers, refusedPercent: 10, maxConnectDelay: 300 * time.Millisecond, maxLockHold: 300 * time.Millisecond, cachesTakeWrites: true},
		"everything": {answers: answers, origin: origin, refusedPercent: 10, maxConnectDelay: 300 * time.Millisecond, maxWriteDelay: 80 * time.Millisecond, maxLockHold: 300 * time.Millisecond},
	}
	for name, faults := range kinds {
		for seed := range uint64(4) {
			t.Run(fmt.Sprintf("%s-%d", name, seed), func(t *testing.T) {
				t.Parallel()
				f := newFaultyHosts(t, seed, faults)
				f.sendRequests(t, name, 8, 4)
				f.report(t)
			})
		}
	}
}

// TestRequestsReadLate leaves requests unread for a while: in the accept queue, behind a reader that has no memory to read ahead, and
// behind one that waits for the policy. The time of each must count from its arrival.
func TestRequestsReadLate(t *testing.T) {
	answers := injectedFaults{answers: []string{"hit"}, cachesTakeWrites: true}
	const delay, timeout = 500 * time.Millisecond, 1500 * time.Millisecond
	sendOne := func(f *faultyHosts, t *testing.T, id string) net.Conn {
		conn, err := net.Dial("tcp", f.addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		fmt.Fprintf(conn, "mg k v O%s Pc=read,d=%d\r\n", id, timeout.Milliseconds())
		f.attemptLog.recordRequests([]string{id}, timeout)
		return conn
	}
	t.Run("accept queue", func(t *testing.T) {
		t.Parallel()
		f := newFaultyHosts(t, 1, answers)
		f.clients.setLimits(0, 0)
		time.Sleep(50 * time.Millisecond) // the accept loop waits for a connection by now, or for room
		first := sendOne(f, t, "before")  // accepted by the Accept call in progress
		time.Sleep(50 * time.Millisecond)
		queued := sendOne(f, t, "queued")
		time.Sleep(delay)
		f.clients.setLimits(100, 100)
		f.awaitAnswers(t, first, "before", 1, timeout)
		f.awaitAnswers(t, queued, "queued", 1, timeout)
		f.report(t)
	})
	t.Run("decisions", func(t *testing.T) {
		t.Parallel()
		f := newFaultyHosts(t, 2, answers)
		conn, err := net.Dial("tcp", f.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		f.mu.Lock()
		for i, id := range []string{"first", "second"} {
			fmt.Fprintf(conn, "mg k v O%s Pc=read,d=%d\r\n", id, timeout.Milliseconds())
			f.attemptLog.recordRequests([]string{id}, timeout)
			time.Sleep(time.Duration(1-i) * 20 * time.Millisecond)
		}
		time.Sleep(delay)
		f.mu.Unlock()
		f.awaitAnswers(t, conn, "both", 2, timeout)
		f.report(t)
	})
	t.Run("no memory to read ahead", func(t *testing.T) {
		t.Parallel()
		f := newFaultyHosts(t, 3, injectedFaults{answers: []string{"hang"}, cachesTakeWrites: true})
		f.memory.limit.Store(0)
		conn, err := net.Dial("tcp", f.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		sent := 0
		send := func(requests int, timeout time.Duration) {
			var text strings.Builder
			var ids []string
			for range requests {
				ids = append(ids, "n"+strconv.Itoa(sent))
				fmt.Fprintf(&text, "mg k%d v O%s Pc=read,d=%d\r\n", sent, ids[len(ids)-1], timeout.Milliseconds())
				sent++
			}
			io.WriteString(conn, text.String())
			f.attemptLog.recordRequests(ids, timeout)
		}
		send(maxInFlightPerConn, delay)
		time.Sleep(50 * time.Millisecond)
		send(200, timeout)
		f.awaitAnswers(t, conn, "all", sent, timeout)
		f.report(t)
	})
}

// TestClientGoneBehindUnread closes a client connection of which much is unread, as there is no memory to read ahead. Once the requests
// before are finished, no attempt may begin for the unread ones.
func TestClientGoneBehindUnread(t *testing.T) {
	f := newFaultyHosts(t, 4, injectedFaults{answers: []string{"slow hit"}, cachesTakeWrites: true})
	f.memory.limit.Store(0)
	conn, err := net.Dial("tcp", f.addr)
	if err != nil {
		t.Fatal(err)
	}
	sent := 0
	send := func(requests int, timeout time.Duration) {
		var text strings.Builder
		for range requests {
			fmt.Fprintf(&text, "mg k%d v On%d Pc=read,d=%d\r\n", sent, sent, timeout.Milliseconds())
			sent++
		}
		io.WriteString(conn, text.String())
	}
	send(maxInFlightPerConn, 3*time.Second)
	time.Sleep(50 * time.Millisecond)
	send(300, 3*time.Second)
	time.Sleep(50 * time.Millisecond)
	conn.(*net.TCPConn).CloseWrite() // after a full close the first answer would cause a reset, which discards the unread input
	leftAt := time.Now()
	t.Cleanup(func() { conn.Close() })
	time.Sleep(time.Second)
	f.attemptLog.mu.Lock()
	defer f.attemptLog.mu.Unlock()
	if len(f.attemptLog.attempts) == 0 {
		t.Error("no attempt was made")
	}
	for _, a := range f.attemptLog.attempts {
		if after := a.at.Sub(leftAt); after > 100*time.Millisecond {
			t.Errorf("%s was started %v after its client had left", a.id, after)
		}
	}
}
