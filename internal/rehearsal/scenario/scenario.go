// Package scenario reads the files that describe a rehearsal: the fleet, the clients and their traffic, the faults to
// inject and when, and the limits that the judge applies. A file is checked as a whole; the error lists each mistake in
// it with file, line and key.
package scenario

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"streamrail/internal/rehearsal/model"
	"streamrail/internal/strict"
)

// Span is a duration, written like 250ms.
type Span = strict.Span

// Range holds the lower and the upper bound of a duration.
type Range [2]Span

// Scenario describes one rehearsal; it is the content of a scenario file.
type Scenario struct {
	Name   string `toml:"name"`
	About  string `toml:"about"`
	Length Span   `toml:"length"`
	Seed   uint64 `toml:"seed"`

	Fleet      Fleet      `toml:"fleet"`
	Hosts      []Host     `toml:"node"`
	Origin     Origin     `toml:"gateway"`
	Discovery  Discovery  `toml:"register"`
	Load       Load       `toml:"load"`
	Clients    Clients    `toml:"client"`
	Products   []Product  `toml:"product"`
	Tenants    []Tenant   `toml:"tenant"`
	Rules      Rules      `toml:"rules"`
	Membership Membership `toml:"mates"`
	Faults     []Fault    `toml:"fault,omitempty"`

	Operator string `toml:"operator"` // content of the operator's file that each balancer is started with
}

// Fleet describes the zones, the delays between them and the resources of each balancer.
type Fleet struct {
	Zones          []string `toml:"zones"`
	Balancers      int      `toml:"balancers"` // assigned to the zones round-robin
	SameZoneDelay  Span     `toml:"same"`      // one-way delay within a zone
	CrossZoneDelay Span     `toml:"cross"`     // one-way delay between zones
	MemoryMB       int      `toml:"memory_mb"` // of each balancer
	Sockets        int      `toml:"sockets"`
	Attempts       int      `toml:"shots"`   // maximum attempts per request
	Mode           string   `toml:"mode"`    // ModeAside or ModeThrough
	LoadReports    bool     `toml:"reports"` // cache hosts add their load to answers
}

// Host describes a group of identical cache hosts, named NAME-1, NAME-2 and so on.
type Host struct {
	Name                  string  `toml:"name"`
	Zone                  string  `toml:"zone"`
	Count                 int     `toml:"count"`
	Cores                 int     `toml:"cores"`
	Speed                 float64 `toml:"speed"`
	Queue                 int     `toml:"queue"`
	CacheMB               float64 `toml:"keep_mb"`
	Connections           int     `toml:"connections"`
	ConnectWork           Span    `toml:"connect_work"`
	ProbeWork             Span    `toml:"probe_work"`
	IdleTimeout           Span    `toml:"idle"`      // the host closes a connection that has been idle for this long
	ConfiguredIdleTimeout Span    `toml:"idle_told"` // the idle timeout that balancers are configured with; IdleTimeout by default
	PauseInterval         Span    `toml:"pause_every"`
	PauseLength           Span    `toml:"pause_for"`
	ColdCapacity          float64 `toml:"cold_from"`
	WarmUpTime            Span    `toml:"warm_for"`
	DropsAbandoned        bool    `toml:"drops_given_up"`
}

// Origin describes the origin behind the caches, which answers cache misses.
type Origin struct {
	Slots            int     `toml:"slots"`
	ServiceTime      Span    `toml:"time"`
	Queue            int     `toml:"queue"`
	OverloadMultiple float64 `toml:"fall_multiple"`
	OverloadWindow   Span    `toml:"fall_for"`
	OutageLength     Span    `toml:"stop_for"`
}

// Discovery describes the discovery stand-in: Delay is the delay until the host list shows a change.
type Discovery struct {
	Delay Range `toml:"late"`
}

