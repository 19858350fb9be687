package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
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

// patience bounds every wait; none of them decides a verdict unless something never comes.
const patience = 10 * time.Second

// program is the built binary.
var program string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "streamrail")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "streamrail")
	out, err := exec.Command("go", append(append([]string{"build"}, buildFlags...), "-o", program, ".")...).CombinedOutput()
	if err != nil {
		fmt.Printf("%s\n", out)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// got is one command as it reached a cache host.
type got struct {
	line  string
	words []string
	id    string
	value string
	conn  net.Conn
	at    time.Time
}

// cacheHost plays a cache host: each command is answered with what the test's function returns; "" says nothing.
type cacheHost struct {
	id, addr string
	answer   func(got) string
	mu       sync.Mutex
	seen     []got
	came     chan got
	ended    chan struct{} // one for each connection that ended
}

func newHost(t *testing.T, id string, answer func(got) string) *cacheHost {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	h := &cacheHost{id: id, addr: l.Addr().String(), answer: answer, came: make(chan got, 1000), ended: make(chan struct{}, 1000)}
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
	defer func() { c.Close(); h.ended <- struct{}{} }()
	in := bufio.NewReader(c)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		g := got{line: strings.TrimSuffix(line, "\r\n"), words: strings.Fields(line), conn: c, at: time.Now()}
		for _, w := range g.words[1:] {
			if w[0] == 'O' {
				g.id = w[1:]
			}
		}
		if g.words[0] == "ms" {
			n, _ := strconv.Atoi(g.words[2])
			v := make([]byte, n+2)
			if _, err = io.ReadFull(in, v); err != nil {
				return
			}
			g.value = string(v[:n])
		}
		h.mu.Lock()
		h.seen = append(h.seen, g)
		h.mu.Unlock()
		h.came <- g
		if a := h.answer(g); a == "close" {
			return
		} else if _, err = io.WriteString(c, a); err != nil {
			return
		}
	}
}

func (h *cacheHost) count() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.seen)
}

func hit(g got) string {
	if g.words[0] == "ms" {
		return "HD O" + g.id + " cdone-" + g.id + "\r\n"
	}
	v := "value of " + g.words[1]
	return fmt.Sprintf("VA %d O%s h1 Linflight=7,util=0.61\r\n%s\r\n", len(v), g.id, v)
}

func miss(g got) string { return "EN O" + g.id + "\r\n" }

func say(text string) func(got) string { return func(got) string { return text } }

// list plays discovery.
type list struct {
	*httptest.Server
	mu         sync.Mutex
	generation int
	entries    map[string]map[string]any
	changed    map[string]int // by id, the generation of its last change
	news       chan struct{}  // closed at the next change
	told       chan int       // the version that each watch comes with
	garbage    bool
}

func newList(t *testing.T) *list {
	d := &list{generation: 1, entries: map[string]map[string]any{}, changed: map[string]int{},
		news: make(chan struct{}), told: make(chan int, 1000)}
	d.Server = httptest.NewServer(d)
	t.Cleanup(d.Server.Close)
	return d
}

func (d *list) set(id, addr, kind, lifecycle string) { d.setBorn(id, addr, kind, lifecycle, 0) }

// setBorn is set for a host whose process was started at a known time.
func (d *list) setBorn(id, addr, kind, lifecycle string, startedAtMs int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.generation++
	d.entries[id] = map[string]any{"instanceId": id, "hostPort": addr, "zone": "here", "machineType": kind, "cell": 0,
		"lifecycle": lifecycle, "weight": 1.0, "startedAtMs": startedAtMs, "unknown": []int{1}}
	d.changed[id] = d.generation
	close(d.news)
	d.news = make(chan struct{})
}

func (d *list) text(after int) []byte {
	rows := []any{}
	for id, e := range d.entries {
		if after < 0 || d.changed[id] > after {
			rows = append(rows, e)
		}
	}
	text, _ := json.Marshal(map[string]any{"generation": d.generation, "reset": after < 0, "instances": rows})
	return text
}

func (d *list) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	after := -1
	if s := r.URL.Query().Get("after"); s != "" {
		after, _ = strconv.Atoi(s)
		d.told <- after
	}
	d.mu.Lock()
	if news := d.news; after >= d.generation {
		d.mu.Unlock()
		select {
		case <-news:
		case <-r.Context().Done():
			return
		}
		d.mu.Lock()
	}
	defer d.mu.Unlock()
	if d.garbage {
		d.garbage = false
		io.WriteString(w, `{"generation":"many"`)
		return
	}
	w.Write(d.text(after))
}

// knows waits until the balancer has been told of the present list.
func (d *list) knows(t *testing.T) {
	t.Helper()
	d.mu.Lock()
	now := d.generation
	d.mu.Unlock()
	for {
		select {
		case v := <-d.told:
			if v >= now {
				return
			}
		case <-time.After(patience):
			t.Fatal("the balancer never asked for what comes next")
		}
	}
}

// origin plays the origin.
type origin struct {
	*httptest.Server
	came chan *http.Request
}

func newOrigin(t *testing.T, answer http.HandlerFunc) *origin {
	o := &origin{came: make(chan *http.Request, 100)}
	o.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		o.came <- r
		answer(w, r)
	}))
	t.Cleanup(o.Server.Close)
	return o
}

