// Package upstream holds the connections to cache hosts and to the origin and sends attempts over them, as package pool decides.
// Here and in package pool, a host is a cache host or the origin.
// Each connection has its own goroutine and serves one attempt at a time, so closing it affects no other attempt.
package upstream

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"streamrail/internal/deadline"
	"streamrail/internal/discovery"
	"streamrail/internal/memcache"
	"streamrail/internal/pool"
	"streamrail/policy"
)

// Result is the outcome of an attempt, as far as it is known for certain.
type Result struct {
	Outcome            policy.Outcome
	Load               *policy.LoadReport // load of the host, if its answers report it
	Body               []byte             // the value or the receipt of a write; empty for a value that was streamed
	ClientTransferTime time.Duration      // part of the attempt's time that transferring a long value from or to the client took
	Connection         pool.Conn          // connection that the attempt was written to; 0 if it was not
	Exchange           int                // number of the attempt among those written to the connection, from 1 on
	Err                error              // what was wrong with the connection or the answer, where that is known
}

// Attempt is one sending of a request to a host. It ends exactly once, by a call of Done, which must not block.
type Attempt struct {
	To            policy.HostID
	Command       *memcache.Command
	Value         []byte                    // value of a write
	Upload        *Upload                   // value of a write that is long and still arriving
	Deadline      deadline.Deadline         // deadline of the request: the attempt is neither started nor waited for after it
	LatestStart   deadline.Deadline         // writing does not start after this time
	ReserveMemory func(bytes int) bool      // reserves memory for a value, false if there is not enough; called before reading one
	StreamValue   func(*Value) (whole bool) // streams a long value to the client and reports whether all of it was read; it may block
	ClientGone    func() bool               // reports that the client no longer waits; nil: not known
	Done          func(Result)

	hosts *Hosts
	id    pool.Attempt

	mu      sync.Mutex
	stop    func() // resets the connection that serves the attempt
	givenUp bool   // GiveUp was called
}

// GiveUp abandons the attempt: it is removed from the queue for a connection, or the connection that serves it is reset.
func (a *Attempt) GiveUp() {
	a.mu.Lock()
	a.givenUp = true
	if a.stop != nil {
		a.stop() // under the lock: after the attempt has ended, its connection may serve another one
	}
	hs := a.hosts
	a.mu.Unlock()
	if hs != nil && hs.cancelWaiting(a) {
		a.finish(Result{Outcome: policy.NeverSent}, false)
	}
}

// setStop sets the function that stops the attempt. It returns false if the attempt was given up already.
func (a *Attempt) setStop(stop func()) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stop = stop
	return !a.givenUp
}

// finish reports the outcome. An attempt that was given up can have run only if it was completely written.
func (a *Attempt) finish(r Result, written bool) {
	a.mu.Lock()
	givenUp := a.givenUp
	a.stop = nil
	a.mu.Unlock()
	if givenUp && r.Outcome != policy.Fulfilled && r.Outcome != policy.CacheMiss {
		r.Outcome = policy.NeverSent
		if written {
			r.Outcome = policy.Cancelled
		}
	}
	a.Done(r)
}

// Config configures the connections.
type Config struct {
	Pool                 pool.Config
	OriginMaxConnections int           // maximum connections to the origin
	LoadReports          bool          // answers contain a load report of the host
	ConnectTimeout       time.Duration // timeout for opening a connection
	Grace                time.Duration // how long attempts may still be written to a host after the notice that it drains or is gone
	Now                  policy.Nanos  // current time on the clock of the host start times
}

// Hosts holds all hosts that discovery has listed, and the connections to them.
type Hosts struct {
	config Config
	origin policy.MachineKind
	epoch  time.Time
	Dial   func(ctx context.Context, network, addr string) (net.Conn, error) // may be replaced before the first attempt

	// OnUnattributed is called with data that a host sent for no attempt; it must not block. It may be set before the first attempt.
	OnUnattributed func(Unattributed)

	mu       sync.Mutex
	pool     *pool.Pool
	byID     map[policy.HostID]*host
	conns    map[pool.Conn]*conn
	attempts map[pool.Attempt]*Attempt // attempts that the pool has neither sent nor refused yet
	lastID   pool.Attempt
	done     chan struct{}          // closed by Close
	excluded map[policy.HostID]bool // hosts excluded by an operator

	transfers    int // connections on which a long value is being passed on, from or to a client
	maxTransfers int // limit on transfers

	sent                atomic.Int64 // attempts completely written, including those to the origin
	closed              closeStats
	unattributed        [causeCount]atomic.Int64
	maxWriteAfterNotice time.Duration // longest time from a host's notice to a write that was still allowed; guarded by mu
}

type host struct {
	discovery.Host
	isOrigin bool
	noticeAt time.Time // when the notice came that the host drains, is gone or is excluded; zero: it is in use
	open     int

	transfers int // connections on which a long value is being passed on, from or to the host
}

