package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

// buildFlags are added to the go build of the program: -race where the tests run with the race detector.
var buildFlags []string

// expect reports an error if two strings differ.
func expect(t *testing.T, got, want string) {
	t.Helper()
	if got != want {
		t.Errorf("got %.200q, expected %.200q", got, want)
	}
}

// await receives a value and ends the test if none comes in time.
func await[T any](t *testing.T, from <-chan T, what string) (v T) {
	t.Helper()
	select {
	case v = <-from:
	case <-time.After(waitTimeout):
		t.Fatal("never came: " + what)
	}
	return v
}

// TestHit checks that the cache host gets the command as the client wrote it, except for the remaining time.
func TestHit(t *testing.T) {
	h := newHost(t, "h", answerHit)
	p, _ := startWithHosts(t, nil, nil, h)
	c := p.dial(t)
	expect(t, c.ask("mg key-1 v Oabc Pc=read,t=x,d=900,size=3\r\n"), "VA 14 Oabc|value of key-1")
	cmd := await(t, h.received, "the attempt")
	var left int
	if n, _ := fmt.Sscanf(cmd.line, "mg key-1 v Oabc Pc=read,t=x,d=%d,size=3", &left); n != 1 || left > 900 || left < 700 {
		t.Errorf("the host got %q", cmd.line)
	}
}

// TestOrigin checks that the origin answers a read that misses and gets the writes, both with the id and the attributes as headers.
func TestOrigin(t *testing.T) {
	h := newHost(t, "h", answerMiss)
	bodies := make(chan string, 10)
	o := newOrigin(t, func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		bodies <- string(b)
		io.WriteString(w, "made")
		if r.URL.Path == "/chunked" {
			w.(http.Flusher).Flush()
			io.WriteString(w, strings.Repeat("x", 400000))
		}
	})
	p, _ := startWithHosts(t, nil, o, h)
	c := p.dial(t)
	expect(t, c.ask(getRequest("a/b%c", "r1", 900)), "VA 4 Or1|made")
	r := await(t, o.requests, "the read")
	expect(t, r.Method+" "+r.URL.Path+" "+r.Header.Get("X-Request-ID")+" "+attrsWithoutTimeLeft(t, r, 900), "GET /a/b%c r1 c=read,d=")
	await(t, bodies, "the read's body")
	expect(t, c.ask(getRequest("chunked", "r2", 900)), "VA 400004 Or2|made"+strings.Repeat("x", 400000))
	await(t, o.requests, "the read of many chunks")
	await(t, bodies, "its body")
	expect(t, c.ask(putRequest("pay", "k", "w1", 900)), "HD Ow1 cmade")
	r = await(t, o.requests, "the write")
	expect(t, r.Method+" "+r.URL.Path+" "+attrsWithoutTimeLeft(t, r, 900)+" "+await(t, bodies, "the value"), "PUT /k c=pay,d=,k=77 hello")
}

// attrsWithoutTimeLeft returns the attributes that the origin got without the digits of the remaining time. It checks that this time
// is above zero and below the client's timeout, as some of it has passed.
func attrsWithoutTimeLeft(t *testing.T, r *http.Request, timeoutMs int) string {
	t.Helper()
	before, rest, found := strings.Cut(r.Header.Get("X-Attrs"), "d=")
	end := strings.IndexFunc(rest, func(ch rune) bool { return ch < '0' || ch > '9' })
	if end < 0 {
		end = len(rest)
	}
	timeLeft, err := strconv.Atoi(rest[:end])
	if !found || err != nil || timeLeft <= 0 || timeLeft >= timeoutMs {
		t.Errorf("attributes %q of a request that had %d ms", r.Header.Get("X-Attrs"), timeoutMs)
	}
	return before + "d=" + rest[end:]
}

