package balancer

import (
	"context"
	"errors"
	"math/rand/v2"
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

// spread draws a wait from half of it on, lest all balancers try again together.
func spread(wait time.Duration) time.Duration {
	return time.Duration(float64(wait) * (0.5 + rand.Float64()/2))
}

func (b *Balancer) names() discovery.Names {
	return discovery.Names{Zones: b.told.Zones, Kinds: b.told.Kinds, Pause: b.pause}
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
	watch.Has = len(b.source.hosts) > 0
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
	if !l.Stands(b.source.generation) {
		l = l.Over(b.source.list())
	}
	if l.Whole {
		b.listed(policy.ListReplace, l)
	} else {
		b.listed(policy.ListUpdate, l)
	}
	b.source.once.Do(func() { close(b.source.first) })
}
