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
	w      *World
	agents []*registerAgent

	mu sync.Mutex
	m  *model.Register
}

type registerAgent struct {
	r        *Register
	balancer int
	addr     string
	server   *http.Server
	news     chan struct{}   // closed at the next change; under Register.mu
	broken   chan struct{}   // closed when all open watches fall silent; under Register.mu
	behind   time.Duration   // when what a watch misses that has fallen silent counts as told; under Register.mu
	up       map[string]bool // what its balancer was told wants work; under Register.mu
}

// AddRegister makes the register.
func (w *World) AddRegister() error {
	late := [2]time.Duration{w.Day.Register.Late[0].Duration(), w.Day.Register.Late[1].Duration()}
	r := &Register{w: w, m: model.NewRegister(w.Day.Fleet.Balancers, late, model.Stream(w.Day.Seed, "register"))}
	for b := range w.Day.Fleet.Balancers {
		a := &registerAgent{r: r, balancer: b, news: make(chan struct{}), broken: make(chan struct{}), up: map[string]bool{}}
		if err := a.listen(); err != nil {
			return err
		}
		r.agents = append(r.agents, a)
	}
	w.Register = r
	return nil
}

func (a *registerAgent) listen() error {
	l, err := a.r.w.Listen()
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

// oldAddress is how long an address that was left still answers on open connections.
const oldAddress = 1500 * time.Millisecond

// Move gives a balancer's agent another address. The old one takes no new connection.
func (r *Register) Move(balancer int) error {
	a := r.agents[balancer]
	old := a.server
	if err := a.listen(); err != nil {
		return err
	}
	time.AfterFunc(oldAddress, func() { old.Close() })
	return nil
}

// What an agent has counts as told to its balancer, whether or not it asked. But what a watch misses that has fallen silent
// counts so long after that, and for a call that may wait so long after its wait, if that is later.
const (
	toldAfterSilence = 6 * time.Second
	toldAfterWait    = 2 * time.Second
)

// Set changes a node's line; each agent hears of it when the model says.
func (r *Register) Set(e model.Entry) {
	now := r.w.Now()
	r.mu.Lock()
	times := r.m.Set(now, e)
	r.mu.Unlock()
	r.advance()
	for b, at := range times {
		time.AfterFunc(max(0, at-r.w.Now()), r.advance)
		if e.Condition != model.Active {
			time.AfterFunc(max(0, at-r.w.Now()), func() { r.force(b, e.Node) })
		}
	}
}

func (r *Register) advance() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, b := range r.m.Advance(r.w.Now()) {
		r.stir(b)
	}
}

// stir wakes who waits at an agent. Under r.mu.
func (r *Register) stir(balancer int) {
	a := r.agents[balancer]
	close(a.news)
	a.news = make(chan struct{})
}

// force counts a change as told that the balancer never asked for.
func (r *Register) force(balancer int, node string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.m.Silent(balancer) { // told at its return
		return
	}
	if wait := r.agents[balancer].behind - r.w.Now(); wait > 0 {
		time.AfterFunc(wait, func() { r.force(balancer, node) })
		return
	}
	_, _, entries := r.m.List(balancer, 0, true)
	for _, e := range entries {
		if e.Node == node && e.Condition == model.Active {
			return // it is back
		}
	}
	r.told(balancer, node, false)
}

// Silence makes the agent of a balancer say nothing, or ends that.
func (r *Register) Silence(balancer int, on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.m.Silence(balancer, on)
	r.stir(balancer)
	if a := r.agents[balancer]; !on {
		for node, up := range a.up {
			if up { // what is not up any more counts as told at the return
				time.AfterFunc(0, func() { r.force(balancer, node) })
			}
		}
	}
}

// BreakWatches has all watches that are open at a balancer's agent fall silent. One that is opened anew works.
func (r *Register) BreakWatches(balancer int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.agents[balancer]
	close(a.broken)
	a.broken = make(chan struct{})
}

// Rewind makes the versions of a balancer's agent start over.
func (r *Register) Rewind(balancer int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.m.Rewind(balancer)
	r.stir(balancer)
}

// Restarted hears that a balancer starts from nothing.
func (r *Register) Restarted(balancer int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.agents[balancer].up)
}

// told notes what a balancer hears of a node. Under r.mu.
func (r *Register) told(balancer int, node string, up bool) {
	a := r.agents[balancer]
	if was, known := a.up[node]; known && was == up || !known && !up {
		return
	}
	a.up[node] = up
	now := r.w.Now()
	r.w.Rec.Add(func() {
		r.w.Rec.Tolds = append(r.w.Rec.Tolds, record.Told{Balancer: balancer, Node: node, Up: up, At: now})
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
func (r *Register) list(balancer int, after int64, whole bool) (text []byte, reset bool, entries []model.Entry) {
	generation, reset, entries := r.m.List(balancer, after, whole)
	rows := []instance{}
	for _, e := range entries {
		addr := ""
		if e.Node == record.Gateway {
			addr = r.w.Gateway.Addr(balancer)
		} else if n := r.w.Node(e.Node); n != nil {
			addr = n.Addr(balancer)
		}
		row := instance{InstanceID: e.Node, HostPort: addr, Zone: e.Zone, MachineType: e.Kind, Cell: e.Cell, Lifecycle: string(e.Condition), Weight: e.Weight}
		if e.Born > 0 {
			row.StartedAtMs = r.w.Unix(e.Born)
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

// longestWatch is the longest that a watch may wait.
const longestWatch = time.Minute

// ServeHTTP answers the list, or waits for a change.
func (a *registerAgent) ServeHTTP(rw http.ResponseWriter, req *http.Request) {
	if req.URL.Path != "/api/targets" || req.Method != http.MethodGet {
		http.Error(rw, "no such thing here", http.StatusNotFound)
		return
	}
	after, whole := int64(0), true
	var until <-chan time.Time
	ends := a.r.w.Now()
	if s := req.URL.Query().Get("after"); s != "" {
		n, err := strconv.ParseInt(s, 10, 64)
		ms, err2 := strconv.ParseInt(req.URL.Query().Get("wait_ms"), 10, 64)
		if err != nil || err2 != nil || ms < 0 {
			http.Error(rw, "after and wait_ms are numbers", http.StatusBadRequest)
			return
		}
		after, whole = n, false
		may := min(time.Duration(ms)*time.Millisecond, longestWatch)
		t := time.NewTimer(may)
		ends += may
		defer t.Stop()
		until = t.C
	}
	r, over := a.r, false
	for {
		r.mu.Lock()
		silent, news, broken := r.m.Silent(a.balancer), a.news, a.broken
		if generation, reset, _ := r.m.List(a.balancer, after, whole); !silent && (whole || over || reset || generation > after) {
			break // with the lock
		}
		r.mu.Unlock()
		select {
		case <-news:
		case <-until:
			over, until = true, nil
		case <-broken:
			r.mu.Lock()
			a.behind = max(r.w.Now()+toldAfterSilence, ends+toldAfterWait)
			r.mu.Unlock()
			<-req.Context().Done()
			return
		case <-req.Context().Done():
			return
		}
	}
	a.behind = 0 // from now on it is told as all are
	text, reset, entries := r.list(a.balancer, after, whole)
	named := map[string]bool{}
	for _, e := range entries {
		named[e.Node] = true
		r.told(a.balancer, e.Node, e.Condition == model.Active)
	}
	if reset {
		for node, up := range a.up {
			if up && !named[node] {
				r.told(a.balancer, node, false)
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
