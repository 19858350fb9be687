package load

import (
	"fmt"
	"io"
	"net"
	"time"
)

// crowdConnTimeout is how long a connection opened by CrowdConnection stays open unless the balancer closes it.
const crowdConnTimeout = 10 * time.Second

// CrowdConnection simulates the i-th of many connections that are opened within a short time. One in
// three sends one request and stays open, one sends part of a command and one sends nothing. Their requests are not recorded.
func (c *Clients) CrowdConnection(i int) {
	_, addr := c.targets[i%len(c.targets)].state()
	n, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return
	}
	defer n.Close()
	n.SetDeadline(time.Now().Add(crowdConnTimeout))
	switch p := c.environment.Scenario.Products[0].Name; i % 3 {
	case 0:
		fmt.Fprintf(n, "mg crowd v Ocrowd%d Pc=%s,t=none,d=500\r\n", i, p)
	case 1:
		fmt.Fprintf(n, "mg crowd v Ocrowd%d Pc=%s", i, p)
	}
	io.Copy(io.Discard, n)
}
