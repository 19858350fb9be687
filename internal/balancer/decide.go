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

// call is one request in hand. Its goroutine runs live.
type call struct {
	memcache.Command
	b        *Balancer
	client   *client
	line     [256]byte // where the command's line is kept, if it fits
	value    []byte
	upload   *upload // a long value, which comes while the request lives
	product  policy.Product
	customer policy.Customer
	arrived  time.Time         // its last byte, or the head of a long write
	begun    time.Time         // its life: it is read and admitted
	deadline deadline.Deadline // of the client; a long write's is upload.Deadline, once its last byte has arrived
	id       policy.CallID     // of our own: no two requests in hand share one, whatever clients send
	turn     chan struct{}     // closed when the commands before it are answered
	answered chan struct{}     // closed when this one is

	held     atomic.Int64 // bytes of values
	attempts []*upstream.Attempt
	out      int
	ended    chan ending
	nudge    chan struct{} // there are orders

	mayHaveRun bool        // an attempt that has ended may have
	guard      *time.Timer // fires when its time is over; nil: it has not begun

	mu        sync.Mutex
	orders    []order
	settled   bool // its one final answer is chosen
	streaming bool // that is a long value, which is passed on
}

type ending struct {
	upstream.Result
	attempt int
	took    time.Duration
}

// order is what the module wants done for a request.
type order struct {
	do       func(c *call, o order)
	to       policy.CacheID
	attempt  int
	deadline deadline.Deadline
	beginBy  deadline.Deadline // connecting and waiting for a connection take time after the decision
	comeBack time.Duration     // after a rate-limit reply
}

// wayBack is kept of the client's time for the answer to reach it.
const wayBack = 3 * time.Millisecond

// live is the life of one request, from when it was read to its one final answer and the end of its attempts.
func (b *Balancer) live(c *call) {
	defer b.leave(c)
	c.begun = time.Now()
	due := c.deadline.Earlier(wayBack)
	if c.upload != nil { // its time runs from the last byte on, which is still to come
		due = deadline.After(c.arrived, c.Left+uploadMost)
	}
	if due.Passed() { // it waited behind others for all of its time; nothing ran
		c.rateLimit(order{})
		return
	}
	c.ended = make(chan ending, b.told.Terms.MostAttempts+1)
	c.nudge = make(chan struct{}, 1)
	b.arrives(c.customer)
	c.id = policy.CallID(strconv.FormatUint(b.taken.Add(1), 36))
	c.guards(due)
	defer c.guard.Stop()
	b.post(func() {
		b.calls[c.id] = c
		b.module.Arrived(policy.Call{ID: c.id, Customer: c.customer, Product: c.product, Key: policy.Key(c.Key),
			Write: c.Write, Repeat: c.Repeat, Deadline: b.nanos(due)})
	})
	gone := c.client.gone
	for {
		if gone != nil && c.client.hasLeft() { // before any order: nothing is begun for who has left
			gone = nil
			b.abandon(c)
		}
		orders, settled := c.takeOrders()
		for _, o := range orders {
			o.do(c, o)
		}
		if settled && c.out == 0 {
			break
		}
		select {
		case e := <-c.ended:
			c.out--
			c.mayHaveRun = c.mayHaveRun || policy.MayHaveRun(e.Outcome)
			b.saw(c, e)
			won := e.Outcome == policy.Fulfilled && c.settle()
			b.ended(c, e)
			if won {
				b.tally.fulfilled.Add(1)
				c.fulfil(e.Body)
			}
		case <-c.guard.C:
			b.timesOut(c)
		case <-gone:
		case <-c.nudge:
		}
	}
}

// ended lets the module hear how an attempt ended.
func (b *Balancer) ended(c *call, e ending) {
	to := c.attempts[e.attempt].To
	b.post(func() {
		b.tally.attempt(to, e.Outcome)
		b.module.Ended(policy.Ending{Call: c.id, Attempt: e.attempt, Final: c.isSettled(), Outcome: e.Outcome,
			Took: policy.Nanos(e.took), Load: e.Load, Cache: to})
	})
}

// guards has the request answered when its time is over, whether or not the module has come to it by then. Its own timers fire up
// to a tick of the wheel after they are due.
func (c *call) guards(due deadline.Deadline) {
	wait := due.Remaining() + time.Duration(wheelTick)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.guard == nil {
		c.guard = time.NewTimer(wait)
	} else {
		c.guard.Reset(wait)
	}
}

