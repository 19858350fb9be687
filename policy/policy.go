// Package policy decides where each API call goes. A Balancer is made by New with the Terms of its
// deployment; from then on one method is called for each thing that happens (Listed, Arrived, Ended,
// Streaming, Abandoned, Woke), and it acts by calling the Host it was made with, declared in types.go.
// It is not safe for concurrent use, keeps no clock and shares nothing.
// Reading order: Arrived, next, Ended; what may be repeated; the ring, copies; the origin; hosts; the list.
package policy

import (
	"cmp"
	"iter"
	"math"
	"slices"
)

// New makes a balancer that starts with nothing; its list follows by Listed.
func New(host Host, terms Terms, seed uint64) *Balancer {
	b := &Balancer{host: host, terms: terms, seed: seed, began: host.Now(), caches: map[CacheID]*cache{},
		out: map[CacheID]bool{}, ofKind: map[Kind]float64{}, zones: map[Zone]*meter{}, calls: map[CallID]*call{},
		table: keyTable{at: map[Key]int{}}, allowances: make([]allowance, len(terms.Customers)),
		tempos: make([]meter, 2*len(terms.Products)), origin: &cache{limit: mostOut / 4},
		fleetBears: sparseOut / float64(terms.Balancers)}
	for i, p := range terms.Products {
		b.topValue = max(b.topValue, p.BilledValue)
		b.tempos[2*i].width, b.tempos[2*i+1].width = calmSlot, calmSlot
	}
	host.Wake(beatEvery, "beat")
	return b
}

// Arrived takes an API call; from here on it is owed one final answer.
func (b *Balancer) Arrived(in Call) {
	now := b.host.Now()
	if in.Key == "" {
		in.Key = Key(in.ID)
	}
	c := &call{Call: in, terms: &b.terms.Products[in.Product], began: now}
	// Two ticks before the client leaves: a wake comes up to one tick late, and its answer must still count.
	b.host.Wake(max(0, in.Deadline-now-2*b.terms.Tick), WakeID("e"+in.ID))
	b.calls[in.ID] = c
	b.count(c)
	c.above = b.beyondAllowance(c)
	switch {
	case c.Work > c.terms.LatencySLO && c.terms.OverdueValue == 0,
		c.above && b.chance() < max(b.squeeze, b.held/4):
		b.giveUp(c)
	case b.terms.Aside && c.Write: // caches do not take writes here
		b.askOrigin(c)
	default:
		b.toCache(c)
	}
}

// toCache makes the next attempt at a cache, or gives up.
func (b *Balancer) toCache(c *call) {
	if to := b.next(c); to != nil && b.room(c) && b.mayRepeat(c, to) {
		b.squeeze = max(0, b.squeeze-0.005)
		b.send(c, to)
		return
	}
	b.pressed(c)
	b.giveUp(c)
}

// next picks the cache for the next attempt: the nearest copy, else the home, else the successors.
// A later pass drops a wish, never a bound: cold hosts, limits and hosts already asked stay out.
func (b *Balancer) next(c *call) *cache {
	mean := float64(b.attemptsOut) / float64(max(1, len(b.byID)))
	far := reach + 3*(1-b.squeeze)
	if h := b.returned(c); h != nil {
		return h
	}
	for pass := range 2 {
		busy := 0
		for h := range b.path(c) {
			if float64(busy) > far {
				break
			}
			asked := slices.ContainsFunc(c.attempts, func(s attempt) bool { return s.at == h })
			if asked || pass == 0 && (b.host.Now() < h.absentUntil || !b.trusted(h, c) || b.scarce(h)) {
				continue
			}
			// The design's yield: two or more above this balancer's mean goes to the next. Where the list tells
			// what hosts hold, so does, by draw, one that holds more than two a core: of 1 to 3 two did best.
			yields := pass == 0 && float64(h.out) >= mean+2 || b.yields(h, c, pass)
			if yields || h.held*b.chance() > 2+2*float64(pass) || !b.bears(h, c) {
				busy++
				continue
			}
			if b.coldMayTake(h, c, pass > 0) {
				return h
			}
		}
	}
	return nil
}

