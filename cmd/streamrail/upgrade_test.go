package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// until waits for something that comes; it decides no verdict unless it never does.
func until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for began := time.Now(); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Since(began) > patience {
			t.Fatal("never: " + what)
		}
	}
}

// ready starts a process with a door, on what may be another's address, and waits for its yes.
func ready(t *testing.T, c map[string]any, dir string) (p *running, door string) {
	door = freeAddr(t)
	p = launch(t, c, "GW_ADMIN_ADDR="+door, "TMPDIR="+dir)
	p.addr = c["listen"].(string)
	until(t, "ready", func() bool {
		conn, err := net.Dial("tcp", door)
		if err != nil {
			return false
		}
		conn.Close()
		status, _ := atDoor(t, door, "GET", "/api/ready", "")
		return status == 200
	})
	return p, door
}

// shortDir is a directory whose path leaves room for a Unix socket's name.
func shortDir(t *testing.T) string {
	dir, err := os.MkdirTemp("", "h")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(dir) })
	return dir
}

// oneHost is a directory and a configuration with a cache host that answers all.
func oneHost(t *testing.T) (dir string, c map[string]any) {
	d := newList(t)
	d.set("h", newHost(t, "h", hit).addr, "cache", "active")
	return shortDir(t), config(d, freeAddr(t), through)
}

// Ten versions, one after the other, under clients that open connections all the time: none is refused or closed with
// its call unheard, each call gets its answer, and what is out by hand stays out.
func TestUpgradesUnderLoad(t *testing.T) {
	h, other := newHost(t, "h", hit), newHost(t, "other", hit)
	d := newList(t)
	d.set("h", h.addr, "cache", "active")
	d.set("other", other.addr, "cache", "active")
	listen := freeAddr(t)
	dir, c := shortDir(t), config(d, listen, through)
	p, door := ready(t, c, dir)
	if status, text := atDoor(t, door, "POST", "/api/exclude", `{"member":"other"}`); status != 200 {
		t.Fatal(text)
	}
	go func() {
		for range h.came { // it plays no part here, and full it would hold the host up
		}
	}()
	var all sync.WaitGroup
	var stop atomic.Bool
	var asked, back atomic.Int64
	for i := range 4 {
		all.Go(func() {
			for n := 0; !stop.Load(); n++ {
				conn, err := net.Dial("tcp", listen)
				if err != nil {
					back.Add(1)
					continue
				}
				conn.SetDeadline(time.Now().Add(patience))
				fmt.Fprint(conn, get("k", fmt.Sprintf("%d-%d", i, n), 3000))
				asked.Add(1)
				if line, _ := bufio.NewReader(conn).ReadString('\n'); !strings.HasPrefix(line, "VA ") {
					back.Add(1)
					t.Errorf("got %q", line)
				}
				conn.Close()
			}
		})
	}
	for range 10 {
		old := p
		p, door = ready(t, c, dir)
		before := asked.Load()
		old.Process.Signal(syscall.SIGTERM)
		if code := old.exit(t); code != 0 {
			t.Errorf("the older process ends with %d", code)
		}
		until(t, "calls after it", func() bool { return asked.Load() > before+20 })
	}
	stop.Store(true)
	all.Wait()
	if n := back.Load(); n > 0 {
		t.Errorf("%d of %d were turned back", n, asked.Load())
	}
	if n := other.count(); n > 0 {
		t.Errorf("the host that is out got %d", n)
	}
	if n := figure(t, door, "app_cluster_unhealthy"); n != 1 {
		t.Errorf("%d are avoided, expected 1", n)
	}
}

// A ban that either door takes holds in both processes, and after one of them was killed.
func TestBansOfBoth(t *testing.T) {
	dir, c := oneHost(t)
	old, first := ready(t, c, dir)
	p, second := ready(t, c, dir)
	doors := map[string]string{"older": first, "newer": second}
	for at, door := range doors {
		for _, call := range []string{"exclude", "include"} {
			if status, text := atDoor(t, door, "POST", "/api/"+call, `{"member":"h"}`); status != 200 {
				t.Errorf("%s at the %s: %s", call, at, text)
			}
			for where, to := range doors {
				if n := figure(t, to, "app_cluster_unhealthy"); n != map[string]int{"exclude": 1, "include": 0}[call] {
					t.Errorf("%s at the %s door, the %s one: %d are out", call, at, where, n)
				}
			}
		}
		if status, _ := atDoor(t, door, "POST", "/api/exclude", `{"member":"nobody"}`); status != 404 {
			t.Errorf("nobody at the %s: %d", at, status)
		}
	}
	atDoor(t, second, "POST", "/api/exclude", `{"member":"h"}`)
	old.Process.Kill()
	old.exit(t)
	if status, text := atDoor(t, second, "POST", "/api/exclude", `{"member":"h"}`); status != 200 {
		t.Errorf("alone: %s", text)
	}
	p.Process.Kill()
	p.exit(t)
	_, door := ready(t, c, dir) // nobody hands over: the file has it
	if n := figure(t, door, "app_cluster_unhealthy"); n != 1 {
		t.Error("the ban is lost with the processes that were killed")
	}
}

