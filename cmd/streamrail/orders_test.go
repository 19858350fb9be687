package main

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"streamrail/internal/admin"
)

// hand gives an order at a balancer's door.
func (m *mate) hand(t *testing.T, call, host, more string) string {
	t.Helper()
	status, text := atDoor(t, m.door, "POST", "/api/"+call, fmt.Sprintf(`{"member":%q%s}`, host, more))
	if status != 200 {
		t.Fatalf("%s: %d %s", m.name, status, text)
	}
	return text
}

func (m *mate) orders(t *testing.T) (o admin.Orders) {
	t.Helper()
	status, text := atDoor(t, m.door, "GET", "/api/orders", "")
	if err := json.Unmarshal([]byte(text), &o); status != 200 || err != nil {
		t.Fatalf("%d %s %v", status, text, err)
	}
	return o
}

// avoids waits until a balancer avoids its one host, or uses it, and tells how long that took.
func (m *mate) avoids(t *testing.T, out bool) time.Duration {
	t.Helper()
	want, began := 0, time.Now()
	if out {
		want = 1
	}
	for figure(t, m.door, "app_cluster_unhealthy") != want {
		if time.Since(began) > patience {
			t.Fatalf("%s: out %v is not in force: %+v", m.name, out, m.orders(t))
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(began)
}

const soon = 2 * time.Second // twice what is promised: machines are busy

// An order given at one door is in force at all five, at one that stood still once it goes on, at one that was down once it is up, also
// when all were killed at once; and a withdrawn one stays withdrawn.
func TestOrders(t *testing.T) {
	f := newFleet(t, 5, "orders = true\n", nil)
	f.all[3].Process.Signal(syscall.SIGSTOP)
	f.all[4].Process.Kill()
	f.all[4].Process.Wait()
	f.all[0].hand(t, "exclude", "h", "")
	for _, m := range f.all[:3] {
		if d := m.avoids(t, true); d > soon {
			t.Errorf("%s: in force after %v", m.name, d)
		}
	}
	if text := f.all[0].hand(t, "exclude", "h", `,"wait_ms":1500`); !strings.Contains(text, "confirmed by 2 of 4 others; missing: n3, n4") {
		t.Error(text)
	}
	f.all[3].Process.Signal(syscall.SIGCONT)
	f.all[4].start(t)
	for _, m := range f.all[3:] {
		if d := m.avoids(t, true); d > soon {
			t.Errorf("%s: in force %v after it was back", m.name, d)
		}
	}
	for _, m := range f.all {
		m.Process.Kill()
		m.Process.Wait()
	}
	for _, m := range f.all {
		m.start(t)
		m.avoids(t, true)
	}
	f.all[2].sees(t, "whole", 4, 0)
	if text := f.all[2].hand(t, "include", "h", `,"wait_ms":4000`); !strings.Contains(text, "confirmed by all 4") {
		t.Error(text)
	}
	for _, m := range f.all {
		m.avoids(t, false)
	}
	f.all[1].Process.Kill()
	f.all[1].Process.Wait()
	f.all[1].start(t)
	f.all[1].sees(t, "whole", 4, 0)
	time.Sleep(500 * time.Millisecond)
	for _, m := range f.all {
		m.avoids(t, false)
	}
}

// Orders at doors on two sides of a cut: the one with the greater count holds everywhere, and both doors show the conflict.
func TestOrdersCut(t *testing.T) {
	f := newFleet(t, 5, "orders = true\n", nil)
	side := func(i int) bool { return i < 2 }
	f.ways.Cut(true, func(from, to int) bool { return side(from) != side(to) })
	f.all[0].hand(t, "exclude", "h", "")
	f.all[4].hand(t, "exclude", "h", "")
	f.all[4].hand(t, "include", "h", "")
	f.all[1].avoids(t, true)
	f.all[2].avoids(t, false)
	f.ways.Cut(false, func(int, int) bool { return true })
	for _, m := range f.all {
		if d := m.avoids(t, false); d > soon+2*time.Second { // and the time in which the sides find each other
			t.Errorf("%s: the one that won is in force after %v", m.name, d)
		}
	}
	for _, m := range []*mate{f.all[0], f.all[4]} {
		began := time.Now()
		for !slices.ContainsFunc(m.orders(t).Conflicts, func(c admin.Conflict) bool { return c.Won.Door == "n4" && c.Lost.Door == "n0" && c.Lost.Out }) {
			if time.Since(began) > patience {
				t.Fatalf("%s shows no conflict: %+v", m.name, m.orders(t))
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	sums := map[string]bool{}
	for _, m := range f.all {
		sums[m.orders(t).Sum] = true
	}
	if len(sums) != 1 {
		t.Errorf("%d kinds of orders after the cut", len(sums))
	}
}

// Without orders = true the door is as it was, and says so.
func TestOrdersOff(t *testing.T) {
	m := newFleet(t, 2, "", nil).all[0]
	if status, text := atDoor(t, m.door, "GET", "/api/orders", ""); status != 404 || !strings.Contains(text, "orders = true") {
		t.Errorf("%d %s", status, text)
	}
	if status, text := atDoor(t, m.door, "POST", "/api/exclude", `{"member":"h","wait_ms":5}`); status != 400 {
		t.Errorf("%d %s", status, text)
	}
	m.hand(t, "exclude", "h", "")
	m.avoids(t, true)
}
