// Command rig plays the cases of the review: the stand-ins for clients, cache hosts, the origin, discovery and the platform, all on
// loopback addresses. The balancers are separate processes, started with the command of the deploy file.
package main

import (
	"fmt"
	"net"
	"os"
	"os/signal"
	"runtime"
	"sync"
	"syscall"
	"time"
)

// maxRunTime ends a case that hangs.
const maxRunTime = 110 * time.Second

var (
	rec     *record
	trouble = os.Getenv("TROUBLE") != "0"
	exitMu  sync.Mutex
)

// exit ends all processes that the case started, closes the record and ends this one.
func exit(code int) {
	exitMu.Lock() // never unlocked: the first caller ends the process
	killAll()
	if rec != nil {
		rec.close()
	}
	os.Exit(code)
}

func cannotRun(format string, a ...any) {
	text := fmt.Sprintf(format, a...)
	fmt.Fprintln(os.Stderr, "the case could not run: "+text)
	if rec != nil {
		rec.add("could not run: %s", text)
	}
	exit(2)
}

// verdict ends the case.
func verdict(broken bool) {
	if broken {
		rec.say("verdict: the rule was broken (TROUBLE=%v)", trouble)
		exit(1)
	}
	rec.say("verdict: the rule held (TROUBLE=%v)", trouble)
	exit(0)
}

func main() {
	runtime.LockOSThread() // child processes are tied to the life of this thread
	cases := map[string]func(){"comeback": comeback, "badclients": badClients, "longwrite": longWrites,
		"rolledback": rolledBack, "outorders": outOrders, "upgradenews": upgradeNews} // the last three are trials, see REPORT.md
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE")
		os.Exit(2)
	}
	rec = openRecord(os.Getenv("RIG_RECORD"))
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-signals:
			cannotRun("interrupted")
		case <-time.After(maxRunTime):
			cannotRun("out of time")
		}
	}()
	cases[os.Args[1]]()
}

// loopback returns the loopback address of this run: another run, or another program, would have to draw the same one to take a port
// of it.
func loopback() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 101+pid>>16%100, pid>>8&255, max(1, pid&255%254))
}

// listen opens a listener on a free port.
func listen() net.Listener {
	l, err := net.Listen("tcp", loopback()+":0")
	if err != nil {
		cannotRun("%v", err)
	}
	return l
}

// freeAddr returns an address with a free TCP port.
func freeAddr() string {
	l := listen()
	defer l.Close()
	return l.Addr().String()
}

// freeUDPAddr returns an address with a free UDP port.
func freeUDPAddr() string {
	c, err := net.ListenPacket("udp4", loopback()+":0")
	if err != nil {
		cannotRun("%v", err)
	}
	defer c.Close()
	return c.LocalAddr().String()
}
