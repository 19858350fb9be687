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

// deep is how many steps every order of things is explored to.
var deep = flag.Int("explore", 5, "steps to explore")

// world is three balancers and what is on its way between them.
type world struct {
	at    [3]*Machine
	life  [3]member.Life
	lives member.Life
	way   []letter
	kept  []Order
	bad   string
}

// copied is a world of its own.
func (w *world) copied() *world {
	c := *w
	c.way, c.kept = slices.Clone(w.way), slices.Clone(w.kept)
	for i, m := range w.at {
		n := *m
		n.orders, n.latest, n.peers, n.conflicts, n.notices = slices.Clone(m.orders), slices.Clone(m.latest), slices.Clone(m.peers), slices.Clone(m.conflicts), slices.Clone(m.notices)
		n.chance = rand.New(rand.NewPCG(1, uint64(i))) // the chance of a tick is the same in each state: what differs is what is on its way
		c.at[i] = &n
	}
	return &c
}

func (w *world) start(i int, file []Order) {
	w.lives++
	w.life[i] = w.lives
	w.at[i] = New(Terms{Self: w.lives, Part: 1, Kept: file})
	w.settle(i)
}

func (w *world) settle(i int) {
	w.at[i].News()
	for _, s := range w.at[i].Out() {
		for k := range w.at {
			if w.life[k] == s.To && len(w.way) < 4 {
				w.way = append(w.way, letter{from: w.life[i], to: s.To, i: k, msg: s.Msg})
			}
		}
	}
}

func (w *world) tick(i int) {
	for k := range w.at[i].peers {
		w.at[i].peers[k].sent = -again
	}
	w.at[i].Tick(0, w.life[:], false)
	w.settle(i)
}

func (w *world) deliver(k int) {
	l := w.way[k]
	w.way = slices.Delete(w.way, k, k+1)
	if w.life[l.i] == l.to {
		w.at[l.i].Hear(0, l.from, &l.msg)
		w.settle(l.i)
	}
}

func (w *world) key() string {
	text := ""
	for _, m := range w.at {
		text += fmt.Sprint(m.orders, m.notices, m.terms.Self)
		for _, p := range m.peers {
			text += fmt.Sprint(p.life, p.heard, p.sum, p.from)
		}
	}
	var way []string
	for _, l := range w.way {
		way = append(way, fmt.Sprint(l.from, l.to, l.msg))
	}
	slices.Sort(way)
	return text + fmt.Sprint(way)
}

// steps are all that may happen: one of two orders at their doors, a turn, a delivery, a loss, a repeat, a kill with its file.
func (w *world) steps() (all []func(*world)) {
	do := func(f func(*world)) {
		all = append(all, func(c *world) {
			f(c)
			if err := check(w, c); err != nil {
				c.bad = err.Error()
			}
		})
	}
	if len(w.kept) < 2 {
		for i := range 2 {
			do(func(c *world) {
				o, _ := c.at[i].Give("h", i == 0, true, 4)
				c.settle(i)
				c.kept = append(c.kept, o)
			})
		}
	}
	for i := range w.at {
		do(func(c *world) { c.tick(i) })
		if w.lives < 5 {
			do(func(c *world) { c.start(i, c.at[i].All()) })
		}
	}
	for k := range w.way {
		do(func(c *world) { c.deliver(k) })
		do(func(c *world) { c.way = slices.Delete(c.way, k, k+1) })
		if len(w.way) < 4 {
			do(func(c *world) { c.way = append(c.way, c.way[k]) })
		}
	}
	return all
}

// check looks at a step, and at what comes of the state when all is well from now on.
func check(was, is *world) error {
	for i := range is.at {
		for _, o := range was.at[i].orders {
			k, held := is.at[i].find(o.Host)
			if !held || o.beats(&is.at[i].orders[k]) {
				return fmt.Errorf("balancer %d held %+v, then another that does not beat it", i, o)
			}
		}
	}
	c := is.copied()
	for range 6 {
		for i := range c.at {
			c.tick(i)
			for len(c.way) > 0 {
				c.deliver(0)
			}
		}
	}
	for i, m := range c.at {
		if m.sum != c.at[0].sum {
			return fmt.Errorf("balancer %d ends with %+v, balancer 0 with %+v", i, m.orders, c.at[0].orders)
		}
	}
	for _, o := range c.kept {
		if k, held := c.at[0].find(o.Host); !held || o.beats(&c.at[0].orders[k]) {
			return fmt.Errorf("%+v was confirmed and is lost", o)
		}
	}
	return nil
}

// Every order of two orders, turns, deliveries, losses, repeats and kills among three balancers, to a stated depth.
func TestEveryOrder(t *testing.T) {
	first := &world{}
	for i := range first.at {
		first.start(i, nil)
	}
	states, bad := explore.Orders(first, *deep, (*world).copied, (*world).steps, (*world).key, func(w *world) string { return w.bad })
	t.Logf("%d states to depth %d", states, *deep)
	if bad != "" {
		t.Error(bad)
	}
}
