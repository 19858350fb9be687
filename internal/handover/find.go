package handover

import (
	"errors"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Every process that can hand over listens at a socket with a name of its own: the common path, a dot and random characters.
// The common path is a second name of one of them, for versions that know only this path. Which names exist proves nothing, as
// they outlive their processes; the processes that serve are those that answer.

var (
	// ErrNoOlderProcess is returned by TakeOver if there is no older process.
	ErrNoOlderProcess = errors.New("no process to take over from")
	// ErrUpgradeRunning is the refusal of a process that is in an upgrade: it may hand over once that has ended.
	ErrUpgradeRunning = errors.New("an upgrade is under way already")
)

// retryInterval is the time between two searches while an upgrade is under way.
const retryInterval = 50 * time.Millisecond

// TakeOver takes over from the process that serves upgrades at the path (see Serve), if there is one. While an upgrade is under
// way it tries again while keepTrying returns true, and then returns ErrUpgradeRunning. The caller holds the start lock.
func TakeOver(path string, keepTrying func() bool) (listener net.Listener, state State, peer *Peer, err error) {
	for {
		listener, state, peer, err = takeOverFromAny(path)
		if !errors.Is(err, ErrUpgradeRunning) || !keepTrying() {
			return listener, state, peer, err
		}
		time.Sleep(retryInterval)
	}
}

// takeOverFromAny tries all sockets once. Of several errors it returns the one that says most: that an upgrade is under way, or
// else why a process that answered did not hand over.
func takeOverFromAny(path string) (listener net.Listener, state State, peer *Peer, err error) {
	result := ErrNoOlderProcess
	for _, name := range socketNames(path) {
		listener, state, peer, err = takeOverFrom(name)
		switch {
		case err == nil:
			return listener, state, peer, nil
		case isNobody(err):
			if name != path {
				os.Remove(name)
			}
		case !errors.Is(result, ErrUpgradeRunning):
			result = err
		}
	}
	return nil, State{}, nil, result
}

// socketNames returns the names of the sockets that processes made for themselves, and the common path unless it is a second name of one
// of these.
func socketNames(path string) (names []string) {
	common, _ := os.Lstat(path)
	isSecondName := false
	entries, _ := os.ReadDir(filepath.Dir(path)) // an unreadable directory is noticed at the common path
	for _, entry := range entries {
		if !strings.HasPrefix(entry.Name(), filepath.Base(path)+".") || entry.Type() != os.ModeSocket {
			continue
		}
		names = append(names, filepath.Join(filepath.Dir(path), entry.Name()))
		own, err := entry.Info()
		isSecondName = isSecondName || err == nil && common != nil && os.SameFile(own, common)
	}
	if !isSecondName {
		names = append(names, path)
	}
	return names
}

// isNobody reports whether connecting failed because no process listens: there is no socket, or its process has ended.
func isNobody(err error) bool {
	return errors.Is(err, os.ErrNotExist) || errors.Is(err, syscall.ECONNREFUSED)
}
