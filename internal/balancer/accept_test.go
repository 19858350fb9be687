package balancer

import (
	"net"
	"testing"
	"time"

	"streamrail/internal/stall"
)

// Who makes room first decides which clients are hurt: those that say nothing, then those that asked once and stay, then
// those that stopped within a command; never one with a call in hand, nor one that is used by turns or writes in pieces.
func TestRoomByStage(t *testing.T) {
	cs := newClients(100)
	cs.limit(9, 9)
	now := time.Now()
	add := func(age time.Duration, set func(c *client)) *client {
		l, r := net.Pipe()
		t.Cleanup(func() { l.Close(); r.Close() })
		c := newClient(l, stall.New(now), now)
		c.opened = now.Add(-age)
		c.noteIdle(now.Add(-age))
		set(c)
		cs.enter(c)
		return c
	}
	call := func(c *client) { c.used.Store(true); c.proven.Store(true) }
	slow := func(stopped time.Duration) func(c *client) {
		return func(c *client) { c.within.Store(true); c.readAt.Store(int64(4*time.Second - stopped)) }
	}
	busy := add(3*time.Second, func(c *client) { call(c); c.behind <- struct{}{} })
	writes := add(4*time.Second, slow(300*time.Millisecond))
	turns := add(300*time.Millisecond, func(c *client) { call(c); c.reused.Store(true) })
	fresh := add(0, func(*client) {})
	order := []*client{
		add(time.Second, func(*client) {}),              // silent
		add(100*time.Millisecond, func(*client) {}),     // silent, younger
		add(900*time.Millisecond, call),                 // idle
		add(50*time.Millisecond, call),                  // idle, younger
		add(4*time.Second, slow(1500*time.Millisecond)), // stopped
	}
	for i, want := range order {
		if !cs.room(&client{}) || !want.outOfRoom.Load() {
			t.Fatalf("the %d. to go is another", i+1)
		}
	}
	for name, c := range map[string]*client{"with a call in hand": busy, "writes in pieces": writes, "used by turns": turns, "fresh": fresh} {
		if c.outOfRoom.Load() {
			t.Errorf("the one %s was thrown out", name)
		}
	}
	if cs.room(&client{}) {
		t.Error("there is room though nobody may go")
	}
}

// Two processes of an upgrade may hold no more together than one, whatever each holds and whichever leaves.
func TestPortions(t *testing.T) {
	for _, row := range [][2]int64{{0, 0}, {40, 0}, {30, 60}, {50, 50}, {80, 60}} {
		a, b := row[0], row[1]
		for _, sum := range []int64{portion(100, a, b, false) + portion(100, b, a, false), // both stay
			portion(100, a, b, true) + 100 - portion(100, a, b, true)} {
			if sum > max(100, a+b) {
				t.Errorf("holding %d and %d they may hold %d", a, b, sum)
			}
		}
		if portion(100, a, b, false) < a {
			t.Errorf("holding %d, %d: what it has is taken from it", a, b)
		}
	}
}
