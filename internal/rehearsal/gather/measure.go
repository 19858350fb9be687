package gather

import (
	"slices"
	"time"

	"streamrail/internal/fleet/member"
)

// Spread summarizes the durations measured with many seeds.
type Spread struct{ Median, P99, Worst time.Duration }

// Of sorts the durations in place and returns their median, 99th percentile and maximum. Use Never for an event that did
// not happen.
func Of(all []time.Duration) Spread {
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
func (p *Play) sees(member int, l member.ProcessID) bool { return p.Mates[member].IsPresent(l) }

// Whole starts all members and reports whether all views are complete and equal within the given time.
func (p *Play) Whole(within time.Duration) bool {
	for i := range p.Mates {
		p.Start(i)
		p.Run(p.Now + 20*time.Millisecond)
	}
	return p.Until(p.Now+within, func() bool { return p.Equal(nil) }) < Never
}

// Until advances the simulation until the condition holds, which is checked every 20 ms, and returns the time at which it
// held, or Never if it does not hold before the limit.
func (p *Play) Until(limit time.Duration, holds func() bool) time.Duration {
	for p.Now < limit {
		p.Run(p.Now + 20*time.Millisecond)
		if holds() {
			return p.Now
		}
	}
	return Never
}

// Equal reports whether the running ones of the given members list exactly each other in their views; nil means all members.
func (p *Play) Equal(members []int) bool {
	if members == nil {
		for i := range p.Mates {
			members = append(members, i)
		}
	}
	n, digest := 0, uint64(0)
	for _, i := range members {
		if p.Mates[i].Machine != nil {
			n++
		}
	}
	first := true
	for _, i := range members {
		m := p.Mates[i].Machine
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

// Death returns how long after the kill of a random member the first and the last view no longer list it.
func Death(t Terms) (first, last time.Duration) {
	p := New(t)
	if !p.Whole(time.Minute) {
		return Never, Never
	}
	p.Run(p.Now + 5*time.Second)
	i := p.rng.IntN(t.Mates)
	l := p.Mates[i].ProcessID()
	p.Kill(i)
	at := p.Now
	first = Never
	p.Until(at+2*time.Minute, func() bool {
		seeing := 0
		for k := range p.Mates {
			if k != i && p.sees(k, l) {
				seeing++
			}
		}
		if seeing < t.Mates-1 && first == Never {
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

// Birth returns how long after the start of a member all views are complete and equal.
func Birth(t Terms) time.Duration {
	p := New(t)
	for i := range t.Mates - 1 {
		p.Start(i)
	}
	p.Run(p.Now + 20*time.Second)
	p.Start(t.Mates - 1)
	at := p.Now
	return p.Until(at+2*time.Minute, func() bool { return p.Equal(nil) }) - at
}

// Heal returns how long after the end of a network partition into the given number of sides all views are equal again. The
// partition lasts a minute, long enough that each side lists only its own members.
func Heal(t Terms, sides int) time.Duration {
	p := New(t)
	if !p.Whole(time.Minute) {
		return Never
	}
	side := func(i int) int { return i * sides / t.Mates }
	p.Cut(func(from, to int) bool { return side(from) != side(to) })
	p.Run(p.Now + time.Minute)
	p.Cut(nil)
	at := p.Now
	return p.Until(at+2*time.Minute, func() bool { return p.Equal(nil) }) - at
}

// Calm is the result of a simulation in which no member dies: the false suspicions and false deaths, and the traffic that
// each member sends.
type Calm struct {
	Suspicions, Deaths int     // state changes in a member's view that follow from its own probes
	BytesPerS          float64 // per member
	PerS               float64 // datagrams per second and member
	Played             time.Duration
}

// Quiet simulates a complete fleet for the given length. Unless stallEvery is 0, a random member is stalled at that interval
// for a random time up to stall. Packet loss begins only once all views are equal: with high loss some member is suspected
// most of the time, so the views would rarely become equal. If they do not, Deaths is -1.
func Quiet(t Terms, length, stallEvery, stall time.Duration) (c Calm) {
	loss := t.Ways.LossRatio
	t.Ways.LossRatio = 0
	p := New(t)
	if !p.Whole(time.Minute) {
		c.Deaths = -1
		return c
	}
	p.defaultLink.LossRatio = loss
	p.Run(p.Now + 10*time.Second)
	for _, m := range p.Mates {
		m.Bytes, m.Sent = 0, 0
	}
	p.On = func(_ int, e member.Event) {
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
		p.Stall(p.rng.IntN(t.Mates), time.Duration(p.rng.Int64N(int64(stall)))+1)
		p.Run(min(p.Now+stallEvery, from+length))
	}
	for _, m := range p.Mates {
		c.BytesPerS += float64(m.Bytes)
		c.PerS += float64(m.Sent)
	}
	memberSeconds := float64(t.Mates) * (p.Now - from).Seconds()
	c.BytesPerS, c.PerS, c.Played = c.BytesPerS/memberSeconds, c.PerS/memberSeconds, p.Now-from
	return c
}
