package pool

import "testing"

// Attempts at a host whose connections carry one attempt each find connections opened ahead. At the host's limit an attempt takes the
// one that is being opened.
func TestSpareConnectionsOfSingleUse(t *testing.T) {
	w := newTestPool(Config{MaxConnections: 10}, 1)
	w.p.HostUp(0, "o", 0, false, 4)
	w.p.UseOnce("o")
	w.checkout("o", s)
	w.opened(1)
	w.opened(2)
	w.expect(t, "open o1 open o2 carry 1/1")
	w.checkout("o", s)
	w.expect(t, "carry 2/2 open o3 open o4")
	w.checkout("o", s)
	w.opened(3)
	w.closed(1)
	w.closed(3)
	w.checkout("o", s)
	w.opened(4)
	w.expect(t, "carry 3/3 open o5 open o6 carry 4/4")
	w.p.HostLeaving("o")
	w.expect(t, "close 5 leaving close 6 leaving")
}

// A refusal on a connection that carries one attempt only must not lower the limit on connections.
func TestRefusalOfSingleUseKeepsLimit(t *testing.T) {
	w := newTestPool(Config{MaxConnections: 10, HostMaxConnections: 8}, 1)
	w.p.HostUp(0, "o", 0, false, 0)
	w.p.UseOnce("o")
	w.checkout("o", s)
	w.opened(1)
	w.p.Rejected(0, 1)
	if limit := w.p.connectionLimit(w.p.hosts["o"]); limit != 8 {
		t.Errorf("the limit is %d, expected 8", limit)
	}
}
