package balancer

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"streamrail/internal/admin"
	"streamrail/internal/handover"
	"streamrail/policy"
)

// upgradeLink joins this process to the other one of an upgrade, while there is one. The two are one balancer: a ban holds
// for both, and what they hold together is what one may.
type upgradeLink struct {
	// mu makes an order of bans, which both processes apply as the older one has it. It is taken before all other locks.
	mu           sync.Mutex
	offer        *handover.Seat
	older        *handover.Peer
	newer        *handover.Peer
	messageCount uint64
	answers      chan handover.Message // those to what is waited for under mu, and late ones to what is not any more

	newerReady   atomic.Bool // it takes clients
	takesClients atomic.Bool // this process does
}

// resourceLimits is what a process may hold.
type resourceLimits struct{ clients, upstream, requests, bytes int64 }

const (
	// usageInterval is how often both tell each other what they hold: short against what connections need to move over.
	usageInterval = 50 * time.Millisecond
	// peerTimeout is how long the other process may take over a ban; operators are owed an answer in a second.
	peerTimeout = 500 * time.Millisecond
)

var (
	errUpgradeRunning = errors.New("an upgrade is under way already")
	errNotSaved       = errors.New("it is done, but could not be kept in a file yet: a restart would forget it")
	errPeerSilent     = errors.New("this process has done it; the other one of an upgrade does not answer")
)

// takeOverListener takes over the clients' address from an older process that serves there; nil where there is none. Only where there is a
// door there may be one.
func (b *Balancer) takeOverListener() (net.Listener, *handover.State) {
	if b.deployment.Admin == "" {
		return nil, nil
	}
	listener, state, peer, err := handover.Meet(handover.Path(os.TempDir(), b.deployment.Listen, ".sock"))
	if err == nil {
		b.log.Info().Int("excluded", len(state.Excluded)).Msg("taking over from an older process")
		b.upgrade.older = peer
		return listener, &state
	}
	if !errors.Is(err, handover.ErrAlone) {
		b.log.Warn().Err(err).Msg("could not take over from an older process, starting as if alone")
	}
	return nil, nil
}

// listen opens the clients' address.
func (b *Balancer) listen() (net.Listener, error) {
	if b.deployment.Admin == "" {
		return net.Listen("tcp", b.deployment.Listen)
	}
	return handover.Listen(b.deployment.Listen)
}

func (b *Balancer) exclusionFile() string {
	return handover.Path(os.TempDir(), b.deployment.Listen, ".out")
}

// restoreState restores what an older process handed on, or what one that was killed left.
func (b *Balancer) restoreState(state *handover.State) {
	if b.deployment.Admin == "" {
		return
	}
	var excluded []string
	if state != nil {
		excluded = state.Excluded
		var learnt policy.Learnt
		if err := json.Unmarshal(state.Learnt, &learnt); err != nil {
			b.log.Warn().Err(err).Msg("what was learnt is not readable, left out")
		} else {
			b.callPolicy(func() { b.policy.TakeOver(learnt) })
		}
		b.splitLimits(state.Holds)
		go b.receiveFromOlder(b.upgrade.older)
	} else {
		var err error
		if err = handover.Load(b.exclusionFile(), &excluded); err != nil {
			excluded = nil
			b.log.Warn().Err(err).Str("file", b.exclusionFile()).Msg("the hosts out by hand are not readable, none is out")
		}
	}
	for _, id := range excluded {
		b.switchExclusion(policy.CacheID(id), true)
	}
	if len(excluded) > 0 {
		b.saveExclusions()
	}
}

// offerHandover tells that this process takes clients; a newer one meets it from now on.
func (b *Balancer) offerHandover(listener net.Listener) {
	u := &b.upgrade
	if b.deployment.Admin == "" {
		return
	}
	offer, err := handover.Keep(handover.Path(os.TempDir(), b.deployment.Listen, ".sock"), listener, b.handOver)
	if err != nil {
		b.log.Warn().Err(err).Msg("a newer process cannot take over from this one")
	}
	u.mu.Lock()
	u.offer = offer
	if u.older != nil {
		u.older.Say(handover.Message{Kind: handover.Ready})
	}
	u.mu.Unlock()
	u.takesClients.Store(true)
}

