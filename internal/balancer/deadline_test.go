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

// deadlineSlack is what the deadline that a server is told may exceed the client's by, at the most.
const deadlineSlack = 150 * time.Millisecond

// dedupWindow is how long the hosts of these tests recognise a repeat of a deduplicated request.
const dedupWindow = 600 * time.Millisecond

// sentRequest is what a client said when it sent a request.
type sentRequest struct {
	sent    time.Time
	timeout time.Duration
}

// recordedAttempt is one attempt as it left the balancer for a server.
type recordedAttempt struct {
	id          string
	server      string
	at          time.Time // when its last byte was handed to the connection
	sentTimeout time.Duration
	write       bool
}

// attemptLog holds what clients sent and what was written to servers.
type attemptLog struct {
	mu       sync.Mutex
	requests map[string]sentRequest
	attempts []recordedAttempt
	harmless map[[2]string]bool // by request and server: its answer tells that nothing ran there
}

func newAttemptLog() *attemptLog {
	return &attemptLog{requests: map[string]sentRequest{}, harmless: map[[2]string]bool{}}
}

func (l *attemptLog) recordRequests(ids []string, wait time.Duration) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, id := range ids {
		l.requests[id] = sentRequest{now, wait}
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

// violation is one attempt that broke a rule of time.
type violation struct {
	attempt recordedAttempt
	rule    string
	by      time.Duration
}

// check holds every attempt against its client's deadline, and repeats of writes against the window.
func (l *attemptLog) check(slack time.Duration) (broken []violation, attempts int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	first := map[string]time.Time{}
	for _, a := range l.attempts {
		request, known := l.requests[a.id]
		if !known {
			broken = append(broken, violation{a, "never sent by a client", 0})
			continue
		}
		deadline := request.sent.Add(request.timeout)
		if by := a.at.Add(a.sentTimeout).Sub(deadline); by > slack {
			broken = append(broken, violation{a, "told more than the client has left", by})
		}
		if by := a.at.Sub(deadline); by > slack {
			broken = append(broken, violation{a, "written after the deadline", by})
		}
		if began, repeat := first[a.id]; !repeat {
			if !l.harmless[[2]string{a.id, a.server}] {
				first[a.id] = a.at
			}
		} else if by := a.at.Sub(began.Add(dedupWindow)); a.write && by > 0 {
			broken = append(broken, violation{a, "repeated after the window", by})
		}
	}
	return broken, len(l.attempts)
}

// recordedConn is a connection to a server. It notes each attempt when its last byte is written, and may hold a write up.
type recordedConn struct {
	net.Conn
	server         string
	attemptLog     *attemptLog
	writeDelay     func() time.Duration
	pending        []byte
	writeStartedAt time.Time // of the write that is under way
}

func (c *recordedConn) Write(p []byte) (int, error) {
	if len(c.pending) == 0 || isStreamed(c.pending) { // else it is of the write that is under way: a socket takes its buffers in one call
		c.writeStartedAt = time.Now() // before the hold-up, which a busy machine makes longer: the slack is less by the most that it may be
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

// valueLengthPattern finds the length of a value in the head of a write, of either protocol.
var valueLengthPattern = regexp.MustCompile(`(?i)^ms \S+ (\d+)|\r\ncontent-length: (\d+)`)

// isStreamed tells that an attempt has begun whose long value is written piece by piece, as it comes from the client.
func isStreamed(begun []byte) bool {
	found := valueLengthPattern.FindSubmatch(begun)
	if found == nil {
		return false
	}
	length, _ := strconv.Atoi(string(found[1]) + string(found[2]))
	return length > upstream.MaxBufferedBytes
}

// parseAttempt reads the first attempt of what was written, of either protocol; size 0: it is not whole yet.
func parseAttempt(text []byte) (a recordedAttempt, size int) {
	line, _, found := bytes.Cut(text, []byte("\r\n"))
	if !found {
		return a, 0
	}
	words := strings.Fields(string(line))
	if strings.HasSuffix(string(line), "HTTP/1.1") {
		return parseOriginAttempt(text, words[0] == "PUT")
	}
	size = len(line) + 2
	if words[0] == "ms" {
		length, _ := strconv.Atoi(words[2])
		size += length + 2
		a.write = true
	}
	if len(text) < size {
		return a, 0
	}
	for _, word := range words[1:] {
		switch word[0] {
		case 'O':
			a.id = word[1:]
		case 'P':
			a.sentTimeout = timeoutIn(word[1:])
		}
	}
	return a, size
}

func parseOriginAttempt(text []byte, write bool) (a recordedAttempt, size int) {
	head, _, found := bytes.Cut(text, []byte("\r\n\r\n"))
	if !found {
		return a, 0
	}
	a.write, size = write, len(head)+4
	for _, line := range strings.Split(string(head), "\r\n")[1:] {
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

// timeoutIn is the deadline in a list of names and values.
func timeoutIn(attrs string) time.Duration {
	for _, pair := range strings.Split(attrs, ",") {
		if digits, is := strings.CutPrefix(pair, "d="); is {
			ms, _ := strconv.Atoi(digits)
			return time.Duration(ms) * time.Millisecond
		}
	}
	return 0
}

// randomSource is a seeded source of chance that several goroutines use.
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

func (d *randomSource) durationUpTo(most time.Duration) time.Duration {
	return time.Duration(d.upTo(int(most) + 1))
}

// faultyHosts is a balancer on loopback sockets with cache hosts and an origin that misbehave by draw.
type faultyHosts struct {
	*Balancer
	attemptLog    *attemptLog
	random        *randomSource
	addr          string
	maxWriteDelay time.Duration // that is put between the clock and a write, at the most
}

type injectedFaults struct {
	answers          []string      // what cache hosts do, one drawn for each attempt
	origin           []string      // the same of the origin
	refusedPercent   int           // of a hundred connections to servers
	maxConnectDelay  time.Duration // how late a connection comes up, at the most
	maxWriteDelay    time.Duration // between the clock and a write, at the most
	maxLockHold      time.Duration // for how long the decisions are held up now and then, at the most
	cachesTakeWrites bool          // caches take writes and fetch what they lack: there is no origin
}

func newFaultyHosts(t *testing.T, seed uint64, faults injectedFaults) *faultyHosts {
	f := &faultyHosts{attemptLog: newAttemptLog(), random: newRandomSource(seed), maxWriteDelay: faults.maxWriteDelay}
	terms := func(effect policy.Effect) policy.ProductConfig {
		return policy.ProductConfig{LatencySLO: 5 * policy.Second, BilledValue: 1, Effect: effect, DedupWindow: policy.Nanos(dedupWindow)}
	}
	deployed := &deployment.Deployment{Name: "n", MaxSockets: 1024, MemoryMB: 192, DrainGrace: time.Second, ConnectTimeout: time.Second, IdleTimeout: time.Minute,
		ClientTimeout: 3 * time.Second, MaxRequests: 1000, Zones: map[string]policy.Zone{"here": 0}, Kinds: map[string]policy.MachineKind{"cache": 0, "origin": 1},
		Products: map[string]policy.Product{"marked": 0, "read": 1, "pay": 2},
		PolicyConfig: policy.Config{Balancers: 1, Products: []policy.ProductConfig{terms(policy.Deduplicated), terms(policy.Idempotent), terms(policy.NonIdempotent)},
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
		holdUp := func() time.Duration { return f.random.durationUpTo(faults.maxWriteDelay) }
		return &recordedConn{Conn: conn, server: names[addr], attemptLog: f.attemptLog, writeDelay: holdUp}, nil
	}
	f.applyHostList(policy.ListRestored, list)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f.addr = listener.Addr().String()
	f.phase.Store(int32(Serving))
	go f.accept(listener)
	over := make(chan struct{})
	if faults.maxLockHold > 0 {
		go f.blockPolicy(faults.maxLockHold, over)
	}
	t.Cleanup(func() { close(over); listener.Close(); f.hosts.Close(); f.cancel() })
	return f
}

// blockPolicy keeps the lock of the decisions now and then: who waits for it is held up.
func (f *faultyHosts) blockPolicy(most time.Duration, over <-chan struct{}) {
	for {
		select {
		case <-over:
			return
		case <-time.After(f.random.durationUpTo(50 * time.Millisecond)):
		}
		f.mu.Lock()
		time.Sleep(f.random.durationUpTo(most))
		f.mu.Unlock()
	}
}

// cacheHost answers each attempt with what is drawn, and tells its address.
func (f *faultyHosts) cacheHost(t *testing.T, name string, answers []string) string {
	return f.startServer(t, func(conn net.Conn, in *bufio.Reader) bool {
		line, err := in.ReadString('\n')
		if err != nil {
			return false
		}
		words := strings.Fields(line)
		id := ""
		for _, word := range words[1:] {
			if word[0] == 'O' {
				id = word[1:]
			}
		}
		if words[0] == "ms" {
			length, _ := strconv.Atoi(words[2])
			if _, err = io.CopyN(io.Discard, in, int64(length)+2); err != nil {
				return false
			}
		}
		what := answers[f.random.upTo(len(answers))]
		if strings.HasSuffix(what, "busy") || strings.HasSuffix(what, "miss") {
			f.attemptLog.recordRefusal(id, name)
		}
		return f.respond(conn, what, map[string]string{
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
		what := answers[f.random.upTo(len(answers))]
		if strings.HasSuffix(what, "busy") {
			f.attemptLog.recordRefusal(request.Header.Get("X-Request-ID"), "origin")
		}
		return f.respond(conn, what, map[string]string{
			"hit": "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", "failed": "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n",
			"busy": "HTTP/1.1 503 No\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"})
	})
}

// respond does one thing that a server may do; false: the connection ends.
func (f *faultyHosts) respond(conn net.Conn, what string, texts map[string]string) bool {
	if rest, slow := strings.CutPrefix(what, "slow "); slow {
		time.Sleep(f.random.durationUpTo(400 * time.Millisecond))
		what = rest
	}
	switch what {
	case "hang":
		return true
	case "close":
		return false
	}
	_, err := io.WriteString(conn, texts[what])
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

// sendRequests sends requests over several connections, some of them pipelined, and waits until each has its answer or its time.
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
	wait := []time.Duration{150, 400, 1000, 2500}[f.random.upTo(4)] * time.Millisecond
	if f.random.upTo(5) == 0 {
		f.slowWrite(conn, name, wait)
		f.awaitAnswers(t, conn, name, 1, wait)
		return
	}
	size := []int{1, 1, 3, 40}[f.random.upTo(4)]
	var text strings.Builder
	var ids []string
	for n := range size {
		id := name + "-" + strconv.Itoa(n)
		ids = append(ids, id)
		if f.random.upTo(3) == 0 {
			class := []string{"marked", "pay"}[f.random.upTo(2)]
			fmt.Fprintf(&text, "ms key-%s 5 O%s Pc=%s,d=%d,k=%s\r\nhello\r\n", id, id, class, wait.Milliseconds(), id)
		} else {
			fmt.Fprintf(&text, "mg key-%s v O%s Pc=read,d=%d\r\n", id, id, wait.Milliseconds())
		}
	}
	io.WriteString(conn, text.String())
	f.attemptLog.recordRequests(ids, wait)
	f.awaitAnswers(t, conn, name, len(ids), wait)
}

// slowWrite sends a long value in pieces; its time begins with the last byte.
func (f *faultyHosts) slowWrite(conn net.Conn, id string, wait time.Duration) {
	value := bytes.Repeat([]byte("v"), []int{20 << 10, 60 << 10, 150 << 10}[f.random.upTo(3)])
	fmt.Fprintf(conn, "ms key-%s %d O%s Pc=marked,d=%d,k=%s\r\n", id, len(value), id, wait.Milliseconds(), id)
	for len(value) > 0 {
		time.Sleep(f.random.durationUpTo(100 * time.Millisecond))
		piece := min(len(value), 16<<10)
		conn.Write(value[:piece])
		value = value[piece:]
	}
	io.WriteString(conn, "\r\n")
	f.attemptLog.recordRequests([]string{id}, wait)
}

// awaitAnswers fails where a request gets none.
func (f *faultyHosts) awaitAnswers(t *testing.T, conn net.Conn, name string, requests int, wait time.Duration) {
	conn.SetReadDeadline(time.Now().Add(wait + testTimeout))
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

// report fails the test for each rule that was broken, with how often and by how much.
func (f *faultyHosts) report(t *testing.T) {
	broken, attempts := f.attemptLog.check(deadlineSlack - f.maxWriteDelay)
	count, most := map[string]int{}, map[string]time.Duration{}
	for _, v := range broken {
		kind, _, _ := strings.Cut(v.attempt.server, "-")
		what := "to a " + kind + " server " + v.rule
		count[what]++
		most[what] = max(most[what], v.by)
	}
	for _, v := range broken[:min(len(broken), 3)] {
		t.Logf("%s at %s %s, by %v", v.attempt.id, v.attempt.server, v.rule, v.by)
	}
	for what, n := range count {
		t.Errorf("%d of %d attempts %s, by %v at the most", n, attempts, what, most[what].Round(time.Millisecond))
	}
	if attempts == 0 {
		t.Error("no attempt was made")
	}
}

// TestDeadlinesToldToServers draws faults and delays: no attempt tells a server more than its client has left.
func TestDeadlinesToldToServers(t *testing.T) {
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

// TestRequestsReadLate has requests stand unread: in the accept queue, behind a reader that has no memory for more, and behind one
// that waits for the decisions. Each counts from when it arrived.
func TestRequestsReadLate(t *testing.T) {
	answers := injectedFaults{answers: []string{"hit"}, cachesTakeWrites: true}
	const delay, wait = 500 * time.Millisecond, 1500 * time.Millisecond
	one := func(f *faultyHosts, t *testing.T, id string) net.Conn {
		conn, err := net.Dial("tcp", f.addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		fmt.Fprintf(conn, "mg k v O%s Pc=read,d=%d\r\n", id, wait.Milliseconds())
		f.attemptLog.recordRequests([]string{id}, wait)
		return conn
	}
	t.Run("accept queue", func(t *testing.T) {
		t.Parallel()
		f := newFaultyHosts(t, 1, answers)
		f.clients.setLimits(0, 0)
		time.Sleep(50 * time.Millisecond) // accepting waits for a connection by now, or for room
		first := one(f, t, "before")      // accepted by the call that was under way
		time.Sleep(50 * time.Millisecond)
		queued := one(f, t, "queued")
		time.Sleep(delay)
		f.clients.setLimits(100, 100)
		f.awaitAnswers(t, first, "before", 1, wait)
		f.awaitAnswers(t, queued, "queued", 1, wait)
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
			fmt.Fprintf(conn, "mg k v O%s Pc=read,d=%d\r\n", id, wait.Milliseconds())
			f.attemptLog.recordRequests([]string{id}, wait)
			time.Sleep(time.Duration(1-i) * 20 * time.Millisecond)
		}
		time.Sleep(delay)
		f.mu.Unlock()
		f.awaitAnswers(t, conn, "both", 2, wait)
		f.report(t)
	})
	t.Run("no memory to read ahead", func(t *testing.T) {
		t.Parallel()
		f := newFaultyHosts(t, 3, injectedFaults{answers: []string{"hang"}, cachesTakeWrites: true})
		f.maxValueBytes.Store(0)
		conn, err := net.Dial("tcp", f.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		sent := 0
		send := func(requests int, wait time.Duration) {
			var text strings.Builder
			var ids []string
			for range requests {
				ids = append(ids, "n"+strconv.Itoa(sent))
				fmt.Fprintf(&text, "mg k%d v O%s Pc=read,d=%d\r\n", sent, ids[len(ids)-1], wait.Milliseconds())
				sent++
			}
			io.WriteString(conn, text.String())
			f.attemptLog.recordRequests(ids, wait)
		}
		send(maxInFlightPerConn, delay)
		time.Sleep(50 * time.Millisecond)
		send(200, wait)
		f.awaitAnswers(t, conn, "all", sent, wait)
		f.report(t)
	})
}

// TestClientGoneBehindUnread has a client leave while much of what it sent stands unread, as there is no memory to read ahead: once
// those before are over nothing of it is begun.
func TestClientGoneBehindUnread(t *testing.T) {
	f := newFaultyHosts(t, 4, injectedFaults{answers: []string{"slow hit"}, cachesTakeWrites: true})
	f.maxValueBytes.Store(0)
	conn, err := net.Dial("tcp", f.addr)
	if err != nil {
		t.Fatal(err)
	}
	sent := 0
	send := func(requests int, wait time.Duration) {
		var text strings.Builder
		for range requests {
			fmt.Fprintf(&text, "mg k%d v On%d Pc=read,d=%d\r\n", sent, sent, wait.Milliseconds())
			sent++
		}
		io.WriteString(conn, text.String())
	}
	send(maxInFlightPerConn, 3*time.Second)
	time.Sleep(50 * time.Millisecond)
	send(300, 3*time.Second)
	time.Sleep(50 * time.Millisecond)
	conn.(*net.TCPConn).CloseWrite() // closed whole it would be reset by the first answer, which ends what stands unread
	left := time.Now()
	t.Cleanup(func() { conn.Close() })
	time.Sleep(time.Second)
	f.attemptLog.mu.Lock()
	defer f.attemptLog.mu.Unlock()
	if len(f.attemptLog.attempts) == 0 {
		t.Error("no attempt was made")
	}
	for _, a := range f.attemptLog.attempts {
		if after := a.at.Sub(left); after > 100*time.Millisecond {
			t.Errorf("%s was begun %v after its client had left", a.id, after)
		}
	}
}
