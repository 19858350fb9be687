package balancer

import (
	"net"
	"testing"
	"time"

	"streamrail/internal/stall"
)

// The order of eviction decides which clients are affected: first those that have sent nothing, then those that sent one request and
// stay connected, then those that stalled within a command. Never evicted are connections with a request in flight, in regular use,
// just opened, or whose client writes a command in pieces.
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
	recordRequest := func(c *clientConn) { c.carriedCommand.Store(true); c.carriedRequest.Store(true) }
	slow := func(stopped time.Duration) func(c *clientConn) {
		return func(c *clientConn) { c.inCommand.Store(true); c.lastReadNanos.Store(int64(4*time.Second - stopped)) }
	}
	busy := add(3*time.Second, func(c *clientConn) { recordRequest(c); c.inFlight <- struct{}{} })
	slowWriter := add(4*time.Second, slow(300*time.Millisecond))
	reused := add(300*time.Millisecond, func(c *clientConn) { recordRequest(c); c.carriedSeveral.Store(true) })
	fresh := add(0, func(*clientConn) {})
	order := []*clientConn{
		add(time.Second, func(*clientConn) {}),          // silent
		add(100*time.Millisecond, func(*clientConn) {}), // silent, opened later
		add(900*time.Millisecond, recordRequest),        // idle
		add(50*time.Millisecond, recordRequest),         // idle for a shorter time
		add(4*time.Second, slow(1500*time.Millisecond)), // stalled within a command
	}
	for i, want := range order {
		if !cs.makeRoomFor(&clientConn{}) || !want.evicted.Load() {
			t.Fatalf("eviction %d chose another connection", i+1)
		}
	}
	for name, c := range map[string]*clientConn{"with a request in flight": busy, "whose client writes in pieces": slowWriter, "in regular use": reused, "just opened": fresh} {
		if c.evicted.Load() {
			t.Errorf("the connection that must not be evicted was: %s", name)
		}
	}
	if cs.makeRoomFor(&clientConn{}) {
		t.Error("room was made although no connection may be evicted")
	}
}

// The two processes of an upgrade may together hold no more than one alone, whatever each holds and whichever of them ends.
func TestProcessShares(t *testing.T) {
	for _, row := range [][2]int64{{0, 0}, {40, 0}, {30, 60}, {50, 50}, {80, 60}} {
		a, b := row[0], row[1]
		for _, sum := range []int64{processShare(100, a, b, false) + processShare(100, b, a, false), // both stay
			processShare(100, a, b, true) + 100 - processShare(100, a, b, true)} {
			if sum > max(100, a+b) {
				t.Errorf("processes that hold %d and %d may hold %d together", a, b, sum)
			}
		}
		if processShare(100, a, b, false) < a {
			t.Errorf("holding %d, with %d in the other process: the share is below what it holds", a, b)
		}
	}
}
