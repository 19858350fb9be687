package pool

import (
	"math"

	"streamrail/policy"
)

// UseOnce declares that each connection to a host, which must be known, carries one attempt. Unused connections are then kept
// ready for the attempts to come, so that these need not wait for a connection.
func (p *Pool) UseOnce(id Host) { p.hosts[id].singleUse = true }

// spareInterval is the time whose attempts find a connection ready, at their recent rate: connecting takes a round trip, and attempts
// come in bursts.
const spareInterval = 250 * policy.Millisecond

// spareTarget returns how many unused connections to a host are kept: the expected attempts of spareInterval and their standard
// deviation.
func (p *Pool) spareTarget(now policy.Nanos, h *host) int {
	if !h.singleUse {
		return 0
	}
	attempts, _, since := h.demand.recent(now)
	attempts *= float64(spareInterval) / float64(max(since, policy.Second))
	return int(math.Ceil(attempts + math.Sqrt(attempts)))
}

// openSpares opens unused connections to a host up to spareTarget, within all limits and without closing connections to other hosts.
func (p *Pool) openSpares(now policy.Nanos, h *host) {
	if !h.singleUse || p.closed || h.leaving {
		return
	}
	spares := len(h.idle) + h.openingSpares()
	for target := p.spareTarget(now, h); spares < target; spares++ {
		if p.openCount >= p.config.MaxConnections || p.mayOpen(now, h) != Unknown {
			return
		}
		p.startOpening(now, h, nil)
	}
}

// openingSpares returns how many connections are being opened that no attempt waits for.
func (h *host) openingSpares() int {
	n := h.opening
	for _, w := range h.queue {
		if w.opening != nil {
			n--
		}
	}
	return n
}

// openingSpare returns the oldest connection to a host that is being opened and that no attempt waits for; nil if there is none.
func (p *Pool) openingSpare(h *host) (oldest *conn) {
	if h.openingSpares() == 0 {
		return nil
	}
	for _, c := range p.conns {
		if c.host == h && c.phase == opening && c.openedFor == nil && (oldest == nil || c.id < oldest.id) {
			oldest = c
		}
	}
	return oldest
}
