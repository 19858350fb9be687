// Package judge holds a rehearsal's record against the rules. It decides only from what clients, stand-ins and the
// register saw. A rule for which nothing was checked is not exercised; it is never called kept.
package judge

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"streamrail/internal/rehearsal/record"
)

// Effect says whether a request may run again.
type Effect int

const (
	Idempotent Effect = iota
	Deduplicated
	NonIdempotent
)

// Product is what the judge has to know of one.
type Product struct {
	Name   string
	Effect Effect
	Window time.Duration
	Write  bool
}

// Terms are the figures of the rules.
type Terms struct {
	Products   []Product
	Attempts   int // of one request at most
	DrainGrace time.Duration
	Slack      time.Duration // that each time limit gets for the way of bytes
	Prompt     time.Duration // in which what is given up is answered, besides Slack
	ColdBlame  float64       // share of misses at cold nodes from which a stopped gateway is a breach
	FallFor    time.Duration
	Mates      Mates
	Openings   float64       // a second that a host bears from all; 0: no bound
	Connect    time.Duration // that a connection which does not come up may take
}

// Rule is one thing that is checked.
type Rule string

const (
	OneAnswer   Rule = "one answer in time"
	RightAnswer Rule = "the answer made for the call"
	NothingLate Rule = "nothing sent after the answer"
	Prompt      Rule = "given up is answered at once"
	Deadlines   Rule = "servers told no more time than is left"
	NoRepeat    Rule = "no attempt that could run twice"
	OneEffect   Rule = "no effect twice"
	Promise     Rule = "rate-limited only if harmless"
	Alone       Rule = "one attempt at a time, no more than allowed"
	Drains      Rule = "nothing new to a draining host"
	ColdHosts   Rule = "no cold host pushed over"
	GatewayUp   Rule = "gateway not stopped by cold misses"
	Used        Rule = "a host put back by hand is used"
	NoneBack    Rule = "an upgrade turns nobody back"
	Doors       Rule = "operators are answered in time"
	RudeEnds    Rule = "nonsense gets an error or a close"
	Alive       Rule = "no balancer ends unasked"
)

// Rules are all that is checked, by the operators' four: answers, effects, drains, cold hosts; then what else must hold.
var Rules = []struct {
	Rule  Rule
	Group string
}{
	{OneAnswer, "1 answers"}, {RightAnswer, "1 answers"}, {NothingLate, "1 answers"}, {Prompt, "1 answers"},
	{Deadlines, "1 answers"},
	{NoRepeat, "2 effects"}, {OneEffect, "2 effects"}, {Promise, "2 effects"}, {Alone, "2 effects"},
	{Drains, "3 drains"}, {ColdHosts, "4 cold hosts"}, {GatewayUp, "4 cold hosts"},
	{MatesKnown, "between balancers"}, {MatesAlive, "between balancers"}, {MatesDead, "between balancers"},
	{MatesSame, "between balancers"}, {MatesName, "between balancers"}, {MatesTalk, "between balancers"},
	{LimitKept, "limits"}, {LimitUsed, "limits"}, {OpensKept, "limits"},
	{Used, "service"}, {NoneBack, "service"}, {Doors, "service"}, {RudeEnds, "service"}, {Alive, "service"},
}

// Breach is one case in which a rule was broken.
type Breach struct {
	Rule Rule          `json:"rule"`
	Call string        `json:"call,omitempty"`
	At   time.Duration `json:"at_ns"`
	Text string        `json:"text"`
	// By is how far beyond its limit the case lies; 0 where it hangs on counts or order alone. A breach by no more than
	// the kit itself ran late around then is doubtful.
	By       time.Duration `json:"by_ns,omitempty"`
	Doubtful bool          `json:"doubtful,omitempty"`
}

// Finding is what came of one rule.
type Finding struct {
	Rule     Rule     `json:"rule"`
	Group    string   `json:"group"`
	Checked  int      `json:"checked"`
	Breaches int      `json:"breaches"`
	Doubtful int      `json:"doubtful"`
	Examples []Breach `json:"examples,omitempty"` // the first ones
}

// Verdict is the judge's word on a rehearsal.
type Verdict struct {
	Findings []Finding     `json:"findings"`
	LateMost time.Duration `json:"late_most_ns"` // by which the kit ran late
	// Notes are what went wrong within the rules: the balancers kept to them and could not have known.
	Notes []string `json:"notes,omitempty"`
}

