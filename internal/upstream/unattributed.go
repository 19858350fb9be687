package upstream

import (
	"errors"
	"time"

	"streamrail/internal/pool"
	"streamrail/policy"
)

// Cause states why data from a host was not taken as the answer to an attempt.
type Cause int

const (
	UnexpectedData  Cause = iota // it came while no attempt was waiting for an answer on the connection
	ForeignID                    // it has the id of another request
	MalformedAnswer              // it is not an answer to such a request
	causeCount
)

func (c Cause) String() string {
	return [...]string{"unexpected_data", "foreign_id", "malformed"}[c]
}

// Unattributed describes data from a host that was not taken as the answer to an attempt.
type Unattributed struct {
	Cause       Cause
	Host        policy.HostID
	Connection  pool.Conn
	Exchanges   int           // attempts written to the connection so far
	SinceAnswer time.Duration // since the last complete answer on the connection; 0 if there was none
	Request     []byte        // id of the request whose attempt was waiting; nil if none was; valid only during the call
	Err         error         // what was wrong; nil for UnexpectedData
}

// reportDisbelieved reports an answer that was not taken as the answer to an attempt.
func (c *conn) reportDisbelieved(a *Attempt, err error) {
	switch {
	case errors.Is(err, errForeignID):
		c.report(ForeignID, a, err)
	default:
		c.report(MalformedAnswer, a, err)
	}
}

func (c *conn) report(cause Cause, a *Attempt, err error) {
	c.hosts.unattributed[cause].Add(1)
	if c.hosts.OnUnattributed == nil {
		return
	}
	u := Unattributed{Cause: cause, Host: c.hostID, Connection: c.id, Exchanges: c.exchanges, Err: err}
	if a != nil {
		u.Request = a.Command.ID
	}
	if !c.answeredAt.IsZero() {
		u.SinceAnswer = time.Since(c.answeredAt)
	}
	c.hosts.OnUnattributed(u)
}

// closeStats counts closed connections by reason.
type closeStats [pool.ReasonCount]int64

// Stats are counts since the start.
type Stats struct {
	Closed       map[string]int64 // closed connections by reason; a reason that never occurred is absent
	Unattributed map[string]int64 // data that belonged to no attempt, by cause
}

// Stats returns the counts of closed connections and of unattributed data.
func (hs *Hosts) Stats() Stats {
	stats := Stats{Closed: map[string]int64{}, Unattributed: map[string]int64{}}
	for cause := range causeCount {
		stats.Unattributed[cause.String()] = hs.unattributed[cause].Load()
	}
	hs.mu.Lock()
	defer hs.mu.Unlock()
	for why, n := range hs.closed {
		if n > 0 {
			stats.Closed[pool.Reason(why).String()] = n
		}
	}
	return stats
}
