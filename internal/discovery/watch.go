// Package discovery fetches the list of cache hosts from the discovery service and follows its changes by long polling.
package discovery

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"time"
)

// ErrRetryNow marks a failed call of Next that is to be repeated at once, because changes that the current list lacks must take
// effect soon. Either no complete response arrived in time, or the response was unusable and the one before was not.
var ErrRetryNow = errors.New("asked anew at once")

const (
	// keptCalls is how many of the open calls, the oldest ones, stay open for Watch.patience at least: a slow response comes to them first.
	keptCalls = 2
	// firstPatience is doubled each time that the oldest call is given up, up to maxPatience, until there is a response.
	firstPatience = 30 * time.Second
	// maxPatience is how long a call stays open at most while nothing of its response arrives.
	maxPatience = 2 * time.Minute
)

// Watch requests the host list and then, by long polling, its changes. A call that is late is not given up when the next one is made:
// the first usable response to either counts. So a slow response is received as well as one that follows a lost request.
type Watch struct {
	Addr     string
	Names    NameIndexes
	Timeouts Timeouts
	HasList  bool                                                              // a list is known, from discovery or another source
	Dial     func(ctx context.Context, network, addr string) (net.Conn, error) // nil means net.Dialer

	open         []*call // calls without a response, oldest first
	responses    chan response
	idle         *connection   // for the next call; nil if there is none
	patience     time.Duration // how long the oldest calls stay open at least
	generation   int64
	watching     bool // polls for changes instead of a snapshot
	lastUnusable bool // the last response could not be used
}

// ResumeFrom makes the watch poll for changes after a generation that is already known.
func (w *Watch) ResumeFrom(generation int64) {
	w.watching, w.HasList, w.generation = true, true, generation
}

// Next makes a call and waits for the next response, which may contain no hosts. If resume is not nil, the call is made only when it
// delivers a value or is closed; until then only earlier calls that are still open are waited for. The context applies to the call until
// there is a response, also after Next has returned an error. A partial list ends neither the call nor the time until resume.
//
// After an unusable response the next call requests a snapshot. After a call that failed it does not: the known list is still valid,
// and if all balancers kept requesting snapshots, a discovery service that was overloaded for a moment would stay overloaded.
func (w *Watch) Next(ctx context.Context, resume <-chan struct{}) (List, error) {
	if w.responses == nil {
		w.responses = make(chan response)
	}
	if resume == nil && !w.expectsResponse() {
		w.startCall(ctx)
	}
	for {
		var late <-chan time.Time
		if resume == nil {
			late = time.After(w.untilLate())
		}
		select {
		case r := <-w.responses:
			if list, err, done := w.accept(r, resume == nil); done {
				return list, err
			}
		case <-late:
			if !w.expectsResponse() {
				return List{}, w.lateError()
			}
		case <-resume:
			resume = nil
			if w.HasList || !w.expectsResponse() { // with a list, changes may have to take effect soon
				w.startCall(ctx)
			}
		case <-ctx.Done():
			return List{}, ctx.Err()
		}
	}
}

// Close gives up all open calls and closes the connections to discovery.
func (w *Watch) Close() {
	w.giveUpAll()
	w.closeIdle()
}

func (w *Watch) closeIdle() {
	if w.idle != nil {
		w.idle.Close()
		w.idle = nil
	}
}

func (w *Watch) giveUpAll() {
	for _, c := range w.open {
		c.cancel()
	}
	w.open = nil
}

// lateAt returns the time from which on a response is late: that of the latest call, or that of an earlier one whose response arrives
// steadily. It is the zero time if no call is open. While no list is known no change can be missed, and discovery may be slow because
// many balancers wait for their first list, so two responses that arrive, however slowly, put off further calls.
func (w *Watch) lateAt() (lateAt time.Time) {
	now, arriving := time.Now(), 0
	for i, c := range w.open {
		if at, steady := c.progress.lateness(); (steady || i == len(w.open)-1) && at.After(lateAt) {
			lateAt = at
		}
		if c.progress.isArriving(now) {
			arriving++
		}
	}
	if !w.HasList && arriving > 1 {
		if putOffUntil := w.open[len(w.open)-1].startedAt.Add(maxPatience); putOffUntil.After(lateAt) {
			lateAt = putOffUntil
		}
	}
	return lateAt
}

// untilLate returns how long to wait until a response may be late. Without a list a response that stops may bring that forward.
func (w *Watch) untilLate() time.Duration {
	wait := time.Until(w.lateAt())
	if !w.HasList {
		wait = min(wait, w.Timeouts.Read)
	}
	return wait
}

// expectsResponse reports whether a call is open whose response is not late.
func (w *Watch) expectsResponse() bool { return w.lateAt().After(time.Now()) }

