package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// waitTimeout bounds every wait. It is long enough that a test fails by it only if the awaited event never happens.
const waitTimeout = 10 * time.Second

// binaryPath is the path of the built program.
var binaryPath string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "streamrail")
	if err != nil {
		panic(err)
	}
	binaryPath = filepath.Join(dir, "streamrail")
	out, err := exec.Command("go", append(append([]string{"build"}, buildFlags...), "-o", binaryPath, ".")...).CombinedOutput()
	if err != nil {
		fmt.Printf("%s\n", out)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// command is one memcache command as a cache host received it.
type command struct {
	line       string
	fields     []string
	id         string
	value      string
	conn       net.Conn
	receivedAt time.Time
}

// cacheHost is a stand-in for a cache host. It answers each command with what the answer function returns: "" sends nothing and
// "close" closes the connection.
type cacheHost struct {
	id, addr string
	answer   func(command) string
	mu       sync.Mutex
	commands []command
	received chan command
	closed   chan struct{} // receives one value for each connection that ended
}

// newHost starts a stand-in for a cache host.
func newHost(t *testing.T, id string, answer func(command) string) *cacheHost {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	h := &cacheHost{id: id, addr: l.Addr().String(), answer: answer, received: make(chan command, 1000), closed: make(chan struct{}, 1000)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go h.serve(c)
		}
	}()
	return h
}

func (h *cacheHost) serve(c net.Conn) {
	defer func() { c.Close(); h.closed <- struct{}{} }()
	in := bufio.NewReader(c)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		cmd := command{line: strings.TrimSuffix(line, "\r\n"), fields: strings.Fields(line), conn: c, receivedAt: time.Now()}
		for _, w := range cmd.fields[1:] {
			if w[0] == 'O' {
				cmd.id = w[1:]
			}
		}
		if cmd.fields[0] == "ms" {
			n, _ := strconv.Atoi(cmd.fields[2])
			v := make([]byte, n+2)
			if _, err = io.ReadFull(in, v); err != nil {
				return
			}
			cmd.value = string(v[:n])
		}
		h.mu.Lock()
		h.commands = append(h.commands, cmd)
		h.mu.Unlock()
		h.received <- cmd
		if a := h.answer(cmd); a == "close" {
			return
		} else if _, err = io.WriteString(c, a); err != nil {
			return
		}
	}
}

// count returns the number of commands received so far.
func (h *cacheHost) count() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.commands)
}

// answerHit answers a read with a value and a write with a receipt.
func answerHit(cmd command) string {
	if cmd.fields[0] == "ms" {
		return "HD O" + cmd.id + " cdone-" + cmd.id + "\r\n"
	}
	v := "value of " + cmd.fields[1]
	return fmt.Sprintf("VA %d O%s h1 Linflight=7,util=0.61\r\n%s\r\n", len(v), cmd.id, v)
}

// answerMiss answers that the key is not cached.
func answerMiss(cmd command) string { return "EN O" + cmd.id + "\r\n" }

// answerWith returns an answer function that sends the same text each time.
func answerWith(text string) func(command) string { return func(command) string { return text } }

// discoveryServer is a stand-in for discovery. It serves the host list and holds watches (long polls) until the list changes or the time is
// over that they name.
type discoveryServer struct {
	*httptest.Server
	mu            sync.Mutex
	generation    int
	entries       map[string]map[string]any
	changedIn     map[string]int // by host id, the generation of its last change
	nextChange    chan struct{}  // closed at the next change
	watchedFrom   chan int       // receives the generation that each watch names
	answerGarbage bool
}

func newDiscoveryServer(t *testing.T) *discoveryServer {
	d := &discoveryServer{generation: 1, entries: map[string]map[string]any{}, changedIn: map[string]int{},
		nextChange: make(chan struct{}), watchedFrom: make(chan int, 1000)}
	d.Server = httptest.NewServer(d)
	t.Cleanup(d.Server.Close)
	return d
}

