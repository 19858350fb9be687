package standin

import (
	"bufio"
	"bytes"
	"net"
	"strconv"

	"streamrail/internal/memcache"
	"streamrail/internal/rehearsal/model"
	"streamrail/internal/rehearsal/scenario"
)

// AddEcho adds a cache host that answers each read at once with a value and neither simulates nor records anything. It
// uses as little CPU time as possible, so that measurements show the cost of the balancer.
func (w *Environment) AddEcho(id string, g *scenario.Host) (*Host, error) {
	n := &Host{environment: w, ID: id, Zone: g.Zone, Group: g, modelRunner: newModelRunner()}
	for b := range w.Scenario.Fleet.Balancers {
		l := &link{balancer: b, hostID: id, serve: func(_ *link, c *net.TCPConn) { echo(c, w.Scenario.Load.ValueSize) }}
		n.links = append(n.links, l)
		if err := l.open(w); err != nil {
			return nil, err
		}
	}
	w.mu.Lock()
	w.hosts[id] = n
	w.mu.Unlock()
	w.Discovery.Update(n.Entry(model.Active))
	return n, nil
}

// echo answers each read with a value of the given size and every other command as a health probe.
func echo(c net.Conn, size int) {
	in := bufio.NewReaderSize(c, memcache.MaxLineBytes)
	value := bytes.Repeat([]byte("."), size)
	value = append(value, "\r\n"...)
	out := make([]byte, 0, size+256)
	for {
		line, err := in.ReadSlice('\n')
		if err != nil {
			return
		}
		at := bytes.Index(line, []byte(" O"))
		if at < 0 {
			c.Write([]byte(memcache.NoopAnswer))
			continue
		}
		id, _, _ := bytes.Cut(line[at+2:], []byte(" "))
		out = append(out[:0], "VA "...)
		out = strconv.AppendInt(out, int64(size), 10)
		out = append(append(out, " O"...), id...)
		out = append(append(out, " h1\r\n"...), value...)
		if _, err = c.Write(out); err != nil {
			return
		}
	}
}
