// Package policy decides where each API call goes. A Balancer is made by New with the Terms of its
// deployment; from then on one method is called for each thing that happens (Listed, Arrived, Ended,
// Streaming, Abandoned, Woke), and it acts by calling the Host it was made with. Both are declared in types.go.
// It is not safe for concurrent use, keeps no clock and shares nothing.
//
// Reading order: the ordinary path (Arrived, next, Ended), the ring, the copies by profit, then what
// may be repeated, the origin, cold hosts, health, limits, the list.
package policy

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"math"
	"slices"
)

// Balancer holds what one balancer knows.
type Balancer struct {
	host                   Host
	terms                  Terms
	seed, draws            uint64
	caches                 map[CacheID]*cache
	byID                   []*cache // the caches that are up, in the order of their ids; never the origin
	origin                 *cache   // never nil; where caches fetch, it stands for what their fetches meet
	ring                   []point
	unit                   float64          // listed size that gets the nominal number of points
	ofKind                 map[Kind]float64 // stands for the listed size where that follows the load
	calls                  map[CallID]*call
	fetching               map[Key]*call // the API call that asks the origin for a key
	table                  keyTable
	allowances             []allowance
	parts                  []float64 // scratch: what part of its allowance each customer uses here
	tempos                 []tempo
	topValue, squeeze      float64
	pace                   float64 // how long shots at caches take lately
	all, warmDone, further meter   // shots at caches, fulfilments by warm ones, further shots
	backoff                Nanos   // before the next try to follow the list
	retrying               bool
}

// cache is a cache host, or the origin.
type cache struct {
	Entry
	weight               float64
	out                  int // this balancer's shots that have not ended
	busySince, lastEnded Nanos
	limit, stretch       float64 // shots out that it is seen to bear, and how stretched their times are
	cutAt                Nanos
	rest, restUntil      Nanos
	health, sent         meter
}

type call struct {
	Call
	terms        *ProductTerms
	began        Nanos
	shots        []shot
	out          int
	over, stream bool
	above        bool   // beyond its customer's allowance
	waiting      bool   // held until another API call's fetch ends
	waited       bool   // it has been held once
	missedAt     *cache // where it missed last
	fetch        bool   // it asks the origin, those behind it wait
	behind       []*call
}

type shot struct {
	at   *cache
	sent Nanos
	out  bool
	ran  bool // may have run
	far  bool // goes on to the origin: to it, or a write or a likely miss where caches fetch
}

// New makes a balancer that starts with nothing; its list follows by Listed.
func New(host Host, terms Terms, seed uint64) *Balancer {
	b := &Balancer{host: host, terms: terms, seed: seed, caches: map[CacheID]*cache{},
		ofKind: map[Kind]float64{}, calls: map[CallID]*call{}, fetching: map[Key]*call{},
		table: keyTable{at: map[Key]int{}}, allowances: make([]allowance, len(terms.Customers)),
		tempos: make([]tempo, len(terms.Products))}
	b.all.width, b.warmDone.width, b.further.width = healthSlot, healthSlot, healthSlot
	for i := range terms.Products {
		b.topValue = max(b.topValue, terms.Products[i].BilledValue)
	}
	b.origin = &cache{limit: mostOut / 4}
	if terms.MustSubscribe {
		host.Subscribe()
	}
	host.Wake(beatEvery, "beat")
	return b
}

// Arrived takes an API call; from here on it is owed one final answer.
func (b *Balancer) Arrived(in Call) {
	now := b.host.Now()
	c := &call{Call: in, terms: &b.terms.Products[in.Product], began: now}
	// Two ticks before the client leaves: a wake comes up to one tick late, and its answer must still count.
	b.host.Wake(max(0, in.Left-2*b.terms.Tick), WakeID("e"+in.ID))
	b.calls[in.ID] = c
	b.count(c)
	c.above = b.beyondAllowance(c)
	switch {
	case c.above && b.chance() < b.squeeze:
		b.giveUp(c)
	case b.terms.Aside && c.Write: // caches do not take writes here
		b.askOrigin(c)
	default:
		b.toCache(c)
	}
}

// toCache makes the next shot at a cache, or gives up.
func (b *Balancer) toCache(c *call) {
	if to := b.next(c); to != nil && b.mayRepeat(c, to) && (!b.fetches(c) || b.originBears(c)) {
		b.squeeze = max(0, b.squeeze-0.002)
		b.send(c, to)
		return
	}
	b.pressed(c)
	b.giveUp(c)
}