// yields draws whether a host that tells of more than the mean load is passed by, by the square of how much
// more, as most that send to it have not heard of it; at the second look, whether a call would be late there.
func (b *Balancer) yields(h *cache, c *call, pass int) bool {
	now := b.host.Now()
	mean := b.toldMean(now)
	if mean == 0 || h.told <= mean {
		return false
	}
	// Where a balancer meets a host once in half a minute, fading within 2 or 6 s forgot most of what was told.
	over := 1 + (h.told/mean-1)/(1+(now-h.toldAt).seconds()/window.seconds())
	if pass > 0 {
		return c.terms.OverdueValue == 0 && over*b.usual() > c.terms.LatencySLO.seconds()
	}
	return b.chance() > math.Pow(over, -2)
}

func (b *Balancer) toldMean(now Nanos) float64 {
	sum, n := b.told.faded(now)
	return sum / max(n, 1)
}

// reported takes what a host tells of its load, or else that it kept an attempt for long, since one that
// answers nothing tells nothing: how long an API call takes there, against others.
func (b *Balancer) reported(h *cache, c *call, e Ending) {
	now := b.host.Now()
	switch l := e.Load; {
	case l != nil:
		h.told = 1
		if l.InHand >= 0 {
			h.told = (l.InHand + 1) / h.weight
		} else if l.Busy >= 0 {
			h.told = 1 / (1 - min(l.Busy, 0.95)) // as one queue with one server would hold
		}
		if l.Took > 0 {
			h.told *= l.Took
		}
		if l.Took != 0 {
			b.told.add(now, h.told, 1)
		}
		if l.Took == 0 || l.InHand >= 0 && l.Busy >= 0 && l.Busy < 0.9 { // nothing was done of late, or waits
			h.told = min(h.told, b.toldMean(now))
		}
	case e.Took > c.terms.LatencySLO/2 && b.toldMean(now) > 0:
		h.told = max(h.told, b.toldMean(now)*e.Took.seconds()/b.usual())
	default:
		return
	}
	h.toldAt = now
}

// scarce tells to pass a host by to which no connection is likely open, as often as attempts lately found
// none: hosts take only so many. New ones that come just then wait for the second look.
func (b *Balancer) scarce(h *cache) bool {
	if b.terms.KeepAlive == 0 || h.metAt > 0 && b.host.Now()-h.metAt < b.terms.KeepAlive {
		return false
	}
	met, not := b.met.faded(b.host.Now())
	return b.chance() < not/(met+not+4)
}

// reach is how many busy hosts a key is carried past under pressure, and three more while nothing presses:
// in an overload keys spread over all caches and their misses bring the origin down. Of 0 to 6 one did best.
const reach = 1

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

// Ended takes the outcome of an attempt.
func (b *Balancer) Ended(e Ending) {
	now := b.host.Now()
	h, c := b.caches[e.Cache], b.calls[e.Call]
	if h != nil {
		if h.out > 0 {
			h.out--
			if h != b.origin && b.up(h) {
				b.attemptsOut--
			}
		}
		h.lastEnded, h.took = now, e.Took.seconds()
		b.forget(h)
	}
	if c == nil || e.Attempt < 0 || e.Attempt >= len(c.attempts) || !c.attempts[e.Attempt].out {
		return
	}
	s := &c.attempts[e.Attempt]
	s.out, s.ran, s.nobody = false, mayHaveRun(e.Outcome), e.Outcome == ConnectFailed
	if h != nil && h != b.origin && e.Outcome != NeverSent {
		b.met.tell(now, !s.nobody, s.nobody)
		if !s.nobody {
			h.metAt = now
		}
	}
	c.out--
	if h != nil {
		b.learn(h, c, e, s)
	}
	if e.Attempt > 0 && s.at != b.origin && !c.missed && e.Outcome != NeverSent && e.Outcome != Missed &&
		e.Outcome != ConnectFailed {
		b.further.tell(now, e.Outcome == Fulfilled, e.Outcome != Fulfilled)
	}
	switch {
	case e.Final || e.Outcome == Fulfilled || c.over:
		b.finish(c)
	case e.Outcome == Missed && b.terms.Aside: // elsewhere there is no origin to ask
		c.missed = true
		b.askOrigin(c)
	case c.out == 0:
		b.again(c, s.at)
	}
}

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

// giveUp ends an API call that gets no answer: at once, so that the client can act.
func (b *Balancer) giveUp(c *call) {
	if b.mayRateLimit(c) {
		b.host.RateLimit(c.ID, b.comeBack(c))
	} else {
		b.host.Error(c.ID)
	}
	b.finish(c)
}

