// Package measure measures the rehearsals themselves and individual properties of balancers: the rate that the load generator
// reaches on a machine, the latency and processor time that a balancer adds to a request, its throughput and memory, and the
// behaviour of fleets of balancers that exchange membership, limits and observations of hosts.
package measure

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"time"

	"streamrail/internal/rehearsal/load"
	"streamrail/internal/rehearsal/model"
	"streamrail/internal/rehearsal/runner"
	"streamrail/internal/rehearsal/scenario"
)

// RateRow holds the measurements at one request rate, sent directly to a cache host and through a balancer.
type RateRow struct {
	PerS           float64 `json:"per_s"`
	P50, P99, P999 DirectAndBalanced
	Late           DirectAndBalanced // lateness of sending at p99.9
	CPU            time.Duration     `json:"cpu_per_call_ns"` // processor time of the balancer per request
	Fulfilled      FulfilledCount
}

// DirectAndBalanced is a value measured directly and through a balancer.
type DirectAndBalanced struct{ Straight, Through time.Duration }

// FulfilledCount counts the requests sent through the balancer and those of them that were fulfilled.
type FulfilledCount struct{ Of, Good int }

// MaxLateness is the maximum lateness of sending at p99.9 at which the load generator counts as having reached a rate.
const MaxLateness = 2 * time.Millisecond

// The cache hosts answer immediately, so that the measurement covers only the path to them.
const (
	hostCount   = 8
	instantWork = scenario.Span(time.Nanosecond) // ends before a timer could be set
)

// baseScenario returns a scenario with one balancer, one product and hosts that answer immediately.
func baseScenario(perS float64, length time.Duration, seed uint64) *scenario.Scenario {
	sc := &scenario.Scenario{Name: fmt.Sprintf("%.0f-per-s", perS), Length: scenario.Span(length), Seed: seed,
		Fleet: scenario.Fleet{Zones: []string{"here"}, Balancers: 1, MemoryMB: 1024, Sockets: 8192, Attempts: 4, Mode: scenario.ModeAside},
		Hosts: []scenario.Host{{Name: "n", Zone: "here", Count: hostCount, Cores: 64, Speed: 1, Queue: 1 << 16, CacheMB: 64, Connections: 1 << 15,
			IdleTimeout: scenario.Span(time.Minute), ColdCapacity: 1}},
		Origin:   scenario.Origin{Slots: 64, ServiceTime: scenario.Span(time.Millisecond), Queue: 1 << 12},
		Load:     scenario.Load{RequestsPerSecond: perS, Keys: 1000, ValueSize: 300, WarmRatio: 1, QuotaRatio: 1000},
		Clients:  scenario.Clients{GiveUpAt: [2]float64{1, 1}, FailureNoticeDelay: scenario.Span(time.Second)},
		Products: []scenario.Product{{Name: "read", Share: 1, Distribution: model.Constant, Work: instantWork, LatencySLO: scenario.Span(time.Second), ClientTimeout: scenario.Span(2 * time.Second), BilledValue: 1, Effect: scenario.Idempotent}},
		Tenants:  []scenario.Tenant{{Name: "all", Share: 1, Usage: 1}},
		Rules:    scenario.Rules{DrainGrace: scenario.Span(time.Second), OverloadMultiple: 3, OverloadWindow: scenario.Span(2 * time.Second)},
	}
	return sc
}

