package balancer

import (
	"net"
	"testing"
	"time"

	"streamrail/internal/stall"
)

// Who makes room first decides which clients are hurt: those that say nothing, then those that asked once and stay, then
// those that stopped within a command; never one with a call in hand, nor one that is used by turns or writes in pieces.
func TestEvictionByStage(t *testing.T) {
	cs := newClientConns(100)
	cs.setLimits(9, 9)
	now := time.Now()
	add := func(age time.Duration, set func(c *clientConn)) *clientConn {
		l, r := net.Pipe()
		t.Cleanup(func() { l.Close(); r.Close() })
		c := newClientConn(l, stall.New(now), now)
		c.openedAt = now.Add(-age)
		c.noteIdle(now.Add(-age))
		set(c)
		cs.add(c)
		return c
	}
	carryRequest := func(c *clientConn) { c.carriedCommand.Store(true); c.carriedRequest.Store(true) }
	slow := func(stopped time.Duration) func(c *clientConn) {
		return func(c *clientConn) { c.inCommand.Store(true); c.lastReadNanos.Store(int64(4*time.Second - stopped)) }
	}
	busy := add(3*time.Second, func(c *clientConn) { carryRequest(c); c.inFlight <- struct{}{} })
	slowWriter := add(4*time.Second, slow(300*time.Millisecond))
	reused := add(300*time.Millisecond, func(c *clientConn) { carryRequest(c); c.carriedSeveral.Store(true) })
	fresh := add(0, func(*clientConn) {})
	order := []*clientConn{
		add(time.Second, func(*clientConn) {}),          // silent
		add(100*time.Millisecond, func(*clientConn) {}), // silent, younger
		add(900*time.Millisecond, carryRequest),         // idle
		add(50*time.Millisecond, carryRequest),          // idle, younger
		add(4*time.Second, slow(1500*time.Millisecond)), // stopped
	}
	for i, want := range order {
		if !cs.makeRoomFor(&clientConn{}) || !want.evicted.Load() {
			t.Fatalf("the %d. to go is another", i+1)
		}
	}
	for name, c := range map[string]*clientConn{"with a call in hand": busy, "writes in pieces": slowWriter, "used by turns": reused, "fresh": fresh} {
		if c.evicted.Load() {
			t.Errorf("the one %s was thrown out", name)
		}
	}
	if cs.makeRoomFor(&clientConn{}) {
		t.Error("there is room though nobody may go")
	}
}

// Two processes of an upgrade may hold no more together than one, whatever each holds and whichever leaves.
func TestPortions(t *testing.T) {
	for _, row := range [][2]int64{{0, 0}, {40, 0}, {30, 60}, {50, 50}, {80, 60}} {
		a, b := row[0], row[1]
		for _, sum := range []int64{processShare(100, a, b, false) + processShare(100, b, a, false), // both stay
			processShare(100, a, b, true) + 100 - processShare(100, a, b, true)} {
			if sum > max(100, a+b) {
				t.Errorf("holding %d and %d they may hold %d", a, b, sum)
			}
		}
		if processShare(100, a, b, false) < a {
			t.Errorf("holding %d, %d: what it has is taken from it", a, b)
		}
	}
}
