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

// Names returns the names of the built-in rehearsals.
func Names() (names []string) {
	files, _ := fs.Glob(library, "library/*.toml")
	for _, f := range files {
		names = append(names, strings.TrimSuffix(path.Base(f), ".toml"))
	}
	return names
}

// Open reads a built-in rehearsal by its name, or a scenario file.
func Open(nameOrFile string) (*Scenario, error) {
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

// Parse reads and checks the text of a scenario file. Its error lists every mistake found, one per line.
func Parse(file string, text []byte) (*Scenario, error) {
	sc := defaults()
	f := strict.Decode(file, text, &sc)
	if !f.Valid() {
		return nil, f.Err(ErrFaulty)
	}
	c := &checker{File: f, scenario: &sc}
	presenceIn := func(list string, i int) keyPresence {
		return func(key string) bool { return f.IsSet(fmt.Sprintf("%s[%d].%s", list, i+1, key)) }
	}
	if len(sc.Hosts) == 0 {
		sc.Hosts = []Host{{Name: "node", Count: 4}}
	}
	for i := range sc.Hosts {
		sc.Hosts[i].applyDefaults(presenceIn("node", i))
	}
	if len(sc.Products) == 0 {
		sc.Products = defaultProducts()
	}
	for i := range sc.Products {
		sc.Products[i].applyDefaults(presenceIn("product", i))
	}
	if len(sc.Tenants) == 0 {
		sc.Tenants = []Tenant{{Name: "shops", Share: 1}}
	}
	for i := range sc.Tenants {
		setDefault(presenceIn("tenant", i), "usage", &sc.Tenants[i].Usage, 1)
	}
	for i := range sc.Faults {
		sc.Faults[i].applyDefaults(presenceIn("fault", i))
	}
	c.check()
	return &sc, f.Err(ErrFaulty)
}

// defaultProducts returns the products of a file that lists none: reads, and writes of both non-idempotent kinds.
func defaultProducts() []Product {
	ms := func(n int) Span { return Span(time.Duration(n) * time.Millisecond) }
	return []Product{
		{Name: "balance", Share: 0.56, Work: ms(12), LatencySLO: ms(500), ClientTimeout: ms(1200)},
		{Name: "offers", Share: 0.39, Work: ms(18), LatencySLO: ms(800), ClientTimeout: ms(2500)},
		{Name: "credit", Share: 0.03, Work: ms(20), LatencySLO: ms(1200), ClientTimeout: ms(3000), Effect: NonIdempotent, Write: true},
		{Name: "credit-once", Share: 0.02, Work: ms(20), LatencySLO: ms(1200), ClientTimeout: ms(3000), Effect: Deduplicated,
			Window: ms(2000), Write: true},
	}
}

// checker checks the values of a scenario and collects the mistakes.
type checker struct {
	*strict.File
	scenario *Scenario
}

// checkRange reports a value outside a range.
func checkRange[T int | float64 | Span](c *checker, key string, v, lowest, highest T) {
	strict.CheckRange(c.File, key, v, lowest, highest)
}

const (
	maxHosts     = 1 << 16 // catches typing errors; the start of a rehearsal checks whether the machine is large enough
	maxBalancers = 1 << 16 // as maxHosts
	maxLength    = Span(time.Hour)
	maxDuration  = Span(time.Minute) // of any single timeout, delay or processing time
)

func (c *checker) check() {
	sc := c.scenario
	checkRange(c, "length", sc.Length, Span(time.Second), maxLength)
	checkRange(c, "fleet.balancers", sc.Fleet.Balancers, 1, maxBalancers)
	checkRange(c, "fleet.same", sc.Fleet.SameZoneDelay, 0, Span(time.Second))
	checkRange(c, "fleet.cross", sc.Fleet.CrossZoneDelay, 0, Span(time.Second))
	checkRange(c, "fleet.memory_mb", sc.Fleet.MemoryMB, 16, 1<<16)
	checkRange(c, "fleet.sockets", sc.Fleet.Sockets, 64, 1<<16)
	checkRange(c, "fleet.shots", sc.Fleet.Attempts, 1, 16)
	if sc.Fleet.Mode != ModeAside && sc.Fleet.Mode != ModeThrough {
		c.AddFault("fleet.mode", "expected aside or through, got %q", sc.Fleet.Mode)
	}
	if len(sc.Fleet.Zones) == 0 {
		c.AddFault("fleet.zones", "expected at least one")
	}
	zones := checkUnique(c, "fleet.zones", sc.Fleet.Zones)
	c.checkHosts(zones)
	c.checkOrigin()
	c.checkLoad()
	c.checkProducts()
	tenants := c.checkTenants()
	if m := sc.Membership; m.Enabled {
		checkRange(c, "mates.period", m.ProbePeriod, Span(50*time.Millisecond), maxDuration)
		checkRange(c, "mates.suspect", m.SuspicionTimeout, 2*m.ProbePeriod, maxDuration)
		checkRange(c, "mates.budget", m.GossipBytesPerSecond, 500, 1<<20)
		checkRange(c, "mates.lease", m.LeaseDuration, Span(time.Second), maxDuration)
		checkRange(c, "mates.loss", m.LossRatio, 0, 0.9)
		checkRange(c, "mates.delay", m.Delay, 0, Span(time.Second))
		checkRange(c, "mates.jitter", m.Jitter, 0, Span(time.Second))
	}
	checkRange(c, "rules.drain_grace", sc.Rules.DrainGrace, Span(100*time.Millisecond), maxDuration)
	checkRange(c, "rules.fall_multiple", sc.Rules.OverloadMultiple, 0, 100)
	checkRange(c, "rules.fall_for", sc.Rules.OverloadWindow, Span(100*time.Millisecond), maxDuration)
	checkRange(c, "rules.slack", sc.Rules.Slack, 0, Span(time.Second))
	checkRange(c, "rules.prompt", sc.Rules.PromptTimeout, Span(20*time.Millisecond), Span(10*time.Second))
	checkRange(c, "rules.cold_blame", sc.Rules.ColdMissThreshold, 0.01, 1)
	ids, _ := sc.HostIDs()
	for i := range sc.Faults {
		c.checkFault(i, ids, zones, tenants)
	}
}

// checkUnique reports invalid and repeated names in a list and returns the set of names.
func checkUnique(c *checker, key string, names []string) map[string]bool {
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

func (c *checker) checkHosts(zones map[string]bool) {
	sc, n := c.scenario, 0
	names := map[string]bool{}
	for i := range sc.Hosts {
		g, prefix := &sc.Hosts[i], fmt.Sprintf("node[%d].", i+1)
		if g.Name == "" || strings.ContainsAny(g.Name, " ,=*") || names[g.Name] {
			c.AddFault(prefix+"name", "expected a name of its own without blanks, got %q", g.Name)
		}
		names[g.Name] = true
		if g.Zone == "" && len(sc.Fleet.Zones) > 0 {
			g.Zone = sc.Fleet.Zones[0]
		}
		if !zones[g.Zone] {
			c.AddFault(prefix+"zone", "no zone is called %q", g.Zone)
		}
		checkRange(c, prefix+"count", g.Count, 1, maxHosts)
		checkRange(c, prefix+"cores", g.Cores, 1, 1024)
		checkRange(c, prefix+"speed", g.Speed, 0.01, 100)
		checkRange(c, prefix+"queue", g.Queue, 0, 1<<20)
		checkRange(c, prefix+"keep_mb", g.CacheMB, 0.001, 4096)
		checkRange(c, prefix+"connections", g.Connections, 1, 1<<16)
		checkRange(c, prefix+"connect_work", g.ConnectWork, 0, Span(time.Second))
		checkRange(c, prefix+"probe_work", g.ProbeWork, 0, Span(time.Second))
		checkRange(c, prefix+"idle", g.IdleTimeout, Span(100*time.Millisecond), maxLength)
		checkRange(c, prefix+"idle_told", g.ConfiguredIdleTimeout, 0, maxLength)
		checkRange(c, prefix+"cold_from", g.ColdCapacity, 0.01, 1)
		checkRange(c, prefix+"warm_for", g.WarmUpTime, 0, maxLength)
		if g.PauseInterval > 0 {
			checkRange(c, prefix+"pause_every", g.PauseInterval, Span(100*time.Millisecond), maxLength)
			checkRange(c, prefix+"pause_for", g.PauseLength, Span(time.Millisecond), g.PauseInterval)
		}
		n += g.Count
	}
	if n > maxHosts {
		c.AddFault("node", "expected at most %d nodes, got %d", maxHosts, n)
	}
}

func (c *checker) checkOrigin() {
	g := c.scenario.Origin
	checkRange(c, "gateway.slots", g.Slots, 1, 1<<16)
	checkRange(c, "gateway.time", g.ServiceTime, Span(time.Millisecond), maxDuration)
	checkRange(c, "gateway.queue", g.Queue, 0, 1<<16)
	checkRange(c, "gateway.fall_multiple", g.OverloadMultiple, 0, 100)
	checkRange(c, "gateway.fall_for", g.OverloadWindow, Span(100*time.Millisecond), maxDuration)
	checkRange(c, "gateway.stop_for", g.OutageLength, Span(100*time.Millisecond), maxDuration)
	late := c.scenario.Discovery.Delay
	checkRange(c, "register.late", late[0], 0, late[1])
	checkRange(c, "register.late", late[1], 0, maxDuration)
}

func (c *checker) checkLoad() {
	sc := c.scenario
	checkRange(c, "load.per_s", sc.Load.RequestsPerSecond, 0.1, 1e6)
	checkRange(c, "load.swing", sc.Load.SwingAmplitude, 0, 0.95)
	if sc.Load.SwingAmplitude > 0 {
		checkRange(c, "load.swing_for", sc.Load.SwingPeriod, Span(time.Second), maxLength)
	}
	checkRange(c, "load.keys", sc.Load.Keys, 1, 1<<22)
	checkRange(c, "load.zipf", sc.Load.Zipf, 0, 4)
	checkRange(c, "load.value_size", sc.Load.ValueSize, 64, 4<<20) // a value has to hold the key, the version and the id
	checkRange(c, "load.quota", sc.Load.QuotaRatio, 0.01, 10)
	checkRange(c, "load.warm", sc.Load.WarmRatio, 0, 1)
	if n := sc.Load.RequestsPerSecond * sc.Length.Duration().Seconds(); n > model.MaxArrivals/4 {
		c.AddFault("load.per_s", "%.0f requests in %v exceed the maximum of %d", n, sc.Length, model.MaxArrivals/4)
	}
	checkRange(c, "client.tries", sc.Clients.MaxRetries, 0, 10)
	checkRange(c, "client.wait", sc.Clients.RetryDelay, Span(time.Millisecond), maxDuration)
	checkRange(c, "client.honour", sc.Clients.HonourRatio, 0, 1)
	checkRange(c, "client.come_back", sc.Clients.MaxRetryAfter, 0, maxDuration)
	checkRange(c, "client.notice", sc.Clients.FailureNoticeDelay, 0, maxDuration)
	g := sc.Clients.GiveUpAt
	checkRange(c, "client.give_up_at", g[0], 0.05, g[1])
	checkRange(c, "client.give_up_at", g[1], 0.05, 1)
	if n := len(sc.Clients.ZoneShares); n != 0 && n != len(sc.Fleet.Zones) {
		c.AddFault("client.zone_parts", "expected a part for each of the %d zones, got %d", len(sc.Fleet.Zones), n)
	}
}

func (c *checker) checkProducts() {
	names := map[string]bool{}
	for i, p := range c.scenario.Products {
		prefix := fmt.Sprintf("product[%d].", i+1)
		if p.Name == "" || strings.ContainsAny(p.Name, " ,=") || names[p.Name] {
			c.AddFault(prefix+"name", "expected a name of its own without blanks, got %q", p.Name)
		}
		names[p.Name] = true
		checkRange(c, prefix+"share", p.Share, 0.0001, 1e6)
		checkRange(c, prefix+"work", p.Work, Span(time.Microsecond), maxDuration)
		checkRange(c, prefix+"variation", p.Variation, 0.01, 10)
		checkRange(c, prefix+"latency_slo", p.LatencySLO, Span(time.Millisecond), maxDuration)
		if p.ClientTimeout < p.LatencySLO || p.ClientTimeout > maxDuration {
			c.AddFault(prefix+"client_timeout", "expected the latency SLO (%v) to %v, got %v", p.LatencySLO, maxDuration, p.ClientTimeout)
		}
		checkRange(c, prefix+"billed_value", p.BilledValue, 0.0001, 1e9)
		if p.Distribution != model.Exponential && p.Distribution != model.LogNormal && p.Distribution != model.Constant {
			c.AddFault(prefix+"law", "expected exponential, lognormal or constant, got %q", p.Distribution)
		}
		switch p.Effect {
		case Idempotent, NonIdempotent:
			if p.Window != 0 {
				c.AddFault(prefix+"window", "only a deduplicated product has a window")
			}
		case Deduplicated:
			checkRange(c, prefix+"window", p.Window, Span(100*time.Millisecond), maxDuration)
		default:
			c.AddFault(prefix+"effect", "expected idempotent, deduplicated or non-idempotent, got %q", p.Effect)
		}
		if p.Effect != Idempotent && !p.Write {
			c.AddFault(prefix+"write", "a product that is not idempotent must be a write")
		}
	}
}

func (c *checker) checkTenants() map[string]bool {
	names := map[string]bool{}
	for i, t := range c.scenario.Tenants {
		prefix := fmt.Sprintf("tenant[%d].", i+1)
		if t.Name == "" || strings.ContainsAny(t.Name, " ,=") || names[t.Name] {
			c.AddFault(prefix+"name", "expected a name of its own without blanks, got %q", t.Name)
		}
		names[t.Name] = true
		checkRange(c, prefix+"share", t.Share, 0.0001, 1)
		checkRange(c, prefix+"usage", t.Usage, 0.0001, 100)
		for _, b := range t.Balancers {
			checkRange(c, prefix+"at", b, 1, c.scenario.Fleet.Balancers)
		}
	}
	return names
}

func (c *checker) checkFault(i int, ids []string, zones, tenants map[string]bool) {
	f, prefix := &c.scenario.Faults[i], fmt.Sprintf("fault[%d].", i+1)
	k, ok := faultKinds[f.Kind]
	if !ok {
		c.AddFault(prefix+"do", "expected one of %s, got %q", strings.Join(Kinds(), ", "), f.Kind)
		return
	}
	for _, key := range []string{"for", "nodes", "part", "by", "delay", "zone", "balancers", "tenant", "keys", "at_once", "drain",
		"same_address", "count", "to", "one_way"} {
		isSet := c.IsSet(prefix + key)
		switch {
		case slices.Contains(k.required, key) && !isSet:
			c.AddFault(prefix+key, "%s needs it", f.Kind)
		case isSet && !slices.Contains(k.required, key) && !slices.Contains(k.optional, key):
			c.AddFault(prefix+key, "%s has no such key", f.Kind)
		}
	}
	checkRange(c, prefix+"at", f.At, 0, c.scenario.Length)
	if f.Length < 0 || f.At+f.Length > c.scenario.Length {
		c.AddFault(prefix+"for", "the fault would end at %v, after the end of the rehearsal (%v)", f.At+f.Length, c.scenario.Length)
	}
	if c.IsSet(prefix + "part") {
		checkRange(c, prefix+"part", f.Share, 0.001, 1)
	}
	if slices.Contains(k.required, "by") {
		checkRange(c, prefix+"by", f.Factor, 0.01, 1000)
	}
	if f.Kind == "hot" {
		checkRange(c, prefix+"keys", f.Keys, 1, 1000)
	}
	if f.Kind == "link-delay" {
		checkRange(c, prefix+"delay", f.Delay, Span(time.Millisecond), maxDuration)
	}
	if f.Kind == "mate-flap" || f.Kind == "mate-delay" || f.Kind == "mate-reorder" {
		checkRange(c, prefix+"delay", f.Delay, Span(time.Millisecond), maxDuration)
	}
	if betweenBalancers := strings.HasPrefix(f.Kind, "mate-"); (betweenBalancers || f.Kind == "balancer-astray" || f.Kind == "balancer-twin") && !c.scenario.Membership.Enabled {
		c.AddFault(prefix+"do", "%s needs balancers that communicate with each other (mates.on)", f.Kind)
	}
	if f.Kind == "balancer-twin" && (len(f.Balancers) != 1 || len(f.To) != 1 || f.Balancers[0] == f.To[0]) {
		c.AddFault(prefix+"to", "balancer-twin needs exactly one balancer and a different one in to")
	}
	if f.Kind == "rude" {
		checkRange(c, prefix+"count", f.Count, 1, 20000)
	}
	if f.Kind == "crowd" {
		checkRange(c, prefix+"count", f.Count, 1, 20000)
	}
	if f.Kind == "deploy" {
		checkRange(c, prefix+"at_once", f.AtOnce, 1, max(1, len(ids)))
		checkRange(c, prefix+"drain", f.Drain, Span(100*time.Millisecond), maxDuration)
	}
	if f.Zone != "" && !zones[f.Zone] {
		c.AddFault(prefix+"zone", "no zone is called %q", f.Zone)
	}
	if f.Tenant != "" && !tenants[f.Tenant] {
		c.AddFault(prefix+"tenant", "no tenant is called %q", f.Tenant)
	}
	for _, n := range f.Hosts {
		if !slices.ContainsFunc(ids, func(id string) bool { return matchesPattern(n, id) }) {
			c.AddFault(prefix+"nodes", "no node is called %q", n)
		}
	}
	for _, b := range f.To {
		if b < 1 || b > c.scenario.Fleet.Balancers {
			c.AddFault(prefix+"to", "expected 1 to %d, got %d", c.scenario.Fleet.Balancers, b)
		}
	}
	for _, b := range f.Balancers {
		if b < 1 || b > c.scenario.Fleet.Balancers {
			c.AddFault(prefix+"balancers", "expected 1 to %d, got %d", c.scenario.Fleet.Balancers, b)
		}
	}
}

// matchesPattern reports whether a pattern of a fault's hosts matches a host id. A pattern is an id, or a prefix and a star.
func matchesPattern(pattern, id string) bool {
	if prefix, ok := strings.CutSuffix(pattern, "*"); ok {
		return strings.HasPrefix(id, prefix)
	}
	return pattern == id
}

// Kinds returns the kinds of faults in alphabetical order.
func Kinds() (names []string) {
	for k := range faultKinds {
		names = append(names, k)
	}
	slices.Sort(names)
	return names
}

// DescribeKind describes what a kind of fault does.
func DescribeKind(name string) string { return faultKinds[name].description }

// AffectedHosts returns those of the initial cache hosts that a fault affects: the ones that it lists, or a random share of all,
// which depends only on the seed.
func (sc *Scenario) AffectedHosts(i int) (affected []string) {
	f := &sc.Faults[i]
	ids, groups := sc.HostIDs()
	if f.Kind == "zone-dark" {
		for _, id := range ids {
			if groups[id].Zone == f.Zone {
				affected = append(affected, id)
			}
		}
		return affected
	}
	if len(f.Hosts) > 0 {
		for _, id := range ids {
			if slices.ContainsFunc(f.Hosts, func(pattern string) bool { return matchesPattern(pattern, id) }) {
				affected = append(affected, id)
			}
		}
		return affected
	}
	r := model.NewRand(sc.Seed, "fault "+strconv.Itoa(i))
	r.Shuffle(len(ids), func(a, b int) { ids[a], ids[b] = ids[b], ids[a] })
	affected = ids[:max(1, int(f.Share*float64(len(ids))+0.5))]
	slices.Sort(affected)
	return affected
}

// AffectedBalancers returns the balancers that a fault affects, counted from 0; all if it lists none.
func (sc *Scenario) AffectedBalancers(i int) (affected []int) {
	for _, b := range sc.Faults[i].Balancers {
		affected = append(affected, b-1)
	}
	if len(affected) == 0 {
		for b := range sc.Fleet.Balancers {
			affected = append(affected, b)
		}
	}
	return affected
}

// AffectedLinks returns the directed links between balancers, counted from 0, that a fault affects: from each of BALANCERS to each
// of TO, and back unless the fault is one-way. An empty list means all balancers.
func (sc *Scenario) AffectedLinks(i int) (pairs [][2]int) {
	f := &sc.Faults[i]
	choose := func(list []int) (selected []int) {
		for _, b := range list {
			selected = append(selected, b-1)
		}
		for b := range sc.Fleet.Balancers {
			if len(list) == 0 {
				selected = append(selected, b)
			}
		}
		return selected
	}
	seen := map[[2]int]bool{}
	add := func(from, to int) {
		if from != to && !seen[[2]int{from, to}] {
			seen[[2]int{from, to}] = true
			pairs = append(pairs, [2]int{from, to})
		}
	}
	for _, from := range choose(f.Balancers) {
		for _, to := range choose(f.To) {
			add(from, to)
			if !f.OneWay {
				add(to, from)
			}
		}
	}
	return pairs
}

// LinkChange returns the change that a fault makes to the link between two balancers; with end set, the change restores the
// scenario's usual link.
func (sc *Scenario) LinkChange(i int, end bool) func(*model.LinkConfig) {
	f, normal := &sc.Faults[i], sc.Membership.LinkConfig()
	if end {
		f = &Fault{Kind: f.Kind}
	}
	return func(w *model.LinkConfig) {
		switch f.Kind {
		case "mate-cut", "mate-flap":
			w.Cut = !end
		case "mate-loss":
			w.LossRatio = max(normal.LossRatio, f.Share)
		case "mate-delay":
			w.Jitter = normal.Jitter + f.Delay.Duration()
		case "mate-repeat":
			w.DuplicateRatio = f.Share
		case "mate-reorder":
			w.ReorderRatio, w.ReorderDelay = f.Share, f.Delay.Duration()
		case "mate-spoil":
			w.CorruptRatio = f.Share
		case "mate-narrow":
			w.BytesPerSecond = f.Factor
		}
	}
}
