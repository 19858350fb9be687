package handover

import (
	"bufio"
	"encoding/json"
	"net"
	"sync"
	"time"
)

// Kind is what a message is about.
type Kind string

const (
	Ready   Kind = "ready" // the newer process takes clients
	Holding Kind = "holds" // what the sender holds
	Ask     Kind = "ask"   // the newer process wants a ban changed; Answer follows
	Answer  Kind = "answer"
	Ban     Kind = "ban" // a ban has changed; Done follows
	Done    Kind = "done"
)

// Message is one line between the two.
type Message struct {
	Kind   Kind
	N      uint64 `json:",omitempty"` // of an Ask or a Ban, and of what answers it
	Member string `json:",omitempty"`
	Out    bool   `json:",omitempty"`
	Fault  string `json:",omitempty"`
	Holds  *Holds `json:",omitempty"`
}

// Peer is the other process.
type Peer struct {
	conn *net.UnixConn
	in   *bufio.Reader
	mu   sync.Mutex // one message at a time
	gone chan struct{}
	once sync.Once
}

func newPeer(conn *net.UnixConn, in *bufio.Reader) *Peer {
	return &Peer{conn: conn, in: in, gone: make(chan struct{})}
}

// Gone is closed once nothing more comes.
func (p *Peer) Gone() <-chan struct{} { return p.gone }

// Close ends it: the other process goes on alone.
func (p *Peer) Close() {
	p.once.Do(func() { close(p.gone) })
	p.conn.Close()
}

// Say sends a message. A process that does not read is taken for gone.
func (p *Peer) Say(m Message) {
	line, _ := json.Marshal(m)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conn.SetWriteDeadline(time.Now().Add(sayWait))
	if _, err := p.conn.Write(append(line, '\n')); err != nil {
		p.Close()
	}
}

// Hear passes on what comes, until the other process ends or says what is no message.
func (p *Peer) Hear(on func(Message)) {
	defer p.Close()
	for {
		line, err := readLine(p.in)
		if err != nil {
			return
		}
		var m Message
		if json.Unmarshal(line, &m) != nil {
			return
		}
		on(m)
	}
}
