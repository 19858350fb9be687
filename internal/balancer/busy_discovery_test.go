package balancer

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// busyDiscovery answers the requests for whole lists of many balancers one after the other, also those whose callers have gone. It
// does not answer watches.
type busyDiscovery struct {
	perList  time.Duration
	mu       sync.Mutex
	idleFrom time.Time
	received int
}

func (d *busyDiscovery) dial(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	go d.serve(far)
	return near, nil
}

func (d *busyDiscovery) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if r.URL.Query().Get("after") != "" {
			io.Copy(io.Discard, in)
			return
		}
		d.mu.Lock()
		d.received++
		if now := time.Now(); now.After(d.idleFrom) {
			d.idleFrom = now
		}
		d.idleFrom = d.idleFrom.Add(d.perList)
		answerAt := d.idleFrom
		d.mu.Unlock()
		time.Sleep(time.Until(answerAt))
		const list = `{"generation":1,"reset":true,"instances":[]}`
		if !answer(c, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list), list)) {
			return
		}
	}
}

// TestManyStartAtBusyDiscovery guards against balancers that start together with no list and keep discovery busy with calls that they have
// given up: each has its list once discovery has taken one call of each.
func TestManyStartAtBusyDiscovery(t *testing.T) {
	const balancers = 300
	for _, mode := range []string{"pushed", "asked"} {
		t.Run(mode, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := &busyDiscovery{perList: 8 * time.Second / balancers}
				started := make([]*Balancer, balancers)
				for i := range started {
					started[i] = startFollowing(d.dial, mode, time.Second, uint64(i))
				}
				time.Sleep(8*time.Second + 100*time.Millisecond)
				missing := 0
				for _, b := range started {
					select {
					case <-b.listSource.ready:
					default:
						missing++
					}
					b.cancel()
					b.hosts.Close()
				}
				if missing > 0 {
					t.Errorf("%d of %d have no list; %d requests", missing, balancers, d.received)
				}
				time.Sleep(10 * time.Minute)
			})
		})
	}
}

// sharedDiscovery writes whole lists line by line, with a bounded number of lines a second for all open calls together. It does not
// answer watches.
type sharedDiscovery struct {
	lines, perSecond int
	mu               sync.Mutex
	open             int
}

func (d *sharedDiscovery) dial(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	go d.serve(far)
	return near, nil
}

func (d *sharedDiscovery) count(change int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.open += change
	return d.open
}

func (d *sharedDiscovery) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	r, err := http.ReadRequest(in)
	if err != nil || r.URL.Query().Get("after") != "" {
		io.Copy(io.Discard, in)
		return
	}
	d.count(1)
	defer d.count(-1)
	if !answer(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+`{"generation":1,"reset":true,"instances":[`) {
		return
	}
	for i := range d.lines {
		time.Sleep(time.Duration(d.count(0)) * time.Second / time.Duration(d.perSecond))
		separator := ","
		if i == 0 {
			separator = ""
		}
		if !answer(c, separator+hostLine(fmt.Sprint("h", i), "active")) {
			return
		}
	}
	answer(c, "]}")
}

// TestManyStartAtSharedDiscovery guards against balancers that start together with no list, give up answers that come slowly because all
// share discovery's speed, and ask again: each has its list after the time for two lists of each.
func TestManyStartAtSharedDiscovery(t *testing.T) {
	const balancers, lines, perSecond = 100, 200, 400
	for _, mode := range []string{"pushed", "asked"} {
		t.Run(mode, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := &sharedDiscovery{lines: lines, perSecond: perSecond}
				started := make([]*Balancer, balancers)
				for i := range started {
					started[i] = startFollowing(d.dial, mode, time.Second, uint64(i))
				}
				time.Sleep(2 * balancers * lines * time.Second / perSecond)
				missing := 0
				for _, b := range started {
					select {
					case <-b.listSource.ready:
					default:
						missing++
					}
					b.cancel()
					b.hosts.Close()
				}
				if missing > 0 {
					t.Errorf("%d of %d have no list; %d calls open", missing, balancers, d.count(0))
				}
				time.Sleep(10 * time.Minute)
			})
		})
	}
}
