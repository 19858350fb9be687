package balancer

import (
	"strconv"
	"sync"
	"time"

	"streamrail/internal/deadline"
	"streamrail/internal/memcache"
	"streamrail/internal/upstream"
	"streamrail/policy"
)

// clientRequest is one request from its admission to the end of its last attempt. Its goroutine runs handleRequest.
type clientRequest struct {
	memcache.Command
	balancer         *Balancer
	client           *clientConn
	line             [256]byte // storage for the command's line, if it fits
	value            []byte
	upload           *upload // a long value, which arrives while the request is handled
	product          policy.Product
	customer         policy.Customer
	arrived          time.Time         // when its last byte arrived; for a long write, its command line
	admitted         time.Time         // when its handling began, after it was read and admitted
	deadline         deadline.Deadline // of the client; a long write uses upload.Deadline once its last byte has arrived
	idKey            idKey             // stands for the client's id
	id               policy.RequestID  // chosen here, so it is unique among open requests whatever ids clients send
	previousAnswered chan struct{}     // closed when all earlier commands of the connection are answered
	answered         chan struct{}     // closed when this request is answered

	memory         memoryReservation // for its value and for the answers to its attempts
	attempts       []*upstream.Attempt
	firstAttemptAt time.Time // when the first attempt was handed to its host's connections; zero: none was
	inFlight       int       // attempts that have not ended
	attemptResults chan attemptResult
	notify         chan struct{} // receives when actions are waiting

	mayHaveRun    bool        // an attempt that has ended may have run at a host
	deadlineTimer *time.Timer // fires at the deadline; nil before the request is handled

	mu           sync.Mutex
	actions      []action // from the policy, not carried out yet
	answerChosen bool     // the one final answer has been chosen
	streaming    bool     // the final answer is a long value, passed on while it arrives
}

// attemptResult is how one attempt of a request ended.
type attemptResult struct {
	upstream.Result
	attempt int
	took    time.Duration
}

// action is something that the policy wants done for a request.
type action struct {
	do          func(c *clientRequest, a action)
	host        policy.HostID // only of an attempt to begin
	attempt     int
	deadline    deadline.Deadline
	latestStart deadline.Deadline // the attempt must start by then: connecting and waiting for a connection take time after the decision
	retryAfter  time.Duration     // how long the client is to wait after a rate-limited answer
}

// answerTravelReserve is subtracted from the client's deadline so that the answer can reach the client in time.
const answerTravelReserve = 3 * time.Millisecond

// handleRequest handles one request until it has its one final answer and all of its attempts have ended.
func (b *Balancer) handleRequest(c *clientRequest) {
	defer b.releaseRequest(c)
	c.admitted = time.Now()
	due := c.deadline.Earlier(answerTravelReserve)
	if c.upload != nil { // its timeout starts at the last byte, which has not arrived yet
		due = deadline.After(c.arrived, c.Timeout+maxUploadTime)
	}
	if due.Passed() || c.client.outOfTime.Load() { // it waited behind other requests until its deadline or until the process ends; nothing ran
		c.giveUpUnsent()
		return
	}
	c.attemptResults = make(chan attemptResult, b.deployment.PolicyConfig.MaxAttempts+1)
	c.notify = make(chan struct{}, 1)
	b.countArrival(c.customer)
	c.id = policy.RequestID(strconv.FormatUint(b.requestCount.Add(1), 36))
	c.armDeadlineTimer(due)
	defer c.deadlineTimer.Stop()
	b.post(func() {
		b.requests[c.id] = c
		b.policy.RequestArrived(policy.Request{ID: c.id, Customer: c.customer, Product: c.product, Key: policy.Key(c.Key),
			Write: c.Write, ClientRetry: c.ClientRetry, Deadline: b.toNanos(due), ValueArriving: c.upload != nil})
	})
	if c.client.outOfTime.Load() && c.claimAnswer() { // abandonAll may have come before the request was registered
		b.answerAlone(c)
	}
	var uploadCheck <-chan time.Time // never receives for a request that is no long write
	if c.upload != nil {
		uploadCheck = c.upload.checkTimer.C
		defer c.upload.checkTimer.Stop()
	}
	gone := c.client.gone
	for {
		if gone != nil && c.client.hasLeft() { // checked before any action: no attempt starts for a client that has left
			gone = nil
			b.abandon(c)
		}
		actions, chosen := c.takeActions()
		for _, a := range actions {
			a.do(c, a)
		}
		if chosen && c.inFlight == 0 {
			break
		}
		if chosen {
			c.stopUpload()
		}
		select {
		case e := <-c.attemptResults:
			c.inFlight--
			c.mayHaveRun = c.mayHaveRun || policy.MayHaveRun(e.Outcome)
			b.observeAttempt(c, e)
			b.logAttemptEnd(c, e)
			claimed := e.Outcome == policy.Fulfilled && c.claimAnswer()
			b.reportAttemptEnd(c, e)
			if claimed {
				b.traffic.fulfilled.Add(1)
				c.fulfil(e.Body)
			}
		case <-c.deadlineTimer.C:
			b.answerOnTimeout(c)
		case <-uploadCheck:
			c.checkUpload()
		case <-gone:
		case <-c.notify:
		}
	}
}

