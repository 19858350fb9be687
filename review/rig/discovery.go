package main

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// discovery is the agent: it answers at once with what it has, and holds a watch until there is a change or its wait is over.
type discovery struct {
	addr       string
	mu         sync.Mutex
	generation int
	entries    map[string]map[string]any
	changedIn  map[string]int
	changed    chan struct{}
}

func newDiscovery() *discovery {
	l := listen()
	d := &discovery{addr: l.Addr().String(), generation: 1, entries: map[string]map[string]any{}, changedIn: map[string]int{}, changed: make(chan struct{})}
	go http.Serve(l, d)
	return d
}

// set changes a host's entry.
func (d *discovery) set(id, addr, kind, lifecycle string, startedAt time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	started := int64(0)
	if !startedAt.IsZero() {
		started = startedAt.UnixMilli()
	}
	d.generation++
	d.entries[id] = map[string]any{"instanceId": id, "hostPort": addr, "zone": "caba-1", "machineType": kind, "cell": 0, "lifecycle": lifecycle,
		"weight": 1.0, "startedAtMs": started}
	d.changedIn[id] = d.generation
	close(d.changed)
	d.changed = make(chan struct{})
	rec.add("discovery: %s is %s at %s", id, lifecycle, addr)
}

// response returns the whole list if after is negative, else what changed since that version. The caller holds mu.
func (d *discovery) response(after int) []byte {
	rows := []any{}
	for id, e := range d.entries {
		if after < 0 && e["lifecycle"] != "left" || after >= 0 && d.changedIn[id] > after {
			rows = append(rows, e)
		}
	}
	text, _ := json.Marshal(map[string]any{"generation": d.generation, "reset": after < 0, "instances": rows})
	return text
}

func (d *discovery) list() []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.response(-1)
}

func (d *discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	after := -1
	if s := r.URL.Query().Get("after"); s != "" {
		after, _ = strconv.Atoi(s)
	}
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	d.mu.Lock()
	if changed := d.changed; after >= d.generation {
		d.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(min(wait, 60000)) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
		d.mu.Lock()
	}
	text := d.response(after)
	d.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.Write(text)
}
