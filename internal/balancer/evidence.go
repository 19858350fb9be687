package balancer

import (
	"sync"
	"time"

	"streamrail/internal/admin"
	"streamrail/internal/fleet/carry"
	"streamrail/internal/fleet/evidence"
	"streamrail/internal/fleet/member"
	"streamrail/policy"
)

// observationExchange are what balancers tell each other of hosts, where the operator's file lets them; nil otherwise.
type observationExchange struct {
	epoch time.Time

	mu        sync.Mutex
	machine   *evidence.Machine
	transport *carry.Carrier
	stop      chan struct{}
	delivered []evidence.Word // that the module has heard
}

func (b *Balancer) newObservationExchange() *observationExchange {
	if b.fleet.settings == nil || !b.fleet.settings.Evidence {
		return nil
	}
	return &observationExchange{epoch: time.Now()}
}

// startObservations begins to tell and to hear over a carrier.
func (b *Balancer) startObservations(c *carry.Carrier) {
	w := b.observations
	if w == nil {
		return
	}
	stop := make(chan struct{})
	w.mu.Lock()
	w.transport, w.stop = c, stop
	w.machine = evidence.New(evidence.Terms{Self: c.Self(), Zone: c.View().Self.Zone})
	w.mu.Unlock()
	c.On(carry.TopicEvidence, func(from member.Life, body []byte) {
		if m, ok := carry.DecodeEvidence(body); ok {
			w.update(func(p *evidence.Machine, now evidence.Moment) { p.Hear(now, from, m) })
		}
	})
	go func() {
		t := time.NewTicker(evidence.Turn)
		defer t.Stop()
		for {
			select {
			case <-t.C:
				b.exchangeObservations(c)
			case <-stop:
				return
			}
		}
	}()
}

// update gives the evidence an input.
func (w *observationExchange) update(input func(p *evidence.Machine, now evidence.Moment)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.machine != nil {
		input(w.machine, time.Since(w.epoch))
	}
}

// exchangeObservations tells others, and the module what they say.
func (b *Balancer) exchangeObservations(c *carry.Carrier) {
	var members []evidence.Peer
	for _, m := range c.View().Members {
		if m.State == member.Alive || m.State == member.Suspected {
			members = append(members, evidence.Peer{Life: m.Life, Zone: m.Zone})
		}
	}
	listed := 0
	b.callPolicy(func() { listed, _ = b.policy.Fleet() })
	w := b.observations
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.machine == nil {
		return
	}
	w.machine.Tick(time.Since(w.epoch), members, listed)
	for _, s := range w.machine.Out() {
		w.transport.Tell(s.To, carry.TopicEvidence, carry.EncodeEvidence(&s.Msg))
	}
	b.deliverObservations(w.machine.Words())
}

// deliverObservations tells the module what the others say of hosts, and of which they say nothing any more. Each change is a line in the log. Under witnesses.mu.
func (b *Balancer) deliverObservations(words []evidence.Word) {
	w := b.observations
	for _, x := range words {
		if !evidence.Has(w.delivered, x.Host) {
			b.log.Info().Str("host", x.Host).Int("witnesses", x.Witnesses).Float64("good", x.Good).Float64("bad", x.Bad).Msg("other balancers call this host bad")
		}
	}
	b.callPolicy(func() {
		evidence.Tell(w.delivered, words, func(host string, good, bad float64) { b.policy.Said(policy.CacheID(host), good, bad) })
	})
	for _, x := range w.delivered {
		if !evidence.Has(words, x.Host) {
			b.log.Info().Str("host", x.Host).Msg("other balancers do not call this host bad any more")
		}
	}
	w.delivered = words
}

// stopObservations ends it: the newer process of an upgrade goes on, or this one ends. What was said holds no more.
func (b *Balancer) stopObservations() {
	if w := b.observations; w != nil {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.machine != nil {
			close(w.stop)
			b.deliverObservations(nil)
			w.machine, w.transport = nil, nil
		}
	}
}

// observeAttempt notes how an attempt of a request ended.
func (b *Balancer) observeAttempt(c *clientRequest, e attemptResult) {
	if w := b.observations; w != nil {
		if good, proves := evidence.Proves(e.Outcome, policy.Nanos(e.took), b.deployment.Terms.Products[c.product].LatencySLO); proves {
			w.update(func(p *evidence.Machine, now evidence.Moment) { p.Ended(now, string(c.attempts[e.attempt].To), good) })
		}
	}
}

// Evidence is what the door shows of it.
func (d adminAPI) Evidence() (to admin.Evidence, err error) {
	if _, err = d.b.fleetTransport(); err != nil {
		return to, err
	}
	w := d.b.observations
	if w == nil {
		return to, admin.ErrNoEvidence
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.machine == nil {
		return to, admin.ErrHanded
	}
	to = admin.Evidence{Witnesses: w.machine.Heard(), Hosts: []admin.Said{}}
	for _, x := range w.delivered {
		to.Hosts = append(to.Hosts, admin.Said{Host: x.Host, Good: x.Good, Bad: x.Bad, Witnesses: x.Witnesses})
	}
	return to, nil
}
