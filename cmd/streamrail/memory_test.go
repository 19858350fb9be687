package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

// anonymousMemory returns the anonymous memory of the process in bytes, which is what a platform holds against its memory limit.
func (p *balancerProcess) anonymousMemory(t *testing.T) (total int64) {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		if f := strings.Fields(line); f[0] == "RssAnon:" || f[0] == "RssShmem:" {
			kilobytes, _ := strconv.ParseInt(f[1], 10, 64)
			total += kilobytes << 10
		}
	}
	return total
}

// raceMemoryFactor is by how much the race detector multiplies the memory of a program, at the most.
const raceMemoryFactor = 10

// expectMemoryBelow polls the memory of the process for some time and checks that it stays below a limit.
func (p *balancerProcess) expectMemoryBelow(t *testing.T, limit int64, during time.Duration) {
	t.Helper()
	if len(buildFlags) > 0 { // the program is built with the race detector
		limit *= raceMemoryFactor
	}
	peak := int64(0)
	for began := time.Now(); time.Since(began) < during; time.Sleep(2 * time.Millisecond) {
		peak = max(peak, p.anonymousMemory(t))
	}
	if peak > limit {
		t.Errorf("the process used %d MB, its limit is %d MB", peak>>20, limit>>20)
	}
}

// limitedMemoryMB is the smallest memory limit that operators set.
const limitedMemoryMB = 32

// launchLimited starts a balancer with little memory.
func launchLimited(t *testing.T, change map[string]any, hosts map[string]string) *balancerProcess {
	d := newDiscoveryServer(t)
	for id, addr := range hosts {
		machineType := "cache"
		if id == "origin" {
			machineType = id
		}
		d.setHost(id, addr, machineType, "active")
	}
	cfg := deploymentConfig(d, freeAddr(t), change)
	cfg["limits"] = map[string]any{"cores": 1.0, "memory_mb": limitedMemoryMB, "sockets": 512}
	return launchServing(t, cfg)
}

// TestMemoryOfValuesUnderUsedID guards against long values that are read whole without being counted, as their request's id belongs to
// another request in flight. Each of these clients sends nearly all of a value and waits.
func TestMemoryOfValuesUnderUsedID(t *testing.T) {
	h := newHost(t, "h", answerHit)
	p := launchLimited(t, readWriteThrough, map[string]string{"h": h.addr})
	first := p.dial(t)
	first.send(fmt.Sprintf("ms k %d Oa Pc=pay,d=900\r\n%s", largeValueSize, valueChunk))
	time.Sleep(100 * time.Millisecond) // its id is in use now
	for range 2 * limitedMemoryMB * (1 << 20) / largeValueSize {
		c := p.dial(t)
		go func() {
			fmt.Fprintf(c, "ms k %d Oa Pc=pay,d=900\r\n", largeValueSize)
			for range largeValueSize/len(valueChunk) - 1 {
				io.WriteString(c, valueChunk)
			}
		}()
	}
	p.expectMemoryBelow(t, limitedMemoryMB<<20, time.Second)
	last := p.dial(t) // what is discarded ends where it should: the answer follows, and the connection stays usable
	go func(conn net.Conn) {
		fmt.Fprintf(conn, "ms k %d Oa Pc=pay,d=900\r\n%s\r\n", largeValueSize, strings.Repeat("w", largeValueSize))
	}(last.Conn)
	expect(t, last.next(), "CLIENT_ERROR id is in hand")
	expect(t, last.ask("mn\r\n"), "MN")
}

// TestMemoryOfEndlessAnswers guards against answers of the origin that are held before they are counted: a body whose length nobody told is
// read in pieces as long as the origin sends them.
func TestMemoryOfEndlessAnswers(t *testing.T) {
	for name, endless := range map[string]struct{ head, piece string }{
		"no length": {"HTTP/1.1 200 OK\r\n\r\n", valueChunk},
		"chunks":    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n", len(valueChunk), valueChunk)},
	} {
		t.Run(name, func(t *testing.T) {
			origin := serveRaw(t, func(conn net.Conn) {
				if _, err := conn.Read(make([]byte, 4096)); err != nil {
					return
				}
				io.WriteString(conn, endless.head)
				for n := 0; n < largeValueSize-len(valueChunk); n += len(valueChunk) {
					if _, err := io.WriteString(conn, endless.piece); err != nil {
						return
					}
				}
				time.Sleep(waitTimeout)
			})
			h := newHost(t, "h", answerMiss)
			p := launchLimited(t, nil, map[string]string{"h": h.addr, "origin": origin})
			for i := range 2 * limitedMemoryMB * (1 << 20) / largeValueSize {
				p.dial(t).send(getRequest(fmt.Sprint("k", i), fmt.Sprint("a", i), 1500))
			}
			p.expectMemoryBelow(t, limitedMemoryMB<<20, 1200*time.Millisecond)
		})
	}
}
