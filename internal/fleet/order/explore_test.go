package order

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"streamrail/internal/fleet/explore"
	"streamrail/internal/fleet/member"
)

// exploreDepth is the length of the explored sequences of steps.
var exploreDepth = flag.Int("explore", 5, "steps to explore")

// model is three balancers and the messages in flight between them.
type model struct {
	balancers [3]*Machine
	ids       [3]member.ProcessID
	lastID    member.ProcessID
	inFlight  []packet
	confirmed []Order
	failure   string
}

// clone returns a deep copy.
func (w *model) clone() *model {
	c := *w
	c.inFlight, c.confirmed = slices.Clone(w.inFlight), slices.Clone(w.confirmed)
	for i, m := range w.balancers {
		n := *m
		n.orders, n.recentHosts, n.peers, n.conflicts, n.notices = slices.Clone(m.orders), slices.Clone(m.recentHosts), slices.Clone(m.peers), slices.Clone(m.conflicts), slices.Clone(m.notices)
		// Ticks draw the same random numbers in each state, so that states differ only in the machines and the messages in flight.
		n.rng = rand.New(rand.NewPCG(1, uint64(i)))
		c.balancers[i] = &n
	}
	return &c
}

func (w *model) start(i int, stored []Order) {
	w.lastID++
	w.ids[i] = w.lastID
	w.balancers[i] = New(Config{Self: w.lastID, MaxExcludedFraction: 1, StoredOrders: stored})
	w.flush(i)
}

func (w *model) flush(i int) {
	w.balancers[i].TakeChanges()
	for _, s := range w.balancers[i].TakeOutput() {
		for k := range w.balancers {
			if w.ids[k] == s.To && len(w.inFlight) < 4 {
				w.inFlight = append(w.inFlight, packet{from: w.ids[i], to: s.To, receiver: k, msg: s.Msg})
			}
		}
	}
}

func (w *model) tick(i int) {
	for k := range w.balancers[i].peers {
		w.balancers[i].peers[k].lastSent = -resendAfter
	}
	w.balancers[i].Tick(0, w.ids[:], false)
	w.flush(i)
}

func (w *model) deliver(k int) {
	delivered := w.inFlight[k]
	w.inFlight = slices.Delete(w.inFlight, k, k+1)
	if w.ids[delivered.receiver] == delivered.to {
		w.balancers[delivered.receiver].Receive(0, delivered.from, &delivered.msg)
		w.flush(delivered.receiver)
	}
}

func (w *model) key() string {
	text := ""
	for _, m := range w.balancers {
		text += fmt.Sprint(m.orders, m.notices, m.config.Self)
		for _, p := range m.peers {
			text += fmt.Sprint(p.id, p.reported, p.digest, p.sentOrders)
		}
	}
	var inFlight []string
	for _, message := range w.inFlight {
		inFlight = append(inFlight, fmt.Sprint(message.from, message.to, message.msg))
	}
	slices.Sort(inFlight)
	return text + fmt.Sprint(inFlight)
}

// steps returns all steps possible in a state: giving an order at balancer 0 or 1 (two in all), a tick, delivering, losing or
// duplicating a message, and killing a balancer and restarting it with its file.
func (w *model) steps() (all []func(*model)) {
	do := func(f func(*model)) {
		all = append(all, func(c *model) {
			f(c)
			if err := check(w, c); err != nil {
				c.failure = err.Error()
			}
		})
	}
	if len(w.confirmed) < 2 {
		for i := range 2 {
			do(func(c *model) {
				o, _ := c.balancers[i].Submit("h", i == 0, true, 4)
				c.flush(i)
				c.confirmed = append(c.confirmed, o)
			})
		}
	}
	for i := range w.balancers {
		do(func(c *model) { c.tick(i) })
		if w.lastID < 5 {
			do(func(c *model) { c.start(i, c.balancers[i].All()) })
		}
	}
	for k := range w.inFlight {
		do(func(c *model) { c.deliver(k) })
		do(func(c *model) { c.inFlight = slices.Delete(c.inFlight, k, k+1) })
		if len(w.inFlight) < 4 {
			do(func(c *model) { c.inFlight = append(c.inFlight, c.inFlight[k]) })
		}
	}
	return all
}