// TestOutcomesOfHosts checks what an answer of a cache host proves about a non-idempotent write: it is answered as rate-limited, or
// retried, only if it never ran. A wrong conclusion applies the write twice.
func TestOutcomesOfHosts(t *testing.T) {
	const neverRan, mayHaveRan = "SERVER_ERROR busy", "SERVER_ERROR failed"
	for name, row := range map[string]struct {
		answer func(command) string
		want   string
	}{
		"receipt":            {answerHit, "HD Ow cdone-w"},
		"error":              {answerWith("SERVER_ERROR failed\r\n"), mayHaveRan},
		"busy, and noise":    {answerWith("SERVER_ERROR busy as can be\r\n"), mayHaveRan},
		"busy, and a report": {answerWith("SERVER_ERROR busy L=,=\r\n"), neverRan},
		"a miss with noise":  {func(cmd command) string { return "EN O" + cmd.id + " x7\r\n" }, mayHaveRan},
		"two misses":         {func(cmd command) string { return "EN O" + cmd.id + " O" + cmd.id + "\r\n" }, mayHaveRan},
		"turned away":        {answerWith("SERVER_ERROR busy\r\n"), neverRan},
		"miss":               {answerMiss, neverRan},
		"refused by command": {answerWith("CLIENT_ERROR what\r\n"), mayHaveRan},
		"closed":             {answerWith("close"), mayHaveRan},
		"silent":             {answerWith(""), mayHaveRan},
		"garbage":            {answerWith("\x00\x01\r\n"), mayHaveRan},
		"long line":          {answerWith(strings.Repeat("x", 10000) + "\r\n"), mayHaveRan},
		"another's id":       {answerWith("HD Oother cdone\r\n"), mayHaveRan},
		"no receipt":         {answerWith("HD Ow\r\n"), mayHaveRan},
		"a value to a write": {answerWith("VA 1 Ow\r\nx\r\n"), mayHaveRan},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHost(t, "h", row.answer)
			p, _ := startWithHosts(t, readWriteThrough, nil, h)
			got := p.dial(t).ask(putRequest("pay", "k", "w", 400))
			if row.want == neverRan {
				got = strings.Join(strings.Fields(got)[:2], " ")
			}
			expect(t, got, row.want)
			if n := h.count(); n != 1 {
				t.Errorf("the host got it %d times", n)
			}
		})
	}
	t.Run("connection refused", func(t *testing.T) {
		t.Parallel()
		p, _ := startWithHosts(t, readWriteThrough, nil, &cacheHost{id: "h", addr: freeAddr(t)})
		if got := p.dial(t).ask(putRequest("pay", "k", "w", 400)); !strings.HasPrefix(got, neverRan) {
			t.Errorf("got %q", got)
		}
	})
}

// TestOutcomesOfOrigin checks the same for the answers of the origin.
func TestOutcomesOfOrigin(t *testing.T) {
	hijack := func(text string) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			io.Copy(io.Discard, r.Body)
			c, _, _ := w.(http.Hijacker).Hijack()
			io.WriteString(c, text)
			c.Close()
		}
	}
	status := func(code int, notProcessed string) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			if notProcessed != "" {
				w.Header().Set("X-Not-Processed", notProcessed)
			}
			w.WriteHeader(code)
		}
	}
	for name, row := range map[string]struct {
		answer   http.HandlerFunc
		neverRan bool
	}{
		"500":              {status(500, ""), false},
		"503":              {status(503, ""), false},
		"503 never ran":    {status(503, "1"), true},
		"504 never ran":    {status(504, "1"), true},
		"500 claims it":    {status(500, "1"), false},
		"no receipt":       {status(200, ""), false},
		"redirect":         {status(302, ""), false},
		"closed":           {hijack(""), false},
		"garbage":          {hijack("hello\r\n\r\n"), false},
		"cut short":        {hijack("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nmad"), false},
		"larger than told": {hijack("HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\nx"), false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			o := newOrigin(t, row.answer)
			p, _ := startWithHosts(t, nil, o, newHost(t, "h", answerMiss))
			got := p.dial(t).ask(putRequest("pay", "k", "w", 900))
			if row.neverRan != strings.HasPrefix(got, "SERVER_ERROR busy") || !row.neverRan && got != "SERVER_ERROR failed" {
				t.Errorf("got %q", got)
			}
			if n := len(o.requests); !row.neverRan && n != 1 {
				t.Errorf("the origin got it %d times", n)
			}
		})
	}
}

