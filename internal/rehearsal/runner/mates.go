package runner

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"time"

	"streamrail/internal/admin"
	"streamrail/internal/rehearsal/model"
	"streamrail/internal/rehearsal/record"
	"streamrail/internal/rehearsal/standin"
)

// mates is what a stage has of the ways between its balancers; nil ways: they do not speak.
type mates struct {
	ways   *standin.Relays
	addrs  []netip.AddrPort
	names  map[int]int  // a balancer that has another's name by mistake
	astray map[int]bool // one that was given addresses where nobody is
}

// join makes the ways between balancers.
func (s *Stage) join() error {
	d := s.W.Day
	if !d.Mates.On {
		return nil
	}
	m := &s.mates
	m.names, m.astray = map[int]int{}, map[int]bool{}
	for range d.Fleet.Balancers {
		c, err := net.ListenPacket("udp4", "127.0.0.1:0")
		if err != nil {
			return err
		}
		m.addrs = append(m.addrs, c.LocalAddr().(*net.UDPAddr).AddrPort())
		defer c.Close() // all are open until the last is chosen, so that none is chosen twice
	}
	var err error
	m.ways, err = standin.NewRelays(m.addrs, d.Mates.Way(), model.Stream(d.Seed, "mates"))
	return err
}

// section is the operator's section [fleet] of a balancer.
func (s *Stage) section(b int) string {
	d, m := s.W.Day, &s.mates
	var peers, via []string
	for o := range m.addrs {
		if o == b {
			continue
		}
		to := m.ways.Addr(b, o)
		via = append(via, fmt.Sprintf("%s = %q", record.MateName(o), to))
		if len(peers) < 3 {
			if m.astray[b] {
				to = netip.AddrPortFrom(to.Addr(), 9) // where nobody is
			}
			peers = append(peers, fmt.Sprintf("%q", to))
		}
	}
	return fmt.Sprintf("\n[fleet]\nname = \"rehearsal\"\naddress = %q\nperiod = %q\nsuspect = %q\nbudget = %d\nlimits = %v\nevidence = %v\nlease = %q\npeers = [%s]\nvia = {%s}\n", m.addrs[b],
		d.Mates.Period, d.Mates.Suspect, d.Mates.Budget, d.Mates.Limits, d.Mates.Evidence, d.Mates.Lease, strings.Join(peers, ", "), strings.Join(via, ", "))
}

// name is a balancer's, or the one it has by mistake.
func (s *Stage) name(b int) string {
	if other, ok := s.mates.names[b]; ok {
		return record.MateName(other)
	}
	return record.MateName(b)
}

// Ways are those between the balancers; nil where they do not speak.
func (s *Stage) Ways() *standin.Relays { return s.mates.ways }

// viewsEvery is how often each door is asked for its view.
const viewsEvery = 250 * time.Millisecond

// watchMates asks all doors for their views until the stop.
func (s *Stage) watchMates(stop <-chan struct{}) {
	if s.mates.ways == nil {
		return
	}
	t := time.NewTicker(viewsEvery)
	defer t.Stop()
	for i := 0; ; i++ {
		select {
		case <-t.C:
		case <-stop:
			return
		}
		for b := range s.mates.addrs {
			s.looks.Go(func() {
				s.View(b)
				if s.W.Day.Mates.Limits {
					s.parts(b)
				}
			})
			if i%4 == 0 {
				s.Rec.Add(func() {
					s.Rec.Talks = append(s.Rec.Talks, record.Talk{Balancer: b, At: s.W.Now(), Bytes: s.mates.ways.Bytes(b)})
				})
			}
		}
	}
}

// View asks a balancer's door for its view and notes it.
func (s *Stage) View(b int) (v admin.Members, ok bool) {
	if !s.tells(b, "/api/members", &v) {
		return v, false
	}
	to := record.View{Balancer: b, At: s.W.Now(), Life: v.Life, Situation: v.Situation, Digest: v.Digest, Rival: v.Rival != ""}
	for _, m := range v.Members {
		to.Mates = append(to.Mates, record.Mate{Name: m.Name, Life: m.Life, State: m.State})
	}
	s.Rec.Add(func() { s.Rec.Views = append(s.Rec.Views, to) })
	return v, true
}

// parts asks a balancer's door for its parts of limits and notes them.
func (s *Stage) parts(b int) {
	var all admin.Limits
	if !s.tells(b, "/api/limits", &all) {
		return
	}
	now := s.W.Now()
	s.Rec.Add(func() {
		for _, l := range all.Limits {
			s.Rec.Parts = append(s.Rec.Parts, record.Part{Balancer: b, At: now, Limit: l.Name, Part: l.Part, Need: l.Need, Bound: l.Bound})
		}
	})
}

