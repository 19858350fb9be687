// Package faults lays a day's faults on a timeline and plays them on the stand-ins.
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

// Balancers is what faults do to the balancers.
type Balancers interface {
	Kill(balancer int, back time.Duration)    // and starts it again after so long
	Restart(balancer int)                     // in order
	Reload(balancer int) error                // gives it a new configuration that names another register
	Rude(i int)                               // plays a rude client, and returns when it has ended
	ByHand(node string, out bool)             // takes a node out, or puts it back, at every balancer's door
	Upgrade(balancer int) error               // has a new process take over
	Stall(balancer int, length time.Duration) // makes it stand still
	Astray(balancer int)                      // kills it and starts it with addresses of others where nobody is
	Twin(balancer, other int, length time.Duration)
	UpgradeKill(balancer int, after time.Duration) error
	Ways() *standin.Relays // between balancers
	Stray(i int)           // plays one connection of a crowd, and returns when it has ended
}

// Timeline is a day's faults as things to do at moments.
type Timeline struct {
	w     *standin.World
	b     Balancers
	steps []step
	wait  sync.WaitGroup

	mu  sync.Mutex
	now map[string]string // by node at the start of the day, the id of the one that has its place now
	err error
}

type step struct {
	at time.Duration
	do func()
}

// New lays the timeline of a day.
func New(w *standin.World, b Balancers) *Timeline {
	t := &Timeline{w: w, b: b, now: map[string]string{}}
	for i := range w.Day.Faults {
		t.lay(i)
	}
	slices.SortStableFunc(t.steps, func(x, y step) int { return int(x.at - y.at) })
	return t
}

// Play does what is due until the last step or the stop, and tells the first thing that could not be done.
func (t *Timeline) Play(stop <-chan struct{}) error {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for _, s := range t.steps {
		timer.Reset(max(0, s.at-t.w.Now()))
		select {
		case <-timer.C:
			t.w.Late(s.at, t.w.Now())
			s.do()
		case <-stop:
			return t.err
		}
	}
	t.wait.Wait()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.err
}

func (t *Timeline) at(at time.Duration, do func()) { t.steps = append(t.steps, step{at, do}) }

func (t *Timeline) failed(err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.err == nil {
		t.err = err
	}
}

// node is the one that has the place of a node of the start of the day.
func (t *Timeline) node(place string) *standin.Node {
	t.mu.Lock()
	defer t.mu.Unlock()
	if id, ok := t.now[place]; ok {
		return t.w.Node(id)
	}
	return t.w.Node(place)
}

// span does one thing to nodes at a fault's begin and another at its end.
func (t *Timeline) span(f *scenario.Fault, places []string, begin, end func(n *standin.Node)) {
	for _, p := range places {
		t.at(f.At.Duration(), func() { begin(t.node(p)) })
		t.at((f.At + f.For).Duration(), func() { end(t.node(p)) })
	}
}

