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

// minListWait is the time for which a starting process at least waits for the current list if discovery does not answer.
const minListWait = time.Second

// TestRestarts starts the program while discovery is unavailable or silent, with an earlier list that is absent, old, damaged or from
// another deployment. With a usable host in that list the process gets ready within two seconds and answers MN only then, as a load
// balancer sends requests to a process that answers MN. Without one it rejects requests at once and gets ready when discovery is back.
func TestRestarts(t *testing.T) {
	type discoveryFault struct {
		name  string
		begin func(t *testing.T, d *discoveryServer) (discoveryAddr string, restore func())
	}
	unavailable := discoveryFault{"away", func(t *testing.T, d *discoveryServer) (string, func()) {
		discoveryAddr := freeAddr(t)
		return discoveryAddr, func() { startDiscoveryAt(t, discoveryAddr, d) }
	}}
	silent := discoveryFault{"silent", func(t *testing.T, d *discoveryServer) (string, func()) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		s := &http.Server{Handler: d}
		t.Cleanup(func() { s.Close() })
		return l.Addr().String(), func() { go s.Serve(l) }
	}}
	for _, fault := range []discoveryFault{unavailable, silent} {
		for name, row := range map[string]struct {
			cachedList func(host map[string]any) any
			usable     bool
		}{
			"absent":             {func(map[string]any) any { return nil }, false},
			"known":              {func(h map[string]any) any { return wholeList(3, h) }, true},
			"of a later version": {func(h map[string]any) any { return wholeList(9000, h) }, true},
			"empty":              {func(map[string]any) any { return wholeList(3) }, false},
			"of another shape":   {func(map[string]any) any { return map[string]any{"generation": "three", "instances": 7} }, false},
			"text":               {func(map[string]any) any { return "no list" }, false},
			"of another deployment": {func(h map[string]any) any {
				return wholeList(3, withFields(h, "zone", "elsewhere", "machineType", "of old"))
			}, true},
			"with a spoilt entry": {func(h map[string]any) any { return wholeList(3, map[string]any{"instanceId": 7}, h) }, true},
		} {
			t.Run(fault.name+", "+name, func(t *testing.T) {
				t.Parallel()
				h := newHost(t, "h", answerHit)
				d := newDiscoveryServer(t)
				d.setHost("h", h.addr, "cache", "active")
				discoveryAddr, restore := fault.begin(t, d)
				cfg := deploymentConfig(d, freeAddr(t), readWriteThrough)
				cfg["discovery"] = discoveryAddr
				if cachedList := row.cachedList(d.entries["h"]); cachedList != nil {
					cfg["known"] = cachedList
				}
				began := time.Now()
				p := launch(t, cfg)
				p.addr = cfg["listen"].(string)
				firstAnswer := ""
				for firstAnswer == "" && time.Since(began) < waitTimeout {
					time.Sleep(5 * time.Millisecond)
					if c, err := net.Dial("tcp", p.addr); err == nil {
						c.Close()
						if after := time.Since(began); after < minListWait {
							t.Errorf("the address is open after %v, while the process should still wait for the list", after)
						}
						if got := p.dial(t).ask("mn\r\n"); got == "MN" || strings.HasPrefix(got, "SERVER_ERROR") {
							firstAnswer = got // any other text is not the process's answer, as it is not listening yet
						}
					}
				}
				if (firstAnswer == "MN") != row.usable || time.Since(began) > 4*time.Second {
					t.Errorf("%q after %v", firstAnswer, time.Since(began))
				}
				if got := p.dial(t).ask(getRequest("k", "a", 900)); row.usable && got != "VA 10 Oa|value of k" || !row.usable && !strings.HasPrefix(got, "SERVER_ERROR busy") {
					t.Errorf("a request while discovery fails: %q", got)
				}
				restore()
				for began := time.Now(); p.dial(t).ask("mn\r\n") != "MN"; time.Sleep(5 * time.Millisecond) {
					if time.Since(began) > waitTimeout {
						t.Fatal("discovery is back, but the process is not ready")
					}
				}
				expect(t, p.dial(t).ask(getRequest("k", "b", 900)), "VA 10 Ob|value of k")
			})
		}
	}
}

// startDiscoveryAt serves discovery at an address that was not in use.
func startDiscoveryAt(t *testing.T, addr string, d *discoveryServer) {
	t.Helper()
	l, err := net.Listen("tcp", addr)
	for began := time.Now(); err != nil && time.Since(began) < waitTimeout; time.Sleep(5 * time.Millisecond) {
		l, err = net.Listen("tcp", addr)
	}
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: d}
	go s.Serve(l)
	t.Cleanup(func() { s.Close() })
}

// wholeList returns a whole host list in discovery's format.
func wholeList(generation int, hosts ...map[string]any) map[string]any {
	return map[string]any{"generation": generation, "reset": true, "instances": append([]map[string]any{}, hosts...)}
}

// withFields returns a copy of a list entry with the given pairs of keys and values replaced.
func withFields(entry map[string]any, pairs ...string) map[string]any {
	text, _ := json.Marshal(entry)
	var e map[string]any
	if err := json.Unmarshal(text, &e); err != nil {
		panic(fmt.Sprint("invalid list entry in the test: ", err))
	}
	for i := 0; i < len(pairs); i += 2 {
		e[pairs[i]] = pairs[i+1]
	}
	return e
}
