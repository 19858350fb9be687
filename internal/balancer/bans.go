package balancer

import (
	"sync"
	"time"
)

// A save of the bans that fails is tried again, at first after a short wait, which doubles and is spread.
const (
	firstSaveWait = 100 * time.Millisecond
	lastSaveWait  = 5 * time.Second
)

// bans are how the hosts out by hand are kept.
type bans struct {
	mu       sync.Mutex // over what holds and the file: of two saves the later one has what holds then
	save     func(path string, what any) error
	retrying bool
}

// saveBans keeps the hosts out by hand in a file. Where that fails it is tried again until it holds.
func (b *Balancer) saveBans() error {
	b.bans.mu.Lock()
	defer b.bans.mu.Unlock()
	err := b.writeBans()
	if err == nil || b.bans.retrying {
		return err
	}
	b.log.Warn().Err(err).Str("file", b.banFile()).Msg("the hosts out by hand are not kept in a file, trying again")
	b.bans.retrying = true
	go b.retryBans()
	return err
}

// writeBans writes what holds now. Under bans.mu.
func (b *Balancer) writeBans() error {
	var all []string
	b.decide(func() { all = b.excluded() })
	return b.bans.save(b.banFile(), all)
}

// retryBans goes on until the file has what holds then.
func (b *Balancer) retryBans() {
	for wait := firstSaveWait; ; wait = min(2*wait, lastSaveWait) {
		select {
		case <-time.After(spread(wait)):
		case <-b.running.Done():
			return
		}
		if b.retriedBans() {
			b.log.Info().Str("file", b.banFile()).Msg("the hosts out by hand are kept in a file again")
			return
		}
	}
}

func (b *Balancer) retriedBans() (kept bool) {
	b.bans.mu.Lock()
	defer b.bans.mu.Unlock()
	b.bans.retrying = b.writeBans() != nil
	return !b.bans.retrying
}
