package scenario

import (
	"embed"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path"
	"slices"
	"strconv"
	"strings"
	"time"

	"streamrail/internal/rehearsal/model"
	"streamrail/internal/strict"
)

//go:embed library/*.toml
var library embed.FS

// Names are the built-in rehearsals.
func Names() (names []string) {
	files, _ := fs.Glob(library, "library/*.toml")
	for _, f := range files {
		names = append(names, strings.TrimSuffix(path.Base(f), ".toml"))
	}
	return names
}

// Open reads a built-in rehearsal by its name, or a file.
func Open(nameOrFile string) (*Day, error) {
	if slices.Contains(Names(), nameOrFile) {
		text, err := library.ReadFile("library/" + nameOrFile + ".toml")
		if err != nil {
			return nil, err
		}
		return Parse(nameOrFile+".toml", text)
	}
	text, err := os.ReadFile(nameOrFile)
	if errors.Is(err, fs.ErrNotExist) && !strings.ContainsAny(nameOrFile, "./") {
		return nil, fmt.Errorf("%w: no rehearsal is called %q; the built-in ones are %s", ErrFaulty, nameOrFile, strings.Join(Names(), ", "))
	}
	if err != nil {
		return nil, err
	}
	return Parse(nameOrFile, text)
}

// Parse reads and checks a file's text. Its error names every fault that was found, a line each.
func Parse(file string, text []byte) (*Day, error) {
	d := defaults()
	f := strict.Decode(file, text, &d)
	if !f.Valid() {
		return nil, f.Err(ErrFaulty)
	}
	c := &checker{File: f, day: &d}
	has := func(list string, i int) given {
		return func(key string) bool { return f.IsSet(fmt.Sprintf("%s[%d].%s", list, i+1, key)) }
	}
	if len(d.Nodes) == 0 {
		d.Nodes = []Node{{Name: "node", Count: 4}}
	}
	for i := range d.Nodes {
		d.Nodes[i].settle(has("node", i))
	}
	if len(d.Products) == 0 {
		d.Products = usualProducts()
	}
	for i := range d.Products {
		d.Products[i].settle(has("product", i))
	}
	if len(d.Tenants) == 0 {
		d.Tenants = []Tenant{{Name: "shops", Share: 1}}
	}
	for i := range d.Tenants {
		or(has("tenant", i), "usage", &d.Tenants[i].Usage, 1)
	}
	for i := range d.Faults {
		d.Faults[i].settle(has("fault", i))
	}
	c.check()
	return &d, f.Err(ErrFaulty)
}

// usualProducts are those of a file that names none: reads, and writes of both kinds.
func usualProducts() []Product {
	ms := func(n int) Span { return Span(time.Duration(n) * time.Millisecond) }
	return []Product{
		{Name: "balance", Share: 0.56, Work: ms(12), LatencySLO: ms(500), ClientTimeout: ms(1200)},
		{Name: "offers", Share: 0.39, Work: ms(18), LatencySLO: ms(800), ClientTimeout: ms(2500)},
		{Name: "credit", Share: 0.03, Work: ms(20), LatencySLO: ms(1200), ClientTimeout: ms(3000), Effect: NonIdempotent, Write: true},
		{Name: "credit-once", Share: 0.02, Work: ms(20), LatencySLO: ms(1200), ClientTimeout: ms(3000), Effect: Deduplicated,
			Window: ms(2000), Write: true},
	}
}

type checker struct {
	*strict.File
	day *Day
}

// within holds a figure to a range.
func within[T int | float64 | Span](c *checker, key string, v, least, most T) {
	strict.CheckRange(c.File, key, v, least, most)
}

const (
	mostNodes     = 1 << 16 // what a machine can hold is seen when a day is brought up; these stop slips
	mostBalancers = 1 << 16
	mostLength    = Span(time.Hour)
	longest       = Span(time.Minute) // that any single thing takes
)

