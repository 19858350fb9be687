package balancer

import (
	"sync/atomic"

	"streamrail/internal/admin"
	"streamrail/internal/deployment"
	"streamrail/policy"
)

// finalAnswer is the kind of a request's one final answer.
type finalAnswer int

const (
	fulfilled finalAnswer = iota
	rateLimited
	errored
)

func (f finalAnswer) String() string { return [...]string{"fulfilled", "rate_limited", "errored"}[f] }

// answerStats count what clients have seen since the start: an answer counts once it is written whole. One that its client
// did not wait for counts nowhere.
type answerStats struct {
	productNames []string // by product
	answers      [][errored + 1]atomic.Int64
	unanswered   atomic.Int64 // requests taken and neither answered nor abandoned
}

func newAnswerStats(told *deployment.Deployment) *answerStats {
	f := &answerStats{productNames: make([]string, len(told.Products)), answers: make([][errored + 1]atomic.Int64, len(told.Products))}
	for name, p := range told.Products {
		f.productNames[p] = name
	}
	return f
}

func (f *answerStats) countAnswer(p policy.Product, as finalAnswer) { f.answers[p][as].Add(1) }

// adminAPI is what the operators' door opens to.
type adminAPI struct{ b *Balancer }

func (d adminAPI) Ready() bool {
	return d.b.upgrade.takesClients.Load() && d.b.hasHostList.Load() && (d.b.currentPhase() == Serving || d.b.currentPhase() == Leaving)
}

func (d adminAPI) Figures() admin.Figures {
	f := d.b.answerStats
	to := admin.Figures{Attempts: d.b.hosts.Sent(), InHand: f.unanswered.Load(), Late: d.b.delays.lateAnswers.Load(),
		LongestHeld: d.b.delays.handling.longest()}
	for i, name := range f.productNames {
		n := &f.answers[i]
		to.Products = append(to.Products, admin.Product{Name: name, Fulfilled: n[fulfilled].Load(),
			RateLimited: n[rateLimited].Load(), Errored: n[errored].Load()})
	}
	d.b.callPolicy(func() { to.Listed, to.Avoided = d.b.policy.Fleet() })
	to.Fleet = d.b.fleetStats()
	return to
}

func (d adminAPI) Exclude(member string, how admin.How) (string, error) {
	return d.setExcluded(member, true, how)
}
func (d adminAPI) Include(member string, how admin.How) (string, error) {
	return d.setExcluded(member, false, how)
}

func (d adminAPI) setExcluded(member string, out bool, how admin.How) (string, error) {
	if d.b.fleetOrders != nil {
		return d.b.giveFleetOrder(member, out, how)
	}
	if how != (admin.How{}) {
		return "", admin.ErrNoOrders
	}
	return "", d.b.setExclusion(policy.CacheID(member), out, false)
}
