package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// waitUntil polls until done returns true and ends the test if it does not in time.
func waitUntil(t *testing.T, what string, done func() bool) {
	t.Helper()
	for began := time.Now(); !done(); time.Sleep(5 * time.Millisecond) {
		if time.Since(began) > waitTimeout {
			t.Fatal("never: " + what)
		}
	}
}

// launchReady starts a process with an admin address and waits until it reports that it is ready. It takes over from a process that
// runs with the same client address and directory.
func launchReady(t *testing.T, config map[string]any, dir string, env ...string) (p *balancerProcess, adminAddr string) {
	adminAddr = freeAddr(t)
	p = launch(t, config, append(env, "GW_ADMIN_ADDR="+adminAddr, "TMPDIR="+dir)...)
	p.addr = config["listen"].(string)
	waitForReady(t, adminAddr)
	return p, adminAddr
}

// waitForReady waits until the process with an admin address reports that it is ready.
func waitForReady(t *testing.T, adminAddr string) {
	t.Helper()
	waitUntil(t, "ready", func() bool {
		conn, err := net.Dial("tcp", adminAddr)
		if err != nil {
			return false
		}
		conn.Close()
		status, _ := callAdmin(t, adminAddr, "GET", "/api/ready", "")
		return status == 200
	})
}

// shortDir returns a new directory with a path short enough for a Unix socket in it.
func shortDir(t *testing.T) string {
	dir, err := os.MkdirTemp("", "h")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(dir) })
	return dir
}

// oneHostConfig returns a directory and a configuration with one cache host that answers all commands.
func oneHostConfig(t *testing.T) (dir string, config map[string]any) {
	d := newDiscoveryServer(t)
	d.setHost("h", newHost(t, "h", answerHit).addr, "cache", "active")
	return shortDir(t), deploymentConfig(d, freeAddr(t), readWriteThrough)
}

// TestUpgradesUnderLoad runs ten upgrades in a row while clients open connections all the time. No connection is refused or closed
// without an answer, each request is fulfilled, and a host excluded by an operator stays excluded.
func TestUpgradesUnderLoad(t *testing.T) {
	h, other := newHost(t, "h", answerHit), newHost(t, "other", answerHit)
	d := newDiscoveryServer(t)
	d.setHost("h", h.addr, "cache", "active")
	d.setHost("other", other.addr, "cache", "active")
	listen := freeAddr(t)
	dir, c := shortDir(t), deploymentConfig(d, listen, readWriteThrough)
	p, adminAddr := launchReady(t, c, dir)
	if status, text := callAdmin(t, adminAddr, "POST", "/api/exclude", `{"member":"other"}`); status != 200 {
		t.Fatal(text)
	}
	go func() {
		for range h.received { // a full channel would block the host
		}
	}()
	var clients sync.WaitGroup
	var stop atomic.Bool
	var sent, failed atomic.Int64
	for i := range 4 {
		clients.Go(func() {
			for n := 0; !stop.Load(); n++ {
				conn, err := net.Dial("tcp", listen)
				if err != nil {
					failed.Add(1)
					continue
				}
				conn.SetDeadline(time.Now().Add(waitTimeout))
				fmt.Fprint(conn, getRequest("k", fmt.Sprintf("%d-%d", i, n), 3000))
				sent.Add(1)
				if line, _ := bufio.NewReader(conn).ReadString('\n'); !strings.HasPrefix(line, "VA ") {
					failed.Add(1)
					t.Errorf("got %q", line)
				}
				conn.Close()
			}
		})
	}
	for range 10 {
		older := p
		p, adminAddr = launchReady(t, c, dir)
		before := sent.Load()
		older.Process.Signal(syscall.SIGTERM)
		if code := older.waitForExit(t); code != 0 {
			t.Errorf("the older process ended with exit code %d", code)
		}
		waitUntil(t, "requests after the upgrade", func() bool { return sent.Load() > before+20 })
	}
	stop.Store(true)
	clients.Wait()
	if n := failed.Load(); n > 0 {
		t.Errorf("%d of %d requests failed", n, sent.Load())
	}
	if n := other.count(); n > 0 {
		t.Errorf("the excluded host got %d requests", n)
	}
	if n := metric(t, adminAddr, "app_cluster_unhealthy"); n != 1 {
		t.Errorf("%d hosts are excluded, expected 1", n)
	}
}

