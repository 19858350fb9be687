package main

import (
	"bufio"
	"encoding/json"
	"net"
	"strings"
	"testing"
	"time"

	"streamrail/internal/handover"
)

// upgradePeer is the test's end of the connection between the two processes of an upgrade.
type upgradePeer struct {
	*testing.T
	conn *net.UnixConn
	in   *bufio.Reader
}

func newUpgradePeer(t *testing.T, conn *net.UnixConn) *upgradePeer {
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(waitTimeout))
	return &upgradePeer{t, conn, bufio.NewReader(conn)}
}

// send sends a message as a line of JSON.
func (p *upgradePeer) send(message any) {
	p.Helper()
	if err := json.NewEncoder(p.conn).Encode(message); err != nil {
		p.Fatal(err)
	}
}

// receive returns the next message of a kind.
func (p *upgradePeer) receive(kind handover.Kind) (m handover.Message) {
	p.Helper()
	for m.Kind != kind {
		line, err := p.in.ReadBytes('\n')
		if err != nil {
			p.Fatalf("no message %q: %v", kind, err)
		}
		m = handover.Message{}
		if err := json.Unmarshal(line, &m); err != nil {
			p.Fatalf("%q: %v", line, err)
		}
	}
	return m
}

// Guards against two processes of an upgrade that part because an order for the fleet is being carried out at the moment at which the
// newer one says that it is ready. The test is the newer process.
func TestOrderAtReady(t *testing.T) {
	f := newFleet(t, 2, "orders = true\n", nil)
	older := f.members[0]
	conn, err := net.Dial("unix", commonSocket(older.tempDir, older.addr))
	if err != nil {
		t.Fatal(err)
	}
	peer := newUpgradePeer(t, conn.(*net.UnixConn))
	peer.send(map[string]int{"Version": 1})
	peer.in.ReadString('\n') // the byte that carries the descriptor of the listener
	if state, err := peer.in.ReadString('\n'); err != nil || strings.Contains(state, "Refused") {
		t.Fatal(state, err)
	}
	began, answered := time.Now(), make(chan int, 1)
	go func() {
		status, _ := callAdmin(t, older.adminAddr, "POST", "/api/exclude", `{"member":"h"}`)
		answered <- status
	}()
	notice := peer.receive(handover.ExclusionNotice)
	peer.send(handover.Message{Kind: handover.Ready})
	time.Sleep(50 * time.Millisecond) // so that the older process has begun to handle it
	peer.send(handover.Message{Kind: handover.ExclusionApplied, N: notice.N})
	if status := <-answered; status != 200 {
		t.Errorf("exclude: status %d", status)
	}
	older.waitForLog(t, "the newer process takes clients")
	if took := time.Since(began); took > maxAdminAnswerTime {
		t.Errorf("the order took %v", took)
	}
	for range 20 { // the older process goes on reporting to the newer one
		peer.receive(handover.UsageReport)
	}
	older.waitForExcluded(t, true)
}

// maxAdminAnswerTime is the time within which operators get an answer.
const maxAdminAnswerTime = time.Second
