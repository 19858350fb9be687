// Package judge checks the recorded events of a rehearsal (a simulated run of a fleet of balancers) against the rules
// that balancers must keep. It uses only what clients and the stand-ins for cache hosts, origin and discovery observed.
// A rule with no case to check is reported as not exercised, never as kept.
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

// Effect says whether a request may be executed more than once.
type Effect int

const (
	Idempotent    Effect = iota
	Deduplicated         // servers ignore repeats within the product's Window
	NonIdempotent        // must not be sent again once it may have run
)

// Product describes a class of requests as far as the rules depend on it.
type Product struct {
	Name   string
	Effect Effect
	Window time.Duration
	Write  bool
}

// Config holds the numeric bounds of the rules.
type Config struct {
	Products          []Product
	MaxAttempts       int              // maximum number of attempts per request
	DrainGrace        time.Duration    // how long after the notice a draining host may still get attempts
	Slack             time.Duration    // added to each time limit for the time that bytes are in transit
	PromptTimeout     time.Duration    // how soon a request that is given up must be answered, in addition to Slack
	ColdMissThreshold float64          // share of misses at cold hosts in the origin's load from which its outage counts as a breach
	OverloadWindow    time.Duration    // span over which the load that made a server fail is counted
	Membership        MembershipConfig // bounds of the rules for the balancers' membership
	OpeningsPerSecond float64          // connections a second that all balancers together may open to one host; 0: no bound
	ConnectTimeout    time.Duration    // how long an attempt to connect may take before it fails
}

// Rule is the text that identifies one rule, as reports print it.
type Rule string

const (
	OneAnswer              Rule = "one answer in time"
	RightAnswer            Rule = "the answer made for the call"
	NothingLate            Rule = "nothing sent after the answer"
	PromptGiveUp           Rule = "given up is answered at once"
	Deadlines              Rule = "servers told no more time than is left"
	NoRepeat               Rule = "no attempt that could run twice"
	OneEffect              Rule = "no effect twice"
	HarmlessRetry          Rule = "rate-limited only if harmless"
	AttemptsInSequence     Rule = "one attempt at a time, no more than allowed"
	Drains                 Rule = "nothing new to a draining host"
	ColdHosts              Rule = "no cold host pushed over"
	NoColdMissOverload     Rule = "gateway not stopped by cold misses"
	IncludedHostUsed       Rule = "a host put back by hand is used"
	UpgradeTurnsNoneAway   Rule = "an upgrade turns nobody back"
	AdminInTime            Rule = "operators are answered in time"
	MalformedInputRejected Rule = "nonsense gets an error or a close"
	NoUnexpectedExit       Rule = "no balancer ends unasked"
)

// Rules lists all rules in report order: first the operators' four main groups (answers, effects, drains, cold hosts),
// then the other groups.
var Rules = []struct {
	Rule  Rule
	Group string
}{
	{OneAnswer, "1 answers"}, {RightAnswer, "1 answers"}, {NothingLate, "1 answers"}, {PromptGiveUp, "1 answers"},
	{Deadlines, "1 answers"},
	{NoRepeat, "2 effects"}, {OneEffect, "2 effects"}, {HarmlessRetry, "2 effects"}, {AttemptsInSequence, "2 effects"},
	{Drains, "3 drains"}, {ColdHosts, "4 cold hosts"}, {NoColdMissOverload, "4 cold hosts"},
	{MembersKnown, "between balancers"}, {NoFalseDeath, "between balancers"}, {DeathDetected, "between balancers"},
	{ViewsEqual, "between balancers"}, {NameConflictReported, "between balancers"}, {TrafficBounded, "between balancers"},
	{SharesWithinLimit, "limits"}, {ShareFollowsTraffic, "limits"}, {OpeningsBounded, "limits"},
	{IncludedHostUsed, "service"}, {UpgradeTurnsNoneAway, "service"}, {AdminInTime, "service"}, {MalformedInputRejected, "service"}, {NoUnexpectedExit, "service"},
}

// Breach is one case in which a rule was broken, or may have been.
type Breach struct {
	Rule Rule          `json:"rule"`
	Call string        `json:"call,omitempty"`
	At   time.Duration `json:"at_ns"`
	Text string        `json:"text"`
	// By is how far the case exceeds its time limit; 0 where the rule depends on counts or order alone. If the rehearsal
	// itself ran late around At, a breach by no more than twice that lateness is doubtful.
	By       time.Duration `json:"by_ns,omitempty"`
	Doubtful bool          `json:"doubtful,omitempty"`
}

