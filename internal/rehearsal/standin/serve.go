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
	id, key, mark         string
	write                 bool
	work                  time.Duration
	startedAt, receivedAt time.Duration
	timeLeft              time.Duration
	unexpected            string
	ran, cold             bool // under Node.mu
	lostOnLink            bool

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

func (att *attempt) finish(a answer) { att.once.Do(func() { att.done <- a }) }

// maxPending is how many commands of a connection are begun at a time; more are read when those before are answered.
const maxPending = 32

// serve takes the commands of one connection, begins each as it comes and answers them in order.
func (n *Node) serve(l *link, conn *net.TCPConn) {
	now := n.world.Now()
	n.mu.Lock()
	n.openConns++
	tooMany := n.openConns > n.Group.Connections
	up := n.model != nil
	if up && n.Group.ConnectWork > 0 {
		n.advance(now)
		n.model.Offer(n.world.Now(), model.Job{Work: n.Group.ConnectWork.D()})
	}
	n.mu.Unlock()
	defer func() { n.mu.Lock(); n.openConns--; n.mu.Unlock() }()
	n.world.Rec.Add(func() {
		n.world.Rec.Openings = append(n.world.Rec.Openings, record.Opening{Server: n.ID, Balancer: l.balancer, At: now, Refused: tooMany})
	})
	queue := make(chan *attempt, maxPending)
	var pending atomic.Int32
	closed := make(chan struct{}) // the balancer's end of the connection is over
	var answered sync.WaitGroup
	answered.Add(1)
	go func() {
		defer answered.Done()
		n.writeAnswers(l, conn, queue, closed, &pending)
	}()
	in := bufio.NewReaderSize(conn, memcache.MostLine)
	for {
		conn.SetReadDeadline(time.Now().Add(n.Group.Idle.D()))
		if _, err := in.Peek(1); errors.Is(err, os.ErrDeadlineExceeded) && pending.Load() > 0 {
			continue
		} else if err != nil {
			break
		}
		att, err := n.read(l, conn, in)
		if err != nil {
			break
		}
		switch {
		case l.isCut():
			att.lostOnLink = true
		case att.unexpected != "" && att.id == "":
			att.finish(answer{text: "ERROR\r\n"})
		case tooMany:
			att.finish(answer{busy: true})
		case att.id == "": // a probe
			n.answerProbe(att)
		default:
			afterDelay(l.oneWayDelay(), func() { n.submit(att) })
		}
		pending.Add(1)
		queue <- att
	}
	close(closed)
	close(queue)
	answered.Wait()
}

// minDelay is the shortest way that is waited for: a timer misses by more than that.
const minDelay = 20 * time.Microsecond

// afterDelay does something when a time has passed.
func afterDelay(d time.Duration, f func()) {
	if d < minDelay {
		f()
		return
	}
	time.AfterFunc(d, f)
}

// read takes the next command.
func (n *Node) read(l *link, conn *net.TCPConn, in *bufio.Reader) (*attempt, error) {
	att := &attempt{startedAt: n.world.Now(), done: make(chan answer, 1)}
	conn.SetReadDeadline(time.Now().Add(10 * time.Second)) // for a command that has begun
	line, err := in.ReadSlice('\n')
	if err != nil {
		return nil, err
	}
	line = bytes.TrimRight(line, "\r\n")
	att.receivedAt = n.world.Now()
	if string(line) == "stats load" {
		att.key = "stats"
		return att, nil
	}
	cmd, fault := memcache.Parse(bytes.Clone(line))
	if fault != nil {
		att.unexpected = fmt.Sprintf("%.80q (%s)", line, fault.Text)
		n.recordEnded(l, att, answer{invalid: true}, true)
		return att, nil
	}
	if cmd.Noop {
		return att, nil
	}
	att.id, att.key, att.mark, att.write, att.timeLeft = string(cmd.ID), string(cmd.Key), string(cmd.Mark), cmd.Write, cmd.Left
	if cmd.Write {
		if _, err = in.Discard(cmd.Length + 2); err != nil {
			return nil, err
		}
		att.receivedAt = n.world.Now()
	}
	if !n.world.expected(att.id, att.key) {
		att.unexpected = fmt.Sprintf("the id %q with the key %q", att.id, att.key)
	}
	att.work = n.world.drawWork(att.id)
	return att, nil
}

// answerProbe answers what is asked of the node itself.
func (n *Node) answerProbe(att *attempt) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.model == nil {
		att.finish(answer{lost: true})
		return
	}
	n.advance(n.world.Now())
	n.model.Offer(n.world.Now(), model.Job{Work: n.Group.ProbeWork.D()})
	text := memcache.Alive
	if att.key == "stats" {
		l := n.model.Load()
		text = fmt.Sprintf("STAT inflight %d\r\nSTAT queue %d\r\nSTAT util %.2f\r\nEND\r\n", l.InFlight, l.Queue, l.Util)
	}
	att.finish(answer{text: text})
}

// writeAnswers writes what comes of the attempts of a connection, in their order.
func (n *Node) writeAnswers(l *link, conn *net.TCPConn, queue chan *attempt, closed chan struct{}, pending *atomic.Int32) {
	broken := false
	for att := range queue {
		broken = n.writeAnswer(l, conn, att, closed, broken)
		pending.Add(-1)
	}
}

