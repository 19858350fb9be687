package search

import (
	"context"
	"testing"

	"streamrail/internal/rehearsal/scenario"
)

const smallScenario = `
length = "8s"
[fleet]
zones = ["east", "west"]
balancers = 3
[[node]]
name = "e"
zone = "east"
count = 2
warm_for = "5s"
[[node]]
name = "w"
zone = "west"
count = 2
warm_for = "5s"
[load]
per_s = 60.0
keys = 300
`

func base(t *testing.T) *scenario.Scenario {
	t.Helper()
	d, err := scenario.Parse("small", []byte(smallScenario))
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// A fixed set of random scenarios must break no rule and give the same result with any number of workers. A scenario that was
// found must survive being written to a file and read back, with the same simulated service.
func TestRun(t *testing.T) {
	a, err := Run(context.Background(), base(t), 1, 150, 8)
	if err != nil {
		t.Fatal(err)
	}
	b, _ := Run(context.Background(), base(t), 1, 150, 2)
	if a.Simulated != 150 || b.Simulated != 150 || a.LowestService[0].Service != b.LowestService[0].Service || a.LowestService[9].Scenario.Seed != b.LowestService[9].Scenario.Seed {
		t.Errorf("results differ between 8 and 2 workers: %d and %d scenarios, lowest service %v and %v", a.Simulated, b.Simulated, a.LowestService[0].Service, b.LowestService[0].Service)
	}
	for _, f := range a.Broken {
		t.Errorf("seed %d: broken rules %q", f.Scenario.Seed, f.Broken)
	}
	text, err := a.LowestService[0].Scenario.Text()
	if err != nil {
		t.Fatal(err)
	}
	d, err := scenario.Parse("found.toml", text)
	if err != nil {
		t.Fatalf("%v\n%s", err, text)
	}
	if f, _, err := simulate(d); err != nil || f.Service != a.LowestService[0].Service {
		t.Errorf("read back: service %v, expected %v; %v", f.Service, a.LowestService[0].Service, err)
	}
}

// A shrunk scenario must show the same problem and contain nothing that is not needed for it.
func TestShrink(t *testing.T) {
	d := base(t)
	d.Faults = []scenario.Fault{
		{Kind: "hot", At: scenario.Span(1e9), Length: scenario.Span(1e9), Share: 0.1, Keys: 3},
		{Kind: "vanish", At: scenario.Span(2e9), Length: scenario.Span(5e9), Hosts: []string{"*"}},
		{Kind: "register-silent", At: scenario.Span(1e9), Length: scenario.Span(1e9), Balancers: []int{1}},
	}
	f, _, err := simulate(d)
	if err != nil {
		t.Fatal(err)
	}
	got, err := Shrink(f)
	if err != nil {
		t.Fatal(err)
	}
	if len(got.Scenario.Faults) != 1 || got.Scenario.Faults[0].Kind != "vanish" || got.Scenario.Fleet.Balancers != 1 {
		t.Errorf("%d faults and %d balancers are left, expected the vanish fault and 1 balancer: %+v", len(got.Scenario.Faults), got.Scenario.Fleet.Balancers, got.Scenario.Faults)
	}
}