// Finding is the result for one rule.
type Finding struct {
	Rule     Rule     `json:"rule"`
	Group    string   `json:"group"`
	Checked  int      `json:"checked"`
	Breaches int      `json:"breaches"`
	Doubtful int      `json:"doubtful"`
	Examples []Breach `json:"examples,omitempty"` // the first ones
}

// Verdict is the result of checking one rehearsal.
type Verdict struct {
	Findings    []Finding     `json:"findings"`
	MaxLateness time.Duration `json:"late_most_ns"` // the most by which the rehearsal itself ran late
	// Notes are remarks that are not breaches: measured extremes, and harm that the balancers could not have prevented by
	// keeping the rules.
	Notes []string `json:"notes,omitempty"`
}

// maxExamples bounds the number of examples listed for one rule.
const maxExamples = 10

// Broken reports whether any rule was broken beyond doubt.
func (v *Verdict) Broken() bool {
	return slices.ContainsFunc(v.Findings, func(f Finding) bool { return f.Breaches > 0 })
}

// Unsure reports whether any case is doubtful, that is, may have come about because the rehearsal itself ran late.
func (v *Verdict) Unsure() bool {
	return slices.ContainsFunc(v.Findings, func(f Finding) bool { return f.Doubtful > 0 })
}

// BrokenRules returns the rules that were broken beyond doubt, in report order.
func (v *Verdict) BrokenRules() (rules []Rule) {
	for _, f := range v.Findings {
		if f.Breaches > 0 {
			rules = append(rules, f.Rule)
		}
	}
	return rules
}

// checker holds the recorded events, indexed by request, and the results so far.
type checker struct {
	config      Config
	rec         *record.Record
	checked     map[Rule]int
	examples    map[Rule][]Breach
	doubtful    map[Rule]int
	breachCount map[Rule]int
	notes       []string
	attempts    map[string][]record.Attempt // by request id, in order of arrival
	requests    map[string]*record.Request
	effects     map[string][]record.Effect // by request id
}

// Judge checks a record against all rules.
func Judge(rec *record.Record, config Config) *Verdict {
	c := &checker{config: config, rec: rec, checked: map[Rule]int{}, examples: map[Rule][]Breach{}, doubtful: map[Rule]int{},
		breachCount: map[Rule]int{}, attempts: map[string][]record.Attempt{}, requests: map[string]*record.Request{}, effects: map[string][]record.Effect{}}
	slices.SortStableFunc(rec.Latenesses, func(x, y record.Lateness) int { return cmp.Compare(x.At, y.At) })
	for _, a := range rec.Attempts {
		c.attempts[a.RequestID] = append(c.attempts[a.RequestID], a)
	}
	for _, list := range c.attempts {
		slices.SortStableFunc(list, func(x, y record.Attempt) int { return cmp.Compare(x.ArrivedAt, y.ArrivedAt) })
	}
	for _, e := range rec.Effects {
		c.effects[e.RequestID] = append(c.effects[e.RequestID], e)
	}
	for i := range rec.Requests {
		c.requests[rec.Requests[i].ID] = &rec.Requests[i]
		c.checkAnswer(&rec.Requests[i])
		c.checkRepeats(&rec.Requests[i])
	}
	c.checkUnknownAttempts()
	c.checkDedupTokens()
	c.checkDrains()
	c.checkOperatorActions()
	c.checkUpgrades()
	c.checkColdHosts()
	c.checkColdMissOverload()
	c.checkMalformedClients()
	c.checkBalancerExits()
	c.checkMembership()
	c.checkLimits()
	return c.buildVerdict()
}

func (c *checker) buildVerdict() *Verdict {
	v := &Verdict{Notes: c.notes}
	for _, l := range c.rec.Latenesses {
		v.MaxLateness = max(v.MaxLateness, l.By)
	}
	for _, r := range Rules {
		f := Finding{Rule: r.Rule, Group: r.Group, Checked: c.checked[r.Rule], Breaches: c.breachCount[r.Rule],
			Doubtful: c.doubtful[r.Rule], Examples: c.examples[r.Rule]}
		v.Findings = append(v.Findings, f)
	}
	return v
}

