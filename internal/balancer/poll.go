package balancer

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// rawConnOf returns the raw socket of a connection or a listener, nil if it has none.
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

// pollEvents returns which of the given poll events are ready on a socket, without waiting. On an error the state is unknown.
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
