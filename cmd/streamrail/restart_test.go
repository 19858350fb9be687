package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// awaitsList is for how long a process that starts waits for the present list at the least, where none comes.
const awaitsList = time.Second

// A start with discovery away, silent or turning calls away, and with a list of before that is absent, old, spoilt or of another
// deployment. It is ready within two seconds where it has a host to send to, and says MN only then: a front sends to who says so.
// Where it has none it says so, turns requests away at once, and is ready as soon as discovery is back.
func TestRestarts(t *testing.T) {
	type way struct {
		name  string
		start func(t *testing.T, d *list) (at string, back func())
	}
	away := way{"away", func(t *testing.T, d *list) (string, func()) {
		at := freeAddr(t)
		return at, func() { comesUp(t, at, d) }
	}}
	silent := way{"silent", func(t *testing.T, d *list) (string, func()) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		s := &http.Server{Handler: d}
		t.Cleanup(func() { s.Close() })
		return l.Addr().String(), func() { go s.Serve(l) }
	}}
	for _, w := range []way{away, silent} {
		for name, row := range map[string]struct {
			known func(host map[string]any) any
			knows bool
		}{
			"absent":                {func(map[string]any) any { return nil }, false},
			"known":                 {func(h map[string]any) any { return whole(3, h) }, true},
			"of a later version":    {func(h map[string]any) any { return whole(9000, h) }, true},
			"empty":                 {func(map[string]any) any { return whole(3) }, false},
			"of another shape":      {func(map[string]any) any { return map[string]any{"generation": "three", "instances": 7} }, false},
			"text":                  {func(map[string]any) any { return "no list" }, false},
			"of another deployment": {func(h map[string]any) any { return whole(3, with(h, "zone", "elsewhere", "machineType", "of old")) }, true},
			"with a spoilt entry":   {func(h map[string]any) any { return whole(3, map[string]any{"instanceId": 7}, h) }, true},
		} {
			t.Run(w.name+", "+name, func(t *testing.T) {
				t.Parallel()
				h := newHost(t, "h", hit)
				d := newList(t)
				d.set("h", h.addr, "cache", "active")
				at, back := w.start(t, d)
				cfg := config(d, freeAddr(t), through)
				cfg["discovery"] = at
				if known := row.known(d.entries["h"]); known != nil {
					cfg["known"] = known
				}
				began := time.Now()
				p := launch(t, cfg)
				p.addr = cfg["listen"].(string)
				first := ""
				for first == "" && time.Since(began) < patience {
					time.Sleep(5 * time.Millisecond)
					if c, err := net.Dial("tcp", p.addr); err == nil {
						c.Close()
						if after := time.Since(began); after < awaitsList {
							t.Errorf("its address is open after %v, while it still waits for the list", after)
						}
						if got := p.dial(t).ask("mn\r\n"); got == "MN" || strings.HasPrefix(got, "SERVER_ERROR") {
							first = got // what comes before it listens is no answer of its own
						}
					}
				}
				if (first == "MN") != row.knows || time.Since(began) > 4*time.Second {
					t.Errorf("%q after %v", first, time.Since(began))
				}
				if got := p.dial(t).ask(get("k", "a", 900)); row.knows && got != "VA 10 Oa|value of k" || !row.knows && !strings.HasPrefix(got, "SERVER_ERROR busy") {
					t.Errorf("a request meanwhile: %q", got)
				}
				back()
				for began := time.Now(); p.dial(t).ask("mn\r\n") != "MN"; time.Sleep(5 * time.Millisecond) {
					if time.Since(began) > patience {
						t.Fatal("discovery is back, and it is not ready")
					}
				}
				expect(t, p.dial(t).ask(get("k", "b", 900)), "VA 10 Ob|value of k")
			})
		}
	}
}

// comesUp has discovery at an address that nobody was at.
func comesUp(t *testing.T, at string, d *list) {
	t.Helper()
	l, err := net.Listen("tcp", at)
	for began := time.Now(); err != nil && time.Since(began) < patience; time.Sleep(5 * time.Millisecond) {
		l, err = net.Listen("tcp", at)
	}
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: d}
	go s.Serve(l)
	t.Cleanup(func() { s.Close() })
}

func whole(generation int, hosts ...map[string]any) map[string]any {
	return map[string]any{"generation": generation, "reset": true, "instances": append([]map[string]any{}, hosts...)}
}

// with is an entry with some keys of other values.
func with(entry map[string]any, pairs ...string) map[string]any {
	text, _ := json.Marshal(entry)
	var e map[string]any
	if err := json.Unmarshal(text, &e); err != nil {
		panic(fmt.Sprint("an entry of the test's own: ", err))
	}
	for i := 0; i < len(pairs); i += 2 {
		e[pairs[i]] = pairs[i+1]
	}
	return e
}
