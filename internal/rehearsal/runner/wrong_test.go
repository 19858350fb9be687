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

// wrong is a plain balancer that keeps the rules but for one thing, which it does on purpose: the judge has to name
// just that. It knows nothing of load or health.
type wrong struct {
	what   string
	told   wrongTold
	net    net.Listener
	done   chan struct{}
	client http.Client

	mu    sync.Mutex
	conns map[net.Conn]struct{}
	hosts []wrongHost
	seen  atomic.Int64
	last  atomic.Pointer[[]byte] // the value served last
}

type wrongTold struct {
	Listen, Discovery string
	Known             json.RawMessage
	Settings          struct {
		Products []struct {
			Name, Effect string
			WindowNs     int64
		}
	}
}

type wrongHost struct {
	InstanceID, HostPort, MachineType, Lifecycle string
	StartedAtMs                                  int64
	left                                         time.Time
}

// wrongly launches wrong balancers in this process.
func wrongly(what string) Launch {
	return func(ctx context.Context, _ int, at Place) (Instance, error) {
		text, err := os.ReadFile(at.Config)
		if err != nil {
			return nil, err
		}
		b := &wrong{what: what, done: make(chan struct{}), conns: map[net.Conn]struct{}{}}
		if err = json.Unmarshal(text, &b.told); err != nil {
			return nil, err
		}
		b.learn(b.told.Known)
		if b.net, err = net.Listen("tcp", b.told.Listen); err != nil {
			return nil, err
		}
		go b.accept()
		go b.follow(ctx)
		context.AfterFunc(ctx, b.Kill)
		return b, nil
	}
}

func (b *wrong) Kill() {
	b.net.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	for c := range b.conns {
		c.Close()
	}
}
func (b *wrong) Term()                 { b.Kill() }
func (b *wrong) Hup()                  {}
func (b *wrong) Done() <-chan struct{} { return b.done }
func (b *wrong) Exit() int             { return 0 }
func (b *wrong) Usage() Usage          { return Usage{} }

func (b *wrong) learn(text []byte) {
	var list struct{ Instances []wrongHost }
	if json.Unmarshal(text, &list) != nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	old := b.hosts
	b.hosts = nil
	for _, h := range list.Instances {
		if h.Lifecycle != "active" {
			h.left = time.Now()
			for _, o := range old {
				if o.InstanceID == h.InstanceID && !o.left.IsZero() {
					h.left = o.left
				}
			}
		}
		b.hosts = append(b.hosts, h)
	}
}

