// Package scenario reads the files that describe a rehearsal: the fleet, who calls, what goes wrong when, and by which
// figures the rules are judged. A file is checked whole; each fault in it is named with file, line and key.
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

// Span is a length of time, written like 250ms.
type Span = strict.Span

// Range is from a least to a most.
type Range [2]Span

// Day is one rehearsal.
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

	Operator string `toml:"operator"` // the text of the operator's own file for the balancers
}

// Fleet is where things stand and what a balancer is given.
type Fleet struct {
	Zones     []string `toml:"zones"`
	Balancers int      `toml:"balancers"` // spread over the zones in turn
	Same      Span     `toml:"same"`      // one way within a zone
	Cross     Span     `toml:"cross"`     // one way between zones
	MemoryMB  int      `toml:"memory_mb"` // of each balancer
	Sockets   int      `toml:"sockets"`
	Attempts  int      `toml:"shots"`   // of one request at most
	Mode      string   `toml:"mode"`    // aside: nodes answer a miss and the balancer asks the gateway; through: nodes ask it
	Reports   bool     `toml:"reports"` // nodes add their load to answers
}

// Node is a group of equal cache nodes; they are called NAME-1, NAME-2 and so on.
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
	Idle         Span    `toml:"idle"`      // it closes a connection that rests for so long
	IdleTold     Span    `toml:"idle_told"` // what balancers are told of that; by default the truth
	PauseEvery   Span    `toml:"pause_every"`
	PauseFor     Span    `toml:"pause_for"`
	ColdFrom     float64 `toml:"cold_from"`
	WarmFor      Span    `toml:"warm_for"`
	DropsGivenUp bool    `toml:"drops_given_up"`
}

// Gateway is what the cache nodes lack is asked of.
type Gateway struct {
	Slots        int     `toml:"slots"`
	Time         Span    `toml:"time"`
	Queue        int     `toml:"queue"`
	FallMultiple float64 `toml:"fall_multiple"`
	FallFor      Span    `toml:"fall_for"`
	StopFor      Span    `toml:"stop_for"`
}

// Register is how late the list tells what happens.
type Register struct {
	Late Range `toml:"late"`
}

// Load is the usual traffic.
type Load struct {
	PerS      float64 `toml:"per_s"`
	Swing     float64 `toml:"swing"`
	SwingFor  Span    `toml:"swing_for"`
	Keys      int     `toml:"keys"`
	Zipf      float64 `toml:"zipf"`
	ValueSize int     `toml:"value_size"`
	Quota     float64 `toml:"quota"` // share of the fleet's capacity that the tenants' allowances make up together
	Warm      float64 `toml:"warm"`  // share of the keys that the nodes keep at the start, the most popular first
}

// Clients is how callers behave.
type Clients struct {
	Tries     int        `toml:"tries"` // besides the first
	Wait      Span       `toml:"wait"`
	Honour    float64    `toml:"honour"` // share of the come-back times that are kept to
	ComeBack  Span       `toml:"come_back"`
	GiveUpAt  [2]float64 `toml:"give_up_at"`
	Notice    Span       `toml:"notice"` // until the front leaves a dead balancer alone
	ZoneParts []float64  `toml:"zone_parts"`
}

// Product is a kind of request.
type Product struct {
	Name          string    `toml:"name"`
	Share         float64   `toml:"share"`
	Work          Span      `toml:"work"`
	Law           model.Law `toml:"law"`
	Variation     float64   `toml:"variation"`
	LatencySLO    Span      `toml:"latency_slo"`
	ClientTimeout Span      `toml:"client_timeout"`
	BilledValue   float64   `toml:"billed_value"`
	Effect        string    `toml:"effect"` // idempotent, deduplicated or non-idempotent
	Window        Span      `toml:"window"` // in which a deduplicated one's repeats are dropped
	Write         bool      `toml:"write"`
}

