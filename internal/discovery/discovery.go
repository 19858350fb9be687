// Package discovery follows the list of cache hosts.
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

// Host is one entry of the list with its address.
type Host struct {
	policy.Entry
	Addr string
}

// List is one answer of discovery.
type List struct {
	Generation int64
	Whole      bool
	Hosts      []Host
	Unread     []Unread
	At         time.Time // it had begun to arrive; what it tells holds from then on. Zero: not known
}

// Unread is an entry that cannot be used: of an id, empty where it has none, and what can be made out of its condition.
type Unread struct {
	Cache     policy.CacheID
	Condition policy.Condition // Up where nothing else is said
	Why       error
}

// olderThan tells whether a whole list is of a state before a known version.
func (l List) olderThan(known int64) bool { return l.Whole && l.Generation < known }

// Stands tells that an answer, as nearly all do, says all by itself: Over would leave it as it is, whatever the list of the known
// version holds.
func (l List) Stands(known int64) bool { return !l.olderThan(known) && len(l.Unread) == 0 }

// Over completes an answer by what was known before it. A host whose entry cannot be read stays as it was, but for leaving;
// where an entry of a whole list does not even tell its id, it may be that of any host not named. A whole list of a version
// before the known one is an older state, or another discovery's: it cannot take back that a process leaves; a later change can.
func (l List) Over(known List) List {
	if l.Stands(known.Generation) {
		return l
	}
	older := l.olderThan(known.Generation)
	was := make(map[policy.CacheID]Host, len(known.Hosts))
	for _, h := range known.Hosts {
		was[h.Cache] = h
	}
	if older {
		for i, h := range l.Hosts {
			if o, ok := was[h.Cache]; ok && o.Born == h.Born {
				l.Hosts[i].Condition = max(h.Condition, o.Condition)
			}
		}
	}
	nameless, worse := false, map[policy.CacheID]policy.Condition{}
	for _, u := range l.Unread {
		nameless = nameless || u.Cache == ""
		worse[u.Cache] = max(worse[u.Cache], u.Condition)
	}
	for _, h := range l.Hosts {
		delete(was, h.Cache)
	}
	for _, h := range known.Hosts {
		condition, unread := worse[h.Cache]
		if _, left := was[h.Cache]; left && (unread || l.Whole && nameless) {
			h.Condition = max(h.Condition, condition)
			l.Hosts = append(l.Hosts, h)
		}
	}
	return l
}

const mostBytes = 8 << 20 // a list of some ten thousand hosts

// ErrAgain is of a call that is to be made anew at once: what the list at hand misses must hold soon. It waited as long as it may
// and got no answer, or not the whole of one; or the first of its answers that cannot be taken.
var ErrAgain = errors.New("asked anew at once")

// Watch asks for the list, then for what changes.
type Watch struct {
	Addr   string
	Names  Names
	Pace   Pace
	Has    bool                                                              // a list is at hand, from wherever
	Dial   func(ctx context.Context, network, addr string) (net.Conn, error) // nil: the network's
	conn   net.Conn
	in     *bufio.Reader
	pieces *pieces
	after  int64
	begun  bool // it asks for changes
	spoilt bool // the last answer could not be taken
}

// From has the watch ask for what changed after a list that is known already.
func (w *Watch) From(generation int64) { w.begun, w.Has, w.after = true, true, generation }

// unusable is an answer that came and cannot be taken.
type unusable struct{ error }

// Next waits for the next answer; it may bring no hosts. After an answer that cannot be taken the next call starts
// over with the whole list. After a call that failed it does not: the list at hand is as good as it was, and whole
// lists for all, asked for again and again, are what keeps a discovery that was busy for a moment busy for good.
func (w *Watch) Next(ctx context.Context) (List, error) {
	l, err := w.ask(ctx)
	if err != nil {
		w.Close()
		again := errors.Is(err, os.ErrDeadlineExceeded)
		if errors.As(err, &unusable{}) {
			again, w.begun, w.spoilt = !w.spoilt, false, true
		}
		switch {
		case !w.Has || !again:
		case w.spoilt:
			err = fmt.Errorf("%w: %w", ErrAgain, err)
		default:
			err = fmt.Errorf("the watch has fallen silent, %w: %w", ErrAgain, err)
		}
		return List{}, err
	}
	w.From(l.Generation)
	w.spoilt = false
	if !l.Whole && slices.ContainsFunc(l.Unread, func(u Unread) bool { return u.Cache == "" }) {
		w.begun = false // a change of nobody knows whom; the whole list may tell
	}
	return l, nil
}

// Close drops the connection.
func (w *Watch) Close() {
	if w.conn != nil {
		w.conn.Close()
		w.conn = nil
	}
}

// pieces reads an answer that has begun, each piece in its time and all of them in theirs.
type pieces struct {
	net.Conn
	each time.Duration // 0: it has not begun
	end  time.Time
}

func (p *pieces) next() {
	if at := time.Now().Add(p.each); p.each > 0 && at.Before(p.end) {
		p.SetDeadline(at)
	} else if p.each > 0 {
		p.SetDeadline(p.end)
	}
}

func (p *pieces) Read(b []byte) (int, error) {
	n, err := p.Conn.Read(b)
	p.next()
	return n, err
}

func (w *Watch) dial(ctx context.Context) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, w.Pace.Connect)
	defer cancel()
	if w.Dial != nil {
		return w.Dial(ctx, "tcp", w.Addr)
	}
	return new(net.Dialer).DialContext(ctx, "tcp", w.Addr)
}

func (w *Watch) ask(ctx context.Context) (l List, err error) {
	target, wait := "/api/targets", w.Pace.Whole
	if w.begun {
		may := w.Pace.draw(rand.Float64())
		target += "?after=" + strconv.FormatInt(w.after, 10) + "&wait_ms=" + strconv.FormatInt(may.Milliseconds(), 10)
		wait = may + w.Pace.Answer
	}
	if w.conn == nil {
		if w.conn, err = w.dial(ctx); err != nil {
			return l, err
		}
		w.pieces = &pieces{Conn: w.conn}
		w.in = bufio.NewReader(w.pieces)
	}
	conn, pieces := w.conn, w.pieces
	pieces.each = 0
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	conn.SetDeadline(time.Now().Add(wait))
	if _, err = conn.Write(httpwire.AppendRequest(nil, "GET", target, w.Addr, -1)); err != nil {
		return l, err
	}
	if _, err = w.in.Peek(1); err != nil {
		return l, fmt.Errorf("nothing for %v: %w", wait, err)
	}
	begun := time.Now()
	pieces.end, pieces.each = begun.Add(w.Pace.Pieces), w.Pace.Piece // it has begun, and a long list may come in pieces
	pieces.next()
	r, err := httpwire.Read(w.in, mostBytes, mostBytes, func(int) bool { return true })
	if err != nil {
		return l, err
	}
	if r.Status/100 == 4 { // it does not know the version, say
		return l, unusable{fmt.Errorf("status %d", r.Status)}
	}
	if r.Status != 200 {
		return l, fmt.Errorf("status %d", r.Status)
	}
	if l, err = w.Names.Parse(r.Body); err != nil {
		return l, unusable{err}
	}
	l.At = begun
	switch {
	case l.Whole:
	case !w.begun:
		return l, unusable{errors.New("changes where the whole list was asked for")}
	case l.Generation < w.after: // another discovery, or one that has lost its past
		return l, unusable{fmt.Errorf("changes of version %d after version %d", l.Generation, w.after)}
	}
	if r.Close {
		w.Close()
	}
	return l, nil
}
