package main

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Case comeback: connections to the origin are reset under writes that have begun, long after. The client of a deduplicated write is
// told "SERVER_ERROR busy MS", comes back after MS, and the write runs a second time, as MS leads beyond the window in which a repeat
// is dropped.

const (
	comebackBefore  = 5 * time.Second         // calm, before the disruption
	comebackLength  = 20 * time.Second        // of the disruption; the pages: 15 to 40 s
	comebackAfter   = 6 * time.Second         // calm again
	resetShare      = 0.25                    // of the writes at the origin; the pages: 0.1 to 0.35 of the answers
	resetAfter      = 1500 * time.Millisecond // after the last byte of the request; the pages: "also long after"
	writesPerSecond = 4
	writeTimeout    = 3000 * time.Millisecond // over all tries
	writeTry        = 2400 * time.Millisecond // of one try
	maxRetries      = 2
)

// write is one write of a client with its tries.
type write struct {
	mark  string
	tries []string // ids
	told  []time.Duration
	reply string
}

func comeback() {
	d, o := newDiscovery(), newOrigin()
	d.set("origin", o.addr, "gateway", "active", time.Time{})
	for i := range 4 {
		h := newCacheHost(fmt.Sprintf("cache-%d", i+1))
		d.set(h.id, h.addr, "c2-normal", "active", time.Time{})
	}
	var mu sync.Mutex
	troubled := false
	o.resetIn = func(string) (time.Duration, bool) {
		mu.Lock()
		defer mu.Unlock()
		return resetAfter, troubled && rand.Float64() < resetShare
	}
	var fronts []*clients
	for i := range 2 {
		name, addr := fmt.Sprintf("n%d", i), freeAddr()
		b := start(name, addr, freeAddr(), rigTemp(name), config(name, addr, d, 2))
		b.waitServing()
		fronts = append(fronts, &clients{addr: addr})
	}
	reads := startReads(40, fronts...)
	var writes []*write
	var tasks sync.WaitGroup
	began := time.Now()
	for n := 0; time.Since(began) < comebackBefore+comebackLength+comebackAfter; n++ {
		at := time.Since(began)
		mu.Lock()
		now := trouble && at >= comebackBefore && at < comebackBefore+comebackLength
		if now != troubled {
			rec.add("disruption: resets under writes at the origin: %v", now)
		}
		troubled = now
		mu.Unlock()
		w := &write{mark: newID()}
		writes = append(writes, w)
		tasks.Add(1)
		go func() {
			defer tasks.Done()
			w.run(fronts)
		}()
		time.Sleep(time.Second / writesPerSecond)
	}
	tasks.Wait()
	answers, other := reads.end()
	time.Sleep(200 * time.Millisecond)
	judgeComeback(o, writes, answers, other)
}

// run makes a write and tries again, under a new id with the same mark, only where it was told that trying again is harmless: after the
// time that it was told.
func (w *write) run(fronts []*clients) {
	until := time.Now().Add(writeTimeout)
	for range 1 + maxRetries {
		left := min(writeTry, time.Until(until))
		if left < 200*time.Millisecond {
			return
		}
		id := newID()
		w.tries = append(w.tries, id)
		command := fmt.Sprintf("ms line-%s 5 O%s Pc=recarga-idem,t=red-almacen,d=%d,k=%s\r\nhello\r\n", w.mark[:6], id, left.Milliseconds(), w.mark)
		front := fronts[rand.IntN(len(fronts))]
		line, err := front.ask(command, left)
		rec.add("client: write id=%s k=%s at %s: %s %v", id, w.mark, front.addr, line, err)
		w.reply = line
		rest, busy := strings.CutPrefix(line, "SERVER_ERROR busy")
		if !busy {
			return
		}
		ms, told := strconv.Atoi(strings.TrimSpace(rest))
		if told != nil { // no time was told
			ms = 14 + rand.IntN(97)
		}
		w.told = append(w.told, time.Duration(ms)*time.Millisecond)
		time.Sleep(time.Duration(ms) * time.Millisecond)
	}
}

func judgeComeback(o *origin, writes []*write, answers, other int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	served, refused, failed, twice := 0, 0, 0, 0
	for _, w := range writes {
		switch {
		case strings.HasPrefix(w.reply, "HD "):
			served++
		case strings.HasPrefix(w.reply, "SERVER_ERROR busy"):
			refused++
		default:
			failed++
		}
		if effects := o.effects[w.mark]; len(effects) > 1 {
			twice++
			rec.add("check: k=%s ran %d times: id=%s at %.1f, id=%s at %.1f; the client was told busy with %v and came back then", w.mark, len(effects),
				effects[0].id, rec.ms(effects[0].at), effects[1].id, rec.ms(effects[1].at), w.told)
		}
	}
	rec.say("%d writes: %d served, %d refused at the end, %d failed; %d ran twice after the client had come back when it was told to", len(writes), served, refused, failed, twice)
	rec.say("%d reads got their value, %d did not", answers, other)
	if served == 0 || answers == 0 {
		cannotRun("nothing was served")
	}
	verdict(twice > 0)
}