// TestExclusionsOfBothProcesses checks that during an upgrade an exclusion made through either admin API holds in both processes, and
// still does after the processes were killed.
func TestExclusionsOfBothProcesses(t *testing.T) {
	dir, c := oneHostConfig(t)
	older, olderAddr := launchReady(t, c, dir)
	newer, newerAddr := launchReady(t, c, dir)
	adminAddrs := map[string]string{"older": olderAddr, "newer": newerAddr}
	for receiver, adminAddr := range adminAddrs {
		for _, action := range []string{"exclude", "include"} {
			if status, text := callAdmin(t, adminAddr, "POST", "/api/"+action, `{"member":"h"}`); status != 200 {
				t.Errorf("%s at the %s process: %s", action, receiver, text)
			}
			for checked, checkedAddr := range adminAddrs {
				if n := metric(t, checkedAddr, "app_cluster_unhealthy"); n != map[string]int{"exclude": 1, "include": 0}[action] {
					t.Errorf("%s at the %s process: the %s one has %d hosts excluded", action, receiver, checked, n)
				}
			}
		}
		if status, _ := callAdmin(t, adminAddr, "POST", "/api/exclude", `{"member":"nobody"}`); status != 404 {
			t.Errorf("exclude with an unknown id at the %s process: status %d", receiver, status)
		}
	}
	callAdmin(t, newerAddr, "POST", "/api/exclude", `{"member":"h"}`)
	older.Process.Kill()
	older.waitForExit(t)
	if status, text := callAdmin(t, newerAddr, "POST", "/api/exclude", `{"member":"h"}`); status != 200 {
		t.Errorf("exclude after the older process was killed: %s", text)
	}
	newer.Process.Kill()
	newer.waitForExit(t)
	_, adminAddr := launchReady(t, c, dir) // no process hands over: the exclusion comes from the file
	if n := metric(t, adminAddr, "app_cluster_unhealthy"); n != 1 {
		t.Error("the exclusion is lost after both processes were killed")
	}
}

// TestNothingToTakeOver checks that a start neither hangs nor fails if there is no older process, its socket does not work as expected
// or the file of exclusions is damaged.
func TestNothingToTakeOver(t *testing.T) {
	listenAt := func(t *testing.T, path string, serve func(net.Conn)) {
		l, err := net.Listen("unix", path)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { l.Close() })
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				serve(c)
			}
		}()
	}
	for name, row := range map[string]struct {
		prepare func(t *testing.T, socketPath, exclusionsPath string)
		logText string
	}{
		"nobody": {func(*testing.T, string, string) {}, ""},
		"a socket that was left": {func(t *testing.T, socketPath, _ string) {
			replaceByDeadSocket(t, socketPath)
		}, ""},
		"no socket at all": {func(t *testing.T, socketPath, _ string) { os.WriteFile(socketPath, []byte("x"), 0o600) }, ""},
		"one that hangs":   {func(t *testing.T, socketPath, _ string) { listenAt(t, socketPath, func(net.Conn) {}) }, "as if alone"},
		"one that dies":    {func(t *testing.T, socketPath, _ string) { listenAt(t, socketPath, func(c net.Conn) { c.Close() }) }, "as if alone"},
		"one that dies later": {func(t *testing.T, socketPath, _ string) {
			listenAt(t, socketPath, func(c net.Conn) { fmt.Fprint(c, "\n{\"Ver"); c.Close() })
		}, "as if alone"},
		"another version": {func(t *testing.T, socketPath, _ string) {
			listenAt(t, socketPath, func(c net.Conn) { fmt.Fprint(c, "\n{\"Version\":99}\n") })
		}, "version 99"},
		"no clients' socket": {func(t *testing.T, socketPath, _ string) {
			listenAt(t, socketPath, func(c net.Conn) { fmt.Fprint(c, "\n{\"Version\":1}\n") })
		}, "gave no socket"},
		"half a file": {func(t *testing.T, _, exclusionsPath string) {
			os.WriteFile(exclusionsPath, []byte("0badc0de\n[\"h"), 0o600)
		}, "not readable"},
		"a damaged file": {func(t *testing.T, _, exclusionsPath string) {
			os.WriteFile(exclusionsPath, []byte("00000000\n[\"h\"]"), 0o600)
		}, "not readable"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			dir, c := oneHostConfig(t)
			path := filepath.Join(dir, "streamrail-"+strings.ReplaceAll(c["listen"].(string), ":", "_"))
			row.prepare(t, path+".sock", path+".out")
			p, _ := launchReady(t, c, dir)
			expect(t, p.dial(t).ask(getRequest("k", "a", 900)), "VA 10 Oa|value of k")
			if !strings.Contains(p.log.String(), row.logText) {
				t.Errorf("the log does not contain %q", row.logText)
			}
		})
	}
	t.Run("a path too long", func(t *testing.T) {
		t.Parallel()
		dir := filepath.Join(shortDir(t), strings.Repeat("d", 120))
		os.Mkdir(dir, 0o700)
		c := deploymentConfig(newDiscoveryServer(t), freeAddr(t), readWriteThrough)
		p, _ := launchReady(t, c, dir)
		p.waitForLog(t, "cannot take over from this one")
		second, _ := launchReady(t, c, dir)
		second.waitForLog(t, "as if alone")
	})
}

