package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os/exec"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// TestIdleClientsFillTheDescriptors fills all client connections with idle clients while discovery is down, with no more descriptors
// than the settings allow. Requests to discovery, attempts at hosts, a reload and the admin address must still get a descriptor.
func TestIdleClientsFillTheDescriptors(t *testing.T) {
	const sockets = 96
	h, second := newHost(t, "h", answerHit), newHost(t, "second", answerHit)
	d := newDiscoveryServer(t) // the balancer's configuration names another address, where nothing listens yet
	d.setHost("h", h.addr, "cache", "active")
	discoveryAddr, adminAddr := freeAddr(t), freeAddr(t)
	cfg := deploymentConfig(d, freeAddr(t), readWriteThrough)
	cfg["discovery"], cfg["admin_addr"] = discoveryAddr, adminAddr
	cfg["limits"] = map[string]any{"sockets": sockets}
	cfg["known"] = map[string]any{"generation": 1, "reset": true, "instances": []any{d.entries["h"]}}
	p := launchServingWithDescriptors(t, sockets, cfg)
	var opened atomic.Int64
	stop := make(chan struct{})
	ended := make(chan struct{})
	const clients = 2 * sockets
	for range clients { // each keeps one silent connection open and replaces it when it is closed
		go func() {
			defer func() { ended <- struct{}{} }()
			for {
				select {
				case <-stop:
					return
				default:
				}
				c, err := net.Dial("tcp", p.addr)
				if err != nil {
					continue
				}
				opened.Add(1)
				c.SetReadDeadline(time.Now().Add(waitTimeout))
				go func() { <-stop; c.Close() }()
				io.Copy(io.Discard, c)
				c.Close()
			}
		}()
	}
	t.Cleanup(func() {
		close(stop)
		for range clients {
			<-ended
		}
	})
	expectServed := func(key, id string) {
		t.Helper()
		for began := time.Now(); ; { // while all connections are in use the answer is busy; one becomes free soon
			got := p.dial(t).ask(getRequest(key, id, 900))
			if got == "VA 10 O"+id+"|value of "+key {
				return
			} else if time.Since(began) > waitTimeout {
				t.Fatalf("an attempt: %q", got)
			}
		}
	}
	for began := time.Now(); opened.Load() < clients; time.Sleep(time.Millisecond) {
		if time.Since(began) > waitTimeout {
			t.Fatal("the idle clients did not connect")
		}
	}
	expectServed("k", "down")
	startDiscoveryAt(t, discoveryAddr, d)
	d.waitForWatch(t)
	expectServed("k", "back")
	ready, err := http.Get("http://" + adminAddr + "/api/ready")
	if err != nil || ready.StatusCode != 200 {
		t.Fatalf("the admin address: %v %v", ready, err)
	}
	ready.Body.Close()
	movedDiscovery := newDiscoveryServer(t)
	movedDiscovery.setHost("second", second.addr, "cache", "active")
	cfg["discovery"] = serverAddr(movedDiscovery.Server)
	p.reload(t, cfg, "configuration reloaded")
	movedDiscovery.waitForWatch(t)
	for i := 0; second.count() == 0; i++ {
		expectServed("k", fmt.Sprint("moved", i))
	}
	if log := p.log.String(); strings.Contains(log, "too many open files") {
		t.Error("the process ran out of descriptors")
	}
}

// launchServingWithDescriptors starts the program with a limit of descriptors and waits until it serves clients.
func launchServingWithDescriptors(t *testing.T, descriptors int, config map[string]any) *balancerProcess {
	t.Helper()
	previous := newCommand
	newCommand = func(program string) *exec.Cmd {
		return exec.Command("sh", "-c", fmt.Sprintf("ulimit -n %d; exec %s", descriptors, program))
	}
	defer func() { newCommand = previous }()
	return launchServing(t, config)
}

// TestHangupWhileDraining checks that a reload during a drain does not affect the answer of the pending request or the exit code.
func TestHangupWhileDraining(t *testing.T) {
	release := make(chan struct{})
	p, d := startWithHosts(t, nil, newOrigin(t, func(w http.ResponseWriter, r *http.Request) {
		<-release
		io.WriteString(w, "made")
	}), newHost(t, "h", answerHit))
	busy := p.dial(t)
	busy.send(putRequest("pay", "k", "held", 3000))
	p.Process.Signal(syscall.SIGTERM)
	p.waitForLog(t, `"phase":"draining"`)
	p.reload(t, deploymentConfig(d, p.addr, nil), "configuration reloaded")
	close(release)
	expect(t, busy.next(), "HD Oheld cmade")
	expect(t, busy.next(), "EOF")
	if code := p.waitForExit(t); code != 0 {
		t.Errorf("exit code %d", code)
	}
}
