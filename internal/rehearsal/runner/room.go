package runner

import (
	"fmt"
	"os"
	"strings"
	"syscall"

	"streamrail/internal/rehearsal/scenario"
)

// Room is what a machine has for a rehearsal; zero: it is not known.
type Room struct {
	Descriptors uint64 // of this process
	MemoryMB    uint64
}

// What a rehearsal takes, seen on days of 2 to 16 balancers and rounded up.
const (
	ownDescriptors = 256 // logs, clients' first connections, the runtime
	perPair        = 3   // of a balancer and a node: the node's listener there and a connection or two that come in
	perBalancer    = 40  // its agent, its ways to others, its clients' connections
	balancerMB     = 16  // a process that carries some hundred calls a second
	pairKB         = 24  // listener and connections with their buffers and goroutines
)

// Needs is what a day takes of the machine it is played on with processes.
func Needs(d *scenario.Day) Room {
	nodes := 0
	for _, g := range d.Nodes {
		nodes += g.Count
	}
	pairs, n := uint64(nodes)*uint64(d.Fleet.Balancers), uint64(d.Fleet.Balancers)
	return Room{Descriptors: ownDescriptors + perPair*pairs + perBalancer*n, MemoryMB: balancerMB*n + pairs*pairKB/1024}
}

// lacks says what there is too little of, in words; nil where all is there.
func (has Room) lacks(needs Room, d *scenario.Day) error {
	for _, x := range []struct {
		what       string
		needs, has uint64
	}{{"descriptors of this process (ulimit -n)", needs.Descriptors, has.Descriptors}, {"MB of free memory", needs.MemoryMB, has.MemoryMB}} {
		if x.has > 0 && x.needs > x.has {
			return fmt.Errorf("%s: %d balancers and its nodes need %d %s, there are %d; simulate plays it without processes",
				d.Name, d.Fleet.Balancers, x.needs, x.what, x.has)
		}
	}
	return nil
}

// room reads what this machine has.
func room() (has Room) {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) == nil {
		has.Descriptors = limit.Cur
	}
	text, _ := os.ReadFile("/proc/meminfo")
	for line := range strings.Lines(string(text)) {
		var kb uint64
		if n, _ := fmt.Sscanf(line, "MemAvailable: %d kB", &kb); n == 1 {
			has.MemoryMB = kb >> 10
		}
	}
	return has
}
