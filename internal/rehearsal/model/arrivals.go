package model

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"strconv"
	"time"
)

// Product is a class of requests.
type Product struct {
	Name          string
	Share         float64 // of all requests, as a weight
	LatencySLO    time.Duration
	ClientTimeout time.Duration
	BilledValue   float64
	Write         bool
	Deduplicated  bool // its requests carry a deduplication token
}

// Tenant is a customer whose clients send requests.
type Tenant struct {
	Name  string
	Share float64 // of the usual traffic, as a weight
}

// Surge multiplies the traffic of one tenant or of all tenants for some time.
type Surge struct {
	From, To time.Duration
	Tenant   string // "": all tenants
	Factor   float64
}

// HotKeys directs a fraction of the reads to a separate set of keys for some time.
type HotKeys struct {
	From, To time.Duration
	Share    float64
	Keys     int // number of these keys, read equally often; 0: each read has a key of its own
}

// LoadConfig configures the traffic of the clients.
type LoadConfig struct {
	Length            time.Duration
	RequestsPerSecond float64 // requests per second of all tenants, without surges
	SwingAmplitude    float64 // the rate varies by this fraction as a sine wave of period SwingPeriod
	SwingPeriod       time.Duration
	Keys              int
	Zipf              float64 // exponent of the Zipf distribution of keys; 0: all keys equally popular
	Zones             []float64
	Products          []Product
	Tenants           []Tenant
	Surges            []Surge
	HotKeys           []HotKeys
	GiveUpRange       [2]float64 // range from which the fraction of the client timeout is drawn after which a client gives up
}

// Arrival is a request that a client sends at a given time.
type Arrival struct {
	ID              string
	At              time.Duration
	Tenant, Product int
	Key             string
	DedupToken      string
	Zone            int
	Timeout         time.Duration // how long its client waits for the answer
	KeyUsedOnce     bool          // no other request has its key
}

// MaxArrivals limits the number of requests of a run; that many arrivals take about 400 MB of memory.
const MaxArrivals = 2 << 20

// Arrivals draws the requests of a run, in order. Each tenant has its own random number generator, so that a surge of one tenant
// does not change the requests of the others.
func Arrivals(seed uint64, t LoadConfig) ([]Arrival, error) {
	var all []Arrival
	pickKey := popularityPicker(t.Keys, t.Zipf)
	shares := make([]float64, len(t.Products))
	for i, p := range t.Products {
		shares[i] = p.Share
	}
	pickProduct, pickZone := weightedPicker(shares), weightedPicker(t.Zones)
	total := 0.0
	for _, x := range t.Tenants {
		total += x.Share
	}
	for i, tenant := range t.Tenants {
		r := NewRand(seed, "arrivals "+tenant.Name)
		usualRate := t.RequestsPerSecond * tenant.Share / total
		maxRate := usualRate * (1 + t.SwingAmplitude) * maxSurge(t.Surges, tenant.Name)
		if maxRate <= 0 {
			continue
		}
		// Thinning: draws arrivals at the highest rate of the run and keeps each with the probability of the current rate divided
		// by the highest.
		for at, n := time.Duration(0), 0; ; {
			at += time.Duration(r.ExpFloat64() / maxRate * float64(time.Second))
			if at >= t.Length {
				break
			}
			keep := r.Float64() < usualRate*t.rateMultiple(at, tenant.Name)/maxRate
			a := Arrival{At: at, Tenant: i, Product: pickProduct(r), Zone: pickZone(r)}
			key, hotDraw, hotKeyDraw := pickKey(r), r.Float64(), r.Uint64()
			giveUpFraction := t.GiveUpRange[0] + (t.GiveUpRange[1]-t.GiveUpRange[0])*r.Float64()
			if !keep {
				continue
			}
			n++
			p := t.Products[a.Product]
			a.ID = fmt.Sprintf("%x-%x", i, n)
			a.Key, a.Timeout = KeyName(key), time.Duration(giveUpFraction*float64(p.ClientTimeout))
			if p.Deduplicated {
				a.DedupToken = "m" + a.ID
			}
			if !p.Write {
				t.applyHotKeys(&a, hotDraw, hotKeyDraw)
			}
			if all = append(all, a); len(all) > MaxArrivals {
				return nil, fmt.Errorf("more than %d requests in the run", MaxArrivals)
			}
		}
	}
	slices.SortStableFunc(all, func(x, y Arrival) int { return int(x.At - y.At) })
	return all, nil
}

