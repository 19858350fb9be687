package judge

import (
	"slices"
	"testing"
	"time"

	"streamrail/internal/rehearsal/record"
)

const ms = time.Millisecond

func testConfig() Config {
	return Config{Products: []Product{{Name: "read"}, {Name: "pay", Effect: NonIdempotent, Write: true},
		{Name: "once", Effect: Deduplicated, Window: 2000 * ms, Write: true}}, MaxAttempts: 4, DrainGrace: 1000 * ms, Slack: 50 * ms,
		PromptTimeout: 300 * ms, ColdMissThreshold: 0.3, OverloadWindow: 2000 * ms, ConnectTimeout: 200 * ms}
}

func newRequest(product int, sent, timeout, answered time.Duration, reply record.Reply) record.Request {
	return record.Request{ID: "a", FirstID: "a", Try: 1, Product: product, ScheduledAt: sent, Sent: sent, Timeout: timeout, Answered: answered, Reply: reply}
}

func attempt(server string, arrived, ended time.Duration, proof record.Proof) record.Attempt {
	return record.Attempt{RequestID: "a", Server: server, FirstByteAt: arrived, ArrivedAt: arrived, Ended: ended, Proof: proof, Answered: proof != record.NothingProven}
}

// Each row is one request with its attempts and the rule that it breaks, if any. A case just beyond a bound is a breach, a
// case just within it is not.
func TestRules(t *testing.T) {
	served := func(c, e time.Duration) record.Attempt { return attempt("n", c, e, record.Served) }
	servedWithTimeLeft := func(c, e, timeLeft time.Duration) record.Attempt {
		s := served(c, e)
		s.TimeLeft = timeLeft
		return s
	}
	for name, row := range map[string]struct {
		request       record.Request
		attempts      []record.Attempt
		notices       []record.HostNotice
		connectOutage bool
		want          Rule
	}{
		"served":                                           {request: newRequest(0, 0, 900*ms, 30*ms, record.Fulfilled), attempts: []record.Attempt{served(1*ms, 29*ms)}},
		"served by no server":                              {request: newRequest(0, 0, 900*ms, 30*ms, record.Fulfilled), attempts: []record.Attempt{attempt("n", 1*ms, 29*ms, record.NothingProven)}, want: RightAnswer},
		"after its timeout":                                {request: newRequest(0, 0, 900*ms, 960*ms, record.Errored), attempts: []record.Attempt{attempt("n", 1*ms, 900*ms, record.NothingProven)}, want: OneAnswer},
		"within the slack":                                 {request: newRequest(0, 0, 900*ms, 940*ms, record.Errored), attempts: []record.Attempt{attempt("n", 1*ms, 900*ms, record.NothingProven)}},
		"closed":                                           {request: newRequest(0, 0, 900*ms, 0, record.Closed), want: OneAnswer},
		"cut short by its server":                          {request: newRequest(0, 0, 900*ms, 30*ms, record.CutShort), attempts: []record.Attempt{attempt("n", 1*ms, 29*ms, record.NothingProven)}},
		"cut short by the balancer":                        {request: newRequest(0, 0, 900*ms, 30*ms, record.CutShort), attempts: []record.Attempt{served(1*ms, 29*ms)}, want: OneAnswer},
		"an attempt after the answer":                      {request: newRequest(0, 0, 900*ms, 30*ms, record.Fulfilled), attempts: []record.Attempt{served(1*ms, 29*ms), served(90*ms, 99*ms)}, want: NothingLate},
		"given up late":                                    {request: newRequest(0, 0, 900*ms, 700*ms, record.RateLimited), attempts: []record.Attempt{attempt("n", 1*ms, 300*ms, record.NeverRan)}, want: PromptGiveUp},
		"given up with an attempt in flight":               {request: newRequest(0, 0, 900*ms, 700*ms, record.RateLimited), attempts: []record.Attempt{attempt("n", 1*ms, 705*ms, record.NothingProven)}},
		"given up during a connect outage":                 {request: newRequest(0, 0, 1900*ms, 700*ms, record.RateLimited), attempts: []record.Attempt{attempt("n", 1*ms, 300*ms, record.NeverRan)}, connectOutage: true},
		"given up late in a connect outage":                {request: newRequest(0, 0, 1900*ms, 1700*ms, record.RateLimited), attempts: []record.Attempt{attempt("n", 1*ms, 300*ms, record.NeverRan)}, connectOutage: true, want: PromptGiveUp},
		"non-idempotent, sent again":                       {request: newRequest(1, 0, 900*ms, 60*ms, record.Fulfilled), attempts: []record.Attempt{attempt("n", 1*ms, 20*ms, record.NothingProven), served(30*ms, 50*ms)}, want: NoRepeat},
		"non-idempotent, never ran":                        {request: newRequest(1, 0, 900*ms, 60*ms, record.Fulfilled), attempts: []record.Attempt{attempt("n", 1*ms, 20*ms, record.NeverRan), served(30*ms, 50*ms)}},
		"non-idempotent, rate-limited":                     {request: newRequest(1, 0, 900*ms, 25*ms, record.RateLimited), attempts: []record.Attempt{attempt("n", 1*ms, 20*ms, record.NothingProven)}, want: HarmlessRetry},
		"deduplicated, within its window":                  {request: newRequest(2, 0, 5000*ms, 1960*ms, record.Fulfilled), attempts: []record.Attempt{attempt("n", 1*ms, 20*ms, record.NothingProven), served(1930*ms, 1950*ms)}},
		"deduplicated, after its window":                   {request: newRequest(2, 0, 5000*ms, 2200*ms, record.Fulfilled), attempts: []record.Attempt{attempt("n", 1*ms, 20*ms, record.NothingProven), served(2100*ms, 2150*ms)}, want: NoRepeat},
		"deduplicated, told to come back in its window":    {request: comeBackAfter(1900 * ms), attempts: []record.Attempt{attempt("n", 1*ms, 20*ms, record.NothingProven)}},
		"deduplicated, told to come back after its window": {request: comeBackAfter(2050 * ms), attempts: []record.Attempt{attempt("n", 1*ms, 20*ms, record.NothingProven)}, want: HarmlessRetry},
		"deduplicated, never ran, told to come back then":  {request: comeBackAfter(2050 * ms), attempts: []record.Attempt{attempt("n", 1*ms, 20*ms, record.NeverRan)}},
		"two attempts in flight":                           {request: newRequest(0, 0, 900*ms, 160*ms, record.Fulfilled), attempts: []record.Attempt{attempt("n", 1*ms, 150*ms, record.NothingProven), served(30*ms, 150*ms)}, want: AttemptsInSequence},
		"a drained host": {request: newRequest(0, 2000*ms, 2900*ms, 2130*ms, record.Fulfilled), attempts: []record.Attempt{served(2060*ms, 2100*ms)},
			notices: []record.HostNotice{{Host: "n", At: 1000 * ms}}, want: Drains},
		"drain noticed twice": {request: newRequest(0, 2000*ms, 2900*ms, 2130*ms, record.Fulfilled), attempts: []record.Attempt{served(2060*ms, 2100*ms)},
			notices: []record.HostNotice{{Host: "n", At: 1000 * ms}, {Host: "n", At: 1500 * ms}}, want: Drains},
		"drained host available again": {request: newRequest(0, 2000*ms, 2900*ms, 2130*ms, record.Fulfilled), attempts: []record.Attempt{served(2060*ms, 2100*ms)},
			notices: []record.HostNotice{{Host: "n", At: 500 * ms}, {Host: "n", Available: true, At: 1500 * ms}}},
		"server timeout within the slack": {request: newRequest(0, 0, 900*ms, 390*ms, record.Fulfilled), attempts: []record.Attempt{servedWithTimeLeft(360*ms, 380*ms, 690*ms)}},
		"server timeout beyond the slack": {request: newRequest(0, 0, 900*ms, 390*ms, record.Fulfilled), attempts: []record.Attempt{servedWithTimeLeft(360*ms, 380*ms, 691*ms)}, want: Deadlines},
		"within the drain grace": {request: newRequest(0, 2000*ms, 2900*ms, 2130*ms, record.Fulfilled), attempts: []record.Attempt{served(2040*ms, 2100*ms)},
			notices: []record.HostNotice{{Host: "n", At: 1000 * ms}}},
	} {
		rec := record.New()
		rec.Requests, rec.Attempts, rec.HostNotices = []record.Request{row.request}, row.attempts, row.notices
		if row.connectOutage {
			rec.ConnectOutages = []record.ConnectOutage{{To: 100 * ms}}
		}
		var got Rule
		v := Judge(rec, testConfig())
		if rules := v.BrokenRules(); len(rules) == 1 {
			got = rules[0]
		} else if len(rules) > 1 {
			t.Errorf("%s: broke the rules %q, expected at most one", name, rules)
		}
		if got != row.want {
			t.Errorf("%s: broke rule %q, expected %q", name, got, row.want)
		}
	}
}

