package admin

import "errors"

// ErrNoEvidence is returned by a balancer that judges hosts by its own attempts only.
var ErrNoEvidence = errors.New("this balancer judges hosts by its own attempts alone: its operator's file has no evidence = true under [fleet]")

// Evidence holds the other balancers' observations of hosts, as far as this balancer takes them into account.
type Evidence struct {
	Witnesses int    `json:"witnesses"` // balancers with recent observations that this balancer takes into account
	Hosts     []Said `json:"hosts"`     // hosts that they report as bad
}

// Said is the weight of the others' observations of one host: how many successful and failed attempts they count as, in
// addition to the balancer's own attempts.
type Said struct {
	Host      string  `json:"host"`
	Good      float64 `json:"good"`
	Bad       float64 `json:"bad"`
	Witnesses int     `json:"witnesses"` // balancers that report it as bad
}
