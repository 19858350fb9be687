// Package standin provides stand-ins on loopback sockets for the systems around a balancer: cache hosts, the origin,
// discovery and the network between balancers. Package model decides how they behave; this package reads and writes the
// bytes, records times and injects faults into links.
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

// Environment holds what all stand-ins of one rehearsal share.
type Environment struct {
	Scenario  *scenario.Scenario
	Record    *record.Record
	begin     atomic.Pointer[time.Time] // start of the rehearsal, with its monotonic clock reading; nil before
	subnet    byte                      // second octet of the loopback addresses, to separate concurrent rehearsals
	listeners atomic.Uint32

	Origin    *Origin
	Discovery *Discovery

	mu        sync.Mutex
	hosts     map[string]*Host
	requests  map[string]ExpectedRequest // by request id
	acceptAll bool                       // accept requests that no simulated client sent
	misses    map[string][]*Host         // by request id: cache hosts that lacked its key
}

// ExpectedRequest is what a client requested, as far as the servers check it.
type ExpectedRequest struct {
	Key     string
	Product int
	Tenant  int
}

// maxMisses limits the requests whose misses are remembered, as a balancer may give up after a miss and never fetch the
// value.
const maxMisses = 1 << 16

// NewEnvironment returns an Environment without any stand-ins. The rehearsal's clock starts with Begin.
func NewEnvironment(sc *scenario.Scenario, rec *record.Record) *Environment {
	return &Environment{Scenario: sc, Record: rec, subnet: byte(100 + os.Getpid()%100), hosts: map[string]*Host{},
		requests: map[string]ExpectedRequest{}, misses: map[string][]*Host{}}
}

// Begin starts the rehearsal's clock. Until then no time passes for the stand-ins.
func (w *Environment) Begin() {
	now := time.Now()
	w.begin.Store(&now)
	for _, n := range w.Hosts() {
		n.wake()
	}
	w.Origin.wake()
}

// Now returns the time since Begin. It is monotonic, so changes of the system clock have no effect.
func (w *Environment) Now() time.Duration {
	if begin := w.begin.Load(); begin != nil {
		return time.Since(*begin)
	}
	return 0
}

// UnixMilli converts a time since Begin to Unix time in milliseconds.
func (w *Environment) UnixMilli(at time.Duration) int64 { return w.begin.Load().Add(at).UnixMilli() }

// modelRunner advances a stand-in's model when its next event is due, and earlier when wake is called.
type modelRunner chan struct{}

func newModelRunner() modelRunner { return make(modelRunner, 1) }

// wake makes run call its step function now, as the time of the model's next event may have changed.
func (p modelRunner) wake() {
	select {
	case p <- struct{}{}:
	default:
	}
}

// run calls step again and again, each time after the wait that the previous call returned. It never returns, which is
// acceptable as there are few stand-ins.
func (p modelRunner) run(step func() (wait time.Duration)) {
	t := time.NewTimer(time.Hour)
	for {
		t.Reset(step())
		select {
		case <-t.C:
		case <-p:
		}
	}
}

// RecordLateness records that a stand-in or client acted later than planned.
func (w *Environment) RecordLateness(due, now time.Duration) {
	if by := now - due; by > minLateness && now > 0 {
		w.Record.Add(func() { w.Record.Latenesses = append(w.Record.Latenesses, record.Lateness{At: now, By: by}) })
	}
}

// minLateness is the smallest delay that is recorded; shorter timer delays of a busy machine do not affect the results.
const minLateness = 2 * time.Millisecond

// ExpectRequest registers what a client requests under an id, for the servers to check.
func (w *Environment) ExpectRequest(id string, want ExpectedRequest) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requests[id] = want
}

// AcceptAll makes the servers accept any request, for manual use.
func (w *Environment) AcceptAll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.acceptAll = true
}

// expected reports whether a client requested the key under the id.
func (w *Environment) expected(id, key string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	want, ok := w.requests[id]
	return w.acceptAll || ok && want.Key == key
}

// drawWork draws the work that a request causes at a cache host.
func (w *Environment) drawWork(id string) time.Duration {
	w.mu.Lock()
	p := w.Scenario.Products[w.requests[id].Product]
	w.mu.Unlock()
	return model.RequestWork(w.Scenario.Seed, id, p.Distribution, p.Work.Duration(), p.Variation)
}

// recordMiss remembers that a cache host lacked a request's key.
func (w *Environment) recordMiss(id string, n *Host) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.misses) >= maxMisses {
		clear(w.misses) // most of these requests were given up long ago; values of the others are merely not cached
	}
	w.misses[id] = append(w.misses[id], n)
}

// storeMissed stores a value at the cache hosts that lacked it for a request.
func (w *Environment) storeMissed(id, key string, version uint64) {
	w.mu.Lock()
	hosts := w.misses[id]
	delete(w.misses, id)
	w.mu.Unlock()
	for _, n := range hosts {
		n.store(key, version)
	}
}

// invalidate drops the cached copies of a key that are older than the given version.
func (w *Environment) invalidate(key string, version uint64) {
	for _, n := range w.Hosts() {
		n.invalidate(key, version)
	}
}

// Hosts returns all cache hosts, including those that have ended.
func (w *Environment) Hosts() []*Host {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := make([]*Host, 0, len(w.hosts))
	for _, n := range w.hosts {
		list = append(list, n)
	}
	return list
}

// Host returns the cache host with the given id, or nil.
func (w *Environment) Host(id string) *Host {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.hosts[id]
}

// ZoneOf returns the zone of a balancer.
func (w *Environment) ZoneOf(balancer int) string {
	return w.Scenario.Fleet.Zones[balancer%len(w.Scenario.Fleet.Zones)]
}

// linkDelay returns the usual one-way delay from a balancer to a zone.
func (w *Environment) linkDelay(balancer int, zone string) time.Duration {
	if w.ZoneOf(balancer) == zone {
		return w.Scenario.Fleet.SameZoneDelay.Duration()
	}
	return w.Scenario.Fleet.CrossZoneDelay.Duration()
}

// Listen opens a listener on an otherwise unused loopback address.
func (w *Environment) Listen() (*net.TCPListener, error) {
	n := w.listeners.Add(1)
	ip := net.IPv4(127, w.subnet, byte(n/250), byte(1+n%250))
	return listen(&net.TCPAddr{IP: ip})
}

// listen opens a listener on an address, which must be a loopback address.
func listen(addr *net.TCPAddr) (*net.TCPListener, error) {
	if !addr.IP.IsLoopback() {
		return nil, fmt.Errorf("%v is no loopback address", addr)
	}
	return net.ListenTCP("tcp", addr)
}

// Value returns the answer to a read: its key, version and id, padded to the scenario's value size.
func (w *Environment) Value(key string, version uint64, id string) []byte {
	v := fmt.Appendf(make([]byte, 0, w.Scenario.Load.ValueSize), "%s v%d %s ", key, version, id)
	for len(v) < w.Scenario.Load.ValueSize {
		v = append(v, '.')
	}
	return v
}