func (t *Timeline) lay(i int) {
	f := &t.w.Day.Faults[i]
	from, to := f.At.Duration(), (f.At + f.For).Duration()
	places, balancers := t.w.Day.Hit(i), t.w.Day.HitBalancers(i)
	about := f.Do
	switch f.Do {
	case "slow":
		t.span(f, places, func(n *standin.Node) { n.Slow(f.By) }, func(n *standin.Node) { n.Slow(1) })
	case "stall":
		t.span(f, places, func(n *standin.Node) { n.Stall(true) }, func(n *standin.Node) { n.Stall(false) })
	case "spoil":
		t.span(f, places, func(n *standin.Node) { n.Spoil(f.Part) }, func(n *standin.Node) { n.Spoil(0) })
	case "reset":
		t.span(f, places, func(n *standin.Node) { n.Reset(f.Part) }, func(n *standin.Node) { n.Reset(0) })
	case "fail":
		t.span(f, places, func(n *standin.Node) { n.Fail(f.Part) }, func(n *standin.Node) { n.Fail(0) })
	case "kill":
		t.span(f, places, func(n *standin.Node) { n.Stop(); t.list(n, model.Left) },
			func(n *standin.Node) { t.back(n.Start(true)); t.list(n, model.Active) })
	case "vanish", "zone-dark":
		t.span(f, places, func(n *standin.Node) { n.Vanish(); t.list(n, model.Left) },
			func(n *standin.Node) { t.back(n.Return()); t.list(n, model.Active) })
	case "link-delay":
		t.links(f, places, balancers, func(n *standin.Node, b int, on bool) {
			if on {
				n.Delay(b, f.Delay.Duration())
			} else {
				n.Delay(b, 0)
			}
		})
	case "link-cut":
		t.links(f, places, balancers, func(n *standin.Node, b int, on bool) { t.back(n.Cut(b, on)) })
	case "deploy":
		t.deploy(f, places)
	case "register-silent":
		for _, b := range balancers {
			t.at(from, func() { t.w.Register.Silence(b, true) })
			t.at(to, func() { t.w.Register.Silence(b, false) })
		}
	case "watch-silent":
		for _, b := range balancers {
			t.at(from, func() { t.w.Register.BreakWatches(b) })
		}
	case "register-rewind":
		for _, b := range balancers {
			t.at(from, func() { t.w.Register.Rewind(b) })
		}
	case "gateway-slow":
		t.at(from, func() { t.w.Gateway.Slow(f.By) })
		t.at(to, func() { t.w.Gateway.Slow(1) })
	case "gateway-reset":
		t.at(from, func() { t.w.Gateway.Reset(f.Part) })
		t.at(to, func() { t.w.Gateway.Reset(0) })
	case "gateway-fail":
		t.at(from, func() { t.w.Gateway.Fail(f.Part) })
		t.at(to, func() { t.w.Gateway.Fail(0) })
	case "balancer-kill":
		for _, b := range balancers {
			t.at(from, func() { t.b.Kill(b, f.For.Duration()) })
		}
	case "balancer-restart":
		for _, b := range balancers {
			t.at(from, func() { t.b.Restart(b) })
		}
	case "reload":
		for _, b := range balancers {
			t.at(from, func() { t.back(t.b.Reload(b)) })
		}
	case "by-hand":
		for _, p := range places {
			t.at(from, func() { t.b.ByHand(t.node(p).ID, true) })
			t.at((from+to)/2, func() {
				n := t.node(p)
				n.Stop()
				t.back(n.Start(true))
				t.list(n, model.Active)
			})
			t.at(to, func() { t.b.ByHand(t.node(p).ID, false) })
		}
	case "balancer-stall":
		for _, b := range balancers {
			t.at(from, func() { t.b.Stall(b, f.For.Duration()) })
		}
	case "balancer-astray":
		for _, b := range balancers {
			t.at(from, func() { t.b.Astray(b) })
		}
	case "balancer-twin":
		t.at(from, func() { t.b.Twin(f.Balancers[0]-1, f.To[0]-1, f.For.Duration()) })
	case "upgrade-kill":
		for _, b := range balancers {
			t.at(from, func() { t.wait.Go(func() { t.back(t.b.UpgradeKill(b, f.For.Duration())) }) })
		}
	case "upgrade":
		for _, b := range balancers {
			t.at(from, func() { t.wait.Go(func() { t.back(t.b.Upgrade(b)) }) })
		}
	case "crowd", "rude":
		play := t.b.Rude
		if f.Do == "crowd" {
			play = t.b.Stray
		}
		for n := range f.Count {
			t.at(from+f.For.Duration()*time.Duration(n)/time.Duration(f.Count), func() { t.wait.Go(func() { play(n) }) })
		}
	}
	if strings.HasPrefix(f.Do, "mate-") {
		t.mates(i, f)
	}
	if strings.Contains(" slow stall kill vanish link-delay link-cut deploy by-hand ", " "+f.Do+" ") {
		about += " " + strings.Join(places, " ")
	} else if f.Zone != "" || f.Tenant != "" {
		about += " " + f.Zone + f.Tenant
	}
	t.w.Rec.Add(func() { t.w.Rec.Bands = append(t.w.Rec.Bands, record.Band{Text: about, From: from, To: to}) })
}