// examplesMost bounds what is shown of one rule.
const examplesMost = 10

// Broken tells whether a rule was broken beyond doubt.
func (v *Verdict) Broken() bool {
	return slices.ContainsFunc(v.Findings, func(f Finding) bool { return f.Breaches > 0 })
}

// Unsure tells whether anything could not be judged because the kit ran late.
func (v *Verdict) Unsure() bool {
	return slices.ContainsFunc(v.Findings, func(f Finding) bool { return f.Doubtful > 0 })
}

// BrokenRules are the rules that were broken beyond doubt, in order.
func (v *Verdict) BrokenRules() (rules []Rule) {
	for _, f := range v.Findings {
		if f.Breaches > 0 {
			rules = append(rules, f.Rule)
		}
	}
	return rules
}

type court struct {
	terms    Terms
	rec      *record.Record
	checked  map[Rule]int
	breaches map[Rule][]Breach
	doubtful map[Rule]int
	count    map[Rule]int
	notes    []string
	attempts map[string][]record.Attempt // by request, in the order of their coming
	calls    map[string]*record.Call
	effects  map[string][]record.Effect // by request
}

// Judge checks a record.
func Judge(rec *record.Record, terms Terms) *Verdict {
	c := &court{terms: terms, rec: rec, checked: map[Rule]int{}, breaches: map[Rule][]Breach{}, doubtful: map[Rule]int{},
		count: map[Rule]int{}, attempts: map[string][]record.Attempt{}, calls: map[string]*record.Call{}, effects: map[string][]record.Effect{}}
	slices.SortStableFunc(rec.Lates, func(x, y record.Late) int { return cmp.Compare(x.At, y.At) })
	for _, s := range rec.Attempts {
		c.attempts[s.Call] = append(c.attempts[s.Call], s)
	}
	for _, list := range c.attempts {
		slices.SortStableFunc(list, func(x, y record.Attempt) int { return cmp.Compare(x.Came, y.Came) })
	}
	for _, e := range rec.Effects {
		c.effects[e.Call] = append(c.effects[e.Call], e)
	}
	for i := range rec.Calls {
		c.calls[rec.Calls[i].ID] = &rec.Calls[i]
		c.answer(&rec.Calls[i])
		c.repeats(&rec.Calls[i])
	}
	c.strangers()
	c.marks()
	c.drains()
	c.byHand()
	c.upgrades()
	c.cold()
	c.gateway()
	c.rude()
	c.lives()
	c.mates()
	c.limits()
	return c.verdict()
}

func (c *court) verdict() *Verdict {
	v := &Verdict{Notes: c.notes}
	for _, l := range c.rec.Lates {
		v.LateMost = max(v.LateMost, l.By)
	}
	for _, r := range Rules {
		f := Finding{Rule: r.Rule, Group: r.Group, Checked: c.checked[r.Rule], Breaches: c.count[r.Rule],
			Doubtful: c.doubtful[r.Rule], Examples: c.breaches[r.Rule]}
		v.Findings = append(v.Findings, f)
	}
	return v
}

// lateAround is how late the kit ran within a second of a moment.
func (c *court) lateAround(at time.Duration) (by time.Duration) {
	i, _ := slices.BinarySearchFunc(c.rec.Lates, at-time.Second, func(l record.Late, t time.Duration) int { return cmp.Compare(l.At, t) })
	for ; i < len(c.rec.Lates) && c.rec.Lates[i].At <= at+time.Second; i++ {
		by = max(by, c.rec.Lates[i].By)
	}
	return by
}

// breach notes one; by is 0 where it hangs on counts or order alone.
func (c *court) breach(r Rule, call string, at, by time.Duration, form string, args ...any) {
	b := Breach{Rule: r, Call: call, At: at, By: by, Text: fmt.Sprintf(form, args...)}
	if call != "" {
		b.Text += c.story(call)
	}
	// Each end of what is measured may have been noted late.
	if b.Doubtful = by > 0 && by <= 2*c.lateAround(at); b.Doubtful {
		c.doubtful[r]++
	} else {
		c.count[r]++
	}
	if len(c.breaches[r]) < examplesMost {
		c.breaches[r] = append(c.breaches[r], b)
	}
}

