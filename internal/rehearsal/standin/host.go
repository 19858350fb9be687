package standin

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"streamrail/internal/rehearsal/model"
	"streamrail/internal/rehearsal/record"
	"streamrail/internal/rehearsal/scenario"
)

// Host is the stand-in for a cache host: one model of the host, reached over one link per balancer.
type Host struct {
	environment *Environment
	ID          string
	Zone        string
	Group       *scenario.Host
	links       []*link
	modelRunner

	mu           sync.Mutex
	model        *model.Host // nil while the host is down
	startedAt    time.Duration
	cold         bool
	openConns    int
	corruptRatio float64
	resetRatio   float64
	failRatio    float64
	random       *rand.Rand
	fetching     map[string][]*attempt // read-through mode: attempts that wait for a key being fetched
	attempts     map[*attempt]struct{} // not yet finished
}

// AddHost adds a cache host and opens its links, at the addresses of the previous host if one is given. A host that is
// not cold counts as having been up for a long time.
func (w *Environment) AddHost(id string, g *scenario.Host, cold bool, previous *Host) (*Host, error) {
	n := &Host{environment: w, ID: id, Zone: g.Zone, Group: g, modelRunner: newModelRunner(), random: model.NewRand(w.Scenario.Seed, "faults "+id)}
	for b := range w.Scenario.Fleet.Balancers {
		l := &link{balancer: b, hostID: id, delay: w.linkDelay(b, g.Zone), serve: n.serve}
		if previous != nil {
			l.addr = previous.links[b].addr
		}
		n.links = append(n.links, l)
	}
	w.mu.Lock()
	w.hosts[id] = n
	w.mu.Unlock()
	go n.run(n.step)
	return n, n.Start(cold)
}

// Start starts the host as a new process.
func (n *Host) Start(cold bool) error {
	n.mu.Lock()
	now := n.environment.Now()
	n.model = model.NewHost(n.environment.Scenario.HostConfig(n.Group), now, cold, model.NewRand(n.environment.Scenario.Seed, "pauses "+n.ID))
	n.startedAt, n.cold, n.fetching, n.attempts = 0, cold, map[string][]*attempt{}, map[*attempt]struct{}{}
	if cold {
		n.startedAt = now
		n.environment.Record.Add(func() { n.environment.Record.WarmAt[n.ID] = now + n.Group.WarmUpTime.Duration() })
	}
	n.mu.Unlock()
	for _, l := range n.links {
		if err := l.open(n.environment); err != nil {
			return fmt.Errorf("node %s: %w", n.ID, err)
		}
	}
	return nil
}

// Stop ends the host like the end of its process: connections are reset and new ones are refused.
func (n *Host) Stop() {
	n.stopModel()
	for _, l := range n.links {
		l.close(n.environment)
	}
}

// Disconnect makes the host and its machine unreachable: nothing is answered and nothing is refused.
func (n *Host) Disconnect() {
	for _, l := range n.links {
		l.blackhole(n.environment)
	}
	n.stopModel()
}

// Reconnect makes a disconnected host reachable again, as a new process.
func (n *Host) Reconnect() error {
	for _, l := range n.links {
		if err := l.restore(n.environment, true); err != nil {
			return err
		}
	}
	return n.Start(true)
}

// stopModel discards the model and finishes all open attempts as lost.
func (n *Host) stopModel() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.model == nil {
		return
	}
	n.environment.Record.RecordLoad(n.ID, n.model.MaxLoadMultiple())
	n.model = nil
	for att := range n.attempts {
		att.finish(answer{lost: true})
	}
}

// Addr returns the address at which a balancer reaches the host.
func (n *Host) Addr(balancer int) string { return n.links[balancer].addr.String() }

// Entry returns the host's entry in the host list, with the given lifecycle state.
func (n *Host) Entry(lifecycle model.Lifecycle) model.Entry {
	n.mu.Lock()
	defer n.mu.Unlock()
	return model.Entry{Host: n.ID, Zone: n.Zone, MachineType: "cache", Lifecycle: lifecycle, Weight: n.Group.Speed * float64(n.Group.Cores), StartedAt: n.startedAt}
}

// SetSlowdown slows the host's work down by a factor. It and the following methods inject faults; a zero argument ends them.
func (n *Host) SetSlowdown(factor float64) { n.update(func() { n.model.SetSlowdown(max(factor, 1)) }) }

// SetStalled makes the host accept commands without executing any.
func (n *Host) SetStalled(on bool) { n.update(func() { n.model.SetStalled(on) }) }

// Corrupt makes the host corrupt a fraction of its answers.
func (n *Host) Corrupt(ratio float64) { n.update(func() { n.corruptRatio = ratio }) }

// Reset makes the host reset the connection in the middle of a fraction of its answers.
func (n *Host) Reset(ratio float64) { n.update(func() { n.resetRatio = ratio }) }

// Fail makes the host answer a fraction of its commands with an error.
func (n *Host) Fail(ratio float64) { n.update(func() { n.failRatio = ratio }) }

