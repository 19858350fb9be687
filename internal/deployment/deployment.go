// Package deployment reads and checks the configuration of a balancer and fills in defaults. The configuration consists of
// environment variables, the configuration file and the settings in it.
package deployment

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"reflect"
	"strconv"
	"time"

	"streamrail/policy"
)

// Deployment is the configuration of one balancer.
type Deployment struct {
	Name, Listen, Discovery string
	Admin                   string // address of the admin API; empty if there is none
	Seed                    uint64
	MemoryMB, MaxSockets    int
	KnownList               json.RawMessage // host list that the balancer last had; may be absent

	PolicyConfig policy.Config
	Products     map[string]policy.Product
	Customers    map[string]policy.Customer
	Zones        map[string]policy.Zone
	Kinds        map[string]policy.MachineKind

	ConnectTimeout, IdleTimeout, DrainGrace time.Duration
	ClientTimeout                           time.Duration // the longest of all products' timeouts
	MaxRequests                             int           // limit of requests being processed at a time
	LoadReports                             bool          // answers of hosts contain load reports

	settings any // as decoded from the file, to detect changes
}

// FromEnvironment reads the file that GW_CONFIG names. GW_NAME, GW_LISTEN, GW_DISCOVERY and GW_ADMIN_ADDR override its keys.
func FromEnvironment(getenv func(string) string) (*Deployment, error) {
	return readFile(getenv, false)
}

// Reread reads the file again while the balancer runs. Here the file overrides the environment variables, because they are as
// old as the process.
func Reread(getenv func(string) string) (*Deployment, error) {
	return readFile(getenv, true)
}

// RestartOnlyChanges returns those keys in which the other deployment differs that only a restart can change.
func (d *Deployment) RestartOnlyChanges(other *Deployment) (keys []string) {
	for _, v := range []struct {
		key    string
		differ bool
	}{
		{"name", d.Name != other.Name}, {"listen", d.Listen != other.Listen}, {"admin_addr", d.Admin != other.Admin}, {"seed", d.Seed != other.Seed},
		{"limits.memory_mb", d.MemoryMB != other.MemoryMB}, {"limits.sockets", d.MaxSockets != other.MaxSockets},
		{"settings", !reflect.DeepEqual(d.settings, other.settings)},
	} {
		if v.differ {
			keys = append(keys, v.key)
		}
	}
	return keys
}

func readFile(getenv func(string) string, fileOverrides bool) (*Deployment, error) {
	path := getenv("GW_CONFIG")
	if path == "" {
		return nil, errors.New("GW_CONFIG: expected the path of the configuration file")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("GW_CONFIG: %w", err)
	}
	return parse(text, getenv, fileOverrides)
}

func parse(text []byte, getenv func(string) string, fileOverrides bool) (*Deployment, error) {
	var file struct {
		Name, Listen, Discovery string
		Admin                   string `json:"admin_addr"`
		Seed                    string
		Limits                  struct {
			MemoryMB float64 `json:"memory_mb"`
			Sockets  float64
		}
		Known    json.RawMessage
		Settings json.RawMessage
	}
	if err := json.Unmarshal(text, &file); err != nil {
		return nil, fmt.Errorf("GW_CONFIG: not the JSON expected: %w", err)
	}
	d := &Deployment{Name: file.Name, Listen: file.Listen, Discovery: file.Discovery, Admin: file.Admin, KnownList: file.Known,
		MemoryMB: int(file.Limits.MemoryMB), MaxSockets: int(file.Limits.Sockets)}
	for _, v := range []struct {
		name string
		to   *string
	}{{"GW_NAME", &d.Name}, {"GW_LISTEN", &d.Listen}, {"GW_DISCOVERY", &d.Discovery}, {"GW_ADMIN_ADDR", &d.Admin}} {
		if s := getenv(v.name); s != "" && !(fileOverrides && *v.to != "") {
			*v.to = s
		}
	}
	for _, v := range []struct{ key, variable, value string }{
		{"listen", "GW_LISTEN", d.Listen}, {"discovery", "GW_DISCOVERY", d.Discovery}, {"admin_addr", "GW_ADMIN_ADDR", d.Admin}} {
		if v.key == "admin_addr" && v.value == "" {
			continue
		}
		if _, _, err := net.SplitHostPort(v.value); err != nil {
			return nil, fmt.Errorf("%s: expected host:port in it or in %s, got %q", v.key, v.variable, v.value)
		}
	}
	var err error
	if d.Seed, err = strconv.ParseUint(file.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("seed: expected up to 16 hex digits, got %q", file.Seed)
	}
	if d.MemoryMB == 0 {
		d.MemoryMB = 192
	}
	if d.MaxSockets == 0 {
		d.MaxSockets = 1024
	}
	if d.MemoryMB < 16 {
		return nil, fmt.Errorf("limits.memory_mb: expected at least 16, got %d", d.MemoryMB)
	}
	if d.MaxSockets < 64 { // the balancer's own sockets and a few for clients and for cache hosts
		return nil, fmt.Errorf("limits.sockets: expected at least 64, got %d", d.MaxSockets)
	}
	return d, d.applySettings(file.Settings)
}

