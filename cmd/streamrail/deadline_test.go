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

// deadlineSlack is what the deadline that a server is told may exceed the client's by, at the most.
const deadlineSlack = 150 * time.Millisecond

// toldDeadlines holds what clients sent, and what servers were told of each request.
type toldDeadlines struct {
	mu        sync.Mutex
	deadlines map[string]time.Time // of the clients, by request
	attempts  []toldDeadline
}

type toldDeadline struct {
	id   string
	at   time.Time // the server had its last byte
	told time.Duration
}

func (t *toldDeadlines) saw(id, attrs string, at time.Time) {
	_, digits, _ := strings.Cut(attrs, "d=")
	digits, _, _ = strings.Cut(digits, ",")
	ms, _ := strconv.Atoi(digits)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.attempts = append(t.attempts, toldDeadline{id, at, time.Duration(ms) * time.Millisecond})
}

func (t *toldDeadlines) sent(id string, deadline time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.deadlines[id] = deadline
}

// beyond are the attempts that were told more than the slack beyond their clients' deadlines.
func (t *toldDeadlines) beyond() (worst time.Duration, beyond []toldDeadline) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, a := range t.attempts {
		if by := a.at.Add(a.told).Sub(t.deadlines[a.id]); by > deadlineSlack {
			beyond = append(beyond, a)
			worst = max(worst, by)
		}
	}
	return worst, beyond
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
	told := &toldDeadlines{deadlines: map[string]time.Time{}}
	var chanceMu sync.Mutex
	chance := rand.New(rand.NewPCG(7, 7))
	draw := func(n int) int {
		chanceMu.Lock()
		defer chanceMu.Unlock()
		return chance.IntN(n)
	}
	answer := func(g got) string {
		told.saw(g.id, g.line, g.at)
		switch draw(4) {
		case 0:
			time.Sleep(time.Duration(draw(300)) * time.Millisecond)
			return "SERVER_ERROR failed\r\n"
		case 1:
			return miss(g)
		case 2:
			return say("")(g)
		}
		return hit(g)
	}
	origin := newOrigin(t, func(w http.ResponseWriter, r *http.Request) {
		told.saw(r.Header.Get("X-Request-ID"), r.Header.Get("X-Attrs"), time.Now())
		time.Sleep(time.Duration(draw(200)) * time.Millisecond)
		if draw(2) == 0 {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		io.WriteString(w, "made")
	})
	drained := make(chan struct{})
	t.Cleanup(func() { close(drained) })
	go func() {
		for {
			select {
			case <-origin.came:
			case <-drained:
				return
			}
		}
	}()
	var hosts []*cacheHost
	for i := range 4 {
		hosts = append(hosts, newHost(t, "h"+strconv.Itoa(i), answer))
	}
	var fleet []*running
	var lists []*list
	for range processes {
		p, d := start(t, nil, origin, hosts...)
		fleet, lists = append(fleet, p), append(lists, d)
	}
	var clients sync.WaitGroup
	for stop := range stops {
		for i, p := range fleet {
			length := time.Duration(100+draw(1900)) * time.Millisecond
			for n := range requests {
				id := fmt.Sprintf("r%d-%d-%d", i, stop, n)
				after := time.Duration(draw(int(length/time.Millisecond)+200)) * time.Millisecond
				wait := 400 + draw(2500)
				clients.Go(func() {
					time.Sleep(after)
					askOnce(told, p.addr, id, wait)
				})
			}
			clients.Go(func() {
				time.Sleep(100 * time.Millisecond)
				p.Process.Signal(syscall.SIGSTOP)
				time.Sleep(length)
				p.Process.Signal(syscall.SIGCONT)
			})
		}
		killed := stop % processes
		clients.Go(func() { // one of them in the middle of its work; it starts again under its address
			time.Sleep(600 * time.Millisecond)
			fleet[killed].Process.Kill()
		})
		clients.Wait()
		fleet[killed].exit(t)
		fleet[killed] = serving(t, config(lists[killed], fleet[killed].addr, nil))
	}
	worst, beyond := told.beyond()
	// A stop that falls between the reading of the clock and the write, some microseconds of a second, cannot be made up for.
	const between = 1
	if len(beyond) > between {
		t.Errorf("%d of %d attempts told more than was left, by %v at the most", len(beyond), len(told.attempts), worst.Round(time.Millisecond))
	}
	if len(told.attempts) < processes*stops*requests/2 {
		t.Errorf("only %d attempts", len(told.attempts))
	}
}

// askOnce sends one request over a connection of its own and waits for the answer, as long as its client would.
func askOnce(told *toldDeadlines, addr, id string, wait int) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return
	}
	defer c.Close()
	io.WriteString(c, get("key-"+id, id, wait))
	deadline := time.Now().Add(time.Duration(wait) * time.Millisecond)
	told.sent(id, deadline)
	c.SetReadDeadline(deadline)
	bufio.NewReader(c).ReadString('\n')
}