// comeBackAfter returns a deduplicated request that was rate-limited after 25 ms, with a time to wait before a retry.
func comeBackAfter(wait time.Duration) record.Request {
	req := newRequest(2, 0, 900*ms, 25*ms, record.RateLimited)
	req.RetryAfter = wait
	return req
}

// A mark that has its effect twice is a breach if the client came back because it was told that this is harmless, and not if it came back
// after an error.
func TestRepeatByClient(t *testing.T) {
	for reply, want := range map[record.Reply][]Rule{record.RateLimited: {HarmlessRetry}, record.Errored: nil} {
		rec := record.New()
		first, second := newRequest(2, 0, 900*ms, 30*ms, reply), newRequest(2, 1500*ms, 2500*ms, 2400*ms, record.Fulfilled)
		second.ID, second.Try = "a.2", 2
		rec.Requests = []record.Request{first, second}
		late := attempt(record.Origin, 2100*ms, 2390*ms, record.Served)
		late.RequestID = second.ID
		rec.Attempts = []record.Attempt{attempt(record.Origin, 2*ms, 25*ms, record.NothingProven), late}
		rec.Effects = []record.Effect{{RequestID: "a", DedupToken: "k", At: 10 * ms}, {RequestID: "a.2", DedupToken: "k", At: 2200 * ms}}
		if got := Judge(rec, testConfig()).BrokenRules(); !slices.Equal(got, want) {
			t.Errorf("after the reply %q: broke rules %q, expected %q", reply, got, want)
		}
	}
}