// next picks the cache for the next shot: the nearest copy, else the home, else the successors.
// A later pass drops a wish, never a bound: cold hosts, limits and hosts already asked stay out.
func (b *Balancer) next(c *call) *cache {
	path := b.path(c)
	mean := 0.0
	for _, h := range b.byID {
		mean += float64(h.out)
	}
	mean /= float64(max(1, len(b.byID)))
	for pass := range 3 {
		busy := 0
		for _, h := range path {
			if busy > reach || c.asked(h) || !b.coldMayTake(h, c) {
				continue
			}
			if pass < 2 && !b.trusted(h, c) {
				continue
			}
			// The design's yield: two or more above this balancer's mean goes to the next.
			if pass == 0 && float64(h.out) >= mean+2 || !b.bears(h, c) {
				busy++
				continue
			}
			return h
		}
	}
	return nil
}

// reach is how many busy hosts a key is carried past. Farther, an overload would spread every key over
// every cache and the misses would add the origin to the trouble. Three is as many as share a home's keys.
const reach = 3

func (c *call) asked(h *cache) bool {
	return slices.ContainsFunc(c.shots, func(s shot) bool { return s.at == h })
}

func (b *Balancer) send(c *call, to *cache) {
	now := b.host.Now()
	if to.out == 0 {
		to.busySince = now
	}
	to.out++
	to.sent.add(now, 1, 0)
	far := to == b.origin || b.fetches(c)
	if far && to != b.origin {
		b.origin.out++
	}
	c.shots = append(c.shots, shot{at: to, sent: now, out: true, far: far})
	c.out++
	b.host.Send(c.ID, to.Cache, max(1, c.Left-(now-c.began)))
	if to != b.origin {
		b.host.Wake(b.patience(c), WakeID("p"+c.ID))
	}
}

// Ended takes the outcome of a shot.
func (b *Balancer) Ended(e Ending) {
	now := b.host.Now()
	h, c := b.caches[e.Cache], b.calls[e.Call]
	if h != nil {
		h.out = max(0, h.out-1)
		h.lastEnded = now
	}
	if c == nil || e.Shot < 0 || e.Shot >= len(c.shots) || !c.shots[e.Shot].out {
		return
	}
	s := &c.shots[e.Shot]
	s.out, s.ran = false, mayHaveRun(e.Outcome)
	c.out--
	if s.far && s.at != b.origin {
		b.origin.out--
	}
	if h != nil {
		b.learn(h, c, e, s.far)
	}
	if e.Shot > 0 && s.at != b.origin && e.Outcome != NeverSent && e.Outcome != Missed && c.missedAt == nil {
		if e.Outcome == Fulfilled {
			b.further.add(now, 1, 0)
		} else {
			b.further.add(now, 0, 1)
		}
	}
	if s.at == b.origin && c.fetch {
		b.release(c, e.Outcome == Fulfilled)
	}
	if e.Final || e.Outcome == Fulfilled || c.over {
		if u := b.table.find(c.Key); u != nil && e.Outcome == Fulfilled {
			u.kept = !c.Write
		}
		b.finish(c)
		return
	}
	if e.Outcome == Missed {
		c.missedAt = s.at
		b.missed(c, e.Note)
		return
	}
	if c.out == 0 {
		b.again(c, s.at)
	}
}

// again makes a further shot after one that failed, or gives up.
func (b *Balancer) again(c *call, failed *cache) {
	now := b.host.Now()
	if now >= c.began+c.terms.LatencySLO && c.terms.OverdueValue == 0 || !b.furtherPays() {
		b.giveUp(c)
		return
	}
	if failed == b.origin {
		b.askOrigin(c)
		return
	}
	b.toCache(c)
}

// furtherPays draws whether a further shot is made: as often as recent ones were fulfilled, so that in an
// overload, where they are not, they stop feeding it. One in twenty is always made, to see it end.
func (b *Balancer) furtherPays() bool {
	good, bad := b.further.faded(b.host.Now())
	return b.chance() < max(0.05, (good+4)/(good+bad+4))
}

// patience is how long a shot is left alone before its host is looked at: eight looks within the SLO.
func (b *Balancer) patience(c *call) Nanos { return max(b.terms.Tick, c.terms.LatencySLO/8) }

