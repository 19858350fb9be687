package balancer

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// erraticDiscovery draws what becomes of each call until it is healed; then each new answer comes after a fixed delay.
type erraticDiscovery struct {
	fakeDiscovery
	healed atomic.Bool
	delay  time.Duration
	drawMu sync.Mutex
	rng    *rand.Rand
	open   int // connections
}

func (e *erraticDiscovery) draw(n int) int {
	e.drawMu.Lock()
	defer e.drawMu.Unlock()
	return e.rng.IntN(n)
}

// countOpen adds to the number of open connections and returns it.
func (e *erraticDiscovery) countOpen(change int) int {
	e.drawMu.Lock()
	defer e.drawMu.Unlock()
	e.open += change
	return e.open
}

// trackedConn is a connection that counts as open until the balancer closes it.
type trackedConn struct {
	net.Conn
	closeOnce sync.Once
	closed    func()
}

func (c *trackedConn) Close() error {
	c.closeOnce.Do(c.closed)
	return c.Conn.Close()
}

func (e *erraticDiscovery) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	if !e.healed.Load() && e.draw(8) == 0 { // comes up late, or never
		select {
		case <-time.After(time.Duration(e.draw(30)) * time.Second):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	c, err := e.fakeDiscovery.dial(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	e.countOpen(1)
	return &trackedConn{Conn: c, closed: func() { e.countOpen(-1) }}, nil
}

// answerErratically sends an answer, a part of it or none, some time after it was made.
func (e *erraticDiscovery) answerErratically(_ int, to net.Conn, text string) bool {
	if e.healed.Load() {
		time.Sleep(e.delay)
		return answer(to, text)
	}
	part := e.draw(len(text))
	switch e.draw(10) {
	case 0, 1: // lost
		return false
	case 2, 3: // slow, and perhaps older than what discovery has by then
		time.Sleep(time.Duration(e.draw(20_000)) * time.Millisecond)
	case 4:
		return answer(to, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
	case 5: // cut off
		answer(to, text[:part])
		to.Close()
		return true
	case 6: // stops for a while, or for ever
		answer(to, text[:part])
		time.Sleep(time.Duration(e.draw(20_000)) * time.Millisecond)
		return e.draw(2) == 0 && answer(to, text[part:])
	case 7: // trickles
		for i := range text {
			if !answer(to, text[i:i+1]) {
				return false
			}
			time.Sleep(500 * time.Millisecond)
		}
		return true
	case 8: // cannot be read
		return answer(to, text[:len(text)-1]+"?")
	}
	return answer(to, text)
}

// TestErraticDiscovery plays two discovery services that answer late, not at all, in parts or with older lists, and reloads from one to the
// other at random times. Once calls are answered again, though perhaps slowly, a leaving host must be avoided within six seconds, most of the
// grace and the time of two answers, and it must stay so; the calls left open stay few, and none is left at the end.
func TestErraticDiscovery(t *testing.T) {
	seeds, first := uint64(150), uint64(1)
	if text := os.Getenv("STREAMRAIL_SOAK"); text != "" {
		fmt.Sscan(text, &seeds, &first)
	}
	for seed := first; seed < first+seeds; seed++ {
		for _, mode := range []string{"pushed", "asked"} {
			t.Run(fmt.Sprint("seed ", seed, ", ", mode), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { playErraticDiscovery(t, seed, mode) })
			})
		}
	}
}

func playErraticDiscovery(t *testing.T, seed uint64, mode string) {
	const grace = time.Second
	rng := rand.New(rand.NewPCG(seed, 0))
	services := map[string]*erraticDiscovery{}
	for i, addr := range []string{"", "moved"} {
		e := &erraticDiscovery{rng: rand.New(rand.NewPCG(seed, uint64(i+1)))}
		e.began, e.changed, e.done, e.respond = time.Now(), make(chan struct{}), make(chan struct{}), e.answerErratically
		e.delay = []time.Duration{0, 300 * time.Millisecond, 3500 * time.Millisecond, 5500 * time.Millisecond, 9 * time.Second}[rng.IntN(5)]
		e.healed.Store(addr == "") // the first list comes
		services[addr] = e
	}
	b := startFollowing(func(ctx context.Context, network, addr string) (net.Conn, error) {
		return services[addr].dial(ctx, network, addr)
	}, mode, grace, seed)
	select {
	case <-b.listSource.ready:
	case <-time.After(time.Minute):
		t.Fatalf("no list; calls at %v", services[""].requestTimes)
	}
	synctest.Wait()
	services[""].healed.Store(false)
	defer endFollowing(b, &services[""].fakeDiscovery, &services["moved"].fakeDiscovery)

	drainAt, healAt := rng.IntN(60), rng.IntN(60)
	reloads := map[int]bool{}
	for range rng.IntN(4) {
		reloads[rng.IntN(60)] = true
	}
	slowest := max(services[""].delay, services["moved"].delay)
	// An answer on its way when the host begins to leave may not name it yet: the one after it does.
	allowed := 6 + int(math.Ceil(2*slowest.Seconds()))
	knownBy, avoided := max(drainAt, healAt), false
	for second := range 100 {
		if reloads[second] {
			b.moveBetween()
			knownBy = max(knownBy, second)
		}
		for _, e := range services {
			if second == drainAt {
				e.change(func() { e.draining = true })
			}
			if second == healAt {
				e.healed.Store(true)
			}
		}
		time.Sleep(time.Second - grace/10)
		synctest.Wait()
		now := b.avoidedHosts() == 1
		if second >= knownBy+allowed && !now || avoided && !now {
			t.Fatalf("host avoided after %d s: %v, before: %v; leaves at %d, calls answered again from %d, reloads %v; calls %v and %v",
				second+1, now, avoided, drainAt, healAt, reloads, services[""].requestTimes, services["moved"].requestTimes)
		}
		avoided = now
		for addr, e := range services {
			if open := e.countOpen(0); open > b.discoveryTimeouts.OpenCalls {
				t.Fatalf("%d connections open to %q", open, addr)
			}
		}
		time.Sleep(grace / 10)
	}
	b.cancel()
	synctest.Wait()
	for addr, e := range services {
		if open := e.countOpen(0); open != 0 {
			t.Errorf("%d connections open to %q at the end", open, addr)
		}
	}
}

// moveBetween reloads the configuration with the other of two addresses.
func (b *Balancer) moveBetween() {
	to := *b.deployment
	if b.listSource.currentAddr() == "" {
		to.Discovery = "moved"
	}
	b.Reload(&to)
}
