package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Trial outorders: an operator takes two of four cache hosts out, at all balancers of the fleet, gets a yes for each, and restarts one of
// them. While that one is away from the list the other one gets requests again, though nobody has called it back.

const (
	awayTime    = 8 * time.Second // between the end of the host's process and its return to the list
	outordersOn = 5 * time.Second // how long the check looks on after that
)

func outOrders() {
	d, o := newDiscovery(), newOrigin()
	d.set("origin", o.addr, "gateway", "active", time.Time{})
	var hosts []*cacheHost
	for i := range 4 {
		h := newCacheHost(fmt.Sprintf("cache-%d", i+1))
		d.set(h.id, h.addr, "c2-normal", "active", time.Time{})
		hosts = append(hosts, h)
	}
	udp := []string{freeUDPAddr(), freeUDPAddr()}
	var fleet []*balancer
	var fronts []*clients
	for i := range 2 {
		name, addr := fmt.Sprintf("n%d", i), freeAddr()
		file := filepath.Join(os.Getenv("RIG_WORK"), name+".toml")
		text := fmt.Sprintf("[fleet]\nname = \"shop\"\naddress = %q\npeers = [%q]\norders = true\n", udp[i], udp[1-i])
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			cannotRun("%v", err)
		}
		b := start(name, addr, freeAddr(), rigTemp(name), config(name, addr, d, 2), "STREAMRAIL_FILE="+file)
		fleet, fronts = append(fleet, b), append(fronts, &clients{addr: addr})
	}
	for _, b := range fleet {
		b.waitServing()
	}
	reads := startReads(80, fronts...)
	time.Sleep(4 * time.Second)

	fleet[0].order("/api/exclude", `{"member":"cache-1","wait_ms":3000}`)
	yes := fleet[0].order("/api/exclude", `{"member":"cache-2","wait_ms":3000}`)
	time.Sleep(4 * time.Second)
	if trouble {
		d.set("cache-1", hosts[0].addr, "c2-normal", "left", time.Time{})
		hosts[0].stop()
	}
	time.Sleep(awayTime)
	if trouble {
		hosts[0].restart()
		d.set("cache-1", hosts[0].addr, "c2-normal", "active", time.Now())
	}
	time.Sleep(outordersOn)
	for _, b := range fleet {
		_, text, err := b.call("GET", "/api/orders", "")
		rec.add("operator: GET /api/orders at %s: %s %v", b.name, text, err)
	}
	answers, other := reads.end()
	broken := false
	for _, h := range hosts[:2] {
		late := h.since(yes.Add(drainGrace + slack))
		for _, at := range late {
			rec.add("check: %s got a request at %.1f, %v after the yes", h.id, rec.ms(at), at.Sub(yes).Round(time.Millisecond))
		}
		before := len(h.since(time.Time{})) - len(h.since(yes))
		rec.say("%s got %d requests before the yes, %d within the grace, %d later", h.id, before, len(h.since(yes))-len(late), len(late))
		if before == 0 {
			cannotRun("%s got nothing before it was taken out", h.id)
		}
		broken = broken || len(late) > 0
	}
	rec.say("%d reads got their value, %d did not", answers, other)
	if answers == 0 {
		cannotRun("nothing was served")
	}
	verdict(broken)
}