// impatient looks at an API call whose shot is still out. A big piece of work is left to run; a host that
// answers nothing (a hang), or fails its peers' standard, loses the shot while there is time for another.
func (b *Balancer) impatient(c *call) {
	now := b.host.Now()
	if c.stream || c.out == 0 || now >= c.began+c.terms.LatencySLO {
		return
	}
	i := len(c.shots) - 1
	for !c.shots[i].out {
		i--
	}
	at := c.shots[i].at
	if at == b.origin {
		return
	}
	slow := b.terms.SecondCopies && now-c.shots[i].sent >= c.terms.LatencySLO/2
	if (b.overdue(at) > hung || slow) && b.furtherPays() {
		if b.terms.SecondCopies {
			if to := b.next(c); to != nil && b.mayRepeat(c, to) {
				b.send(c, to)
				return
			}
		} else if b.terms.MayCancel && c.terms.Effect != NonIdempotent {
			b.host.Cancel(c.ID, i) // its outcome leads to again
			return
		}
	}
	b.host.Wake(b.patience(c), WakeID("p"+c.ID))
}

// giveUp ends an API call that gets no answer: at once, so that the client can act.
func (b *Balancer) giveUp(c *call) {
	if c.over {
		return
	}
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

// finish forgets an API call once all of its shots have ended; until then they still teach.
func (b *Balancer) finish(c *call) {
	if !c.over {
		c.over = true
		for i, s := range c.shots {
			if s.out && b.terms.MayCancel && !c.stream {
				b.host.Cancel(c.ID, i)
			}
		}
		if c.fetch { // a leader that leaves must not strand those behind it
			b.release(c, false)
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

// Woke gets back what Host.Wake was given.
func (b *Balancer) Woke(id WakeID) {
	switch id {
	case "beat":
		b.beat()
		return
	case "list":
		b.retrying = false
		b.host.Subscribe()
		return
	}
	c := b.calls[CallID(id[1:])]
	if c == nil || c.over {
		return
	}
	switch {
	case id[0] == 'e' && !c.stream:
		b.giveUp(c)
	case id[0] == 'p':
		b.impatient(c)
	case id[0] == 'w' && c.waiting:
		c.waiting = false
		b.afterWait(c)
	}
}

// ---- what may be repeated

// mayHaveRun: an outcome not known here proves nothing.
func mayHaveRun(o Outcome) bool {
	return o != TurnedAway && o != ConnectFailed && o != NeverSent && o != Missed
}

// mayRepeat is the one place that says whether a shot may be sent now, given those before it.
func (b *Balancer) mayRepeat(c *call, to *cache) bool {
	if len(c.shots) >= b.terms.MostShots || c.over || c.out > 1 || c.out == 1 && !b.terms.SecondCopies {
		return false
	}
	if c.terms.Effect == Idempotent {
		return true
	}
	for _, s := range c.shots {
		if !s.out && !s.ran {
			continue
		}
		// A second effect: non-idempotent never again, deduplicated only where the repeat is recognised.
		if c.terms.Effect == NonIdempotent || b.host.Now()-s.sent >= c.terms.Window ||
			c.terms.Group == GroupZone && s.at.Zone != to.Zone ||
			c.terms.Group == GroupCell && s.at.Cell != to.Cell {
			return false
		}
	}
	return true
}

// mayRateLimit: the reply promises that a retry is harmless.
func (b *Balancer) mayRateLimit(c *call) bool {
	for _, s := range c.shots {
		if (s.out || s.ran) && (c.terms.Effect == NonIdempotent ||
			c.terms.Effect == Deduplicated &&
				(c.terms.Group != GroupAll || b.host.Now()-s.sent >= c.terms.Window)) {
			return false
		}
	}
	return true
}

// ---- the ring

type point struct {
	hash uint64
	at   *cache
}

// hash is FNV-1a with a finaliser: plain FNV leaves similar short names close together on the ring.
func hash(s string, n uint64) uint64 {
	f := fnv.New64a()
	var buf [8]byte
	binary.LittleEndian.PutUint64(buf[:], n)
	f.Write([]byte(s))
	f.Write(buf[:])
	h := f.Sum64()
	h = (h ^ h>>33) * 0xff51afd7ed558ccd
	h = (h ^ h>>33) * 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

func (b *Balancer) chance() float64 {
	b.draws++
	var buf [8]byte
	binary.LittleEndian.PutUint64(buf[:], b.seed)
	return float64(hash(string(buf[:]), b.draws)>>11) / (1 << 53)
}

// points is the number of virtual nodes of a host of nominal size: enough that shares stray by a tenth.
const points = 100

// rebuild lays the ring anew. It is equal at every balancer, so nothing of the instance enters it.
func (b *Balancer) rebuild() {
	b.byID, b.ring = b.byID[:0], b.ring[:0]
	for _, h := range b.caches {
		if h != b.origin && h.Condition == Up {
			b.byID = append(b.byID, h)
		}
	}
	slices.SortFunc(b.byID, func(x, y *cache) int { return cmp.Compare(x.Cache, y.Cache) })
	for _, h := range b.byID {
		n := min(max(1, int(points*h.weight/b.unit+0.5)), 8*points)
		for i := range n {
			b.ring = append(b.ring, point{hash(string(h.Cache), uint64(i)), h})
		}
	}
	slices.SortFunc(b.ring, func(x, y point) int {
		return cmp.Or(cmp.Compare(x.hash, y.hash), cmp.Compare(x.at.Cache, y.at.Cache))
	})
}

// successors are all caches in the order in which the ring meets them from the key on; the first is its home.
func (b *Balancer) successors(k Key) []*cache {
	var met []*cache
	if len(b.ring) == 0 {
		return nil
	}
	at := hash(string(k), 0)
	i, _ := slices.BinarySearchFunc(b.ring, at, func(p point, h uint64) int { return cmp.Compare(p.hash, h) })
	for n := 0; n < len(b.ring) && len(met) < len(b.byID); n++ {
		if h := b.ring[(i+n)%len(b.ring)].at; !slices.Contains(met, h) {
			met = append(met, h)
		}
	}
	return met
}

// path is the order in which caches are asked: a read's nearest copy first, then home and successors.
func (b *Balancer) path(c *call) []*cache {
	k := c.Key
	if k == "" {
		k = Key(c.ID)
	}
	met := b.successors(k)
	if u := b.table.find(k); u != nil && !c.Write && len(met) > 0 {
		b.weigh(u, met)
		i := slices.IndexFunc(met, func(h *cache) bool { return h.Cache == u.copyAt })
		if i > 0 && b.nearer(met[i], met[0]) {
			h := met[i]
			copy(met[1:i+1], met[:i])
			met[0] = h
		}
	}
	return met
}

// ---- copies by profit

// hop is the cost of reaching a cache: the design's one in the zone and three across.
func (b *Balancer) hop(h *cache) float64 {
	if h.Zone == b.terms.Zone {
		return 1
	}
	return 3
}

func (b *Balancer) nearer(x, y *cache) bool {
	if hx, hy := b.hop(x), b.hop(y); hx != hy {
		return hx < hy
	}
	return x.Cache < y.Cache
}

// weigh makes or drops this balancer's copy of a key: the first successor in its own zone, by profit.
func (b *Balancer) weigh(u *keyUse, met []*cache) {
	if u.copyAt != "" {
		return
	}
	i := slices.IndexFunc(met, func(h *cache) bool { return h.Zone == b.terms.Zone })
	if i > 0 && b.profit(u, met[0], met[i]) > b.threshold() {
		u.copyAt = met[i].Cache
	}
}

// profit is Estimate Profit: a write costs the copy one refill.
func (b *Balancer) profit(u *keyUse, nearest, candidate *cache) float64 {
	reads, writes := u.sum()
	return reads*b.hop(nearest) - reads*b.hop(candidate) - writes*b.hop(candidate)
}

func (b *Balancer) threshold() float64 {
	return b.table.reads() / float64(max(1, len(b.byID))) * (3 - 1)
}

const (
	keySlots  = 6 // the design's six slots of two seconds
	keySlot   = 2 * Second
	tableSize = 4096 // keys; some ten times what one balancer reads twice in twelve seconds here
	tableLook = 8    // keys looked at for one to put out
)

// keyUse counts this balancer's reads and writes of one key.
type keyUse struct {
	key    Key
	read   [keySlots]uint32
	write  [keySlots]uint32
	copyAt CacheID
	kept   bool // read well since it was last written: a cache has it, likely
}

type keyTable struct {
	at    map[Key]int
	use   []keyUse
	slot  int
	hand  int
	total [keySlots]float64
}

func (u *keyUse) sum() (reads, writes float64) {
	for i := range keySlots {
		reads += float64(u.read[i])
		writes += float64(u.write[i])
	}
	return reads, writes
}

func (t *keyTable) reads() (sum float64) {
	for _, n := range t.total {
		sum += n
	}
	return sum
}

func (t *keyTable) find(k Key) *keyUse {
	if i, ok := t.at[k]; ok {
		return &t.use[i]
	}
	return nil
}

// admit finds room for a key. When the table is full the least used of the next few gives way, and only if
// it was used once: a flood of keys wanted once then turns over its own entries and not the ones that matter.
func (t *keyTable) admit(k Key) *keyUse {
	i := len(t.use)
	if i < tableSize {
		t.use = append(t.use, keyUse{})
	} else {
		least := math.Inf(1)
		for range tableLook {
			t.hand = (t.hand + 1) % tableSize
			reads, writes := t.use[t.hand].sum()
			if n := reads + writes; n < least && t.use[t.hand].copyAt == "" {
				i, least = t.hand, n
			}
		}
		if least > 1 {
			return nil
		}
		delete(t.at, t.use[i].key)
	}
	t.use[i] = keyUse{key: k}
	t.at[k] = i
	return &t.use[i]
}

func (b *Balancer) count(c *call) {
	t := &b.table
	if !c.Write {
		t.total[t.slot]++
	}
	if c.Key == "" {
		return
	}
	u := t.find(c.Key)
	if u == nil {
		u = t.admit(c.Key)
	}
	if u == nil {
		return
	}
	if c.Write {
		u.write[t.slot]++
	} else {
		u.read[t.slot]++
	}
}

// rotate starts the next slot: copies under half the threshold and keys not used any more go.
func (b *Balancer) rotate(slot int) {
	t := &b.table
	t.slot = slot
	t.total[slot] = 0
	for i := range t.use {
		t.use[i].read[slot], t.use[i].write[slot] = 0, 0
	}
	least := b.threshold() / 2
	for i := 0; i < len(t.use); i++ {
		u := &t.use[i]
		if u.copyAt != "" {
			met := b.successors(u.key)
			at := b.caches[u.copyAt]
			if len(met) == 0 || at == nil || at.Condition != Up || b.profit(u, met[0], at) < least {
				u.copyAt = ""
			}
		}
		if reads, writes := u.sum(); reads+writes == 0 {
			delete(t.at, u.key)
			last := len(t.use) - 1
			if i < last {
				t.use[i] = t.use[last]
				t.at[t.use[i].key] = i
			}
			t.use = t.use[:last]
			i--
		}
	}
}

// ---- the origin, where caches answer a miss

// missed goes on with a read that a cache lacks: behind a fetch of the same key, or to the origin.
func (b *Balancer) missed(c *call, note int) {
	if lead := b.fetching[c.Key]; lead != nil && !c.waited && c.Key != "" {
		lead.behind = append(lead.behind, c)
		b.wait(c, c.terms.LatencySLO/2)
		return
	}
	if note == 3 && !c.waited && len(c.shots)+2 < b.terms.MostShots {
		b.wait(c, c.terms.LatencySLO/4) // another balancer's API call fetches it: ask the cache again
		return
	}
	b.askOrigin(c)
}

func (b *Balancer) wait(c *call, most Nanos) {
	c.waiting, c.waited = true, true
	b.host.Wake(most, WakeID("w"+c.ID))
}

// release lets go of those behind a fetch: to the cache that now has the value, or to the origin.
func (b *Balancer) release(lead *call, stored bool) {
	lead.fetch = false
	if b.fetching[lead.Key] == lead {
		delete(b.fetching, lead.Key)
	}
	behind := lead.behind
	lead.behind = nil
	for _, c := range behind {
		if c.over || !c.waiting {
			continue
		}
		c.waiting = false
		if !stored {
			c.waited = false
			b.missed(c, 0)
		} else {
			c.missedAt = lead.missedAt
			b.afterWait(c)
		}
	}
}

// afterWait asks the cache that missed once more.
func (b *Balancer) afterWait(c *call) {
	h := c.missedAt
	if h.Condition == Up && b.mayRepeat(c, h) && b.bears(h, c) && b.coldMayTake(h, c) &&
		len(c.shots)+1 < b.terms.MostShots {
		b.send(c, h)
		return
	}
	b.askOrigin(c)
}

// fetches tells whether a shot at a cache likely goes on to the origin.
func (b *Balancer) fetches(c *call) bool {
	u := b.table.find(c.Key)
	return !b.terms.Aside && (c.Write || u == nil || !u.kept)
}

// originBears: reads leave a quarter of what the origin bears to writes.
func (b *Balancer) originBears(c *call) bool {
	most := b.origin.limit
	if !c.Write {
		most = max(1, 0.75*most)
	}
	return float64(b.origin.out) < most && b.host.Now() >= b.origin.restUntil
}

// askOrigin sends to the origin as much as it is seen to bear; reads leave a quarter of that to writes.
// What it could not answer in time is rate-limited at once: queued reads would come late and keep it slow.
func (b *Balancer) askOrigin(c *call) {
	o := b.origin
	if o.Condition != Up || !b.mayRepeat(c, o) || !b.originBears(c) {
		b.pressed(c)
		b.giveUp(c)
		return
	}
	if !c.Write && c.Key != "" && b.fetching[c.Key] == nil {
		b.fetching[c.Key] = c
		c.fetch = true
	}
	b.send(c, o)
}

// ---- cold hosts

// warmth is the share of its capacity that a host has at the least, by the time since its start.
func (b *Balancer) warmth(h *cache) float64 {
	age := b.host.Now() - h.Born
	if h.Born == 0 || age >= b.terms.RampTime {
		return 1
	}
	return b.terms.ColdFrom + (1-b.terms.ColdFrom)*max(0, float64(age))/float64(b.terms.RampTime)
}

// coldMayTake gives a cold host a rising part of its own keys, the same at every balancer, and under it a
// budget: this balancer's part of what would push it over, guessed from what warm hosts do for it.
func (b *Balancer) coldMayTake(h *cache, c *call) bool {
	w := b.warmth(h)
	if w == 1 {
		return true
	}
	k := c.Key
	if k == "" {
		k = Key(c.ID)
	}
	if float64(hash(string(h.Cache)+string(k), 1)>>11)/(1<<53) >= w {
		return false
	}
	return h.sent.total(b.host.Now()) < b.coldBudget(h, w)
}

// coldSafety: the guess takes all warm hosts to be half idle or less, and API calls differ in work.
const coldSafety = 0.5

func (b *Balancer) coldBudget(h *cache, w float64) float64 {
	now, weight := b.host.Now(), 0.0
	for _, o := range b.byID {
		if b.warmth(o) == 1 {
			weight += o.weight
		}
	}
	if weight == 0 {
		return 1
	}
	perS := b.warmDone.total(now) / (float64(meterSlots) * healthSlot.seconds()) * h.weight / weight
	return max(1, coldSafety*b.terms.FallMultiple*w*perS*b.terms.FallWindow.seconds())
}

// ---- health and limits

const (
	healthSlot = 1500 * Millisecond // with eight slots a host's past counts for twelve seconds
	beatEvery  = 500 * Millisecond  // a quarter of a slot of the key table
)

// tempo is how long a product's shots at caches take: lately, and when nothing presses.
type tempo struct{ n, lately, calm float64 }

func (t *tempo) add(took float64) {
	t.n = min(t.n+1, 64) // work differs by a factor of several: 64 shots average that out
	t.lately += (took - t.lately) / t.n
	if t.n < 32 || t.lately < t.calm {
		t.calm = t.lately
	} else {
		t.calm += (t.lately - t.calm) / 2000 // tens of seconds: an overload must not pass for the usual
	}
}

// learn takes a shot's outcome into the host's health, its limit and the product's tempo.
func (b *Balancer) learn(h *cache, c *call, e Ending, far bool) {
	now, slo := b.host.Now(), c.terms.LatencySLO
	good, bad, full := 0.0, 0.0, e.Outcome == TurnedAway
	switch e.Outcome {
	case Fulfilled, Missed:
		if e.Took <= slo {
			good = 1
		} else {
			bad = 1
		}
	case Cancelled:
		if e.Took >= slo/2 {
			bad = 1
		}
	case NeverSent, TurnedAway:
	default:
		bad = 1
	}
	if e.Outcome == Fulfilled && h != b.origin {
		b.pace += (float64(e.Took) - b.pace) / 32
	}
	if h == b.origin {
		b.adapt(h, now, slo, good > 0, bad > 0 || full, full, e.Took > slo/2)
		return
	}
	// A cache answers for a slow origin with errors, full and late: blaming the cache would stop its hits too.
	if far && (e.Outcome == Fulfilled && (c.Write || e.Note != 1) || e.Outcome == Errored || full) {
		b.adapt(b.origin, now, slo, true, e.Outcome != Fulfilled, full, e.Took > slo/2)
		h.health.add(now, good, 0)
		b.all.add(now, good, 0)
		return
	}
	h.health.add(now, good, bad)
	b.all.add(now, good, bad)
	if e.Outcome == Fulfilled {
		t := &b.tempos[c.Product]
		t.add(float64(e.Took))
		h.stretch += (float64(e.Took)/t.calm - h.stretch) / 16
	}
	if good > 0 && b.warmth(h) == 1 {
		b.warmDone.add(now, 1, 0)
	}
	b.adapt(h, now, slo, good > 0, bad > 0 || full, full, h.stretch > stretched)
	if bad > 0 && !c.above {
		b.squeeze = min(1, b.squeeze+0.1)
	}
}

// adapt moves a limit: sharply down on what failed, slowly down when crowded, slowly up when it was needed.
func (b *Balancer) adapt(h *cache, now, slo Nanos, good, bad, full, crowded bool) {
	if full && (h != b.origin || b.terms.Aside) { // it answers at once and so looks idle: without a rest it would draw the traffic of all
		h.rest = min(max(firstRest, 2*h.rest), Second)
		h.restUntil = now + Nanos(float64(h.rest)*(0.5+b.chance()))
	}
	switch {
	case bad:
		if now-h.cutAt > slo/4 {
			h.limit, h.cutAt = max(1, h.limit*0.6), now
		}
	case good && crowded:
		h.limit = max(1, h.limit-0.5/h.limit)
	case good:
		h.rest /= 2
		if float64(h.out+1) >= h.limit/2 {
			h.limit = min(mostOut, h.limit+1/h.limit)
		}
	}
}

// overdue tells a hang before the first time-out: how many of the shots out at a host should have ended since
// one last did, by the usual pace.
func (b *Balancer) overdue(h *cache) float64 {
	if h.out == 0 || b.pace == 0 {
		return 0
	}
	return float64(h.out) * float64(b.host.Now()-max(h.lastEnded, h.busySince)) / b.pace
}

// hung is the number of endings overdue from which a host counts as hanging: by chance it is seen once in
// some four hundred looks at a busy host.
const hung = 9

// trusted draws from the posterior of the host's success and holds it against the fleet's, so that what
// troubles all (a slow origin, an overload) blames no single host. Work that cannot be repeated takes no draw.
func (b *Balancer) trusted(h *cache, c *call) bool {
	now := b.host.Now()
	good, bad := h.health.faded(now)
	if n := b.overdue(h); n > hung {
		bad += n
	}
	if bad == 0 {
		return true
	}
	allGood, allBad := b.all.faded(now)
	bar := 0.75 * (allGood + 4) / (allGood + allBad + 4)
	x, n := good+1, good+bad+1
	mean := x / n
	if c.terms.Effect == NonIdempotent {
		return mean >= bar
	}
	z := (b.chance() + b.chance() + b.chance() + b.chance() - 2) * math.Sqrt(3)
	return mean+z*math.Sqrt(mean*(1-mean)/(n+1)) >= bar
}

const (
	firstOut  = 24  // shots that all balancers may have out at a host of which nothing is known
	mostOut   = 256 // more than any host here was seen to need
	firstRest = 20 * Millisecond
	stretched = 1.8 // a host whose shots take this many times the calm tempo holds too many
)

// bears tells whether a host may get this API call added. Under pressure traffic beyond an allowance
// stops at half of what the host bears, and cheap products a little before dear ones.
func (b *Balancer) bears(h *cache, c *call) bool {
	n := h.limit
	if c.above {
		n /= 2
	} else if c.terms.BilledValue < b.topValue/2 {
		n *= 0.85
	}
	return float64(h.out) < max(1, n) && b.host.Now() >= h.restUntil
}

// ---- fairness

// pressed notes that an API call within its allowance found no room: more of what lies beyond one is
// then rate-limited on arrival, and less again as calls find room.
func (b *Balancer) pressed(c *call) {
	if !c.above {
		b.squeeze = min(1, b.squeeze+0.1)
	}
}

// allowance is a customer's bucket of API calls and its lately seen rate.
type allowance struct {
	tokens, rate float64
	at           Nanos
}

// beyondAllowance holds a customer to this balancer's part of its allowance, with a second's burst. The part
// is not told: it is an equal one, or more if the median customer here uses more of its allowance than that,
// lest a balancer that gets most of the traffic takes everybody for a glutton.
func (b *Balancer) beyondAllowance(c *call) bool {
	if int(c.Customer) >= len(b.allowances) || b.terms.Customers[c.Customer].AllowancePerS <= 0 {
		return false
	}
	a, now := &b.allowances[c.Customer], b.host.Now()
	passed := (now - a.at).seconds()
	if a.at == 0 {
		passed = 1
	}
	a.at = now
	a.rate = a.rate*math.Exp(-passed/rateSpan) + 1/rateSpan
	b.parts = b.parts[:0]
	for i := range b.allowances {
		b.parts = append(b.parts, b.allowances[i].rate/max(b.terms.Customers[i].AllowancePerS, 1e-9))
	}
	slices.Sort(b.parts)
	part := min(1, max(1/float64(b.terms.Balancers), 1.25*b.parts[len(b.parts)/2]))
	rate := part * b.terms.Customers[c.Customer].AllowancePerS
	a.tokens = min(max(1, rate), a.tokens+rate*passed)
	if a.tokens < 1 {
		return true
	}
	a.tokens--
	return false
}

const rateSpan = 5.0 // seconds over which a customer's rate is taken: long against a burst

// ---- the list

// Listed takes what discovery tells.
func (b *Balancer) Listed(kind ListKind, entries []Entry) {
	if kind == ListUnavailable {
		b.followAgain()
		return
	}
	if kind != ListRestored {
		b.backoff = 0
	}
	named := map[CacheID]bool{}
	changed := b.size(entries)
	for _, e := range entries {
		named[e.Cache] = true
		changed = b.note(e) || changed
	}
	if kind != ListUpdate {
		for id, h := range b.caches {
			if !named[id] && h.Condition != Gone {
				h.Condition = Gone
				changed = true
			}
		}
	}
	if changed {
		b.rebuild()
	}
}

// followAgain tries again to follow the list: waits grow and are jittered, lest all balancers call together.
func (b *Balancer) followAgain() {
	if !b.terms.MustSubscribe || b.retrying {
		return
	}
	b.retrying = true
	b.backoff = min(max(250*Millisecond, 2*b.backoff), max(b.terms.AskEvery/4, 250*Millisecond))
	b.host.Wake(Nanos(float64(b.backoff)*(0.5+b.chance()/2)), "list")
}

// size fixes what a listed size counts for: by kind where sizes follow the load, and in units of a power of
// two, so that balancers that start at other times lay the same ring.
func (b *Balancer) size(entries []Entry) bool {
	if b.terms.LiveSizes {
		for _, e := range entries {
			if e.Condition == Up && e.Size > b.ofKind[e.Kind] && b.unit == 0 {
				b.ofKind[e.Kind] = e.Size
			}
		}
	}
	top := 0.0
	for _, e := range entries {
		if e.Kind != b.terms.OriginKind {
			top = max(top, e.Size)
		}
	}
	if b.unit != 0 || top <= 0 {
		return false
	}
	b.unit = math.Exp2(math.Floor(math.Log2(top)))
	return true
}

// note takes one entry; it tells whether the ring is touched.
func (b *Balancer) note(e Entry) bool {
	h := b.caches[e.Cache]
	// A restart under the same name is a new process: cold, and nothing learnt of the old one holds.
	if h == nil || e.Born != h.Born {
		fresh := &cache{Entry: e, limit: max(2, firstOut/float64(b.terms.Balancers)), stretch: 1, weight: b.weight(e)}
		fresh.health.width, fresh.sent.width = healthSlot, max(1, b.terms.FallWindow/(meterSlots-1))
		if h != nil {
			fresh.out, fresh.busySince, fresh.lastEnded = h.out, h.busySince, h.lastEnded
			fresh.Condition = Gone
		} else {
			fresh.Condition = Gone
		}
		h = fresh
		b.caches[e.Cache] = h
		if b.terms.Aside && e.Kind == b.terms.OriginKind {
			b.origin = h
			h.Born = 0
		}
	}
	changed := h.Condition != e.Condition
	h.Condition = e.Condition
	return changed
}

func (b *Balancer) weight(e Entry) float64 {
	w := e.Size
	if b.terms.LiveSizes {
		if b.ofKind[e.Kind] == 0 {
			b.ofKind[e.Kind] = e.Size
		}
		w = math.Exp2(math.Round(2*math.Log2(b.ofKind[e.Kind])) / 2)
	}
	if b.terms.SizesEqual || !(w > 0) {
		w = max(b.unit, 1)
	}
	return w
}

// beat does what is due by time alone.
func (b *Balancer) beat() {
	now := b.host.Now()
	b.host.Wake(beatEvery, "beat")
	if slot := int(now / keySlot % keySlots); slot != b.table.slot {
		b.rotate(slot)
	}
}
