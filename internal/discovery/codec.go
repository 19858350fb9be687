package discovery

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"

	"streamrail/policy"
)

// NameIndexes maps the zone and machine type names that discovery uses to their indexes in the settings' lists.
type NameIndexes struct {
	Zones map[string]policy.Zone
	Kinds map[string]policy.MachineKind
	// Yield is called by Decode after every entriesPerYield entries, so that parsing a long list does not block other work.
	// It may be nil.
	Yield func()
}

// entriesPerYield is how many entries Decode reads between two calls of Yield; they take about 0.25 ms.
const entriesPerYield = 32

var conditions = map[string]policy.Condition{
	"active": policy.Up, "leaving": policy.Draining, "left": policy.Gone,
}

// listResponse is the JSON body of a response from discovery.
type listResponse struct {
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
	Weight      *float64 `json:"weight"` // nil means 1
	StartedAtMs int64    `json:"startedAtMs"`
}

// Parse reads the body of a response, as Decode does.
func (n NameIndexes) Parse(text []byte) (List, error) {
	return n.Decode(bytes.NewReader(text), func(int64, Host) {})
}

// Decode reads the body of a response up to its end. It calls added with each host as soon as its entry is read, and with the generation
// of the list, 0 if that has not been read yet. Entries that cannot be used are returned in List.Unusable instead of failing the whole
// response: otherwise this balancer would keep sending to the other hosts that are leaving for as long as discovery
// returned the faulty entry.
func (n NameIndexes) Decode(body io.Reader, added func(generation int64, h Host)) (l List, err error) {
	d := json.NewDecoder(body)
	first, err := d.Token()
	if err != nil {
		return l, err
	}
	switch first {
	case nil: // null
	case json.Delim('{'):
		if err = n.parseFields(d, &l, added); err != nil {
			return l, err
		}
	default:
		return l, fmt.Errorf("expected a JSON object, got %v", first)
	}
	if _, err = d.Token(); err != io.EOF {
		return l, errors.New("unexpected text after the list")
	}
	return l, nil
}

// parseFields reads the fields of the response object up to its closing brace.
func (n NameIndexes) parseFields(d *json.Decoder, l *List, added func(int64, Host)) error {
	for d.More() {
		token, err := d.Token()
		if err != nil {
			return err
		}
		name, _ := token.(string) // the decoder returns only strings as keys
		switch {
		case strings.EqualFold(name, "generation"):
			err = d.Decode(&l.Generation)
		case strings.EqualFold(name, "reset"):
			err = d.Decode(&l.Snapshot)
		case strings.EqualFold(name, "instances"):
			err = n.parseInstances(d, l, added)
		default:
			err = d.Decode(new(json.RawMessage))
		}
		if err != nil {
			return err
		}
	}
	_, err := d.Token()
	return err
}

// parseInstances reads the array of entries one entry at a time.
func (n NameIndexes) parseInstances(d *json.Decoder, l *List, added func(int64, Host)) error {
	l.Hosts, l.Unusable = nil, nil
	first, err := d.Token()
	if err != nil || first == nil {
		return err
	}
	if first != json.Delim('[') {
		return fmt.Errorf("instances: expected an array, got %v", first)
	}
	for count := 1; d.More(); count++ {
		var entry instance
		err := d.Decode(&entry) // on a field of the wrong type it still decodes the other fields
		if err != nil && !errors.As(err, new(*json.UnmarshalTypeError)) {
			return err
		}
		h, err := n.parseHost(&entry, err)
		if err != nil {
			l.Unusable = append(l.Unusable, UnusableEntry{h.HostID, h.Condition, err})
		} else {
			l.Hosts = append(l.Hosts, h)
			added(l.Generation, h)
		}
		if count%entriesPerYield == 0 && n.Yield != nil {
			n.Yield()
		}
	}
	_, err = d.Token()
	return err
}

// parseHost converts an entry to a host. If the entry is unusable, it returns an error and the fields that could be read.
func (n NameIndexes) parseHost(entry *instance, decodeErr error) (h Host, err error) {
	h = Host{Addr: entry.HostPort, HostEntry: policy.HostEntry{HostID: policy.HostID(entry.InstanceID),
		Cell: policy.Cell(entry.Cell), Size: 1, ListedStart: policy.Nanos(entry.StartedAtMs) * policy.Millisecond}}
	var ok bool
	if h.Condition, ok = conditions[entry.Lifecycle]; !ok && entry.Lifecycle != "" {
		h.Condition = policy.Draining // an unknown state does not ask for new requests
	}
	switch {
	case decodeErr != nil:
		return h, decodeErr
	case entry.Lifecycle == "" || entry.InstanceID == "":
		return h, fmt.Errorf("entry with instanceId %.100q and lifecycle %.100q: expected both to be set", entry.InstanceID, entry.Lifecycle)
	case h.Condition != policy.Gone:
		if _, _, err := net.SplitHostPort(entry.HostPort); err != nil {
			return h, fmt.Errorf("entry %.100q: %w", entry.InstanceID, err)
		}
	}
	if h.Zone, ok = n.Zones[entry.Zone]; !ok {
		h.Zone = policy.Zone(len(n.Zones)) // an index that no zone in the settings has, so it is never the balancer's own zone
	}
	if h.Kind, ok = n.Kinds[entry.MachineType]; !ok {
		h.Kind = policy.MachineKind(len(n.Kinds))
	}
	if entry.Weight != nil {
		h.Size = *entry.Weight
	}
	return h, nil
}

// Format encodes a list in the form that Parse reads.
func (n NameIndexes) Format(l List) []byte {
	body := listResponse{Generation: l.Generation, Reset: l.Snapshot, Instances: []instance{}}
	for _, h := range l.Hosts {
		body.Instances = append(body.Instances, instance{string(h.HostID), h.Addr, nameOf(n.Zones, h.Zone), nameOf(n.Kinds, h.Kind),
			int(h.Cell), nameOf(conditions, h.Condition), &h.Size, int64(h.ListedStart / policy.Millisecond)})
	}
	text, _ := json.Marshal(body)
	return text
}

// nameOf returns the name that maps to a value, or "" if none does. Parse maps "" to an index that no name in the settings has.
func nameOf[T comparable](names map[string]T, value T) string {
	for name, v := range names {
		if v == value {
			return name
		}
	}
	return ""
}
