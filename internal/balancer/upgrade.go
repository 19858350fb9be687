package balancer

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net"
	"os"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"streamrail/internal/admin"
	"streamrail/internal/handover"
	"streamrail/policy"
)

// upgradeLink connects this process to the peer process of an upgrade, while there is one. Together they are one balancer: exclusions
// hold for both, and both together stay within the resource limits of one process.
type upgradeLink struct {
	// mu serializes exclusions, which both processes apply in the order that the older one sets. It is taken before all other locks.
	mu        sync.Mutex
	startLock *handover.StartLock // held from the search for an older process until a newer one can connect
	offer     *handover.Server    // lets a newer process connect
	older     *handover.Peer      // nil if there is none
	newer     *handover.Peer      // nil if there is none
	// startingMu guards startingExclusions: the exclusions of a newer process that has not restored them yet, afterwards nil. It is held
	// while they are restored and while a message of the older process changes an exclusion.
	startingMu         sync.Mutex
	startingExclusions map[string]bool
	follower           *listFollower         // receives the older process's lists; nil if it does not pass them on
	messageCount       uint64                // numbers the messages that need an answer
	answers            chan handover.Message // to the exchange that waits under mu, and late ones for which no exchange waits any more

	newerReady   atomic.Bool // the newer process takes clients
	takesClients atomic.Bool // this process takes clients
}

// resourceLimits are the amounts that a process may use: client connections, upstream connections, requests in flight and bytes of
// values.
type resourceLimits struct{ clients, upstream, requests, bytes int64 }

const (
	// usageInterval is how often both processes report their usage to each other. It is much shorter than the time that connections need
	// to move to the newer process.
	usageInterval = 50 * time.Millisecond
	// peerTimeout is how long the peer process may take to apply an exclusion; operators must get an answer within a second.
	peerTimeout = 500 * time.Millisecond
	// upgradeWait is how long a process that starts waits for an upgrade under way to end. An older process that was told to end has
	// ended by then, and this one can still become ready within six seconds.
	upgradeWait = 4 * time.Second
)

var (
	errStarting   = errors.New("this process is starting and has not read which hosts are out; repeat the call")
	errNotServing = errors.New("it is ending")
	errNotSaved   = errors.New("it is done, but could not be kept in a file yet: a restart would forget it")
	errPeerSilent = errors.New("this process has done it; the other one of an upgrade does not answer")
)

// takeOverListener takes over the clients' listener from an older process that serves the same address; nil if there is none. A process
// without an admin API takes no part in upgrades. The error means that this process may not serve beside those that do.
func (b *Balancer) takeOverListener() (net.Listener, *handover.State, error) {
	if b.deployment.Admin == "" {
		return nil, nil, nil
	}
	deadline := time.Now().Add(upgradeWait)
	keepTrying := func() bool { return b.currentPhase() == Starting && time.Now().Before(deadline) }
	var err error
	if b.upgrade.startLock, err = handover.LockStart(b.handoverPath(".lock"), keepTrying); err != nil {
		b.log.Warn().Err(err).Msg("starting without the lock on other starts")
	}
	listener, state, peer, err := handover.TakeOver(b.handoverPath(".sock"), keepTrying)
	switch {
	case err == nil:
		b.log.Info().Int("excluded", len(state.Excluded)).Msg("taking over from an older process")
		b.joinOlder(peer, &state)
		return listener, &state, nil
	case errors.Is(err, handover.ErrUpgradeRunning):
		return nil, nil, err
	case !errors.Is(err, handover.ErrNoOlderProcess):
		b.log.Warn().Err(err).Msg("could not take over from an older process, starting as if alone")
	}
	return nil, nil, nil
}

// joinOlder becomes one balancer with the process that has handed over.
func (b *Balancer) joinOlder(peer *handover.Peer, state *handover.State) {
	u := &b.upgrade
	u.older = peer
	u.startingExclusions = map[string]bool{}
	for _, id := range state.Excluded {
		u.startingExclusions[id] = true
	}
	if b.deployment.PolicyConfig.MustSubscribe && state.ListAddr == b.deployment.Discovery {
		u.follower = newListFollower(peer, state.ListAddr)
	}
	b.splitLimits(state.Holds)
	go b.receiveFromOlder(peer)
}