func addr(s *httptest.Server) string { return s.Listener.Addr().String() }

// settings are a deployment's, with what a test changes.
func settings(change map[string]any) map[string]any {
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

// through makes cache hosts fetch and take writes by themselves.
var through = map[string]any{"extra": map[string]any{"mode": "through", "originKind": -1}}

// running is the program as it runs.
type running struct {
	*exec.Cmd
	addr, config string // where clients connect; the configuration's path
	log          *lines
	done         chan error
}

// lines is the program's log, which a test may read while it runs.
type lines struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *lines) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// says waits for a line of the log.
func (p *running) says(t *testing.T, text string) {
	t.Helper()
	for began := time.Now(); !strings.Contains(p.log.String(), text); time.Sleep(5 * time.Millisecond) {
		if time.Since(began) > patience {
			t.Fatalf("the log never says %q", text)
		}
	}
}

// reload replaces the configuration and tells the program so; it waits for the line of the log.
func (p *running) reload(t *testing.T, config any, says string) {
	t.Helper()
	write(t, p.config, config)
	p.Process.Signal(syscall.SIGHUP)
	p.says(t, says)
}

// write lays a configuration down; text that is no map is written as it is.
func write(t *testing.T, path string, config any) {
	text, _ := json.Marshal(config)
	if s, ok := config.(string); ok {
		text = []byte(s)
	}
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
}

var addrs atomic.Uint32

// freeAddr is a free port on a loopback address of its own: on a shared one another test could take it first.
func freeAddr(t *testing.T) string {
	n := addrs.Add(1)
	l, err := net.Listen("tcp", fmt.Sprintf("127.77.%d.%d:0", n/250, n%250+1))
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// launchedBy makes the command that runs the program; only a test that does not run beside others may change it.
var launchedBy = func(program string) *exec.Cmd { return exec.Command(program) }

// launch starts the program on a configuration.
func launch(t *testing.T, config any, env ...string) *running {
	path := filepath.Join(t.TempDir(), "config.json")
	write(t, path, config)
	p := &running{Cmd: launchedBy(program), config: path, log: &lines{}, done: make(chan error, 1)}
	p.Env = append(os.Environ(), append([]string{"GW_CONFIG=" + path, "GORACE=atexit_sleep_ms=0"}, env...)...) // else it stays a second under the detector
	p.Stderr = p.log
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { p.done <- p.Wait() }()
	t.Cleanup(func() {
		p.Process.Kill()
		<-p.done
		if strings.Contains(p.log.String(), "DATA RACE") || strings.Contains(p.log.String(), "panic:") {
			t.Error(p.log.String())
		} else if t.Failed() {
			t.Log(p.log.String())
		}
	})
	return p
}

// exit waits for the program's end and tells its code.
func (p *running) exit(t *testing.T) int {
	t.Helper()
	select {
	case err := <-p.done:
		p.done <- err
		return p.ProcessState.ExitCode()
	case <-time.After(patience):
		t.Fatal("the program does not end")
		return -1
	}
}

func config(d *list, listen string, change map[string]any) map[string]any {
	return map[string]any{"name": "n0", "listen": listen, "discovery": addr(d.Server), "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "settings": settings(change)}
}

// start runs the program on a list with these hosts, and an origin if there is one, until it serves.
func start(t *testing.T, change map[string]any, o *origin, hosts ...*cacheHost) (*running, *list) {
	d := newList(t)
	for _, h := range hosts {
		d.set(h.id, h.addr, "cache", "active")
	}
	if o != nil {
		d.set("origin", addr(o.Server), "origin", "active")
	}
	return serving(t, config(d, freeAddr(t), change)), d
}

func serving(t *testing.T, config map[string]any, env ...string) *running {
	p := launch(t, config, env...)
	p.addr = config["listen"].(string)
	for began := time.Now(); time.Since(began) < patience; time.Sleep(5 * time.Millisecond) {
		if c, err := net.Dial("tcp", p.addr); err == nil {
			defer c.Close()
			if c := (&client{T: t, Conn: c, in: bufio.NewReader(c)}); c.ask("mn\r\n") != "MN" {
				t.Fatal("no MN")
			}
			return p
		}
	}
	t.Fatal("the program does not serve")
	return nil
}

// client is one connection of a client.
type client struct {
	*testing.T
	net.Conn
	in     *bufio.Reader
	dialed time.Time
}

func (p *running) dial(t *testing.T) *client {
	c, err := net.Dial("tcp", p.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(patience))
	return &client{t, c, bufio.NewReader(c), time.Now()}
}

func (c *client) send(text string) {
	c.Helper()
	if _, err := io.WriteString(c.Conn, text); err != nil {
		c.Fatal(err)
	}
}

// next reads one answer; a value stands behind a bar.
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

func (c *client) ask(text string) string {
	c.Helper()
	c.send(text)
	return c.next()
}

func get(key, id string, d int) string {
	return fmt.Sprintf("mg %s v O%s Pc=read,d=%d\r\n", key, id, d)
}

func put(product, key, id string, d int) string {
	return fmt.Sprintf("ms %s 5 O%s Pc=%s,d=%d,k=77\r\nhello\r\n", key, id, product, d)
}
