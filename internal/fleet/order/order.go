// Package order holds what operators have ordered by hand for the whole fleet: which cache hosts are out. Orders on a host are told
// apart by a count and not by a clock; every balancer keeps the greatest, so that all come to the same whatever gets lost, repeated or
// late. It is a state machine without I/O, clock or goroutine; docs/notes/verdicts.md has the rules and the bounds.
package order

import (
	"cmp"
	"encoding/binary"
	"errors"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"

	"streamrail/internal/fleet/member"
)

// Moment is a time on this process's own steady clock.
type Moment = time.Duration

// What an order may meet at its door.
var (
	ErrTooMany = errors.New("with this order more cache hosts would be out than the part that is allowed; force it if that is meant")
	ErrFull    = errors.New("too many orders are held already")
)

// ID names an order on a host.
type ID struct {
	Count uint64 // one more than that of the order that it replaces
	By    member.Life
}

// Order takes a host out, or puts it back.
type Order struct {
	Host string
	ID
	Out   bool
	Force bool   // in force however many are out
	Door  string // the balancer at whose door it was given
	Past  []ID   // the orders on this host before it, the last first
}

const (
	mostPast = 4    // of Past: more orders on one host within a cut are told of as replaced, not as in conflict
	mostHost = 256  // bytes of a host's name
	mostDoor = 64   // bytes of a balancer's
	mostKept = 4096 // orders, as many as hosts may be out at one balancer
	mostTold = 4096 // conflicts, one for each order that may be held
	// A message has orders of so many bytes, which leaves room in a datagram for what else it carries.
	mostBytes = 900
)

// size is what an order takes in a message, at most.
func (o *Order) size() int { return 40 + len(o.Host) + len(o.Door) + 20*len(o.Past) }

// beats tells which of two orders on a host holds, everywhere the same: the greater count, then out before in (a host that is kept out
// in vain costs less than one that is used against an order), then the greater life.
func (o *Order) beats(p *Order) bool {
	if c := cmp.Compare(o.Count, p.Count); c != 0 {
		return c > 0
	}
	if o.Out != p.Out {
		return o.Out
	}
	return o.By > p.By
}

// knew tells that who gave an order knew of another one on the same host; also where that is too long ago to tell.
func (o *Order) knew(p ID) bool {
	return slices.Contains(o.Past, p) || len(o.Past) == mostPast && p.Count < o.Past[mostPast-1].Count
}

func (o *Order) sum() uint64 {
	h := fnv.New64a()
	h.Write([]byte(o.Host))
	var rest [17]byte
	binary.LittleEndian.PutUint64(rest[:], o.Count)
	binary.LittleEndian.PutUint64(rest[8:], uint64(o.By))
	if o.Out {
		rest[16] = 1
	}
	h.Write(rest[:])
	return h.Sum64()
}

// Usable tells that an order that came from elsewhere can be one.
func (o *Order) Usable() bool {
	return o.Host != "" && len(o.Host) <= mostHost && len(o.Door) <= mostDoor && o.Count > 0 && o.Count < 1<<48 && o.By != 0 && len(o.Past) <= mostPast
}

// Terms are fixed for a process.
type Terms struct {
	Self member.Life
	Name string  // of this balancer
	Part float64 // of the hosts that may be out without force
	Kept []Order // from its file
	Seed uint64
}

// Message is what one balancer tells another: what it holds as a sum, and some of it.
type Message struct {
	Sum    uint64
	Answer bool
	Orders []Order
}

// Send is a message for a member.
type Send struct {
	To  member.Life
	Msg Message
}

// Conflict is two orders on a host neither of whose givers knew of the other.
type Conflict struct{ Won, Lost Order }

// peer is what is known of what another balancer holds.
type peer struct {
	life  member.Life
	heard bool
	sum   uint64
	sent  Moment // the last message to it
	from  int    // so many of the latest orders it has been sent since it was found to differ
}

// Machine holds a balancer's orders.
type Machine struct {
	terms     Terms
	chance    *rand.Rand
	orders    []Order  // by host
	latest    []string // their hosts, the last to change first
	sum       uint64
	peers     []peer // the members, by life
	news      []Order
	conflicts []Conflict
	notices   []notice
	sends     []Send
}

