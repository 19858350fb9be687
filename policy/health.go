package policy

import "math"

// Health: outlier detection by how attempts ended and by how long they take.

const (
	healthSlot = 1500 * Millisecond // with eight slots a host's past counts for twelve seconds
	window     = meterSlots * healthSlot
	delaySlot  = 1000 * Millisecond // crowding comes and goes in seconds
	beatEvery  = 500 * Millisecond  // a quarter of a slot of the key table
)

const (
	calmSlot  = 6 * Second // times eight: an overload must not soon pass for the usual
	calmLeast = 24         // endings that a slot needs: work differs by a factor of several
)

// delayOf is the part of its SLO that an attempt took beyond its product's calmest slot lately, at caches as
// near as its own: the way to another zone is no crowding.
func (b *Balancer) delayOf(h *cache, c *call, took Nanos) float64 {
	m := &b.tempos[2*c.Product]
	if h.Zone != b.terms.Zone {
		m = &b.tempos[2*c.Product+1]
	}
	m.add(b.host.Now(), took.seconds(), 1)
	calm, ok := m.leastMean(b.host.Now(), calmLeast)
	if !ok {
		return 0
	}
	return (took.seconds() - calm) / c.terms.LatencySLO.seconds()
}

// learn takes an attempt's outcome into the host's health and limit and the product's tempo.
func (b *Balancer) learn(h *cache, c *call, e Ending, s *attempt) {
	now, slo, full := b.host.Now(), c.terms.LatencySLO, e.Outcome == TurnedAway
	good := (e.Outcome == Fulfilled || e.Outcome == Missed) && e.Took <= slo
	bad := !good && !full && e.Outcome != NeverSent && (e.Outcome != Cancelled || e.Took >= slo/2)
	// Answers come spoilt and connections break on any host, whatever its load: limits cut for it turned calls
	// away. Nor is a host that is not there crowded, nor one that errs before others answer: with half of the
	// fleet gone and some of the rest erring, what was left was hardly used.
	over := bad && e.Outcome != Spoilt && e.Outcome != Reset && e.Outcome != ConnectFailed &&
		!(e.Outcome == Errored && h != b.origin && e.Took.seconds() < b.usual())
	if good {
		h.well++
	} else if over {
		over, h.badAt = h.well-min(s.well, h.badAt) < loneAfter, h.well
	}
	if full { // a full host answers at once and looks idle: unrested it draws the traffic of all
		h.rest = min(max(firstRest, 2*h.rest), Second)
		h.restUntil = now + Nanos(float64(h.rest)*(0.5+b.chance()))
	} else if e.Outcome == ConnectFailed { // no one is there until the list tells more: a try costs an attempt
		h.rest = min(max(Second, 2*h.rest), 8*Second)
		h.absentUntil = now + Nanos(float64(h.rest)*(0.5+b.chance()))
	} else if good {
		h.rest /= 2
	}
	if h == b.origin {
		b.adapt(h, slo, good, over, full, 2*e.Took.seconds()/slo.seconds())
		return
	}
	b.reported(h, c, e)
	if e.Outcome == Fulfilled {
		b.pace.add(now, e.Took.seconds(), 1)
		h.delay.add(now, b.delayOf(h, c, e.Took), 1)
	}
	sum, n := h.delay.faded(now)
	b.adapt(h, slo, good, over, full, sum/(n+4)/crowdedAt)
	if over || full {
		b.fleetBears = max(b.least(), b.fleetBears*0.9)
	} else if good && float64(b.attemptsOut+1) >= b.fleetBears*float64(len(b.available))/2 {
		b.fleetBears = min(mostOut, b.fleetBears*1.03)
	}
	h.health.tell(now, good, bad)
	b.zones[h.Zone].tell(now, good, bad)
	b.all.tell(now, good, bad)
	if good && b.able > 0 {
		b.done.add(now, 1/b.able, 0)
	}
	if over && !c.above {
		b.pressed(c)
	}
}

// overdue tells a hang before the first time-out: how many of the attempts out at a host should have ended
// since one last did, by the usual pace.
func (b *Balancer) overdue(h *cache) float64 {
	return float64(h.out) * (b.host.Now() - max(h.lastEnded, h.busySince)).seconds() / b.usual()
}

// usual is how long an attempt at a cache takes lately, in seconds; a second while nothing is known.
func (b *Balancer) usual() float64 {
	took, n := b.pace.faded(b.host.Now())
	return (took + 0.01) / (n + 0.01)
}

// hung is the number of endings overdue from which a host counts as hanging. Of 5, 6, 7, 9 and 14 it lost
// least: work differs by a factor of several, and fewer is often just a big piece.
const hung = 9

// trusted draws from the posterior of the host's success and holds it against the fleet's, so that what
// troubles all (a slow origin, an overload) blames none. What the host's zone did lately is the prior: a cut
// or lost zone would else cost every balancer an attempt at each of its hosts. Work that cannot be repeated
// takes no draw.
func (b *Balancer) trusted(h *cache, c *call) bool {
	mean, bar, n := b.standing(h)
	if mean == 1 {
		return true
	}
	if c.terms.Effect == NonIdempotent {
		return mean >= bar
	}
	z := (b.chance() + b.chance() + b.chance() + b.chance() - 2) * math.Sqrt(3)
	return mean+z*math.Sqrt(mean*(1-mean)/(n+1)) >= bar
}

// standing is the mean of a host's posterior, the bar that it is held to and how many endings are behind it.
func (b *Balancer) standing(h *cache) (mean, bar, n float64) {
	now := b.host.Now()
	good, bad := h.health.faded(now)
	good, bad = good+h.saidGood, bad+h.saidBad // a dozen own good ones outweigh the most said
	if n := b.overdue(h); n > hung {
		bad += n
	}
	zoneGood, zoneBad := b.zones[h.Zone].faded(now)
	if bad == 0 && zoneBad == 0 {
		return 1, 0, 0
	}
	allGood, allBad := b.all.faded(now)
	// Bars of 0.6 and 0.9 made no difference above noise.
	bar = 0.75 * (allGood + 4) / (allGood + allBad + 4)
	prior := (zoneGood + 1) / (zoneGood + zoneBad + 1)
	n = good + bad + 1
	return (good + prior) / n, bar, n
}

// loneAfter is how many good endings, since the last bad one or since the attempt was sent, make a failure a
// stray: connections fall silent on any host, while crowding and hangs hold up most. 20 left limits low.
const loneAfter = 10
