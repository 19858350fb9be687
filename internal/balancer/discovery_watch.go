package balancer

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"streamrail/internal/deployment"
	"streamrail/internal/discovery"
	"streamrail/internal/handover"
	"streamrail/policy"
)

// restoreHostList applies the host list from before the start: the one that an older process has now, or the last known one
// of the configuration.
func (b *Balancer) restoreHostList(handedOver *handover.State) {
	var list discovery.List
	saved := b.deployment.KnownList
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
	kind := policy.ListRestored
	if handedOver != nil {
		kind = policy.ListHandedOver
	}
	b.applyHostList(kind, list)
	if len(list.Hosts) == 0 {
		return
	}
	b.listSource.listedBy = b.listSource.addr
	if handedOver != nil {
		b.listSource.listedBy = handedOver.ListAddr
	}
	otherService := b.listSource.listAddr() != b.listSource.addr
	if b.deployment.PolicyConfig.MustSubscribe && !otherService { // each call loads discovery, so ask only for what has changed since
		b.listSource.resumeFrom = &list.Generation
	}
	if handedOver != nil || b.deployment.PolicyConfig.MustSubscribe { // the list is current, or the policy decides when to ask for it
		b.listSource.readyOnce.Do(func() { close(b.listSource.ready) })
	}
}

// jitter returns a random duration between half of the wait and all of it, so that balancers do not all retry at the same time.
func jitter(wait time.Duration) time.Duration {
	return time.Duration(float64(wait) * (0.5 + rand.Float64()/2))
}

func (b *Balancer) discoveryNames() discovery.NameIndexes {
	return discovery.NameIndexes{Zones: b.deployment.Zones, Kinds: b.deployment.Kinds, Yield: b.pause}
}

// followHostList begins to follow the host list: that of the older process of an upgrade, if it passes its lists on, or else discovery's.
func (b *Balancer) followHostList(handedOver *handover.State) {
	switch {
	case handedOver == nil:
		b.startWatch(!b.deployment.PolicyConfig.MustSubscribe)
	case b.upgrade.follower != nil:
		go b.followOlderProcess(b.upgrade.follower)
	default:
		b.startWatch(true)
	}
}

// startWatch starts to follow the host list at the source's address, beginning with the complete list, and stops the previous watch. If
// it is not subscribed, it waits until the policy asks for the list.
func (b *Balancer) startWatch(subscribed bool) {
	b.listSource.mu.Lock()
	defer b.listSource.mu.Unlock()
	if b.listSource.stop != nil {
		b.listSource.stop()
	}
	ctx, stop := context.WithCancel(b.ctx)
	b.listSource.stop = stop
	watch := &discovery.Watch{Addr: b.listSource.addr, Names: b.discoveryNames(), Timeouts: b.discoveryTimeouts, Dial: b.listSource.dial}
	watch.HasList = len(b.listSource.hosts) > 0
	if b.listSource.resumeFrom != nil {
		watch.ResumeFrom(*b.listSource.resumeFrom)
		b.listSource.resumeFrom = nil // valid only for the first address
	}
	go b.followDiscovery(ctx, watch, subscribed)
}

// Reload applies a new, checked configuration to the running balancer: it follows the host list at the new discovery address. The
// settings that take effect only at a restart are logged.
func (b *Balancer) Reload(deployed *deployment.Deployment) {
	b.log.Info().Str("discovery", deployed.Discovery).Strs("kept_until_restart", b.deployment.RestartOnlyChanges(deployed)).Msg("configuration reloaded")
	b.listSource.mu.Lock()
	sameAddress, watching := deployed.Discovery == b.listSource.addr, b.listSource.stop != nil
	b.listSource.addr = deployed.Discovery
	if !sameAddress {
		b.listSource.resumeFrom = nil // generations of another address
	}
	b.listSource.mu.Unlock()
	if watching && !sameAddress {
		b.startWatch(true) // the policy has subscribed at its start
	}
}

