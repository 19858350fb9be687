package load

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	"streamrail/internal/rehearsal/record"
)

// malformedInputs lists what clients with malformed input send; %s is replaced by the name of an existing product.
var malformedInputs = []struct{ name, text string }{
	{"noise", "\x00\x01\xfe\xff\r\n\r\n\x13\r\n"},
	{"a line without an end", strings.Repeat("mg ", 4000)},
	{"an unknown verb", "frobnicate k\r\n"},
	{"a product that does not exist", "mg k v Orude Pc=none,t=none,d=500\r\n"},
	{"a time that is no number", "mg k v Orude Pc=%s,d=soon\r\n"},
	{"no id", "mg k v Pc=%s,d=500\r\n"},
	{"a negative length", "ms k -5 Orude Pc=%s,d=500\r\nhello\r\n"},
	{"a huge length", "ms k 99999999999 Orude Pc=%s,d=500\r\n"},
	{"a length that is wrong", "ms k 3 Orude Pc=%s,d=500,k=1\r\nhello there\r\n"},
	{"a value of 60 MB", ""},
	{"half a command", "mg k v Oru"},
	{"nothing", ""},
}

// A client with malformed input must get an error or a close within answerTimeout. A value of 60 MB takes longer to send
// and has hugeValueTimeout.
const (
	answerTimeout    = 3 * time.Second
	hugeValueTimeout = 6 * time.Second
	hugeValueBytes   = 60 << 20
)

// MalformedClient simulates the i-th client with malformed input and records how the balancer reacted.
func (c *Clients) MalformedClient(i int) {
	input := malformedInputs[i%len(malformedInputs)]
	_, addr := c.targets[i%len(c.targets)].state()
	n, err := net.DialTimeout("tcp", addr, answerTimeout)
	if err != nil {
		return // without a connection no reaction is expected
	}
	defer n.Close()
	r := record.MalformedClient{Input: input.name}
	defer func() {
		c.environment.Record.Add(func() { c.environment.Record.MalformedClients = append(c.environment.Record.MalformedClients, r) })
	}()
	wait := answerTimeout
	if input.name == "a value of 60 MB" {
		wait = hugeValueTimeout
	}
	n.SetDeadline(time.Now().Add(wait))
	go func() {
		text := input.text
		if strings.Contains(text, "%s") {
			text = fmt.Sprintf(text, c.environment.Scenario.Products[0].Name)
		}
		io.WriteString(n, text)
		if wait == hugeValueTimeout {
			fmt.Fprintf(n, "ms k %d Orude Pc=%s,d=500\r\n", hugeValueBytes, c.environment.Scenario.Products[0].Name)
			chunk := bytes.Repeat([]byte("x"), 1<<16)
			for sent := 0; sent < hugeValueBytes; sent += len(chunk) {
				if _, err := n.Write(chunk); err != nil {
					return
				}
			}
		}
	}()
	first := make([]byte, 64)
	got, err := n.Read(first)
	switch text := string(first[:got]); {
	case got == 0 && err != nil && isTimeout(err):
	case got == 0:
		r.Answered = true // the balancer closed the connection
	case strings.HasPrefix(text, "CLIENT_ERROR"), strings.HasPrefix(text, "SERVER_ERROR"), strings.HasPrefix(text, "ERROR"):
		r.Answered = true
	case strings.HasPrefix(text, "VA"), strings.HasPrefix(text, "HD"):
		r.Served = true
	}
}

// isTimeout reports whether a network operation timed out.
func isTimeout(err error) bool {
	e, ok := err.(net.Error)
	return ok && e.Timeout()
}

// state returns whether clients believe that the balancer is up, and its address.
func (t *balancerTarget) state() (up bool, addr string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.up, t.addr
}
