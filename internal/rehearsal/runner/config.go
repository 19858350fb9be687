package runner

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"streamrail/internal/rehearsal/scenario"
	"streamrail/internal/rehearsal/standin"
)

// effectNames maps effects of the scenario to those of the balancer settings.
var effectNames = map[string]string{scenario.Idempotent: "idempotent", scenario.Deduplicated: "deduplicated",
	scenario.NonIdempotent: "at_most_once"}

// timerResolutionNs is the timer resolution that balancers are configured with, in nanoseconds.
const timerResolutionNs = 5_000_000

// writeConfig writes the configuration file of a balancer.
func writeConfig(path string, env *standin.Environment, balancer int, name, listen, adminAddr string, seed uint64) error {
	sc := env.Scenario
	zone := 0
	for i, z := range sc.Fleet.Zones {
		if z == env.ZoneOf(balancer) {
			zone = i
		}
	}
	type m = map[string]any
	var products, customers []m
	for _, p := range sc.Products {
		products = append(products, m{"name": p.Name, "latencySloNs": int64(p.LatencySLO), "clientTimeoutNs": int64(p.ClientTimeout),
			"billedValue": p.BilledValue, "effect": effectNames[p.Effect], "group": "all", "windowNs": int64(p.Window)})
	}
	for i, t := range sc.Tenants {
		customers = append(customers, m{"name": t.Name, "allowancePerS": sc.TenantQuota(i)})
	}
	extra := m{"mode": sc.Fleet.Mode, "originKind": -1}
	if sc.Fleet.Mode == scenario.ModeAside {
		extra["originKind"] = 1
	}
	coldFrom, warmFor, idle := 1.0, time.Duration(0), time.Hour
	for _, n := range sc.Hosts {
		coldFrom, warmFor, idle = min(coldFrom, n.ColdCapacity), max(warmFor, n.WarmUpTime.Duration()), min(idle, n.BalancerIdleTimeout())
	}
	settings := m{
		"balancers": sc.Fleet.Balancers, "areas": sc.Fleet.Zones, "locality": zone, "hostTypes": []string{"cache", "origin"},
		"discovery": "automatic", "weights": "nominal", "tickNs": timerResolutionNs, "extra": extra,
		"caps": m{"mayCancel": true, "mostShots": sc.Fleet.Attempts, "secondCopies": false, "retryAfter": sc.Clients.MaxRetryAfter > 0,
			"maxRetryAfterNs": int64(sc.Clients.MaxRetryAfter), "connectTimeoutNs": int64(connectTimeout), "keepaliveNs": int64(idle),
			"maxOpen": 20000},
		"rules": m{"coldFrom": coldFrom, "rampTimeNs": int64(warmFor), "fallMultiple": sc.Rules.OverloadMultiple,
			"fallNs": int64(sc.Rules.OverloadWindow), "drainGraceNs": int64(sc.Rules.DrainGrace), "askEveryNs": int64(10 * time.Second)},
		"products": products, "customers": customers,
	}
	text, err := json.Marshal(m{"name": name, "listen": listen, "admin_addr": adminAddr, "discovery": env.Discovery.Addr(balancer),
		"seed": fmt.Sprintf("%016x", seed), "limits": m{"cores": 1.0, "memory_mb": sc.Fleet.MemoryMB, "sockets": sc.Fleet.Sockets},
		"known": env.Discovery.FullList(balancer), "settings": settings})
	if err != nil {
		return err
	}
	next := path + ".next"
	if err := os.WriteFile(next, text, 0o600); err != nil {
		return err
	}
	return os.Rename(next, path) // atomic, because the balancer may read the file at any time
}

// connectTimeout is longer than the delays between zones of the scenarios and short compared with the timeouts of clients.
const connectTimeout = 200 * time.Millisecond

// writeOperatorFile writes the operator file of a balancer if the scenario needs one.
func (s *Stage) writeOperatorFile(config string, b int) error {
	text := s.Environment.Scenario.Operator
	if s.membership.links != nil {
		text += s.fleetSection(b)
	}
	if text == "" {
		return nil
	}
	return os.WriteFile(operatorFile(config), []byte(text), 0o600)
}
