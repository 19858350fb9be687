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

// Day describes one rehearsal; it is the content of a scenario file.
type Day struct {
	Name   string `toml:"name"`
	About  string `toml:"about"`
	Length Span   `toml:"length"`
	Seed   uint64 `toml:"seed"`

	Fleet    Fleet     `toml:"fleet"`
	Nodes    []Node    `toml:"node"`
	Gateway  Gateway   `toml:"gateway"`
	Register Register  `toml:"register"`
	Load     Load      `toml:"load"`
	Clients  Clients   `toml:"client"`
	Products []Product `toml:"product"`
	Tenants  []Tenant  `toml:"tenant"`
	Rules    Rules     `toml:"rules"`
	Mates    Mates     `toml:"mates"`
	Faults   []Fault   `toml:"fault,omitempty"`

	Operator string `toml:"operator"` // text of the operator's file that each balancer is started with
}

// Fleet describes the zones, the delays between them and the resources of each balancer.
type Fleet struct {
	Zones     []string `toml:"zones"`
	Balancers int      `toml:"balancers"` // assigned to the zones round-robin
	Same      Span     `toml:"same"`      // one-way delay within a zone
	Cross     Span     `toml:"cross"`     // one-way delay between zones
	MemoryMB  int      `toml:"memory_mb"` // of each balancer
	Sockets   int      `toml:"sockets"`
	Attempts  int      `toml:"shots"`   // maximum attempts per request
	Mode      string   `toml:"mode"`    // aside: cache nodes report a miss and the balancer asks the gateway; through: cache nodes ask the gateway themselves
	Reports   bool     `toml:"reports"` // cache nodes add their load to answers
}

// Node describes a group of identical cache nodes, named NAME-1, NAME-2 and so on.
type Node struct {
	Name         string  `toml:"name"`
	Zone         string  `toml:"zone"`
	Count        int     `toml:"count"`
	Cores        int     `toml:"cores"`
	Speed        float64 `toml:"speed"`
	Queue        int     `toml:"queue"`
	KeepMB       float64 `toml:"keep_mb"`
	Connections  int     `toml:"connections"`
	ConnectWork  Span    `toml:"connect_work"`
	ProbeWork    Span    `toml:"probe_work"`
	Idle         Span    `toml:"idle"`      // the node closes a connection that has been idle for this long
	IdleTold     Span    `toml:"idle_told"` // the idle timeout that balancers are configured with; Idle by default
	PauseEvery   Span    `toml:"pause_every"`
	PauseFor     Span    `toml:"pause_for"`
	ColdFrom     float64 `toml:"cold_from"`
	WarmFor      Span    `toml:"warm_for"`
	DropsGivenUp bool    `toml:"drops_given_up"`
}

// Gateway describes the origin behind the caches, which answers cache misses.
type Gateway struct {
	Slots        int     `toml:"slots"`
	Time         Span    `toml:"time"`
	Queue        int     `toml:"queue"`
	FallMultiple float64 `toml:"fall_multiple"`
	FallFor      Span    `toml:"fall_for"`
	StopFor      Span    `toml:"stop_for"`
}

// Register describes the discovery stand-in: Late is the delay until the host list shows a change.
type Register struct {
	Late Range `toml:"late"`
}

// Load describes the traffic apart from surges and other faults.
type Load struct {
	PerS      float64 `toml:"per_s"`
	Swing     float64 `toml:"swing"`
	SwingFor  Span    `toml:"swing_for"`
	Keys      int     `toml:"keys"`
	Zipf      float64 `toml:"zipf"`
	ValueSize int     `toml:"value_size"`
	Quota     float64 `toml:"quota"` // sum of all tenants' quotas, as a share of the fleet's capacity
	Warm      float64 `toml:"warm"`  // share of the keys that are cached at the start, the most popular first
}

// Clients describes how clients behave.
type Clients struct {
	Tries     int        `toml:"tries"` // client retries, not counting the first request
	Wait      Span       `toml:"wait"`
	Honour    float64    `toml:"honour"` // share of the requested waiting times that clients obey
	ComeBack  Span       `toml:"come_back"`
	GiveUpAt  [2]float64 `toml:"give_up_at"`
	Notice    Span       `toml:"notice"` // time until clients stop using a balancer that has ended
	ZoneParts []float64  `toml:"zone_parts"`
}

