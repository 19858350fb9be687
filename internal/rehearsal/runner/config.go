package runner

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"streamrail/internal/rehearsal/scenario"
	"streamrail/internal/rehearsal/standin"
)

var effects = map[string]string{scenario.Idempotent: "idempotent", scenario.Deduplicated: "deduplicated",
	scenario.NonIdempotent: "at_most_once"}

// tickNs is how exactly the platform's timers wake a balancer.
const tickNs = 5_000_000

// writeConfig lays down what a balancer of the day is told.
func writeConfig(path string, w *standin.World, balancer int, name, listen, door string, seed uint64) error {
	d := w.Day
	zone := 0
	for i, z := range d.Fleet.Zones {
		if z == w.ZoneOf(balancer) {
			zone = i
		}
	}
	type m = map[string]any
	var products, customers []m
	for _, p := range d.Products {
		products = append(products, m{"name": p.Name, "latencySloNs": int64(p.LatencySLO), "clientTimeoutNs": int64(p.ClientTimeout),
			"billedValue": p.BilledValue, "effect": effects[p.Effect], "group": "all", "windowNs": int64(p.Window)})
	}
	for i, t := range d.Tenants {
		customers = append(customers, m{"name": t.Name, "allowancePerS": d.Allowance(i)})
	}
	extra := m{"mode": d.Fleet.Mode, "originKind": -1}
	if d.Fleet.Mode == scenario.Aside {
		extra["originKind"] = 1
	}
	coldFrom, warmFor, idle := 1.0, time.Duration(0), time.Hour
	for _, n := range d.Nodes {
		coldFrom, warmFor, idle = min(coldFrom, n.ColdFrom), max(warmFor, n.WarmFor.Duration()), min(idle, n.Told())
	}
	settings := m{
		"balancers": d.Fleet.Balancers, "areas": d.Fleet.Zones, "locality": zone, "hostTypes": []string{"cache", "origin"},
		"discovery": "automatic", "weights": "nominal", "tickNs": tickNs, "extra": extra,
		"caps": m{"mayCancel": true, "mostShots": d.Fleet.Attempts, "secondCopies": false, "retryAfter": d.Clients.ComeBack > 0,
			"maxRetryAfterNs": int64(d.Clients.ComeBack), "connectTimeoutNs": int64(connectTimeout), "keepaliveNs": int64(idle),
			"maxOpen": 20000},
		"rules": m{"coldFrom": coldFrom, "rampTimeNs": int64(warmFor), "fallMultiple": d.Rules.FallMultiple,
			"fallNs": int64(d.Rules.FallFor), "drainGraceNs": int64(d.Rules.DrainGrace), "askEveryNs": int64(10 * time.Second)},
		"products": products, "customers": customers,
	}
	text, err := json.Marshal(m{"name": name, "listen": listen, "admin_addr": door, "discovery": w.Register.Addr(balancer),
		"seed": fmt.Sprintf("%016x", seed), "limits": m{"cores": 1.0, "memory_mb": d.Fleet.MemoryMB, "sockets": d.Fleet.Sockets},
		"known": w.Register.Known(balancer), "settings": settings})
	if err != nil {
		return err
	}
	next := path + ".next"
	if err := os.WriteFile(next, text, 0o600); err != nil {
		return err
	}
	return os.Rename(next, path) // whole or not at all: the balancer may read it at any moment
}

// connectTimeout is longer than any way between zones that a day may have, and short against what clients wait.
const connectTimeout = 200 * time.Millisecond

// operator lays down the operator's own file of a balancer, where the day has one.
func (s *Stage) operator(config string, b int) error {
	text := s.W.Day.Operator
	if s.mates.ways != nil {
		text += s.section(b)
	}
	if text == "" {
		return nil
	}
	return os.WriteFile(operatorFile(config), []byte(text), 0o600)
}
