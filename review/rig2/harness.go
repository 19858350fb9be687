// Command rig2 holds the stand-ins and the checks of the second review's cases. Each subcommand plays one case. Exit code 0: the rule
// held, 1: it was broken, 2: the case could not run.
package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// record writes what happened, with the milliseconds since the start, to the record file.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.1f ms  %s\n", float64(time.Since(r.began).Microseconds())/1000, fmt.Sprintf(format, args...))
}

// world is one play of a case: its record, its folders and the processes that it started.
type world struct {
	*record
	trouble bool
	work    string
	root    string
	run     string

	crowded atomic.Int64 // connections of the crowd

	processesMu sync.Mutex
	processes   []*process
}

// longestPlay ends a play that hangs.
const longestPlay = 110 * time.Second

// cannotRun ends the play because something that the case needs did not happen.
type cannotRun struct{ why string }

func must(err error, what string) {
	if err != nil {
		panic(cannotRun{what + ": " + err.Error()})
	}
}

// process is one balancer that the case started.
type process struct {
	name  string
	cmd   *exec.Cmd
	ended chan struct{}
	admin string
}

func (p *process) signal(s os.Signal) { p.cmd.Process.Signal(s) }

// hasEnded reports whether the process has ended.
func (p *process) hasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// freeAddr returns a loopback address that nothing listens at, outside the range from which the system takes ports by itself.
func freeAddr() string {
	for range 100 {
		if l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", 20000+rand.IntN(12000))); err == nil {
			defer l.Close()
			return l.Addr().String()
		}
	}
	panic(cannotRun{"no free address"})
}

// balancerConfig is what a balancer's configuration file holds.
type balancerConfig struct {
	Name      string         `json:"name"`
	Listen    string         `json:"listen"`
	Discovery string         `json:"discovery"`
	Admin     string         `json:"admin_addr,omitempty"`
	Seed      string         `json:"seed"`
	Limits    map[string]any `json:"limits"`
	Known     any            `json:"known,omitempty"`
	Settings  map[string]any `json:"settings"`
}

// newConfig returns settings like those of a small deployment with one balancer. Lists are pushed, and an origin stands in the list.
func newConfig(name, discovery string, longestTimeout time.Duration) *balancerConfig {
	second := int64(time.Second)
	product := func(name, effect string, window int64) map[string]any {
		return map[string]any{"name": name, "latencySloNs": int64(longestTimeout) * 4 / 5, "clientTimeoutNs": int64(longestTimeout), "billedValue": 1,
			"overdueBilledValue": 0.25, "effect": effect, "group": "all", "windowNs": window}
	}
	return &balancerConfig{Name: name, Listen: freeAddr(), Discovery: discovery, Seed: "8c1f30d27a5be964",
		Limits: map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		Settings: map[string]any{
			"balancers": 1, "areas": []string{"here"}, "locality": 0, "hostTypes": []string{"small", "origin"}, "discovery": "automatic", "weights": "nominal",
			"tickNs": 5000000, "extra": map[string]any{"mode": "aside", "originKind": 1},
			"caps": map[string]any{"mayCancel": true, "mostShots": 4, "secondCopies": false, "retryAfter": true, "maxRetryAfterNs": 2 * second,
				"connectTimeoutNs": second / 4, "keepaliveNs": 10 * second, "maxOpen": 20000},
			"rules":     map[string]any{"coldFrom": 0.14, "rampTimeNs": 24 * second, "fallMultiple": 3, "fallNs": 2 * second, "drainGraceNs": second, "askEveryNs": 10 * second},
			"products":  []any{product("read", "idempotent", 0), product("put", "at_most_once", 0), product("mark", "deduplicated", 2*second)},
			"customers": []any{},
		}}
}

