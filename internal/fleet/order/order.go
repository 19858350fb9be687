// Package order replicates operators' fleet-wide exclusion orders: which cache hosts are excluded at every balancer. Orders on the
// same host are ranked by a counter and not by a clock. Every balancer keeps the highest-ranked order, so all balancers converge even
// when messages are lost, repeated or delayed. The package is a state machine without I/O, clock or goroutines;
// docs/notes/verdicts.md describes the rules and their bounds.
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

// Moment is a time on this process's own monotonic clock.
type Moment = time.Duration

// Errors that Submit returns when it rejects an order.
var (
	ErrTooManyExcluded = errors.New("with this order more cache hosts would be out than the part that is allowed; force it if that is meant")
	ErrTooManyOrders   = errors.New("too many orders are held already")
)

// ID identifies an order among those on the same host.
type ID struct {
	Count uint64           // one more than that of the order it replaces
	By    member.ProcessID // the process that took the order from the operator
}

// Order excludes a host from use, or includes it again.
type Order struct {
	Host string
	ID
	Out   bool   // true: excluded
	Force bool   // takes effect however many hosts are excluded
	Door  string // name of the balancer whose admin API took the order
	Past  []ID   // earlier orders on this host, newest first, at most maxPast
	// ListedHosts is how many cache hosts were listed when the order was taken; 0 if the order comes from a version that did not
	// record it.
	ListedHosts int
}

const (
	// maxPast limits Order.Past. If more orders than this are given on one host during a network partition, older ones that conflict
	// with them are treated as replaced and not reported as conflicts.
	maxPast              = 4
	maxHostBytes         = 256  // length of a host's name
	maxBalancerNameBytes = 64   // length of a balancer's name
	maxOrders            = 4096 // as many as hosts may be excluded at one balancer
	maxConflicts         = 4096 // one for each order that may be held
	maxListedHosts       = 1 << 20
	// maxMessageBytes limits the orders in one message, so that the datagram has room for its other contents.
	maxMessageBytes = 900
)

// size is the maximum number of bytes that an order takes in a message.
func (o *Order) size() int { return 45 + len(o.Host) + len(o.Door) + 20*len(o.Past) }

// supersedes reports whether o takes precedence over other, an order on the same host. Every balancer decides alike: the higher count
// wins, then exclusion wins over inclusion (needlessly excluding a host costs less than using one against an order), then the higher
// process id.
func (o *Order) supersedes(other *Order) bool {
	if c := cmp.Compare(o.Count, other.Count); c != 0 {
		return c > 0
	}
	if o.Out != other.Out {
		return o.Out
	}
	return o.By > other.By
}

// knewOf reports whether the process that took the order knew of another order on the same host. It also returns true if the other
// order is too old to be listed in Past.
func (o *Order) knewOf(other ID) bool {
	return slices.Contains(o.Past, other) || len(o.Past) == maxPast && other.Count < o.Past[maxPast-1].Count
}

// digest hashes the host, the ID and the direction of the order; Machine.digest combines them by XOR.
func (o *Order) digest() uint64 {
	h := fnv.New64a()
	h.Write([]byte(o.Host))
	var buf [17]byte
	binary.LittleEndian.PutUint64(buf[:], o.Count)
	binary.LittleEndian.PutUint64(buf[8:], uint64(o.By))
	if o.Out {
		buf[16] = 1
	}
	h.Write(buf[:])
	return h.Sum64()
}

// IsValid reports whether an order from a file or another balancer has valid field values.
func (o *Order) IsValid() bool {
	return o.Host != "" && len(o.Host) <= maxHostBytes && len(o.Door) <= maxBalancerNameBytes && o.Count > 0 && o.Count < 1<<48 && o.By != 0 && len(o.Past) <= maxPast &&
		o.ListedHosts >= 0 && o.ListedHosts <= maxListedHosts
}

// Config is the configuration of a Machine; it does not change during the life of a process.
type Config struct {
	Self                member.ProcessID
	Name                string  // of this balancer
	MaxExcludedFraction float64 // fraction of the hosts that may be excluded without force
	StoredOrders        []Order // orders read from this balancer's file
	Seed                uint64  // of the random choice of peers
}

// Message is what one balancer sends another: a digest of all orders it holds, and some of these orders.
type Message struct {
	Digest  uint64 // digest of all orders that the sender holds
	IsReply bool   // true for replies and notices: the receiver replies only if the digests differ and it has orders left to send
	Orders  []Order
}

