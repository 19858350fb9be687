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

// Ways in which a client goes away. To end one's sending counts as going: nothing that comes tells it from a close.
var leavings = map[string]func(c *net.TCPConn){
	"closes":       func(c *net.TCPConn) { c.Close() },
	"resets":       func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
	"ends sending": func(c *net.TCPConn) { c.CloseWrite() },
}

// What a client that goes away has asked for is given up at once, whatever its connection's reader waits for just then, and
// nothing more of it is begun. The client timeouts are so long that nothing else ends an attempt within the test's second.
func TestClientGoneAnywhere(t *testing.T) {
	const d = 4000
	for name, row := range map[string]struct {
		behind string // sent behind a request that is in hand
		n      int    // attempts that are out when it goes
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
				s += get("k", fmt.Sprint("more", i), d)
			}
			return s
		}(), 12},
	} {
		for how, leave := range leavings {
			t.Run(name+", "+how, func(t *testing.T) {
				t.Parallel()
				h := newHost(t, "h", func(g got) string {
					if strings.HasPrefix(g.id, "after") {
						return hit(g)
					}
					return ""
				})
				p, _ := start(t, nil, nil, h)
				c := p.dial(t)
				c.send(get("k", "a", d) + row.behind)
				for range row.n {
					await(t, h.came, "an attempt")
				}
				left := time.Now()
				leave(c.Conn.(*net.TCPConn))
				for range row.n {
					await(t, h.ended, "the end of an attempt's connection")
				}
				if took := time.Since(left); took > 2*time.Second {
					t.Errorf("given up %v after the client left", took)
				}
				expect(t, p.dial(t).ask(get("k", "after", 900)), "VA 10 Oafter|value of k")
				if n := h.count(); n != row.n+1 {
					t.Errorf("%d attempts, expected %d and one of another client", n-1, row.n)
				}
			})
		}
	}
}

// However a connection ends from this side, the client reads all answers and then its end, never a reset: closed over bytes
// that have come unread, it would be one, and would take answers with it.
func TestEndsWithoutReset(t *testing.T) {
	junk := strings.Repeat("mg k v Olate Pc=read,d=900\r\n", 20000) // far more than the balancer's reader has taken by then
	for name, row := range map[string]struct {
		say  string
		then func(p *running)
	}{
		"quit":             {"quit\r\n" + junk, nil},
		"no command":       {strings.Repeat("x", 5000) + "\r\n" + junk, nil},
		"a faulty value":   {"ms k 5 Ox Pc=pay,d=900\r\nhelloxx" + junk, nil},
		"told to end":      {"", func(p *running) { p.Process.Signal(syscall.SIGTERM) }},
		"idle for long":    {"", func(*running) {}},
		"half a line":      {"mg k v O", func(*running) {}},
		"half a long line": {"mg " + strings.Repeat("k", 900), func(*running) {}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			value := strings.Repeat("v", 60000)
			p, _ := start(t, nil, nil, newHost(t, "h", func(g got) string {
				return fmt.Sprintf("VA %d O%s\r\n%s\r\n", len(value), g.id, value)
			}))
			c := p.dial(t)
			sent := make(chan struct{})
			go func() {
				io.WriteString(c.Conn, get("k", "a", 900)+row.say)
				close(sent)
			}()
			expect(t, c.next(), "VA 60000 Oa|"+value)
			if row.then != nil {
				row.then(p)
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