// Product describes a class of requests.
type Product struct {
	Name          string             `toml:"name"`
	Share         float64            `toml:"share"`
	Work          Span               `toml:"work"`
	Law           model.Distribution `toml:"law"`
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
	Name  string  `toml:"name"`
	Share float64 `toml:"share"` // of the sum of all quotas
	Usage float64 `toml:"usage"` // its share of the traffic, relative to Share
	At    []int   `toml:"at"`    // numbers of the balancers that its clients use; all if empty
}

// Rules holds the limits that the judge applies and the overload behaviour of cache nodes.
type Rules struct {
	DrainGrace   Span    `toml:"drain_grace"`
	FallMultiple float64 `toml:"fall_multiple"`
	FallFor      Span    `toml:"fall_for"`
	Slack        Span    `toml:"slack"`      // tolerance added to each time limit of the judge for transit
	Prompt       Span    `toml:"prompt"`     // time within which a request that was given up must be answered
	ColdBlame    float64 `toml:"cold_blame"` // a stopped gateway is a breach if at least this share of its load was misses at cold nodes
}

// Mates describes the membership protocol between balancers and the links that it uses. Without On, balancers do not
// communicate with each other.
type Mates struct {
	On      bool    `toml:"on"`
	Period  Span    `toml:"period"`
	Suspect Span    `toml:"suspect"`
	Budget  int     `toml:"budget"`
	Loss    float64 `toml:"loss"` // share of datagrams lost on every link for the whole rehearsal
	Delay   Span    `toml:"delay"`
	Jitter  Span    `toml:"jitter"`
	Limits  bool    `toml:"limits"` // balancers lend each other shares of fleet-wide limits
	Lease   Span    `toml:"lease"`
	// Evidence makes balancers exchange observations of how attempts at cache nodes ended.
	Evidence bool `toml:"evidence"`
}

// Way returns the usual properties of the link between any two balancers.
func (m *Mates) Way() model.LinkConfig {
	return model.LinkConfig{LossRatio: m.Loss, Delay: m.Delay.Duration(), Jitter: m.Jitter.Duration()}
}

