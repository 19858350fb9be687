package deployment

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"

	"streamrail/policy"
)

// TestPairsAndJSONAgree checks that the simulator's pairs and a balancer's JSON give the policy the same configuration.
// Otherwise results of simulations would not apply to real balancers.
func TestPairsAndJSONAgree(t *testing.T) {
	pairs := Pairs{}
	for _, p := range strings.Fields(`balancers=3 locality=1 areas=a,b discovery=subscribe extra.mode=aside extra.originKind=2
		caps.mayCancel=true caps.mostShots=6 caps.retryAfter=true caps.maxRetryAfterNs=2000000000
		weights=live rules.coldFrom=0.14 rules.rampTimeNs=24000000000 rules.fallMultiple=3.0 rules.fallNs=2000000000
		rules.askEveryNs=10000000000 tickNs=5000000 products.count=1 products.0.name=p products.0.latencySloNs=500000000
		products.0.billedValue=2.5 products.0.overdueBilledValue=0.5 products.0.effect=deduplicated products.0.group=cell
		products.0.windowNs=8000000000 customers.count=2 customers.0.allowancePerS=66.5 customers.1.allowancePerS=0`) {
		path, v, _ := strings.Cut(p, "=")
		pairs[path] = v
	}
	want, err := ParsePolicyConfig(pairs)
	if err != nil {
		t.Fatal(err)
	}
	if want.Products[0] != (policy.ProductConfig{LatencySLO: policy.Second / 2, BilledValue: 2.5, LateValueFraction: 0.5,
		Effect: policy.Deduplicated, DedupScope: policy.DedupScopeCell, DedupWindow: 8 * policy.Second}) || want.WarmUpTime != 24*policy.Second {
		t.Errorf("from pairs: %+v", want)
	}
	d := &Deployment{}
	if err = d.applySettings(json.RawMessage(`{"balancers":3,"locality":1,"areas":["a","b"],"discovery":"subscribe",
		"extra":{"mode":"aside","originKind":2},"caps":{"mayCancel":true,"mostShots":6,"retryAfter":true,
		"maxRetryAfterNs":2e9},"weights":"live","rules":{"coldFrom":0.14,"rampTimeNs":24000000000,"fallMultiple":3,
		"fallNs":2000000000,"askEveryNs":10000000000},"tickNs":5000000,"products":[{"name":"p","latencySloNs":500000000,
		"billedValue":2.5,"overdueBilledValue":0.5,"effect":"deduplicated","group":"cell","windowNs":8000000000}],
		"customers":[{"name":"x","allowancePerS":66.5},{"name":"y","allowancePerS":0}],"hostTypes":["s","m","origin"]}`)); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(d.PolicyConfig, want) {
		t.Errorf("from JSON %+v, from pairs %+v", d.PolicyConfig, want)
	}
	if d.Zones["b"] != 1 || d.Kinds["origin"] != 2 || d.Customers["y"] != 1 || d.Products["p"] != 0 {
		t.Errorf("names: %v %v %v %v", d.Zones, d.Kinds, d.Customers, d.Products)
	}
}

// TestAdminAddress checks that the variable overrides the file's key at the start, that an invalid address is reported by its key
// and that a changed address is reported as needing a restart.
func TestAdminAddress(t *testing.T) {
	text := `{"listen":"a:1","discovery":"a:2","admin_addr":"a:3","seed":"1","settings":{"products":[{"name":"p","effect":"idempotent"}]}}`
	env := map[string]string{}
	getenv := func(name string) string { return env[name] }
	d, err := parse([]byte(text), getenv, false)
	if err != nil || d.Admin != "a:3" {
		t.Fatalf("%v %v", d, err)
	}
	env["GW_ADMIN_ADDR"] = "b:4"
	other, err := parse([]byte(text), getenv, false)
	if err != nil || other.Admin != "b:4" {
		t.Fatalf("%v %v", other, err)
	}
	if keys := d.RestartOnlyChanges(other); !reflect.DeepEqual(keys, []string{"admin_addr"}) {
		t.Errorf("keys that need a restart: %q, expected admin_addr", keys)
	}
	env["GW_ADMIN_ADDR"] = "nowhere"
	if _, err = parse([]byte(text), getenv, false); err == nil || !strings.Contains(err.Error(), "admin_addr") {
		t.Errorf("invalid address: got error %v, expected one that names admin_addr", err)
	}
}

// TestReportsAndPrices checks that faulty settings of load reports, prices, the number of balancers and the drain grace are
// refused, and that absent ones give the defaults.
func TestReportsAndPrices(t *testing.T) {
	for _, row := range []struct {
		settings     string
		reports      bool
		cross, fetch float64
		key          string
	}{
		{`"x":1`, false, 0, 0, ""},
		{`"report":{"source":"answers"},"prices":{"crossZone":0.03,"origin":0.15}`, true, 0.03, 0.15, ""},
		{`"report":{"source":"probe"},"prices":{"origin":0}`, false, 0, 0, ""},
		{`"report":{"source":"guess"}`, false, 0, 0, "report.source"},
		{`"prices":{"origin":-1}`, false, 0, 0, "prices.origin"},
		{`"prices":{"crossZone":"dear"}`, false, 0, 0, "prices.crossZone"},
		{`"prices":{"crossZone":"NaN"}`, false, 0, 0, "prices.crossZone"},
		{`"balancers":1025`, false, 0, 0, ""},
		{`"balancers":-3`, false, 0, 0, "settings.balancers"},
		{`"balancers":1e12`, false, 0, 0, "settings.balancers"},
		{`"rules":{"drainGraceNs":-1}`, false, 0, 0, "settings.rules.drainGraceNs"},
		{`"rules":{"drainGraceNs":"NaN"}`, false, 0, 0, "settings.rules.drainGraceNs"},
	} {
		d := &Deployment{}
		err := d.applySettings(json.RawMessage(`{` + row.settings + `,"products":[{"name":"p","effect":"idempotent"}]}`))
		if row.key != "" {
			if err == nil || !strings.Contains(err.Error(), row.key) {
				t.Errorf("%s: %v", row.settings, err)
			}
		} else if err != nil || d.LoadReports != row.reports || d.PolicyConfig.CrossZoneCost != row.cross || d.PolicyConfig.OriginFetchCost != row.fetch {
			t.Errorf("%s: %v, %+v", row.settings, err, d.PolicyConfig)
		}
	}
}
