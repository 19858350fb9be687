package handover

import (
	"bufio"
	"encoding/json"
	"net"
	"sync"
	"time"
)

// Kind is the type of a message.
type Kind string

const (
	Ready   Kind = "ready"  // the newer process accepts clients
	Holding Kind = "holds"  // the resources that the sender uses
	Ask     Kind = "ask"    // the newer process asks the older one to change an exclusion; answered by Answer
	Answer  Kind = "answer" // the result of an Ask
	Ban     Kind = "ban"    // the older process has changed an exclusion; answered by Done
	Done    Kind = "done"   // the newer process has applied a Ban
)

// Message is one message between the two processes, sent as a line of JSON.
type Message struct {
	Kind   Kind
	N      uint64 `json:",omitempty"` // number of an Ask or a Ban, repeated in its answer
	Member string `json:",omitempty"` // the host of an Ask or a Ban
	Out    bool   `json:",omitempty"` // whether that host is excluded
	Fault  string `json:",omitempty"` // in an Answer: why the change failed
	Holds  *Holds `json:",omitempty"` // in a Holding
}

// Peer is the connection to the other process of an upgrade.
type Peer struct {
	conn   *net.UnixConn
	reader *bufio.Reader
	mu     sync.Mutex // held while a message is written
	closed chan struct{}
	once   sync.Once
}

func newPeer(conn *net.UnixConn, reader *bufio.Reader) *Peer {
	return &Peer{conn: conn, reader: reader, closed: make(chan struct{})}
}

// Gone returns a channel that is closed once the connection has ended.
func (p *Peer) Gone() <-chan struct{} { return p.closed }

// Close ends the connection; the other process continues alone.
func (p *Peer) Close() {
	p.once.Do(func() { close(p.closed) })
	p.conn.Close()
}

// Say sends a message. If the other process does not read it in time, the connection is closed.
func (p *Peer) Say(m Message) {
	line, _ := json.Marshal(m)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := p.conn.Write(append(line, '\n')); err != nil {
		p.Close()
	}
}

// Hear passes received messages to handle until the other process ends or sends an invalid message, then closes the
// connection.
func (p *Peer) Hear(handle func(Message)) {
	defer p.Close()
	for {
		line, err := readLine(p.reader)
		if err != nil {
			return
		}
		var m Message
		if json.Unmarshal(line, &m) != nil {
			return
		}
		handle(m)
	}
}
