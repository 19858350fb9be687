package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// instance is one entry of discovery's list.
type instance struct {
	InstanceID  string  `json:"instanceId"`
	HostPort    string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	MachineType string  `json:"machineType"`
	Cell        int     `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAtMs int64   `json:"startedAtMs"`
}

type targets struct {
	Generation int        `json:"generation"`
	Reset      bool       `json:"reset"`
	Instances  []instance `json:"instances"`
}

// discovery is a stand-in for the discovery service: the whole list, and watches on its changes.
type discovery struct {
	w        *world
	name     string
	listener net.Listener
	// before is called with each call before it is answered, if it is set; it may wait.
	before func(whole bool)

	mu         sync.Mutex
	plan       []string      // what happens to the next calls
	called     chan struct{} // closed when the next call has come; nil: nobody waits for it
	generation int
	entries    map[string]instance
	changedAt  map[string]int
	changed    chan struct{}
}

func (w *world) newDiscovery(name string, generation int, entries ...instance) *discovery {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err, "discovery")
	d := &discovery{w: w, name: name, listener: l, generation: generation, entries: map[string]instance{}, changedAt: map[string]int{}, changed: make(chan struct{})}
	for _, e := range entries {
		d.entries[e.InstanceID], d.changedAt[e.InstanceID] = e, generation
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go d.serve(c)
		}
	}()
	return d
}

func (d *discovery) addr() string { return d.listener.Addr().String() }

// set changes one entry, as one new version of the list.
func (d *discovery) set(e instance) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.generation++
	d.entries[e.InstanceID], d.changedAt[e.InstanceID] = e, d.generation
	close(d.changed)
	d.changed = make(chan struct{})
	d.w.printf("%s: version %d, %s is %s", d.name, d.generation, e.InstanceID, e.Lifecycle)
}

// silenceNextWatch lets the next watch fall silent as soon as it has come: its connection stays open and it is never answered. The call
// after it is turned away.
func (d *discovery) silenceNextWatch() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.plan = []string{"silent", "turned away"}
}

// nextCall returns a channel that is closed when the next call has come.
func (d *discovery) nextCall() chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.called == nil {
		d.called = make(chan struct{})
	}
	return d.called
}

// noteCall returns what happens to the call that has come: "" if it is answered as usual.
func (d *discovery) noteCall() (fate string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.plan) > 0 {
		fate, d.plan = d.plan[0], d.plan[1:]
	}
	if d.called != nil {
		close(d.called)
		d.called = nil
	}
	return fate
}

// list returns the whole list, or what has changed after a version.
func (d *discovery) list(whole bool, after int) (t targets, changed chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	t = targets{Generation: d.generation, Reset: whole, Instances: []instance{}}
	for id, e := range d.entries {
		if whole && e.Lifecycle != "left" || !whole && d.changedAt[id] > after {
			t.Instances = append(t.Instances, e)
		}
	}
	return t, d.changed
}

func (d *discovery) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		head, err := readHead(r)
		if err != nil {
			return
		}
		target := strings.Fields(head[0])[1]
		after, whole, wait := 0, true, 0
		if _, query, ok := strings.Cut(target, "?"); ok {
			whole = false
			for _, pair := range strings.Split(query, "&") {
				name, value, _ := strings.Cut(pair, "=")
				switch name {
				case "after":
					after, _ = strconv.Atoi(value)
				case "wait_ms":
					wait, _ = strconv.Atoi(value)
				}
			}
		}
		d.w.printf("%s: GET %s from %s", d.name, target, c.RemoteAddr())
		if d.before != nil {
			d.before(whole)
		}
		switch d.noteCall() {
		case "silent":
			d.w.printf("%s: this watch has fallen silent", d.name)
			io.Copy(io.Discard, r)
			return
		case "turned away":
			d.w.printf("%s: turned away", d.name)
			io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		t, changed := d.list(whole, after)
		end := time.After(time.Duration(wait) * time.Millisecond)
		for waiting := !whole; waiting && t.Generation <= after; {
			select {
			case <-changed:
			case <-end:
				waiting = false
			}
			t, changed = d.list(false, after)
		}
		text, _ := json.Marshal(t)
		if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(text), text); err != nil {
			return
		}
		d.w.printf("%s: answered %.600s", d.name, text)
	}
}

// readHead reads the lines of an HTTP head up to the empty one.
func readHead(r *bufio.Reader) (lines []string, err error) {
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return nil, err
		}
		if line = strings.TrimRight(line, "\r\n"); line == "" {
			return lines, nil
		}
		lines = append(lines, line)
	}
}

// shot is one attempt as a server got it.
// connection is the way back to the balancer.
type connection = net.Conn

type shot struct {
	server    string
	write     bool
	key, id   string
	attrs     string
	firstByte time.Time
	lastByte  time.Time
	answered  time.Time
}

// server is a stand-in for a cache host or the origin.
type server struct {
	w        *world
	name     string
	listener net.Listener
	// answer gives the answer to an attempt; it may wait. An empty one leaves the attempt unanswered.
	answer func(s *shot, c net.Conn) string

	mu    sync.Mutex
	shots []*shot
}

func (s *server) entry(kind string) instance {
	return instance{InstanceID: s.name, HostPort: s.listener.Addr().String(), Zone: "here", MachineType: kind, Lifecycle: "active", Weight: 1}
}

func (s *server) note(x *shot) {
	s.mu.Lock()
	s.shots = append(s.shots, x)
	s.mu.Unlock()
}

// all returns the attempts so far.
func (s *server) all() []*shot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*shot(nil), s.shots...)
}

func (w *world) newServer(name string, serve func(*server, net.Conn)) *server {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err, name)
	s := &server{w: w, name: name, listener: l}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(s, c)
		}
	}()
	return s
}

// newCache returns a cache host that has every key, with its id as the value.
func (w *world) newCache(name string) *server {
	s := w.newServer(name, serveCache)
	s.answer = func(x *shot, _ net.Conn) string { return fmt.Sprintf("VA %d O%s\r\n%s\r\n", len(x.id), x.id, x.id) }
	return s
}

func serveCache(s *server, c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		if _, err := r.Peek(1); err != nil {
			return
		}
		x := &shot{server: s.name, firstByte: time.Now()}
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		words := strings.Fields(line)
		if len(words) < 2 || words[0] != "mg" && words[0] != "ms" {
			io.WriteString(c, "CLIENT_ERROR\r\n")
			return
		}
		x.write, x.key = words[0] == "ms", words[1]
		for _, word := range words[2:] {
			switch word[0] {
			case 'O':
				x.id = word[1:]
			case 'P':
				x.attrs = word[1:]
			}
		}
		if x.write {
			n, _ := strconv.Atoi(words[2])
			if _, err := io.CopyN(io.Discard, r, int64(n)+2); err != nil {
				return
			}
		}
		x.lastByte = time.Now()
		s.note(x)
		s.w.printf("%s got %s", s.name, strings.TrimSpace(line))
		if answer := s.answer(x, c); answer != "" {
			if _, err := io.WriteString(c, answer); err != nil {
				return
			}
			x.answered = time.Now()
		}
	}
}

// newOrigin returns an origin that answers every call after a delay.
func (w *world) newOrigin(name string, delay time.Duration) *server {
	s := w.newServer(name, serveOrigin)
	s.answer = func(x *shot, _ net.Conn) string {
		time.Sleep(delay)
		body := x.id
		if x.write {
			body = "receipt" + x.id
		}
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
	return s
}

func serveOrigin(s *server, c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		if _, err := r.Peek(1); err != nil {
			return
		}
		x := &shot{server: s.name, firstByte: time.Now()}
		head, err := readHead(r)
		if err != nil {
			return
		}
		words := strings.Fields(head[0])
		x.write, x.key = words[0] == "PUT", strings.TrimPrefix(words[1], "/")
		length := 0
		for _, line := range head[1:] {
			name, value, _ := strings.Cut(line, ":")
			value = strings.TrimSpace(value)
			switch strings.ToLower(name) {
			case "content-length":
				length, _ = strconv.Atoi(value)
			case "x-request-id":
				x.id = value
			case "x-attrs":
				x.attrs = value
			}
		}
		if _, err := io.CopyN(io.Discard, r, int64(length)); err != nil {
			return
		}
		x.lastByte = time.Now()
		s.note(x)
		s.w.printf("%s got %s id %s attrs %s", s.name, head[0], x.id, x.attrs)
		if answer := s.answer(x, c); answer != "" {
			if _, err := io.WriteString(c, answer); err != nil {
				s.w.printf("%s could not answer id %s: %v", s.name, x.id, err)
				return
			}
			x.answered = time.Now()
			s.w.printf("%s answered id %s", s.name, x.id)
		}
	}
}

// client is one connection to a balancer.
type client struct {
	w    *world
	conn net.Conn
	r    *bufio.Reader
}

func (w *world) dial(addr string) *client {
	c, err := net.DialTimeout("tcp", addr, 2*time.Second)
	must(err, "client")
	return newClient(w, c)
}

func newClient(w *world, c net.Conn) *client { return &client{w, c, bufio.NewReader(c)} }

func (c *client) send(text string) error {
	_, err := io.WriteString(c.conn, text)
	return err
}

// answer reads one answer: its first line, and the value if there is one.
func (c *client) answer(within time.Duration) (line, value string, err error) {
	c.conn.SetReadDeadline(time.Now().Add(within))
	line, err = c.r.ReadString('\n')
	line = strings.TrimRight(line, "\r\n")
	if err != nil || !strings.HasPrefix(line, "VA ") {
		return line, "", err
	}
	n, _ := strconv.Atoi(strings.Fields(line)[1])
	body := make([]byte, n+2)
	if _, err = io.ReadFull(c.r, body); err != nil {
		return line, "", err
	}
	return line, string(body[:n]), nil
}
