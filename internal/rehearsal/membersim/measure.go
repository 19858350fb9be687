package membersim

import (
	"slices"
	"time"

	"streamrail/internal/fleet/member"
)

// Spread summarizes the durations measured with many seeds.
type Spread struct{ Median, P99, Worst time.Duration }

// NewSpread sorts the durations in place and returns their median, 99th percentile and maximum. Use Never for an event that did
// not happen.
func NewSpread(all []time.Duration) Spread {
	if len(all) == 0 {
		return Spread{}
	}
	slices.Sort(all)
	at := func(q float64) time.Duration { return all[min(len(all)-1, int(q*float64(len(all))))] }
	return Spread{at(0.5), at(0.99), all[len(all)-1]}
}

// Never is the duration reported for an event that did not happen during the simulation.
const Never = time.Hour

// sees reports whether a member's view lists a process as present.
func (p *Fleet) sees(member int, l member.ProcessID) bool { return p.Members[member].IsPresent(l) }

// StartAll starts all members and reports whether all views are complete and equal within the given time.
func (p *Fleet) StartAll(within time.Duration) bool {
	for i := range p.Members {
		p.Start(i)
		p.Run(p.Now + 20*time.Millisecond)
	}
	return p.RunUntil(p.Now+within, func() bool { return p.ViewsEqual(nil) }) < Never
}

// RunUntil advances the simulation until the condition holds, which is checked every 20 ms, and returns the time at which it
// held, or Never if it does not hold before the limit.
func (p *Fleet) RunUntil(limit time.Duration, holds func() bool) time.Duration {
	for p.Now < limit {
		p.Run(p.Now + 20*time.Millisecond)
		if holds() {
			return p.Now
		}
	}
	return Never
}

// ViewsEqual reports whether the views of all running members among the given ones list exactly these running members; nil means
// all members of the fleet.
func (p *Fleet) ViewsEqual(members []int) bool {
	if members == nil {
		for i := range p.Members {
			members = append(members, i)
		}
	}
	n, digest := 0, uint64(0)
	for _, i := range members {
		if p.Members[i].Machine != nil {
			n++
		}
	}
	first := true
	for _, i := range members {
		m := p.Members[i].Machine
		if m == nil {
			continue
		}
		seen, d := m.PresentCount()
		if seen != n || !first && d != digest {
			return false
		}
		first, digest = false, d
	}
	return true
}

// DeathDetection returns how long after the kill of a random member the first and the last view no longer list it.
func DeathDetection(t Config) (first, last time.Duration) {
	p := New(t)
	if !p.StartAll(time.Minute) {
		return Never, Never
	}
	p.Run(p.Now + 5*time.Second)
	i := p.rng.IntN(t.Members)
	l := p.Members[i].ProcessID()
	p.Kill(i)
	at := p.Now
	first = Never
	p.RunUntil(at+2*time.Minute, func() bool {
		seeing := 0
		for k := range p.Members {
			if k != i && p.sees(k, l) {
				seeing++
			}
		}
		if seeing < t.Members-1 && first == Never {
			first = p.Now - at
		}
		if seeing == 0 {
			last = p.Now - at
		}
		return seeing == 0
	})
	if last == 0 {
		last = Never
	}
	return first, last
}

// JoinTime returns how long after the start of a member all views are complete and equal.
func JoinTime(t Config) time.Duration {
	p := New(t)
	for i := range t.Members - 1 {
		p.Start(i)
	}
	p.Run(p.Now + 20*time.Second)
	p.Start(t.Members - 1)
	at := p.Now
	return p.RunUntil(at+2*time.Minute, func() bool { return p.ViewsEqual(nil) }) - at
}

// PartitionRecovery returns how long after the end of a network partition into the given number of sides all views are equal
// again. The partition lasts a minute, long enough that each side lists only its own members.
func PartitionRecovery(t Config, sides int) time.Duration {
	p := New(t)
	if !p.StartAll(time.Minute) {
		return Never
	}
	side := func(i int) int { return i * sides / t.Members }
	p.Cut(func(from, to int) bool { return side(from) != side(to) })
	p.Run(p.Now + time.Minute)
	p.Cut(nil)
	at := p.Now
	return p.RunUntil(at+2*time.Minute, func() bool { return p.ViewsEqual(nil) }) - at
}

// QuietResult is the result of a simulation in which no member dies: the false suspicions and false deaths, and the traffic that
// each member sends.
type QuietResult struct {
	Suspicions, Deaths int           // state changes in a member's view that follow from its own probes
	BytesPerS          float64       // per member
	PerS               float64       // datagrams per second and member
	Played             time.Duration // simulated time
}

// RunWithoutDeaths simulates a complete fleet for the given length. Unless stallEvery is 0, a random member is stalled at that
// interval for a random time up to stall. Packet loss begins only once all views are equal: with high loss some member is
// suspected most of the time, so the views would rarely become equal. If they do not, Deaths is -1.
func RunWithoutDeaths(t Config, length, stallEvery, stall time.Duration) (c QuietResult) {
	loss := t.Links.LossRatio
	t.Links.LossRatio = 0
	p := New(t)
	if !p.StartAll(time.Minute) {
		c.Deaths = -1
		return c
	}
	p.defaultLink.LossRatio = loss
	p.Run(p.Now + 10*time.Second)
	for _, m := range p.Members {
		m.BytesSent, m.DatagramsSent = 0, 0
	}
	p.OnEvent = func(_ int, e member.Event) {
		switch {
		case e.Kind == "verdict":
			c.Deaths++
		case e.Kind == "state" && e.To == member.Suspected:
			c.Suspicions++
		}
	}
	from := p.Now
	for p.Now < from+length {
		if stallEvery == 0 {
			p.Run(from + length)
			break
		}
		p.Stall(p.rng.IntN(t.Members), time.Duration(p.rng.Int64N(int64(stall)))+1)
		p.Run(min(p.Now+stallEvery, from+length))
	}
	for _, m := range p.Members {
		c.BytesPerS += float64(m.BytesSent)
		c.PerS += float64(m.DatagramsSent)
	}
	memberSeconds := float64(t.Members) * (p.Now - from).Seconds()
	c.BytesPerS, c.PerS, c.Played = c.BytesPerS/memberSeconds, c.PerS/memberSeconds, p.Now-from
	return c
}