// setHost lists a host, or changes its entry, in a new generation.
func (d *discoveryServer) setHost(id, addr, machineType, lifecycle string) {
	d.setHostStartedAt(id, addr, machineType, lifecycle, 0)
}

// setHostStartedAt does the same as setHost, with the start time of the host's process.
func (d *discoveryServer) setHostStartedAt(id, addr, machineType, lifecycle string, startedAtMs int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.generation++
	d.entries[id] = map[string]any{"instanceId": id, "hostPort": addr, "zone": "here", "machineType": machineType, "cell": 0,
		"lifecycle": lifecycle, "weight": 1.0, "startedAtMs": startedAtMs, "unknown": []int{1}}
	d.changedIn[id] = d.generation
	close(d.nextChange)
	d.nextChange = make(chan struct{})
}

// response returns the whole list if after is negative, otherwise the entries changed since that generation.
func (d *discoveryServer) response(after int) []byte {
	rows := []any{}
	for id, e := range d.entries {
		if after < 0 || d.changedIn[id] > after {
			rows = append(rows, e)
		}
	}
	text, _ := json.Marshal(map[string]any{"generation": d.generation, "reset": after < 0, "instances": rows})
	return text
}

func (d *discoveryServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	after := -1
	var waitMs int
	if s := r.URL.Query().Get("after"); s != "" {
		after, _ = strconv.Atoi(s)
		waitMs, _ = strconv.Atoi(r.URL.Query().Get("wait_ms"))
		d.watchedFrom <- after
	}
	d.mu.Lock()
	if nextChange := d.nextChange; after >= d.generation {
		d.mu.Unlock()
		select {
		case <-nextChange:
		case <-time.After(time.Duration(waitMs) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
		d.mu.Lock()
	}
	defer d.mu.Unlock()
	if d.answerGarbage {
		d.answerGarbage = false
		io.WriteString(w, `{"generation":"many"`)
		return
	}
	w.Write(d.response(after))
}

// waitForWatch waits until the balancer watches from the current generation, which shows that it has received the current list.
func (d *discoveryServer) waitForWatch(t *testing.T) {
	t.Helper()
	d.mu.Lock()
	current := d.generation
	d.mu.Unlock()
	for {
		select {
		case v := <-d.watchedFrom:
			if v >= current {
				return
			}
		case <-time.After(waitTimeout):
			t.Fatal("the balancer never watched from the current generation")
		}
	}
}

// originServer is a stand-in for the origin.
type originServer struct {
	*httptest.Server
	requests chan *http.Request
}

// newOrigin starts a stand-in for the origin.
func newOrigin(t *testing.T, answer http.HandlerFunc) *originServer {
	o := &originServer{requests: make(chan *http.Request, 100)}
	o.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		o.requests <- r
		answer(w, r)
	}))
	t.Cleanup(o.Server.Close)
	return o
}

// serveRaw starts a server that calls serve for each connection and then closes it, and returns its address.
func serveRaw(t *testing.T, serve func(net.Conn)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				serve(conn)
			}()
		}
	}()
	return l.Addr().String()
}

func serverAddr(s *httptest.Server) string { return s.Listener.Addr().String() }

// deploymentSettings returns the settings section of a deployment's configuration, with the test's changes applied.
func deploymentSettings(change map[string]any) map[string]any {
	product := func(name, effect string) map[string]any {
		return map[string]any{"name": name, "latencySloNs": 1e9, "clientTimeoutNs": 3e9, "billedValue": 1.0,
			"effect": effect, "group": "all", "windowNs": 2e9}
	}
	s := map[string]any{"balancers": 1, "locality": 0, "areas": []string{"here"}, "discovery": "automatic",
		"hostTypes": []string{"cache", "origin"}, "weights": "nominal", "tickNs": 5000000, "new": map[string]any{"x": nil},
		"extra":    map[string]any{"mode": "aside", "originKind": 1},
		"caps":     map[string]any{"mayCancel": true, "mostShots": 4, "connectTimeoutNs": 200000000, "keepaliveNs": 60e9},
		"rules":    map[string]any{"drainGraceNs": 1000000000},
		"products": []any{product("read", "idempotent"), product("pay", "at_most_once"), product("marked", "deduplicated")}}
	for k, v := range change {
		s[k] = v
	}
	return s
}