// Load describes the traffic apart from surges and other faults.
type Load struct {
	RequestsPerSecond float64 `toml:"per_s"`
	SwingAmplitude    float64 `toml:"swing"`
	SwingPeriod       Span    `toml:"swing_for"`
	Keys              int     `toml:"keys"`
	Zipf              float64 `toml:"zipf"`
	ValueSize         int     `toml:"value_size"`
	QuotaRatio        float64 `toml:"quota"` // sum of all tenants' quotas, as a share of the fleet's capacity
	WarmRatio         float64 `toml:"warm"`  // share of the keys that are cached at the start, the most popular first
}

// Clients describes how clients behave.
type Clients struct {
	MaxRetries         int        `toml:"tries"` // client retries, not counting the first request
	RetryDelay         Span       `toml:"wait"`
	HonourRatio        float64    `toml:"honour"` // share of the waiting times named in answers that clients obey
	MaxRetryAfter      Span       `toml:"come_back"`
	GiveUpAt           [2]float64 `toml:"give_up_at"`
	FailureNoticeDelay Span       `toml:"notice"` // time until clients stop using a balancer that has ended
	ZoneShares         []float64  `toml:"zone_parts"`
}

// Product describes a class of requests.
type Product struct {
	Name          string             `toml:"name"`
	Share         float64            `toml:"share"`
	Work          Span               `toml:"work"`
	Distribution  model.Distribution `toml:"law"`
	Variation     float64            `toml:"variation"`
	LatencySLO    Span               `toml:"latency_slo"`
	ClientTimeout Span               `toml:"client_timeout"`
	BilledValue   float64            `toml:"billed_value"`
	Effect        string             `toml:"effect"` // idempotent, deduplicated or non-idempotent
	Window        Span               `toml:"window"` // the span in which repeats of a deduplicated request are dropped
	Write         bool               `toml:"write"`
}

// Tenant describes a customer and its traffic.
type Tenant struct {
	Name      string  `toml:"name"`
	Share     float64 `toml:"share"` // of the sum of all quotas
	Usage     float64 `toml:"usage"` // its share of the traffic, relative to Share
	Balancers []int   `toml:"at"`    // numbers of the balancers that its clients use; all if empty
}

// Rules holds the limits that the judge applies and the overload behaviour of cache hosts.
type Rules struct {
	DrainGrace        Span    `toml:"drain_grace"`
	OverloadMultiple  float64 `toml:"fall_multiple"`
	OverloadWindow    Span    `toml:"fall_for"`
	Slack             Span    `toml:"slack"`      // tolerance added to each time limit of the judge for transit
	PromptTimeout     Span    `toml:"prompt"`     // time within which a request that was given up must be answered
	ColdMissThreshold float64 `toml:"cold_blame"` // an origin outage is a breach if at least this share of its load was misses at cold hosts
}

// Membership describes the membership protocol between balancers and the links that it uses. Without Enabled, balancers do not
// communicate with each other.
type Membership struct {
	Enabled              bool    `toml:"on"`
	ProbePeriod          Span    `toml:"period"`
	SuspicionTimeout     Span    `toml:"suspect"`
	GossipBytesPerSecond int     `toml:"budget"`
	LossRatio            float64 `toml:"loss"` // share of datagrams lost on every link for the whole rehearsal
	Delay                Span    `toml:"delay"`
	Jitter               Span    `toml:"jitter"`
	ShareLimits          bool    `toml:"limits"` // balancers lend each other shares of fleet-wide limits
	LeaseDuration        Span    `toml:"lease"`
	// ShareObservations makes balancers exchange observations of how attempts at cache hosts ended.
	ShareObservations bool `toml:"evidence"`
}

// LinkConfig returns the usual properties of the link between any two balancers.
func (m *Membership) LinkConfig() model.LinkConfig {
	return model.LinkConfig{LossRatio: m.LossRatio, Delay: m.Delay.Duration(), Jitter: m.Jitter.Duration()}
}

