package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"
)

// originRequests counts the requests that an origin has received, by their id.
func (o *originServer) originRequests() map[string]int {
	counts := map[string]int{}
	for {
		select {
		case r := <-o.requests:
			counts[r.Header.Get("X-Request-Id")]++
		default:
			return counts
		}
	}
}

// TestIDOfWriteThatMayHaveRun guards against a write that runs a second time because its id comes again when its request is over: after
// its client has left, while the first attempt runs on at the origin or has run, and after any answer that does not prove that nothing
// ran. Where nothing ran, the id may come again.
func TestIDOfWriteThatMayHaveRun(t *testing.T) {
	const originTime = 600 * time.Millisecond
	for name, row := range map[string]struct {
		status   int
		leaves   bool
		returns  time.Duration // from the first write, or from its answer, to the second one
		accepted bool          // the second write, which then is sent or answered as rate-limited
	}{
		"left, it runs on":     {200, true, 250 * time.Millisecond, false},
		"left, it has run":     {200, true, originTime + 200*time.Millisecond, false},
		"answered":             {200, false, 0, false},
		"failed":               {500, false, 0, false},
		"provably did not run": {503, false, 0, true},
	} {
		for _, product := range []string{"pay", "marked"} {
			t.Run(name+", "+product, func(t *testing.T) {
				t.Parallel()
				o := newOrigin(t, func(w http.ResponseWriter, r *http.Request) {
					io.ReadAll(r.Body)
					if row.status == 200 {
						time.Sleep(originTime)
					}
					if row.status == 503 {
						w.Header().Set("X-Not-Processed", "1")
					}
					w.WriteHeader(row.status)
					io.WriteString(w, "done")
				})
				p, _ := startWithHosts(t, nil, o, newHost(t, "h", answerHit))
				c, other := p.dial(t), p.dial(t)
				c.send(putRequest(product, "k", "a", 3000))
				if row.leaves {
					time.Sleep(50 * time.Millisecond)
					c.Close()
				} else {
					c.next()
				}
				time.Sleep(row.returns)
				first := o.originRequests()["a"]
				got := other.ask(putRequest(product, "k", "a", 3000))
				second := o.originRequests()["a"]
				if accepted := strings.HasPrefix(got, "SERVER_ERROR busy"); first < 1 || second > 0 && !row.accepted || accepted != row.accepted {
					t.Errorf("the origin got it %d times, then %d times; the second client got %q", first, second, got)
				}
				want := map[int]string{200: "HD Ob cdone", 500: "SERVER_ERROR failed", 503: got}
				expect(t, other.ask(putRequest(product, "k", "b", 3000)), want[row.status]) // another id is served as usual
			})
		}
	}
}

// upgradingOrigin is a deployment whose processes are upgraded, with an origin that takes some time for writes whose key is "slow".
type upgradingOrigin struct {
	*testing.T
	*originServer
	dir    string
	config map[string]any
	counts map[string]int // requests at the origin, by their id
}

// slowWriteTime is how long the origin takes for a slow write.
const slowWriteTime = 1500 * time.Millisecond

func newUpgradingOrigin(t *testing.T) *upgradingOrigin {
	o := newOrigin(t, func(w http.ResponseWriter, r *http.Request) {
		io.ReadAll(r.Body)
		if strings.HasSuffix(r.URL.Path, "/slow") {
			time.Sleep(slowWriteTime)
		}
		io.WriteString(w, "done")
	})
	o.requests = make(chan *http.Request, 10000)
	d := newDiscoveryServer(t)
	d.setHost("h", newHost(t, "h", answerHit).addr, "cache", "active")
	d.setHost("origin", serverAddr(o.Server), "origin", "active")
	return &upgradingOrigin{t, o, shortDir(t), deploymentConfig(d, freeAddr(t), nil), map[string]int{}}
}

// expectOnce checks that the origin has got each of the ids once, whoever sent it.
func (o *upgradingOrigin) expectOnce(ids ...string) {
	o.Helper()
	for id, n := range o.originRequests() {
		o.counts[id] += n
	}
	for _, id := range ids {
		if o.counts[id] != 1 {
			o.Errorf("the origin got %q %d times", id, o.counts[id])
		}
	}
}

