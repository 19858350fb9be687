package upstream

import (
	"errors"
	"slices"
	"syscall"
)

// localFaults are errors of connecting and writing that come of this machine: its ports, descriptors, memory, rules and routes. A
// refusal, silence or an unreachable host are the other side's.
var localFaults = []syscall.Errno{
	syscall.EADDRNOTAVAIL, syscall.EADDRINUSE, syscall.EAGAIN, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
	syscall.EPERM, syscall.EACCES, syscall.ENETDOWN, syscall.ENETUNREACH,
}

// isLocal tells whether an error says nothing of the host.
func isLocal(err error) bool {
	var number syscall.Errno
	return errors.As(err, &number) && slices.Contains(localFaults, number)
}
