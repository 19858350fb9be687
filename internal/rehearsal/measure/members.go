package measure

import (
	"context"
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"streamrail/internal/rehearsal/gather"
	"streamrail/internal/rehearsal/model"
	"streamrail/internal/rehearsal/runner"
	"streamrail/internal/rehearsal/scenario"
)

// Members are the figures of fleets of one size.
type Members struct {
	Mates       int
	Sockets     bool
	Seeds       int
	First, Last gather.Spread // from a death to the first and to the last view that has it
	Birth       gather.Spread // from a start to the last view
	Heal        gather.Spread // from the end of a cut in three sides to equal views
	Calm        []Calm
	CPU         time.Duration // of one balancer in a second; on sockets
	Bytes       float64       // that one sends in a second; on sockets
}

// Calm is a fleet without deaths.
type Calm struct {
	Loss  float64
	Stall time.Duration // members stand still for up to so long, one each 100 ms
	gather.Calm
}

// usual is what the operator's file has where it says nothing.
func usual(mates int, seed uint64, loss float64) gather.Terms {
	return gather.Terms{Mates: mates, Zones: 3, Seeds: 3, Period: 400 * time.Millisecond, Suspect: 2 * time.Second, Budget: 3000, Seed: seed,
		Ways: model.WayTerms{Loss: loss, Delay: time.Millisecond, Jitter: 9 * time.Millisecond}}
}

// mostPlay is how long one quiet play goes on before the next seed: many starts say more than one long play.
const mostPlay = 25 * time.Minute

// Virtual measures fleets of one size in virtual time: so many seeds on so many lanes, quiet plays of a length, and plays
// with loss and stalls of another. Each play that ends is told to note.
func Virtual(mates, seeds, lanes int, quiet, stalled time.Duration, note io.Writer) Members {
	m := Members{Mates: mates, Seeds: seeds}
	var mu sync.Mutex
	var first, last, birth, heal []time.Duration
	each := func(n int, do func(seed uint64)) {
		SideBySide(n, lanes, func(i int) error { do(uint64(i + 1)); return nil })
	}
	each(seeds, func(seed uint64) {
		f, l := gather.Death(usual(mates, seed, 0))
		b, h := gather.Birth(usual(mates, seed, 0)), gather.Heal(usual(mates, seed, 0), 3)
		mu.Lock()
		defer mu.Unlock()
		first, last, birth, heal = append(first, f), append(last, l), append(birth, b), append(heal, h)
	})
	m.First, m.Last, m.Birth, m.Heal = gather.Of(first), gather.Of(last), gather.Of(birth), gather.Of(heal)
	m.Calm = append(m.Calm, Calm{}, Calm{Loss: 0.05}, Calm{Loss: 0.3}, Calm{Loss: 0.05, Stall: time.Second})
	for i := range m.Calm {
		c := &m.Calm[i]
		every, length := time.Duration(0), quiet
		if c.Stall > 0 {
			every, length = 100*time.Millisecond, stalled
		}
		plays := max(lanes, int((length+mostPlay-1)/mostPlay))
		each(plays, func(seed uint64) {
			got := gather.Quiet(usual(mates, seed, c.Loss), length/time.Duration(plays), every, c.Stall)
			mu.Lock()
			defer mu.Unlock()
			c.Suspicions, c.Deaths, c.Played = c.Suspicions+got.Suspicions, c.Deaths+got.Deaths, c.Played+got.Played
			c.BytesPerS, c.PerS = c.BytesPerS+got.BytesPerS/float64(plays), c.PerS+got.PerS/float64(plays)
			fmt.Fprintf(note, "%d members, loss %.2f, stalls to %v, seed %d: %v played, %d wrong deaths\n", mates, c.Loss, c.Stall, seed, got.Played, got.Deaths)
		})
	}
	return m
}

