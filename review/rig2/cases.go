package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

func init() {
	cases["sameid"] = sameID
	cases["pipeline"] = pipelineAtShutdown
	cases["oldlist"] = oldList
	cases["slowlist"] = slowList
	cases["slowread"] = slowRead
	cases["refusedcall"] = refusedCall
	cases["crowd"] = crowd
}

// awaitReady waits until the process says at its admin address that it takes clients.
func (w *world) awaitReady(p *process) {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if resp, err := http.Get("http://" + p.admin + "/api/ready"); err == nil {
			resp.Body.Close()
			if resp.StatusCode/100 == 2 {
				w.printf("process %d says that it is ready", p.cmd.Process.Pid)
				return
			}
		}
	}
	panic(cannotRun{"the balancer is not ready within 10 s"})
}

// sameID: in an upgrade, a bad client uses the id of another client's open write at the newer process.
func sameID(w *world) (breaches []string) {
	cache, origin := w.newCache("cache-1"), w.newOrigin("origin-1", 2200*time.Millisecond)
	d := w.newDiscovery("discovery", 41, cache.entry("small"), origin.entry("origin"))
	config := newConfig("n1", d.addr(), 3*time.Second)
	config.Admin = freeAddr()
	older := w.start(config, "tmp")
	w.awaitServing(config.Listen)
	w.awaitReady(older)
	time.Sleep(300 * time.Millisecond)

	const id = "O9b1f03aa5c7e2d41"
	victim := w.dial(config.Listen)
	w.printf("the client writes key 7f3a9c21e0b4d655, id %s, a product that must never run twice", id)
	must(victim.send("ms 7f3a9c21e0b4d655 5 "+"O"+id+" Pc=put,t=acme,d=3000\r\nhello\r\n"), "write")
	wroteAt := time.Now()
	for end := wroteAt.Add(time.Second); len(origin.all()) == 0; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			panic(cannotRun{"the origin did not get the write"})
		}
	}
	if w.trouble {
		next := *config
		next.Admin = freeAddr()
		newer := w.start(&next, "tmp")
		w.awaitReady(newer)
		w.printf("SIGTERM to the older process")
		older.signal(syscall.SIGTERM)
		time.Sleep(300 * time.Millisecond)
	} else {
		time.Sleep(500 * time.Millisecond)
	}
	if time.Since(wroteAt) > 1800*time.Millisecond {
		panic(cannotRun{"the newer process came too late for the open write"})
	}
	bad := w.dial(config.Listen)
	w.printf("a bad client uses the same id")
	must(bad.send("ms 7f3a9c21e0b4d655 5 "+"O"+id+" Pc=put,t=acme,d=1500\r\nhello\r\n"), "write")
	line, _, err := bad.answer(2500 * time.Millisecond)
	w.printf("the bad client got %q, %v", line, err)
	line, _, err = victim.answer(3 * time.Second)
	w.printf("the client got %q, %v", line, err)
	n := 0
	for _, x := range origin.all() {
		if x.id == id {
			n++
		}
	}
	if n > 1 {
		breaches = append(breaches, fmt.Sprintf("the origin got %d attempts with id %s of a product that must never run twice, the second while the first was out", n, id))
	}
	return breaches
}

