package model

import (
	"math/rand/v2"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// NodeTerms is what a cache node is.
type NodeTerms struct {
	Cores        int
	Speed        float64       // of a core; 1 does the work of a second in a second
	Queue        int           // jobs that wait at most; more are turned away
	KeepBytes    int64         // of kept values
	ColdFrom     float64       // share of its capacity that a fresh node has
	WarmFor      time.Duration // until it has all of it; 0: it starts warm
	FallMultiple float64       // times what it can do, sent for FallFor while it is cold, push it over; 0: never
	FallFor      time.Duration
	PauseEvery   time.Duration // it stands still about this often; 0: never
	PauseFor     time.Duration
	DropsGivenUp bool    // a job whose caller has left is dropped while it still waits
	MissPart     float64 // of a read's work that it takes to find that its key is not kept; 0: all
}

// Node is a cache node. It is not safe for concurrent use. Moments must not go back.
type Node struct {
	terms    NodeTerms
	engine   engine
	kept     *simplelru.LRU[string, kept]
	bytes    int64
	chance   *rand.Rand
	born     time.Duration
	cold     bool // it was started during the day
	slow     float64
	stalled  bool
	paused   bool
	turnAt   time.Duration // the next pause begins or the present one ends
	warmAt   time.Duration // the next step of warming
	strain   strain
	fallen   bool
	fellAt   time.Duration
	counted  time.Duration // up to here the strain knows what could be done
	fellFrom float64
}

type kept struct {
	version uint64
	size    int
}

// mostKept bounds the number of values besides their bytes: small ones would else cost more than they hold.
const mostKept = 1 << 20

// warmSteps is how many steps a node warms in: each is 2% of the way, less than any work varies.
const warmSteps = 50

// NewNode starts a node. A cold one has nothing and warms from now on; another one has been up for long.
func NewNode(terms NodeTerms, now time.Duration, cold bool, chance *rand.Rand) *Node {
	n := &Node{terms: terms, chance: chance, born: now, cold: cold && terms.WarmFor > 0, slow: 1, turnAt: never, warmAt: never,
		engine: engine{cores: terms.Cores, most: terms.Queue, now: now}, counted: now,
		strain: strain{span: terms.FallFor, since: now}}
	n.strain.turn = int64(now) / max(1, int64(terms.FallFor)/strainSlots)
	n.kept, _ = simplelru.NewLRU[string, kept](mostKept, func(_ string, k kept) { n.bytes -= int64(k.size) })
	if terms.PauseEvery > 0 {
		n.turnAt = now + n.nextPause()
	}
	if n.cold {
		n.warmAt = now + terms.WarmFor/warmSteps
	}
	n.setRate()
	return n
}

// nextPause spreads pauses, lest all nodes stand still together.
func (n *Node) nextPause() time.Duration {
	return between(n.chance, n.terms.PauseEvery/2, n.terms.PauseEvery*3/2)
}

// Warmth is the share of its capacity that the node has.
func (n *Node) Warmth(now time.Duration) float64 {
	if !n.Cold(now) {
		return 1
	}
	return n.terms.ColdFrom + (1-n.terms.ColdFrom)*float64(now-n.born)/float64(n.terms.WarmFor)
}

// Cold tells whether the node still warms.
func (n *Node) Cold(now time.Duration) bool { return n.cold && now-n.born < n.terms.WarmFor }

func (n *Node) setRate() {
	n.engine.rate = n.terms.Speed * n.Warmth(n.engine.now) / n.slow
	if n.stalled || n.paused || n.fallen {
		n.engine.rate = 0
	}
}

// able is the work that the node can do in a second of a moment; a pause takes nothing from it.
func (n *Node) able(now time.Duration) float64 {
	return n.terms.Speed * n.Warmth(now) / n.slow * float64(n.terms.Cores)
}

// weigh brings the strain up to a moment, with the work that is sent there.
func (n *Node) weigh(now, work time.Duration) {
	if !n.cold || n.fallen || n.terms.FallMultiple <= 0 {
		return
	}
	n.strain.add(now, float64(work), n.able(now)*float64(now-n.counted))
	n.counted = now
	if n.Cold(now) && n.strain.multiple(now) > n.terms.FallMultiple {
		n.fallen, n.fellAt, n.fellFrom = true, now, n.strain.multiple(now)
	}
}

// Offer sends a job to the node at a moment to which Advance has been called. False: the queue is full.
func (n *Node) Offer(now time.Duration, j Job) bool {
	n.weigh(now, j.Work)
	if n.fallen || !n.engine.room() {
		return false
	}
	if n.terms.MissPart > 0 && !j.Write && j.Key != "" && !n.kept.Contains(j.Key) {
		j.Work = time.Duration(float64(j.Work) * n.terms.MissPart)
	}
	n.engine.take(j)
	return true
}

// Advance plays the node up to a moment and returns what has left it, in order.
func (n *Node) Advance(now time.Duration) (done []Done) {
	for {
		if n.fallen {
			n.engine.now = max(n.engine.now, now)
			for _, j := range n.engine.empty() {
				done = append(done, Done{Job: j, At: n.fellAt, Lost: true})
			}
			return done
		}
		change := min(n.turnAt, n.warmAt)
		to := min(now, change, n.engine.next())
		for _, j := range n.engine.step(max(to, n.engine.now)) {
			done = append(done, n.finish(j))
		}
		if to == change {
			n.turn(change)
		} else if to == now && n.engine.next() > now {
			n.weigh(now, 0)
			if !n.fallen {
				return done
			}
		}
	}
}

func (n *Node) finish(j Job) Done {
	d := Done{Job: j, At: n.engine.now}
	if k, ok := n.kept.Get(j.Key); ok && !j.Write {
		d.Hit, d.Version, d.Size = true, k.version, k.size
	}
	return d
}

// turn begins or ends a pause, or takes a step of warming.
func (n *Node) turn(at time.Duration) {
	if at == n.warmAt {
		n.warmAt = at + n.terms.WarmFor/warmSteps
		if !n.Cold(at) {
			n.warmAt = never
		}
	}
	if at == n.turnAt {
		n.paused = !n.paused
		n.turnAt = at + n.nextPause()
		if n.paused {
			n.turnAt = at + between(n.chance, n.terms.PauseFor/2, n.terms.PauseFor*3/2)
		}
	}
	n.setRate()
}

// Due is the next moment at which something happens by itself.
func (n *Node) Due() time.Duration {
	if n.fallen {
		return never
	}
	due := n.engine.next()
	if len(n.engine.running) > 0 { // else a change of rate moves nobody
		due = min(due, n.turnAt, n.warmAt)
	}
	return due
}

// GiveUp hears that the caller of a job has left; true where the job is gone with it.
func (n *Node) GiveUp(id string) bool { return n.terms.DropsGivenUp && n.engine.drop(id) }

// Keep stores a value, unless a newer version is kept.
func (n *Node) Keep(key string, version uint64, size int) {
	if old, ok := n.kept.Peek(key); ok {
		if old.version > version {
			return
		}
		n.kept.Remove(key)
	}
	n.bytes += int64(size)
	n.kept.Add(key, kept{version, size})
	for n.bytes > n.terms.KeepBytes && n.kept.Len() > 0 {
		n.kept.RemoveOldest()
	}
}

// Void drops a value that is older than a version.
func (n *Node) Void(key string, version uint64) {
	if old, ok := n.kept.Peek(key); ok && old.version < version {
		n.kept.Remove(key)
	}
}

// Slow makes the node do its work so many times slower from a moment on to which Advance has been called; 1 ends that.
func (n *Node) Slow(times float64) {
	n.slow = max(times, 1e-3)
	n.setRate()
}

// Stall makes the node take jobs and do none, or ends that.
func (n *Node) Stall(on bool) {
	n.stalled = on
	n.setRate()
}

// Fallen tells whether the node was pushed over while cold, when, and by which multiple of what it could do.
func (n *Node) Fallen() (at time.Duration, multiple float64, fallen bool) {
	return n.fellAt, n.fellFrom, n.fallen
}

// Strain is the highest multiple of what it could do that the cold node was sent over its span.
func (n *Node) Strain() float64 { return n.strain.highest }

// Load is what the node reports of itself.
type Load struct {
	InFlight, Queue int
	Util            float64 // share of the cores at work
}

// Load tells the present load.
func (n *Node) Load() Load {
	return Load{InFlight: len(n.engine.running) + len(n.engine.waiting), Queue: len(n.engine.waiting),
		Util: float64(len(n.engine.running)) / float64(max(1, n.terms.Cores))}
}

// Busy is the core time that the node has spent at work.
func (n *Node) Busy() time.Duration { return n.engine.busy }