// notice is an order that lost, to be told to a door which would never hear of it: what won has reached all before it could.
type notice struct {
	to   member.Life
	lost Order
	left int // so many times more: it may get lost
}

const noticed = 3

// Turn is how often others are told.
const Turn = 200 * time.Millisecond

const (
	// spread others that hold something else are told in a turn: four times as many know after each, 400 after five, in a second.
	spread = 3
	// fromDoor more are told in a turn by who was given an order last: most are there after the first turn.
	fromDoor = 32
	// again is when one that has not answered is told again.
	again = 2 * Turn
	// calm is how often one other, drawn, is asked what it holds when all seem to hold the same.
	calm = 5
)

// New makes a process's machine.
func New(t Terms) *Machine {
	m := &Machine{terms: t, chance: rand.New(rand.NewPCG(t.Seed, uint64(t.Self)))}
	for i := range t.Kept {
		if t.Kept[i].Usable() {
			m.take(t.Kept[i])
		}
	}
	return m
}

func (m *Machine) find(host string) (int, bool) {
	return slices.BinarySearchFunc(m.orders, host, func(o Order, h string) int { return cmp.Compare(o.Host, h) })
}

// take holds an order if it beats what is held.
func (m *Machine) take(o Order) {
	i, held := m.find(o.Host)
	switch {
	case !held && len(m.orders) >= mostKept:
		return
	case !held:
		m.orders = slices.Insert(m.orders, i, o)
	default:
		was := m.orders[i]
		if was.ID == o.ID {
			return
		}
		won, lost := &o, &was
		if !o.beats(&was) {
			won, lost = &was, &o
		}
		if !won.knew(lost.ID) && !lost.knew(won.ID) {
			m.clash(*won, *lost)
		}
		if won != &o {
			return
		}
		m.orders[i] = o
		m.sum ^= was.sum()
	}
	m.sum ^= o.sum()
	m.news = append(m.news, o)
	m.latest = slices.Insert(slices.DeleteFunc(m.latest, func(h string) bool { return h == o.Host }), 0, o.Host)
	for i := range m.peers {
		m.peers[i].from = 0
	}
}

// clash notes a conflict once.
func (m *Machine) clash(won, lost Order) {
	if slices.ContainsFunc(m.conflicts, func(c Conflict) bool { return c.Lost.Host == lost.Host && c.Lost.ID == lost.ID }) {
		return
	}
	if len(m.conflicts) == mostTold {
		m.conflicts = m.conflicts[1:]
	}
	m.conflicts = append(m.conflicts, Conflict{won, lost})
	for _, door := range []member.Life{won.By, lost.By} {
		if door != m.terms.Self && len(m.notices) < 2*mostTold {
			m.notices = append(m.notices, notice{door, lost, noticed})
		}
	}
}

// Give takes an operator's order. hosts is how many cache hosts this balancer knows. One that says what holds already is taken as
// a new one: two doors that say the same are in no conflict, and the last word counts.
func (m *Machine) Give(host string, out, force bool, hosts int) (Order, error) {
	o := Order{Host: host, ID: ID{1, m.terms.Self}, Out: out, Force: force, Door: m.terms.Name}
	i, held := m.find(host)
	if held {
		was := &m.orders[i]
		o.Count = was.Count + 1
		o.Past = append([]ID{was.ID}, was.Past...)
		o.Past = o.Past[:min(len(o.Past), mostPast)]
	} else if len(m.orders) >= mostKept {
		return o, ErrFull
	}
	if n := len(m.unforced()); out && !force && !(held && m.orders[i].Out) && n+1 > m.allowed(hosts) {
		return o, ErrTooMany
	}
	m.take(o)
	for i := range m.peers {
		m.peers[i].sent = -again
	}
	return o, nil
}

// allowed is how many hosts may be out without force.
func (m *Machine) allowed(hosts int) int { return max(1, int(m.terms.Part*float64(hosts))) }

// unforced are the orders that take a host out without force, in the order in which they count.
func (m *Machine) unforced() (some []Order) {
	for _, o := range m.orders {
		if o.Out && !o.Force {
			some = append(some, o)
		}
	}
	slices.SortFunc(some, func(a, b Order) int { return cmp.Or(cmp.Compare(a.By, b.By), cmp.Compare(a.Host, b.Host)) })
	return some
}