// Delay adds to the usual one-way delay of the link from a balancer.
func (n *Host) Delay(balancer int, extra time.Duration) {
	n.links[balancer].setDelay(n.environment.linkDelay(balancer, n.Zone) + extra)
}

// Cut makes the link from a balancer lose everything, or ends that.
func (n *Host) Cut(balancer int, on bool) error {
	if on {
		n.links[balancer].blackhole(n.environment)
		return nil
	}
	return n.links[balancer].restore(n.environment, false)
}

// update advances the model to the present and then applies a change, unless the host is down.
func (n *Host) update(apply func()) {
	n.mu.Lock()
	if n.model != nil {
		n.advance(n.environment.Now())
		apply()
	}
	n.mu.Unlock()
	n.wake()
}

// store caches a value, unless the host is down.
func (n *Host) store(key string, version uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.model != nil {
		n.model.CacheValue(key, version, n.environment.Scenario.Load.ValueSize)
	}
}

// invalidate drops the cached value of a key if it is older than the given version.
func (n *Host) invalidate(key string, version uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.model != nil {
		n.model.Invalidate(key, version)
	}
}

// Preload caches a value before the rehearsal begins.
func (n *Host) Preload(key string) { n.store(key, 0) }

// step advances the model to the present and returns the time until its next event.
func (n *Host) step() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.model == nil {
		return time.Hour
	}
	n.advance(n.environment.Now())
	return min(time.Hour, max(0, n.model.NextEvent()-n.environment.Now()))
}

// advance runs the model up to the given time and finishes the attempts that are done. The caller holds n.mu.
func (n *Host) advance(now time.Duration) {
	for _, d := range n.model.Advance(now) {
		att, ok := d.Tag.(*attempt)
		if !ok {
			continue
		}
		att.ran = !d.Lost
		n.environment.RecordLateness(d.At, now)
		switch {
		case d.Lost:
			att.finish(answer{lost: true})
		case n.failRatio > 0 && n.random.Float64() < n.failRatio:
			att.finish(answer{failed: true})
		case n.environment.Scenario.Fleet.Mode == scenario.ModeThrough && (d.Write || !d.Hit):
			n.forwardToOrigin(att, d)
		case d.Write: // cache hosts accept no writes if balancers contact the origin themselves
			att.finish(answer{failed: true})
		case d.Hit:
			att.finish(answer{value: n.environment.Value(d.Key, d.Version, d.ID), hit: true})
		default:
			n.environment.recordMiss(d.ID, n)
			att.finish(answer{miss: true})
		}
	}
	if at, multiple, failed := n.model.OverloadFailure(); failed && n.cold {
		n.cold = false // recorded only once
		n.environment.Record.Add(func() {
			n.environment.Record.OverloadFailures = append(n.environment.Record.OverloadFailures, record.OverloadFailure{Server: n.ID, At: at, LoadMultiple: multiple})
		})
		go func() {
			n.Stop()
			n.environment.Discovery.Update(n.Entry(model.Left))
		}()
	}
}

// forwardToOrigin passes a write to the origin, or fetches a read's value once for all attempts that wait for its key. The
// caller holds n.mu.
func (n *Host) forwardToOrigin(att *attempt, d model.Done) {
	job := model.Job{ID: d.ID, Key: d.Key, DedupToken: d.DedupToken, Write: d.Write}
	if d.Write {
		// In its own goroutine, because the origin's lock must not be acquired while a host's lock is held.
		go n.environment.Origin.submit(job, func(r result) {
			att.finish(answer{failed: r.lost, busy: r.refused, receipt: !r.lost && !r.refused})
		})
		return
	}
	waiting := n.fetching[d.Key]
	n.fetching[d.Key] = append(waiting, att)
	if len(waiting) > 0 {
		return
	}
	go n.environment.Origin.submit(job, func(r result) {
		n.mu.Lock()
		waiting := n.fetching[job.Key]
		delete(n.fetching, job.Key)
		if n.model != nil && !r.lost && !r.refused {
			n.model.CacheValue(job.Key, r.version, n.environment.Scenario.Load.ValueSize)
		}
		n.mu.Unlock()
		for _, att := range waiting {
			switch {
			case r.refused:
				att.finish(answer{busy: true})
			case r.lost:
				att.finish(answer{failed: true})
			default:
				att.finish(answer{value: n.environment.Value(job.Key, r.version, att.id)})
			}
		}
	})
}

// submit passes an attempt to the model.
func (n *Host) submit(att *attempt) {
	n.mu.Lock()
	if n.model == nil {
		n.mu.Unlock()
		att.finish(answer{lost: true})
		return
	}
	now := n.environment.Now()
	n.advance(now)
	att.cold = n.model.Cold(now)
	n.attempts[att] = struct{}{}
	job := model.Job{ID: att.id, Key: att.key, DedupToken: att.dedupToken, Write: att.write, WorkTime: att.work, Tag: att}
	if !n.model.Offer(now, job) {
		att.finish(answer{busy: true})
	} else {
		n.advance(n.environment.Now()) // very short jobs are done by now and need no timer
	}
	n.mu.Unlock()
	n.wake()
}