func (c *checker) check() {
	d := c.day
	within(c, "length", d.Length, Span(time.Second), mostLength)
	within(c, "fleet.balancers", d.Fleet.Balancers, 1, mostBalancers)
	within(c, "fleet.same", d.Fleet.Same, 0, Span(time.Second))
	within(c, "fleet.cross", d.Fleet.Cross, 0, Span(time.Second))
	within(c, "fleet.memory_mb", d.Fleet.MemoryMB, 16, 1<<16)
	within(c, "fleet.sockets", d.Fleet.Sockets, 64, 1<<16)
	within(c, "fleet.shots", d.Fleet.Attempts, 1, 16)
	if d.Fleet.Mode != Aside && d.Fleet.Mode != Through {
		c.AddFault("fleet.mode", "expected aside or through, got %q", d.Fleet.Mode)
	}
	if len(d.Fleet.Zones) == 0 {
		c.AddFault("fleet.zones", "expected at least one")
	}
	zones := unique(c, "fleet.zones", d.Fleet.Zones)
	c.nodes(zones)
	c.gateway()
	c.load()
	c.products()
	tenants := c.tenants()
	if m := d.Mates; m.On {
		within(c, "mates.period", m.Period, Span(50*time.Millisecond), longest)
		within(c, "mates.suspect", m.Suspect, 2*m.Period, longest)
		within(c, "mates.budget", m.Budget, 500, 1<<20)
		within(c, "mates.lease", m.Lease, Span(time.Second), longest)
		within(c, "mates.loss", m.Loss, 0, 0.9)
		within(c, "mates.delay", m.Delay, 0, Span(time.Second))
		within(c, "mates.jitter", m.Jitter, 0, Span(time.Second))
	}
	within(c, "rules.drain_grace", d.Rules.DrainGrace, Span(100*time.Millisecond), longest)
	within(c, "rules.fall_multiple", d.Rules.FallMultiple, 0, 100)
	within(c, "rules.fall_for", d.Rules.FallFor, Span(100*time.Millisecond), longest)
	within(c, "rules.slack", d.Rules.Slack, 0, Span(time.Second))
	within(c, "rules.prompt", d.Rules.Prompt, Span(20*time.Millisecond), Span(10*time.Second))
	within(c, "rules.cold_blame", d.Rules.ColdBlame, 0.01, 1)
	ids, _ := d.NodeIDs()
	for i := range d.Faults {
		c.fault(i, ids, zones, tenants)
	}
}

// unique names what stands twice in a list.
func unique(c *checker, key string, names []string) map[string]bool {
	seen := map[string]bool{}
	for _, n := range names {
		if n == "" || strings.ContainsAny(n, " ,=\r\n\t") {
			c.AddFault(key, "expected a name without blanks, commas or =, got %q", n)
		}
		if seen[n] {
			c.AddFault(key, "%q stands twice", n)
		}
		seen[n] = true
	}
	return seen
}

func (c *checker) nodes(zones map[string]bool) {
	d, n := c.day, 0
	names := map[string]bool{}
	for i := range d.Nodes {
		g, at := &d.Nodes[i], fmt.Sprintf("node[%d].", i+1)
		if g.Name == "" || strings.ContainsAny(g.Name, " ,=*") || names[g.Name] {
			c.AddFault(at+"name", "expected a name of its own without blanks, got %q", g.Name)
		}
		names[g.Name] = true
		if g.Zone == "" && len(d.Fleet.Zones) > 0 {
			g.Zone = d.Fleet.Zones[0]
		}
		if !zones[g.Zone] {
			c.AddFault(at+"zone", "no zone is called %q", g.Zone)
		}
		within(c, at+"count", g.Count, 1, mostNodes)
		within(c, at+"cores", g.Cores, 1, 1024)
		within(c, at+"speed", g.Speed, 0.01, 100)
		within(c, at+"queue", g.Queue, 0, 1<<20)
		within(c, at+"keep_mb", g.KeepMB, 0.001, 4096)
		within(c, at+"connections", g.Connections, 1, 1<<16)
		within(c, at+"connect_work", g.ConnectWork, 0, Span(time.Second))
		within(c, at+"probe_work", g.ProbeWork, 0, Span(time.Second))
		within(c, at+"idle", g.Idle, Span(100*time.Millisecond), mostLength)
		within(c, at+"idle_told", g.IdleTold, 0, mostLength)
		within(c, at+"cold_from", g.ColdFrom, 0.01, 1)
		within(c, at+"warm_for", g.WarmFor, 0, mostLength)
		if g.PauseEvery > 0 {
			within(c, at+"pause_every", g.PauseEvery, Span(100*time.Millisecond), mostLength)
			within(c, at+"pause_for", g.PauseFor, Span(time.Millisecond), g.PauseEvery)
		}
		n += g.Count
	}
	if n > mostNodes {
		c.AddFault("node", "expected at most %d nodes, got %d", mostNodes, n)
	}
}

