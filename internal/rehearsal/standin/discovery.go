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

// Discovery is the stand-in for discovery. It serves the host list over HTTP/1.1 through one agent per balancer; each agent
// answers with the changes that have reached it so far.
type Discovery struct {
	environment *Environment
	agents      []*discoveryAgent

	mu    sync.Mutex
	model *model.Discovery
}

// discoveryAgent serves the host list to one balancer. The lock of its Discovery guards the fields marked below.
type discoveryAgent struct {
	discovery      *Discovery
	balancer       int
	addr           string
	server         *http.Server
	changed        chan struct{}   // closed at the next change; guarded by Discovery.mu
	watchesStalled chan struct{}   // closed to make all open watches stop answering; guarded by Discovery.mu
	notifiedBy     time.Duration   // when changes missed by a stalled watch count as known; guarded by Discovery.mu
	available      map[string]bool // by host: whether last reported to the balancer as active; guarded by Discovery.mu
}

// AddDiscovery starts the discovery stand-in, with one agent for each balancer.
func (w *Environment) AddDiscovery() error {
	delay := [2]time.Duration{w.Scenario.Discovery.Delay[0].Duration(), w.Scenario.Discovery.Delay[1].Duration()}
	r := &Discovery{environment: w, model: model.NewDiscovery(w.Scenario.Fleet.Balancers, delay, model.NewRand(w.Scenario.Seed, "register"))}
	for b := range w.Scenario.Fleet.Balancers {
		a := &discoveryAgent{discovery: r, balancer: b, changed: make(chan struct{}), watchesStalled: make(chan struct{}), available: map[string]bool{}}
		if err := a.listen(); err != nil {
			return err
		}
		r.agents = append(r.agents, a)
	}
	w.Discovery = r
	return nil
}

// listen starts an HTTP server for the agent at a new address.
func (a *discoveryAgent) listen() error {
	l, err := a.discovery.environment.Listen()
	if err != nil {
		return fmt.Errorf("register: %w", err)
	}
	a.addr = l.Addr().String()
	a.server = &http.Server{Handler: a}
	go a.server.Serve(l)
	return nil
}

// Addr returns the address at which a balancer reaches discovery.
func (r *Discovery) Addr(balancer int) string { return r.agents[balancer].addr }

// oldAddressGrace is how long a former address is still served.
const oldAddressGrace = 1500 * time.Millisecond

// ChangeAddress gives a balancer's agent a new address. The old one is closed with its connections after oldAddressGrace.
func (r *Discovery) ChangeAddress(balancer int) error {
	a := r.agents[balancer]
	old := a.server
	if err := a.listen(); err != nil {
		return err
	}
	time.AfterFunc(oldAddressGrace, func() { old.Close() })
	return nil
}

// A change that has reached an agent counts as known to its balancer, whether or not the balancer requested it. A change
// missed by a stalled watch counts as known notifiedAfterStall after the watch stalled, or notifiedAfterWait after the end
// of the wait that the watch had requested, whichever is later.
const (
	notifiedAfterStall = 6 * time.Second
	notifiedAfterWait  = 2 * time.Second
)

// Update changes a host's entry. The model decides when the change reaches each agent.
func (r *Discovery) Update(e model.Entry) {
	now := r.environment.Now()
	r.mu.Lock()
	times := r.model.Set(now, e)
	r.mu.Unlock()
	r.advance()
	for b, at := range times {
		time.AfterFunc(max(0, at-r.environment.Now()), r.advance)
		if e.Lifecycle != model.Active {
			time.AfterFunc(max(0, at-r.environment.Now()), func() { r.assumeNotified(b, e.Host) })
		}
	}
}

// advance runs the model up to the present and wakes the watches of agents that a change has reached.
func (r *Discovery) advance() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, b := range r.model.Advance(r.environment.Now()) {
		r.wakeWatches(b)
	}
}

// wakeWatches wakes all requests waiting at an agent. The caller holds r.mu.
func (r *Discovery) wakeWatches(balancer int) {
	a := r.agents[balancer]
	close(a.changed)
	a.changed = make(chan struct{})
}

// assumeNotified records that a balancer knows that a host is no longer active, even if it never requested the change.
func (r *Discovery) assumeNotified(balancer int, host string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.model.Silent(balancer) { // counts as known once the agent answers again
		return
	}
	if wait := r.agents[balancer].notifiedBy - r.environment.Now(); wait > 0 {
		time.AfterFunc(wait, func() { r.assumeNotified(balancer, host) })
		return
	}
	_, _, entries := r.model.List(balancer, 0, true)
	for _, e := range entries {
		if e.Host == host && e.Lifecycle == model.Active {
			return // the host is active again
		}
	}
	r.recordNotice(balancer, host, false)
}