// Fault describes one injected fault.
type Fault struct {
	Kind        string   `toml:"do"`
	At          Span     `toml:"at"`
	Length      Span     `toml:"for"`
	Hosts       []string `toml:"nodes"`
	Share       float64  `toml:"part"`
	Factor      float64  `toml:"by"`
	Delay       Span     `toml:"delay"`
	Zone        string   `toml:"zone"`
	Balancers   []int    `toml:"balancers"`
	Tenant      string   `toml:"tenant"`
	Keys        int      `toml:"keys"`
	AtOnce      int      `toml:"at_once"`
	Drain       Span     `toml:"drain"`
	SameAddress bool     `toml:"same_address"`
	Count       int      `toml:"count"`
	To          []int    `toml:"to"`
	OneWay      bool     `toml:"one_way"`
}

// faultKind describes a kind of fault and the keys that it requires and permits besides do and at.
type faultKind struct {
	description string
	required    []string
	optional    []string
}

var faultKinds = map[string]faultKind{
	"slow":             {"nodes work BY times slower", []string{"for", "by"}, []string{"nodes", "part"}},
	"stall":            {"nodes accept requests and do not process them", []string{"for"}, []string{"nodes", "part"}},
	"kill":             {"nodes are killed without notice and restart cold after FOR", []string{"for"}, []string{"nodes", "part"}},
	"vanish":           {"nodes and their connections stop responding and restart cold after FOR", []string{"for"}, []string{"nodes", "part"}},
	"reset":            {"nodes break the connection in the middle of a share PART of their answers", []string{"for", "part"}, []string{"nodes"}},
	"spoil":            {"nodes corrupt a share PART of their answers", []string{"for", "part"}, []string{"nodes"}},
	"fail":             {"nodes answer a share PART of their requests with an error", []string{"for", "part"}, []string{"nodes"}},
	"link-delay":       {"the link to nodes takes DELAY longer", []string{"for", "delay"}, []string{"nodes", "part", "balancers"}},
	"link-cut":         {"the link to nodes loses everything", []string{"for"}, []string{"nodes", "part", "balancers"}},
	"zone-dark":        {"all nodes of a zone stop responding and restart cold", []string{"for", "zone"}, nil},
	"deploy":           {"nodes are replaced by cold successors, AT_ONCE at a time", []string{"for"}, []string{"nodes", "part", "at_once", "drain", "same_address"}},
	"register-silent":  {"discovery does not answer", []string{"for"}, []string{"balancers"}},
	"watch-silent":     {"all open watches of the host list stop delivering; new ones work", nil, []string{"balancers"}},
	"register-rewind":  {"the generations of the host list start over", nil, []string{"balancers"}},
	"gateway-slow":     {"the gateway is BY times slower", []string{"for", "by"}, nil},
	"gateway-reset":    {"the gateway breaks the connection instead of sending a share PART of its answers", []string{"for", "part"}, nil},
	"gateway-fail":     {"the gateway refuses a share PART of its requests with an error, without executing them", []string{"for", "part"}, nil},
	"balancer-kill":    {"balancers are killed and start again after FOR", []string{"for"}, []string{"balancers"}},
	"balancer-restart": {"balancers get SIGTERM and are started again", nil, []string{"balancers"}},
	"balancer-stall":   {"balancers are paused (SIGSTOP)", []string{"for"}, []string{"balancers"}},
	"balancer-astray":  {"balancers are killed and started again at once with peer addresses that nobody listens on", nil, []string{"balancers"}},
	"balancer-twin":    {"a balancer is started again under the name of the one in TO, as after a configuration mistake", []string{"for", "balancers", "to"}, nil},
	"upgrade-kill":     {"the newer process of an upgrade is killed FOR after it is ready; the older one continues", []string{"for"}, []string{"balancers"}},
	"mate-cut":         {"the links between BALANCERS and TO lose everything", []string{"for"}, []string{"balancers", "to", "one_way"}},
	"mate-flap":        {"the links between BALANCERS and TO alternate between up and down, each for DELAY", []string{"for", "delay"}, []string{"balancers", "to", "one_way"}},
	"mate-loss":        {"the links between BALANCERS and TO lose a share PART of the datagrams", []string{"for", "part"}, []string{"balancers", "to", "one_way"}},
	"mate-delay":       {"the links between BALANCERS and TO take up to DELAY longer", []string{"for", "delay"}, []string{"balancers", "to", "one_way"}},
	"mate-repeat":      {"a share PART of the datagrams between BALANCERS and TO arrives twice", []string{"for", "part"}, []string{"balancers", "to", "one_way"}},
	"mate-reorder":     {"a share PART of the datagrams between BALANCERS and TO arrives DELAY later", []string{"for", "part", "delay"}, []string{"balancers", "to", "one_way"}},
	"mate-spoil":       {"a share PART of the datagrams between BALANCERS and TO has a byte changed", []string{"for", "part"}, []string{"balancers", "to", "one_way"}},
	"mate-narrow":      {"the links between BALANCERS and TO carry at most BY bytes a second", []string{"for", "by"}, []string{"balancers", "to", "one_way"}},
	"reload":           {"discovery moves to another address and balancers get SIGHUP", nil, []string{"balancers"}},
	"by-hand":          {"operators exclude nodes at every balancer, restart them, and include them again after FOR", []string{"for"}, []string{"nodes", "part"}},
	"tenant-move":      {"a tenant's clients use BALANCERS from now on", []string{"tenant", "balancers"}, nil},
	"upgrade":          {"a new process takes over from each balancer under load", nil, []string{"balancers"}},
	"crowd":            {"COUNT connections are opened during FOR, most of which never finish a request", []string{"for", "count"}, nil},
	"surge":            {"traffic is BY times the usual", []string{"for", "by"}, []string{"tenant"}},
	"scan":             {"a share PART of the reads asks for keys that are requested only once", []string{"for", "part"}, nil},
	"hot":              {"a share PART of the reads asks for KEYS keys", []string{"for", "part", "keys"}, nil},
	"rude":             {"COUNT clients, spread over FOR, send different kinds of malformed input or nothing", []string{"for", "count"}, nil},
}

