package virtual

import (
	"math/rand/v2"
	"time"

	"streamrail/internal/rehearsal/model"
	"streamrail/internal/rehearsal/record"
	"streamrail/internal/rehearsal/scenario"
	"streamrail/policy"
)

// cacheHost is a simulated cache host.
type cacheHost struct {
	simulation  *Simulation
	id          string
	group       *scenario.Host
	model       *model.Host // nil while its process is down
	unreachable bool        // requests get neither an answer nor a refused connection
	startedAt   time.Duration
	cold        bool
	scheduledAt time.Duration // of the next advance of the model; never: none is scheduled
	inFlight    []*attempt    // in the order of their arrival
	links       []link        // by index of the balancer
	rng         *rand.Rand

	spoilProbability, resetProbability, failProbability float64
}

// link is the state of the connection between a balancer and a cache host.
type link struct {
	extraDelay time.Duration // added to the base delay
	cut        bool
}

// never is the time of the next step of a server that has nothing to do.
const never = time.Duration(1<<63 - 1)

func (d *Simulation) addHost(id string, group *scenario.Host, cold bool) *cacheHost {
	h := &cacheHost{simulation: d, id: id, group: group, rng: model.NewRand(d.Seed, "faults "+id), links: make([]link, len(d.balancers))}
	d.hosts[id] = h
	d.hostsInOrder = append(d.hostsInOrder, h)
	h.start(cold)
	return h
}

func (h *cacheHost) start(cold bool) {
	h.model = model.NewHost(h.simulation.HostConfig(h.group), h.simulation.now, cold, model.NewRand(h.simulation.Seed, "pauses "+h.id))
	h.unreachable, h.cold, h.scheduledAt, h.startedAt = false, cold, never, 0
	if cold {
		h.startedAt = h.simulation.now
		h.simulation.rec.WarmAt[h.id] = h.simulation.now + h.group.WarmUpTime.Duration()
	}
}

// stop ends the host's process and with it the attempts in flight. If silent, no connection is reset, so balancers get no answer
// at all.
func (h *cacheHost) stop(silent bool) {
	if h.model == nil {
		return
	}
	h.simulation.rec.RecordLoad(h.id, h.model.MaxLoadMultiple())
	h.model, h.unreachable = nil, silent
	inFlight := h.inFlight
	h.inFlight = nil
	for _, a := range inFlight {
		if !silent {
			a.answer(policy.Reset, 0)
		}
	}
}

// listEntry is the host's entry in discovery.
func (h *cacheHost) listEntry(condition model.Lifecycle) model.Entry {
	return model.Entry{Host: h.id, Zone: h.group.Zone, MachineType: "cache", Lifecycle: condition, Weight: h.group.Speed * float64(h.group.Cores), StartedAt: h.startedAt}
}

// update changes the host's model, after advancing it to the current time.
func (h *cacheHost) update(do func()) {
	if h.model != nil {
		h.advance()
		do()
		h.scheduleAdvance()
	}
}

// receive handles an attempt that has arrived at the host.
func (h *cacheHost) receive(a *attempt) {
	a.receivedAt = h.simulation.now
	switch {
	case h.unreachable || h.links[a.balancer.index].cut:
		a.dropped = true
		return
	case h.model == nil:
		a.refuse()
		return
	}
	h.advance()
	if h.model == nil { // the host has just failed under its load
		a.answer(policy.Reset, 0)
		return
	}
	a.cold = h.model.Cold(h.simulation.now)
	if !h.model.Offer(h.simulation.now, model.Job{ID: a.request.id, Key: a.request.key, DedupToken: a.request.dedupToken, Write: a.request.write, WorkTime: a.work, Tag: a}) {
		a.answer(policy.Rejected, 0)
	} else {
		h.inFlight = append(h.inFlight, a)
	}
	h.scheduleAdvance()
}

// advance runs the host's model up to the current time and answers the attempts that it has finished.
func (h *cacheHost) advance() {
	for _, done := range h.model.Advance(h.simulation.now) {
		a, ok := done.Tag.(*attempt)
		if !ok {
			continue
		}
		h.remove(a)
		a.executed = !done.Lost
		switch {
		case done.Lost:
			a.answer(policy.Reset, 0)
		case h.failProbability > 0 && h.rng.Float64() < h.failProbability:
			a.answer(policy.Errored, 0)
		case h.resetProbability > 0 && h.rng.Float64() < h.resetProbability:
			a.answer(policy.Reset, 0)
		case h.spoilProbability > 0 && h.rng.Float64() < h.spoilProbability:
			a.answer(policy.MalformedAnswer, 0)
		case h.simulation.Fleet.Mode == scenario.ModeThrough && (done.Write || !done.Hit):
			h.fetchFromOrigin(a, done)
		case done.Write:
			a.answer(policy.Errored, 0)
		case done.Hit:
			a.answer(policy.Fulfilled, 1)
		default:
			a.request.missedHosts = append(a.request.missedHosts, h)
			a.answer(policy.CacheMiss, 2)
		}
	}
	if at, multiple, fell := h.model.OverloadFailure(); fell && h.cold {
		h.cold = false
		h.simulation.rec.OverloadFailures = append(h.simulation.rec.OverloadFailures, record.OverloadFailure{Server: h.id, At: at, LoadMultiple: multiple})
		h.stop(false)
		h.simulation.setCondition(h, model.Left)
	}
}

