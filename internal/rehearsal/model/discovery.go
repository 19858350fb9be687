package model

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Lifecycle is the lifecycle state of a cache host in discovery.
type Lifecycle string

const (
	Active  Lifecycle = "active"
	Leaving Lifecycle = "leaving"
	Left    Lifecycle = "left"
)

// Entry is a cache host as discovery lists it.
type Entry struct {
	Host              string
	Zone, MachineType string
	Cell              int
	Lifecycle         Lifecycle
	Weight            float64
	StartedAt         time.Duration // start of the host; 0: before the run
}

// Discovery models discovery. It holds the list of cache hosts and passes changes to the agent of each balancer with a delay. It
// is not safe for concurrent use.
type Discovery struct {
	rng        *rand.Rand
	delays     [2]time.Duration
	generation int64
	agents     []*agent
	entries    map[string]Entry
}

// agent is the discovery agent of one balancer, with the list that it currently has.
type agent struct {
	generation int64
	entries    map[string]Entry
	lastChange map[string]int64 // by host, the agent's generation of its last change
	pending    []pendingChange  // ordered by time
	silent     bool             // it does not answer
}

type pendingChange struct {
	at         time.Duration
	generation int64
	entry      Entry
}

// NewDiscovery returns a discovery model for a number of balancers, which passes on each change after a delay from a range.
func NewDiscovery(balancers int, delays [2]time.Duration, rng *rand.Rand) *Discovery {
	r := &Discovery{rng: rng, delays: delays, generation: 1, entries: map[string]Entry{}}
	for range balancers {
		r.agents = append(r.agents, &agent{generation: 1, entries: map[string]Entry{}, lastChange: map[string]int64{}})
	}
	return r
}

// Set changes an entry. It returns for each balancer when its agent will have the change; at time 0 all have it at once.
func (r *Discovery) Set(now time.Duration, e Entry) (at []time.Duration) {
	r.generation++
	r.entries[e.Host] = e
	if e.Lifecycle == Left {
		delete(r.entries, e.Host)
	}
	for _, a := range r.agents {
		n := pendingChange{now, r.generation, e}
		if now > 0 {
			n.at += uniform(r.rng, r.delays[0], r.delays[1])
		}
		// Changes of the same host stay in order: a delayed change must not restore an older state.
		for _, d := range a.pending {
			if d.entry.Host == e.Host {
				n.at = max(n.at, d.at)
			}
		}
		i, _ := slices.BinarySearchFunc(a.pending, n.at, func(d pendingChange, at time.Duration) int {
			if d.at <= at {
				return -1
			}
			return 1
		})
		a.pending = slices.Insert(a.pending, i, n)
		at = append(at, n.at)
	}
	return at
}

// SetSilent stops the agent of a balancer from answering, or ends that.
func (r *Discovery) SetSilent(balancer int, on bool) { r.agents[balancer].silent = on }

// Silent reports whether the agent of a balancer does not answer.
func (r *Discovery) Silent(balancer int) bool { return r.agents[balancer].silent }

// ResetGenerations restarts the generations of the agent of a balancer, as a restart of discovery does.
func (r *Discovery) ResetGenerations(balancer int) {
	a := r.agents[balancer]
	a.generation = 1
	for host := range a.lastChange {
		a.lastChange[host] = 1
	}
}

// NextChange returns when the agent of a balancer receives the next change.
func (r *Discovery) NextChange(balancer int) time.Duration {
	if a := r.agents[balancer]; len(a.pending) > 0 {
		return a.pending[0].at
	}
	return never
}

// Advance applies the changes that the agents receive up to a given time. It returns the balancers whose list changed.
func (r *Discovery) Advance(now time.Duration) (changed []int) {
	for i, a := range r.agents {
		updated := false
		for len(a.pending) > 0 && a.pending[0].at <= now {
			d := a.pending[0]
			a.pending = a.pending[1:]
			a.generation++ // each agent counts its own generations, which only ResetGenerations sets back
			a.entries[d.entry.Host], a.lastChange[d.entry.Host] = d.entry, a.generation
			updated = true
		}
		if updated {
			changed = append(changed, i)
		}
	}
	return changed
}

// List returns the answer of a balancer's agent: all entries if full is set or the given generation is unknown, else those that
// changed after the given generation.
func (r *Discovery) List(balancer int, after int64, full bool) (generation int64, reset bool, entries []Entry) {
	a := r.agents[balancer]
	reset = full || after > a.generation
	for _, e := range slices.SortedFunc(maps.Values(a.entries), func(x, y Entry) int { return strings.Compare(x.Host, y.Host) }) {
		if reset && e.Lifecycle != Left || !reset && a.lastChange[e.Host] > after {
			entries = append(entries, e)
		}
	}
	return a.generation, reset, entries
}