// lateError marks all open calls as late and returns the error that says so.
func (w *Watch) lateError() error {
	for _, c := range w.open {
		c.late = true
	}
	latest := w.open[len(w.open)-1]
	stage := latest.progress.currentStage()
	err := fmt.Errorf("late after %v: %v, calls open: %d", time.Since(latest.startedAt).Round(time.Millisecond), stage, len(w.open))
	switch {
	case !w.HasList || stage == connecting:
		return err
	case w.lastUnusable:
		return fmt.Errorf("%w: %w", ErrRetryNow, err)
	}
	return fmt.Errorf("the watch has fallen silent, %w: %w", ErrRetryNow, err)
}

// startCall makes a call.
func (w *Watch) startCall(ctx context.Context) {
	now := time.Now()
	c := &call{target: "/api/targets", watching: w.watching, known: w.generation, startedAt: now}
	c.leaving.enabled, c.leaving.known = w.HasList, w.generation
	c.progress.timeouts, c.progress.responseTimeout = w.Timeouts, w.Timeouts.SnapshotResponse
	if len(w.open) > 0 {
		c.progress.responseTimeout = w.Timeouts.RepeatedSnapshotResponse
	}
	if w.watching {
		pollWait := w.Timeouts.drawPollWait(rand.Float64())
		c.target += "?after=" + strconv.FormatInt(w.generation, 10) + "&wait_ms=" + strconv.FormatInt(pollWait.Milliseconds(), 10)
		c.progress.responseTimeout = pollWait + w.Timeouts.ResponseGrace
	}
	w.makeRoom(now)
	w.open = append(w.open, c)
	ctx, c.cancel = context.WithCancel(ctx)
	c.progress.start(now)
	conn := w.idle
	w.idle = nil
	go w.carryOut(ctx, c, conn)
}

// makeRoom gives up the calls that have been open for too long, and one more if there are as many as may be open.
func (w *Watch) makeRoom(now time.Time) {
	w.open = slices.DeleteFunc(w.open, func(c *call) bool {
		isTooOld := now.Sub(c.startedAt) >= maxPatience && !c.progress.isArriving(now)
		if isTooOld {
			c.cancel()
		}
		return isTooOld
	})
	if len(w.open) < w.Timeouts.OpenCalls {
		return
	}
	w.patience = max(w.patience, firstPatience)
	victim := w.leastPromising(now)
	if victim == 0 {
		w.patience = min(2*w.patience, maxPatience)
	}
	w.open[victim].cancel()
	w.open = slices.Delete(w.open, victim, victim+1)
}

// leastPromising returns the position of the call to give up. The oldest calls have the best prospect of a slow response, but may have
// been lost with their connections, so they are kept for a limited time only. Calls whose responses arrive steadily are kept, and so is
// the first one whose response arrives at all, unless that leaves none to give up.
func (w *Watch) leastPromising(now time.Time) int {
	first := keptCalls
	if now.Sub(w.open[0].startedAt) >= w.patience {
		first = 0
	}
	firstArriving := slices.IndexFunc(w.open, func(c *call) bool { return c.progress.isArriving(now) })
	for i := first; i < len(w.open); i++ {
		if i != firstArriving && !w.open[i].progress.isSteady(now) {
			return i
		}
	}
	return keptCalls
}

// accept evaluates a response. It reports whether Next is to return, with the list or with an error. An earlier call that fails while a
// later one is under way or is still to be made (not waiting) changes nothing.
func (w *Watch) accept(r response, waiting bool) (l List, err error, done bool) {
	position := slices.Index(w.open, r.call)
	if position < 0 { // it has been given up
		if r.conn != nil {
			r.conn.Close()
		}
		return l, nil, false
	}
	if r.list.Partial {
		return r.list, nil, true
	}
	w.open = slices.Delete(w.open, position, position+1)
	if r.err != nil {
		return w.acceptFailure(r.err, waiting)
	}
	if r.call.late {
		r.list.Waited = time.Since(r.call.startedAt)
	}
	w.giveUpAll() // they are based on the list as it was before
	w.closeIdle()
	w.idle, w.patience = r.conn, 0
	w.ResumeFrom(r.list.Generation)
	w.lastUnusable = false
	if !r.list.Snapshot && slices.ContainsFunc(r.list.Unusable, func(u UnusableEntry) bool { return u.HostID == "" }) {
		w.watching = false // a change of an unidentified host; a snapshot may name it
		w.closeIdle()      // an older snapshot is believed only as the first response on a connection
	}
	return r.list, nil, true
}

// acceptFailure evaluates a call that failed.
func (w *Watch) acceptFailure(err error, waiting bool) (List, error, bool) {
	retryNow := false
	switch {
	case errors.As(err, &unusableError{}):
		retryNow, w.watching, w.lastUnusable = !w.lastUnusable, false, true
	case errors.As(err, &staleError{}): // the same call on a new connection tells
		retryNow, w.lastUnusable = !w.lastUnusable, true
	case !waiting || w.expectsResponse():
		return List{}, nil, false
	}
	if w.HasList && retryNow {
		err = fmt.Errorf("%w: %w", ErrRetryNow, err)
	}
	return List{}, err, true
}
