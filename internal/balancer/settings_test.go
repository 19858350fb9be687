package balancer

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"streamrail/internal/deployment"
	"streamrail/internal/discovery"
	"streamrail/internal/operator"
	"streamrail/policy"
)

// visitValues calls visit with the path of each value in a JSON tree; set replaces the value, drop removes it and is nil for list items.
func visitValues(v any, path string, visit func(path string, set func(any), drop func())) {
	switch v := v.(type) {
	case map[string]any:
		for k, x := range v {
			at := strings.TrimPrefix(path+"."+k, ".")
			visit(at, func(n any) { v[k] = n }, func() { delete(v, k) })
			visitValues(x, at, visit)
		}
	case []any:
		for i, x := range v {
			at := fmt.Sprint(path, ".", i)
			visit(at, func(n any) { v[i] = n }, nil)
			visitValues(x, at, visit)
		}
	}
}

// TestSettingsOfAnyKind replaces each value of the settings by null, zero, negative and huge numbers, strings, lists and objects, or
// removes it. The settings must either be refused with a one-line error that names the key, or give a balancer that takes host lists
// and requests without a panic, endless requests to discovery or unbounded memory use.
func TestSettingsOfAnyKind(t *testing.T) {
	text, err := os.ReadFile("../../deploy/sample.json")
	if err != nil {
		t.Fatal(err)
	}
	var sample map[string]any
	if err := json.Unmarshal(text, &sample); err != nil {
		t.Fatal(err)
	}
	s := sample["settings"].(map[string]any)
	s["discovery"] = "subscribe"
	s["rules"].(map[string]any)["askEveryNs"] = 1e10
	s["customers"] = []any{map[string]any{"name": "acme", "allowancePerS": 5.0}}
	s["products"] = append(s["products"].([]any), map[string]any{"name": "mark", "latencySloNs": 5e8, "clientTimeoutNs": 1e9,
		"billedValue": 1.0, "overdueBilledValue": 0.5, "effect": "deduplicated", "group": "cell", "windowNs": 1e9})
	s["prices"] = map[string]any{"crossZone": 0.1, "origin": 0.2}
	s["report"] = map[string]any{"source": "answers"}
	path := filepath.Join(t.TempDir(), "config.json")
	getenv := func(name string) string {
		if name == "GW_CONFIG" {
			return path
		}
		return ""
	}
	refused, accepted := 0, 0
	tryValue := func(key string, value any) {
		text, err := json.Marshal(sample)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, text, 0o600); err != nil {
			t.Fatal(err)
		}
		deployed, err := deployment.FromEnvironment(getenv)
		if err != nil {
			refused++
			keys := strings.Split(key, ".")
			if !strings.Contains(err.Error(), keys[0]) || strings.Contains(err.Error(), "\n") {
				t.Errorf("%s = %v: %v is not one line that names the key", key, value, err)
			}
			return
		}
		accepted++
		b := New(deployed, &operator.File{}, zerolog.Nop())
		defer b.hosts.Close()
		defer b.cancel()
		host := discovery.Host{Addr: "127.0.0.1:1", HostEntry: policy.HostEntry{HostID: "h", Size: 1}}
		cold := host
		cold.HostID, cold.ListedStart = "cold", b.now
		b.applyHostList(policy.ListRestored, discovery.List{Snapshot: true, Hosts: []discovery.Host{host, cold}})
		for i := range 50 {
			b.callPolicy(func() {
				for p := range deployed.PolicyConfig.Products {
					b.policy.RequestArrived(policy.Request{ID: policy.RequestID(fmt.Sprint(i, "-", p)), Key: policy.Key(fmt.Sprint(i)), Product: policy.Product(p),
						Write: p > 0, Deadline: b.now + policy.Second})
				}
				b.policy.TimerFired("beat")
			})
		}
		if deployed.ConnectTimeout <= 0 || deployed.ClientTimeout <= 0 || deployed.IdleTimeout < 0 || deployed.DrainGrace < 0 || deployed.MaxRequests <= 0 ||
			deployed.PolicyConfig.MaxAttempts < 1 || deployed.PolicyConfig.SubscribeInterval <= 0 {
			t.Errorf("%s = %v: accepted as %+v", key, value, deployed.PolicyConfig)
		}
	}
	tryValue("settings", "as they are")
	if accepted != 1 {
		t.Fatal("the unchanged sample settings are refused")
	}
	var all []func()
	visitValues(sample["settings"], "", func(key string, set func(any), drop func()) {
		all = append(all, func() {
			old := valueAt(sample["settings"], strings.Split(key, "."))
			for _, v := range []any{nil, 0, -1, 1e300, -1e300, 1e18, 0.5, "word", "NaN", "", true, []any{}, map[string]any{}, []any{1, 2}} {
				set(v)
				tryValue(key, v)
			}
			if drop != nil {
				drop()
				tryValue(key, "absent")
			}
			set(old)
		})
	})
	for _, one := range all {
		one()
	}
	if refused < 100 || accepted < 100 {
		t.Errorf("%d settings refused, %d accepted", refused, accepted)
	}
}

// valueAt returns the value at a path in a JSON tree.
func valueAt(v any, path []string) any {
	for _, k := range path {
		switch x := v.(type) {
		case map[string]any:
			v = x[k]
		case []any:
			i := 0
			fmt.Sscan(k, &i)
			v = x[i]
		}
	}
	return v
}