// TestPipelineAndSplits sends several commands in one write, and one command byte by byte. Each is answered in order, and none waits
// for the cache host of another one.
func TestPipelineAndSplits(t *testing.T) {
	second := make(chan struct{})
	h := newHost(t, "h", func(cmd command) string {
		if cmd.fields[1] == "first" {
			<-second
		} else if cmd.fields[1] == "second" {
			close(second)
		}
		return answerHit(cmd)
	})
	p, _ := startWithHosts(t, readWriteThrough, nil, h)
	c := p.dial(t)
	c.send(getRequest("first", "a", 2000) + getRequest("second", "b", 2000) + "mn\r\nbogus\r\n" + putRequest("pay", "k", "w", 2000))
	for _, want := range []string{"VA 14 Oa|value of first", "VA 15 Ob|value of second", "MN", "ERROR", "HD Ow cdone-w"} {
		expect(t, c.next(), want)
	}
	for _, b := range []byte(putRequest("pay", "k", "s", 2000)) {
		c.send(string(b))
	}
	expect(t, c.next(), "HD Os cdone-s")
	big := strings.Repeat("v", 1<<20)
	expect(t, c.ask(fmt.Sprintf("ms k %d Ox Pc=pay,d=2000\r\n%s\r\n", len(big), big)), "HD Ox cdone-x")
	if h.commands[len(h.commands)-1].value != big {
		t.Error("the cache host got a different value")
	}
}

// TestMalformed checks that invalid input is answered with a short reason. The connection stays open if the start of the next command
// is certain.
func TestMalformed(t *testing.T) {
	h := newHost(t, "h", answerHit)
	p, _ := startWithHosts(t, nil, nil, h)
	for _, row := range []struct {
		in, want  string
		staysOpen bool
	}{
		{"bogus\r\n", "ERROR", true},
		{"\r\n", "ERROR", true},
		{"mg\r\n", "CLIENT_ERROR bad key", true},
		{"mg " + strings.Repeat("k", 251) + " v O1 Pc=read,d=9\r\n", "CLIENT_ERROR bad key", true},
		{"mg k v Pc=read,d=9\r\n", "CLIENT_ERROR no id", true},
		{"mg k v O1\r\n", "CLIENT_ERROR no time to wait", true},
		{"mg k v O1 Pc=read\r\n", "CLIENT_ERROR no time to wait", true},
		{"mg k v O1 Pc=read,d=0\r\n", "CLIENT_ERROR bad time to wait", true},
		{"mg k v O1 Pc=read,d=-5\r\n", "CLIENT_ERROR bad time to wait", true},
		{"mg k v O1 Pc=read,d=99999999999999999999\r\n", "CLIENT_ERROR bad time to wait", true},
		{"mg k v O1 Pd=9\r\n", "CLIENT_ERROR no product", true},
		{"mg k v O1 Pc=none,d=9\r\n", "CLIENT_ERROR unknown product", true},
		{"mg k v O1 O2 Pc=read,d=9\r\n", "CLIENT_ERROR given twice", true},
		{"mg k v O1 Pc=read,d=9 Pc=pay\r\n", "CLIENT_ERROR given twice", true},
		{"mg k v O1 Pc=read,d=9,d=900\r\n", "CLIENT_ERROR given twice", true},
		{"mg k v O1 Pc=read,d=9,c=pay\r\n", "CLIENT_ERROR given twice", true},
		{"ms k 5 O1 Pc=marked,d=900\r\nhello\r\n", "CLIENT_ERROR no mark against repeats", true},
		{"ms k -5 O1 Pc=pay,d=900\r\n", "CLIENT_ERROR bad data chunk", false},
		{"ms k 60000000 O1 Pc=pay,d=900\r\n" + strings.Repeat("v", 1<<20), "CLIENT_ERROR value too large", false},
		{"mg k v O1 Pc=read,d=1\r\n", "SERVER_ERROR busy", true}, // too little time for an attempt
		{"ms k 5 Pc=pay,d=9\r\nhello\r\n", "CLIENT_ERROR no id", true},
		{"ms k five O1 Pc=pay,d=9\r\n", "CLIENT_ERROR bad data chunk", false},
		{"ms k 5 O1 Pc=pay,d=9\r\nhello, you\r\n", "CLIENT_ERROR bad data chunk", false},
		{"ms k 4200000 O1 Pc=pay,d=9\r\n" + strings.Repeat("v", 1100000) + "\r\n", "CLIENT_ERROR value too large", false},
		{"mg k\x00 v O1 Pc=read,d=9\r\n", "CLIENT_ERROR control character", false},
		{strings.Repeat("x", 5000) + "\r\n", "CLIENT_ERROR line too long", false},
	} {
		c := p.dial(t)
		expect(t, c.ask(row.in), row.want)
		if row.staysOpen {
			expect(t, c.ask("mn\r\n"), "MN")
		} else {
			expect(t, c.next(), "EOF")
		}
	}
	if n := h.count(); n != 0 {
		t.Errorf("%d of the invalid commands reached the host", n)
	}
}

