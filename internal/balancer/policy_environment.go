package balancer

import (
	"time"

	"streamrail/policy"
)

// policyEnvironment is the interface through which the policy acts. It only queues actions, since it is called while the policy's lock
// is held.
type policyEnvironment struct{ b *Balancer }

func (h policyEnvironment) enqueue(id policy.RequestID, a action, final bool) {
	if c := h.b.requests[id]; c != nil {
		c.addAction(a, final)
	}
}

func (h policyEnvironment) Now() policy.Nanos { return h.b.now }

func (h policyEnvironment) Send(id policy.RequestID, host policy.HostID, deadline, latestStart policy.Nanos) {
	h.enqueue(id, action{do: (*clientRequest).sendAttempt, host: host, deadline: h.b.toDeadline(deadline), latestStart: h.b.toDeadline(latestStart)}, false)
}

func (h policyEnvironment) Cancel(id policy.RequestID, attempt int) {
	h.enqueue(id, action{do: (*clientRequest).cancelAttempt, attempt: attempt}, false)
}

func (h policyEnvironment) RateLimit(id policy.RequestID, retryAfter policy.Nanos) {
	h.enqueue(id, action{do: (*clientRequest).answerRateLimited, retryAfter: time.Duration(retryAfter)}, true)
}

func (h policyEnvironment) Error(id policy.RequestID) {
	h.enqueue(id, action{do: (*clientRequest).answerErrored}, true)
}

func (h policyEnvironment) Subscribe() {
	select {
	case h.b.subscribeRequested <- struct{}{}:
	default:
	}
}

func (h policyEnvironment) SetTimer(after policy.Nanos, id policy.TimerID) {
	h.b.setTimer(h.b.now+after, id)
}
