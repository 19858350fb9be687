package judge

import (
	"fmt"
	"slices"
	"time"

	"streamrail/internal/rehearsal/record"
)

// Rules for the membership views of balancers in one fleet.
const (
	MembersKnown         Rule = "each live balancer is known in each view that can reach it"
	NoFalseDeath         Rule = "no live, reachable balancer is dead in a view"
	DeathDetected        Rule = "nobody dead is alive in a view after the bound"
	ViewsEqual           Rule = "views of one side are equal"
	NameConflictReported Rule = "two of one name are told at both doors"
	TrafficBounded       Rule = "balancers' talk keeps its bound"
)

// MembershipConfig holds the settings of the balancers' membership, from which the bounds of these rules follow. A ProbePeriod of
// 0 means that the balancers do not exchange messages.
type MembershipConfig struct {
	Balancers                     int
	ProbePeriod, SuspicionTimeout time.Duration // time between probes; time from suspicion to declared death
	GossipBytesPerSecond          int           // budget of each balancer for gossip
	LossRatio                     float64       // share of datagrams that get lost
	Lease                         time.Duration // how long shares of limits are lent
}

// ConvergenceTime bounds how long after the last disturbance between two balancers each of their views lists the other. It allows
// for one contact attempt of each in 5 periods, the refutation, suspicions that began by then, and indirect paths where datagrams
// get lost.
func (m MembershipConfig) ConvergenceTime() time.Duration {
	return time.Duration(float64(20*m.ProbePeriod+2*m.SuspicionTimeout)*(1+4*m.LossRatio)) + time.Second
}

// FailureDetectionTime bounds how long a view may list an ended process as alive; docs/notes/members.md derives the bound.
func (m MembershipConfig) FailureDetectionTime() time.Duration {
	bound := 2.1*float64(m.Balancers-1)*float64(m.ProbePeriod) + 3*float64(m.ProbePeriod+2*m.SuspicionTimeout) + 8*float64(m.ProbePeriod)
	return time.Duration(bound*(1+4*m.LossRatio)) + time.Second
}

const (
	trafficWindow = 10 * time.Second
	probeBytes    = 160 // a probe or its answer with some membership updates
	burstSeconds  = 24  // seconds' worth of the budget that may be sent at once
)

// MaxTraffic bounds the bytes that a balancer sends in a window of trafficWindow.
func (m MembershipConfig) MaxTraffic() int64 {
	probeTraffic := (trafficWindow.Seconds() / m.ProbePeriod.Seconds()) * (2 + 4*3*2) * probeBytes
	return int64(probeTraffic + float64(m.GossipBytesPerSecond)*(trafficWindow.Seconds()+burstSeconds))
}

// checkMembership checks the membership views that the balancers reported.
func (c *checker) checkMembership() {
	m := c.config.Membership
	if m.ProbePeriod == 0 {
		return
	}
	convergenceTime, detectionTime := m.ConvergenceTime(), m.FailureDetectionTime()
	processIDAt := func(b int, at time.Duration) (processID string) {
		for _, l := range c.rec.Memberships {
			if l.Balancer == b && l.From <= at && (l.To == 0 || at <= l.To) {
				processID = l.ProcessID
			}
		}
		return processID
	}
	notComparable := make([]bool, len(c.rec.Views)) // views that break another rule by themselves, or whose process started too recently
	for i, v := range c.rec.Views {
		notComparable[i] = true
		if processIDAt(v.Balancer, v.At) != v.ProcessID || !c.ranThroughout(v.Balancer, v.At-convergenceTime, v.At) {
			continue // the process has just started, or shares its name with another one
		}
		entries := map[string]record.Member{}
		for _, entry := range v.Members {
			entries[entry.Name] = entry
		}
		notComparable[i] = false
		for b := range m.Balancers {
			if b == v.Balancer {
				continue
			}
			entry, known := entries[record.BalancerName(b)]
			if c.ranThroughout(b, v.At-convergenceTime, v.At) && c.canReach(v.Balancer, b, v.At-convergenceTime, v.At) {
				c.checked[MembersKnown]++
				c.checked[NoFalseDeath]++
				switch processID := processIDAt(b, v.At); {
				case !known || entry.ProcessID != processID:
					notComparable[i] = true
					c.addBreach(MembersKnown, "", v.At, 0, "balancer %d holds life %q of balancer %d, which is %q for %v", v.Balancer+1, entry.ProcessID, b+1, processID, convergenceTime)
				case !entry.Present():
					notComparable[i] = true
					c.addBreach(NoFalseDeath, "", v.At, 0, "balancer %d holds balancer %d %s, which lives and could be reached for %v", v.Balancer+1, b+1, entry.State, convergenceTime)
				}
			}
			if !known || !entry.Present() {
				continue
			}
			for _, l := range c.rec.Memberships {
				if l.Balancer == b && l.ProcessID == entry.ProcessID && l.To > 0 && l.To < v.At && c.ranThroughout(v.Balancer, l.To, v.At) {
					c.checked[DeathDetected]++
					if over := v.At - l.To - detectionTime; over > 0 {
						notComparable[i] = true
						c.addBreach(DeathDetected, "", v.At, over, "balancer %d holds balancer %d %s, which ended %v before", v.Balancer+1, b+1, entry.State, v.At-l.To)
					}
				}
			}
		}
	}
	for i := range c.rec.Views {
		c.checkSameViews(i, notComparable, convergenceTime, max(convergenceTime, detectionTime))
	}
	c.checkNameConflicts(convergenceTime)
	c.checkTraffic()
}