// Fault describes one injected fault.
type Fault struct {
	Do        string   `toml:"do"`
	At        Span     `toml:"at"`
	For       Span     `toml:"for"`
	Nodes     []string `toml:"nodes"`
	Part      float64  `toml:"part"`
	By        float64  `toml:"by"`
	Delay     Span     `toml:"delay"`
	Zone      string   `toml:"zone"`
	Balancers []int    `toml:"balancers"`
	Tenant    string   `toml:"tenant"`
	Keys      int      `toml:"keys"`
	AtOnce    int      `toml:"at_once"`
	Drain     Span     `toml:"drain"`
	Same      bool     `toml:"same_address"`
	Count     int      `toml:"count"`
	To        []int    `toml:"to"`
	OneWay    bool     `toml:"one_way"`
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
func defaults() Day {
	return Day{
		Length: Span(30 * time.Second), Seed: 1,
		Fleet: Fleet{Zones: []string{"here"}, Balancers: 2, Same: Span(200 * time.Microsecond), Cross: Span(10 * time.Millisecond),
			MemoryMB: 192, Sockets: 1024, Attempts: 4, Mode: Aside},
		Gateway: Gateway{Slots: 16, Time: Span(150 * time.Millisecond), Queue: 32, FallMultiple: 3, FallFor: Span(3 * time.Second),
			StopFor: Span(4 * time.Second)},
		Register: Register{Late: Range{Span(500 * time.Millisecond), Span(2 * time.Second)}},
		Load:     Load{PerS: 200, Keys: 2000, Zipf: 1, ValueSize: 300, Quota: 0.6, Warm: 1},
		Clients: Clients{Tries: 2, Wait: Span(50 * time.Millisecond), Honour: 1, ComeBack: Span(2 * time.Second),
			GiveUpAt: [2]float64{0.7, 1}, Notice: Span(time.Second)},
		Mates: Mates{Period: Span(250 * time.Millisecond), Suspect: Span(time.Second), Budget: 3000, Lease: Span(2 * time.Second)},
		Rules: Rules{DrainGrace: Span(time.Second), FallMultiple: 3, FallFor: Span(2 * time.Second), Slack: Span(50 * time.Millisecond),
			Prompt: Span(300 * time.Millisecond), ColdBlame: 0.3},
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

func (n *Node) applyDefaults(present keyPresence) {
	setDefault(present, "count", &n.Count, 1)
	setDefault(present, "cores", &n.Cores, 2)
	setDefault(present, "queue", &n.Queue, 200)
	setDefault(present, "connections", &n.Connections, 1500)
	setDefault(present, "speed", &n.Speed, 1)
	setDefault(present, "keep_mb", &n.KeepMB, 8)
	setDefault(present, "cold_from", &n.ColdFrom, 0.2)
	setDefault(present, "idle", &n.Idle, Span(60*time.Second))
	setDefault(present, "warm_for", &n.WarmFor, Span(15*time.Second))
	if n.PauseEvery > 0 {
		setDefault(present, "pause_for", &n.PauseFor, Span(200*time.Millisecond))
	}
}

func (p *Product) applyDefaults(present keyPresence) {
	setDefault(present, "law", &p.Law, model.Exponential)
	setDefault(present, "variation", &p.Variation, 1)
	setDefault(present, "billed_value", &p.BilledValue, 1)
	setDefault(present, "effect", &p.Effect, Idempotent)
}

func (f *Fault) applyDefaults(present keyPresence) {
	if f.Do == "deploy" {
		setDefault(present, "at_once", &f.AtOnce, 1)
		setDefault(present, "drain", &f.Drain, Span(2*time.Second))
	}
	betweenBalancers := strings.HasPrefix(f.Do, "mate-")
	if betweenBalancers {
		return
	}
	concernsNodes := f.Part == 0 || f.Do == "reset" || f.Do == "spoil" || f.Do == "fail" // for these, part is a share of the answers, not of the nodes
	if concernsNodes && len(f.Nodes) == 0 {
		f.Nodes = []string{"*"}
	}
}

// Modes of the fleet: which process asks the gateway after a cache miss.
const (
	Aside   = "aside"
	Through = "through"
)

// Effects of a product: whether a request may be executed again.
const (
	Idempotent    = "idempotent"
	Deduplicated  = "deduplicated"
	NonIdempotent = "non-idempotent"
)

// TenantAt returns the balancers, counted from 0, that a tenant's clients use at a given time; an empty result means all.
func (sc *Day) TenantAt(tenant int, at time.Duration) (balancers []int) {
	t, since := &sc.Tenants[tenant], Span(-1)
	list := t.At
	for i := range sc.Faults {
		if f := &sc.Faults[i]; f.Do == "tenant-move" && f.Tenant == t.Name && f.At.Duration() <= at && f.At >= since {
			list, since = f.Balancers, f.At
		}
	}
	for _, b := range list {
		balancers = append(balancers, b-1)
	}
	return balancers
}

// Allowance returns a tenant's quota in requests per second over all balancers.
func (sc *Day) Allowance(tenant int) float64 {
	return sc.Tenants[tenant].Share * sc.Load.Quota * sc.Capacity()
}

// NodeIDs returns the ids of all cache nodes at the start and the group of each.
func (sc *Day) NodeIDs() (ids []string, groups map[string]*Node) {
	groups = map[string]*Node{}
	for i := range sc.Nodes {
		g := &sc.Nodes[i]
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

// HostConfig returns the model's parameters of a node of the group.
func (sc *Day) NodeTerms(n *Node) model.HostConfig {
	r, miss := sc.Rules, missCostRatio
	if sc.Fleet.Mode == Through {
		miss = 0
	}
	return model.HostConfig{Cores: n.Cores, Speed: n.Speed, Queue: n.Queue, CacheBytes: int64(n.KeepMB * (1 << 20)),
		ColdCapacity: n.ColdFrom, WarmUpTime: n.WarmFor.Duration(), OverloadMultiple: r.FallMultiple, OverloadWindow: r.FallFor.Duration(),
		PauseInterval: n.PauseEvery.Duration(), PauseLength: n.PauseFor.Duration(), DropsAbandoned: n.DropsGivenUp, MissWorkRatio: miss}
}

// Told returns the idle timeout of the node that balancers are configured with.
func (n *Node) Told() time.Duration {
	if n.IdleTold > 0 {
		return n.IdleTold.Duration()
	}
	return n.Idle.Duration()
}

// Capacity returns how many requests per second the cache nodes can handle at the start.
func (sc *Day) Capacity() float64 {
	work, shares, effectiveCores := 0.0, 0.0, 0.0
	for _, p := range sc.Products {
		work += p.Share * p.Work.Duration().Seconds()
		shares += p.Share
	}
	for _, n := range sc.Nodes {
		effectiveCores += float64(n.Count) * float64(n.Cores) * n.Speed
	}
	return effectiveCores / (work / shares)
}

// OriginConfig returns the model's parameters of the gateway.
func (sc *Day) GatewayTerms() model.OriginConfig {
	t := model.OriginConfig{Slots: sc.Gateway.Slots, ServiceTime: sc.Gateway.Time.Duration(), Queue: sc.Gateway.Queue,
		OverloadMultiple: sc.Gateway.FallMultiple, OverloadWindow: sc.Gateway.FallFor.Duration(), OutageLength: sc.Gateway.StopFor.Duration()}
	for _, p := range sc.Products {
		t.DedupWindow = max(t.DedupWindow, p.Window.Duration())
	}
	return t
}

// LoadConfig returns the model's parameters of clients and traffic.
func (sc *Day) LoadTerms() model.LoadConfig {
	t := model.LoadConfig{Length: sc.Length.Duration(), RequestsPerSecond: sc.Load.PerS, SwingAmplitude: sc.Load.Swing, SwingPeriod: sc.Load.SwingFor.Duration(),
		Keys: sc.Load.Keys, Zipf: sc.Load.Zipf, GiveUpRange: sc.Clients.GiveUpAt, Zones: sc.Clients.ZoneParts}
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
		from, to := f.At.Duration(), (f.At + f.For).Duration()
		switch f.Do {
		case "surge":
			t.Surges = append(t.Surges, model.Surge{From: from, To: to, Tenant: f.Tenant, Factor: f.By})
		case "scan":
			t.HotKeys = append(t.HotKeys, model.HotKeys{From: from, To: to, Share: f.Part})
		case "hot":
			t.HotKeys = append(t.HotKeys, model.HotKeys{From: from, To: to, Share: f.Part, Keys: f.Keys})
		}
	}
	return t
}

// Shorten changes the length of the rehearsal and removes the faults that would end after it.
func (sc *Day) Shorten(length time.Duration) {
	sc.Length = Span(length)
	sc.Faults = slices.DeleteFunc(sc.Faults, func(f Fault) bool { return f.At+f.For > sc.Length })
}

// Door reports whether the rehearsal needs the admin API of the balancers.
func (sc *Day) Door() bool {
	return slices.ContainsFunc(sc.Faults, func(f Fault) bool { return f.Do == "by-hand" || f.Do == "upgrade" }) || sc.Mates.On
}

// Retry returns what clients do after a request that was not fulfilled.
func (sc *Day) Retry() model.RetryPolicy {
	c := sc.Clients
	return model.RetryPolicy{MaxRetries: c.Tries, InitialDelay: c.Wait.Duration(), HonourRatio: c.Honour, MaxRetryAfter: c.ComeBack.Duration()}
}

// ErrFaulty is wrapped by all errors about a file's content.
var ErrFaulty = errors.New("faulty scenario")

// Text returns the text of a scenario file that parses to the same scenario.
func (sc *Day) Text() ([]byte, error) {
	withoutFaults := *sc
	withoutFaults.Faults = nil
	var out bytes.Buffer
	if err := toml.NewEncoder(&out).Encode(withoutFaults); err != nil {
		return nil, err
	}
	for i := range sc.Faults {
		f := &sc.Faults[i]
		fmt.Fprintf(&out, "\n[[fault]]\ndo = %q\nat = %q\n", f.Do, f.At)
		k := faultKinds[f.Do]
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
		return quoted(f.For)
	case key == "delay" && f.Delay != 0:
		return quoted(f.Delay)
	case key == "drain" && f.Drain != 0:
		return quoted(f.Drain)
	case key == "nodes" && len(f.Nodes) > 0:
		return fmt.Sprintf("nodes = [\"%s\"]", strings.Join(f.Nodes, "\", \""))
	case key == "part" && f.Part != 0:
		return fmt.Sprintf("part = %v", f.Part)
	case key == "by" && f.By != 0:
		return "by = " + strconv.FormatFloat(f.By, 'f', -1, 64)
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
	case key == "same_address" && f.Same:
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
