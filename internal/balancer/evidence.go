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

// witnesses are what balancers tell each other of hosts, where the operator's file lets them; nil otherwise.
type witnesses struct {
	epoch time.Time

	mu      sync.Mutex
	machine *evidence.Machine
	carrier *carry.Carrier
	stop    chan struct{}
	words   []evidence.Word // that the module has heard
}

func (b *Balancer) newWitnesses() *witnesses {
	if b.fleet.own == nil || !b.fleet.own.Evidence {
		return nil
	}
	return &witnesses{epoch: time.Now()}
}

// followEvidence begins to tell and to hear over a carrier.
func (b *Balancer) followEvidence(c *carry.Carrier) {
	w := b.witnesses
	if w == nil {
		return
	}
	stop := make(chan struct{})
	w.mu.Lock()
	w.carrier, w.stop = c, stop
	w.machine = evidence.New(evidence.Terms{Self: c.Self(), Zone: c.View().Self.Zone})
	w.mu.Unlock()
	c.On(carry.TopicEvidence, func(from member.Life, body []byte) {
		if m, ok := carry.DecodeEvidence(body); ok {
			w.with(func(p *evidence.Machine, now evidence.Moment) { p.Hear(now, from, m) })
		}
	})
	go func() {
		t := time.NewTicker(evidence.Turn)
		defer t.Stop()
		for {
			select {
			case <-t.C:
				b.turnEvidence(c)
			case <-stop:
				return
			}
		}
	}()
}

// with gives the evidence an input.
func (w *witnesses) with(input func(p *evidence.Machine, now evidence.Moment)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.machine != nil {
		input(w.machine, time.Since(w.epoch))
	}
}

// turnEvidence tells others, and the module what they say.
func (b *Balancer) turnEvidence(c *carry.Carrier) {
	var members []evidence.Peer
	for _, m := range c.View().Members {
		if m.State == member.Alive || m.State == member.Suspected {
			members = append(members, evidence.Peer{Life: m.Life, Zone: m.Zone})
		}
	}
	listed := 0
	b.decide(func() { listed, _ = b.module.Fleet() })
	w := b.witnesses
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.machine == nil {
		return
	}
	w.machine.Tick(time.Since(w.epoch), members, listed)
	for _, s := range w.machine.Out() {
		w.carrier.Tell(s.To, carry.TopicEvidence, carry.EncodeEvidence(&s.Msg))
	}
	b.say(w.machine.Words())
}

// say tells the module what the others say of hosts, and of which they say nothing any more. Each change is a line in the log. Under witnesses.mu.
func (b *Balancer) say(words []evidence.Word) {
	w := b.witnesses
	for _, x := range words {
		if !evidence.Has(w.words, x.Host) {
			b.log.Info().Str("host", x.Host).Int("witnesses", x.Witnesses).Float64("good", x.Good).Float64("bad", x.Bad).Msg("other balancers call this host bad")
		}
	}
	b.decide(func() {
		evidence.Tell(w.words, words, func(host string, good, bad float64) { b.module.Said(policy.CacheID(host), good, bad) })
	})
	for _, x := range w.words {
		if !evidence.Has(words, x.Host) {
			b.log.Info().Str("host", x.Host).Msg("other balancers do not call this host bad any more")
		}
	}
	w.words = words
}

// endEvidence ends it: the newer process of an upgrade goes on, or this one ends. What was said holds no more.
func (b *Balancer) endEvidence() {
	if w := b.witnesses; w != nil {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.machine != nil {
			close(w.stop)
			b.say(nil)
			w.machine, w.carrier = nil, nil
		}
	}
}

// saw notes how an attempt of a request ended.
func (b *Balancer) saw(c *call, e ending) {
	if w := b.witnesses; w != nil {
		if good, proves := evidence.Proves(e.Outcome, policy.Nanos(e.took), b.told.Terms.Products[c.product].LatencySLO); proves {
			w.with(func(p *evidence.Machine, now evidence.Moment) { p.Ended(now, string(c.attempts[e.attempt].To), good) })
		}
	}
}

// Evidence is what the door shows of it.
func (d door) Evidence() (to admin.Evidence, err error) {
	if _, err = d.b.speaker(); err != nil {
		return to, err
	}
	w := d.b.witnesses
	if w == nil {
		return to, admin.ErrNoEvidence
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.machine == nil {
		return to, admin.ErrHanded
	}
	to = admin.Evidence{Witnesses: w.machine.Heard(), Hosts: []admin.Said{}}
	for _, x := range w.words {
		to.Hosts = append(to.Hosts, admin.Said{Host: x.Host, Good: x.Good, Bad: x.Bad, Witnesses: x.Witnesses})
	}
	return to, nil
}