// TestNewerProcessDies checks that the older process goes on serving if a newer one ends before it is ready, and that another newer
// process can then take over. A third process is rejected while an upgrade is in progress.
func TestNewerProcessDies(t *testing.T) {
	dir, c := oneHostConfig(t)
	older, _ := launchReady(t, c, dir)
	sock := commonSocket(dir, older.addr)
	conn, err := net.Dial("unix", sock)
	if err != nil {
		t.Fatal(err)
	}
	json.NewEncoder(conn).Encode(map[string]int{"Version": 1})
	in := bufio.NewReader(conn)
	in.ReadString('\n') // the byte that carries the descriptor of the listener
	if line, _ := in.ReadString('\n'); !strings.Contains(line, `"instanceId":"h"`) {
		t.Fatalf("the older process handed over %q", line)
	}
	third, err := net.Dial("unix", sock) // a second upgrade at the same time is rejected
	if err != nil {
		t.Fatal(err)
	}
	json.NewEncoder(third).Encode(map[string]int{"Version": 1})
	thirdIn := bufio.NewReader(third)
	thirdIn.ReadString('\n')
	if line, _ := thirdIn.ReadString('\n'); !strings.Contains(line, "under way") {
		t.Errorf("a third process got the answer %q", line)
	}
	conn.Close()
	older.waitForLog(t, "has ended")
	expect(t, older.dial(t).ask(getRequest("k", "a", 900)), "VA 10 Oa|value of k")
	p, _ := launchReady(t, c, dir)
	p.waitForLog(t, "taking over")
}

// expectOneBalancer excludes the host at one process of an upgrade and checks that it is excluded at the other one too.
func expectOneBalancer(t *testing.T, askedAddr, otherAddr string) {
	t.Helper()
	if status, text := callAdmin(t, askedAddr, "POST", "/api/exclude", `{"member":"h"}`); status != 200 {
		t.Fatalf("exclude: %s", text)
	}
	if n := metric(t, otherAddr, "app_cluster_unhealthy"); n != 1 {
		t.Error("a host that is excluded at one process is in use at the other one")
	}
}

// commonSocket returns the path at which all versions look for a process that serves clients at an address.
func commonSocket(dir, addr string) string {
	return filepath.Join(dir, "streamrail-"+strings.ReplaceAll(addr, ":", "_")+".sock")
}

// replaceByDeadSocket replaces a file by a socket whose process has ended.
func replaceByDeadSocket(t *testing.T, path string) {
	t.Helper()
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: path + ".x", Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	l.SetUnlinkOnClose(false)
	l.Close()
	if err := os.Rename(path+".x", path); err != nil {
		t.Fatal(err)
	}
}