// TestIDInUse checks that a request whose id is in use by another client's request is rejected and reaches no host, which would take
// it for a repeat of the first one. The id is free again once the first request is answered.
func TestIDInUse(t *testing.T) {
	release := make(chan struct{})
	h := newHost(t, "h", func(cmd command) string {
		if cmd.fields[1] == "held" {
			<-release
		}
		return answerHit(cmd)
	})
	p, _ := startWithHosts(t, readWriteThrough, nil, h)
	c, other := p.dial(t), p.dial(t)
	c.send(putRequest("pay", "held", "a", 3000))
	await(t, h.received, "the attempt")
	expect(t, other.ask(getRequest("k", "a", 900)), "CLIENT_ERROR id is in hand")
	expect(t, other.ask(getRequest("k", "b", 900)), "VA 10 Ob|value of k")
	close(release)
	expect(t, c.next(), "HD Oa cdone-a")
	for began := time.Now(); other.ask(getRequest("k", "a", 900)) != "VA 10 Oa|value of k"; {
		if time.Since(began) > waitTimeout/2 {
			t.Fatal("the id did not become free again")
		}
	}
	if n := h.count(); n != 3 {
		t.Errorf("the host got %d requests, expected 3", n)
	}
}

// TestClientGone checks that the attempts of a client that closes its connection are cancelled, as their results would go unused.
func TestClientGone(t *testing.T) {
	h := newHost(t, "h", answerWith(""))
	p, _ := startWithHosts(t, nil, nil, h)
	c := p.dial(t)
	c.send(getRequest("k", "a", 60000))
	await(t, h.received, "the attempt")
	c.Close()
	await(t, h.closed, "the end of the attempt's connection")
}

// TestSilentHost checks that a request to a host that does not answer is answered before the client timeout, and that the host's late
// answer reaches no client.
func TestSilentHost(t *testing.T) {
	late := make(chan command, 1)
	h := newHost(t, "h", func(cmd command) string {
		if cmd.id == "a" {
			late <- cmd
			return ""
		}
		return answerHit(cmd)
	})
	p, _ := startWithHosts(t, nil, nil, h)
	c := p.dial(t)
	began := time.Now()
	if got := c.ask(getRequest("k", "a", 400)); !strings.HasPrefix(got, "SERVER_ERROR busy") || time.Since(began) > 450*time.Millisecond {
		t.Errorf("%q after %v", got, time.Since(began))
	}
	await(t, h.closed, "the end of the attempt's connection")
	io.WriteString((<-late).conn, "VA 4 Oa\r\nlate\r\n")
	expect(t, c.ask(getRequest("k", "b", 900)), "VA 10 Ob|value of k")
}

// TestTimeoutsAreDecided lets twenty requests to a silent host time out while the periodic tick is off. Each final answer must be that
// of the routing decisions, which take into account that a read can be retried, and not the fallback for decisions that come too late.
func TestTimeoutsAreDecided(t *testing.T) {
	p, _ := startWithHosts(t, map[string]any{"tickNs": 0}, nil, newHost(t, "h", answerWith("")))
	answers := make(chan string)
	for i := range 20 {
		c := p.dial(t)
		go func() { answers <- c.ask(getRequest("k", fmt.Sprint("a", i), 300)) }()
	}
	for range 20 {
		if got := await(t, answers, "an answer"); !strings.HasPrefix(got, "SERVER_ERROR busy") {
			t.Errorf("got %q", got)
		}
	}
}

// TestIdleConnectionClosed checks that no write is sent over an idle connection that the host has closed: it would count as one that
// may have run.
func TestIdleConnectionClosed(t *testing.T) {
	h := newHost(t, "h", nil)
	h.answer = func(cmd command) string {
		io.WriteString(cmd.conn, answerHit(cmd))
		return "close"
	}
	p, _ := startWithHosts(t, readWriteThrough, nil, h)
	c := p.dial(t)
	for i := range 20 {
		id := fmt.Sprint("w", i)
		expect(t, c.ask(putRequest("pay", "k", id, 900)), "HD O"+id+" cdone-"+id)
		await(t, h.closed, "the end of the connection")
	}
}

