package pool

import "streamrail/policy"

// After a fault of this machine's own (no ports, no descriptors, no memory, no route) nothing is opened for a while: every host
// would fail alike, and each attempt costs what is scarce. The pause doubles and is spread.
const (
	firstPause = 10 * policy.Millisecond
	mostPause  = 500 * policy.Millisecond
)

// backoff is the pause in opening connections.
type backoff struct {
	pause policy.Nanos // the last one; 0: the last connection came up
	until policy.Nanos
}

// failed begins a pause, or leaves the one that lasts: many connections that were being opened fail together.
func (b *backoff) failed(now policy.Nanos, chance float64) {
	if now < b.until {
		return
	}
	b.pause = min(max(firstPause, 2*b.pause), mostPause)
	b.until = now + policy.Nanos(float64(b.pause)*(0.5+chance/2))
}

// FailedHere hears that a connection was not opened for a fault of this machine's own, which says nothing of the host.
func (p *Pool) FailedHere(now policy.Nanos, id Conn) {
	p.backoff.failed(now, p.chance())
	p.failed(now, id, Local)
}
