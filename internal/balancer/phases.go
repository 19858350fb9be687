package balancer

import (
	"fmt"
	"net"
	"time"

	"streamrail/internal/admin"
)

// Phase is a stage of the program from start to exit.
type Phase int32

const (
	Starting Phase = iota // knows the list as it had it last and asks for the present one
	Serving
	Leaving  // goes on serving while its peers and the front take note
	Draining // answers what comes and has come, closes connections between requests
	Stopped
)

func (p Phase) String() string {
	return [...]string{"starting", "serving", "leaving", "draining", "stopped"}[p]
}

func (b *Balancer) in() Phase { return Phase(b.phase.Load()) }

// enter goes on to a later phase; there is no way back.
func (b *Balancer) enter(p Phase) {
	for old := b.in(); old < p; old = b.in() {
		if b.phase.CompareAndSwap(int32(old), int32(p)) {
			b.log.Info().Stringer("from", old).Stringer("phase", p).Msg("phase")
			b.changed <- struct{}{} // there are fewer phases than it holds
		}
	}
}

// Drain begins the ordered end.
func (b *Balancer) Drain() { b.enter(Leaving) }

// Stop ends at once; requests in hand are lost.
func (b *Balancer) Stop() { b.enter(Stopped) }

const (
	startWait = time.Second            // for the present list; the old one serves if it does not come
	frontLags = 600 * time.Millisecond // the front sends new connections for up to 0.4 s after the order to end
	fresh     = 300 * time.Millisecond // for a connection that has carried nothing when the rest close
	// Of the longest client timeout, of which three seconds at most are waited for: what is kept to end what is in
	// hand, and what may go beyond it. The order to die comes 0.7 s after it at the soonest.
	toEnd     = 500 * time.Millisecond
	beyond    = 400 * time.Millisecond
	longest   = 3 * time.Second
	lastWords = lingers + 50*time.Millisecond // for the answers that are left then, and for the clients to hear of the end
)

// Run takes the balancer through its phases and returns when it has stopped.
func (b *Balancer) Run() error {
	b.listening = time.Now()
	listener, from := b.meet() // nil: no older process serves there
	if listener != nil {
		defer listener.Close()
	}
	if b.told.Admin != "" {
		l, err := net.Listen("tcp", b.told.Admin)
		if err != nil {
			return fmt.Errorf("admin_addr: %w", err)
		}
		defer admin.Open(l, door{b}).Close()
	}
	defer b.leaveSeat()
	defer b.end()
	if from == nil {
		if err := b.takePlace(nil); err != nil {
			return err
		}
	}
	defer b.leavePlace()
	b.restore(from)
	b.takeOver(from)
	b.watch()
	b.awaitList()
	if listener == nil {
		if b.in() != Starting { // ordered to end before it took anything on
			b.stopped()
			return nil
		}
		// Only now: what clients send to an open address counts as taken, and cannot be answered before all this is done.
		b.listening = time.Now()
		var err error
		if listener, err = b.listen(); err != nil {
			return fmt.Errorf("listen: %w", err)
		}
		defer listener.Close()
	}
	b.enter(Serving)
	go b.accept(listener)
	b.takeSeat(listener)
	if from != nil {
		b.followOn(from.Fleet)
	}
	report := time.NewTicker(reportEvery)
	defer report.Stop()
	for b.in() == Serving {
		select {
		case <-b.changed:
		case <-report.C:
			b.report()
		}
	}
	b.endInOrder(listener)
	b.stopped()
	return nil
}

// awaitList waits for the present list, for as long as the one last known may serve in its place.
func (b *Balancer) awaitList() {
	select {
	case <-b.source.first:
	case <-b.changed: // ordered to end before it served
	case <-time.After(startWait):
		b.log.Warn().Msg("no list from discovery yet, serving with the one last known")
	}
}

// endInOrder goes through the phases that are left after Serving.
func (b *Balancer) endInOrder(listener net.Listener) {
	end := time.After(min(b.told.ClientTimeout, longest) + beyond)
	if b.in() == Leaving && b.upgrade.heirReady.Load() { // the socket stays open there: nobody is turned back
		listener.Close()
		b.enter(Draining)
	}
	if b.in() == Leaving {
		b.leaving()
	}
	if b.in() == Draining {
		b.drain(listener, end)
	}
}

// stopped ends what Run began.
func (b *Balancer) stopped() {
	b.report()
	b.enter(Stopped)
	b.hosts.Close()
}

// leaving serves on: clients use the connections they have for as long as these stay open, and a peer that
// starts again at the same time may not be back yet. It ends early once nobody is connected.
func (b *Balancer) leaving() {
	end := time.After(max(frontLags, min(b.told.ClientTimeout, longest)-toEnd))
	look := time.NewTicker(frontLags)
	defer look.Stop()
	for b.in() == Leaving {
		select {
		case <-end:
			b.enter(Draining)
		case <-look.C:
			if b.clients.count() == 0 {
				b.enter(Draining)
			}
		case <-b.changed:
		}
	}
}

// drain closes connections between requests and waits for what is in hand.
func (b *Balancer) drain(listener net.Listener, end <-chan time.Time) {
	b.clients.endIdle()
	front := time.After(fresh)
	for b.in() == Draining {
		select {
		case <-front:
			closeEmptied(listener)
			b.clients.endIdle()
		case <-b.clients.none:
			return
		case <-end:
			b.clients.endAll()
			b.log.Warn().Int("left", b.abandonAll()).Msg("out of time while draining")
			select {
			case <-b.clients.none:
			case <-time.After(lastWords):
			}
			return
		case <-b.changed:
		}
	}
}
