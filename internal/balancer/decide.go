package balancer

import (
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"streamrail/internal/deadline"
	"streamrail/internal/memcache"
	"streamrail/internal/upstream"
	"streamrail/policy"
)

// clientRequest is one request in hand. Its goroutine runs live.
type clientRequest struct {
	memcache.Command
	b                *Balancer
	client           *clientConn
	line             [256]byte // where the command's line is kept, if it fits
	value            []byte
	upload           *upload // a long value, which comes while the request lives
	product          policy.Product
	customer         policy.Customer
	arrived          time.Time         // its last byte, or the head of a long write
	admitted         time.Time         // its life: it is read and admitted
	deadline         deadline.Deadline // of the client; a long write's is upload.Deadline, once its last byte has arrived
	id               policy.CallID     // of our own: no two requests in hand share one, whatever clients send
	previousAnswered chan struct{}     // closed when the commands before it are answered
	answered         chan struct{}     // closed when this one is

	heldBytes      atomic.Int64 // bytes of values
	attempts       []*upstream.Attempt
	inFlight       int
	attemptResults chan attemptResult
	notify         chan struct{} // there are orders

	mayHaveRun    bool        // an attempt that has ended may have
	deadlineTimer *time.Timer // fires when its time is over; nil: it has not begun

	mu           sync.Mutex
	actions      []action
	answerChosen bool // its one final answer is chosen
	streaming    bool // that is a long value, which is passed on
}

type attemptResult struct {
	upstream.Result
	attempt int
	took    time.Duration
}

// action is what the module wants done for a request.
type action struct {
	do         func(c *clientRequest, o action)
	host       policy.CacheID
	attempt    int
	deadline   deadline.Deadline
	beginBy    deadline.Deadline // connecting and waiting for a connection take time after the decision
	retryAfter time.Duration     // after a rate-limit reply
}

// answerTravelReserve is kept of the client's time for the answer to reach it.
const answerTravelReserve = 3 * time.Millisecond

// handleRequest is the life of one request, from when it was read to its one final answer and the end of its attempts.
func (b *Balancer) handleRequest(c *clientRequest) {
	defer b.releaseRequest(c)
	c.admitted = time.Now()
	due := c.deadline.Earlier(answerTravelReserve)
	if c.upload != nil { // its time runs from the last byte on, which is still to come
		due = deadline.After(c.arrived, c.Left+maxUploadTime)
	}
	if due.Passed() { // it waited behind others for all of its time; nothing ran
		c.answerRateLimited(action{})
		return
	}
	c.attemptResults = make(chan attemptResult, b.deployment.Terms.MostAttempts+1)
	c.notify = make(chan struct{}, 1)
	b.countArrival(c.customer)
	c.id = policy.CallID(strconv.FormatUint(b.requestCount.Add(1), 36))
	c.armDeadlineTimer(due)
	defer c.deadlineTimer.Stop()
	b.post(func() {
		b.requests[c.id] = c
		b.policy.Arrived(policy.Call{ID: c.id, Customer: c.customer, Product: c.product, Key: policy.Key(c.Key),
			Write: c.Write, Repeat: c.Repeat, Deadline: b.toNanos(due)})
	})
	gone := c.client.gone
	for {
		if gone != nil && c.client.hasLeft() { // before any order: nothing is begun for who has left
			gone = nil
			b.abandon(c)
		}
		orders, settled := c.takeActions()
		for _, o := range orders {
			o.do(c, o)
		}
		if settled && c.inFlight == 0 {
			break
		}
		select {
		case e := <-c.attemptResults:
			c.inFlight--
			c.mayHaveRun = c.mayHaveRun || policy.MayHaveRun(e.Outcome)
			b.observeAttempt(c, e)
			won := e.Outcome == policy.Fulfilled && c.claimAnswer()
			b.reportAttemptEnd(c, e)
			if won {
				b.traffic.fulfilled.Add(1)
				c.fulfil(e.Body)
			}
		case <-c.deadlineTimer.C:
			b.answerOnTimeout(c)
		case <-gone:
		case <-c.notify:
		}
	}
}

// reportAttemptEnd lets the module hear how an attempt ended.
func (b *Balancer) reportAttemptEnd(c *clientRequest, e attemptResult) {
	to := c.attempts[e.attempt].To
	b.post(func() {
		b.traffic.countAttempt(to, e.Outcome)
		b.policy.Ended(policy.Ending{Call: c.id, Attempt: e.attempt, Final: c.isAnswerChosen(), Outcome: e.Outcome,
			Took: policy.Nanos(e.took), Load: e.Load, Cache: to})
	})
}

// armDeadlineTimer has the request answered when its time is over, whether or not the module has come to it by then. Its own timers fire up
// to a tick of the wheel after they are due.
func (c *clientRequest) armDeadlineTimer(due deadline.Deadline) {
	wait := due.Remaining() + time.Duration(wheelTick)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.deadlineTimer == nil {
		c.deadlineTimer = time.NewTimer(wait)
	} else {
		c.deadlineTimer.Reset(wait)
	}
}