// handoverPath returns the path of the socket or file with a suffix that all processes serving the same address share.
func (b *Balancer) handoverPath(suffix string) string {
	return handover.Path(os.TempDir(), b.deployment.Listen, suffix)
}

// listen opens the clients' address.
func (b *Balancer) listen() (net.Listener, error) {
	if b.deployment.Admin == "" {
		return net.Listen("tcp", b.deployment.Listen)
	}
	return handover.ListenReusePort(b.deployment.Listen)
}

func (b *Balancer) exclusionFile() string {
	return b.handoverPath(".out")
}

// restoreState restores the state that an older process handed over, or the exclusions that an earlier process saved.
func (b *Balancer) restoreState(state *handover.State) {
	if b.deployment.Admin == "" {
		return
	}
	if state != nil {
		var learnt policy.Learnt
		if err := json.Unmarshal(state.Learnt, &learnt); err != nil {
			b.log.Warn().Err(err).Msg("the learnt state handed over is not readable, ignored")
		} else {
			b.callPolicy(func() { b.policy.ImportLearnt(learnt) })
		}
		b.restoreHandedOverExclusions()
		return
	}
	var excluded []string
	if err := handover.Load(b.exclusionFile(), &excluded); err != nil {
		excluded = nil
		b.log.Warn().Err(err).Str("file", b.exclusionFile()).Msg("the hosts out by hand are not readable, none is out")
	}
	b.restoreExclusions(excluded)
}

// restoreHandedOverExclusions restores the exclusions that an older process handed over, as its messages have changed them since.
func (b *Balancer) restoreHandedOverExclusions() {
	u := &b.upgrade
	u.startingMu.Lock()
	defer u.startingMu.Unlock()
	b.restoreExclusions(slices.Sorted(maps.Keys(u.startingExclusions)))
	u.startingExclusions = nil
}

func (b *Balancer) restoreExclusions(excluded []string) {
	for _, id := range excluded {
		b.switchExclusion(policy.HostID(id), true)
	}
	if len(excluded) > 0 {
		b.saveExclusions()
	}
}

// isRestoringExclusions reports whether the exclusions handed over are not restored yet.
func (b *Balancer) isRestoringExclusions() bool {
	b.upgrade.startingMu.Lock()
	defer b.upgrade.startingMu.Unlock()
	return b.upgrade.startingExclusions != nil
}

// applyNotice applies an exclusion that the older process has changed. Before the exclusions are restored it is noted with them: the
// older process gets its answer at once, however long this one takes to start.
func (b *Balancer) applyNotice(m handover.Message) {
	u := &b.upgrade
	u.startingMu.Lock()
	defer u.startingMu.Unlock()
	switch {
	case u.startingExclusions == nil:
		b.applyExclusion(policy.HostID(m.Member), m.Out)
	case m.Out:
		u.startingExclusions[m.Member] = true
	default:
		delete(u.startingExclusions, m.Member)
	}
}

// offerHandover notifies the older process that this one takes clients, and lets a newer process take over from now on.
func (b *Balancer) offerHandover(listener net.Listener) {
	u := &b.upgrade
	if b.deployment.Admin == "" {
		return
	}
	offer, err := handover.Serve(b.handoverPath(".sock"), listener, b.handOver)
	if err != nil {
		b.log.Warn().Err(err).Msg("a newer process cannot take over from this one")
	}
	u.mu.Lock()
	u.offer = offer
	if u.older != nil {
		u.older.Send(handover.Message{Kind: handover.Ready})
	} else {
		b.publishOffer()
	}
	u.mu.Unlock()
	u.startLock.Release()
	u.takesClients.Store(true)
}

// publishOffer lets earlier versions find this process, which serves alone. The caller holds upgradeLink.mu.
func (b *Balancer) publishOffer() {
	if b.upgrade.offer == nil {
		return
	}
	if err := b.upgrade.offer.Publish(); err != nil {
		b.log.Warn().Err(err).Msg("an earlier version cannot take over from this one")
	}
}

// closeHandover stops offering a handover and closes the connections to the peer processes.
func (b *Balancer) closeHandover() {
	u := &b.upgrade
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.offer != nil {
		u.offer.Close()
		u.offer = nil
	}
	for _, peer := range []*handover.Peer{u.older, u.newer} {
		if peer != nil {
			peer.Close()
		}
	}
}

