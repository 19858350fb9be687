package balancer

import (
	"sync"
	"time"

	"streamrail/internal/admin"
	"streamrail/internal/fleet/evidence"
	"streamrail/internal/fleet/member"
	"streamrail/internal/fleet/transport"
	"streamrail/policy"
)

// observationExchange exchanges observations of hosts with other balancers. It is nil unless the operator's file enables it.
type observationExchange struct {
	epoch time.Time

	mu        sync.Mutex
	machine   *evidence.Machine
	transport *transport.Transport
	stop      chan struct{}
	delivered []evidence.HostSummary // what the policy has been given last
}

func (b *Balancer) newObservationExchange() *observationExchange {
	if b.fleet.settings == nil || !b.fleet.settings.Evidence {
		return nil
	}
	return &observationExchange{epoch: time.Now()}
}

// startObservations starts to send and receive observations over a transport.
func (b *Balancer) startObservations(peerTransport *transport.Transport) {
	o := b.observations
	if o == nil {
		return
	}
	stop := make(chan struct{})
	o.mu.Lock()
	o.transport, o.stop = peerTransport, stop
	o.machine = evidence.New(evidence.Config{Self: peerTransport.Self(), Zone: peerTransport.View().Self.Zone})
	o.mu.Unlock()
	peerTransport.Handle(transport.TopicObservations, func(from member.ProcessID, body []byte) {
		if m, ok := transport.DecodeObservations(body); ok {
			o.update(func(machine *evidence.Machine, now evidence.Moment) { machine.Receive(now, from, m) })
		}
	})
	go func() {
		t := time.NewTicker(evidence.TickInterval)
		defer t.Stop()
		for {
			select {
			case <-t.C:
				b.exchangeObservations(peerTransport)
			case <-stop:
				return
			}
		}
	}()
}

// update feeds an input to the state machine, unless the exchange has ended.
func (o *observationExchange) update(input func(machine *evidence.Machine, now evidence.Moment)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.machine != nil {
		input(o.machine, time.Since(o.epoch))
	}
}

// exchangeObservations sends this balancer's observations to the others and passes theirs on to the policy.
func (b *Balancer) exchangeObservations(peerTransport *transport.Transport) {
	var peers []evidence.Peer
	for _, m := range peerTransport.View().Members {
		if m.State == member.Alive || m.State == member.Suspected {
			peers = append(peers, evidence.Peer{Life: m.Life, Zone: m.Zone})
		}
	}
	listed := 0
	b.callPolicy(func() { listed, _ = b.policy.HostCounts() })
	o := b.observations
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.machine == nil {
		return
	}
	o.machine.Tick(time.Since(o.epoch), peers, listed)
	for _, send := range o.machine.TakeOutput() {
		o.transport.Send(send.To, transport.TopicObservations, transport.EncodeObservations(&send.Msg))
	}
	b.deliverObservations(o.machine.Summaries())
}

// deliverObservations gives the policy the observations that now hold, withdraws those that no longer do, and logs each
// change. The caller holds observations.mu.
func (b *Balancer) deliverObservations(observations []evidence.HostSummary) {
	o := b.observations
	for _, one := range observations {
		if !evidence.Contains(o.delivered, one.Host) {
			b.log.Info().Str("host", one.Host).Int("witnesses", one.BadReporters).Float64("good", one.Good).Float64("bad", one.Bad).Msg("other balancers call this host bad")
		}
	}
	b.callPolicy(func() {
		evidence.NotifyChanges(o.delivered, observations, func(host string, good, bad float64) { b.policy.SetObservations(policy.HostID(host), good, bad) })
	})
	for _, one := range o.delivered {
		if !evidence.Contains(observations, one.Host) {
			b.log.Info().Str("host", one.Host).Msg("other balancers do not call this host bad any more")
		}
	}
	o.delivered = observations
}

// stopObservations ends the exchange, because the newer process of an upgrade takes over or this process ends. What was received is
// withdrawn.
func (b *Balancer) stopObservations() {
	if o := b.observations; o != nil {
		o.mu.Lock()
		defer o.mu.Unlock()
		if o.machine != nil {
			close(o.stop)
			b.deliverObservations(nil)
			o.machine, o.transport = nil, nil
		}
	}
}

// observeAttempt records how an attempt ended, if that says anything about the host.
func (b *Balancer) observeAttempt(c *clientRequest, e attemptResult) {
	if o := b.observations; o != nil {
		if good, conclusive := evidence.Classify(e.Outcome, policy.Nanos(e.took), b.deployment.PolicyConfig.Products[c.product].LatencySLO); conclusive {
			o.update(func(m *evidence.Machine, now evidence.Moment) {
				m.RecordAttempt(now, string(c.attempts[e.attempt].To), good)
			})
		}
	}
}

// Observations returns the observations received from other balancers.
func (a adminAPI) Observations() (shown admin.Observations, err error) {
	if _, err = a.b.fleetTransport(); err != nil {
		return shown, err
	}
	o := a.b.observations
	if o == nil {
		return shown, admin.ErrNoObservations
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.machine == nil {
		return shown, admin.ErrHandedOver
	}
	shown = admin.Observations{ActiveReporters: o.machine.ActiveReporters(), Hosts: []admin.HostSummary{}}
	for _, one := range o.delivered {
		shown.Hosts = append(shown.Hosts, admin.HostSummary{Host: one.Host, Good: one.Good, Bad: one.Bad, BadReporters: one.BadReporters})
	}
	return shown, nil
}