// Excluded are the hosts that are out. Where two doors, each without word of the other, have taken out more than is allowed together,
// those beyond it stay in, the same at all that know the same hosts.
func (m *Machine) Excluded(hosts int) (out []string) {
	some := m.unforced()
	for _, o := range some[:min(len(some), m.allowed(hosts))] {
		out = append(out, o.Host)
	}
	for _, o := range m.orders {
		if o.Out && o.Force {
			out = append(out, o.Host)
		}
	}
	slices.Sort(out)
	return out
}

// Hear takes a member's message, and answers it.
func (m *Machine) Hear(now Moment, from member.Life, msg *Message) {
	for _, o := range msg.Orders {
		if o.Usable() {
			m.take(o)
		}
	}
	p := m.peer(from)
	if p == nil {
		return // no member any more, or not yet: it says it again
	}
	p.heard, p.sum = true, msg.Sum
	if p.sum == m.sum {
		p.from = 0
	}
	switch {
	case !msg.Answer:
		m.tell(now, p, true)
	case p.sum != m.sum && p.from < len(m.latest): // it is there, and has not been sent all of it yet
		m.tell(now, p, false)
	}
}

func (m *Machine) peer(l member.Life) *peer {
	if i, ok := slices.BinarySearchFunc(m.peers, l, func(p peer, l member.Life) int { return cmp.Compare(p.life, l) }); ok {
		return &m.peers[i]
	}
	return nil
}

// tell says what is held; where the other holds something else, some of it, the latest first and the next part each time.
func (m *Machine) tell(now Moment, p *peer, answer bool) {
	msg := Message{Sum: m.sum, Answer: answer}
	if p.sum != m.sum {
		if p.from >= len(m.latest) {
			p.from = 0
		}
		for room := mostBytes; p.from < len(m.latest); p.from++ {
			i, _ := m.find(m.latest[p.from])
			if room -= m.orders[i].size(); room < 0 {
				break
			}
			msg.Orders = append(msg.Orders, m.orders[i])
		}
	}
	p.sent = now
	m.sends = append(m.sends, Send{p.life, msg})
}

// Tick tells some of those that hold something else, or of whom that is not known. door: this balancer was given an order lately.
func (m *Machine) Tick(now Moment, members []member.Life, door bool) {
	next := make([]peer, 0, len(members))
	for _, l := range slices.Sorted(slices.Values(members)) {
		if l == m.terms.Self {
			continue
		} else if p := m.peer(l); p != nil {
			next = append(next, *p)
		} else {
			next = append(next, peer{life: l, sent: -again})
		}
	}
	m.peers = next
	if len(next) == 0 {
		return
	}
	m.notices = slices.DeleteFunc(m.notices, func(n notice) bool { return n.left == 0 })
	for i := range m.notices {
		n := &m.notices[i]
		n.left--
		if m.peer(n.to) != nil {
			m.sends = append(m.sends, Send{n.to, Message{Sum: m.sum, Answer: true, Orders: []Order{n.lost}}})
		}
	}
	most := spread
	if door {
		most += fromDoor
	}
	at := m.chance.IntN(len(next))
	for k := range next {
		p := &m.peers[(at+k)%len(next)]
		if differs := !p.heard || p.sum != m.sum; differs && most > 0 && now-p.sent >= again {
			most--
			m.tell(now, p, false)
		}
	}
	if m.chance.IntN(calm) == 0 {
		m.tell(now, &m.peers[at], false)
	}
}

// Out gives what is to be sent since the last time, News what has come to hold; that has to be kept before any of it is sent.
func (m *Machine) Out() (sends []Send) { sends, m.sends = m.sends, nil; return sends }

// News are the orders that have come to hold since the last time.
func (m *Machine) News() (news []Order) { news, m.news = m.news, nil; return news }

// All are the orders held, by host.
func (m *Machine) All() []Order { return slices.Clone(m.orders) }

// Conflicts are the last ones that were seen.
func (m *Machine) Conflicts() []Conflict { return slices.Clone(m.conflicts) }

// Confirmed are the members of whom it is known that they hold all that is held here, and nothing else.
func (m *Machine) Confirmed() (some []member.Life) {
	for _, p := range m.peers {
		if p.heard && p.sum == m.sum {
			some = append(some, p.life)
		}
	}
	return some
}

// Sum is what is held, as one figure.
func (m *Machine) Sum() uint64 { return m.sum }
