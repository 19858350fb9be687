// Command knownred runs all tests and passes over just those failures that KNOWN-RED.txt lists: tests that fail for a fault which is
// known and not mended yet. Its last line counts tests.
package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"slices"
	"strings"
)

const (
	listed = "KNOWN-RED.txt"
	most   = 3 // more are no exceptions any more
)

func main() {
	text, err := os.ReadFile(listed)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		fail(err)
	}
	known, err := parse(string(text))
	if err != nil {
		fail(err)
	}
	cmd := exec.Command("go", append([]string{"test", "-json", "-count=1"}, os.Args[1:]...)...)
	cmd.Stderr = os.Stderr
	out, err := cmd.StdoutPipe()
	if err != nil {
		fail(err)
	}
	if err := cmd.Start(); err != nil {
		fail(err)
	}
	r, err := read(out, os.Stdout)
	if err != nil {
		fail(err)
	}
	err = r.judge(known, cmd.Wait() != nil)
	for _, k := range known {
		fmt.Printf("known red: %s, %s, %s\n", k.test, k.cause, k.issue)
	}
	fmt.Printf("%d passed, %d failed\n", r.passed, r.failed)
	if err != nil {
		fail(err)
	}
}

func fail(err error) {
	fmt.Fprintln(os.Stderr, err)
	os.Exit(1)
}

// red is a line of the list.
type red struct{ test, cause, issue string }

// parse reads the list: test, cause, issue on each line.
func parse(text string) (all []red, err error) {
	for _, line := range strings.Split(text, "\n") {
		if strings.TrimSpace(line) == "" {
			continue
		}
		test, rest, _ := strings.Cut(line, ",")
		i := strings.LastIndex(rest, ",")
		if i < 0 {
			return nil, fmt.Errorf("%s: %q is not: test, cause, issue", listed, line)
		}
		r := red{strings.TrimSpace(test), strings.TrimSpace(rest[:i]), strings.TrimSpace(rest[i+1:])}
		switch {
		case !strings.HasPrefix(r.test, "Test") || strings.ContainsAny(r.test, " /"):
			return nil, fmt.Errorf("%s: %q names no test", listed, line)
		case r.cause == "":
			return nil, fmt.Errorf("%s: %q has no cause", listed, line)
		case !strings.ContainsAny(r.issue, "0123456789"):
			return nil, fmt.Errorf("%s: %q names no issue", listed, line)
		}
		all = append(all, r)
	}
	if len(all) > most {
		return nil, fmt.Errorf("%s: %d lines, %d at most", listed, len(all), most)
	}
	return all, nil
}

// result is what came of the tests, by packages.
type result struct {
	passed, failed int
	ran            map[string]bool     // by test
	red            map[string][]string // by package that failed: the tests that did
	broken         []string            // packages that ended otherwise than by failed tests
}

// read follows the events of go test and prints what it would print.
func read(events io.Reader, to io.Writer) (*result, error) {
	r := &result{ran: map[string]bool{}, red: map[string][]string{}}
	panicked := map[string]bool{}
	in := bufio.NewScanner(events)
	in.Buffer(nil, 16<<20)
	for in.Scan() {
		var e struct{ Action, Package, ImportPath, Test, Output string }
		if err := json.Unmarshal(in.Bytes(), &e); err != nil {
			return nil, fmt.Errorf("go test: %q: %w", in.Text(), err)
		}
		if e.Action == "output" && (e.Test == "" && !strings.HasPrefix(e.Output, "?") || strings.Contains(e.Output, "--- FAIL") || strings.Contains(e.Output, "_test.go:")) ||
			e.Action == "build-output" {
			io.WriteString(to, e.Output)
		}
		if strings.HasPrefix(e.Output, "panic:") || strings.HasPrefix(e.Output, "fatal error:") || strings.Contains(e.Output, "test timed out") {
			panicked[e.Package] = true // tests behind it did not run
		}
		if top, _, sub := strings.Cut(e.Test, "/"); e.Test != "" && !sub {
			switch e.Action {
			case "pass":
				r.passed++
				r.ran[top] = true
			case "fail":
				r.failed++
				r.ran[top] = true
				r.red[e.Package] = append(r.red[e.Package], top)
			}
		}
		switch {
		case e.Action == "build-fail":
			r.broken = append(r.broken, e.ImportPath)
		case e.Action == "fail" && e.Test == "" && (len(r.red[e.Package]) == 0 || panicked[e.Package]):
			r.broken = append(r.broken, e.Package)
		}
	}
	return r, in.Err()
}

// judge tells why the tests as a whole have failed; nil: they have not, but for what is known.
func (r *result) judge(known []red, failed bool) error {
	if len(r.broken) > 0 {
		return fmt.Errorf("not run to their end: %s", strings.Join(r.broken, ", "))
	}
	for _, k := range known {
		if !r.ran[k.test] {
			return fmt.Errorf("%s: there is no test %s", listed, k.test)
		}
	}
	var new []string
	for _, tests := range r.red {
		for _, test := range tests {
			if !slices.ContainsFunc(known, func(k red) bool { return k.test == test }) {
				new = append(new, test)
			}
		}
	}
	switch {
	case len(new) > 0:
		slices.Sort(new)
		return fmt.Errorf("failed: %s", strings.Join(new, ", "))
	case failed && r.failed == 0:
		return errors.New("go test failed, and no test did")
	case r.passed == 0:
		return errors.New("no test ran")
	}
	return nil
}