// Tenant is who calls.
type Tenant struct {
	Name  string  `toml:"name"`
	Share float64 `toml:"share"` // of the fleet
	Usage float64 `toml:"usage"` // of its share in the usual traffic
	At    []int   `toml:"at"`    // balancers that its clients use; all where none is named
}

// Rules are the figures of the rules.
type Rules struct {
	DrainGrace   Span    `toml:"drain_grace"`
	FallMultiple float64 `toml:"fall_multiple"`
	FallFor      Span    `toml:"fall_for"`
	Slack        Span    `toml:"slack"`      // that each time limit of the judge gets for the way
	Prompt       Span    `toml:"prompt"`     // in which what is given up is answered
	ColdBlame    float64 `toml:"cold_blame"` // share of misses at cold nodes from which a stopped gateway breaks rule four
}

// Mates is how the balancers speak with each other, and by what ways; they do not unless On.
type Mates struct {
	On      bool    `toml:"on"`
	Period  Span    `toml:"period"`
	Suspect Span    `toml:"suspect"`
	Budget  int     `toml:"budget"`
	Loss    float64 `toml:"loss"` // everywhere, all day
	Delay   Span    `toml:"delay"`
	Jitter  Span    `toml:"jitter"`
	Limits  bool    `toml:"limits"` // parts of what holds for the fleet move
	Lease   Span    `toml:"lease"`
	// Evidence has balancers tell each other how attempts at nodes ended.
	Evidence bool `toml:"evidence"`
}

// Way is what the day has between any two balancers.
func (m *Mates) Way() model.WayTerms {
	return model.WayTerms{Loss: m.Loss, Delay: m.Delay.Duration(), Jitter: m.Jitter.Duration()}
}

// Fault is something that goes wrong.
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

// kind says what a fault needs and may have.
type kind struct {
	about string
	needs []string
	may   []string
}

