package policy

import (
	"slices"
	"testing"
)

// asker is the host of a balancer that only follows the list.
type asker struct {
	*crowdAtDiscovery
	b *Balancer
}

// crowdAtDiscovery is one discovery for many balancers: it answers one call after the other, turns away what would wait
// for eight seconds, and who waits for over two has gone while it works on for him.
type crowdAtDiscovery struct {
	now, free        Nanos
	queue            []due
	perCall          Nanos
	asked, late, got int
}

const hasGone, tooMany = 2 * Second, 8 * Second

func (d *crowdAtDiscovery) later(at Nanos, do func()) { d.queue = append(d.queue, due{at, do}) }

func (d *crowdAtDiscovery) play(until Nanos) {
	for {
		slices.SortStableFunc(d.queue, func(x, y due) int { return int(x.at - y.at) })
		if len(d.queue) == 0 || d.queue[0].at > until {
			d.now = until
			return
		}
		next := d.queue[0]
		d.queue, d.now = d.queue[1:], next.at
		next.do()
	}
}

func (a *asker) Now() Nanos { return a.now }
func (a *asker) SetTimer(after Nanos, id TimerID) {
	if id == "list" {
		a.later(a.now+after, func() { a.b.TimerFired(id) })
	}
}

func (a *asker) Subscribe() {
	a.asked++
	none := func() { a.b.Listed(ListUnavailable, nil) }
	start := max(a.now, a.free)
	if start-a.now > tooMany {
		none()
		return
	}
	a.free = start + a.perCall
	if a.free-a.now > hasGone {
		a.late++
		a.later(a.now+hasGone, none)
		return
	}
	a.later(a.free, func() { a.got++; a.b.Listed(ListUpdate, nil) })
}

func (a *asker) Send(CallID, CacheID, Nanos, Nanos) {}
func (a *asker) Cancel(CallID, int)                 {}
func (a *asker) RateLimit(CallID, Nanos)            {}
func (a *asker) Error(CallID)                       {}

// A release starts most balancers at once. All of them calling discovery together, and again as soon as that failed,
// kept it at work for callers who had gone: in 25 s nine of 80 got it. Alone a balancer must not wait long either.
func TestReleaseAtDiscovery(t *testing.T) {
	for _, row := range []struct {
		balancers   int
		known       bool
		perCall, by Nanos
		leastGot    int
	}{
		{80, true, 70 * Millisecond, 8 * Second, 80},
		{80, true, 100 * Millisecond, 16 * Second, 72}, // one call of each in 8 s is the least that it takes
		{8, true, 100 * Millisecond, 6 * Second, 8},
		{1, true, 100 * Millisecond, 6 * Second, 1},
		{1, false, 100 * Millisecond, Second, 1},
	} {
		d := &crowdAtDiscovery{perCall: row.perCall}
		for i := range row.balancers {
			a := &asker{crowdAtDiscovery: d}
			a.b = New(a, Terms{Balancers: row.balancers, MustSubscribe: true, AskEvery: 10 * Second}, uint64(i))
			var known []Entry
			if row.known {
				known = []Entry{{Cache: "a", Size: 1}}
			}
			a.b.Listed(ListRestored, known)
		}
		d.play(row.by)
		if d.got < row.leastGot {
			t.Errorf("%d balancers, %d ms a call: %d have the list after %d s; %d calls, %d of them answered too late",
				row.balancers, row.perCall/Millisecond, d.got, row.by/Second, d.asked, d.late)
		}
	}
}
