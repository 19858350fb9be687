package admin

import "errors"

// ErrNoEvidence is what a balancer answers that judges hosts by its own attempts alone.
var ErrNoEvidence = errors.New("this balancer judges hosts by its own attempts alone: its operator's file has no evidence = true under [fleet]")

// Evidence is what other balancers say of hosts, as far as it counts at this one.
type Evidence struct {
	Witnesses int    `json:"witnesses"` // heard lately and believed
	Hosts     []Said `json:"hosts"`     // that they call bad
}

// Said is of one host: how many endings of each kind it is worth beside the balancer's own.
type Said struct {
	Host      string  `json:"host"`
	Good      float64 `json:"good"`
	Bad       float64 `json:"bad"`
	Witnesses int     `json:"witnesses"` // that call it bad
}
