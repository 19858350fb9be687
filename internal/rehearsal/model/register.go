package model

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Condition is what the register says of a node.
type Condition string

const (
	Active  Condition = "active"
	Leaving Condition = "leaving"
	Left    Condition = "left"
)

// Entry is one line of the register.
type Entry struct {
	Node       string
	Zone, Kind string
	Cell       int
	Condition  Condition
	Weight     float64
	Born       time.Duration // 0: before the day
}

// Register holds the list of nodes and brings changes to each balancer's agent late. It is not safe for concurrent use.
type Register struct {
	chance     *rand.Rand
	late       [2]time.Duration
	generation int64
	agents     []*agent
	entries    map[string]Entry
}

// agent is what one balancer can see.
type agent struct {
	generation int64
	entries    map[string]Entry
	changed    map[string]int64 // by node, the generation of its last change here
	due        []news           // in order of At
	silent     bool
}

type news struct {
	at         time.Duration
	generation int64
	entry      Entry
}

// NewRegister makes a register for so many balancers that tells each change within a range of delays.
func NewRegister(balancers int, late [2]time.Duration, chance *rand.Rand) *Register {
	r := &Register{chance: chance, late: late, generation: 1, entries: map[string]Entry{}}
	for range balancers {
		r.agents = append(r.agents, &agent{generation: 1, entries: map[string]Entry{}, changed: map[string]int64{}})
	}
	return r
}

// Set changes an entry. Before the day all agents know it at once. It returns when each balancer's agent will have it.
func (r *Register) Set(now time.Duration, e Entry) (at []time.Duration) {
	r.generation++
	r.entries[e.Node] = e
	if e.Condition == Left {
		delete(r.entries, e.Node)
	}
	for _, a := range r.agents {
		n := news{now, r.generation, e}
		if now > 0 {
			n.at += between(r.chance, r.late[0], r.late[1])
		}
		// Changes of one node come in their order: a late one must not bring an older state back.
		for _, d := range a.due {
			if d.entry.Node == e.Node {
				n.at = max(n.at, d.at)
			}
		}
		i, _ := slices.BinarySearchFunc(a.due, n.at, func(d news, at time.Duration) int {
			if d.at <= at {
				return -1
			}
			return 1
		})
		a.due = slices.Insert(a.due, i, n)
		at = append(at, n.at)
	}
	return at
}

// Silence makes the agent of a balancer say nothing, or ends that.
func (r *Register) Silence(balancer int, on bool) { r.agents[balancer].silent = on }

// Silent tells whether the agent of a balancer says nothing.
func (r *Register) Silent(balancer int) bool { return r.agents[balancer].silent }

// Rewind makes the agent forget that it told anything: versions start over, as after a restart of the register.
func (r *Register) Rewind(balancer int) {
	a := r.agents[balancer]
	a.generation = 1
	for node := range a.changed {
		a.changed[node] = 1
	}
}

// Due is when the agent of a balancer hears the next change.
func (r *Register) Due(balancer int) time.Duration {
	if a := r.agents[balancer]; len(a.due) > 0 {
		return a.due[0].at
	}
	return never
}

// Advance hands on what the agents have heard by a moment. It returns the balancers whose list changed.
func (r *Register) Advance(now time.Duration) (changed []int) {
	for i, a := range r.agents {
		news := false
		for len(a.due) > 0 && a.due[0].at <= now {
			d := a.due[0]
			a.due = a.due[1:]
			a.generation++ // of the agent's own: its versions never go back by themselves
			a.entries[d.entry.Node], a.changed[d.entry.Node] = d.entry, a.generation
			news = true
		}
		if news {
			changed = append(changed, i)
		}
	}
	return changed
}

// List is what the agent of a balancer answers: all entries, or those that changed after a generation of its own.
func (r *Register) List(balancer int, after int64, whole bool) (generation int64, reset bool, entries []Entry) {
	a := r.agents[balancer]
	reset = whole || after > a.generation
	for _, e := range slices.SortedFunc(maps.Values(a.entries), func(x, y Entry) int { return strings.Compare(x.Node, y.Node) }) {
		if reset && e.Condition != Left || !reset && a.changed[e.Node] > after {
			entries = append(entries, e)
		}
	}
	return a.generation, reset, entries
}
