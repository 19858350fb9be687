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
	world *World
	addrs []string // by balancer
	modelRunner

	mu              sync.Mutex
	model           *model.Gateway
	recordedEffects int // effects, and stops, that the record has
	recordedStops   int
	resetRatio      float64 // part of the answers in place of which the connection breaks
	failRatio       float64 // part of the calls that end as errors, undone
	random          *rand.Rand
}

// result is what came of a job at the gateway.
type result struct {
	lost, refused bool
	version       uint64
}

// AddGateway makes the gateway and a listener for each balancer.
func (w *World) AddGateway() error {
	g := &Gateway{world: w, modelRunner: newModelRunner(), model: model.NewGateway(w.Day.GatewayTerms(), 0),
		random: model.Stream(w.Day.Seed, "faults gateway")}
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
	go g.run(g.step)
	return nil
}

// Addr is where a balancer reaches the gateway.
func (g *Gateway) Addr(balancer int) string { return g.addrs[balancer] }

// Slow makes the gateway so many times slower; 1 ends that.
func (g *Gateway) Slow(factor float64) {
	g.mu.Lock()
	g.advance(g.world.Now())
	g.model.Slow(factor)
	g.mu.Unlock()
	g.wake()
}

// Reset makes the gateway break the connection in place of a part of its answers: what was asked is done.
func (g *Gateway) Reset(ratio float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.resetRatio = ratio
}

// Fail makes the gateway answer a part of its calls with an error and not do them, which nobody can tell from outside.
func (g *Gateway) Fail(ratio float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.failRatio = ratio
}

// drawFaults draws whether an answer is broken off, or a call fails.
func (g *Gateway) drawFaults() (reset, fail bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.resetRatio > 0 && g.random.Float64() < g.resetRatio, g.failRatio > 0 && g.random.Float64() < g.failRatio
}

// submit sends a job to the model; done hears what came of it, outside of the gateway's lock.
func (g *Gateway) submit(job model.Job, onDone func(result)) {
	job.Work = model.Work(g.world.Day.Seed, "gateway "+job.ID, model.Exponential, g.world.Day.Gateway.Time.D(), 1)
	job.Tag = onDone
	g.mu.Lock()
	now := g.world.Now()
	g.advance(now)
	ok := g.model.Offer(now, job)
	g.mu.Unlock()
	if !ok {
		onDone(result{refused: true})
		return
	}
	g.wake()
}

// step plays the model up to now and tells how long nothing is due.
func (g *Gateway) step() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.advance(g.world.Now())
	return min(time.Hour, max(0, g.model.Due()-g.world.Now()))
}

// advance plays the model up to a moment. What is done is handed on outside of the lock, which the caller holds.
func (g *Gateway) advance(now time.Duration) {
	for _, d := range g.model.Advance(now) {
		g.world.Late(d.At, now)
		if !d.Lost {
			if d.Write {
				g.world.invalidate(d.Key, d.Version)
			} else {
				g.world.storeMissed(d.ID, d.Key, d.Version)
			}
		}
		go d.Tag.(func(result))(result{lost: d.Lost, version: d.Version})
	}
	for _, e := range g.model.Effects()[g.recordedEffects:] {
		g.world.Rec.Add(func() {
			g.world.Rec.Effects = append(g.world.Rec.Effects, record.Effect{Call: e.ID, Mark: e.Mark, At: e.At})
		})
		g.recordedEffects++
	}
	for _, s := range g.model.Stops()[g.recordedStops:] {
		g.world.Rec.Add(func() {
			g.world.Rec.Falls = append(g.world.Rec.Falls, record.Fall{Server: record.Gateway, At: s.At, Multiple: s.Multiple})
		})
		g.recordedStops++
	}
}

// Strain notes what the gateway was sent at the most.
func (g *Gateway) Strain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.world.Rec.Strain(record.Gateway, g.model.Strain())
}

// maxBodyBytes bounds a write's value.
const maxBodyBytes = 2 << 20

// The header fields of the gateway's protocol.
const (
	headerRequestID    = "X-Request-ID"
	headerAttrs        = "X-Attrs"
	headerNotProcessed = "X-Not-Processed"
)

// serve answers one attempt of a balancer.
func (g *Gateway) serve(balancer int, rw http.ResponseWriter, r *http.Request) {
	observed := record.Attempt{Call: r.Header.Get(headerRequestID), Balancer: balancer, Server: record.Gateway, Began: g.world.Now(), Write: r.Method == http.MethodPut}
	delay := g.world.Day.Fleet.Same.D()
	key, err := url.PathUnescape(strings.TrimPrefix(r.URL.EscapedPath(), "/"))
	_, readErr := io.Copy(io.Discard, io.LimitReader(r.Body, maxBodyBytes))
	if readErr != nil {
		return // never whole: it was not sent
	}
	observed.Came = g.world.Now()
	if err != nil || !g.world.expected(observed.Call, key) {
		observed.Unexpected = fmt.Sprintf("the id %q with the key %q", observed.Call, key)
	}
	if delay >= minDelay {
		time.Sleep(delay)
	}
	mark := ""
	for pair := range strings.SplitSeq(r.Header.Get(headerAttrs), ",") {
		if v, ok := strings.CutPrefix(pair, "k="); ok && observed.Write {
			mark = v
		}
		if v, ok := strings.CutPrefix(pair, "d="); ok {
			ms, _ := strconv.Atoi(v)
			observed.Told = time.Duration(ms) * time.Millisecond
		}
	}
	reset, fail := g.drawFaults()
	addRecord := func() { g.world.Rec.Add(func() { g.world.Rec.Attempts = append(g.world.Rec.Attempts, observed) }) }
	if fail {
		observed.Ended, observed.Answered = g.world.Now(), true
		addRecord()
		rw.WriteHeader(http.StatusInternalServerError)
		return
	}
	outcome := make(chan result, 1)
	g.submit(model.Job{ID: observed.Call, Key: key, Mark: mark, Write: observed.Write}, func(r result) { outcome <- r })
	var res result
	select {
	case res = <-outcome:
	case <-r.Context().Done(): // given up; what waits is dropped, what runs goes on
		observed.Ended = g.world.Now()
		g.mu.Lock()
		dropped := g.model.GiveUp(observed.Call)
		g.mu.Unlock()
		go func() {
			if !dropped {
				res := <-outcome
				observed.Ran = !res.lost && !res.refused
			}
			addRecord()
		}()
		return
	}
	if delay >= minDelay {
		time.Sleep(delay)
	}
	observed.Ended, observed.Answered = g.world.Now(), true
	switch {
	case res.lost || reset && !res.refused:
		observed.Answered, observed.Ran = false, !res.lost
		addRecord()
		panic(http.ErrAbortHandler) // the connection breaks
	case res.refused:
		observed.Proof = record.NeverRan
		addRecord()
		rw.Header().Set(headerNotProcessed, "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	observed.Ran, observed.Proof = true, record.WasServed
	addRecord()
	if observed.Write {
		io.WriteString(rw, "r-"+observed.Call)
	} else {
		rw.Write(g.world.Value(key, res.version, observed.Call))
	}
}
