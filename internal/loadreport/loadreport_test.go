package loadreport

import (
	"strings"
	"testing"

	"streamrail/policy"
)

func TestParse(t *testing.T) {
	for text, want := range map[string]policy.LoadReport{
		"util:0.62,eps:0.5,inflight:7,x1:1.25": {InProgress: 7, Utilisation: 0.62, ServiceSeconds: -1},
		"latency_ms:80":                        {InProgress: -1, Utilisation: -1, ServiceSeconds: 0.08},
		"util:1.04,inflight:0":                 {InProgress: 0, Utilisation: 1.04, ServiceSeconds: -1},
		"util:-0.1,inflight:3":                 {InProgress: 3, Utilisation: -1, ServiceSeconds: -1},
		"util:NaN,inflight:Inf,latency_ms:5":   {InProgress: -1, Utilisation: -1, ServiceSeconds: 0.005},
		"inflight:1,inflight:900":              {InProgress: 1, Utilisation: -1, ServiceSeconds: -1},
		"inflight:1e12,util:x,latency_ms:1":    {InProgress: -1, Utilisation: -1, ServiceSeconds: 0.001},
	} {
		if got := Parse(text, ":"); got == nil || *got != want {
			t.Errorf("%q: %+v, expected %+v", text, got, want)
		}
	}
	for _, text := range []string{"", "-", "L", "=,=", "qps:12", "util", "util:", ":3", "util:0,5x", strings.Repeat("x:1,", 40) + "util:1"} {
		if got := Parse(text, ":"); got != nil && text != "util:0,5x" {
			t.Errorf("%q: %+v", text, got)
		}
	}
	if got := Parse("inflight=7,queue=2,util=0.61", "="); got == nil || got.InProgress != 7 || got.Utilisation != 0.61 {
		t.Errorf("with = as the separator: %+v", got)
	}
}
