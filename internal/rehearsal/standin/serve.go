package standin

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"streamrail/internal/memcache"
	"streamrail/internal/rehearsal/model"
	"streamrail/internal/rehearsal/record"
)

// attempt is one command of a balancer at a node.
type attempt struct {
	id, key, mark string
	write         bool
	work          time.Duration
	began, came   time.Duration
	told          time.Duration
	unexpected    string
	ran, cold     bool // under Node.mu
	swallowed     bool

	once sync.Once
	done chan answer // holds one
}

// answer is what a node has to say to an attempt.
type answer struct {
	value                             []byte
	receipt, hit                      bool
	miss, busy, failed, lost, invalid bool
	text                              string // of a command that is no attempt
}

func (s *attempt) finish(a answer) { s.once.Do(func() { s.done <- a }) }

// mostBegun is how many commands of a connection are begun at a time; more are read when those before are answered.
const mostBegun = 32

// serve takes the commands of one connection, begins each as it comes and answers them in order.
func (n *Node) serve(l *link, conn *net.TCPConn) {
	now := n.w.Now()
	n.mu.Lock()
	n.open++
	tooMany := n.open > n.Group.Connections
	up := n.m != nil
	if up && n.Group.ConnectWork > 0 {
		n.advance(now)
		n.m.Offer(n.w.Now(), model.Job{Work: n.Group.ConnectWork.Duration()})
	}
	n.mu.Unlock()
	defer func() { n.mu.Lock(); n.open--; n.mu.Unlock() }()
	n.w.Rec.Add(func() {
		n.w.Rec.Openings = append(n.w.Rec.Openings, record.Opening{Server: n.ID, Balancer: l.balancer, At: now, Refused: tooMany})
	})
	queue := make(chan *attempt, mostBegun)
	var begun atomic.Int32
	gone := make(chan struct{}) // the balancer's end of the connection is over
	var answered sync.WaitGroup
	answered.Add(1)
	go func() {
		defer answered.Done()
		n.answers(l, conn, queue, gone, &begun)
	}()
	in := bufio.NewReaderSize(conn, memcache.MaxLineBytes)
	for {
		conn.SetReadDeadline(time.Now().Add(n.Group.Idle.Duration()))
		if _, err := in.Peek(1); errors.Is(err, os.ErrDeadlineExceeded) && begun.Load() > 0 {
			continue
		} else if err != nil {
			break
		}
		s, err := n.read(l, conn, in)
		if err != nil {
			break
		}
		switch {
		case l.lost():
			s.swallowed = true
		case s.unexpected != "" && s.id == "":
			s.finish(answer{text: "ERROR\r\n"})
		case tooMany:
			s.finish(answer{busy: true})
		case s.id == "": // a probe
			n.probe(s)
		default:
			after(l.takes(), func() { n.offer(s) })
		}
		begun.Add(1)
		queue <- s
	}
	close(gone)
	close(queue)
	answered.Wait()
}

// waitLeast is the shortest way that is waited for: a timer misses by more than that.
const waitLeast = 20 * time.Microsecond

// after does something when a time has passed.
func after(d time.Duration, do func()) {
	if d < waitLeast {
		do()
		return
	}
	time.AfterFunc(d, do)
}

// read takes the next command.
func (n *Node) read(l *link, conn *net.TCPConn, in *bufio.Reader) (*attempt, error) {
	s := &attempt{began: n.w.Now(), done: make(chan answer, 1)}
	conn.SetReadDeadline(time.Now().Add(10 * time.Second)) // for a command that has begun
	line, err := in.ReadSlice('\n')
	if err != nil {
		return nil, err
	}
	line = bytes.TrimRight(line, "\r\n")
	s.came = n.w.Now()
	if string(line) == "stats load" {
		s.key = "stats"
		return s, nil
	}
	cmd, fault := memcache.Parse(bytes.Clone(line))
	if fault != nil {
		s.unexpected = fmt.Sprintf("%.80q (%s)", line, fault.Text)
		n.note(l, s, answer{invalid: true}, true)
		return s, nil
	}
	if cmd.Noop {
		return s, nil
	}
	s.id, s.key, s.mark, s.write, s.told = string(cmd.ID), string(cmd.Key), string(cmd.DedupToken), cmd.Write, cmd.Timeout
	if cmd.Write {
		if _, err = in.Discard(cmd.Length + 2); err != nil {
			return nil, err
		}
		s.came = n.w.Now()
	}
	if !n.w.expected(s.id, s.key) {
		s.unexpected = fmt.Sprintf("the id %q with the key %q", s.id, s.key)
	}
	s.work = n.w.work(s.id)
	return s, nil
}

// probe answers what is asked of the node itself.
func (n *Node) probe(s *attempt) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.m == nil {
		s.finish(answer{lost: true})
		return
	}
	n.advance(n.w.Now())
	n.m.Offer(n.w.Now(), model.Job{Work: n.Group.ProbeWork.Duration()})
	text := memcache.NoopAnswer
	if s.key == "stats" {
		l := n.m.Load()
		text = fmt.Sprintf("STAT inflight %d\r\nSTAT queue %d\r\nSTAT util %.2f\r\nEND\r\n", l.InFlight, l.Queue, l.Util)
	}
	s.finish(answer{text: text})
}

