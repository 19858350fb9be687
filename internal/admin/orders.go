package admin

import (
	"errors"
	"time"
)

// ErrNoOrders is what a balancer answers whose hosts out by hand are its own alone.
var ErrNoOrders = errors.New("orders by hand hold for this balancer alone: its operator's file has no orders = true under [fleet]")

// How is what an operator adds to an order.
type How struct {
	Force bool          // in force however many hosts are out
	Wait  time.Duration // for the other balancers to confirm it
}

// mostWait is the longest that a call may wait for others: the door's own limits are longer.
const mostWait = 4 * time.Second

// Orders are the orders by hand that hold for the whole fleet, as this balancer has them.
type Orders struct {
	Sum       string     `json:"sum"`              // of all held: equal ones are equal orders
	Kept      bool       `json:"kept"`             // this balancer's file has them
	Missing   []string   `json:"not_confirmed_by"` // other balancers of whom it is not known that they hold the same, the dead among them
	Orders    []Order    `json:"orders"`           // the last on each host
	Conflicts []Conflict `json:"conflicts"`        // the last ones seen here
}

// Order is one.
type Order struct {
	Host    string `json:"host"`
	Out     bool   `json:"out"`
	Force   bool   `json:"force,omitempty"`
	InForce bool   `json:"in_force"` // false: more than the allowed part is out, and this one waits
	Door    string `json:"door"`
	Count   uint64 `json:"count"`
	By      string `json:"by"`
}

// Conflict is two orders neither of whose doors knew of the other.
type Conflict struct {
	Won  Order `json:"won"`
	Lost Order `json:"lost"`
}
