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

// TestAnswersWhilePolicyIsBlocked keeps the decisions for longer than requests have: each is answered in its time all the same,
// busy where nothing was sent and failed where something may have run, and nothing is sent for it once they are free again.
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
			t.Errorf("%s that no decision was made of: %q", name, got)
		}
		answered := make(chan string)
		go func() { answered <- f.ask(t, text(name+"-out"), name+"-out", wait) }()
		waitUntil(t, func() bool { return f.attemptsFor(name+"-out") > 0 })
		f.mu.Lock()
		got = <-answered
		f.mu.Unlock()
		if got != "SERVER_ERROR failed" {
			t.Errorf("%s with an attempt out: %q", name, got)
		}
		waitUntil(t, func() (none bool) { f.callPolicy(func() { none = len(f.requests) == 0 }); return none })
		if n := f.attemptsFor(name + "-early"); n != 0 {
			t.Errorf("%s: %d attempts after its answer", name, n)
		}
	}
	if f.delays.answeredByTimer.Load() != 4 {
		t.Errorf("%d answers by the requests' own timers", f.delays.answeredByTimer.Load())
	}
}

// attemptsFor counts what servers were sent for a request.
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

func waitUntil(t *testing.T, ok func() bool) {
	t.Helper()
	for began := time.Now(); !ok(); time.Sleep(time.Millisecond) {
		if time.Since(began) > testTimeout {
			t.Fatal("it never comes")
		}
	}
}

// TestPostedEventsAreHandled posts from many goroutines while others hold the lock: each event is heard once, in the order of its
// goroutine, and none is left when all are done.
func TestPostedEventsAreHandled(t *testing.T) {
	const goroutines, events = 16, 500
	f := newFaultyHosts(t, 1, injectedFaults{answers: []string{"hit"}, cachesTakeWrites: true})
	heard := make([]int, goroutines) // under mu
	var all sync.WaitGroup
	for g := range goroutines {
		all.Go(func() {
			for n := range events {
				if n%50 == 0 {
					f.callPolicy(func() {})
				}
				f.post(func() {
					if heard[g] != n {
						t.Errorf("event %d of goroutine %d is heard after %d others", n, g, heard[g])
					}
					heard[g]++
				})
			}
		})
	}
	all.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	for g, n := range heard {
		if n != events {
			t.Errorf("%d events of goroutine %d were heard", n, g)
		}
	}
}

// TestLongListInShortSteps applies whole lists of thousands of hosts, new, as they were and half replaced: no event holds the
// decisions for more than a small part of the time that the lists take. Of several tries the best counts, as the machine may be
// busy.
func TestLongListInShortSteps(t *testing.T) {
	const hosts, tries, part = 3200, 3, 20
	list := func(from int) (l discovery.List) {
		l.Whole = true
		for i := range hosts {
			l.Hosts = append(l.Hosts, discovery.Host{Addr: "127.0.0.1:1", Entry: policy.Entry{Cache: policy.CacheID(fmt.Sprint("s-", from+i)), Size: 1}})
		}
		return l
	}
	for try := 1; ; try++ {
		f := newFaultyHosts(t, 1, injectedFaults{answers: []string{"hit"}, cachesTakeWrites: true})
		f.delays.handling.takeRecent()
		began := time.Now()
		f.applyHostList(policy.ListReplace, list(0))
		f.applyHostList(policy.ListReplace, list(0))
		f.applyHostList(policy.ListReplace, list(hosts/2))
		took, held := time.Since(began), f.delays.handling.takeRecent()
		t.Logf("of %v the longest event held the decisions for %v", took, held)
		if held < took/part {
			return
		}
		if try == tries {
			t.Fatalf("one event held the decisions for %v of %v", held, took)
		}
	}
}
