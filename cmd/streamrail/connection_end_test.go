package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"
)

// clientDepartures are the ways in which a client can go away. Ending only the sending direction counts as well: the balancer cannot
// distinguish it from a close.
var clientDepartures = map[string]func(c *net.TCPConn){
	"closes":       func(c *net.TCPConn) { c.Close() },
	"resets":       func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
	"ends sending": func(c *net.TCPConn) { c.CloseWrite() },
}

// TestClientGoneAnywhere checks that the requests of a client that goes away are cancelled at once, whatever the reader of its
// connection waits for, and that no further attempt begins. The client timeouts are too long to end an attempt within the test's time.
func TestClientGoneAnywhere(t *testing.T) {
	const timeoutMs = 4000
	for name, row := range map[string]struct {
		pipelined string // sent after a request that is in progress
		n         int    // attempts in flight when the client goes
	}{
		"nothing behind":          {"", 1},
		"half a line behind":      {"mg k v O", 1},
		"half a value behind":     {"ms k 5 Ox Pc=pay,d=4000\r\nhe", 1},
		"a probe behind":          {"mn\r\nmg k v O", 1},
		"a faulty command behind": {"bogus\r\nmg k v O", 1},
		"no command behind":       {strings.Repeat("x", 5000) + "\r\n", 1},
		"quit behind":             {"quit\r\nmg k v O", 1},
		"more than may be in hand": {func() (s string) {
			for i := range 200 {
				s += getRequest("k", fmt.Sprint("more", i), timeoutMs)
			}
			return s
		}(), 12},
	} {
		for departure, leave := range clientDepartures {
			t.Run(name+", "+departure, func(t *testing.T) {
				t.Parallel()
				h := newHost(t, "h", func(cmd command) string {
					if strings.HasPrefix(cmd.id, "after") {
						return answerHit(cmd)
					}
					return ""
				})
				p, _ := startWithHosts(t, nil, nil, h)
				c := p.dial(t)
				c.send(getRequest("k", "a", timeoutMs) + row.pipelined)
				for range row.n {
					await(t, h.received, "an attempt")
				}
				leftAt := time.Now()
				leave(c.Conn.(*net.TCPConn))
				for range row.n {
					await(t, h.closed, "the end of an attempt's connection")
				}
				if took := time.Since(leftAt); took > 2*time.Second {
					t.Errorf("the attempts ended %v after the client left", took)
				}
				expect(t, p.dial(t).ask(getRequest("k", "after", 900)), "VA 10 Oafter|value of k")
				if n := h.count(); n != row.n+1 {
					t.Errorf("%d attempts in addition to the other client's one, expected %d", n-1, row.n)
				}
			})
		}
	}
}

// TestEndsWithoutReset checks that a client reads all answers and then the end of the connection, never a reset, whatever makes the
// balancer close it. A close with unread bytes in the receive buffer would send a reset, which discards answers in transit.
func TestEndsWithoutReset(t *testing.T) {
	unread := strings.Repeat("mg k v Olate Pc=read,d=900\r\n", 20000) // far more than the balancer has read by then
	for name, row := range map[string]struct {
		following string
		trigger   func(p *balancerProcess)
	}{
		"quit":             {"quit\r\n" + unread, nil},
		"no command":       {strings.Repeat("x", 5000) + "\r\n" + unread, nil},
		"a faulty value":   {"ms k 5 Ox Pc=pay,d=900\r\nhelloxx" + unread, nil},
		"told to end":      {"", func(p *balancerProcess) { p.Process.Signal(syscall.SIGTERM) }},
		"idle for long":    {"", func(*balancerProcess) {}},
		"half a line":      {"mg k v O", func(*balancerProcess) {}},
		"half a long line": {"mg " + strings.Repeat("k", 900), func(*balancerProcess) {}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			value := strings.Repeat("v", 60000)
			p, _ := startWithHosts(t, nil, nil, newHost(t, "h", func(cmd command) string {
				return fmt.Sprintf("VA %d O%s\r\n%s\r\n", len(value), cmd.id, value)
			}))
			c := p.dial(t)
			sent := make(chan struct{})
			go func() {
				io.WriteString(c.Conn, getRequest("k", "a", 900)+row.following)
				close(sent)
			}()
			expect(t, c.next(), "VA 60000 Oa|"+value)
			if row.trigger != nil {
				row.trigger(p)
			}
			got := c.next()
			for strings.HasPrefix(got, "CLIENT_ERROR") || strings.HasPrefix(got, "ERROR") || strings.HasPrefix(got, "SERVER_ERROR") {
				got = c.next()
			}
			expect(t, got, "EOF")
			await(t, sent, "the end of the client's writing")
		})
	}
}
