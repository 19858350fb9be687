// Package admin serves the admin API, which operators and their tools use: HTTP/1.1 on its own address, one request per
// connection. It passes each request to a Balancer and makes no decisions itself.
package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	stdlog "log"
	"maps"
	"math"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Balancer is what the admin API reads from and acts on.
type Balancer interface {
	Ready() bool
	Telemetry() Telemetry
	// Exclude excludes a cache host, Include ends its exclusion. Each returns once the change is in effect.
	// The note is appended to the response line.
	Exclude(member string, options ExclusionOptions) (note string, err error)
	Include(member string, options ExclusionOptions) (note string, err error)
	// Members returns this balancer's view of its fleet, or an error that says why it has none.
	Members() (Members, error)
	// Limits returns this balancer's shares of the fleet-wide limits, or an error that says why it has none.
	Limits() (Limits, error)
	// ExclusionOrders returns the fleet-wide exclusion orders, or an error that says why there are none.
	ExclusionOrders() (ExclusionOrders, error)
	// Observations returns the other balancers' observations of hosts, or an error that says why it receives none.
	Observations() (Observations, error)
}

// Errors of Balancer.Exclude and Balancer.Include.
var (
	ErrUnknownHost     = errors.New("no cache host has this id")
	ErrTooManyExcluded = errors.New("too many cache hosts are out already")
)

const (
	// maxConnections limits the open connections. A metrics scrape, a readiness check and an operator at a console each
	// need one for a few milliseconds; connections beyond these are probably open without sending a request.
	maxConnections = 8
	// requestTimeout limits the reading of a whole request, responseTimeout the writing of its response. Both are longer
	// than any of the operators' tools needs.
	requestTimeout  = 5 * time.Second
	responseTimeout = 2 * time.Second
	maxHeaderBytes  = 8 << 10
	maxBodyBytes    = 4 << 10 // a host id has a few dozen bytes
)

// MaxDescriptors is the largest number of file descriptors that the admin API uses, including its listener.
const MaxDescriptors = maxConnections + 1

// Server serves the admin API on one listener.
type Server struct {
	httpServer http.Server
	listener   *limitedListener
}

// Serve starts serving the admin API on a listener, until Server.Close.
func Serve(l net.Listener, balancer Balancer) *Server {
	s := &Server{listener: &limitedListener{Listener: l}}
	s.httpServer = http.Server{Handler: handler(balancer), ReadTimeout: requestTimeout, ReadHeaderTimeout: requestTimeout, WriteTimeout: requestTimeout + responseTimeout,
		MaxHeaderBytes: maxHeaderBytes, ErrorLog: stdlog.New(io.Discard, "", 0),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }}
	s.httpServer.SetKeepAlivesEnabled(false)
	go s.httpServer.Serve(s.listener)
	return s
}

// Close stops accepting requests and closes all connections, also those with a request in progress.
func (s *Server) Close() { s.httpServer.Close() }

// connKey is the context key of a request's connection.
type connKey struct{}

// handler dispatches requests to the endpoints. A faulty request is answered with one line and changes nothing.
func handler(balancer Balancer) http.Handler {
	endpoints := map[string]struct {
		method string
		handle http.HandlerFunc
	}{
		"/api/ready": {http.MethodGet, func(w http.ResponseWriter, _ *http.Request) {
			if !balancer.Ready() {
				writeLine(w, http.StatusServiceUnavailable, "this process takes no clients")
				return
			}
			writeLine(w, http.StatusOK, "ready")
		}},
		"/api/telemetry": {http.MethodGet, func(w http.ResponseWriter, _ *http.Request) {
			text := formatMetrics(balancer.Telemetry())
			w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
			w.Write(text)
		}},
		"/api/members":  {http.MethodGet, jsonHandler(balancer.Members)},
		"/api/limits":   {http.MethodGet, jsonHandler(balancer.Limits)},
		"/api/orders":   {http.MethodGet, jsonHandler(balancer.ExclusionOrders)},
		"/api/evidence": {http.MethodGet, jsonHandler(balancer.Observations)},
		"/api/exclude":  {http.MethodPost, memberHandler(balancer.Exclude, "is out")},
		"/api/include":  {http.MethodPost, memberHandler(balancer.Include, "is in")},
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength == 0 {
			markRequestReceived(r)
		}
		endpoint, known := endpoints[r.URL.Path]
		switch {
		case !known:
			writeLine(w, http.StatusNotFound, "no such call")
		case r.Method != endpoint.method:
			w.Header().Set("Allow", endpoint.method)
			writeLine(w, http.StatusMethodNotAllowed, "expected "+endpoint.method)
		default:
			endpoint.handle(w, r)
		}
	})
}