func (c *checker) gateway() {
	g := c.day.Gateway
	within(c, "gateway.slots", g.Slots, 1, 1<<16)
	within(c, "gateway.time", g.Time, Span(time.Millisecond), longest)
	within(c, "gateway.queue", g.Queue, 0, 1<<16)
	within(c, "gateway.fall_multiple", g.FallMultiple, 0, 100)
	within(c, "gateway.fall_for", g.FallFor, Span(100*time.Millisecond), longest)
	within(c, "gateway.stop_for", g.StopFor, Span(100*time.Millisecond), longest)
	late := c.day.Register.Late
	within(c, "register.late", late[0], 0, late[1])
	within(c, "register.late", late[1], 0, longest)
}

func (c *checker) load() {
	d := c.day
	within(c, "load.per_s", d.Load.PerS, 0.1, 1e6)
	within(c, "load.swing", d.Load.Swing, 0, 0.95)
	if d.Load.Swing > 0 {
		within(c, "load.swing_for", d.Load.SwingFor, Span(time.Second), mostLength)
	}
	within(c, "load.keys", d.Load.Keys, 1, 1<<22)
	within(c, "load.zipf", d.Load.Zipf, 0, 4)
	within(c, "load.value_size", d.Load.ValueSize, 64, 4<<20) // the key, the version and the id go into a value
	within(c, "load.quota", d.Load.Quota, 0.01, 10)
	within(c, "load.warm", d.Load.Warm, 0, 1)
	if n := d.Load.PerS * d.Length.Duration().Seconds(); n > model.MostArrivals/4 {
		c.AddFault("load.per_s", "%.0f requests in %v are more than the kit plans (%d)", n, d.Length, model.MostArrivals/4)
	}
	within(c, "client.tries", d.Clients.Tries, 0, 10)
	within(c, "client.wait", d.Clients.Wait, Span(time.Millisecond), longest)
	within(c, "client.honour", d.Clients.Honour, 0, 1)
	within(c, "client.come_back", d.Clients.ComeBack, 0, longest)
	within(c, "client.notice", d.Clients.Notice, 0, longest)
	g := d.Clients.GiveUpAt
	within(c, "client.give_up_at", g[0], 0.05, g[1])
	within(c, "client.give_up_at", g[1], 0.05, 1)
	if n := len(d.Clients.ZoneParts); n != 0 && n != len(d.Fleet.Zones) {
		c.AddFault("client.zone_parts", "expected a part for each of the %d zones, got %d", len(d.Fleet.Zones), n)
	}
}

func (c *checker) products() {
	names := map[string]bool{}
	for i, p := range c.day.Products {
		at := fmt.Sprintf("product[%d].", i+1)
		if p.Name == "" || strings.ContainsAny(p.Name, " ,=") || names[p.Name] {
			c.AddFault(at+"name", "expected a name of its own without blanks, got %q", p.Name)
		}
		names[p.Name] = true
		within(c, at+"share", p.Share, 0.0001, 1e6)
		within(c, at+"work", p.Work, Span(time.Microsecond), longest)
		within(c, at+"variation", p.Variation, 0.01, 10)
		within(c, at+"latency_slo", p.LatencySLO, Span(time.Millisecond), longest)
		if p.ClientTimeout < p.LatencySLO || p.ClientTimeout > longest {
			c.AddFault(at+"client_timeout", "expected the latency SLO (%v) to %v, got %v", p.LatencySLO, longest, p.ClientTimeout)
		}
		within(c, at+"billed_value", p.BilledValue, 0.0001, 1e9)
		if p.Law != model.Exponential && p.Law != model.LogNormal && p.Law != model.Constant {
			c.AddFault(at+"law", "expected exponential, lognormal or constant, got %q", p.Law)
		}
		switch p.Effect {
		case Idempotent, NonIdempotent:
			if p.Window != 0 {
				c.AddFault(at+"window", "only a deduplicated product has one")
			}
		case Deduplicated:
			within(c, at+"window", p.Window, Span(100*time.Millisecond), longest)
		default:
			c.AddFault(at+"effect", "expected idempotent, deduplicated or non-idempotent, got %q", p.Effect)
		}
		if p.Effect != Idempotent && !p.Write {
			c.AddFault(at+"write", "a product that may not run again is a write")
		}
	}
}

