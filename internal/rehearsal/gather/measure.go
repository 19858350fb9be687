package gather

import (
	"slices"
	"time"

	"streamrail/internal/fleet/member"
)

// Spread is a figure over many seeds.
type Spread struct{ Median, P99, Worst time.Duration }

// Of sorts and sums up; never is what did not come within the play.
func Of(all []time.Duration) Spread {
	if len(all) == 0 {
		return Spread{}
	}
	slices.Sort(all)
	at := func(q float64) time.Duration { return all[min(len(all)-1, int(q*float64(len(all))))] }
	return Spread{at(0.5), at(0.99), all[len(all)-1]}
}

// Never stands for what did not come within the play.
const Never = time.Hour

// holds tells whether a mate's view has another present.
func (p *Play) holds(of int, l member.ProcessID) bool { return p.Mates[of].IsPresent(l) }

// Whole starts a fleet and lets it find itself. It tells whether all see all then.
func (p *Play) Whole(within time.Duration) bool {
	for i := range p.Mates {
		p.Start(i)
		p.Run(p.Now + 20*time.Millisecond)
	}
	return p.Until(p.Now+within, func() bool { return p.Equal(nil) }) < Never
}

// Until runs until something holds, which is looked at every 20 ms, and tells when that was; Never where it does not.
func (p *Play) Until(most time.Duration, holds func() bool) time.Duration {
	for p.Now < most {
		p.Run(p.Now + 20*time.Millisecond)
		if holds() {
			return p.Now
		}
	}
	return Never
}

// Equal tells whether those that run, or of these some, all see just each other.
func (p *Play) Equal(some []int) bool {
	if some == nil {
		for i := range p.Mates {
			some = append(some, i)
		}
	}
	n, digest := 0, uint64(0)
	for _, i := range some {
		if p.Mates[i].Machine != nil {
			n++
		}
	}
	first := true
	for _, i := range some {
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

// Death is how long after a kill the first and the last view had it.
func Death(t Terms) (first, last time.Duration) {
	p := New(t)
	if !p.Whole(time.Minute) {
		return Never, Never
	}
	p.Run(p.Now + 5*time.Second)
	i := p.dice.IntN(t.Mates)
	l := p.Mates[i].ProcessID()
	p.Kill(i)
	at := p.Now
	first = Never
	p.Until(at+2*time.Minute, func() bool {
		left := 0
		for k := range p.Mates {
			if k != i && p.holds(k, l) {
				left++
			}
		}
		if left < t.Mates-1 && first == Never {
			first = p.Now - at
		}
		if left == 0 {
			last = p.Now - at
		}
		return left == 0
	})
	if last == 0 {
		last = Never
	}
	return first, last
}

// Birth is how long after a start the last view had it.
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

// Heal is how long after the end of a cut in some sides all views are equal; the cut lasts until each side sees only itself.
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

// Calm is what a play without deaths shows: wrong suspicions and deaths, and what the talk costs a mate.
type Calm struct {
	Suspicions, Deaths int // changes to it in a view by own looks
	BytesPerS          float64
	PerS               float64 // datagrams
	Played             time.Duration
}

// Quiet plays a whole fleet for a while; a mate stands still every so often, up to so long, where that is given. Loss
// begins when all see all: with much of it some suspicion is in the way of equal views at most times.
func Quiet(t Terms, length, stallEvery, stall time.Duration) (c Calm) {
	loss := t.Ways.Loss
	t.Ways.Loss = 0
	p := New(t)
	if !p.Whole(time.Minute) {
		c.Deaths = -1
		return c
	}
	p.common.Loss = loss
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
		p.Stall(p.dice.IntN(t.Mates), time.Duration(p.dice.Int64N(int64(stall)))+1)
		p.Run(min(p.Now+stallEvery, from+length))
	}
	for _, m := range p.Mates {
		c.BytesPerS += float64(m.Bytes)
		c.PerS += float64(m.Sent)
	}
	by := float64(t.Mates) * (p.Now - from).Seconds()
	c.BytesPerS, c.PerS, c.Played = c.BytesPerS/by, c.PerS/by, p.Now-from
	return c
}
