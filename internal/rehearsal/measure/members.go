package measure

import (
	"context"
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"streamrail/internal/rehearsal/membersim"
	"streamrail/internal/rehearsal/model"
	"streamrail/internal/rehearsal/runner"
	"streamrail/internal/rehearsal/scenario"
)

// Members holds the membership measurements of a fleet of one size.
type Members struct {
	Mates       int
	Sockets     bool
	Seeds       int
	First, Last membersim.Spread // from the end of a process until the first and until the last view lists it as dead
	Birth       membersim.Spread // from the start of a process until all views list it
	Heal        membersim.Spread // from the end of a partition into three sides until all views are equal
	Calm        []Calm           // without deaths; in virtual time
	CPU         time.Duration    // processor time of one balancer per second; on sockets
	Bytes       float64          // bytes that one balancer sends per second; on sockets
}

// Calm holds the measurements of a fleet in which no process ends.
type Calm struct {
	Loss  float64
	Stall time.Duration // longest pause of a process; every 100 ms one pauses
	membersim.QuietResult
}

// defaultConfig returns a fleet with the defaults of the operator's file.
func defaultConfig(members int, seed uint64, loss float64) membersim.Config {
	return membersim.Config{Members: members, Zones: 3, Seeds: 3, ProbePeriod: 400 * time.Millisecond, SuspicionTimeout: 2 * time.Second, GossipBytesPerSecond: 3000, Seed: seed,
		Links: model.LinkConfig{LossRatio: loss, Delay: time.Millisecond, Jitter: 9 * time.Millisecond}}
}

// maxQuietRun limits one simulation without deaths before the next seed begins: many starts cover more cases than one long run.
const maxQuietRun = 25 * time.Minute

// MeasureMembersSimulated measures fleets of one size in virtual time, with a number of seeds on a number of concurrent workers.
// The runs without deaths last for quiet in total, those with pauses of processes for stalled. A line for each finished run is
// written to note.
func MeasureMembersSimulated(members, seeds, workers int, quiet, stalled time.Duration, note io.Writer) Members {
	m := Members{Mates: members, Seeds: seeds}
	var mu sync.Mutex
	var first, last, birth, heal []time.Duration
	forEachSeed := func(n int, do func(seed uint64)) {
		RunParallel(n, workers, func(i int) error { do(uint64(i + 1)); return nil })
	}
	forEachSeed(seeds, func(seed uint64) {
		f, l := membersim.DeathDetection(defaultConfig(members, seed, 0))
		b, h := membersim.JoinTime(defaultConfig(members, seed, 0)), membersim.PartitionRecovery(defaultConfig(members, seed, 0), 3)
		mu.Lock()
		defer mu.Unlock()
		first, last, birth, heal = append(first, f), append(last, l), append(birth, b), append(heal, h)
	})
	m.First, m.Last, m.Birth, m.Heal = membersim.NewSpread(first), membersim.NewSpread(last), membersim.NewSpread(birth), membersim.NewSpread(heal)
	m.Calm = append(m.Calm, Calm{}, Calm{Loss: 0.05}, Calm{Loss: 0.3}, Calm{Loss: 0.05, Stall: time.Second})
	for i := range m.Calm {
		c := &m.Calm[i]
		stallInterval, length := time.Duration(0), quiet
		if c.Stall > 0 {
			stallInterval, length = 100*time.Millisecond, stalled
		}
		runs := max(workers, int((length+maxQuietRun-1)/maxQuietRun))
		forEachSeed(runs, func(seed uint64) {
			result := membersim.RunWithoutDeaths(defaultConfig(members, seed, c.Loss), length/time.Duration(runs), stallInterval, c.Stall)
			mu.Lock()
			defer mu.Unlock()
			c.Suspicions, c.Deaths, c.Played = c.Suspicions+result.Suspicions, c.Deaths+result.Deaths, c.Played+result.Played
			c.BytesPerS, c.PerS = c.BytesPerS+result.BytesPerS/float64(runs), c.PerS+result.PerS/float64(runs)
			fmt.Fprintf(note, "%d members, loss %.2f, pauses up to %v, seed %d: %v simulated, %d false deaths\n", members, c.Loss, c.Stall, seed, result.Played, result.Deaths)
		})
	}
	return m
}

// Text prints the results.
func (m Members) Text(to io.Writer) {
	clock := "virtual"
	if m.Sockets {
		clock = "sockets"
	}
	formatSpread := func(s membersim.Spread) string {
		formatSeconds := func(d time.Duration) string {
			if d >= membersim.Never/2 {
				return "never"
			}
			return fmt.Sprintf("%.2f", d.Seconds())
		}
		return formatSeconds(s.Median) + " " + formatSeconds(s.P99) + " " + formatSeconds(s.Worst)
	}
	fmt.Fprintf(to, "%d members, %s, %d times; seconds as median, p99, worst\n  death in the first view %s, in the last %s; a start in the last %s; equal views after a partition %s\n",
		m.Mates, clock, m.Seeds, formatSpread(m.First), formatSpread(m.Last), formatSpread(m.Birth), formatSpread(m.Heal))
	if m.Sockets {
		fmt.Fprintf(to, "  without deaths: %.0f bytes per second per balancer, %v of processor time per second per balancer\n", m.Bytes, m.CPU)
	}
	for _, c := range m.Calm {
		hours := c.Played.Hours()
		fmt.Fprintf(to, "  loss %.2f, pauses up to %v, %v simulated: %.1f false suspicions and %.2f false deaths per hour; %.0f bytes and %.1f datagrams per second per balancer\n",
			c.Loss, c.Stall, c.Played, float64(c.Suspicions)/hours, float64(c.Deaths)/hours, c.BytesPerS, c.PerS)
	}
}

