// Command rehearse plays days against real balancers on one machine: stand-in cache nodes, a gateway and a register,
// callers, faults, and a judge that says rule by rule what was checked and what was broken.
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

type commandLine struct {
	List     listCommand     `cmd:"" help:"List the built-in rehearsals and the kinds of faults."`
	Check    checkCommand    `cmd:"" help:"Check scenario files."`
	Run      runCommand      `cmd:"" help:"Play one rehearsal and judge it."`
	Simulate simulateCommand `cmd:"" help:"Play a rehearsal in virtual time, without sockets, on many seeds."`
	Search   searchCommand   `cmd:"" help:"Draw days with faults of all kinds in virtual time; tell and shrink those that break a rule or serve least."`
	Up       upCommand       `cmd:"" help:"Hold a fleet and its balancers up, for trying by hand."`
	Suite    suiteCommand    `cmd:"" help:"Play all built-in rehearsals, side by side as cores allow."`
	Measure  measureCommand  `cmd:"" help:"Measure how far the load generator goes here, and what a balancer adds to a call."`
	Compare  compareCommand  `cmd:"" help:"Compare two reports, or two balancer programs on the same days."`
}

func main() {
	var c commandLine
	p := kong.Must(&c, kong.Name("rehearse"), kong.UsageOnError(),
		kong.Description("Exit 0: all rules kept; 1: a rule broken; 2: faulty file or usage; 3: the machine ran too late to judge."),
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

// exitCode ends the program with a code, all having been said.
type exitCode int

func (c exitCode) Error() string { return fmt.Sprintf("exit code %d", int(c)) }
