package main

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"
)

const largeValueSize = 4 << 20

// valueChunk is so long a part of a value that no buffer on the way holds back for more.
var valueChunk = strings.Repeat("v", 256<<10)

// A long value goes on as it comes: its first bytes reach the client while the host still holds the rest, and what a
// command behind it gets comes after all of it.
func TestLargeValueStreams(t *testing.T) {
	rest := make(chan struct{})
	h := newHost(t, "h", func(cmd command) string {
		if cmd.fields[1] != "large" {
			return answerHit(cmd)
		}
		fmt.Fprintf(cmd.conn, "VA %d O%s h1\r\n%s", largeValueSize, cmd.id, valueChunk)
		<-rest
		for range largeValueSize/len(valueChunk) - 1 {
			io.WriteString(cmd.conn, valueChunk)
		}
		return "\r\n"
	})
	p, _ := startWithHosts(t, readWriteThrough, nil, h)
	c := p.dial(t)
	c.send(getRequest("large", "a", 900) + getRequest("small", "b", 3000))
	line, err := c.in.ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	expect(t, line, fmt.Sprintf("VA %d Oa\r\n", largeValueSize))
	first := make([]byte, len(valueChunk)/2)
	if _, err = io.ReadFull(c.in, first); err != nil {
		t.Fatal(err)
	}
	time.Sleep(time.Second) // longer than the client waits for the first bytes, which have come
	close(rest)
	all := make([]byte, largeValueSize-len(first)+2)
	if _, err = io.ReadFull(c.in, all); err != nil || string(all[len(all)-3:]) != "v\r\n" {
		t.Fatalf("the rest: %v", err)
	}
	expect(t, c.next(), "VA 14 Ob|value of small")
	if n := h.count(); n != 2 {
		t.Errorf("the host got %d", n)
	}
}

// A long value that cannot be finished must end so that the client can tell, and is not asked for again.
func TestLargeValueCutShort(t *testing.T) {
	for name, end := range map[string]string{"it breaks": "", "it goes on": valueChunk + "xx", "its line does not end": "xx"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHost(t, "h", func(cmd command) string {
				fmt.Fprintf(cmd.conn, "VA %d O%s h1\r\n%s", len(valueChunk), cmd.id, valueChunk[:len(valueChunk)-1])
				if end != "" {
					io.WriteString(cmd.conn, "v"+end)
				}
				return "close"
			})
			p, _ := startWithHosts(t, readWriteThrough, nil, h)
			c := p.dial(t)
			c.send(getRequest("large", "a", 900))
			c.in.ReadString('\n')
			if b, _ := io.ReadAll(c.in); len(b) >= len(valueChunk)+2 {
				t.Errorf("the client got %d bytes of %d and could take it for whole", len(b), len(valueChunk)+2)
			}
			if n := h.count(); n != 1 {
				t.Errorf("the host got it %d times", n)
			}
			other := p.dial(t) // the next call is served as ever
			other.send(getRequest("large", "b", 900))
			if line, _ := other.in.ReadString('\n'); !strings.HasPrefix(line, "VA ") {
				t.Errorf("got %q", line)
			}
		})
	}
}

// A long write reaches the host whole and once; the client's time runs from its last byte. One that does not end as it
// should never gets there whole, and the client is told something that holds.
func TestLargeWrite(t *testing.T) {
	value := strings.Repeat("w", largeValueSize)
	h := newHost(t, "h", answerHit)
	p, _ := startWithHosts(t, readWriteThrough, nil, h)
	c := p.dial(t)
	for i := range 3 {
		c.send(fmt.Sprintf("ms k %d O%d Pc=pay,d=400\r\n", largeValueSize, i))
		for offset := 0; offset < largeValueSize; offset += largeValueSize / 4 {
			c.send(value[offset : offset+largeValueSize/4])
			time.Sleep(200 * time.Millisecond) // 800 ms in all
		}
		expect(t, c.ask("\r\n"), fmt.Sprintf("HD O%d cdone-%d", i, i))
		if cmd := await(t, h.received, "the write"); cmd.value != value {
			t.Errorf("the host got %d bytes", len(cmd.value))
		}
	}
	expect(t, c.ask(getRequest("small", "b", 900)), "VA 14 Ob|value of small")
	c.send(fmt.Sprintf("ms k %d Obad Pc=pay,d=400\r\n%sxx", largeValueSize, value))
	got := c.next()
	if !strings.HasPrefix(got, "SERVER_ERROR busy") {
		t.Errorf("with no line end: %q", got)
	}
	expect(t, c.next(), "EOF")
	if n := h.count(); n != 4 {
		t.Errorf("the host got %d whole, expected 4", n)
	}
}

// A host that breaks while a long write is coming has not run it; the value is passed over and the connection goes on.
func TestLargeWriteBreaks(t *testing.T) {
	h := newHost(t, "h", answerHit)
	d := newDiscoveryServer(t)
	dead := &cacheHost{id: "dead", addr: freeAddr(t)}
	d.setHost("dead", dead.addr, "cache", "active")
	p := launchServing(t, deploymentConfig(d, freeAddr(t), readWriteThrough))
	c := p.dial(t)
	c.send(fmt.Sprintf("ms k %d Oa Pc=pay,d=900\r\n%s\r\n", largeValueSize, strings.Repeat("w", largeValueSize)))
	if got := c.next(); !strings.HasPrefix(got, "SERVER_ERROR busy") {
		t.Errorf("got %q", got)
	}
	expect(t, c.ask("mn\r\n"), "MN")
	d.setHost("dead", h.addr, "cache", "leaving")
	d.setHost("h", h.addr, "cache", "active")
	d.waitForWatch(t)
	expect(t, c.ask(getRequest("small", "b", 900)), "VA 14 Ob|value of small")
}
