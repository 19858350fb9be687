package balancer

import (
	"sync/atomic"

	"streamrail/internal/admin"
	"streamrail/internal/deployment"
	"streamrail/policy"
)

// final is the kind of a request's one final answer.
type final int

const (
	fulfilled final = iota
	rateLimited
	errored
)

func (f final) String() string { return [...]string{"fulfilled", "rate_limited", "errored"}[f] }

// figures count what clients have seen since the start: an answer counts once it is written whole. One that its client
// did not wait for counts nowhere.
type figures struct {
	names  []string // by product
	finals [][errored + 1]atomic.Int64
	inHand atomic.Int64 // requests taken and neither answered nor abandoned
}

func newFigures(told *deployment.Deployment) *figures {
	f := &figures{names: make([]string, len(told.Products)), finals: make([][errored + 1]atomic.Int64, len(told.Products))}
	for name, p := range told.Products {
		f.names[p] = name
	}
	return f
}

func (f *figures) answered(p policy.Product, as final) { f.finals[p][as].Add(1) }

// door is what the operators' door opens to.
type door struct{ b *Balancer }

func (d door) Ready() bool {
	return d.b.upgrade.seated.Load() && d.b.knows.Load() && (d.b.in() == Serving || d.b.in() == Leaving)
}

func (d door) Figures() admin.Figures {
	f := d.b.figures
	to := admin.Figures{Attempts: d.b.hosts.Sent(), InHand: f.inHand.Load(), Late: d.b.delays.late.Load(),
		LongestHeld: d.b.delays.held.longest()}
	for i, name := range f.names {
		n := &f.finals[i]
		to.Products = append(to.Products, admin.Product{Name: name, Fulfilled: n[fulfilled].Load(),
			RateLimited: n[rateLimited].Load(), Errored: n[errored].Load()})
	}
	d.b.decide(func() { to.Listed, to.Avoided = d.b.module.Fleet() })
	to.Fleet = d.b.fleetFigures()
	return to
}

func (d door) Exclude(member string, how admin.How) (string, error) { return d.hand(member, true, how) }
func (d door) Include(member string, how admin.How) (string, error) {
	return d.hand(member, false, how)
}

func (d door) hand(member string, out bool, how admin.How) (string, error) {
	if d.b.orders != nil {
		return d.b.order(member, out, how)
	}
	if how != (admin.How{}) {
		return "", admin.ErrNoOrders
	}
	return "", d.b.ban(policy.CacheID(member), out, false)
}
