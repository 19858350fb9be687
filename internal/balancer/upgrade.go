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

// upgrade joins this process to the other one of an upgrade, while there is one. The two are one balancer: a ban holds
// for both, and what they hold together is what one may.
type upgrade struct {
	// mu makes an order of bans, which both processes apply as the older one has it. It is taken before all other locks.
	mu      sync.Mutex
	seat    *handover.Seat
	elder   *handover.Peer
	heir    *handover.Peer
	n       uint64
	answers chan handover.Message // those to what is waited for under mu, and late ones to what is not any more

	heirReady atomic.Bool // it takes clients
	seated    atomic.Bool // this process does
}

// holds is what a process may hold.
type holds struct{ clients, upstream, calls, bytes int64 }

const (
	// holdsEvery is how often both tell each other what they hold: short against what connections need to move over.
	holdsEvery = 50 * time.Millisecond
	// peerWait is how long the other process may take over a ban; operators are owed an answer in a second.
	peerWait = 500 * time.Millisecond
)

var (
	errBusy    = errors.New("an upgrade is under way already")
	errNotKept = errors.New("it is done, but could not be kept in a file yet: a restart would forget it")
	errNoWord  = errors.New("this process has done it; the other one of an upgrade does not answer")
)

// meet takes over the clients' address from an older process that serves there; nil where there is none. Only where there is a
// door there may be one.
func (b *Balancer) meet() (net.Listener, *handover.State) {
	if b.told.Admin == "" {
		return nil, nil
	}
	l, s, p, err := handover.Meet(handover.Path(os.TempDir(), b.told.Listen, ".sock"))
	if err == nil {
		b.log.Info().Int("excluded", len(s.Excluded)).Msg("taking over from an older process")
		b.upgrade.elder = p
		return l, &s
	}
	if !errors.Is(err, handover.ErrAlone) {
		b.log.Warn().Err(err).Msg("could not take over from an older process, starting as if alone")
	}
	return nil, nil
}

// listen opens the clients' address.
func (b *Balancer) listen() (net.Listener, error) {
	if b.told.Admin == "" {
		return net.Listen("tcp", b.told.Listen)
	}
	return handover.Listen(b.told.Listen)
}

func (b *Balancer) banFile() string { return handover.Path(os.TempDir(), b.told.Listen, ".out") }

// takeOver restores what an older process handed on, or what one that was killed left.
func (b *Balancer) takeOver(s *handover.State) {
	if b.told.Admin == "" {
		return
	}
	var excluded []string
	if s != nil {
		excluded = s.Excluded
		var learnt policy.Learnt
		if err := json.Unmarshal(s.Learnt, &learnt); err != nil {
			b.log.Warn().Err(err).Msg("what was learnt is not readable, left out")
		} else {
			b.decide(func() { b.module.TakeOver(learnt) })
		}
		b.share(s.Holds)
		go b.hearElder(b.upgrade.elder)
	} else {
		var err error
		if err = handover.Load(b.banFile(), &excluded); err != nil {
			excluded = nil
			b.log.Warn().Err(err).Str("file", b.banFile()).Msg("the hosts out by hand are not readable, none is out")
		}
	}
	for _, id := range excluded {
		b.change(policy.CacheID(id), true)
	}
	if len(excluded) > 0 {
		b.saveBans()
	}
}

// takeSeat tells that this process takes clients; a newer one meets it from now on.
func (b *Balancer) takeSeat(listener net.Listener) {
	u := &b.upgrade
	if b.told.Admin == "" {
		return
	}
	seat, err := handover.Keep(handover.Path(os.TempDir(), b.told.Listen, ".sock"), listener, b.join)
	if err != nil {
		b.log.Warn().Err(err).Msg("a newer process cannot take over from this one")
	}
	u.mu.Lock()
	u.seat = seat
	if u.elder != nil {
		u.elder.Say(handover.Message{Kind: handover.Ready})
	}
	u.mu.Unlock()
	u.seated.Store(true)
}

// leaveSeat ends what joins this process to others.
func (b *Balancer) leaveSeat() {
	u := &b.upgrade
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.seat != nil {
		u.seat.Leave()
	}
	for _, p := range []*handover.Peer{u.elder, u.heir} {
		if p != nil {
			p.Close()
		}
	}
}

