// Package evidence tells balancers of one fleet how attempts at hosts ended at the others, and makes of what is heard a word on each
// host for the module to weigh: a few numbers, bounded in age and in what they can do. It is a state machine without I/O, clock or
// goroutine: moments and messages come in, messages go out, chance is a seed's. docs/notes/verdicts.md has what can fail and the bounds.
package evidence

import (
	"cmp"
	"hash/fnv"
	"maps"
	"math"
	"slices"
	"time"

	"streamrail/internal/fleet/member"
	"streamrail/policy"
)

// Moment is a time on this process's own steady clock.
type Moment = time.Duration

// Row is how the attempts of one balancer at one host ended lately.
type Row struct {
	Host      string
	Good, Bad int
}

// Message is all that one balancer has seen lately, as far as it fits: each one stands for itself and replaces those before it, so
// that one that is lost, late or repeated makes nothing count twice.
type Message struct {
	N    uint64 // counts the sender's
	At   Moment // by the sender's clock
	Rows []Row
}

// Send is a message for a member.
type Send struct {
	To  member.Life
	Msg Message
}

// Peer is a member that may be told, or heard.
type Peer struct {
	Life member.Life
	Zone string
}

// Word is what the others say of a host: how many endings of each kind it is worth beside one's own. Both 0: nothing any more.
type Word struct {
	Host      string
	Good, Bad float64
	Witnesses int // who say that it is bad, of those heard
}

// Has tells whether words, in order, are of a host among others.
func Has(words []Word, host string) bool {
	_, has := slices.BinarySearchFunc(words, host, func(w Word, h string) int { return cmp.Compare(w.Host, h) })
	return has
}

// Tell says what holds now after other words did: of each turn's, as a host that was started again is another one to the module.
func Tell(was, now []Word, said func(host string, good, bad float64)) {
	for _, w := range was {
		if !Has(now, w.Host) {
			said(w.Host, 0, 0)
		}
	}
	for _, w := range now {
		said(w.Host, w.Good, w.Bad)
	}
}

// Terms are fixed for a process.
type Terms struct {
	Self member.Life
	Zone string
}

const (
	Turn   = 500 * time.Millisecond
	window = 12 // turns whose endings are told
	// keep is how long a witness counts after its last message: two in a row may be lost.
	keep = 9 * time.Second
	// late is how much later than its quickest one a sender's message may come. One that lay in a socket while this process or the
	// other stood still says what was.
	late = 2 * time.Second
	// drift lets the quickest one age: clocks go apart, and ways grow longer for good.
	drift = 0.1
	// With a turn of a second 80 balancers sent 515 attempts to nodes that fail where alone they sent 724, with half of one 460.
	// partners are told by each balancer, atOnce of them a turn, always the same as long as all live: at hundreds of balancers chance
	// would bring nobody two messages of one sender in time. Sixteen witnesses see a bad host sixteen times as soon.
	partners = 16
	atOnce   = 4
	// Bounds of memory, many times a fleet.
	mostHosts     = 16384
	mostWitnesses = 4096
	mostBytes     = 900 // of rows in a message
	rowBytes      = 8   // of a row beyond the host's name
	MostName      = 256
)

const (
	// leastBad witnesses make a word: no single one can.
	leastBad = 2
	// mostSaid is what all others together weigh, in endings: a dozen good ones of the module's own outweigh them.
	mostSaid = 4
	// mostPart of the hosts may have a word against them at a time, the worst first.
	mostPart = 0.25
	// angry is the part of a witness's endings that are bad from which it has a trouble of its own, and hosts that it must have seen.
	angry, angryHosts = 0.5, 4
)

// Machine is one balancer's evidence.
type Machine struct {
	terms    Terms
	now      Moment
	turn     int
	own      map[string]*own
	heard    map[member.Life]*witness
	zones    map[member.Life]string // of the members present
	partners []member.Life
	cursor   int
	n        uint64
	hosts    int // listed
	sends    []Send
	words    []Word
}

type own struct {
	good, bad [window]int
	turn      int // the last one noted
}

