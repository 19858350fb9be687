package handover

import (
	"errors"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

// lockPollInterval is how often a waiting process tries to get the lock.
const lockPollInterval = 20 * time.Millisecond

// ErrLockHeld is returned by LockStart if another process held the lock all the time.
var ErrLockHeld = errors.New("another process that starts holds the lock")

// StartLock excludes other processes from starting at the same clients' address, from their search for an older process until
// they can be found themselves. The kernel releases it when the process ends, however that happens.
type StartLock struct{ file *os.File }

// LockStart acquires the lock at a path, and waits for it while keepTrying returns true. The file stays: removing it could leave
// two processes with locks on two files.
func LockStart(path string, keepTrying func() bool) (*StartLock, error) {
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE|unix.O_NOFOLLOW, 0o600)
	if err != nil {
		return nil, err
	}
	for {
		err = unix.Flock(int(file.Fd()), unix.LOCK_EX|unix.LOCK_NB)
		switch {
		case err == nil:
			return &StartLock{file}, nil
		case err == unix.EINTR:
			continue
		case err != unix.EWOULDBLOCK:
			file.Close()
			return nil, err
		case !keepTrying():
			file.Close()
			return nil, ErrLockHeld
		}
		time.Sleep(lockPollInterval)
	}
}

// Release releases the lock. It does nothing if the lock was not acquired or is released already.
func (l *StartLock) Release() {
	if l != nil && l.file != nil {
		l.file.Close()
		l.file = nil
	}
}
