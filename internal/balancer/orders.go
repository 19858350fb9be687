package balancer

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"streamrail/internal/admin"
	"streamrail/internal/fleet/member"
	fleetorder "streamrail/internal/fleet/order"
	"streamrail/internal/fleet/transport"
	"streamrail/internal/handover"
	"streamrail/policy"
)

// exclusionOrders are the fleet-wide exclusion orders that operators gave to any balancer's admin API. It is nil unless the operator's
// file lets exclusions hold for the whole fleet.
type exclusionOrders struct {
	maxExcludedShare float64
	file             string
	epoch            time.Time

	mu          sync.Mutex // serializes inputs; taken before upgrade.mu
	machine     *fleetorder.Machine
	transport   *transport.Transport
	stop        chan struct{}
	lastOrderAt time.Time // when the admin API of this balancer was given the last order
	unsaved     bool      // the file lacks some of the orders held here, so nothing is sent to other balancers
}

// newExclusionOrders returns nil if the operator's file does not enable fleet-wide orders or there is no admin API.
func (b *Balancer) newExclusionOrders() *exclusionOrders {
	if b.fleet.settings == nil || !b.fleet.settings.Orders || b.deployment.Admin == "" {
		return nil
	}
	return &exclusionOrders{maxExcludedShare: b.fleet.settings.OrdersPart, file: b.handoverPath(".orders"), epoch: time.Now()}
}

// startExclusionOrders loads the saved orders and starts to exchange orders over a transport.
func (b *Balancer) startExclusionOrders(peerTransport *transport.Transport) {
	o := b.exclusionOrders
	if o == nil {
		return
	}
	var saved []fleetorder.Order
	if err := handover.Load(o.file, &saved); err != nil {
		b.log.Warn().Err(err).Str("file", o.file).Str("aside", handover.RenameDamaged(o.file)).Msg("the saved exclusion orders of the fleet are not readable, asking the other balancers")
		saved = nil
	}
	stop := make(chan struct{})
	o.mu.Lock()
	o.transport, o.stop = peerTransport, stop
	o.machine = fleetorder.New(fleetorder.Config{Self: peerTransport.Self(), Name: b.deployment.Name, MaxExcludedFraction: o.maxExcludedShare, StoredOrders: saved, Seed: rand.Uint64()})
	o.mu.Unlock()
	peerTransport.Handle(transport.TopicOrders, func(from member.ProcessID, body []byte) {
		if m, ok := transport.DecodeOrders(body); ok {
			b.updateExclusionOrders(false, func(machine *fleetorder.Machine, now fleetorder.Moment) { machine.Receive(now, from, m) })
		}
	})
	b.updateExclusionOrders(true, func(*fleetorder.Machine, fleetorder.Moment) {}) // stored orders are in force before the first request
	go func() {
		t := time.NewTicker(fleetorder.TickInterval)
		defer t.Stop()
		for {
			members, _ := peerTransport.AliveMembers()
			b.updateExclusionOrders(true, func(machine *fleetorder.Machine, now fleetorder.Moment) {
				machine.Tick(now, members, time.Since(o.lastOrderAt) < orderPushTime)
			})
			select {
			case <-t.C:
			case <-stop:
				return
			}
		}
	}()
}

// orderPushTime is how long a balancer that was given an order sends it to more members in each period.
const orderPushTime = 5 * time.Second

// stopExclusionOrders ends the exchange, because the newer process of an upgrade takes over or this process ends.
func (b *Balancer) stopExclusionOrders() {
	if o := b.exclusionOrders; o != nil {
		o.mu.Lock()
		defer o.mu.Unlock()
		if o.machine != nil {
			close(o.stop)
			o.machine, o.transport = nil, nil
		}
	}
}

// updateExclusionOrders feeds an input to the state machine. New orders are saved first, then enforced here, and then sent on. A
// periodic update enforces the orders even without new ones, as the host list may have changed.
func (b *Balancer) updateExclusionOrders(periodic bool, input func(machine *fleetorder.Machine, now fleetorder.Moment)) {
	o := b.exclusionOrders
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.machine != nil {
		input(o.machine, time.Since(o.epoch))
		b.processOrders(periodic)
	}
}

// processOrders carries out the results of an input. The caller holds exclusionOrders.mu.
func (b *Balancer) processOrders(periodic bool) (saveErr error) {
	o := b.exclusionOrders
	sends, newOrders := o.machine.TakeOutput(), o.machine.TakeChanges()
	if len(newOrders) > 0 || o.unsaved {
		if saveErr = handover.Save(o.file, o.machine.All()); saveErr != nil && !o.unsaved {
			b.log.Warn().Err(saveErr).Str("file", o.file).Msg("the exclusion orders of the fleet cannot be saved, not confirming them to other balancers")
		}
		o.unsaved = saveErr != nil
		for _, n := range newOrders {
			b.log.Info().Str("host", n.Host).Bool("out", n.Out).Str("door", n.Door).Uint64("count", n.Count).Msg("exclusion order for the fleet")
		}
	}
	if periodic || len(newOrders) > 0 {
		b.enforceOrders(o.machine.All())
	}
	if o.unsaved {
		return saveErr
	}
	for i := range sends {
		o.transport.Send(sends[i].To, transport.TopicOrders, transport.EncodeOrders(&sends[i].Msg))
	}
	return nil
}

