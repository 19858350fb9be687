package standin

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"streamrail/internal/rehearsal/model"
	"streamrail/internal/rehearsal/record"
)

// Register is the list of nodes over HTTP/1.1: an agent for each balancer that answers with what it has heard.
type Register struct {
	world  *World
	agents []*discoveryAgent

	mu    sync.Mutex
	model *model.Register
}

type discoveryAgent struct {
	register       *Register
	balancer       int
	addr           string
	server         *http.Server
	changed        chan struct{}   // closed at the next change; under Register.mu
	watchesStalled chan struct{}   // closed when all open watches fall silent; under Register.mu
	notifiedBy     time.Duration   // when what a watch misses that has fallen silent counts as told; under Register.mu
	available      map[string]bool // what its balancer was told wants work; under Register.mu
}

// AddRegister makes the register.
func (w *World) AddRegister() error {
	delay := [2]time.Duration{w.Day.Register.Late[0].D(), w.Day.Register.Late[1].D()}
	r := &Register{world: w, model: model.NewRegister(w.Day.Fleet.Balancers, delay, model.Stream(w.Day.Seed, "register"))}
	for b := range w.Day.Fleet.Balancers {
		a := &discoveryAgent{register: r, balancer: b, changed: make(chan struct{}), watchesStalled: make(chan struct{}), available: map[string]bool{}}
		if err := a.listen(); err != nil {
			return err
		}
		r.agents = append(r.agents, a)
	}
	w.Register = r
	return nil
}

func (a *discoveryAgent) listen() error {
	l, err := a.register.world.Listen()
	if err != nil {
		return fmt.Errorf("register: %w", err)
	}
	a.addr = l.Addr().String()
	a.server = &http.Server{Handler: a}
	go a.server.Serve(l)
	return nil
}

// Addr is where a balancer finds the register.
func (r *Register) Addr(balancer int) string { return r.agents[balancer].addr }

// oldAddressGrace is how long an address that was left still answers on open connections.
const oldAddressGrace = 1500 * time.Millisecond

// Move gives a balancer's agent another address. The old one takes no new connection.
func (r *Register) Move(balancer int) error {
	a := r.agents[balancer]
	old := a.server
	if err := a.listen(); err != nil {
		return err
	}
	time.AfterFunc(oldAddressGrace, func() { old.Close() })
	return nil
}

// What an agent has counts as told to its balancer, whether or not it asked. But what a watch misses that has fallen silent
// counts so long after that, and for a call that may wait so long after its wait, if that is later.
const (
	notifiedAfterStall = 6 * time.Second
	notifiedAfterWait  = 2 * time.Second
)

// Set changes a node's line; each agent hears of it when the model says.
func (r *Register) Set(e model.Entry) {
	now := r.world.Now()
	r.mu.Lock()
	times := r.model.Set(now, e)
	r.mu.Unlock()
	r.advance()
	for b, at := range times {
		time.AfterFunc(max(0, at-r.world.Now()), r.advance)
		if e.Condition != model.Active {
			time.AfterFunc(max(0, at-r.world.Now()), func() { r.assumeNotified(b, e.Node) })
		}
	}
}

func (r *Register) advance() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, b := range r.model.Advance(r.world.Now()) {
		r.wakeWatches(b)
	}
}

// wakeWatches wakes who waits at an agent. Under r.mu.
func (r *Register) wakeWatches(balancer int) {
	a := r.agents[balancer]
	close(a.changed)
	a.changed = make(chan struct{})
}

// assumeNotified counts a change as told that the balancer never asked for.
func (r *Register) assumeNotified(balancer int, host string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.model.Silent(balancer) { // told at its return
		return
	}
	if wait := r.agents[balancer].notifiedBy - r.world.Now(); wait > 0 {
		time.AfterFunc(wait, func() { r.assumeNotified(balancer, host) })
		return
	}
	_, _, entries := r.model.List(balancer, 0, true)
	for _, e := range entries {
		if e.Node == host && e.Condition == model.Active {
			return // it is back
		}
	}
	r.recordNotice(balancer, host, false)
}

// Silence makes the agent of a balancer say nothing, or ends that.
func (r *Register) Silence(balancer int, on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.model.Silence(balancer, on)
	r.wakeWatches(balancer)
	if a := r.agents[balancer]; !on {
		for host, available := range a.available {
			if available { // what is not up any more counts as told at the return
				time.AfterFunc(0, func() { r.assumeNotified(balancer, host) })
			}
		}
	}
}

// BreakWatches has all watches that are open at a balancer's agent fall silent. One that is opened anew works.
func (r *Register) BreakWatches(balancer int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.agents[balancer]
	close(a.watchesStalled)
	a.watchesStalled = make(chan struct{})
}

