// Command streamrail is one balancer: it receives requests from clients and forwards them to cache hosts.
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

// gcPercent lets garbage grow to three times the live heap before a collection. The live heap is only a few megabytes, and
// the memory limit applies in any case. With the default of 100 a busy balancer spent a tenth of its time on collection.
const gcPercent = 300

// run returns the exit code: 0 after a complete drain, 1 if stopped before that, 2 if the start failed.
func run() int {
	log := zerolog.New(os.Stderr).With().Timestamp().Logger()
	reloadSignals := make(chan os.Signal, 1) // one pending signal is enough: the file is read after it is received
	signal.Notify(reloadSignals, syscall.SIGHUP)
	config, err := deployment.FromEnvironment(os.Getenv)
	if err != nil {
		log.Error().Err(err).Msg("faulty configuration")
		return 2
	}
	log = log.With().Str("balancer", config.Name).Logger()
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(gcPercent)
	operatorConfig, err := operator.Read(os.Getenv("STREAMRAIL_FILE"))
	if err != nil {
		log.Error().Err(err).Msg("faulty configuration")
		return 2
	}
	b := balancer.New(config, operatorConfig, log)
	stopSignals := make(chan os.Signal, 4)
	signal.Notify(stopSignals, syscall.SIGTERM, syscall.SIGINT)
	cutShort := make(chan struct{})
	go func() {
		if sig := <-stopSignals; sig == syscall.SIGTERM {
			b.Drain()
			<-stopSignals
		}
		close(cutShort)
		b.Stop()
	}()
	go func() {
		for range reloadSignals {
			if config, err := deployment.Reread(os.Getenv); err != nil {
				log.Error().Err(err).Msg("faulty configuration, nothing changed")
			} else {
				b.Reload(config)
			}
		}
	}()
	if err := b.Run(); err != nil {
		log.Error().Err(err).Msg("start failed")
		return 2
	}
	select {
	case <-cutShort:
		return 1
	default:
		return 0
	}
}
