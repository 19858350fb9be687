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

// orders are what operators ordered by hand at any balancer's door, where the operator's file lets that hold for the whole fleet; nil
// otherwise.
type orders struct {
	part  float64
	file  string
	epoch time.Time

	mu      sync.Mutex // makes an order of what comes; taken before upgrade.mu
	machine *byhand.Machine
	carrier *carry.Carrier
	stop    chan struct{}
	given   time.Time // the last at this door
	unkept  bool      // the file does not have all that is held: nobody is told that it is held here
}

// newOrders makes them; nil where the file does not have them.
func (b *Balancer) newOrders() *orders {
	if b.fleet.own == nil || !b.fleet.own.Orders || b.told.Admin == "" {
		return nil
	}
	return &orders{part: b.fleet.own.OrdersPart, file: handover.Path(os.TempDir(), b.told.Listen, ".orders"), epoch: time.Now()}
}

// followOrders begins to take and give orders over a carrier.
func (b *Balancer) followOrders(c *carry.Carrier) {
	o := b.orders
	if o == nil {
		return
	}
	var kept []byhand.Order
	if err := handover.Load(o.file, &kept); err != nil {
		b.log.Warn().Err(err).Str("file", o.file).Str("aside", handover.Aside(o.file)).Msg("the fleet's orders by hand are not readable, asking the others")
		kept = nil
	}
	stop := make(chan struct{})
	o.mu.Lock()
	o.carrier, o.stop = c, stop
	o.machine = byhand.New(byhand.Terms{Self: c.Self(), Name: b.told.Name, Part: o.part, Kept: kept, Seed: rand.Uint64()})
	o.mu.Unlock()
	c.On(carry.TopicOrders, func(from member.Life, body []byte) {
		if m, ok := carry.DecodeOrders(body); ok {
			b.withOrders(false, func(p *byhand.Machine, now byhand.Moment) { p.Hear(now, from, m) })
		}
	})
	go func() {
		t := time.NewTicker(byhand.Turn)
		defer t.Stop()
		for {
			members, _ := c.Members()
			b.withOrders(true, func(p *byhand.Machine, now byhand.Moment) { p.Tick(now, members, time.Since(o.given) < doorFor) })
			select {
			case <-t.C:
			case <-stop:
				return
			}
		}
	}()
}

// doorFor is how long a door that was given an order tells more others of it in a turn.
const doorFor = 5 * time.Second

// endOrders ends that: the newer process of an upgrade goes on, or this one ends.
func (b *Balancer) endOrders() {
	if o := b.orders; o != nil {
		o.mu.Lock()
		defer o.mu.Unlock()
		if o.machine != nil {
			close(o.stop)
			o.machine, o.carrier = nil, nil
		}
	}
}

// withOrders gives the orders an input. What has come to hold is kept first, then in force here, and then told. In a turn what is in
// force is looked at in any case: the list of hosts may have changed.
func (b *Balancer) withOrders(turn bool, input func(p *byhand.Machine, now byhand.Moment)) {
	o := b.orders
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.machine != nil {
		input(o.machine, time.Since(o.epoch))
		b.settleOrders(turn)
	}
}

// settleOrders does what an input brought. Under orders.mu.
func (b *Balancer) settleOrders(turn bool) (kept error) {
	o := b.orders
	sends, news := o.machine.Out(), o.machine.News()
	if len(news) > 0 || o.unkept {
		if kept = handover.Save(o.file, o.machine.All()); kept != nil && !o.unkept {
			b.log.Warn().Err(kept).Str("file", o.file).Msg("the fleet's orders by hand cannot be kept, telling nobody that they hold here")
		}
		o.unkept = kept != nil
		for _, n := range news {
			b.log.Info().Str("host", n.Host).Bool("out", n.Out).Str("door", n.Door).Uint64("count", n.Count).Msg("order by hand for the fleet")
		}
	}
	if turn || len(news) > 0 {
		b.force(o.machine.All())
	}
	if o.unkept {
		return kept
	}
	for i := range sends {
		o.carrier.Tell(sends[i].To, carry.TopicOrders, carry.EncodeOrders(&sends[i].Msg))
	}
	return nil
}