// pipelineAtShutdown: a planned restart while half of the cache hosts hang; a client sends many commands at once after SIGTERM.
func pipelineAtShutdown(w *world) (breaches []string) {
	const commands = 64
	timeout := 3 * time.Second
	caches := []*server{w.newCache("cache-1"), w.newCache("cache-2"), w.newCache("cache-3"), w.newCache("cache-4")}
	origin := w.newOrigin("origin-1", 20*time.Millisecond)
	hang := make(chan struct{})
	for _, s := range caches[:2] {
		good := s.answer
		s.answer = func(x *shot, c connection) string {
			select {
			case <-hang:
				return ""
			default:
				return good(x, c)
			}
		}
	}
	d := w.newDiscovery("discovery", 41, caches[0].entry("small"), caches[1].entry("small"), caches[2].entry("small"), caches[3].entry("small"), origin.entry("origin"))
	config := newConfig("n1", d.addr(), timeout)
	p := w.start(config, "tmp")
	w.awaitServing(config.Listen)
	c := w.dial(config.Listen)
	for i := range 200 { // an ordinary client for a while
		must(c.send(fmt.Sprintf("mg key%d v Owarm%011d Pc=read,t=acme,d=3000\r\n", i, i)), "read")
		if line, _, err := c.answer(3 * time.Second); err != nil || !strings.HasPrefix(line, "VA ") {
			w.printf("warm-up read %d: %q %v", i, line, err)
		}
	}
	termAt := time.Now()
	if w.trouble {
		close(hang)
		w.printf("cache-1 and cache-2, two of four cache hosts, hang from now on; SIGTERM")
		p.signal(syscall.SIGTERM)
		killed := time.AfterFunc(timeout+700*time.Millisecond, func() { w.printf("SIGKILL"); p.signal(syscall.SIGKILL) })
		defer killed.Stop()
	}
	time.Sleep(500 * time.Millisecond)
	var text strings.Builder
	for i := range commands {
		fmt.Fprintf(&text, "mg pkey%d v Opipe%011d Pc=read,t=acme,d=3000\r\n", i, i)
	}
	must(c.send(text.String()), "commands")
	since := func() time.Duration { return time.Since(termAt).Round(time.Millisecond) }
	w.printf("%d commands sent at once, %v after SIGTERM; their time is over %v after it", commands, since(), since()+timeout)
	answers := 0
	for answers < commands {
		line, _, err := c.answer(5 * time.Second)
		if err != nil {
			w.printf("after %d answers the connection ended, %v after SIGTERM: %q %v", answers, since(), line, err)
			break
		}
		answers++
		w.printf("answer %d, %v after SIGTERM: %s", answers, since(), line)
	}
	if answers < commands {
		breaches = append(breaches, fmt.Sprintf("%d of %d requests that the balancer had taken were never answered", commands-answers, commands))
	}
	return breaches
}

// sendReads sends reads one by one, on a new connection where the last one has ended, until stop is closed.
func (w *world) sendReads(addr string, stop chan struct{}) {
	var c *client
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		if c == nil {
			conn, err := net.DialTimeout("tcp", addr, 2*time.Second)
			if err != nil {
				continue
			}
			c = newClient(w, conn)
		}
		err := c.send(fmt.Sprintf("mg key%d v Oread%011d Pc=read,t=acme,d=3000\r\n", i%97, i))
		if err == nil {
			_, _, err = c.answer(4 * time.Second)
		}
		if err != nil {
			c.conn.Close()
			c = nil
		}
	}
}

// lateSends returns what a host got later than a time, and the number of such attempts.
func lateSends(s *server, after time.Time) (n int, last time.Duration) {
	for _, x := range s.all() {
		if x.firstByte.After(after) {
			n++
			last = x.firstByte.Sub(after)
		}
	}
	return n, last
}