// jsonHandler answers with the value that get returns, as JSON.
func jsonHandler[T any](get func() (T, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		v, err := get()
		if err != nil {
			writeLine(w, http.StatusNotFound, err.Error())
			return
		}
		text, _ := json.MarshalIndent(v, "", "  ")
		w.Header().Set("Content-Type", "application/json")
		w.Write(append(text, '\n'))
	}
}

// writeLine answers with a status and one line of text.
func writeLine(w http.ResponseWriter, status int, line string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	io.WriteString(w, line+"\n")
}

// memberHandler applies change to the cache host that the request names. The response line ends with result and the
// change's note.
func memberHandler(change func(string, ExclusionOptions) (string, error), result string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err != nil {
			status := http.StatusBadRequest
			if errors.As(err, new(*http.MaxBytesError)) {
				status = http.StatusRequestEntityTooLarge
			}
			writeLine(w, status, "body: "+err.Error())
			return
		}
		markRequestReceived(r)
		member, options, err := parseMemberRequest(body)
		if err != nil {
			writeLine(w, http.StatusBadRequest, "body: "+err.Error())
			return
		}
		switch note, err := change(member, options); {
		case errors.Is(err, ErrNoFleetOrders):
			writeLine(w, http.StatusBadRequest, "body: wait_ms and force: "+err.Error())
		case errors.Is(err, ErrUnknownHost):
			writeLine(w, http.StatusNotFound, err.Error())
		case err != nil:
			writeLine(w, http.StatusServiceUnavailable, err.Error())
		default:
			writeLine(w, http.StatusOK, fmt.Sprintf("%q %s%s", member, result, note))
		}
	}
}

// parseMemberRequest parses {"member":"ID"} with the optional keys "force" and "wait_ms", and rejects anything else. It reads
// token by token because decoding into a struct would accept a repeated key (the last one wins) and keys in another case.
func parseMemberRequest(body []byte) (member string, options ExclusionOptions, err error) {
	dec := json.NewDecoder(bytes.NewReader(body))
	fail := func(format string, args ...any) (string, ExclusionOptions, error) {
		return "", ExclusionOptions{}, fmt.Errorf(format, args...)
	}
	if t, err := dec.Token(); err != nil || t != json.Delim('{') {
		return fail(`expected {"member":"ID"}`)
	}
	seen := map[json.Token]bool{}
	for dec.More() {
		key, err := dec.Token()
		if err != nil {
			return fail("not JSON")
		}
		if key != "member" && key != "force" && key != "wait_ms" {
			return fail("key %q is not known", key)
		}
		v, err := dec.Token()
		if err != nil {
			return fail("not JSON")
		}
		if seen[key] {
			return fail("%s stands twice", key)
		}
		seen[key] = true
		ok := false
		switch key {
		case "member":
			member, ok = v.(string)
			if !ok || member == "" {
				return fail("member: expected an id")
			}
		case "force":
			if options.Force, ok = v.(bool); !ok {
				return fail("force: expected true or false")
			}
		case "wait_ms":
			ms, ok := v.(float64)
			if options.Wait = time.Duration(ms) * time.Millisecond; !ok || ms != math.Trunc(ms) || options.Wait < 0 || options.Wait > maxConfirmationWait {
				return fail("wait_ms: expected 0 to %d", maxConfirmationWait.Milliseconds())
			}
		}
	}
	if _, err := dec.Token(); err != nil {
		return fail("not JSON")
	}
	if _, err := dec.Token(); err != io.EOF {
		return fail("something follows the object")
	}
	if member == "" {
		return fail("member is missing")
	}
	return member, options, nil
}

// limitedListener accepts every connection immediately and keeps at most maxConnections open. To make room it closes the
// oldest connection that has not yet sent a complete request, so that idle connections cannot lock others out.
type limitedListener struct {
	net.Listener
	mu          sync.Mutex
	connections []*trackedConn // in the order in which they were accepted
}

// trackedConn is a connection of a limitedListener.
type trackedConn struct {
	net.Conn
	listener        *limitedListener
	requestReceived bool // a complete request has been read; guarded by listener.mu
}

func (l *limitedListener) Accept() (net.Conn, error) {
	for wait := time.Millisecond; ; wait = min(2*wait, 100*time.Millisecond) {
		c, err := l.Listener.Accept()
		if err == nil {
			return l.add(c), nil
		}
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		time.Sleep(wait) // the error is temporary, e.g. no free file descriptor
	}
}