// A case that exceeds its bound by no more than twice the lateness of the rehearsal itself is doubtful and not a breach. A
// case that depends on counts alone is a breach regardless of lateness. A rule without a case counts nothing as checked.
func TestDoubt(t *testing.T) {
	rec := record.New()
	rec.Requests = []record.Request{newRequest(0, 0, 900*ms, 970*ms, record.Errored)}
	rec.Attempts = []record.Attempt{attempt("n", 1*ms, 960*ms, record.NothingProven)}
	rec.Latenesses = []record.Lateness{{At: 500 * ms, By: 15 * ms}}
	v := Judge(rec, testConfig())
	if v.Broken() || !v.Unsure() {
		t.Errorf("20 ms beyond the bound, 15 ms late: Broken() = %v, Unsure() = %v, expected false, true", v.Broken(), v.Unsure())
	}
	rec.Latenesses[0].By = 8 * ms
	if v = Judge(rec, testConfig()); !v.Broken() {
		t.Error("20 ms beyond the bound, 8 ms late: Broken() = false, expected true")
	}
	rec.Latenesses[0].By, rec.Requests[0].Reply, rec.Requests[0].Answered = time.Second, record.NoAnswer, 0
	if v = Judge(rec, testConfig()); !v.Broken() {
		t.Error("no answer at all, one second late: Broken() = false, expected true")
	}
	for _, f := range v.Findings {
		if f.Rule == Drains && f.Checked != 0 {
			t.Error("the rule for draining hosts has checked cases without a drain")
		}
	}
}

