package standin

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"streamrail/internal/rehearsal/model"
	"streamrail/internal/rehearsal/record"
)

// Gateway is the slow store behind the cache nodes, over HTTP/1.1: GET reads, PUT writes.
type Gateway struct {
	w     *World
	addrs []string // by balancer
	player

	mu     sync.Mutex
	m      *model.Gateway
	told   int // effects, and stops, that the record has
	stops  int
	reset  float64 // part of the answers in place of which the connection breaks
	fail   float64 // part of the calls that end as errors, undone
	chance *rand.Rand
}

// result is what came of a job at the gateway.
type result struct {
	lost, full bool
	version    uint64
}

// AddGateway makes the gateway and a listener for each balancer.
func (w *World) AddGateway() error {
	g := &Gateway{w: w, player: newPlayer(), m: model.NewGateway(w.Day.GatewayTerms(), 0),
		chance: model.Stream(w.Day.Seed, "faults gateway")}
	for b := range w.Day.Fleet.Balancers {
		l, err := w.Listen()
		if err != nil {
			return fmt.Errorf("gateway: %w", err)
		}
		g.addrs = append(g.addrs, l.Addr().String())
		server := &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { g.serve(b, rw, r) }),
			IdleTimeout: time.Minute, ConnState: func(_ net.Conn, s http.ConnState) {
				if s == http.StateNew {
					now := w.Now()
					w.Rec.Add(func() {
						w.Rec.Openings = append(w.Rec.Openings, record.Opening{Server: record.Gateway, Balancer: b, At: now})
					})
				}
			}}
		go server.Serve(l)
	}
	w.Gateway = g
	go g.play(g.step)
	return nil
}

// Addr is where a balancer reaches the gateway.
func (g *Gateway) Addr(balancer int) string { return g.addrs[balancer] }

// Slow makes the gateway so many times slower; 1 ends that.
func (g *Gateway) Slow(times float64) {
	g.mu.Lock()
	g.advance(g.w.Now())
	g.m.Slow(times)
	g.mu.Unlock()
	g.wake()
}

// Reset makes the gateway break the connection in place of a part of its answers: what was asked is done.
func (g *Gateway) Reset(part float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reset = part
}

// Fail makes the gateway answer a part of its calls with an error and not do them, which nobody can tell from outside.
func (g *Gateway) Fail(part float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fail = part
}

// troubled draws whether an answer is broken off, or a call fails.
func (g *Gateway) troubled() (reset, fail bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.reset > 0 && g.chance.Float64() < g.reset, g.fail > 0 && g.chance.Float64() < g.fail
}

// take sends a job to the model; done hears what came of it, outside of the gateway's lock.
func (g *Gateway) take(j model.Job, done func(result)) {
	j.Work = model.Work(g.w.Day.Seed, "gateway "+j.ID, model.Exponential, g.w.Day.Gateway.Time.Duration(), 1)
	j.Tag = done
	g.mu.Lock()
	now := g.w.Now()
	g.advance(now)
	ok := g.m.Offer(now, j)
	g.mu.Unlock()
	if !ok {
		done(result{full: true})
		return
	}
	g.wake()
}

// step plays the model up to now and tells how long nothing is due.
func (g *Gateway) step() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.advance(g.w.Now())
	return min(time.Hour, max(0, g.m.Due()-g.w.Now()))
}

// advance plays the model up to a moment. What is done is handed on outside of the lock, which the caller holds.
func (g *Gateway) advance(now time.Duration) {
	for _, d := range g.m.Advance(now) {
		g.w.Late(d.At, now)
		if !d.Lost {
			if d.Write {
				g.w.void(d.Key, d.Version)
			} else {
				g.w.fill(d.ID, d.Key, d.Version)
			}
		}
		go d.Tag.(func(result))(result{lost: d.Lost, version: d.Version})
	}
	for _, e := range g.m.Effects()[g.told:] {
		g.w.Rec.Add(func() { g.w.Rec.Effects = append(g.w.Rec.Effects, record.Effect{Call: e.ID, Mark: e.Mark, At: e.At}) })
		g.told++
	}
	for _, s := range g.m.Stops()[g.stops:] {
		g.w.Rec.Add(func() {
			g.w.Rec.Falls = append(g.w.Rec.Falls, record.Fall{Server: record.Gateway, At: s.At, Multiple: s.Multiple})
		})
		g.stops++
	}
}

// Strain notes what the gateway was sent at the most.
func (g *Gateway) Strain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.w.Rec.Strain(record.Gateway, g.m.Strain())
}

// mostBody bounds a write's value.
const mostBody = 2 << 20

// The header fields of the gateway's protocol.
const (
	headID           = "X-Request-ID"
	headAttrs        = "X-Attrs"
	headNotProcessed = "X-Not-Processed"
)

// serve answers one attempt of a balancer.
func (g *Gateway) serve(balancer int, rw http.ResponseWriter, r *http.Request) {
	s := record.Attempt{Call: r.Header.Get(headID), Balancer: balancer, Server: record.Gateway, Began: g.w.Now(), Write: r.Method == http.MethodPut}
	way := g.w.Day.Fleet.Same.Duration()
	key, err := url.PathUnescape(strings.TrimPrefix(r.URL.EscapedPath(), "/"))
	_, readErr := io.Copy(io.Discard, io.LimitReader(r.Body, mostBody))
	if readErr != nil {
		return // never whole: it was not sent
	}
	s.Came = g.w.Now()
	if err != nil || !g.w.expected(s.Call, key) {
		s.Unexpected = fmt.Sprintf("the id %q with the key %q", s.Call, key)
	}
	if way >= waitLeast {
		time.Sleep(way)
	}
	mark := ""
	for pair := range strings.SplitSeq(r.Header.Get(headAttrs), ",") {
		if v, ok := strings.CutPrefix(pair, "k="); ok && s.Write {
			mark = v
		}
		if v, ok := strings.CutPrefix(pair, "d="); ok {
			ms, _ := strconv.Atoi(v)
			s.Told = time.Duration(ms) * time.Millisecond
		}
	}
	reset, fail := g.troubled()
	note := func() { g.w.Rec.Add(func() { g.w.Rec.Attempts = append(g.w.Rec.Attempts, s) }) }
	if fail {
		s.Ended, s.Answered = g.w.Now(), true
		note()
		rw.WriteHeader(http.StatusInternalServerError)
		return
	}
	ended := make(chan result, 1)
	g.take(model.Job{ID: s.Call, Key: key, Mark: mark, Write: s.Write}, func(r result) { ended <- r })
	var res result
	select {
	case res = <-ended:
	case <-r.Context().Done(): // given up; what waits is dropped, what runs goes on
		s.Ended = g.w.Now()
		g.mu.Lock()
		dropped := g.m.GiveUp(s.Call)
		g.mu.Unlock()
		go func() {
			if !dropped {
				res := <-ended
				s.Ran = !res.lost && !res.full
			}
			note()
		}()
		return
	}
	if way >= waitLeast {
		time.Sleep(way)
	}
	s.Ended, s.Answered = g.w.Now(), true
	switch {
	case res.lost || reset && !res.full:
		s.Answered, s.Ran = false, !res.lost
		note()
		panic(http.ErrAbortHandler) // the connection breaks
	case res.full:
		s.Proof = record.NeverRan
		note()
		rw.Header().Set(headNotProcessed, "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.Ran, s.Proof = true, record.WasServed
	note()
	if s.Write {
		io.WriteString(rw, "r-"+s.Call)
	} else {
		rw.Write(g.w.Value(key, res.version, s.Call))
	}
}
