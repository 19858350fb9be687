package load

import (
	"bufio"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"streamrail/internal/rehearsal/record"
	"streamrail/internal/rehearsal/scenario"
	"streamrail/internal/rehearsal/standin"
)

// After a pause a balancer may close more idle connections than a client tries for one request. Their close must not be counted as
// the answer to a request: the client opens a new connection instead.
func TestManyIdleConnectionsClosed(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	sc := &scenario.Scenario{Seed: 1, Products: []scenario.Product{{Name: "p"}}, Tenants: []scenario.Tenant{{Name: "t", Share: 1}}}
	sc.Fleet.Balancers, sc.Fleet.Zones = 1, []string{"z"}
	w := standin.NewEnvironment(sc, record.New())
	target := &balancerTarget{up: true, addr: l.Addr().String()}
	for range maxClosedConns + 30 {
		n, err := net.Dial("tcp4", target.addr)
		if err != nil {
			t.Fatal(err)
		}
		serverSide, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		serverSide.Close()
		co := newConn(n)
		co.used = true
		target.release(co)
	}
	go func() {
		n, err := l.Accept()
		if err != nil {
			return
		}
		defer n.Close()
		line, _ := bufio.NewReader(n).ReadString('\n')
		for word := range strings.FieldsSeq(line) {
			if id, ok := strings.CutPrefix(word, "O"); ok {
				n.Write([]byte("SERVER_ERROR busy 5\r\n" + id))
			}
		}
	}()
	c := &Clients{environment: w, targets: []*balancerTarget{target}, lateness: hdrhistogram.New(minMicros, maxMicros, significantDigits)}
	req := record.Request{ID: "a-1", Key: "k", Timeout: w.Now() + 5*time.Second}
	c.sendRequest(&req, 0, false)
	if req.Reply != record.RateLimited || req.ClosedConnections != maxClosedConns {
		t.Errorf("%v after %d closed connections, want rate-limited on the newly opened one", req.Reply, req.ClosedConnections)
	}
}
