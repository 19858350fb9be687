package member

import (
	"flag"
	"fmt"
	"hash/maphash"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"streamrail/internal/fleet/explore"
)

// depth is how many steps the explorer goes: 5 takes a second, 8 some minutes.
var depth = flag.Int("explore", 5, "steps to explore")

const (
	testPeriod  = 100 * time.Millisecond
	testSuspect = 200 * time.Millisecond
)

func testAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7946)
}

func testTerms(i, n int, start uint64) Terms {
	t := Terms{Expected: n, Period: testPeriod, Suspect: testSuspect, Budget: 3000, Most: 64, Seed: start,
		Self: Record{Life: Life(start<<chanceBits | uint64(i+1)), Name: fmt.Sprint("n", i), Addr: testAddr(i)}}
	for k := range n {
		t.Seeds = append(t.Seeds, testAddr(k))
	}
	return t
}

// clone copies a machine whole, so that the explorer can go on from it twice.
func (m *Machine) clone() *Machine {
	c := *m
	source := *m.source
	c.source, c.chance = &source, rand.New(&source)
	c.terms.Seeds = slices.Clone(m.terms.Seeds)
	c.peers, c.names = map[Life]*peer{}, map[string]*peer{}
	of := map[*peer]*peer{}
	for l, p := range m.peers {
		q := *p
		q.witnesses = slices.Clone(p.witnesses)
		of[p], c.peers[l] = &q, &q
	}
	for n, p := range m.names {
		c.names[n] = of[p]
	}
	each := func(list []*peer) (to []*peer) {
		for _, p := range list {
			to = append(to, of[p])
		}
		return to
	}
	c.order, c.dead, c.suspected = each(m.order), each(m.dead), each(m.suspected)
	c.looks = slices.Clone(m.looks)
	for i := range c.looks {
		c.looks[i].nacks = slices.Clone(c.looks[i].nacks)
	}
	c.favours, c.urgent = slices.Clone(m.favours), slices.Clone(m.urgent)
	c.talk, c.talks, c.asked = nil, map[Life]*item{}, map[Life]Moment{}
	for _, it := range m.talk {
		q := *it
		c.talk, c.talks[it.Life] = append(c.talk, &q), &q
	}
	for l, at := range m.asked {
		c.asked[l] = at
	}
	c.sends, c.spare, c.events = nil, nil, nil
	return &c
}

// world is three members and what is on the way between them.
type world struct {
	now   Moment
	at    [3]*Machine // nil: nobody runs there
	start uint64
	way   []flight
	incs  map[Life]Inc               // the highest each life itself has said
	word  map[[2]Life]Moment         // when a life last heard another itself
	held  map[[2]Life]Rumour         // what a life last held of another
	fault func(w *world, i int) bool // a bug that is put in on purpose: what it returns false for is not sent
	wrong string
}

type flight struct {
	to   int
	from netip.AddrPort
	msg  *Message
}

func newWorld(fault func(*world, int) bool) *world {
	w := &world{incs: map[Life]Inc{}, word: map[[2]Life]Moment{}, held: map[[2]Life]Rumour{}, fault: fault}
	for i := range w.at {
		w.run(i)
	}
	return w
}

func (w *world) run(i int) {
	w.start++
	w.at[i] = New(testTerms(i, len(w.at), w.start), w.now, nil)
	w.take(i)
}

func (w *world) clone() *world {
	c := *w
	for i, m := range w.at {
		if m != nil {
			c.at[i] = m.clone()
		}
	}
	c.way = slices.Clone(w.way)
	c.incs, c.word, c.held = maps.Clone(w.incs), maps.Clone(w.word), maps.Clone(w.held)
	return &c
}

// onWay bounds what is on the way: the oldest gets lost.
const onWay = 4

// take moves what a machine sends onto the way, and checks what it holds.
func (w *world) take(i int) {
	m := w.at[i]
	sends, events := m.Out()
	w.incs[m.self.Life] = max(w.incs[m.self.Life], m.self.Inc)
	for _, s := range sends {
		msg := s.Msg
		if msg.Size() > MostDatagram {
			w.bad("a datagram of %d bytes", msg.Size())
		}
		for to := range w.at {
			if s.To == testAddr(to) && to != i {
				w.way = append(w.way, flight{to, testAddr(i), &msg})
			}
		}
	}
	if w.fault != nil {
		w.fault(w, i)
	}
	for len(w.way) > onWay {
		w.way = slices.Delete(w.way, 0, 1)
	}
	for _, e := range events {
		if e.What != "verdict" {
			continue
		}
		if heard, ok := w.word[[2]Life{m.self.Life, e.Life}]; ok && w.now-heard < testSuspect {
			w.bad("n%d declares %s dead, whom it heard %v ago", i, e.Name, w.now-heard)
		}
	}
	w.check(i)
}

