package main

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// TestShutdownInEveryStage sends SIGTERM while requests are in every stage of processing, with hanging and failing hosts, short and
// usual client timeouts, and clients that send on a connection for as long as it stays open. Each request gets exactly one final answer
// in time, or the end of its connection if it was sent to no host. No attempt begins after an answer, and the process ends in time.
func TestShutdownInEveryStage(t *testing.T) {
	for _, clientTimeout := range []time.Duration{800 * time.Millisecond, 3 * time.Second} {
		t.Run(clientTimeout.String(), func(t *testing.T) {
			t.Parallel()
			product := func(name, effect string) any {
				return map[string]any{"name": name, "latencySloNs": clientTimeout / 2, "clientTimeoutNs": clientTimeout, "billedValue": 1.0,
					"effect": effect, "group": "all", "windowNs": 2e9}
			}
			change := map[string]any{"extra": readWriteThrough["extra"],
				"products": []any{product("read", "idempotent"), product("pay", "at_most_once"), product("marked", "deduplicated")}}
			var hosts []*cacheHost
			for _, id := range []string{"x", "y", "z"} { // the behavior depends on the request, so that every host shows all of them
				hosts = append(hosts, newHost(t, id, func(cmd command) string {
					switch behavior, _, _ := strings.Cut(cmd.id, "-"); behavior {
					case "hangs":
						return ""
					case "half":
						return "VA 5 O" + cmd.id + "\r\nhe"
					case "breaks":
						return "close"
					case "slow":
						time.Sleep(clientTimeout / 4)
					}
					return answerHit(cmd)
				}))
			}
			p, _ := startWithHosts(t, change, nil, hosts...)
			timeoutMs := int(clientTimeout / time.Millisecond)
			var clients sync.WaitGroup
			var mu sync.Mutex
			answered := map[string]time.Time{}
			// readAnswer reads the one answer to a request. It returns false if the connection ended instead, which is an error if a
			// host got the request.
			readAnswer := func(c *client, id string, sent time.Time) (stillOpen bool) {
				got := c.next()
				now := time.Now()
				mu.Lock()
				defer mu.Unlock()
				answered[id] = now
				if strings.HasPrefix(got, "VA ") || strings.HasPrefix(got, "HD ") || strings.HasPrefix(got, "SERVER_ERROR ") {
					if strings.Contains(got, " O") && !strings.Contains(got, " O"+id) {
						t.Errorf("%s got %q", id, got)
					}
					if took := now.Sub(sent); took > clientTimeout+450*time.Millisecond {
						t.Errorf("%s was answered after %v", id, took)
					}
					return true
				}
				for _, h := range hosts {
					h.mu.Lock()
					for _, cmd := range h.commands {
						if cmd.id == id {
							t.Errorf("%s was sent to a host, but its client got %q", id, got)
						}
					}
					h.mu.Unlock()
				}
				return false
			}
			requests := []string{getRequest("k", "%s", timeoutMs), putRequest("pay", "k", "%s", timeoutMs), putRequest("marked", "k", "%s", timeoutMs)}
			started := make(chan struct{}, 100)
			sigtermSent := make(chan struct{}) // closed at SIGTERM
			for _, behavior := range []string{"hangs", "half", "breaks", "slow", "plain"} {
				for n, request := range requests {
					for _, split := range []int{0, 9, len(request) - 3} { // sent before SIGTERM: all, half a line, nearly all
						id := fmt.Sprint(behavior, "-", n, "-", split)
						text := strings.Replace(request, "%s", id, 1)
						if split == 0 {
							split = len(text)
						}
						c := p.dial(t)
						clients.Go(func() {
							c.send(text[:split])
							started <- struct{}{}
							<-sigtermSent
							io.WriteString(c.Conn, text[split:])
							readAnswer(c, id, time.Now())
							expect(t, c.next(), "EOF")
						})
					}
				}
			}
			for i := range 6 {
				c := p.dial(t)
				clients.Go(func() {
					started <- struct{}{}
					for n := 0; ; n++ {
						id := fmt.Sprint("plain-chat-", i, "-", n)
						sent := time.Now()
						io.WriteString(c.Conn, getRequest("k", id, timeoutMs))
						if !readAnswer(c, id, sent) {
							return
						}
					}
				})
			}
			for range 3*3*5 + 6 {
				await(t, started, "the start of all clients")
			}
			for range 3 * 5 { // the requests sent as a whole have reached a host
				await(t, hosts[0].received, "requests")
			}
			go func() {
				for range hosts[0].received {
				}
			}()
			began := time.Now()
			p.Process.Signal(syscall.SIGTERM)
			close(sigtermSent)
			if code := p.waitForExit(t); code != 0 {
				t.Errorf("exit code %d", code)
			}
			if took := time.Since(began); took > clientTimeout+700*time.Millisecond {
				t.Errorf("the process took %v to end", took)
			}
			clients.Wait()
			for _, h := range hosts {
				h.mu.Lock()
				for _, cmd := range h.commands {
					if answeredAt, ok := answered[cmd.id]; ok && cmd.receivedAt.After(answeredAt.Add(50*time.Millisecond)) {
						t.Errorf("an attempt of %s began %v after its answer", cmd.id, cmd.receivedAt.Sub(answeredAt))
					}
				}
				h.mu.Unlock()
			}
		})
	}
}