// maxLateness returns the most by which the rehearsal itself ran late within a second of the given time.
func (c *checker) maxLateness(at time.Duration) (by time.Duration) {
	i, _ := slices.BinarySearchFunc(c.rec.Latenesses, at-time.Second, func(l record.Lateness, t time.Duration) int { return cmp.Compare(l.At, t) })
	for ; i < len(c.rec.Latenesses) && c.rec.Latenesses[i].At <= at+time.Second; i++ {
		by = max(by, c.rec.Latenesses[i].By)
	}
	return by
}

// addBreach records a breach; by is 0 where the rule depends on counts or order alone.
func (c *checker) addBreach(rule Rule, requestID string, at, by time.Duration, format string, args ...any) {
	b := Breach{Rule: rule, Call: requestID, At: at, By: by, Text: fmt.Sprintf(format, args...)}
	if requestID != "" {
		b.Text += c.describeRequest(requestID)
	}
	// Both ends of a measured span may have been recorded late, hence twice the lateness.
	if b.Doubtful = by > 0 && by <= 2*c.maxLateness(at); b.Doubtful {
		c.doubtful[rule]++
	} else {
		c.breachCount[rule]++
	}
	if len(c.examples[rule]) < maxExamples {
		c.examples[rule] = append(c.examples[rule], b)
	}
}

// describeRequest returns a request's times and its attempts as text for a breach.
func (c *checker) describeRequest(requestID string) string {
	var text strings.Builder
	if req := c.requests[requestID]; req != nil {
		fmt.Fprintf(&text, "; balancer %d, sent %s, until %s", req.Balancer+1, formatTime(req.Sent), formatTime(req.Timeout))
		if req.Answered > 0 {
			fmt.Fprintf(&text, ", %s %s", req.Reply, formatTime(req.Answered))
		}
	}
	for i, a := range c.attempts[requestID] {
		proof := [...]string{"nothing proven", "never ran", "missed", "served"}[a.Proof]
		if a.LostOnLink {
			proof = "lost on the way"
		}
		fmt.Fprintf(&text, "; attempt %d at %s, came %s, ended %s, ran %v, %s", i+1, a.Server, formatTime(a.ArrivedAt), formatTime(a.Ended), a.Ran, proof)
	}
	return text.String()
}

func formatTime(d time.Duration) string { return d.Round(10 * time.Microsecond).String() }

func (c *checker) productOf(req *record.Request) Product { return c.config.Products[req.Product] }

// checkAnswer checks the rules of the group "1 answers" for one request.
func (c *checker) checkAnswer(req *record.Request) {
	if req.NotSent || c.balancerPaused(req) {
		return
	}
	if req.BalancerStopped && (req.Reply == record.Closed || req.Reply == record.CutShort) {
		return // the balancer was stopped on purpose while it had the request: the client has to retry it
	}
	slack := c.config.Slack
	c.checked[OneAnswer]++
	switch {
	case req.Reply == record.Closed:
		c.addBreach(OneAnswer, req.ID, req.Timeout, 0, "its connection was closed %v after it was sent, with no whole answer", req.Ended-req.Sent)
	// Values are streamed to the client: one that its server broke off cannot be completed, and the client notices.
	case req.Reply == record.CutShort && !slices.ContainsFunc(c.attempts[req.ID], func(a record.Attempt) bool { return !a.Answered }):
		c.addBreach(OneAnswer, req.ID, req.Answered, 0, "its value was cut short, and no server had done that")
	case req.Reply == record.NoAnswer:
		c.addBreach(OneAnswer, req.ID, req.Timeout, 0, "no answer until its client left")
	case req.Answered > req.Timeout+slack:
		c.addBreach(OneAnswer, req.ID, req.Answered, req.Answered-req.Timeout-slack, "answered after its client timeout")
	}
	if req.ExtraAnswers > 0 {
		c.addBreach(OneAnswer, req.ID, req.Answered, 0, "answered %d times", 1+req.ExtraAnswers)
	}
	if req.Reply == record.Fulfilled || req.Reply == record.WrongAnswer {
		c.checked[RightAnswer]++
		if req.Reply == record.WrongAnswer {
			c.addBreach(RightAnswer, req.ID, req.Answered, 0, "served with what was not made for it")
		} else if !slices.ContainsFunc(c.attempts[req.ID], func(a record.Attempt) bool { return a.Proof == record.Served }) {
			c.addBreach(RightAnswer, req.ID, req.Answered, 0, "fulfilled, and no server answered it")
		}
	}
	end := req.Timeout
	if req.Answered > 0 {
		end = min(end, req.Answered)
	}
	for _, a := range c.attempts[req.ID] {
		if a.UnknownTime {
			continue
		}
		c.checked[NothingLate]++
		if a.ArrivedAt > end+slack {
			c.addBreach(NothingLate, req.ID, a.ArrivedAt, a.ArrivedAt-end-slack, "an attempt came to %s after the call was over", a.Server)
		}
		c.checkDeadline(req, a)
	}
	if req.Reply == record.RateLimited || req.Reply == record.Errored {
		c.checkPromptness(req)
	}
}

