// Command rehearse runs scenarios (rehearsals) against real balancers on one machine. It provides stand-ins for the cache
// hosts, the origin (gateway) and the discovery service (register), generates clients' requests and injects faults. A judge
// reports for each rule how often it was checked and whether it was broken.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"streamrail/internal/rehearsal/scenario"
)

// Exit codes.
const (
	exitUsage  = 2
	exitUnsure = 3
)

// commandLine holds the commands. Their names and flags are derived from the names of the fields.
type commandLine struct {
	List     listCommand     `cmd:"" help:"List the built-in rehearsals and the kinds of faults."`
	Check    checkCommand    `cmd:"" help:"Check scenario files."`
	Run      runCommand      `cmd:"" help:"Run one rehearsal and judge it."`
	Simulate simulateCommand `cmd:"" help:"Run a rehearsal in virtual time, without sockets, with one or more seeds."`
	Search   searchCommand   `cmd:"" help:"Run random scenarios with faults of all kinds in virtual time; print and shrink those that break a rule or have the lowest service."`
	Up       upCommand       `cmd:"" help:"Start a fleet and its balancers and keep them running for manual tests."`
	Suite    suiteCommand    `cmd:"" help:"Run all built-in rehearsals, as many at the same time as the cores allow."`
	Measure  measureCommand  `cmd:"" help:"Measure the load generator's highest rate on this machine and what a balancer adds to a request."`
	Compare  compareCommand  `cmd:"" help:"Compare two reports, or two balancer programs in the same rehearsals."`
}

func main() {
	var c commandLine
	p := kong.Must(&c, kong.Name("rehearse"), kong.UsageOnError(),
		kong.Description("Exit 0: all rules kept; 1: a rule broken; 2: faulty file or usage; 3: the machine was too slow to judge, or another error."),
		kong.Exit(func(code int) {
			if code != 0 {
				code = exitUsage
			}
			os.Exit(code)
		}))
	ctx, err := p.Parse(os.Args[1:])
	p.FatalIfErrorf(err)
	err = ctx.Run()
	var code exitCode
	switch {
	case err == nil:
	case errors.As(err, &code):
		os.Exit(int(code))
	default:
		fmt.Fprintln(os.Stderr, "rehearse:", err)
		if errors.Is(err, scenario.ErrFaulty) || errors.Is(err, os.ErrNotExist) {
			os.Exit(exitUsage)
		}
		os.Exit(exitUnsure) // nothing was judged
	}
}

// exitCode is an error that ends the program with this exit code and without a message.
type exitCode int

func (c exitCode) Error() string { return fmt.Sprintf("exit code %d", int(c)) }