// Outgoing is a message and the member it goes to.
type Outgoing struct {
	To  member.ProcessID
	Msg Message
}

// Conflict is a pair of orders on one host that were given without knowledge of each other.
type Conflict struct{ Won, Lost Order }

// peer is what another balancer has reported of the orders it holds, and what it has been sent.
type peer struct {
	id         member.ProcessID
	reported   bool // it has sent a message, so digest is valid
	digest     uint64
	lastSent   Moment // when the last message was sent to it
	sentOrders int    // how many of the most recent orders it has been sent since its digest was found to differ
}

// Machine holds a balancer's orders.
type Machine struct {
	config      Config
	rng         *rand.Rand
	orders      []Order  // sorted by host
	recentHosts []string // hosts of all orders, most recently changed first
	digest      uint64   // XOR of the digests of all orders
	peers       []peer   // the other members, sorted by id
	changes     []Order  // orders adopted since the last call of TakeChanges
	conflicts   []Conflict
	notices     []lossNotice
	sends       []Outgoing
}

// lossNotice is an order that lost a conflict, to be sent to one of the two balancers that took the conflicting orders. Without the
// notice that balancer might never detect the conflict, because the winning order reaches all others before the losing one can
// reach it.
type lossNotice struct {
	to        member.ProcessID
	lost      Order
	remaining int // how many more times to send it
}

// noticeRepeats is how often a lossNotice is sent, because datagrams may be lost.
const noticeRepeats = 3

// TickInterval is the interval at which Tick is to be called.
const TickInterval = 200 * time.Millisecond

const (
	// peersPerTick is how many peers with a different or unknown digest get a message per tick. The number of balancers that have an
	// order thus grows fourfold each tick: an order reaches 400 balancers in five ticks, one second.
	peersPerTick = 3
	// extraPeersPerTick is added to peersPerTick at a balancer that has just taken an order from an operator, so that most of the
	// fleet gets it in the first tick.
	extraPeersPerTick = 32
	// resendAfter is the time until a peer that has not answered is sent another message.
	resendAfter = 2 * TickInterval
	// ticksPerIdleSync is the mean number of ticks between messages to a randomly chosen peer that are sent even if no difference is
	// known, so that an unnoticed difference is found.
	ticksPerIdleSync = 5
)

// New returns a Machine that holds the valid orders of Config.StoredOrders.
func New(config Config) *Machine {
	m := &Machine{config: config, rng: rand.New(rand.NewPCG(config.Seed, uint64(config.Self)))}
	for i := range config.StoredOrders {
		if config.StoredOrders[i].IsValid() {
			m.apply(config.StoredOrders[i])
		}
	}
	return m
}

// find returns the position of a host's order in m.orders, or where it would be inserted, and whether there is one.
func (m *Machine) find(host string) (int, bool) {
	return slices.BinarySearchFunc(m.orders, host, func(o Order, h string) int { return cmp.Compare(o.Host, h) })
}

// apply adopts an order if it supersedes the order held on the same host, and records a conflict if there is one.
func (m *Machine) apply(o Order) {
	i, held := m.find(o.Host)
	switch {
	case !held && len(m.orders) >= maxOrders:
		return
	case !held:
		m.orders = slices.Insert(m.orders, i, o)
	default:
		current := m.orders[i]
		if current.ID == o.ID {
			return
		}
		won, lost := &o, &current
		if !o.supersedes(&current) {
			won, lost = &current, &o
		}
		if !won.knewOf(lost.ID) && !lost.knewOf(won.ID) {
			m.recordConflict(*won, *lost)
		}
		if won != &o {
			return
		}
		m.orders[i] = o
		m.digest ^= current.digest()
	}
	m.digest ^= o.digest()
	m.changes = append(m.changes, o)
	m.recentHosts = slices.Insert(slices.DeleteFunc(m.recentHosts, func(h string) bool { return h == o.Host }), 0, o.Host)
	for i := range m.peers {
		m.peers[i].sentOrders = 0
	}
}

