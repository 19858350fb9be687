package model

import (
	"hash/fnv"
	"math"
	"math/rand/v2"
	"time"
)

// Stream is a source of chance of its own for a name: what one part of the world draws moves no other part.
func Stream(seed uint64, name string) *rand.Rand {
	h := fnv.New64a()
	h.Write([]byte(name))
	return rand.New(rand.NewPCG(seed, h.Sum64()))
}

// Law is how the work of a product is spread.
type Law string

const (
	Exponential Law = "exponential"
	LogNormal   Law = "lognormal"
	Constant    Law = "constant"
)

// Work draws how much work a call is: the same for each of its attempts and in each run with the seed, wherever and
// whenever it is done. Variation is the standard deviation over the mean; the exponential law has 1.
func Work(seed uint64, id string, law Law, mean time.Duration, variation float64) time.Duration {
	if law == Constant || mean <= 0 {
		return mean
	}
	r := Stream(seed, "work "+id)
	if law == Exponential {
		return time.Duration(r.ExpFloat64() * float64(mean))
	}
	s := math.Sqrt(math.Log(1 + variation*variation))
	return time.Duration(float64(mean) * math.Exp(s*r.NormFloat64()-s*s/2))
}

// between draws evenly from a range.
func between(r *rand.Rand, low, high time.Duration) time.Duration {
	if high <= low {
		return low
	}
	return low + time.Duration(r.Int64N(int64(high-low)+1))
}
