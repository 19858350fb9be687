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

// restoreHostList takes the list as this balancer had it before its start: as an older process has it now, or as it was told.
func (b *Balancer) restoreHostList(handedOver *handover.State) {
	var list discovery.List
	saved := b.deployment.Known
	if handedOver != nil {
		saved = handedOver.List
	}
	if len(saved) > 0 && string(saved) != "null" {
		var err error
		if list, err = b.discoveryNames().Parse(saved); err != nil {
			b.log.Warn().Err(err).Str("key", "known").Msg("the list last known is not readable, left out")
			list = discovery.List{}
		}
	}
	b.applyHostList(policy.ListRestored, list)
	if len(list.Hosts) == 0 {
		return
	}
	if b.deployment.Terms.MustSubscribe { // each call loads discovery: only what changed since is asked for
		b.listSource.resumeFrom = &list.Generation
	}
	if handedOver != nil || b.deployment.Terms.MustSubscribe { // it is the present one, or the module asks when it sees fit
		b.listSource.readyOnce.Do(func() { close(b.listSource.ready) })
	}
}

// jitter draws a wait from half of it on, lest all balancers try again together.
func jitter(wait time.Duration) time.Duration {
	return time.Duration(float64(wait) * (0.5 + rand.Float64()/2))
}

func (b *Balancer) discoveryNames() discovery.Names {
	return discovery.Names{Zones: b.deployment.Zones, Kinds: b.deployment.Kinds, Pause: b.pause}
}

// startWatch follows the list at the source's address from now on, from the whole list; the watch before it ends.
func (b *Balancer) startWatch() {
	b.listSource.mu.Lock()
	defer b.listSource.mu.Unlock()
	subscribed := !b.deployment.Terms.MustSubscribe
	if b.listSource.stop != nil {
		b.listSource.stop()
		subscribed = true // the module has asked for it at its start
	}
	ctx, stop := context.WithCancel(b.ctx)
	b.listSource.stop = stop
	watch := &discovery.Watch{Addr: b.listSource.addr, Names: b.discoveryNames(), Pace: b.pace, Dial: b.listSource.dial}
	watch.Has = len(b.listSource.hosts) > 0
	if b.listSource.resumeFrom != nil {
		watch.From(*b.listSource.resumeFrom)
		b.listSource.resumeFrom = nil // of the first address only
	}
	go b.followDiscovery(ctx, watch, subscribed)
}

// Reload takes a configuration that was read and checked while the balancer runs: it follows the list where
// that says from now on. What only a restart can change is named.
func (b *Balancer) Reload(deployed *deployment.Deployment) {
	b.log.Info().Str("discovery", deployed.Discovery).Strs("kept_until_restart", b.deployment.Fixed(deployed)).Msg("configuration reloaded")
	b.listSource.mu.Lock()
	sameAddress, watching := deployed.Discovery == b.listSource.addr, b.listSource.stop != nil
	b.listSource.addr = deployed.Discovery
	b.listSource.mu.Unlock()
	if watching && !sameAddress {
		b.startWatch()
	}
}

// followDiscovery keeps the list. Where the module subscribes by itself it also decides when to try again; after a call that got no whole
// answer in its time it is asked anew at once all the same: what was missed must hold soon, and it has waited for long enough.
func (b *Balancer) followDiscovery(ctx context.Context, watch *discovery.Watch, subscribed bool) {
	defer watch.Close()
	backoff := b.pace.First
	for {
		if !subscribed {
			select {
			case <-b.subscribeRequested:
				subscribed = true
			case <-ctx.Done():
				return
			}
		}
		list, err := watch.Next(ctx)
		if err == nil {
			backoff = b.pace.First
			b.acceptHostList(ctx, list)
			continue
		}
		if ctx.Err() != nil {
			return
		}
		b.log.Warn().Err(err).Str("discovery", watch.Addr).Msg("discovery")
		if errors.Is(err, discovery.ErrAgain) {
			continue
		}
		if b.deployment.Terms.MustSubscribe {
			subscribed = false
			b.callPolicy(func() { b.policy.Listed(policy.ListUnavailable, nil) })
			continue
		}
		wait := jitter(backoff)
		backoff = min(2*backoff, b.pace.Last)
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return
		}
	}
}

// acceptHostList hands an answer of discovery on; one that waited for nothing brings nothing.
func (b *Balancer) acceptHostList(ctx context.Context, list discovery.List) {
	b.listSource.mu.Lock()
	defer b.listSource.mu.Unlock()
	if ctx.Err() != nil {
		return
	}
	if unreadable := len(list.Unread); unreadable > 0 {
		b.log.Warn().Err(list.Unread[0].Why).Int("entries", unreadable).Str("discovery", b.listSource.addr).Msg("entries of the list cannot be read, their hosts stay as they were")
	}
	if !list.Stands(b.listSource.generation) {
		list = list.Over(b.listSource.snapshot())
	}
	if list.Whole {
		b.applyHostList(policy.ListReplace, list)
	} else {
		b.applyHostList(policy.ListUpdate, list)
	}
	b.listSource.readyOnce.Do(func() { close(b.listSource.ready) })
}
