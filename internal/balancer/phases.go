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

func (b *Balancer) currentPhase() Phase { return Phase(b.phase.Load()) }

// advanceTo goes on to a later phase; there is no way back.
func (b *Balancer) advanceTo(p Phase) {
	for old := b.currentPhase(); old < p; old = b.currentPhase() {
		if b.phase.CompareAndSwap(int32(old), int32(p)) {
			b.log.Info().Stringer("from", old).Stringer("phase", p).Msg("phase")
			b.phaseChanged <- struct{}{} // there are fewer phases than it holds
		}
	}
}

// Drain begins the ordered end.
func (b *Balancer) Drain() { b.advanceTo(Leaving) }

// Stop ends at once; requests in hand are lost.
func (b *Balancer) Stop() { b.advanceTo(Stopped) }

const (
	maxHostListWait = time.Second            // for the present list; the old one serves if it does not come
	frontDelay      = 600 * time.Millisecond // the front sends new connections for up to 0.4 s after the order to end
	unusedConnGrace = 300 * time.Millisecond // for a connection that has carried nothing when the rest close
	// Of the longest client timeout, of which three seconds at most are waited for: what is kept to end what is in
	// hand, and what may go beyond it. The order to die comes 0.7 s after it at the soonest.
	finishReserve    = 500 * time.Millisecond
	drainOverrun     = 400 * time.Millisecond
	maxClientTimeout = 3 * time.Second
	finalAnswerTime  = lingerTime + 50*time.Millisecond // for the answers that are left then, and for the clients to hear of the end
)

// Run takes the balancer through its phases and returns when it has stopped.
func (b *Balancer) Run() error {
	b.listeningSince = time.Now()
	listener, older := b.takeOverListener() // nil: no older process serves there
	if listener != nil {
		defer listener.Close()
	}
	if b.deployment.Admin != "" {
		adminListener, err := net.Listen("tcp", b.deployment.Admin)
		if err != nil {
			return fmt.Errorf("admin_addr: %w", err)
		}
		defer admin.Open(adminListener, adminAPI{b}).Close()
	}
	defer b.closeHandover()
	defer b.cancel()
	if older == nil {
		if err := b.joinFleet(nil); err != nil {
			return err
		}
	}
	defer b.leaveFleet()
	b.restoreHostList(older)
	b.restoreState(older)
	b.startWatch()
	b.awaitHostList()
	if listener == nil {
		if b.currentPhase() != Starting { // ordered to end before it took anything on
			b.cleanUp()
			return nil
		}
		// Only now: what clients send to an open address counts as taken, and cannot be answered before all this is done.
		b.listeningSince = time.Now()
		var err error
		if listener, err = b.listen(); err != nil {
			return fmt.Errorf("listen: %w", err)
		}
		defer listener.Close()
	}
	b.advanceTo(Serving)
	go b.accept(listener)
	b.offerHandover(listener)
	if older != nil {
		b.takeOverMembership(older.Fleet)
	}
	reportTicker := time.NewTicker(reportInterval)
	defer reportTicker.Stop()
	for b.currentPhase() == Serving {
		select {
		case <-b.phaseChanged:
		case <-reportTicker.C:
			b.logReport()
		}
	}
	b.shutDown(listener)
	b.cleanUp()
	return nil
}

// awaitHostList waits for the present list, for as long as the one last known may serve in its place.
func (b *Balancer) awaitHostList() {
	select {
	case <-b.listSource.ready:
	case <-b.phaseChanged: // ordered to end before it served
	case <-time.After(maxHostListWait):
		b.log.Warn().Msg("no list from discovery yet, serving with the one last known")
	}
}

// shutDown goes through the phases that are left after Serving.
func (b *Balancer) shutDown(listener net.Listener) {
	end := time.After(min(b.deployment.ClientTimeout, maxClientTimeout) + drainOverrun)
	if b.currentPhase() == Leaving && b.upgrade.newerReady.Load() { // the socket stays open there: nobody is turned back
		listener.Close()
		b.advanceTo(Draining)
	}
	if b.currentPhase() == Leaving {
		b.runLeaving()
	}
	if b.currentPhase() == Draining {
		b.runDraining(listener, end)
	}
}

// cleanUp ends what Run began.
func (b *Balancer) cleanUp() {
	b.logReport()
	b.advanceTo(Stopped)
	b.hosts.Close()
}

// runLeaving serves on: clients use the connections they have for as long as these stay open, and a peer that
// starts again at the same time may not be back yet. It ends early once nobody is connected.
func (b *Balancer) runLeaving() {
	end := time.After(max(frontDelay, min(b.deployment.ClientTimeout, maxClientTimeout)-finishReserve))
	ticker := time.NewTicker(frontDelay)
	defer ticker.Stop()
	for b.currentPhase() == Leaving {
		select {
		case <-end:
			b.advanceTo(Draining)
		case <-ticker.C:
			if b.clients.count() == 0 {
				b.advanceTo(Draining)
			}
		case <-b.phaseChanged:
		}
	}
}

// runDraining closes connections between requests and waits for what is in hand.
func (b *Balancer) runDraining(listener net.Listener, end <-chan time.Time) {
	b.clients.closeIdle()
	unusedTimer := time.After(unusedConnGrace)
	for b.currentPhase() == Draining {
		select {
		case <-unusedTimer:
			closeWhenQueueEmpty(listener)
			b.clients.closeIdle()
		case <-b.clients.allClosed:
			return
		case <-end:
			b.clients.closeAll()
			b.log.Warn().Int("left", b.abandonAll()).Msg("out of time while draining")
			select {
			case <-b.clients.allClosed:
			case <-time.After(finalAnswerTime):
			}
			return
		case <-b.phaseChanged:
		}
	}
}
