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

// callAdmin sends one request to the admin API over a new connection.
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

// metric returns the value of one metric, -1 if it is missing.
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

// TestAdminAPI checks that an invalid request to the admin API changes nothing and is answered with an error, and that clients which
// hold all its connections do not keep it from answering.
func TestAdminAPI(t *testing.T) {
	h := newHost(t, "h", answerHit)
	d := newDiscoveryServer(t)
	d.setHost("h", h.addr, "cache", "active")
	adminAddr := freeAddr(t)
	p := launchServing(t, deploymentConfig(d, freeAddr(t), readWriteThrough), "GW_ADMIN_ADDR="+adminAddr, "TMPDIR="+shortDir(t))
	for range 40 { // more than the admin API accepts at once
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
			time.Sleep(5 * time.Millisecond) // an answer is counted once it is written: a client may read it before that
		}
		if got != want {
			t.Errorf("%s: %d, expected %d", name, got, want)
		}
	}
	// Excluded twice and included once: a new list does not lift the exclusion, and the included host is used again.
	for range 2 {
		callAdmin(t, adminAddr, "POST", "/api/exclude", `{"member":"h"}`)
	}
	d.setHost("h", h.addr, "cache", "active")
	d.waitForWatch(t)
	if got := c.ask(getRequest("k", "c", 900)); !strings.HasPrefix(got, "SERVER_ERROR busy") {
		t.Errorf("with the only host excluded: %q", got)
	}
	if n := metric(t, adminAddr, "app_cluster_unhealthy"); n != 1 || h.count() != 2 {
		t.Errorf("%d hosts excluded, expected 1; the host got %d requests, expected 2", n, h.count())
	}
	if n := metric(t, adminAddr, `app_deferred_total{group="read"}`); n != 1 {
		t.Errorf("%d requests rate-limited, expected 1", n)
	}
	callAdmin(t, adminAddr, "POST", "/api/include", `{"member":"h"}`)
	for i, began := 0, time.Now(); h.count() == 2; i++ {
		if time.Since(began) > waitTimeout {
			t.Fatal("the included host is not used")
		}
		c.ask(getRequest("k", fmt.Sprint("d", i), 900))
		time.Sleep(20 * time.Millisecond)
	}
}

// TestAdminAddress checks that an unusable admin address ends the start with the name of the key.
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