// recordConflict records a conflict, once per losing order, and schedules notices to the other balancers that took the two orders.
func (m *Machine) recordConflict(won, lost Order) {
	if slices.ContainsFunc(m.conflicts, func(c Conflict) bool { return c.Lost.Host == lost.Host && c.Lost.ID == lost.ID }) {
		return
	}
	if len(m.conflicts) == maxConflicts {
		m.conflicts = m.conflicts[1:]
	}
	m.conflicts = append(m.conflicts, Conflict{won, lost})
	for _, taker := range []member.ProcessID{won.By, lost.By} {
		if taker != m.config.Self && len(m.notices) < 2*maxConflicts {
			m.notices = append(m.notices, lossNotice{taker, lost, noticeRepeats})
		}
	}
}

// Submit takes an operator's order; hosts is the number of cache hosts in this balancer's host list. An order that repeats the current
// state still counts as a new one: giving the same order at two balancers is no conflict, and the most recent order takes precedence.
// What has been forced stays forced until the host is included.
func (m *Machine) Submit(host string, exclude, force bool, hosts int) (Order, error) {
	o := Order{Host: host, ID: ID{1, m.config.Self}, Out: exclude, Force: force, Door: m.config.Name, ListedHosts: min(hosts, maxListedHosts)}
	repeats := false
	i, held := m.find(host)
	if held {
		current := &m.orders[i]
		o.Count = current.Count + 1
		o.Past = append([]ID{current.ID}, current.Past...)
		o.Past = o.Past[:min(len(o.Past), maxPast)]
		if repeats = exclude && current.Out; repeats {
			o.Force = force || current.Force
			o.ListedHosts = max(o.ListedHosts, current.ListedHosts)
		}
	} else if len(m.orders) >= maxOrders {
		return o, ErrTooManyOrders
	}
	if exclude && !o.Force && !m.allowsUnforced(repeats, hosts) {
		return o, ErrTooManyExcluded
	}
	m.apply(o)
	for i := range m.peers {
		m.peers[i].lastSent = -resendAfter
	}
	return o, nil
}

// allowsUnforced reports whether one more host may be excluded without force. Repeating an order does not add a host, but while some
// orders wait it could give the host another rank among them, so that it takes the place of one that is excluded.
func (m *Machine) allowsUnforced(repeats bool, hosts int) bool {
	standing := m.unforced()
	if repeats {
		return len(standing) <= m.maxInForce(standing, hosts)
	}
	return len(standing)+1 <= m.maxUnforced(hosts)
}

// maxInForce is how many of the standing orders without force are in force. It counts the hosts that were listed when the orders were
// taken and not those that are listed now, so that no change of the list ends an exclusion: whatever one balancer, or several that
// knew of each other's orders, accepted stays in force.
func (m *Machine) maxInForce(standing []Order, listedNow int) int {
	hosts := 0
	for i := range standing {
		if standing[i].ListedHosts == 0 && listedNow == 0 { // before the first list, nothing says that they are too many
			return len(standing)
		}
		if standing[i].ListedHosts == 0 {
			hosts = max(hosts, listedNow)
		}
		hosts = max(hosts, standing[i].ListedHosts)
	}
	return m.maxUnforced(hosts)
}

// maxUnforced is how many hosts may be excluded without force if so many are listed.
func (m *Machine) maxUnforced(hosts int) int {
	return max(1, int(m.config.MaxExcludedFraction*float64(hosts)))
}

// unforced returns the orders that exclude a host without force, in the order in which they count towards maxUnforced.
func (m *Machine) unforced() (orders []Order) {
	for _, o := range m.orders {
		if o.Out && !o.Force {
			orders = append(orders, o)
		}
	}
	slices.SortFunc(orders, func(a, b Order) int { return cmp.Or(cmp.Compare(a.By, b.By), cmp.Compare(a.Host, b.Host)) })
	return orders
}

// Excluded returns the hosts that are excluded, sorted. Two balancers that do not know of each other's orders may together exceed the
// allowed number; the hosts beyond it are not excluded, and all balancers leave out the same ones. The number of hosts listed now counts
// only with orders that lack Order.ListedHosts.
func (m *Machine) Excluded(hosts int) (excluded []string) {
	unforced := m.unforced()
	for _, o := range unforced[:min(len(unforced), m.maxInForce(unforced, hosts))] {
		excluded = append(excluded, o.Host)
	}
	for _, o := range m.orders {
		if o.Out && o.Force {
			excluded = append(excluded, o.Host)
		}
	}
	slices.Sort(excluded)
	return excluded
}