// enforceOrders makes this balancer's exclusions match the orders. Hosts without an order stay unchanged.
func (b *Balancer) enforceOrders(all []fleetorder.Order) {
	if len(all) == 0 {
		return
	}
	var current []string // sorted by name, like wanted
	listed := 0
	b.callPolicy(func() { current = b.excludedHosts(); listed, _ = b.policy.HostCounts() })
	wanted := b.exclusionOrders.machine.Excluded(listed)
	for _, order := range all {
		_, exclude := slices.BinarySearch(wanted, order.Host)
		if _, excluded := slices.BinarySearch(current, order.Host); exclude != excluded {
			if err := b.setExclusion(policy.HostID(order.Host), exclude, true); err != nil {
				b.log.Warn().Err(err).Str("host", order.Host).Msg("an exclusion order is not in force in both processes of the upgrade")
			}
		}
	}
}

// submitExclusionOrder carries out an operator's order for the whole fleet. It returns once the order is saved and in force here, and after
// waiting as long as the operator asked for the confirmations of the others.
func (b *Balancer) submitExclusionOrder(id string, exclude bool, options admin.ExclusionOptions) (note string, err error) {
	o := b.exclusionOrders
	known, listed := false, 0
	b.callPolicy(func() { known = b.policy.IsKnownHost(policy.HostID(id)); listed, _ = b.policy.HostCounts() })
	if !known {
		return "", admin.ErrUnknownHost
	}
	o.mu.Lock()
	if o.machine == nil {
		o.mu.Unlock()
		return "", admin.ErrHandedOver
	}
	_, err = o.machine.Submit(id, exclude, options.Force, listed)
	if err == nil {
		o.lastOrderAt = time.Now()
		members, _ := o.transport.AliveMembers()
		o.machine.Tick(time.Since(o.epoch), members, true)
		err = b.processOrders(false)
	}
	o.mu.Unlock()
	switch {
	case errors.Is(err, fleetorder.ErrTooManyExcluded), errors.Is(err, fleetorder.ErrTooManyOrders):
		return "", err // nothing has changed
	case err != nil:
		return "", fmt.Errorf("in force here, not kept and not told to others: %w", err)
	}
	confirmed, missing := b.orderConfirmations()
	for until := time.Now().Add(options.Wait); len(missing) > 0 && time.Now().Before(until); confirmed, missing = b.orderConfirmations() {
		time.Sleep(5 * time.Millisecond)
	}
	if n := len(missing); n > 0 {
		return fmt.Sprintf(", confirmed by %d of %d others; missing: %s", confirmed, confirmed+n, strings.Join(missing, ", ")), nil
	}
	return fmt.Sprintf(", confirmed by all %d others", confirmed), nil
}

// orderConfirmations returns how many other balancers are known to hold the orders of this balancer, and the names of those that are not.
// Dead members are included, since they may be cut off from this balancer and still serve clients.
func (b *Balancer) orderConfirmations() (confirmed int, missing []string) {
	o := b.exclusionOrders
	o.mu.Lock()
	if o.machine == nil {
		o.mu.Unlock()
		return 0, nil
	}
	processes, peerTransport := o.machine.Confirmed(), o.transport
	o.mu.Unlock()
	confirmedByName := map[string]bool{} // whether the member of that name has confirmed
	for _, m := range peerTransport.View().Members {
		if m.State != member.Left {
			confirmedByName[m.Name] = confirmedByName[m.Name] || slices.Contains(processes, m.Life)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(confirmedByName)) {
		if confirmedByName[name] {
			confirmed++
		} else {
			missing = append(missing, name)
		}
	}
	return confirmed, missing
}

// ExclusionOrders returns the fleet-wide exclusion orders and their conflicts.
func (a adminAPI) ExclusionOrders() (shown admin.ExclusionOrders, err error) {
	if _, err = a.b.fleetTransport(); err != nil {
		return shown, err
	}
	o := a.b.exclusionOrders
	if o == nil {
		return shown, admin.ErrNoFleetOrders
	}
	_, missing := a.b.orderConfirmations()
	listed := 0
	a.b.callPolicy(func() { listed, _ = a.b.policy.HostCounts() })
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.machine == nil {
		return shown, admin.ErrHandedOver
	}
	shown = admin.ExclusionOrders{Digest: fmt.Sprintf("%016x", o.machine.Digest()), Saved: !o.unsaved, NotConfirmedBy: append([]string{}, missing...), Orders: []admin.ExclusionOrder{},
		Conflicts: []admin.Conflict{}}
	wanted := o.machine.Excluded(listed)
	show := func(order fleetorder.Order) admin.ExclusionOrder {
		return admin.ExclusionOrder{Host: order.Host, Excluded: order.Out, Force: order.Force, InForce: slices.Contains(wanted, order.Host) == order.Out, ReceivedBy: order.Door, Count: order.Count, ProcessID: formatProcessID(order.By)}
	}
	for _, order := range o.machine.All() {
		shown.Orders = append(shown.Orders, show(order))
	}
	for _, c := range o.machine.Conflicts() {
		shown.Conflicts = append(shown.Conflicts, admin.Conflict{Won: show(c.Won), Lost: show(c.Lost)})
	}
	return shown, nil
}
