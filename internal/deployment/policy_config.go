package deployment

import (
	"fmt"
	"math"
	"strconv"

	"streamrail/policy"
)

// Pairs holds settings by their path. The parts of a path, names and list indexes, are separated by dots; the length of a list
// is under "count".
type Pairs map[string]string

var effects = map[string]policy.Effect{
	"idempotent": policy.Idempotent, "deduplicated": policy.Deduplicated,
	"at_most_once": policy.NonIdempotent,
}

var dedupScopes = map[string]policy.DedupScope{
	"all": policy.DedupScopeAll, "zone": policy.DedupScopeZone, "cell": policy.DedupScopeCell,
}

// reportSources maps the permitted sources of load reports to whether the reports come with answers.
var reportSources = map[string]bool{"": false, "none": false, "probe": false, "answers": true}

// settingsReader reads values from pairs and records the first faulty one.
type settingsReader struct {
	pairs Pairs
	err   error
}

func (r *settingsReader) fail(path, v, want string) {
	if r.err == nil {
		r.err = fmt.Errorf("settings.%s: %q is not %s", path, v, want)
	}
}

func (r *settingsReader) number(path string, defaultValue float64) float64 {
	v, ok := r.pairs[path]
	if !ok {
		return defaultValue
	}
	n, err := strconv.ParseFloat(v, 64)
	if err != nil {
		r.fail(path, v, "a number")
	}
	return n
}

// price reads a cost that is subtracted from a request's billed value; it is 0 if absent.
func (r *settingsReader) price(path string) float64 {
	n := r.number(path, 0)
	if !(n >= 0 && n < math.Inf(1)) {
		r.fail(path, r.pairs[path], "a price of 0 or more")
	}
	return n
}

// Limits that catch mistakes in the settings: no real list is as long, and no request needs as many attempts.
const (
	maxListLength = 1 << 20
	maxAttempts   = 1 << 10
)

// numberWithin reads a number and checks that it is in a range.
func (r *settingsReader) numberWithin(path string, defaultValue, lowest, highest float64) float64 {
	n := r.number(path, defaultValue)
	if !(n >= lowest && n <= highest) {
		r.fail(path, r.pairs[path], fmt.Sprintf("a number from %.0f to %.0f", lowest, highest))
	}
	return n
}

// maxDuration stands for unlimited; it is small enough to be added to a clock reading without overflow.
const maxDuration = 100 * 365 * 24 * 3600 * policy.Second

// duration reads a number of nanoseconds; it is 0 if absent and at most maxDuration.
func (r *settingsReader) duration(path string) policy.Nanos {
	return policy.Nanos(min(r.numberWithin(path, 0, 0, math.MaxFloat64), float64(maxDuration)))
}

func lookUp[T any](r *settingsReader, path, want string, values map[string]T) T {
	t, ok := values[r.pairs[path]]
	if !ok {
		r.fail(path, r.pairs[path], want)
	}
	return t
}

// ParsePolicyConfig decodes the part of the settings that the policy uses and ignores unknown keys.
func ParsePolicyConfig(pairs Pairs) (policy.Config, error) {
	r := &settingsReader{pairs: pairs}
	config := policy.Config{
		Balancers: max(1, int(r.numberWithin("balancers", 1, 0, maxListLength))), Zone: policy.Zone(r.numberWithin("locality", 0, -1, maxListLength)),
		MustSubscribe: pairs["discovery"] == "subscribe", CacheAside: pairs["extra.mode"] == "aside",
		OriginKind:      policy.MachineKind(r.numberWithin("extra.originKind", -1, -1, maxListLength)),
		MayCancel:       pairs["caps.mayCancel"] == "true",
		MaxAttempts:     int(r.numberWithin("caps.mostShots", 1, 1, maxAttempts)),
		SizesFollowLoad: pairs["weights"] == "live", IgnoreSizes: pairs["weights"] == "none",
		ColdCapacityFraction: r.numberWithin("rules.coldFrom", 0.1, 0, 1), WarmUpTime: r.duration("rules.rampTimeNs"),
		OverloadMultiple: r.numberWithin("rules.fallMultiple", 1, 0, 1e6), OverloadWindow: r.duration("rules.fallNs"),
		SubscribeInterval: r.duration("rules.askEveryNs"), TimerGranularity: r.duration("tickNs"),
		IdleConnectionLife: r.duration("caps.keepaliveNs"),
	}
	if config.SubscribeInterval == 0 {
		config.SubscribeInterval = 10 * policy.Second // 0 would make failed calls repeat without a pause
	}
	if config.OverloadWindow == 0 {
		config.WarmUpTime = 0 // no host fails under load, so slow start is not needed
	}
	config.CrossZoneCost, config.OriginFetchCost = r.price("prices.crossZone"), r.price("prices.origin")
	lookUp(r, "report.source", "answers, probe or none", reportSources)
	if pairs["caps.retryAfter"] == "true" {
		config.MaxRetryAfter = r.duration("caps.maxRetryAfterNs")
	}
	for i := range int(r.number("products.count", 0)) {
		prefix := fmt.Sprintf("products.%d.", i)
		p := policy.ProductConfig{
			LatencySLO:  r.duration(prefix + "latencySloNs"),
			BilledValue: r.numberWithin(prefix+"billedValue", 1, 0, 1e12), LateValueFraction: r.numberWithin(prefix+"overdueBilledValue", 0, 0, 1e12),
			Effect:      lookUp(r, prefix+"effect", "idempotent, deduplicated or at_most_once", effects),
			DedupWindow: r.duration(prefix + "windowNs"),
		}
		if pairs[prefix+"group"] != "" {
			p.DedupScope = lookUp(r, prefix+"group", "all, zone or cell", dedupScopes)
		}
		config.Products = append(config.Products, p)
	}
	for i := range int(r.number("customers.count", 0)) {
		config.Customers = append(config.Customers, policy.CustomerConfig{
			QuotaPerSecond: r.number(fmt.Sprintf("customers.%d.allowancePerS", i), 0),
		})
	}
	return config, r.err
}
