package virtual

import (
	"math/rand/v2"
	"time"

	"streamrail/internal/fleet/evidence"
	"streamrail/internal/fleet/member"
	"streamrail/internal/rehearsal/model"
	"streamrail/internal/rehearsal/runner"
	"streamrail/internal/rehearsal/scenario"
	"streamrail/policy"
)

// Liars is what balancers tell in place of what they saw; nil tells it as it is.
type Liars func(balancer int, rows []evidence.Row) []evidence.Row

// PlayLying plays a day on which some balancers tell others something else of nodes than they saw.
func PlayLying(s *scenario.Day, alterReports Liars) (*runner.Result, error) {
	return play(s, nil, deliberateFaults{alterReports: alterReports})
}

// observationExchange has the balancers of a day tell each other of nodes, over the ways that the day has between balancers. Who is there is
// known to all at once: what views of members do when they are late is played with the members.
type observationExchange struct {
	d            *Day
	rng          *rand.Rand
	alterReports Liars
	Sent         int // messages
}

func (d *Day) startObservationExchange(alterReports Liars) {
	e := &observationExchange{d: d, rng: model.Stream(d.Seed, "evidence"), alterReports: alterReports}
	d.observations = e
	for i := range d.balancers {
		d.at(time.Duration(e.rng.Int64N(int64(evidence.Turn))), func() { e.tick(i) })
	}
}

// processID is a mark for a process of a balancer in these letters.
func (e *observationExchange) processID(i int) member.Life {
	return member.Life(uint64(e.d.balancers[i].startCount)<<32 | uint64(i+1))
}

func (e *observationExchange) zone(i int) string { return e.d.Fleet.Zones[e.d.balancers[i].zone] }

func (e *observationExchange) tick(i int) {
	d, b := e.d, e.d.balancers[i]
	if d.now < d.Length.D() {
		d.after(evidence.Turn, func() { e.tick(i) })
	}
	if b.decider == nil || b.pausedUntil > d.now {
		return
	}
	if b.observations == nil {
		b.observations = evidence.New(evidence.Terms{Self: e.processID(i), Zone: e.zone(i)})
	}
	var peers []evidence.Peer
	for k, o := range d.balancers {
		if k != i && o.decider != nil {
			peers = append(peers, evidence.Peer{Life: e.processID(k), Zone: e.zone(k)})
		}
	}
	listed, _ := b.decider.Fleet()
	b.observations.Tick(d.now, peers, listed)
	for _, s := range b.observations.Out() {
		e.Sent++
		to, msg, from := int(uint32(s.To))-1, s.Msg, e.processID(i)
		if e.alterReports != nil {
			msg.Rows = e.alterReports(i, msg.Rows)
		}
		if e.rng.Float64() < d.Mates.Loss || d.isCut(i, to) {
			continue
		}
		d.after(d.Mates.Delay.D()+time.Duration(e.rng.Int64N(int64(d.Mates.Jitter)+1)), func() {
			if o := d.balancers[to]; o.observations != nil && o.decider != nil {
				o.whenRunning(func() { o.observations.Hear(d.now, from, &msg) }, nil)
			}
		})
	}
	peerObservations := b.observations.Words()
	evidence.Tell(b.peerObservations, peerObservations, func(host string, good, bad float64) { b.decider.Said(policy.CacheID(host), good, bad) })
	b.peerObservations = peerObservations
}

// isCut tells whether a cut lies between two balancers now.
func (d *Day) isCut(from, to int) bool {
	for _, c := range d.rec.MateCuts {
		if c.From == from && c.To == to && c.Begin <= d.now && d.now < c.End {
			return true
		}
	}
	return false
}