// Each row is a run with operators' actions that breaks one rule, or none. An exclusion holds although the host list names
// the host as active again, and across an upgrade to a newer process.
func TestOperators(t *testing.T) {
	second := time.Second
	excluded := record.HostNotice{Host: "n", At: 1 * second, ByOperator: true}
	included := record.HostNotice{Host: "n", At: 5 * second, ByOperator: true, Available: true}
	listed := record.HostNotice{Host: "n", At: 2 * second, Available: true}
	upgrade := record.Upgrade{From: 3 * second, To: 4 * second, Ready: second}
	lastRequest := newRequest(0, 20*second, 21*second, 20*second+30*ms, record.RateLimited) // so that the run goes on long enough for reuseTimeout
	attemptAt := func(when time.Duration) record.Attempt { return attempt("n", when, when+5*ms, record.Served) }
	closed := func(id string, when time.Duration) record.Request {
		c := newRequest(0, when, when+second, 0, record.Closed)
		c.ID, c.BalancerStopped = id, true
		return c
	}
	for name, row := range map[string]struct {
		notices    []record.HostNotice
		attempts   []record.Attempt
		upgrades   []record.Upgrade
		requests   []record.Request
		adminCalls []record.AdminCall
		want       Rule
	}{
		"excluded and included":        {notices: []record.HostNotice{excluded, listed, included}, attempts: []record.Attempt{attemptAt(1500 * ms), attemptAt(6 * second)}},
		"sent to while excluded":       {notices: []record.HostNotice{excluded, listed, included}, attempts: []record.Attempt{attemptAt(3 * second), attemptAt(6 * second)}, want: Drains},
		"sent to by a newer process":   {notices: []record.HostNotice{excluded}, attempts: []record.Attempt{attemptAt(3500 * ms)}, upgrades: []record.Upgrade{upgrade}, want: Drains},
		"included but not used":        {notices: []record.HostNotice{excluded, included}, want: IncludedHostUsed},
		"included and used too late":   {notices: []record.HostNotice{excluded, included}, attempts: []record.Attempt{attemptAt(11 * second)}, want: IncludedHostUsed},
		"two turned away":              {upgrades: []record.Upgrade{upgrade}, requests: []record.Request{closed("b", 3200*ms), closed("c", 3300*ms)}},
		"three turned away":            {upgrades: []record.Upgrade{upgrade}, requests: []record.Request{closed("b", 3200*ms), closed("c", 3300*ms), closed("d", 3400*ms)}, want: UpgradeTurnsNoneAway},
		"three closed at another time": {upgrades: []record.Upgrade{upgrade}, requests: []record.Request{closed("b", 8*second), closed("c", 8*second), closed("d", 8*second)}},
		"never ready":                  {upgrades: []record.Upgrade{{From: second, To: 9 * second}}, want: UpgradeTurnsNoneAway},
		"admin call fails":             {adminCalls: []record.AdminCall{{What: "x", Took: 5 * ms}}, want: AdminInTime},
		"admin call succeeds late":     {adminCalls: []record.AdminCall{{What: "x", Took: 1100 * ms, OK: true}}, want: AdminInTime},
	} {
		rec := record.New()
		rec.Requests, rec.HostNotices, rec.Upgrades, rec.AdminCalls = append(row.requests, lastRequest), row.notices, row.upgrades, row.adminCalls
		rec.Attempts = row.attempts
		for i := range rec.Attempts { // give each attempt a request of its own that it answered
			c := newRequest(0, rec.Attempts[i].FirstByteAt-ms, rec.Attempts[i].FirstByteAt+second, rec.Attempts[i].Ended+ms, record.Fulfilled)
			c.ID = "attempt" + string(rune('0'+i))
			rec.Attempts[i].RequestID = c.ID
			rec.Requests = append(rec.Requests, c)
		}
		var got Rule
		if rules := Judge(rec, testConfig()).BrokenRules(); len(rules) == 1 {
			got = rules[0]
		} else if len(rules) > 1 {
			t.Errorf("%s: broke the rules %q, expected at most one", name, rules)
		}
		if got != row.want {
			t.Errorf("%s: broke rule %q, expected %q", name, got, row.want)
		}
	}
}