// applySettings decodes and checks the settings.
func (d *Deployment) applySettings(settings json.RawMessage) error {
	dec := json.NewDecoder(bytes.NewReader(settings))
	dec.UseNumber()
	var tree map[string]any
	if err := dec.Decode(&tree); err != nil || tree == nil {
		return fmt.Errorf("settings: expected an object, got %.50s", settings)
	}
	d.settings = tree
	pairs := Pairs{}
	flatten(pairs, "", tree)
	var err error
	if d.PolicyConfig, err = ParsePolicyConfig(pairs); err != nil {
		return err
	}
	if len(d.PolicyConfig.Products) == 0 {
		return errors.New("settings.products: expected at least one")
	}
	if d.Products, err = indexNames[policy.Product](pairs, "products", ".name"); err != nil {
		return err
	}
	if d.Customers, err = indexNames[policy.Customer](pairs, "customers", ".name"); err != nil {
		return err
	}
	if d.Zones, err = indexNames[policy.Zone](pairs, "areas", ""); err != nil {
		return err
	}
	if d.Kinds, err = indexNames[policy.MachineKind](pairs, "hostTypes", ""); err != nil {
		return err
	}
	r := &settingsReader{pairs: pairs}
	d.ConnectTimeout = time.Duration(r.numberWithin("caps.connectTimeoutNs", float64(250*time.Millisecond), float64(time.Millisecond), float64(time.Hour)))
	d.IdleTimeout = time.Duration(r.duration("caps.keepaliveNs"))
	if _, given := pairs["caps.keepaliveNs"]; !given {
		d.IdleTimeout = 10 * time.Second
	}
	d.DrainGrace = time.Duration(r.numberWithin("rules.drainGraceNs", float64(time.Second), 0, float64(time.Hour)))
	for i := range d.PolicyConfig.Products {
		d.ClientTimeout = max(d.ClientTimeout, time.Duration(r.numberWithin(fmt.Sprintf("products.%d.clientTimeoutNs", i), 3e9, 1, float64(maxDuration))))
	}
	d.MaxRequests = int(r.numberWithin("caps.maxOpen", 1024, 1, 1<<30))
	d.LoadReports = reportSources[pairs["report.source"]]
	return r.err
}

// flatten converts nested settings to Pairs, the form in which the simulator sends them.
func flatten(to Pairs, path string, v any) {
	switch v := v.(type) {
	case map[string]any:
		for k, x := range v {
			if path != "" {
				k = path + "." + k
			}
			flatten(to, k, x)
		}
	case []any:
		to[path+".count"] = strconv.Itoa(len(v))
		for i, x := range v {
			flatten(to, path+"."+strconv.Itoa(i), x)
		}
	case nil: // absent
	default:
		to[path] = fmt.Sprint(v)
	}
}

// indexNames maps the names of a list's items to their indexes.
func indexNames[T ~int](pairs Pairs, list, field string) (map[string]T, error) {
	n, _ := strconv.Atoi(pairs[list+".count"])
	m := make(map[string]T, n)
	for i := range n {
		path := fmt.Sprintf("%s.%d%s", list, i, field)
		name, ok := pairs[path]
		if !ok {
			return nil, fmt.Errorf("settings.%s: expected a name", path)
		}
		if _, duplicate := m[name]; duplicate {
			return nil, fmt.Errorf("settings.%s: %q stands twice", path, name)
		}
		m[name] = T(i)
	}
	return m, nil
}