// story tells the attempts of a call with their times.
func (c *court) story(call string) string {
	var text strings.Builder
	if k := c.calls[call]; k != nil {
		fmt.Fprintf(&text, "; balancer %d, sent %s, until %s", k.Balancer+1, at(k.Sent), at(k.Timeout))
		if k.Answered > 0 {
			fmt.Fprintf(&text, ", %s %s", k.Reply, at(k.Answered))
		}
	}
	for i, s := range c.attempts[call] {
		proof := [...]string{"nothing proven", "never ran", "missed", "served"}[s.Proof]
		if s.Swallowed {
			proof = "lost on the way"
		}
		fmt.Fprintf(&text, "; attempt %d at %s, came %s, ended %s, ran %v, %s", i+1, s.Server, at(s.Came), at(s.Ended), s.Ran, proof)
	}
	return text.String()
}

func at(d time.Duration) string { return d.Round(10 * time.Microsecond).String() }

func (c *court) product(k *record.Call) Product { return c.terms.Products[k.Product] }

// answer checks rule one for one request.
func (c *court) answer(k *record.Call) {
	if k.NotTaken || c.stood(k) {
		return
	}
	if k.Excused && (k.Reply == record.Closed || k.Reply == record.CutShort) {
		return // what a balancer held when its end was ordered is the client's to retry
	}
	slack := c.terms.Slack
	c.checked[OneAnswer]++
	switch {
	case k.Reply == record.Closed:
		c.breach(OneAnswer, k.ID, k.Timeout, 0, "its connection was closed %v after it was sent, with no whole answer", k.Ended-k.Sent)
	// A value goes on as it comes: what its server broke off cannot be finished, and the client can tell.
	case k.Reply == record.CutShort && !slices.ContainsFunc(c.attempts[k.ID], func(s record.Attempt) bool { return !s.Answered }):
		c.breach(OneAnswer, k.ID, k.Answered, 0, "its value was cut short, and no server had done that")
	case k.Reply == record.None:
		c.breach(OneAnswer, k.ID, k.Timeout, 0, "no answer until its client left")
	case k.Answered > k.Timeout+slack:
		c.breach(OneAnswer, k.ID, k.Answered, k.Answered-k.Timeout-slack, "answered after its client timeout")
	}
	if k.Extra > 0 {
		c.breach(OneAnswer, k.ID, k.Answered, 0, "answered %d times", 1+k.Extra)
	}
	if k.Reply == record.Fulfilled || k.Reply == record.Wrong {
		c.checked[RightAnswer]++
		if k.Reply == record.Wrong {
			c.breach(RightAnswer, k.ID, k.Answered, 0, "served with what was not made for it")
		} else if !slices.ContainsFunc(c.attempts[k.ID], func(s record.Attempt) bool { return s.Proof == record.WasServed }) {
			c.breach(RightAnswer, k.ID, k.Answered, 0, "fulfilled, and no server answered it")
		}
	}
	over := k.Timeout
	if k.Answered > 0 {
		over = min(over, k.Answered)
	}
	for _, s := range c.attempts[k.ID] {
		if s.Untimed {
			continue
		}
		c.checked[NothingLate]++
		if s.Came > over+slack {
			c.breach(NothingLate, k.ID, s.Came, s.Came-over-slack, "an attempt came to %s after the call was over", s.Server)
		}
		c.deadline(k, s)
	}
	if k.Reply == record.RateLimited || k.Reply == record.Errored {
		c.prompt(k)
	}
}

// deadlineSlack is what a server may be told beyond what its client has left, at the most.
const deadlineSlack = 150 * time.Millisecond

// deadline checks that a server does not work on for longer than the client waits.
func (c *court) deadline(k *record.Call, s record.Attempt) {
	if s.Told == 0 {
		return
	}
	c.checked[Deadlines]++
	if over := s.Came + s.Told - k.Timeout - deadlineSlack; over > 0 {
		c.breach(Deadlines, k.ID, s.Came, over, "%s was told %v when its client had %v left", s.Server, s.Told, at(k.Timeout-s.Came))
	}
}

