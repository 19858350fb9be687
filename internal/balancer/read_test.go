package balancer

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	"streamrail/internal/deployment"
	"streamrail/internal/stall"
	"streamrail/policy"
)

// newBareBalancer joins a client's end to a balancer that has no module: no request gets that far.
func newBareBalancer(t *testing.T) (*Balancer, *clientConn, net.Conn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	peer, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { peer.Close() })
	conn, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	b := &Balancer{deployment: &deployment.Deployment{Products: map[string]policy.Product{"pay": 0},
		PolicyConfig: policy.Config{Products: make([]policy.ProductConfig, 1)}}, clients: newClientConns(1)}
	b.answerStats = newAnswerStats(b.deployment)
	b.clients.setLimits(1, 1)
	b.hasHostList.Store(true)
	b.phase.Store(int32(Serving))
	return b, newClientConn(conn, stall.New(time.Now()), time.Now()), peer
}

// A connection that is woken to close may hold a command that has come by then: closing without a look would
// lose a request that this machine has taken.
func TestCommandReadBeforeClosing(t *testing.T) {
	b, c, peer := newBareBalancer(t)
	io.WriteString(peer, "mn\r\n")
	c.interrupt()
	if !b.handleCommand(c) {
		t.Fatal("closed with a command unread")
	}
	if got, _ := bufio.NewReader(peer).ReadString('\n'); got != "MN\r\n" {
		t.Errorf("got %q", got)
	}
}

// TestLongWriteAtConnectionEnd ends a connection between the head of a long write and its value: what was read gets its answer, and that is
// harmless, as nothing of it was sent on.
func TestLongWriteAtConnectionEnd(t *testing.T) {
	b, c, peer := newBareBalancer(t)
	b.maxInFlight.Store(1)
	more := make(chan bool, 1)
	go func() { more <- b.handleCommand(c) }()
	time.Sleep(20 * time.Millisecond) // it waits for the head by now; if not, the command is not read and there is no answer
	c.noMoreCommands.Store(true)
	io.WriteString(peer, "ms k 100000 O1 Pc=pay,d=900,k=1\r\n")
	if got, _ := bufio.NewReader(peer).ReadString('\n'); got != "SERVER_ERROR busy\r\n" {
		t.Errorf("got %q", got)
	}
	if <-more {
		t.Error("the connection goes on")
	}
}

// A product or customer that the settings do not name has no terms: it is answered, and the connection goes on.
func TestUnknownNames(t *testing.T) {
	b, c, peer := newBareBalancer(t)
	b.deployment.Customers = map[string]policy.Customer{"acme": 0}
	b.maxInFlight.Store(1)
	in := bufio.NewReader(peer)
	for _, row := range [][2]string{{"Pc=none,t=acme,d=9", "CLIENT_ERROR unknown product\r\n"},
		{"Pc=pay,t=none,d=9", "CLIENT_ERROR unknown customer\r\n"}, {"Pc=pay,d=9", "CLIENT_ERROR unknown customer\r\n"}} {
		io.WriteString(peer, "mg k v O1 "+row[0]+"\r\n")
		if !b.handleCommand(c) {
			t.Fatal("the connection ends")
		}
		if got, _ := in.ReadString('\n'); got != row[1] {
			t.Errorf("%s: got %q", row[0], got)
		}
	}
}

// With as much in hand as the memory allows, a write gets a prompt harmless answer, its value is passed over and
// the next command is found: held in memory, values would get the balancer killed with all that it holds.
func TestWriteRefusedWithoutMemory(t *testing.T) {
	b, c, peer := newBareBalancer(t) // its limit is none at all
	b.maxValueBytes.Store(100)
	io.WriteString(peer, "ms k 7 O1 Pc=pay,d=900\r\nmn\r\nmn\r\r\nmn\r\n")
	for range 2 {
		if !b.handleCommand(c) {
			t.Fatal("the connection ends")
		}
	}
	in := bufio.NewReader(peer)
	for _, want := range []string{"SERVER_ERROR busy\r\n", "MN\r\n"} {
		if got, _ := in.ReadString('\n'); got != want {
			t.Errorf("got %q, expected %q", got, want)
		}
	}
	b.maxInFlight.Store(9)
	b.maxValueBytes.Store(6) // no room for the value's bytes
	io.WriteString(peer, "ms k 7 O1 Pc=pay,d=900\r\n1234567\r\n")
	if !b.handleCommand(c) {
		t.Fatal("the connection ends")
	}
	if got, _ := in.ReadString('\n'); got != "SERVER_ERROR busy\r\n" {
		t.Errorf("got %q", got)
	}
	if n, held := b.inFlight.Load(), b.valueBytes.Load(); n != 0 || held != 0 {
		t.Errorf("%d still count as in hand, with %d bytes", n, held)
	}
}
