package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestSizes checks that the numbers of hosts and balancers have no built-in limit around a thousand, in the host list, the settings and
// the operator's file, and that half of the hosts may leave at once. Six stand-ins serve the addresses of all the hosts.
func TestSizes(t *testing.T) {
	for _, n := range []int{1024, 1025} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			var hosts [6]*cacheHost
			for i := range hosts {
				hosts[i] = newHost(t, "h", answerHit)
			}
			d := newDiscoveryServer(t)
			for i := range n {
				d.setHost(fmt.Sprint("h", i), hosts[i%6].addr, "cache", "active")
			}
			var peers []string
			for i := range n {
				peers = append(peers, fmt.Sprintf("%q", fmt.Sprintf("127.66.%d.%d:7946", i/250, i%250+1)))
			}
			operatorFile := filepath.Join(t.TempDir(), "own.toml")
			text := fmt.Sprintf("[fleet]\nname = \"f\"\naddress = %q\npeers = [%s]\n", freeUDP(t), strings.Join(peers, ", "))
			if err := os.WriteFile(operatorFile, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
			cfg := deploymentConfig(d, freeAddr(t), map[string]any{"balancers": n})
			p := launchServing(t, cfg, "STREAMRAIL_FILE="+operatorFile)
			c := p.dial(t)
			sendRequests := func(from int) (fulfilled int) {
				for i := from; i < from+300; i++ {
					if strings.HasPrefix(c.ask(getRequest(fmt.Sprint("key", i), fmt.Sprint("a", i), 900)), "VA ") {
						fulfilled++
					}
				}
				return fulfilled
			}
			if got := sendRequests(0); got < 295 {
				t.Errorf("%d of 300 requests fulfilled", got)
			}
			d.mu.Lock()
			for i := range n {
				if i%6 < 3 {
					d.generation++
					id := fmt.Sprint("h", i)
					d.entries[id]["lifecycle"], d.changedIn[id] = "leaving", d.generation
				}
			}
			close(d.nextChange)
			d.nextChange = make(chan struct{})
			d.mu.Unlock()
			d.waitForWatch(t)
			before := hosts[0].count() + hosts[1].count() + hosts[2].count()
			if got := sendRequests(300); got < 295 {
				t.Errorf("with half of the hosts leaving %d of 300 requests fulfilled", got)
			}
			if after := hosts[0].count() + hosts[1].count() + hosts[2].count(); after != before {
				t.Errorf("%d attempts at leaving hosts", after-before)
			}
		})
	}
}
