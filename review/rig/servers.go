package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// cacheTime is how long a cache host works on a read.
const cacheTime = 5 * time.Millisecond

// cacheHost is a cache host that has every key.
type cacheHost struct {
	id, addr string
	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	arrived  []time.Time // when the last byte of each command had come
}

func newCacheHost(id string) *cacheHost {
	h := &cacheHost{id: id, conns: map[net.Conn]bool{}, listener: listen()}
	h.addr = h.listener.Addr().String()
	go h.accept(h.listener)
	return h
}

func (h *cacheHost) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		h.mu.Lock()
		h.conns[c] = true
		h.mu.Unlock()
		go h.serve(c)
	}
}

// stop ends the host's process: it closes its address and its connections.
func (h *cacheHost) stop() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.listener.Close()
	for c := range h.conns {
		c.Close()
	}
	h.conns = map[net.Conn]bool{}
	rec.add("%s: the process has ended", h.id)
}

// restart starts the host's process again, at its address.
func (h *cacheHost) restart() {
	l, err := net.Listen("tcp", h.addr)
	if err != nil {
		cannotRun("%v", err)
	}
	h.mu.Lock()
	h.listener = l
	h.mu.Unlock()
	go h.accept(l)
	rec.add("%s: the process has started again", h.id)
}

func (h *cacheHost) serve(c net.Conn) {
	defer func() {
		h.mu.Lock()
		delete(h.conns, c)
		h.mu.Unlock()
		c.Close()
	}()
	in := bufio.NewReader(c)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		words := strings.Fields(line)
		if len(words) < 3 || words[0] != "mg" {
			io.WriteString(c, "ERROR\r\n")
			continue
		}
		h.mu.Lock()
		h.arrived = append(h.arrived, time.Now())
		h.mu.Unlock()
		id := wordWith(words, 'O')
		rec.add("%s: got %s", h.id, strings.TrimSpace(line))
		time.Sleep(cacheTime)
		v := "value-of-" + words[1]
		fmt.Fprintf(c, "VA %d O%s\r\n%s\r\n", len(v), id, v)
	}
}

// since returns the arrivals after a time.
func (h *cacheHost) since(at time.Time) (late []time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, t := range h.arrived {
		if t.After(at) {
			late = append(late, t)
		}
	}
	return late
}

// wordWith returns the rest of the first word that begins with a letter, behind the command and the key.
func wordWith(words []string, letter byte) string {
	for _, w := range words[2:] {
		if w[0] == letter {
			return w[1:]
		}
	}
	return ""
}

// originTime is how long the origin works on a request.
const originTime = 80 * time.Millisecond

// effect is what one write did at the origin.
type effect struct {
	id string
	at time.Time
}

// origin is the origin. It applies a write when its last byte has come, and drops a repeat of one that carries the same mark for
// dedupWindow.
type origin struct {
	addr string
	mu   sync.Mutex
	// Where firstPiece is not 0, the origin takes so many bytes of a write at once and the rest after waitToRead.
	firstPiece int64
	waitToRead func(id string)
	effects    map[string][]effect                   // by mark
	resetIn    func(id string) (time.Duration, bool) // whether the connection is reset under a write, and how long after its last byte
}

func newOrigin() *origin {
	l := listen()
	o := &origin{addr: l.Addr().String(), effects: map[string][]effect{}}
	go http.Serve(l, o)
	return o
}

func (o *origin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id, mark := r.Header.Get("X-Request-ID"), ""
	for _, pair := range strings.Split(r.Header.Get("X-Attrs"), ",") {
		if v, ok := strings.CutPrefix(pair, "k="); ok {
			mark = v
		}
	}
	if r.Method != "PUT" {
		time.Sleep(originTime)
		v := "value-of-" + strings.TrimPrefix(r.URL.Path, "/")
		w.Header().Set("Content-Length", strconv.Itoa(len(v)))
		io.WriteString(w, v)
		return
	}
	if o.firstPiece > 0 {
		if _, err := io.CopyN(io.Discard, r.Body, o.firstPiece); err == nil {
			o.waitToRead(id)
		}
	}
	if _, err := io.ReadAll(r.Body); err != nil {
		rec.add("origin: PUT %s id=%s did not come whole: %v", r.URL.Path, id, err)
		return
	}
	now := time.Now()
	o.mu.Lock()
	done := o.effects[mark]
	repeat := mark != "" && len(done) > 0 && now.Sub(done[len(done)-1].at) < dedupWindow
	if !repeat {
		o.effects[mark] = append(done, effect{id, now})
	}
	o.mu.Unlock()
	rec.add("origin: got PUT %s id=%s k=%s, %s", r.URL.Path, id, mark, map[bool]string{true: "a repeat, dropped", false: "run"}[repeat])
	if o.resetIn != nil {
		if after, reset := o.resetIn(id); reset {
			time.Sleep(after)
			c, _, err := w.(http.Hijacker).Hijack()
			if err != nil {
				return
			}
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
			rec.add("origin: connection reset under id=%s, %v after its last byte", id, after)
			return
		}
	}
	time.Sleep(originTime)
	receipt := "r-" + id
	w.Header().Set("Content-Length", strconv.Itoa(len(receipt)))
	io.WriteString(w, receipt)
}
