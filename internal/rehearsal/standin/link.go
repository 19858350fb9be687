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

// link is the way from one balancer to one node, with the listener at its end.
type link struct {
	balancer int
	node     string
	addr     *net.TCPAddr
	serve    func(*link, *net.TCPConn)

	mu        sync.Mutex
	listener  *net.TCPListener
	conns     map[*net.TCPConn]struct{}
	delay     time.Duration // one way
	cut       bool          // nothing comes through, nor do connections come up
	filler    net.Conn      // has the one place in the backlog of a cut link
	darkSince time.Duration
	resume    chan struct{} // closed when the cut ends
}

// open listens, at the same address as before if there was one.
func (l *link) open(w *World) (err error) {
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

func (l *link) accept(listener *net.TCPListener) {
	for {
		c, err := listener.AcceptTCP()
		if err != nil {
			l.mu.Lock()
			resume, over := l.resume, l.listener != listener
			l.mu.Unlock()
			if over {
				return
			}
			if resume != nil { // cut: another listener follows
				<-resume
				return
			}
			time.Sleep(time.Millisecond) // a lack of descriptors passes
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

// close ends the listener and resets all connections, as the end of a process does.
func (l *link) close(w *World) {
	l.mend(w, false)
	l.mu.Lock()
	listener := l.listener
	l.listener = nil
	l.mu.Unlock()
	if listener != nil {
		listener.Close()
	}
	l.reset()
}

// reset breaks all connections.
func (l *link) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.SetLinger(0)
		c.Close()
	}
}

// sever makes the link a black hole: what is sent is lost without a word, and connections never come up. A backlog
// of none that is filled makes the system drop what asks for a connection.
func (l *link) sever(w *World) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut || l.listener == nil {
		return
	}
	l.cut, l.resume = true, make(chan struct{})
	l.listener.SetDeadline(time.Unix(1, 0))
	if raw, err := l.listener.SyscallConn(); err == nil {
		raw.Control(func(fd uintptr) { syscall.Listen(int(fd), 0) })
	}
	l.darkSince = w.Now()
	// A backlog of none still has one place. It takes no time to fill unless a balancer was quicker, whose connection
	// is found when the link is mended.
	if c, err := net.DialTimeout("tcp", l.addr.String(), fillWait); err == nil {
		l.filler = c
	}
}

// fillWait is long for a connection on the machine itself, and a lateness that the kit can bear.
const fillWait = 3 * time.Millisecond

// limbo notes what was written to connections that came up in the backlog of a cut link. Under l.mu.
func (l *link) limbo(w *World, dark record.Dark) {
	l.listener.SetDeadline(time.Now().Add(fillWait))
	for {
		c, err := l.listener.AcceptTCP()
		if err != nil {
			return
		}
		c.SetReadDeadline(time.Now().Add(fillWait))
		buf := make([]byte, 4*memcache.MaxLineBytes)
		n, _ := io.ReadFull(c, buf)
		c.SetLinger(0)
		c.Close()
		for line := range bytes.Lines(buf[:n]) {
			if cmd, fault := memcache.Parse(bytes.TrimRight(line, "\r\n")); fault == nil && !cmd.Noop {
				s := record.Attempt{Call: string(cmd.ID), Balancer: l.balancer, Server: l.node, Began: dark.From, Came: dark.From, Ended: dark.To,
					Write: cmd.Write, Swallowed: true, Untimed: true}
				w.Rec.Add(func() { w.Rec.Attempts = append(w.Rec.Attempts, s) })
			}
		}
	}
}

// mend ends the cut; reset tells that what was open breaks, as a machine that comes back makes it.
func (l *link) mend(w *World, reset bool) error {
	if reset {
		l.reset()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.cut {
		return nil
	}
	l.cut = false
	dark := record.Dark{Balancer: l.balancer, From: l.darkSince, To: w.Now()}
	w.Rec.Add(func() { w.Rec.Darks = append(w.Rec.Darks, dark) })
	if l.filler != nil {
		l.filler.Close()
		l.filler = nil
	}
	l.limbo(w, dark)
	// What came up in the backlog meanwhile came up for nobody: a listener of its own resets it.
	old := l.listener
	old.Close()
	close(l.resume)
	l.resume = nil
	var err error
	if l.listener, err = listen(l.addr); err != nil {
		return fmt.Errorf("link to %v: %w", l.addr, err)
	}
	go l.accept(l.listener)
	return nil
}

// lost tells whether bytes are lost at present.
func (l *link) lost() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut
}

// through waits while the link is cut; false where a connection over it has ended before that.
func (l *link) through(gone <-chan struct{}) bool {
	for {
		l.mu.Lock()
		resume := l.resume
		l.mu.Unlock()
		if resume == nil {
			return true
		}
		select {
		case <-resume:
		case <-gone:
			return false
		}
	}
}

// takes is how long bytes take one way at present.
func (l *link) takes() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.delay
}

func (l *link) setDelay(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = d
}