// oldList: a host has left; then a new configuration moves discovery to an address whose list is some versions late.
func oldList(w *world) (breaches []string) {
	grace, slack := time.Second, 50*time.Millisecond
	a, b, x := w.newCache("cache-a"), w.newCache("cache-b"), w.newCache("cache-x")
	origin := w.newOrigin("origin-1", 20*time.Millisecond)
	entries := []instance{a.entry("small"), b.entry("small"), x.entry("small"), origin.entry("origin")}
	first := w.newDiscovery("discovery-1", 41, entries...)
	second := w.newDiscovery("discovery-2", 41, entries...)
	config := newConfig("n1", first.addr(), 3*time.Second)
	p := w.start(config, "tmp")
	w.awaitServing(config.Listen)
	stop := make(chan struct{})
	go w.sendReads(config.Listen, stop)
	time.Sleep(3 * time.Second)
	leaving := x.entry("small")
	leaving.Lifecycle = "leaving"
	first.set(leaving)
	time.Sleep(time.Second)
	gone := leaving
	gone.Lifecycle = "left"
	first.set(gone)
	toldAt := time.Now()
	time.Sleep(2 * time.Second)
	n, _ := lateSends(x, toldAt.Add(grace+slack))
	w.printf("%d attempts reached cache-x after the grace, before the new configuration", n)
	if !w.trouble { // the new address has the same list as the old one
		second.set(leaving)
		second.set(gone)
	}
	config.Discovery = second.addr()
	w.writeConfig(config)
	w.printf("new configuration, SIGHUP")
	p.signal(syscall.SIGHUP)
	time.Sleep(3 * time.Second)
	if w.trouble { // it is 3 s late
		second.set(leaving)
		second.set(gone)
	}
	time.Sleep(2 * time.Second)
	close(stop)
	if n, last := lateSends(x, toldAt.Add(grace+slack)); n > 0 {
		breaches = append(breaches, fmt.Sprintf("%d attempts reached cache-x later than %v after the balancer was told that it is gone, the last one %v after that", n, grace+slack, last.Round(time.Millisecond)))
	}
	return breaches
}

// slowList: a new configuration moves discovery to an address that takes 3.5 s for the whole list.
func slowList(w *world) (breaches []string) {
	const grace, slack, told = askedGrace, 50 * time.Millisecond, 6 * time.Second
	first, x, config := w.newAskedDeployment("n1")
	entries := config.Known.(targets).Instances
	second := w.newDiscovery("second discovery", 41, entries...)
	if w.trouble {
		second.before = func(whole bool) {
			if whole {
				time.Sleep(3500 * time.Millisecond)
			}
		}
	}
	p := w.start(config, "tmp")
	w.awaitServing(config.Listen)
	stop := make(chan struct{})
	defer close(stop)
	go w.sendReads(config.Listen, stop)
	time.Sleep(7 * time.Second)
	leaving := x.entry("small")
	leaving.Lifecycle = "leaving"
	second.set(leaving)
	config.Discovery = second.addr()
	w.writeConfig(config)
	w.printf("new configuration, SIGHUP")
	p.signal(syscall.SIGHUP)
	hupAt := time.Now()
	first.listener.Close()
	time.Sleep(15 * time.Second)
	if n, last := lateSends(x, hupAt.Add(told+grace+slack)); n > 0 {
		breaches = append(breaches, fmt.Sprintf("%d attempts reached %s later than %v after SIGHUP, the last one %v after that", n, x.name, told+grace+slack, last.Round(time.Millisecond)))
	}
	return breaches
}

// slowRead: a planned restart while a cache host takes some seconds to give a long value.
func slowRead(w *world) (breaches []string) {
	const size, piece = 4 << 20, 64 << 10
	timeout := 1200 * time.Millisecond
	cache, origin := w.newCache("cache-1"), w.newOrigin("origin-1", 20*time.Millisecond)
	given := make(chan int, 1)
	cache.answer = func(x *shot, c connection) string {
		io.WriteString(c, fmt.Sprintf("VA %d O%s\r\n", size, x.id))
		for i := 0; i < size; i += piece {
			if _, err := io.WriteString(c, strings.Repeat("v", piece)); err != nil {
				w.printf("%s could not give more than %d bytes: %v", x.server, i, err)
				given <- i
				return ""
			}
			time.Sleep(50 * time.Millisecond)
		}
		given <- size
		return "\r\n"
	}
	d := w.newDiscovery("discovery", 41, cache.entry("small"), origin.entry("origin"))
	config := newConfig("n1", d.addr(), timeout)
	p := w.start(config, "tmp")
	w.awaitServing(config.Listen)
	c := w.dial(config.Listen)
	must(c.send("mg key v Oread000000000001 Pc=read,t=acme,d=1200\r\n"), "read")
	began := time.Now()
	if w.trouble {
		time.AfterFunc(300*time.Millisecond, func() { w.printf("SIGTERM"); p.signal(syscall.SIGTERM) })
	}
	line, err := c.r.ReadString('\n')
	must(err, "first line")
	w.printf("the client got %s", strings.TrimSpace(line))
	n, err := io.CopyN(io.Discard, c.r, size+2)
	w.printf("%d of %d bytes in %v: %v", n, size+2, time.Since(began).Round(time.Millisecond), err)
	if n < size+2 {
		breaches = append(breaches, fmt.Sprintf("the value ended after %d of %d bytes, though the cache host had more to give", n, size+2))
	}
	return breaches
}