// defaults returns the scenario of an empty file: a small fleet that a laptop can run.
func defaults() Scenario {
	return Scenario{
		Length: Span(30 * time.Second), Seed: 1,
		Fleet: Fleet{Zones: []string{"here"}, Balancers: 2, SameZoneDelay: Span(200 * time.Microsecond), CrossZoneDelay: Span(10 * time.Millisecond),
			MemoryMB: 192, Sockets: 1024, Attempts: 4, Mode: ModeAside},
		Origin: Origin{Slots: 16, ServiceTime: Span(150 * time.Millisecond), Queue: 32, OverloadMultiple: 3, OverloadWindow: Span(3 * time.Second),
			OutageLength: Span(4 * time.Second)},
		Discovery: Discovery{Delay: Range{Span(500 * time.Millisecond), Span(2 * time.Second)}},
		Load:      Load{RequestsPerSecond: 200, Keys: 2000, Zipf: 1, ValueSize: 300, QuotaRatio: 0.6, WarmRatio: 1},
		Clients: Clients{MaxRetries: 2, RetryDelay: Span(50 * time.Millisecond), HonourRatio: 1, MaxRetryAfter: Span(2 * time.Second),
			GiveUpAt: [2]float64{0.7, 1}, FailureNoticeDelay: Span(time.Second)},
		Membership: Membership{ProbePeriod: Span(250 * time.Millisecond), SuspicionTimeout: Span(time.Second), GossipBytesPerSecond: 3000, LeaseDuration: Span(2 * time.Second)},
		Rules: Rules{DrainGrace: Span(time.Second), OverloadMultiple: 3, OverloadWindow: Span(2 * time.Second), Slack: Span(50 * time.Millisecond),
			PromptTimeout: Span(300 * time.Millisecond), ColdMissThreshold: 0.3},
	}
}

// keyPresence reports whether the file contains a key of a table. It distinguishes an explicit zero from an absent key.
type keyPresence func(key string) bool