// readWriteThrough changes the settings so that the cache hosts read from the origin on a miss and take writes themselves.
var readWriteThrough = map[string]any{"extra": map[string]any{"mode": "through", "originKind": -1}}

// balancerProcess is a running process of the program.
type balancerProcess struct {
	*exec.Cmd
	addr, configPath string // the address for clients; the path of the configuration file
	log              *logBuffer
	exited           chan error
}

// logBuffer holds the program's log. A test may read it while the program runs.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// waitForLog waits until the log contains a text.
func (p *balancerProcess) waitForLog(t *testing.T, text string) {
	t.Helper()
	for began := time.Now(); !strings.Contains(p.log.String(), text); time.Sleep(5 * time.Millisecond) {
		if time.Since(began) > waitTimeout {
			t.Fatalf("the log never contained %q", text)
		}
	}
}

// reload replaces the configuration file, sends SIGHUP and waits until the log contains logText.
func (p *balancerProcess) reload(t *testing.T, config any, logText string) {
	t.Helper()
	writeConfig(t, p.configPath, config)
	p.Process.Signal(syscall.SIGHUP)
	p.waitForLog(t, logText)
}

// writeConfig writes a configuration file: a string as it is, anything else as JSON.
func writeConfig(t *testing.T, path string, config any) {
	text, _ := json.Marshal(config)
	if s, ok := config.(string); ok {
		text = []byte(s)
	}
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
}

var loopbackAddrs atomic.Uint32

