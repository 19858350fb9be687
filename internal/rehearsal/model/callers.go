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

// Product is a kind of request.
type Product struct {
	Name          string
	Share         float64 // of all requests
	LatencySLO    time.Duration
	ClientTimeout time.Duration
	BilledValue   float64
	Write         bool
	Marked        bool // its writes carry a mark against repeats
}

// Tenant is who calls.
type Tenant struct {
	Name  string
	Share float64 // of the usual traffic
}

// Surge multiplies the traffic of a tenant, or of all, for some time.
type Surge struct {
	From, To time.Duration
	Tenant   string // "": all
	Times    float64
}

// Focus turns a part of the reads to keys of its own for some time.
type Focus struct {
	From, To time.Duration
	Part     float64
	Keys     int // that share them evenly; 0: each is wanted exactly once
}

// LoadTerms is what the callers do.
type LoadTerms struct {
	For      time.Duration
	PerS     float64 // all requests, without surges
	Swing    float64 // the rate goes up and down by this part, once in SwingFor
	SwingFor time.Duration
	Keys     int
	Zipf     float64 // exponent of the popularity of keys, over 0; 0: all alike
	Zones    []float64
	Products []Product
	Tenants  []Tenant
	Surges   []Surge
	Focuses  []Focus
	GiveUpAt [2]float64 // a try is given up after this part of the client timeout
}

// Arrival is a request that a client wants to make at a moment.
type Arrival struct {
	ID              string
	At              time.Duration
	Tenant, Product int
	Key             string
	Mark            string
	Zone            int
	Patience        time.Duration // how long its client waits for the answer
	Once            bool          // its key is wanted by no other
}

// MostArrivals bounds a day: about 400 MB of plan.
const MostArrivals = 2 << 20

// Arrivals draws a day's requests, in order. Each tenant draws from a stream of its own, so that a surge of one leaves
// the others' calls as they were.
func Arrivals(seed uint64, t LoadTerms) ([]Arrival, error) {
	var all []Arrival
	pick := chooser(t.Keys, t.Zipf)
	shares := make([]float64, len(t.Products))
	for i, p := range t.Products {
		shares[i] = p.Share
	}
	product, zone := weighted(shares), weighted(t.Zones)
	total := 0.0
	for _, x := range t.Tenants {
		total += x.Share
	}
	for i, tenant := range t.Tenants {
		r := Stream(seed, "arrivals "+tenant.Name)
		base := t.PerS * tenant.Share / total
		most := base * (1 + t.Swing) * highest(t.Surges, tenant.Name)
		if most <= 0 {
			continue
		}
		// Thinning: arrivals at the highest rate of the day, of which each is kept with the part of it that holds then.
		for at, n := time.Duration(0), 0; ; {
			at += time.Duration(r.ExpFloat64() / most * float64(time.Second))
			if at >= t.For {
				break
			}
			keep := r.Float64() < base*t.at(at, tenant.Name)/most
			a := Arrival{At: at, Tenant: i, Product: product(r), Zone: zone(r)}
			key, part, spread := pick(r), r.Float64(), r.Uint64()
			give := t.GiveUpAt[0] + (t.GiveUpAt[1]-t.GiveUpAt[0])*r.Float64()
			if !keep {
				continue
			}
			n++
			p := t.Products[a.Product]
			a.ID = fmt.Sprintf("%x-%x", i, n)
			a.Key, a.Patience = KeyName(key), time.Duration(give*float64(p.ClientTimeout))
			if p.Marked {
				a.Mark = "m" + a.ID
			}
			if !p.Write {
				t.focus(&a, part, spread)
			}
			if all = append(all, a); len(all) > MostArrivals {
				return nil, fmt.Errorf("more than %d requests in the day", MostArrivals)
			}
		}
	}
	slices.SortStableFunc(all, func(x, y Arrival) int { return int(x.At - y.At) })
	return all, nil
}

// at is the rate of a tenant at a moment, as a multiple of its usual one.
func (t *LoadTerms) at(now time.Duration, tenant string) float64 {
	times := 1.0
	if t.SwingFor > 0 {
		times += t.Swing * math.Sin(2*math.Pi*float64(now)/float64(t.SwingFor))
	}
	for _, s := range t.Surges {
		if now >= s.From && now < s.To && (s.Tenant == "" || s.Tenant == tenant) {
			times *= s.Times
		}
	}
	return times
}

// highest bounds the surges of a tenant: all that fall together at most.
func highest(surges []Surge, tenant string) float64 {
	times := 1.0
	for _, s := range surges {
		if s.Times > 1 && (s.Tenant == "" || s.Tenant == tenant) {
			times *= s.Times
		}
	}
	return times
}

func (t *LoadTerms) focus(a *Arrival, part float64, spread uint64) {
	for i, f := range t.Focuses {
		if a.At < f.From || a.At >= f.To || part >= f.Part {
			continue
		}
		if a.Once = f.Keys == 0; a.Once {
			a.Key = "once-" + a.ID
		} else {
			a.Key = fmt.Sprintf("hot-%d-%d", i, spread%uint64(f.Keys))
		}
		return
	}
}

// weighted draws an index by its weight.
func weighted(weights []float64) func(*rand.Rand) int {
	sums, sum := make([]float64, len(weights)), 0.0
	for i, w := range weights {
		sum += w
		sums[i] = sum
	}
	return func(r *rand.Rand) int {
		return min(sort.SearchFloat64s(sums, r.Float64()*sum), max(0, len(sums)-1))
	}
}

// chooser draws keys by their popularity: the n-th has 1/n^zipf.
func chooser(keys int, zipf float64) func(*rand.Rand) int {
	if zipf <= 0 {
		return func(r *rand.Rand) int { return r.IntN(max(1, keys)) }
	}
	weights := make([]float64, max(1, keys))
	for i := range weights {
		weights[i] = math.Pow(float64(i+1), -zipf)
	}
	return weighted(weights)
}

// KeyName is how the n-th key is called; the first is the most popular.
func KeyName(n int) string { return "line-" + strconv.Itoa(n) }

// Retry is what a client does after a try that was not fulfilled.
type Retry struct {
	Tries    int           // besides the first
	Wait     time.Duration // before the first of them, doubled each time
	Honour   float64       // chance that it waits as long as it was told
	HonourTo time.Duration // the longest it does so
}

// Next tells how long a client waits before it tries again, if it does. Only what is harmless is tried again.
func (t Retry) Next(r *rand.Rand, tries int, harmless bool, told time.Duration) (wait time.Duration, again bool) {
	if tries > t.Tries || !harmless {
		return 0, false
	}
	wait = t.Wait << (tries - 1)
	wait = wait/2 + time.Duration(r.Float64()*float64(wait))
	if told > 0 && r.Float64() < t.Honour {
		wait = max(wait, min(told, t.HonourTo))
	}
	return wait, true
}