func (w *world) bad(form string, args ...any) {
	if w.wrong == "" {
		w.wrong = fmt.Sprintf(form, args...)
	}
}

// check holds one view against the invariants of docs/notes/members.md.
func (w *world) check(i int) {
	m := w.at[i]
	self := m.self.Life
	digest, seen := self.mix(), map[string]Life{}
	if m.peers[self] != nil {
		w.bad("n%d holds itself", i)
	}
	for l, p := range m.peers {
		if p.Inc > w.incs[l] {
			w.bad("n%d holds %s at incarnation %d, which itself has said %d", i, p.Name, p.Inc, w.incs[l])
		}
		now, key := Rumour{Life: l, Inc: p.Inc, State: p.state}, [2]Life{self, l}
		if was, ok := w.held[key]; ok && (now.Inc < was.Inc || now.Inc == was.Inc && now.State < was.State) {
			w.bad("n%d goes back from %v to %v", i, was, now)
		}
		w.held[key] = now
		if p.state.present() {
			digest ^= l.mix()
			if seen[p.Name] != 0 {
				w.bad("n%d sees two lives of %s", i, p.Name)
			}
			seen[p.Name] = l
			if m.order[p.place] != p {
				w.bad("n%d: order is broken", i)
			}
		} else if m.dead[p.place] != p {
			w.bad("n%d: the dead are broken", i)
		}
		for k, r := range w.held { // a newer life of a name ends the older ones
			if k[0] == self && k[1] > l && m.peers[k[1]] == nil && r.Life&7 == l&7 && w.nameOf(k[1]) == p.Name {
				w.bad("n%d raises an older life of %s", i, p.Name)
			}
		}
	}
	if digest != m.digest {
		w.bad("n%d: the digest is not that of its view", i)
	}
	if len(m.looks) > mostWait || len(m.favours) > mostWait || len(m.urgent) > mostWait || len(m.peers) > m.terms.Most {
		w.bad("n%d: a list grows beyond its bound", i)
	}
}

func (w *world) nameOf(l Life) string { return fmt.Sprint("n", uint64(l)&7-1) }

// steps are all that can happen next.
func (w *world) steps() (all []func(*world)) {
	for i, m := range w.at {
		if m == nil {
			all = append(all, func(w *world) { w.run(i) })
			continue
		}
		all = append(all, func(w *world) {
			w.now = max(w.now, w.at[i].Due())
			w.at[i].Tick(w.now)
			w.take(i)
		})
		if i == 2 { // one of three is enough: they are alike
			all = append(all, func(w *world) { w.at[i] = nil },
				func(w *world) {
					w.at[i].Leave(w.now)
					w.take(i)
					w.at[i] = nil
				})
		}
	}
	for k := range w.way {
		all = append(all, func(w *world) { w.deliver(k, false) }, func(w *world) { w.deliver(k, true) },
			func(w *world) { w.way = slices.Delete(w.way, k, k+1) })
	}
	return all
}

// deliver brings a datagram; again keeps it on its way for once more.
func (w *world) deliver(k int, again bool) {
	f := w.way[k]
	if !again {
		w.way = slices.Delete(w.way, k, k+1)
	}
	m := w.at[f.to]
	if m == nil {
		return
	}
	w.word[[2]Life{m.self.Life, f.msg.From}] = w.now
	m.Hear(w.now, f.from, f.msg)
	w.take(f.to)
	for _, r := range f.msg.Rumours {
		if p := m.peers[r.Life]; r.State == Left && p != nil && p.state != Left {
			w.bad("n%d was told that %s left and holds it %s", f.to, p.Name, p.state)
		}
	}
}

var seed = maphash.MakeSeed()

