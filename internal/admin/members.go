package admin

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
)

// Errors of a balancer that belongs to no fleet, shares no limits, or has handed its membership over in an upgrade.
var (
	ErrNoFleet    = errors.New("this balancer speaks with no other: its operator's file has no section [fleet]")
	ErrNoLimits   = errors.New("parts of limits do not move here: the operator's file has no limits = true under [fleet], or no tenant has an allowance")
	ErrHandedOver = errors.New("the newer process of an upgrade speaks for this balancer now")
)

// Members is one balancer's view of its fleet. The view lags a little behind the actual state.
type Members struct {
	Fleet        string   `json:"fleet"`
	Name         string   `json:"name"`
	ProcessID    string   `json:"life"`
	Incarnation  uint32   `json:"incarnation"`
	Situation    string   `json:"situation"`
	Expected     int      `json:"expected"` // number of balancers in the fleet, including this one
	PresentCount int      `json:"seen"`     // members alive and suspected, including this one
	Version      uint64   `json:"version"`
	Digest       string   `json:"digest"`                // of the processes present; two views with equal digests are equal
	NameConflict string   `json:"name_shared,omitempty"` // address of another process with this balancer's name, if there is one
	Members      []Member `json:"members"`
}

// Member is another balancer of the fleet. SinceMs and LastReceivedMs count back from now.
type Member struct {
	Name           string   `json:"name"`
	Zone           string   `json:"zone"`
	Addr           string   `json:"address"`
	ProcessID      string   `json:"life"`
	Incarnation    uint32   `json:"incarnation"`
	State          string   `json:"state"`
	SinceMs        int64    `json:"since_ms"`
	LastReceivedMs int64    `json:"last_heard_ms"` // since the last datagram directly from it; -1 if none was received
	RoundTrip      float64  `json:"round_trip_ms"` // 0 if not measured
	SuspectedBy    []string `json:"suspected_by,omitempty"`
}

// FleetTelemetry is the part of Telemetry about communication with other balancers. Sent and Received count datagrams.
type FleetTelemetry struct {
	Situation                                string
	Expected                                 int
	States                                   map[string]int
	Sent, SentBytes, Received, ReceivedBytes int64
	Dropped                                  map[string]int64
	Limits                                   []Limit
}

// writeMetrics writes the fleet's metrics in the Prometheus text format.
func (f *FleetTelemetry) writeMetrics(w io.Writer) {
	fmt.Fprintf(w, "# TYPE app_fleet_expected gauge\napp_fleet_expected %d\n# TYPE app_fleet_members gauge\n", f.Expected)
	for _, state := range slices.Sorted(maps.Keys(f.States)) {
		fmt.Fprintf(w, "app_fleet_members{state=%q} %d\n", state, f.States[state])
	}
	fmt.Fprintf(w, "# TYPE app_fleet_situation gauge\napp_fleet_situation{word=%q} 1\n", f.Situation)
	fmt.Fprintf(w, "# TYPE app_fleet_datagrams_total counter\napp_fleet_datagrams_total{way=\"sent\"} %d\napp_fleet_datagrams_total{way=\"heard\"} %d\n", f.Sent, f.Received)
	fmt.Fprintf(w, "# TYPE app_fleet_bytes_total counter\napp_fleet_bytes_total{way=\"sent\"} %d\napp_fleet_bytes_total{way=\"heard\"} %d\n", f.SentBytes, f.ReceivedBytes)
	fmt.Fprintf(w, "# TYPE app_fleet_dropped_total counter\n")
	for _, reason := range slices.Sorted(maps.Keys(f.Dropped)) {
		fmt.Fprintf(w, "app_fleet_dropped_total{reason=%q} %d\n", reason, f.Dropped[reason])
	}
	for _, metric := range []struct {
		name  string
		value func(Limit) float64
	}{
		{"app_limit_part", func(l Limit) float64 { return l.Part }}, {"app_limit_lent", func(l Limit) float64 { return l.Lent }},
		{"app_limit_borrowed", func(l Limit) float64 { return l.Borrowed }}, {"app_limit_need", func(l Limit) float64 { return l.Need }},
	} {
		for i, l := range f.Limits {
			if i == 0 {
				fmt.Fprintf(w, "# TYPE %s gauge\n", metric.name)
			}
			fmt.Fprintf(w, "%s{limit=\"%s\"} %g\n", metric.name, labelEscaper.Replace(l.Name), metric.value(l))
		}
	}
}

// Limits holds this balancer's shares of the fleet-wide limits.
type Limits struct {
	Limits []Limit `json:"limits"`
}

// Limit is one fleet-wide limit and this balancer's share of it. Part, Lent and Borrowed are fractions of the whole limit.
type Limit struct {
	Name            string  `json:"name"`
	FleetTotal      float64 `json:"bound"` // requests per second, for all balancers together
	Part            float64 `json:"part"`  // the share that this balancer may use now
	Lent            float64 `json:"lent"`
	Borrowed        float64 `json:"borrowed"`
	Need            float64 `json:"need"` // what arrived at this balancer, per second
	Leases          int     `json:"leases"`
	NextExpiryMs    int64   `json:"first_ends_ms"`
	RecentlyStarted bool    `json:"newborn"` // it has only its minimum share and what it borrows
}
