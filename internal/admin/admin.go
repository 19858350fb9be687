// Package admin is the operators' door: HTTP/1.1 on an address of its own, one call to a connection. It asks the Balancer
// that it was made with and decides nothing.
package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	stdlog "log"
	"math"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Balancer is what the door opens to.
type Balancer interface {
	Ready() bool
	Telemetry() Figures
	// Exclude takes a cache host out, Include puts it back. Each returns once it holds.
	// Told is what it adds to the answer.
	Exclude(member string, how How) (told string, err error)
	Include(member string, how How) (told string, err error)
	// Members is what this balancer sees of its fleet; an error says why it sees nothing.
	Members() (Members, error)
	// Limits are its parts of what holds for the whole fleet; an error says why there are none.
	Limits() (Limits, error)
	// ExclusionOrders are those by hand for the whole fleet; an error says why there are none.
	ExclusionOrders() (Orders, error)
	// Observations is what other balancers say of hosts; an error says why nothing is heard.
	Observations() (Evidence, error)
}

// What a call on a member may meet.
var (
	ErrNobody  = errors.New("no cache host has this id")
	ErrTooMany = errors.New("too many cache hosts are out already")
)

const (
	// mostConns bounds the connections: a scrape, a readiness check and a hand at the console each hold one for some
	// milliseconds; what is beyond that holds one without a call.
	mostConns = 8
	// callWait is for the whole call, answerWait for the answer to be taken: longer than any of the operators' tools takes.
	callWait   = 5 * time.Second
	answerWait = 2 * time.Second
	mostHead   = 8 << 10
	mostBody   = 4 << 10 // an id has a few dozen bytes
)

// Descriptors is what the door holds at the most, with its listener.
const Descriptors = mostConns + 1

// Door is the operators' address while it is open.
type Door struct {
	server   http.Server
	listener *bounded
}

// Open answers on a listener until Close.
func Open(l net.Listener, to Balancer) *Door {
	d := &Door{listener: &bounded{Listener: l}}
	d.server = http.Server{Handler: handler(to), ReadTimeout: callWait, ReadHeaderTimeout: callWait, WriteTimeout: callWait + answerWait,
		MaxHeaderBytes: mostHead, ErrorLog: stdlog.New(io.Discard, "", 0),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }}
	d.server.SetKeepAlivesEnabled(false)
	go d.server.Serve(d.listener)
	return d
}

// Close takes no more calls and ends those in hand.
func (d *Door) Close() { d.server.Close() }

type connKey struct{}

// handler knows the calls. What is wrong with one is said in one line; it has changed nothing then.
func handler(to Balancer) http.Handler {
	calls := map[string]struct {
		method string
		answer http.HandlerFunc
	}{
		"/api/ready": {http.MethodGet, func(w http.ResponseWriter, _ *http.Request) {
			if !to.Ready() {
				say(w, http.StatusServiceUnavailable, "this process takes no clients")
				return
			}
			say(w, http.StatusOK, "ready")
		}},
		"/api/telemetry": {http.MethodGet, func(w http.ResponseWriter, _ *http.Request) {
			text := write(to.Telemetry())
			w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
			w.Write(text)
		}},
		"/api/members":  {http.MethodGet, shows(to.Members)},
		"/api/limits":   {http.MethodGet, shows(to.Limits)},
		"/api/orders":   {http.MethodGet, shows(to.ExclusionOrders)},
		"/api/evidence": {http.MethodGet, shows(to.Observations)},
		"/api/exclude":  {http.MethodPost, onMember(to.Exclude, "is out")},
		"/api/include":  {http.MethodPost, onMember(to.Include, "is in")},
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength == 0 {
			called(r)
		}
		call, known := calls[r.URL.Path]
		switch {
		case !known:
			say(w, http.StatusNotFound, "no such call")
		case r.Method != call.method:
			w.Header().Set("Allow", call.method)
			say(w, http.StatusMethodNotAllowed, "expected "+call.method)
		default:
			call.answer(w, r)
		}
	})
}

// shows answers with what the balancer tells, as JSON.
func shows[T any](of func() (T, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		v, err := of()
		if err != nil {
			say(w, http.StatusNotFound, err.Error())
			return
		}
		text, _ := json.MarshalIndent(v, "", "  ")
		w.Header().Set("Content-Type", "application/json")
		w.Write(append(text, '\n'))
	}
}

func say(w http.ResponseWriter, status int, line string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	io.WriteString(w, line+"\n")
}

func onMember(do func(string, How) (string, error), done string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, mostBody))
		if err != nil {
			status := http.StatusBadRequest
			if errors.As(err, new(*http.MaxBytesError)) {
				status = http.StatusRequestEntityTooLarge
			}
			say(w, status, "body: "+err.Error())
			return
		}
		called(r)
		member, how, err := memberIn(body)
		if err != nil {
			say(w, http.StatusBadRequest, "body: "+err.Error())
			return
		}
		switch told, err := do(member, how); {
		case errors.Is(err, ErrNoOrders):
			say(w, http.StatusBadRequest, "body: wait_ms and force: "+err.Error())
		case errors.Is(err, ErrNobody):
			say(w, http.StatusNotFound, err.Error())
		case err != nil:
			say(w, http.StatusServiceUnavailable, err.Error())
		default:
			say(w, http.StatusOK, fmt.Sprintf("%q %s%s", member, done, told))
		}
	}
}

