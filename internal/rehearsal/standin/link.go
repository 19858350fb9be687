package standin

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"streamrail/internal/memcache"
	"streamrail/internal/rehearsal/record"
)

// link is the network path from one balancer to one cache host, including the host's listener for that balancer.
type link struct {
	balancer int
	hostID   string
	addr     *net.TCPAddr
	serve    func(*link, *net.TCPConn)

	mu            sync.Mutex
	listener      *net.TCPListener
	conns         map[*net.TCPConn]struct{}
	delay         time.Duration // one way
	cut           bool          // no data arrives and no connection can be established
	backlogFiller net.Conn      // occupies the single backlog slot of a cut link
	cutSince      time.Duration
	restored      chan struct{} // closed when the cut ends
}

// open starts listening, at the previous address if there was one.
func (l *link) open(w *Environment) (err error) {
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
	go l.accept(l.listener)
	return nil
}

// accept takes connections and serves each in its own goroutine until the listener is replaced or closed.
func (l *link) accept(listener *net.TCPListener) {
	for {
		c, err := listener.AcceptTCP()
		if err != nil {
			l.mu.Lock()
			restored, closed := l.restored, l.listener != listener
			l.mu.Unlock()
			if closed {
				return
			}
			if restored != nil { // the link is cut; restore opens another listener
				<-restored
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
	l.restore(w, false)
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
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut || l.listener == nil {
		return
	}
	l.cut, l.restored = true, make(chan struct{})
	l.listener.SetDeadline(time.Unix(1, 0))
	if raw, err := l.listener.SyscallConn(); err == nil {
		raw.Control(func(fd uintptr) { syscall.Listen(int(fd), 0) })
	}
	l.cutSince = w.Now()
	// A backlog of zero still has one slot. Filling it takes no time unless a balancer's connection took it first;
	// restore finds and records such a connection.
	if c, err := net.DialTimeout("tcp", l.addr.String(), backlogTimeout); err == nil {
		l.backlogFiller = c
	}
}

// backlogTimeout is ample for a connection within one machine and short enough not to distort the rehearsal's timing.
const backlogTimeout = 3 * time.Millisecond

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
	if l.backlogFiller != nil {
		l.backlogFiller.Close()
		l.backlogFiller = nil
	}
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
	go l.accept(l.listener)
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
