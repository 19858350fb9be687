package transport

import (
	"errors"
	"maps"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"streamrail/internal/fleet/member"
)

// Config is the configuration of the transport.
type Config struct {
	Fleet string
	Key   []byte // of the datagrams' checksums; if empty, the fleet's name is used
}

// Transport is one balancer's UDP transport to the other members of its fleet, together with its membership state.
type Transport struct {
	log         zerolog.Logger
	conn        *net.UDPConn
	epoch       time.Time
	rescheduled chan struct{} // the time of the next Tick may have changed
	ended       chan struct{}
	once        sync.Once
	done        sync.WaitGroup

	// mu guards what follows. No datagram is sent while it is held.
	mu       sync.Mutex
	handlers map[uint8]func(from member.ProcessID, body []byte) // by topic
	machine  *member.Machine
	codec    *codec
	counts   Counts
}

// Counts holds the numbers of datagrams since the start.
type Counts struct {
	Sent, SentBytes, Received, ReceivedBytes int64
	Dropped                                  map[string]int64 // by reason
}

// counterHeadroom exceeds the number of datagrams that an older process sends between handing over its state and ending. It is
// added only where the clock was set back in between: added always, it would make the counter run ahead of the time from which
// the counter of the next process starts, and the two could collide (TestMembersUpgrade, on a busy machine).
const counterHeadroom = 1 << 16

// bindTimeout is how long Open tries to bind an address that another process still uses: the older process of an upgrade releases
// it as soon as it is notified, which takes a few message exchanges between the two processes.
const bindTimeout = 2 * time.Second

// Open binds the address and starts to take part in the membership protocol. handedOver is the state of an older process of an
// upgrade, or nil.
func Open(config Config, memberConfig member.Config, handedOver *member.HandoverState, log zerolog.Logger) (*Transport, error) {
	c := &Transport{log: log, epoch: time.Now(), rescheduled: make(chan struct{}, 1), ended: make(chan struct{}), codec: newCodec(config.Fleet, config.Key)}
	c.counts.Dropped, c.handlers = map[string]int64{}, map[uint8]func(member.ProcessID, []byte){}
	until := time.Now().Add(bindTimeout)
	for {
		var err error
		if c.conn, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(memberConfig.Self.Addr)); err == nil {
			break
		}
		if handedOver == nil || time.Now().After(until) {
			return nil, err
		}
		time.Sleep(2 * time.Millisecond)
	}
	if handedOver != nil && c.codec.counter <= handedOver.Count { // the clock was set back between the two processes
		c.codec.counter = handedOver.Count + counterHeadroom
	}
	c.machine = member.New(memberConfig, c.now(), handedOver)
	c.done.Add(2)
	go c.receiveLoop()
	go c.tickLoop()
	return c, nil
}

func (c *Transport) now() member.Moment { return time.Since(c.epoch) }

// apply passes an input to the membership machine and sends the resulting messages.
func (c *Transport) apply(input func(m *member.Machine, now member.Moment)) {
	type datagram struct {
		to   netip.AddrPort
		data []byte
	}
	var datagrams []datagram
	c.mu.Lock()
	now := c.now()
	input(c.machine, now)
	sends, events := c.machine.TakeOutput()
	wall := time.Now()
	for i := range sends {
		data, err := c.codec.encode(&sends[i].Msg, payload{}, wall)
		if err != nil {
			c.counts.Dropped["unsent"]++
			continue
		}
		datagrams = append(datagrams, datagram{sends[i].To, data})
		c.counts.Sent++
		c.counts.SentBytes += int64(len(data))
	}
	c.mu.Unlock()
	for _, d := range datagrams {
		c.conn.WriteToUDPAddrPort(d.data, d.to) // a send error is treated as a lost datagram
	}
	for _, e := range events {
		c.logEvent(e)
	}
	select {
	case c.rescheduled <- struct{}{}:
	default:
	}
}