// handOver returns the state for a newer process that takes over.
func (b *Balancer) handOver(peer *handover.Peer) (state handover.State, err error) {
	u := &b.upgrade
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.newer != nil || u.older != nil {
		return state, handover.ErrUpgradeRunning
	}
	if b.currentPhase() != Serving {
		return state, errNotServing
	}
	var learnt policy.Learnt
	b.callPolicy(func() {
		state.Excluded = b.excludedHosts()
		learnt = b.policy.ExportLearnt()
	})
	if state.Learnt, err = json.Marshal(learnt); err != nil {
		return state, err
	}
	b.listSource.mu.Lock()
	state.List = b.discoveryNames().Format(b.listSource.snapshot())
	if b.deployment.PolicyConfig.MustSubscribe {
		state.ListAddr = b.listSource.addr
		b.startForwardingLists(peer)
	}
	b.listSource.mu.Unlock()
	state.Holds, state.Fleet = b.usage(), b.exportMembership()
	u.newer = peer
	b.splitLimits(handover.ResourceUsage{})
	b.log.Info().Msg("handing over to a newer process")
	go b.receiveFromNewer(peer)
	return state, nil
}

// receiveFromNewer handles the newer process's messages until it ends.
func (b *Balancer) receiveFromNewer(peer *handover.Peer) {
	go b.sendUsage(peer)
	var handingOver sync.WaitGroup
	peer.Receive(func(m handover.Message) {
		switch m.Kind {
		case handover.Ready:
			handingOver.Go(func() { // in a goroutine: an order that is being carried out may wait for a message that is received here
				b.handOverMembership()
				b.upgrade.newerReady.Store(true)
				b.log.Info().Msg("the newer process takes clients")
			})
		case handover.UsageReport:
			b.splitLimits(*m.Holds)
		case handover.ExclusionRequest:
			go func() { // in a goroutine: setExclusion may wait for a message that is received here
				answer := handover.Message{Kind: handover.ExclusionResponse, N: m.N}
				if err := b.setExclusion(policy.HostID(m.Member), m.Out, b.exclusionOrders != nil); err != nil {
					answer.Fault = err.Error()
				}
				peer.Send(answer)
			}()
		case handover.ExclusionApplied:
			b.upgrade.deliverAnswer(m)
		}
	})
	handingOver.Wait()
	b.peerEnded(&b.upgrade.newer)
	b.reclaimMembership()
}

// receiveFromOlder handles the older process's messages until it ends.
func (b *Balancer) receiveFromOlder(peer *handover.Peer) {
	go b.sendUsage(peer)
	peer.Receive(func(m handover.Message) {
		b.upgrade.follower.noteMessage(time.Since(b.epoch))
		switch m.Kind {
		case handover.ListUpdate:
			b.upgrade.follower.receive(m)
		case handover.UsageReport:
			b.splitLimits(*m.Holds)
		case handover.ExclusionNotice:
			b.applyNotice(m)
			peer.Send(handover.Message{Kind: handover.ExclusionApplied, N: m.N})
		case handover.ExclusionResponse:
			b.upgrade.deliverAnswer(m)
		}
	})
	b.peerEnded(&b.upgrade.older)
}

// peerEnded restores the limits of a single process after the peer process has ended or was killed.
func (b *Balancer) peerEnded(other **handover.Peer) {
	u := &b.upgrade
	u.mu.Lock()
	defer u.mu.Unlock()
	*other = nil
	u.newerReady.Store(false)
	if u.older != nil || u.newer != nil {
		return
	}
	b.log.Info().Msg("the other process of the upgrade has ended")
	b.setLimits(b.capacity)
	debug.SetMemoryLimit(b.memoryLimit())
	b.callPolicy(func() { b.policy.SetPeerOriginInFlight(false, 0) })
	b.setSharesUpgrading(false)
	b.publishOffer()
}

// deliverAnswer queues a message for the exchange that waits for it. If the queue is full of late answers, the oldest is dropped.
func (u *upgradeLink) deliverAnswer(m handover.Message) {
	for {
		select {
		case u.answers <- m:
			return
		default:
		}
		select {
		case <-u.answers:
		default:
		}
	}
}

