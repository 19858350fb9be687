package balancer

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"streamrail/internal/admin"
	"streamrail/internal/fleet/member"
	"streamrail/internal/fleet/transport"
	"streamrail/internal/operator"
)

// fleetMembership is this balancer's membership in the fleet, if the operator's file has a fleet. The two processes of an upgrade are
// one member, and the one that takes clients acts for it.
type fleetMembership struct {
	settings   *operator.Fleet
	mu         sync.Mutex
	transport  *transport.Transport
	savedState *member.HandoverState // the state at the time when this process handed the membership over
}

// joinFleet starts this process's membership. saved is the state that an older process has handed over, or nil.
func (b *Balancer) joinFleet(saved *member.HandoverState) error {
	f := &b.fleet
	if f.settings == nil {
		return nil
	}
	zone := ""
	for name, z := range b.deployment.Zones {
		if z == b.deployment.PolicyConfig.Zone {
			zone = name
		}
	}
	self := member.Record{Life: member.NewProcessID(time.Now().UnixMilli(), rand.Uint64()), Name: b.deployment.Name, Zone: zone}
	transportConfig, memberConfig := f.settings.Configs(self, b.deployment.PolicyConfig.Balancers, rand.Uint64())
	peerTransport, err := transport.Open(transportConfig, memberConfig, saved, b.log)
	if err != nil {
		return fmt.Errorf("fleet.address: %w", err)
	}
	f.mu.Lock()
	f.transport = peerTransport
	f.mu.Unlock()
	b.startSharing(peerTransport)
	b.startExclusionOrders(peerTransport)
	b.startObservations(peerTransport)
	return nil
}

// exportMembership encodes what a newer process needs to continue this balancer's membership.
func (b *Balancer) exportMembership() json.RawMessage {
	f := &b.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.transport == nil {
		return nil
	}
	encoded, _ := json.Marshal(f.transport.HandoverState())
	return encoded
}

// takeOverMembership continues the membership of an older process, which gives it up once it is notified that this one is ready.
func (b *Balancer) takeOverMembership(encoded json.RawMessage) {
	var saved *member.HandoverState
	if len(encoded) > 0 {
		saved = new(member.HandoverState)
		if err := json.Unmarshal(encoded, saved); err != nil {
			b.log.Warn().Err(err).Msg("the fleet membership handed over is not readable, joining as a new process")
			saved = nil
		}
	}
	b.resumeMembership(saved)
}

// handOverMembership ends this process's membership without notifying the others, as another process continues it.
func (b *Balancer) handOverMembership() {
	f := &b.fleet
	b.stopSharing()
	b.stopExclusionOrders()
	b.stopObservations()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.transport != nil {
		saved := f.transport.HandoverState()
		f.transport.Close()
		f.transport, f.savedState = nil, &saved
	}
}

// resumeMembership continues the membership from the state of the peer process of an upgrade. If that fails, the balancer serves
// without a fleet.
func (b *Balancer) resumeMembership(saved *member.HandoverState) {
	switch err := b.joinFleet(saved); {
	case errors.Is(err, syscall.EADDRINUSE):
		go b.joinFleetLater()
	case err != nil:
		b.log.Warn().Err(err).Msg("could not join the fleet")
	}
}

// startMembership joins the fleet at the start of a process that has not taken over from another one. If another process is there all the
// same, which hangs or is ending, it may still have the fleet's address.
func (b *Balancer) startMembership() error {
	err := b.joinFleet(nil)
	if b.upgrade.besideOther && errors.Is(err, syscall.EADDRINUSE) {
		go b.joinFleetLater()
		return nil
	}
	return err
}

// joinRetryInterval is how often a process tries to join the fleet while another process has its address.
const joinRetryInterval = 100 * time.Millisecond

