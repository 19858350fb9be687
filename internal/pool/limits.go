package pool

import (
	"cmp"

	"streamrail/policy"
)

// equalShare returns this balancer's equal share of what a host allows all balancers.
func (p *Pool) equalShare(total float64) float64 { return total / float64(p.config.Balancers) }

// ownShare returns this balancer's share of the new connections that a host tolerates; SetOpeningsShare may have set it.
func (p *Pool) ownShare(total float64) float64 {
	if p.openingsShare > 0 {
		return total * p.openingsShare
	}
	return p.equalShare(total)
}

// SetOpeningsShare sets this balancer's fraction of the new connections to each host; 0 means an equal share.
func (p *Pool) SetOpeningsShare(share float64) { p.openingsShare = share }

// OpeningsNeed returns the fraction of a host's openings that this balancer's attempts asked for in the period that ends now, for the host
// where it was largest, and resets the counts. The fraction is of half of what the host tolerates.
func (p *Pool) OpeningsNeed(now policy.Nanos, period policy.Nanos) (share float64) {
	for _, h := range p.hosts {
		if allowed := p.hostRate(h, now) / 2; allowed > 0 {
			share = max(share, float64(h.openingsWanted)/seconds(period)/allowed)
		}
		h.openingsWanted = 0
	}
	return share
}

// learnedLimitInterval is the interval at which a learned limit grows by one: a host that is full stays full for seconds.
const learnedLimitInterval = 5 * policy.Second

// connectionLimit returns how many connections this balancer may have to a host.
func (p *Pool) connectionLimit(h *host) int {
	limit := p.config.MaxConnections
	if p.config.HostMaxConnections > 0 {
		limit = min(limit, max(1, int(p.equalShare(float64(p.config.HostMaxConnections)))))
	}
	for _, m := range []int{h.fixedLimit, h.learnedLimit} {
		if m > 0 {
			limit = min(limit, m)
		}
	}
	return limit
}

// mayOpen checks whether another connection to a host may be opened. It returns Unknown if so, RoomNeeded if an idle connection to another
// host must be closed first, and otherwise the reason why not.
func (p *Pool) mayOpen(now policy.Nanos, h *host) Reason {
	if h.learnedLimit > 0 && now-h.learnedLimitAt >= learnedLimitInterval {
		h.learnedLimit, h.learnedLimitAt = h.learnedLimit+1, now
	}
	switch {
	case now < p.backoff.until:
		return LocalFault
	case h.open >= p.connectionLimit(h):
		return LimitReached
	case !p.leavesReserve(h):
		return LimitReached
	case p.openCount >= p.config.MaxConnections && p.longestIdle(h) == nil:
		return LimitReached
	case !p.withinOpeningRate(now, h): // checked last, so that tokens are spent only where a connection can be opened
		return OpeningRateExceeded
	case p.openCount >= p.config.MaxConnections:
		return RoomNeeded
	}
	return Unknown
}

// leavesReserve reports whether another connection to a host leaves room for the other hosts. Half of the pool's limit is reserved in equal
// parts for all hosts, so that a host that hangs cannot take every connection; the other half goes to the hosts that need it.
func (p *Pool) leavesReserve(h *host) bool {
	reserve := p.config.MaxConnections / 2 / max(1, len(p.hosts))
	if h.open < reserve {
		return true
	}
	reserved := 0
	if reserve > 0 { // otherwise there are more hosts than reserved connections
		for _, o := range p.hosts {
			if o != h && !o.leaving {
				reserved += max(0, reserve-o.open)
			}
		}
	}
	return p.openCount-(p.idleCount-len(h.idle))+reserved < p.config.MaxConnections
}

// longestIdle returns the connection that has been idle longest, among all hosts except one.
func (p *Pool) longestIdle(except *host) (c *conn) {
	if p.idleCount == len(except.idle) {
		return nil
	}
	for _, o := range p.conns {
		if o.phase == idle && o.host != except && (c == nil || cmp.Or(cmp.Compare(o.phaseSince, c.phaseSince), cmp.Compare(o.id, c.id)) < 0) {
			c = o
		}
	}
	return c
}

// makeRoom is like mayOpen, but where only room is missing it closes the connection idle longest at another host.
func (p *Pool) makeRoom(now policy.Nanos, h *host) Reason {
	why := p.mayOpen(now, h)
	if why == RoomNeeded {
		p.close(p.longestIdle(h), RoomNeeded)
		return Unknown
	}
	return why
}

// openRate returns how many connections per second this balancer may open to a host: half of its share. With the saved burst it opens
// at most five eighths of its share in any second. The rest is a margin of three standard deviations for the random draws of
// hundreds of balancers.
func (p *Pool) openRate(h *host, now policy.Nanos) float64 { return p.ownShare(p.hostRate(h, now)) / 2 }

// hostRate returns the new connections per second that a host tolerates from all balancers.
func (p *Pool) hostRate(h *host, now policy.Nanos) float64 {
	if p.config.ColdOpeningsPerSecond > 0 && h.startedAt > 0 && now-h.startedAt < p.config.ColdFor {
		return p.config.ColdOpeningsPerSecond
	}
	return p.config.OpeningsPerSecond
}

// openingBurst returns the maximum of saved tokens: the openings of a quarter of a second.
func (p *Pool) openingBurst(h *host, now policy.Nanos) float64 { return p.openRate(h, now) / 4 }

// withinOpeningRate reports whether the opening rate permits another connection. Less than one token is the probability of permission
// and is spent either way. A guaranteed minimum of one opening for each of hundreds of balancers would overload a fresh host.
func (p *Pool) withinOpeningRate(now policy.Nanos, h *host) bool {
	if p.config.OpeningsPerSecond <= 0 {
		return true
	}
	h.openingsWanted++
	p.refillTokens(now, h)
	if h.tokens >= 1 {
		return true
	}
	probability := h.tokens
	h.tokens = 0
	return p.random() < probability
}

func (p *Pool) refillTokens(now policy.Nanos, h *host) {
	h.tokens = min(p.openingBurst(h, now), h.tokens+p.openRate(h, now)*seconds(now-h.tokensAt))
	h.tokensAt = now
}

func (p *Pool) spendToken(now policy.Nanos, h *host) {
	if p.config.OpeningsPerSecond > 0 {
		h.tokens = max(0, h.tokens-1)
	}
}

func seconds(n policy.Nanos) float64 { return float64(n) / float64(policy.Second) }
