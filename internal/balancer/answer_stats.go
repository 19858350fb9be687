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

// answerStats counts the answers that clients have received since the start. An answer counts once it is written whole; one for
// which the client did not wait is not counted.
type answerStats struct {
	productNames []string // indexed by policy.Product
	answers      [][errored + 1]atomic.Int64
	unanswered   atomic.Int64 // requests admitted and neither answered nor abandoned
}

func newAnswerStats(deployed *deployment.Deployment) *answerStats {
	s := &answerStats{productNames: make([]string, len(deployed.Products)), answers: make([][errored + 1]atomic.Int64, len(deployed.Products))}
	for name, p := range deployed.Products {
		s.productNames[p] = name
	}
	return s
}

func (s *answerStats) countAnswer(p policy.Product, answer finalAnswer) { s.answers[p][answer].Add(1) }

// adminAPI implements the admin API on a balancer.
type adminAPI struct{ b *Balancer }

func (a adminAPI) Ready() bool {
	return a.b.upgrade.takesClients.Load() && a.b.hasHostList.Load() && (a.b.currentPhase() == Serving || a.b.currentPhase() == Leaving)
}

func (a adminAPI) Telemetry() admin.Telemetry {
	stats := a.b.answerStats
	telemetry := admin.Telemetry{Attempts: a.b.hosts.Sent(), RequestsInProgress: stats.unanswered.Load(), LateAnswers: a.b.delays.lateAnswers.Load(),
		LongestHandling: a.b.delays.handling.longest()}
	for i, name := range stats.productNames {
		counts := &stats.answers[i]
		telemetry.Products = append(telemetry.Products, admin.Product{Name: name, Fulfilled: counts[fulfilled].Load(),
			RateLimited: counts[rateLimited].Load(), Errored: counts[errored].Load()})
	}
	a.b.callPolicy(func() { telemetry.HostsListed, telemetry.HostsAvoided = a.b.policy.HostCounts() })
	upstreamStats := a.b.hosts.Stats()
	telemetry.ConnectionsClosed, telemetry.AnswersNotBelieved = upstreamStats.Closed, upstreamStats.Unattributed
	telemetry.HeldBytes, telemetry.ProcessMemory = a.b.memory.usage(), processMemory()
	telemetry.Fleet = a.b.fleetStats()
	return telemetry
}

func (a adminAPI) Exclude(host string, options admin.ExclusionOptions) (string, error) {
	return a.setExcluded(host, true, options)
}
func (a adminAPI) Include(host string, options admin.ExclusionOptions) (string, error) {
	return a.setExcluded(host, false, options)
}

func (a adminAPI) setExcluded(host string, exclude bool, options admin.ExclusionOptions) (string, error) {
	if a.b.exclusionOrders != nil {
		return a.b.submitExclusionOrder(host, exclude, options)
	}
	if options != (admin.ExclusionOptions{}) {
		return "", admin.ErrNoFleetOrders
	}
	return "", a.b.setExclusion(policy.HostID(host), exclude, false)
}
