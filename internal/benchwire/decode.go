// Package benchwire connects balancers to the simulator: it reads and writes the simulator's line protocol and decodes its
// settings.
package benchwire

import (
	"fmt"
	"strconv"
	"strings"

	"streamrail/internal/deployment"
	"streamrail/internal/loadreport"
	"streamrail/policy"
)

var outcomes = map[string]policy.Outcome{
	"0": policy.Fulfilled, "13": policy.Errored, "8": policy.Rejected, "4": policy.TimedOut,
	"14": policy.ConnectFailed, "10": policy.Reset, "1": policy.Cancelled, "9": policy.NeverSent,
	"5": policy.CacheMiss,
}

var listKinds = map[string]policy.ListKind{
	"update": policy.ListUpdate, "replace": policy.ListReplace,
	"restored": policy.ListRestored, "unavailable": policy.ListUnavailable,
}

var conditions = map[string]policy.Condition{"U": policy.Up, "L": policy.Draining, "D": policy.Gone}

// fields reads the tab-separated values of one line and records the first malformed one.
type fields struct {
	parts []string
	err   error
}

func (f *fields) fail(what, v string) {
	if f.err == nil {
		f.err = fmt.Errorf("malformed %s %q", what, v)
	}
}

// text returns the i-th value, or "" if it is absent.
func (f *fields) text(i int) string {
	if i >= len(f.parts) || f.parts[i] == "-" {
		return ""
	}
	return f.parts[i]
}

func (f *fields) required(i int) string {
	if v := f.text(i); v != "" {
		return v
	}
	f.fail("line with a missing value", strings.Join(f.parts, " "))
	return ""
}

func (f *fields) number(i int) int64 {
	v := f.text(i)
	if v == "" {
		return 0
	}
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil {
		f.fail("number", v)
	}
	return n
}

func (f *fields) nanos(i int) policy.Nanos { return policy.Nanos(f.number(i)) }

func lookUp[T any](f *fields, what string, values map[string]T, v string) T {
	t, ok := values[v]
	if !ok {
		f.fail(what, v)
	}
	return t
}

func (f *fields) entry() policy.HostEntry {
	e := policy.HostEntry{
		HostID: policy.HostID(f.required(1)), Zone: policy.Zone(f.number(2)), Kind: policy.MachineKind(f.number(3)),
		Cell: policy.Cell(f.number(4)), Condition: lookUp(f, "condition", conditions, f.text(5)),
		Size: 1, ListedStart: f.nanos(7),
	}
	if v := f.text(6); v != "" {
		size, err := strconv.ParseFloat(v, 64)
		if err != nil {
			f.fail("size", v)
		}
		e.Size = size
	}
	return e
}

func (f *fields) request(now policy.Nanos) policy.Request {
	bits := f.number(4)
	return policy.Request{
		ID: policy.RequestID(f.required(2)), Customer: policy.Customer(f.number(3)), Key: policy.Key(f.text(5)),
		ClientRetry: bits&2 != 0, Write: bits&4 != 0, Deadline: now + f.nanos(6), ExpectedWork: f.expectedWork(bits), Product: policy.Product(f.number(9)),
	}
}

// expectedWork returns the expected work of a request, or 0 if the line marks it as invalid.
func (f *fields) expectedWork(bits int64) policy.Nanos {
	if n := f.nanos(7); bits&1 != 0 {
		return max(0, n)
	}
	return 0
}

func (f *fields) attemptResult() policy.AttemptResult {
	outcome, known := outcomes[f.text(5)]
	if !known {
		outcome = policy.Unknown
	}
	f.number(7) // hit status of a read: not used, but a malformed value is an error
	return policy.AttemptResult{
		RequestID: policy.RequestID(f.required(2)), Attempt: int(f.number(3)), Final: f.text(4) == "1", Outcome: outcome,
		Duration: f.nanos(6), HostID: policy.HostID(f.required(8)),
		Load: loadreport.Parse(f.text(9), ":"),
	}
}

// config decodes the settings, given as path=value pairs.
func (f *fields) config() policy.Config {
	pairs := deployment.Pairs{}
	for _, p := range f.parts {
		if path, v, ok := strings.Cut(p, "="); ok && v != "-" {
			pairs[path] = v
		}
	}
	config, err := deployment.ParsePolicyConfig(pairs)
	if f.err == nil {
		f.err = err
	}
	return config
}
