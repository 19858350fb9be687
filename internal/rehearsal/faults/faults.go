// Package faults schedules the faults of a scenario and injects them into the stand-ins and the balancers during a run.
package faults

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"streamrail/internal/rehearsal/model"
	"streamrail/internal/rehearsal/record"
	"streamrail/internal/rehearsal/scenario"
	"streamrail/internal/rehearsal/standin"
)

// BalancerControl is how faults act on the balancers. Balancers are counted from 0.
type BalancerControl interface {
	Kill(balancer int, back time.Duration)               // kills its process and starts it again after the given time
	Restart(balancer int)                                // ends its process with a drain and starts it again
	Reload(balancer int) error                           // gives it a new configuration with another discovery address
	MalformedClient(i int)                               // runs a client that sends malformed input; returns when it has ended
	SetExcluded(host string, excluded bool)              // excludes a host, or includes it again, at every balancer's admin API
	Upgrade(balancer int) error                          // has a newer process take over
	Pause(balancer int, length time.Duration)            // pauses its process
	RestartWithWrongPeers(balancer int)                  // kills it and starts it with wrong addresses of the other balancers
	RestartAs(balancer, other int, length time.Duration) // starts it again under the other one's name, for that long
	UpgradeKill(balancer int, after time.Duration) error // kills the newer process of an upgrade after it is ready
	Links() *standin.Relays                              // the links between balancers
	CrowdConnection(i int)                               // opens one of many connections and returns when it has ended
}

// Timeline holds the faults of a scenario as steps to run at given times.
type Timeline struct {
	environment *standin.Environment
	balancers   BalancerControl
	steps       []step
	pending     sync.WaitGroup

	mu        sync.Mutex
	currentID map[string]string // by id of a host at the start: the id of the host that has replaced it
	err       error
}

// step is an action to run at a time since the start of the run.
type step struct {
	at  time.Duration
	run func()
}

// New returns the timeline of the faults of w's scenario.
func New(w *standin.Environment, b BalancerControl) *Timeline {
	t := &Timeline{environment: w, balancers: b, currentID: map[string]string{}}
	for i := range w.Scenario.Faults {
		t.schedule(i)
	}
	slices.SortStableFunc(t.steps, func(x, y step) int { return int(x.at - y.at) })
	return t
}

// Run runs each step at its time until the last one or until stop is closed. It returns the first error of a step.
func (t *Timeline) Run(stop <-chan struct{}) error {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for _, s := range t.steps {
		timer.Reset(max(0, s.at-t.environment.Now()))
		select {
		case <-timer.C:
			t.environment.RecordLateness(s.at, t.environment.Now())
			s.run()
		case <-stop:
			return t.err
		}
	}
	t.pending.Wait()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.err
}

func (t *Timeline) addStep(at time.Duration, run func()) { t.steps = append(t.steps, step{at, run}) }

func (t *Timeline) recordError(err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.err == nil {
		t.err = err
	}
}

// hostAt returns the current host for one that existed at the start, by the id of the latter: itself or its latest replacement.
func (t *Timeline) hostAt(initialID string) *standin.Host {
	t.mu.Lock()
	defer t.mu.Unlock()
	if id, ok := t.currentID[initialID]; ok {
		return t.environment.Host(id)
	}
	return t.environment.Host(initialID)
}

// addInterval schedules one action on hosts for a fault's begin and another for its end.
func (t *Timeline) addInterval(fault *scenario.Fault, hostIDs []string, begin, end func(n *standin.Host)) {
	for _, hostID := range hostIDs {
		t.addStep(fault.At.Duration(), func() { begin(t.hostAt(hostID)) })
		t.addStep((fault.At + fault.Length).Duration(), func() { end(t.hostAt(hostID)) })
	}
}

