package main

import (
	"fmt"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// TestClientGoneWhileStopped stops the process while attempts are in flight. Their clients close and the attempts fail before the
// process resumes. No further attempt may begin, whichever of the two events the process handles first.
func TestClientGoneWhileStopped(t *testing.T) {
	t.Parallel()
	const rounds, clients = 6, 8
	var attempts atomic.Int64
	var hosts []*cacheHost
	for i := range 3 {
		hosts = append(hosts, newHost(t, fmt.Sprint("h", i), func(cmd command) string {
			attempts.Add(1)
			time.Sleep(200 * time.Millisecond)
			return "SERVER_ERROR failed\r\n"
		}))
	}
	p, _ := startWithHosts(t, nil, newOrigin(t, nil), hosts...)
	for round := range rounds {
		attempts.Store(0)
		var open []*client
		for i := range clients {
			c := p.dial(t)
			c.send(getRequest(fmt.Sprint("k", i), fmt.Sprintf("r%d-%d", round, i), 3000))
			open = append(open, c)
		}
		for began := time.Now(); attempts.Load() < clients; time.Sleep(time.Millisecond) {
			if time.Since(began) > waitTimeout {
				t.Fatalf("%d of %d first attempts began", attempts.Load(), clients)
			}
		}
		p.Process.Signal(syscall.SIGSTOP)
		time.Sleep(50 * time.Millisecond)
		for _, c := range open {
			c.Close()
		}
		time.Sleep(400 * time.Millisecond)
		p.Process.Signal(syscall.SIGCONT)
		time.Sleep(200 * time.Millisecond)
		if n := attempts.Load(); n != clients {
			t.Errorf("round %d: %d attempts began after their clients had gone", round, n-clients)
		}
	}
}