// Rewind makes the versions of a balancer's agent start over.
func (r *Register) Rewind(balancer int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.model.Rewind(balancer)
	r.wakeWatches(balancer)
}

// Restarted hears that a balancer starts from nothing.
func (r *Register) Restarted(balancer int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.agents[balancer].available)
}

// recordNotice notes what a balancer hears of a node. Under r.mu.
func (r *Register) recordNotice(balancer int, host string, available bool) {
	a := r.agents[balancer]
	if was, known := a.available[host]; known && was == available || !known && !available {
		return
	}
	a.available[host] = available
	now := r.world.Now()
	r.world.Rec.Add(func() {
		r.world.Rec.Tolds = append(r.world.Rec.Tolds, record.Told{Balancer: balancer, Node: host, Up: available, At: now})
	})
}

type instance struct {
	InstanceID  string  `json:"instanceId"`
	HostPort    string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	MachineType string  `json:"machineType"`
	Cell        int     `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAtMs int64   `json:"startedAtMs"`
}

// List is what an agent answers, as JSON, and the nodes in it. Under r.mu.
func (r *Register) list(balancer int, after int64, full bool) (text []byte, reset bool, entries []model.Entry) {
	generation, reset, entries := r.model.List(balancer, after, full)
	rows := []instance{}
	for _, e := range entries {
		addr := ""
		if e.Node == record.Gateway {
			addr = r.world.Gateway.Addr(balancer)
		} else if n := r.world.Node(e.Node); n != nil {
			addr = n.Addr(balancer)
		}
		row := instance{InstanceID: e.Node, HostPort: addr, Zone: e.Zone, MachineType: e.Kind, Cell: e.Cell, Lifecycle: string(e.Condition), Weight: e.Weight}
		if e.Born > 0 {
			row.StartedAtMs = r.world.Unix(e.Born)
		}
		rows = append(rows, row)
	}
	text, _ = json.Marshal(map[string]any{"generation": generation, "reset": reset, "instances": rows})
	return text, reset, entries
}

// Known is the whole list as a balancer's agent has it.
func (r *Register) Known(balancer int) json.RawMessage {
	r.mu.Lock()
	defer r.mu.Unlock()
	text, _, _ := r.list(balancer, 0, true)
	return text
}

// maxWatch is the longest that a watch may wait.
const maxWatch = time.Minute

// ServeHTTP answers the list, or waits for a change.
func (a *discoveryAgent) ServeHTTP(rw http.ResponseWriter, req *http.Request) {
	if req.URL.Path != "/api/targets" || req.Method != http.MethodGet {
		http.Error(rw, "no such thing here", http.StatusNotFound)
		return
	}
	after, full := int64(0), true
	var timeout <-chan time.Time
	waitEnds := a.register.world.Now()
	if s := req.URL.Query().Get("after"); s != "" {
		n, err := strconv.ParseInt(s, 10, 64)
		ms, err2 := strconv.ParseInt(req.URL.Query().Get("wait_ms"), 10, 64)
		if err != nil || err2 != nil || ms < 0 {
			http.Error(rw, "after and wait_ms are numbers", http.StatusBadRequest)
			return
		}
		after, full = n, false
		wait := min(time.Duration(ms)*time.Millisecond, maxWatch)
		t := time.NewTimer(wait)
		waitEnds += wait
		defer t.Stop()
		timeout = t.C
	}
	r, timedOut := a.register, false
	for {
		r.mu.Lock()
		silent, changed, stalled := r.model.Silent(a.balancer), a.changed, a.watchesStalled
		if generation, reset, _ := r.model.List(a.balancer, after, full); !silent && (full || timedOut || reset || generation > after) {
			break // with the lock
		}
		r.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			timedOut, timeout = true, nil
		case <-stalled:
			r.mu.Lock()
			a.notifiedBy = max(r.world.Now()+notifiedAfterStall, waitEnds+notifiedAfterWait)
			r.mu.Unlock()
			<-req.Context().Done()
			return
		case <-req.Context().Done():
			return
		}
	}
	a.notifiedBy = 0 // from now on it is told as all are
	text, reset, entries := r.list(a.balancer, after, full)
	listed := map[string]bool{}
	for _, e := range entries {
		listed[e.Node] = true
		r.recordNotice(a.balancer, e.Node, e.Condition == model.Active)
	}
	if reset {
		for host, available := range a.available {
			if available && !listed[host] {
				r.recordNotice(a.balancer, host, false)
			}
		}
	}
	r.mu.Unlock()
	rw.Write(text)
}

// FreeAddr is an address for a balancer to listen on.
func (w *World) FreeAddr() (string, error) {
	l, err := w.Listen()
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).String(), nil
}
