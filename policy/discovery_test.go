package policy

import (
	"slices"
	"testing"
)

// listClient is the environment of a balancer that only follows the host list.
type listClient struct {
	*fakeDiscovery
	b *Balancer
}

// fakeDiscovery is a single discovery for many balancers. It answers one request after the other and rejects those
// that would wait for more than eight seconds. A client that waits for more than two seconds gives up, but its
// request is still worked on.
type fakeDiscovery struct {
	now, idleFrom                 Nanos
	queue                         []timer
	perRequest                    Nanos
	received, abandoned, answered int
}

const clientTimeout, maxQueueTime = 2 * Second, 8 * Second

func (d *fakeDiscovery) schedule(at Nanos, do func()) { d.queue = append(d.queue, timer{at, do}) }

func (d *fakeDiscovery) runUntil(until Nanos) {
	for {
		slices.SortStableFunc(d.queue, func(x, y timer) int { return int(x.at - y.at) })
		if len(d.queue) == 0 || d.queue[0].at > until {
			d.now = until
			return
		}
		next := d.queue[0]
		d.queue, d.now = d.queue[1:], next.at
		next.do()
	}
}

func (a *listClient) Now() Nanos { return a.now }
func (a *listClient) SetTimer(after Nanos, id TimerID) {
	if id == "list" {
		a.schedule(a.now+after, func() { a.b.TimerFired(id) })
	}
}

func (a *listClient) Subscribe() {
	a.received++
	unavailable := func() { a.b.ApplyList(ListUnavailable, nil) }
	start := max(a.now, a.idleFrom)
	if start-a.now > maxQueueTime {
		unavailable()
		return
	}
	a.idleFrom = start + a.perRequest
	if a.idleFrom-a.now > clientTimeout {
		a.abandoned++
		a.schedule(a.now+clientTimeout, unavailable)
		return
	}
	a.schedule(a.idleFrom, func() { a.answered++; a.b.ApplyList(ListUpdate, nil) })
}

func (a *listClient) Send(RequestID, HostID, Nanos, Nanos) {}
func (a *listClient) Cancel(RequestID, int)                {}
func (a *listClient) RateLimit(RequestID, Nanos)           {}
func (a *listClient) Error(RequestID)                      {}

// A release starts most balancers at once. If all of them request the host list together, and again as soon as
// that failed, discovery is kept busy with requests whose clients have given up: in 25 s only nine of 80 balancers
// got the list. A single balancer must not wait long either.
func TestReleaseDoesNotOverloadDiscovery(t *testing.T) {
	for _, row := range []struct {
		balancers      int
		restored       bool
		perRequest, by Nanos
		minAnswered    int
	}{
		{80, true, 70 * Millisecond, 8 * Second, 80},
		{80, true, 100 * Millisecond, 16 * Second, 72}, // 80 requests of 100 ms take at least 8 s
		{8, true, 100 * Millisecond, 6 * Second, 8},
		{1, true, 100 * Millisecond, 6 * Second, 1},
		{1, false, 100 * Millisecond, Second, 1},
	} {
		d := &fakeDiscovery{perRequest: row.perRequest}
		for i := range row.balancers {
			a := &listClient{fakeDiscovery: d}
			a.b = New(a, Config{Balancers: row.balancers, MustSubscribe: true, SubscribeInterval: 10 * Second}, uint64(i))
			var restored []HostEntry
			if row.restored {
				restored = []HostEntry{{HostID: "a", Size: 1}}
			}
			a.b.ApplyList(ListRestored, restored)
		}
		d.runUntil(row.by)
		if d.answered < row.minAnswered {
			t.Errorf("%d balancers, %d ms per request: %d have the list after %d s; %d requests, %d of them answered too late",
				row.balancers, row.perRequest/Millisecond, d.answered, row.by/Second, d.received, d.abandoned)
		}
	}
}
