package balancer

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"streamrail/internal/deployment"
	"streamrail/internal/discovery"
	"streamrail/internal/handover"
	"streamrail/policy"
)

// restore takes the list as this balancer had it before its start: as an older process has it now, or as it was told.
func (b *Balancer) restore(from *handover.State) {
	var l discovery.List
	known := b.told.Known
	if from != nil {
		known = from.List
	}
	if len(known) > 0 && string(known) != "null" {
		var err error
		if l, err = b.names().Parse(known); err != nil {
			b.log.Warn().Err(err).Str("key", "known").Msg("the list last known is not readable, left out")
			l = discovery.List{}
		}
	}
	b.source.keep(l)
	b.listed(policy.ListRestored, l)
	if len(l.Hosts) == 0 {
		return
	}
	if b.told.Terms.MustSubscribe { // each call loads discovery: only what changed since is asked for
		b.source.known = &l.Generation
	}
	if from != nil || b.told.Terms.MustSubscribe { // it is the present one, or the module asks when it sees fit
		b.source.once.Do(func() { close(b.source.first) })
	}
}

var conditionNames = [...]string{"up", "draining", "gone"}

func (b *Balancer) listed(kind policy.ListKind, l discovery.List) {
	began := time.Now()
	b.decide(func() { b.starts.place(l, b.now, kind != policy.ListUpdate) })
	entries := make([]policy.Entry, 0, len(l.Hosts))
	for _, h := range l.Hosts {
		entries = append(entries, h.Entry)
		if h.Condition != policy.Up {
			b.log.Info().Str("host", string(h.Cache)).Str("condition", conditionNames[h.Condition]).Msg("host")
		}
	}
	if len(l.Hosts) > 0 || kind != policy.ListRestored {
		b.knows.Store(true)
	}
	b.hosts.Listed(l) // first, so that a host which the module knows can be sent to
	b.decide(func() { b.module.Listed(kind, entries) })
	b.log.Info().Int64("version", l.Generation).Bool("whole", l.Whole).Int("hosts", len(l.Hosts)).
		Float64("took_ms", milliseconds(time.Since(began))).Msg("list applied")
}

// spread draws a wait from half of it on, lest all balancers try again together.
func spread(wait time.Duration) time.Duration {
	return time.Duration(float64(wait) * (0.5 + rand.Float64()/2))
}

// source is where the list comes from.
type source struct {
	mu    sync.Mutex // also held while a list is handed on: once an address is left, nothing is heard of it
	addr  string
	stop  context.CancelFunc // ends the watch there; nil before the first
	first chan struct{}      // closed once there is a list
	once  sync.Once
	list  discovery.List                                                    // as it is known now
	known *int64                                                            // version of the list from before the start, where the watch goes on from it
	dial  func(ctx context.Context, network, addr string) (net.Conn, error) // nil: the network's
}

func (b *Balancer) names() discovery.Names {
	return discovery.Names{Zones: b.told.Zones, Kinds: b.told.Kinds}
}

// watch follows the list at the source's address from now on, from the whole list; the watch before it ends.
func (b *Balancer) watch() {
	b.source.mu.Lock()
	defer b.source.mu.Unlock()
	subscribed := !b.told.Terms.MustSubscribe
	if b.source.stop != nil {
		b.source.stop()
		subscribed = true // the module has asked for it at its start
	}
	ctx, stop := context.WithCancel(b.running)
	b.source.stop = stop
	watch := &discovery.Watch{Addr: b.source.addr, Names: b.names(), Pace: b.pace, Dial: b.source.dial}
	watch.Has = len(b.source.list.Hosts) > 0
	if b.source.known != nil {
		watch.From(*b.source.known)
		b.source.known = nil // of the first address only
	}
	go b.follow(ctx, watch, subscribed)
}

// Reload takes a configuration that was read and checked while the balancer runs: it follows the list where
// that says from now on. What only a restart can change is named.
func (b *Balancer) Reload(told *deployment.Deployment) {
	b.log.Info().Str("discovery", told.Discovery).Strs("kept_until_restart", b.told.Fixed(told)).Msg("configuration reloaded")
	b.source.mu.Lock()
	same, begun := told.Discovery == b.source.addr, b.source.stop != nil
	b.source.addr = told.Discovery
	b.source.mu.Unlock()
	if begun && !same {
		b.watch()
	}
}

// follow keeps the list. Where the module subscribes by itself it also decides when to try again; after a call that got no whole
// answer in its time it is asked anew at once all the same: what was missed must hold soon, and it has waited for long enough.
func (b *Balancer) follow(ctx context.Context, watch *discovery.Watch, subscribed bool) {
	defer watch.Close()
	lag := b.pace.First
	for {
		if !subscribed {
			select {
			case <-b.subscribe:
				subscribed = true
			case <-ctx.Done():
				return
			}
		}
		l, err := watch.Next(ctx)
		if err == nil {
			lag = b.pace.First
			b.take(ctx, l)
			continue
		}
		if ctx.Err() != nil {
			return
		}
		b.log.Warn().Err(err).Str("discovery", watch.Addr).Msg("discovery")
		if errors.Is(err, discovery.ErrAgain) {
			continue
		}
		if b.told.Terms.MustSubscribe {
			subscribed = false
			b.decide(func() { b.module.Listed(policy.ListUnavailable, nil) })
			continue
		}
		wait := spread(lag)
		lag = min(2*lag, b.pace.Last)
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return
		}
	}
}

// take hands an answer of discovery on; one that waited for nothing brings nothing.
func (b *Balancer) take(ctx context.Context, l discovery.List) {
	b.source.mu.Lock()
	defer b.source.mu.Unlock()
	if ctx.Err() != nil {
		return
	}
	if n := len(l.Unread); n > 0 {
		b.log.Warn().Err(l.Unread[0].Why).Int("entries", n).Str("discovery", b.source.addr).Msg("entries of the list cannot be read, their hosts stay as they were")
	}
	l = l.Over(b.source.list)
	b.source.keep(l)
	if l.Whole {
		b.listed(policy.ListReplace, l)
	} else if len(l.Hosts) > 0 {
		b.listed(policy.ListUpdate, l)
	}
	b.source.once.Do(func() { close(b.source.first) })
}
