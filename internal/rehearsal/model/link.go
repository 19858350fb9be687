package model

import (
	"math/rand/v2"
	"time"
)

// LinkConfig configures how a network link in one direction between two balancers treats datagrams.
type LinkConfig struct {
	Cut            bool          // nothing arrives
	LossRatio      float64       // fraction that is lost
	Delay          time.Duration // of each datagram
	Jitter         time.Duration // maximum of the random delay added to Delay
	DuplicateRatio float64       // fraction that is delivered twice
	ReorderRatio   float64       // fraction that is delayed by ReorderDelay, so that others overtake it
	ReorderDelay   time.Duration
	CorruptRatio   float64 // fraction with one byte changed
	BytesPerSecond float64 // bandwidth; 0: unlimited
}

// Link models a network link in one direction between two balancers. It has no clock and does no I/O: it computes when a datagram
// that is sent now arrives.
type Link struct {
	LinkConfig
	rng          *rand.Rand
	queueEmptyAt time.Duration // with limited bandwidth: when everything sent so far has been transmitted
	arrivals     []Delivery
}

// Delivery is one arriving copy of a datagram.
type Delivery struct {
	At        time.Duration
	Corrupt   bool
	CorruptAt float64 // position of the changed byte as a fraction of the length
}

// NewLink returns a link that draws its random numbers from rng.
func NewLink(t LinkConfig, rng *rand.Rand) *Link { return &Link{LinkConfig: t, rng: rng} }

// maxQueueDelay limits the queue in front of a link with limited bandwidth, as the queue of a network device does. Datagrams
// beyond it are lost.
const maxQueueDelay = 500 * time.Millisecond

// Send returns the copies of a datagram that arrive, and when. The result is valid until Send is called again.
func (w *Link) Send(now time.Duration, bytes int) []Delivery {
	w.arrivals = w.arrivals[:0]
	if w.Cut || w.occurs(w.LossRatio) {
		return w.arrivals
	}
	at := now
	if w.BytesPerSecond > 0 {
		w.queueEmptyAt = max(w.queueEmptyAt, now) + time.Duration(float64(bytes)/w.BytesPerSecond*float64(time.Second))
		if w.queueEmptyAt > now+maxQueueDelay {
			w.queueEmptyAt = now + maxQueueDelay
			return w.arrivals
		}
		at = w.queueEmptyAt
	}
	copies := 1
	if w.occurs(w.DuplicateRatio) {
		copies = 2
	}
	for range copies {
		p := Delivery{At: at + w.Delay}
		if w.Jitter > 0 {
			p.At += time.Duration(w.rng.Int64N(int64(w.Jitter)))
		}
		if w.occurs(w.ReorderRatio) {
			p.At += w.ReorderDelay
		}
		if w.occurs(w.CorruptRatio) {
			p.Corrupt, p.CorruptAt = true, w.rng.Float64()
		}
		w.arrivals = append(w.arrivals, p)
	}
	return w.arrivals
}

func (w *Link) occurs(p float64) bool {
	return p > 0 && w.rng.Float64() < p
}