// stood tells that a call's balancer stood still while it had it: nobody could have answered.
func (c *court) stood(k *record.Call) bool {
	return slices.ContainsFunc(c.rec.Stalls, func(s record.Stall) bool {
		return s.Twin == 0 && s.Balancer == k.Balancer && s.From <= k.Timeout+c.terms.Slack && s.To >= k.Sent
	})
}

// prompt checks that a call which is given up is answered at once: after it came, and after the last of its attempts ended.
func (c *court) prompt(k *record.Call) {
	c.checked[Prompt]++
	last := k.Sent
	for _, s := range c.attempts[k.ID] {
		if s.Ended == 0 || s.Ended > k.Answered {
			return // one was still out
		}
		last = max(last, s.Ended)
	}
	// Where connections do not come up, attempts that never were one are seen by the balancer alone.
	unseen := time.Duration(0)
	if slices.ContainsFunc(c.rec.Darks, func(d record.Dark) bool {
		return d.Balancer == k.Balancer && d.From <= k.Answered && (d.To == 0 || k.Sent <= d.To+c.terms.Connect)
	}) {
		unseen = time.Duration(max(0, c.terms.Attempts-len(c.attempts[k.ID]))) * c.terms.Connect
	}
	if wait := k.Answered - last - c.terms.Prompt - c.terms.Slack - unseen; wait > 0 {
		c.breach(Prompt, k.ID, k.Answered, wait, "given up %v after anything last happened to it", at(k.Answered-last))
	}
}

// repeats checks rule two for one request: what its attempts could have done, and what was promised.
func (c *court) repeats(k *record.Call) {
	p, attempts := c.product(k), c.attempts[k.ID]
	for i, s := range attempts {
		c.checked[Alone]++
		if i >= c.terms.Attempts {
			c.breach(Alone, k.ID, s.Came, 0, "attempt %d of %d allowed", i+1, c.terms.Attempts)
		}
		for _, old := range attempts[:i] {
			if old.Untimed || s.Untimed {
				continue
			}
			// Of an attempt that was given up the end is heard late: its connection's end is a message of its own.
			if over := old.Ended - s.Came - c.terms.Slack; old.Ended == 0 || over > 0 {
				c.breach(Alone, k.ID, s.Came, over, "an attempt came while another one was out")
				break
			}
		}
		if p.Effect == Idempotent || i == 0 {
			continue
		}
		c.checked[NoRepeat]++
		for _, old := range attempts[:i] {
			if old.Proof == record.NeverRan || old.Proof == record.Missed {
				continue
			}
			if p.Effect == NonIdempotent {
				c.breach(NoRepeat, k.ID, s.Came, 0, "sent again though it may have run")
				break
			}
			if over := s.Came - old.Came - p.Window; over > 0 {
				c.breach(NoRepeat, k.ID, s.Came, max(1, over-c.terms.Slack), "sent again %v after an attempt that may have run, beyond its window of %v",
					at(s.Came-old.Came), p.Window)
				break
			}
		}
	}
	if p.Effect == Idempotent {
		return
	}
	if p.Effect == NonIdempotent {
		c.checked[OneEffect]++
		if n := len(c.effects[k.ID]); n > 1 {
			c.breach(OneEffect, k.ID, c.effects[k.ID][1].At, 0, "its effect was applied %d times", n)
		}
	}
	if k.Reply != record.RateLimited {
		return
	}
	c.checked[Promise]++
	for _, s := range attempts {
		if s.Proof == record.NeverRan || s.Proof == record.Missed {
			continue
		}
		if over := k.Answered - s.Came - p.Window; p.Effect == NonIdempotent {
			c.breach(Promise, k.ID, k.Answered, 0, "rate-limited though an attempt may have run")
			return
		} else if over > c.terms.Slack {
			c.breach(Promise, k.ID, k.Answered, over-c.terms.Slack, "rate-limited %v after an attempt that may have run, beyond its window", at(k.Answered-s.Came))
			return
		}
	}
}

// strangers are attempts that no client's call stands behind.
func (c *court) strangers() {
	for _, s := range c.rec.Attempts {
		if s.Unexpected != "" {
			c.checked[RightAnswer]++
			c.breach(RightAnswer, s.Call, s.Came, 0, "%s got what no client sent: %s", s.Server, s.Unexpected)
		} else if c.calls[s.Call] == nil {
			c.checked[RightAnswer]++
			c.breach(RightAnswer, s.Call, s.Came, 0, "%s got an attempt of a call that no client made", s.Server)
		}
	}
}

