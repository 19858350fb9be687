package balancer

import (
	"sync"
	"time"
)

// A save of the bans that fails is tried again, at first after a short wait, which doubles and is spread.
const (
	minSaveRetryWait = 100 * time.Millisecond
	maxSaveRetryWait = 5 * time.Second
)

// exclusionStore are how the hosts out by hand are kept.
type exclusionStore struct {
	mu       sync.Mutex // over what holds and the file: of two saves the later one has what holds then
	save     func(path string, what any) error
	retrying bool
}

// saveExclusions keeps the hosts out by hand in a file. Where that fails it is tried again until it holds.
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

// writeExclusions writes what holds now. Under bans.mu.
func (b *Balancer) writeExclusions() error {
	var excluded []string
	b.callPolicy(func() { excluded = b.excludedHosts() })
	return b.exclusions.save(b.exclusionFile(), excluded)
}

// retrySavingExclusions goes on until the file has what holds then.
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
