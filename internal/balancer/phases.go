package balancer

import (
	"fmt"
	"net"
	"time"

	"streamrail/internal/admin"
)

// Phase is a stage of the process from start to exit.
type Phase int32

const (
	Starting Phase = iota // has the last known host list at most and asks discovery for the present one
	Serving
	Leaving  // goes on serving while other balancers and the load balancer in front notice that it ends
	Draining // answers all requests that arrive, and closes connections between requests
	Stopped
)

func (p Phase) String() string {
	return [...]string{"starting", "serving", "leaving", "draining", "stopped"}[p]
}

func (b *Balancer) currentPhase() Phase { return Phase(b.phase.Load()) }

// advanceTo moves to a later phase, never to an earlier one.
func (b *Balancer) advanceTo(p Phase) {
	for old := b.currentPhase(); old < p; old = b.currentPhase() {
		if b.phase.CompareAndSwap(int32(old), int32(p)) {
			b.log.Info().Stringer("from", old).Stringer("phase", p).Msg("phase")
			b.phaseChanged <- struct{}{} // does not block: the buffer holds as many as there are later phases
		}
	}
}

// Drain begins the orderly shutdown.
func (b *Balancer) Drain() { b.advanceTo(Leaving) }

// Stop ends the balancer at once; requests in flight are lost.
func (b *Balancer) Stop() { b.advanceTo(Stopped) }

const (
	maxHostListWait = time.Second            // wait for the present host list; the last known one is used if it does not arrive
	frontDelay      = 600 * time.Millisecond // the load balancer in front sends new connections for up to 0.4 s after the shutdown was ordered
	unusedConnGrace = 300 * time.Millisecond // for a connection that has carried no command when idle ones close
	// Shutdown waits for the client timeout, of which at most maxClientTimeout counts. finishReserve of it is kept to finish requests
	// in flight, and draining may exceed it by drainOverrun. The process is killed 0.7 s after the client timeout at the earliest.
	finishReserve    = 500 * time.Millisecond
	drainOverrun     = 400 * time.Millisecond
	maxClientTimeout = 3 * time.Second
	finalAnswerTime  = lingerTime + 50*time.Millisecond // for the remaining answers, and for clients to receive the end of the connection
	maxFinalStream   = 30 * time.Second                 // for long values that hosts still write; whoever ends the process may kill it before
)

// Run takes the balancer through its phases and returns once it has stopped.
func (b *Balancer) Run() error {
	b.listeningSince = time.Now()
	listener, older, err := b.takeOverListener() // nil: no older process serves on this address
	defer b.upgrade.startLock.Release()
	if err != nil && b.currentPhase() != Starting { // shutdown was ordered while it waited
		b.cleanUp()
		return nil
	}
	if err != nil {
		return err
	}
	if listener != nil {
		defer listener.Close()
	}
	if b.deployment.Admin != "" {
		adminListener, err := net.Listen("tcp", b.deployment.Admin)
		if err != nil {
			return fmt.Errorf("admin_addr: %w", err)
		}
		defer admin.Serve(adminListener, adminAPI{b}).Close()
	}
	defer b.closeHandover()
	defer b.cancel()
	b.restoreHostList(older)
	b.restoreState(older)
	if older == nil {
		if err := b.startMembership(); err != nil { // after restoreState, as stored orders add to the stored exclusions
			return err
		}
	}
	defer b.leaveFleet()
	b.followHostList(older)
	b.awaitHostList()
	if listener == nil {
		if b.currentPhase() != Starting { // shutdown was ordered before it served
			b.cleanUp()
			return nil
		}
		// The address is opened only now: what clients send to an open one counts as accepted, and cannot be answered before this point.
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

// awaitHostList waits for the present host list, at most for maxHostListWait; after that the last known one is used.
func (b *Balancer) awaitHostList() {
	select {
	case <-b.listSource.ready:
	case <-b.phaseChanged: // shutdown was ordered before it served
	case <-time.After(maxHostListWait):
		b.log.Warn().Msg("no list from discovery yet, serving with the one last known")
	}
}

// shutDown goes through the phases after Serving.
func (b *Balancer) shutDown(listener net.Listener) {
	end := time.After(min(b.deployment.ClientTimeout, maxClientTimeout) + drainOverrun)
	if b.currentPhase() == Leaving && b.upgrade.newerReady.Load() { // the listening socket stays open in the newer process, so no client is refused
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

// cleanUp ends what Run began, after a last report.
func (b *Balancer) cleanUp() {
	b.logReport()
	b.advanceTo(Stopped)
	b.hosts.Close()
}

// runLeaving goes on serving: clients use their connections for as long as these stay open, and another balancer that restarts at the
// same time may not be back yet. It ends early once no client is connected.
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

// runDraining closes connections between requests and waits for the requests in flight.
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
			b.clients.endService()
			b.log.Warn().Int("left", b.abandonAll()).Msg("out of time while draining")
			b.awaitLastAnswers()
			return
		case <-b.phaseChanged:
		}
	}
}

// awaitLastAnswers waits until the remaining answers are written and their clients have received the end of the connection. A long value
// takes as long as its host and its client do.
func (b *Balancer) awaitLastAnswers() {
	streamsEnd := time.Now().Add(maxFinalStream)
	for streaming := true; streaming && b.currentPhase() == Draining; {
		streaming = b.streams.Load() > 0 && time.Now().Before(streamsEnd)
		select {
		case <-b.clients.allClosed:
			return
		case <-time.After(finalAnswerTime):
		case <-b.phaseChanged:
		}
	}
}