var kinds = map[string]kind{
	"slow":             {"nodes do their work BY times slower", []string{"for", "by"}, []string{"nodes", "part"}},
	"stall":            {"nodes take calls and do none", []string{"for"}, []string{"nodes", "part"}},
	"kill":             {"nodes die without a word and come back cold after FOR", []string{"for"}, []string{"nodes", "part"}},
	"vanish":           {"nodes fall silent, connections too, and come back cold after FOR", []string{"for"}, []string{"nodes", "part"}},
	"reset":            {"nodes break the connection in the middle of this part of their answers", []string{"for", "part"}, []string{"nodes"}},
	"spoil":            {"nodes spoil this part of their answers", []string{"for", "part"}, []string{"nodes"}},
	"fail":             {"nodes answer this part of their calls with an error", []string{"for", "part"}, []string{"nodes"}},
	"link-delay":       {"the way to nodes takes DELAY more", []string{"for", "delay"}, []string{"nodes", "part", "balancers"}},
	"link-cut":         {"the way to nodes loses everything", []string{"for"}, []string{"nodes", "part", "balancers"}},
	"zone-dark":        {"all nodes of a zone vanish and come back cold", []string{"for", "zone"}, nil},
	"deploy":           {"nodes are replaced by cold successors, AT_ONCE at a time", []string{"for"}, []string{"nodes", "part", "at_once", "drain", "same_address"}},
	"register-silent":  {"the register says nothing", []string{"for"}, []string{"balancers"}},
	"watch-silent":     {"all open watches of the list fall silent; new ones work", nil, []string{"balancers"}},
	"register-rewind":  {"the register's versions start over", nil, []string{"balancers"}},
	"gateway-slow":     {"the gateway is BY times slower", []string{"for", "by"}, nil},
	"gateway-reset":    {"the gateway breaks the connection in place of this part of its answers", []string{"for", "part"}, nil},
	"gateway-fail":     {"the gateway answers this part of its calls with an error, before it does them", []string{"for", "part"}, nil},
	"balancer-kill":    {"balancers are killed and start again after FOR", []string{"for"}, []string{"balancers"}},
	"balancer-restart": {"balancers get SIGTERM and start again", nil, []string{"balancers"}},
	"balancer-stall":   {"balancers stand still (SIGSTOP)", []string{"for"}, []string{"balancers"}},
	"balancer-astray":  {"balancers are killed and start at once with addresses of others where nobody is", nil, []string{"balancers"}},
	"balancer-twin":    {"a balancer starts again under the name of the one in TO by mistake", []string{"for", "balancers", "to"}, nil},
	"upgrade-kill":     {"the newer process of an upgrade is killed FOR after it is ready; the older one goes on", []string{"for"}, []string{"balancers"}},
	"mate-cut":         {"the ways between BALANCERS and TO lose everything", []string{"for"}, []string{"balancers", "to", "one_way"}},
	"mate-flap":        {"the ways between BALANCERS and TO come and go, each time for DELAY", []string{"for", "delay"}, []string{"balancers", "to", "one_way"}},
	"mate-loss":        {"the ways between BALANCERS and TO lose this part", []string{"for", "part"}, []string{"balancers", "to", "one_way"}},
	"mate-delay":       {"the ways between BALANCERS and TO take up to DELAY more", []string{"for", "delay"}, []string{"balancers", "to", "one_way"}},
	"mate-repeat":      {"this part of what goes between BALANCERS and TO comes twice", []string{"for", "part"}, []string{"balancers", "to", "one_way"}},
	"mate-reorder":     {"this part of what goes between BALANCERS and TO comes DELAY later", []string{"for", "part", "delay"}, []string{"balancers", "to", "one_way"}},
	"mate-spoil":       {"this part of what goes between BALANCERS and TO has a byte changed", []string{"for", "part"}, []string{"balancers", "to", "one_way"}},
	"mate-narrow":      {"the ways between BALANCERS and TO take BY bytes a second", []string{"for", "by"}, []string{"balancers", "to", "one_way"}},
	"reload":           {"the register moves to another address and balancers get SIGHUP", nil, []string{"balancers"}},
	"by-hand":          {"operators take nodes out at every balancer, restart them, and put them back after FOR", []string{"for"}, []string{"nodes", "part"}},
	"tenant-move":      {"a tenant's clients use BALANCERS from now on", []string{"tenant", "balancers"}, nil},
	"upgrade":          {"a new process takes over from each balancer under load", nil, []string{"balancers"}},
	"crowd":            {"COUNT connections come in FOR, most of which never finish a request", []string{"for", "count"}, nil},
	"surge":            {"traffic is BY times the usual", []string{"for", "by"}, []string{"tenant"}},
	"scan":             {"this part of the reads ask for keys wanted exactly once", []string{"for", "part"}, nil},
	"hot":              {"this part of the reads ask for a few keys", []string{"for", "part", "keys"}, nil},
	"rude":             {"COUNT clients that send nonsense, or nothing, in turn", []string{"for", "count"}, nil},
}

// defaults are what a file that says nothing has: a small fleet that a laptop carries.
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

// given tells whether a key of a table stands in the file: a zero that was written is no absent key.
type given func(key string) bool

// or sets what the file does not say.
func or[T comparable](has given, key string, v *T, absent T) {
	var zero T
	if *v == zero && !has(key) {
		*v = absent
	}
}

func (n *Node) settle(has given) {
	or(has, "count", &n.Count, 1)
	or(has, "cores", &n.Cores, 2)
	or(has, "queue", &n.Queue, 200)
	or(has, "connections", &n.Connections, 1500)
	or(has, "speed", &n.Speed, 1)
	or(has, "keep_mb", &n.KeepMB, 8)
	or(has, "cold_from", &n.ColdFrom, 0.2)
	or(has, "idle", &n.Idle, Span(60*time.Second))
	or(has, "warm_for", &n.WarmFor, Span(15*time.Second))
	if n.PauseEvery > 0 {
		or(has, "pause_for", &n.PauseFor, Span(200*time.Millisecond))
	}
}