// followDiscovery keeps the host list up to date. Where the policy subscribes by itself, it also decides when to retry. The exception is
// a call that got no complete answer in time: it is repeated at once, because it has already waited long and may have missed changes
// that must apply soon. An answer that comes late is applied whenever it comes, also while the next call is being put off.
func (b *Balancer) followDiscovery(ctx context.Context, watch *discovery.Watch, subscribed bool) {
	defer watch.Close()
	backoff := b.discoveryTimeouts.FirstRetryDelay
	var resume <-chan struct{} // nil: the next call is made at once
	if !subscribed {
		resume = b.subscribeRequested
	}
	for {
		list, err := watch.Next(ctx, resume)
		if list.Partial {
			b.acceptLeavingHosts(ctx, watch.Addr, list)
			continue
		}
		resume = nil
		if err == nil {
			backoff = b.discoveryTimeouts.FirstRetryDelay
			if list.Waited > 0 {
				b.log.Info().Float64("waited_ms", milliseconds(list.Waited)).Str("discovery", watch.Addr).Msg("late answer of discovery")
			}
			b.acceptHostList(ctx, watch.Addr, list)
			continue
		}
		if ctx.Err() != nil {
			return
		}
		b.log.Warn().Err(err).Str("discovery", watch.Addr).Msg("discovery")
		switch {
		case errors.Is(err, discovery.ErrRetryNow):
		case b.deployment.PolicyConfig.MustSubscribe:
			b.requestListRetry()
			resume = b.subscribeRequested
		default:
			resume = closedAfter(jitter(backoff))
			backoff = min(2*backoff, b.discoveryTimeouts.MaxRetryDelay)
		}
	}
}

// requestListRetry lets the policy decide when to make the next call to discovery.
func (b *Balancer) requestListRetry() {
	select {
	case <-b.subscribeRequested: // for an earlier call, whose answer came late but before the retry
	default:
	}
	b.callPolicy(func() { b.policy.ApplyList(policy.ListUnavailable, nil) })
}

// closedAfter returns a channel that is closed after a delay.
func closedAfter(delay time.Duration) <-chan struct{} {
	elapsed := make(chan struct{})
	time.AfterFunc(delay, func() { close(elapsed) })
	return elapsed
}

// acceptLeavingHosts applies the part of an answer of the discovery service at an address that names hosts that leave, unless the
// watch has been stopped. Only hosts that are known and not yet known to leave are of interest: the rest of the answer is not known yet.
func (b *Balancer) acceptLeavingHosts(ctx context.Context, addr string, list discovery.List) {
	b.listSource.mu.Lock()
	defer b.listSource.mu.Unlock()
	if ctx.Err() != nil {
		return
	}
	leaving := slices.DeleteFunc(list.Hosts, func(h discovery.Host) bool {
		known, isKnown := b.listSource.hosts[h.HostID]
		return !isKnown || known.Condition >= h.Condition
	})
	if len(leaving) == 0 {
		return
	}
	list = discovery.List{Generation: b.listSource.generation, Hosts: leaving, ReceivedAt: list.ReceivedAt}
	b.applyHostList(policy.ListUpdate, list)
	b.listSource.forwarder.forward(addr, list)
}

// acceptHostList applies an answer of the discovery service at an address, unless the watch has been stopped. An answer that is older
// than the known list, or that has unreadable entries, is completed from the known list first.
func (b *Balancer) acceptHostList(ctx context.Context, addr string, list discovery.List) {
	b.listSource.mu.Lock()
	defer b.listSource.mu.Unlock()
	if ctx.Err() != nil {
		return
	}
	if unreadable := len(list.Unusable); unreadable > 0 {
		b.log.Warn().Err(list.Unusable[0].Err).Int("entries", unreadable).Str("discovery", addr).Msg("entries of the list cannot be read, their hosts stay as they were")
	}
	if !list.IsSelfContained(b.listSource.generation) {
		list = list.CompleteFrom(b.listSource.snapshot())
	}
	b.listSource.listedBy = addr
	if list.Snapshot {
		b.applyHostList(policy.ListReplace, list)
	} else {
		b.applyHostList(policy.ListUpdate, list)
	}
	b.listSource.forwarder.forward(addr, list)
	b.listSource.readyOnce.Do(func() { close(b.listSource.ready) })
}