// reportAttemptEnd reports to the policy how an attempt ended.
func (b *Balancer) reportAttemptEnd(c *clientRequest, e attemptResult) {
	host := c.attempts[e.attempt].To
	b.post(func() {
		b.traffic.countAttempt(host, e.Outcome)
		b.policy.AttemptEnded(policy.AttemptResult{RequestID: c.id, Attempt: e.attempt, Final: c.isAnswerChosen(), Outcome: e.Outcome,
			Duration: policy.Nanos(e.took), Load: e.Load, HostID: host})
	})
}

// armDeadlineTimer makes sure that the request is answered at its deadline even if the policy has not done so by then. The
// timer allows one tick more, because the policy's own timers fire up to a tick late.
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

// answerOnTimeout answers a request that the policy has not answered by its deadline. If the policy is free, its due timers
// fire first and it chooses the answer itself; otherwise the answer is chosen here.
func (b *Balancer) answerOnTimeout(c *clientRequest) {
	b.fireTimers()
	if !c.claimAnswer() {
		return
	}
	b.delays.answeredByTimer.Add(1)
	b.answerAlone(c)
}

// answerAlone answers a request without the policy. The caller has claimed the answer.
func (b *Balancer) answerAlone(c *clientRequest) {
	b.post(func() { b.policy.RequestAbandoned(c.id) }) // it cancels the attempts in flight
	if c.inFlight == 0 && !c.mayHaveRun {
		c.giveUpUnsent()
	} else {
		c.answerErrored(action{})
	}
}

// abandon ends a request whose client has left.
func (b *Balancer) abandon(c *clientRequest) {
	if !c.claimAnswer() {
		return
	}
	b.post(func() { b.policy.RequestAbandoned(c.id) })
	b.traffic.abandoned.Add(1)
	b.answerStats.unanswered.Add(-1)
	close(c.answered)
}

// claimAnswer reserves the right to give the request's one final answer; false if an answer has already been chosen.
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

// takeActions removes and returns the waiting actions, and whether the final answer has been chosen.
func (c *clientRequest) takeActions() (actions []action, chosen bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	actions, c.actions = c.actions, nil
	return actions, c.answerChosen
}

// addAction queues an action for the request's goroutine. final marks an action that gives the final answer; a second one is dropped.
func (c *clientRequest) addAction(a action, final bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if final && c.answerChosen {
		return
	}
	c.answerChosen = c.answerChosen || final
	c.actions = append(c.actions, a)
	select {
	case c.notify <- struct{}{}:
	default:
	}
}

// startRequest handles a request in an idle worker goroutine, whose stack has already grown to the size that a request needs, or in
// a new one.
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

// maxIdleWorkers bounds the idle worker goroutines that remain after a burst of requests.
const maxIdleWorkers = 64

// releaseRequest frees what a request occupied, once it is answered and its attempts have ended.
func (b *Balancer) releaseRequest(c *clientRequest) {
	if c.id != "" {
		b.post(func() {
			delete(b.requests, c.id)
			b.returnUnbegunAttempts(c)
		})
	}
	b.releaseID(c)
	c.memory.release()
	b.inFlight.Add(-1)
	<-c.client.inFlight
	c.client.noteIfIdle()
}

// returnUnbegunAttempts reports the attempts that the policy decided while the request was ending, so that nobody has begun them. The
// policy counts them at their hosts until then. The caller holds Balancer.mu.
func (b *Balancer) returnUnbegunAttempts(c *clientRequest) {
	actions, _ := c.takeActions()
	attempt := len(c.attempts)
	for _, a := range actions {
		if a.host == "" {
			continue
		}
		b.policy.AttemptEnded(policy.AttemptResult{RequestID: c.id, Attempt: attempt, Final: true, Outcome: policy.NeverSent, HostID: a.host})
		attempt++
	}
}

// toNanos converts an instant to the policy's clock.
func (b *Balancer) toNanos(d deadline.Deadline) policy.Nanos {
	return b.epochNanos + policy.Nanos(d.Time().Sub(b.epoch))
}

// toDeadline converts a reading of the policy's clock to a deadline.
func (b *Balancer) toDeadline(n policy.Nanos) deadline.Deadline {
	return deadline.After(b.epoch, time.Duration(n-b.epochNanos))
}

// abandonAll answers every open request with an error, as no time is left for them, and returns their number.
func (b *Balancer) abandonAll() (n int) {
	b.callPolicy(func() {
		for id, c := range b.requests {
			if !c.isAnswerChosen() {
				n++
				policyEnvironment{b}.Error(id)
				b.policy.RequestAbandoned(id)
			}
		}
	})
	return n
}