// deadlineSlack is the most by which the time to wait that a server is given may exceed what its client has left.
const deadlineSlack = 150 * time.Millisecond

// checkDeadline checks that a server is not given more time than the client still waits.
func (c *checker) checkDeadline(req *record.Request, a record.Attempt) {
	if a.TimeLeft == 0 {
		return
	}
	c.checked[Deadlines]++
	if over := a.ArrivedAt + a.TimeLeft - req.Timeout - deadlineSlack; over > 0 {
		c.addBreach(Deadlines, req.ID, a.ArrivedAt, over, "%s was told %v when its client had %v left", a.Server, a.TimeLeft, formatTime(req.Timeout-a.ArrivedAt))
	}
}

// balancerPaused reports whether the request's balancer was paused while it had the request, so that it could not answer.
func (c *checker) balancerPaused(req *record.Request) bool {
	return slices.ContainsFunc(c.rec.Pauses, func(s record.Pause) bool {
		return s.SameNameAs == 0 && s.Balancer == req.Balancer && s.From <= req.Timeout+c.config.Slack && s.To >= req.Sent
	})
}

// checkPromptness checks that a request which is given up is answered soon after it came and after its last attempt ended.
func (c *checker) checkPromptness(req *record.Request) {
	c.checked[PromptGiveUp]++
	lastEvent := req.Sent
	for _, a := range c.attempts[req.ID] {
		if a.Ended == 0 || a.Ended > req.Answered {
			return // an attempt was still in flight
		}
		lastEvent = max(lastEvent, a.Ended)
	}
	// While connections cannot be opened, failed connection attempts are seen by the balancer alone.
	unseenTime := time.Duration(0)
	if slices.ContainsFunc(c.rec.ConnectOutages, func(d record.ConnectOutage) bool {
		return d.Balancer == req.Balancer && d.From <= req.Answered && (d.To == 0 || req.Sent <= d.To+c.config.ConnectTimeout)
	}) {
		unseenTime = time.Duration(max(0, c.config.MaxAttempts-len(c.attempts[req.ID]))) * c.config.ConnectTimeout
	}
	if over := req.Answered - lastEvent - c.config.PromptTimeout - c.config.Slack - unseenTime; over > 0 {
		c.addBreach(PromptGiveUp, req.ID, req.Answered, over, "given up %v after anything last happened to it", formatTime(req.Answered-lastEvent))
	}
}

