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

// Relays carry the datagrams between balancers, each ordered pair by a way of its own that can be harmed.
type Relays struct {
	startedAt time.Time
	relays    [][]*relay // from, to
	readers   sync.WaitGroup
}

// relay is the way from one balancer to another: an address for datagrams to it.
type relay struct {
	owner    *Relays
	from, to int
	conn     *net.UDPConn
	target   netip.AddrPort

	mu    sync.Mutex
	link  *model.Way
	bytes int64
}

// NewRelays opens a way for each ordered pair of balancers, which stand at the targets.
func NewRelays(targets []netip.AddrPort, terms model.WayTerms, random *rand.Rand) (*Relays, error) {
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
				return nil, fmt.Errorf("a way between balancers: %w", err)
			}
			row[to] = &relay{owner: rs, from: from, to: to, conn: conn, target: targets[to],
				link: model.NewWay(terms, rand.New(rand.NewPCG(random.Uint64(), random.Uint64())))}
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

// Addr is where a balancer reaches another.
func (rs *Relays) Addr(from, to int) netip.AddrPort {
	return rs.relays[from][to].conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Change changes how a way treats datagrams from now on.
func (rs *Relays) Change(from, to int, change func(*model.WayTerms)) {
	if from == to {
		return
	}
	r := rs.relays[from][to]
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.link.WayTerms)
}

// Cut makes some ways lose everything, or ends that.
func (rs *Relays) Cut(on bool, which func(from, to int) bool) {
	for from, row := range rs.relays {
		for to := range row {
			if from != to && which(from, to) {
				rs.Change(from, to, func(t *model.WayTerms) { t.Cut = on })
			}
		}
	}
}

// Bytes is what a balancer has sent so far to the others.
func (rs *Relays) Bytes(from int) (sum int64) {
	for _, r := range rs.relays[from] {
		if r != nil {
			r.mu.Lock()
			sum += r.bytes
			r.mu.Unlock()
		}
	}
	return sum
}

// Close ends all ways.
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
			via = r.owner.relays[r.to][r.from] // an answer to who it does not know by name yet: it goes back its own way
		}
		via.forward(append([]byte(nil), buf[:n]...))
	}
}

func (r *relay) forward(datagram []byte) {
	r.mu.Lock()
	r.bytes += int64(len(datagram))
	now := time.Since(r.owner.startedAt)
	copies := append([]model.Passed(nil), r.link.Pass(now, len(datagram))...)
	r.mu.Unlock()
	for _, c := range copies {
		out := datagram
		if c.Spoilt {
			out = append([]byte(nil), datagram...)
			out[int(c.SpoilAt*float64(len(out)))] ^= 0x55
		}
		if wait := c.At - now; wait > 0 {
			time.AfterFunc(wait, func() { r.conn.WriteToUDPAddrPort(out, r.target) })
		} else {
			r.conn.WriteToUDPAddrPort(out, r.target)
		}
	}
}