// answers writes what comes of the attempts of a connection, in their order.
func (n *Node) answers(l *link, conn *net.TCPConn, queue chan *attempt, gone chan struct{}, begun *atomic.Int32) {
	broken := false
	for s := range queue {
		broken = n.answer(l, conn, s, gone, broken)
		begun.Add(-1)
	}
}

// answer waits for what comes of an attempt and writes it; it tells whether the connection is broken then.
func (n *Node) answer(l *link, conn *net.TCPConn, s *attempt, gone chan struct{}, broken bool) bool {
	var a answer
	select {
	case a = <-s.done:
	case <-gone:
		select {
		case a = <-s.done: // it was ready when the connection ended
		default:
			n.leave(l, s, nil)
			return true
		}
	}
	// Over a cut link nothing is heard, nor seen to end, until the balancer gives up or the link is whole again.
	if broken || !l.through(gone) || s.swallowed {
		n.leave(l, s, &a)
		return true
	}
	if d := l.takes(); d >= waitLeast {
		time.Sleep(d)
	}
	ended := n.w.Now()
	if a.text != "" {
		_, err := io.WriteString(conn, a.text)
		return err != nil
	}
	whole, keep := n.write(conn, s, a)
	if !keep {
		conn.SetLinger(0)
		conn.Close()
	}
	n.settle(l, s, a, whole, ended)
	return !keep
}

// leave hears that the balancer gave an attempt up: it may still run, and is noted as what it became when that is known.
func (n *Node) leave(l *link, s *attempt, a *answer) {
	ended := n.w.Now()
	if a != nil {
		n.settle(l, s, *a, false, ended)
		return
	}
	n.mu.Lock()
	dropped := n.m != nil && n.m.GiveUp(s.id)
	n.mu.Unlock()
	if dropped {
		s.finish(answer{busy: true})
	}
	if s.swallowed {
		s.finish(answer{lost: true})
	}
	go func() { n.settle(l, s, <-s.done, false, ended) }() // the node does it, or ends
}

// settle notes an attempt that has ended.
func (n *Node) settle(l *link, s *attempt, a answer, whole bool, ended time.Duration) {
	n.mu.Lock()
	delete(n.attempts, s)
	n.mu.Unlock()
	n.noteAt(l, s, a, whole, ended)
}

func (n *Node) note(l *link, s *attempt, a answer, whole bool) { n.noteAt(l, s, a, whole, n.w.Now()) }

func (n *Node) noteAt(l *link, s *attempt, a answer, whole bool, ended time.Duration) {
	n.mu.Lock()
	r := record.Attempt{Call: s.id, Balancer: l.balancer, Server: n.ID, Began: s.began, Came: s.came, Told: s.told, Ended: ended, Answered: whole,
		Ran: s.ran, Cold: s.cold, Work: s.work, Write: s.write, Unexpected: s.unexpected, Swallowed: s.swallowed}
	n.mu.Unlock()
	switch {
	case !whole || a.failed || a.lost || a.invalid:
	case a.busy:
		r.Proof = record.NeverRan
	case a.miss:
		r.Proof = record.Missed
	default:
		r.Proof = record.WasServed
	}
	n.w.Rec.Add(func() { n.w.Rec.Attempts = append(n.w.Rec.Attempts, r) })
}

// write sends an answer as the node's faults let it; whole tells that the balancer can read it as what it is, keep that
// the connection goes on.
func (n *Node) write(conn *net.TCPConn, s *attempt, a answer) (whole, keep bool) {
	n.mu.Lock()
	spoilt, broken := n.spoil > 0 && n.chance.Float64() < n.spoil, n.reset > 0 && n.chance.Float64() < n.reset
	way := n.chance.IntN(len(spoilings))
	report := ""
	if n.w.Day.Fleet.Reports && n.m != nil {
		load := n.m.Load()
		report = fmt.Sprintf(" Linflight=%d,queue=%d,util=%.2f", load.InFlight, load.Queue, load.Util)
	}
	n.mu.Unlock()
	if a.lost {
		return false, false
	}
	var text []byte
	switch {
	case a.busy:
		text = []byte("SERVER_ERROR busy\r\n")
	case a.failed || a.invalid:
		text = []byte("SERVER_ERROR failed\r\n")
	case a.miss:
		text = fmt.Appendf(nil, "EN O%s\r\n", s.id)
	case a.receipt:
		text = fmt.Appendf(nil, "HD O%s cr-%s%s\r\n", s.id, s.id, report)
	default:
		mark := "h0"
		if a.hit {
			mark = "h1"
		}
		text = fmt.Appendf(nil, "VA %d O%s %s%s\r\n%s\r\n", len(a.value), s.id, mark, report, a.value)
	}
	if broken {
		conn.Write(text[:len(text)/2])
		return false, false
	}
	if spoilt {
		text = spoilings[way](text)
	}
	_, err := conn.Write(text)
	return !spoilt && err == nil, err == nil
}

// spoilings are ways to spoil an answer so that nothing it says holds.
var spoilings = []func(text []byte) []byte{
	func([]byte) []byte { return []byte("\x00\xff\x13 noise\r\n") },
	func(text []byte) []byte { return bytes.Replace(text, []byte(" O"), []byte(" Ox"), 1) },
	func([]byte) []byte { return []byte("VA 3000000000 O1\r\n") },
	func([]byte) []byte { return []byte("VA -5 O1\r\nabc\r\n") },
	func([]byte) []byte { return bytes.Repeat([]byte("x"), 3*memcache.MaxLineBytes) },
}