func (b *wrong) follow(ctx context.Context) {
	for ctx.Err() == nil {
		if r, err := b.client.Get("http://" + b.told.Discovery + "/api/targets"); err == nil {
			text, _ := io.ReadAll(r.Body)
			r.Body.Close()
			b.learn(text)
			var list struct{ Generation int64 }
			if json.Unmarshal(text, &list) == nil && b.what == "patient" { // it never gives a watch up
				if r, err := b.client.Get(fmt.Sprintf("http://%s/api/targets?after=%d&wait_ms=1000", b.told.Discovery, list.Generation)); err == nil {
					r.Body.Close()
				}
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (b *wrong) accept() {
	defer close(b.done)
	for {
		c, err := b.net.Accept()
		if err != nil {
			return
		}
		b.mu.Lock()
		b.conns[c] = struct{}{}
		b.mu.Unlock()
		go b.serve(c)
	}
}

// host picks the server for a key, or the gateway.
func (b *wrong) host(key string, gateway bool) (addr string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var may []wrongHost
	for _, h := range b.hosts {
		switch {
		case (h.MachineType == "origin") != gateway:
		case gateway:
			return h.HostPort
		case b.what == "drain" && !h.left.IsZero():
			return h.HostPort // the one that leaves, and longer than it may
		case !h.left.IsZero():
		case h.StartedAtMs > 0 && b.what == "flood":
			return h.HostPort // all to the newest
		case h.StartedAtMs > 0: // cold, for as long as these days last
		default:
			may = append(may, h)
		}
	}
	if len(may) == 0 {
		return ""
	}
	f := fnv.New32a()
	io.WriteString(f, key)
	return may[int(f.Sum32())%len(may)].HostPort
}

func (b *wrong) serve(c net.Conn) {
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
		answer := b.live(&cmd, value, time.Now().Add(cmd.Timeout-20*time.Millisecond))
		// An answer that names no request would be taken for the next one's, whose rules it may break besides.
		names := !strings.HasPrefix(answer, "SERVER_ERROR")
		if b.what == "twice" && names && b.every(20) {
			answer += answer
		}
		if _, err = io.WriteString(c, answer); err != nil {
			return
		}
	}
}

func (b *wrong) every(n int64) bool { return b.seen.Add(1)%n == 0 }

const busy, failed = "SERVER_ERROR busy\r\n", "SERVER_ERROR failed\r\n"

// live is the life of a request here.
func (b *wrong) live(cmd *memcache.Command, value []byte, until time.Time) string {
	switch {
	case b.what == "lose" && b.every(50):
		time.Sleep(10 * time.Second)
		return ""
	case b.what == "hold" && b.every(50):
		time.Sleep(time.Until(until) - 200*time.Millisecond) // a busy machine would else make it a call without an answer
		return busy
	}
	if !cmd.Write {
		text, outcome := b.read(cmd, until)
		if outcome == "" && b.what == "other" {
			if old := b.last.Swap(&text); old != nil && b.every(20) {
				text = *old
			}
		}
		if outcome == "miss" {
			text, outcome = b.gateway(cmd, nil, until)
		}
		if outcome != "" {
			return busy
		}
		return string(memcache.AppendValue(nil, cmd.ID, len(text))) + string(text) + "\r\n"
	}
	effect, window := "", time.Duration(0)
	for _, p := range b.told.Settings.Products {
		if p.Name == string(cmd.Product) {
			effect, window = p.Effect, time.Duration(p.WindowNs)
		}
	}
	text, outcome := b.gateway(cmd, value, until)
	if outcome == "may" {
		switch {
		case b.what == "resend" && effect == "at_most_once":
			text, outcome = b.gateway(cmd, value, until)
		case b.what == "window" && effect == "deduplicated":
			time.Sleep(window + 150*time.Millisecond)
			text, outcome = b.gateway(cmd, value, until)
		case b.what == "promise" && effect == "at_most_once":
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

// left is what a server is told.
func (b *wrong) left(until time.Time) time.Duration {
	left := max(time.Millisecond, time.Until(until))
	if b.what == "tell" {
		left += 400 * time.Millisecond
	}
	return left
}

func (b *wrong) read(cmd *memcache.Command, until time.Time) (value []byte, outcome string) {
	c, err := net.DialTimeout("tcp", b.host(string(cmd.Key), false), time.Until(until))
	if err != nil {
		return nil, "never"
	}
	defer c.Close()
	c.SetDeadline(until)
	c.Write(cmd.AppendForwarded(nil, b.left(until)))
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

func (b *wrong) gateway(cmd *memcache.Command, value []byte, until time.Time) (text []byte, outcome string) {
	ctx, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	method := http.MethodGet
	if cmd.Write {
		method = http.MethodPut
	}
	// A body of its own type keeps the library from sending a write again by itself.
	body := io.NopCloser(strings.NewReader(string(value)))
	r, err := http.NewRequestWithContext(ctx, method, "http://"+b.host("", true)+"/"+string(cmd.Key), body)
	if err != nil {
		return nil, "never"
	}
	r.ContentLength, r.Close = int64(len(value)), true
	r.Header.Set("X-Request-ID", string(cmd.ID))
	r.Header.Set("X-Attrs", string(cmd.AppendAttrs(nil, b.left(until))))
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