// A start must not hang on, or trust, what it cannot take over from.
func TestNothingToTakeOver(t *testing.T) {
	listenAt := func(t *testing.T, path string, serve func(net.Conn)) {
		l, err := net.Listen("unix", path)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { l.Close() })
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				serve(c)
			}
		}()
	}
	for name, row := range map[string]struct {
		before func(t *testing.T, sock, bans string)
		says   string
	}{
		"nobody": {func(*testing.T, string, string) {}, ""},
		"a socket that was left": {func(t *testing.T, sock, _ string) {
			l, _ := net.ListenUnix("unix", &net.UnixAddr{Name: sock, Net: "unix"})
			l.SetUnlinkOnClose(false)
			l.Close()
		}, ""},
		"no socket at all": {func(t *testing.T, sock, _ string) { os.WriteFile(sock, []byte("x"), 0o600) }, ""},
		"one that hangs":   {func(t *testing.T, sock, _ string) { listenAt(t, sock, func(net.Conn) {}) }, "as if alone"},
		"one that dies":    {func(t *testing.T, sock, _ string) { listenAt(t, sock, func(c net.Conn) { c.Close() }) }, "as if alone"},
		"one that dies later": {func(t *testing.T, sock, _ string) {
			listenAt(t, sock, func(c net.Conn) { fmt.Fprint(c, "\n{\"Ver"); c.Close() })
		}, "as if alone"},
		"another version": {func(t *testing.T, sock, _ string) {
			listenAt(t, sock, func(c net.Conn) { fmt.Fprint(c, "\n{\"Version\":99}\n") })
		}, "version 99"},
		"no clients' socket": {func(t *testing.T, sock, _ string) {
			listenAt(t, sock, func(c net.Conn) { fmt.Fprint(c, "\n{\"Version\":1}\n") })
		}, "gave no socket"},
		"half a file":    {func(t *testing.T, _, bans string) { os.WriteFile(bans, []byte("0badc0de\n[\"h"), 0o600) }, "not readable"},
		"a damaged file": {func(t *testing.T, _, bans string) { os.WriteFile(bans, []byte("00000000\n[\"h\"]"), 0o600) }, "not readable"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			dir, c := oneHost(t)
			path := filepath.Join(dir, "streamrail-"+strings.ReplaceAll(c["listen"].(string), ":", "_"))
			row.before(t, path+".sock", path+".out")
			p, _ := ready(t, c, dir)
			expect(t, p.dial(t).ask(get("k", "a", 900)), "VA 10 Oa|value of k")
			if !strings.Contains(p.log.String(), row.says) {
				t.Errorf("the log does not say %q", row.says)
			}
		})
	}
	t.Run("a path too long", func(t *testing.T) {
		t.Parallel()
		dir := filepath.Join(shortDir(t), strings.Repeat("d", 120))
		os.Mkdir(dir, 0o700)
		c := config(newList(t), freeAddr(t), through)
		p, _ := ready(t, c, dir)
		p.says(t, "cannot take over from this one")
		second, _ := ready(t, c, dir)
		second.says(t, "as if alone")
	})
}

// A newer process that ends before it is ready leaves the older one as it was; a third one meets it again.
func TestHeirDies(t *testing.T) {
	dir, c := oneHost(t)
	old, _ := ready(t, c, dir)
	sock := filepath.Join(dir, "streamrail-"+strings.ReplaceAll(old.addr, ":", "_")+".sock")
	conn, err := net.Dial("unix", sock)
	if err != nil {
		t.Fatal(err)
	}
	json.NewEncoder(conn).Encode(map[string]int{"Version": 1})
	in := bufio.NewReader(conn)
	in.ReadString('\n') // the byte with the socket
	if line, _ := in.ReadString('\n'); !strings.Contains(line, `"instanceId":"h"`) {
		t.Fatalf("handed over: %q", line)
	}
	again, err := net.Dial("unix", sock) // an upgrade in an upgrade is refused
	if err != nil {
		t.Fatal(err)
	}
	json.NewEncoder(again).Encode(map[string]int{"Version": 1})
	in2 := bufio.NewReader(again)
	in2.ReadString('\n')
	if line, _ := in2.ReadString('\n'); !strings.Contains(line, "under way") {
		t.Errorf("a third process is told %q", line)
	}
	conn.Close()
	old.says(t, "has ended")
	expect(t, old.dial(t).ask(get("k", "a", 900)), "VA 10 Oa|value of k")
	p, _ := ready(t, c, dir)
	p.says(t, "taking over")
}