// key tells states apart. Times count from now, in steps of a quarter period: finer ones differ in nothing but waiting.
func (w *world) key() uint64 {
	var h maphash.Hash
	h.SetSeed(seed)
	rel := func(at Moment) int64 { return int64((at - w.now) / (testPeriod / 4)) }
	for i, m := range w.at {
		if m == nil {
			fmt.Fprint(&h, "|", i)
			continue
		}
		fmt.Fprint(&h, "|", m.self.Life, m.self.Inc, m.aside, m.health, m.silent, m.unproven, m.cursor, rel(m.due), rel(m.nextLook), rel(m.nextContact))
		for _, list := range [][]*peer{m.order, m.dead} {
			for _, p := range list {
				fmt.Fprint(&h, ";", p.Life, p.Inc, p.state, p.own, p.witnesses, rel(p.heard), rel(p.began))
			}
		}
		for _, l := range m.looks {
			fmt.Fprint(&h, "?", l.seq, l.life, l.asked, l.nacks, rel(l.next))
		}
		for _, f := range m.favours {
			fmt.Fprint(&h, "!", f.seq, f.for_, rel(f.until))
		}
		for _, it := range m.talk {
			fmt.Fprint(&h, "~", it.Rumour, it.told)
		}
	}
	for _, f := range w.way {
		fmt.Fprint(&h, ">", f.to, f.msg.Kind, f.msg.From, f.msg.Seq, f.msg.Inc, f.msg.Rumours, len(f.msg.Records))
	}
	return h.Sum64()
}

// orders goes through every order of steps from a world and tells how many states it met, and the first that is wrong.
func orders(w *world, depth int) (states int, wrong string) {
	return explore.Orders(w, depth, (*world).clone, (*world).steps, (*world).key, func(w *world) string { return w.wrong })
}

// settled is a world in which all know all, with one of them silent for so many periods already: the interesting part begins there.
func settled(fault func(*world, int) bool, silent int) *world {
	w := newWorld(nil)
	w.quiet(10*testPeriod, func(int) bool { return true })
	w.quiet(Moment(silent)*testPeriod, func(i int) bool { return i != 2 })
	w.fault = fault
	return w
}

// quiet goes on in the usual order; those that may not hear get nothing.
func (w *world) quiet(d time.Duration, hears func(int) bool) {
	for until := w.now + d; w.now < until; {
		first := 0
		for i, m := range w.at {
			if m.Due() < w.at[first].Due() {
				first = i
			}
		}
		w.now = max(w.now, w.at[first].Due())
		w.at[first].Tick(w.now)
		w.take(first)
		for len(w.way) > 0 {
			if hears(w.way[0].to) {
				w.deliver(0, false)
			} else {
				w.way = w.way[1:]
			}
		}
	}
}

// Every order of delivering, losing, repeating, turns, kills, starts and leaves keeps the invariants; from a whole fleet, from
// one in which a member is about to be suspected, and from one in which it is about to be declared dead.
func TestEveryOrder(t *testing.T) {
	for _, silent := range []int{0, 2, 6} {
		w := settled(nil, silent)
		if w.wrong != "" {
			t.Fatal(w.wrong)
		}
		n, wrong := orders(w, *depth-silent/6)
		t.Logf("%d periods silent: %d states", silent, n)
		if wrong != "" {
			t.Errorf("%d periods silent: %s", silent, wrong)
		}
	}
}

// The explorer finds what is wrong: bugs that are put in on purpose.
func TestExplorerFindsBugs(t *testing.T) {
	for name, fault := range map[string]func(w *world, i int) bool{
		"raises the incarnation of another": func(w *world, i int) bool {
			for _, f := range w.way {
				for k := range f.msg.Rumours {
					if r := &f.msg.Rumours[k]; i == 0 && r.Life != f.msg.From && r.State == Suspected {
						r.Inc = 7
					}
				}
			}
			return true
		},
		"declares deaths at once": func(w *world, i int) bool { w.at[0].terms.Suspect = 1; return true },
		"forgets who left": func(w *world, i int) bool {
			for _, p := range w.at[i].dead {
				if p.state == Left {
					p.state = Dead
				}
			}
			return true
		},
	} {
		wrong := ""
		for _, silent := range []int{0, 2, 6} {
			if _, wrong = orders(settled(fault, silent), 6); wrong != "" {
				break
			}
		}
		if wrong == "" {
			t.Errorf("%s: not found", name)
		} else {
			t.Logf("%s: %s", name, wrong)
		}
	}
}
