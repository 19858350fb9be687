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

// newBareBalancer returns a balancer without a policy, one of its client connections, and the client's end of that. Requests must not
// reach the policy.
func newBareBalancer(t *testing.T) (*Balancer, *clientConn, net.Conn) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	peer, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { peer.Close() })
	conn, err := listener.Accept()
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

// A connection that is interrupted to be closed may hold a command that has arrived by then. Closing it without a check for input would
// lose a request that this machine has accepted.
func TestCommandReadBeforeClosing(t *testing.T) {
	b, c, peer := newBareBalancer(t)
	io.WriteString(peer, "mn\r\n")
	c.interrupt()
	if !b.handleCommand(c) {
		t.Fatal("closed with an unread command")
	}
	if got, _ := bufio.NewReader(peer).ReadString('\n'); got != "MN\r\n" {
		t.Errorf("got %q", got)
	}
}

// TestLongWriteAtConnectionEnd ends a connection between the command line of a long write and its value. The write must be answered as
// rate-limited, as nothing of it was sent to a host.
func TestLongWriteAtConnectionEnd(t *testing.T) {
	b, c, peer := newBareBalancer(t)
	b.maxInFlight.Store(1)
	more := make(chan bool, 1)
	go func() { more <- b.handleCommand(c) }()
	time.Sleep(20 * time.Millisecond) // it waits for the line by now; if not, the command is not read and there is no answer
	c.noMoreCommands.Store(true)
	io.WriteString(peer, "ms k 100000 O1 Pc=pay,d=900,k=1\r\n")
	if got, _ := bufio.NewReader(peer).ReadString('\n'); got != "SERVER_ERROR busy\r\n" {
		t.Errorf("got %q", got)
	}
	if <-more {
		t.Error("the connection is still read")
	}
}

// A request for a product or customer that the settings do not name gets an error reply, and the connection stays usable.
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

// When the requests in flight use all the memory they may, a write must be answered as rate-limited at once, its value discarded and the
// next command found. Values kept in memory beyond the limit would get the balancer killed, with all its requests.
func TestWriteRefusedWithoutMemory(t *testing.T) {
	b, c, peer := newBareBalancer(t) // its limits are zero: no request may be in flight
	b.memory.limit.Store(100)
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
	b.memory.limit.Store(6) // not enough for the value's bytes
	io.WriteString(peer, "ms k 7 O1 Pc=pay,d=900\r\n1234567\r\n")
	if !b.handleCommand(c) {
		t.Fatal("the connection ends")
	}
	if got, _ := in.ReadString('\n'); got != "SERVER_ERROR busy\r\n" {
		t.Errorf("got %q", got)
	}
	if n, held := b.inFlight.Load(), b.memory.reserved.Load(); n != 0 || held != 0 {
		t.Errorf("%d requests still count as in flight, with %d bytes", n, held)
	}
}
