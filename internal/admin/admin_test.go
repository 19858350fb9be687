package admin

import (
	"net"
	"testing"
)

// closeRecorder is a connection that records whether it was closed.
type closeRecorder struct {
	net.Conn
	closed bool
}

func (c *closeRecorder) Close() error {
	c.closed = true
	return nil
}

// At the limit the listener must close a connection, as further descriptors would be taken from clients. It must not close
// one that has sent a complete request, nor the newly accepted one.
func TestOldestConnectionWithoutRequestIsClosed(t *testing.T) {
	var l limitedListener
	var all []*closeRecorder
	for i := range maxConnections + 2 {
		all = append(all, &closeRecorder{})
		c := l.add(all[i])
		c.requestReceived = i == 0
	}
	for i, c := range all {
		if wantClosed := i == 1 || i == 2; c.closed != wantClosed {
			t.Errorf("connection %d: closed is %v", i, c.closed)
		}
	}
	if len(l.connections) != maxConnections {
		t.Errorf("%d connections are open", len(l.connections))
	}
}