// Receive processes a member's message and queues a reply where one is needed.
func (m *Machine) Receive(now Moment, from member.ProcessID, msg *Message) {
	for _, o := range msg.Orders {
		if o.IsValid() {
			m.apply(o)
		}
	}
	p := m.peer(from)
	if p == nil {
		return // no longer a member, or not yet one: a member sends again
	}
	p.reported, p.digest = true, msg.Digest
	if p.digest == m.digest {
		p.sentOrders = 0
	}
	switch {
	case !msg.IsReply:
		m.sendTo(now, p, true)
	case p.digest != m.digest && p.sentOrders < len(m.recentHosts): // the peer responds, and has not been sent all orders yet
		m.sendTo(now, p, false)
	}
}

// peer returns the state of a member, or nil.
func (m *Machine) peer(id member.ProcessID) *peer {
	if i, ok := slices.BinarySearchFunc(m.peers, id, func(p peer, id member.ProcessID) int { return cmp.Compare(p.id, id) }); ok {
		return &m.peers[i]
	}
	return nil
}

// sendTo queues a message with this balancer's digest. If the peer's digest differs, the message also contains as many orders as fit,
// the most recent first; successive messages continue through the list.
func (m *Machine) sendTo(now Moment, p *peer, isReply bool) {
	msg := Message{Digest: m.digest, IsReply: isReply}
	if p.digest != m.digest {
		if p.sentOrders >= len(m.recentHosts) {
			p.sentOrders = 0
		}
		for remaining := maxMessageBytes; p.sentOrders < len(m.recentHosts); p.sentOrders++ {
			i, _ := m.find(m.recentHosts[p.sentOrders])
			if remaining -= m.orders[i].size(); remaining < 0 {
				break
			}
			msg.Orders = append(msg.Orders, m.orders[i])
		}
	}
	p.lastSent = now
	m.sends = append(m.sends, Outgoing{p.id, msg})
}

// Tick takes the present members and queues messages to some of those whose digest differs or is unknown. recentOrder means that this
// balancer has recently taken an order from an operator, and makes it contact more of them.
func (m *Machine) Tick(now Moment, members []member.ProcessID, recentOrder bool) {
	peers := make([]peer, 0, len(members))
	for _, id := range slices.Sorted(slices.Values(members)) {
		if id == m.config.Self {
			continue
		} else if p := m.peer(id); p != nil {
			peers = append(peers, *p)
		} else {
			peers = append(peers, peer{id: id, lastSent: -resendAfter})
		}
	}
	m.peers = peers
	if len(peers) == 0 {
		return
	}
	m.notices = slices.DeleteFunc(m.notices, func(n lossNotice) bool { return n.remaining == 0 })
	for i := range m.notices {
		n := &m.notices[i]
		n.remaining--
		if m.peer(n.to) != nil {
			m.sends = append(m.sends, Outgoing{n.to, Message{Digest: m.digest, IsReply: true, Orders: []Order{n.lost}}})
		}
	}
	remaining := peersPerTick
	if recentOrder {
		remaining += extraPeersPerTick
	}
	start := m.rng.IntN(len(peers))
	for k := range peers {
		p := &m.peers[(start+k)%len(peers)]
		if differs := !p.reported || p.digest != m.digest; differs && remaining > 0 && now-p.lastSent >= resendAfter {
			remaining--
			m.sendTo(now, p, false)
		}
	}
	if m.rng.IntN(ticksPerIdleSync) == 0 {
		m.sendTo(now, &m.peers[start], false)
	}
}

// TakeOutput returns the messages queued since the last call. The orders that TakeChanges returns must be stored before any of these
// messages is sent.
func (m *Machine) TakeOutput() (sends []Outgoing) { sends, m.sends = m.sends, nil; return sends }

// TakeChanges returns the orders adopted since the last call.
func (m *Machine) TakeChanges() (changes []Order) {
	changes, m.changes = m.changes, nil
	return changes
}

// All returns the orders held, sorted by host.
func (m *Machine) All() []Order { return slices.Clone(m.orders) }

// Conflicts returns the most recent conflicts, at most maxConflicts.
func (m *Machine) Conflicts() []Conflict { return slices.Clone(m.conflicts) }

// Confirmed returns the members whose last reported digest equals this balancer's: they hold exactly the same orders.
func (m *Machine) Confirmed() (confirmed []member.ProcessID) {
	for _, p := range m.peers {
		if p.reported && p.digest == m.digest {
			confirmed = append(confirmed, p.id)
		}
	}
	return confirmed
}

// Digest returns a digest of all orders held.
func (m *Machine) Digest() uint64 { return m.digest }
