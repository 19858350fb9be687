package benchwire

import (
	"strings"
	"testing"
)

const launch = "LAUNCH\t0\t7\tbalancers=3\textra.mode=aside\textra.originKind=1\tcaps.mostShots=4\ttickNs=5000000\treport.source=answers\t" +
	"rules.rampTimeNs=1000000000\tproducts.count=1\tproducts.0.effect=idempotent\tproducts.0.latencySloNs=300000000"

// runBatch starts a balancer with two cache hosts and returns the actions that a batch of lines then causes.
func runBatch(t *testing.T, lines ...string) string {
	t.Helper()
	in := "SYNC\t1000000000\n" + launch + "\nSNAPSHOT_ROWS\t0\t2\nROW\ta\t0\t0\t0\tU\t1\t-\nROW\tb\t0\t0\t0\tU\t1\t-\n" +
		"MEMBERS\t0\trestored\t1\t0\nFLUSH\nSYNC\t1005000000\n" + strings.Join(lines, "\n") + "\nFLUSH\n"
	var out strings.Builder
	if err := New(strings.NewReader(in), &out).Run(); err != nil {
		t.Fatalf("%q: %v", lines, err)
	}
	_, second, _ := strings.Cut(out.String(), "READY\n")
	return second
}

// TestExpectedWork checks that the expected work is used only if its bit marks it as valid, and is ignored if it is absent, zero
// or negative.
func TestExpectedWork(t *testing.T) {
	for order, want := range map[string]string{
		"1\tk\t600000000\t301000000": "REFUSE", "1\tk\t600000000\t299000000": "FORWARD", "0\tk\t600000000\t301000000": "FORWARD",
		"1\tk\t600000000\t-": "FORWARD", "1\tk\t600000000\t0": "FORWARD", "1\tk\t600000000\t-301000000": "FORWARD",
	} {
		got := runBatch(t, "ORDER\t0\t00565ee75d3a91c4\t0\t"+order+"\t-\t0")
		if !strings.Contains(got, want+"\t0\t00565ee75d3a91c4") {
			t.Errorf("%q: %q", order, got)
		}
	}
}

// TestMalformedReportsAndMessages checks that an outcome counts even if its load report is malformed, and that messages of other
// balancers, well-formed or not, change nothing.
func TestMalformedReportsAndMessages(t *testing.T) {
	order := "ORDER\t0\t00565ee75d3a91c4\t0\t0\tk\t600000000\t-\t-\t0"
	plain := runBatch(t, order)
	for _, line := range []string{"WHISPER\t0\t2\taGkgNw==", "WHISPER\t0\t2\t!!", "WHISPER\t0\t99\t-", "WHISPER\t0"} {
		if got := runBatch(t, line, order, line); got != plain {
			t.Errorf("%q: %q, expected %q", line, got, plain)
		}
	}
	host := "a"
	if strings.Contains(plain, "\tb\t") {
		host = "b"
	}
	for _, report := range []string{"-", "", "util:", "util:x,inflight:-1", "qps:1", "util:NaN", ",,,:::"} {
		done := "DONE\t0\t00565ee75d3a91c4\t0\t0\t8\t5000000\t-\t" + host + "\t" + report
		got := runBatch(t, order, done)
		if strings.Count(got, "FORWARD\t0\t00565ee75d3a91c4") != 2 {
			t.Errorf("report %q: %q", report, got)
		}
	}
}