// Guards against an older process that is no longer found once the newer one of an upgrade was killed after it took clients: the next
// newer one served beside it, and hosts excluded there still got requests from the older one.
func TestUpgradeAfterRollback(t *testing.T) {
	fleetSettings := fmt.Sprintf("[fleet]\nname = \"f\"\naddress = %q\npeers = [%q]\n", freeUDP(t), freeUDP(t))
	for name, fleet := range map[string]string{"alone": "", "in a fleet": fleetSettings} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			dir, config := oneHostConfig(t)
			file := filepath.Join(dir, "operator.toml")
			if err := os.WriteFile(file, []byte(fleet), 0o600); err != nil {
				t.Fatal(err)
			}
			older, olderAddr := launchReady(t, config, dir, "STREAMRAIL_FILE="+file)
			for range 2 {
				killed, _ := launchReady(t, config, dir, "STREAMRAIL_FILE="+file)
				killed.waitForLog(t, "taking over")
				killed.Process.Kill()
				killed.waitForExit(t)
				replaceByDeadSocket(t, commonSocket(dir, older.addr)) // as versions do that know only this path
			}
			next, nextAddr := launchReady(t, config, dir, "STREAMRAIL_FILE="+file)
			next.waitForLog(t, "taking over")
			expect(t, older.dial(t).ask(getRequest("k", "a", 900)), "VA 10 Oa|value of k")
			expectOneBalancer(t, nextAddr, olderAddr)
		})
	}
}

// Guards against a third process that serves beside the two of an upgrade: it takes over from the one that is left when the other one
// ends, whichever that is and however it ends.
func TestThirdProcessWaits(t *testing.T) {
	for name, row := range map[string]struct {
		endsOlder bool
		signal    os.Signal
	}{
		"the older one is terminated": {true, syscall.SIGTERM},
		"the older one is killed":     {true, os.Kill},
		"the newer one is killed":     {false, os.Kill},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			dir, config := oneHostConfig(t)
			older, olderAddr := launchReady(t, config, dir)
			newer, newerAddr := launchReady(t, config, dir)
			ends, leftAddr := newer, olderAddr
			if row.endsOlder {
				ends, leftAddr = older, newerAddr
			}
			thirdAddr := freeAddr(t)
			third := launch(t, config, "GW_ADMIN_ADDR="+thirdAddr, "TMPDIR="+dir)
			third.waitForLog(t, "waiting for the end")
			time.Sleep(300 * time.Millisecond)
			if strings.Contains(third.log.String(), "alone") || strings.Contains(third.log.String(), "taking over") {
				t.Error("the third process did not wait")
			}
			ends.Process.Signal(row.signal)
			third.waitForLog(t, "taking over")
			waitForReady(t, thirdAddr)
			expectOneBalancer(t, thirdAddr, leftAddr)
		})
	}
	t.Run("neither ends", func(t *testing.T) {
		t.Parallel()
		dir, config := oneHostConfig(t)
		launchReady(t, config, dir)
		launchReady(t, config, dir)
		third := launch(t, config, "GW_ADMIN_ADDR="+freeAddr(t), "TMPDIR="+dir)
		if code := third.waitForExit(t); code == 0 {
			t.Error("the third process ended as if all was well")
		}
		third.waitForLog(t, "an upgrade is under way")
	})
}

// Guards against two processes that start at the same time and both serve as if alone.
func TestTwoStartTogether(t *testing.T) {
	dir, config := oneHostConfig(t)
	firstAddr, secondAddr := freeAddr(t), freeAddr(t)
	first := launch(t, config, "GW_ADMIN_ADDR="+firstAddr, "TMPDIR="+dir)
	second := launch(t, config, "GW_ADMIN_ADDR="+secondAddr, "TMPDIR="+dir)
	waitUntil(t, "one takes over from the other", func() bool {
		return strings.Contains(first.log.String()+second.log.String(), "the newer process takes clients")
	})
	expectOneBalancer(t, firstAddr, secondAddr)
}