// freeAddr returns an address with a free TCP port. Each result has its own loopback IP address: on a shared one another test could
// take the port first. No program is started meanwhile: until it executes it would hold a copy of the listener, which takes connections.
func freeAddr(t *testing.T) string {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	n := loopbackAddrs.Add(1)
	l, err := net.Listen("tcp", fmt.Sprintf("127.77.%d.%d:0", n/250, n%250+1))
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// newCommand returns the command that runs the program. Only a test that does not run in parallel with others may replace it.
var newCommand = func(program string) *exec.Cmd { return exec.Command(program) }

// launch starts the program with a configuration and does not wait for it to serve.
func launch(t *testing.T, config any, env ...string) *balancerProcess {
	path := filepath.Join(t.TempDir(), "config.json")
	writeConfig(t, path, config)
	p := &balancerProcess{Cmd: newCommand(binaryPath), configPath: path, log: &logBuffer{}, exited: make(chan error, 1)}
	p.Env = append(os.Environ(), append([]string{"GW_CONFIG=" + path, "GORACE=atexit_sleep_ms=0"}, env...)...) // without it the race detector delays the exit by a second
	p.Stderr = p.log
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { p.exited <- p.Wait() }()
	t.Cleanup(func() {
		p.Process.Kill()
		<-p.exited
		if strings.Contains(p.log.String(), "DATA RACE") || strings.Contains(p.log.String(), "panic:") {
			t.Error(p.log.String())
		} else if t.Failed() {
			t.Log(p.log.String())
		}
	})
	return p
}

// waitForExit waits until the program has ended and returns its exit code.
func (p *balancerProcess) waitForExit(t *testing.T) int {
	t.Helper()
	select {
	case err := <-p.exited:
		p.exited <- err
		return p.ProcessState.ExitCode()
	case <-time.After(waitTimeout):
		t.Fatal("the program did not end")
		return -1
	}
}

// earliestKill is the time from SIGTERM to the earliest SIGKILL: the longest client timeout and 0.7 s.
const earliestKill = 3*time.Second + 700*time.Millisecond

// endWithSignals ends the process by a series of SIGHUP, SIGTERM and one more SIGHUP, and kills it at the earliest moment after SIGTERM at
// which operators may do so. It calls beforeStop right before SIGTERM.
func (p *balancerProcess) endWithSignals(t *testing.T, random *rand.Rand, beforeStop func()) {
	for range random.IntN(6) {
		p.Process.Signal(syscall.SIGHUP)
		time.Sleep(time.Duration(random.IntN(100)) * time.Millisecond)
	}
	beforeStop()
	p.Process.Signal(syscall.SIGTERM)
	p.Process.Signal(syscall.SIGHUP)
	select {
	case err := <-p.exited:
		p.exited <- err
		if code := p.ProcessState.ExitCode(); code != 0 {
			t.Errorf("exit code %d", code)
		}
	case <-time.After(earliestKill):
		p.Process.Kill()
	}
}

// deploymentConfig returns a configuration with a discovery server, a listen address and changes to the settings.
func deploymentConfig(d *discoveryServer, listen string, change map[string]any) map[string]any {
	return map[string]any{"name": "n0", "listen": listen, "discovery": serverAddr(d.Server), "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "settings": deploymentSettings(change)}
}

// startWithHosts starts a discovery server that lists the given hosts, and the origin unless it is nil, and a balancer that uses it.
// It returns once the balancer serves clients.
func startWithHosts(t *testing.T, change map[string]any, o *originServer, hosts ...*cacheHost) (*balancerProcess, *discoveryServer) {
	d := newDiscoveryServer(t)
	for _, h := range hosts {
		d.setHost(h.id, h.addr, "cache", "active")
	}
	if o != nil {
		d.setHost("origin", serverAddr(o.Server), "origin", "active")
	}
	return launchServing(t, deploymentConfig(d, freeAddr(t), change)), d
}

// launchServing starts the program and waits until it answers a client.
func launchServing(t *testing.T, config map[string]any, env ...string) *balancerProcess {
	p := launch(t, config, env...)
	p.addr = config["listen"].(string)
	for began := time.Now(); time.Since(began) < waitTimeout; time.Sleep(5 * time.Millisecond) {
		if c, err := net.Dial("tcp", p.addr); err == nil {
			defer c.Close()
			if c := (&client{T: t, Conn: c, in: bufio.NewReader(c)}); c.ask("mn\r\n") != "MN" {
				t.Fatal("the balancer did not answer mn with MN")
			}
			return p
		}
	}
	t.Fatal("the program does not serve clients")
	return nil
}

// client is one client connection to a balancer.
type client struct {
	*testing.T
	net.Conn
	in       *bufio.Reader
	dialedAt time.Time
}

// dial opens a client connection.
func (p *balancerProcess) dial(t *testing.T) *client {
	c, err := net.Dial("tcp", p.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(waitTimeout))
	return &client{t, c, bufio.NewReader(c), time.Now()}
}

func (c *client) send(text string) {
	c.Helper()
	if _, err := io.WriteString(c.Conn, text); err != nil {
		c.Fatal(err)
	}
}

// next reads one answer and returns its line without the line end. A value follows after "|". A read error is returned as its text.
func (c *client) next() string {
	c.Helper()
	line, err := c.in.ReadString('\n')
	if err != nil {
		return err.Error()
	}
	line = strings.TrimSuffix(line, "\r\n")
	if w := strings.Fields(line); len(w) > 1 && w[0] == "VA" {
		n, _ := strconv.Atoi(w[1])
		v := make([]byte, n+2)
		if _, err = io.ReadFull(c.in, v); err != nil {
			return err.Error()
		}
		line += "|" + string(v[:n])
	}
	return line
}

// ask sends a command and reads one answer.
func (c *client) ask(text string) string {
	c.Helper()
	c.send(text)
	return c.next()
}

// getRequest returns a read command with a client timeout in milliseconds.
func getRequest(key, id string, timeoutMs int) string {
	return fmt.Sprintf("mg %s v O%s Pc=read,d=%d\r\n", key, id, timeoutMs)
}

// putRequest returns a write command with a client timeout in milliseconds.
func putRequest(product, key, id string, timeoutMs int) string {
	return fmt.Sprintf("ms %s 5 O%s Pc=%s,d=%d,k=77\r\nhello\r\n", key, id, product, timeoutMs)
}
