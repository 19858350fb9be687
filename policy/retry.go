package policy

import "slices"

// Retries: when another attempt is made, and when it, or a rate-limit reply, cannot have an effect twice.

func (b *Balancer) send(c *call, to *cache) {
	now := b.host.Now()
	if to.out == 0 {
		to.busySince = now
	}
	to.out++
	to.owed = 0
	if to != b.origin {
		b.attemptsOut++
	}
	c.attempts = append(c.attempts, attempt{at: to, sent: now, out: true, well: to.well})
	c.out++
	b.host.Send(c.ID, to.Cache, c.Deadline, c.beginBy())
}

// beginBy is the instant from which on an attempt may not begin: a repeat is dropped only within the window of
// what it repeats.
func (c *call) beginBy() Nanos {
	limit := c.Deadline
	for _, s := range c.attempts {
		if s.ran && c.terms.Effect == Deduplicated {
			limit = min(limit, s.sent+c.terms.repeatWithin())
		}
	}
	return limit
}

// heldUp is for how long a balancer may be held up between its look at the clock and what it writes then.
const heldUp = 150 * Millisecond

// repeatWithin is the part of the window in which a repeat may be decided on and begun: what holds it up then still
// ends within the window.
func (t *ProductTerms) repeatWithin() Nanos { return t.Window - min(heldUp, t.Window/4) }

// again makes a further attempt after one that failed, or gives up.
func (b *Balancer) again(c *call, failed *cache) {
	late := b.host.Now() >= c.began+c.terms.LatencySLO
	// No host was given work by an attempt that found nobody there: the next one feeds no overload.
	tried := slices.ContainsFunc(c.attempts, func(s attempt) bool { return !s.nobody })
	switch {
	case late && c.terms.OverdueValue == 0 || tried && !b.furtherPays():
		b.giveUp(c)
	case failed == b.origin:
		b.askOrigin(c)
	default:
		b.toCache(c)
	}
}

// furtherPays draws whether a further attempt is made: as often as recent ones were fulfilled, so that in an
// overload, where they are not, they stop feeding it. One in twenty is always made, to see it end.
func (b *Balancer) furtherPays() bool {
	good, bad := b.further.faded(b.host.Now())
	return b.chance() < max(0.05, (good+4)/(good+bad+4))
}

// MayHaveRun tells what an outcome proves; one not known here proves nothing.
func MayHaveRun(o Outcome) bool {
	return o != TurnedAway && o != ConnectFailed && o != NeverSent && o != Missed
}

// mayRepeat is the one place that says whether an attempt may be sent now, given those before it.
func (b *Balancer) mayRepeat(c *call, to *cache) bool {
	return len(c.attempts) < b.terms.MostAttempts && !c.over && c.out == 0 &&
		b.harmless(c, func(s attempt) bool {
			return c.terms.Group == GroupAll || c.terms.Group == GroupZone && s.at.Zone == to.Zone ||
				c.terms.Group == GroupCell && s.at.Cell == to.Cell
		})
}

// mayRateLimit: the reply promises that a retry is harmless, wherever it goes.
func (b *Balancer) mayRateLimit(c *call) bool {
	return b.harmless(c, func(attempt) bool { return c.terms.Group == GroupAll })
}

// harmless guards against a second effect: non-idempotent work never runs again, and deduplicated work only
// where and while every attempt that may have run is remembered.
func (b *Balancer) harmless(c *call, remembered func(attempt) bool) bool {
	return c.terms.Effect == Idempotent || !slices.ContainsFunc(c.attempts, func(s attempt) bool {
		return (s.out || s.ran) && (c.terms.Effect == NonIdempotent ||
			b.host.Now()-s.sent >= c.terms.repeatWithin() || !remembered(s))
	})
}
