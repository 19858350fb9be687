package runner

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"streamrail/internal/memcache"
)

// faultyBalancer is a simple balancer with one deliberate defect, which the judge has to report. Apart from that it keeps
// the rules. It does not track load or health of hosts.
type faultyBalancer struct {
	defect   string
	config   faultyConfig
	listener net.Listener
	done     chan struct{}
	client   http.Client

	mu        sync.Mutex
	conns     map[net.Conn]struct{}
	hosts     []listedHost
	counter   atomic.Int64
	lastValue atomic.Pointer[[]byte] // the value served most recently
}

// faultyConfig holds the parts of a balancer configuration that faultyBalancer uses.
type faultyConfig struct {
	Listen, Discovery string
	Known             json.RawMessage
	Settings          struct {
		Products []struct {
			Name, Effect string
			WindowNs     int64
		}
	}
}

// listedHost is an entry of the host list, and when it was first listed as no longer active.
type listedHost struct {
	InstanceID, HostPort, MachineType, Lifecycle string
	StartedAtMs                                  int64
	leftAt                                       time.Time
}

// launchFaulty returns a Launch that runs balancers with a defect as part of this process.
func launchFaulty(defect string) Launch {
	return func(ctx context.Context, _ int, at Files) (Instance, error) {
		text, err := os.ReadFile(at.Config)
		if err != nil {
			return nil, err
		}
		b := &faultyBalancer{defect: defect, done: make(chan struct{}), conns: map[net.Conn]struct{}{}}
		if err = json.Unmarshal(text, &b.config); err != nil {
			return nil, err
		}
		b.applyList(b.config.Known)
		if b.listener, err = net.Listen("tcp", b.config.Listen); err != nil {
			return nil, err
		}
		go b.accept()
		go b.followDiscovery(ctx)
		context.AfterFunc(ctx, b.Kill)
		return b, nil
	}
}

func (b *faultyBalancer) Kill() {
	b.listener.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	for c := range b.conns {
		c.Close()
	}
}
func (b *faultyBalancer) Shutdown()             { b.Kill() }
func (b *faultyBalancer) Reload()               {}
func (b *faultyBalancer) Done() <-chan struct{} { return b.done }
func (b *faultyBalancer) ExitCode() int         { return 0 }
func (b *faultyBalancer) Usage() Usage          { return Usage{} }

// applyList replaces the hosts with those of a host list and keeps the times at which they left.
func (b *faultyBalancer) applyList(text []byte) {
	var list struct{ Instances []listedHost }
	if json.Unmarshal(text, &list) != nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	old := b.hosts
	b.hosts = nil
	for _, h := range list.Instances {
		if h.Lifecycle != "active" {
			h.leftAt = time.Now()
			for _, o := range old {
				if o.InstanceID == h.InstanceID && !o.leftAt.IsZero() {
					h.leftAt = o.leftAt
				}
			}
		}
		b.hosts = append(b.hosts, h)
	}
}