func (p *Product) settle(has given) {
	or(has, "law", &p.Law, model.Exponential)
	or(has, "variation", &p.Variation, 1)
	or(has, "billed_value", &p.BilledValue, 1)
	or(has, "effect", &p.Effect, Idempotent)
}

func (f *Fault) settle(has given) {
	if f.Do == "deploy" {
		or(has, "at_once", &f.AtOnce, 1)
		or(has, "drain", &f.Drain, Span(2*time.Second))
	}
	ofMates := strings.HasPrefix(f.Do, "mate-")
	if ofMates {
		return
	}
	ofNodes := f.Part == 0 || f.Do == "reset" || f.Do == "spoil" || f.Do == "fail" // there the part is of the answers
	if ofNodes && len(f.Nodes) == 0 {
		f.Nodes = []string{"*"}
	}
}

// Where the gateway is asked from.
const (
	Aside   = "aside"
	Through = "through"
)

// Effects by which products are known.
const (
	Idempotent    = "idempotent"
	Deduplicated  = "deduplicated"
	NonIdempotent = "non-idempotent"
)

// TenantAt are the balancers, counted from 0, that a tenant's clients use at a moment; none: all.
func (d *Day) TenantAt(tenant int, at time.Duration) (use []int) {
	t, since := &d.Tenants[tenant], Span(-1)
	list := t.At
	for i := range d.Faults {
		if f := &d.Faults[i]; f.Do == "tenant-move" && f.Tenant == t.Name && f.At.Duration() <= at && f.At >= since {
			list, since = f.Balancers, f.At
		}
	}
	for _, b := range list {
		use = append(use, b-1)
	}
	return use
}

// Allowance is what a tenant may call in a second, over all balancers.
func (d *Day) Allowance(tenant int) float64 {
	return d.Tenants[tenant].Share * d.Load.Quota * d.Capacity()
}

// NodeIDs are all nodes at the start, with the group of each.
func (d *Day) NodeIDs() (ids []string, groups map[string]*Node) {
	groups = map[string]*Node{}
	for i := range d.Nodes {
		g := &d.Nodes[i]
		for n := range g.Count {
			id := fmt.Sprintf("%s-%d", g.Name, n+1)
			ids = append(ids, id)
			groups[id] = g
		}
	}
	return ids, groups
}

// missPart is what finding nothing costs of a read's work: a look-up without the value's making.
const missPart = 0.2

// NodeTerms is what a node of the group is to the model.
func (d *Day) NodeTerms(n *Node) model.NodeTerms {
	r, miss := d.Rules, missPart
	if d.Fleet.Mode == Through {
		miss = 0
	}
	return model.NodeTerms{Cores: n.Cores, Speed: n.Speed, Queue: n.Queue, KeepBytes: int64(n.KeepMB * (1 << 20)),
		ColdFrom: n.ColdFrom, WarmFor: n.WarmFor.Duration(), FallMultiple: r.FallMultiple, FallFor: r.FallFor.Duration(),
		PauseEvery: n.PauseEvery.Duration(), PauseFor: n.PauseFor.Duration(), DropsGivenUp: n.DropsGivenUp, MissPart: miss}
}

// Told is after what rest balancers are told that the node closes a connection.
func (n *Node) Told() time.Duration {
	if n.IdleTold > 0 {
		return n.IdleTold.Duration()
	}
	return n.Idle.Duration()
}

// Capacity is how many requests a second the nodes can do at the start.
func (d *Day) Capacity() float64 {
	work, shares, able := 0.0, 0.0, 0.0
	for _, p := range d.Products {
		work += p.Share * p.Work.Duration().Seconds()
		shares += p.Share
	}
	for _, n := range d.Nodes {
		able += float64(n.Count) * float64(n.Cores) * n.Speed
	}
	return able / (work / shares)
}

