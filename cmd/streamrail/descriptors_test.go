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

// Idle clients fill all the places that the process has while discovery is down. The call to discovery, its return, an attempt at
// a host, a reload and the admin address find a descriptor all the same: the system gives not one more than the settings say.
func TestIdleClientsFillTheDescriptors(t *testing.T) {
	const sockets = 96
	h, second := newHost(t, "h", answerHit), newHost(t, "second", answerHit)
	d := newDiscoveryServer(t) // not there yet: the balancer is told of another address
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
	for range clients { // each opens another as soon as its own is closed, and says nothing
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
		for began := time.Now(); ; { // all in use is answered at once; a place comes free soon
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
			t.Fatal("the crowd does not come")
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
		t.Error("out of descriptors")
	}
}

// launchServingWithDescriptors starts the program where the system gives it so many descriptors, and waits until it serves.
func launchServingWithDescriptors(t *testing.T, descriptors int, config map[string]any) *balancerProcess {
	t.Helper()
	previous := newCommand
	newCommand = func(program string) *exec.Cmd {
		return exec.Command("sh", "-c", fmt.Sprintf("ulimit -n %d; exec %s", descriptors, program))
	}
	defer func() { newCommand = previous }()
	return launchServing(t, config)
}

// A second SIGTERM, or a SIGHUP while it drains, changes nothing of what is owed but as the page on signals says.
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