type witness struct {
	n        uint64
	at       Moment // of the last message that counted
	quickest Moment // own clock less the sender's, of its quickest message
	base     Moment // when that was noted
	rows     map[string]Row
	biased   bool
}

// New makes one that knows nothing.
func New(t Terms) *Machine {
	return &Machine{terms: t, own: map[string]*own{}, heard: map[member.Life]*witness{}, zones: map[member.Life]string{}}
}

// Proves tells what the end of an attempt says of its host, if it says anything: an answer within the latency SLO is good, none by then is
// bad, and so is a failure. One that was turned away, never sent or called back early says nothing.
func Proves(o policy.Outcome, took, slo policy.Nanos) (good, proves bool) {
	switch o {
	case policy.Fulfilled, policy.Missed:
		return took <= slo, true
	case policy.Errored, policy.TimedOut, policy.ConnectFailed, policy.Reset, policy.Spoilt:
		return false, true
	case policy.Cancelled:
		return false, took >= slo
	}
	return false, false
}

// Ended notes how an attempt of this balancer's own ended.
func (m *Machine) Ended(now Moment, host string, good bool) {
	m.to(now)
	o := m.own[host]
	if o == nil {
		if len(m.own) >= mostHosts || len(host) > MostName || host == "" {
			return
		}
		o = &own{turn: m.turn}
		m.own[host] = o
	}
	o.to(m.turn)
	if good {
		o.good[m.turn%window]++
	} else {
		o.bad[m.turn%window]++
	}
}

func (m *Machine) to(now Moment) {
	m.now = now
	m.turn = int(now / Turn)
}

// to forgets what has left the window.
func (o *own) to(turn int) {
	for k := o.turn + 1; k <= min(turn, o.turn+window); k++ {
		o.good[k%window], o.bad[k%window] = 0, 0
	}
	o.turn = turn
}

func (o *own) sum() (good, bad int) {
	for i := range window {
		good, bad = good+o.good[i], bad+o.bad[i]
	}
	return good, bad
}

// Tick is called once a turn with the members present and the number of hosts listed.
func (m *Machine) Tick(now Moment, members []Peer, hosts int) {
	m.to(now)
	m.hosts = hosts
	clear(m.zones)
	for _, p := range members {
		m.zones[p.Life] = p.Zone
	}
	maps.DeleteFunc(m.heard, func(l member.Life, w *witness) bool {
		_, present := m.zones[l]
		return !present || now-w.at > 10*keep
	})
	rows := m.rows()
	m.choose(members)
	for range min(atOnce, len(m.partners)) {
		m.cursor = (m.cursor + 1) % len(m.partners)
		m.n++
		m.sends = append(m.sends, Send{m.partners[m.cursor], Message{N: m.n, At: now, Rows: rows}})
	}
	m.judge()
}

// choose draws partners by the two lives alone, so that they stay the same.
func (m *Machine) choose(members []Peer) {
	type ranked struct {
		life member.Life
		rank uint64
	}
	all := make([]ranked, 0, len(members))
	for _, p := range members {
		if p.Life != m.terms.Self {
			all = append(all, ranked{p.Life, mix(uint64(m.terms.Self) ^ mix(uint64(p.Life)))})
		}
	}
	slices.SortFunc(all, func(a, b ranked) int { return cmp.Compare(a.rank, b.rank) })
	before := m.partners
	m.partners = nil
	for _, r := range all[:min(partners, len(all))] {
		m.partners = append(m.partners, r.life)
	}
	if i := slices.IndexFunc(m.partners, func(l member.Life) bool { return !slices.Contains(before, l) }); i >= 0 {
		m.cursor = i + len(m.partners) - 1 // a newcomer knows nothing yet: it is told next
	}
}

func mix(x uint64) uint64 {
	f := fnv.New64a()
	var b [8]byte
	for i := range b {
		b[i] = byte(x >> (8 * i))
	}
	f.Write(b[:])
	return f.Sum64()
}