// setDefault sets *v to value if the file does not contain the key.
func setDefault[T comparable](present keyPresence, key string, v *T, value T) {
	var zero T
	if *v == zero && !present(key) {
		*v = value
	}
}

func (n *Host) applyDefaults(present keyPresence) {
	setDefault(present, "count", &n.Count, 1)
	setDefault(present, "cores", &n.Cores, 2)
	setDefault(present, "queue", &n.Queue, 200)
	setDefault(present, "connections", &n.Connections, 1500)
	setDefault(present, "speed", &n.Speed, 1)
	setDefault(present, "keep_mb", &n.CacheMB, 8)
	setDefault(present, "cold_from", &n.ColdCapacity, 0.2)
	setDefault(present, "idle", &n.IdleTimeout, Span(60*time.Second))
	setDefault(present, "warm_for", &n.WarmUpTime, Span(15*time.Second))
	if n.PauseInterval > 0 {
		setDefault(present, "pause_for", &n.PauseLength, Span(200*time.Millisecond))
	}
}

func (p *Product) applyDefaults(present keyPresence) {
	setDefault(present, "law", &p.Distribution, model.Exponential)
	setDefault(present, "variation", &p.Variation, 1)
	setDefault(present, "billed_value", &p.BilledValue, 1)
	setDefault(present, "effect", &p.Effect, Idempotent)
}

func (f *Fault) applyDefaults(present keyPresence) {
	if f.Kind == "deploy" {
		setDefault(present, "at_once", &f.AtOnce, 1)
		setDefault(present, "drain", &f.Drain, Span(2*time.Second))
	}
	betweenBalancers := strings.HasPrefix(f.Kind, "mate-")
	if betweenBalancers {
		return
	}
	// For these three kinds, part is a share of the answers and does not select hosts.
	allByDefault := f.Share == 0 || f.Kind == "reset" || f.Kind == "spoil" || f.Kind == "fail"
	if allByDefault && len(f.Hosts) == 0 {
		f.Hosts = []string{"*"}
	}
}

// Modes of the fleet: which process contacts the origin after a cache miss.
const (
	ModeAside   = "aside"   // cache hosts report a miss and the balancer contacts the origin
	ModeThrough = "through" // cache hosts contact the origin themselves
)

// Effects of a product: whether a request may be executed again.
const (
	Idempotent    = "idempotent"
	Deduplicated  = "deduplicated"
	NonIdempotent = "non-idempotent"
)

// TenantBalancers returns the balancers, counted from 0, that a tenant's clients use at a given time; an empty result means all.
func (sc *Scenario) TenantBalancers(tenant int, at time.Duration) (balancers []int) {
	t, since := &sc.Tenants[tenant], Span(-1)
	list := t.Balancers
	for i := range sc.Faults {
		if f := &sc.Faults[i]; f.Kind == "tenant-move" && f.Tenant == t.Name && f.At.Duration() <= at && f.At >= since {
			list, since = f.Balancers, f.At
		}
	}
	for _, b := range list {
		balancers = append(balancers, b-1)
	}
	return balancers
}

// TenantQuota returns a tenant's quota in requests per second over all balancers.
func (sc *Scenario) TenantQuota(tenant int) float64 {
	return sc.Tenants[tenant].Share * sc.Load.QuotaRatio * sc.Capacity()
}

// HostIDs returns the ids of all cache hosts at the start and the group of each.
func (sc *Scenario) HostIDs() (ids []string, groups map[string]*Host) {
	groups = map[string]*Host{}
	for i := range sc.Hosts {
		g := &sc.Hosts[i]
		for n := range g.Count {
			id := fmt.Sprintf("%s-%d", g.Name, n+1)
			ids = append(ids, id)
			groups[id] = g
		}
	}
	return ids, groups
}

// missCostRatio is the work of a cache miss relative to a read that finds its value: the look-up is done, but no value is
// produced.
const missCostRatio = 0.2

