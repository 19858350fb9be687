// Package discovery fetches the list of cache hosts from the discovery service and follows its changes by long polling.
package discovery

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"strconv"
	"time"

	"streamrail/internal/httpwire"
	"streamrail/policy"
)

// Host is one entry of the host list and the host's address.
type Host struct {
	policy.HostEntry
	Addr string
}

// List is one response from discovery: a snapshot of all hosts, or the changes since an earlier generation.
type List struct {
	Generation int64
	Snapshot   bool // a snapshot, not changes
	Hosts      []Host
	Unusable   []UnusableEntry
	ReceivedAt time.Time // when its first byte arrived, from which on the list applies; zero if unknown
}

// UnusableEntry is an entry that cannot be used, with its id (empty if missing) and the condition as far as it could be read.
type UnusableEntry struct {
	HostID    policy.HostID
	Condition policy.Condition // Up if none was given
	Err       error
}

// olderThan reports whether the list is a snapshot of a generation before the known one.
func (l List) olderThan(known int64) bool { return l.Snapshot && l.Generation < known }

// IsSelfContained reports whether the list needs nothing from the list known before, so that CompleteFrom would return it unchanged.
// This holds for nearly all responses.
func (l List) IsSelfContained(known int64) bool { return !l.olderThan(known) && len(l.Unusable) == 0 }

// CompleteFrom fills the gaps of the list from the list known before:
//   - A known host whose entry cannot be read keeps its earlier entry, except that the unusable entry may mark it as leaving or
//     gone. If an entry of a snapshot lacks even its id, it may belong to any host that the snapshot does not name, so all
//     those hosts are kept.
//   - A snapshot of a generation before the known one is an earlier state or comes from another discovery server. It cannot
//     revoke that a host process is leaving; a later change can.
func (l List) CompleteFrom(known List) List {
	if l.IsSelfContained(known.Generation) {
		return l
	}
	outdated := l.olderThan(known.Generation)
	knownByID := make(map[policy.HostID]Host, len(known.Hosts))
	for _, h := range known.Hosts {
		knownByID[h.HostID] = h
	}
	if outdated {
		for i, h := range l.Hosts {
			if previous, ok := knownByID[h.HostID]; ok && previous.ListedStart == h.ListedStart {
				l.Hosts[i].Condition = max(h.Condition, previous.Condition)
			}
		}
	}
	unidentified, unreadConditions := false, map[policy.HostID]policy.Condition{}
	for _, u := range l.Unusable {
		unidentified = unidentified || u.HostID == ""
		unreadConditions[u.HostID] = max(unreadConditions[u.HostID], u.Condition)
	}
	for _, h := range l.Hosts {
		delete(knownByID, h.HostID)
	}
	for _, h := range known.Hosts {
		condition, unread := unreadConditions[h.HostID]
		if _, absent := knownByID[h.HostID]; absent && (unread || l.Snapshot && unidentified) {
			h.Condition = max(h.Condition, condition)
			l.Hosts = append(l.Hosts, h)
		}
	}
	return l
}

const maxListBytes = 8 << 20 // room for about ten thousand hosts

// ErrRetryNow marks a failed call of Next that is to be repeated at once, because changes that the current list lacks must take
// effect soon. Either no complete response arrived in time, or the response was unusable and the one before was not.
var ErrRetryNow = errors.New("asked anew at once")

// Watch requests the host list and then, by long polling, its changes.
type Watch struct {
	Addr         string
	Names        NameIndexes
	Timeouts     Timeouts
	HasList      bool                                                              // a list is known, from discovery or another source
	Dial         func(ctx context.Context, network, addr string) (net.Conn, error) // nil means net.Dialer
	conn         net.Conn
	reader       *bufio.Reader
	timed        *timedConn
	calls        int // calls written to the connection
	generation   int64
	watching     bool // polls for changes instead of a snapshot
	lastUnusable bool // the last response could not be used
}

// ResumeFrom makes the watch poll for changes after a generation that is already known.
func (w *Watch) ResumeFrom(generation int64) {
	w.watching, w.HasList, w.generation = true, true, generation
}

// unusableError marks a response that arrived but cannot be used.
type unusableError struct{ error }

// staleError marks a response that may be a second one to an earlier call on the connection.
type staleError struct{ error }

