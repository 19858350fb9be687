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

// waitForBadHost waits until other balancers have reported exactly the given host to this one as bad, or no host if it is "".
func (m *fleetMember) waitForBadHost(t *testing.T, host string) (e admin.Observations) {
	t.Helper()
	for began := time.Now(); time.Since(began) < 2*waitTimeout; time.Sleep(20 * time.Millisecond) {
		status, text := callAdmin(t, m.adminAddr, "GET", "/api/evidence", "")
		e = admin.Observations{}
		if err := json.Unmarshal([]byte(text), &e); status != http.StatusOK || err != nil {
			t.Fatalf("%d %s %v", status, text, err)
		}
		if host == "" && len(e.Hosts) == 0 || len(e.Hosts) == 1 && e.Hosts[0].Host == host {
			return e
		}
	}
	t.Fatalf("%s never received that %q is bad: %+v", m.name, host, e)
	return e
}

// TestEvidence checks that three balancers' observations of a failing host reach the other two before their first request, although
// one of the three is stopped right after and one of the two starts only then. All of them forget the observations in time.
func TestEvidence(t *testing.T) {
	f := newFleet(t, 5, "evidence = true\n", nil)
	bad := newHost(t, "bad", answerWith("SERVER_ERROR failed\r\n"))
	f.discovery.setHost("bad", bad.addr, "cache", "active")
	for _, id := range []string{"x", "y", "z"} {
		f.discovery.setHost(id, newHost(t, id, answerHit).addr, "cache", "active")
	}
	f.discovery.waitForWatch(t)
	requests := 0
	sendRequests := func(m *fleetMember, n int) {
		c := m.dial(t)
		defer c.Close()
		for i := range n {
			requests++
			c.ask(getRequest(fmt.Sprint("key", i), fmt.Sprint("e", requests), 900))
		}
	}
	f.members[4].Process.Kill()
	f.members[4].Process.Wait()
	for _, m := range f.members[:3] {
		sendRequests(m, 60)
	}
	before := bad.count()
	if before < 3 {
		t.Fatalf("%d attempts at the bad host", before)
	}
	if e := f.members[3].waitForBadHost(t, "bad"); e.Hosts[0].BadReporters < 2 {
		t.Errorf("%+v", e)
	}
	f.members[1].Process.Signal(syscall.SIGSTOP)
	f.members[4].start(t)
	f.members[4].waitForBadHost(t, "bad")
	for _, m := range f.members[3:] {
		sendRequests(m, 60)
	}
	if n := bad.count() - before; n > 2 { // without observations each would make at least its first attempt there; a few trial attempts are random
		t.Errorf("%d attempts at the bad host by the two balancers that had received the observations", n)
	}
	f.members[1].Process.Signal(syscall.SIGCONT)
	for _, m := range f.members {
		m.waitForBadHost(t, "")
		m.waitForLog(t, "other balancers do not call this host bad any more")
	}
}

// TestEvidenceOff checks that the admin API answers 404 if the exchange of observations is not configured.
func TestEvidenceOff(t *testing.T) {
	f := newFleet(t, 2, "", nil)
	status, text := callAdmin(t, f.members[0].adminAddr, "GET", "/api/evidence", "")
	if status != http.StatusNotFound {
		t.Errorf("%d %s", status, text)
	}
}
