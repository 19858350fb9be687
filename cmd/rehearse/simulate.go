package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"

	"streamrail/internal/rehearsal/measure"
	"streamrail/internal/rehearsal/report"
	"streamrail/internal/rehearsal/scenario"
	"streamrail/internal/rehearsal/virtual"
)

// simulateCommand runs a scenario in virtual time with one or more seeds.
type simulateCommand struct {
	Name      string `arg:"" help:"A built-in rehearsal or a scenario file."`
	Seeds     string `default:"1" help:"Seeds, e.g. 1-100 or 3,5."`
	Balancers int    `help:"The number of balancers, in place of the file's."`
	Trace     string `help:"Write one line per event to a file; with one seed only." type:"path" placeholder:"FILE"`
	JSON      bool   `help:"Print the reports as JSON."`
}

// parseSeeds parses a list of numbers and ranges.
func parseSeeds(text string) (list []uint64, err error) {
	for part := range strings.SplitSeq(text, ",") {
		low, high, ranged := strings.Cut(part, "-")
		a, errA := strconv.ParseUint(low, 10, 64)
		b, errB := a, error(nil)
		if ranged {
			b, errB = strconv.ParseUint(high, 10, 64)
		}
		if errA != nil || errB != nil || b < a || b-a >= maxSeedsPerRange {
			return nil, fmt.Errorf("--seeds: %w: expected numbers and ranges like 1-100 of at most %d, got %q", scenario.ErrFaulty, maxSeedsPerRange, part)
		}
		for n := a; n <= b; n++ {
			list = append(list, n)
		}
	}
	return list, nil
}

// maxSeedsPerRange limits the length of one range of seeds.
const maxSeedsPerRange = 100_000

func (c simulateCommand) Run() error {
	list, err := parseSeeds(c.Seeds)
	if err != nil {
		return err
	}
	var trace io.Writer
	if c.Trace != "" {
		if len(list) != 1 {
			return fmt.Errorf("--trace: %w: one seed only", scenario.ErrFaulty)
		}
		f, err := os.Create(c.Trace)
		if err != nil {
			return err
		}
		defer f.Close()
		w := bufio.NewWriter(f)
		defer w.Flush()
		trace = w
	}
	reports := make([]*report.Report, len(list))
	err = measure.RunParallel(len(list), runtime.GOMAXPROCS(0), func(i int) (err error) {
		reports[i], err = c.simulateSeed(list[i], trace)
		return err
	})
	if err != nil {
		return err
	}
	if c.JSON {
		if err := printJSON(reports); err != nil {
			return err
		}
	} else if len(reports) == 1 {
		reports[0].Text(os.Stdout)
	} else {
		printSummary(reports)
	}
	for _, r := range reports {
		if r.Outcome != report.Kept {
			return exitError(r.Outcome)
		}
	}
	return nil
}

// simulateSeed runs the scenario with one seed.
func (c simulateCommand) simulateSeed(seed uint64, trace io.Writer) (*report.Report, error) {
	sc, err := scenario.Open(c.Name)
	if err != nil {
		return nil, err
	}
	sc.Seed = seed
	if c.Balancers != 0 {
		sc.Fleet.Balancers = c.Balancers
	}
	res, err := virtual.Simulate(sc, trace)
	if err != nil {
		return nil, err
	}
	return report.New(res), nil
}

// printSummary prints the range of the service over all seeds and every seed that broke a rule.
func printSummary(reports []*report.Report) {
	var service []float64
	for _, r := range reports {
		service = append(service, r.Service.Whole)
		for _, rule := range r.Verdict.BrokenRules() {
			fmt.Printf("seed %d: broken: %s\n", r.Seed, rule)
		}
	}
	slices.Sort(service)
	fmt.Printf("%s, %d seeds in virtual time: service least %.3f, median %.3f, most %.3f\n", reports[0].Name, len(reports),
		service[0], service[len(service)/2], service[len(service)-1])
}