// Guards against a newer process that serves on the list handed over and asks discovery only seconds later, so that it sends to a host
// which the older process, or nobody yet, has been told to leave.
func TestListNewsDuringUpgrade(t *testing.T) {
	for name, end := range map[string]os.Signal{"terminated": syscall.SIGTERM, "killed": os.Kill, "stopped": syscall.SIGSTOP, "serving": nil} {
		t.Run("older process "+name, func(t *testing.T) {
			t.Parallel()
			d := newDiscoveryServer(t)
			hosts := map[string]string{}
			for _, id := range []string{"a", "b", "c"} {
				hosts[id] = newHost(t, id, answerHit).addr
				d.setHost(id, hosts[id], "cache", "active")
			}
			dir, config := shortDir(t), deploymentConfig(d, freeAddr(t), map[string]any{"discovery": "subscribe"})
			older, _ := launchReady(t, config, dir)
			d.waitForWatch(t)
			config["seed"] = "f" + config["seed"].(string)[1:] // the seeds decide when a process would ask by itself: here after seconds
			_, newerAddr := launchReady(t, config, dir)
			for i, id := range []string{"a", "b"} { // the first while both serve, the second after the older one's end
				if i == 1 && end != nil {
					older.Process.Signal(end)
					time.Sleep(100 * time.Millisecond)
				}
				d.setHost(id, hosts[id], "cache", "leaving")
				told := time.Now()
				waitUntil(t, "the newer process avoids "+id, func() bool { return metric(t, newerAddr, "app_cluster_unhealthy") == i+1 })
				if took := time.Since(told); took > maxUpgradeNewsDelay {
					t.Errorf("the newer process avoids %s only %v after discovery had it", id, took)
				}
			}
		})
	}
}

// maxUpgradeNewsDelay is the time after its readiness from which a newer process must know what discovery has.
const maxUpgradeNewsDelay = 2 * time.Second

// Guards against a newer process that takes the older one's lists, or their generations, for those of another discovery service.
func TestUpgradeToAnotherDiscovery(t *testing.T) {
	before, after := newDiscoveryServer(t), newDiscoveryServer(t)
	addr := newHost(t, "h", answerHit).addr
	for range 3 { // generations differ
		before.setHost("h", addr, "cache", "active")
	}
	after.setHost("h", addr, "cache", "leaving")
	dir, config := shortDir(t), deploymentConfig(before, freeAddr(t), map[string]any{"discovery": "subscribe"})
	launchReady(t, config, dir)
	config["discovery"] = serverAddr(after.Server)
	_, newerAddr := launchReady(t, config, dir)
	began := time.Now()
	waitUntil(t, "the host is avoided", func() bool { return metric(t, newerAddr, "app_cluster_unhealthy") == 1 })
	if took := time.Since(began); took > maxUpgradeNewsDelay {
		t.Errorf("the host is avoided only %v after the newer process was ready", took)
	}
	before.setHost("h", addr, "cache", "active")
	time.Sleep(200 * time.Millisecond)
	if metric(t, newerAddr, "app_cluster_unhealthy") != 1 {
		t.Error("the newer process follows the older one's discovery service")
	}
}

// Guards against a newer process that takes the generation of one discovery service for that of another: the older process has been told of
// another one, which has not answered yet.
func TestUpgradeBeforeNewDiscoveryAnswers(t *testing.T) {
	before, after := newDiscoveryServer(t), newSlowDiscovery(t, 3*time.Second, 0)
	addr := newHost(t, "h", answerHit).addr
	before.setHost("h", addr, "cache", "active")
	before.setHost("h", addr, "cache", "active")
	after.setHost("h", addr, "cache", "leaving")
	for range 5 { // what has changed there since the generation of before does not name h
		after.setHost("other", addr, "cache", "active")
	}
	dir, config := shortDir(t), deploymentConfig(before, freeAddr(t), map[string]any{"discovery": "subscribe"})
	older, _ := launchReady(t, config, dir)
	before.waitForWatch(t)
	config["discovery"] = serverAddr(after.Server)
	older.reload(t, config, "configuration reloaded")
	_, newerAddr := launchReady(t, config, dir)
	older.Process.Kill()
	began := time.Now()
	waitUntil(t, "the host is avoided", func() bool { return metric(t, newerAddr, "app_cluster_unhealthy") == 1 })
	if took := time.Since(began); took > after.delay+maxUpgradeNewsDelay {
		t.Errorf("the host is avoided only %v after the newer process was ready", took)
	}
}

