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

// Origin is the stand-in for the origin behind the cache hosts. It speaks HTTP/1.1: GET reads, PUT writes.
type Origin struct {
	environment *Environment
	addrs       []string // by balancer
	modelRunner

	mu              sync.Mutex
	model           *model.Origin
	recordedEffects int // number of effects already copied to the record; recordedStops likewise
	recordedStops   int
	resetRatio      float64 // fraction of answers replaced by a connection reset
	failRatio       float64 // fraction of requests answered with an error and not executed
	random          *rand.Rand
}

// result is the outcome of a job at the origin.
type result struct {
	lost, refused bool
	version       uint64
}

// AddOrigin adds the origin, with one listener for each balancer.
func (w *Environment) AddOrigin() error {
	g := &Origin{environment: w, modelRunner: newModelRunner(), model: model.NewOrigin(w.Scenario.OriginConfig(), 0),
		random: model.NewRand(w.Scenario.Seed, "faults gateway")}
	for b := range w.Scenario.Fleet.Balancers {
		l, err := w.Listen()
		if err != nil {
			return fmt.Errorf("gateway: %w", err)
		}
		g.addrs = append(g.addrs, l.Addr().String())
		server := &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { g.serve(b, rw, r) }),
			IdleTimeout: time.Minute, ConnState: func(_ net.Conn, s http.ConnState) {
				if s == http.StateNew {
					now := w.Now()
					w.Record.Add(func() {
						w.Record.Openings = append(w.Record.Openings, record.Opening{Server: record.Origin, Balancer: b, At: now})
					})
				}
			}}
		go server.Serve(l)
	}
	w.Origin = g
	go g.run(g.step)
	return nil
}

// Addr returns the address at which a balancer reaches the origin.
func (g *Origin) Addr(balancer int) string { return g.addrs[balancer] }

// SetSlowdown slows the origin down by a factor; 1 ends the slowdown.
func (g *Origin) SetSlowdown(factor float64) {
	g.mu.Lock()
	g.advance(g.environment.Now())
	g.model.SetSlowdown(factor)
	g.mu.Unlock()
	g.wake()
}

// Reset makes the origin reset the connection instead of sending a fraction of its answers. The requests are executed.
func (g *Origin) Reset(ratio float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.resetRatio = ratio
}

// Fail makes the origin answer a fraction of its requests with an error without executing them. A balancer cannot tell
// that they were not executed.
func (g *Origin) Fail(ratio float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.failRatio = ratio
}

// drawFaults draws at random whether the connection is reset instead of an answer and whether the request fails.
func (g *Origin) drawFaults() (reset, fail bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.resetRatio > 0 && g.random.Float64() < g.resetRatio, g.failRatio > 0 && g.random.Float64() < g.failRatio
}

// submit passes a job to the model. The result is passed to onDone while the origin's lock is not held.
func (g *Origin) submit(job model.Job, onDone func(result)) {
	job.WorkTime = model.RequestWork(g.environment.Scenario.Seed, "gateway "+job.ID, model.Exponential, g.environment.Scenario.Origin.ServiceTime.Duration(), 1)
	job.Tag = onDone
	g.mu.Lock()
	now := g.environment.Now()
	g.advance(now)
	ok := g.model.Offer(now, job)
	g.mu.Unlock()
	if !ok {
		onDone(result{refused: true})
		return
	}
	g.wake()
}

// step advances the model to the present and returns the time until its next event.
func (g *Origin) step() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.advance(g.environment.Now())
	return min(time.Hour, max(0, g.model.NextEvent()-g.environment.Now()))
}