// force puts the orders in force here. Hosts without one stay as this balancer alone has them.
func (b *Balancer) force(all []byhand.Order) {
	if len(all) == 0 {
		return
	}
	var now []string // by name, as what is wanted
	listed := 0
	b.decide(func() { now = b.excluded(); listed, _ = b.module.Fleet() })
	want := b.orders.machine.Excluded(listed)
	for _, one := range all {
		_, out := slices.BinarySearch(want, one.Host)
		if _, is := slices.BinarySearch(now, one.Host); out != is {
			if err := b.ban(policy.CacheID(one.Host), out, true); err != nil {
				b.log.Warn().Err(err).Str("host", one.Host).Msg("an order by hand is not in force in both processes of the upgrade")
			}
		}
	}
}

// order takes an operator's order for the whole fleet. It returns once the order is kept and in force here, and has waited for others as
// long as it was told.
func (b *Balancer) order(id string, out bool, how admin.How) (told string, err error) {
	o := b.orders
	known, listed := false, 0
	b.decide(func() { known = b.module.Knows(policy.CacheID(id)); listed, _ = b.module.Fleet() })
	if !known {
		return "", admin.ErrNobody
	}
	o.mu.Lock()
	if o.machine == nil {
		o.mu.Unlock()
		return "", admin.ErrHanded
	}
	_, err = o.machine.Give(id, out, how.Force, listed)
	if err == nil {
		o.given = time.Now()
		members, _ := o.carrier.Members()
		o.machine.Tick(time.Since(o.epoch), members, true)
		err = b.settleOrders(false)
	}
	o.mu.Unlock()
	switch {
	case errors.Is(err, byhand.ErrTooMany), errors.Is(err, byhand.ErrFull):
		return "", err // nothing has changed
	case err != nil:
		return "", fmt.Errorf("in force here, not kept and not told to others: %w", err)
	}
	have, missing := b.confirmed()
	for until := time.Now().Add(how.Wait); len(missing) > 0 && time.Now().Before(until); have, missing = b.confirmed() {
		time.Sleep(5 * time.Millisecond)
	}
	if n := len(missing); n > 0 {
		return fmt.Sprintf(", confirmed by %d of %d others; missing: %s", have, have+n, strings.Join(missing, ", ")), nil
	}
	return fmt.Sprintf(", confirmed by all %d others", have), nil
}

// confirmed is how many others are known to hold what is held here, and the names of those that are not, the dead among them: they
// may be cut off, and in use.
func (b *Balancer) confirmed() (have int, missing []string) {
	o := b.orders
	o.mu.Lock()
	if o.machine == nil {
		o.mu.Unlock()
		return 0, nil
	}
	lives, c := o.machine.Confirmed(), o.carrier
	o.mu.Unlock()
	present := map[string]bool{} // by name: it has confirmed
	for _, m := range c.View().Members {
		if m.State != member.Left {
			present[m.Name] = present[m.Name] || slices.Contains(lives, m.Life)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(present)) {
		if present[name] {
			have++
		} else {
			missing = append(missing, name)
		}
	}
	return have, missing
}

// Orders are what the door shows of them.
func (d door) Orders() (to admin.Orders, err error) {
	if _, err = d.b.speaker(); err != nil {
		return to, err
	}
	o := d.b.orders
	if o == nil {
		return to, admin.ErrNoOrders
	}
	_, missing := d.b.confirmed()
	listed := 0
	d.b.decide(func() { listed, _ = d.b.module.Fleet() })
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.machine == nil {
		return to, admin.ErrHanded
	}
	to = admin.Orders{Sum: fmt.Sprintf("%016x", o.machine.Sum()), Kept: !o.unkept, Missing: append([]string{}, missing...), Orders: []admin.Order{},
		Conflicts: []admin.Conflict{}}
	want := o.machine.Excluded(listed)
	show := func(x byhand.Order) admin.Order {
		return admin.Order{Host: x.Host, Out: x.Out, Force: x.Force, InForce: slices.Contains(want, x.Host) == x.Out, Door: x.Door, Count: x.Count, By: life(x.By)}
	}
	for _, x := range o.machine.All() {
		to.Orders = append(to.Orders, show(x))
	}
	for _, c := range o.machine.Conflicts() {
		to.Conflicts = append(to.Conflicts, admin.Conflict{Won: show(c.Won), Lost: show(c.Lost)})
	}
	return to, nil
}
