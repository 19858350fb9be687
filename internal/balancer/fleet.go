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
func (b *Balancer) joinFleet(kept *member.Kept) error {
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
	c, m := f.settings.Terms(self, b.deployment.Terms.Balancers, rand.Uint64())
	carrier, err := carry.Open(c, m, kept, b.log)
	if err != nil {
		return fmt.Errorf("fleet.address: %w", err)
	}
	f.mu.Lock()
	f.transport = carrier
	f.mu.Unlock()
	b.startSharing(carrier)
	b.startExclusionOrders(carrier)
	b.startObservations(carrier)
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
	text, _ := json.Marshal(f.transport.Keep())
	return text
}

// takeOverMembership takes the place that an older process gives up once it hears that this one is ready.
func (b *Balancer) takeOverMembership(text json.RawMessage) {
	var kept *member.Kept
	if len(text) > 0 {
		kept = new(member.Kept)
		if err := json.Unmarshal(text, kept); err != nil {
			b.log.Warn().Err(err).Msg("the place in the fleet is not readable, starting as a new life")
			kept = nil
		}
	}
	b.resumeMembership(kept)
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
		kept := f.transport.Keep()
		f.transport.Close()
		f.transport, f.savedState = nil, &kept
	}
}

// resumeMembership speaks for this balancer from where another process of an upgrade left off; without a place it serves all the same.
func (b *Balancer) resumeMembership(kept *member.Kept) {
	if err := b.joinFleet(kept); err != nil {
		b.log.Warn().Err(err).Msg("no place in the fleet")
	}
}

// reclaimMembership speaks again where the newer process was killed after it had the place.
func (b *Balancer) reclaimMembership() {
	f := &b.fleet
	f.mu.Lock()
	kept := f.savedState
	f.savedState = nil
	f.mu.Unlock()
	if kept == nil || b.currentPhase() > Leaving {
		return
	}
	b.resumeMembership(kept)
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
func (d adminAPI) Members() (to admin.Members, err error) {
	c, err := d.b.fleetTransport()
	if err != nil {
		return to, err
	}
	v := c.View()
	ms := func(at member.Moment) int64 { return (v.Now - at).Milliseconds() }
	to = admin.Members{Fleet: d.b.fleet.settings.Name, Name: v.Self.Name, Life: formatLife(v.Self.Life), Inc: uint32(v.Self.Inc),
		Situation: v.Situation.String(), Expected: v.Expected, Seen: v.Seen, Version: v.Version, Digest: fmt.Sprintf("%016x", v.Digest),
		Members: []admin.Member{}}
	if v.Rival.Life != 0 {
		to.Rival = v.Rival.Addr.String()
	}
	for _, m := range v.Members {
		one := admin.Member{Name: m.Name, Zone: m.Zone, Addr: m.Addr.String(), Life: formatLife(m.Life), Inc: uint32(m.Inc), State: m.State.String(),
			SinceMs: ms(m.Since), HeardMs: -1, RoundTrip: float64(m.RoundTrip) / 1e6, Suspecting: m.Suspecting}
		if m.Heard > 0 {
			one.HeardMs = ms(m.Heard)
		}
		to.Members = append(to.Members, one)
	}
	return to, nil
}

func formatLife(l member.Life) string { return fmt.Sprintf("%016x", uint64(l)) }

// fleetStats are the fleet's in the telemetry; nil without one.
func (b *Balancer) fleetStats() *admin.Fleet {
	c, err := b.fleetTransport()
	if err != nil {
		return nil
	}
	v, n := c.View(), c.Counts()
	to := &admin.Fleet{Situation: v.Situation.String(), Expected: v.Expected, States: map[string]int{member.Alive.String(): 1},
		Sent: n.Sent, SentBytes: n.SentBytes, Heard: n.Heard, HeardBytes: n.HeardBytes, Dropped: n.Dropped}
	for _, m := range v.Members {
		to.States[m.State.String()]++
	}
	if l, err := (adminAPI{b}).Limits(); err == nil {
		to.Limits = l.Limits
	}
	return to
}
