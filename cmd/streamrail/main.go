// Command streamrail is one balancer: it takes requests from clients and sends them on to cache hosts.
package main

import (
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/rs/zerolog"

	"streamrail/internal/balancer"
	"streamrail/internal/deployment"
	"streamrail/internal/operator"
)

func main() { os.Exit(run()) }

// collectAt lets garbage grow to three times what lives before it is collected: what lives is some megabytes, and the
// memory limit holds whatever the machine gives. At the usual 100 a busy balancer spent a tenth of its time on it.
const collectAt = 300

// run returns the exit code: 0 after an ordered end, 2 after a faulty start, 1 where it was cut short.
func run() int {
	log := zerolog.New(os.Stderr).With().Timestamp().Logger()
	again := make(chan os.Signal, 1) // one that waits stands for all that come meanwhile: the file is read after it
	signal.Notify(again, syscall.SIGHUP)
	told, err := deployment.FromEnvironment(os.Getenv)
	if err != nil {
		log.Error().Err(err).Msg("faulty configuration")
		return 2
	}
	log = log.With().Str("balancer", told.Name).Logger()
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(collectAt)
	own, err := operator.Read(os.Getenv("STREAMRAIL_FILE"))
	if err != nil {
		log.Error().Err(err).Msg("faulty configuration")
		return 2
	}
	b := balancer.New(told, own, log)
	orders := make(chan os.Signal, 4)
	signal.Notify(orders, syscall.SIGTERM, syscall.SIGINT)
	cut := make(chan struct{})
	go func() {
		if s := <-orders; s == syscall.SIGTERM {
			b.Drain()
			<-orders
		}
		close(cut)
		b.Stop()
	}()
	go func() {
		for range again {
			if told, err := deployment.Reread(os.Getenv); err != nil {
				log.Error().Err(err).Msg("faulty configuration, nothing changed")
			} else {
				b.Reload(told)
			}
		}
	}()
	if err := b.Run(); err != nil {
		log.Error().Err(err).Msg("start failed")
		return 2
	}
	select {
	case <-cut:
		return 1
	default:
		return 0
	}
}
