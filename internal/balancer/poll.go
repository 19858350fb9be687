package balancer

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// rawConnOf gives access to the system's socket behind a connection or a listener; nil where there is none.
func rawConnOf(socket any) syscall.RawConn {
	conn, ok := socket.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}

// pollEvents asks the system which of some events stand at a socket, without a wait. An error tells that it does not know.
func pollEvents(raw syscall.RawConn, events int16) (ready int16, err error) {
	controlErr := raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: events}}
		_, err = unix.Poll(fds, 0)
		ready = fds[0].Revents
	})
	if controlErr != nil {
		return 0, controlErr
	}
	return ready, err
}