// comeBack spreads returning clients: within the SLO if there is time, else as late as they will honour.
func (b *Balancer) comeBack(c *call) Nanos {
	left := c.began + c.terms.LatencySLO - b.host.Now()
	if left <= 0 || c.Repeat || c.above {
		left = b.terms.MaxComeBack
	}
	return min(b.terms.MaxComeBack, Nanos(float64(left)*(0.3+0.4*b.chance())))
}

// finish forgets an API call once all of its attempts have ended; until then they still teach.
func (b *Balancer) finish(c *call) {
	if !c.over {
		c.over = true
		for i, s := range c.attempts {
			if s.out && b.terms.MayCancel && !c.stream {
				b.host.Cancel(c.ID, i)
			}
		}
	}
	if c.out == 0 {
		delete(b.calls, c.ID)
	}
}

// Abandoned hears that the client has left.
func (b *Balancer) Abandoned(id CallID) {
	if c := b.calls[id]; c != nil && !c.over {
		b.finish(c)
	}
}

// Streaming hears that an answer has begun; it has no client timeout any more.
func (b *Balancer) Streaming(id CallID) {
	if c := b.calls[id]; c != nil {
		c.stream = true
	}
}

// Came hears that the last byte of a long write has come, which fixes the client's deadline.
func (b *Balancer) Came(id CallID, deadline Nanos) {
	if c := b.calls[id]; c != nil && !c.over {
		c.Deadline = deadline
		b.host.Wake(max(0, deadline-b.host.Now()-2*b.terms.Tick), WakeID("e"+id))
	}
}

// Woke gets back what Host.Wake was given.
func (b *Balancer) Woke(id WakeID) {
	switch id {
	case "beat":
		b.host.Wake(beatEvery, "beat")
		b.weigh()
		if slot := int(b.host.Now() / keySlot % keySlots); slot != b.table.slot {
			b.rotate(slot)
		}
		return
	case "list":
		b.retrying = false
		b.host.Subscribe()
		return
	}
	if c := b.calls[CallID(id[1:])]; c != nil && !c.over && !c.stream {
		b.giveUp(c)
	}
}

// ---- what may be repeated

