package order

import (
	"cmp"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"streamrail/internal/fleet/member"
)

// histories is how many drawn histories of orders are played.
var histories = flag.Int("histories", 300, "drawn histories to play")

// place is one balancer of a play: its process, and the file that outlives it.
type place struct {
	*Machine
	life  member.Life
	file  []Order
	stood time.Duration
}

type letter struct {
	at       time.Duration
	from, to member.Life
	i        int
	msg      Message
}

// play is some balancers on a bad network.
type play struct {
	now   time.Duration
	at    []*place
	way   []letter
	dice  *rand.Rand
	lives int
	loss  float64
	cut   [][]bool
	kept  []Order // every order that was confirmed at its door
	lost  bool    // a file was lost: what only it had may be
	wrong func(p *play, i int)
}

func newPlay(n int, seed uint64) *play {
	p := &play{dice: rand.New(rand.NewPCG(seed, 3))}
	for range n {
		p.at, p.cut = append(p.at, &place{}), append(p.cut, make([]bool, n))
	}
	for i := range n {
		p.start(i)
	}
	return p
}

func (p *play) start(i int) {
	p.lives++
	m := p.at[i]
	m.life, m.stood = member.Life(p.lives), 0
	m.Machine = New(Terms{Self: m.life, Name: fmt.Sprint("b", i), Part: 0.5, Kept: m.file, Seed: p.dice.Uint64()})
	p.settle(i)
}

// settle keeps what has come to hold, then sends.
func (p *play) settle(i int) {
	m := p.at[i]
	if len(m.News()) > 0 {
		m.file = m.All()
	}
	for _, s := range m.Out() {
		for k, o := range p.at {
			if o.Machine == nil || o.life != s.To || p.cut[i][k] || p.dice.Float64() < p.loss {
				continue
			}
			for range 1 + p.dice.IntN(8)/7 {
				p.way = append(p.way, letter{p.now + time.Duration(1+p.dice.IntN(60))*time.Millisecond + time.Duration(p.dice.IntN(20)/19)*time.Second, m.life, s.To, k, s.Msg})
			}
		}
	}
}

func (p *play) step(by time.Duration) error {
	p.now += by
	for k := 0; k < len(p.way); {
		l := p.way[k]
		if l.at > p.now {
			k++
			continue
		}
		p.way = slices.Delete(p.way, k, k+1)
		if m := p.at[l.i]; m.Machine != nil && m.life == l.to && m.stood <= p.now {
			if err := p.grows(l.i, func() { m.Hear(p.now, l.from, &l.msg) }); err != nil {
				return err
			}
		}
	}
	var lives []member.Life
	for _, m := range p.at {
		if m.Machine != nil {
			lives = append(lives, m.life)
		}
	}
	for i, m := range p.at {
		if m.Machine != nil && m.stood <= p.now && int(p.now/by)%10 == i%10 {
			m.Tick(p.now, lives, false)
			p.settle(i)
			if p.wrong != nil {
				p.wrong(p, i)
			}
		}
	}
	return nil
}

// grows checks that what a process holds never goes back.
func (p *play) grows(i int, do func()) error {
	was := p.at[i].All()
	do()
	p.settle(i)
	for _, o := range was {
		k, held := p.at[i].find(o.Host)
		if !held || o.beats(&p.at[i].orders[k]) {
			return fmt.Errorf("at %v: balancer %d held %+v, then another that does not beat it", p.now, i, o)
		}
	}
	return nil
}

func (p *play) give(i int, host string, out bool) {
	m := p.at[i]
	if m.Machine != nil && m.stood <= p.now {
		if o, err := m.Give(host, out, true, 10); err == nil {
			p.settle(i)
			p.kept = append(p.kept, o)
		}
	}
}

// end heals all, starts all and checks that all hold the same, and nothing that was confirmed is lost.
func (p *play) end() error {
	p.loss = 0
	for i, m := range p.at {
		clear(p.cut[i])
		m.stood = 0
		if m.Machine == nil {
			p.start(i)
		}
	}
	for until := p.now + 4*time.Second; p.now < until; {
		if err := p.step(20 * time.Millisecond); err != nil {
			return err
		}
	}
	for i, m := range p.at {
		if m.Sum() != p.at[0].Sum() || !slices.Equal(m.Excluded(10), p.at[0].Excluded(10)) {
			return fmt.Errorf("balancer %d holds %+v, balancer 0 %+v", i, m.All(), p.at[0].All())
		}
	}
	for _, o := range p.kept {
		k, held := p.at[0].find(o.Host)
		if !p.lost && (!held || o.beats(&p.at[0].orders[k])) {
			return fmt.Errorf("%+v was confirmed and is lost", o)
		}
	}
	return nil
}

