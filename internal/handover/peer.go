package handover

import (
	"bufio"
	"encoding/json"
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

// Kind is the type of a message.
type Kind string

const (
	Ready             Kind = "ready"  // the newer process accepts clients
	UsageReport       Kind = "holds"  // the resources that the sender uses
	ExclusionRequest  Kind = "ask"    // the newer process asks the older one to change an exclusion; answered by ExclusionResponse
	ExclusionResponse Kind = "answer" // the result of an ExclusionRequest
	ExclusionNotice   Kind = "ban"    // the older process has changed an exclusion; answered by ExclusionApplied
	ExclusionApplied  Kind = "done"   // the newer process has applied an ExclusionNotice
	ListUpdate        Kind = "list"   // the older process has applied an answer of discovery
	IDChanges         Kind = "ids"    // the sender has taken or freed ids of requests; answered by IDDecision
	IDDecision        Kind = "taken"  // the sender had taken some of the ids of an IDChanges before
)

// Message is one message between the two processes, sent as a line of JSON.
type Message struct {
	Kind   Kind
	N      uint64         `json:",omitempty"` // number of an ExclusionRequest, ExclusionNotice or IDChanges, repeated in its answer
	Member string         `json:",omitempty"` // the host of an ExclusionRequest or ExclusionNotice
	Out    bool           `json:",omitempty"` // whether that host is excluded
	Fault  string         `json:",omitempty"` // in an ExclusionResponse: why the change failed
	Holds  *ResourceUsage `json:",omitempty"` // in a UsageReport

	IDs []byte `json:",omitempty"` // in an IDChanges: a byte for the kind and a digest of the id for each; in an IDDecision: digests

	ListAddr string          `json:",omitempty"` // in a ListUpdate: the address of the discovery service
	List     json.RawMessage `json:",omitempty"` // in a ListUpdate: the answer, in discovery's format
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

// Closed returns a channel that is closed once the connection has ended.
func (p *Peer) Closed() <-chan struct{} { return p.closed }

// Close ends the connection; the other process continues alone.
func (p *Peer) Close() {
	p.once.Do(func() { close(p.closed) })
	p.conn.Close()
}

// Send sends a message. If the other process does not read it in time, the connection is closed.
func (p *Peer) Send(m Message) {
	line, _ := json.Marshal(m)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := p.conn.Write(append(line, '\n')); errors.Is(err, os.ErrDeadlineExceeded) {
		p.Close()
	} // after another error the other process has ended: Receive still gets what it sent before, then closes the connection
}

// Receive passes received messages to handle until the other process ends or sends an invalid message, then closes the
// connection.
func (p *Peer) Receive(handle func(Message)) {
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
