package admin

import (
	"errors"
	"time"
)

// ErrNoFleetOrders is returned by a balancer whose exclusions by operators apply to itself only, not to the whole fleet.
var ErrNoFleetOrders = errors.New("orders by hand hold for this balancer alone: its operator's file has no orders = true under [fleet]")

// ExclusionOptions holds the options of an exclusion order.
type ExclusionOptions struct {
	Force bool          // apply the order however many hosts are excluded already
	Wait  time.Duration // how long to wait for the other balancers to confirm it
}

// maxConfirmationWait is the longest time for which an admin request may wait for confirmations. It is shorter than the
// server's own timeouts, so that the response can still be sent.
const maxConfirmationWait = 4 * time.Second

// ExclusionOrders holds the fleet-wide exclusion orders, as this balancer knows them.
type ExclusionOrders struct {
	Digest         string           `json:"sum"`              // checksum of all orders; equal digests mean equal orders
	Saved          bool             `json:"kept"`             // they are saved in this balancer's file
	NotConfirmedBy []string         `json:"not_confirmed_by"` // other balancers, including dead ones, that are not known to have the same orders
	Orders         []ExclusionOrder `json:"orders"`           // the latest one of each host
	Conflicts      []Conflict       `json:"conflicts"`        // the latest ones that this balancer saw
}

// ExclusionOrder is one exclusion order: an operator's instruction to exclude a host or to end its exclusion. ReceivedBy is the
// balancer that received it and ProcessID is that balancer's process. Count is one more than that of the order which it replaces.
type ExclusionOrder struct {
	Host       string `json:"host"`
	Excluded   bool   `json:"out"`
	Force      bool   `json:"force,omitempty"`
	InForce    bool   `json:"in_force"` // false if the order waits because too large a part of the hosts is excluded already
	ReceivedBy string `json:"door"`
	Count      uint64 `json:"count"`
	ProcessID  string `json:"by"`
}

// Conflict is a pair of orders for one host, given at two balancers neither of which knew of the other's order.
type Conflict struct {
	Won  ExclusionOrder `json:"won"`
	Lost ExclusionOrder `json:"lost"`
}
