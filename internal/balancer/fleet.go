package balancer

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"streamrail/internal/admin"
	"streamrail/internal/fleet/carry"
	"streamrail/internal/fleet/member"
	"streamrail/internal/operator"
)

// fleetMembership is this balancer's place among the others, where the operator's file has one. Of an upgrade's two processes the one
// that takes clients has it: the two are one member.
type fleetMembership struct {
	settings   *operator.Fleet
	mu         sync.Mutex
	transport  *carry.Carrier
	savedState *member.Kept // as it was when this process gave the place up
}

// joinFleet speaks for this balancer from now on. kept is what an older process has handed over.
func (b *Balancer) joinFleet(saved *member.Kept) error {
	f := &b.fleet
	if f.settings == nil {
		return nil
	}
	zone := ""
	for name, z := range b.deployment.Zones {
		if z == b.deployment.Terms.Zone {
			zone = name
		}
	}
	self := member.Record{Life: member.NewLife(time.Now().UnixMilli(), rand.Uint64()), Name: b.deployment.Name, Zone: zone}
	transportTerms, memberTerms := f.settings.Terms(self, b.deployment.Terms.Balancers, rand.Uint64())
	transport, err := carry.Open(transportTerms, memberTerms, saved, b.log)
	if err != nil {
		return fmt.Errorf("fleet.address: %w", err)
	}
	f.mu.Lock()
	f.transport = transport
	f.mu.Unlock()
	b.startSharing(transport)
	b.startExclusionOrders(transport)
	b.startObservations(transport)
	return nil
}

// exportMembership is what a newer process needs to speak for this balancer.
func (b *Balancer) exportMembership() json.RawMessage {
	f := &b.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.transport == nil {
		return nil
	}
	encoded, _ := json.Marshal(f.transport.Keep())
	return encoded
}

// takeOverMembership takes the place that an older process gives up once it hears that this one is ready.
func (b *Balancer) takeOverMembership(encoded json.RawMessage) {
	var saved *member.Kept
	if len(encoded) > 0 {
		saved = new(member.Kept)
		if err := json.Unmarshal(encoded, saved); err != nil {
			b.log.Warn().Err(err).Msg("the place in the fleet is not readable, starting as a new life")
			saved = nil
		}
	}
	b.resumeMembership(saved)
}

// handOverMembership ends this process's part in the fleet without a word: another one speaks for this balancer.
func (b *Balancer) handOverMembership() {
	f := &b.fleet
	b.stopSharing()
	b.stopExclusionOrders()
	b.stopObservations()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.transport != nil {
		saved := f.transport.Keep()
		f.transport.Close()
		f.transport, f.savedState = nil, &saved
	}
}

// resumeMembership speaks for this balancer from where another process of an upgrade left off; without a place it serves all the same.
func (b *Balancer) resumeMembership(saved *member.Kept) {
	if err := b.joinFleet(saved); err != nil {
		b.log.Warn().Err(err).Msg("no place in the fleet")
	}
}

// reclaimMembership speaks again where the newer process was killed after it had the place.
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

// leaveFleet tells the others that this balancer ends in order.
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

// fleetTransport is the carrier, and nil with the reason where there is none.
func (b *Balancer) fleetTransport() (*carry.Carrier, error) {
	f := &b.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.settings == nil:
		return nil, admin.ErrNoFleet
	case f.transport == nil:
		return nil, admin.ErrHanded
	}
	return f.transport, nil
}

// Members is what the door shows of the fleet.
func (a adminAPI) Members() (shown admin.Members, err error) {
	transport, err := a.b.fleetTransport()
	if err != nil {
		return shown, err
	}
	view := transport.View()
	agoMs := func(at member.Moment) int64 { return (view.Now - at).Milliseconds() }
	shown = admin.Members{Fleet: a.b.fleet.settings.Name, Name: view.Self.Name, Life: formatLife(view.Self.Life), Inc: uint32(view.Self.Inc),
		Situation: view.Situation.String(), Expected: view.Expected, Seen: view.Seen, Version: view.Version, Digest: fmt.Sprintf("%016x", view.Digest),
		Members: []admin.Member{}}
	if view.Rival.Life != 0 {
		shown.Rival = view.Rival.Addr.String()
	}
	for _, m := range view.Members {
		shownMember := admin.Member{Name: m.Name, Zone: m.Zone, Addr: m.Addr.String(), Life: formatLife(m.Life), Inc: uint32(m.Inc), State: m.State.String(),
			SinceMs: agoMs(m.Since), HeardMs: -1, RoundTrip: float64(m.RoundTrip) / 1e6, Suspecting: m.Suspecting}
		if m.Heard > 0 {
			shownMember.HeardMs = agoMs(m.Heard)
		}
		shown.Members = append(shown.Members, shownMember)
	}
	return shown, nil
}

func formatLife(life member.Life) string { return fmt.Sprintf("%016x", uint64(life)) }

// fleetStats are the fleet's in the telemetry; nil without one.
func (b *Balancer) fleetStats() *admin.Fleet {
	transport, err := b.fleetTransport()
	if err != nil {
		return nil
	}
	view, counts := transport.View(), transport.Counts()
	stats := &admin.Fleet{Situation: view.Situation.String(), Expected: view.Expected, States: map[string]int{member.Alive.String(): 1},
		Sent: counts.Sent, SentBytes: counts.SentBytes, Heard: counts.Heard, HeardBytes: counts.HeardBytes, Dropped: counts.Dropped}
	for _, m := range view.Members {
		stats.States[m.State.String()]++
	}
	if shares, err := (adminAPI{b}).Limits(); err == nil {
		stats.Limits = shares.Limits
	}
	return stats
}