// mayHaveRun: an outcome not known here proves nothing.
func mayHaveRun(o Outcome) bool {
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

// ---- the ring

// points is the number of virtual nodes of a host of nominal size: enough that shares stray by a tenth.
const points = 100

// rebuild lays the ring anew. It is equal at every balancer, so nothing of the instance enters it.
func (b *Balancer) rebuild() {
	b.byID, b.attemptsOut = b.byID[:0], 0
	for _, h := range b.caches {
		if h != b.origin && b.up(h) {
			b.byID = append(b.byID, h)
			b.attemptsOut += h.out
		}
	}
	slices.SortFunc(b.byID, func(x, y *cache) int { return cmp.Compare(x.Cache, y.Cache) })
	b.ring.follow(b.byID, func(h *cache) int {
		return min(max(1, int(points*h.weight/b.unit+0.5)), 8*points)
	})
	b.weigh()
}

// path is the order in which caches are asked: a read's nearest copy first, then home and successors.
func (b *Balancer) path(c *call) iter.Seq[*cache] {
	first := b.nearest(c)
	return func(yield func(*cache) bool) {
		if first != nil && !yield(first) {
			return
		}
		for h := range b.ring.from(c.Key) {
			if h != first && !yield(h) {
				return
			}
		}
	}
}

// nearest is a read's copy where that is nearer than its home, else nil. The candidate is the first successor
// in this zone; it becomes the copy above the threshold.
func (b *Balancer) nearest(c *call) *cache {
	u := b.table.find(c.Key)
	if u == nil || c.Write {
		return nil
	}
	var home, candidate *cache
	for h := range b.ring.from(c.Key) {
		home = cmp.Or(home, h)
		if h.Zone == b.terms.Zone {
			candidate = h
			break
		}
	}
	if candidate != home && candidate != nil && u.copyAt == "" && b.profit(u, home, candidate) > b.threshold() {
		u.copyAt = candidate.Cache
	}
	h := b.caches[u.copyAt]
	if h == nil || home == nil || h == home || !b.up(h) ||
		cmp.Or(cmp.Compare(b.hop(h), b.hop(home)), cmp.Compare(h.Cache, home.Cache)) > 0 {
		return nil
	}
	return h
}

// ---- copies by profit

const inZone, across = 1.0, 3.0 // the design's hop costs

func (b *Balancer) hop(h *cache) float64 {
	if h.Zone == b.terms.Zone {
		return inZone
	}
	return across
}

// profit is Estimate Profit: a write costs the copy one refill.
func (b *Balancer) profit(u *keyUse, nearest, candidate *cache) float64 {
	reads, writes := u.sum()
	return reads*b.hop(nearest) - reads*b.hop(candidate) - writes*b.hop(candidate)
}

// threshold is the design's, and a second read where a fetch has a price above a crossing's: with few reads
// the design's is under one, and each zone fetched keys read once. Four hops, not two, crowded popular homes.
func (b *Balancer) threshold() float64 {
	t := b.table.reads() / float64(max(1, len(b.byID))) * (across - inZone)
	if b.terms.FetchPrice > b.terms.CrossPrice {
		t += across - inZone
	}
	return t
}

const (
	keySlots  = 6 // the design's six slots of two seconds
	keySlot   = 2 * Second
	tableSize = 4096 // keys; a fraction of a megabyte, and many times the keys that are read twice in the window
)

// admit takes a key up while there is room: a flood of keys wanted once must not put out those that matter.
func (t *keyTable) admit(k Key) *keyUse {
	if len(t.use) == tableSize {
		return nil
	}
	t.use = append(t.use, keyUse{key: k})
	t.at[k] = len(t.use) - 1
	return &t.use[len(t.use)-1]
}

func (b *Balancer) count(c *call) {
	t, u := &b.table, b.table.find(c.Key)
	if u == nil {
		u = t.admit(c.Key)
	}
	if !c.Write {
		t.total[t.slot]++
	}
	if u != nil && c.Write {
		u.write[t.slot]++
	} else if u != nil {
		u.read[t.slot]++
	}
}

// rotate starts the next slot: copies under half the threshold and keys not used any more go.
func (b *Balancer) rotate(slot int) {
	t := &b.table
	t.slot, t.total[slot] = slot, 0
	for i := range t.use {
		t.use[i].read[slot], t.use[i].write[slot] = 0, 0
	}
	least := b.threshold() / 2
	for i := len(t.use) - 1; i >= 0; i-- {
		u := &t.use[i]
		if at := b.caches[u.copyAt]; at == nil || !b.up(at) {
			u.copyAt = ""
		} else if home := b.ring.home(u.key); home != nil && b.profit(u, home, at) < least {
			u.copyAt = ""
		}
		if reads, writes := u.sum(); reads+writes == 0 {
			t.remove(i)
		}
	}
}

// askOrigin sends to the origin as much as it is seen to bear; reads leave a quarter of that to writes.
// What it could not answer in time is rate-limited at once: queued reads would come late and keep it slow.
func (b *Balancer) askOrigin(c *call) {
	o, most := b.origin, b.origin.limit
	if !c.Write {
		most = max(1, 0.75*most)
	}
	full := float64(o.out+b.beside) >= most || b.host.Now() < o.restUntil
	if o.Cache == "" || o.Condition != Up || full || !b.mayRepeat(c, o) {
		b.pressed(c)
		b.giveUp(c)
		return
	}
	b.send(c, o)
}

// ---- cold hosts

// warmth is the share of its capacity that a host has at the least, by the time since its start.
func (b *Balancer) warmth(h *cache) float64 {
	born := max(cmp.Or(h.Started, h.Born), h.back)
	age := b.host.Now() - born
	if born == 0 || age >= b.terms.RampTime {
		return 1
	}
	return b.terms.ColdFrom + (1-b.terms.ColdFrom)*max(0, float64(age))/float64(b.terms.RampTime)
}

// coldMayTake gives a cold host a rising part of its own keys, the same at every balancer, or any key where
// no other takes the call: half of a fleet, new, stood idle beside hosts that held too much. Below that is a
// budget: this balancer's part of what would push it over. A part under one is drawn and spent either way: a
// least of one each, times hundreds of balancers, pushed hosts over. As much is saved up as the window bears:
// who asks once in seconds had a small chance each time at a quarter of it, and cold hosts stood idle.
func (b *Balancer) coldMayTake(h *cache, c *call, any bool) bool {
	w := b.warmth(h)
	if w == 1 {
		return true
	}
	if !any && part(hash(string(h.Cache)+string(c.Key), 1)) >= w {
		return false
	}
	perS, now := b.coldRate(h, w), b.host.Now()
	h.budget = min(perS*b.terms.FallWindow.seconds(), h.budget+perS*(now-h.budgetAt).seconds())
	h.budgetAt = now
	t := h.budget
	h.budget = max(0, t-1)
	return t >= 1 || b.chance() < t
}

// coldSafety halves the guess: API calls differ in work, and warm hosts may have done more than their share.
const coldSafety = 0.5

// coldRate guesses what a cold host may get, from what the fleet does for a unit of size, taken as it was
// done: held against what is left after most hosts have gone it would look like the work of a few. One that
// began lately has not a window behind it: over a whole one it took the fleet for a fraction of what it is,
// just when a release had put cold hosts in place of all. leastOut for all in a window lets a fleet start of
// which nothing is warm.
func (b *Balancer) coldRate(h *cache, w float64) float64 {
	span := min(window, max(healthSlot, b.host.Now()-b.began))
	perS := b.done.total(b.host.Now()) / span.seconds() * h.weight
	least := leastOut / float64(b.terms.Balancers) / b.terms.FallWindow.seconds()
	if b.paired { // both have a least; the rest follows what each does
		least /= 2
	}
	return max(coldSafety*b.terms.FallMultiple*w*perS, least)
}

// weigh sums the sizes of the caches that are up, as far as they are warm.
func (b *Balancer) weigh() {
	b.able = 0
	for _, h := range b.byID {
		b.able += h.weight * b.warmth(h)
	}
}

// ---- health and limits

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
	} else if good && float64(b.attemptsOut+1) >= b.fleetBears*float64(len(b.byID))/2 {
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

// adapt moves a limit: sharply down on what failed, slowly down when crowded, slowly up when it was needed.
func (b *Balancer) adapt(h *cache, slo Nanos, good, bad, full bool, crowd float64) {
	now := b.host.Now()
	switch {
	case (bad || full) && now-h.cutAt > slo/4:
		h.limit, h.cutAt = max(b.least(), h.limit*0.6), now // 0.8 and more left hosts crowded, 0.4 won nothing
	case good && crowd > 1:
		h.limit = max(b.least(), h.limit-min(0.5, h.limit/2)/max(1, h.limit))
	case good && float64(h.out+1) >= h.limit/2:
		// Never more than doubled: steps of one, times hundreds of balancers, made limits that bind nobody.
		step := 1 / max(1, h.limit)
		if h == b.origin && h.cutAt == 0 {
			// Nothing tells at first what it bears: it stood idle for seconds while misses were given up. 1 did as
			// well, but came nearer to what makes an origin stop.
			step = 0.3
		}
		h.limit = min(mostOut, h.limit+min(step, h.limit))
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

const (
	firstOut  = 12               // all may have out at a host not yet known; 24 crowded small fleets
	sparseOut = 40               // the same where that is below two each: 12 turned popular keys away
	leastOut  = 6                // all may have out at the least; of 2, 4, 6 and 8 six did best with crowdedAt
	mostOut   = 256              // more than any host here was seen to need
	firstRest = 20 * Millisecond // short against most work; doubled while it stays full
	// A host whose attempts are this part of their SLO later than in calm times holds too many.
	crowdedAt = 0.03
)

func (b *Balancer) firstLimit() float64 {
	n := float64(b.terms.Balancers)
	return max(firstOut/n, min(2, sparseOut/n))
}

func (b *Balancer) least() float64 { return min(1, leastOut/float64(b.terms.Balancers)) }

// bears tells whether a host may get this API call added. Under pressure traffic beyond an allowance
// stops at half of what the host bears, and cheap products a little before dear ones.
func (b *Balancer) bears(h *cache, c *call) bool {
	n, now := h.limit*b.portion(c), b.host.Now()
	if n < 1 && h.out == 0 {
		// Many balancers with one attempt each still crowd a small host: less than one is one with a pause after
		// it.
		return now >= h.restUntil && (now-h.lastEnded).seconds() >= max(b.usual(), h.took)*(1/n-1)
	}
	return now >= h.restUntil && float64(h.out+1) <= max(1, n)
}

// portion is the part of a limit that is open to this API call.
func (b *Balancer) portion(c *call) float64 {
	if c.above {
		return 0.5
	} else if c.terms.BilledValue < b.topValue/2 {
		return 0.85
	}
	return 1
}

// room tells whether the fleet bears one more. One of hundreds of balancers meets a host too seldom to see it
// crowded, but sees what became of its last attempts: the limit of all falls where a quarter are not in time.
func (b *Balancer) room(c *call) bool {
	return float64(b.attemptsOut)+b.chance() < b.fleetBears*float64(len(b.byID))*b.portion(c)
}

// pressed notes that an API call within its allowance found no room: more of what lies beyond one is then
// rate-limited on arrival, less again as calls find room; it settles where about one in twenty finds none.
func (b *Balancer) pressed(c *call) {
	if !c.above {
		b.squeeze = min(1, b.squeeze+0.1)
	}
}

// beyondAllowance holds a customer to this balancer's part of its allowance: an equal one where none is told,
// or more if the median customer here uses more of its part than all, lest a balancer that gets most of the
// traffic, or a fleet that all press, takes everybody for a glutton (1.25: most stay under it).
func (b *Balancer) beyondAllowance(c *call) bool {
	if int(c.Customer) >= len(b.allowances) || b.terms.Customers[c.Customer].AllowancePerS <= 0 {
		return false
	}
	a, now, equal := &b.allowances[c.Customer], b.host.Now(), 1/float64(b.terms.Balancers)
	a.seen.add(now, 1/window.seconds(), 0)
	var uses []float64
	for i := range b.allowances {
		o := &b.allowances[i]
		uses = append(uses, o.seen.total(now)/max(cmp.Or(o.part, equal)*b.terms.Customers[i].AllowancePerS, 1e-9))
	}
	slices.Sort(uses)
	above := 1.25 * uses[len(uses)/2]
	if a.part > 0 { // a part that is told may be a newborn's floor: the window is not full yet, and all press
		above *= window.seconds() / min(window, max(healthSlot, now-b.began)).seconds()
	}
	rate := min(1, cmp.Or(a.part, equal)*max(1, above)) * b.terms.Customers[c.Customer].AllowancePerS
	// A second's burst, and the chance deviation of a window: at few calls a second most was else above.
	burst := max(1, rate+math.Sqrt(rate*window.seconds()))
	if a.at == 0 {
		a.tokens = burst
	}
	a.tokens = min(burst, a.tokens+rate*(now-a.at).seconds())
	a.at = now
	if a.tokens < 1 {
		return true
	}
	a.tokens--
	return false
}

// ---- the list

// Listed takes what discovery tells.
func (b *Balancer) Listed(kind ListKind, entries []Entry) {
	switch kind {
	case ListUnavailable:
		b.follow(false)
		return
	case ListRestored:
		b.follow(len(entries) == 0)
	}
	named := map[CacheID]bool{}
	changed, origin := kind != ListUpdate, b.origin
	if b.unit == 0 {
		b.unitOf(entries)
	}
	for _, e := range entries {
		named[e.Cache] = true
		changed = b.note(e) || changed
	}
	for id, h := range b.caches {
		if kind != ListUpdate && !named[id] {
			h.Condition = Gone
		}
		b.forget(h)
	}
	if changed {
		b.rebuild()
	}
	if b.origin != origin {
		// What a tenth of the caches may have out: at the limit of a single one a balancer that had just started
		// turned away misses that all others sent on.
		b.origin.limit = b.firstLimit() * max(1, float64(len(b.byID))/10)
	}
	b.held = 0
	for _, h := range b.byID {
		b.held += h.held / float64(len(b.byID))
	}
}

// up tells that a host may be sent to: the list names it so and nobody has taken it out.
func (b *Balancer) up(h *cache) bool { return h.Condition == Up && !b.out[h.Cache] }

// Exclude takes a cache out by hand until Include: no list lifts that, nor its leaving the list.
func (b *Balancer) Exclude(id CacheID) (known, held bool) {
	if known = b.Knows(id); !known || len(b.out) >= mostExcluded && !b.out[id] {
		return known, false
	}
	b.Bar(id)
	return known, true
}

// Bar is Exclude for what another process has been told, or this one before its start.
func (b *Balancer) Bar(id CacheID) {
	b.out[id] = true
	b.rebuild()
}

// mostExcluded bounds the caches out by hand: those that no list names any more stay out. Many times a fleet.
const mostExcluded = 4096

// Include puts a cache back. Operators restart it meanwhile: it comes back as one that starts now, whatever
// the list knows of its start, and nothing learnt of it before holds. One that was not out stays as it is.
func (b *Balancer) Include(id CacheID) (known bool) {
	if known = b.Knows(id); !b.out[id] {
		return known
	}
	delete(b.out, id)
	if old := b.caches[id]; old != nil {
		delete(b.caches, id)
		b.note(old.Entry)
		h, now := b.caches[id], b.host.Now()
		h.out, h.busySince, h.lastEnded, h.back = old.out, old.busySince, old.lastEnded, now
		h.owed, b.owing = now+Nanos(float64(backWithin)*b.chance()), true
	}
	b.rebuild()
	return known
}

// backWithin is when a cache that was put back is used at the latest, by each balancer at its own moment:
// with few API calls its budget gives each balancer one in minutes, and nobody could tell that it is back.
const backWithin = 4 * Second

// returned is a cache that was put back by hand and is due to be used.
func (b *Balancer) returned(c *call) *cache {
	if !b.owing || c.Write || len(c.attempts) > 0 || c.terms.Effect != Idempotent {
		return nil
	}
	b.owing = false
	for _, h := range b.byID {
		b.owing = b.owing || h.owed > 0
		if h.owed > 0 && b.host.Now() >= h.owed {
			h.budget = max(0, h.budget-1)
			return h
		}
	}
	return nil
}

// forget drops a host that is gone once nothing is out there: others come under new ids all day.
func (b *Balancer) forget(h *cache) {
	if h.Condition == Gone && h.out == 0 && h != b.origin {
		delete(b.caches, h.Cache)
	}
}

// follow asks for the list, at a start or after a call for it that failed, at once or within againWithin.
// With a list from before a start can wait: a release starts most balancers at once, and all their calls
// together held discovery up for so long that none was answered in time. So did calls that failed, after 250
// ms, doubled.
func (b *Balancer) follow(atOnce bool) {
	if !b.terms.MustSubscribe || b.retrying {
		return
	}
	b.retrying = true
	wait := Nanos(0)
	if !atOnce {
		wait = Nanos(float64(min(b.terms.AskEvery/2, againWithin)) * b.chance())
	}
	b.host.Wake(wait, "list")
}

// againWithin is of the six seconds after which news counts as told once discovery can be reached, whatever
// came of earlier calls: one is left for the call itself.
const againWithin = 5 * Second

// unitOf fixes once what a listed size counts for: units of a power of two, and by kind where sizes follow
// the load, so that balancers that start at other times lay the same ring and no load report moves a key.
func (b *Balancer) unitOf(entries []Entry) {
	top := 0.0
	for _, e := range entries {
		if e.Kind != b.terms.OriginKind {
			top = max(top, e.Size)
			b.ofKind[e.Kind] = max(b.ofKind[e.Kind], e.Size)
		}
	}
	if top > 0 {
		b.unit = math.Exp2(math.Floor(math.Log2(top)))
	}
}

// note takes one entry; it tells whether the ring is touched.
func (b *Balancer) note(e Entry) bool {
	old := b.caches[e.Cache]
	if old != nil && (old.Born == e.Born || old == b.origin) {
		changed := old.Condition != e.Condition
		old.Condition = e.Condition
		if size := b.ofKind[e.Kind]; b.terms.LiveSizes && e.Size > 0 && e.Size <= size {
			old.held = max(size/e.Size-1, 0.6*old.held)
		}
		return changed
	}
	// A restart under the same name is a new process: cold, and nothing learnt of the old one holds.
	h := &cache{Entry: e, limit: b.firstLimit(), weight: e.Size}
	h.delay.width, h.budgetAt = delaySlot, b.host.Now()
	if old != nil {
		h.out, h.busySince, h.lastEnded, h.back, h.owed = old.out, old.busySince, old.lastEnded, old.back, old.owed
	}
	if size := b.ofKind[e.Kind]; b.terms.LiveSizes && size > 0 {
		h.weight = math.Exp2(math.Round(2*math.Log2(size)) / 2)
	}
	if b.terms.SizesEqual || !(h.weight > 0) {
		h.weight = b.unit
	}
	if b.terms.Aside && e.Kind == b.terms.OriginKind {
		b.origin = h
	}
	b.caches[e.Cache] = h
	if b.zones[e.Zone] == nil {
		b.zones[e.Zone] = &meter{}
	}
	return true
}