// mates lays a fault of the ways between balancers.
func (t *Timeline) mates(i int, f *scenario.Fault) {
	from, to, ways := f.At.Duration(), (f.At + f.For).Duration(), t.w.Day.Ways(i)
	change := func(end bool) {
		for _, w := range ways {
			t.b.Ways().Change(w[0], w[1], t.w.Day.Harm(i, end))
		}
	}
	if f.Do == "mate-flap" {
		on := false
		for at := from; at < to; at += f.Delay.Duration() {
			on = !on
			t.at(at, func(end bool) func() { return func() { change(end) } }(!on))
		}
	} else {
		t.at(from, func() { change(false) })
	}
	t.at(to, func() { change(true) })
	t.w.Rec.Add(func() { t.w.Rec.MateCuts = append(t.w.Rec.MateCuts, Cuts(f, ways)...) })
}

// Cuts are what a fault does to ways between balancers as the judge has to know it: what only slows or repeats is no cut.
func Cuts(f *scenario.Fault, ways [][2]int) (cuts []record.MateCut) {
	if f.Do != "mate-cut" && f.Do != "mate-flap" && !(f.Do == "mate-loss" && f.Part > lossMost) && f.Do != "mate-narrow" {
		return nil
	}
	for _, w := range ways {
		cuts = append(cuts, record.MateCut{From: w[0], To: w[1], Begin: f.At.Duration(), End: (f.At + f.For).Duration()})
	}
	return cuts
}

// lossMost is the part lost up to which two count as able to speak.
const lossMost = 0.35

func (t *Timeline) links(f *scenario.Fault, places []string, balancers []int, do func(n *standin.Node, b int, on bool)) {
	for _, b := range balancers {
		t.span(f, places, func(n *standin.Node) { do(n, b, true) }, func(n *standin.Node) { do(n, b, false) })
	}
}

func (t *Timeline) back(err error) {
	if err != nil {
		t.failed(err)
	}
}

func (t *Timeline) list(n *standin.Node, c model.Condition) { t.w.Register.Set(n.Entry(c)) }

// deploy replaces nodes in waves: the successor comes up cold as the old one begins to leave, or after it has ended
// where it takes its address. The old one goes on until all can have heard that it leaves, and so long more.
func (t *Timeline) deploy(f *scenario.Fault, places []string) {
	waves := (len(places) + f.AtOnce - 1) / f.AtOnce
	for i, p := range places {
		at := f.At.Duration() + f.For.Duration()*time.Duration(i/f.AtOnce)/time.Duration(waves)
		leaves := t.w.Day.Register.Late[1].Duration() + f.Drain.Duration()
		var old, next *standin.Node
		t.at(at, func() {
			old = t.node(p)
			t.list(old, model.Leaving)
			if !f.Same {
				next = t.successor(p, old, false)
			}
		})
		t.at(at+leaves, func() {
			old.Stop()
			t.list(old, model.Left)
			if f.Same {
				next = t.successor(p, old, true)
			}
			if next != nil {
				t.mu.Lock()
				t.now[p] = next.ID
				t.mu.Unlock()
			}
		})
	}
}

func (t *Timeline) successor(place string, old *standin.Node, same bool) *standin.Node {
	id := fmt.Sprintf("%s.%d", place, strings.Count(old.ID, ".")+2)
	var inherit *standin.Node
	if same {
		inherit = old
	}
	n, err := t.w.AddNode(id, old.Group, true, inherit)
	if err != nil {
		t.failed(err)
		return nil
	}
	t.list(n, model.Active)
	return n
}
