package balancer

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"streamrail/internal/admin"
	"streamrail/internal/handover"
	"streamrail/policy"
)

// Exclusions in an upgrade: the older process decides their order, and both apply them. An operator gets a positive answer once both have.

// peerTimeout is how long the peer process may take to apply an exclusion; operators must get an answer within a second.
const peerTimeout = 500 * time.Millisecond

var (
	errStarting   = errors.New("this process is starting and has not read which hosts are out; repeat the call")
	errNotSaved   = errors.New("it is done, but could not be kept in a file yet: a restart would forget it")
	errPeerSilent = errors.New("this process has done it; the other one of an upgrade does not answer")
)

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
		} // otherwise the older process has ended or stands still, and this one decides
	}
	if err := b.checkExclusion(id, exclude, fleet); err != nil {
		return err
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

// checkExclusion returns why this process cannot decide an exclusion, or refuses it.
func (b *Balancer) checkExclusion(id policy.HostID, exclude, fleet bool) error {
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
	case fleet:
		return nil
	case !known:
		return admin.ErrUnknownHost
	case !withinLimit:
		return admin.ErrTooManyExcluded
	}
	return nil
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

// exchange sends an ExclusionRequest or ExclusionNotice and waits for its answer. It returns false if none comes in time. The message
// stays on its way then, so a process that stood still obeys it when it goes on, and in the same order as other messages. The caller
// holds u.mu.
func (u *upgradeLink) exchange(peer *handover.Peer, m handover.Message) (answer handover.Message, ok bool) {
	u.messageCount++
	m.N = u.messageCount
	peer.Send(m)
	wait := peerTimeout
	if u.peerSilent.Load() { // it has not sent anything since an answer was due
		wait = 0
	}
	timeout := time.After(wait)
	for {
		select {
		case answer = <-u.answers:
			if answer.N == m.N {
				return answer, true
			}
		case <-peer.Closed():
			return answer, true // the peer process has ended, so this process alone has to apply it
		case <-timeout:
			u.peerSilent.Store(true)
			return answer, false
		}
	}
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