// answerOnTimeout answers a request that the module has not answered in its time. Where it is free it hears now that the time is over, and
// decides; else it is late itself.
func (b *Balancer) answerOnTimeout(c *clientRequest) {
	b.fireTimers()
	if !c.claimAnswer() {
		return
	}
	b.post(func() { b.policy.Abandoned(c.id) }) // it calls back what is out
	b.delays.answeredByTimer.Add(1)
	if c.inFlight == 0 && !c.mayHaveRun {
		c.answerRateLimited(action{})
	} else {
		c.answerErrored(action{})
	}
}

// abandon ends a request whose client has gone away.
func (b *Balancer) abandon(c *clientRequest) {
	if !c.claimAnswer() {
		return
	}
	b.post(func() { b.policy.Abandoned(c.id) })
	b.traffic.abandoned.Add(1)
	b.answerStats.unanswered.Add(-1)
	close(c.answered)
}

// claimAnswer chooses the request's one final answer; false where it is chosen already.
func (c *clientRequest) claimAnswer() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	first := !c.answerChosen
	c.answerChosen = true
	return first
}

func (c *clientRequest) isAnswerChosen() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answerChosen
}

// takeActions empties the request's mailbox.
func (c *clientRequest) takeActions() (orders []action, settled bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	orders, c.actions = c.actions, nil
	return orders, c.answerChosen
}

// addAction puts an order into the mailbox. A second final one is dropped.
func (c *clientRequest) addAction(o action, final bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if final && c.answerChosen {
		return
	}
	c.answerChosen = c.answerChosen || final
	c.actions = append(c.actions, o)
	select {
	case c.notify <- struct{}{}:
	default:
	}
}

// startRequest has a goroutine live a call: one that is done with another, whose stack has grown to what a call needs, else a
// new one.
func (b *Balancer) startRequest(c *clientRequest) {
	select {
	case b.toIdleWorker <- c:
	default:
		go func() {
			for {
				b.handleRequest(c)
				if b.idleWorkers.Add(1) > maxIdleWorkers {
					b.idleWorkers.Add(-1)
					return
				}
				c = <-b.toIdleWorker
				b.idleWorkers.Add(-1)
			}
		}()
	}
}

// maxIdleWorkers bounds the goroutines that wait for a call: a burst leaves no more behind.
const maxIdleWorkers = 64

// releaseRequest forgets a request that has its answer and whose attempts have ended.
func (b *Balancer) releaseRequest(c *clientRequest) {
	if c.id != "" {
		b.post(func() { delete(b.requests, c.id) })
	}
	b.releaseID(c)
	b.valueBytes.Add(-c.heldBytes.Load())
	b.inFlight.Add(-1)
	<-c.client.inFlight
	c.client.noteIfIdle()
}

// toNanos is an instant on the module's clock.
func (b *Balancer) toNanos(d deadline.Deadline) policy.Nanos {
	return b.epochNanos + policy.Nanos(d.Time().Sub(b.epoch))
}

// toDeadline is a reading of the module's clock as a deadline.
func (b *Balancer) toDeadline(n policy.Nanos) deadline.Deadline {
	return deadline.After(b.epoch, time.Duration(n-b.epochNanos))
}

// abandonAll answers all that is in hand: there is no time left for it. It tells how many they were.
func (b *Balancer) abandonAll() (n int) {
	b.callPolicy(func() {
		for id, c := range b.requests {
			if !c.isAnswerChosen() {
				n++
				policyHost{b}.Error(id)
				b.policy.Abandoned(id)
			}
		}
	})
	return n
}

// policyHost is what the module acts through: it notes orders and does nothing else.
type policyHost struct{ b *Balancer }

func (h policyHost) enqueue(id policy.CallID, o action, final bool) {
	if c := h.b.requests[id]; c != nil {
		c.addAction(o, final)
	}
}

func (h policyHost) Now() policy.Nanos { return h.b.now }

func (h policyHost) Send(id policy.CallID, to policy.CacheID, due, beginBy policy.Nanos) {
	h.enqueue(id, action{do: (*clientRequest).sendAttempt, host: to, deadline: h.b.toDeadline(due), beginBy: h.b.toDeadline(beginBy)}, false)
}

func (h policyHost) Cancel(id policy.CallID, attempt int) {
	h.enqueue(id, action{do: (*clientRequest).cancelAttempt, attempt: attempt}, false)
}

func (h policyHost) RateLimit(id policy.CallID, comeBack policy.Nanos) {
	h.enqueue(id, action{do: (*clientRequest).answerRateLimited, retryAfter: time.Duration(comeBack)}, true)
}

func (h policyHost) Error(id policy.CallID) {
	h.enqueue(id, action{do: (*clientRequest).answerErrored}, true)
}

func (h policyHost) Subscribe() {
	select {
	case h.b.subscribeRequested <- struct{}{}:
	default:
	}
}

func (h policyHost) SetTimer(after policy.Nanos, id policy.TimerID) {
	h.b.setTimer(h.b.now+after, id)
}
