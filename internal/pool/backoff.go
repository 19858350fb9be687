package pool

import "streamrail/policy"

// Bounds of the backoff after a fault of this machine (no ports, file descriptors, memory or route). No connection is opened
// during the backoff: opening would fail for every host and use up more of the scarce resource.
const (
	initialBackoff = 10 * policy.Millisecond
	maxBackoff     = 500 * policy.Millisecond
)

// backoff stops the opening of connections for a while after a fault of this machine.
type backoff struct {
	pause policy.Nanos // length of the last pause before jitter; 0: the last connection opened successfully
	until policy.Nanos
}

// failed starts a pause of twice the previous length, shortened at random by up to half. A failure during a pause does not extend
// it, because connections that are being opened at the same time fail together.
func (b *backoff) failed(now policy.Nanos, random float64) {
	if now < b.until {
		return
	}
	b.pause = min(max(initialBackoff, 2*b.pause), maxBackoff)
	b.until = now + policy.Nanos(float64(b.pause)*(0.5+random/2))
}

// FailedLocally reports that a connection could not be opened because of a fault of this machine, which says nothing about the host.
func (p *Pool) FailedLocally(now policy.Nanos, id Conn) {
	p.backoff.failed(now, p.random())
	p.openingFailed(now, id, LocalFault)
}