// TestIDsInUpgrade guards against a write that runs twice because its id comes at the two processes of an upgrade: at the newer one while the
// older one has it out, or has had it, before the upgrade or while it drains; at the older one after the newer one; and at the process that
// takes over after that.
func TestIDsInUpgrade(t *testing.T) {
	t.Parallel()
	o := newUpgradingOrigin(t)
	write := func(key, id string) string { return putRequest("pay", key, id, 3000) }
	older, _ := launchReady(t, o.config, o.dir)
	c := older.dial(t)
	expect(t, c.ask(write("k", "before")), "HD Obefore cdone")
	c.send(write("slow", "out"))
	waitUntil(t, "the slow write at the origin", func() bool { return len(o.requests) > 1 })
	newer, _ := launchReady(t, o.config, o.dir)
	older.Process.Signal(syscall.SIGTERM)
	older.waitForLog(t, `"phase":"draining"`)
	other := newer.dial(t) // the older process takes no connections any more
	for _, id := range []string{"before", "out"} {
		if got := other.ask(write("k", id)); !strings.HasPrefix(got, "CLIENT_ERROR id ") {
			t.Errorf("%q at the newer process: %q", id, got)
		}
	}
	c.send(write("k", "draining"))
	waitUntil(t, "the write of the draining process at the origin", func() bool { return len(o.requests) > 2 })
	if got := other.ask(write("k", "draining")); !strings.HasPrefix(got, "CLIENT_ERROR id ") {
		t.Errorf("at the newer process: %q", got)
	}
	expect(t, other.ask(write("k", "newer")), "HD Onewer cdone")
	c.send(write("k", "newer"))
	expect(t, other.ask(getRequest("k", "out", 900)), "VA 10 Oout|value of k") // it has no effect
	expect(t, c.next(), "HD Oout cdone")
	expect(t, c.next(), "HD Odraining cdone")
	if got := c.next(); !strings.HasPrefix(got, "CLIENT_ERROR id ") {
		t.Errorf("at the older process: %q", got)
	}
	if code := older.waitForExit(t); code != 0 {
		t.Errorf("exit code %d", code)
	}
	newest, _ := launchReady(t, o.config, o.dir)
	newer.Process.Signal(syscall.SIGTERM)
	newer.waitForExit(t)
	other = newest.dial(t)
	for _, id := range []string{"before", "out", "draining", "newer"} {
		if got := other.ask(write("k", id)); !strings.HasPrefix(got, "CLIENT_ERROR id ") {
			t.Errorf("%q after another upgrade: %q", id, got)
		}
	}
	expect(t, other.ask(write("k", "last")), "HD Olast cdone")
	o.expectOnce("before", "out", "draining", "newer", "last")
}

// TestSameIDAtBothProcesses guards against two writes with one id that begin at the two processes of an upgrade at the same time and both run,
// or both do not.
func TestSameIDAtBothProcesses(t *testing.T) {
	t.Parallel()
	o := newUpgradingOrigin(t)
	older, _ := launchReady(t, o.config, o.dir)
	held := older.dial(t)
	held.send(putRequest("pay", "slow", "held", 3000)) // the older process answers on this connection until the slow write has ended
	waitUntil(t, "the slow write at the origin", func() bool { return len(o.requests) > 0 })
	newer, _ := launchReady(t, o.config, o.dir)
	older.Process.Signal(syscall.SIGTERM)
	older.waitForLog(t, `"phase":"draining"`)
	other := newer.dial(t)
	const count = 300
	var ids []string
	served := 0
	for i := range count {
		ids = append(ids, fmt.Sprint("both", i))
		held.send(putRequest("pay", "k", ids[i], 3000))
		if strings.HasPrefix(other.ask(putRequest("pay", "k", ids[i], 3000)), "HD ") {
			served++
		}
	}
	expect(t, held.next(), "HD Oheld cdone")
	for range count {
		if strings.HasPrefix(held.next(), "HD ") {
			served++
		}
	}
	if served != count {
		t.Errorf("%d writes were served, expected %d", served, count)
	}
	o.expectOnce(ids...)
}

// TestIDsBesideStoppedOrKilledProcess guards against an older process that stands still and keeps the newer one's writes from being served, or
// runs them again when it goes on; and against ids that are forgotten when it is killed.
func TestIDsBesideStoppedOrKilledProcess(t *testing.T) {
	t.Parallel()
	o := newUpgradingOrigin(t)
	older, _ := launchReady(t, o.config, o.dir)
	c := older.dial(t)
	c.send(putRequest("pay", "slow", "held", 3000))
	waitUntil(t, "the slow write at the origin", func() bool { return len(o.requests) > 0 })
	newer, _ := launchReady(t, o.config, o.dir)
	older.Process.Signal(syscall.SIGTERM)
	older.waitForLog(t, `"phase":"draining"`)
	other := newer.dial(t)
	older.Process.Signal(syscall.SIGSTOP)
	var ids []string
	for i := range 50 {
		ids = append(ids, fmt.Sprint("stopped", i))
		expect(t, other.ask(putRequest("pay", "k", ids[i], 900)), "HD O"+ids[i]+" cdone")
	}
	older.Process.Signal(syscall.SIGCONT)
	time.Sleep(200 * time.Millisecond) // far longer than it takes to read what it was told meanwhile
	c.send(putRequest("pay", "k", "stopped0", 900) + putRequest("pay", "k", "stopped49", 900) + putRequest("pay", "slow", "killed", 3000))
	expect(t, c.next(), "HD Oheld cdone")
	for range 2 {
		if got := c.next(); !strings.HasPrefix(got, "CLIENT_ERROR id ") {
			t.Errorf("at the older process: %q", got)
		}
	}
	waitUntil(t, "the last write at the origin", func() bool {
		o.expectOnce()
		return o.counts["killed"] > 0
	})
	time.Sleep(50 * time.Millisecond) // far longer than the newer process takes to be told
	older.Process.Kill()
	if got := other.ask(putRequest("pay", "k", "killed", 900)); !strings.HasPrefix(got, "CLIENT_ERROR id ") {
		t.Errorf("at the newer process after the older one was killed: %q", got)
	}
	o.expectOnce(append(ids, "held", "killed")...)
}