// check checks that a step replaced no balancer's order by one that does not supersede it, and that all balancers converge
// without losing a confirmed order if nothing fails from now on.
func check(before, after *model) error {
	for i := range after.balancers {
		for _, o := range before.balancers[i].orders {
			k, held := after.balancers[i].find(o.Host)
			if !held || o.supersedes(&after.balancers[i].orders[k]) {
				return fmt.Errorf("balancer %d replaced %+v by an order that does not supersede it", i, o)
			}
		}
	}
	c := after.clone()
	for range 6 {
		for i := range c.balancers {
			c.tick(i)
			for len(c.inFlight) > 0 {
				c.deliver(0)
			}
		}
	}
	for i, m := range c.balancers {
		if m.digest != c.balancers[0].digest {
			return fmt.Errorf("balancer %d ends with %+v, balancer 0 with %+v", i, m.orders, c.balancers[0].orders)
		}
	}
	for _, o := range c.confirmed {
		if k, held := c.balancers[0].find(o.Host); !held || o.supersedes(&c.balancers[0].orders[k]) {
			return fmt.Errorf("confirmed order %+v is lost", o)
		}
	}
	return nil
}

// listModel is one balancer, the number of hosts in its list, and the exclusions that it has accepted.
type listModel struct {
	balancer *Machine
	listed   int
	accepted []string // sorted
	forget   bool     // the balancer does not record how many hosts were listed
	failure  string
}

func (w *listModel) clone() *listModel {
	c := *w
	c.balancer = (&model{balancers: [3]*Machine{w.balancer, New(Config{}), New(Config{})}}).clone().balancers[0]
	c.accepted = slices.Clone(w.accepted)
	return &c
}

// submit gives an order and notes an accepted one.
func (w *listModel) submit(host string, exclude, force bool) {
	if _, err := w.balancer.Submit(host, exclude, force, w.listed); err != nil {
		return
	}
	w.accepted = slices.DeleteFunc(w.accepted, func(h string) bool { return h == host })
	if exclude {
		w.accepted = append(w.accepted, host)
		slices.Sort(w.accepted)
	}
	if w.forget {
		for i := range w.balancer.orders {
			w.balancer.orders[i].ListedHosts = 0
		}
	}
}

// steps returns all steps: each order on three hosts, each length of the list, and a restart with the stored orders.
func (w *listModel) steps() (all []func(*listModel)) {
	do := func(f func(*listModel)) {
		all = append(all, func(c *listModel) {
			f(c)
			if got := c.balancer.Excluded(c.listed); !slices.Equal(got, c.accepted) {
				c.failure = fmt.Sprintf("with %d hosts listed %v are excluded, accepted were %v", c.listed, got, c.accepted)
			}
		})
	}
	for _, host := range []string{"a", "b", "c"} {
		do(func(c *listModel) { c.submit(host, false, false) })
		do(func(c *listModel) { c.submit(host, true, false) })
		do(func(c *listModel) { c.submit(host, true, true) })
	}
	for listed := range 6 {
		do(func(c *listModel) { c.listed = listed })
	}
	do(func(c *listModel) {
		config := c.balancer.config
		config.Self++
		config.StoredOrders = c.balancer.All()
		c.balancer = New(config)
	})
	return all
}

func (w *listModel) key() string {
	text := fmt.Sprint(w.listed, w.accepted, w.balancer.config.Self)
	for _, o := range w.balancer.orders {
		text += fmt.Sprint(o.Host, o.Out, o.Force, o.ListedHosts, o.By)
	}
	return text
}

// Guards against an accepted exclusion that a change of the list, a restart or another order ends: explores every sequence of orders,
// lengths of the list and restarts at one balancer.
func TestEveryListAndOrder(t *testing.T) {
	for _, forget := range []bool{false, true} {
		first := &listModel{balancer: New(Config{Self: 1, MaxExcludedFraction: 0.5}), listed: 4, forget: forget}
		states, failure := explore.Sequences(first, *exploreDepth, (*listModel).clone, (*listModel).steps, (*listModel).key, func(w *listModel) string { return w.failure })
		t.Logf("%d states to depth %d: %s", states, *exploreDepth, failure)
		if (failure != "") != forget {
			t.Errorf("the number of listed hosts is forgotten: %v, failure found: %q", forget, failure)
		}
	}
}

// Explores every sequence of steps (see model.steps) among three balancers, up to a given depth.
func TestEveryOrder(t *testing.T) {
	first := &model{}
	for i := range first.balancers {
		first.start(i, nil)
	}
	states, failure := explore.Sequences(first, *exploreDepth, (*model).clone, (*model).steps, (*model).key, func(w *model) string { return w.failure })
	t.Logf("%d states to depth %d", states, *exploreDepth)
	if failure != "" {
		t.Error(failure)
	}
}