// refusedCall: a watch falls silent once, and the call with which the balancer asks anew is turned away once. Six deployments with one
// balancer each are played side by side, as the time of the next call is drawn.
func refusedCall(w *world) (breaches []string) {
	const deployments = 6
	found := make(chan string, deployments)
	for i := range deployments {
		d, x, config := w.newAskedDeployment(fmt.Sprintf("n%d", i+1))
		w.start(config, config.Name)
		w.awaitServing(config.Listen)
		go func() { found <- w.playRefusedCall(d, x, config) }()
	}
	for range deployments {
		if b := <-found; b != "" {
			breaches = append(breaches, b)
		}
	}
	return breaches
}

// askedGrace is the grace on drains where lists are asked for.
const askedGrace = 500 * time.Millisecond

// newAskedDeployment returns a deployment whose lists are asked for, with the rules of glina-kilns: its discovery, the cache host that will leave and the balancer's
// configuration.
func (w *world) newAskedDeployment(name string) (d *discovery, x *server, config *balancerConfig) {
	a, b, x := w.newCache("cache-a-"+name), w.newCache("cache-b-"+name), w.newCache("cache-x-"+name)
	origin := w.newOrigin("origin-"+name, 20*time.Millisecond)
	entries := []instance{a.entry("small"), b.entry("small"), x.entry("small"), origin.entry("origin")}
	d = w.newDiscovery("discovery-"+name, 41, entries...)
	config = newConfig(name, d.addr(), 3*time.Second)
	config.Settings["discovery"] = "subscribe"
	config.Settings["rules"] = map[string]any{"coldFrom": 0.23, "rampTimeNs": 14 * int64(time.Second), "fallMultiple": 2, "fallNs": int64(time.Second),
		"drainGraceNs": int64(askedGrace), "askEveryNs": 10 * int64(time.Second)}
	config.Known = targets{Generation: 41, Reset: true, Instances: entries}
	return d, x, config
}

// playRefusedCall returns the breach, or "" if there is none.
func (w *world) playRefusedCall(d *discovery, x *server, config *balancerConfig) string {
	const grace, slack, told = askedGrace, 50 * time.Millisecond, 6 * time.Second
	stop := make(chan struct{})
	defer close(stop)
	go w.sendReads(config.Listen, stop)
	time.Sleep(8 * time.Second)
	if w.trouble {
		d.silenceNextWatch()
	}
	<-d.nextCall()
	leaving := x.entry("small")
	leaving.Lifecycle = "leaving"
	d.set(leaving)
	hadAt := time.Now()
	time.Sleep(14 * time.Second)
	n, last := lateSends(x, hadAt.Add(told+grace+slack))
	if n == 0 {
		return ""
	}
	return fmt.Sprintf("%s: %d attempts reached %s later than %v after discovery had the change and the watch had fallen silent, the last one %v after that",
		config.Name, n, x.name, told+grace+slack, last.Round(time.Millisecond))
}

