package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// maxDeadlineExcess is what the deadline that a server is told may exceed the client's by, at the most.
const maxDeadlineExcess = 150 * time.Millisecond

// deadlineRecorder holds what clients sent, and what servers were told of each request.
type deadlineRecorder struct {
	mu        sync.Mutex
	deadlines map[string]time.Time // of the clients, by request
	attempts  []receivedDeadline
}

type receivedDeadline struct {
	id         string
	receivedAt time.Time // the server had its last byte
	timeLeft   time.Duration
}

func (t *deadlineRecorder) recordAttempt(id, attrs string, at time.Time) {
	_, digits, _ := strings.Cut(attrs, "d=")
	digits, _, _ = strings.Cut(digits, ",")
	ms, _ := strconv.Atoi(digits)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.attempts = append(t.attempts, receivedDeadline{id, at, time.Duration(ms) * time.Millisecond})
}

func (t *deadlineRecorder) recordRequest(id string, deadline time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.deadlines[id] = deadline
}

// exceeding are the attempts that were told more than the slack beyond their clients' deadlines.
func (t *deadlineRecorder) exceeding() (worst time.Duration, attempts []receivedDeadline) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, a := range t.attempts {
		if excess := a.receivedAt.Add(a.timeLeft).Sub(t.deadlines[a.id]); excess > maxDeadlineExcess {
			attempts = append(attempts, a)
			worst = max(worst, excess)
		}
	}
	return worst, attempts
}

// TestStoppedProcesses stops several processes again and again, for 0.1 to 2 s, while clients write on: servers are told no more
// than is left, whether a request came before a stop, within it or had its first attempt over before. One process is killed each time.
func TestStoppedProcesses(t *testing.T) {
	t.Parallel()
	const (
		processes = 3
		stops     = 5
		requests  = 12 // for each process, between the ends of two stops
	)
	recorder := &deadlineRecorder{deadlines: map[string]time.Time{}}
	var rngMu sync.Mutex
	rng := rand.New(rand.NewPCG(7, 7))
	draw := func(n int) int {
		rngMu.Lock()
		defer rngMu.Unlock()
		return rng.IntN(n)
	}
	answer := func(cmd command) string {
		recorder.recordAttempt(cmd.id, cmd.line, cmd.receivedAt)
		switch draw(4) {
		case 0:
			time.Sleep(time.Duration(draw(300)) * time.Millisecond)
			return "SERVER_ERROR failed\r\n"
		case 1:
			return answerMiss(cmd)
		case 2:
			return answerWith("")(cmd)
		}
		return answerHit(cmd)
	}
	origin := newOrigin(t, func(w http.ResponseWriter, r *http.Request) {
		recorder.recordAttempt(r.Header.Get("X-Request-ID"), r.Header.Get("X-Attrs"), time.Now())
		time.Sleep(time.Duration(draw(200)) * time.Millisecond)
		if draw(2) == 0 {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		io.WriteString(w, "made")
	})
	testDone := make(chan struct{})
	t.Cleanup(func() { close(testDone) })
	go func() {
		for {
			select {
			case <-origin.requests:
			case <-testDone:
				return
			}
		}
	}()
	var hosts []*cacheHost
	for i := range 4 {
		hosts = append(hosts, newHost(t, "h"+strconv.Itoa(i), answer))
	}
	var fleet []*balancerProcess
	var lists []*discoveryServer
	for range processes {
		p, d := startWithHosts(t, nil, origin, hosts...)
		fleet, lists = append(fleet, p), append(lists, d)
	}
	var clients sync.WaitGroup
	for stop := range stops {
		for i, p := range fleet {
			stopTime := time.Duration(100+draw(1900)) * time.Millisecond
			for n := range requests {
				id := fmt.Sprintf("r%d-%d-%d", i, stop, n)
				delay := time.Duration(draw(int(stopTime/time.Millisecond)+200)) * time.Millisecond
				timeoutMs := 400 + draw(2500)
				clients.Go(func() {
					time.Sleep(delay)
					sendOneRequest(recorder, p.addr, id, timeoutMs)
				})
			}
			clients.Go(func() {
				time.Sleep(100 * time.Millisecond)
				p.Process.Signal(syscall.SIGSTOP)
				time.Sleep(stopTime)
				p.Process.Signal(syscall.SIGCONT)
			})
		}
		killed := stop % processes
		clients.Go(func() { // one of them in the middle of its work; it starts again under its address
			time.Sleep(600 * time.Millisecond)
			fleet[killed].Process.Kill()
		})
		clients.Wait()
		fleet[killed].waitForExit(t)
		fleet[killed] = launchServing(t, deploymentConfig(lists[killed], fleet[killed].addr, nil))
	}
	worst, exceeding := recorder.exceeding()
	// A stop that falls between the reading of the clock and the write, some microseconds of a second, cannot be made up for.
	const allowedExcesses = 1
	if len(exceeding) > allowedExcesses {
		t.Errorf("%d of %d attempts told more than was left, by %v at the most", len(exceeding), len(recorder.attempts), worst.Round(time.Millisecond))
	}
	if len(recorder.attempts) < processes*stops*requests/2 {
		t.Errorf("only %d attempts", len(recorder.attempts))
	}
}

// sendOneRequest sends one request over a connection of its own and waits for the answer, as long as its client would.
func sendOneRequest(recorder *deadlineRecorder, addr, id string, timeoutMs int) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return
	}
	defer c.Close()
	io.WriteString(c, getRequest("key-"+id, id, timeoutMs))
	deadline := time.Now().Add(time.Duration(timeoutMs) * time.Millisecond)
	recorder.recordRequest(id, deadline)
	c.SetReadDeadline(deadline)
	bufio.NewReader(c).ReadString('\n')
}
