package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"
	"unsafe"
)

// Case longwrite: the origin takes some seconds to read the long values of writes. The clients' last bytes came long before, but the
// balancer counts a long write's time only from when it reads the last byte, so it gives no answer in time.

const (
	longValue      = 4 << 20                 // bytes; the pages: up to 4 MiB
	originFirst    = 64 << 10                // bytes that the origin takes before it pauses
	originPause    = 6 * time.Second         // the pages: peers take seconds to read; "for 6 s"
	longTimeout    = 1500 * time.Millisecond // the client waits so long: half of the client timeout of recarga-idem; the pages: 42 to 80% of it
	answerSlack    = 500*time.Millisecond + slack
	longBefore     = 4 * time.Second
	longAfterwards = 6 * time.Second
)

func longWrites() {
	d, o := newDiscovery(), newOrigin()
	d.set("origin", o.addr, "gateway", "active", time.Time{})
	for i := range 4 {
		h := newCacheHost(fmt.Sprintf("cache-%d", i+1))
		d.set(h.id, h.addr, "c2-normal", "active", time.Time{})
	}
	began := time.Now()
	var mu sync.Mutex
	var pauseEnds time.Time
	o.firstPiece = originFirst
	o.waitToRead = func(id string) {
		mu.Lock()
		wait := time.Until(pauseEnds)
		mu.Unlock()
		if wait > 0 {
			rec.add("origin: has %d bytes of id=%s, reads on in %v", originFirst, id, wait.Round(time.Millisecond))
			time.Sleep(wait)
		}
	}
	addr := freeAddr()
	b := start("n0", addr, freeAddr(), rigTemp("n0"), config("n0", addr, d, 1))
	b.waitServing()
	reads := startReads(30, &clients{addr: addr})
	var tasks sync.WaitGroup
	var writes []*longWrite
	paused := false
	for began = time.Now(); time.Since(began) < longBefore+originPause+longAfterwards; time.Sleep(500 * time.Millisecond) {
		if trouble && !paused && time.Since(began) >= longBefore {
			paused = true
			mu.Lock()
			pauseEnds = time.Now().Add(originPause)
			mu.Unlock()
			rec.add("disruption: for %v the origin reads no more than %d bytes of a write", originPause, originFirst)
		}
		w := &longWrite{id: newID()}
		writes = append(writes, w)
		tasks.Add(1)
		go func() {
			defer tasks.Done()
			w.run(addr)
		}()
	}
	tasks.Wait()
	served, other := reads.end()
	inTime, lost, left := 0, 0, 0
	for _, w := range writes {
		switch {
		case w.arrived.IsZero():
			left++
		case w.answered.IsZero():
			lost++
			rec.add("check: the last byte of id=%s had come at %.1f, and there was no answer %v after that", w.id, rec.ms(w.arrived), longTimeout+answerSlack)
		default:
			inTime++
		}
	}
	rec.say("%d long writes: %d answered in time, %d with no answer half a second after their time, %d whose last byte was not taken", len(writes), inTime, lost, left)
	rec.say("%d reads got their value, %d did not", served, other)
	if !b.running() || inTime == 0 || served == 0 {
		cannotRun("the balancer has ended, or nothing was served")
	}
	verdict(lost > 0)
}

// longWrite is one write of a long value.
type longWrite struct {
	id                string
	arrived, answered time.Time // the last byte at the balancer's machine; the answer at the client
}

var longBody = bytes.Repeat([]byte("z"), longValue)

func (w *longWrite) run(addr string) {
	c, err := net.DialTimeout("tcp", addr, 500*time.Millisecond)
	if err != nil {
		rec.add("client: long write id=%s: %v", w.id, err)
		return
	}
	defer c.Close()
	tcp := c.(*net.TCPConn)
	rec.add("client: begins the long write id=%s, %d bytes", w.id, longValue)
	answer := make(chan string, 1)
	go func() {
		line, err := bufio.NewReader(c).ReadString('\n')
		answer <- strings.TrimSpace(line)
		_ = err
	}()
	c.SetWriteDeadline(time.Now().Add(10 * time.Second))
	fmt.Fprintf(c, "ms line-%s %d O%s Pc=recarga-idem,t=red-almacen,d=%d,k=%s\r\n", w.id[:6], longValue, w.id, longTimeout.Milliseconds(), w.id)
	_, err = c.Write(longBody)
	if err == nil {
		_, err = io.WriteString(c, "\r\n")
	}
	for err == nil && unacknowledged(tcp) > 0 { // the last byte is at the balancer's machine once all is acknowledged
		time.Sleep(2 * time.Millisecond)
		select {
		case line := <-answer:
			rec.add("client: long write id=%s answered before its last byte had come: %q", w.id, line)
			w.answered = time.Now()
			return
		default:
		}
	}
	if err != nil {
		rec.add("client: long write id=%s not written: %v", w.id, err)
		return
	}
	w.arrived = time.Now()
	rec.add("client: the last byte of id=%s is at the balancer's machine", w.id)
	select {
	case line := <-answer:
		if line != "" {
			w.answered = time.Now()
		}
		rec.add("client: long write id=%s: %q, %v after its last byte", w.id, line, time.Since(w.arrived).Round(time.Millisecond))
	case <-time.After(longTimeout + answerSlack):
		rec.add("client: long write id=%s has no answer %v after its last byte, gives up", w.id, time.Since(w.arrived).Round(time.Millisecond))
	}
}

// unacknowledged returns how many bytes of what was written the other machine has not acknowledged yet.
func unacknowledged(c *net.TCPConn) int {
	const siocoutq = 0x5411
	n := int32(0)
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	raw.Control(func(fd uintptr) { syscall.Syscall(syscall.SYS_IOCTL, fd, siocoutq, uintptr(unsafe.Pointer(&n))) })
	return int(n)
}