// schedule adds the steps of the scenario's i-th fault to the timeline, and the fault to the record.
func (t *Timeline) schedule(i int) {
	fault := &t.environment.Scenario.Faults[i]
	from, to := fault.At.Duration(), (fault.At + fault.Length).Duration()
	hostIDs, balancers := t.environment.Scenario.AffectedHosts(i), t.environment.Scenario.AffectedBalancers(i)
	description := fault.Kind
	switch fault.Kind {
	case "slow":
		t.addInterval(fault, hostIDs, func(n *standin.Host) { n.SetSlowdown(fault.Factor) }, func(n *standin.Host) { n.SetSlowdown(1) })
	case "stall":
		t.addInterval(fault, hostIDs, func(n *standin.Host) { n.SetStalled(true) }, func(n *standin.Host) { n.SetStalled(false) })
	case "spoil":
		t.addInterval(fault, hostIDs, func(n *standin.Host) { n.Corrupt(fault.Share) }, func(n *standin.Host) { n.Corrupt(0) })
	case "reset":
		t.addInterval(fault, hostIDs, func(n *standin.Host) { n.Reset(fault.Share) }, func(n *standin.Host) { n.Reset(0) })
	case "fail":
		t.addInterval(fault, hostIDs, func(n *standin.Host) { n.Fail(fault.Share) }, func(n *standin.Host) { n.Fail(0) })
	case "kill":
		t.addInterval(fault, hostIDs, func(n *standin.Host) { n.Stop(); t.setCondition(n, model.Left) },
			func(n *standin.Host) { t.check(n.Start(true)); t.setCondition(n, model.Active) })
	case "vanish", "zone-dark":
		t.addInterval(fault, hostIDs, func(n *standin.Host) { n.Disconnect(); t.setCondition(n, model.Left) },
			func(n *standin.Host) { t.check(n.Reconnect()); t.setCondition(n, model.Active) })
	case "link-delay":
		t.addLinkFault(fault, hostIDs, balancers, func(n *standin.Host, b int, active bool) {
			if active {
				n.Delay(b, fault.Delay.Duration())
			} else {
				n.Delay(b, 0)
			}
		})
	case "link-cut":
		t.addLinkFault(fault, hostIDs, balancers, func(n *standin.Host, b int, active bool) { t.check(n.Cut(b, active)) })
	case "deploy":
		t.deploy(fault, hostIDs)
	case "register-silent":
		for _, b := range balancers {
			t.addStep(from, func() { t.environment.Discovery.SetSilent(b, true) })
			t.addStep(to, func() { t.environment.Discovery.SetSilent(b, false) })
		}
	case "watch-silent":
		for _, b := range balancers {
			t.addStep(from, func() { t.environment.Discovery.StallWatches(b) })
		}
	case "register-rewind":
		for _, b := range balancers {
			t.addStep(from, func() { t.environment.Discovery.ResetGenerations(b) })
		}
	case "gateway-slow":
		t.addStep(from, func() { t.environment.Origin.SetSlowdown(fault.Factor) })
		t.addStep(to, func() { t.environment.Origin.SetSlowdown(1) })
	case "gateway-reset":
		t.addStep(from, func() { t.environment.Origin.Reset(fault.Share) })
		t.addStep(to, func() { t.environment.Origin.Reset(0) })
	case "gateway-fail":
		t.addStep(from, func() { t.environment.Origin.Fail(fault.Share) })
		t.addStep(to, func() { t.environment.Origin.Fail(0) })
	case "balancer-kill":
		for _, b := range balancers {
			t.addStep(from, func() { t.balancers.Kill(b, fault.Length.Duration()) })
		}
	case "balancer-restart":
		for _, b := range balancers {
			t.addStep(from, func() { t.balancers.Restart(b) })
		}
	case "reload":
		for _, b := range balancers {
			t.addStep(from, func() { t.check(t.balancers.Reload(b)) })
		}
	case "by-hand":
		for _, hostID := range hostIDs {
			t.addStep(from, func() { t.balancers.SetExcluded(t.hostAt(hostID).ID, true) })
			t.addStep((from+to)/2, func() {
				n := t.hostAt(hostID)
				n.Stop()
				t.check(n.Start(true))
				t.setCondition(n, model.Active)
			})
			t.addStep(to, func() { t.balancers.SetExcluded(t.hostAt(hostID).ID, false) })
		}
	case "balancer-stall":
		for _, b := range balancers {
			t.addStep(from, func() { t.balancers.Pause(b, fault.Length.Duration()) })
		}
	case "balancer-astray":
		for _, b := range balancers {
			t.addStep(from, func() { t.balancers.RestartWithWrongPeers(b) })
		}
	case "balancer-twin":
		t.addStep(from, func() { t.balancers.RestartAs(fault.Balancers[0]-1, fault.To[0]-1, fault.Length.Duration()) })
	case "upgrade-kill":
		for _, b := range balancers {
			t.addStep(from, func() { t.pending.Go(func() { t.check(t.balancers.UpgradeKill(b, fault.Length.Duration())) }) })
		}
	case "upgrade":
		for _, b := range balancers {
			t.addStep(from, func() { t.pending.Go(func() { t.check(t.balancers.Upgrade(b)) }) })
		}
	case "crowd", "rude":
		runClient := t.balancers.MalformedClient
		if fault.Kind == "crowd" {
			runClient = t.balancers.CrowdConnection
		}
		for n := range fault.Count {
			t.addStep(from+fault.Length.Duration()*time.Duration(n)/time.Duration(fault.Count), func() { t.pending.Go(func() { runClient(n) }) })
		}
	}
	if strings.HasPrefix(fault.Kind, "mate-") {
		t.scheduleBalancerLinks(i, fault)
	}
	if strings.Contains(" slow stall kill vanish link-delay link-cut deploy by-hand ", " "+fault.Kind+" ") {
		description += " " + strings.Join(hostIDs, " ")
	} else if fault.Zone != "" || fault.Tenant != "" {
		description += " " + fault.Zone + fault.Tenant
	}
	t.environment.Record.Add(func() {
		t.environment.Record.Faults = append(t.environment.Record.Faults, record.Band{Text: description, From: from, To: to})
	})
}

