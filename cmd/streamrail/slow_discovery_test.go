package main

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// slowDiscovery is a discovery server that begins to answer a request for the whole list after a delay, and writes it entry by entry.
type slowDiscovery struct {
	*discoveryServer
	delay            time.Duration
	entriesPerSecond int // 0: all at once
}

func newSlowDiscovery(t *testing.T, delay time.Duration, entriesPerSecond int) *slowDiscovery {
	d := &slowDiscovery{newDiscoveryServer(t), delay, entriesPerSecond}
	d.discoveryServer.Server = httptest.NewServer(d)
	t.Cleanup(d.discoveryServer.Server.Close)
	return d
}

func (d *slowDiscovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Has("after") {
		d.discoveryServer.ServeHTTP(w, r)
		return
	}
	time.Sleep(d.delay)
	d.mu.Lock()
	text := string(d.response(-1))
	d.mu.Unlock()
	if d.entriesPerSecond == 0 {
		w.Write([]byte(text))
		return
	}
	began := time.Now()
	for i, entry := range strings.SplitAfter(text, "},") {
		time.Sleep(time.Until(began.Add(time.Duration(i) * time.Second / time.Duration(d.entriesPerSecond))))
		if _, err := w.Write([]byte(entry)); err != nil {
			return
		}
		w.(http.Flusher).Flush()
	}
}

// TestStartAtSlowDiscovery guards against a process that starts with no list, at a discovery that takes longer than a call's timeout for
// the whole list, and never serves.
func TestStartAtSlowDiscovery(t *testing.T) {
	for _, mode := range []string{"automatic", "subscribe"} {
		t.Run(mode, func(t *testing.T) {
			t.Parallel()
			h, d := newHost(t, "h", answerHit), newSlowDiscovery(t, 3500*time.Millisecond, 0)
			d.setHost("h", h.addr, "cache", "active")
			config, began := deploymentConfig(d.discoveryServer, freeAddr(t), map[string]any{"discovery": mode}), time.Now()
			p := launch(t, config)
			p.addr = config["listen"].(string)
			p.waitForLog(t, "no list from discovery yet")
			p.waitForLog(t, `"phase":"serving"`)
			for c, n := p.dial(t), 0; !strings.HasPrefix(c.ask(getRequest("k", fmt.Sprint("r", n), 900)), "VA "); n++ {
				if time.Since(began) > d.delay+2*time.Second {
					t.Fatalf("not served %v after the start", time.Since(began))
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
}

// TestLeavingHostInLongList guards against a host that gets requests for as long as a new discovery, which lists it as leaving, has not
// written its list to the end.
func TestLeavingHostInLongList(t *testing.T) {
	const entries, perSecond, toldAfter, grace = 2300, 400, 6 * time.Second, time.Second
	for _, mode := range []string{"automatic", "subscribe"} {
		t.Run(mode, func(t *testing.T) {
			t.Parallel()
			x, y := newHost(t, "x", answerHit), newHost(t, "y", answerHit)
			old, next := newDiscoveryServer(t), newSlowDiscovery(t, 0, perSecond)
			for _, d := range []*discoveryServer{old, next.discoveryServer} {
				d.setHost("x", x.addr, "cache", "active")
				d.setHost("y", y.addr, "cache", "active")
			}
			for i := range entries {
				next.setHost(fmt.Sprint("unused", i), "127.0.0.1:1", "cache", "leaving")
			}
			next.setHost("x", x.addr, "cache", "leaving")
			config := deploymentConfig(old, freeAddr(t), map[string]any{"discovery": mode})
			p := launchServing(t, config)
			old.waitForWatch(t)
			config["discovery"] = serverAddr(next.Server)
			p.reload(t, config, "configuration reloaded")
			toldAt := time.Now().Add(toldAfter + grace)
			c, late := p.dial(t), 0
			for n := 0; time.Until(toldAt) > -3*time.Second; n++ {
				before := x.count()
				c.ask(getRequest(fmt.Sprint("k", n), fmt.Sprint("r", n), 900))
				if time.Now().After(toldAt) && x.count() > before {
					late++
				}
				time.Sleep(10 * time.Millisecond)
			}
			if late > 0 {
				t.Errorf("%d requests at the leaving host over %v after the reload", late, toldAfter+grace)
			}
		})
	}
}
