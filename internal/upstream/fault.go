package upstream

import (
	"errors"
	"slices"
	"syscall"
)

// localErrors are connect and write errors caused by this machine: its ports, file descriptors, memory, firewall rules and routes.
// A refused connection, a timeout or an unreachable host is attributed to the other side.
var localErrors = []syscall.Errno{
	syscall.EADDRNOTAVAIL, syscall.EADDRINUSE, syscall.EAGAIN, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
	syscall.EPERM, syscall.EACCES, syscall.ENETDOWN, syscall.ENETUNREACH,
}

// isLocal reports whether an error was caused by this machine and so says nothing about the host.
func isLocal(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && slices.Contains(localErrors, errno)
}