func (c *checker) tenants() map[string]bool {
	names := map[string]bool{}
	for i, t := range c.day.Tenants {
		at := fmt.Sprintf("tenant[%d].", i+1)
		if t.Name == "" || strings.ContainsAny(t.Name, " ,=") || names[t.Name] {
			c.AddFault(at+"name", "expected a name of its own without blanks, got %q", t.Name)
		}
		names[t.Name] = true
		within(c, at+"share", t.Share, 0.0001, 1)
		within(c, at+"usage", t.Usage, 0.0001, 100)
		for _, b := range t.At {
			within(c, at+"at", b, 1, c.day.Fleet.Balancers)
		}
	}
	return names
}

func (c *checker) fault(i int, ids []string, zones, tenants map[string]bool) {
	f, at := &c.day.Faults[i], fmt.Sprintf("fault[%d].", i+1)
	k, ok := kinds[f.Do]
	if !ok {
		c.AddFault(at+"do", "expected one of %s, got %q", strings.Join(Kinds(), ", "), f.Do)
		return
	}
	for _, key := range []string{"for", "nodes", "part", "by", "delay", "zone", "balancers", "tenant", "keys", "at_once", "drain",
		"same_address", "count", "to", "one_way"} {
		given := c.IsSet(at + key)
		switch {
		case slices.Contains(k.needs, key) && !given:
			c.AddFault(at+key, "%s needs it", f.Do)
		case given && !slices.Contains(k.needs, key) && !slices.Contains(k.may, key):
			c.AddFault(at+key, "%s has no such key", f.Do)
		}
	}
	within(c, at+"at", f.At, 0, c.day.Length)
	if f.For < 0 || f.At+f.For > c.day.Length {
		c.AddFault(at+"for", "the fault would end at %v, after the day (%v)", f.At+f.For, c.day.Length)
	}
	if c.IsSet(at + "part") {
		within(c, at+"part", f.Part, 0.001, 1)
	}
	if slices.Contains(k.needs, "by") {
		within(c, at+"by", f.By, 0.01, 1000)
	}
	if f.Do == "hot" {
		within(c, at+"keys", f.Keys, 1, 1000)
	}
	if f.Do == "link-delay" {
		within(c, at+"delay", f.Delay, Span(time.Millisecond), longest)
	}
	if f.Do == "mate-flap" || f.Do == "mate-delay" || f.Do == "mate-reorder" {
		within(c, at+"delay", f.Delay, Span(time.Millisecond), longest)
	}
	if ofMates := strings.HasPrefix(f.Do, "mate-"); (ofMates || f.Do == "balancer-astray" || f.Do == "balancer-twin") && !c.day.Mates.On {
		c.AddFault(at+"do", "%s needs balancers that speak with each other (mates.on)", f.Do)
	}
	if f.Do == "balancer-twin" && (len(f.Balancers) != 1 || len(f.To) != 1 || f.Balancers[0] == f.To[0]) {
		c.AddFault(at+"to", "balancer-twin is of one balancer and another one")
	}
	if f.Do == "rude" {
		within(c, at+"count", f.Count, 1, 20000)
	}
	if f.Do == "crowd" {
		within(c, at+"count", f.Count, 1, 20000)
	}
	if f.Do == "deploy" {
		within(c, at+"at_once", f.AtOnce, 1, max(1, len(ids)))
		within(c, at+"drain", f.Drain, Span(100*time.Millisecond), longest)
	}
	if f.Zone != "" && !zones[f.Zone] {
		c.AddFault(at+"zone", "no zone is called %q", f.Zone)
	}
	if f.Tenant != "" && !tenants[f.Tenant] {
		c.AddFault(at+"tenant", "no tenant is called %q", f.Tenant)
	}
	for _, n := range f.Nodes {
		if !slices.ContainsFunc(ids, func(id string) bool { return matches(n, id) }) {
			c.AddFault(at+"nodes", "no node is called %q", n)
		}
	}
	for _, b := range f.To {
		if b < 1 || b > c.day.Fleet.Balancers {
			c.AddFault(at+"to", "expected 1 to %d, got %d", c.day.Fleet.Balancers, b)
		}
	}
	for _, b := range f.Balancers {
		if b < 1 || b > c.day.Fleet.Balancers {
			c.AddFault(at+"balancers", "expected 1 to %d, got %d", c.day.Fleet.Balancers, b)
		}
	}
}

