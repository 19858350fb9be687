package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"
)

// largeValueSize is the size of the largest value that the balancer accepts, which it streams instead of reading it whole first.
const largeValueSize = 4 << 20

// valueChunk is a part of a value that is longer than the buffers on the way, so that none of them waits for more before it sends.
var valueChunk = strings.Repeat("v", 256<<10)

// TestLargeValueStreams checks that a large value is streamed: its first bytes reach the client before the host has sent the rest. The
// answer to a pipelined command follows after the whole value.
func TestLargeValueStreams(t *testing.T) {
	rest := make(chan struct{})
	h := newHost(t, "h", func(cmd command) string {
		if cmd.fields[1] != "large" {
			return answerHit(cmd)
		}
		fmt.Fprintf(cmd.conn, "VA %d O%s h1\r\n%s", largeValueSize, cmd.id, valueChunk)
		<-rest
		for range largeValueSize/len(valueChunk) - 1 {
			io.WriteString(cmd.conn, valueChunk)
		}
		return "\r\n"
	})
	p, _ := startWithHosts(t, readWriteThrough, nil, h)
	c := p.dial(t)
	c.send(getRequest("large", "a", 900) + getRequest("small", "b", 3000))
	line, err := c.in.ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	expect(t, line, fmt.Sprintf("VA %d Oa\r\n", largeValueSize))
	first := make([]byte, len(valueChunk)/2)
	if _, err = io.ReadFull(c.in, first); err != nil {
		t.Fatal(err)
	}
	time.Sleep(time.Second) // longer than the client timeout, which applies to the first bytes only
	close(rest)
	all := make([]byte, largeValueSize-len(first)+2)
	if _, err = io.ReadFull(c.in, all); err != nil || string(all[len(all)-3:]) != "v\r\n" {
		t.Fatalf("reading the rest of the value: %v", err)
	}
	expect(t, c.next(), "VA 14 Ob|value of small")
	if n := h.count(); n != 2 {
		t.Errorf("the host got %d commands, expected 2", n)
	}
}

// TestLargeValueCutShort checks that a client can tell that a large value was cut short, and that the request is not retried.
func TestLargeValueCutShort(t *testing.T) {
	for name, end := range map[string]string{"it breaks": "", "it goes on": valueChunk + "xx", "its line does not end": "xx"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHost(t, "h", func(cmd command) string {
				fmt.Fprintf(cmd.conn, "VA %d O%s h1\r\n%s", len(valueChunk), cmd.id, valueChunk[:len(valueChunk)-1])
				if end != "" {
					io.WriteString(cmd.conn, "v"+end)
				}
				return "close"
			})
			p, _ := startWithHosts(t, readWriteThrough, nil, h)
			c := p.dial(t)
			c.send(getRequest("large", "a", 900))
			c.in.ReadString('\n')
			if b, _ := io.ReadAll(c.in); len(b) >= len(valueChunk)+2 {
				t.Errorf("the client got %d bytes, of %d, and cannot tell that the value is incomplete", len(b), len(valueChunk)+2)
			}
			if n := h.count(); n != 1 {
				t.Errorf("the host got it %d times", n)
			}
			other := p.dial(t) // the next request is served as usual
			other.send(getRequest("large", "b", 900))
			if line, _ := other.in.ReadString('\n'); !strings.HasPrefix(line, "VA ") {
				t.Errorf("got %q", line)
			}
		})
	}
}

