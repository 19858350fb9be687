package balancer

import (
	"slices"
	"time"

	"streamrail/internal/deadline"
	"streamrail/internal/discovery"
	"streamrail/policy"
)

// A list is applied in pieces, with a rest after each: whatever its length, no request waits for more than a piece, and with one
// core what has come over the network meanwhile is looked at between two of them.
const (
	hostsPerBatch = 32 // a quarter of a millisecond's work
	batchPause    = 200 * time.Microsecond
)

// pause lets other goroutines run, and has the runtime look at the network, in the middle of long work. Before the process serves
// nobody waits for it.
func (b *Balancer) pause() {
	if b.currentPhase() != Starting {
		time.Sleep(batchPause)
	}
}

// applyHostList applies an answer of discovery, as far as it changes what is known. Under source.mu, or before anybody follows.
func (b *Balancer) applyHostList(kind policy.ListKind, list discovery.List) {
	began := time.Now()
	changes := b.listSource.update(list)
	if kind == policy.ListUpdate && len(changes) == 0 { // a watch that waited for nothing
		return
	}
	b.startTimes.place(changes, b.toNanos(deadline.After(began, 0)))
	all := entriesOf(list.Hosts)
	b.callPolicy(func() { b.policy.ListBegins(kind, all) })
	for batch := range slices.Chunk(changes, hostsPerBatch) {
		b.applyBatch(discovery.List{Hosts: batch, At: list.At})
		b.pause()
	}
	if len(list.Hosts) > 0 || kind != policy.ListRestored {
		b.hasHostList.Store(true)
	}
	b.log.Info().Int64("version", list.Generation).Bool("whole", list.Whole).Int("hosts", len(list.Hosts)).Int("changes", len(changes)).
		Float64("took_ms", milliseconds(time.Since(began))).Msg("list applied")
}

// applyBatch applies some entries: to the connections first, so that a host which the module knows can be sent to.
func (b *Balancer) applyBatch(batch discovery.List) {
	b.hosts.Listed(batch)
	entries := entriesOf(batch.Hosts)
	b.callPolicy(func() { b.policy.Changed(entries) })
	for _, condition := range []policy.Condition{policy.Draining, policy.Gone} {
		b.logHosts(condition, batch.Hosts)
	}
}

func entriesOf(hosts []discovery.Host) []policy.Entry {
	entries := make([]policy.Entry, len(hosts))
	for i := range hosts {
		entries[i] = hosts[i].Entry
	}
	return entries
}

var conditionNames = [...]string{"up", "draining", "gone"}

// logHosts names the hosts of a condition, all in one line: each line is a write.
func (b *Balancer) logHosts(condition policy.Condition, hosts []discovery.Host) {
	var ids []string
	for i := range hosts {
		if hosts[i].Condition == condition {
			ids = append(ids, string(hosts[i].Cache))
		}
	}
	if len(ids) > 0 {
		b.log.Info().Str("condition", conditionNames[condition]).Strs("hosts", ids).Msg("hosts")
	}
}
