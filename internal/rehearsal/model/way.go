package model

import (
	"math/rand/v2"
	"time"
)

// WayTerms configures how a network link in one direction between two balancers treats datagrams.
type WayTerms struct {
	Cut       bool          // nothing arrives
	Loss      float64       // fraction that is lost
	Delay     time.Duration // of each datagram
	Jitter    time.Duration // maximum of the random delay added to Delay
	Repeat    float64       // fraction that is delivered twice
	Reorder   float64       // fraction that is delayed by Late, so that others overtake it
	Late      time.Duration
	Spoil     float64 // fraction with one byte changed
	BytesPerS float64 // bandwidth; 0: unlimited
}

// Way models a network link in one direction between two balancers. It has no clock and does no I/O: it computes when a datagram
// that is sent now arrives.
type Way struct {
	WayTerms
	rng          *rand.Rand
	queueEmptyAt time.Duration // with limited bandwidth: when everything sent so far has been transmitted
	arrivals     []Passed
}

// Passed is one arriving copy of a datagram.
type Passed struct {
	At      time.Duration
	Spoilt  bool
	SpoilAt float64 // position of the changed byte as a fraction of the length
}

// NewWay returns a link that draws its random numbers from rng.
func NewWay(t WayTerms, rng *rand.Rand) *Way { return &Way{WayTerms: t, rng: rng} }

// maxQueueDelay limits the queue in front of a link with limited bandwidth, as the queue of a network device does. Datagrams
// beyond it are lost.
const maxQueueDelay = 500 * time.Millisecond

// Pass returns the copies of a datagram that arrive, and when. The result is valid until the next call.
func (w *Way) Pass(now time.Duration, bytes int) []Passed {
	w.arrivals = w.arrivals[:0]
	if w.Cut || w.occurs(w.Loss) {
		return w.arrivals
	}
	at := now
	if w.BytesPerS > 0 {
		w.queueEmptyAt = max(w.queueEmptyAt, now) + time.Duration(float64(bytes)/w.BytesPerS*float64(time.Second))
		if w.queueEmptyAt > now+maxQueueDelay {
			w.queueEmptyAt = now + maxQueueDelay
			return w.arrivals
		}
		at = w.queueEmptyAt
	}
	copies := 1
	if w.occurs(w.Repeat) {
		copies = 2
	}
	for range copies {
		p := Passed{At: at + w.Delay}
		if w.Jitter > 0 {
			p.At += time.Duration(w.rng.Int64N(int64(w.Jitter)))
		}
		if w.occurs(w.Reorder) {
			p.At += w.Late
		}
		if w.occurs(w.Spoil) {
			p.Spoilt, p.SpoilAt = true, w.rng.Float64()
		}
		w.arrivals = append(w.arrivals, p)
	}
	return w.arrivals
}

func (w *Way) occurs(p float64) bool {
	return p > 0 && w.rng.Float64() < p
}