// add registers an accepted connection and, at the limit, closes another one.
func (l *limitedListener) add(accepted net.Conn) *trackedConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.connections) >= maxConnections {
		evicted := l.connections[max(0, slices.IndexFunc(l.connections, func(c *trackedConn) bool { return !c.requestReceived }))]
		l.remove(evicted)
		evicted.Conn.Close()
	}
	c := &trackedConn{Conn: accepted, listener: l}
	l.connections = append(l.connections, c)
	return c
}

// remove unregisters a connection. The caller holds l.mu.
func (l *limitedListener) remove(c *trackedConn) {
	l.connections = slices.DeleteFunc(l.connections, func(other *trackedConn) bool { return other == c })
}

// markRequestReceived records on the request's connection that the complete request has been read.
func markRequestReceived(r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(*trackedConn); ok {
		c.listener.mu.Lock()
		c.requestReceived = true
		c.listener.mu.Unlock()
	}
}

func (c *trackedConn) Close() error {
	c.listener.mu.Lock()
	c.listener.remove(c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

// Telemetry holds the balancer's counters since its start and the current values of its gauges.
type Telemetry struct {
	Products           []Product
	Attempts           int64 // sent completely
	RequestsInProgress int64 // requests without a final answer yet
	HostsListed        int   // cache hosts in the host list
	HostsAvoided       int   // cache hosts in the list that are currently avoided
	LateAnswers        int64 // answers written after their requests' deadlines
	// LongestHandling is the longest time for which the processing of one event blocked all other decisions.
	LongestHandling time.Duration
	// ConnectionsClosed counts closed connections to hosts by reason, AnswersNotBelieved the data from hosts that was not taken as the
	// answer to an attempt, by cause.
	ConnectionsClosed, AnswersNotBelieved map[string]int64
	HeldBytes                             map[string]int64 // memory reserved for what peers send, by use
	ProcessMemory                         int64            // bytes obtained from the system and not returned

	Fleet *FleetTelemetry // nil if this balancer does not communicate with other balancers
}

// Product holds the numbers of final answers given to one product's requests, by kind.
type Product struct {
	Name                            string
	Fulfilled, RateLimited, Errored int64
}

// formatMetrics formats the telemetry in the Prometheus text format.
func formatMetrics(t Telemetry) []byte {
	var buf bytes.Buffer
	for _, metric := range []struct {
		name  string
		count func(Product) int64
	}{
		{"app_answered_total", func(p Product) int64 { return p.Fulfilled }},
		{"app_deferred_total", func(p Product) int64 { return p.RateLimited }},
		{"app_errored_total", func(p Product) int64 { return p.Errored }},
	} {
		fmt.Fprintf(&buf, "# TYPE %s counter\n", metric.name)
		for _, p := range t.Products {
			fmt.Fprintf(&buf, "%s{group=\"%s\"} %d\n", metric.name, labelEscaper.Replace(p.Name), metric.count(p))
		}
	}
	for _, metric := range []struct {
		name, kind string
		value      int64
	}{
		{"app_sends_total", "counter", t.Attempts},
		{"app_current", "gauge", t.RequestsInProgress},
		{"app_cluster_size", "gauge", int64(t.HostsListed)},
		{"app_cluster_unhealthy", "gauge", int64(t.HostsAvoided)},
		{"app_late_total", "counter", t.LateAnswers},
		{"app_decisions_held_microseconds_max", "gauge", t.LongestHandling.Microseconds()},
		{"app_memory_bytes", "gauge", t.ProcessMemory},
	} {
		fmt.Fprintf(&buf, "# TYPE %s %s\n%s %d\n", metric.name, metric.kind, metric.name, metric.value)
	}
	writeLabelled(&buf, "app_connections_closed_total", "counter", "reason", t.ConnectionsClosed)
	writeLabelled(&buf, "app_answers_not_believed_total", "counter", "cause", t.AnswersNotBelieved)
	writeLabelled(&buf, "app_held_bytes", "gauge", "use", t.HeldBytes)
	if t.Fleet != nil {
		t.Fleet.writeMetrics(&buf)
	}
	return buf.Bytes()
}

// writeLabelled writes one figure for each value of a label, in their order.
func writeLabelled(buf *bytes.Buffer, name, kind, label string, counts map[string]int64) {
	fmt.Fprintf(buf, "# TYPE %s %s\n", name, kind)
	for _, value := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(buf, "%s{%s=\"%s\"} %d\n", name, label, labelEscaper.Replace(value), counts[value])
	}
}

// labelEscaper escapes label values as the Prometheus text format requires.
var labelEscaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)
