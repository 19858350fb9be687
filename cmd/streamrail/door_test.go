package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// callAdmin calls the door, one call to a connection.
func callAdmin(t *testing.T, adminAddr, method, path, body string) (status int, text string) {
	t.Helper()
	r, err := http.NewRequest(method, "http://"+adminAddr+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Close = true
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	b, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b)
}

// metric is one value of the figures, -1 where it is missing.
func metric(t *testing.T, adminAddr, name string) (value int) {
	t.Helper()
	_, text := callAdmin(t, adminAddr, "GET", "/api/telemetry", "")
	for _, line := range strings.Split(text, "\n") {
		if rest, ok := strings.CutPrefix(line, name+" "); ok {
			fmt.Sscan(rest, &value)
			return value
		}
	}
	return -1
}

// Operators act on what the door says: a call it does not understand must change nothing and say so, and those who hold
// its connections must not keep it from answering.
func TestAdminAPI(t *testing.T) {
	h := newHost(t, "h", answerHit)
	d := newDiscoveryServer(t)
	d.setHost("h", h.addr, "cache", "active")
	adminAddr := freeAddr(t)
	p := launchServing(t, deploymentConfig(d, freeAddr(t), readWriteThrough), "GW_ADMIN_ADDR="+adminAddr, "TMPDIR="+shortDir(t))
	for range 40 { // more than it holds
		c, err := net.Dial("tcp", adminAddr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		io.WriteString(c, "POST /api/exclude HTTP/1.1\r\nHost: x\r\nContent-Length: 90\r\n\r\n{")
	}
	for _, row := range []struct {
		method, path, body string
		status             int
	}{
		{"GET", "/api/ready", "", 200}, {"POST", "/api/ready", "", 405}, {"GET", "/api/nothing", "", 404},
		{"GET", "/api/exclude", "", 405}, {"POST", "/api/exclude", "", 400}, {"POST", "/api/exclude", `{"member":""}`, 400},
		{"POST", "/api/exclude", `{"member":"h","member":"h"}`, 400}, {"POST", "/api/exclude", `{"Member":"h"}`, 400},
		{"POST", "/api/exclude", `{"member":["h"]}`, 400}, {"POST", "/api/exclude", `{"member":"h"} x`, 400},
		{"POST", "/api/exclude", `{"member":"h","more":1}`, 400}, {"POST", "/api/exclude", `{"member":"h"`, 400},
		{"POST", "/api/exclude", `{"member":"` + strings.Repeat("h", 1<<16) + `"}`, 413},
		{"POST", "/api/exclude", `{"member":"nobody"}`, 404}, {"POST", "/api/include", `{"member":"nobody"}`, 404},
		{"POST", "/api/include", `{"member":"h"}`, 200},
	} {
		if status, text := callAdmin(t, adminAddr, row.method, row.path, row.body); status != row.status || strings.Count(text, "\n") != 1 {
			t.Errorf("%s %s %.60s: %d %q, expected %d", row.method, row.path, row.body, status, text, row.status)
		}
	}
	c := p.dial(t)
	expect(t, c.ask(getRequest("k", "a", 900)), "VA 10 Oa|value of k")
	expect(t, c.ask("ms k 2 Ob Pc=pay,d=900\r\nhi\r\n"), "HD Ob cdone-b")
	for name, want := range map[string]int{`app_answered_total{group="read"}`: 1, `app_answered_total{group="pay"}`: 1,
		`app_deferred_total{group="marked"}`: 0, "app_sends_total": 2, "app_current": 0, "app_cluster_size": 1, "app_cluster_unhealthy": 0} {
		got := metric(t, adminAddr, name)
		for began := time.Now(); got != want && time.Since(began) < waitTimeout; got = metric(t, adminAddr, name) {
			time.Sleep(5 * time.Millisecond) // an answer is counted once it is written: a client may have it sooner
		}
		if got != want {
			t.Errorf("%s: %d, expected %d", name, got, want)
		}
	}
	// Out by hand, twice, and back once: no list lifts it, and a host that is back is used again.
	for range 2 {
		callAdmin(t, adminAddr, "POST", "/api/exclude", `{"member":"h"}`)
	}
	d.setHost("h", h.addr, "cache", "active")
	d.waitForWatch(t)
	if got := c.ask(getRequest("k", "c", 900)); !strings.HasPrefix(got, "SERVER_ERROR busy") {
		t.Errorf("with its only host out: %q", got)
	}
	if n := metric(t, adminAddr, "app_cluster_unhealthy"); n != 1 || h.count() != 2 {
		t.Errorf("%d out, the host got %d", n, h.count())
	}
	if n := metric(t, adminAddr, `app_deferred_total{group="read"}`); n != 1 {
		t.Errorf("%d rate-limited, expected 1", n)
	}
	callAdmin(t, adminAddr, "POST", "/api/include", `{"member":"h"}`)
	for i, began := 0, time.Now(); h.count() == 2; i++ {
		if time.Since(began) > waitTimeout {
			t.Fatal("the host that was put back is not used")
		}
		c.ask(getRequest("k", fmt.Sprint("d", i), 900))
		time.Sleep(20 * time.Millisecond)
	}
}

// An address that cannot be had ends the start, with the key's name.
func TestAdminAddress(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	for _, addr := range []string{"nonsense", taken.Addr().String()} {
		c := deploymentConfig(newDiscoveryServer(t), freeAddr(t), nil)
		c["admin_addr"] = addr
		p := launch(t, c)
		if code := p.waitForExit(t); code != 2 || !strings.Contains(p.log.String(), "admin_addr") {
			t.Errorf("%s: exit %d with %s", addr, code, p.log)
		}
	}
}
