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

// Names maps the names that discovery uses to the places in the settings' lists.
type Names struct {
	Zones map[string]policy.Zone
	Kinds map[string]policy.Kind
	// Pause is called by Parse between each so many entries, so that a long list keeps nothing else waiting; nil: it is not.
	Pause func()
}

// pauseEvery is how many entries are read in one go: a quarter of a millisecond's work.
const pauseEvery = 32

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

// Parse reads an answer. An entry that cannot be used is set apart: were the whole answer thrown away for it, the hosts
// beside it that leave would be sent to for as long as it stands there.
func (n Names) Parse(text []byte) (l List, err error) {
	d := json.NewDecoder(bytes.NewReader(text))
	first, err := d.Token()
	if err != nil {
		return l, err
	}
	switch first {
	case nil: // null
	case json.Delim('{'):
		if err = n.parseFields(d, &l); err != nil {
			return l, err
		}
	default:
		return l, fmt.Errorf("a list that begins with %v", first)
	}
	if _, err = d.Token(); err != io.EOF {
		return l, errors.New("more text behind the list")
	}
	return l, nil
}

// parseFields reads the fields of an answer, up to its end.
func (n Names) parseFields(d *json.Decoder, l *List) error {
	for d.More() {
		token, err := d.Token()
		if err != nil {
			return err
		}
		name, _ := token.(string) // nothing else stands there
		switch {
		case strings.EqualFold(name, "generation"):
			err = d.Decode(&l.Generation)
		case strings.EqualFold(name, "reset"):
			err = d.Decode(&l.Whole)
		case strings.EqualFold(name, "instances"):
			err = n.parseInstances(d, l)
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

// parseInstances reads the entries one by one.
func (n Names) parseInstances(d *json.Decoder, l *List) error {
	l.Hosts, l.Unread = nil, nil
	first, err := d.Token()
	if err != nil || first == nil {
		return err
	}
	if first != json.Delim('[') {
		return fmt.Errorf("instances that begin with %v", first)
	}
	for read := 1; d.More(); read++ {
		var in instance
		err := d.Decode(&in) // of a field of a wrong kind it reads the others all the same
		if err != nil && !errors.As(err, new(*json.UnmarshalTypeError)) {
			return err
		}
		h, err := n.host(&in, err)
		if err != nil {
			l.Unread = append(l.Unread, Unread{h.Cache, h.Condition, err})
		} else {
			l.Hosts = append(l.Hosts, h)
		}
		if read%pauseEvery == 0 && n.Pause != nil {
			n.Pause()
		}
	}
	_, err = d.Token()
	return err
}

// host is the host of an entry, or what can be made out of it and what is wrong with it.
func (n Names) host(in *instance, faulty error) (h Host, err error) {
	h = Host{Addr: in.HostPort, Entry: policy.Entry{Cache: policy.CacheID(in.InstanceID),
		Cell: policy.Cell(in.Cell), Size: 1, Born: policy.Nanos(in.StartedAtMs) * policy.Millisecond}}
	var ok bool
	if h.Condition, ok = conditions[in.Lifecycle]; !ok && in.Lifecycle != "" {
		h.Condition = policy.Draining // a state not known here is none in which it asks for work
	}
	switch {
	case faulty != nil:
		return h, faulty
	case in.Lifecycle == "" || in.InstanceID == "":
		return h, fmt.Errorf("an entry %.100q with lifecycle %.100q", in.InstanceID, in.Lifecycle)
	case h.Condition != policy.Gone:
		if _, _, err := net.SplitHostPort(in.HostPort); err != nil {
			return h, fmt.Errorf("entry %.100q: %w", in.InstanceID, err)
		}
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
	return h, nil
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