// joinFleetLater joins the fleet once the other process that has its address has ended.
func (b *Balancer) joinFleetLater() {
	b.log.Warn().Msg("another process has the address in the fleet, serving outside the fleet until that has ended")
	ticker := time.NewTicker(joinRetryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-b.ctx.Done():
			return
		}
		if b.currentPhase() > Serving || b.upgrade.newerReady.Load() {
			return
		}
		switch err := b.joinFleet(nil); {
		case err == nil:
			b.log.Info().Msg("joined the fleet")
			return
		case !errors.Is(err, syscall.EADDRINUSE):
			b.log.Warn().Err(err).Msg("could not join the fleet")
			return
		}
	}
}

// reclaimMembership takes the membership back if the newer process was killed after it had taken it over.
func (b *Balancer) reclaimMembership() {
	f := &b.fleet
	f.mu.Lock()
	saved := f.savedState
	f.savedState = nil
	f.mu.Unlock()
	if saved == nil || b.currentPhase() > Leaving {
		return
	}
	b.resumeMembership(saved)
}

// leaveFleet notifies the other members that this balancer ends normally.
func (b *Balancer) leaveFleet() {
	f := &b.fleet
	b.stopSharing()
	b.stopExclusionOrders()
	b.stopObservations()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.transport != nil {
		f.transport.Leave()
		f.transport = nil
	}
}

// fleetTransport returns the transport, or an error with the reason if there is none.
func (b *Balancer) fleetTransport() (*transport.Transport, error) {
	f := &b.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.settings == nil:
		return nil, admin.ErrNoFleet
	case f.transport == nil:
		return nil, admin.ErrHandedOver
	}
	return f.transport, nil
}

// Members returns the fleet as this balancer sees it.
func (a adminAPI) Members() (shown admin.Members, err error) {
	peerTransport, err := a.b.fleetTransport()
	if err != nil {
		return shown, err
	}
	view := peerTransport.View()
	agoMs := func(at member.Moment) int64 { return (view.Now - at).Milliseconds() }
	shown = admin.Members{Fleet: a.b.fleet.settings.Name, Name: view.Self.Name, ProcessID: formatProcessID(view.Self.Life), Incarnation: uint32(view.Self.Inc),
		Situation: view.Situation.String(), Expected: view.ExpectedMembers, PresentCount: view.PresentCount, Version: view.Version, Digest: fmt.Sprintf("%016x", view.Digest),
		Members: []admin.Member{}}
	if view.NameConflict.Life != 0 {
		shown.NameConflict = view.NameConflict.Addr.String()
	}
	for _, m := range view.Members {
		shownMember := admin.Member{Name: m.Name, Zone: m.Zone, Addr: m.Addr.String(), ProcessID: formatProcessID(m.Life), Incarnation: uint32(m.Inc), State: m.State.String(),
			SinceMs: agoMs(m.Since), LastReceivedMs: -1, RoundTrip: float64(m.RoundTrip) / 1e6, SuspectedBy: m.SuspectedBy}
		if m.LastReceived > 0 {
			shownMember.LastReceivedMs = agoMs(m.LastReceived)
		}
		shown.Members = append(shown.Members, shownMember)
	}
	return shown, nil
}

func formatProcessID(id member.ProcessID) string { return fmt.Sprintf("%016x", uint64(id)) }

// fleetStats returns the fleet's part of the telemetry; nil without a fleet.
func (b *Balancer) fleetStats() *admin.FleetTelemetry {
	peerTransport, err := b.fleetTransport()
	if err != nil {
		return nil
	}
	view, counts := peerTransport.View(), peerTransport.Counts()
	stats := &admin.FleetTelemetry{Situation: view.Situation.String(), Expected: view.ExpectedMembers, States: map[string]int{member.Alive.String(): 1},
		Sent: counts.Sent, SentBytes: counts.SentBytes, Received: counts.Received, ReceivedBytes: counts.ReceivedBytes, Dropped: counts.Dropped}
	for _, m := range view.Members {
		stats.States[m.State.String()]++
	}
	if shares, err := (adminAPI{b}).Limits(); err == nil {
		stats.Limits = shares.Limits
	}
	return stats
}