// logEvent logs a membership event.
func (c *Transport) logEvent(e member.Event) {
	line := c.log.Info()
	if e.Kind == "name-taken" || e.Kind == "name-shared" || e.Kind == "stalled" {
		line = c.log.Warn()
	}
	line = line.Str("what", e.Kind).Str("member", e.Name).Str("cause", e.Cause)
	if e.Kind == "state" {
		line = line.Stringer("state", e.To).Uint64("life", uint64(e.Life))
	}
	line.Msg("fleet")
}

// receiveLoop reads datagrams until the socket is closed.
func (c *Transport) receiveLoop() {
	defer c.done.Done()
	buf := make([]byte, member.MaxDatagramBytes+1) // one byte more, to detect datagrams that are too long
	for {
		n, from, err := c.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(time.Millisecond) // some systems report an unreachable peer here
			continue
		}
		var received payload
		var sender member.ProcessID
		var handler func(member.ProcessID, []byte)
		c.apply(func(m *member.Machine, now member.Moment) {
			c.counts.Received++
			c.counts.ReceivedBytes += int64(n)
			msg, got, err := c.codec.decode(buf[:n], m.ProcessID(), time.Now())
			if err != nil {
				c.counts.Dropped[err.Error()]++
				return
			}
			m.Receive(now, netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), msg)
			if got.topic != 0 && msg.To == m.ProcessID() && m.IsPresent(msg.From) {
				received, sender, handler = got, msg.From, c.handlers[got.topic]
			}
		})
		if handler != nil {
			handler(sender, received.body)
		}
	}
}

// Handle registers the handler for messages on a topic that members send with Send.
func (c *Transport) Handle(topic uint8, handler func(from member.ProcessID, body []byte)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handlers[topic] = handler
}

// Send sends a message on a topic to a member. It may be lost.
func (c *Transport) Send(to member.ProcessID, topic uint8, body []byte) {
	c.mu.Lock()
	s, ok := c.machine.Envelope(to)
	var data []byte
	if ok {
		var err error
		if data, err = c.codec.encode(&s.Msg, payload{topic, body}, time.Now()); err != nil {
			c.counts.Dropped["unsent"]++
			ok = false
		} else {
			c.counts.Sent++
			c.counts.SentBytes += int64(len(data))
		}
	}
	c.mu.Unlock()
	if ok {
		c.conn.WriteToUDPAddrPort(data, s.To)
	}
}

// AliveMembers returns the processes alive in the view, without this one, and the situation.
func (c *Transport) AliveMembers() ([]member.ProcessID, member.Situation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.AliveMembers()
}

// Self returns this process's identifier. It changes if an earlier process at this address turns out to have had a greater one.
func (c *Transport) Self() member.ProcessID {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.ProcessID()
}

// tickLoop calls the machine's Tick when it is due.
func (c *Transport) tickLoop() {
	defer c.done.Done()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-c.ended:
			return
		case <-timer.C:
			c.apply(func(m *member.Machine, now member.Moment) { m.Tick(now) })
		case <-c.rescheduled:
		}
		c.mu.Lock()
		wait := c.machine.Due() - c.now()
		c.mu.Unlock()
		timer.Reset(max(wait, 0))
	}
}

// View returns the present view.
func (c *Transport) View() member.View {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := c.machine.View()
	v.Now = c.now()
	return v
}

// Counts returns the numbers of datagrams since the start.
func (c *Transport) Counts() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.counts
	n.Dropped = maps.Clone(n.Dropped)
	return n
}

// HandoverState returns the state that a newer process of this member takes over.
func (c *Transport) HandoverState() member.HandoverState {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := c.machine.HandoverState()
	state.Count = c.codec.counter
	return state
}

// Leave announces that this balancer is ending, twice as a datagram may be lost, and closes the transport.
func (c *Transport) Leave() {
	for range 2 {
		c.apply(func(m *member.Machine, now member.Moment) { m.Leave(now) })
	}
	c.Close()
}

// Close stops the transport without announcing it.
func (c *Transport) Close() {
	c.once.Do(func() {
		close(c.ended)
		c.conn.Close()
	})
	c.done.Wait()
}