// timesOut answers a request that the module has not answered in its time. Where it is free it hears now that the time is over, and
// decides; else it is late itself.
func (b *Balancer) timesOut(c *call) {
	b.fireTimers()
	if !c.settle() {
		return
	}
	b.post(func() { b.module.Abandoned(c.id) }) // it calls back what is out
	b.delays.guarded.Add(1)
	if c.out == 0 && !c.mayHaveRun {
		c.rateLimit(order{})
	} else {
		c.errored(order{})
	}
}

// abandon ends a request whose client has gone away.
func (b *Balancer) abandon(c *call) {
	if !c.settle() {
		return
	}
	b.post(func() { b.module.Abandoned(c.id) })
	b.tally.abandoned.Add(1)
	b.figures.inHand.Add(-1)
	close(c.answered)
}

// settle chooses the request's one final answer; false where it is chosen already.
func (c *call) settle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	first := !c.settled
	c.settled = true
	return first
}

func (c *call) isSettled() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.settled
}

// takeOrders empties the request's mailbox.
func (c *call) takeOrders() (orders []order, settled bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	orders, c.orders = c.orders, nil
	return orders, c.settled
}

// take puts an order into the mailbox. A second final one is dropped.
func (c *call) take(o order, final bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if final && c.settled {
		return
	}
	c.settled = c.settled || final
	c.orders = append(c.orders, o)
	select {
	case c.nudge <- struct{}{}:
	default:
	}
}

// start has a goroutine live a call: one that is done with another, whose stack has grown to what a call needs, else a
// new one.
func (b *Balancer) start(c *call) {
	select {
	case b.rested <- c:
	default:
		go func() {
			for {
				b.live(c)
				if b.resting.Add(1) > mostResting {
					b.resting.Add(-1)
					return
				}
				c = <-b.rested
				b.resting.Add(-1)
			}
		}()
	}
}

// mostResting bounds the goroutines that wait for a call: a burst leaves no more behind.
const mostResting = 64

// leave forgets a request that has its answer and whose attempts have ended.
func (b *Balancer) leave(c *call) {
	if c.id != "" {
		b.post(func() { delete(b.calls, c.id) })
	}
	b.unclaim(c)
	b.held.Add(-c.held.Load())
	b.open.Add(-1)
	<-c.client.behind
	c.client.rests()
}

// nanos is an instant on the module's clock.
func (b *Balancer) nanos(d deadline.Deadline) policy.Nanos {
	return b.epochNanos + policy.Nanos(d.Time().Sub(b.epoch))
}

// instant is a reading of the module's clock as a deadline.
func (b *Balancer) instant(n policy.Nanos) deadline.Deadline {
	return deadline.After(b.epoch, time.Duration(n-b.epochNanos))
}

// abandonAll answers all that is in hand: there is no time left for it. It tells how many they were.
func (b *Balancer) abandonAll() (n int) {
	b.decide(func() {
		for id, c := range b.calls {
			if !c.isSettled() {
				n++
				host{b}.Error(id)
				b.module.Abandoned(id)
			}
		}
	})
	return n
}

// host is what the module acts through: it notes orders and does nothing else.
type host struct{ b *Balancer }

func (h host) note(id policy.CallID, o order, final bool) {
	if c := h.b.calls[id]; c != nil {
		c.take(o, final)
	}
}

func (h host) Now() policy.Nanos { return h.b.now }

func (h host) Send(id policy.CallID, to policy.CacheID, due, beginBy policy.Nanos) {
	h.note(id, order{do: (*call).send, to: to, deadline: h.b.instant(due), beginBy: h.b.instant(beginBy)}, false)
}

func (h host) Cancel(id policy.CallID, attempt int) {
	h.note(id, order{do: (*call).recall, attempt: attempt}, false)
}

func (h host) RateLimit(id policy.CallID, comeBack policy.Nanos) {
	h.note(id, order{do: (*call).rateLimit, comeBack: time.Duration(comeBack)}, true)
}

func (h host) Error(id policy.CallID) { h.note(id, order{do: (*call).errored}, true) }

func (h host) Subscribe() {
	select {
	case h.b.subscribe <- struct{}{}:
	default:
	}
}

func (h host) SetTimer(after policy.Nanos, id policy.TimerID) {
	h.b.setTimer(h.b.now+after, id)
}
