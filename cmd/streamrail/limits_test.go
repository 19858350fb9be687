package main

import (
	"encoding/json"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"streamrail/internal/admin"
)

// quota returns what a balancer's admin API shows of the one customer's quota.
func (m *fleetMember) quota(t *testing.T) (l admin.Limit) {
	t.Helper()
	var all admin.Limits
	status, text := callAdmin(t, m.adminAddr, "GET", "/api/limits", "")
	if err := json.Unmarshal([]byte(text), &all); status != 200 || err != nil || len(all.Limits) != 1 {
		t.Fatalf("%d %s %v", status, text, err)
	}
	return all.Limits[0]
}

// waitForQuotaShare waits until a balancer's quota share lies in a range and returns how long that took.
func (m *fleetMember) waitForQuotaShare(t *testing.T, low, high float64) time.Duration {
	t.Helper()
	began := time.Now()
	for l := m.quota(t); l.Part < low || l.Part > high; l = m.quota(t) {
		if time.Since(began) > waitTimeout {
			t.Fatalf("%s: %+v, expected a share of %v to %v", m.name, l, low, high)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(began)
}

// sendRequests sends the customer's requests to a balancer at the given rate until the returned function is called.
func (m *fleetMember) sendRequests(t *testing.T, ratePerSecond int) (stopRequests func()) {
	t.Helper()
	c := m.dial(t)
	stop := make(chan struct{})
	var done sync.WaitGroup
	done.Go(func() {
		c.SetDeadline(time.Now().Add(time.Minute))
		tick := time.NewTicker(time.Second / time.Duration(ratePerSecond))
		defer tick.Stop()
		for i := 0; ; i++ {
			select {
			case <-tick.C:
				fmt.Fprintf(c.Conn, "mg k%d v O%s-%d Pc=read,t=kiosks,d=2000\r\n", i%50, m.name, i)
				if c.next() == "" {
					return
				}
			case <-stop:
				return
			}
		}
	})
	return func() { close(stop); done.Wait() }
}

// newFleetWithQuota starts a fleet of five balancers that can lend each other shares of one customer's quota.
func newFleetWithQuota(t *testing.T) *testFleet {
	return newFleet(t, 5, "limits = true\nlease = \"1s\"\n", map[string]any{"customers": []any{map[string]any{"name": "kiosks", "allowancePerS": 100}}})
}

// TestLimitsLopsided sends all requests of a customer to one balancer, then to another: the quota moves to where the requests are.
// With every link cut each balancer has an equal share again once the leases have ended.
func TestLimitsLopsided(t *testing.T) {
	f := newFleetWithQuota(t)
	for _, m := range f.members {
		m.waitForQuotaShare(t, 0.19, 0.21) // a balancer that has just started has only its minimum share for one lease
	}
	for _, m := range []*fleetMember{f.members[0], f.members[4]} {
		stopRequests := m.sendRequests(t, 100)
		if d := m.waitForQuotaShare(t, 0.9, 1); d > 4*time.Second { // twice the documented time, as test machines are busy
			t.Errorf("%s has nine tenths of the quota only after %v", m.name, d)
		}
		sum := 0.0
		for _, member := range f.members {
			sum += member.quota(t).Part
		}
		if sum > 1.0001 {
			t.Errorf("the shares add up to %v", sum)
		}
		stopRequests()
	}
	stopRequests := f.members[1].sendRequests(t, 100)
	defer stopRequests()
	f.members[1].waitForQuotaShare(t, 0.9, 1)
	f.relays.Cut(true, func(int, int) bool { return true })
	for _, m := range f.members {
		m.waitForQuotaShare(t, 0.199, 0.201)
	}
	f.relays.Cut(false, func(int, int) bool { return true })
	f.members[1].waitForQuotaShare(t, 0.9, 1)
}

// TestLimitsStallAndRestart checks that a borrower that is stopped for longer than its leases has none of them when it resumes, and that
// a lender that is killed and restarted has only its minimum share for as long as its earlier process may have lent the rest.
func TestLimitsStallAndRestart(t *testing.T) {
	f := newFleetWithQuota(t)
	for _, m := range f.members {
		m.waitForQuotaShare(t, 0.19, 0.21)
	}
	stopRequests := f.members[0].sendRequests(t, 100)
	defer stopRequests()
	f.members[0].waitForQuotaShare(t, 0.9, 1)
	f.members[0].Process.Signal(syscall.SIGSTOP)
	time.Sleep(1500 * time.Millisecond)
	for _, m := range f.members[1:] {
		m.waitForQuotaShare(t, 0.19, 0.21) // the lent shares are back
	}
	f.members[0].Process.Signal(syscall.SIGCONT)
	if l := f.members[0].quota(t); l.Part > 0.6 { // its own share and what it can have borrowed since it resumed
		t.Errorf("the balancer uses shares borrowed before it was stopped: %+v", l)
	}
	f.members[0].waitForQuotaShare(t, 0.9, 1)
	f.members[3].Process.Kill()
	<-f.members[3].exited
	f.members[3].exited <- nil
	f.members[3].start(t)
	if l := f.members[3].quota(t); !l.RecentlyStarted || l.Part > 0.2*0.08+0.0001 || l.Lent > 0 {
		t.Errorf("the share of a balancer that has just started: %+v", l)
	}
	f.members[0].waitForQuotaShare(t, 0.9, 1)
}

// TestLimitsUpgrade checks that each of the two processes of an upgrade has at most half of the balancer's own share and borrows
// nothing, and that the newer one borrows again once the older one has ended.
func TestLimitsUpgrade(t *testing.T) {
	f := newFleetWithQuota(t)
	for _, m := range f.members {
		m.waitForQuotaShare(t, 0.19, 0.21)
	}
	stopRequests := f.members[0].sendRequests(t, 100)
	f.members[0].waitForQuotaShare(t, 0.9, 1)
	stopRequests()
	older := f.members[0].upgrade(t)
	if l := f.members[0].quota(t); l.Part > 0.1 || l.Borrowed > 0 {
		t.Errorf("while the older process still runs: %+v", l)
	}
	older.Process.Signal(syscall.SIGTERM)
	older.waitForExit(t)
	stopRequests = f.members[0].sendRequests(t, 100) // only now: the older process could still have accepted the connection before
	defer stopRequests()
	f.members[0].waitForQuotaShare(t, 0.9, 1)
}
