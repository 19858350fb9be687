package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"streamrail/internal/admin"
)

// told waits until a balancer hears of one host that it is bad, or of none.
func (m *mate) told(t *testing.T, host string) (e admin.Evidence) {
	t.Helper()
	for began := time.Now(); time.Since(began) < 2*patience; time.Sleep(20 * time.Millisecond) {
		status, text := atDoor(t, m.door, "GET", "/api/evidence", "")
		e = admin.Evidence{}
		if err := json.Unmarshal([]byte(text), &e); status != http.StatusOK || err != nil {
			t.Fatalf("%d %s %v", status, text, err)
		}
		if host == "" && len(e.Hosts) == 0 || len(e.Hosts) == 1 && e.Hosts[0].Host == host {
			return e
		}
	}
	t.Fatalf("%s is never told of %q: %+v", m.name, host, e)
	return e
}

// What three balancers find out about a host that fails, one of them stopped and one killed right after, the other two know
// before their first call, also one that was born after it; and all forget it in time.
func TestEvidence(t *testing.T) {
	f := newFleet(t, 5, "evidence = true\n", nil)
	bad := newHost(t, "bad", say("SERVER_ERROR failed\r\n"))
	f.list.set("bad", bad.addr, "cache", "active")
	for _, id := range []string{"x", "y", "z"} {
		f.list.set(id, newHost(t, id, hit).addr, "cache", "active")
	}
	f.list.knows(t)
	calls := 0
	call := func(m *mate, n int) {
		c := m.dial(t)
		defer c.Close()
		for i := range n {
			calls++
			c.ask(get(fmt.Sprint("key", i), fmt.Sprint("e", calls), 900))
		}
	}
	f.all[4].Process.Kill()
	f.all[4].Process.Wait()
	for _, m := range f.all[:3] {
		call(m, 60)
	}
	before := bad.count()
	if before < 3 {
		t.Fatalf("%d calls at the bad host", before)
	}
	if e := f.all[3].told(t, "bad"); e.Hosts[0].Witnesses < 2 {
		t.Errorf("%+v", e)
	}
	f.all[1].Process.Signal(syscall.SIGSTOP)
	f.all[4].start(t)
	f.all[4].told(t, "bad")
	for _, m := range f.all[3:] {
		call(m, 60)
	}
	if n := bad.count() - before; n > 2 { // each by itself sends at least its first one there; a trial is drawn now and then
		t.Errorf("%d calls at the bad host from two that were told", n)
	}
	f.all[1].Process.Signal(syscall.SIGCONT)
	for _, m := range f.all {
		m.told(t, "")
		m.says(t, "other balancers do not call this host bad any more")
	}
}

// Without the key nothing is told: the door says so, and no other topic is spoken.
func TestEvidenceOff(t *testing.T) {
	f := newFleet(t, 2, "", nil)
	status, text := atDoor(t, f.all[0].door, "GET", "/api/evidence", "")
	if status != http.StatusNotFound {
		t.Errorf("%d %s", status, text)
	}
}
