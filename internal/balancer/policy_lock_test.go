package balancer

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"streamrail/internal/discovery"
	"streamrail/policy"
)

// ask sends one request over a new connection and returns its answer's line.
func (f *faultyHosts) ask(t *testing.T, request, id string, wait time.Duration) string {
	t.Helper()
	conn, err := net.Dial("tcp", f.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	io.WriteString(conn, request)
	f.attemptLog.recordRequests([]string{id}, wait)
	conn.SetReadDeadline(time.Now().Add(testTimeout))
	line, err := bufio.NewReader(conn).ReadString('\n')
	if err != nil {
		t.Fatalf("%s: %v in place of an answer", id, err)
	}
	return strings.TrimSpace(line)
}

// TestAnswersWhilePolicyIsBlocked holds the policy's lock for longer than the requests' timeouts. Each request must still be answered in
// time, with busy if nothing was sent and failed if an attempt may have run, and nothing may be sent for it once the lock is free.
func TestAnswersWhilePolicyIsBlocked(t *testing.T) {
	const wait = 150 * time.Millisecond
	read := func(id string) string { return fmt.Sprintf("mg k v O%s Pc=read,d=%d\r\n", id, wait.Milliseconds()) }
	pay := func(id string) string {
		return fmt.Sprintf("ms k 5 O%s Pc=pay,d=%d,k=1\r\nhello\r\n", id, wait.Milliseconds())
	}
	f := newFaultyHosts(t, 1, injectedFaults{answers: []string{"hang"}, cachesTakeWrites: true})
	for name, text := range map[string]func(string) string{"read": read, "pay": pay} {
		f.mu.Lock()
		got := f.ask(t, text(name+"-early"), name+"-early", wait)
		f.mu.Unlock()
		if !strings.HasPrefix(got, "SERVER_ERROR busy") {
			t.Errorf("%s without a decision: %q", name, got)
		}
		answered := make(chan string)
		go func() { answered <- f.ask(t, text(name+"-out"), name+"-out", wait) }()
		waitUntil(t, func() bool { return f.attemptsFor(name+"-out") > 0 })
		f.mu.Lock()
		got = <-answered
		f.mu.Unlock()
		if got != "SERVER_ERROR failed" {
			t.Errorf("%s with an attempt in flight: %q", name, got)
		}
		waitUntil(t, func() (none bool) { f.callPolicy(func() { none = len(f.requests) == 0 }); return none })
		if n := f.attemptsFor(name + "-early"); n != 0 {
			t.Errorf("%s: %d attempts after its answer", name, n)
		}
	}
	if f.delays.answeredByTimer.Load() != 4 {
		t.Errorf("%d answers by the requests' deadline timers, want 4", f.delays.answeredByTimer.Load())
	}
}

// attemptsFor counts the attempts that servers received for a request.
func (f *faultyHosts) attemptsFor(id string) (n int) {
	f.attemptLog.mu.Lock()
	defer f.attemptLog.mu.Unlock()
	for _, a := range f.attemptLog.attempts {
		if a.id == id {
			n++
		}
	}
	return n
}

// waitUntil waits until a condition holds and fails the test if it takes too long.
func waitUntil(t *testing.T, ok func() bool) {
	t.Helper()
	for began := time.Now(); !ok(); time.Sleep(time.Millisecond) {
		if time.Since(began) > testTimeout {
			t.Fatal("the condition is not met in time")
		}
	}
}

// TestPostedEventsAreHandled posts events from many goroutines while others hold the lock. Each event must be processed once, in the
// order of its goroutine, and none may be left when all goroutines are done.
func TestPostedEventsAreHandled(t *testing.T) {
	const goroutines, events = 16, 500
	f := newFaultyHosts(t, 1, injectedFaults{answers: []string{"hit"}, cachesTakeWrites: true})
	processed := make([]int, goroutines) // under mu
	var all sync.WaitGroup
	for g := range goroutines {
		all.Go(func() {
			for n := range events {
				if n%50 == 0 {
					f.callPolicy(func() {})
				}
				f.post(func() {
					if processed[g] != n {
						t.Errorf("event %d of goroutine %d was processed after %d others", n, g, processed[g])
					}
					processed[g]++
				})
			}
		})
	}
	all.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	for g, n := range processed {
		if n != events {
			t.Errorf("%d events of goroutine %d were processed", n, g)
		}
	}
}

// TestLongListInShortSteps applies complete lists of thousands of hosts: new, unchanged and half replaced. No event may occupy the policy
// for more than a small part of the time that the lists take. One of several runs must pass, as the machine may be busy.
func TestLongListInShortSteps(t *testing.T) {
	const hosts, runs, minRatio = 3200, 3, 20
	list := func(from int) (l discovery.List) {
		l.Snapshot = true
		for i := range hosts {
			l.Hosts = append(l.Hosts, discovery.Host{Addr: "127.0.0.1:1", HostEntry: policy.HostEntry{HostID: policy.HostID(fmt.Sprint("s-", from+i)), Size: 1}})
		}
		return l
	}
	for run := 1; ; run++ {
		f := newFaultyHosts(t, 1, injectedFaults{answers: []string{"hit"}, cachesTakeWrites: true})
		f.delays.handling.takeRecent()
		began := time.Now()
		f.applyHostList(policy.ListReplace, list(0))
		f.applyHostList(policy.ListReplace, list(0))
		f.applyHostList(policy.ListReplace, list(hosts/2))
		took, held := time.Since(began), f.delays.handling.takeRecent()
		t.Logf("of %v the longest event occupied the policy for %v", took, held)
		if held < took/minRatio {
			return
		}
		if run == runs {
			t.Fatalf("one event occupied the policy for %v of %v", held, took)
		}
	}
}