// TestLargeWrite checks that a large write reaches the host whole and once, and that the client timeout runs from its last byte. One
// without its line end never reaches the host whole, and is answered as rate-limited.
func TestLargeWrite(t *testing.T) {
	value := strings.Repeat("w", largeValueSize)
	h := newHost(t, "h", answerHit)
	p, _ := startWithHosts(t, readWriteThrough, nil, h)
	c := p.dial(t)
	for i := range 3 {
		c.send(fmt.Sprintf("ms k %d O%d Pc=pay,d=400\r\n", largeValueSize, i))
		for offset := 0; offset < largeValueSize; offset += largeValueSize / 4 {
			c.send(value[offset : offset+largeValueSize/4])
			time.Sleep(200 * time.Millisecond) // 800 ms in total
		}
		expect(t, c.ask("\r\n"), fmt.Sprintf("HD O%d cdone-%d", i, i))
		if cmd := await(t, h.received, "the write"); cmd.value != value {
			t.Errorf("the host got %d bytes", len(cmd.value))
		}
	}
	expect(t, c.ask(getRequest("small", "b", 900)), "VA 14 Ob|value of small")
	c.send(fmt.Sprintf("ms k %d Obad Pc=pay,d=400\r\n%sxx", largeValueSize, value))
	got := c.next()
	if !strings.HasPrefix(got, "SERVER_ERROR busy") {
		t.Errorf("without the line end: %q", got)
	}
	expect(t, c.next(), "EOF")
	if n := h.count(); n != 4 {
		t.Errorf("the host got %d whole commands, expected 4", n)
	}
}

// TestLargeWriteBreaks checks a large write that no host can take, as its connection is refused: it did not run, the balancer discards
// the value, and the client's connection stays usable.
func TestLargeWriteBreaks(t *testing.T) {
	h := newHost(t, "h", answerHit)
	d := newDiscoveryServer(t)
	dead := &cacheHost{id: "dead", addr: freeAddr(t)}
	d.setHost("dead", dead.addr, "cache", "active")
	p := launchServing(t, deploymentConfig(d, freeAddr(t), readWriteThrough))
	c := p.dial(t)
	c.send(fmt.Sprintf("ms k %d Oa Pc=pay,d=900\r\n%s\r\n", largeValueSize, strings.Repeat("w", largeValueSize)))
	if got := c.next(); !strings.HasPrefix(got, "SERVER_ERROR busy") {
		t.Errorf("got %q", got)
	}
	expect(t, c.ask("mn\r\n"), "MN")
	d.setHost("dead", h.addr, "cache", "leaving")
	d.setHost("h", h.addr, "cache", "active")
	d.waitForWatch(t)
	expect(t, c.ask(getRequest("small", "b", 900)), "VA 14 Ob|value of small")
}

// TestLargeWriteNotTaken guards against a large write that gets no answer, as its host stops taking the value: the time of the request runs
// from its last byte, which lies unread in the balancer's socket. Reads behind it are answered too.
func TestLargeWriteNotTaken(t *testing.T) {
	for _, mayCancel := range []bool{true, false} {
		t.Run(fmt.Sprint("may cancel: ", mayCancel), func(t *testing.T) {
			t.Parallel()
			stopped := serveRaw(t, func(net.Conn) { time.Sleep(waitTimeout) })
			d := newDiscoveryServer(t)
			d.setHost("stopped", stopped, "cache", "active")
			settings := map[string]any{"extra": readWriteThrough["extra"], "caps": map[string]any{"mayCancel": mayCancel, "mostShots": 4, "connectTimeoutNs": 200000000, "keepaliveNs": 60e9}}
			p := launchServing(t, deploymentConfig(d, freeAddr(t), settings))
			c := p.dial(t)
			const timeout, slack = 600 * time.Millisecond, 500 * time.Millisecond
			began := time.Now()
			go fmt.Fprintf(c, "ms k %d Oa Pc=pay,d=%d\r\n%s\r\n%s", largeValueSize, timeout.Milliseconds(), strings.Repeat("w", largeValueSize), getRequest("k", "b", 600))
			for _, request := range []string{"the write", "the read behind it"} {
				got := c.next()
				if took := time.Since(began); !strings.HasPrefix(got, "SERVER_ERROR ") || took > timeout+slack {
					t.Errorf("%s: answered %q after %v", request, got, took)
				}
			}
		})
	}
}