// crowd: clients connect, never finish a request and connect again when they are turned away; each request of the usual clients comes on a
// new connection.
func crowd(w *world) (breaches []string) {
	const (
		crowdClients = 1500
		usualClients = 32
		waits        = 600 * time.Millisecond
		late         = 500*time.Millisecond + 50*time.Millisecond
		played       = 30 * time.Second
	)
	caches := []*server{w.newCache("cache-1"), w.newCache("cache-2"), w.newCache("cache-3")}
	for _, s := range caches {
		good := s.answer
		s.answer = func(x *shot, c connection) string {
			time.Sleep(120 * time.Millisecond)
			return good(x, c)
		}
	}
	origin := w.newOrigin("origin-1", 20*time.Millisecond)
	d := w.newDiscovery("discovery", 41, caches[0].entry("small"), caches[1].entry("small"), caches[2].entry("small"), origin.entry("origin"))
	config := newConfig("n1", d.addr(), 3*time.Second)
	config.Limits = map[string]any{"cores": 1.0, "memory_mb": 96, "sockets": 128}
	w.start(config, "tmp")
	w.awaitServing(config.Listen)
	end := time.Now().Add(played)
	if w.trouble {
		w.printf("%d clients connect, write half a line and wait", crowdClients)
		for i := range crowdClients {
			go w.crowdClient(config.Listen, i, end, &w.crowded)
		}
		time.Sleep(2 * time.Second)
	}
	results := make(chan map[string]int, usualClients)
	for k := range usualClients {
		go func() { results <- w.usualClient(config.Listen, k, waits, late, end) }()
	}
	total := map[string]int{}
	for range usualClients {
		for what, n := range <-results {
			total[what] += n
		}
	}
	w.printf("usual clients: %v; %d connections of the crowd", total, w.crowded.Load())
	if n := total["late"]; n > 0 {
		breaches = append(breaches, fmt.Sprintf("%d requests were answered, or had no answer, later than %v after their time; all: %v", n, late, total))
	}
	return breaches
}

// crowdClient connects, writes half a line and waits until it is turned away, and connects again, until the end of the play. It counts its
// connections.
func (w *world) crowdClient(addr string, number int, end time.Time, connections *atomic.Int64) {
	for time.Now().Before(end) {
		c, err := net.DialTimeout("tcp", addr, time.Second)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		connections.Add(1)
		c.SetReadDeadline(end)
		if number%3 == 0 {
			io.WriteString(c, "mg 7f3a9c21e0b4d655 v O9b1f")
		}
		io.Copy(io.Discard, c)
		c.Close()
	}
}

// usualClient sends reads, each on a new connection, and counts how they ended. A connection that is shut with no answer before the time of
// its request is over counts as turned away.
func (w *world) usualClient(addr string, number int, waits, late time.Duration, end time.Time) map[string]int {
	count := map[string]int{}
	for i := 0; time.Now().Before(end); i++ {
		time.Sleep(300 * time.Millisecond)
		conn, err := net.DialTimeout("tcp", addr, 2*time.Second)
		if err != nil {
			count["not connected"]++
			continue
		}
		c := newClient(w, conn)
		id := fmt.Sprintf("u%04d%011d", number, i)
		if c.send(fmt.Sprintf("mg key%d v O%s Pc=read,t=acme,d=%d\r\n", i%97, id, waits.Milliseconds())) != nil {
			count["turned away"]++
			conn.Close()
			continue
		}
		sentAt := time.Now()
		line, _, err := c.answer(waits + late + 5*time.Second)
		took := time.Since(sentAt)
		conn.Close()
		what := "answered"
		switch {
		case took > waits+late:
			what = "late"
			w.printf("request %s, waits %v: %q %v after %v", id, waits, line, err, took.Round(time.Millisecond))
		case err != nil:
			what = "turned away"
		case strings.HasPrefix(line, "SERVER_ERROR"):
			what = "refused or failed"
		}
		count[what]++
	}
	return count
}
