package balancer

import (
	"fmt"
	"sync/atomic"
	"time"

	"streamrail/internal/discovery"
	"streamrail/internal/handover"
)

// Where asking for host lists loads discovery, only one process of an upgrade does so: the older one, which passes each answer on
// to the newer one. The newer one asks from the moment at which the older one has ended or is silent, for what has changed since
// the last answer. So both know of a change as soon as either does, and none is lost between the two.

const (
	// maxQueuedLists is how many answers of discovery may wait for the other process. They come at most a few times a second.
	maxQueuedLists = 64
	// olderSilence is how long the older process may send nothing before the newer one asks discovery itself. It sends its usage every
	// usageInterval.
	olderSilence = 500 * time.Millisecond
)

// listForwarder passes answers of discovery on to the newer process.
type listForwarder struct {
	peer  *handover.Peer
	queue chan forwardedList
}

// forwardedList is a list and the address of the discovery service that it came from.
type forwardedList struct {
	addr string
	list discovery.List
}

// startForwardingLists passes each list that is accepted from now on to the newer process. The caller holds listSource.mu.
func (b *Balancer) startForwardingLists(peer *handover.Peer) {
	forwarder := &listForwarder{peer, make(chan forwardedList, maxQueuedLists)}
	b.listSource.forwarder = forwarder
	go func() {
		defer b.stopForwardingLists(forwarder)
		for {
			select {
			case f := <-forwarder.queue:
				peer.Send(handover.Message{Kind: handover.ListUpdate, ListAddr: f.addr, List: b.discoveryNames().Format(f.list)})
			case <-peer.Closed():
				return
			}
		}
	}()
}

func (b *Balancer) stopForwardingLists(forwarder *listForwarder) {
	b.listSource.mu.Lock()
	defer b.listSource.mu.Unlock()
	if b.listSource.forwarder == forwarder {
		b.listSource.forwarder = nil
	}
}

// forward queues a list. The caller holds listSource.mu.
func (f *listForwarder) forward(addr string, list discovery.List) {
	if f == nil {
		return
	}
	select {
	case f.queue <- forwardedList{addr, list}:
	case <-f.peer.Closed():
	}
}

// listFollower receives the lists that the older process of an upgrade passes on.
type listFollower struct {
	older       *handover.Peer
	addr        string // of the discovery service that the lists come from
	received    chan handover.Message
	ended       chan struct{} // closed when this process asks discovery itself
	lastMessage atomic.Int64  // when the older process last sent anything, in nanoseconds since Balancer.epoch
}

func newListFollower(older *handover.Peer, addr string) *listFollower {
	return &listFollower{older: older, addr: addr, received: make(chan handover.Message, maxQueuedLists), ended: make(chan struct{})}
}

// noteMessage notes that the older process has sent a message, at a time since Balancer.epoch.
func (f *listFollower) noteMessage(at time.Duration) {
	if f != nil {
		f.lastMessage.Store(int64(at))
	}
}

// receive queues a list from the older process.
func (f *listFollower) receive(m handover.Message) {
	if f == nil {
		return
	}
	select {
	case f.received <- m:
	case <-f.ended:
	}
}

// followOlderProcess applies the lists that the older process passes on, and asks discovery once that process has ended or is silent, or
// a reload names another discovery service.
func (b *Balancer) followOlderProcess(follower *listFollower) {
	follower.noteMessage(time.Since(b.epoch))
	defer b.continueWatch(follower.addr)
	defer close(follower.ended)
	ticker := time.NewTicker(usageInterval)
	defer ticker.Stop()
	for {
		select {
		case m := <-follower.received:
			if err := b.applyForwardedList(follower.addr, m); err != nil {
				b.log.Warn().Err(err).Msg("not following the older process's list any more, asking discovery")
				return
			}
		case <-ticker.C:
			if b.listSource.currentAddr() != follower.addr { // by a reload
				return
			}
			if silence := time.Since(b.epoch) - time.Duration(follower.lastMessage.Load()); silence > olderSilence {
				b.log.Warn().Dur("silent_ms", silence).Msg("the older process is silent, asking discovery")
				return
			}
		case <-follower.older.Closed(): // what it sent last and is not applied yet, discovery sends again
			return
		case <-b.ctx.Done():
			return
		}
	}
}

// applyForwardedList applies a list that the older process has applied. After an error later lists cannot be applied, as they contain
// only what has changed since this one.
func (b *Balancer) applyForwardedList(addr string, m handover.Message) error {
	if m.ListAddr != addr {
		return fmt.Errorf("it comes from another discovery service, at %s", m.ListAddr)
	}
	list, err := b.discoveryNames().Parse(m.List)
	if err != nil {
		return err
	}
	list.ReceivedAt = time.Now()
	b.acceptHostList(b.ctx, addr, list)
	return nil
}

// continueWatch asks for what has changed since the last list from the discovery service at an address. If that is not the one to ask
// any more, it asks for the whole list.
func (b *Balancer) continueWatch(addr string) {
	b.listSource.mu.Lock()
	b.listSource.resumeFrom = nil
	if generation := b.listSource.generation; addr == b.listSource.addr && len(b.listSource.hosts) > 0 {
		b.listSource.resumeFrom = &generation
	}
	b.listSource.mu.Unlock()
	b.startWatch(true)
}