// checkRepeats checks the rules of the group "2 effects" for one request: whether an attempt could have run twice, and
// whether a rate-limited answer promised rightly that a retry is harmless.
func (c *checker) checkRepeats(req *record.Request) {
	product, attempts := c.productOf(req), c.attempts[req.ID]
	for i, a := range attempts {
		c.checked[AttemptsInSequence]++
		if i >= c.config.MaxAttempts {
			c.addBreach(AttemptsInSequence, req.ID, a.ArrivedAt, 0, "attempt %d of %d allowed", i+1, c.config.MaxAttempts)
		}
		for _, earlier := range attempts[:i] {
			if earlier.UnknownTime || a.UnknownTime {
				continue
			}
			// The end of an abandoned attempt is seen late, because closing its connection is a message of its own.
			if over := earlier.Ended - a.ArrivedAt - c.config.Slack; earlier.Ended == 0 || over > 0 {
				c.addBreach(AttemptsInSequence, req.ID, a.ArrivedAt, over, "an attempt came while another one was out")
				break
			}
		}
		if product.Effect == Idempotent || i == 0 {
			continue
		}
		c.checked[NoRepeat]++
		for _, earlier := range attempts[:i] {
			if earlier.Proof == record.NeverRan || earlier.Proof == record.CacheMiss {
				continue
			}
			if product.Effect == NonIdempotent {
				c.addBreach(NoRepeat, req.ID, a.ArrivedAt, 0, "sent again though it may have run")
				break
			}
			if over := a.ArrivedAt - earlier.ArrivedAt - product.Window; over > 0 {
				c.addBreach(NoRepeat, req.ID, a.ArrivedAt, max(1, over-c.config.Slack), "sent again %v after an attempt that may have run, beyond its window of %v",
					formatTime(a.ArrivedAt-earlier.ArrivedAt), product.Window)
				break
			}
		}
	}
	if product.Effect == Idempotent {
		return
	}
	if product.Effect == NonIdempotent {
		c.checked[OneEffect]++
		if n := len(c.effects[req.ID]); n > 1 {
			c.addBreach(OneEffect, req.ID, c.effects[req.ID][1].At, 0, "its effect was applied %d times", n)
		}
	}
	if req.Reply != record.RateLimited {
		return
	}
	c.checked[HarmlessRetry]++
	for _, a := range attempts {
		if a.Proof == record.NeverRan || a.Proof == record.CacheMiss {
			continue
		}
		retryAt := req.Answered + req.RetryAfter
		if over := retryAt - a.ArrivedAt - product.Window; product.Effect == NonIdempotent {
			c.addBreach(HarmlessRetry, req.ID, req.Answered, 0, "rate-limited though an attempt may have run")
			return
		} else if over > c.config.Slack {
			c.addBreach(HarmlessRetry, req.ID, req.Answered, over-c.config.Slack, "rate-limited, to come back %v after an attempt that may have run, beyond its window", formatTime(retryAt-a.ArrivedAt))
			return
		}
	}
}

// checkUnknownAttempts reports attempts that belong to no client's request.
func (c *checker) checkUnknownAttempts() {
	for _, a := range c.rec.Attempts {
		if a.Unexpected != "" {
			c.checked[RightAnswer]++
			c.addBreach(RightAnswer, a.RequestID, a.ArrivedAt, 0, "%s got what no client sent: %s", a.Server, a.Unexpected)
		} else if c.requests[a.RequestID] == nil {
			c.checked[RightAnswer]++
			c.addBreach(RightAnswer, a.RequestID, a.ArrivedAt, 0, "%s got an attempt of a call that no client made", a.Server)
		}
	}
}

// checkDedupTokens checks that no deduplication token has its effect twice, whether by attempts or by client retries.
func (c *checker) checkDedupTokens() {
	first := map[string]record.Effect{}
	for _, e := range c.rec.Effects {
		if e.DedupToken == "" {
			continue
		}
		c.checked[OneEffect]++
		earlier, repeated := first[e.DedupToken]
		if !repeated {
			first[e.DedupToken] = e
			continue
		}
		if req := c.requests[e.RequestID]; req != nil && earlier.RequestID != e.RequestID {
			// A client retry after an error is not the balancer's fault; one after a promise that it is harmless is.
			if c.promisedHarmless(c.requests[earlier.RequestID], req) {
				c.addBreach(HarmlessRetry, e.RequestID, e.At, 0, "the mark %s had its effect %v before, and its client came back only as it was told that this is harmless", e.DedupToken, formatTime(e.At-earlier.At))
			}
			continue
		}
		// A deduplicated request may be sent again within its window. If a host executes an old attempt long after both
		// were sent, the effect still happens twice; that gets a note, not a breach.
		if attempts := c.attempts[e.RequestID]; len(attempts) > 1 && attempts[len(attempts)-1].ArrivedAt-attempts[0].ArrivedAt <= c.dedupWindow(e.RequestID) {
			if len(c.notes) < maxExamples {
				c.notes = append(c.notes, fmt.Sprintf("the mark %s had its effect twice, %v apart, though all its attempts went inside the window%s",
					e.DedupToken, formatTime(e.At-earlier.At), c.describeRequest(e.RequestID)))
			}
			continue
		}
		c.addBreach(OneEffect, e.RequestID, e.At, 0, "the mark %s had its effect %v before", e.DedupToken, formatTime(e.At-earlier.At))
	}
}

// promisedHarmless reports whether a client that sent both requests made each try from the first to the second only because the try
// before was answered as rate-limited.
func (c *checker) promisedHarmless(first, second *record.Request) bool {
	if first == nil || first.FirstID != second.FirstID {
		return false
	}
	promised := 0
	for i := range c.rec.Requests {
		req := &c.rec.Requests[i]
		if req.FirstID == first.FirstID && req.Try >= first.Try && req.Try < second.Try && req.Reply == record.RateLimited {
			promised++
		}
	}
	return promised == second.Try-first.Try
}