// Text prints the figures.
func (m Members) Text(to io.Writer) {
	how := "virtual"
	if m.Sockets {
		how = "sockets"
	}
	ms := func(s gather.Spread) string {
		of := func(d time.Duration) string {
			if d >= gather.Never/2 {
				return "never"
			}
			return fmt.Sprintf("%.2f", d.Seconds())
		}
		return of(s.Median) + " " + of(s.P99) + " " + of(s.Worst)
	}
	fmt.Fprintf(to, "%d members, %s, %d times; seconds as median, p99, worst\n  death in the first view %s, in the last %s; a start in the last %s; equal views after a cut %s\n",
		m.Mates, how, m.Seeds, ms(m.First), ms(m.Last), ms(m.Birth), ms(m.Heal))
	if m.Sockets {
		fmt.Fprintf(to, "  calm: %.0f bytes a second a balancer, %v of processor time a second a balancer\n", m.Bytes, m.CPU)
	}
	for _, c := range m.Calm {
		hours := c.Played.Hours()
		fmt.Fprintf(to, "  loss %.2f, stalls to %v, %v played: %.1f suspicions and %.2f deaths an hour, wrong all; %.0f bytes and %.1f datagrams a second a balancer\n",
			c.Loss, c.Stall, c.Played, float64(c.Suspicions)/hours, float64(c.Deaths)/hours, c.BytesPerS, c.PerS)
	}
}

// OnSockets measures real processes: so many deaths, starts and cuts one after the other.
func OnSockets(ctx context.Context, launch runner.Launch, mates, times int) (m Members, err error) {
	m = Members{Mates: mates, Sockets: true, Seeds: times}
	dir, err := os.MkdirTemp("", "members-")
	if err != nil {
		return m, err
	}
	defer os.RemoveAll(dir)
	d := day(1, time.Hour, 1)
	d.Nodes[0].Count, d.Fleet.Balancers = 1, mates
	d.Mates = scenario.Mates{On: true, Period: scenario.Span(400 * time.Millisecond), Suspect: scenario.Span(2 * time.Second), Budget: 3000}
	s, err := runner.Up(ctx, d, launch, dir)
	if err != nil {
		return m, err
	}
	defer s.End()
	s.W.Begin()
	life := make([]string, mates)
	// present counts the views, of all others than one, that have it in this life, and tells whether all views are equal.
	present := func(but int) (n int, equal bool) {
		var mu sync.Mutex
		var group sync.WaitGroup
		digests, full := map[string]bool{}, true
		for b := range mates {
			if b == but {
				continue
			}
			group.Go(func() {
				v, ok := s.View(b)
				mu.Lock()
				defer mu.Unlock()
				digests[v.Digest] = true
				full = full && ok && v.Seen == mates
				life[b] = v.Life
				for _, x := range v.Members {
					if but >= 0 && x.Life == life[but] && (x.State == "alive" || x.State == "suspected") {
						n++
					}
				}
			})
		}
		group.Wait()
		return n, full && len(digests) == 1
	}
	whole := func() time.Duration {
		began := time.Now()
		for time.Since(began) < time.Minute && ctx.Err() == nil {
			if _, equal := present(-1); equal {
				return time.Since(began)
			}
			time.Sleep(10 * time.Millisecond)
		}
		return gather.Never
	}
	var first, last, birth, heal []time.Duration
	whole()
	bytes := func() (n int64) {
		for b := range mates {
			n += s.Ways().Bytes(b)
		}
		return n
	}
	cpu := func() (sum time.Duration) {
		for b := range mates {
			sum += s.Usage(b).CPU
		}
		return sum
	}
	const calm = 10 * time.Second
	was, used := bytes(), cpu()
	time.Sleep(calm)
	m.Bytes = float64(bytes()-was) / calm.Seconds() / float64(mates)
	m.CPU = (cpu() - used) / time.Duration(mates) / time.Duration(calm/time.Second)
	for i := range times {
		b := (7*i + 3) % mates
		s.Kill(b, 9*time.Second)
		at, f, l := time.Now(), gather.Never, gather.Never
		for n := mates; n > 0 && time.Since(at) < 9*time.Second && ctx.Err() == nil; {
			if n, _ = present(b); n < mates-1 && f == gather.Never {
				f = time.Since(at)
			}
			if n == 0 {
				l = time.Since(at)
			}
		}
		first, last = append(first, f), append(last, l)
		time.Sleep(max(0, 9*time.Second-time.Since(at)))
		for !s.Alive(b) && ctx.Err() == nil {
			time.Sleep(5 * time.Millisecond)
		}
		birth = append(birth, whole())
		if i%3 == 0 {
			side := func(x int) int { return x * 3 / mates }
			s.Ways().Cut(true, func(from, to int) bool { return side(from) != side(to) })
			time.Sleep(15 * time.Second)
			s.Ways().Cut(false, func(int, int) bool { return true })
			heal = append(heal, whole())
		}
	}
	m.First, m.Last, m.Birth, m.Heal = gather.Of(first), gather.Of(last), gather.Of(birth), gather.Of(heal)
	return m, ctx.Err()
}
