package handover

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"streamrail/internal/fleet/explore"
)

// exploredPhase is how far a process has come. The steps between the phases are those of package balancer, in the same order.
type exploredPhase int

const (
	notStarted   exploredPhase = iota
	hasLock                    // holds the start lock
	hasSearched                // has taken over from another process, or found none
	canHandOver                // listens for newer processes
	hasAnnounced               // has told the older process that it takes clients, or published its socket
	serves                     // has released the start lock
	killed
)

// exploredProcess is one process: the real sockets, files and locks, closed as the kernel does when it is killed.
type exploredProcess struct {
	phase    exploredPhase
	lock     *StartLock
	clients  net.Listener
	server   *Server
	socket   os.FileInfo      // of the server
	takesOut *exploredProcess // the older process, until its end is noticed

	mu    sync.Mutex
	older *Peer
	newer *Peer
}

// exploredWorld runs steps of processes in a directory.
type exploredWorld struct {
	variant   exploreVariant
	path      string
	processes [3]*exploredProcess
	failure   string
}

// exploreVariant switches parts of the protocol off.
type exploreVariant struct {
	sharedName  bool // each process takes the common path over, and has no name of its own
	withoutLock bool
}

// exploredStep is a step of one process.
type exploredStep struct {
	process int
	action  exploredAction
}

type exploredAction int

const (
	advance exploredAction = iota // to the next phase
	kill
	notice // the end of the process linked to it
)

func newExploredWorld(variant exploreVariant, dir string) *exploredWorld {
	w := &exploredWorld{variant: variant, path: filepath.Join(dir, "s")}
	for i := range w.processes {
		w.processes[i] = &exploredProcess{}
	}
	return w
}

// steps returns the steps that are possible now.
func (w *exploredWorld) steps() (possible []exploredStep) {
	for i, p := range w.processes {
		if p.phase == killed {
			continue
		}
		if p.phase != notStarted {
			possible = append(possible, exploredStep{i, kill})
		}
		if p.phase != serves && (p.phase != notStarted || w.variant.withoutLock || !w.lockHeld()) {
			possible = append(possible, exploredStep{i, advance})
		}
		if w.linkedProcessEnded(p) {
			possible = append(possible, exploredStep{i, notice})
		}
	}
	return possible
}

func (w *exploredWorld) lockHeld() bool {
	for _, p := range w.processes {
		if p.phase > notStarted && p.phase < serves {
			return true
		}
	}
	return false
}

// successor returns the process that has taken over from p and lives, or nil.
func (w *exploredWorld) successor(p *exploredProcess) *exploredProcess {
	for _, q := range w.processes {
		if q.takesOut == p && q.phase != killed {
			return q
		}
	}
	return nil
}

func (w *exploredWorld) linkedProcessEnded(p *exploredProcess) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.older != nil && p.takesOut.phase == killed || p.newer != nil && w.successor(p) == nil
}

// do runs a step.
func (w *exploredWorld) do(s exploredStep) {
	p := w.processes[s.process]
	switch s.action {
	case kill:
		p.end()
	case notice:
		w.noticeEnd(p)
	case advance:
		w.advance(p)
	}
	w.checkServing()
}

func (w *exploredWorld) advance(p *exploredProcess) {
	switch p.phase {
	case notStarted:
		if !w.variant.withoutLock {
			var err error
			if p.lock, err = LockStart(w.path+".lock", func() bool { return false }); err != nil {
				w.failure = fmt.Sprint("lock: ", err)
			}
		}
		p.phase = hasLock
	case hasLock:
		w.search(p)
	case hasSearched:
		w.serve(p)
	case canHandOver:
		p.mu.Lock()
		if p.older != nil {
			p.older.Send(Message{Kind: Ready})
		} else if err := w.publish(p); err != nil {
			w.failure = fmt.Sprint("publish: ", err)
		}
		p.mu.Unlock()
		p.phase = hasAnnounced
	case hasAnnounced:
		p.lock.Release()
		p.phase = serves
	}
}