// followDiscovery polls the host list until ctx ends.
func (b *faultyBalancer) followDiscovery(ctx context.Context) {
	for ctx.Err() == nil {
		if r, err := b.client.Get("http://" + b.config.Discovery + "/api/targets"); err == nil {
			text, _ := io.ReadAll(r.Body)
			r.Body.Close()
			b.applyList(text)
			var list struct{ Generation int64 }
			if json.Unmarshal(text, &list) == nil && b.defect == "patient" { // it never abandons a watch
				if r, err := b.client.Get(fmt.Sprintf("http://%s/api/targets?after=%d&wait_ms=1000", b.config.Discovery, list.Generation)); err == nil {
					r.Body.Close()
				}
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (b *faultyBalancer) accept() {
	defer close(b.done)
	for {
		c, err := b.listener.Accept()
		if err != nil {
			return
		}
		b.mu.Lock()
		b.conns[c] = struct{}{}
		b.mu.Unlock()
		go b.serve(c)
	}
}

// pickHost returns the address of the cache host for a key, or of the origin; "" if there is none.
func (b *faultyBalancer) pickHost(key string, origin bool) (addr string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var usable []listedHost
	for _, h := range b.hosts {
		switch {
		case (h.MachineType == "origin") != origin:
		case origin:
			return h.HostPort
		case b.defect == "drain" && !h.leftAt.IsZero():
			return h.HostPort // a draining host, also after its grace time
		case !h.leftAt.IsZero():
		case h.StartedAtMs > 0 && b.defect == "flood":
			return h.HostPort // all requests to a restarted host
		case h.StartedAtMs > 0: // cold until the end of these short rehearsals
		default:
			usable = append(usable, h)
		}
	}
	if len(usable) == 0 {
		return ""
	}
	f := fnv.New32a()
	io.WriteString(f, key)
	return usable[int(f.Sum32())%len(usable)].HostPort
}

func (b *faultyBalancer) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		line, err := in.ReadBytes('\n')
		if err != nil {
			return
		}
		cmd, fault := memcache.Parse(bytes.TrimRight(line, "\r\n"))
		if fault != nil {
			fmt.Fprint(c, fault.Line())
			continue
		}
		if cmd.Noop {
			fmt.Fprint(c, memcache.NoopAnswer)
			continue
		}
		var value []byte
		if cmd.Write {
			value = make([]byte, cmd.Length+2)
			if _, err = io.ReadFull(in, value); err != nil {
				return
			}
			value = value[:cmd.Length]
		}
		answer := b.handle(&cmd, value, time.Now().Add(cmd.Timeout-20*time.Millisecond))
		// Only answers with a request id are repeated: a client would take one without an id as the answer to its next
		// request, and this might break further rules.
		namesRequest := !strings.HasPrefix(answer, "SERVER_ERROR")
		if b.defect == "twice" && namesRequest && b.everyNth(20) {
			answer += answer
		}
		if _, err = io.WriteString(c, answer); err != nil {
			return
		}
	}
}

// everyNth returns true every n-th time that it is called.
func (b *faultyBalancer) everyNth(n int64) bool { return b.counter.Add(1)%n == 0 }

const busy, failed = "SERVER_ERROR busy\r\n", "SERVER_ERROR failed\r\n"

// handle processes a request and returns its final answer.
func (b *faultyBalancer) handle(cmd *memcache.Command, value []byte, until time.Time) string {
	switch {
	case b.defect == "lose" && b.everyNth(50):
		time.Sleep(10 * time.Second)
		return ""
	case b.defect == "hold" && b.everyNth(50):
		// The margin ensures that even on a busy machine the answer is late, not missing.
		time.Sleep(time.Until(until) - 200*time.Millisecond)
		return busy
	}
	if !cmd.Write {
		text, outcome := b.askHost(cmd, until)
		if outcome == "" && b.defect == "other" {
			if old := b.lastValue.Swap(&text); old != nil && b.everyNth(20) {
				text = *old
			}
		}
		if outcome == "miss" {
			text, outcome = b.askOrigin(cmd, nil, until)
		}
		if outcome != "" {
			return busy
		}
		return string(memcache.AppendValue(nil, cmd.ID, len(text))) + string(text) + "\r\n"
	}
	effect, window := "", time.Duration(0)
	for _, p := range b.config.Settings.Products {
		if p.Name == string(cmd.Product) {
			effect, window = p.Effect, time.Duration(p.WindowNs)
		}
	}
	text, outcome := b.askOrigin(cmd, value, until)
	if outcome == "may" {
		switch {
		case b.defect == "resend" && effect == "at_most_once":
			text, outcome = b.askOrigin(cmd, value, until)
		case b.defect == "window" && effect == "deduplicated":
			time.Sleep(window + 150*time.Millisecond)
			text, outcome = b.askOrigin(cmd, value, until)
		case b.defect == "promise" && effect == "at_most_once":
			return busy
		}
	}
	switch outcome {
	case "":
		return string(memcache.AppendReceipt(nil, cmd.ID, text))
	case "never":
		return busy
	}
	return failed
}

// remaining returns the time left until the deadline as reported to hosts.
func (b *faultyBalancer) remaining(until time.Time) time.Duration {
	remaining := max(time.Millisecond, time.Until(until))
	if b.defect == "tell" {
		remaining += 400 * time.Millisecond
	}
	return remaining
}

// askHost reads a value from a cache host. The outcome is "" if it succeeded, "miss", "never" if the host did not get the
// request, or "may" if it may have.
func (b *faultyBalancer) askHost(cmd *memcache.Command, until time.Time) (value []byte, outcome string) {
	c, err := net.DialTimeout("tcp", b.pickHost(string(cmd.Key), false), time.Until(until))
	if err != nil {
		return nil, "never"
	}
	defer c.Close()
	c.SetDeadline(until)
	c.Write(cmd.AppendForwarded(nil, b.remaining(until)))
	in := bufio.NewReader(c)
	line, err := in.ReadBytes('\n')
	if err != nil {
		return nil, "may"
	}
	a, err := memcache.ParseAnswer(bytes.TrimRight(line, "\r\n"))
	if err != nil || a.Reply != memcache.Value && a.Reply != memcache.Miss {
		return nil, "may"
	}
	if a.Reply == memcache.Miss {
		return nil, "miss"
	}
	value = make([]byte, a.Length)
	if _, err = io.ReadFull(in, value); err != nil {
		return nil, "may"
	}
	return value, ""
}

// askOrigin reads or writes a value at the origin, with an outcome as of askHost; "never" here also means that the
// origin promised not to have processed the request.
func (b *faultyBalancer) askOrigin(cmd *memcache.Command, value []byte, until time.Time) (text []byte, outcome string) {
	ctx, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	method := http.MethodGet
	if cmd.Write {
		method = http.MethodPut
	}
	// net/http repeats a request whose body it can rewind; with this body type it does not repeat a write.
	body := io.NopCloser(strings.NewReader(string(value)))
	r, err := http.NewRequestWithContext(ctx, method, "http://"+b.pickHost("", true)+"/"+string(cmd.Key), body)
	if err != nil {
		return nil, "never"
	}
	r.ContentLength, r.Close = int64(len(value)), true
	r.Header.Set("X-Request-ID", string(cmd.ID))
	r.Header.Set("X-Attrs", string(cmd.AppendAttrs(nil, b.remaining(until))))
	resp, err := b.client.Do(r)
	if err != nil {
		return nil, "may"
	}
	defer resp.Body.Close()
	text, err = io.ReadAll(resp.Body)
	switch {
	case resp.Header.Get("X-Not-Processed") == "1":
		return nil, "never"
	case err != nil || resp.StatusCode != http.StatusOK:
		return nil, "may"
	}
	return text, ""
}