// closeHandover ends what joins this process to others.
func (b *Balancer) closeHandover() {
	u := &b.upgrade
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.offer != nil {
		u.offer.Leave()
	}
	for _, peer := range []*handover.Peer{u.older, u.newer} {
		if peer != nil {
			peer.Close()
		}
	}
}

// handOver hands on to a newer process.
func (b *Balancer) handOver(peer *handover.Peer) (state handover.State, err error) {
	u := &b.upgrade
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.newer != nil || u.older != nil || b.currentPhase() != Serving {
		return state, errUpgradeRunning
	}
	b.listSource.mu.Lock()
	state.List = b.discoveryNames().Format(b.listSource.snapshot())
	b.listSource.mu.Unlock()
	var learnt policy.Learnt
	b.callPolicy(func() {
		state.Excluded = b.excludedHosts()
		learnt = b.policy.Tell()
	})
	if state.Learnt, err = json.Marshal(learnt); err != nil {
		return state, err
	}
	state.Holds, state.Fleet = b.usage(), b.exportMembership()
	u.newer = peer
	b.splitLimits(handover.Holds{})
	b.log.Info().Msg("handing over to a newer process")
	go b.receiveFromNewer(peer)
	return state, nil
}

func (b *Balancer) receiveFromNewer(peer *handover.Peer) {
	go b.sendUsage(peer)
	peer.Hear(func(m handover.Message) {
		switch m.Kind {
		case handover.Ready:
			b.handOverMembership()
			b.upgrade.newerReady.Store(true)
			b.log.Info().Msg("the newer process takes clients")
		case handover.Holding:
			b.splitLimits(*m.Holds)
		case handover.Ask:
			go func() { // not here: it may wait for what comes here
				answer := handover.Message{Kind: handover.Answer, N: m.N}
				if err := b.setExclusion(policy.CacheID(m.Member), m.Out, b.fleetOrders != nil); err != nil {
					answer.Fault = err.Error()
				}
				peer.Say(answer)
			}()
		case handover.Done:
			b.upgrade.deliverAnswer(m)
		}
	})
	b.peerEnded(&b.upgrade.newer)
	b.reclaimMembership()
}

func (b *Balancer) receiveFromOlder(peer *handover.Peer) {
	go b.sendUsage(peer)
	peer.Hear(func(m handover.Message) {
		switch m.Kind {
		case handover.Holding:
			b.splitLimits(*m.Holds)
		case handover.Ban:
			b.applyExclusion(policy.CacheID(m.Member), m.Out)
			peer.Say(handover.Message{Kind: handover.Done, N: m.N})
		case handover.Answer:
			b.upgrade.deliverAnswer(m)
		}
	})
	b.peerEnded(&b.upgrade.older)
}

// peerEnded goes on alone: the other process has ended, or was killed.
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
	b.callPolicy(func() { b.policy.Beside(false, 0) })
	b.setSharesUpgrading(false)
}

// deliverAnswer hands a message to who waits for it; what nobody waits for any more makes room.
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

// exchange sends an Ask or a Ban and waits for what answers it; false where nothing does. Under u.mu.
func (u *upgradeLink) exchange(peer *handover.Peer, m handover.Message) (answer handover.Message, ok bool) {
	u.messageCount++
	m.N = u.messageCount
	peer.Say(m)
	timeout := time.After(peerTimeout)
	for {
		select {
		case answer = <-u.answers:
			if answer.N == m.N {
				return answer, true
			}
		case <-peer.Gone():
			return answer, true // the process that is left has it
		case <-timeout:
			peer.Close()
			return answer, false
		}
	}
}