// matches tells whether a word of a fault means a node: its name, or the begin of it before a star.
func matches(word, id string) bool {
	if begin, ok := strings.CutSuffix(word, "*"); ok {
		return strings.HasPrefix(id, begin)
	}
	return word == id
}

// Kinds are the kinds of faults, in order.
func Kinds() (names []string) {
	for k := range kinds {
		names = append(names, k)
	}
	slices.Sort(names)
	return names
}

// KindAbout says what a kind of fault does.
func KindAbout(name string) string { return kinds[name].about }

// Hit are the nodes at the start of the day that a fault is about: those it names, or a drawn part of all.
func (d *Day) Hit(i int) (hit []string) {
	f := &d.Faults[i]
	ids, groups := d.NodeIDs()
	if f.Do == "zone-dark" {
		for _, id := range ids {
			if groups[id].Zone == f.Zone {
				hit = append(hit, id)
			}
		}
		return hit
	}
	if len(f.Nodes) > 0 {
		for _, id := range ids {
			if slices.ContainsFunc(f.Nodes, func(w string) bool { return matches(w, id) }) {
				hit = append(hit, id)
			}
		}
		return hit
	}
	r := model.Stream(d.Seed, "fault "+strconv.Itoa(i))
	r.Shuffle(len(ids), func(a, b int) { ids[a], ids[b] = ids[b], ids[a] })
	hit = ids[:max(1, int(f.Part*float64(len(ids))+0.5))]
	slices.Sort(hit)
	return hit
}

// HitBalancers are the balancers that a fault is about, counted from 0; all where it names none.
func (d *Day) HitBalancers(i int) (hit []int) {
	for _, b := range d.Faults[i].Balancers {
		hit = append(hit, b-1)
	}
	if len(hit) == 0 {
		for b := range d.Fleet.Balancers {
			hit = append(hit, b)
		}
	}
	return hit
}

// Ways are the ordered pairs of balancers, counted from 0, that a fault between them is about: from each of BALANCERS to each of
// TO, where these are left out from or to all others, and back unless it is one way.
func (d *Day) Ways(i int) (ways [][2]int) {
	f := &d.Faults[i]
	all := func(list []int) (of []int) {
		for _, b := range list {
			of = append(of, b-1)
		}
		for b := range d.Fleet.Balancers {
			if len(list) == 0 {
				of = append(of, b)
			}
		}
		return of
	}
	has := map[[2]int]bool{}
	add := func(from, to int) {
		if from != to && !has[[2]int{from, to}] {
			has[[2]int{from, to}] = true
			ways = append(ways, [2]int{from, to})
		}
	}
	for _, from := range all(f.Balancers) {
		for _, to := range all(f.To) {
			add(from, to)
			if !f.OneWay {
				add(to, from)
			}
		}
	}
	return ways
}

// Harm is what a fault does to a way between balancers while it lasts; end takes it back to what the day has.
func (d *Day) Harm(i int, end bool) func(*model.WayTerms) {
	f, usual := &d.Faults[i], d.Mates.Way()
	if end {
		f = &Fault{Do: f.Do}
	}
	return func(w *model.WayTerms) {
		switch f.Do {
		case "mate-cut", "mate-flap":
			w.Cut = !end
		case "mate-loss":
			w.Loss = max(usual.Loss, f.Part)
		case "mate-delay":
			w.Jitter = usual.Jitter + f.Delay.Duration()
		case "mate-repeat":
			w.Repeat = f.Part
		case "mate-reorder":
			w.Reorder, w.Late = f.Part, f.Delay.Duration()
		case "mate-spoil":
			w.Spoil = f.Part
		case "mate-narrow":
			w.BytesPerS = f.By
		}
	}
}