// writeAnswer waits for what comes of an attempt and writes it; it tells whether the connection is broken then.
func (n *Node) writeAnswer(l *link, conn *net.TCPConn, att *attempt, closed chan struct{}, broken bool) bool {
	var a answer
	select {
	case a = <-att.done:
	case <-closed:
		select {
		case a = <-att.done: // it was ready when the connection ended
		default:
			n.abandon(l, att, nil)
			return true
		}
	}
	// Over a cut link nothing is heard, nor seen to end, until the balancer gives up or the link is whole again.
	if broken || !l.waitRestored(closed) || att.lostOnLink {
		n.abandon(l, att, &a)
		return true
	}
	if d := l.oneWayDelay(); d >= minDelay {
		time.Sleep(d)
	}
	ended := n.world.Now()
	if a.text != "" {
		_, err := io.WriteString(conn, a.text)
		return err != nil
	}
	complete, keepOpen := n.sendAnswer(conn, att, a)
	if !keepOpen {
		conn.SetLinger(0)
		conn.Close()
	}
	n.finishAttempt(l, att, a, complete, ended)
	return !keepOpen
}

// abandon hears that the balancer gave an attempt up: it may still run, and is noted as what it became when that is known.
func (n *Node) abandon(l *link, att *attempt, a *answer) {
	ended := n.world.Now()
	if a != nil {
		n.finishAttempt(l, att, *a, false, ended)
		return
	}
	n.mu.Lock()
	dropped := n.model != nil && n.model.GiveUp(att.id)
	n.mu.Unlock()
	if dropped {
		att.finish(answer{busy: true})
	}
	if att.lostOnLink {
		att.finish(answer{lost: true})
	}
	go func() { n.finishAttempt(l, att, <-att.done, false, ended) }() // the node does it, or ends
}

// finishAttempt notes an attempt that has ended.
func (n *Node) finishAttempt(l *link, att *attempt, a answer, complete bool, ended time.Duration) {
	n.mu.Lock()
	delete(n.attempts, att)
	n.mu.Unlock()
	n.recordAttempt(l, att, a, complete, ended)
}

func (n *Node) recordEnded(l *link, att *attempt, a answer, complete bool) {
	n.recordAttempt(l, att, a, complete, n.world.Now())
}

func (n *Node) recordAttempt(l *link, att *attempt, a answer, complete bool, ended time.Duration) {
	n.mu.Lock()
	r := record.Attempt{Call: att.id, Balancer: l.balancer, Server: n.ID, Began: att.startedAt, Came: att.receivedAt, Told: att.timeLeft, Ended: ended, Answered: complete,
		Ran: att.ran, Cold: att.cold, Work: att.work, Write: att.write, Unexpected: att.unexpected, Swallowed: att.lostOnLink}
	n.mu.Unlock()
	switch {
	case !complete || a.failed || a.lost || a.invalid:
	case a.busy:
		r.Proof = record.NeverRan
	case a.miss:
		r.Proof = record.Missed
	default:
		r.Proof = record.WasServed
	}
	n.world.Rec.Add(func() { n.world.Rec.Attempts = append(n.world.Rec.Attempts, r) })
}

// sendAnswer sends an answer as the node's faults let it; whole tells that the balancer can read it as what it is, keep that
// the connection goes on.
func (n *Node) sendAnswer(conn *net.TCPConn, att *attempt, a answer) (complete, keepOpen bool) {
	n.mu.Lock()
	corrupt, reset := n.corruptRatio > 0 && n.random.Float64() < n.corruptRatio, n.resetRatio > 0 && n.random.Float64() < n.resetRatio
	kind := n.random.IntN(len(corruptions))
	report := ""
	if n.world.Day.Fleet.Reports && n.model != nil {
		load := n.model.Load()
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
		text = fmt.Appendf(nil, "EN O%s\r\n", att.id)
	case a.receipt:
		text = fmt.Appendf(nil, "HD O%s cr-%s%s\r\n", att.id, att.id, report)
	default:
		mark := "h0"
		if a.hit {
			mark = "h1"
		}
		text = fmt.Appendf(nil, "VA %d O%s %s%s\r\n%s\r\n", len(a.value), att.id, mark, report, a.value)
	}
	if reset {
		conn.Write(text[:len(text)/2])
		return false, false
	}
	if corrupt {
		text = corruptions[kind](text)
	}
	_, err := conn.Write(text)
	return !corrupt && err == nil, err == nil
}

// corruptions are ways to spoil an answer so that nothing it says holds.
var corruptions = []func(text []byte) []byte{
	func([]byte) []byte { return []byte("\x00\xff\x13 noise\r\n") },
	func(text []byte) []byte { return bytes.Replace(text, []byte(" O"), []byte(" Ox"), 1) },
	func([]byte) []byte { return []byte("VA 3000000000 O1\r\n") },
	func([]byte) []byte { return []byte("VA -5 O1\r\nabc\r\n") },
	func([]byte) []byte { return bytes.Repeat([]byte("x"), 3*memcache.MostLine) },
}