// marks checks that no mark has its effect twice, whichever try brought it.
func (c *court) marks() {
	first := map[string]record.Effect{}
	for _, e := range c.rec.Effects {
		if e.Mark == "" {
			continue
		}
		c.checked[OneEffect]++
		old, twice := first[e.Mark]
		if !twice {
			first[e.Mark] = e
			continue
		}
		// A client that tries again after an error, or after a promise kept too long, is not the balancer's doing.
		if k := c.calls[e.Call]; k != nil && old.Call != e.Call {
			continue
		}
		// The rule lets a deduplicated call be sent again inside its window. A host that does an old attempt long after
		// both were sent has the effect twice all the same.
		if attempts := c.attempts[e.Call]; len(attempts) > 1 && attempts[len(attempts)-1].Came-attempts[0].Came <= c.window(e.Call) {
			if len(c.notes) < examplesMost {
				c.notes = append(c.notes, fmt.Sprintf("the mark %s had its effect twice, %v apart, though all its attempts went inside the window%s",
					e.Mark, at(e.At-old.At), c.story(e.Call)))
			}
			continue
		}
		c.breach(OneEffect, e.Call, e.At, 0, "the mark %s had its effect %v before", e.Mark, at(e.At-old.At))
	}
}

func (c *court) window(call string) time.Duration {
	if k := c.calls[call]; k != nil {
		return c.product(k).Window
	}
	return 0
}

// drains checks rule three: what came first to a balancer of a host's leaving counts, until it is told that it is back.
func (c *court) drains() {
	type pair struct {
		balancer int
		node     string
	}
	told := map[pair][]record.Told{}
	for _, t := range c.rec.Tolds {
		p := pair{t.Balancer, t.Node}
		told[p] = append(told[p], t)
	}
	for _, list := range told {
		slices.SortStableFunc(list, func(x, y record.Told) int { return cmp.Compare(x.At, y.At) })
	}
	for _, s := range c.rec.Attempts {
		if s.Untimed {
			continue
		}
		var since time.Duration
		leaving, out := false, false
		for _, t := range told[pair{s.Balancer, s.Server}] {
			if t.At > s.Began {
				break
			}
			was := leaving || out
			if t.ByHand {
				out = !t.Up
			} else {
				leaving = !t.Up
			}
			if !was && (leaving || out) {
				since = t.At
			}
		}
		if !out && (!leaving || c.bornSince(s.Balancer, since, s.Began)) {
			continue
		}
		c.checked[Drains]++
		if over := s.Began - since - c.terms.DrainGrace - c.terms.Slack; over > 0 {
			c.breach(Drains, s.Call, s.Began, over, "%s got an attempt %v after balancer %d was told that it leaves", s.Server, at(s.Began-since), s.Balancer+1)
		}
	}
	// A leaving node that got nothing at all is a case too.
	for _, list := range told {
		for _, t := range list {
			if !t.Up {
				c.checked[Drains]++
			}
		}
	}
}

// byHand checks that what operators put back is used again: what was in use before gets an attempt in usedIn.
func (c *court) byHand() {
	for _, t := range c.rec.Tolds {
		if !t.ByHand || !t.Up || t.At+usedIn > c.rec.Until() {
			continue
		}
		c.checked[Used]++
		if !slices.ContainsFunc(c.rec.Attempts, func(s record.Attempt) bool {
			return s.Balancer == t.Balancer && s.Server == t.Node && s.Began > t.At && s.Began <= t.At+usedIn
		}) {
			c.breach(Used, "", t.At, 0, "%s got nothing from balancer %d in %v after it was put back", t.Node, t.Balancer+1, usedIn)
		}
	}
	for _, d := range c.rec.Doors {
		c.checked[Doors]++
		if !d.Yes {
			c.breach(Doors, "", d.At, 0, "%s: no, or no answer", d.What)
		} else if over := d.Took - doorIn; over > 0 {
			c.breach(Doors, "", d.At, over, "%s: answered after %v", d.What, at(d.Took))
		}
	}
}

// What operators are owed.
const (
	usedIn  = 5 * time.Second
	doorIn  = time.Second
	readyIn = 6 * time.Second
	backOf  = 2 // calls that an upgrade may turn back
)