// start starts a balancer with the run command of the deploy file.
func (w *world) start(c *balancerConfig, tmp string) *process {
	file := filepath.Join(w.work, c.Name+".json")
	w.writeConfig(c)
	must(os.MkdirAll(filepath.Join(w.work, tmp), 0o700), "temporary folder")
	cmd := exec.Command("/bin/sh", "-c", w.run)
	cmd.Dir = w.root
	cmd.Env = append(os.Environ(), "GW_CONFIG="+file, "GW_NAME="+c.Name, "GW_LISTEN="+c.Listen, "GW_DISCOVERY="+c.Discovery, "GW_ADMIN_ADDR="+c.Admin,
		"TMPDIR="+filepath.Join(w.work, tmp))
	log, err := os.OpenFile(filepath.Join(w.work, "balancer.log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err, "log")
	defer log.Close()
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(cmd.Start(), "balancer")
	p := &process{name: c.Name, cmd: cmd, ended: make(chan struct{}), admin: c.Admin}
	w.processesMu.Lock()
	w.processes = append(w.processes, p)
	w.processesMu.Unlock()
	w.printf("balancer %s started as process %d, clients' address %s, admin address %s", c.Name, cmd.Process.Pid, c.Listen, c.Admin)
	go func() {
		err := cmd.Wait()
		w.printf("process %d of balancer %s has ended: %v", cmd.Process.Pid, c.Name, err)
		close(p.ended)
	}()
	return p
}

// writeConfig replaces the balancer's configuration file.
func (w *world) writeConfig(c *balancerConfig) {
	text, err := json.MarshalIndent(c, "", " ")
	must(err, "configuration")
	file := filepath.Join(w.work, c.Name+".json")
	must(os.WriteFile(file+".new", text, 0o600), "configuration")
	must(os.Rename(file+".new", file), "configuration")
}

// awaitServing waits until the balancer answers mn with MN.
func (w *world) awaitServing(addr string) {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if c, err := net.DialTimeout("tcp", addr, time.Second); err == nil {
			c.SetDeadline(time.Now().Add(time.Second))
			c.Write([]byte("mn\r\n"))
			var answer [4]byte
			n, _ := c.Read(answer[:])
			c.Close()
			if string(answer[:n]) == "MN\r\n" {
				w.printf("balancer at %s answers MN", addr)
				return
			}
		}
	}
	panic(cannotRun{"the balancer does not answer MN within 10 s"})
}

// endAll ends the processes that the case started.
func (w *world) endAll() {
	w.processesMu.Lock()
	defer w.processesMu.Unlock()
	for _, p := range w.processes {
		if !p.hasEnded() {
			p.signal(syscall.SIGCONT)
			p.signal(syscall.SIGKILL)
			<-p.ended
		}
	}
}

// cases are the subcommands. Each returns the breaches of the rule that it saw.
var cases = map[string]func(w *world) (breaches []string){}

func main() {
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1]))
}

func play(name string) (code int) {
	file, err := os.Create(os.Getenv("RIG_RECORD"))
	if err != nil {
		fmt.Fprintln(os.Stderr, "RIG_RECORD:", err)
		return 2
	}
	w := &world{record: &record{file: file, began: time.Now()}, trouble: os.Getenv("TROUBLE") != "0", work: os.Getenv("RIG_WORK"), root: os.Getenv("RIG_ROOT"),
		run: os.Getenv("RIG_RUN")}
	w.printf("case %s, trouble: %v", name, w.trouble)
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-interrupted:
			w.printf("interrupted")
		case <-time.After(longestPlay):
			w.printf("could not run: not over after %v", longestPlay)
		}
		w.endAll()
		os.Exit(2)
	}()
	defer func() {
		if r := recover(); r != nil {
			c, ok := r.(cannotRun)
			if !ok {
				w.endAll()
				panic(r)
			}
			w.printf("could not run: %s", c.why)
			fmt.Println("could not run:", c.why)
			code = 2
		}
		w.endAll()
		if log, err := os.ReadFile(filepath.Join(w.work, "balancer.log")); err == nil {
			fmt.Fprintf(file, "\nlog of the balancers:\n%s", log)
		}
		file.Close()
	}()
	breaches := cases[name](w)
	for _, b := range breaches {
		w.printf("BROKEN: %s", b)
		fmt.Println("BROKEN:", b)
	}
	if len(breaches) > 0 {
		return 1
	}
	w.printf("the rule held")
	fmt.Println("the rule held")
	return 0
}
