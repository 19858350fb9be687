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

// AddEcho makes a node that answers each read at once with a value, and neither models nor notes anything: it costs as
// little as a node can, so that what is measured is the balancer.
func (w *World) AddEcho(id string, g *scenario.Node) (*Node, error) {
	n := &Node{w: w, ID: id, Zone: g.Zone, Group: g, player: newPlayer()}
	for b := range w.Day.Fleet.Balancers {
		l := &link{balancer: b, node: id, serve: func(_ *link, c *net.TCPConn) { echo(c, w.Day.Load.ValueSize) }}
		n.links = append(n.links, l)
		if err := l.open(w); err != nil {
			return nil, err
		}
	}
	w.mu.Lock()
	w.nodes[id] = n
	w.mu.Unlock()
	w.Register.Set(n.Entry(model.Active))
	return n, nil
}

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
