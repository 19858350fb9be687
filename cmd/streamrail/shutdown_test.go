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

// SIGTERM while a host hangs, with requests in every stage, short and usual client timeouts, and clients that send on every
// connection for as long as it stays open. Each request gets exactly one final answer in its time, or a connection's end where no
// host was sent it; no attempt begins after an answer; the process ends before it would be killed.
func TestShutdownInEveryStage(t *testing.T) {
	for _, longest := range []time.Duration{800 * time.Millisecond, 3 * time.Second} {
		t.Run(longest.String(), func(t *testing.T) {
			t.Parallel()
			product := func(name, effect string) any {
				return map[string]any{"name": name, "latencySloNs": longest / 2, "clientTimeoutNs": longest, "billedValue": 1.0,
					"effect": effect, "group": "all", "windowNs": 2e9}
			}
			change := map[string]any{"extra": through["extra"],
				"products": []any{product("read", "idempotent"), product("pay", "at_most_once"), product("marked", "deduplicated")}}
			var hosts []*cacheHost
			for _, id := range []string{"x", "y", "z"} { // what a host does goes by the request, so all stages are met anywhere
				hosts = append(hosts, newHost(t, id, func(g got) string {
					switch what, _, _ := strings.Cut(g.id, "-"); what {
					case "hangs":
						return ""
					case "half":
						return "VA 5 O" + g.id + "\r\nhe"
					case "breaks":
						return "close"
					case "slow":
						time.Sleep(longest / 4)
					}
					return hit(g)
				}))
			}
			p, _ := start(t, change, nil, hosts...)
			d := int(longest / time.Millisecond)
			var all sync.WaitGroup
			var mu sync.Mutex
			answered := map[string]time.Time{}
			// takes reads the one answer to a request; ends tells that the connection may end instead where no host got it.
			takes := func(c *client, id string, sent time.Time) (more bool) {
				got := c.next()
				now := time.Now()
				mu.Lock()
				defer mu.Unlock()
				answered[id] = now
				if strings.HasPrefix(got, "VA ") || strings.HasPrefix(got, "HD ") || strings.HasPrefix(got, "SERVER_ERROR ") {
					if strings.Contains(got, " O") && !strings.Contains(got, " O"+id) {
						t.Errorf("%s got %q", id, got)
					}
					if took := now.Sub(sent); took > longest+450*time.Millisecond {
						t.Errorf("%s was answered after %v", id, took)
					}
					return true
				}
				for _, h := range hosts {
					h.mu.Lock()
					for _, g := range h.seen {
						if g.id == id {
							t.Errorf("%s was sent on and got %q", id, got)
						}
					}
					h.mu.Unlock()
				}
				return false
			}
			requests := []string{get("k", "%s", d), put("pay", "k", "%s", d), put("marked", "k", "%s", d)}
			begun := make(chan struct{}, 100)
			told := make(chan struct{}) // closed at SIGTERM
			for _, what := range []string{"hangs", "half", "breaks", "slow", "plain"} {
				for n, request := range requests {
					for _, cut := range []int{0, 9, len(request) - 3} { // whole before SIGTERM; half a line, nearly all, the rest after
						id := fmt.Sprint(what, "-", n, "-", cut)
						text := strings.Replace(request, "%s", id, 1)
						if cut == 0 {
							cut = len(text)
						}
						c := p.dial(t)
						all.Go(func() {
							c.send(text[:cut])
							begun <- struct{}{}
							<-told
							io.WriteString(c.Conn, text[cut:])
							takes(c, id, time.Now())
							expect(t, c.next(), "EOF")
						})
					}
				}
			}
			for i := range 6 {
				c := p.dial(t)
				all.Go(func() {
					begun <- struct{}{}
					for n := 0; ; n++ {
						id := fmt.Sprint("plain-chat-", i, "-", n)
						sent := time.Now()
						io.WriteString(c.Conn, get("k", id, d))
						if !takes(c, id, sent) {
							return
						}
					}
				})
			}
			for range 3*3*5 + 6 {
				await(t, begun, "the beginning of all")
			}
			for range 3 * 5 { // what was whole has come to a host
				await(t, hosts[0].came, "requests")
			}
			go func() {
				for range hosts[0].came {
				}
			}()
			began := time.Now()
			p.Process.Signal(syscall.SIGTERM)
			close(told)
			if code := p.exit(t); code != 0 {
				t.Errorf("exit code %d", code)
			}
			if took := time.Since(began); took > longest+700*time.Millisecond {
				t.Errorf("it took %v to end", took)
			}
			all.Wait()
			for _, h := range hosts {
				h.mu.Lock()
				for _, g := range h.seen {
					if at, ok := answered[g.id]; ok && g.at.After(at.Add(50*time.Millisecond)) {
						t.Errorf("%s was sent on %v after its answer", g.id, g.at.Sub(at))
					}
				}
				h.mu.Unlock()
			}
		})
	}
}