// remove removes an attempt from those in flight.
func (h *cacheHost) remove(a *attempt) {
	for i, x := range h.inFlight {
		if x == a {
			h.inFlight = append(h.inFlight[:i], h.inFlight[i+1:]...)
			return
		}
	}
}

// fetchFromOrigin gets the value of a read from the origin, or forwards a write to it. Concurrent fetches of the same key
// are not merged.
func (h *cacheHost) fetchFromOrigin(a *attempt, done model.Done) {
	h.simulation.origin.submit(a.request, done.Write, func(r fetchResult) {
		switch {
		case r.rejected:
			a.answer(policy.Rejected, 2)
		case r.lost:
			a.answer(policy.Errored, 2)
		default:
			if h.model != nil && !done.Write {
				h.model.CacheValue(a.request.key, r.version, h.simulation.Load.ValueSize)
			}
			a.answer(policy.Fulfilled, 2)
		}
	})
}

// scheduleAdvance schedules the next advance of the host's model.
func (h *cacheHost) scheduleAdvance() {
	if h.model == nil {
		return
	}
	due := h.model.NextEvent()
	if due >= h.scheduledAt || due == never {
		return
	}
	h.scheduledAt = due
	m := h.model
	h.simulation.at(due, func() {
		if h.model != m || h.scheduledAt != due {
			return // another process runs now, or the model was advanced earlier
		}
		h.scheduledAt = never
		h.advance()
		h.scheduleAdvance()
	})
}

// origin is the simulated origin behind the caches.
type origin struct {
	simulation                        *Simulation
	model                             *model.Origin
	scheduledAt                       time.Duration
	effectsRecorded, stopsRecorded    int
	resetProbability, failProbability float64
	rng                               *rand.Rand
}

// fetchResult is the result of a job at the origin: lost with its process, rejected because of load, or done.
type fetchResult struct {
	lost, rejected bool
	version        uint64
}

// submit gives the origin a job; done is called with its result.
func (o *origin) submit(req *request, write bool, done func(fetchResult)) {
	o.advance()
	work := model.RequestWork(o.simulation.Seed, "gateway "+req.id, model.Exponential, o.simulation.Origin.ServiceTime.Duration(), 1)
	if !o.model.Offer(o.simulation.now, model.Job{ID: req.id, Key: req.key, DedupToken: req.dedupToken, Write: write, WorkTime: work, Tag: done}) {
		o.simulation.after(0, func() { done(fetchResult{rejected: true}) })
	}
	o.scheduleAdvance()
}

// receive handles an attempt that a balancer has sent to the origin directly.
func (o *origin) receive(a *attempt) {
	a.receivedAt = o.simulation.now
	if o.failProbability > 0 && o.rng.Float64() < o.failProbability {
		a.answer(policy.Errored, 0)
		return
	}
	reset := o.resetProbability > 0 && o.rng.Float64() < o.resetProbability
	o.submit(a.request, a.request.write, func(r fetchResult) {
		a.executed = !r.lost && !r.rejected
		switch {
		case r.rejected:
			a.answer(policy.Rejected, 0)
		case r.lost || reset:
			a.answer(policy.Reset, 0)
		default:
			a.answer(policy.Fulfilled, 0)
		}
		if a.executed && !a.request.write {
			for _, h := range a.request.missedHosts {
				if h.model != nil {
					h.model.CacheValue(a.request.key, r.version, o.simulation.Load.ValueSize)
				}
			}
			a.request.missedHosts = nil
		}
	})
}

// advance runs the origin's model up to the current time, reports finished jobs and records effects and stops. A finished
// write invalidates the key in all cache hosts.
func (o *origin) advance() {
	for _, done := range o.model.Advance(o.simulation.now) {
		if done.Write && !done.Lost {
			for _, h := range o.simulation.hostsInOrder {
				if h.model != nil {
					h.model.Invalidate(done.Key, done.Version)
				}
			}
		}
		done.Tag.(func(fetchResult))(fetchResult{lost: done.Lost, version: done.Version})
	}
	for _, e := range o.model.Effects()[o.effectsRecorded:] {
		o.simulation.rec.Effects = append(o.simulation.rec.Effects, record.Effect{RequestID: e.ID, DedupToken: e.DedupToken, At: e.At})
		o.effectsRecorded++
	}
	for _, s := range o.model.Outages()[o.stopsRecorded:] {
		o.simulation.rec.OverloadFailures = append(o.simulation.rec.OverloadFailures, record.OverloadFailure{Server: record.Origin, At: s.At, LoadMultiple: s.LoadMultiple})
		o.stopsRecorded++
	}
}

// scheduleAdvance schedules the next advance of the origin's model.
func (o *origin) scheduleAdvance() {
	due := o.model.NextEvent()
	if due >= o.scheduledAt || due == never {
		return
	}
	o.scheduledAt = due
	o.simulation.at(due, func() {
		if o.scheduledAt == due {
			o.scheduledAt = never
			o.advance()
			o.scheduleAdvance()
		}
	})
}