// TestDrainedHost checks that a draining host gets no new requests, and that a host listed under the same id at a new address gets the
// requests instead of the old address.
func TestDrainedHost(t *testing.T) {
	x, y := newHost(t, "x", answerHit), newHost(t, "y", answerHit)
	p, d := startWithHosts(t, nil, nil, x, y)
	c, requests := p.dial(t), 0
	ask := func(from int) {
		for i := from; i < from+50; i++ {
			// Each request has its own id, as with real clients: an id becomes free only shortly after its answer.
			requests++
			expect(t, c.ask(getRequest(fmt.Sprint("key", i), fmt.Sprint("a", requests), 900)),
				fmt.Sprintf("VA %d Oa%d|value of key%d", 12+len(fmt.Sprint(i)), requests, i))
		}
	}
	ask(100)
	if x.count() == 0 || y.count() == 0 {
		t.Fatalf("the requests are not spread over both hosts: %d and %d", x.count(), y.count())
	}
	d.setHost("x", x.addr, "cache", "leaving")
	d.waitForWatch(t)
	await(t, x.closed, "the end of the kept connection to it")
	before := x.count()
	ask(200)
	if x.count() != before {
		t.Errorf("%d new requests to a draining host", x.count()-before)
	}
	for old := x; old.id != "last"; { // the same id at another address, after a drain and without one
		z := newHost(t, "x", answerHit)
		d.setHost("x", z.addr, "cache", "active")
		d.waitForWatch(t)
		before = old.count()
		ask(300)
		if z.count() == 0 || old.count() != before {
			t.Errorf("%d requests at the new address, %d new ones at the old one", z.count(), old.count()-before)
		}
		if old != x {
			z.id = "last"
		}
		old = z
	}
}

// TestDiscoveryFails checks that the known list stays in use while discovery is unavailable or sends invalid answers, also after a
// restart with the list in the configuration.
func TestDiscoveryFails(t *testing.T) {
	h := newHost(t, "h", answerHit)
	d := newDiscoveryServer(t)
	d.setHost("h", h.addr, "cache", "active")
	cfg := deploymentConfig(d, freeAddr(t), nil)
	cfg["known"] = map[string]any{"generation": 1, "reset": true, "instances": []any{d.entries["h"]}}
	cfg["discovery"] = freeAddr(t)
	expect(t, launchServing(t, cfg).dial(t).ask(getRequest("k", "a", 900)), "VA 10 Oa|value of k")

	p, d := startWithHosts(t, map[string]any{"discovery": "subscribe"}, nil, h)
	c := p.dial(t)
	d.mu.Lock()
	d.answerGarbage = true
	d.mu.Unlock()
	d.setHost("other", freeAddr(t), "cache", "leaving")
	d.waitForWatch(t) // after the invalid answer the balancer has fetched the whole list and watches again
	expect(t, c.ask(getRequest("k", "b", 900)), "VA 10 Ob|value of k")
}

// TestDrain sends SIGTERM while a request is in progress. Clients can go on using their connections and open new ones in the first
// phase, as another balancer may be down at the same time. Then the connections close and the pending request is answered.
func TestDrain(t *testing.T) {
	release := make(chan struct{})
	p, _ := startWithHosts(t, nil, newOrigin(t, func(w http.ResponseWriter, r *http.Request) {
		<-release
		io.WriteString(w, "made")
	}), newHost(t, "h", answerHit))
	idle, busy := p.dial(t), p.dial(t)
	expect(t, idle.ask("mn\r\n"), "MN")
	busy.send(putRequest("pay", "k", "held", 3000))
	p.Process.Signal(syscall.SIGTERM)
	p.waitForLog(t, `"phase":"leaving"`)
	expect(t, idle.ask("mn\r\n"), "SERVER_ERROR draining")
	expect(t, idle.ask(getRequest("k", "kept", 900)), "VA 10 Okept|value of k")
	fresh := p.dial(t)
	expect(t, fresh.ask(getRequest("k", "new", 900)), "VA 10 Onew|value of k")
	expect(t, fresh.ask(getRequest("k", "more", 900)), "VA 10 Omore|value of k")
	p.waitForLog(t, `"phase":"draining"`)
	expect(t, idle.next(), "EOF")
	expect(t, fresh.next(), "EOF")
	close(release)
	expect(t, busy.next(), "HD Oheld cmade")
	expect(t, busy.next(), "EOF")
	if code := p.waitForExit(t); code != 0 {
		t.Errorf("exit code %d", code)
	}
}