// Guards against a newer process that goes on following the older one's lists after it has been told of another discovery service.
func TestReloadDuringUpgrade(t *testing.T) {
	before, after := newDiscoveryServer(t), newDiscoveryServer(t)
	addr := newHost(t, "h", answerHit).addr
	before.setHost("h", addr, "cache", "active")
	after.setHost("h", addr, "cache", "leaving")
	dir, config := shortDir(t), deploymentConfig(before, freeAddr(t), map[string]any{"discovery": "subscribe"})
	launchReady(t, config, dir)
	newer, newerAddr := launchReady(t, config, dir)
	config["discovery"] = serverAddr(after.Server)
	newer.reload(t, config, "configuration reloaded")
	began := time.Now()
	waitUntil(t, "the host is avoided", func() bool { return metric(t, newerAddr, "app_cluster_unhealthy") == 1 })
	if took := time.Since(began); took > maxUpgradeNewsDelay {
		t.Errorf("the host is avoided only %v after the newer process was told of the address", took)
	}
}

// Guards against two processes of an upgrade that part because one of them stands still during an order: once it goes on, both obey it
// and later orders.
func TestOrderWhileOneStandsStill(t *testing.T) {
	for name, stopsOlder := range map[string]bool{"the older one": true, "the newer one": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			dir, config := oneHostConfig(t)
			stopped, stoppedAddr := launchReady(t, config, dir)
			asked, askedAddr := launchReady(t, config, dir)
			if !stopsOlder {
				stopped, stoppedAddr, asked, askedAddr = asked, askedAddr, stopped, stoppedAddr
			}
			isOut := func(adminAddr string) bool { return metric(t, adminAddr, "app_cluster_unhealthy") == 1 }
			stopped.Process.Signal(syscall.SIGSTOP)
			for range 3 {
				began := time.Now()
				if status, text := callAdmin(t, askedAddr, "POST", "/api/exclude", `{"member":"h"}`); status != 503 || !strings.Contains(text, "does not answer") {
					t.Errorf("exclude while the other process stands still: %d %s", status, text)
				}
				if took := time.Since(began); took > maxAdminAnswerTime {
					t.Errorf("the answer took %v", took)
				}
			}
			if !isOut(askedAddr) {
				t.Error("the process that was asked does not obey")
			}
			stopped.Process.Signal(syscall.SIGCONT)
			waitUntil(t, "both obey the order", func() bool { return isOut(askedAddr) && isOut(stoppedAddr) })
			for _, action := range []string{"include", "exclude"} {
				if status, text := callAdmin(t, askedAddr, "POST", "/api/"+action, `{"member":"h"}`); status != 200 {
					t.Errorf("%s: %s", action, text)
				}
				if want := action == "exclude"; isOut(askedAddr) != want || isOut(stoppedAddr) != want {
					t.Errorf("after %s the host is out: %v and %v", action, isOut(askedAddr), isOut(stoppedAddr))
				}
			}
			if strings.Contains(asked.log.String(), "has ended") {
				t.Error("the processes have parted")
			}
		})
	}
}

// Guards against a process of a fleet that does not start while an older one from which it cannot take over still has the fleet's
// address. It joins the fleet when that process has ended.
func TestStartBesideUnusableProcess(t *testing.T) {
	for name, signal := range map[string]syscall.Signal{"that hangs": syscall.SIGSTOP, "that is ending": syscall.SIGTERM} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			dir, config := oneHostConfig(t)
			file := filepath.Join(dir, "operator.toml")
			settings := fmt.Sprintf("[fleet]\nname = \"f\"\naddress = %q\npeers = [%q]\n", freeUDP(t), freeUDP(t))
			if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
				t.Fatal(err)
			}
			older, _ := launchReady(t, config, dir, "STREAMRAIL_FILE="+file)
			client := older.dial(t) // keeps the older process from ending at once
			expect(t, client.ask(getRequest("k", "a", 900)), "VA 10 Oa|value of k")
			older.Process.Signal(signal)
			if signal == syscall.SIGTERM {
				older.waitForLog(t, `"phase":"leaving"`)
			}
			_, newerAddr := launchReady(t, config, dir, "STREAMRAIL_FILE="+file)
			if status, _ := callAdmin(t, newerAddr, "GET", "/api/members", ""); status == 200 {
				t.Error("the newer process is a member before the older one has ended")
			}
			older.Process.Kill()
			older.waitForExit(t)
			waitUntil(t, "the newer process is a member", func() bool {
				status, _ := callAdmin(t, newerAddr, "GET", "/api/members", "")
				return status == 200
			})
		})
	}
}
