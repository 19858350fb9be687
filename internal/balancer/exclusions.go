package balancer

import (
	"sync"
	"time"
)

// A failed save of the exclusions is retried. The wait doubles from minSaveRetryWait to maxSaveRetryWait, with jitter.
const (
	minSaveRetryWait = 100 * time.Millisecond
	maxSaveRetryWait = 5 * time.Second
)

// exclusionStore saves the hosts that operators have excluded.
type exclusionStore struct {
	mu       sync.Mutex // held from reading the exclusions until they are written, so that a later save never has an older state
	save     func(path string, what any) error
	retrying bool
}

// saveExclusions writes the excluded hosts to a file. If that fails it returns the error and retries in the background until it succeeds.
func (b *Balancer) saveExclusions() error {
	b.exclusions.mu.Lock()
	defer b.exclusions.mu.Unlock()
	err := b.writeExclusions()
	if err == nil || b.exclusions.retrying {
		return err
	}
	b.log.Warn().Err(err).Str("file", b.exclusionFile()).Msg("the hosts out by hand are not kept in a file, trying again")
	b.exclusions.retrying = true
	go b.retrySavingExclusions()
	return err
}

// writeExclusions writes the present exclusions. The caller holds exclusions.mu.
func (b *Balancer) writeExclusions() error {
	var excluded []string
	b.callPolicy(func() { excluded = b.excludedHosts() })
	return b.exclusions.save(b.exclusionFile(), excluded)
}

// retrySavingExclusions retries the save until it succeeds or the balancer stops.
func (b *Balancer) retrySavingExclusions() {
	for wait := minSaveRetryWait; ; wait = min(2*wait, maxSaveRetryWait) {
		select {
		case <-time.After(jitter(wait)):
		case <-b.ctx.Done():
			return
		}
		if b.retrySaveOnce() {
			b.log.Info().Str("file", b.exclusionFile()).Msg("the hosts out by hand are kept in a file again")
			return
		}
	}
}

func (b *Balancer) retrySaveOnce() (saved bool) {
	b.exclusions.mu.Lock()
	defer b.exclusions.mu.Unlock()
	b.exclusions.retrying = b.writeExclusions() != nil
	return !b.exclusions.retrying
}