// setExclusion takes a host out by hand, or puts it back, in both processes of an upgrade. An order for the whole fleet holds also where no list
// has named the host yet.
func (b *Balancer) setExclusion(id policy.CacheID, exclude, fleet bool) error {
	u := &b.upgrade
	u.mu.Lock()
	defer u.mu.Unlock()
	m := handover.Message{Member: string(id), Out: exclude}
	answered := true
	if p := u.older; p != nil {
		m.Kind = handover.Ask
		var answer handover.Message
		answer, answered = u.exchange(p, m)
		if answer.Kind == handover.Answer {
			return errorFromText(answer.Fault)
		} // else this process is alone by now
	}
	known, withinLimit := false, true
	if exclude {
		b.callPolicy(func() { known, withinLimit = b.policy.Exclude(id) })
	} else {
		b.callPolicy(func() { known = b.policy.Knows(id) })
	}
	switch {
	case !known && !fleet:
		return admin.ErrNobody
	case !withinLimit && !fleet:
		return admin.ErrTooMany
	}
	saveErr := b.applyExclusion(id, exclude)
	if p := u.newer; p != nil {
		m.Kind = handover.Ban
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

// errorFromText is the error whose text came from the other process.
func errorFromText(text string) error {
	for _, err := range []error{admin.ErrNobody, admin.ErrTooMany, errPeerSilent} {
		if text == err.Error() {
			return err
		}
	}
	if text != "" {
		return errors.New(text)
	}
	return nil
}

// applyExclusion changes a ban here; the file has it before anybody is told yes, or else the error tells that it has not.
func (b *Balancer) applyExclusion(id policy.CacheID, exclude bool) error {
	b.switchExclusion(id, exclude)
	return b.saveExclusions()
}

// switchExclusion takes a host out first where calls are given to it, then where they are written, and puts it back the other way
// round.
func (b *Balancer) switchExclusion(id policy.CacheID, exclude bool) {
	if !exclude {
		b.hosts.Include(id)
	}
	b.callPolicy(func() {
		if exclude {
			b.policy.Bar(id)
		} else {
			b.policy.Include(id)
		}
	})
	if exclude {
		b.hosts.Exclude(id)
	}
	b.log.Info().Str("host", string(id)).Bool("out", exclude).Msg("by hand")
}

// excludedHosts are the hosts out by hand. Under Balancer.mu.
func (b *Balancer) excludedHosts() (all []string) {
	for _, id := range b.policy.Excluded() {
		all = append(all, string(id))
	}
	return all
}

// sendUsage says what this process holds, until the other one has ended.
func (b *Balancer) sendUsage(peer *handover.Peer) {
	t := time.NewTicker(usageInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			h := b.usage()
			peer.Say(handover.Message{Kind: handover.Holding, Holds: &h})
		case <-peer.Gone():
			return
		}
	}
}

func (b *Balancer) usage() handover.Holds {
	h := handover.Holds{Clients: int64(b.clients.count()), Upstream: int64(b.hosts.Open()), Calls: b.inFlight.Load(),
		Bytes: b.valueBytes.Load(), Leaving: b.currentPhase() > Serving}
	b.callPolicy(func() { h.Origin = b.policy.AtOrigin() })
	return h
}

// setLimits sets what this process may hold.
func (b *Balancer) setLimits(limits resourceLimits) {
	b.clients.setLimits(int(limits.clients-limits.clients/8), int(limits.clients))
	b.hosts.Limit(int(limits.upstream))
	b.maxInFlight.Store(limits.requests)
	b.maxValueBytes.Store(limits.bytes)
}

// splitLimits leaves to each process what it holds and a part of what both leave free. A second process has descriptors of its
// own besides.
func (b *Balancer) splitLimits(other handover.Holds) {
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
	b.callPolicy(func() { b.policy.Beside(true, other.Origin) })
}

// processShare is what one may hold of a whole: what it holds and half of what is free, or an eighth where it leaves.
func processShare(whole, own, other int64, leaving bool) int64 {
	free := max(0, whole-own-other)
	if leaving {
		return own + free/8
	}
	return own + free/2
}

// memoryLimit is what the collector keeps the heap under: what lives is some megabytes, and the machine's limit holds for all.
func (b *Balancer) memoryLimit() int64 { return int64(b.deployment.MemoryMB) << 20 * 3 / 4 }