// TestDrainAlone checks that the process ends soon after SIGTERM if no client is connected.
func TestDrainAlone(t *testing.T) {
	p, _ := startWithHosts(t, nil, nil, newHost(t, "h", answerHit))
	began := time.Now()
	p.Process.Signal(syscall.SIGTERM)
	if code := p.waitForExit(t); code != 0 || time.Since(began) > 2*time.Second {
		t.Errorf("exit code %d after %v", code, time.Since(began))
	}
}

// TestDrainUnderWork checks clients that go on sending during a planned restart. A connection that was used before may end between
// two requests, but the first request on a new connection is always answered: otherwise it would be lost.
func TestDrainUnderWork(t *testing.T) {
	h := newHost(t, "h", answerHit)
	p, _ := startWithHosts(t, nil, nil, h)
	noNewConnections := make(chan struct{})
	results := make(chan error, 8)
	for i := range cap(results) {
		go func() {
			var c *client
			for n := 0; ; n++ {
				fresh := c == nil
				if fresh {
					select {
					case <-noNewConnections:
						results <- nil
						return
					default:
					}
					conn, err := net.Dial("tcp", p.addr)
					if err != nil {
						results <- err
						return
					}
					defer conn.Close()
					conn.SetDeadline(time.Now().Add(waitTimeout))
					c = &client{t, conn, bufio.NewReader(conn), time.Now()}
				}
				id := fmt.Sprint(i, "-", n)
				io.WriteString(c.Conn, getRequest("k", id, 900))
				if a := c.next(); a == "VA 10 O"+id+"|value of k" {
					continue
				} else if fresh || strings.HasPrefix(a, "VA") || strings.HasPrefix(a, "SERVER") {
					results <- fmt.Errorf("answer %q on a connection that is new: %v", a, fresh)
					return
				}
				c = nil
			}
		}()
	}
	for range 200 {
		await(t, h.received, "work")
	}
	go func() {
		for range h.received { // the host must not block on a full channel
		}
	}()
	p.Process.Signal(syscall.SIGTERM)
	time.AfterFunc(400*time.Millisecond, func() { close(noNewConnections) })
	for range cap(results) {
		if err := await(t, results, "the end of a client's work"); err != nil {
			t.Error(err)
		}
	}
	if code := p.waitForExit(t); code != 0 {
		t.Errorf("exit code %d", code)
	}
}

// TestCutShort checks that SIGINT or a second SIGTERM ends the process at once.
func TestCutShort(t *testing.T) {
	for _, signals := range [][]syscall.Signal{{syscall.SIGINT}, {syscall.SIGTERM, syscall.SIGTERM}} {
		h := newHost(t, "h", answerWith(""))
		p, _ := startWithHosts(t, nil, nil, h)
		c := p.dial(t)
		c.send(getRequest("k", "a", 60000))
		await(t, h.received, "the attempt")
		idle := p.dial(t)
		expect(t, idle.ask("mn\r\n"), "MN")
		for _, s := range signals {
			p.Process.Signal(s)
			if s == syscall.SIGTERM {
				p.waitForLog(t, `"phase":"leaving"`) // two pending signals of one kind are delivered as one
			}
		}
		expect(t, idle.next(), "EOF")
		if code := p.waitForExit(t); code != 1 {
			t.Errorf("exit code %d after %v", code, signals)
		}
	}
}

