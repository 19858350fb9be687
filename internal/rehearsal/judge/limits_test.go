package judge

import (
	"slices"
	"testing"
	"time"

	"streamrail/internal/rehearsal/record"
)

// Each fault in how balancers share a limit, or open connections, breaks just the rule that covers it.
func TestLimits(t *testing.T) {
	const n = 3
	judgeRun := func(share func(b int, at time.Duration) float64, demand func(b int) float64, openings int) []Rule {
		rec := record.New()
		for b := range n {
			rec.Memberships = append(rec.Memberships, record.Membership{Balancer: b, ProcessID: "x"})
			for at := time.Duration(0); at < 20*time.Second; at += 250 * time.Millisecond {
				rec.LimitShares = append(rec.LimitShares, record.LimitShare{Balancer: b, At: at + time.Duration(b)*time.Millisecond, Limit: "a", Share: share(b, at), Demand: demand(b), Quota: 100})
			}
		}
		for i := range openings {
			rec.Openings = append(rec.Openings, record.Opening{Server: "h", Balancer: i % n, At: 5*time.Second + time.Duration(i)*time.Millisecond})
		}
		config := Config{OpeningsPerSecond: 40, Membership: MembershipConfig{Balancers: n, ProbePeriod: 100 * time.Millisecond, SuspicionTimeout: 400 * time.Millisecond, GossipBytesPerSecond: 3000, Lease: time.Second}}
		return Judge(rec, config).BrokenRules()
	}
	demandAtFirstBalancer := func(b int) float64 {
		if b == 0 {
			return 110
		}
		return 0
	}
	sharesFollowDemand := func(b int, _ time.Duration) float64 { return [n]float64{0.94, 0.03, 0.03}[b] }
	for name, row := range map[string]struct {
		got  []Rule
		want []Rule
	}{
		"correct shares": {judgeRun(sharesFollowDemand, demandAtFirstBalancer, 30), nil},
		"a share in use at two balancers": {judgeRun(func(b int, at time.Duration) float64 {
			if b == 1 && at > 10*time.Second {
				return 0.3 // still uses a share that it has lent
			}
			return sharesFollowDemand(b, at)
		}, demandAtFirstBalancer, 0), []Rule{SharesWithinLimit}},
		"a share that moves between two samples": {judgeRun(func(b int, at time.Duration) float64 {
			if b == 1 && at == 10*time.Second {
				return 0.3
			}
			return sharesFollowDemand(b, at)
		}, demandAtFirstBalancer, 0), nil},
		"equal shares":      {judgeRun(func(int, time.Duration) float64 { return 1.0 / n }, demandAtFirstBalancer, 0), []Rule{ShareFollowsTraffic}},
		"equal demands":     {judgeRun(func(int, time.Duration) float64 { return 1.0 / n }, func(int) float64 { return 90 }, 0), nil},
		"too many openings": {judgeRun(sharesFollowDemand, demandAtFirstBalancer, 60), []Rule{OpeningsBounded}},
	} {
		// Views of other members are missing here, which breaks rules that this test is not about.
		if got := slices.DeleteFunc(row.got, func(r Rule) bool { return r != SharesWithinLimit && r != ShareFollowsTraffic && r != OpeningsBounded }); !slices.Equal(got, row.want) {
			t.Errorf("%s: broke rules %q, expected %q", name, got, row.want)
		}
	}
}

// Of two processes with one name each has to report the conflict at its admin API within the bound.
func TestSharedName(t *testing.T) {
	membership := MembershipConfig{Balancers: 2, ProbePeriod: 100 * time.Millisecond, SuspicionTimeout: 400 * time.Millisecond, GossipBytesPerSecond: 3000}
	for _, reporting := range [][]int{{0, 1}, {0}, {}} {
		rec := record.New()
		rec.Pauses = []record.Pause{{Balancer: 0, SameNameAs: 2, From: time.Second, To: time.Minute}}
		for _, b := range reporting {
			rec.Views = append(rec.Views, record.MembershipView{Balancer: b, At: 2 * time.Second, NameConflict: true})
		}
		v := Judge(rec, Config{Membership: membership})
		i := slices.IndexFunc(v.Findings, func(f Finding) bool { return f.Rule == NameConflictReported })
		if f := v.Findings[i]; f.Checked != 2 || f.Breaches != 2-len(reporting) {
			t.Errorf("reported by %v: %d checked, %d breaches, expected 2 and one for each process that did not report", reporting, f.Checked, f.Breaches)
		}
	}
}
