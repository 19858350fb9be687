package virtual

import (
	"fmt"
	"strings"
	"time"

	"streamrail/internal/discovery"
	"streamrail/internal/rehearsal/membersim"
	"streamrail/internal/rehearsal/model"
	"streamrail/internal/rehearsal/record"
	"streamrail/internal/rehearsal/scenario"
)

// setCondition changes a host's condition in discovery; the discovery model decides when each balancer is notified.
func (d *Simulation) setCondition(h *cacheHost, condition model.Lifecycle) {
	for _, at := range d.discovery.Set(d.now, h.listEntry(condition)) {
		d.at(at, d.notifyBalancers)
	}
}

// notifyBalancers lets the balancers that are due for a notification fetch the changes of the host list.
func (d *Simulation) notifyBalancers() {
	for _, b := range d.discovery.Advance(d.now) {
		d.balancers[b].pollDiscovery(false)
	}
}

// restartNoticeDelay is how long a balancer that is restarted on request still gets new requests before it ends.
const restartNoticeDelay = 300 * time.Millisecond

// scheduleFault schedules the begin and end of the scenario's i-th fault.
func (d *Simulation) scheduleFault(i int) {
	f := &d.Faults[i]
	from, to := f.At.Duration(), (f.At + f.Length).Duration()
	duringFault := func(begin, end func(h *cacheHost)) {
		for _, p := range d.AffectedHosts(i) {
			d.at(from, func() { begin(d.currentHost[p]) })
			d.at(to, func() { end(d.currentHost[p]) })
		}
	}
	setProbability := func(field func(h *cacheHost) *float64) {
		duringFault(func(h *cacheHost) { *field(h) = f.Share }, func(h *cacheHost) { *field(h) = 0 })
	}
	restart := func(h *cacheHost) { h.start(true); d.setCondition(h, model.Active) }
	switch f.Kind {
	case "slow":
		duringFault(func(h *cacheHost) { h.update(func() { h.model.SetSlowdown(f.Factor) }) }, func(h *cacheHost) { h.update(func() { h.model.SetSlowdown(1) }) })
	case "stall":
		duringFault(func(h *cacheHost) { h.update(func() { h.model.SetStalled(true) }) }, func(h *cacheHost) { h.update(func() { h.model.SetStalled(false) }) })
	case "spoil":
		setProbability(func(h *cacheHost) *float64 { return &h.spoilProbability })
	case "reset":
		setProbability(func(h *cacheHost) *float64 { return &h.resetProbability })
	case "fail":
		setProbability(func(h *cacheHost) *float64 { return &h.failProbability })
	case "kill":
		duringFault(func(h *cacheHost) { h.stop(false); d.setCondition(h, model.Left) }, restart)
	case "vanish", "zone-dark":
		duringFault(func(h *cacheHost) { h.stop(true); d.setCondition(h, model.Left) }, restart)
	case "link-delay":
		for _, b := range d.AffectedBalancers(i) {
			duringFault(func(h *cacheHost) { h.links[b].extraDelay = f.Delay.Duration() }, func(h *cacheHost) { h.links[b].extraDelay = 0 })
		}
	case "link-cut":
		for _, b := range d.AffectedBalancers(i) {
			duringFault(func(h *cacheHost) { h.links[b].cut = true }, func(h *cacheHost) { h.links[b].cut = false })
		}
	case "deploy":
		d.scheduleDeploy(f, d.AffectedHosts(i))
	case "register-silent":
		for _, b := range d.AffectedBalancers(i) {
			d.at(from, func() { d.discovery.SetSilent(b, true) })
			d.at(to, func() { d.discovery.SetSilent(b, false); d.balancers[b].pollDiscovery(false) })
		}
	case "watch-silent": // the balancer notices and reopens the watch after the same time as on sockets
		pace := discovery.NewTimeouts(d.Rules.DrainGrace.Duration()*9/10, true)
		for _, b := range d.AffectedBalancers(i) {
			d.at(from, func() { d.discovery.SetSilent(b, true) })
			d.at(from+pace.LongPoll+pace.ResponseGrace, func() { d.discovery.SetSilent(b, false); d.balancers[b].pollDiscovery(false) })
		}
	case "register-rewind":
		for _, b := range d.AffectedBalancers(i) {
			d.at(from, func() { d.discovery.ResetGenerations(b); d.balancers[b].pollDiscovery(true) })
		}
	case "gateway-slow":
		slow := func(factor float64) func() {
			return func() { d.origin.advance(); d.origin.model.SetSlowdown(factor); d.origin.scheduleAdvance() }
		}
		d.at(from, slow(f.Factor))
		d.at(to, slow(1))
	case "gateway-reset":
		d.at(from, func() { d.origin.resetProbability = f.Share })
		d.at(to, func() { d.origin.resetProbability = 0 })
	case "gateway-fail":
		d.at(from, func() { d.origin.failProbability = f.Share })
		d.at(to, func() { d.origin.failProbability = 0 })
	case "balancer-kill":
		for _, b := range d.AffectedBalancers(i) {
			d.at(from, func() { d.balancers[b].endTrafficAfter(d.Clients.FailureNoticeDelay.Duration()); d.balancers[b].stop() })
			d.at(to, d.balancers[b].start)
		}
	case "balancer-stall":
		for _, b := range d.AffectedBalancers(i) {
			d.at(from, func() { d.balancers[b].pausedUntil = max(d.balancers[b].pausedUntil, to) })
		}
	case "balancer-restart":
		for _, b := range d.AffectedBalancers(i) {
			d.at(from, func() { d.balancers[b].endTrafficAfter(restartNoticeDelay) })
			d.at(from, func() {
				startCount := d.balancers[b].startCount
				d.after(membersim.RestartAfter, func() {
					if d.balancers[b].startCount == startCount && d.balancers[b].decider != nil { // otherwise another fault has ended or restarted it
						d.balancers[b].stop()
						d.balancers[b].start()
					}
				})
			})
		}
	case "reload", "rude", "by-hand", "upgrade", "crowd": // concern only real sockets and processes
		return
	}
	label := f.Kind
	if len(f.Hosts) > 0 || f.Share > 0 && strings.Contains(" slow stall kill vanish deploy ", " "+f.Kind+" ") {
		label += " " + strings.Join(d.AffectedHosts(i), " ")
	}
	d.rec.Faults = append(d.rec.Faults, record.Band{Text: label, From: from, To: to})
}

// scheduleDeploy schedules a deployment that drains and replaces hosts in waves, as on sockets.
func (d *Simulation) scheduleDeploy(f *scenario.Fault, names []string) {
	waves := (len(names) + f.AtOnce - 1) / f.AtOnce
	for i, p := range names {
		at := f.At.Duration() + f.Length.Duration()*time.Duration(i/f.AtOnce)/time.Duration(waves)
		var old, replacement *cacheHost
		startReplacement := func() {
			replacement = d.addHost(fmt.Sprintf("%s.%d", p, strings.Count(old.id, ".")+2), old.group, true)
			d.setCondition(replacement, model.Active)
		}
		d.at(at, func() {
			old = d.currentHost[p]
			d.setCondition(old, model.Leaving)
			if !f.SameAddress {
				startReplacement()
			}
		})
		d.at(at+d.Discovery.Delay[1].Duration()+f.Drain.Duration(), func() {
			old.stop(false)
			d.setCondition(old, model.Left)
			if f.SameAddress {
				startReplacement()
			}
			d.currentHost[p] = replacement
		})
	}
}
