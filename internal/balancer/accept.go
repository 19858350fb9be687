package balancer

import (
	"errors"
	"net"
	"sync"
	"time"
)

// clients are the connections that clients hold.
type clients struct {
	mu   sync.Mutex
	all  map[*client]struct{}
	most int // are served
	open int // are accepted: some more, so that each gets a prompt answer instead of silence
	shut bool
	none chan struct{} // closed once the listener is closed and all have left
	left chan struct{} // one has left
}

func newClients(most, open int) *clients {
	return &clients{all: map[*client]struct{}{}, most: most, open: open, none: make(chan struct{}), left: make(chan struct{}, 1)}
}

// idleLeast is how long a connection that has carried an API call stands idle before it may make room, as the
// operators allow it: one that was answered just now often has its next command on the way. One that has carried
// none yet was opened for a command that follows at once; after silentLeast it is taken for one that says nothing.
const (
	idleLeast   = 2 * time.Second
	silentLeast = 100 * time.Millisecond
)

// limit sets the bounds anew. What is open beyond them makes room as more come.
func (cs *clients) limit(most, open int) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.most, cs.open = most, open
}

// full tells that no more are accepted for now.
func (cs *clients) full() bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return len(cs.all) >= cs.open
}

// enter counts a connection in.
func (cs *clients) enter(c *client) {
	cs.mu.Lock()
	cs.all[c] = struct{}{}
	cs.mu.Unlock()
	cs.room()
}

// room tells whether all that are open may be served. Over the limit one makes room: of those that have carried
// no API call yet, which may be silent or talk nonsense for good, the oldest, else the one that is idle longest.
// Where all are in use what comes is turned away for now.
func (cs *clients) room() bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if len(cs.all) <= cs.most {
		return true
	}
	var leaves, idle *client
	now := time.Now()
	silentSince, idleSince := now.Add(-silentLeast).UnixNano(), now.Add(-idleLeast).UnixNano()
	for o := range cs.all {
		at := o.idleSince.Load()
		switch {
		case at == 0:
		case !o.proven.Load() && at < silentSince:
			leaves, silentSince = o, at
		case o.proven.Load() && at < idleSince:
			idle, idleSince = o, at
		}
	}
	if leaves == nil {
		leaves = idle
	}
	if leaves == nil {
		return false
	}
	leaves.idleSince.Store(0) // none is told twice
	leaves.outOfRoom.Store(true)
	leaves.wake()
	return true
}

func (cs *clients) leave(c *client) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	delete(cs.all, c)
	select {
	case cs.left <- struct{}{}:
	default:
	}
	cs.tell()
}

// close says that no more will enter.
func (cs *clients) close() {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.shut = true
	cs.tell()
}

func (cs *clients) tell() {
	if cs.shut && len(cs.all) == 0 {
		close(cs.none)
	}
}

func (cs *clients) count() int {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return len(cs.all)
}

// endIdle wakes the readers of all connections: those between API calls close. One that has carried none yet
// was opened for one that is on its way, and is given a moment.
func (cs *clients) endIdle() {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for c := range cs.all {
		if c.used.Load() {
			c.wake()
		} else {
			c.net.SetReadDeadline(time.Now().Add(fresh))
		}
	}
}

// accept takes connections until the listener closes. A lack of descriptors passes: it is waited out.
func (b *Balancer) accept(listener net.Listener) {
	defer b.clients.close()
	wait := time.Millisecond
	for {
		for b.clients.full() {
			select {
			case <-b.clients.left:
			case <-time.After(20 * time.Millisecond):
				b.clients.room() // for one of those that wait to be taken
			}
		}
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			b.log.Warn().Err(err).Msg("accept")
			time.Sleep(wait)
			wait = min(2*wait, 100*time.Millisecond)
			continue
		}
		wait = time.Millisecond
		c := newClient(conn)
		b.clients.enter(c)
		go b.serve(c)
	}
}