// Next waits for the next response, which may contain no hosts. After an unusable response the next call requests a snapshot.
// After a call that failed it does not: the known list is still valid, and if all balancers kept requesting snapshots, a
// discovery service that was overloaded for a moment would stay overloaded.
func (w *Watch) Next(ctx context.Context) (List, error) {
	l, err := w.poll(ctx)
	if err != nil {
		w.Close()
		retryNow := errors.Is(err, os.ErrDeadlineExceeded)
		if errors.As(err, &unusableError{}) {
			retryNow, w.watching, w.lastUnusable = !w.lastUnusable, false, true
		}
		if errors.As(err, &staleError{}) { // the same call on a new connection tells
			retryNow, w.lastUnusable = !w.lastUnusable, true
		}
		switch {
		case !w.HasList || !retryNow:
		case w.lastUnusable:
			err = fmt.Errorf("%w: %w", ErrRetryNow, err)
		default:
			err = fmt.Errorf("the watch has fallen silent, %w: %w", ErrRetryNow, err)
		}
		return List{}, err
	}
	w.ResumeFrom(l.Generation)
	w.lastUnusable = false
	if !l.Snapshot && slices.ContainsFunc(l.Unusable, func(u UnusableEntry) bool { return u.HostID == "" }) {
		w.watching = false // a change of an unidentified host; a snapshot may name it
		w.Close()          // an older snapshot is believed only as the first response on a connection
	}
	return l, nil
}

// Close closes the connection to discovery, if there is one.
func (w *Watch) Close() {
	if w.conn != nil {
		w.conn.Close()
		w.conn = nil
	}
}

// timedConn limits the time of each read, and of all reads together, once a response has begun to arrive.
type timedConn struct {
	net.Conn
	readTimeout  time.Duration // of one read; 0 until the response begins
	bodyDeadline time.Time
}

func (p *timedConn) extendDeadline() {
	if deadline := time.Now().Add(p.readTimeout); p.readTimeout > 0 && deadline.Before(p.bodyDeadline) {
		p.SetDeadline(deadline)
	} else if p.readTimeout > 0 {
		p.SetDeadline(p.bodyDeadline)
	}
}

func (p *timedConn) Read(b []byte) (int, error) {
	n, err := p.Conn.Read(b)
	p.extendDeadline()
	return n, err
}

func (w *Watch) dial(ctx context.Context) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, w.Timeouts.Connect)
	defer cancel()
	if w.Dial != nil {
		return w.Dial(ctx, "tcp", w.Addr)
	}
	return new(net.Dialer).DialContext(ctx, "tcp", w.Addr)
}

func (w *Watch) poll(ctx context.Context) (l List, err error) {
	target, timeout := "/api/targets", w.Timeouts.SnapshotResponse
	if w.watching {
		pollWait := w.Timeouts.drawPollWait(rand.Float64())
		target += "?after=" + strconv.FormatInt(w.generation, 10) + "&wait_ms=" + strconv.FormatInt(pollWait.Milliseconds(), 10)
		timeout = pollWait + w.Timeouts.ResponseGrace
	}
	if w.conn == nil {
		if w.conn, err = w.dial(ctx); err != nil {
			return l, err
		}
		w.timed = &timedConn{Conn: w.conn}
		w.reader = bufio.NewReader(w.timed)
		w.calls = 0
	}
	w.calls++
	conn, timed := w.conn, w.timed
	timed.readTimeout = 0
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	conn.SetDeadline(time.Now().Add(timeout))
	if _, err = conn.Write(httpwire.AppendRequest(nil, "GET", target, w.Addr, -1)); err != nil {
		return l, err
	}
	if _, err = w.reader.Peek(1); err != nil {
		return l, fmt.Errorf("nothing for %v: %w", timeout, err)
	}
	firstByteAt := time.Now()
	timed.bodyDeadline, timed.readTimeout = firstByteAt.Add(w.Timeouts.Body), w.Timeouts.Read // a long list may arrive in many parts
	timed.extendDeadline()
	response, err := httpwire.Read(w.reader, maxListBytes, maxListBytes, func(int) bool { return true })
	if err != nil {
		return l, err
	}
	if response.Status/100 == 4 { // for example because it does not know the generation
		return l, unusableError{fmt.Errorf("status %d", response.Status)}
	}
	if response.Status != 200 {
		return l, fmt.Errorf("status %d", response.Status)
	}
	if l, err = w.Names.Parse(response.Body); err != nil {
		return l, unusableError{err}
	}
	l.ReceivedAt = firstByteAt
	switch {
	case l.olderThan(w.generation) && w.calls > 1:
		return l, staleError{fmt.Errorf("got a list of generation %d after generation %d on the same connection", l.Generation, w.generation)}
	case l.Snapshot:
	case !w.watching:
		return l, unusableError{errors.New("got changes, expected a snapshot")}
	case l.Generation < w.generation: // another discovery server, or one that lost its state
		return l, unusableError{fmt.Errorf("got changes of generation %d after generation %d", l.Generation, w.generation)}
	}
	if response.Close || w.reader.Buffered() > 0 { // data after the response belongs to no call
		w.Close()
	}
	return l, nil
}