// join hands on to a newer process.
func (b *Balancer) join(p *handover.Peer) (s handover.State, err error) {
	u := &b.upgrade
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.heir != nil || u.elder != nil || b.in() != Serving {
		return s, errBusy
	}
	b.source.mu.Lock()
	s.List = b.names().Format(b.source.list())
	b.source.mu.Unlock()
	var learnt policy.Learnt
	b.decide(func() {
		s.Excluded = b.excluded()
		learnt = b.module.Tell()
	})
	if s.Learnt, err = json.Marshal(learnt); err != nil {
		return s, err
	}
	s.Holds, s.Fleet = b.holding(), b.keepPlace()
	u.heir = p
	b.share(handover.Holds{})
	b.log.Info().Msg("handing over to a newer process")
	go b.hearHeir(p)
	return s, nil
}

func (b *Balancer) hearHeir(p *handover.Peer) {
	go b.tellHolds(p)
	p.Hear(func(m handover.Message) {
		switch m.Kind {
		case handover.Ready:
			b.givePlace()
			b.upgrade.heirReady.Store(true)
			b.log.Info().Msg("the newer process takes clients")
		case handover.Holding:
			b.share(*m.Holds)
		case handover.Ask:
			go func() { // not here: it may wait for what comes here
				answer := handover.Message{Kind: handover.Answer, N: m.N}
				if err := b.ban(policy.CacheID(m.Member), m.Out, b.orders != nil); err != nil {
					answer.Fault = err.Error()
				}
				p.Say(answer)
			}()
		case handover.Done:
			b.upgrade.answer(m)
		}
	})
	b.parted(&b.upgrade.heir)
	b.takePlaceBack()
}

func (b *Balancer) hearElder(p *handover.Peer) {
	go b.tellHolds(p)
	p.Hear(func(m handover.Message) {
		switch m.Kind {
		case handover.Holding:
			b.share(*m.Holds)
		case handover.Ban:
			b.apply(policy.CacheID(m.Member), m.Out)
			p.Say(handover.Message{Kind: handover.Done, N: m.N})
		case handover.Answer:
			b.upgrade.answer(m)
		}
	})
	b.parted(&b.upgrade.elder)
}

// parted goes on alone: the other process has ended, or was killed.
func (b *Balancer) parted(other **handover.Peer) {
	u := &b.upgrade
	u.mu.Lock()
	defer u.mu.Unlock()
	*other = nil
	u.heirReady.Store(false)
	if u.elder != nil || u.heir != nil {
		return
	}
	b.log.Info().Msg("the other process of the upgrade has ended")
	b.limit(b.whole)
	debug.SetMemoryLimit(b.memory())
	b.decide(func() { b.module.Beside(false, 0) })
	b.besideLimits(false)
}

