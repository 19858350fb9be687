// Package discovery follows the list of cache hosts.
package discovery

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strconv"
	"time"

	"streamrail/internal/httpwire"
	"streamrail/policy"
)

// Host is one entry of the list with its address.
type Host struct {
	policy.Entry
	Addr string
}

// List is one answer of discovery.
type List struct {
	Generation int64
	Whole      bool
	Hosts      []Host
}

// Names maps the names that discovery uses to the places in the settings' lists.
type Names struct {
	Zones map[string]policy.Zone
	Kinds map[string]policy.Kind
}

var conditions = map[string]policy.Condition{
	"active": policy.Up, "leaving": policy.Draining, "left": policy.Gone,
}

// answer is what discovery says, as JSON.
type answer struct {
	Generation int64      `json:"generation"`
	Reset      bool       `json:"reset"`
	Instances  []instance `json:"instances"`
}

type instance struct {
	InstanceID  string   `json:"instanceId"`
	HostPort    string   `json:"hostPort"`
	Zone        string   `json:"zone"`
	MachineType string   `json:"machineType"`
	Cell        int      `json:"cell"`
	Lifecycle   string   `json:"lifecycle"`
	Weight      *float64 `json:"weight"` // absent: 1
	StartedAtMs int64    `json:"startedAtMs"`
}

// Parse reads an answer. A list with a faulty entry is not taken at all: half a list would take hosts away.
func (n Names) Parse(text []byte) (l List, err error) {
	var body answer
	if err = json.Unmarshal(text, &body); err != nil {
		return l, err
	}
	l.Generation, l.Whole = body.Generation, body.Reset
	for _, in := range body.Instances {
		h := Host{Addr: in.HostPort, Entry: policy.Entry{Cache: policy.CacheID(in.InstanceID),
			Cell: policy.Cell(in.Cell), Size: 1, Born: policy.Nanos(in.StartedAtMs) * policy.Millisecond}}
		var ok bool
		if in.Lifecycle == "" || in.InstanceID == "" {
			return l, fmt.Errorf("an entry %q with lifecycle %q", in.InstanceID, in.Lifecycle)
		}
		if h.Condition, ok = conditions[in.Lifecycle]; !ok {
			h.Condition = policy.Draining // a state not known here is none in which it asks for work
		}
		if _, _, err = net.SplitHostPort(in.HostPort); err != nil && h.Condition != policy.Gone {
			return l, fmt.Errorf("entry %q: %w", in.InstanceID, err)
		}
		if h.Zone, ok = n.Zones[in.Zone]; !ok {
			h.Zone = policy.Zone(len(n.Zones)) // not in the settings: no balancer's own
		}
		if h.Kind, ok = n.Kinds[in.MachineType]; !ok {
			h.Kind = policy.Kind(len(n.Kinds))
		}
		if in.Weight != nil {
			h.Size = *in.Weight
		}
		l.Hosts = append(l.Hosts, h)
	}
	return l, nil
}

// Format writes a list as Parse reads it.
func (n Names) Format(l List) []byte {
	body := answer{Generation: l.Generation, Reset: l.Whole, Instances: []instance{}}
	for _, h := range l.Hosts {
		body.Instances = append(body.Instances, instance{string(h.Cache), h.Addr, nameOf(n.Zones, h.Zone), nameOf(n.Kinds, h.Kind),
			int(h.Cell), nameOf(conditions, h.Condition), &h.Size, int64(h.Born / policy.Millisecond)})
	}
	text, _ := json.Marshal(body)
	return text
}

// nameOf is empty where nothing has that place, which Parse takes for a place of its own.
func nameOf[T comparable](names map[string]T, of T) string {
	for name, v := range names {
		if v == of {
			return name
		}
	}
	return ""
}

const (
	watchFor  = 10 * time.Second // what one call may wait
	connectIn = time.Second      // the agent is on this machine
	grace     = 3 * time.Second  // what an answer may take beyond that: one second cut off slow ones, to ask again
	mostBytes = 8 << 20          // a list of some ten thousand hosts
)

// Watch asks for the list, then for what changes.
type Watch struct {
	Addr  string
	Names Names
	conn  net.Conn
	in    *bufio.Reader
	after int64
	begun bool
}

// From has the watch ask for what changed after a list that is known already.
func (w *Watch) From(generation int64) { w.begun, w.after = true, generation }

// unusable is an answer that came and cannot be taken.
type unusable struct{ error }

// Next waits for the next answer; it may bring no hosts. After an answer that cannot be taken the next call starts
// over with the whole list. After a call that failed it does not: the list at hand is as good as it was, and whole
// lists for all, asked for again and again, are what keeps a discovery that was busy for a moment busy for good.
func (w *Watch) Next(ctx context.Context) (List, error) {
	l, err := w.ask(ctx)
	if err != nil {
		w.Close()
		if errors.As(err, &unusable{}) {
			w.begun = false
		}
		return List{}, err
	}
	w.From(l.Generation)
	return l, nil
}

// Close drops the connection.
func (w *Watch) Close() {
	if w.conn != nil {
		w.conn.Close()
		w.conn = nil
	}
}

func (w *Watch) ask(ctx context.Context) (l List, err error) {
	target, wait := "/api/targets", grace
	if w.begun {
		target += "?after=" + strconv.FormatInt(w.after, 10) + "&wait_ms=" + strconv.FormatInt(watchFor.Milliseconds(), 10)
		wait += watchFor
	}
	if w.conn == nil {
		d := net.Dialer{Timeout: connectIn}
		if w.conn, err = d.DialContext(ctx, "tcp", w.Addr); err != nil {
			return l, err
		}
		w.in = bufio.NewReader(w.conn)
	}
	conn := w.conn
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	conn.SetDeadline(time.Now().Add(wait))
	if _, err = conn.Write(httpwire.AppendRequest(nil, "GET", target, w.Addr, -1)); err != nil {
		return l, err
	}
	r, err := httpwire.Read(w.in, mostBytes, mostBytes, func(int) bool { return true })
	if err != nil {
		return l, err
	}
	if r.Status/100 == 4 { // it does not know the version, say
		return l, unusable{fmt.Errorf("status %d", r.Status)}
	}
	if r.Status != 200 {
		return l, fmt.Errorf("status %d", r.Status)
	}
	if l, err = w.Names.Parse(r.Body); err != nil {
		return l, unusable{err}
	}
	switch {
	case l.Whole:
	case !w.begun:
		return l, unusable{errors.New("changes where the whole list was asked for")}
	case l.Generation < w.after: // another discovery, or one that has lost its past
		return l, unusable{fmt.Errorf("changes of version %d after version %d", l.Generation, w.after)}
	}
	if r.Close {
		w.Close()
	}
	return l, nil
}
