// Package measure finds how far the load generator goes on a machine and what a balancer adds to a request: the same
// callers speak to a node straight and through a balancer, in turn, at rising rates. The nodes answer at once.
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

// Row is one rate, measured both ways.
type Row struct {
	PerS           float64 `json:"per_s"`
	P50, P99, P999 Pair
	Late           Pair          // p99.9 of the sends
	CPU            time.Duration `json:"cpu_per_call_ns"` // of the balancer
	Fulfilled      Share
}

// Pair is a figure straight and through a balancer.
type Pair struct{ Straight, Through time.Duration }

// Share is a part of a whole, through the balancer.
type Share struct{ Of, Good int }

// LateMost is the lateness at p99.9 up to which a rate counts as driven.
const LateMost = 2 * time.Millisecond

// hostCount answer at once, so that nothing but the way is measured.
const (
	hostCount   = 8
	instantWork = scenario.Span(time.Nanosecond) // done before a timer could be set
)

func baseScenario(perS float64, length time.Duration, seed uint64) *scenario.Day {
	d := &scenario.Day{Name: fmt.Sprintf("%.0f-per-s", perS), Length: scenario.Span(length), Seed: seed,
		Fleet: scenario.Fleet{Zones: []string{"here"}, Balancers: 1, MemoryMB: 1024, Sockets: 8192, Attempts: 4, Mode: scenario.Aside},
		Nodes: []scenario.Node{{Name: "n", Zone: "here", Count: hostCount, Cores: 64, Speed: 1, Queue: 1 << 16, KeepMB: 64, Connections: 1 << 15,
			Idle: scenario.Span(time.Minute), ColdFrom: 1}},
		Gateway:  scenario.Gateway{Slots: 64, Time: scenario.Span(time.Millisecond), Queue: 1 << 12},
		Load:     scenario.Load{PerS: perS, Keys: 1000, ValueSize: 300, Warm: 1, Quota: 1000},
		Clients:  scenario.Clients{GiveUpAt: [2]float64{1, 1}, Notice: scenario.Span(time.Second)},
		Products: []scenario.Product{{Name: "read", Share: 1, Law: model.Constant, Work: instantWork, LatencySLO: scenario.Span(time.Second), ClientTimeout: scenario.Span(2 * time.Second), BilledValue: 1, Effect: scenario.Idempotent}},
		Tenants:  []scenario.Tenant{{Name: "all", Share: 1, Usage: 1}},
		Rules:    scenario.Rules{DrainGrace: scenario.Span(time.Second), FallMultiple: 3, FallFor: scenario.Span(2 * time.Second)},
	}
	return d
}

// Rates measures rates one after the other, each straight and through a balancer, so often; figures are the medians of
// the repeats.
func Rates(ctx context.Context, launch runner.Launch, rates []float64, length time.Duration, repeats int, report func(Row)) ([]Row, error) {
	var rows []Row
	for _, perS := range rates {
		var straight, through []load.Percentiles
		var lateStraight, lateThrough []time.Duration
		row := Row{PerS: perS}
		for i := range repeats {
			for _, isStraight := range []bool{true, false} {
				latency, late, cpu, good, err := measureOnce(ctx, launch, baseScenario(perS, length, uint64(i+1)), isStraight)
				switch {
				case err != nil:
					return rows, err
				case isStraight:
					straight, lateStraight = append(straight, latency), append(lateStraight, late.P999)
				default:
					through, lateThrough = append(through, latency), append(lateThrough, late.P999)
					row.CPU, row.Fulfilled = cpu, good
				}
			}
		}
		medians := func(value func(load.Percentiles) time.Duration) Pair {
			return Pair{median(straight, value), median(through, value)}
		}
		row.P50 = medians(func(p load.Percentiles) time.Duration { return p.P50 })
		row.P99 = medians(func(p load.Percentiles) time.Duration { return p.P99 })
		row.P999 = medians(func(p load.Percentiles) time.Duration { return p.P999 })
		identity := func(d time.Duration) time.Duration { return d }
		row.Late = Pair{median(lateStraight, identity), median(lateThrough, identity)}
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

func measureOnce(ctx context.Context, launch runner.Launch, sc *scenario.Day, straight bool) (latency, late load.Percentiles, cpu time.Duration, good Share, err error) {
	dir, err := os.MkdirTemp("", "rehearse-")
	if err != nil {
		return latency, late, 0, good, err
	}
	defer os.RemoveAll(dir)
	session, err := runner.Up(ctx, sc, launch, filepath.Clean(dir))
	if err != nil {
		return latency, late, 0, good, err
	}
	if straight {
		session.Straight("n-1")
	}
	err = session.Play(ctx)
	session.End()
	tally := session.Callers.Tally()
	good = Share{Of: tally.Due, Good: tally.Fulfilled}
	for _, l := range session.Rec.Lives {
		cpu += l.CPU
	}
	return session.Callers.Latency(), session.Callers.Lateness(), cpu / time.Duration(max(1, tally.Due)), good, err
}

// Head and Line write rows as a table.
func Head(to io.Writer) {
	fmt.Fprintf(to, "%9s  %27s  %27s  %27s  %19s  %9s  %s\n", "calls/s", "p50 straight, through, adds", "p99", "p99.9",
		"sent late at p99.9", "CPU/call", "fulfilled")
}

// Line writes one row.
func Line(to io.Writer, r Row) {
	three := func(p Pair) string {
		return fmt.Sprintf("%8v %8v %9v", p.Straight.Round(time.Microsecond), p.Through.Round(time.Microsecond), (p.Through - p.Straight).Round(time.Microsecond))
	}
	fmt.Fprintf(to, "%9.0f  %s  %s  %s  %9v %9v  %9v  %d of %d\n", r.PerS, three(r.P50), three(r.P99), three(r.P999), r.Late.Straight, r.Late.Through,
		r.CPU.Round(100*time.Nanosecond), r.Fulfilled.Good, r.Fulfilled.Of)
}

// Driven is the highest rate at which the sends to a node straight kept to LateMost.
func Driven(rows []Row) (perS float64) {
	for _, r := range rows {
		if r.Late.Straight <= LateMost {
			perS = max(perS, r.PerS)
		}
	}
	return perS
}
