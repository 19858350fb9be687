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
	Marked        bool // its requests carry a deduplication token
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
	Times    float64
}

// Focus directs a fraction of the reads to a separate set of keys for some time.
type Focus struct {
	From, To time.Duration
	Part     float64
	Keys     int // number of these keys, read equally often; 0: each read has a key of its own
}

// LoadTerms configures the traffic of the clients.
type LoadTerms struct {
	For      time.Duration
	PerS     float64 // requests per second of all tenants, without surges
	Swing    float64 // the rate varies by this fraction as a sine wave of period SwingFor
	SwingFor time.Duration
	Keys     int
	Zipf     float64 // exponent of the Zipf distribution of keys; 0: all keys equally popular
	Zones    []float64
	Products []Product
	Tenants  []Tenant
	Surges   []Surge
	Focuses  []Focus
	GiveUpAt [2]float64 // range from which the fraction of the client timeout is drawn after which a client gives up
}

// Arrival is a request that a client sends at a given time.
type Arrival struct {
	ID              string
	At              time.Duration
	Tenant, Product int
	Key             string
	Mark            string
	Zone            int
	Patience        time.Duration // how long its client waits for the answer
	Once            bool          // no other request has its key
}

// MostArrivals limits the number of requests of a run; that many arrivals take about 400 MB of memory.
const MostArrivals = 2 << 20

// Arrivals draws the requests of a run, in order. Each tenant has its own random number generator, so that a surge of one tenant
// does not change the requests of the others.
func Arrivals(seed uint64, t LoadTerms) ([]Arrival, error) {
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
		r := Stream(seed, "arrivals "+tenant.Name)
		usualRate := t.PerS * tenant.Share / total
		maxRate := usualRate * (1 + t.Swing) * maxSurge(t.Surges, tenant.Name)
		if maxRate <= 0 {
			continue
		}
		// Thinning: draws arrivals at the highest rate of the run and keeps each with the probability of the current rate divided
		// by the highest.
		for at, n := time.Duration(0), 0; ; {
			at += time.Duration(r.ExpFloat64() / maxRate * float64(time.Second))
			if at >= t.For {
				break
			}
			keep := r.Float64() < usualRate*t.rateMultiple(at, tenant.Name)/maxRate
			a := Arrival{At: at, Tenant: i, Product: pickProduct(r), Zone: pickZone(r)}
			key, focusDraw, focusKeyDraw := pickKey(r), r.Float64(), r.Uint64()
			giveUpPart := t.GiveUpAt[0] + (t.GiveUpAt[1]-t.GiveUpAt[0])*r.Float64()
			if !keep {
				continue
			}
			n++
			p := t.Products[a.Product]
			a.ID = fmt.Sprintf("%x-%x", i, n)
			a.Key, a.Patience = KeyName(key), time.Duration(giveUpPart*float64(p.ClientTimeout))
			if p.Marked {
				a.Mark = "m" + a.ID
			}
			if !p.Write {
				t.applyFocus(&a, focusDraw, focusKeyDraw)
			}
			if all = append(all, a); len(all) > MostArrivals {
				return nil, fmt.Errorf("more than %d requests in the run", MostArrivals)
			}
		}
	}
	slices.SortStableFunc(all, func(x, y Arrival) int { return int(x.At - y.At) })
	return all, nil
}

// rateMultiple returns the rate of a tenant at a given time as a multiple of its usual rate.
func (t *LoadTerms) rateMultiple(now time.Duration, tenant string) float64 {
	multiple := 1.0
	if t.SwingFor > 0 {
		multiple += t.Swing * math.Sin(2*math.Pi*float64(now)/float64(t.SwingFor))
	}
	for _, s := range t.Surges {
		if now >= s.From && now < s.To && (s.Tenant == "" || s.Tenant == tenant) {
			multiple *= s.Times
		}
	}
	return multiple
}

// maxSurge returns an upper bound of the rate multiple that a tenant's surges can reach: the product of all factors above 1.
func maxSurge(surges []Surge, tenant string) float64 {
	multiple := 1.0
	for _, s := range surges {
		if s.Times > 1 && (s.Tenant == "" || s.Tenant == tenant) {
			multiple *= s.Times
		}
	}
	return multiple
}

// applyFocus replaces the key of a read if a focus applies to it.
func (t *LoadTerms) applyFocus(a *Arrival, draw float64, keyDraw uint64) {
	for i, f := range t.Focuses {
		if a.At < f.From || a.At >= f.To || draw >= f.Part {
			continue
		}
		if a.Once = f.Keys == 0; a.Once {
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

// Retry configures the retries of a client whose request was not fulfilled.
type Retry struct {
	Tries    int           // maximum number of retries
	Wait     time.Duration // mean delay before the first retry, doubled for each further one
	Honour   float64       // probability that the client waits as long as the answer asks it to
	HonourTo time.Duration // upper limit of that wait
}

// Next returns how long a client waits before its next retry, and whether it retries. It retries only if that is harmless.
func (t Retry) Next(r *rand.Rand, tries int, harmless bool, retryAfter time.Duration) (wait time.Duration, retry bool) {
	if tries > t.Tries || !harmless {
		return 0, false
	}
	wait = t.Wait << (tries - 1)
	wait = wait/2 + time.Duration(r.Float64()*float64(wait))
	if retryAfter > 0 && r.Float64() < t.Honour {
		wait = max(wait, min(retryAfter, t.HonourTo))
	}
	return wait, true
}
