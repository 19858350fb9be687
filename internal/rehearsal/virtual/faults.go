package virtual

import (
	"fmt"
	"strings"
	"time"

	"streamrail/internal/discovery"
	"streamrail/internal/rehearsal/gather"
	"streamrail/internal/rehearsal/model"
	"streamrail/internal/rehearsal/record"
	"streamrail/internal/rehearsal/scenario"
)

// list changes a node's line in the register; each balancer hears of it when the model says.
func (d *Day) list(n *node, c model.Condition) {
	for _, at := range d.register.Set(d.now, n.entry(c)) {
		d.at(at, d.tell)
	}
}

func (d *Day) tell() {
	for _, b := range d.register.Advance(d.now) {
		d.balancers[b].hear(false)
	}
}

// leavesIn is how long a front deals to a balancer that was told to end.
const leavesIn = 300 * time.Millisecond

// fault lays one of the day's faults on the clock.
func (d *Day) fault(i int) {
	f := &d.Faults[i]
	from, to := f.At.Duration(), (f.At + f.For).Duration()
	span := func(begin, end func(n *node)) {
		for _, p := range d.Hit(i) {
			d.at(from, func() { begin(d.place[p]) })
			d.at(to, func() { end(d.place[p]) })
		}
	}
	part := func(of func(n *node) *float64) {
		span(func(n *node) { *of(n) = f.Part }, func(n *node) { *of(n) = 0 })
	}
	back := func(n *node) { n.start(true); d.list(n, model.Active) }
	switch f.Do {
	case "slow":
		span(func(n *node) { n.change(func() { n.m.Slow(f.By) }) }, func(n *node) { n.change(func() { n.m.Slow(1) }) })
	case "stall":
		span(func(n *node) { n.change(func() { n.m.Stall(true) }) }, func(n *node) { n.change(func() { n.m.Stall(false) }) })
	case "spoil":
		part(func(n *node) *float64 { return &n.spoil })
	case "reset":
		part(func(n *node) *float64 { return &n.reset })
	case "fail":
		part(func(n *node) *float64 { return &n.fail })
	case "kill":
		span(func(n *node) { n.stop(false); d.list(n, model.Left) }, back)
	case "vanish", "zone-dark":
		span(func(n *node) { n.stop(true); d.list(n, model.Left) }, back)
	case "link-delay":
		for _, b := range d.HitBalancers(i) {
			span(func(n *node) { n.links[b].more = f.Delay.Duration() }, func(n *node) { n.links[b].more = 0 })
		}
	case "link-cut":
		for _, b := range d.HitBalancers(i) {
			span(func(n *node) { n.links[b].cut = true }, func(n *node) { n.links[b].cut = false })
		}
	case "deploy":
		d.deploy(f, d.Hit(i))
	case "register-silent":
		for _, b := range d.HitBalancers(i) {
			d.at(from, func() { d.register.Silence(b, true) })
			d.at(to, func() { d.register.Silence(b, false); d.balancers[b].hear(false) })
		}
	case "watch-silent": // noticed and opened anew as on sockets
		pace := discovery.NewTimeouts(d.Rules.DrainGrace.Duration()*9/10, true)
		for _, b := range d.HitBalancers(i) {
			d.at(from, func() { d.register.Silence(b, true) })
			d.at(from+pace.LongPoll+pace.ResponseGrace, func() { d.register.Silence(b, false); d.balancers[b].hear(false) })
		}
	case "register-rewind":
		for _, b := range d.HitBalancers(i) {
			d.at(from, func() { d.register.Rewind(b); d.balancers[b].hear(true) })
		}
	case "gateway-slow":
		slow := func(times float64) func() {
			return func() { d.gateway.advance(); d.gateway.m.Slow(times); d.gateway.awaits() }
		}
		d.at(from, slow(f.By))
		d.at(to, slow(1))
	case "gateway-reset":
		d.at(from, func() { d.gateway.reset = f.Part })
		d.at(to, func() { d.gateway.reset = 0 })
	case "gateway-fail":
		d.at(from, func() { d.gateway.fail = f.Part })
		d.at(to, func() { d.gateway.fail = 0 })
	case "balancer-kill":
		for _, b := range d.HitBalancers(i) {
			d.at(from, func() { d.balancers[b].unnoticed(d.Clients.Notice.Duration()); d.balancers[b].stop() })
			d.at(to, d.balancers[b].start)
		}
	case "balancer-stall":
		for _, b := range d.HitBalancers(i) {
			d.at(from, func() { d.balancers[b].until = max(d.balancers[b].until, to) })
		}
	case "balancer-restart":
		for _, b := range d.HitBalancers(i) {
			d.at(from, func() { d.balancers[b].unnoticed(leavesIn) })
			d.at(from, func() {
				lives := d.balancers[b].lives
				d.after(gather.RestartAfter, func() {
					if d.balancers[b].lives == lives && d.balancers[b].mod != nil { // else another fault has ended it by then
						d.balancers[b].stop()
						d.balancers[b].start()
					}
				})
			})
		}
	case "reload", "rude", "by-hand", "upgrade", "crowd": // of sockets and processes alone
		return
	}
	about := f.Do
	if len(f.Nodes) > 0 || f.Part > 0 && strings.Contains(" slow stall kill vanish deploy ", " "+f.Do+" ") {
		about += " " + strings.Join(d.Hit(i), " ")
	}
	d.rec.Bands = append(d.rec.Bands, record.Band{Text: about, From: from, To: to})
}

// deploy replaces nodes in waves, as on sockets.
func (d *Day) deploy(f *scenario.Fault, places []string) {
	waves := (len(places) + f.AtOnce - 1) / f.AtOnce
	for i, p := range places {
		at := f.At.Duration() + f.For.Duration()*time.Duration(i/f.AtOnce)/time.Duration(waves)
		var old, next *node
		successor := func() {
			next = d.addNode(fmt.Sprintf("%s.%d", p, strings.Count(old.id, ".")+2), old.group, true)
			d.list(next, model.Active)
		}
		d.at(at, func() {
			old = d.place[p]
			d.list(old, model.Leaving)
			if !f.Same {
				successor()
			}
		})
		d.at(at+d.Register.Late[1].Duration()+f.Drain.Duration(), func() {
			old.stop(false)
			d.list(old, model.Left)
			if f.Same {
				successor()
			}
			d.place[p] = next
		})
	}
}
