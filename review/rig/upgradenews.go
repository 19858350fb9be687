package main

import (
	"fmt"
	"time"
)

// Trial upgradenews: where lists are asked for, the new process of an upgrade asks for the first time up to 5 s after its start. A cache
// host that begins to leave just after the yes, which the old process is told at once, gets requests from the new one until then.

const (
	shortGrace   = 500 * time.Millisecond // of glina-kilns
	upgradeNewsT = 2 * time.Second        // "Discovery's news counts as told 2 s after the yes"
	upgradeCount = 6
)

func upgradeNews() {
	d, o := newDiscovery(), newOrigin()
	d.set("origin", o.addr, "gateway", "active", time.Time{})
	var hosts []*cacheHost
	for i := range 12 {
		h := newCacheHost(fmt.Sprintf("cache-%d", i+1))
		d.set(h.id, h.addr, "c2-normal", "active", time.Time{})
		hosts = append(hosts, h)
	}
	addr, tmp := freeAddr(), rigTemp("n0")
	process := func(name string) *balancer {
		c := config("n0", addr, d, 1)
		s := c["settings"].(map[string]any)
		s["discovery"] = "subscribe"
		s["rules"].(map[string]any)["drainGraceNs"] = shortGrace.Nanoseconds()
		return start(name, addr, freeAddr(), tmp, c)
	}
	serving := process("p0")
	serving.waitServing()
	reads := startReads(120, &clients{addr: addr})
	time.Sleep(7 * time.Second)
	broken := 0
	for round := range upgradeCount {
		h := hosts[round]
		old := serving
		if trouble {
			serving = process(fmt.Sprintf("p%d", round+1))
			serving.waitReady()
		}
		yes := time.Now()
		d.set(h.id, h.addr, "c2-normal", "leaving", time.Time{})
		time.Sleep(10 * time.Millisecond)
		if trouble {
			go terminate(old)
		}
		time.Sleep(7 * time.Second)
		afterOld, late := h.since(yes.Add(shortGrace+slack)), h.since(yes.Add(upgradeNewsT+shortGrace+slack))
		rec.say("upgrade %d: %d requests later than the grace after the old process was told, %d later than the grace after 2 s from the yes", round+1, len(afterOld), len(late))
		if len(late) > 0 {
			broken++
		}
	}
	served, other := reads.end()
	rec.say("%d reads got their value, %d did not; the later bound was passed in %d of %d", served, other, broken, upgradeCount)
	verdict(broken > 0)
}