// MeasureMembersOnSockets measures a fleet of processes with real sockets: it ends and restarts one process after another and
// partitions the network in the first of every three rounds.
func MeasureMembersOnSockets(ctx context.Context, launch runner.Launch, balancers, times int) (m Members, err error) {
	m = Members{Mates: balancers, Sockets: true, Seeds: times}
	dir, err := os.MkdirTemp("", "members-")
	if err != nil {
		return m, err
	}
	defer os.RemoveAll(dir)
	sc := baseScenario(1, time.Hour, 1)
	sc.Hosts[0].Count, sc.Fleet.Balancers = 1, balancers
	sc.Membership = scenario.Membership{Enabled: true, ProbePeriod: scenario.Span(400 * time.Millisecond), SuspicionTimeout: scenario.Span(2 * time.Second), GossipBytesPerSecond: 3000}
	session, err := runner.Start(ctx, sc, launch, dir)
	if err != nil {
		return m, err
	}
	defer session.End()
	session.Environment.Begin()
	processIDs := make([]string, balancers)
	// countViews counts the views of the other balancers that have the current process of the excepted balancer as present. It also
	// reports whether all these views are complete and equal. Without an exception (-1) it compares the views of all balancers.
	countViews := func(except int) (n int, equal bool) {
		var mu sync.Mutex
		var group sync.WaitGroup
		digests, complete := map[string]bool{}, true
		for b := range balancers {
			if b == except {
				continue
			}
			group.Go(func() {
				v, ok := session.MembershipView(b)
				mu.Lock()
				defer mu.Unlock()
				digests[v.Digest] = true
				complete = complete && ok && v.PresentCount == balancers
				processIDs[b] = v.ProcessID
				for _, x := range v.Members {
					if except >= 0 && x.ProcessID == processIDs[except] && (x.State == "alive" || x.State == "suspected") {
						n++
					}
				}
			})
		}
		group.Wait()
		return n, complete && len(digests) == 1
	}
	awaitEqualViews := func() time.Duration {
		began := time.Now()
		for time.Since(began) < time.Minute && ctx.Err() == nil {
			if _, equal := countViews(-1); equal {
				return time.Since(began)
			}
			time.Sleep(10 * time.Millisecond)
		}
		return membersim.Never
	}
	var first, last, birth, heal []time.Duration
	awaitEqualViews()
	bytes := func() (n int64) {
		for b := range balancers {
			n += session.Links().BytesSent(b)
		}
		return n
	}
	cpu := func() (sum time.Duration) {
		for b := range balancers {
			sum += session.Usage(b).CPU
		}
		return sum
	}
	const calmTime = 10 * time.Second
	bytesBefore, cpuBefore := bytes(), cpu()
	time.Sleep(calmTime)
	m.Bytes = float64(bytes()-bytesBefore) / calmTime.Seconds() / float64(balancers)
	m.CPU = (cpu() - cpuBefore) / time.Duration(balancers) / time.Duration(calmTime/time.Second)
	for i := range times {
		b := (7*i + 3) % balancers
		session.Kill(b, 9*time.Second)
		killedAt, firstDelay, lastDelay := time.Now(), membersim.Never, membersim.Never
		for n := balancers; n > 0 && time.Since(killedAt) < 9*time.Second && ctx.Err() == nil; {
			if n, _ = countViews(b); n < balancers-1 && firstDelay == membersim.Never {
				firstDelay = time.Since(killedAt)
			}
			if n == 0 {
				lastDelay = time.Since(killedAt)
			}
		}
		first, last = append(first, firstDelay), append(last, lastDelay)
		time.Sleep(max(0, 9*time.Second-time.Since(killedAt)))
		for !session.Alive(b) && ctx.Err() == nil {
			time.Sleep(5 * time.Millisecond)
		}
		birth = append(birth, awaitEqualViews())
		if i%3 == 0 {
			side := func(x int) int { return x * 3 / balancers }
			session.Links().Cut(true, func(from, to int) bool { return side(from) != side(to) })
			time.Sleep(15 * time.Second)
			session.Links().Cut(false, func(int, int) bool { return true })
			heal = append(heal, awaitEqualViews())
		}
	}
	m.First, m.Last, m.Birth, m.Heal = membersim.NewSpread(first), membersim.NewSpread(last), membersim.NewSpread(birth), membersim.NewSpread(heal)
	return m, ctx.Err()
}
