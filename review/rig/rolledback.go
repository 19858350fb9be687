package main

import (
	"fmt"
	"syscall"
	"time"
)

// Trial rolledback: the newer process of an upgrade is killed after its yes, and the older one serves on. At the next upgrade the newer
// process does not find the older one: a cache host that is taken out at the newer one's door still gets requests from the older one.

const (
	killTime     = 3700 * time.Millisecond // from SIGTERM to SIGKILL: the longest deadline, 3 s at most, and 0.7 s
	rolledbackOn = 6 * time.Second         // how long the check looks on after the host was taken out
)

func rolledBack() {
	d, o := newDiscovery(), newOrigin()
	d.set("origin", o.addr, "gateway", "active", time.Time{})
	var hosts []*cacheHost
	for i := range 4 {
		h := newCacheHost(fmt.Sprintf("cache-%d", i+1))
		d.set(h.id, h.addr, "c2-normal", "active", time.Time{})
		hosts = append(hosts, h)
	}
	addr, tmp := freeAddr(), rigTemp("n0")
	process := func(name string) *balancer { return start(name, addr, freeAddr(), tmp, config("n0", addr, d, 1)) }
	serving := process("old")
	serving.waitServing()
	front := &clients{addr: addr}
	reads := startReads(80, front)
	time.Sleep(3 * time.Second)

	first := process("new-1")
	first.waitReady()
	if trouble {
		first.signal(syscall.SIGKILL)
		<-first.ended
		rec.add("disruption: the newer process was killed; the older one serves on, as the page on upgrades says")
	} else {
		terminate(serving)
		serving = first
	}
	time.Sleep(3 * time.Second)
	if !serving.running() {
		cannotRun("%s has ended", serving.name)
	}

	second := process("new-2")
	second.waitReady()
	go terminate(serving)
	time.Sleep(100 * time.Millisecond)
	yes := second.order("/api/exclude", `{"member":"cache-1"}`)
	time.Sleep(time.Until(yes.Add(rolledbackOn)))
	answers, other := reads.end()
	late := hosts[0].since(yes.Add(drainGrace + slack))
	for _, at := range late {
		rec.add("check: cache-1 got a request at %.1f, %v after the yes", rec.ms(at), at.Sub(yes).Round(time.Millisecond))
	}
	before := len(hosts[0].since(time.Time{})) - len(hosts[0].since(yes))
	rec.say("cache-1 got %d requests before it was taken out, %d within the grace, %d later", before, len(hosts[0].since(yes))-len(late), len(late))
	rec.say("%d reads got their value, %d did not", answers, other)
	if answers == 0 || before == 0 {
		cannotRun("nothing was served")
	}
	verdict(len(late) > 0)
}

// terminate ends a balancer as the platform does at a planned restart.
func terminate(b *balancer) {
	b.signal(syscall.SIGTERM)
	select {
	case <-b.ended:
	case <-time.After(killTime):
		b.signal(syscall.SIGKILL)
		<-b.ended
	}
}