// rateMultiple returns the rate of a tenant at a given time as a multiple of its usual rate.
func (t *LoadConfig) rateMultiple(now time.Duration, tenant string) float64 {
	multiple := 1.0
	if t.SwingPeriod > 0 {
		multiple += t.SwingAmplitude * math.Sin(2*math.Pi*float64(now)/float64(t.SwingPeriod))
	}
	for _, s := range t.Surges {
		if now >= s.From && now < s.To && (s.Tenant == "" || s.Tenant == tenant) {
			multiple *= s.Factor
		}
	}
	return multiple
}

// maxSurge returns an upper bound of the rate multiple that a tenant's surges can reach: the product of all factors above 1.
func maxSurge(surges []Surge, tenant string) float64 {
	multiple := 1.0
	for _, s := range surges {
		if s.Factor > 1 && (s.Tenant == "" || s.Tenant == tenant) {
			multiple *= s.Factor
		}
	}
	return multiple
}

// applyHotKeys replaces the key of a read if an element of HotKeys applies to it.
func (t *LoadConfig) applyHotKeys(a *Arrival, draw float64, keyDraw uint64) {
	for i, f := range t.HotKeys {
		if a.At < f.From || a.At >= f.To || draw >= f.Share {
			continue
		}
		if a.KeyUsedOnce = f.Keys == 0; a.KeyUsedOnce {
			a.Key = "once-" + a.ID
		} else {
			a.Key = fmt.Sprintf("hot-%d-%d", i, keyDraw%uint64(f.Keys))
		}
		return
	}
}

// weightedPicker returns a function that draws an index with a probability proportional to its weight.
func weightedPicker(weights []float64) func(*rand.Rand) int {
	sums, sum := make([]float64, len(weights)), 0.0
	for i, w := range weights {
		sum += w
		sums[i] = sum
	}
	return func(r *rand.Rand) int {
		return min(sort.SearchFloat64s(sums, r.Float64()*sum), max(0, len(sums)-1))
	}
}

// popularityPicker returns a function that draws keys by popularity: the weight of the n-th key is 1/n^zipf.
func popularityPicker(keys int, zipf float64) func(*rand.Rand) int {
	if zipf <= 0 {
		return func(r *rand.Rand) int { return r.IntN(max(1, keys)) }
	}
	weights := make([]float64, max(1, keys))
	for i := range weights {
		weights[i] = math.Pow(float64(i+1), -zipf)
	}
	return weightedPicker(weights)
}

// KeyName returns the name of the n-th key; the first is the most popular.
func KeyName(n int) string { return "line-" + strconv.Itoa(n) }

// RetryPolicy configures the retries of a client whose request was not fulfilled.
type RetryPolicy struct {
	MaxRetries    int           // maximum number of retries
	InitialDelay  time.Duration // mean delay before the first retry, doubled for each further one
	HonourRatio   float64       // probability that the client waits as long as the answer requests
	MaxRetryAfter time.Duration // upper limit of that wait
}

// NextDelay returns how long a client waits before its next retry, and whether it retries. Sent is how often it has sent the
// request. It retries only if that is harmless.
func (t RetryPolicy) NextDelay(r *rand.Rand, sent int, harmless bool, retryAfter time.Duration) (wait time.Duration, retry bool) {
	if sent > t.MaxRetries || !harmless {
		return 0, false
	}
	wait = t.InitialDelay << (sent - 1)
	wait = wait/2 + time.Duration(r.Float64()*float64(wait))
	if retryAfter > 0 && r.Float64() < t.HonourRatio {
		wait = max(wait, min(retryAfter, t.MaxRetryAfter))
	}
	return wait, true
}
