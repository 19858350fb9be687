package main

import (
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"
)

// withClientTimeout returns settings like readWriteThrough whose products all have the given client timeout.
func withClientTimeout(timeout time.Duration) map[string]any {
	product := func(name, effect string) any {
		return map[string]any{"name": name, "latencySloNs": timeout / 2, "clientTimeoutNs": timeout, "billedValue": 1.0, "effect": effect,
			"group": "all", "windowNs": 2e9}
	}
	return map[string]any{"extra": readWriteThrough["extra"], "products": []any{product("read", "idempotent"), product("pay", "at_most_once")}}
}

// TestPipelineBeyondLimitAtDrainEnd guards against requests that are read ahead behind those in flight, or lie unread, when draining runs
// out of time: they were passed over without an answer.
func TestPipelineBeyondLimitAtDrainEnd(t *testing.T) {
	const timeout = 800 * time.Millisecond
	longValue := strings.Repeat("w", 100<<10)
	for name, row := range map[string]struct {
		commands func(i int) string
		count    int
	}{
		"reads": {func(i int) string { return getRequest("k", fmt.Sprint("r", i), int(timeout/time.Millisecond)) }, 2000},
		"probes and writes": {func(i int) string {
			return []string{"mn\r\n", putRequest("pay", "k", fmt.Sprint("w", i), int(timeout/time.Millisecond))}[i%2]
		}, 80},
		"long writes": {func(i int) string {
			return fmt.Sprintf("ms k %d Ol%d Pc=pay,d=%d\r\n%s\r\n", len(longValue), i, timeout/time.Millisecond, longValue)
		}, 4},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHost(t, "h", func(command) string { return "" })
			p, _ := startWithHosts(t, withClientTimeout(timeout), nil, h)
			c := p.dial(t)
			expect(t, c.ask("mn\r\n"), "MN")
			p.Process.Signal(syscall.SIGTERM)
			time.Sleep(500 * time.Millisecond)
			var commands strings.Builder
			for i := range row.count {
				commands.WriteString(row.commands(i))
			}
			sentAt := time.Now()
			c.send(commands.String())
			for i := range row.count {
				if got := c.next(); !strings.HasPrefix(got, "SERVER_ERROR ") {
					t.Fatalf("command %d of %d got %q %v after it was sent", i, row.count, got, time.Since(sentAt))
				}
			}
			expect(t, c.next(), "EOF")
			if code := p.waitForExit(t); code != 0 {
				t.Errorf("exit code %d", code)
			}
		})
	}
}

// TestCommandsBehindOwedAnswerWhileDraining guards against a connection whose reader finds nothing at the instant at which draining begins,
// while an answer is owed: it read no further, and what the client sent before the answer was passed over.
func TestCommandsBehindOwedAnswerWhileDraining(t *testing.T) {
	const timeout = 1200 * time.Millisecond
	for _, upgrade := range []bool{false, true} {
		t.Run(fmt.Sprint("upgrade ", upgrade), func(t *testing.T) {
			t.Parallel()
			release := make(chan struct{})
			h := newHost(t, "h", func(cmd command) string {
				if strings.HasPrefix(cmd.id, "first") {
					<-release
				}
				return answerHit(cmd)
			})
			d := newDiscoveryServer(t)
			d.setHost("h", h.addr, "cache", "active")
			dir, config := shortDir(t), deploymentConfig(d, freeAddr(t), withClientTimeout(timeout))
			older, _ := launchReady(t, config, dir)
			var clients []*client
			for i := range 3 { // fewer than a host may have in flight that has served little so far
				c := older.dial(t)
				expect(t, c.ask(getRequest("k", fmt.Sprint("early", i), 900)), fmt.Sprintf("VA 10 Oearly%d|value of k", i))
				await(t, h.received, "the early read")
				clients = append(clients, c)
			}
			if upgrade {
				launchReady(t, config, dir)
			} else { // it serves on for a while before it drains
				older.Process.Signal(syscall.SIGTERM)
				time.Sleep(timeout - 600*time.Millisecond)
			}
			for i, c := range clients {
				c.send(getRequest("k", fmt.Sprint("first", i), int(timeout/time.Millisecond)))
				await(t, h.received, "the first read")
			}
			if upgrade {
				older.Process.Signal(syscall.SIGTERM)
			}
			older.waitForLog(t, `"phase":"draining"`)
			time.Sleep(150 * time.Millisecond)
			for i, c := range clients {
				c.send(getRequest("k", fmt.Sprint("second", i), int(timeout/time.Millisecond)))
			}
			time.Sleep(100 * time.Millisecond)
			close(release)
			for i, c := range clients {
				expect(t, c.next(), fmt.Sprintf("VA 10 Ofirst%d|value of k", i))
				expect(t, c.next(), fmt.Sprintf("VA 10 Osecond%d|value of k", i))
				expect(t, c.next(), "EOF")
			}
			if code := older.waitForExit(t); code != 0 {
				t.Errorf("exit code %d", code)
			}
		})
	}
}
