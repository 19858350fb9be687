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

// membership holds the links between the balancers; links is nil if balancers do not communicate with each other.
type membership struct {
	links      *standin.Relays
	addrs      []netip.AddrPort
	wrongNames map[int]int  // by balancer started under the name of another one: the number of that other one
	wrongPeers map[int]bool // balancers started with peer addresses on which no process listens
}

// openLinks chooses addresses for the balancers and starts the relays between them.
func (s *Stage) openLinks() error {
	sc := s.Environment.Scenario
	if !sc.Membership.Enabled {
		return nil
	}
	m := &s.membership
	m.wrongNames, m.wrongPeers = map[int]int{}, map[int]bool{}
	for range sc.Fleet.Balancers {
		c, err := net.ListenPacket("udp4", "127.0.0.1:0")
		if err != nil {
			return err
		}
		m.addrs = append(m.addrs, c.LocalAddr().(*net.UDPAddr).AddrPort())
		defer c.Close() // all stay open until the last port is chosen, so that no port is chosen twice
	}
	var err error
	m.links, err = standin.NewRelays(m.addrs, sc.Membership.LinkConfig(), model.NewRand(sc.Seed, "mates"))
	return err
}

// fleetSection returns the section [fleet] of a balancer's operator file.
func (s *Stage) fleetSection(b int) string {
	sc, m := s.Environment.Scenario, &s.membership
	var peers, via []string
	for o := range m.addrs {
		if o == b {
			continue
		}
		to := m.links.Addr(b, o)
		via = append(via, fmt.Sprintf("%s = %q", record.BalancerName(o), to))
		if len(peers) < 3 {
			if m.wrongPeers[b] {
				to = netip.AddrPortFrom(to.Addr(), 9) // no process listens on this port
			}
			peers = append(peers, fmt.Sprintf("%q", to))
		}
	}
	return fmt.Sprintf("\n[fleet]\nname = \"rehearsal\"\naddress = %q\nperiod = %q\nsuspect = %q\nbudget = %d\nlimits = %v\nevidence = %v\nlease = %q\npeers = [%s]\nvia = {%s}\n", m.addrs[b],
		sc.Membership.ProbePeriod, sc.Membership.SuspicionTimeout, sc.Membership.GossipBytesPerSecond, sc.Membership.ShareLimits, sc.Membership.ShareObservations, sc.Membership.LeaseDuration, strings.Join(peers, ", "), strings.Join(via, ", "))
}

// nameOf returns the name of a balancer, or the wrong one under which a fault has started it.
func (s *Stage) nameOf(b int) string {
	if other, ok := s.membership.wrongNames[b]; ok {
		return record.BalancerName(other)
	}
	return record.BalancerName(b)
}

// Links returns the links between balancers, or nil if they do not communicate with each other.
func (s *Stage) Links() *standin.Relays { return s.membership.links }

// pollInterval is the time between two requests for a balancer's membership view.
const pollInterval = 250 * time.Millisecond

// pollMembers records the membership views, limit shares and traffic of all balancers until stop is closed.
func (s *Stage) pollMembers(stop <-chan struct{}) {
	if s.membership.links == nil {
		return
	}
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	for i := 0; ; i++ {
		select {
		case <-t.C:
		case <-stop:
			return
		}
		for b := range s.membership.addrs {
			s.background.Go(func() {
				s.MembershipView(b)
				if s.Environment.Scenario.Membership.ShareLimits {
					s.pollLimits(b)
				}
			})
			if i%4 == 0 {
				s.Record.Add(func() {
					s.Record.BytesSent = append(s.Record.BytesSent, record.BytesSent{Balancer: b, At: s.Environment.Now(), Bytes: s.membership.links.BytesSent(b)})
				})
			}
		}
	}
}

// MembershipView requests a balancer's membership view and records it.
func (s *Stage) MembershipView(b int) (v admin.Members, ok bool) {
	if !s.fetchAdmin(b, "/api/members", &v) {
		return v, false
	}
	to := record.MembershipView{Balancer: b, At: s.Environment.Now(), ProcessID: v.ProcessID, Situation: v.Situation, Digest: v.Digest, NameConflict: v.NameConflict != ""}
	for _, m := range v.Members {
		to.Members = append(to.Members, record.Member{Name: m.Name, ProcessID: m.ProcessID, State: m.State})
	}
	s.Record.Add(func() { s.Record.Views = append(s.Record.Views, to) })
	return v, true
}

// pollLimits requests a balancer's shares of fleet-wide limits and records them.
func (s *Stage) pollLimits(b int) {
	var all admin.Limits
	if !s.fetchAdmin(b, "/api/limits", &all) {
		return
	}
	now := s.Environment.Now()
	s.Record.Add(func() {
		for _, l := range all.Limits {
			s.Record.LimitShares = append(s.Record.LimitShares, record.LimitShare{Balancer: b, At: now, Limit: l.Name, Share: l.Part, Demand: l.Need, Quota: l.FleetTotal})
		}
	})
}

