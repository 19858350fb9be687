package balancer

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"streamrail/internal/deployment"
	"streamrail/internal/operator"
	"streamrail/policy"
)

// agent plays discovery at a balancer's side over pipes, on the test's clock. Its list says one host is up, until it leaves.
type agent struct {
	mu      sync.Mutex
	began   time.Time
	leaves  bool
	down    bool // takes no connection
	asked   []time.Duration
	waits   []time.Duration // that each of these calls may wait
	news    chan struct{}
	over    chan struct{}
	respond func(n int, to net.Conn, text string) bool // the n-th call's answer; false: the connection is left as it is, silent
}

func (a *agent) list(after int) (text string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	version, state := 1, "active"
	if a.leaves {
		version, state = 2, "leaving"
	}
	entry := fmt.Sprintf(`{"instanceId":"h","hostPort":"127.0.0.1:1","zone":"here","machineType":"cache","lifecycle":%q}`, state)
	if after == version {
		entry = ""
	}
	return fmt.Sprintf(`{"generation":%d,"reset":%v,"instances":[%s]}`, version, after < 0, entry)
}

func (a *agent) dial(context.Context, string, string) (net.Conn, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.down {
		return nil, errors.New("refused")
	}
	near, far := net.Pipe()
	go a.serve(far)
	return near, nil
}

func (a *agent) serve(c net.Conn) {
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		after, wait := -1, 0
		if s := r.URL.Query().Get("after"); s != "" {
			after, _ = strconv.Atoi(s)
			wait, _ = strconv.Atoi(r.URL.Query().Get("wait_ms"))
		}
		a.mu.Lock()
		a.asked, a.waits = append(a.asked, time.Since(a.began)), append(a.waits, time.Duration(wait)*time.Millisecond)
		n, news := len(a.asked), a.news
		a.mu.Unlock()
		if strings.Contains(a.list(after), "[]") {
			select {
			case <-time.After(time.Duration(wait) * time.Millisecond):
			case <-news:
			case <-a.over:
				return
			}
		}
		text := a.list(after)
		text = fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
		if !a.respond(n, c, text) {
			io.Copy(io.Discard, in) // up to the end of the connection
			return
		}
	}
}

func (a *agent) change(of func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	of()
	close(a.news)
	a.news = make(chan struct{})
}

// followed is a balancer that follows the agent's list and has it.
func followed(t *testing.T, a *agent, mode string, grace time.Duration) *Balancer {
	told := &deployment.Deployment{Name: "n", Sockets: 1024, MemoryMB: 192, DrainGrace: grace, ConnectTimeout: time.Second, IdleLimit: time.Minute,
		Zones: map[string]policy.Zone{"here": 0}, Kinds: map[string]policy.Kind{"cache": 0},
		Terms: policy.Terms{Balancers: 1, Products: make([]policy.ProductTerms, 1), MustSubscribe: mode == "asked", AskEvery: 10 * policy.Second, OriginKind: -1}}
	b := New(told, &operator.File{}, zerolog.Nop())
	b.source.dial = a.dial
	a.began, a.news, a.over = time.Now(), make(chan struct{}), make(chan struct{})
	b.restore(nil)
	b.watch()
	<-b.source.first
	return b
}

func (b *Balancer) avoided() (n int) {
	b.decide(func() { _, n = b.module.Fleet() })
	return n
}

// Whatever befalls a watch once, a host that leaves is left alone within the grace of when it counts as told: so long after
// the watch fell silent, or after the wait of a call that waits; at once where the agent has it and answers.
func TestLeavingInTime(t *testing.T) {
	silent := func(times int) func(int, net.Conn, string) bool {
		return func(n int, to net.Conn, text string) bool {
			if n >= 2 && n < 2+times { // the first brought the whole list
				return false
			}
			_, err := io.WriteString(to, text)
			return err == nil
		}
	}
	for name, row := range map[string]struct {
		mode    string
		respond func(n int, to net.Conn, text string) bool
		leaves  time.Duration // from the start on
		downTo  time.Duration // the agent refuses connections from its leaving on up to then; what it has counts as told when it is back
		fell    time.Duration // silent; 0: it did not
	}{
		"silent, pushed":       {mode: "pushed", respond: silent(1), leaves: time.Second, fell: time.Millisecond},
		"silent, asked":        {mode: "asked", respond: silent(1), leaves: time.Second, fell: time.Millisecond},
		"silent twice, pushed": {mode: "pushed", respond: silent(2), leaves: time.Second, fell: time.Millisecond},
		"cut within an answer": {mode: "pushed", leaves: time.Second, fell: time.Second, respond: func(n int, to net.Conn, text string) bool {
			if n == 2 {
				io.WriteString(to, text[:len(text)-40])
				return false
			}
			_, err := io.WriteString(to, text)
			return err == nil
		}},
		"ended within an answer": {mode: "pushed", leaves: time.Second, respond: func(n int, to net.Conn, text string) bool {
			if n == 2 {
				io.WriteString(to, text[:len(text)-40])
				to.Close()
				return true
			}
			_, err := io.WriteString(to, text)
			return err == nil
		}},
		"in small pieces": {mode: "pushed", leaves: time.Second, downTo: 2900 * time.Millisecond, respond: func(n int, to net.Conn, text string) bool {
			for i := range text {
				if n == 2 {
					time.Sleep(10 * time.Millisecond)
				}
				if _, err := to.Write([]byte{text[i]}); err != nil {
					return false
				}
			}
			return true
		}},
		"the agent is away": {mode: "pushed", respond: func(n int, to net.Conn, text string) bool {
			if n == 2 {
				to.Close()
				return true
			}
			_, err := io.WriteString(to, text)
			return err == nil
		}, leaves: time.Second, downTo: 20 * time.Second},
	} {
		for _, grace := range []time.Duration{500 * time.Millisecond, time.Second, 3 * time.Second} {
			t.Run(fmt.Sprint(name, ", ", grace), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					a := &agent{respond: row.respond}
					b := followed(t, a, row.mode, grace)
					defer close(a.over)
					defer b.hosts.Close()
					defer b.end()
					time.Sleep(time.Until(a.began.Add(row.leaves)))
					a.change(func() { a.leaves, a.down = true, row.downTo > 0 })
					told := row.leaves
					if row.fell > 0 {
						a.mu.Lock()
						told = max(row.fell+6*time.Second, a.asked[1]+a.waits[1]+2*time.Second)
						a.mu.Unlock()
					}
					if row.downTo > 0 {
						time.Sleep(time.Until(a.began.Add(row.downTo)))
						a.change(func() { a.down = false })
						told = row.downTo
					}
					time.Sleep(time.Until(a.began.Add(told + grace*9/10)))
					synctest.Wait()
					if b.avoided() != 1 {
						t.Errorf("not left alone %v after it leaves, told after %v; asked at %v", time.Since(a.began)-row.leaves, told-row.leaves, a.asked)
					}
					if n, most := len(a.asked), 5+int(time.Since(a.began)/(1750*time.Millisecond))+int(8*row.downTo/grace); n > most {
						t.Errorf("%d calls, at %v", n, a.asked)
					}
				})
			})
		}
	}
}