// scheduleBalancerLinks schedules a fault of the links between balancers.
func (t *Timeline) scheduleBalancerLinks(i int, fault *scenario.Fault) {
	from, to, links := fault.At.Duration(), (fault.At + fault.Length).Duration(), t.environment.Scenario.AffectedLinks(i)
	change := func(end bool) {
		for _, link := range links {
			t.balancers.Links().AlterLink(link[0], link[1], t.environment.Scenario.LinkChange(i, end))
		}
	}
	if fault.Kind == "mate-flap" {
		active := false
		for at := from; at < to; at += fault.Delay.Duration() {
			active = !active
			t.addStep(at, func(end bool) func() { return func() { change(end) } }(!active))
		}
	} else {
		t.addStep(from, func() { change(false) })
	}
	t.addStep(to, func() { change(true) })
	t.environment.Record.Add(func() {
		t.environment.Record.LinkOutages = append(t.environment.Record.LinkOutages, LinkOutages(fault, links)...)
	})
}

// LinkOutages returns the links between balancers that a fault makes unusable, for the judge. A fault that only delays, repeats,
// reorders or corrupts datagrams, or loses few of them, causes no outage.
func LinkOutages(fault *scenario.Fault, links [][2]int) (outages []record.LinkOutage) {
	if fault.Kind != "mate-cut" && fault.Kind != "mate-flap" && !(fault.Kind == "mate-loss" && fault.Share > maxUsableLoss) && fault.Kind != "mate-narrow" {
		return nil
	}
	for _, link := range links {
		outages = append(outages, record.LinkOutage{From: link[0], To: link[1], Begin: fault.At.Duration(), End: (fault.At + fault.Length).Duration()})
	}
	return outages
}

// maxUsableLoss is the share of lost datagrams up to which a link between balancers counts as usable.
const maxUsableLoss = 0.35

func (t *Timeline) addLinkFault(fault *scenario.Fault, hostIDs []string, balancers []int, apply func(n *standin.Host, b int, active bool)) {
	for _, b := range balancers {
		t.addInterval(fault, hostIDs, func(n *standin.Host) { apply(n, b, true) }, func(n *standin.Host) { apply(n, b, false) })
	}
}

func (t *Timeline) check(err error) {
	if err != nil {
		t.recordError(err)
	}
}

func (t *Timeline) setCondition(n *standin.Host, c model.Lifecycle) {
	t.environment.Discovery.Update(n.Entry(c))
}

// deploy replaces hosts in waves. The successor starts cold when the old host begins to leave, or, where it takes over the old
// one's address, after the old one has ended. The old host goes on until every balancer must have been notified, and then for
// the fault's drain time.
func (t *Timeline) deploy(fault *scenario.Fault, hostIDs []string) {
	waves := (len(hostIDs) + fault.AtOnce - 1) / fault.AtOnce
	for i, hostID := range hostIDs {
		at := fault.At.Duration() + fault.Length.Duration()*time.Duration(i/fault.AtOnce)/time.Duration(waves)
		stopDelay := t.environment.Scenario.Discovery.Delay[1].Duration() + fault.Drain.Duration()
		var old, next *standin.Host
		t.addStep(at, func() {
			old = t.hostAt(hostID)
			t.setCondition(old, model.Leaving)
			if !fault.SameAddress {
				next = t.startSuccessor(hostID, old, false)
			}
		})
		t.addStep(at+stopDelay, func() {
			old.Stop()
			t.setCondition(old, model.Left)
			if fault.SameAddress {
				next = t.startSuccessor(hostID, old, true)
			}
			if next != nil {
				t.mu.Lock()
				t.currentID[hostID] = next.ID
				t.mu.Unlock()
			}
		})
	}
}

// startSuccessor starts a cold host in place of an old one and lists it as active.
func (t *Timeline) startSuccessor(initialID string, old *standin.Host, sameAddress bool) *standin.Host {
	id := fmt.Sprintf("%s.%d", initialID, strings.Count(old.ID, ".")+2)
	var inherit *standin.Host
	if sameAddress {
		inherit = old
	}
	n, err := t.environment.AddHost(id, old.Group, true, inherit)
	if err != nil {
		t.recordError(err)
		return nil
	}
	t.setCondition(n, model.Active)
	return n
}
