// Package standin plays the world round a balancer on loopback sockets: cache nodes, the gateway and the register. It
// wraps the models of package model, which decide; here bytes are read and written, times noted and links disturbed.
package standin

import (
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"streamrail/internal/rehearsal/model"
	"streamrail/internal/rehearsal/record"
	"streamrail/internal/rehearsal/scenario"
)

// World is what all stand-ins of one rehearsal share.
type World struct {
	Day   *scenario.Day
	Rec   *record.Record
	base  atomic.Pointer[time.Time] // the day's begin, with its monotonic reading; nil before it
	net   byte                      // second octet of the loopback addresses, so that days side by side keep apart
	ports atomic.Uint32

	Gateway  *Gateway
	Register *Register

	mu     sync.Mutex
	nodes  map[string]*Node
	calls  map[string]Want    // by id
	open   bool               // anybody may ask for anything
	missed map[string][]*Node // by id of the call: nodes that lacked its key
}

// Want is what a client asked for, as far as servers check it.
type Want struct {
	Key     string
	Product int
	Tenant  int
}

// mostMissed bounds the calls whose misses are remembered; the balancer may give a call up after its miss.
const mostMissed = 1 << 16

// NewWorld makes the world of a day without anything in it. The day begins with Begin.
func NewWorld(day *scenario.Day, rec *record.Record) *World {
	return &World{Day: day, Rec: rec, net: byte(100 + os.Getpid()%100), nodes: map[string]*Node{},
		calls: map[string]Want{}, missed: map[string][]*Node{}}
}

// Begin makes this moment the day's begin. Until then no time passes for what is up.
func (w *World) Begin() {
	now := time.Now()
	w.base.Store(&now)
	for _, n := range w.Nodes() {
		n.wake()
	}
	w.Gateway.wake()
}

// Now is the time since the day's begin. It is monotonic: a clock that is stepped moves nothing.
func (w *World) Now() time.Duration {
	if base := w.base.Load(); base != nil {
		return time.Since(*base)
	}
	return 0
}

// Unix is a moment of the day as the machines' clocks tell it, in milliseconds.
func (w *World) Unix(at time.Duration) int64 { return w.base.Load().Add(at).UnixMilli() }

// player wakes a stand-in's model when something in it is due, or when it is told that this has changed.
type player chan struct{}

func newPlayer() player { return make(player, 1) }

func (p player) wake() {
	select {
	case p <- struct{}{}:
	default:
	}
}

// play steps the model, which tells how long to wait for the next step. It goes on for as long as the program: there
// are few stand-ins.
func (p player) play(step func() (wait time.Duration)) {
	t := time.NewTimer(time.Hour)
	for {
		t.Reset(step())
		select {
		case <-t.C:
		case <-p:
		}
	}
}

// Late notes that the kit did something later than was due.
func (w *World) Late(due, now time.Duration) {
	if by := now - due; by > lateLeast && now > 0 {
		w.Rec.Add(func() { w.Rec.Lates = append(w.Rec.Lates, record.Late{At: now, By: by}) })
	}
}

// lateLeast is what a timer of a busy machine misses by without moving any figure.
const lateLeast = 2 * time.Millisecond

// Sent tells the servers what a client asks for under an id.
func (w *World) Sent(id string, want Want) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls[id] = want
}

// Open lets anybody ask for anything, for trying by hand.
func (w *World) Open() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.open = true
}

// expected tells whether a client asked for a key under an id.
func (w *World) expected(id, key string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	x, ok := w.calls[id]
	return w.open || ok && x.Key == key
}

// work draws what a call is at a cache node.
func (w *World) work(id string) time.Duration {
	w.mu.Lock()
	p := w.Day.Products[w.calls[id].Product]
	w.mu.Unlock()
	return model.Work(w.Day.Seed, id, p.Law, p.Work.Duration(), p.Variation)
}

// miss remembers a node that lacked a call's key.
func (w *World) miss(id string, n *Node) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.missed) >= mostMissed {
		clear(w.missed) // those calls were given up long ago, or their values are not kept this once
	}
	w.missed[id] = append(w.missed[id], n)
}

// fill stores a value at the nodes that missed it for a call.
func (w *World) fill(id, key string, version uint64) {
	w.mu.Lock()
	nodes := w.missed[id]
	delete(w.missed, id)
	w.mu.Unlock()
	for _, n := range nodes {
		n.keep(key, version)
	}
}

// void drops the kept copies of a key that are older than a version.
func (w *World) void(key string, version uint64) {
	for _, n := range w.Nodes() {
		n.void(key, version)
	}
}

// Nodes are all nodes that there are or were.
func (w *World) Nodes() []*Node {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := make([]*Node, 0, len(w.nodes))
	for _, n := range w.nodes {
		list = append(list, n)
	}
	return list
}

// Node finds a node by its id; nil where there is none.
func (w *World) Node(id string) *Node {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.nodes[id]
}

// ZoneOf is the place of a balancer's zone.
func (w *World) ZoneOf(balancer int) string {
	return w.Day.Fleet.Zones[balancer%len(w.Day.Fleet.Zones)]
}

// way is how long bytes take from a balancer to a zone.
func (w *World) way(balancer int, zone string) time.Duration {
	if w.ZoneOf(balancer) == zone {
		return w.Day.Fleet.Same.Duration()
	}
	return w.Day.Fleet.Cross.Duration()
}

// Listen opens a listener on a loopback address of its own.
func (w *World) Listen() (*net.TCPListener, error) {
	n := w.ports.Add(1)
	ip := net.IPv4(127, w.net, byte(n/250), byte(1+n%250))
	return listen(&net.TCPAddr{IP: ip})
}

// listen opens an address, which must be a loopback one.
func listen(addr *net.TCPAddr) (*net.TCPListener, error) {
	if !addr.IP.IsLoopback() {
		return nil, fmt.Errorf("%v is no loopback address", addr)
	}
	return net.ListenTCP("tcp", addr)
}

// Value is what the servers make for a read: its key, version and id, padded to the day's size.
func (w *World) Value(key string, version uint64, id string) []byte {
	v := fmt.Appendf(make([]byte, 0, w.Day.Load.ValueSize), "%s v%d %s ", key, version, id)
	for len(v) < w.Day.Load.ValueSize {
		v = append(v, '.')
	}
	return v
}
