// Command knownred runs all tests and ignores only the failures of the tests that KNOWN-RED.txt lists: tests that fail
// because of a known fault that is not fixed yet. Its last line of output counts the tests that passed and failed.
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
	listFile         = "KNOWN-RED.txt"
	maxKnownFailures = 3 // a longer list would make ignored failures normal
)

func main() {
	text, err := os.ReadFile(listFile)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		fail(err)
	}
	known, err := parseList(string(text))
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
	r, err := readEvents(out, os.Stdout)
	if err != nil {
		fail(err)
	}
	err = r.check(known, cmd.Wait() != nil)
	for _, k := range known {
		fmt.Printf("known red: %s, %s, %s\n", k.test, k.cause, k.issue)
	}
	fmt.Printf("%d passed, %d failed\n", r.passed, r.failed)
	if err != nil {
		fail(err)
	}
}

// fail prints an error and exits with code 1.
func fail(err error) {
	fmt.Fprintln(os.Stderr, err)
	os.Exit(1)
}

// knownFailure is one line of the list: a test, why it fails and the issue that tracks the fault.
type knownFailure struct{ test, cause, issue string }

// parseList parses the list. Each line has the form: test, cause, issue.
func parseList(text string) (failures []knownFailure, err error) {
	for _, line := range strings.Split(text, "\n") {
		if strings.TrimSpace(line) == "" {
			continue
		}
		test, rest, _ := strings.Cut(line, ",")
		i := strings.LastIndex(rest, ",")
		if i < 0 {
			return nil, fmt.Errorf("%s: %q is not: test, cause, issue", listFile, line)
		}
		r := knownFailure{strings.TrimSpace(test), strings.TrimSpace(rest[:i]), strings.TrimSpace(rest[i+1:])}
		switch {
		case !strings.HasPrefix(r.test, "Test") || strings.ContainsAny(r.test, " /"):
			return nil, fmt.Errorf("%s: %q names no test", listFile, line)
		case r.cause == "":
			return nil, fmt.Errorf("%s: %q has no cause", listFile, line)
		case !strings.ContainsAny(r.issue, "0123456789"):
			return nil, fmt.Errorf("%s: %q names no issue", listFile, line)
		}
		failures = append(failures, r)
	}
	if len(failures) > maxKnownFailures {
		return nil, fmt.Errorf("%s: %d lines, %d at most", listFile, len(failures), maxKnownFailures)
	}
	return failures, nil
}

// result is the outcome of a test run.
type result struct {
	passed, failed int
	ran            map[string]bool     // top-level tests that passed or failed
	failedTests    map[string][]string // the failed top-level tests of each package
	incomplete     []string            // packages that did not build, panicked, or failed without a failed test
}

// readEvents reads the events of "go test -json" and prints package results, failures and build output as go test does.
func readEvents(events io.Reader, out io.Writer) (*result, error) {
	r := &result{ran: map[string]bool{}, failedTests: map[string][]string{}}
	panicked := map[string]bool{}
	in := bufio.NewScanner(events)
	in.Buffer(nil, 16<<20)
	for in.Scan() {
		var event struct{ Action, Package, ImportPath, Test, Output string }
		if err := json.Unmarshal(in.Bytes(), &event); err != nil {
			return nil, fmt.Errorf("go test: %q: %w", in.Text(), err)
		}
		if event.Action == "output" && (event.Test == "" && !strings.HasPrefix(event.Output, "?") || strings.Contains(event.Output, "--- FAIL") || strings.Contains(event.Output, "_test.go:")) ||
			event.Action == "build-output" {
			io.WriteString(out, event.Output)
		}
		if strings.HasPrefix(event.Output, "panic:") || strings.HasPrefix(event.Output, "fatal error:") || strings.Contains(event.Output, "test timed out") {
			panicked[event.Package] = true // the package's remaining tests did not run
		}
		if name, _, isSubtest := strings.Cut(event.Test, "/"); event.Test != "" && !isSubtest {
			switch event.Action {
			case "pass":
				r.passed++
				r.ran[name] = true
			case "fail":
				r.failed++
				r.ran[name] = true
				r.failedTests[event.Package] = append(r.failedTests[event.Package], name)
			}
		}
		switch {
		case event.Action == "build-fail":
			r.incomplete = append(r.incomplete, event.ImportPath)
		case event.Action == "fail" && event.Test == "" && (len(r.failedTests[event.Package]) == 0 || panicked[event.Package]):
			r.incomplete = append(r.incomplete, event.Package)
		}
	}
	return r, in.Err()
}

// check returns why the test run failed, or nil if it passed apart from known failures. The parameter failed says whether
// go test returned an error.
func (r *result) check(known []knownFailure, failed bool) error {
	if len(r.incomplete) > 0 {
		return fmt.Errorf("not run to their end: %s", strings.Join(r.incomplete, ", "))
	}
	for _, k := range known {
		if !r.ran[k.test] {
			return fmt.Errorf("%s: there is no test %s", listFile, k.test)
		}
	}
	var new []string
	for _, tests := range r.failedTests {
		for _, test := range tests {
			if !slices.ContainsFunc(known, func(k knownFailure) bool { return k.test == test }) {
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
