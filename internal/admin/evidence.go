package admin

import "errors"

// ErrNoObservations is returned by a balancer that judges hosts by its own attempts only.
var ErrNoObservations = errors.New("this balancer judges hosts by its own attempts alone: its operator's file has no evidence = true under [fleet]")

// Observations holds the other balancers' observations of hosts, as far as this balancer takes them into account.
type Observations struct {
	ActiveReporters int           `json:"witnesses"` // balancers with recent observations that this balancer takes into account
	Hosts           []HostSummary `json:"hosts"`     // hosts that they report as bad
}

// HostSummary is the weight of the others' observations of one host: how many successful and failed attempts they count as, in
// addition to the balancer's own attempts.
type HostSummary struct {
	Host         string  `json:"host"`
	Good         float64 `json:"good"`
	Bad          float64 `json:"bad"`
	BadReporters int     `json:"witnesses"` // balancers that report it as bad
}
