package measure

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"streamrail/internal/memcache"
	"streamrail/internal/rehearsal/runner"
	"streamrail/internal/rehearsal/scenario"
)

// ClosedLoop holds the measurements of a balancer under a closed loop: each client sends its next request as soon as it has the
// answer to the last one.
type ClosedLoop struct {
	Clients, Hosts   int
	PerS             float64
	CPU              time.Duration // processor time of the balancer per request
	P50, P99, P999   time.Duration
	Calls, Fulfilled int64
	Sockets          int
	MB               float64
}

// RunClosedLoop measures a balancer with a number of closed-loop clients, each on its own connection, and hosts that answer
// immediately.
func RunClosedLoop(ctx context.Context, launch runner.Launch, clients, hosts int, length time.Duration) (c ClosedLoop, err error) {
	dir, err := os.MkdirTemp("", "rehearse-")
	if err != nil {
		return c, err
	}
	defer os.RemoveAll(dir)
	sc := baseScenario(1, time.Hour, 1)
	sc.Hosts = []scenario.Host{{Name: "n", Zone: "here", Count: hosts, Cores: 64, Speed: 1, Connections: 1 << 15, IdleTimeout: scenario.Span(time.Minute), ColdCapacity: 1}}
	session, err := runner.StartWithEchoHosts(ctx, sc, launch, dir)
	if err != nil {
		return c, err
	}
	defer session.End()
	session.Environment.Begin()
	end := time.Now().Add(length)
	var mu sync.Mutex
	merged := hdrhistogram.New(1, 60_000_000, 3)
	var group sync.WaitGroup
	before := session.Usage(0)
	began := time.Now()
	for i := range clients {
		group.Add(1)
		go func() {
			defer group.Done()
			h, requests, fulfilled, e := runClient(session.Addr(0), i, sc.Products[0].Name, sc.Tenants[0].Name, end)
			mu.Lock()
			defer mu.Unlock()
			if e != nil && err == nil {
				err = e
			}
			c.Calls, c.Fulfilled = c.Calls+requests, c.Fulfilled+fulfilled
			if h != nil {
				merged.Merge(h)
			}
		}()
	}
	group.Wait()
	took, after := time.Since(began), session.Usage(0)
	c.Clients, c.Hosts, c.Sockets, c.MB = clients, hosts, after.Sockets, after.MB
	c.PerS = float64(c.Calls) / took.Seconds()
	c.CPU = (after.CPU - before.CPU) / time.Duration(max(1, c.Calls))
	quantile := func(q float64) time.Duration { return time.Duration(merged.ValueAtQuantile(q)) * time.Microsecond }
	c.P50, c.P99, c.P999 = quantile(50), quantile(99), quantile(99.9)
	return c, err
}

// runClient sends requests as one client until a given time. It returns the latencies in microseconds and the counts of all and
// of fulfilled requests.
func runClient(addr string, client int, product, tenant string, end time.Time) (h *hdrhistogram.Histogram, requests, fulfilled int64, err error) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, 0, 0, err
	}
	defer conn.Close()
	conn.SetDeadline(end.Add(5 * time.Second))
	in := bufio.NewReader(conn)
	h = hdrhistogram.New(1, 60_000_000, 3)
	out := make([]byte, 0, 256)
	for now := time.Now(); now.Before(end); {
		out = fmt.Appendf(out[:0], "mg line-%d v Oc%x.%x Pc=%s,t=%s,d=2000\r\n", (int64(client)*7919+requests)%1000, client, requests, product, tenant)
		if _, err = conn.Write(out); err != nil {
			return h, requests, fulfilled, err
		}
		line, err := in.ReadSlice('\n')
		if err != nil {
			return h, requests, fulfilled, err
		}
		if a, err := memcache.ParseAnswer(line[:len(line)-2]); err == nil && a.Reply == memcache.Value {
			if _, err = in.Discard(a.Length + 2); err != nil {
				return h, requests, fulfilled, err
			}
			fulfilled++
		}
		requests++
		after := time.Now()
		h.RecordValue(max(1, after.Sub(now).Microseconds()))
		now = after
	}
	return h, requests, fulfilled, nil
}

// PrintClosedLoopHead writes the column headings of the table whose rows ClosedLoop.PrintRow writes.
func PrintClosedLoopHead(to io.Writer) {
	fmt.Fprintf(to, "%7s %6s %9s %9s  %8s %8s %8s  %9s %7s %6s\n", "clients", "hosts", "calls/s", "CPU/call", "p50", "p99", "p99.9", "fulfilled", "sockets", "MB")
}

// PrintRow writes one row of the table.
func (c ClosedLoop) PrintRow(to io.Writer) {
	share := strconv.FormatFloat(100*float64(c.Fulfilled)/float64(max(1, c.Calls)), 'f', 2, 64) + "%"
	fmt.Fprintf(to, "%7d %6d %9.0f %9v  %8v %8v %8v  %9s %7d %6.1f\n", c.Clients, c.Hosts, c.PerS, c.CPU.Round(100*time.Nanosecond), c.P50, c.P99, c.P999, share, c.Sockets, c.MB)
}