// SetSilent makes a balancer's agent stop answering, or ends that.
func (r *Discovery) SetSilent(balancer int, on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.model.SetSilent(balancer, on)
	r.wakeWatches(balancer)
	if a := r.agents[balancer]; !on {
		for host, available := range a.available {
			if available { // if the host is no longer active, the balancer now counts as informed of that
				time.AfterFunc(0, func() { r.assumeNotified(balancer, host) })
			}
		}
	}
}

// StallWatches makes all open watches at a balancer's agent stop answering. Watches opened later work.
func (r *Discovery) StallWatches(balancer int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.agents[balancer]
	close(a.watchesStalled)
	a.watchesStalled = make(chan struct{})
}

// ResetGenerations makes the generations of a balancer's agent start over.
func (r *Discovery) ResetGenerations(balancer int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.model.ResetGenerations(balancer)
	r.wakeWatches(balancer)
}

// BalancerRestarted clears what was reported to a balancer. It is called before a new process of the balancer starts.
func (r *Discovery) BalancerRestarted(balancer int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.agents[balancer].available)
}

// recordNotice records that a balancer was informed of a host's state, if that is a change. The caller holds r.mu.
func (r *Discovery) recordNotice(balancer int, host string, available bool) {
	a := r.agents[balancer]
	if was, known := a.available[host]; known && was == available || !known && !available {
		return
	}
	a.available[host] = available
	now := r.environment.Now()
	r.environment.Record.Add(func() {
		r.environment.Record.HostNotices = append(r.environment.Record.HostNotices, record.HostNotice{Balancer: balancer, Host: host, Available: available, At: now})
	})
}

// instance is one host in the JSON form of the host list.
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

// list returns an agent's answer as JSON and the entries in it. The caller holds r.mu.
func (r *Discovery) list(balancer int, after int64, full bool) (text []byte, reset bool, entries []model.Entry) {
	generation, reset, entries := r.model.List(balancer, after, full)
	rows := []instance{}
	for _, e := range entries {
		addr := ""
		if e.Host == record.Origin {
			addr = r.environment.Origin.Addr(balancer)
		} else if n := r.environment.Host(e.Host); n != nil {
			addr = n.Addr(balancer)
		}
		row := instance{InstanceID: e.Host, HostPort: addr, Zone: e.Zone, MachineType: e.MachineType, Cell: e.Cell, Lifecycle: string(e.Lifecycle), Weight: e.Weight}
		if e.StartedAt > 0 {
			row.StartedAtMs = r.environment.UnixMilli(e.StartedAt)
		}
		rows = append(rows, row)
	}
	text, _ = json.Marshal(map[string]any{"generation": generation, "reset": reset, "instances": rows})
	return text, reset, entries
}

// FullList returns the full host list as a balancer's agent has it.
func (r *Discovery) FullList(balancer int) json.RawMessage {
	r.mu.Lock()
	defer r.mu.Unlock()
	text, _, _ := r.list(balancer, 0, true)
	return text
}

// maxWatch is the longest time that a watch may wait.
const maxWatch = time.Minute

// ServeHTTP answers with the full host list, or waits for a change if the request is a watch.
func (a *discoveryAgent) ServeHTTP(rw http.ResponseWriter, req *http.Request) {
	if req.URL.Path != "/api/targets" || req.Method != http.MethodGet {
		http.Error(rw, "no such thing here", http.StatusNotFound)
		return
	}
	after, full := int64(0), true
	var timeout <-chan time.Time
	waitEnds := a.discovery.environment.Now()
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
	r, timedOut := a.discovery, false
	for {
		r.mu.Lock()
		silent, changed, stalled := r.model.Silent(a.balancer), a.changed, a.watchesStalled
		if generation, reset, _ := r.model.List(a.balancer, after, full); !silent && (full || timedOut || reset || generation > after) {
			break // with r.mu held
		}
		r.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			timedOut, timeout = true, nil
		case <-stalled:
			r.mu.Lock()
			a.notifiedBy = max(r.environment.Now()+notifiedAfterStall, waitEnds+notifiedAfterWait)
			r.mu.Unlock()
			<-req.Context().Done()
			return
		case <-req.Context().Done():
			return
		}
	}
	a.notifiedBy = 0 // the agent answers again, so changes count as known without the extra time
	text, reset, entries := r.list(a.balancer, after, full)
	listed := map[string]bool{}
	for _, e := range entries {
		listed[e.Host] = true
		r.recordNotice(a.balancer, e.Host, e.Lifecycle == model.Active)
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

// FreeAddr returns an unused loopback address for a balancer to listen on.
func (w *Environment) FreeAddr() (string, error) {
	l, err := w.Listen()
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).String(), nil
}