// New creates an empty set of hosts. Discovery lists the origin with the given kind.
func New(config Config, origin policy.MachineKind) *Hosts {
	hs := &Hosts{config: config, origin: origin, epoch: time.Now(), Dial: (&net.Dialer{}).DialContext, byID: map[policy.HostID]*host{}, conns: map[pool.Conn]*conn{},
		attempts: map[pool.Attempt]*Attempt{}, excluded: map[policy.HostID]bool{}, done: make(chan struct{}), maxTransfers: max(1, config.Pool.MaxConnections/2)}
	hs.pool = pool.New(poolActions{hs}, config.Pool, rand.Float64)
	go hs.tick()
	return hs
}

// now returns the time on the pool's clock.
func (hs *Hosts) now() policy.Nanos { return policy.Nanos(time.Since(hs.epoch)) }

// tick calls the pool's periodic work until Close.
func (hs *Hosts) tick() {
	t := time.NewTicker(time.Duration(pool.TickInterval))
	defer t.Stop()
	for {
		select {
		case <-t.C:
			hs.mu.Lock()
			hs.pool.Tick(hs.now())
			hs.mu.Unlock()
		case <-hs.done:
			return
		}
	}
}

// ApplyList applies the changed hosts of a list from discovery. A host that is missing from a complete list is included as gone.
func (hs *Hosts) ApplyList(l discovery.List) {
	hs.mu.Lock()
	defer hs.mu.Unlock()
	at := l.ReceivedAt
	if at.IsZero() {
		at = time.Now()
	}
	for _, e := range l.Hosts {
		h, moved := hs.byID[e.HostID], false
		if h == nil {
			h = &host{isOrigin: e.Kind == hs.origin}
			hs.byID[e.HostID] = h
		} else {
			moved = h.Addr != e.Addr
		}
		h.Host = e
		hs.applyCondition(h, e.Condition, moved, at)
		hs.removeIfUnused(h)
	}
}

// removeIfUnused removes a host that is gone once it has no connections. Otherwise hosts would pile up, since new ones come under new ids.
func (hs *Hosts) removeIfUnused(h *host) {
	if h.Condition == policy.Gone && h.open == 0 && hs.byID[h.HostID] == h {
		delete(hs.byID, h.HostID)
	}
}

// applyCondition reports a host's condition to the pool. The time at is when this balancer received it.
func (hs *Hosts) applyCondition(h *host, condition policy.Condition, moved bool, at time.Time) {
	h.Condition = condition
	if condition != policy.Up || hs.excluded[h.HostID] {
		if h.noticeAt.IsZero() {
			h.noticeAt = at
		}
		hs.pool.HostLeaving(pool.Host(h.HostID))
		return
	}
	h.noticeAt = time.Time{}
	limit, now := 0, hs.now()
	if h.isOrigin {
		limit = hs.config.OriginMaxConnections
	}
	startedAt := policy.Nanos(0) // start time from the list: a different one means another process
	if h.ListedStart > 0 {
		startedAt = max(1, cmp.Or(h.LocalStart, h.ListedStart)-hs.config.Now)
	}
	hs.pool.HostUp(now, pool.Host(h.HostID), startedAt, moved, limit)
	if h.isOrigin {
		hs.pool.UseOnce(pool.Host(h.HostID))
	}
}

// Exclude takes a host out of use, on an operator's request. It is treated like a draining host, whatever the list says.
func (hs *Hosts) Exclude(id policy.HostID) {
	hs.mu.Lock()
	defer hs.mu.Unlock()
	hs.excluded[id] = true
	if h := hs.byID[id]; h != nil {
		hs.applyCondition(h, h.Condition, false, time.Now())
	}
}

// Include ends an exclusion. The host may have been restarted meanwhile, so no earlier connection is reused.
func (hs *Hosts) Include(id policy.HostID) {
	hs.mu.Lock()
	defer hs.mu.Unlock()
	if !hs.excluded[id] {
		return
	}
	delete(hs.excluded, id)
	if h := hs.byID[id]; h != nil {
		hs.applyCondition(h, h.Condition, true, time.Now())
	}
}

// Grace returns how long after the notice attempts may still be written to a host that drains, is gone or is excluded.
func (hs *Hosts) Grace() time.Duration { return hs.config.Grace }

// Sent returns the number of attempts completely written. It includes those to the origin, which is listed like the cache hosts.
func (hs *Hosts) Sent() int64 { return hs.sent.Load() }

// Send sends an attempt over an idle connection, a new one or one that comes free, or refuses it.
func (hs *Hosts) Send(a *Attempt) {
	hs.mu.Lock()
	defer hs.mu.Unlock()
	hs.send(a)
}

func (hs *Hosts) send(a *Attempt) {
	hs.lastID++
	a.mu.Lock()
	a.hosts, a.id = hs, hs.lastID
	givenUp := a.givenUp
	a.mu.Unlock()
	if givenUp {
		a.finish(Result{Outcome: policy.NeverSent}, false)
		return
	}
	hs.attempts[a.id] = a
	hs.pool.Checkout(hs.now(), pool.Host(a.To), a.id, policy.Nanos(a.LatestStart.Time().Sub(hs.epoch)))
}