// exchange sends an ExclusionRequest or ExclusionNotice and waits for its answer. It returns false if none comes in time. The caller
// holds u.mu.
func (u *upgradeLink) exchange(peer *handover.Peer, m handover.Message) (answer handover.Message, ok bool) {
	u.messageCount++
	m.N = u.messageCount
	peer.Send(m)
	timeout := time.After(peerTimeout)
	for {
		select {
		case answer = <-u.answers:
			if answer.N == m.N {
				return answer, true
			}
		case <-peer.Closed():
			return answer, true // the peer process has ended, so this process alone has to apply it
		case <-timeout:
			peer.Close()
			return answer, false
		}
	}
}

// setExclusion excludes a host, or includes it again, in both processes of an upgrade. An order for the whole fleet also holds for a host
// that no list has named yet.
func (b *Balancer) setExclusion(id policy.HostID, exclude, fleet bool) error {
	u := &b.upgrade
	u.mu.Lock()
	defer u.mu.Unlock()
	m := handover.Message{Member: string(id), Out: exclude}
	answered := true
	if p := u.older; p != nil {
		m.Kind = handover.ExclusionRequest
		var answer handover.Message
		answer, answered = u.exchange(p, m)
		if answer.Kind == handover.ExclusionResponse {
			return errorFromText(answer.Fault)
		} // otherwise the connection to the older process is closed and this process acts alone
	}
	if b.isRestoringExclusions() {
		return errStarting
	}
	known, withinLimit := false, true
	if exclude {
		b.callPolicy(func() { known, withinLimit = b.policy.Exclude(id) })
	} else {
		b.callPolicy(func() { known = b.policy.IsKnownHost(id) })
	}
	switch {
	case !known && !fleet:
		return admin.ErrUnknownHost
	case !withinLimit && !fleet:
		return admin.ErrTooManyExcluded
	}
	saveErr := b.applyExclusion(id, exclude)
	if p := u.newer; p != nil {
		m.Kind = handover.ExclusionNotice
		_, answered = u.exchange(p, m)
	}
	switch {
	case !answered:
		return errPeerSilent
	case saveErr != nil:
		return fmt.Errorf("%w: %w", errNotSaved, saveErr)
	}
	return nil
}

// errorFromText returns the error whose text came from the peer process; nil if the text is empty.
func errorFromText(text string) error {
	for _, err := range []error{admin.ErrUnknownHost, admin.ErrTooManyExcluded, errPeerSilent} {
		if text == err.Error() {
			return err
		}
	}
	if text != "" {
		return errors.New(text)
	}
	return nil
}

// applyExclusion changes an exclusion in this process and saves it before any operator gets a positive answer. The error means that it
// could not be saved.
func (b *Balancer) applyExclusion(id policy.HostID, exclude bool) error {
	b.switchExclusion(id, exclude)
	return b.saveExclusions()
}

// switchExclusion excludes a host first in the policy, which chooses it for attempts, and then in the connection pool, which sends
// them. It includes a host in the reverse order.
func (b *Balancer) switchExclusion(id policy.HostID, exclude bool) {
	if !exclude {
		b.hosts.Include(id)
	}
	b.callPolicy(func() {
		if exclude {
			b.policy.ExcludeUnchecked(id)
		} else {
			b.policy.Include(id)
		}
	})
	if exclude {
		b.hosts.Exclude(id)
	}
	b.log.Info().Str("host", string(id)).Bool("out", exclude).Msg("by hand")
}

// excludedHosts returns the hosts that operators have excluded. The caller holds Balancer.mu.
func (b *Balancer) excludedHosts() (all []string) {
	for _, id := range b.policy.ExcludedHosts() {
		all = append(all, string(id))
	}
	return all
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

func (b *Balancer) usage() handover.ResourceUsage {
	h := handover.ResourceUsage{Clients: int64(b.clients.count()), Upstream: int64(b.hosts.Open()), Calls: b.inFlight.Load(),
		Bytes: b.memory.reserved.Load(), Leaving: b.currentPhase() > Serving}
	b.callPolicy(func() { h.Origin = b.policy.OriginInFlight() })
	return h
}

// setLimits sets the resource limits of this process.
func (b *Balancer) setLimits(limits resourceLimits) {
	b.clients.setLimits(int(limits.clients-limits.clients/8), int(limits.clients))
	b.hosts.SetMaxConnections(int(limits.upstream))
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