// search looks for a process to take over from. While an upgrade is under way the process stays in its phase and tries again later.
func (w *exploredWorld) search(p *exploredProcess) {
	clients, _, peer, err := TakeOver(w.path, func() bool { return false })
	switch {
	case errors.Is(err, ErrUpgradeRunning):
		return
	case errors.Is(err, ErrNoOlderProcess):
		for i, q := range w.processes {
			if q.phase != killed && q.phase >= canHandOver {
				w.failure = fmt.Sprintf("process %d serves and was not found", i)
			}
		}
		if p.clients, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			w.failure = err.Error()
		}
	case err != nil:
		w.failure = fmt.Sprint("search: ", err)
	default:
		p.clients, p.older = clients, peer
		for _, q := range w.processes {
			q.mu.Lock()
			if q != p && q.phase != killed && q.newer != nil && w.successor(q) == nil {
				p.takesOut = q
			}
			q.mu.Unlock()
		}
		go peer.Receive(func(Message) {})
	}
	p.phase = hasSearched
}

func (w *exploredWorld) serve(p *exploredProcess) {
	var err error
	p.server, err = Serve(w.path, p.clients, func(peer *Peer) (State, error) {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.older != nil || p.newer != nil {
			return State{}, ErrUpgradeRunning
		}
		p.newer = peer
		go peer.Receive(func(Message) {})
		return State{}, nil
	})
	if err != nil {
		w.failure = fmt.Sprint("serve: ", err)
		return
	}
	if p.socket, err = os.Lstat(p.server.name); err != nil {
		w.failure = err.Error()
	}
	if w.variant.sharedName {
		os.Rename(p.server.name, w.path)
	}
	p.phase = canHandOver
}

func (w *exploredWorld) publish(p *exploredProcess) error {
	if w.variant.sharedName {
		return nil
	}
	return p.server.Publish()
}

// noticeEnd handles the end of the linked process.
func (w *exploredWorld) noticeEnd(p *exploredProcess) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, peer := range []*Peer{p.older, p.newer} {
		select {
		case <-closedOf(peer):
		case <-time.After(10 * time.Second):
			w.failure = "the end of a process is not noticed"
		}
	}
	p.older, p.newer, p.takesOut = nil, nil, nil
	if p.phase > canHandOver {
		if err := w.publish(p); err != nil {
			w.failure = fmt.Sprint("publish: ", err)
		}
	}
}

// closedOf returns the channel that is closed with the connection to a peer; a closed one without a peer.
func closedOf(p *Peer) <-chan struct{} {
	if p != nil {
		return p.Closed()
	}
	closed := make(chan struct{})
	close(closed)
	return closed
}

// end closes what the process has open, and leaves its names behind.
func (p *exploredProcess) end() {
	p.phase = killed
	if p.server != nil {
		p.server.listener.SetUnlinkOnClose(false)
		p.server.listener.Close()
	}
	if p.clients != nil {
		p.clients.Close()
	}
	p.lock.Release()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, peer := range []*Peer{p.older, p.newer} {
		if peer != nil {
			peer.Close()
		}
	}
}

// checkServing checks that of two processes that can hand over one has taken over from the other.
func (w *exploredWorld) checkServing() {
	for i, p := range w.processes {
		for k, q := range w.processes[:i] {
			if p.phase >= canHandOver && q.phase >= canHandOver && p.phase != killed && q.phase != killed && p.takesOut != q && q.takesOut != p {
				w.failure = fmt.Sprintf("processes %d and %d serve and do not know each other", k, i)
			}
		}
	}
}

// checkFound checks that a further process takes over from the one that serves alone, if there is one and nothing is under way.
func (w *exploredWorld) checkFound() {
	alone := 0
	for _, p := range w.processes {
		if p.phase == serves && p.older == nil && p.newer == nil {
			alone++
		}
		if p.phase != notStarted && p.phase != killed && p.phase != serves || w.linkedProcessEnded(p) {
			return
		}
	}
	if alone == 0 {
		return
	}
	clients, _, peer, err := TakeOver(w.path, func() bool { return false })
	if err != nil {
		w.failure = fmt.Sprint("the process that serves is not found: ", err)
		return
	}
	clients.Close()
	peer.Close()
}

