package balancer

import (
	"sync/atomic"
	"time"

	"streamrail/internal/handover"
)

// Request ids in an upgrade: each process knows which ids of requests with an effect the other one has taken. The older process decides
// between two requests with one id, so the newer one asks it before such a request begins.

// idDecisionTimeout is how long a request of the newer process waits for the older one's decision. After that the newer process goes by what
// it has been told, until the older one is heard from.
const idDecisionTimeout = 100 * time.Millisecond

// idExchange tells the peer process of an upgrade which ids this process takes and frees. The next batch goes out once the peer has answered
// the last one, so a peer that stands still has one message unread at the most.
type idExchange struct {
	peer        *handover.Peer
	peerDecides bool                  // the peer is the older process
	queue       []idChange            // guarded by requestIDs.mu
	queued      chan struct{}         // receives a value when the queue is not empty
	decisions   chan handover.Message // from the peer
	silent      atomic.Bool           // a decision was late, and none has come since
}

// idChange is an id that this process has taken, or freed as its request provably never ran.
type idChange struct {
	key     idKey
	freed   bool
	refused chan bool // receives the peer's decision; nil: nobody waits for it
}

// startExchange begins to tell a peer of all changes, and returns the ids that are taken now.
func (ids *requestIDs) startExchange(peer *handover.Peer, peerDecides bool) (taken []byte) {
	ids.mu.Lock()
	defer ids.mu.Unlock()
	ids.exchange = &idExchange{peer: peer, peerDecides: peerDecides, queued: make(chan struct{}, 1), decisions: make(chan handover.Message, 1)}
	go ids.runExchange(ids.exchange)
	return ids.takenIDs()
}

// endExchange stops telling the peer process, which has ended.
func (ids *requestIDs) endExchange() {
	ids.mu.Lock()
	defer ids.mu.Unlock()
	ids.exchange = nil
}

// takenIDs returns the ids of requests with an effect that are in flight or may have run, maxPastIDs of them at most.
func (ids *requestIDs) takenIDs() (taken []byte) {
	for _, past := range []*pastIDs{&ids.peerPast, &ids.past} {
		for _, entry := range past.queue {
			taken = append(taken, entry.key[:]...)
		}
	}
	for key, hasEffect := range ids.inFlight {
		if hasEffect {
			taken = append(taken, key[:]...)
		}
	}
	return taken[max(0, len(taken)-maxPastIDs*len(idKey{})):]
}

// addTaken adds the ids that an older process handed over.
func (ids *requestIDs) addTaken(taken []byte, now time.Duration) {
	ids.mu.Lock()
	defer ids.mu.Unlock()
	for ; len(taken) >= len(idKey{}); taken = taken[len(idKey{}):] {
		ids.peerPast.add(idKey(taken[:len(idKey{})]), now)
	}
}

// enqueue queues a change for the peer; it may be called without an exchange. The caller holds requestIDs.mu.
func (x *idExchange) enqueue(change idChange) {
	if x == nil {
		return
	}
	if len(x.queue) >= maxPastIDs {
		x.queue = x.queue[1:]
	}
	x.queue = append(x.queue, change)
	select {
	case x.queued <- struct{}{}:
	default:
	}
}

// claim queues a claim and returns what awaitDecision needs. The caller holds requestIDs.mu.
func (x *idExchange) claim(key idKey) (refused chan bool) {
	if x != nil && x.peerDecides {
		refused = make(chan bool, 1)
	}
	x.enqueue(idChange{key: key, refused: refused})
	return refused
}

// awaitDecision waits for the peer's decision about a claim and reports whether it has refused it.
func (x *idExchange) awaitDecision(refused chan bool) bool {
	if refused == nil {
		return false
	}
	wait := idDecisionTimeout
	if x.silent.Load() {
		wait = 0
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case taken := <-refused:
		return taken
	case <-x.peer.Closed(): // it has ended, and all that it told before has been received
	case <-timer.C:
		x.silent.Store(true)
	}
	return false
}

// runExchange sends the queued changes until the peer has ended.
func (ids *requestIDs) runExchange(x *idExchange) {
	for n := uint64(1); ; n++ {
		select {
		case <-x.queued:
		case <-x.peer.Closed():
			return
		}
		ids.mu.Lock()
		batch := x.queue
		x.queue = nil
		ids.mu.Unlock()
		x.peer.Send(handover.Message{Kind: handover.IDChanges, N: n, IDs: encodeIDChanges(batch)})
		if !x.receiveDecision(n, batch) {
			return
		}
	}
}

// receiveDecision waits for the peer's answer to a batch and passes it to the requests that wait for it; false if the peer has ended.
func (x *idExchange) receiveDecision(n uint64, batch []idChange) bool {
	for {
		select {
		case m := <-x.decisions:
			if m.N != n {
				continue
			}
			x.silent.Store(false)
			refused := map[idKey]bool{}
			for keys := m.IDs; len(keys) >= len(idKey{}); keys = keys[len(idKey{}):] {
				refused[idKey(keys[:len(idKey{})])] = true
			}
			for _, change := range batch {
				if change.refused != nil {
					change.refused <- refused[change.key]
				}
			}
			return true
		case <-x.peer.Closed():
			return false
		}
	}
}

// deliverDecision passes on a message of the peer.
func (ids *requestIDs) deliverDecision(m handover.Message) {
	ids.mu.Lock()
	defer ids.mu.Unlock()
	if ids.exchange == nil {
		return
	}
	select {
	case ids.exchange.decisions <- m:
	default: // an answer to no batch
	}
}

// Bytes that precede each id in an encoded change.
const (
	idTaken byte = iota
	idFreed
)

func encodeIDChanges(changes []idChange) (encoded []byte) {
	for _, change := range changes {
		kind := idTaken
		if change.freed {
			kind = idFreed
		}
		encoded = append(append(encoded, kind), change.key[:]...)
	}
	return encoded
}

// applyPeerChanges records what the peer process has taken and freed, and returns the ids that this process has taken already.
func (ids *requestIDs) applyPeerChanges(encoded []byte, now time.Duration) (refused []byte) {
	const size = 1 + len(idKey{})
	ids.mu.Lock()
	defer ids.mu.Unlock()
	for ; len(encoded) >= size; encoded = encoded[size:] {
		key := idKey(encoded[1:size])
		_, inFlight := ids.inFlight[key]
		switch {
		case encoded[0] == idFreed:
			ids.peerPast.remove(key)
		case inFlight || ids.isPast(key, now):
			refused = append(refused, key[:]...)
		default:
			ids.peerPast.add(key, now)
		}
	}
	return refused
}

// receiveIDs handles a message about ids.
func (b *Balancer) receiveIDs(peer *handover.Peer, m handover.Message) {
	switch m.Kind {
	case handover.IDChanges:
		peer.Send(handover.Message{Kind: handover.IDDecision, N: m.N, IDs: b.requestIDs.applyPeerChanges(m.IDs, time.Since(b.epoch))})
	case handover.IDDecision:
		b.requestIDs.deliverDecision(m)
	}
}
