package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

var (
	childrenMu sync.Mutex
	children   []*balancer
)

// balancer is one process of the program, started as the platform starts it.
type balancer struct {
	name, listen, admin, log string
	cmd                      *exec.Cmd
	ended                    chan struct{}
}

// start starts a balancer by the run command of the deploy file, from the root.
func start(name, listen, admin, tmp string, config map[string]any, env ...string) *balancer {
	work := os.Getenv("RIG_WORK")
	b := &balancer{name: name, listen: listen, admin: admin, log: filepath.Join(work, name+".log"), ended: make(chan struct{})}
	if err := os.MkdirAll(tmp, 0o700); err != nil {
		cannotRun("%v", err)
	}
	text, _ := json.Marshal(config)
	path := filepath.Join(work, name+".json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		cannotRun("%v", err)
	}
	log, err := os.Create(b.log)
	if err != nil {
		cannotRun("%v", err)
	}
	defer log.Close()
	b.cmd = exec.Command("/bin/sh", "-c", os.Getenv("RIG_RUN"))
	b.cmd.Dir, b.cmd.Stdout, b.cmd.Stderr = os.Getenv("RIG_ROOT"), log, log
	b.cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "TMPDIR=" + tmp, "GW_CONFIG=" + path, "GW_LISTEN=" + listen, "GW_ADMIN_ADDR=" + admin}, env...)
	b.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := b.cmd.Start(); err != nil {
		cannotRun("%v", err)
	}
	childrenMu.Lock()
	children = append(children, b)
	childrenMu.Unlock()
	rec.add("platform: started %s, clients at %s, operators at %s", name, listen, admin)
	go func() {
		err := b.cmd.Wait()
		rec.add("platform: %s ended: %v", name, err)
		close(b.ended)
	}()
	return b
}

func (b *balancer) signal(s syscall.Signal) {
	rec.add("platform: %v to %s", s, b.name)
	b.cmd.Process.Signal(s)
}

func (b *balancer) running() bool {
	select {
	case <-b.ended:
		return false
	default:
		return true
	}
}

// killAll ends all balancers.
func killAll() {
	childrenMu.Lock()
	defer childrenMu.Unlock()
	for _, b := range children {
		b.cmd.Process.Kill()
		<-b.ended
	}
	if dir := os.Getenv("RIG_KEEP"); dir != "" { // for a look at the logs by hand
		for _, b := range children {
			if text, err := os.ReadFile(b.log); err == nil {
				os.WriteFile(filepath.Join(dir, b.name+".log"), text, 0o600)
			}
		}
	}
}

// waitServing waits until mn is answered MN, as the front does.
func (b *balancer) waitServing() {
	for until := time.Now().Add(15 * time.Second); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		c, err := net.DialTimeout("tcp", b.listen, time.Second)
		if err != nil {
			continue
		}
		c.SetDeadline(time.Now().Add(time.Second))
		io.WriteString(c, "mn\r\n")
		line, _ := bufio.NewReader(c).ReadString('\n')
		c.Close()
		if line == "MN\r\n" {
			rec.add("front: %s serves", b.name)
			return
		}
	}
	cannotRun("%s does not serve", b.name)
}

// call makes one call to the operators' door.
func (b *balancer) call(method, path, body string) (status int, text string, err error) {
	client := http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, _ := http.NewRequest(method, "http://"+b.admin+path, strings.NewReader(body))
	response, err := client.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	answer, _ := io.ReadAll(response.Body)
	return response.StatusCode, strings.TrimSpace(string(answer)), nil
}

// order makes a call that has to get a yes, and returns when the yes had come.
func (b *balancer) order(path, body string) time.Time {
	rec.add("operator: POST %s %s to %s", path, body, b.name)
	status, text, err := b.call("POST", path, body)
	at := time.Now()
	rec.add("operator: %s answered %d %s %v", b.name, status, text, err)
	if err != nil || status/100 != 2 {
		cannotRun("%s to %s: %d %s %v", path, b.name, status, text, err)
	}
	return at
}

// waitReady waits until the door says that this process takes clients.
func (b *balancer) waitReady() {
	for until := time.Now().Add(6 * time.Second); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if status, _, err := b.call("GET", "/api/ready", ""); err == nil && status/100 == 2 {
			rec.add("platform: %s says ready", b.name)
			return
		}
	}
	cannotRun("%s is not ready within 6 s", b.name)
}

// productSettings describes one product.
func productSettings(name, effect string, slo, timeout, window time.Duration) map[string]any {
	return map[string]any{"name": name, "latencySloNs": slo.Nanoseconds(), "clientTimeoutNs": timeout.Nanoseconds(), "billedValue": 1.0,
		"overdueBilledValue": 0.0, "effect": effect, "group": "all", "windowNs": window.Nanoseconds(), "streaming": false}
}

// dedupWindow is how long a repeat of recarga-idem is dropped.
const dedupWindow = 2 * time.Second

// settings are those of a small deployment like recargas-ar.
func settings(balancers int) map[string]any {
	return map[string]any{"balancers": balancers, "me": 0, "locality": 0, "areas": []string{"caba-1"}, "hostTypes": []string{"c2-normal", "gateway"},
		"discovery": "automatic", "weights": "nominal", "tickNs": 5000000, "report": map[string]any{"source": "none"},
		"extra": map[string]any{"mode": "aside", "originKind": 1, "originFallMultiple": 3.0, "originFallNs": 3000000000},
		"caps": map[string]any{"mayCancel": true, "mostShots": 4, "secondCopies": false, "probes": false, "peers": false, "retryAfter": true,
			"maxRetryAfterNs": 2000000000, "connectTimeoutNs": 200000000, "keepaliveNs": 60000000000, "maxOpen": 20000, "maxStreams": 32},
		"rules": map[string]any{"answerSlackNs": 50000000, "coldFrom": 0.2, "rampTimeNs": 20000000000, "fallMultiple": 3.0, "fallNs": 2000000000,
			"drainGraceNs": drainGrace.Nanoseconds(), "askEveryNs": 10000000000},
		"products": []any{
			productSettings("saldo", "idempotent", 500*time.Millisecond, 1200*time.Millisecond, 0),
			productSettings("recarga", "at_most_once", 1200*time.Millisecond, 5*time.Second, 0),
			productSettings("recarga-idem", "deduplicated", 1200*time.Millisecond, 3*time.Second, dedupWindow)},
		"customers": []any{map[string]any{"name": "kioscos-norte", "allowancePerS": 200.0, "portion": 0.5},
			map[string]any{"name": "red-almacen", "allowancePerS": 200.0, "portion": 0.5}}}
}

// drainGrace and slack: nothing new to a host that drains, is gone or is out by hand, later than the grace; on sockets each limit is
// 50 ms longer.
const (
	drainGrace = time.Second
	slack      = 50 * time.Millisecond
)

// config is what the platform hands to a balancer.
func config(name, listen string, d *discovery, balancers int) map[string]any {
	return map[string]any{"name": name, "listen": listen, "discovery": d.addr, "seed": fmt.Sprintf("%016x", time.Now().UnixNano()),
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": json.RawMessage(d.list()), "settings": settings(balancers)}
}
