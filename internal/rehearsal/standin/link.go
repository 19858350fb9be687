package standin

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"streamrail/internal/memcache"
	"streamrail/internal/rehearsal/record"
)

// link is the network path from one balancer to one cache host, including the host's listener for that balancer.
type link struct {
	balancer int
	hostID   string
	addr     *net.TCPAddr
	serve    func(*link, *net.TCPConn)

	// changing is held while the link is opened, closed, cut or restored. It is taken before mu.
	changing sync.Mutex

	mu          sync.Mutex
	listener    *net.TCPListener
	acceptEnded chan struct{} // closed when the goroutine that accepts at the listener has ended
	conns       map[*net.TCPConn]struct{}
	delay       time.Duration // one way
	cut         bool          // no data arrives and no connection can be established
	fillers     []net.Conn    // occupy the single backlog slot of a cut link
	cutSince    time.Duration
	restored    chan struct{} // closed when the cut ends
}

// open starts listening, at the previous address if there was one.
func (l *link) open(w *Environment) (err error) {
	l.changing.Lock()
	defer l.changing.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listener != nil {
		return nil
	}
	if l.addr == nil {
		l.listener, err = w.Listen()
	} else {
		l.listener, err = listen(l.addr)
	}
	if err != nil {
		return err
	}
	l.addr, _ = l.listener.Addr().(*net.TCPAddr)
	l.conns, l.cut = map[*net.TCPConn]struct{}{}, false
	l.startAccepting()
	return nil
}

// startAccepting starts the goroutine that accepts at the current listener. The caller holds l.mu.
func (l *link) startAccepting() {
	listener, ended := l.listener, make(chan struct{})
	l.acceptEnded = ended
	go func() {
		defer close(ended)
		l.accept(listener)
	}()
}

// accept takes connections and serves each in its own goroutine until the link is cut or the listener is closed.
func (l *link) accept(listener *net.TCPListener) {
	for {
		c, err := listener.AcceptTCP()
		if err != nil {
			l.mu.Lock()
			ended := l.cut || l.listener != listener
			l.mu.Unlock()
			if ended {
				return
			}
			time.Sleep(time.Millisecond) // running out of file descriptors is temporary
			continue
		}
		l.mu.Lock()
		if l.listener != listener {
			l.mu.Unlock()
			c.Close()
			return
		}
		l.conns[c] = struct{}{}
		l.mu.Unlock()
		go func() {
			l.serve(l, c)
			c.Close()
			l.mu.Lock()
			delete(l.conns, c)
			l.mu.Unlock()
		}()
	}
}

// close closes the listener and resets all connections, as happens when a process ends.
func (l *link) close(w *Environment) {
	l.changing.Lock()
	defer l.changing.Unlock()
	l.endCut(w, false)
	l.mu.Lock()
	listener := l.listener
	l.listener = nil
	l.mu.Unlock()
	if listener != nil {
		listener.Close()
	}
	l.resetConnections()
}

// resetConnections resets all open connections.
func (l *link) resetConnections() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.SetLinger(0)
		c.Close()
	}
}

// blackhole cuts the link: data sent over it is lost silently and no connection can be established. With a backlog of
// zero whose single slot is occupied, the kernel drops connection requests.
func (l *link) blackhole(w *Environment) {
	l.changing.Lock()
	defer l.changing.Unlock()
	if !l.beginCut(w) {
		return
	}
	<-l.acceptEnded // until then it may still take the connection that fills the backlog
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fillBacklog()
}

// fillBacklog occupies the slot that a backlog of zero still has, unless a balancer's connection is in it; restore finds and
// records such a connection. The caller holds l.mu.
func (l *link) fillBacklog() {
	for start := time.Now(); !l.backlogFull() && time.Since(start) < fillTimeout; {
		if c, err := net.DialTimeout("tcp", l.addr.String(), backlogTimeout); err == nil {
			l.fillers = append(l.fillers, c)
		}
	}
}