func (c *checker) dedupWindow(requestID string) time.Duration {
	if req := c.requests[requestID]; req != nil {
		return c.productOf(req).Window
	}
	return 0
}

// checkDrains checks that a host which leaves or is excluded gets no new attempts once the grace is over. The grace is counted
// from the first notice of it to the balancer; a notice that the host is available again ends the restriction.
func (c *checker) checkDrains() {
	type pair struct {
		balancer int
		host     string
	}
	notices := map[pair][]record.HostNotice{}
	for _, notice := range c.rec.HostNotices {
		key := pair{notice.Balancer, notice.Host}
		notices[key] = append(notices[key], notice)
	}
	for _, list := range notices {
		slices.SortStableFunc(list, func(x, y record.HostNotice) int { return cmp.Compare(x.At, y.At) })
	}
	for _, a := range c.rec.Attempts {
		if a.UnknownTime {
			continue
		}
		var since time.Duration
		leaving, excluded := false, false
		for _, notice := range notices[pair{a.Balancer, a.Server}] {
			if notice.At > a.FirstByteAt {
				break
			}
			wasUnavailable := leaving || excluded
			if notice.ByOperator {
				excluded = !notice.Available
			} else {
				leaving = !notice.Available
			}
			if !wasUnavailable && (leaving || excluded) {
				since = notice.At
			}
		}
		if !excluded && (!leaving || c.restartedBetween(a.Balancer, since, a.FirstByteAt)) {
			continue
		}
		c.checked[Drains]++
		if over := a.FirstByteAt - since - c.config.DrainGrace - c.config.Slack; over > 0 {
			c.addBreach(Drains, a.RequestID, a.FirstByteAt, over, "%s got an attempt %v after balancer %d was told that it leaves", a.Server, formatTime(a.FirstByteAt-since), a.Balancer+1)
		}
	}
	// A leaving host that got no attempt at all also counts as a checked case.
	for _, list := range notices {
		for _, notice := range list {
			if !notice.Available {
				c.checked[Drains]++
			}
		}
	}
}

// checkOperatorActions checks that a host which operators include again gets an attempt from each balancer within
// reuseTimeout, and that calls of the admin API succeed in time.
func (c *checker) checkOperatorActions() {
	for _, notice := range c.rec.HostNotices {
		if !notice.ByOperator || !notice.Available || notice.At+reuseTimeout > c.rec.LastScheduled() {
			continue
		}
		c.checked[IncludedHostUsed]++
		if !slices.ContainsFunc(c.rec.Attempts, func(a record.Attempt) bool {
			return a.Balancer == notice.Balancer && a.Server == notice.Host && a.FirstByteAt > notice.At && a.FirstByteAt <= notice.At+reuseTimeout
		}) {
			c.addBreach(IncludedHostUsed, "", notice.At, 0, "%s got nothing from balancer %d in %v after it was put back", notice.Host, notice.Balancer+1, reuseTimeout)
		}
	}
	for _, adminCall := range c.rec.AdminCalls {
		c.checked[AdminInTime]++
		if !adminCall.OK {
			c.addBreach(AdminInTime, "", adminCall.At, 0, "%s: no, or no answer", adminCall.What)
		} else if over := adminCall.Took - adminTimeout; over > 0 {
			c.addBreach(AdminInTime, "", adminCall.At, over, "%s: answered after %v", adminCall.What, formatTime(adminCall.Took))
		}
	}
}

// Bounds of what operators can rely on.
const (
	reuseTimeout  = 5 * time.Second // an included host gets attempts again
	adminTimeout  = time.Second     // the admin API answers
	readyTimeout  = 6 * time.Second // the newer process of an upgrade is ready
	maxTurnedAway = 2               // requests that an upgrade may turn away
)

// checkUpgrades checks that during an upgrade, while two processes serve as one balancer, hardly any request is turned
// away or has its connection closed without an answer.
func (c *checker) checkUpgrades() {
	for _, u := range c.rec.Upgrades {
		c.checked[UpgradeTurnsNoneAway]++
		if u.Ready == 0 || u.Ready > readyTimeout {
			c.addBreach(UpgradeTurnsNoneAway, "", u.From, 0, "the newer process of balancer %d was not ready in %v", u.Balancer+1, readyTimeout)
			continue
		}
		turnedAway := 0
		for _, req := range c.rec.Requests {
			if req.Balancer == u.Balancer && (req.NotSent || req.Reply == record.Closed) && req.ScheduledAt >= u.From && req.ScheduledAt <= u.To {
				turnedAway++
			}
		}
		if turnedAway > maxTurnedAway {
			c.addBreach(UpgradeTurnsNoneAway, "", u.From, 0, "balancer %d turned %d calls back", u.Balancer+1, turnedAway)
		}
	}
}

