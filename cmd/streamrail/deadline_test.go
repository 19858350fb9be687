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

// maxDeadlineExcess is the most by which the deadline that a server receives may be later than the client's.
const maxDeadlineExcess = 150 * time.Millisecond

// deadlineRecorder records the deadlines of the clients and the remaining times that servers received with the attempts.
type deadlineRecorder struct {
	mu        sync.Mutex
	deadlines map[string]time.Time // of the clients, by request id
	attempts  []receivedDeadline
}

type receivedDeadline struct {
	id         string
	receivedAt time.Time // when the server had received the last byte
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

// exceeding returns the attempts with more time than their clients' deadlines and maxDeadlineExcess allow, and the largest excess.
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

// TestStoppedProcesses stops several processes repeatedly, for 0.1 to 2 s, while clients go on sending. Servers must receive no more
// time than is left, whether a request arrived before or during a stop, and also if its first attempt had ended before the stop. One
// process is killed in each round.
func TestStoppedProcesses(t *testing.T) {
	t.Parallel()
	const (
		processes = 3
		stops     = 5
		requests  = 12 // for each process and stop
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
		clients.Go(func() { // one process is killed while it serves requests, and restarted later at its address
			time.Sleep(600 * time.Millisecond)
			fleet[killed].Process.Kill()
		})
		clients.Wait()
		fleet[killed].waitForExit(t)
		fleet[killed] = launchServing(t, deploymentConfig(lists[killed], fleet[killed].addr, nil))
	}
	worst, exceeding := recorder.exceeding()
	// A stop that falls into the few microseconds between the reading of the clock and the write cannot be corrected for.
	const allowedExcesses = 1
	if len(exceeding) > allowedExcesses {
		t.Errorf("%d of %d attempts received more time than was left, by %v at most", len(exceeding), len(recorder.attempts), worst.Round(time.Millisecond))
	}
	if len(recorder.attempts) < processes*stops*requests/2 {
		t.Errorf("only %d attempts", len(recorder.attempts))
	}
}

// sendOneRequest sends one request over a new connection and waits for the answer until the client timeout.
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