// rows are those of this balancer, the most useful first, as many as a message holds: hosts that are bad here or that others call bad, then
// those seen most often.
func (m *Machine) rows() []Row {
	var rows []Row
	for host, o := range m.own {
		o.to(m.turn)
		good, bad := o.sum()
		if good+bad == 0 {
			delete(m.own, host)
			continue
		}
		rows = append(rows, Row{host, good, bad})
	}
	useful := func(r Row) int {
		if Has(m.words, r.Host) || r.Bad > 0 {
			return 1
		}
		return 0
	}
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(useful(b), useful(a)), cmp.Compare(b.Bad, a.Bad), cmp.Compare(b.Good, a.Good), cmp.Compare(a.Host, b.Host))
	})
	room := mostBytes
	for i, r := range rows {
		if room -= len(r.Host) + rowBytes; room < 0 {
			return rows[:i]
		}
	}
	return rows
}

// Hear takes a member's message.
func (m *Machine) Hear(now Moment, from member.Life, msg *Message) {
	m.to(now)
	if _, present := m.zones[from]; !present && len(m.zones) > 0 || from == m.terms.Self {
		return
	}
	w, took := m.heard[from], now-msg.At
	if w == nil {
		if len(m.heard) >= mostWitnesses {
			return
		}
		w = &witness{quickest: took, base: now}
		m.heard[from] = w
	}
	if msg.N <= w.n {
		return
	}
	usual := w.quickest + Moment(drift*float64(now-w.base))
	if took-usual > late {
		return
	}
	if took < usual {
		w.quickest, w.base = took, now
	}
	w.n, w.at, w.rows = msg.N, now, make(map[string]Row, len(msg.Rows))
	good, bad := 0, 0
	for _, r := range msg.Rows {
		if r.Good >= 0 && r.Bad >= 0 && r.Good+r.Bad > 0 {
			w.rows[r.Host] = r
			good, bad = good+min(r.Good, 1), bad+min(r.Bad, 1)
		}
	}
	w.biased = len(w.rows) >= angryHosts && float64(bad) > angry*float64(good+bad)
}

// judge makes the words of what counts now.
func (m *Machine) judge() {
	type votes struct{ good, bad float64 }
	own, others, says := map[string]votes{}, map[string]map[string]votes{}, map[string]int{}
	for l, w := range m.heard {
		zone, present := m.zones[l]
		if !present || w.biased || m.now-w.at > keep {
			continue
		}
		for host, r := range w.rows {
			part := float64(r.Bad) / float64(r.Good+r.Bad)
			if part > 0.5 {
				says[host]++
			}
			if zone == m.terms.Zone {
				v := own[host]
				own[host] = votes{v.good + 1 - part, v.bad + part}
				continue
			}
			if others[host] == nil {
				others[host] = map[string]votes{}
			}
			v := others[host][zone]
			others[host][zone] = votes{v.good + 1 - part, v.bad + part}
		}
	}
	words := []Word{}
	for host := range says {
		v := own[host]
		for _, z := range others[host] { // what another zone sees may be its ways': together it counts as one
			k := 1 / max(1, z.good+z.bad)
			v.good, v.bad = v.good+z.good*k, v.bad+z.bad*k
		}
		if v.bad >= leastBad && v.bad > v.good {
			k := min(1, mostSaid/(v.good+v.bad))
			words = append(words, Word{host, v.good * k, v.bad * k, says[host]})
		}
	}
	slices.SortFunc(words, func(a, b Word) int {
		return cmp.Or(cmp.Compare(b.Bad/(b.Good+b.Bad), a.Bad/(a.Good+a.Bad)), cmp.Compare(b.Witnesses, a.Witnesses), cmp.Compare(a.Host, b.Host))
	})
	words = words[:min(len(words), int(math.Floor(mostPart*float64(m.hosts))))]
	slices.SortFunc(words, func(a, b Word) int { return cmp.Compare(a.Host, b.Host) })
	m.words = words
}

// Words are what the others say now, by host, in order.
func (m *Machine) Words() []Word { return slices.Clone(m.words) }

// Heard is how many witnesses count now.
func (m *Machine) Heard() (n int) {
	for _, w := range m.heard {
		if m.now-w.at <= keep && !w.biased {
			n++
		}
	}
	return n
}

// Out are the messages to send.
func (m *Machine) Out() []Send {
	s := m.sends
	m.sends = nil
	return s
}