// restartedBetween reports whether a balancer was started again between two times: the new process has not been notified of
// earlier changes.
func (c *checker) restartedBetween(balancer int, from, to time.Duration) bool {
	return slices.ContainsFunc(c.rec.ProcessRuns, func(l record.ProcessRun) bool {
		return l.Balancer == balancer && l.Start > from && l.Start <= to
	})
}

// checkColdHosts checks that no cold host failed from overload; each host that started during the run is a case.
func (c *checker) checkColdHosts() {
	for _, host := range slices.Sorted(maps.Keys(c.rec.WarmAt)) {
		c.checked[ColdHosts]++
		for _, f := range c.rec.OverloadFailures {
			if f.Server == host {
				c.addBreach(ColdHosts, "", f.At, 0, "%s fell over, sent %.1f times what it could do: %s", host, f.LoadMultiple, c.describeSenders(host, f.At))
			}
		}
	}
}

// describeSenders returns as text how many attempts and how much work each balancer sent to a server in the OverloadWindow before
// a time.
func (c *checker) describeSenders(server string, before time.Duration) string {
	attempts, work := map[int]int{}, map[int]time.Duration{}
	for _, a := range c.rec.Attempts {
		if a.Server == server && a.ArrivedAt <= before && a.ArrivedAt > before-c.config.OverloadWindow {
			attempts[a.Balancer]++
			work[a.Balancer] += a.Work
		}
	}
	var parts []string
	for _, b := range slices.Sorted(maps.Keys(attempts)) {
		parts = append(parts, fmt.Sprintf("balancer %d %d attempts, %v of work", b+1, attempts[b], formatTime(work[b])))
	}
	return strings.Join(parts, "; ")
}

// checkColdMissOverload checks that misses at cold hosts did not cause much of the load that made the origin stop.
func (c *checker) checkColdMissOverload() {
	if len(c.rec.WarmAt) > 0 {
		c.checked[NoColdMissOverload]++ // misses at cold hosts happened, or could have
	}
	for _, f := range c.rec.OverloadFailures {
		if f.Server != record.Origin {
			continue
		}
		total, coldMisses := 0, 0
		for _, a := range c.rec.Attempts {
			if a.Server != record.Origin || a.ArrivedAt > f.At || a.ArrivedAt <= f.At-c.config.OverloadWindow {
				continue
			}
			total++
			if slices.ContainsFunc(c.attempts[a.RequestID], func(x record.Attempt) bool { return x.Cold && x.Proof == record.CacheMiss }) {
				coldMisses++
			}
		}
		c.checked[NoColdMissOverload]++
		if share := float64(coldMisses) / float64(max(1, total)); share >= c.config.ColdMissThreshold {
			c.addBreach(NoColdMissOverload, "", f.At, 0, "the gateway stopped, sent %.1f times what it could do; %.0f%% of it missed at cold nodes", f.LoadMultiple, 100*share)
		}
	}
}

func (c *checker) checkMalformedClients() {
	for _, r := range c.rec.MalformedClients {
		c.checked[MalformedInputRejected]++
		if r.Served {
			c.addBreach(MalformedInputRejected, "", 0, 0, "a client that sent %s was served", r.Input)
		} else if !r.Answered {
			c.addBreach(MalformedInputRejected, "", 0, 0, "a client that sent %s got neither an error nor a close", r.Input)
		}
	}
}

func (c *checker) checkBalancerExits() {
	for _, l := range c.rec.ProcessRuns {
		c.checked[NoUnexpectedExit]++
		if !l.Ordered {
			c.addBreach(NoUnexpectedExit, "", l.End, 0, "balancer %d ended by itself at %v with exit code %d", l.Balancer+1, formatTime(l.End), l.Exit)
		} else if l.Ready == 0 {
			c.addBreach(NoUnexpectedExit, "", l.Start, 0, "balancer %d never served", l.Balancer+1)
		}
	}
}
