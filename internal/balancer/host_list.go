package balancer

import (
	"slices"
	"time"

	"streamrail/internal/deadline"
	"streamrail/internal/discovery"
	"streamrail/policy"
)

// A host list is applied in batches with a pause after each. However long the list is, a request waits for one batch at most, and on a
// single core the runtime can poll the network between two batches.
const (
	hostsPerBatch = 32 // applying them takes a quarter of a millisecond
	batchPause    = 200 * time.Microsecond
)

// pause interrupts long work so that other goroutines run and the runtime polls the network. It returns at once while the process is
// starting, as there are no requests yet.
func (b *Balancer) pause() {
	if b.currentPhase() != Starting {
		time.Sleep(batchPause)
	}
}

// applyHostList applies the changes that an answer of discovery makes to the known host list. The caller holds listSource.mu, unless
// no watch has been started yet.
func (b *Balancer) applyHostList(kind policy.ListKind, list discovery.List) {
	began := time.Now()
	changes := b.listSource.update(list)
	if kind == policy.ListUpdate && len(changes) == 0 { // a long poll that ended without a change
		return
	}
	b.startTimes.convert(changes, b.toNanos(deadline.After(began, 0)))
	all := entriesOf(list.Hosts)
	b.callPolicy(func() { b.policy.BeginList(kind, all) })
	for batch := range slices.Chunk(changes, hostsPerBatch) {
		b.applyBatch(discovery.List{Hosts: batch, ReceivedAt: list.ReceivedAt})
		b.pause()
	}
	if len(list.Hosts) > 0 || kind != policy.ListRestored && kind != policy.ListHandedOver {
		b.hasHostList.Store(true)
	}
	b.log.Info().Int64("version", list.Generation).Bool("whole", list.Snapshot).Int("hosts", len(list.Hosts)).Int("changes", len(changes)).
		Float64("took_ms", milliseconds(time.Since(began))).Msg("list applied")
}

// applyBatch applies some entries. The connection pool is updated first, so that attempts can be sent to every host that the policy knows.
func (b *Balancer) applyBatch(batch discovery.List) {
	b.hosts.ApplyList(batch)
	entries := entriesOf(batch.Hosts)
	b.callPolicy(func() { b.policy.ApplyEntries(entries) })
	for _, condition := range []policy.Condition{policy.Draining, policy.Gone} {
		b.logHosts(condition, batch.Hosts)
	}
}

func entriesOf(hosts []discovery.Host) []policy.HostEntry {
	entries := make([]policy.HostEntry, len(hosts))
	for i := range hosts {
		entries[i] = hosts[i].HostEntry
	}
	return entries
}

var conditionNames = [...]string{"up", "draining", "gone"}

// logHosts logs the hosts in a condition in one line, as each line costs a write.
func (b *Balancer) logHosts(condition policy.Condition, hosts []discovery.Host) {
	var ids []string
	for i := range hosts {
		if hosts[i].Condition == condition {
			ids = append(ids, string(hosts[i].HostID))
		}
	}
	if len(ids) > 0 {
		b.log.Info().Str("condition", conditionNames[condition]).Strs("hosts", ids).Msg("hosts")
	}
}