// advance runs the model up to the given time. The caller holds g.mu; results are delivered in goroutines of their own,
// without that lock.
func (g *Origin) advance(now time.Duration) {
	for _, d := range g.model.Advance(now) {
		g.environment.RecordLateness(d.At, now)
		if !d.Lost {
			if d.Write {
				g.environment.invalidate(d.Key, d.Version)
			} else {
				g.environment.storeMissed(d.ID, d.Key, d.Version)
			}
		}
		go d.Tag.(func(result))(result{lost: d.Lost, version: d.Version})
	}
	for _, e := range g.model.Effects()[g.recordedEffects:] {
		g.environment.Record.Add(func() {
			g.environment.Record.Effects = append(g.environment.Record.Effects, record.Effect{RequestID: e.ID, DedupToken: e.DedupToken, At: e.At})
		})
		g.recordedEffects++
	}
	for _, s := range g.model.Outages()[g.recordedStops:] {
		g.environment.Record.Add(func() {
			g.environment.Record.OverloadFailures = append(g.environment.Record.OverloadFailures, record.OverloadFailure{Server: record.Origin, At: s.At, LoadMultiple: s.LoadMultiple})
		})
		g.recordedStops++
	}
}

// RecordLoad records the highest load that the origin was sent, as a multiple of its capacity.
func (g *Origin) RecordLoad() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.environment.Record.RecordLoad(record.Origin, g.model.MaxLoadMultiple())
}

// maxBodyBytes limits the value of a write.
const maxBodyBytes = 2 << 20

// The header fields of the origin's protocol.
const (
	headerRequestID    = "X-Request-ID"
	headerAttrs        = "X-Attrs"
	headerNotProcessed = "X-Not-Processed"
)

// serve handles one attempt of a balancer.
func (g *Origin) serve(balancer int, rw http.ResponseWriter, r *http.Request) {
	observed := record.Attempt{RequestID: r.Header.Get(headerRequestID), Balancer: balancer, Server: record.Origin, FirstByteAt: g.environment.Now(), Write: r.Method == http.MethodPut}
	delay := g.environment.Scenario.Fleet.SameZoneDelay.Duration()
	key, err := url.PathUnescape(strings.TrimPrefix(r.URL.EscapedPath(), "/"))
	_, readErr := io.Copy(io.Discard, io.LimitReader(r.Body, maxBodyBytes))
	if readErr != nil {
		return // an incomplete request does not count as sent
	}
	observed.ArrivedAt = g.environment.Now()
	if err != nil || !g.environment.expected(observed.RequestID, key) {
		observed.Unexpected = fmt.Sprintf("the id %q with the key %q", observed.RequestID, key)
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
			observed.TimeLeft = time.Duration(ms) * time.Millisecond
		}
	}
	reset, fail := g.drawFaults()
	addRecord := func() {
		g.environment.Record.Add(func() { g.environment.Record.Attempts = append(g.environment.Record.Attempts, observed) })
	}
	if fail {
		observed.Ended, observed.Answered = g.environment.Now(), true
		addRecord()
		rw.WriteHeader(http.StatusInternalServerError)
		return
	}
	outcome := make(chan result, 1)
	g.submit(model.Job{ID: observed.RequestID, Key: key, DedupToken: mark, Write: observed.Write}, func(r result) { outcome <- r })
	var res result
	select {
	case res = <-outcome:
	case <-r.Context().Done(): // the balancer gave up: a queued job is dropped, a running one continues
		observed.Ended = g.environment.Now()
		g.mu.Lock()
		dropped := g.model.Abandon(observed.RequestID)
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
	observed.Ended, observed.Answered = g.environment.Now(), true
	switch {
	case res.lost || reset && !res.refused:
		observed.Answered, observed.Ran = false, !res.lost
		addRecord()
		panic(http.ErrAbortHandler) // resets the connection
	case res.refused:
		observed.Proof = record.NeverRan
		addRecord()
		rw.Header().Set(headerNotProcessed, "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	observed.Ran, observed.Proof = true, record.Served
	addRecord()
	if observed.Write {
		io.WriteString(rw, "r-"+observed.RequestID)
	} else {
		rw.Write(g.environment.Value(key, res.version, observed.RequestID))
	}
}