// GatewayTerms is what the gateway is to the model.
func (d *Day) GatewayTerms() model.GatewayTerms {
	t := model.GatewayTerms{Slots: d.Gateway.Slots, Time: d.Gateway.Time.Duration(), Queue: d.Gateway.Queue,
		FallMultiple: d.Gateway.FallMultiple, FallFor: d.Gateway.FallFor.Duration(), StopFor: d.Gateway.StopFor.Duration()}
	for _, p := range d.Products {
		t.Window = max(t.Window, p.Window.Duration())
	}
	return t
}

// LoadTerms is what the callers are to the model.
func (d *Day) LoadTerms() model.LoadTerms {
	t := model.LoadTerms{For: d.Length.Duration(), PerS: d.Load.PerS, Swing: d.Load.Swing, SwingFor: d.Load.SwingFor.Duration(),
		Keys: d.Load.Keys, Zipf: d.Load.Zipf, GiveUpAt: d.Clients.GiveUpAt, Zones: d.Clients.ZoneParts}
	if len(t.Zones) == 0 {
		for range d.Fleet.Zones {
			t.Zones = append(t.Zones, 1)
		}
	}
	for _, p := range d.Products {
		t.Products = append(t.Products, model.Product{Name: p.Name, Share: p.Share, LatencySLO: p.LatencySLO.Duration(),
			ClientTimeout: p.ClientTimeout.Duration(), BilledValue: p.BilledValue, Write: p.Write, Marked: p.Effect == Deduplicated})
	}
	for _, x := range d.Tenants {
		t.Tenants = append(t.Tenants, model.Tenant{Name: x.Name, Share: x.Share * x.Usage})
	}
	for _, f := range d.Faults {
		from, to := f.At.Duration(), (f.At + f.For).Duration()
		switch f.Do {
		case "surge":
			t.Surges = append(t.Surges, model.Surge{From: from, To: to, Tenant: f.Tenant, Times: f.By})
		case "scan":
			t.Focuses = append(t.Focuses, model.Focus{From: from, To: to, Part: f.Part})
		case "hot":
			t.Focuses = append(t.Focuses, model.Focus{From: from, To: to, Part: f.Part, Keys: f.Keys})
		}
	}
	return t
}

// Shorten changes the day's length. Faults that would end after it are left out.
func (d *Day) Shorten(to time.Duration) {
	d.Length = Span(to)
	d.Faults = slices.DeleteFunc(d.Faults, func(f Fault) bool { return f.At+f.For > d.Length })
}

// Door tells whether the day needs the balancers' doors for operators.
func (d *Day) Door() bool {
	return slices.ContainsFunc(d.Faults, func(f Fault) bool { return f.Do == "by-hand" || f.Do == "upgrade" }) || d.Mates.On
}

// Retry is what clients do after a try that was not fulfilled.
func (d *Day) Retry() model.Retry {
	c := d.Clients
	return model.Retry{Tries: c.Tries, Wait: c.Wait.Duration(), Honour: c.Honour, HonourTo: c.ComeBack.Duration()}
}

// ErrFaulty is in all errors about a file's content.
var ErrFaulty = errors.New("faulty scenario")

// Text writes the day as a file that reads as the same day.
func (d *Day) Text() ([]byte, error) {
	plain := *d
	plain.Faults = nil
	var out bytes.Buffer
	if err := toml.NewEncoder(&out).Encode(plain); err != nil {
		return nil, err
	}
	for i := range d.Faults {
		f := &d.Faults[i]
		fmt.Fprintf(&out, "\n[[fault]]\ndo = %q\nat = %q\n", f.Do, f.At)
		k := kinds[f.Do]
		for _, key := range append(slices.Clone(k.needs), k.may...) {
			if line := f.line(key); line != "" {
				out.WriteString(line + "\n")
			}
		}
	}
	return out.Bytes(), nil
}

// line writes one key of a fault; "" where it says nothing.
func (f *Fault) line(key string) string {
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
