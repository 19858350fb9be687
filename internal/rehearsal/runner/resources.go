package runner

import (
	"fmt"
	"os"
	"strings"
	"syscall"

	"streamrail/internal/rehearsal/scenario"
)

// Resources is the amount of resources that a rehearsal needs or a machine has; zero means unknown.
type Resources struct {
	Descriptors uint64 // of this process
	MemoryMB    uint64
}

// Resources that a rehearsal needs, as upper estimates from rehearsals with 2 to 16 balancers.
const (
	runnerDescriptors      = 256 // log files, first connections of clients, Go runtime
	descriptorsPerPair     = 3   // per balancer and cache host: the listener and one or two accepted connections
	descriptorsPerBalancer = 40  // discovery stand-in, links to other balancers, client connections
	memoryPerBalancerMB    = 16  // a process that handles some hundred requests per second
	memoryPerPairKB        = 24  // listener and connections with their buffers and goroutines
)

// RequiredResources returns the resources that a rehearsal with balancer processes needs.
func RequiredResources(sc *scenario.Scenario) Resources {
	hosts := 0
	for _, g := range sc.Hosts {
		hosts += g.Count
	}
	pairs, n := uint64(hosts)*uint64(sc.Fleet.Balancers), uint64(sc.Fleet.Balancers)
	return Resources{Descriptors: runnerDescriptors + descriptorsPerPair*pairs + descriptorsPerBalancer*n, MemoryMB: memoryPerBalancerMB*n + pairs*memoryPerPairKB/1024}
}

// check returns an error that names the first insufficient resource, or nil.
func (available Resources) check(required Resources, sc *scenario.Scenario) error {
	for _, x := range []struct {
		what                string
		required, available uint64
	}{{"descriptors of this process (ulimit -n)", required.Descriptors, available.Descriptors}, {"MB of free memory", required.MemoryMB, available.MemoryMB}} {
		if x.available > 0 && x.required > x.available {
			return fmt.Errorf("%s: its %d balancers and its cache nodes need %d %s, only %d available; simulate runs it without processes",
				sc.Name, sc.Fleet.Balancers, x.required, x.what, x.available)
		}
	}
	return nil
}

// availableResources returns the descriptors that this process may open and the free memory of this machine.
func availableResources() (available Resources) {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) == nil {
		available.Descriptors = limit.Cur
	}
	text, _ := os.ReadFile("/proc/meminfo")
	for line := range strings.Lines(string(text)) {
		var kb uint64
		if n, _ := fmt.Sscanf(line, "MemAvailable: %d kB", &kb); n == 1 {
			available.MemoryMB = kb >> 10
		}
	}
	return available
}
