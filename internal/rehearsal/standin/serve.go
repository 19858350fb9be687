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

// attempt is one command of a balancer as a cache host handles it; probes are attempts without an id.
type attempt struct {
	id, key, dedupToken   string
	write                 bool
	work                  time.Duration
	startedAt, receivedAt time.Duration
	timeLeft              time.Duration
	unexpected            string
	ran, cold             bool // guarded by Host.mu
	lostOnLink            bool

	once sync.Once
	done chan answer // has a buffer of one
}

// answer is the result of an attempt at a cache host.
type answer struct {
	value                             []byte
	receipt, hit                      bool
	miss, busy, failed, lost, invalid bool
	text                              string // the whole answer to a probe or an invalid command
}

// finish sets the attempt's answer, unless it has one already.
func (att *attempt) finish(a answer) { att.once.Do(func() { att.done <- a }) }

// maxPending is how many unanswered commands of a connection are queued; more are read once earlier ones are answered.
const maxPending = 32

// serve reads the commands of one connection, starts each as it arrives and answers them in order.
func (n *Host) serve(l *link, conn *net.TCPConn) {
	now := n.environment.Now()
	n.mu.Lock()
	n.openConns++
	tooMany := n.openConns > n.Group.Connections
	up := n.model != nil
	if up && n.Group.ConnectWork > 0 {
		n.advance(now)
		n.model.Offer(n.environment.Now(), model.Job{WorkTime: n.Group.ConnectWork.Duration()})
	}
	n.mu.Unlock()
	defer func() { n.mu.Lock(); n.openConns--; n.mu.Unlock() }()
	n.environment.Record.Add(func() {
		n.environment.Record.Openings = append(n.environment.Record.Openings, record.Opening{Server: n.ID, Balancer: l.balancer, At: now, Refused: tooMany})
	})
	queue := make(chan *attempt, maxPending)
	var pending atomic.Int32
	closed := make(chan struct{}) // closed once reading from the balancer has ended
	var answered sync.WaitGroup
	answered.Add(1)
	go func() {
		defer answered.Done()
		n.writeAnswers(l, conn, queue, closed, &pending)
	}()
	in := bufio.NewReaderSize(conn, memcache.MaxLineBytes)
	for {
		conn.SetReadDeadline(time.Now().Add(n.Group.IdleTimeout.Duration()))
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

// minDelay is the shortest delay that is simulated; timers cannot measure shorter ones accurately.
const minDelay = 20 * time.Microsecond

// afterDelay calls f after a delay.
func afterDelay(d time.Duration, f func()) {
	if d < minDelay {
		f()
		return
	}
	time.AfterFunc(d, f)
}

// read reads the next command.
func (n *Host) read(l *link, conn *net.TCPConn, in *bufio.Reader) (*attempt, error) {
	att := &attempt{startedAt: n.environment.Now(), done: make(chan answer, 1)}
	conn.SetReadDeadline(time.Now().Add(10 * time.Second)) // for the rest of a command whose first byte has arrived
	line, err := in.ReadSlice('\n')
	if err != nil {
		return nil, err
	}
	line = bytes.TrimRight(line, "\r\n")
	att.receivedAt = n.environment.Now()
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
	att.id, att.key, att.dedupToken, att.write, att.timeLeft = string(cmd.ID), string(cmd.Key), string(cmd.DedupToken), cmd.Write, cmd.Timeout
	if cmd.Write {
		if _, err = in.Discard(cmd.Length + 2); err != nil {
			return nil, err
		}
		att.receivedAt = n.environment.Now()
	}
	if !n.environment.expected(att.id, att.key) {
		att.unexpected = fmt.Sprintf("the id %q with the key %q", att.id, att.key)
	}
	att.work = n.environment.drawWork(att.id)
	return att, nil
}

// answerProbe answers a health probe or a request for load figures.
func (n *Host) answerProbe(att *attempt) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.model == nil {
		att.finish(answer{lost: true})
		return
	}
	n.advance(n.environment.Now())
	n.model.Offer(n.environment.Now(), model.Job{WorkTime: n.Group.ProbeWork.Duration()})
	text := memcache.NoopAnswer
	if att.key == "stats" {
		l := n.model.Load()
		text = fmt.Sprintf("STAT inflight %d\r\nSTAT queue %d\r\nSTAT util %.2f\r\nEND\r\n", l.InFlight, l.Queue, l.Utilization)
	}
	att.finish(answer{text: text})
}

// writeAnswers writes the answers to a connection's attempts in order.
func (n *Host) writeAnswers(l *link, conn *net.TCPConn, queue chan *attempt, closed chan struct{}, pending *atomic.Int32) {
	broken := false
	for att := range queue {
		broken = n.writeAnswer(l, conn, att, closed, broken)
		pending.Add(-1)
	}
}

// writeAnswer waits for the answer to an attempt and writes it. It reports whether the connection is unusable afterwards.
func (n *Host) writeAnswer(l *link, conn *net.TCPConn, att *attempt, closed chan struct{}, broken bool) bool {
	var a answer
	select {
	case a = <-att.done:
	case <-closed:
		select {
		case a = <-att.done: // the answer was ready when the connection ended
		default:
			n.abandon(l, att, nil)
			return true
		}
	}
	// Over a cut link neither an answer nor a close gets through until the balancer gives up or the link is restored.
	if broken || !l.waitRestored(closed) || att.lostOnLink {
		n.abandon(l, att, &a)
		return true
	}
	if d := l.oneWayDelay(); d >= minDelay {
		time.Sleep(d)
	}
	ended := n.environment.Now()
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

// abandon handles an attempt that the balancer gave up. The attempt may still run; it is recorded once its result is known.
func (n *Host) abandon(l *link, att *attempt, a *answer) {
	ended := n.environment.Now()
	if a != nil {
		n.finishAttempt(l, att, *a, false, ended)
		return
	}
	n.mu.Lock()
	dropped := n.model != nil && n.model.Abandon(att.id)
	n.mu.Unlock()
	if dropped {
		att.finish(answer{busy: true})
	}
	if att.lostOnLink {
		att.finish(answer{lost: true})
	}
	go func() { n.finishAttempt(l, att, <-att.done, false, ended) }() // the host executes the attempt or stops
}

// finishAttempt removes an ended attempt from the open ones and records it.
func (n *Host) finishAttempt(l *link, att *attempt, a answer, complete bool, ended time.Duration) {
	n.mu.Lock()
	delete(n.attempts, att)
	n.mu.Unlock()
	n.recordAttempt(l, att, a, complete, ended)
}

// recordEnded records an attempt that ends now.
func (n *Host) recordEnded(l *link, att *attempt, a answer, complete bool) {
	n.recordAttempt(l, att, a, complete, n.environment.Now())
}

// recordAttempt records an attempt that ended at the given time, with what its answer proves to the balancer.
func (n *Host) recordAttempt(l *link, att *attempt, a answer, complete bool, ended time.Duration) {
	n.mu.Lock()
	r := record.Attempt{RequestID: att.id, Balancer: l.balancer, Server: n.ID, FirstByteAt: att.startedAt, ArrivedAt: att.receivedAt, TimeLeft: att.timeLeft, Ended: ended, Answered: complete,
		Ran: att.ran, Cold: att.cold, Work: att.work, Write: att.write, Unexpected: att.unexpected, LostOnLink: att.lostOnLink}
	n.mu.Unlock()
	switch {
	case !complete || a.failed || a.lost || a.invalid:
	case a.busy:
		r.Proof = record.NeverRan
	case a.miss:
		r.Proof = record.CacheMiss
	default:
		r.Proof = record.Served
	}
	n.environment.Record.Add(func() { n.environment.Record.Attempts = append(n.environment.Record.Attempts, r) })
}

// sendAnswer writes an answer, subject to the host's injected faults. complete reports that the balancer can read the
// answer as intended, keepOpen that the connection remains usable.
func (n *Host) sendAnswer(conn *net.TCPConn, att *attempt, a answer) (complete, keepOpen bool) {
	n.mu.Lock()
	corrupt, reset := n.corruptRatio > 0 && n.random.Float64() < n.corruptRatio, n.resetRatio > 0 && n.random.Float64() < n.resetRatio
	kind := n.random.IntN(len(corruptions))
	report := ""
	if n.environment.Scenario.Fleet.LoadReports && n.model != nil {
		load := n.model.Load()
		report = fmt.Sprintf(" Linflight=%d,queue=%d,util=%.2f", load.InFlight, load.Queue, load.Utilization)
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
		hitFlag := "h0"
		if a.hit {
			hitFlag = "h1"
		}
		text = fmt.Appendf(nil, "VA %d O%s %s%s\r\n%s\r\n", len(a.value), att.id, hitFlag, report, a.value)
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

// corruptions are functions that corrupt an answer so that nothing in it can be trusted.
var corruptions = []func(text []byte) []byte{
	func([]byte) []byte { return []byte("\x00\xff\x13 noise\r\n") },
	func(text []byte) []byte { return bytes.Replace(text, []byte(" O"), []byte(" Ox"), 1) },
	func([]byte) []byte { return []byte("VA 3000000000 O1\r\n") },
	func([]byte) []byte { return []byte("VA -5 O1\r\nabc\r\n") },
	func([]byte) []byte { return bytes.Repeat([]byte("x"), 3*memcache.MaxLineBytes) },
}