// Rates measures request rates one after the other, each directly and through a balancer and each repeated. The results are the
// medians of the repeats; RateRow.CPU and RateRow.Fulfilled are those of the last one.
func Rates(ctx context.Context, launch runner.Launch, rates []float64, length time.Duration, repeats int, report func(RateRow)) ([]RateRow, error) {
	var rows []RateRow
	for _, perS := range rates {
		var direct, through []load.Percentiles
		var lateDirect, lateThrough []time.Duration
		row := RateRow{PerS: perS}
		for i := range repeats {
			for _, isDirect := range []bool{true, false} {
				latency, late, cpu, fulfilled, err := measureOnce(ctx, launch, baseScenario(perS, length, uint64(i+1)), isDirect)
				switch {
				case err != nil:
					return rows, err
				case isDirect:
					direct, lateDirect = append(direct, latency), append(lateDirect, late.P999)
				default:
					through, lateThrough = append(through, latency), append(lateThrough, late.P999)
					row.CPU, row.Fulfilled = cpu, fulfilled
				}
			}
		}
		medians := func(value func(load.Percentiles) time.Duration) DirectAndBalanced {
			return DirectAndBalanced{median(direct, value), median(through, value)}
		}
		row.P50 = medians(func(p load.Percentiles) time.Duration { return p.P50 })
		row.P99 = medians(func(p load.Percentiles) time.Duration { return p.P99 })
		row.P999 = medians(func(p load.Percentiles) time.Duration { return p.P999 })
		identity := func(d time.Duration) time.Duration { return d }
		row.Late = DirectAndBalanced{median(lateDirect, identity), median(lateThrough, identity)}
		rows = append(rows, row)
		if report != nil {
			report(row)
		}
	}
	return rows, nil
}

func median[T any](list []T, value func(T) time.Duration) time.Duration {
	var v []time.Duration
	for _, x := range list {
		v = append(v, value(x))
	}
	slices.Sort(v)
	return v[len(v)/2]
}

// measureOnce runs a scenario, with the requests sent directly to a cache host or through the balancer.
func measureOnce(ctx context.Context, launch runner.Launch, sc *scenario.Scenario, direct bool) (latency, late load.Percentiles, cpu time.Duration, fulfilled FulfilledCount, err error) {
	dir, err := os.MkdirTemp("", "rehearse-")
	if err != nil {
		return latency, late, 0, fulfilled, err
	}
	defer os.RemoveAll(dir)
	session, err := runner.Start(ctx, sc, launch, filepath.Clean(dir))
	if err != nil {
		return latency, late, 0, fulfilled, err
	}
	if direct {
		session.BypassBalancers("n-1")
	}
	err = session.Run(ctx)
	session.End()
	tally := session.Clients.Tally()
	fulfilled = FulfilledCount{Of: tally.Finished, Good: tally.Fulfilled}
	for _, run := range session.Record.ProcessRuns {
		cpu += run.CPU
	}
	return session.Clients.Latency(), session.Clients.Lateness(), cpu / time.Duration(max(1, tally.Finished)), fulfilled, err
}

// PrintHead writes the head of the table whose rows PrintRow writes.
func PrintHead(to io.Writer) {
	fmt.Fprintf(to, "%9s  %27s  %27s  %27s  %19s  %9s  %s\n", "calls/s", "p50 straight, through, adds", "p99", "p99.9",
		"sent late at p99.9", "CPU/call", "fulfilled")
}

// PrintRow writes one row of the table.
func PrintRow(to io.Writer, r RateRow) {
	formatPair := func(p DirectAndBalanced) string {
		return fmt.Sprintf("%8v %8v %9v", p.Straight.Round(time.Microsecond), p.Through.Round(time.Microsecond), (p.Through - p.Straight).Round(time.Microsecond))
	}
	fmt.Fprintf(to, "%9.0f  %s  %s  %s  %9v %9v  %9v  %d of %d\n", r.PerS, formatPair(r.P50), formatPair(r.P99), formatPair(r.P999), r.Late.Straight, r.Late.Through,
		r.CPU.Round(100*time.Nanosecond), r.Fulfilled.Good, r.Fulfilled.Of)
}

// MaxReachedRate returns the highest rate at which sending directly to a cache host was at most MaxLateness late.
func MaxReachedRate(rows []RateRow) (perS float64) {
	for _, r := range rows {
		if r.Late.Straight <= MaxLateness {
			perS = max(perS, r.PerS)
		}
	}
	return perS
}
