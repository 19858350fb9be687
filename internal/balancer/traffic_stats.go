package balancer

import (
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"streamrail/policy"
)

const (
	reportInterval   = 10 * time.Second
	minBoundRefusals = 5 // connections refused by a limit within reportInterval: fewer come from a short burst
)

// trafficStats counts the results of requests and attempts since the start.
type trafficStats struct {
	fulfilled, rateLimited, errored, abandoned atomic.Int64
	// Guarded by Balancer.mu.
	attempts [policy.Unknown + 1]int64   // by outcome
	hosts    map[policy.HostID]*[2]int64 // attempts since the last report, and how many of them failed
}

// countAttempt counts an attempt that has ended.
func (t *trafficStats) countAttempt(host policy.HostID, outcome policy.Outcome) {
	t.attempts[outcome]++
	h := t.hosts[host]
	if h == nil {
		h = new([2]int64)
		t.hosts[host] = h
	}
	h[0]++
	if hasFailed(outcome) {
		h[1]++
	}
}

var outcomeNames = [...]string{"fulfilled", "errored", "turned_away", "timed_out", "connect_failed", "reset",
	"cancelled", "never_sent", "missed", "spoilt", "unproven_rejection", "unknown"}

// logReport logs the traffic since the start; the difference of two lines is the traffic between them.
func (b *Balancer) logReport() {
	var attempts [policy.Unknown + 1]int64
	var hosts map[policy.HostID]*[2]int64
	b.callPolicy(func() {
		attempts, hosts = b.traffic.attempts, b.traffic.hosts
		b.traffic.hosts = map[policy.HostID]*[2]int64{}
	})
	for id, n := range hosts {
		if n[1] >= 5 && n[1] > n[0]/10 { // a healthy host has occasional failures, but fewer
			b.log.Warn().Str("host", string(id)).Int64("shots", n[0]).Int64("bad", n[1]).Msg("host in trouble")
		}
	}
	for id, n := range b.hosts.TakeLimitHits() {
		if n >= minBoundRefusals {
			b.log.Warn().Str("host", string(id)).Int("shots", n).Msg("connections bound")
		}
	}
	byOutcome := zerolog.Dict()
	for i, n := range attempts {
		if n > 0 {
			byOutcome.Int64(outcomeNames[i], n)
		}
	}
	t, d := &b.traffic, &b.delays
	d.lateLogged.reset()
	b.failureLog.reset()
	b.appendConnections(b.log.Info()).Interface("held_bytes", b.memory.usage()).Int64("memory_bytes", processMemory()).Uint64("taken", b.requestCount.Load()).Int64("fulfilled", t.fulfilled.Load()).
		Int64("rate_limited", t.rateLimited.Load()).Int64("errored", t.errored.Load()).
		Int64("abandoned", t.abandoned.Load()).Dict("shots", byOutcome).Int64("in_hand", b.inFlight.Load()).
		Int("clients", b.clients.count()).Int("upstream", b.hosts.Open()).
		Float64("after_told_ms", milliseconds(b.hosts.MaxWriteAfterNotice())).
		Float64("held_ms", milliseconds(d.handling.takeRecent())).Float64("waited_ms", milliseconds(d.waiting.takeRecent())).
		Int64("late", d.lateAnswers.Load()).Int64("guarded", d.answeredByTimer.Load()).Float64("latest_ms", milliseconds(d.lateBy.takeRecent())).Msg("traffic")
}
