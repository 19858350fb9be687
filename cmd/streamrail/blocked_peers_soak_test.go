package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// troubledOrigin is an origin that applies a write once its last byte has come, drops its repeats within the deduplication window, and is in
// trouble for a part of the requests: it stops reading a value, resets the connection long after the request, or sends an endless answer.
type troubledOrigin struct {
	mu      sync.Mutex
	random  *rand.Rand
	applied map[string]time.Time // by deduplication token
	twice   []string             // tokens that were applied a second time
}

// Shares and times of the trouble, as the operators' pages describe them.
const (
	troubleShare   = 0.3
	longestPause   = 3 * time.Second
	lateReset      = 1500 * time.Millisecond
	dedupWindow    = 2 * time.Second // as in deploymentSettings
	freeTakenBytes = 64 << 10        // of a value, before the origin pauses
)

// draw returns whether a request is in trouble, and a span up to the longest pause.
func (o *troubledOrigin) draw() (trouble bool, pause time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.random.Float64() < troubleShare, time.Duration(o.random.Int64N(int64(longestPause)))
}

func (o *troubledOrigin) apply(token string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	at, applied := o.applied[token]
	if applied && time.Since(at) < dedupWindow {
		return
	}
	if applied {
		o.twice = append(o.twice, token)
	}
	o.applied[token] = time.Now()
}

// serve handles the one request of a connection.
func (o *troubledOrigin) serve(conn net.Conn) {
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	trouble, pause := o.draw()
	if r.Method == http.MethodGet {
		if !trouble {
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nvalue")
			return
		}
		_, err = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n")
		for n := 0; n < largeValueSize && err == nil; n += len(valueChunk) {
			_, err = io.WriteString(conn, valueChunk)
		}
		time.Sleep(pause)
		return
	}
	if trouble && r.ContentLength > freeTakenBytes {
		io.CopyN(io.Discard, r.Body, freeTakenBytes)
		time.Sleep(pause)
	}
	if _, err = io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	_, token, _ := strings.Cut(r.Header.Get("X-Attrs"), "k=")
	token, _, _ = strings.Cut(token, ",")
	o.apply(token)
	if trouble {
		time.Sleep(lateReset)
		conn.(*net.TCPConn).SetLinger(0)
		return
	}
	io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")
}

// soakClient sends one request after another on one connection.
type soakClient struct {
	*client
	random   *rand.Rand
	name     string
	stopping *atomic.Bool // the process has been told to end
	answered *atomic.Int64
}

// ask sends a command and returns its answer; false once the connection has ended. It checks that the answer comes, in time, unless the process
// was told to end before the command was sent: then the connection may have been closed before it was read.
func (c *soakClient) ask(command string, timeout time.Duration) (line string, open bool) {
	const answerSlack = 550 * time.Millisecond // the operators' half second, and 50 ms for sockets
	if _, err := io.WriteString(c.Conn, command); err != nil {
		return "", false
	}
	sentAt, beforeStop := time.Now(), !c.stopping.Load()
	c.SetDeadline(sentAt.Add(waitTimeout))
	line, err := c.in.ReadString('\n')
	took := time.Since(sentAt)
	if fields := strings.Fields(line); err == nil && fields[0] == "VA" {
		length, _ := strconv.Atoi(fields[1])
		_, err = c.in.Discard(length + 2)
	}
	switch {
	case err != nil && beforeStop:
		c.Errorf("%.60q ended without an answer after %v: %v", command, took, err)
	case err == nil && took > timeout+answerSlack:
		c.Errorf("%.60q was answered %v after its time: %q", command, took-timeout, line)
	case err == nil:
		c.answered.Add(1)
	}
	return line, err == nil
}

// run sends requests until the connection ends. A write that is rate-limited is sent again under its token when the answer says so.
func (c *soakClient) run() {
	for i := 0; ; i++ {
		timeout := time.Duration(400+c.random.IntN(1600)) * time.Millisecond
		value := strings.Repeat("v", []int{5, 5, 5, 100 << 10, largeValueSize}[c.random.IntN(5)])
		for try := range 3 {
			id := fmt.Sprintf("%sr%dt%d", c.name, i, try)
			command := getRequest(id, id, int(timeout.Milliseconds()))
			if i%2 == 0 {
				command = fmt.Sprintf("ms k%s %d O%s Pc=marked,d=%d,k=%sr%d\r\n%s\r\n", id, len(value), id, timeout.Milliseconds(), c.name, i, value)
			}
			line, open := c.ask(command, timeout)
			if !open {
				return
			}
			wait, refused := strings.CutPrefix(strings.TrimSpace(line), "SERVER_ERROR busy")
			if !refused {
				break
			}
			milliseconds, _ := strconv.Atoi(strings.TrimSpace(wait))
			time.Sleep(time.Duration(milliseconds+c.random.IntN(50)) * time.Millisecond)
		}
	}
}

// TestBlockedPeersSoak draws from a seed an origin in trouble, bad clients that write under ids in use, a crowd and a series of signals. Clients
// use their connections until the kill, at the earliest moment after SIGTERM. Each request is answered in time, a write that is sent again only as
// told has one effect, and the memory stays below its limit.
func TestBlockedPeersSoak(t *testing.T) {
	runSoak(t, soakBlockedPeers)
}

func soakBlockedPeers(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 0))
	o := &troubledOrigin{random: rand.New(rand.NewPCG(seed, 1)), applied: map[string]time.Time{}}
	settings := map[string]any{"caps": map[string]any{"mayCancel": random.IntN(4) > 0, "mostShots": 4, "connectTimeoutNs": 200000000, "keepaliveNs": 60e9,
		"retryAfter": true, "maxRetryAfterNs": 2e9}}
	p := launchLimited(t, settings, map[string]string{"h": newHost(t, "h", answerMiss).addr, "origin": serveRaw(t, o.serve)})
	for range random.IntN(2) * 100 {
		p.dial(t)
	}
	var stopping atomic.Bool
	var answered atomic.Int64
	var clients sync.WaitGroup
	for n := range 10 {
		c := &soakClient{p.dial(t), rand.New(rand.NewPCG(seed, uint64(n+2))), fmt.Sprint("c", n), &stopping, &answered}
		clients.Go(c.run)
	}
	for n := range random.IntN(2) * 16 { // bad clients
		c := p.dial(t)
		clients.Go(func() {
			for i, err := 0, error(nil); err == nil; i++ {
				_, err = fmt.Fprintf(c.Conn, "ms k %d Oc0r0t0 Pc=marked,d=900,k=bad%dr%d\r\n%s\r\n", largeValueSize, n, i, strings.Repeat("w", largeValueSize))
				if err == nil {
					_, err = c.in.ReadString('\n')
				}
			}
		})
	}
	p.expectMemoryBelow(t, limitedMemoryMB<<20, time.Duration(4000+random.IntN(2000))*time.Millisecond)
	p.endWithSignals(t, random, func() { stopping.Store(true) })
	clients.Wait()
	if o.mu.Lock(); len(o.twice) > 0 {
		t.Errorf("writes had their effect twice: %q", o.twice)
	}
	o.mu.Unlock()
	if answered.Load() == 0 {
		t.Error("no request was answered")
	}
}
