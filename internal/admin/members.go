package admin

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
)

// What a balancer without a view of its fleet answers.
var (
	ErrNoFleet  = errors.New("this balancer speaks with no other: its operator's file has no section [fleet]")
	ErrNoLimits = errors.New("parts of limits do not move here: the operator's file has no limits = true under [fleet], or no tenant has an allowance")
	ErrHanded   = errors.New("the newer process of an upgrade speaks for this balancer now")
)

// Members is the fleet as one balancer sees it, always a little late.
type Members struct {
	Fleet     string   `json:"fleet"`
	Name      string   `json:"name"`
	Life      string   `json:"life"`
	Inc       uint32   `json:"incarnation"`
	Situation string   `json:"situation"`
	Expected  int      `json:"expected"`
	Seen      int      `json:"seen"`
	Version   uint64   `json:"version"`
	Digest    string   `json:"digest"`                // of the lives present: equal ones are equal views
	Rival     string   `json:"name_shared,omitempty"` // where another process has this balancer's name
	Members   []Member `json:"members"`
}

// Member is one other balancer. Times are how long ago.
type Member struct {
	Name       string   `json:"name"`
	Zone       string   `json:"zone"`
	Addr       string   `json:"address"`
	Life       string   `json:"life"`
	Inc        uint32   `json:"incarnation"`
	State      string   `json:"state"`
	SinceMs    int64    `json:"since_ms"`
	HeardMs    int64    `json:"last_heard_ms"` // directly; -1 where never
	RoundTrip  float64  `json:"round_trip_ms"` // 0 where not measured
	Suspecting []string `json:"suspected_by,omitempty"`
}

// Fleet is what the figures tell of it.
type Fleet struct {
	Situation                          string
	Expected                           int
	States                             map[string]int
	Sent, SentBytes, Heard, HeardBytes int64
	Dropped                            map[string]int64
	Limits                             []Limit
}

func (f *Fleet) write(to io.Writer) {
	fmt.Fprintf(to, "# TYPE app_fleet_expected gauge\napp_fleet_expected %d\n# TYPE app_fleet_members gauge\n", f.Expected)
	for _, s := range slices.Sorted(maps.Keys(f.States)) {
		fmt.Fprintf(to, "app_fleet_members{state=%q} %d\n", s, f.States[s])
	}
	fmt.Fprintf(to, "# TYPE app_fleet_situation gauge\napp_fleet_situation{word=%q} 1\n", f.Situation)
	fmt.Fprintf(to, "# TYPE app_fleet_datagrams_total counter\napp_fleet_datagrams_total{way=\"sent\"} %d\napp_fleet_datagrams_total{way=\"heard\"} %d\n", f.Sent, f.Heard)
	fmt.Fprintf(to, "# TYPE app_fleet_bytes_total counter\napp_fleet_bytes_total{way=\"sent\"} %d\napp_fleet_bytes_total{way=\"heard\"} %d\n", f.SentBytes, f.HeardBytes)
	fmt.Fprintf(to, "# TYPE app_fleet_dropped_total counter\n")
	for _, r := range slices.Sorted(maps.Keys(f.Dropped)) {
		fmt.Fprintf(to, "app_fleet_dropped_total{reason=%q} %d\n", r, f.Dropped[r])
	}
	for _, one := range []struct {
		name string
		of   func(Limit) float64
	}{
		{"app_limit_part", func(l Limit) float64 { return l.Part }}, {"app_limit_lent", func(l Limit) float64 { return l.Lent }},
		{"app_limit_borrowed", func(l Limit) float64 { return l.Borrowed }}, {"app_limit_need", func(l Limit) float64 { return l.Need }},
	} {
		for i, l := range f.Limits {
			if i == 0 {
				fmt.Fprintf(to, "# TYPE %s gauge\n", one.name)
			}
			fmt.Fprintf(to, "%s{limit=\"%s\"} %g\n", one.name, escapes.Replace(l.Name), one.of(l))
		}
	}
}

// Limits are this balancer's parts of the bounds that hold for the whole fleet.
type Limits struct {
	Limits []Limit `json:"limits"`
}

// Limit is one bound. Parts are of the whole.
type Limit struct {
	Name     string  `json:"name"`
	Bound    float64 `json:"bound"` // requests a second, for all balancers
	Part     float64 `json:"part"`  // that may be used here now
	Lent     float64 `json:"lent"`
	Borrowed float64 `json:"borrowed"`
	Need     float64 `json:"need"` // that came in here, a second
	Leases   int     `json:"leases"`
	EndsMs   int64   `json:"first_ends_ms"`
	Newborn  bool    `json:"newborn"` // it has its floor only, besides what it borrows
}
