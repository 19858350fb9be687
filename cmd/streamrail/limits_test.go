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

// quota is what a balancer's door says of the one tenant's allowance.
func (m *fleetMember) quota(t *testing.T) (l admin.Limit) {
	t.Helper()
	var all admin.Limits
	status, text := callAdmin(t, m.adminAddr, "GET", "/api/limits", "")
	if err := json.Unmarshal([]byte(text), &all); status != 200 || err != nil || len(all.Limits) != 1 {
		t.Fatalf("%d %s %v", status, text, err)
	}
	return all.Limits[0]
}

// waitForQuotaShare waits until a balancer's part lies in a range, and tells how long that took.
func (m *fleetMember) waitForQuotaShare(t *testing.T, low, high float64) time.Duration {
	t.Helper()
	began := time.Now()
	for l := m.quota(t); l.Part < low || l.Part > high; l = m.quota(t) {
		if time.Since(began) > waitTimeout {
			t.Fatalf("%s: %+v, expected a part of %v to %v", m.name, l, low, high)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(began)
}

// sendRequests sends requests of the tenant to a balancer, so many a second, until it is told to end.
func (m *fleetMember) sendRequests(t *testing.T, perS int) (end func()) {
	t.Helper()
	c := m.dial(t)
	stop := make(chan struct{})
	var done sync.WaitGroup
	done.Go(func() {
		c.SetDeadline(time.Now().Add(time.Minute))
		tick := time.NewTicker(time.Second / time.Duration(perS))
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

// newFleetWithQuota is a fleet of five with one tenant, whose parts may move.
func newFleetWithQuota(t *testing.T) *testFleet {
	return newFleet(t, 5, "limits = true\nlease = \"1s\"\n", map[string]any{"customers": []any{map[string]any{"name": "kiosks", "allowancePerS": 100}}})
}

// A tenant's allowance is where its calls are: all come to one balancer, then to another. With every link cut each has its equal
// part after a lease.
func TestLimitsLopsided(t *testing.T) {
	f := newFleetWithQuota(t)
	for _, m := range f.members {
		m.waitForQuotaShare(t, 0.19, 0.21) // newborns have their floor for a lease
	}
	for _, m := range []*fleetMember{f.members[0], f.members[4]} {
		stopRequests := m.sendRequests(t, 100)
		if d := m.waitForQuotaShare(t, 0.9, 1); d > 4*time.Second { // twice what is promised: machines are busy
			t.Errorf("%s has nine tenths after %v", m.name, d)
		}
		sum := 0.0
		for _, member := range f.members {
			sum += member.quota(t).Part
		}
		if sum > 1.0001 {
			t.Errorf("parts add up to %v", sum)
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

// A taker that stands still for longer than its leases has none of them when it goes on; a giver that is killed and started again
// under its name has its floor only, for as long as its life before may have lent the rest.
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
		m.waitForQuotaShare(t, 0.19, 0.21) // what was lent is back
	}
	f.members[0].Process.Signal(syscall.SIGCONT)
	if l := f.members[0].quota(t); l.Part > 0.6 { // its own, and at the most what it was lent anew since it went on
		t.Errorf("it uses what it was lent before it stood still: %+v", l)
	}
	f.members[0].waitForQuotaShare(t, 0.9, 1)
	f.members[3].Process.Kill()
	<-f.members[3].exited
	f.members[3].exited <- nil
	f.members[3].start(t)
	if l := f.members[3].quota(t); !l.Newborn || l.Part > 0.2*0.08+0.0001 || l.Lent > 0 {
		t.Errorf("a newborn's part: %+v", l)
	}
	f.members[0].waitForQuotaShare(t, 0.9, 1)
}

// While two processes are one balancer each has at the most half of a home part; the newer one goes on borrowing when the older
// one has ended.
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
		t.Errorf("beside an older process: %+v", l)
	}
	older.Process.Signal(syscall.SIGTERM)
	older.waitForExit(t)
	stopRequests = f.members[0].sendRequests(t, 100) // not before: the older one may still have taken the connection
	defer stopRequests()
	f.members[0].waitForQuotaShare(t, 0.9, 1)
}
