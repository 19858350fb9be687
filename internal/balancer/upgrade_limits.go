package balancer

import (
	"runtime/debug"
	"time"

	"streamrail/internal/handover"
	"streamrail/internal/upstream"
)

// Resource limits in an upgrade: both processes together stay within those of one.

// resourceLimits are the amounts that a process may use: client connections, upstream connections, requests in flight and bytes of
// values.
type resourceLimits struct{ clients, upstream, requests, bytes int64 }

// usageInterval is how often both processes report their usage to each other. It is much shorter than the time that connections need to
// move to the newer process.
const usageInterval = 50 * time.Millisecond

// setLimits sets the resource limits of this process.
func (b *Balancer) setLimits(limits resourceLimits) {
	b.clients.setLimits(int(limits.clients-limits.clients/8), int(limits.clients))
	b.hosts.SetMaxConnections(int(limits.upstream))
	b.hosts.SetMaxTransfers(int(min(limits.upstream, limits.requests, limits.bytes/upstream.StreamBufferBytes) / 2)) // the other half is for requests that end soon
	b.maxInFlight.Store(limits.requests)
	b.memory.limit.Store(limits.bytes)
}

// splitLimits lets each process keep the resources that it uses and a part of what is free. The second process needs reserved
// descriptors of its own, which are subtracted.
func (b *Balancer) splitLimits(other handover.ResourceUsage) {
	own, total := b.usage(), b.capacity
	share := func(whole, own, other int64) int64 {
		return processShare(whole, own, other, b.currentPhase() > Serving)
	}
	if other.Leaving {
		share = func(whole, own, other int64) int64 { return whole - processShare(whole, other, own, true) }
	}
	b.setLimits(resourceLimits{share(total.clients-reservedSockets/2, own.Clients, other.Clients), share(total.upstream-reservedSockets/2, own.Upstream, other.Upstream),
		share(total.requests, own.Calls, other.Calls), share(total.bytes, own.Bytes, other.Bytes)})
	debug.SetMemoryLimit(b.memoryLimit() / 2)
	b.callPolicy(func() { b.policy.SetPeerOriginInFlight(true, other.Origin) })
}

// processShare is what one of two processes may use of a resource: what it uses now, and half of what is free, or an eighth of that if
// it is leaving.
func processShare(whole, own, other int64, leaving bool) int64 {
	free := max(0, whole-own-other)
	if leaving {
		return own + free/8
	}
	return own + free/2
}

// memoryLimit is the soft limit for the garbage collector, in bytes. The live heap is a few megabytes, and the machine's limit also
// covers memory outside the heap.
func (b *Balancer) memoryLimit() int64 { return int64(b.deployment.MemoryMB) << 20 * 3 / 4 }

func (b *Balancer) usage() handover.ResourceUsage {
	h := handover.ResourceUsage{Clients: int64(b.clients.count()), Upstream: int64(b.hosts.Open()), Calls: b.inFlight.Load(),
		Bytes: b.memory.reserved.Load(), Leaving: b.currentPhase() > Serving}
	b.callPolicy(func() { h.Origin = b.policy.OriginInFlight() })
	return h
}

// sendUsage reports this process's resource usage to the peer process until that has ended.
func (b *Balancer) sendUsage(peer *handover.Peer) {
	t := time.NewTicker(usageInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			h := b.usage()
			peer.Send(handover.Message{Kind: handover.UsageReport, Holds: &h})
		case <-peer.Closed():
			return
		}
	}
}