// key describes what later steps depend on.
func (w *exploredWorld) key() string {
	text := ""
	for _, p := range w.processes {
		p.mu.Lock()
		older := -1
		for i, q := range w.processes {
			if p.takesOut == q {
				older = i
			}
		}
		text += fmt.Sprint(p.phase, older, p.older != nil, p.newer != nil, p.server != nil && exists(p.server.name), w.isPublished(p), ";")
		p.mu.Unlock()
	}
	return text + fmt.Sprint(exists(w.path))
}

func exists(path string) bool {
	_, err := os.Lstat(path)
	return err == nil
}

// isPublished reports whether the common path leads to the process's socket.
func (w *exploredWorld) isPublished(p *exploredProcess) bool {
	common, err := os.Lstat(w.path)
	return err == nil && p.socket != nil && os.SameFile(common, p.socket)
}

// trace is a sequence of steps and the state after it. As sockets cannot be cloned, a longer sequence is run from the start.
type trace struct {
	steps    []exploredStep
	possible []exploredStep
	key      string
	failure  string
}

func (tr *trace) run(t *testing.T, variant exploreVariant) {
	dir, err := os.MkdirTemp("", "x")
	if err != nil {
		t.Fatal(err)
	}
	defer os.RemoveAll(dir)
	w := newExploredWorld(variant, dir)
	for _, s := range tr.steps {
		w.do(s)
	}
	tr.possible, tr.key = w.steps(), w.key()
	w.checkFound()
	tr.failure = w.failure
	if w.failure != "" {
		tr.failure = fmt.Sprint(w.failure, ", after ", tr.steps)
	}
	for _, p := range w.processes {
		p.end()
	}
}

// exploreUpgrades runs every sequence of steps of three processes with the real sockets, files and locks.
func exploreUpgrades(t *testing.T, variant exploreVariant, depth int) (states int, failure string) {
	first := &trace{}
	first.run(t, variant)
	return explore.Sequences(first, depth, func(tr *trace) *trace {
		return &trace{steps: append([]exploredStep(nil), tr.steps...)}
	}, func(tr *trace) (steps []func(*trace)) {
		for _, s := range tr.possible {
			steps = append(steps, func(next *trace) {
				next.steps = append(next.steps, s)
				next.run(t, variant)
			})
		}
		return steps
	}, func(tr *trace) string { return tr.key }, func(tr *trace) string { return tr.failure })
}

// exploreDepth is enough for two upgrades, each with a kill and its notice: five steps to serve, thrice, and four more.
const exploreDepth = 19

// Guards against two processes that serve and do not know each other: whichever process is killed between any two steps of up to two
// upgrades, the next one finds the process that serves.
func TestEveryUpgrade(t *testing.T) {
	states, failure := exploreUpgrades(t, exploreVariant{}, exploreDepth)
	t.Logf("%d states", states)
	if failure != "" {
		t.Error(failure)
	}
	for name, variant := range map[string]exploreVariant{"one name for all": {sharedName: true}, "no lock": {withoutLock: true}} {
		if _, failure := exploreUpgrades(t, variant, exploreDepth); failure == "" {
			t.Errorf("%s: no failure found", name)
		} else {
			t.Logf("%s: %s", name, failure)
		}
	}
}

// Guards against a search that asks one process twice, by its own name and by the common path: beside a process that hangs, a start took
// twice as long.
func TestSearchAsksOnce(t *testing.T) {
	clients, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer clients.Close()
	path, asked := filepath.Join(t.TempDir(), "s"), 0
	server, err := Serve(path, clients, func(*Peer) (State, error) {
		asked++
		return State{}, ErrUpgradeRunning
	})
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	if err := server.Publish(); err != nil {
		t.Fatal(err)
	}
	if _, _, _, err := TakeOver(path, func() bool { return false }); !errors.Is(err, ErrUpgradeRunning) {
		t.Errorf("the search ended with %v", err)
	}
	if asked != 1 {
		t.Errorf("the process was asked %d times", asked)
	}
}