// fetchAdmin sends a GET request to a balancer's admin API and reports whether it succeeded. The timeout is short, because a
// paused balancer does not answer.
func (s *Stage) fetchAdmin(b int, path string, result any) bool {
	s.mu.Lock()
	addr := s.slots[b].adminAddr
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(s.ctx, 200*time.Millisecond)
	defer cancel()
	return callAdmin(ctx, http.MethodGet, addr, path, "", result)
}

// recordMemberships records under which process id each run of a balancer took part in the fleet.
func recordMemberships(rec *record.Record) {
	slices.SortFunc(rec.Views, func(a, b record.MembershipView) int { return int(a.At - b.At) })
	for _, run := range rec.ProcessRuns {
		i := slices.IndexFunc(rec.Views, func(v record.MembershipView) bool {
			return v.Balancer == run.Balancer && v.At >= run.Ready && (run.End == 0 || v.At <= run.End)
		})
		if i < 0 || run.Ready == 0 {
			continue
		}
		processID := rec.Views[i].ProcessID
		if k := slices.IndexFunc(rec.Memberships, func(m record.Membership) bool { return m.Balancer == run.Balancer && m.ProcessID == processID }); k >= 0 {
			m := &rec.Memberships[k] // both processes of an upgrade have the same process id
			m.From, m.To = min(m.From, run.Ready), max(m.To, run.End)
			continue
		}
		rec.Memberships = append(rec.Memberships, record.Membership{Balancer: run.Balancer, ProcessID: processID, From: run.Ready, To: run.End})
	}
}

// pauser is an Instance that can be paused.
type pauser interface{ Pause(on bool) }

// Pause pauses a balancer's process for the given time and records the pause. It does nothing if the Instance cannot be paused.
func (s *Stage) Pause(b int, length time.Duration) {
	s.mu.Lock()
	inst := s.slots[b].instance
	s.mu.Unlock()
	p, ok := inst.(pauser)
	if !ok {
		return
	}
	from := s.Environment.Now()
	p.Pause(true)
	s.Record.Add(func() {
		s.Record.Pauses = append(s.Record.Pauses, record.Pause{Balancer: b, From: from, To: from + length + s.Environment.Scenario.Rules.Slack.Duration()})
	})
	s.background.Go(func() {
		select {
		case <-time.After(length):
		case <-s.ctx.Done():
		}
		p.Pause(false)
	})
}

// RestartWithWrongPeers kills a balancer and starts it again with peer addresses on which no process listens.
func (s *Stage) RestartWithWrongPeers(b int) {
	s.mu.Lock()
	s.membership.wrongPeers[b] = true
	s.mu.Unlock()
	s.Kill(b, 0)
}

// RestartAs restarts a balancer under the name of another one and, after length, under its own name again.
func (s *Stage) RestartAs(b, other int, length time.Duration) {
	s.mu.Lock()
	s.membership.wrongNames[b] = other
	s.mu.Unlock()
	from := s.Environment.Now()
	s.Record.Add(func() {
		s.Record.Pauses = append(s.Record.Pauses, record.Pause{Balancer: b, From: from, To: from + length, SameNameAs: other + 1})
	})
	s.Kill(b, 0)
	s.background.Go(func() {
		select {
		case <-time.After(length):
		case <-s.ctx.Done():
			return
		}
		s.mu.Lock()
		delete(s.membership.wrongNames, b)
		s.mu.Unlock()
		s.Kill(b, 0)
		s.Kill(other, 0) // after the name conflict it takes no part in the fleet until it is started again
	})
}

// UpgradeKill starts the newer process of an upgrade and kills it some time after it is ready; the older one continues.
func (s *Stage) UpgradeKill(b int, after time.Duration) error {
	s.mu.Lock()
	slot := s.slots[b]
	old, oldRun, oldAdminAddr := slot.instance, slot.run, slot.adminAddr
	err := s.launchAt(b)
	next, nextRun, addr := slot.instance, slot.run, slot.adminAddr
	nextRun.Ordered = true
	s.mu.Unlock()
	if err != nil {
		return err
	}
	for began := s.Environment.Now(); s.Environment.Now()-began < upgradeTimeout && s.ctx.Err() == nil && !callAdmin(s.ctx, http.MethodGet, addr, "/api/ready", "", nil); {
		time.Sleep(20 * time.Millisecond)
	}
	ready := s.Environment.Now()
	select {
	case <-time.After(after):
	case <-s.ctx.Done():
	}
	s.Clients.BalancerDown(b)
	s.mu.Lock()
	nextRun.Ready = ready
	slot.instance, slot.run, slot.adminAddr = old, oldRun, oldAdminAddr
	s.mu.Unlock()
	next.Kill()
	<-next.Done()
	s.Clients.BalancerUp(b, slot.addr)
	return nil
}

// Alive reports whether a balancer answers clients.
func (s *Stage) Alive(b int) bool { return alive(s.Addr(b)) }