// HostConfig returns the model's parameters of a host of the group.
func (sc *Scenario) HostConfig(n *Host) model.HostConfig {
	r, miss := sc.Rules, missCostRatio
	if sc.Fleet.Mode == ModeThrough {
		miss = 0
	}
	return model.HostConfig{Cores: n.Cores, Speed: n.Speed, Queue: n.Queue, CacheBytes: int64(n.CacheMB * (1 << 20)),
		ColdCapacity: n.ColdCapacity, WarmUpTime: n.WarmUpTime.Duration(), OverloadMultiple: r.OverloadMultiple, OverloadWindow: r.OverloadWindow.Duration(),
		PauseInterval: n.PauseInterval.Duration(), PauseLength: n.PauseLength.Duration(), DropsAbandoned: n.DropsAbandoned, MissWorkRatio: miss}
}

// BalancerIdleTimeout returns the idle timeout of the host that balancers are configured with.
func (n *Host) BalancerIdleTimeout() time.Duration {
	if n.ConfiguredIdleTimeout > 0 {
		return n.ConfiguredIdleTimeout.Duration()
	}
	return n.IdleTimeout.Duration()
}

// Capacity returns how many requests per second the cache hosts can handle at the start.
func (sc *Scenario) Capacity() float64 {
	work, shares, effectiveCores := 0.0, 0.0, 0.0
	for _, p := range sc.Products {
		work += p.Share * p.Work.Duration().Seconds()
		shares += p.Share
	}
	for _, n := range sc.Hosts {
		effectiveCores += float64(n.Count) * float64(n.Cores) * n.Speed
	}
	return effectiveCores / (work / shares)
}

// OriginConfig returns the model's parameters of the origin.
func (sc *Scenario) OriginConfig() model.OriginConfig {
	t := model.OriginConfig{Slots: sc.Origin.Slots, ServiceTime: sc.Origin.ServiceTime.Duration(), Queue: sc.Origin.Queue,
		OverloadMultiple: sc.Origin.OverloadMultiple, OverloadWindow: sc.Origin.OverloadWindow.Duration(), OutageLength: sc.Origin.OutageLength.Duration()}
	for _, p := range sc.Products {
		t.DedupWindow = max(t.DedupWindow, p.Window.Duration())
	}
	return t
}

// LoadConfig returns the model's parameters of clients and traffic.
func (sc *Scenario) LoadConfig() model.LoadConfig {
	t := model.LoadConfig{Length: sc.Length.Duration(), RequestsPerSecond: sc.Load.RequestsPerSecond, SwingAmplitude: sc.Load.SwingAmplitude, SwingPeriod: sc.Load.SwingPeriod.Duration(),
		Keys: sc.Load.Keys, Zipf: sc.Load.Zipf, GiveUpRange: sc.Clients.GiveUpAt, Zones: sc.Clients.ZoneShares}
	if len(t.Zones) == 0 {
		for range sc.Fleet.Zones {
			t.Zones = append(t.Zones, 1)
		}
	}
	for _, p := range sc.Products {
		t.Products = append(t.Products, model.Product{Name: p.Name, Share: p.Share, LatencySLO: p.LatencySLO.Duration(),
			ClientTimeout: p.ClientTimeout.Duration(), BilledValue: p.BilledValue, Write: p.Write, Deduplicated: p.Effect == Deduplicated})
	}
	for _, x := range sc.Tenants {
		t.Tenants = append(t.Tenants, model.Tenant{Name: x.Name, Share: x.Share * x.Usage})
	}
	for _, f := range sc.Faults {
		from, to := f.At.Duration(), (f.At + f.Length).Duration()
		switch f.Kind {
		case "surge":
			t.Surges = append(t.Surges, model.Surge{From: from, To: to, Tenant: f.Tenant, Factor: f.Factor})
		case "scan":
			t.HotKeys = append(t.HotKeys, model.HotKeys{From: from, To: to, Share: f.Share})
		case "hot":
			t.HotKeys = append(t.HotKeys, model.HotKeys{From: from, To: to, Share: f.Share, Keys: f.Keys})
		}
	}
	return t
}

