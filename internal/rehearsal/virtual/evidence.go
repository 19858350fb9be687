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
type Liars func(balancer int, rows []evidence.HostOutcomes) []evidence.HostOutcomes

// PlayLying plays a day on which some balancers tell others something else of nodes than they saw.
func PlayLying(s *scenario.Day, lie Liars) (*runner.Result, error) {
	return play(s, nil, wrong{liars: lie})
}

// evidenceOf has the balancers of a day tell each other of nodes, over the ways that the day has between balancers. Who is there is
// known to all at once: what views of members do when they are late is played with the members.
type evidenceOf struct {
	d      *Day
	chance *rand.Rand
	lie    Liars
	Sent   int // messages
}

func (d *Day) shareEvidence(lie Liars) {
	e := &evidenceOf{d: d, chance: model.Stream(d.Seed, "evidence"), lie: lie}
	d.evidence = e
	for i := range d.balancers {
		d.at(time.Duration(e.chance.Int64N(int64(evidence.TickInterval))), func() { e.turn(i) })
	}
}

// life is a mark for a process of a balancer in these letters.
func (e *evidenceOf) life(i int) member.ProcessID {
	return member.ProcessID(uint64(e.d.balancers[i].lives)<<32 | uint64(i+1))
}

func (e *evidenceOf) zone(i int) string { return e.d.Fleet.Zones[e.d.balancers[i].zone] }

func (e *evidenceOf) turn(i int) {
	d, b := e.d, e.d.balancers[i]
	if d.now < d.Length.Duration() {
		d.after(evidence.TickInterval, func() { e.turn(i) })
	}
	if b.mod == nil || b.until > d.now {
		return
	}
	if b.seen == nil {
		b.seen = evidence.New(evidence.Config{Self: e.life(i), Zone: e.zone(i)})
	}
	var peers []evidence.Peer
	for k, o := range d.balancers {
		if k != i && o.mod != nil {
			peers = append(peers, evidence.Peer{Life: e.life(k), Zone: e.zone(k)})
		}
	}
	listed, _ := b.mod.HostCounts()
	b.seen.Tick(d.now, peers, listed)
	for _, s := range b.seen.TakeOutput() {
		e.Sent++
		to, msg, from := int(uint32(s.To))-1, s.Msg, e.life(i)
		if e.lie != nil {
			msg.Hosts = e.lie(i, msg.Hosts)
		}
		if e.chance.Float64() < d.Mates.Loss || d.apart(i, to) {
			continue
		}
		d.after(d.Mates.Delay.Duration()+time.Duration(e.chance.Int64N(int64(d.Mates.Jitter)+1)), func() {
			if o := d.balancers[to]; o.seen != nil && o.mod != nil {
				o.awake(func() { o.seen.Receive(d.now, from, &msg) }, nil)
			}
		})
	}
	words := b.seen.Summaries()
	evidence.NotifyChanges(b.words, words, func(host string, good, bad float64) { b.mod.SetObservations(policy.HostID(host), good, bad) })
	b.words = words
}

// apart tells whether a cut lies between two balancers now.
func (d *Day) apart(i, k int) bool {
	for _, c := range d.rec.MateCuts {
		if c.From == i && c.To == k && c.Begin <= d.now && d.now < c.End {
			return true
		}
	}
	return false
}
