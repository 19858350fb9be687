package balancer

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"streamrail/internal/admin"
	"streamrail/internal/fleet/carry"
	"streamrail/internal/fleet/member"
	byhand "streamrail/internal/fleet/order"
	"streamrail/internal/handover"
	"streamrail/policy"
)

// exclusionOrders are what operators ordered by hand at any balancer's door, where the operator's file lets that hold for the whole fleet; nil
// otherwise.
type exclusionOrders struct {
	maxExcludedShare float64
	file             string
	epoch            time.Time

	mu          sync.Mutex // makes an order of what comes; taken before upgrade.mu
	machine     *byhand.Machine
	transport   *carry.Carrier
	stop        chan struct{}
	lastOrderAt time.Time // the last at this door
	unsaved     bool      // the file does not have all that is held: nobody is told that it is held here
}

// newExclusionOrders makes them; nil where the file does not have them.
func (b *Balancer) newExclusionOrders() *exclusionOrders {
	if b.fleet.settings == nil || !b.fleet.settings.Orders || b.deployment.Admin == "" {
		return nil
	}
	return &exclusionOrders{maxExcludedShare: b.fleet.settings.OrdersPart, file: handover.Path(os.TempDir(), b.deployment.Listen, ".orders"), epoch: time.Now()}
}