// TestLargeValueOutlivesDraining guards against a long value that is cut off because draining runs out of time while its host still writes it.
// A command behind it is answered too, and the process ends after that.
func TestLargeValueOutlivesDraining(t *testing.T) {
	const timeout, pieces = 800 * time.Millisecond, 8
	for _, upgrade := range []bool{false, true} {
		t.Run(fmt.Sprint("upgrade ", upgrade), func(t *testing.T) {
			t.Parallel()
			h := newHost(t, "h", func(cmd command) string {
				fmt.Fprintf(cmd.conn, "VA %d O%s\r\n", pieces*len(valueChunk), cmd.id)
				for range pieces {
					io.WriteString(cmd.conn, valueChunk)
					time.Sleep(timeout / 2)
				}
				return "\r\n"
			})
			d := newDiscoveryServer(t)
			d.setHost("h", h.addr, "cache", "active")
			dir, config := shortDir(t), deploymentConfig(d, freeAddr(t), withClientTimeout(timeout))
			p, _ := launchReady(t, config, dir)
			c := p.dial(t)
			c.send(getRequest("large", "a", int(timeout/time.Millisecond)))
			await(t, h.received, "the read")
			if upgrade {
				launchReady(t, config, dir)
			}
			p.Process.Signal(syscall.SIGTERM)
			p.waitForLog(t, "out of time while draining")
			c.send(getRequest("k", "behind", int(timeout/time.Millisecond)))
			if got := c.next(); len(got) != len(fmt.Sprintf("VA %d Oa|", pieces*len(valueChunk)))+pieces*len(valueChunk) {
				t.Errorf("the client got %d bytes: %.60q", len(got), got)
			}
			expect(t, c.next(), "SERVER_ERROR busy")
			expect(t, c.next(), "EOF")
			if code := p.waitForExit(t); code != 0 {
				t.Errorf("exit code %d", code)
			}
		})
	}
}

// TestSlowReadersLeaveRoom guards against clients that read long values slowly and hold all that may be in flight at the hosts, or all
// connections to them, so that the requests of others are refused.
func TestSlowReadersLeaveRoom(t *testing.T) {
	for name, row := range map[string]struct{ sockets, slow, served int }{
		"the limit of the host": {2048, 60, 60},
		"the connections":       {384, 200, 60},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHost(t, "h", func(cmd command) string {
				if cmd.fields[1] != "large" {
					return answerHit(cmd)
				}
				return fmt.Sprintf("VA %d O%s\r\n%s\r\n", largeValueSize, cmd.id, strings.Repeat("v", largeValueSize))
			})
			d := newDiscoveryServer(t)
			d.setHost("h", h.addr, "cache", "active")
			config := deploymentConfig(d, freeAddr(t), readWriteThrough)
			config["limits"] = map[string]any{"cores": 1.0, "memory_mb": 64, "sockets": row.sockets}
			p := launchServing(t, config)
			served := 0
			for i := range row.slow {
				c := p.dial(t)
				c.Conn.(*net.TCPConn).SetReadBuffer(16 << 10)
				c.send(getRequest("large", fmt.Sprint("slow", i), 3000))
				if line, _ := c.in.ReadString('\n'); strings.HasPrefix(line, "VA ") { // the client reads no more of it
					served++
				}
			}
			if served < row.served {
				t.Errorf("%d of %d slow readers were served, expected at least %d", served, row.slow, row.served)
			}
			c := p.dial(t)
			for i := range 100 {
				id := fmt.Sprint("usual", i)
				expect(t, c.ask(getRequest("k", id, 900)), "VA 10 O"+id+"|value of k")
			}
		})
	}
}

// TestSlowWritersLeaveRoom guards against clients that write long values slowly and hold all that may be in flight at the origin, or all
// connections to it, so that the writes of others are refused.
func TestSlowWritersLeaveRoom(t *testing.T) {
	o := newOrigin(t, func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		io.WriteString(w, "done")
	})
	go func() {
		for range o.requests { // a full channel would block the origin
		}
	}()
	p, _ := startWithHosts(t, nil, o, newHost(t, "h", answerHit))
	for i := range 100 {
		c := p.dial(t)
		c.send(fmt.Sprintf("ms large %d Oslow%d Pc=pay,d=3000\r\n%s", largeValueSize, i, valueChunk)) // the client writes no more of it for now
	}
	time.Sleep(200 * time.Millisecond) // their attempts have begun by then; if not, they are in the way of fewer writes
	c := p.dial(t)
	for i := range 100 {
		id := fmt.Sprint("usual", i)
		expect(t, c.ask(putRequest("pay", "k", id, 900)), "HD O"+id+" cdone")
	}
}