// upgrades checks that while two processes were one balancer no call was refused, or its connection closed unheard.
func (c *court) upgrades() {
	for _, u := range c.rec.Upgrades {
		c.checked[NoneBack]++
		if u.Ready == 0 || u.Ready > readyIn {
			c.breach(NoneBack, "", u.From, 0, "the newer process of balancer %d was not ready in %v", u.Balancer+1, readyIn)
			continue
		}
		back := 0
		for _, k := range c.rec.Calls {
			if k.Balancer == u.Balancer && (k.NotTaken || k.Reply == record.Closed) && k.Due >= u.From && k.Due <= u.To {
				back++
			}
		}
		if back > backOf {
			c.breach(NoneBack, "", u.From, 0, "balancer %d turned %d calls back", u.Balancer+1, back)
		}
	}
}

// bornSince tells whether a balancer was started anew between two moments: the new one was told nothing yet.
func (c *court) bornSince(balancer int, from, to time.Duration) bool {
	return slices.ContainsFunc(c.rec.Lives, func(l record.Life) bool {
		return l.Balancer == balancer && l.Start > from && l.Start <= to
	})
}

// cold checks rule four at the nodes: each one that was started during the day is a case.
func (c *court) cold() {
	for _, node := range slices.Sorted(maps.Keys(c.rec.ColdLast)) {
		c.checked[ColdHosts]++
		for _, f := range c.rec.Falls {
			if f.Server == node {
				c.breach(ColdHosts, "", f.At, 0, "%s fell over, sent %.1f times what it could do: %s", node, f.Multiple, c.whoSent(node, f.At))
			}
		}
	}
}

// whoSent tells each balancer's part of what a server was sent before a moment.
func (c *court) whoSent(server string, before time.Duration) string {
	n, work := map[int]int{}, map[int]time.Duration{}
	for _, s := range c.rec.Attempts {
		if s.Server == server && s.Came <= before && s.Came > before-c.terms.FallFor {
			n[s.Balancer]++
			work[s.Balancer] += s.Work
		}
	}
	var parts []string
	for _, b := range slices.Sorted(maps.Keys(n)) {
		parts = append(parts, fmt.Sprintf("balancer %d %d attempts, %v of work", b+1, n[b], at(work[b])))
	}
	return strings.Join(parts, "; ")
}

// gateway checks rule four at the gateway: a stop that misses at cold nodes made much of.
func (c *court) gateway() {
	if len(c.rec.ColdLast) > 0 {
		c.checked[GatewayUp]++ // cold misses came, or could have come
	}
	for _, f := range c.rec.Falls {
		if f.Server != record.Gateway {
			continue
		}
		reads, cold := 0, 0
		for _, s := range c.rec.Attempts {
			if s.Server != record.Gateway || s.Came > f.At || s.Came <= f.At-c.terms.FallFor {
				continue
			}
			reads++
			if slices.ContainsFunc(c.attempts[s.Call], func(x record.Attempt) bool { return x.Cold && x.Proof == record.Missed }) {
				cold++
			}
		}
		c.checked[GatewayUp]++
		if part := float64(cold) / float64(max(1, reads)); part >= c.terms.ColdBlame {
			c.breach(GatewayUp, "", f.At, 0, "the gateway stopped, sent %.1f times what it could do; %.0f%% of it missed at cold nodes", f.Multiple, 100*part)
		}
	}
}

func (c *court) rude() {
	for _, r := range c.rec.Rudes {
		c.checked[RudeEnds]++
		if r.Served {
			c.breach(RudeEnds, "", 0, 0, "a client that sent %s was served", r.What)
		} else if !r.Answered {
			c.breach(RudeEnds, "", 0, 0, "a client that sent %s got neither an error nor a close", r.What)
		}
	}
}

func (c *court) lives() {
	for _, l := range c.rec.Lives {
		c.checked[Alive]++
		if !l.Ordered {
			c.breach(Alive, "", l.End, 0, "balancer %d ended by itself at %v with exit code %d", l.Balancer+1, at(l.End), l.Exit)
		} else if l.Ready == 0 {
			c.breach(Alive, "", l.Start, 0, "balancer %d never served", l.Balancer+1)
		}
	}
}