// memberIn reads {"member":"ID"}, with "force" and "wait_ms" where they are wanted, and nothing else. It goes by tokens: decoding into
// a type would take the last of two members, and a key in other letters, for what was meant.
func memberIn(body []byte) (member string, how How, err error) {
	dec := json.NewDecoder(bytes.NewReader(body))
	no := func(form string, args ...any) (string, How, error) { return "", How{}, fmt.Errorf(form, args...) }
	if t, err := dec.Token(); err != nil || t != json.Delim('{') {
		return no(`expected {"member":"ID"}`)
	}
	seen := map[json.Token]bool{}
	for dec.More() {
		key, err := dec.Token()
		if err != nil {
			return no("not JSON")
		}
		if key != "member" && key != "force" && key != "wait_ms" {
			return no("key %q is not known", key)
		}
		v, err := dec.Token()
		if err != nil {
			return no("not JSON")
		}
		if seen[key] {
			return no("%s stands twice", key)
		}
		seen[key] = true
		ok := false
		switch key {
		case "member":
			member, ok = v.(string)
			if !ok || member == "" {
				return no("member: expected an id")
			}
		case "force":
			if how.Force, ok = v.(bool); !ok {
				return no("force: expected true or false")
			}
		case "wait_ms":
			ms, ok := v.(float64)
			if how.Wait = time.Duration(ms) * time.Millisecond; !ok || ms != math.Trunc(ms) || how.Wait < 0 || how.Wait > mostWait {
				return no("wait_ms: expected 0 to %d", mostWait.Milliseconds())
			}
		}
	}
	if _, err := dec.Token(); err != nil {
		return no("not JSON")
	}
	if _, err := dec.Token(); err != io.EOF {
		return no("something follows the object")
	}
	if member == "" {
		return no("member is missing")
	}
	return member, how, nil
}

// bounded takes every connection at once and holds so many: where one is too many, the oldest that has sent no whole
// call goes, so that those who hold one and say nothing keep nobody out.
type bounded struct {
	net.Listener
	mu    sync.Mutex
	conns []*conn // in the order of their coming
}

type conn struct {
	net.Conn
	in    *bounded
	whole bool // under in.mu: a whole call has come
}

func (b *bounded) Accept() (net.Conn, error) {
	for wait := time.Millisecond; ; wait = min(2*wait, 100*time.Millisecond) {
		c, err := b.Listener.Accept()
		if err == nil {
			return b.enter(c), nil
		}
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		time.Sleep(wait) // a lack of descriptors passes
	}
}

func (b *bounded) enter(from net.Conn) *conn {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.conns) >= mostConns {
		out := b.conns[max(0, slices.IndexFunc(b.conns, func(c *conn) bool { return !c.whole }))]
		b.drop(out)
		out.Conn.Close()
	}
	c := &conn{Conn: from, in: b}
	b.conns = append(b.conns, c)
	return c
}

func (b *bounded) drop(c *conn) {
	b.conns = slices.DeleteFunc(b.conns, func(o *conn) bool { return o == c })
}

// called notes that a call has come whole.
func called(r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(*conn); ok {
		c.in.mu.Lock()
		c.whole = true
		c.in.mu.Unlock()
	}
}

func (c *conn) Close() error {
	c.in.mu.Lock()
	c.in.drop(c)
	c.in.mu.Unlock()
	return c.Conn.Close()
}

// Figures are what the balancer counts since its start, and how things stand.
type Figures struct {
	Products []Product
	Attempts int64 // written whole
	InHand   int64 // requests
	Listed   int   // cache hosts
	Avoided  int   // of those
	Late     int64 // answers written after their requests' deadlines
	// LongestHeld is the longest time for which one event held all decisions.
	LongestHeld time.Duration
	Fleet       *Fleet // nil where it speaks with no other balancer
}

// Product is one with the final answers that its requests were given.
type Product struct {
	Name                            string
	Fulfilled, RateLimited, Errored int64
}

// write gives the figures in the Prometheus text format.
func write(f Figures) []byte {
	var to bytes.Buffer
	for _, one := range []struct {
		name string
		of   func(Product) int64
	}{
		{"app_answered_total", func(p Product) int64 { return p.Fulfilled }},
		{"app_deferred_total", func(p Product) int64 { return p.RateLimited }},
		{"app_errored_total", func(p Product) int64 { return p.Errored }},
	} {
		fmt.Fprintf(&to, "# TYPE %s counter\n", one.name)
		for _, p := range f.Products {
			fmt.Fprintf(&to, "%s{group=\"%s\"} %d\n", one.name, escapes.Replace(p.Name), one.of(p))
		}
	}
	for _, one := range []struct {
		name, kind string
		n          int64
	}{
		{"app_sends_total", "counter", f.Attempts},
		{"app_current", "gauge", f.InHand},
		{"app_cluster_size", "gauge", int64(f.Listed)},
		{"app_cluster_unhealthy", "gauge", int64(f.Avoided)},
		{"app_late_total", "counter", f.Late},
		{"app_decisions_held_microseconds_max", "gauge", f.LongestHeld.Microseconds()},
	} {
		fmt.Fprintf(&to, "# TYPE %s %s\n%s %d\n", one.name, one.kind, one.name, one.n)
	}
	if f.Fleet != nil {
		f.Fleet.write(&to)
	}
	return to.Bytes()
}

var escapes = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)