// backlogFull reports whether the kernel drops connection requests because the backlog is full. The caller holds l.mu.
func (l *link) backlogFull() (full bool) {
	raw, err := l.listener.SyscallConn()
	if err != nil {
		return false
	}
	raw.Control(func(fd uintptr) {
		// Of a listening socket the kernel reports the length of the backlog as Unacked and its limit as Sacked.
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		full = err == nil && info.Unacked > info.Sacked
	})
	return full
}

// beginCut stops the arrival of data and the accepting of connections. It returns false if the link is cut or closed. The
// caller holds l.changing.
func (l *link) beginCut(w *Environment) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut || l.listener == nil {
		return false
	}
	l.cut, l.restored = true, make(chan struct{})
	if raw, err := l.listener.SyscallConn(); err == nil {
		raw.Control(func(fd uintptr) { syscall.Listen(int(fd), 0) })
	}
	l.listener.SetDeadline(time.Unix(1, 0))
	l.cutSince = w.Now()
	return true
}

// backlogTimeout is ample for a connection within one machine and short enough not to distort the rehearsal's timing.
const backlogTimeout = 3 * time.Millisecond

// fillTimeout ends the filling of a backlog that the kernel does not report as full. It only matters if something is wrong.
const fillTimeout = time.Second

// recordBacklog records the commands written to connections that were established in the backlog of a cut link. The
// caller holds l.mu.
func (l *link) recordBacklog(w *Environment, outage record.ConnectOutage) {
	l.listener.SetDeadline(time.Now().Add(backlogTimeout))
	for {
		c, err := l.listener.AcceptTCP()
		if err != nil {
			return
		}
		c.SetReadDeadline(time.Now().Add(backlogTimeout))
		buf := make([]byte, 4*memcache.MaxLineBytes)
		n, _ := io.ReadFull(c, buf)
		c.SetLinger(0)
		c.Close()
		for line := range bytes.Lines(buf[:n]) {
			if cmd, fault := memcache.Parse(bytes.TrimRight(line, "\r\n")); fault == nil && !cmd.Noop {
				lost := record.Attempt{RequestID: string(cmd.ID), Balancer: l.balancer, Server: l.hostID, FirstByteAt: outage.From, ArrivedAt: outage.From, Ended: outage.To,
					Write: cmd.Write, LostOnLink: true, UnknownTime: true}
				w.Record.Add(func() { w.Record.Attempts = append(w.Record.Attempts, lost) })
			}
		}
	}
}

// restore ends the cut. With resetConns, open connections are reset, as by a machine that has restarted.
func (l *link) restore(w *Environment, resetConns bool) error {
	l.changing.Lock()
	defer l.changing.Unlock()
	return l.endCut(w, resetConns)
}

// endCut does the work of restore. The caller holds l.changing.
func (l *link) endCut(w *Environment, resetConns bool) error {
	if resetConns {
		l.resetConnections()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.cut {
		return nil
	}
	l.cut = false
	outage := record.ConnectOutage{Balancer: l.balancer, From: l.cutSince, To: w.Now()}
	w.Record.Add(func() { w.Record.ConnectOutages = append(w.Record.ConnectOutages, outage) })
	for _, c := range l.fillers {
		c.Close()
	}
	l.fillers = nil
	l.recordBacklog(w, outage)
	// Closing the old listener resets connections that were established in its backlog and never accepted.
	old := l.listener
	old.Close()
	close(l.restored)
	l.restored = nil
	var err error
	if l.listener, err = listen(l.addr); err != nil {
		return fmt.Errorf("link to %v: %w", l.addr, err)
	}
	l.startAccepting()
	return nil
}

// isCut reports whether data sent over the link is currently lost.
func (l *link) isCut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut
}

// waitRestored waits while the link is cut. It returns false if closed, the channel of a connection, is closed first.
func (l *link) waitRestored(closed <-chan struct{}) bool {
	for {
		l.mu.Lock()
		restored := l.restored
		l.mu.Unlock()
		if restored == nil {
			return true
		}
		select {
		case <-restored:
		case <-closed:
			return false
		}
	}
}

// oneWayDelay returns the current one-way delay of the link.
func (l *link) oneWayDelay() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.delay
}

func (l *link) setDelay(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = d
}
