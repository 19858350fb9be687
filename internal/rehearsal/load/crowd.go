package load

import (
	"fmt"
	"io"
	"net"
	"time"
)

// crowdConnTimeout is how long a connection of a crowd stays, unless the balancer ends it.
const crowdConnTimeout = 10 * time.Second

// Stray plays the i-th connection of a crowd: one in three asks once and stays, the others say nothing, or stop within a
// command. What they ask does not count.
func (c *Callers) Stray(i int) {
	_, addr := c.targets[i%len(c.targets)].state()
	n, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return
	}
	defer n.Close()
	n.SetDeadline(time.Now().Add(crowdConnTimeout))
	switch p := c.world.Day.Products[0].Name; i % 3 {
	case 0:
		fmt.Fprintf(n, "mg crowd v Ocrowd%d Pc=%s,t=none,d=500\r\n", i, p)
	case 1:
		fmt.Fprintf(n, "mg crowd v Ocrowd%d Pc=%s", i, p)
	}
	io.Copy(io.Discard, n)
}