// answer hands a message to who waits for it; what nobody waits for any more makes room.
func (u *upgrade) answer(m handover.Message) {
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

// say sends an Ask or a Ban and waits for what answers it; false where nothing does. Under u.mu.
func (u *upgrade) say(p *handover.Peer, m handover.Message) (answer handover.Message, ok bool) {
	u.n++
	m.N = u.n
	p.Say(m)
	late := time.After(peerWait)
	for {
		select {
		case answer = <-u.answers:
			if answer.N == m.N {
				return answer, true
			}
		case <-p.Gone():
			return answer, true // the process that is left has it
		case <-late:
			p.Close()
			return answer, false
		}
	}
}

// ban takes a host out by hand, or puts it back, in both processes of an upgrade. An order for the whole fleet holds also where no list
// has named the host yet.
func (b *Balancer) ban(id policy.CacheID, out, fleet bool) error {
	u := &b.upgrade
	u.mu.Lock()
	defer u.mu.Unlock()
	m := handover.Message{Member: string(id), Out: out}
	heard := true
	if p := u.elder; p != nil {
		m.Kind = handover.Ask
		var answer handover.Message
		answer, heard = u.say(p, m)
		if answer.Kind == handover.Answer {
			return faultOf(answer.Fault)
		} // else this process is alone by now
	}
	known, held := false, true
	if out {
		b.decide(func() { known, held = b.module.Exclude(id) })
	} else {
		b.decide(func() { known = b.module.Knows(id) })
	}
	switch {
	case !known && !fleet:
		return admin.ErrNobody
	case !held && !fleet:
		return admin.ErrTooMany
	}
	kept := b.apply(id, out)
	if p := u.heir; p != nil {
		m.Kind = handover.Ban
		_, heard = u.say(p, m)
	}
	switch {
	case !heard:
		return errNoWord
	case kept != nil:
		return fmt.Errorf("%w: %w", errNotKept, kept)
	}
	return nil
}

// faultOf is the error whose text came from the other process.
func faultOf(text string) error {
	for _, err := range []error{admin.ErrNobody, admin.ErrTooMany, errNoWord} {
		if text == err.Error() {
			return err
		}
	}
	if text != "" {
		return errors.New(text)
	}
	return nil
}

// apply changes a ban here; the file has it before anybody is told yes, or else the error tells that it has not.
func (b *Balancer) apply(id policy.CacheID, out bool) error {
	b.change(id, out)
	return b.saveBans()
}

// change takes a host out first where calls are given to it, then where they are written, and puts it back the other way
// round.
func (b *Balancer) change(id policy.CacheID, out bool) {
	if !out {
		b.hosts.Include(id)
	}
	b.decide(func() {
		if out {
			b.module.Bar(id)
		} else {
			b.module.Include(id)
		}
	})
	if out {
		b.hosts.Exclude(id)
	}
	b.log.Info().Str("host", string(id)).Bool("out", out).Msg("by hand")
}

// excluded are the hosts out by hand. Under Balancer.mu.
func (b *Balancer) excluded() (all []string) {
	for _, id := range b.module.Excluded() {
		all = append(all, string(id))
	}
	return all
}

// tellHolds says what this process holds, until the other one has ended.
func (b *Balancer) tellHolds(p *handover.Peer) {
	t := time.NewTicker(holdsEvery)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			h := b.holding()
			p.Say(handover.Message{Kind: handover.Holding, Holds: &h})
		case <-p.Gone():
			return
		}
	}
}

func (b *Balancer) holding() handover.Holds {
	h := handover.Holds{Clients: int64(b.clients.count()), Upstream: int64(b.hosts.Open()), Calls: b.open.Load(),
		Bytes: b.held.Load(), Leaving: b.in() > Serving}
	b.decide(func() { h.Origin = b.module.AtOrigin() })
	return h
}

// limit sets what this process may hold.
func (b *Balancer) limit(h holds) {
	b.clients.limit(int(h.clients-h.clients/8), int(h.clients))
	b.hosts.Limit(int(h.upstream))
	b.mostInHand.Store(h.calls)
	b.mostHeld.Store(h.bytes)
}

// share leaves to each process what it holds and a part of what both leave free. A second process has descriptors of its
// own besides.
func (b *Balancer) share(other handover.Holds) {
	mine, w := b.holding(), b.whole
	part := func(whole, mine, other int64) int64 { return portion(whole, mine, other, b.in() > Serving) }
	if other.Leaving {
		part = func(whole, mine, other int64) int64 { return whole - portion(whole, other, mine, true) }
	}
	b.limit(holds{part(w.clients-ownSockets/2, mine.Clients, other.Clients), part(w.upstream-ownSockets/2, mine.Upstream, other.Upstream),
		part(w.calls, mine.Calls, other.Calls), part(w.bytes, mine.Bytes, other.Bytes)})
	debug.SetMemoryLimit(b.memory() / 2)
	b.decide(func() { b.module.Beside(true, other.Origin) })
}

// portion is what one may hold of a whole: what it holds and half of what is free, or an eighth where it leaves.
func portion(whole, mine, other int64, leaves bool) int64 {
	free := max(0, whole-mine-other)
	if leaves {
		return mine + free/8
	}
	return mine + free/2
}

// memory is what the collector keeps the heap under: what lives is some megabytes, and the machine's limit holds for all.
func (b *Balancer) memory() int64 { return int64(b.told.MemoryMB) << 20 * 3 / 4 }
