package main

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"time"

	"streamrail/internal/rehearsal/judge"
	"streamrail/internal/rehearsal/report"
	"streamrail/internal/rehearsal/scenario"
	"streamrail/internal/rehearsal/search"
)

// searchCommand runs random scenarios in virtual time and shrinks the worst ones.
type searchCommand struct {
	Name      string `arg:"" help:"A built-in rehearsal or a scenario file, to which random faults are added."`
	Days      int    `default:"1000" help:"The number of random scenarios."`
	From      uint64 `default:"1" help:"The first seed; each further scenario has the next one."`
	Balancers int    `help:"The number of balancers, in place of the file's."`
	Worst     int    `default:"3" help:"How many of the scenarios with the lowest service are shrunk and printed, in addition to those that broke a rule."`
	Out       string `help:"A directory for the shrunk scenarios, as scenario files." type:"path" placeholder:"DIR"`
}

func (c searchCommand) Run() error {
	base, err := scenario.Open(c.Name)
	if err != nil {
		return err
	}
	if c.Balancers != 0 {
		base.Fleet.Balancers = c.Balancers
	}
	ctx, stop := interruptContext()
	defer stop()
	start := time.Now()
	res, err := search.Run(ctx, base, c.From, c.Days, runtime.GOMAXPROCS(0))
	if err != nil {
		return err
	}
	fmt.Printf("%d scenarios in virtual time from seed %d, %d without a broken rule, in %v\n", res.Simulated, c.From, res.Passed, time.Since(start).Round(time.Second))
	for _, r := range judge.Rules {
		fmt.Printf("  %-38s %9d checked\n", r.Rule, res.Checked[r.Rule])
	}
	for _, found := range append(res.Broken, res.LowestService[:min(c.Worst, len(res.LowestService))]...) {
		shrunk, err := search.Shrink(found)
		if err != nil {
			return err
		}
		if err := c.reportFinding(found, shrunk); err != nil {
			return err
		}
	}
	if res.Passed < res.Simulated {
		return exitError(report.Broken)
	}
	return nil
}

// reportFinding prints a found scenario and its shrunk form, and writes the latter to a file if --out is set.
func (c searchCommand) reportFinding(found, shrunk search.RunResult) error {
	fmt.Printf("\nseed %d: service %.3f", found.Scenario.Seed, found.Service)
	for _, r := range found.Broken {
		fmt.Printf(", broken: %s", r)
	}
	fmt.Printf("; shrunk to %d balancers, %v, service %.3f:\n", shrunk.Scenario.Fleet.Balancers, shrunk.Scenario.Length, shrunk.Service)
	for _, fault := range shrunk.Scenario.Faults {
		fmt.Printf("  %s from %v for %v", fault.Kind, fault.At, fault.Length)
		if len(fault.Hosts) > 0 {
			fmt.Printf(" at %d hosts", len(fault.Hosts))
		}
		fmt.Println()
	}
	if c.Out == "" {
		return nil
	}
	text, err := shrunk.Scenario.Text()
	if err != nil {
		return err
	}
	if err := os.MkdirAll(c.Out, 0o755); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(c.Out, shrunk.Scenario.Name+".toml"), text, 0o644)
}