// cancelWaiting removes an attempt from the pool's queue. It returns false if the attempt was not waiting.
func (hs *Hosts) cancelWaiting(a *Attempt) bool {
	hs.mu.Lock()
	defer hs.mu.Unlock()
	if !hs.pool.GiveUp(a.id) {
		return false
	}
	delete(hs.attempts, a.id)
	return true
}

// poolActions carries out the decisions of the pool. Its methods are called with Hosts.mu held.
type poolActions struct{ hs *Hosts }

func (o poolActions) Open(to pool.Host, id pool.Conn) {
	h := o.hs.byID[policy.HostID(to)]
	ctx, cancel := context.WithTimeout(context.Background(), o.hs.config.ConnectTimeout)
	c := &conn{id: id, hosts: o.hs, host: h, hostID: h.HostID, addr: h.Addr, cancel: cancel}
	h.open++
	o.hs.conns[id] = c
	go c.run(ctx)
}

func (o poolActions) Send(id pool.Conn, attempt pool.Attempt) {
	c := o.hs.conns[id]
	c.next = o.hs.attempts[attempt]
	delete(o.hs.attempts, attempt)
	if c.idle {
		c.net.SetReadDeadline(pastTime) // interrupts the read in which its goroutine waits
	}
}

func (o poolActions) Close(id pool.Conn, why pool.Reason) {
	c := o.hs.conns[id]
	o.hs.closed[why]++
	c.closing = true
	c.cancel()
	if c.idle {
		c.net.Close() // ends the read in which its goroutine waits
	}
}

func (o poolActions) Refuse(attempt pool.Attempt, why pool.Reason) {
	a := o.hs.attempts[attempt]
	delete(o.hs.attempts, attempt)
	outcome := policy.NeverSent
	if why == pool.ConnectFailed {
		outcome = policy.ConnectFailed
	}
	a.finish(Result{Outcome: outcome}, false)
}

var pastTime = time.Unix(1, 0)

// graceExpired reports whether new attempts may no longer be written to a host.
func (hs *Hosts) graceExpired(h *host) bool {
	hs.mu.Lock()
	defer hs.mu.Unlock()
	if h.noticeAt.IsZero() {
		return false
	}
	since := time.Since(h.noticeAt)
	if since > hs.config.Grace {
		return true
	}
	hs.maxWriteAfterNotice = max(hs.maxWriteAfterNotice, since)
	return false
}

// MaxWriteAfterNotice returns the longest time, since the start of this process, between the notice that a host drains, is gone or is
// excluded and the write of an attempt that was already assigned to a connection. A value close to Grace means that this process runs late.
func (hs *Hosts) MaxWriteAfterNotice() time.Duration {
	hs.mu.Lock()
	defer hs.mu.Unlock()
	return hs.maxWriteAfterNotice
}

// SetMaxConnections changes the maximum number of connections.
func (hs *Hosts) SetMaxConnections(limit int) {
	hs.mu.Lock()
	defer hs.mu.Unlock()
	hs.pool.SetMaxConnections(limit)
}

// SetMaxTransfers changes how many long values may be passed on at a time. Clients that read or write slowly hold their connections for
// long, so the limit has to leave connections to other requests.
func (hs *Hosts) SetMaxTransfers(limit int) {
	hs.mu.Lock()
	defer hs.mu.Unlock()
	hs.maxTransfers = limit
}

// beginTransfer reports whether one more long value may be passed on; if so, endTransfer must follow. The connections to the
// origin have a limit of their own, of which transfers get half.
func (hs *Hosts) beginTransfer(h *host) bool {
	hs.mu.Lock()
	defer hs.mu.Unlock()
	if hs.transfers >= hs.maxTransfers || h.isOrigin && h.transfers >= max(1, hs.config.OriginMaxConnections/2) {
		return false
	}
	hs.transfers++
	h.transfers++
	return true
}

func (hs *Hosts) endTransfer(h *host) {
	hs.mu.Lock()
	defer hs.mu.Unlock()
	hs.transfers--
	h.transfers--
}

// OpeningsNeed returns the largest fraction of a host's connection openings that this balancer asked for in the period that ends now.
func (hs *Hosts) OpeningsNeed(period time.Duration) float64 {
	hs.mu.Lock()
	defer hs.mu.Unlock()
	return hs.pool.OpeningsNeed(hs.now(), policy.Nanos(period))
}

// SetOpeningsShare sets this balancer's fraction of the openings of each host; 0 means an equal share.
func (hs *Hosts) SetOpeningsShare(share float64) {
	hs.mu.Lock()
	defer hs.mu.Unlock()
	hs.pool.SetOpeningsShare(share)
}

// Open returns the number of connections.
func (hs *Hosts) Open() int {
	hs.mu.Lock()
	defer hs.mu.Unlock()
	return len(hs.conns)
}

// TakeLimitHits returns, by host, how often attempts were refused for lack of a connection since the last call.
func (hs *Hosts) TakeLimitHits() map[pool.Host]int {
	hs.mu.Lock()
	defer hs.mu.Unlock()
	return hs.pool.TakeLimitHits()
}

// Close closes all idle connections and refuses all attempts from now on.
func (hs *Hosts) Close() {
	hs.mu.Lock()
	defer hs.mu.Unlock()
	hs.pool.Close()
	close(hs.done)
}