// history draws one: orders at doors, cuts, losses, stalls, kills, and in one of four lost files.
func history(seed uint64, wrong func(*play, int)) error {
	dice := rand.New(rand.NewPCG(seed, 5))
	n := 3 + dice.IntN(5)
	p := newPlay(n, seed)
	p.wrong = wrong
	for p.now < 20*time.Second {
		switch i := dice.IntN(n); dice.IntN(120) {
		case 0:
			p.at[i].Machine = nil
			if seed%4 == 0 && dice.IntN(4) == 0 {
				p.at[i].file, p.lost = nil, true
			}
		case 1, 2:
			if p.at[i].Machine == nil {
				p.start(i)
			}
		case 3:
			p.at[i].stood = p.now + time.Duration(dice.IntN(4000))*time.Millisecond
		case 4, 5:
			p.cut[i][dice.IntN(n)] = true
		case 6:
			clear(p.cut[i])
		case 7:
			p.loss = dice.Float64() / 2
		case 8, 9, 10, 11:
			p.give(i, string(rune('a'+dice.IntN(3))), dice.IntN(2) == 0)
		}
		if err := p.step(20 * time.Millisecond); err != nil {
			return err
		}
	}
	return p.end()
}

// Whatever gets lost, stands still, dies and starts again: no confirmed order is lost while a file has it, none that was replaced
// comes back, and all hold the same four seconds after all is well.
func TestHistories(t *testing.T) {
	for seed := range uint64(*histories) {
		if err := history(seed, nil); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
}

// The histories find balancers that are wrong on purpose.
func TestWrongFound(t *testing.T) {
	for name, wrong := range map[string]func(*play, int){
		"takes the last it heard": func(p *play, i int) {
			if m := p.at[i]; i == 1 && m.Machine != nil && len(m.orders) > 0 {
				m.sum ^= m.orders[0].sum()
				m.orders[0].Count = max(1, m.orders[0].Count-1)
				m.sum ^= m.orders[0].sum()
			}
		},
		"forgets at its end": func(p *play, i int) { p.at[1].file = nil },
		"tells and is told nothing": func(p *play, i int) {
			if m := p.at[1]; m.Machine != nil {
				m.peers = nil
				p.way = slices.DeleteFunc(p.way, func(l letter) bool { return l.i == 1 || l.from == m.life })
			}
		},
	} {
		found := false
		for seed := uint64(1); seed < 400 && !found; seed += 2 { // files are not lost in these
			found = history(seed, wrong) != nil
		}
		if !found {
			t.Errorf("%s: not found", name)
		}
	}
}

// Of three orders in any arrangement the same one holds, and each that was given without word of another is told of.
func TestOneDecides(t *testing.T) {
	a := Order{Host: "h", ID: ID{1, 7}, Out: true}
	b := Order{Host: "h", ID: ID{1, 9}}
	c := Order{Host: "h", ID: ID{2, 9}, Past: []ID{b.ID}}
	for _, row := range [][]Order{{a, b, c}, {a, c, b}, {b, a, c}, {b, c, a}, {c, a, b}, {c, b, a}} {
		m := New(Terms{Self: 1})
		for _, o := range row {
			m.take(o)
		}
		if got := m.All(); len(got) != 1 || got[0].ID != c.ID {
			t.Errorf("%v: %v holds", row, got)
		}
		if !slices.ContainsFunc(m.Conflicts(), func(x Conflict) bool { return x.Lost.ID == a.ID }) {
			t.Errorf("%v: conflicts %v, want one that %v lost", row, m.Conflicts(), a.ID)
		}
		if slices.ContainsFunc(m.Conflicts(), func(x Conflict) bool { return x.Won.ID == c.ID && x.Lost.ID == b.ID }) {
			t.Errorf("%v: %v knew of %v", row, c.ID, b.ID)
		}
	}
}

// More than the allowed part is refused without force, also where two doors have half each and neither has word of the other: then
// the same ones are out everywhere.
func TestTooMany(t *testing.T) {
	a, b := New(Terms{Self: 1, Part: 0.5}), New(Terms{Self: 2, Part: 0.5})
	for i := range 2 {
		for m, host := range map[*Machine]string{a: fmt.Sprint("a", i), b: fmt.Sprint("b", i)} {
			if _, err := m.Give(host, true, false, 4); err != nil {
				t.Fatal(err)
			}
		}
	}
	if _, err := a.Give("a3", true, false, 4); err != ErrTooMany {
		t.Errorf("a third of four: %v", err)
	}
	for _, o := range b.All() {
		a.take(o)
	}
	for _, o := range a.All() {
		b.take(o)
	}
	if x, y := a.Excluded(4), b.Excluded(4); !slices.Equal(x, y) || len(x) != 2 {
		t.Errorf("%v and %v are out of four", x, y)
	}
	if _, err := b.Give("b3", true, true, 4); err != nil || len(b.Excluded(4)) != 3 {
		t.Errorf("with force: %v, %v are out", err, b.Excluded(4))
	}
}

// Thousands of orders reach one who has none within seconds, and each message fits a datagram.
func TestMany(t *testing.T) {
	p := newPlay(2, 1)
	for i := range 600 {
		p.give(0, fmt.Sprintf("host-%04d-%0200d", i, 0), true)
	}
	for p.now < 60*time.Second && p.at[0].Sum() != p.at[1].Sum() {
		if err := p.step(5 * time.Millisecond); err != nil {
			t.Fatal(err)
		}
	}
	if p.at[0].Sum() != p.at[1].Sum() {
		t.Errorf("%d of %d orders after a minute", len(p.at[1].All()), len(p.at[0].All()))
	}
	slices.SortFunc(p.kept, func(a, b Order) int { return cmp.Compare(a.size(), b.size()) })
	if p.kept[len(p.kept)-1].size() > mostBytes {
		t.Error("an order does not fit")
	}
}
