package main

import (
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"
)

// TestChangedSettingsKeepValidState upgrades to a process with other settings. The newer process still avoids a failing host in the
// first seconds, but does not if that host has been restarted since. Limits that were shares for another number of balancers are
// not taken over.
func TestChangedSettingsKeepValidState(t *testing.T) {
	for _, row := range []struct {
		name                     string
		restarted                bool // the failing host has been restarted and works
		minAttempts, maxAttempts int  // at that host, of 60 requests after the upgrade
	}{{"the same process", false, 0, 1}, {"started again", true, 8, 60}} {
		t.Run(row.name, func(t *testing.T) {
			healthy, failing := newHost(t, "well", answerHit), newHost(t, "sick", func(command) string {
				time.Sleep(100 * time.Millisecond) // all attempts in flight there are sent before the first one fails
				return "SERVER_ERROR failed\r\n"
			})
			d := newDiscoveryServer(t)
			d.setHost("well", healthy.addr, "cache", "active")
			d.setHost("sick", failing.addr, "cache", "active")
			dir, c := shortDir(t), deploymentConfig(d, freeAddr(t), readWriteThrough)
			older, _ := launchReady(t, c, dir)
			var clients sync.WaitGroup
			for i := range 40 {
				c := older.dial(t)
				clients.Go(func() { c.ask(getRequest(fmt.Sprint("k", i), fmt.Sprint("a", i), 3000)) })
			}
			clients.Wait()
			if n := failing.count(); n < 4 {
				t.Fatalf("the failing host got only %d attempts: too few to learn from", n)
			}
			if row.restarted {
				fresh := newHost(t, "sick", answerHit)
				d.setHostStartedAt("sick", fresh.addr, "cache", "active", 1000)
				d.waitForWatch(t)
				failing = fresh
			}
			before := failing.count()
			c["settings"] = deploymentSettings(map[string]any{"extra": readWriteThrough["extra"], "balancers": 3,
				"caps": map[string]any{"mayCancel": true, "mostShots": 4, "connectTimeoutNs": 200000000, "keepaliveNs": 60e9}})
			newer, _ := launchReady(t, c, dir)
			newer.waitForLog(t, "taking over")
			older.Process.Signal(syscall.SIGTERM)
			older.waitForExit(t)
			client := newer.dial(t)
			fulfilled := 0
			for i := range 60 {
				if line := client.ask(getRequest(fmt.Sprint("m", i), fmt.Sprint("b", i), 3000)); line[:2] == "VA" {
					fulfilled++
				}
			}
			if n := failing.count() - before; n < row.minAttempts || n > row.maxAttempts {
				t.Errorf("the host got %d attempts, expected %d to %d", n, row.minAttempts, row.maxAttempts)
			}
			if fulfilled < 50 {
				t.Errorf("%d of 60 requests were fulfilled", fulfilled)
			}
		})
	}
}
