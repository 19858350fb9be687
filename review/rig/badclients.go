package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Case badclients: bad clients send writes with long values under the id of another client's open request. The balancer keeps each
// value whole and outside its bound on memory, so it goes over its memory limit and the platform kills it.

const (
	memoryMB       = 64  // the pages: 32 to 192 MB
	sockets        = 512 // the pages: 256 to 1,024
	badCount       = 32
	badFor         = 4 * time.Second
	longBytes      = 1 << 20 // of the usual client's long value; the pages: up to 4 MiB
	longPieces     = 40
	badBytes       = 4 << 20 // of a bad client's value; the pages: up to 4 MiB, and up to 60 MB from bad clients
	memoryInterval = 2 * time.Millisecond
)

func badClients() {
	d, o := newDiscovery(), newOrigin()
	d.set("origin", o.addr, "gateway", "active", time.Time{})
	for i := range 4 {
		h := newCacheHost(fmt.Sprintf("cache-%d", i+1))
		d.set(h.id, h.addr, "c2-normal", "active", time.Time{})
	}
	addr := freeAddr()
	c := config("n0", addr, d, 1)
	c["limits"] = map[string]any{"cores": 1.0, "memory_mb": memoryMB, "sockets": sockets}
	b := start("n0", addr, freeAddr(), rigTemp("n0"), c)
	b.waitServing()
	killed := watchMemory(b)
	reads := startReads(40, &clients{addr: addr})
	time.Sleep(2 * time.Second)

	id := newID()
	var done sync.WaitGroup
	done.Add(1)
	go func() {
		defer done.Done()
		writeSlowly(addr, id)
	}()
	time.Sleep(200 * time.Millisecond)
	var answered, closed atomic.Int64
	if trouble {
		rec.add("disruption: %d bad clients begin", badCount)
		until := time.Now().Add(badFor)
		for range badCount {
			done.Add(1)
			go func() {
				defer done.Done()
				for time.Now().Before(until) && b.running() {
					badWrite(addr, id, &answered, &closed)
				}
			}()
		}
	}
	time.Sleep(badFor + 3*time.Second)
	done.Wait()
	served, other := reads.end()
	rec.say("bad clients: %d writes answered with an error, %d with a close", answered.Load(), closed.Load())
	rec.say("%d reads of usual clients got their value, %d did not", served, other)
	select {
	case peak := <-killed.over:
		rec.say("the balancer used %d MB of its %d MB and was killed by the platform; its requests in hand were lost", peak, memoryMB)
		verdict(true)
	default:
	}
	rec.say("the balancer used %d MB at the most of its %d MB", killed.peak.Load()>>10, memoryMB)
	if !b.running() || served == 0 {
		cannotRun("the balancer has ended by itself, or nothing was served")
	}
	verdict(false)
}

// memoryWatch is the platform's look at a balancer's memory.
type memoryWatch struct {
	peak atomic.Int64 // KiB
	over chan int64   // MB, once, when the balancer was killed
}

// watchMemory kills a balancer that uses more memory than its limit, as the platform does. Only anonymous memory counts, not the
// program's file.
func watchMemory(b *balancer) *memoryWatch {
	w := &memoryWatch{over: make(chan int64, 1)}
	go func() {
		for b.running() {
			kb := int64(0)
			text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", b.cmd.Process.Pid))
			for _, line := range strings.Split(string(text), "\n") {
				if f := strings.Fields(line); len(f) > 1 && (f[0] == "RssAnon:" || f[0] == "RssShmem:") {
					n, _ := strconv.ParseInt(f[1], 10, 64)
					kb += n
				}
			}
			w.peak.Store(max(w.peak.Load(), kb))
			if kb > memoryMB<<10 {
				w.over <- kb >> 10
				rec.add("platform: %s uses %d KiB, more than its %d MB", b.name, kb, memoryMB)
				b.signal(syscall.SIGKILL)
				return
			}
			time.Sleep(memoryInterval)
		}
	}()
	return w
}

// writeSlowly is a usual client that writes a long value in pieces over some seconds.
func writeSlowly(addr, id string) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return
	}
	defer c.Close()
	rec.add("client: begins the long write %s, %d bytes in %d pieces", id, longBytes, longPieces)
	fmt.Fprintf(c, "ms line-long %d O%s Pc=recarga,t=red-almacen,d=3000\r\n", longBytes, id)
	piece := bytes.Repeat([]byte("x"), longBytes/longPieces)
	for n := longBytes; n > 0; n -= len(piece) {
		if _, err = c.Write(piece[:min(n, len(piece))]); err != nil {
			break
		}
		time.Sleep(badFor / longPieces)
	}
	io.WriteString(c, "\r\n")
	c.SetReadDeadline(time.Now().Add(3550 * time.Millisecond))
	line, err := bufio.NewReader(c).ReadString('\n')
	rec.add("client: long write %s: %q %v", id, line, err)
}

var badValue = bytes.Repeat([]byte("y"), badBytes)

// badWrite sends one write under the id of another client's open request, at full speed, and reads what it is sent.
func badWrite(addr, id string, answered, closed *atomic.Int64) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		time.Sleep(10 * time.Millisecond)
		return
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(3 * time.Second))
	fmt.Fprintf(c, "ms line-bad %d O%s Pc=recarga,t=red-almacen,d=3000\r\n", badBytes, id)
	c.Write(badValue)
	io.WriteString(c, "\r\n")
	line, err := bufio.NewReader(c).ReadString('\n')
	rec.add("bad client: write of %d bytes under id %s: %q %v", badBytes, id, line, err)
	if err != nil {
		closed.Add(1)
	} else {
		answered.Add(1)
	}
}