// TestOutOfDescriptors fills the limit of client connections. Connections without a request are closed first, then idle ones that have
// had a request, both long before their idle timeout. A connection in the middle of a slow command stays. If all are in use, a new one
// is answered at once as rate-limited.
func TestOutOfDescriptors(t *testing.T) {
	h := newHost(t, "h", answerHit)
	d := newDiscoveryServer(t)
	d.setHost("h", h.addr, "cache", "active")
	cfg := deploymentConfig(d, freeAddr(t), nil)
	cfg["limits"] = map[string]any{"sockets": 16 + 64} // 35 for clients; five more get an answer
	p := launchServing(t, cfg)
	silent, idle := p.dial(t), p.dial(t)
	expect(t, idle.ask(getRequest("k", "first", 900)), "VA 10 Ofirst|value of k")
	time.Sleep(50 * time.Millisecond) // longer than the time in which neither is closed
	var slow []*client
	for i := range 35 {
		c := p.dial(t)
		c.send("mg k v O")
		c.send(fmt.Sprint("slow", i))
		slow = append(slow, c)
		time.Sleep(time.Millisecond)
	}
	for _, c := range []*client{silent, idle} {
		if c.next() != "EOF" || time.Since(c.dialedAt) > time.Second {
			t.Errorf("the silent or the idle connection was closed after %v", time.Since(c.dialedAt))
		}
	}
	for began := time.Now(); ; time.Sleep(5 * time.Millisecond) { // idle connections may still be closed to make room for new ones
		if got := p.dial(t).ask(getRequest("k", "more", 900)); got == "SERVER_ERROR busy" {
			break
		} else if time.Since(began) > 500*time.Millisecond {
			t.Fatalf("with all connections in use: %q", got)
		}
	}
	for i, c := range slow {
		expect(t, c.ask(" Pc=read,d=900\r\n"), fmt.Sprintf("VA 10 Oslow%d|value of k", i))
	}
	// A connection that stops within a command is closed, too.
	for range 40 {
		p.dial(t).send("mg k v O")
	}
	for began := time.Now(); p.dial(t).ask(getRequest("k", "late", 900)) != "VA 10 Olate|value of k"; time.Sleep(20 * time.Millisecond) {
		if time.Since(began) > 2*time.Second {
			t.Fatal("no stopped connection was closed to make room")
		}
	}
}

// TestClientsOutOfConnections checks clients that send one request and stay connected. Clients have a limited number of connections
// themselves: when they hold nearly all of them, the balancer closes the one idle for longest, long before its own limit, as otherwise
// the next request would find no connection.
func TestClientsOutOfConnections(t *testing.T) {
	h := newHost(t, "h", answerHit)
	d := newDiscoveryServer(t)
	d.setHost("h", h.addr, "cache", "active")
	cfg := deploymentConfig(d, freeAddr(t), nil)
	cfg["limits"] = map[string]any{"sockets": 80} // 35 connections are served; at most 20 of those that have sent a request are kept
	p := launchServing(t, cfg)
	var all []*client
	for i := range 30 {
		c := p.dial(t)
		expect(t, c.ask(getRequest("k", fmt.Sprint(i), 900)), fmt.Sprintf("VA 10 O%d|value of k", i))
		all = append(all, c)
		time.Sleep(5 * time.Millisecond)
	}
	expect(t, all[0].next(), "EOF")
	if since := time.Since(all[0].dialedAt); since > time.Second {
		t.Errorf("the first was closed after %v", since)
	}
	for i, c := range all[15:] { // the later ones stay open
		expect(t, c.ask(getRequest("k", fmt.Sprint("again", i), 900)), fmt.Sprintf("VA 10 Oagain%d|value of k", i))
	}
}

// TestIdleClients checks that connections that send nothing, half a command or only one request are closed in time. Otherwise they
// would use up all descriptors of the balancer or of the clients.
func TestIdleClients(t *testing.T) {
	p, _ := startWithHosts(t, nil, nil, newHost(t, "h", answerHit))
	for name, row := range map[string]struct {
		request          string
		earliest, latest time.Duration // a connection without a pending command may be closed after two seconds
	}{
		"nothing":        {"", 2 * time.Second, 3 * time.Second},
		"half a command": {"mg k v Ohalf", 0, 3 * time.Second},
		"half a value":   {"ms k 5 Ohalf Pc=pay,d=900\r\nhel", 0, 3 * time.Second},
		"one command":    {getRequest("k", "a", 900), 2 * time.Second, 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := p.dial(t)
			c.send(row.request)
			got := c.next()
			for strings.HasPrefix(got, "VA") {
				got = c.next()
			}
			expect(t, got, "EOF")
			if age := time.Since(c.dialedAt); age < row.earliest || age > row.latest {
				t.Errorf("closed after %v", age)
			}
		})
	}
}