// tells asks a balancer's door for something; one that stands still does not answer.
func (s *Stage) tells(b int, what string, into any) bool {
	s.mu.Lock()
	addr := s.running[b].door
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(s.ctx, 200*time.Millisecond)
	defer cancel()
	return ask(ctx, http.MethodGet, addr, what, "", into)
}

// settleMates notes under which life each process spoke.
func settleMates(rec *record.Record) {
	slices.SortFunc(rec.Views, func(a, b record.View) int { return int(a.At - b.At) })
	for _, l := range rec.Lives {
		i := slices.IndexFunc(rec.Views, func(v record.View) bool {
			return v.Balancer == l.Balancer && v.At >= l.Ready && (l.End == 0 || v.At <= l.End)
		})
		if i < 0 || l.Ready == 0 {
			continue
		}
		life := rec.Views[i].Life
		if k := slices.IndexFunc(rec.Mates, func(m record.MateLife) bool { return m.Balancer == l.Balancer && m.Life == life }); k >= 0 {
			m := &rec.Mates[k] // two processes of an upgrade
			m.From, m.To = min(m.From, l.Ready), max(m.To, l.End)
			continue
		}
		rec.Mates = append(rec.Mates, record.MateLife{Balancer: l.Balancer, Life: life, From: l.Ready, To: l.End})
	}
}

// pauser is an instance that can be made to stand still.
type pauser interface{ Pause(on bool) }

// Stall makes a balancer stand still, or go on.
func (s *Stage) Stall(b int, length time.Duration) {
	s.mu.Lock()
	in := s.running[b].instance
	s.mu.Unlock()
	p, ok := in.(pauser)
	if !ok {
		return
	}
	from := s.W.Now()
	p.Pause(true)
	s.Rec.Add(func() {
		s.Rec.Stalls = append(s.Rec.Stalls, record.Stall{Balancer: b, From: from, To: from + length + s.W.Day.Rules.Slack.Duration()})
	})
	s.looks.Go(func() {
		select {
		case <-time.After(length):
		case <-s.ctx.Done():
		}
		p.Pause(false)
	})
}

// Astray kills a balancer and starts it with addresses of others where nobody is.
func (s *Stage) Astray(b int) {
	s.mu.Lock()
	s.mates.astray[b] = true
	s.mu.Unlock()
	s.Kill(b, 0)
}

// Twin starts a balancer again under the name of another one, and later under its own.
func (s *Stage) Twin(b, other int, length time.Duration) {
	s.mu.Lock()
	s.mates.names[b] = other
	s.mu.Unlock()
	from := s.W.Now()
	s.Rec.Add(func() {
		s.Rec.Stalls = append(s.Rec.Stalls, record.Stall{Balancer: b, From: from, To: from + length, Twin: other + 1})
	})
	s.Kill(b, 0)
	s.looks.Go(func() {
		select {
		case <-time.After(length):
		case <-s.ctx.Done():
			return
		}
		s.mu.Lock()
		delete(s.mates.names, b)
		s.mu.Unlock()
		s.Kill(b, 0)
		s.Kill(other, 0) // it stands aside until it is started again
	})
}

// UpgradeKill starts a newer process beside a balancer and kills it some time after it is ready; the older one goes on.
func (s *Stage) UpgradeKill(b int, after time.Duration) error {
	s.mu.Lock()
	l := s.running[b]
	old, oldAt, oldDoor := l.instance, l.at, l.door
	err := s.launchAt(b)
	next, nextAt, addr := l.instance, l.at, l.door
	nextAt.Ordered = true
	s.mu.Unlock()
	if err != nil {
		return err
	}
	for began := s.W.Now(); s.W.Now()-began < upgradeWait && s.ctx.Err() == nil && !ask(s.ctx, http.MethodGet, addr, "/api/ready", "", nil); {
		time.Sleep(20 * time.Millisecond)
	}
	ready := s.W.Now()
	select {
	case <-time.After(after):
	case <-s.ctx.Done():
	}
	s.Callers.Down(b)
	s.mu.Lock()
	nextAt.Ready = ready
	l.instance, l.at, l.door = old, oldAt, oldDoor
	s.mu.Unlock()
	next.Kill()
	<-next.Done()
	s.Callers.Up(b, l.addr)
	return nil
}

// Alive tells whether a balancer answers clients.
func (s *Stage) Alive(b int) bool { return alive(s.Addr(b)) }