// SetLength changes the length of the rehearsal and removes the faults that would end after it.
func (sc *Scenario) SetLength(length time.Duration) {
	sc.Length = Span(length)
	sc.Faults = slices.DeleteFunc(sc.Faults, func(f Fault) bool { return f.At+f.Length > sc.Length })
}

// NeedsAdminAPI reports whether the rehearsal needs the admin API of the balancers.
func (sc *Scenario) NeedsAdminAPI() bool {
	return slices.ContainsFunc(sc.Faults, func(f Fault) bool { return f.Kind == "by-hand" || f.Kind == "upgrade" }) || sc.Membership.Enabled
}

// RetryPolicy returns what clients do after a request that was not fulfilled.
func (sc *Scenario) RetryPolicy() model.RetryPolicy {
	c := sc.Clients
	return model.RetryPolicy{MaxRetries: c.MaxRetries, InitialDelay: c.RetryDelay.Duration(), HonourRatio: c.HonourRatio, MaxRetryAfter: c.MaxRetryAfter.Duration()}
}

// ErrFaulty is wrapped by all errors about a file's content.
var ErrFaulty = errors.New("faulty scenario")

// Text returns the text of a scenario file from which Parse reads the same scenario.
func (sc *Scenario) Text() ([]byte, error) {
	withoutFaults := *sc
	withoutFaults.Faults = nil
	var out bytes.Buffer
	if err := toml.NewEncoder(&out).Encode(withoutFaults); err != nil {
		return nil, err
	}
	for i := range sc.Faults {
		f := &sc.Faults[i]
		fmt.Fprintf(&out, "\n[[fault]]\ndo = %q\nat = %q\n", f.Kind, f.At)
		k := faultKinds[f.Kind]
		for _, key := range append(slices.Clone(k.required), k.optional...) {
			if line := f.formatKey(key); line != "" {
				out.WriteString(line + "\n")
			}
		}
	}
	return out.Bytes(), nil
}

// formatKey returns the line of the file for one key of a fault, or "" if the key has its zero value.
func (f *Fault) formatKey(key string) string {
	quoted := func(v Span) string { return fmt.Sprintf("%s = %q", key, v) }
	switch {
	case key == "for":
		return quoted(f.Length)
	case key == "delay" && f.Delay != 0:
		return quoted(f.Delay)
	case key == "drain" && f.Drain != 0:
		return quoted(f.Drain)
	case key == "nodes" && len(f.Hosts) > 0:
		return fmt.Sprintf("nodes = [\"%s\"]", strings.Join(f.Hosts, "\", \""))
	case key == "part" && f.Share != 0:
		return fmt.Sprintf("part = %v", f.Share)
	case key == "by" && f.Factor != 0:
		return "by = " + strconv.FormatFloat(f.Factor, 'f', -1, 64)
	case key == "zone" && f.Zone != "":
		return fmt.Sprintf("zone = %q", f.Zone)
	case key == "tenant" && f.Tenant != "":
		return fmt.Sprintf("tenant = %q", f.Tenant)
	case key == "balancers" && len(f.Balancers) > 0:
		return "balancers = " + strings.Join(strings.Fields(fmt.Sprint(f.Balancers)), ", ")
	case key == "keys" && f.Keys != 0:
		return fmt.Sprintf("keys = %d", f.Keys)
	case key == "at_once" && f.AtOnce != 0:
		return fmt.Sprintf("at_once = %d", f.AtOnce)
	case key == "same_address" && f.SameAddress:
		return "same_address = true"
	case key == "to" && len(f.To) > 0:
		return "to = " + strings.Join(strings.Fields(fmt.Sprint(f.To)), ", ")
	case key == "one_way" && f.OneWay:
		return "one_way = true"
	case key == "count" && f.Count != 0:
		return fmt.Sprintf("count = %d", f.Count)
	}
	return ""
}
