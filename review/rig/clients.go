package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// clientConn is one connection of a client.
type clientConn struct {
	net.Conn
	in   *bufio.Reader
	used bool
}

// clients keep connections to one address and open more when all are busy.
type clients struct {
	addr string
	mu   sync.Mutex
	idle []*clientConn
}

// take returns a kept connection, or a new one.
func (s *clients) take() (*clientConn, error) {
	s.mu.Lock()
	if n := len(s.idle); n > 0 {
		c := s.idle[n-1]
		s.idle = s.idle[:n-1]
		s.mu.Unlock()
		return c, nil
	}
	s.mu.Unlock()
	c, err := net.DialTimeout("tcp", s.addr, 200*time.Millisecond)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: c, in: bufio.NewReader(c)}, nil
}

// ask sends one command and returns the first line of its answer. Where a connection that was used before ends without an answer the
// command is sent once more on a new one, as the protocol has it.
func (s *clients) ask(command string, wait time.Duration) (line string, err error) {
	for {
		c, err := s.take()
		if err != nil {
			return "", err
		}
		c.SetDeadline(time.Now().Add(wait))
		if _, err = io.WriteString(c, command); err == nil {
			line, err = c.in.ReadString('\n')
		}
		if words := strings.Fields(line); err == nil && len(words) > 1 && words[0] == "VA" {
			n, _ := strconv.Atoi(words[1])
			_, err = io.ReadFull(c.in, make([]byte, n+2))
		}
		if err != nil {
			c.Close()
			if timeout, ok := err.(net.Error); ok && timeout.Timeout() || !c.used || line != "" {
				return "", err
			}
			continue
		}
		c.used = true
		s.mu.Lock()
		s.idle = append(s.idle, c)
		s.mu.Unlock()
		return strings.TrimSpace(line), nil
	}
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// readLoad sends reads of many keys at a rate until stopped, each with a goroutine of its own, and counts the answers.
type readLoad struct {
	stop           chan struct{}
	done           sync.WaitGroup
	mu             sync.Mutex
	answers, other int
}

func startReads(perSecond float64, to ...*clients) *readLoad {
	l := &readLoad{stop: make(chan struct{})}
	l.done.Add(1)
	go func() {
		defer l.done.Done()
		t := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
		defer t.Stop()
		for n := 0; ; n++ {
			select {
			case <-l.stop:
				return
			case <-t.C:
			}
			l.done.Add(1)
			go l.read(to[n%len(to)])
		}
	}()
	return l
}

func (l *readLoad) read(to *clients) {
	defer l.done.Done()
	const wait = 1000 * time.Millisecond
	id, key := newID(), fmt.Sprintf("line-%03d", rand.IntN(400))
	line, err := to.ask(fmt.Sprintf("mg %s v O%s Pc=saldo,t=red-almacen,d=%d\r\n", key, id, wait.Milliseconds()), wait)
	rec.add("client: read %s of %s at %s: %s %v", id, key, to.addr, line, err)
	l.mu.Lock()
	defer l.mu.Unlock()
	if strings.HasPrefix(line, "VA ") {
		l.answers++
	} else {
		l.other++
	}
}

// end stops the load and returns how many reads got their value and how many did not.
func (l *readLoad) end() (answers, other int) {
	close(l.stop)
	l.done.Wait()
	return l.answers, l.other
}