// viewCompareWindow is how far apart in time two reported views may be to be compared.
const viewCompareWindow = 400 * time.Millisecond

// checkSameViews compares a view with those of balancers that could reach its owner, provided that nothing disturbed the
// fleet for quietTime.
func (c *checker) checkSameViews(index int, notComparable []bool, convergenceTime, quietTime time.Duration) {
	v := c.rec.Views[index]
	if notComparable[index] || !c.unchanged(v.At-quietTime, v.At+viewCompareWindow) {
		return
	}
	for i := index + 1; i < len(c.rec.Views) && c.rec.Views[i].At <= v.At+viewCompareWindow; i++ {
		o := c.rec.Views[i]
		if notComparable[i] || o.Balancer == v.Balancer || !c.canReach(v.Balancer, o.Balancer, v.At-convergenceTime, o.At) {
			continue
		}
		c.checked[ViewsEqual]++
		if o.Digest != v.Digest {
			c.addBreach(ViewsEqual, "", v.At, 0, "balancers %d and %d hold other views, %v after anything last happened", v.Balancer+1, o.Balancer+1, quietTime)
		}
	}
}

// unchanged reports whether in a span of time no balancer started, ended or was paused, and no link between balancers was cut
// or restored.
func (c *checker) unchanged(from, to time.Duration) bool {
	in := func(at time.Duration) bool { return at > from && at < to }
	for _, l := range c.rec.Memberships {
		if in(l.From) || in(l.To) {
			return false
		}
	}
	for _, s := range c.rec.Pauses {
		if s.From < to && s.To > from {
			return false
		}
	}
	for _, outage := range c.rec.LinkOutages {
		if in(outage.Begin) || in(outage.End) {
			return false
		}
	}
	return true
}

// ranThroughout reports whether a balancer ran under one process id, without a pause or a name conflict, between two times.
func (c *checker) ranThroughout(b int, from, to time.Duration) bool {
	for _, s := range c.rec.Pauses {
		if (s.Balancer == b || s.SameNameAs == b+1) && s.From < to && s.To > from {
			return false
		}
	}
	return slices.ContainsFunc(c.rec.Memberships, func(l record.Membership) bool {
		return l.Balancer == b && l.From <= from && (l.To == 0 || l.To > to)
	})
}

// canReach reports whether two balancers could exchange messages all the time between two times, directly or through a third
// that ran throughout.
func (c *checker) canReach(a, b int, from, to time.Duration) bool {
	open := func(x, y int) bool {
		return !slices.ContainsFunc(c.rec.LinkOutages, func(outage record.LinkOutage) bool {
			return (outage.From == x && outage.To == y || outage.From == y && outage.To == x) && outage.Begin < to && outage.End > from
		})
	}
	if open(a, b) {
		return true
	}
	for x := range c.config.Membership.Balancers {
		if x != a && x != b && open(a, x) && open(x, b) && c.ranThroughout(x, from, to) {
			return true
		}
	}
	return false
}

// checkNameConflicts checks that of two processes with one name each reports the conflict in time.
func (c *checker) checkNameConflicts(convergenceTime time.Duration) {
	for _, s := range c.rec.Pauses {
		if s.SameNameAs == 0 || s.To-s.From < convergenceTime {
			continue
		}
		for _, b := range []int{s.Balancer, s.SameNameAs - 1} {
			c.checked[NameConflictReported]++
			if !slices.ContainsFunc(c.rec.Views, func(v record.MembershipView) bool {
				return v.Balancer == b && v.NameConflict && v.At > s.From && v.At <= s.From+convergenceTime
			}) {
				c.addBreach(NameConflictReported, "", s.From+convergenceTime, 0, "balancer %d never tells that another one has its name", b+1)
			}
		}
	}
}

// checkTraffic checks the bytes that each balancer sent to the others in every window.
func (c *checker) checkTraffic() {
	maxBytes := c.config.Membership.MaxTraffic()
	worst := int64(0)
	for i, x := range c.rec.BytesSent {
		for _, y := range c.rec.BytesSent[i:] {
			if y.Balancer != x.Balancer || y.At-x.At > trafficWindow {
				continue
			}
			c.checked[TrafficBounded]++
			n := y.Bytes - x.Bytes
			worst = max(worst, n)
			if n > maxBytes {
				c.addBreach(TrafficBounded, "", y.At, 0, "balancer %d sent %d bytes to others in %v, where %d are the most", x.Balancer+1, n, y.At-x.At, maxBytes)
			}
		}
	}
	c.notes = append(c.notes, fmt.Sprintf("between balancers: most in %v by one %d bytes of %d; a death within %v, views equal within %v", trafficWindow, worst, maxBytes, c.config.Membership.FailureDetectionTime(), c.config.Membership.ConvergenceTime()))
}
