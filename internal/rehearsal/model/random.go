package model

import (
	"hash/fnv"
	"math"
	"math/rand/v2"
	"time"
)

// NewRand returns a random number generator for a seed and a name. Each part of a model has its own, so that the draws of one
// part do not affect the others.
func NewRand(seed uint64, name string) *rand.Rand {
	h := fnv.New64a()
	h.Write([]byte(name))
	return rand.New(rand.NewPCG(seed, h.Sum64()))
}

// Distribution is the distribution of the work of a product's requests.
type Distribution string

const (
	Exponential Distribution = "exponential"
	LogNormal   Distribution = "lognormal"
	Constant    Distribution = "constant"
)

// RequestWork draws the work of a request. It depends only on the seed and the request, so each attempt takes the same work on
// any host and in every run with the seed. Variation is the standard deviation divided by the mean; it is 1 for Exponential.
func RequestWork(seed uint64, id string, distribution Distribution, mean time.Duration, variation float64) time.Duration {
	if distribution == Constant || mean <= 0 {
		return mean
	}
	r := NewRand(seed, "work "+id)
	if distribution == Exponential {
		return time.Duration(r.ExpFloat64() * float64(mean))
	}
	s := math.Sqrt(math.Log(1 + variation*variation))
	return time.Duration(float64(mean) * math.Exp(s*r.NormFloat64()-s*s/2))
}

// uniform draws a duration uniformly from a range.
func uniform(r *rand.Rand, low, high time.Duration) time.Duration {
	if high <= low {
		return low
	}
	return low + time.Duration(r.Int64N(int64(high-low)+1))
}
