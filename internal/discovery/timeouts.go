package discovery

import "time"

// maxNotificationDelay is the time after which a balancer counts as notified of a change of the list, whether or not it received
// it. It is measured from when discovery has the change and is reachable, regardless of earlier calls and of whether a
// watch is open, unresponsive or absent.
const maxNotificationDelay = 6 * time.Second

// Timeouts holds the timeouts and delays of a Watch. A call that exceeds a timeout is late: it stays open, and another call is made beside
// it. Together they have to fit one budget: a watch that stops responding must be detected and polled again, and the response be
// applied, before the missed change has to take effect. See docs/notes/drain.md.
type Timeouts struct {
	LongPoll                 time.Duration // how long one call may wait for changes; drawn from 7/8 of it up, so that balancers do not poll in step
	ResponseGrace            time.Duration // beyond LongPoll, until a response begins; after that the watch counts as unresponsive
	SnapshotResponse         time.Duration // until the response to a request for a snapshot begins
	RepeatedSnapshotResponse time.Duration // the same for a request made beside one that is late
	Read                     time.Duration // of one read, once a response has begun
	Body                     time.Duration // until the next minProgressBytes of a response that has begun, or its end
	Connect                  time.Duration // to open the connection
	FirstRetryDelay          time.Duration // delay after a failed call; doubled with each further failure, up to MaxRetryDelay
	MaxRetryDelay            time.Duration // upper bound of that delay
	OpenCalls                int           // how many calls may be open at a time: the latest one, and earlier ones whose response is late
}

const (
	maxRetryDelay = 2 * time.Second       // caps Timeouts.MaxRetryDelay however long the grace
	minDelay      = 10 * time.Millisecond // lower bound of Timeouts.Connect and Timeouts.MaxRetryDelay however short the grace
)

// NewTimeouts returns the timeouts for a drain grace, the time within which sends to a leaving host must end. Where lists are pushed to
// a local agent, calls to it do not load discovery, and the balancer counts as notified of what the agent has whether or not
// a watch is open.
func NewTimeouts(grace time.Duration, pushed bool) Timeouts {
	t := Timeouts{ResponseGrace: maxNotificationDelay / 6, SnapshotResponse: maxNotificationDelay / 2, Read: maxNotificationDelay / 4}
	if pushed { // two watches in a row may get no response; the grace is left for the third
		t.LongPoll = maxNotificationDelay / 3
		t.Body = maxNotificationDelay / 3
		t.OpenCalls = 6
		t.RepeatedSnapshotResponse = t.SnapshotResponse
		t.Connect = grace / 4
		t.MaxRetryDelay = max(minDelay, min(grace/4, maxRetryDelay))
	} else { // each call loads discovery, so poll as rarely as leaves 1/6 and the grace for the call after an unresponsive one
		t.LongPoll = maxNotificationDelay * 2 / 3
		t.Body = maxNotificationDelay / 2
		t.OpenCalls = 5 // each one loads discovery, and the next one follows later
		t.RepeatedSnapshotResponse = maxNotificationDelay * 5 / 6
		t.Connect = (maxNotificationDelay/6 + grace) / 4
		t.MaxRetryDelay = maxRetryDelay
	}
	t.Connect = max(minDelay, min(t.Connect, time.Second)) // the agent is on this machine
	t.FirstRetryDelay = min(100*time.Millisecond, t.MaxRetryDelay)
	return t
}

// drawPollWait returns how long the next call may wait for changes; fraction is a random number in [0, 1).
func (p Timeouts) drawPollWait(fraction float64) time.Duration {
	return (p.LongPoll - time.Duration(fraction*float64(p.LongPoll/8))).Truncate(time.Millisecond)
}