// startExclusionOrders begins to take and give orders over a carrier.
func (b *Balancer) startExclusionOrders(transport *carry.Carrier) {
	o := b.fleetOrders
	if o == nil {
		return
	}
	var saved []byhand.Order
	if err := handover.Load(o.file, &saved); err != nil {
		b.log.Warn().Err(err).Str("file", o.file).Str("aside", handover.Aside(o.file)).Msg("the fleet's orders by hand are not readable, asking the others")
		saved = nil
	}
	stop := make(chan struct{})
	o.mu.Lock()
	o.transport, o.stop = transport, stop
	o.machine = byhand.New(byhand.Terms{Self: transport.Self(), Name: b.deployment.Name, Part: o.maxExcludedShare, Kept: saved, Seed: rand.Uint64()})
	o.mu.Unlock()
	transport.On(carry.TopicOrders, func(from member.Life, body []byte) {
		if m, ok := carry.DecodeOrders(body); ok {
			b.updateExclusionOrders(false, func(machine *byhand.Machine, now byhand.Moment) { machine.Hear(now, from, m) })
		}
	})
	go func() {
		t := time.NewTicker(byhand.Turn)
		defer t.Stop()
		for {
			members, _ := transport.Members()
			b.updateExclusionOrders(true, func(machine *byhand.Machine, now byhand.Moment) {
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

// orderPushTime is how long a door that was given an order tells more others of it in a turn.
const orderPushTime = 5 * time.Second

// stopExclusionOrders ends that: the newer process of an upgrade goes on, or this one ends.
func (b *Balancer) stopExclusionOrders() {
	if o := b.fleetOrders; o != nil {
		o.mu.Lock()
		defer o.mu.Unlock()
		if o.machine != nil {
			close(o.stop)
			o.machine, o.transport = nil, nil
		}
	}
}

// updateExclusionOrders gives the orders an input. What has come to hold is kept first, then in force here, and then told. In a turn what is in
// force is looked at in any case: the list of hosts may have changed.
func (b *Balancer) updateExclusionOrders(periodic bool, input func(machine *byhand.Machine, now byhand.Moment)) {
	o := b.fleetOrders
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.machine != nil {
		input(o.machine, time.Since(o.epoch))
		b.processOrders(periodic)
	}
}

// processOrders does what an input brought. Under orders.mu.
func (b *Balancer) processOrders(periodic bool) (saveErr error) {
	o := b.fleetOrders
	sends, newOrders := o.machine.Out(), o.machine.News()
	if len(newOrders) > 0 || o.unsaved {
		if saveErr = handover.Save(o.file, o.machine.All()); saveErr != nil && !o.unsaved {
			b.log.Warn().Err(saveErr).Str("file", o.file).Msg("the fleet's orders by hand cannot be kept, telling nobody that they hold here")
		}
		o.unsaved = saveErr != nil
		for _, n := range newOrders {
			b.log.Info().Str("host", n.Host).Bool("out", n.Out).Str("door", n.Door).Uint64("count", n.Count).Msg("order by hand for the fleet")
		}
	}
	if periodic || len(newOrders) > 0 {
		b.enforceOrders(o.machine.All())
	}
	if o.unsaved {
		return saveErr
	}
	for i := range sends {
		o.transport.Tell(sends[i].To, carry.TopicOrders, carry.EncodeOrders(&sends[i].Msg))
	}
	return nil
}

// enforceOrders puts the orders in force here. Hosts without one stay as this balancer alone has them.
func (b *Balancer) enforceOrders(all []byhand.Order) {
	if len(all) == 0 {
		return
	}
	var current []string // by name, as what is wanted
	listed := 0
	b.callPolicy(func() { current = b.excludedHosts(); listed, _ = b.policy.Fleet() })
	wanted := b.fleetOrders.machine.Excluded(listed)
	for _, order := range all {
		_, exclude := slices.BinarySearch(wanted, order.Host)
		if _, excluded := slices.BinarySearch(current, order.Host); exclude != excluded {
			if err := b.setExclusion(policy.CacheID(order.Host), exclude, true); err != nil {
				b.log.Warn().Err(err).Str("host", order.Host).Msg("an order by hand is not in force in both processes of the upgrade")
			}
		}
	}
}

// giveFleetOrder takes an operator's order for the whole fleet. It returns once the order is kept and in force here, and has waited for others as
// long as it was told.
func (b *Balancer) giveFleetOrder(id string, exclude bool, options admin.How) (note string, err error) {
	o := b.fleetOrders
	known, listed := false, 0
	b.callPolicy(func() { known = b.policy.Knows(policy.CacheID(id)); listed, _ = b.policy.Fleet() })
	if !known {
		return "", admin.ErrNobody
	}
	o.mu.Lock()
	if o.machine == nil {
		o.mu.Unlock()
		return "", admin.ErrHanded
	}
	_, err = o.machine.Give(id, exclude, options.Force, listed)
	if err == nil {
		o.lastOrderAt = time.Now()
		members, _ := o.transport.Members()
		o.machine.Tick(time.Since(o.epoch), members, true)
		err = b.processOrders(false)
	}
	o.mu.Unlock()
	switch {
	case errors.Is(err, byhand.ErrTooMany), errors.Is(err, byhand.ErrFull):
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

// orderConfirmations is how many others are known to hold what is held here, and the names of those that are not, the dead among them: they
// may be cut off, and in use.
func (b *Balancer) orderConfirmations() (confirmed int, missing []string) {
	o := b.fleetOrders
	o.mu.Lock()
	if o.machine == nil {
		o.mu.Unlock()
		return 0, nil
	}
	lives, transport := o.machine.Confirmed(), o.transport
	o.mu.Unlock()
	confirmedByName := map[string]bool{} // by name: it has confirmed
	for _, m := range transport.View().Members {
		if m.State != member.Left {
			confirmedByName[m.Name] = confirmedByName[m.Name] || slices.Contains(lives, m.Life)
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

// Orders are what the door shows of them.
func (a adminAPI) Orders() (shown admin.Orders, err error) {
	if _, err = a.b.fleetTransport(); err != nil {
		return shown, err
	}
	o := a.b.fleetOrders
	if o == nil {
		return shown, admin.ErrNoOrders
	}
	_, missing := a.b.orderConfirmations()
	listed := 0
	a.b.callPolicy(func() { listed, _ = a.b.policy.Fleet() })
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.machine == nil {
		return shown, admin.ErrHanded
	}
	shown = admin.Orders{Sum: fmt.Sprintf("%016x", o.machine.Sum()), Kept: !o.unsaved, Missing: append([]string{}, missing...), Orders: []admin.Order{},
		Conflicts: []admin.Conflict{}}
	wanted := o.machine.Excluded(listed)
	show := func(order byhand.Order) admin.Order {
		return admin.Order{Host: order.Host, Out: order.Out, Force: order.Force, InForce: slices.Contains(wanted, order.Host) == order.Out, Door: order.Door, Count: order.Count, By: formatLife(order.By)}
	}
	for _, order := range o.machine.All() {
		shown.Orders = append(shown.Orders, show(order))
	}
	for _, c := range o.machine.Conflicts() {
		shown.Conflicts = append(shown.Conflicts, admin.Conflict{Won: show(c.Won), Lost: show(c.Lost)})
	}
	return shown, nil
}
