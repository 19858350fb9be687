package deployment

import (
	"fmt"
	"math"
	"strconv"

	"streamrail/policy"
)

// Pairs are settings by their path: objects and list items are set apart by dots, a list of objects gives
// its length under "count".
type Pairs map[string]string

var effects = map[string]policy.Effect{
	"idempotent": policy.Idempotent, "deduplicated": policy.Deduplicated,
	"at_most_once": policy.NonIdempotent,
}

var groups = map[string]policy.Group{
	"all": policy.GroupAll, "zone": policy.GroupZone, "cell": policy.GroupCell,
}

// reportSources are where hosts may tell their load, and whether that is with answers.
var reportSources = map[string]bool{"": false, "none": false, "probe": false, "answers": true}

// reader reads pairs and remembers the first that is faulty.
type reader struct {
	pairs Pairs
	err   error
}

func (r *reader) fail(path, v, want string) {
	if r.err == nil {
		r.err = fmt.Errorf("settings.%s: %q is not %s", path, v, want)
	}
}

func (r *reader) num(path string, absent float64) float64 {
	v, ok := r.pairs[path]
	if !ok {
		return absent
	}
	n, err := strconv.ParseFloat(v, 64)
	if err != nil {
		r.fail(path, v, "a number")
	}
	return n
}

// price is what one of something takes off a request's billed value; 0 where it is not told.
func (r *reader) price(path string) float64 {
	n := r.num(path, 0)
	if !(n >= 0 && n < math.Inf(1)) {
		r.fail(path, r.pairs[path], "a price of 0 or more")
	}
	return n
}

// These stop slips; no list is as long, and no request is tried so often.
const (
	mostBalancers = 1 << 20
	mostAttempts  = 1 << 10
)

// within is a number in a range.
func (r *reader) within(path string, absent, least, most float64) float64 {
	n := r.num(path, absent)
	if !(n >= least && n <= most) {
		r.fail(path, r.pairs[path], fmt.Sprintf("a number from %.0f to %.0f", least, most))
	}
	return n
}

// longest is as good as for ever, and can still be added to a moment of the clock.
const longest = 100 * 365 * 24 * 3600 * policy.Second

// span is a number of nanoseconds; 0 where it is not told.
func (r *reader) span(path string) policy.Nanos {
	return policy.Nanos(min(r.within(path, 0, 0, math.MaxFloat64), float64(longest)))
}

func pick[T any](r *reader, path, want string, of map[string]T) T {
	t, ok := of[r.pairs[path]]
	if !ok {
		r.fail(path, r.pairs[path], want)
	}
	return t
}

// TermsOf decodes what the module reads of the settings; what it does not know it skips.
func TermsOf(pairs Pairs) (policy.Terms, error) {
	r := &reader{pairs: pairs}
	t := policy.Terms{
		Balancers: max(1, int(r.within("balancers", 1, 0, mostBalancers))), Zone: policy.Zone(r.within("locality", 0, -1, mostBalancers)),
		MustSubscribe: pairs["discovery"] == "subscribe", Aside: pairs["extra.mode"] == "aside",
		OriginKind:   policy.Kind(r.within("extra.originKind", -1, -1, mostBalancers)),
		MayCancel:    pairs["caps.mayCancel"] == "true",
		MostAttempts: int(r.within("caps.mostShots", 1, 1, mostAttempts)),
		LiveSizes:    pairs["weights"] == "live", SizesEqual: pairs["weights"] == "none",
		ColdFrom: r.within("rules.coldFrom", 0.1, 0, 1), RampTime: r.span("rules.rampTimeNs"),
		FallMultiple: r.within("rules.fallMultiple", 1, 0, 1e6), FallWindow: r.span("rules.fallNs"),
		AskEvery: r.span("rules.askEveryNs"), Tick: r.span("tickNs"),
		KeepAlive: r.span("caps.keepaliveNs"),
	}
	if t.AskEvery == 0 {
		t.AskEvery = 10 * policy.Second // failed calls would else be made anew without end
	}
	if t.FallWindow == 0 {
		t.RampTime = 0 // nothing falls, so nothing is held back
	}
	t.CrossPrice, t.FetchPrice = r.price("prices.crossZone"), r.price("prices.origin")
	pick(r, "report.source", "answers, probe or none", reportSources)
	if pairs["caps.retryAfter"] == "true" {
		t.MaxComeBack = r.span("caps.maxRetryAfterNs")
	}
	for i := range int(r.num("products.count", 0)) {
		at := fmt.Sprintf("products.%d.", i)
		p := policy.ProductTerms{
			LatencySLO:  r.span(at + "latencySloNs"),
			BilledValue: r.within(at+"billedValue", 1, 0, 1e12), OverdueValue: r.within(at+"overdueBilledValue", 0, 0, 1e12),
			Effect: pick(r, at+"effect", "idempotent, deduplicated or at_most_once", effects),
			Window: r.span(at + "windowNs"),
		}
		if pairs[at+"group"] != "" {
			p.Group = pick(r, at+"group", "all, zone or cell", groups)
		}
		t.Products = append(t.Products, p)
	}
	for i := range int(r.num("customers.count", 0)) {
		t.Customers = append(t.Customers, policy.CustomerTerms{
			AllowancePerS: r.num(fmt.Sprintf("customers.%d.allowancePerS", i), 0),
		})
	}
	return t, r.err
}