// TestFaultyConfiguration checks that a faulty configuration ends the start with exit code 2 and the name of the faulty key.
func TestFaultyConfiguration(t *testing.T) {
	d := newDiscoveryServer(t)
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	with := func(key string, v any) map[string]any {
		c := deploymentConfig(d, freeAddr(t), nil)
		c[key] = v
		return c
	}
	product := map[string]any{"name": "p", "effect": "often"}
	for _, row := range []struct {
		config any
		env    string
		names  string
	}{
		{"", "GW_CONFIG=", "GW_CONFIG"},
		{"", "GW_CONFIG=/none", "GW_CONFIG"},
		{"{", "", "GW_CONFIG"},
		{with("listen", "here"), "", "listen"},
		{with("listen", taken.Addr().String()), "", "listen"},
		{with("discovery", ""), "", "discovery"},
		{with("seed", "xyz"), "", "seed"},
		{with("limits", map[string]any{"sockets": 5}), "", "limits.sockets"},
		{with("limits", map[string]any{"memory_mb": 1}), "", "limits.memory_mb"},
		{with("settings", nil), "", "settings"},
		{with("settings", deploymentSettings(map[string]any{"products": []any{product}})), "", "settings.products.0.effect"},
		{with("settings", deploymentSettings(map[string]any{"balancers": "few"})), "", "settings.balancers"},
		{with("settings", deploymentSettings(map[string]any{"products": []any{}})), "", "settings.products"},
	} {
		p := launch(t, row.config, row.env)
		if code := p.waitForExit(t); code != 2 || !strings.Contains(p.log.String(), row.names+":") {
			t.Errorf("exit code %d, expected 2 and %q in %s", code, row.names, p.log.String())
		}
	}
}

// TestReload changes the configuration under load. The list then comes from the new discovery address, even if an environment variable
// named the old one, and updates from the old address have no effect; no request is lost. A faulty file changes nothing.
func TestReload(t *testing.T) {
	x, y := newHost(t, "x", answerHit), newHost(t, "y", answerHit)
	old, next := newDiscoveryServer(t), newDiscoveryServer(t)
	old.setHost("x", x.addr, "cache", "active")
	next.setHost("y", y.addr, "cache", "active")
	cfg := deploymentConfig(old, freeAddr(t), nil)
	p := launchServing(t, cfg, "GW_DISCOVERY="+serverAddr(old.Server))
	stop, answers := make(chan struct{}), make(chan string, 1)
	go func() { // sends requests until the test ends it
		c := p.dial(t)
		for n := 0; ; n++ {
			id := fmt.Sprint("r", n)
			if a := c.ask(getRequest("k", id, 900)); a != "VA 10 O"+id+"|value of k" {
				answers <- a
				return
			}
			select {
			case <-stop:
				answers <- "all"
				return
			case <-time.After(time.Millisecond):
			}
		}
	}()
	await(t, x.received, "work")
	p.reload(t, "{", `faulty configuration, nothing changed`)
	faulty := deploymentConfig(next, p.addr, map[string]any{"balancers": "few"})
	p.reload(t, faulty, "settings.balancers")
	cfg["discovery"], cfg["seed"] = freeAddr(t), "1" // nothing listens there
	p.reload(t, cfg, `"kept_until_restart":["seed"]`)
	cfg["discovery"] = serverAddr(next.Server)
	p.reload(t, cfg, `"discovery":"`+serverAddr(next.Server)+`","kept`)
	p.Process.Signal(syscall.SIGHUP) // once more, with nothing new
	next.waitForWatch(t)
	await(t, x.closed, "the end of the kept connection to the host that is listed no more")
	before := x.count()
	old.setHost("x", x.addr, "cache", "active") // must have no effect
	for range 20 {
		await(t, y.received, "work")
	}
	close(stop)
	expect(t, await(t, answers, "the end of the work"), "all")
	if x.count() != before {
		t.Errorf("%d attempts at a host that only the old address lists", x.count()-before)
	}
	c := p.dial(t)
	expect(t, c.ask("mn\r\n"), "MN")
	p.Process.Signal(syscall.SIGTERM)
	expect(t, c.next(), "EOF")
	p.Process.Signal(syscall.SIGHUP) // while it drains
	if code := p.waitForExit(t); code != 0 {
		t.Errorf("exit code %d", code)
	}
}
