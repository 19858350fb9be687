package admin

import (
	"net"
	"testing"
)

// closer notes that a connection was closed.
type closer struct {
	net.Conn
	closed bool
}

func (c *closer) Close() error {
	c.closed = true
	return nil
}

// Beyond the bound the door's descriptors are the clients'; a call that has come whole is not the one to go, nor is the
// newcomer.
func TestOldestWithoutACallGoes(t *testing.T) {
	var b bounded
	var all []*closer
	for i := range mostConns + 2 {
		all = append(all, &closer{})
		c := b.enter(all[i])
		c.whole = i == 0
	}
	for i, c := range all {
		if gone := i == 1 || i == 2; c.closed != gone {
			t.Errorf("connection %d: closed %v", i, c.closed)
		}
	}
	if len(b.conns) != mostConns {
		t.Errorf("%d are held", len(b.conns))
	}
}
