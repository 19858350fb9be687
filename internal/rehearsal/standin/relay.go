package standin

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"streamrail/internal/rehearsal/model"
)

// Relays forwards the datagrams between balancers. Each ordered pair has a link of its own that can lose, delay or corrupt
// datagrams.
type Relays struct {
	startedAt time.Time
	relays    [][]*relay // indexed by sender, then receiver
	readers   sync.WaitGroup
}

// relay is the link from one balancer to another: a socket whose address the sender uses as the receiver's.
type relay struct {
	owner    *Relays
	from, to int
	conn     *net.UDPConn
	target   netip.AddrPort

	mu    sync.Mutex
	link  *model.Link
	bytes int64
}

// NewRelays opens a link for each ordered pair of balancers; targets are their addresses.
func NewRelays(targets []netip.AddrPort, config model.LinkConfig, random *rand.Rand) (*Relays, error) {
	rs := &Relays{startedAt: time.Now()}
	for from := range targets {
		row := make([]*relay, len(targets))
		rs.relays = append(rs.relays, row)
		for to := range targets {
			if to == from {
				continue
			}
			conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
			if err != nil {
				rs.Close()
				return nil, fmt.Errorf("link between balancers: %w", err)
			}
			row[to] = &relay{owner: rs, from: from, to: to, conn: conn, target: targets[to],
				link: model.NewLink(config, rand.New(rand.NewPCG(random.Uint64(), random.Uint64())))}
		}
	}
	for _, row := range rs.relays {
		for _, r := range row {
			if r != nil {
				rs.readers.Go(r.receive)
			}
		}
	}
	return rs, nil
}

// Addr returns the address at which one balancer reaches another.
func (rs *Relays) Addr(from, to int) netip.AddrPort {
	return rs.relays[from][to].conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// AlterLink alters how a link treats datagrams from now on.
func (rs *Relays) AlterLink(from, to int, change func(*model.LinkConfig)) {
	if from == to {
		return
	}
	r := rs.relays[from][to]
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.link.LinkConfig)
}

// Cut makes the selected links lose everything, or ends that.
func (rs *Relays) Cut(on bool, which func(from, to int) bool) {
	for from, row := range rs.relays {
		for to := range row {
			if from != to && which(from, to) {
				rs.AlterLink(from, to, func(t *model.LinkConfig) { t.Cut = on })
			}
		}
	}
}

// BytesSent returns how many bytes a balancer has sent to the others so far.
func (rs *Relays) BytesSent(from int) (sum int64) {
	for _, r := range rs.relays[from] {
		if r != nil {
			r.mu.Lock()
			sum += r.bytes
			r.mu.Unlock()
		}
	}
	return sum
}

// Close closes all links and waits for their readers.
func (rs *Relays) Close() {
	for _, row := range rs.relays {
		for _, r := range row {
			if r != nil {
				r.conn.Close()
			}
		}
	}
	rs.readers.Wait()
}

// receive reads datagrams and forwards each over the link in its direction.
func (r *relay) receive() {
	buf := make([]byte, 64<<10)
	for {
		n, from, err := r.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		via := r
		if netip.AddrPortFrom(from.Addr().Unmap(), from.Port()) == r.target {
			via = r.owner.relays[r.to][r.from] // a reply to the datagram's source address takes the link in the other direction
		}
		via.forward(append([]byte(nil), buf[:n]...))
	}
}

// forward sends the copies of a datagram that the model of the link lets through.
func (r *relay) forward(datagram []byte) {
	r.mu.Lock()
	r.bytes += int64(len(datagram))
	now := time.Since(r.owner.startedAt)
	copies := append([]model.Delivery(nil), r.link.Send(now, len(datagram))...)
	r.mu.Unlock()
	for _, c := range copies {
		out := datagram
		if c.Corrupt {
			out = append([]byte(nil), datagram...)
			out[int(c.CorruptAt*float64(len(out)))] ^= 0x55
		}
		if wait := c.At - now; wait > 0 {
			time.AfterFunc(wait, func() { r.conn.WriteToUDPAddrPort(out, r.target) })
		} else {
			r.conn.WriteToUDPAddrPort(out, r.target)
		}
	}
}
