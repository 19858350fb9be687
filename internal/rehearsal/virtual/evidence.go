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

// AlterReports returns the observations that a balancer sends to the others instead of its own ones, which are passed as rows. If
// the function is nil, balancers send their own observations.
type AlterReports func(balancer int, rows []evidence.HostOutcomes) []evidence.HostOutcomes

// SimulateFalseReports simulates a scenario in which some balancers send false observations of hosts to the others.
func SimulateFalseReports(s *scenario.Scenario, alterReports AlterReports) (*runner.Result, error) {
	return simulate(s, nil, deliberateFaults{alterReports: alterReports})
}

// observationExchange simulates the exchange of observations of hosts between balancers, with the delay, loss and cuts that
// the scenario sets between balancers. All balancers know at once which others run; the effect of outdated member views is
// simulated in package membersim.
type observationExchange struct {
	simulation   *Simulation
	rng          *rand.Rand
	alterReports AlterReports
	sentMessages int // including lost ones
}

// startObservationExchange schedules each balancer's periodic exchange, with a random offset.
func (d *Simulation) startObservationExchange(alterReports AlterReports) {
	e := &observationExchange{simulation: d, rng: model.NewRand(d.Seed, "evidence"), alterReports: alterReports}
	d.observations = e
	for i := range d.balancers {
		d.at(time.Duration(e.rng.Int64N(int64(evidence.TickInterval))), func() { e.tick(i) })
	}
}

// processID identifies a balancer's current process in these messages.
func (e *observationExchange) processID(i int) member.ProcessID {
	return member.ProcessID(uint64(e.simulation.balancers[i].startCount)<<32 | uint64(i+1))
}

func (e *observationExchange) zone(i int) string {
	return e.simulation.Fleet.Zones[e.simulation.balancers[i].zone]
}

// tick sends a balancer's observations, passes those received to its decider and schedules the next tick.
func (e *observationExchange) tick(i int) {
	d, b := e.simulation, e.simulation.balancers[i]
	if d.now < d.Length.Duration() {
		d.after(evidence.TickInterval, func() { e.tick(i) })
	}
	if b.decider == nil || b.pausedUntil > d.now {
		return
	}
	if b.observations == nil {
		b.observations = evidence.New(evidence.Config{Self: e.processID(i), Zone: e.zone(i)})
	}
	var peers []evidence.Peer
	for k, o := range d.balancers {
		if k != i && o.decider != nil {
			peers = append(peers, evidence.Peer{Life: e.processID(k), Zone: e.zone(k)})
		}
	}
	listed, _ := b.decider.HostCounts()
	b.observations.Tick(d.now, peers, listed)
	for _, s := range b.observations.TakeOutput() {
		e.sentMessages++
		to, msg, from := int(uint32(s.To))-1, s.Msg, e.processID(i)
		if e.alterReports != nil {
			msg.Hosts = e.alterReports(i, msg.Hosts)
		}
		if e.rng.Float64() < d.Membership.LossRatio || d.isCut(i, to) {
			continue
		}
		d.after(d.Membership.Delay.Duration()+time.Duration(e.rng.Int64N(int64(d.Membership.Jitter)+1)), func() {
			if o := d.balancers[to]; o.observations != nil && o.decider != nil {
				o.whenRunning(func() { o.observations.Receive(d.now, from, &msg) }, nil)
			}
		})
	}
	peerObservations := b.observations.Summaries()
	evidence.NotifyChanges(b.peerObservations, peerObservations, func(host string, good, bad float64) { b.decider.SetObservations(policy.HostID(host), good, bad) })
	b.peerObservations = peerObservations
}

// isCut reports whether the link from one balancer to another is cut now.
func (d *Simulation) isCut(from, to int) bool {
	for _, c := range d.rec.LinkOutages {
		if c.From == from && c.To == to && c.Begin <= d.now && d.now < c.End {
			return true
		}
	}
	return false
}
