package balancer

import (
	"encoding/json"
	"errors"
	"net"
	"os"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

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
	// besideOther means that another process was there at the start and has not handed over.
	besideOther bool
	// startingMu guards startingExclusions: the exclusions of a newer process that has not restored them yet, afterwards nil. It is held
	// while they are restored and while a message of the older process changes an exclusion.
	startingMu         sync.Mutex
	startingExclusions map[string]bool
	follower           *listFollower         // receives the older process's lists; nil if it does not pass them on
	messageCount       uint64                // numbers the messages that need an answer
	answers            chan handover.Message // to the exchange that waits under mu, and late ones for which no exchange waits any more

	peerSilent   atomic.Bool // the peer process has not answered in time, and has sent nothing since
	newerReady   atomic.Bool // the newer process takes clients
	takesClients atomic.Bool // this process takes clients
}

// upgradeWait is how long a process that starts waits for an upgrade under way to end. An older process that was told to end has ended
// by then, and this one can still become ready within six seconds.
const upgradeWait = 4 * time.Second

// errNotServing is the reason for which a process that ends hands nothing over.
var errNotServing = errors.New("it is ending")

// takeOverListener takes over the clients' listener from an older process that serves the same address; nil if there is none. A process
// without an admin API takes no part in upgrades. The error means that this process may not serve beside those that do.
func (b *Balancer) takeOverListener() (net.Listener, *handover.State, error) {
	if b.deployment.Admin == "" {
		return nil, nil, nil
	}
	deadline := time.Now().Add(upgradeWait)
	var logOnce sync.Once
	keepTrying := func() bool {
		b.listeningSince = time.Now() // what arrives before is for the processes that serve
		logOnce.Do(func() { b.log.Info().Msg("waiting for the end of another start or upgrade") })
		return b.currentPhase() == Starting && time.Now().Before(deadline)
	}
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
		b.upgrade.besideOther = true
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
	if state.RequestIDs != nil {
		b.requestIDs.addTaken(state.RequestIDs.Taken, time.Since(b.epoch))
		b.requestIDs.startExchange(peer, true)
	}
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
		state.ListAddr = b.listSource.listAddr()
		b.startForwardingLists(peer)
	}
	b.listSource.mu.Unlock()
	state.Holds, state.Fleet = b.usage(), b.exportMembership()
	u.newer = peer
	state.RequestIDs = &handover.RequestIDs{Taken: b.requestIDs.startExchange(peer, false)}
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
		b.upgrade.peerSilent.Store(false)
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
		default:
			b.receiveIDs(peer, m)
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
		b.upgrade.peerSilent.Store(false)
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
		default:
			b.receiveIDs(peer, m)
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
	b.requestIDs.endExchange()
	u.newerReady.Store(false)
	u.peerSilent.Store(false)
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
