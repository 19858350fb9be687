// Package handover connects the two processes of an upgrade over a Unix socket. The older process passes the clients'
// listening socket and its state to the newer one; from then on both send each other changes until one of them ends. The
// package transports these messages and makes no decisions. It also stores state in files that survive a crash.
package handover

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// protocolVersion is the version of the messages. A process takes over only from one that uses the same version.
const protocolVersion = 1

const (
	// exchangeTimeout limits the transfer of the socket and the state. It is a quarter of the time in which a started
	// process has to become ready.
	exchangeTimeout = 1500 * time.Millisecond
	// writeTimeout limits the sending of one message. It can be short because the other process reads continuously.
	writeTimeout = 200 * time.Millisecond
	// maxLineBytes limits a message. A list of ten thousand hosts takes half of this.
	maxLineBytes = 4 << 20
)

// MaxDescriptors is the largest number of file descriptors that a process uses for upgrades: one for the listening Unix
// socket, one for the connection to the peer process and one for a newly accepted connection.
const MaxDescriptors = 3

// State is what the older process passes to the newer one in addition to the socket.
type State struct {
	List     json.RawMessage // the host list, in discovery's format
	ListAddr string          `json:",omitempty"` // the address of the discovery service, if the older process sends a ListUpdate for each further answer
	Excluded []string        // ids of the hosts that operators have excluded
	Learnt   json.RawMessage // what the balancing decisions have learnt about hosts
	Holds    ResourceUsage
	Fleet    json.RawMessage `json:",omitempty"` // its membership in the fleet of balancers, if it has one

	RequestIDs *RequestIDs `json:",omitempty"` // nil: the older process does not exchange IDChanges
}

// RequestIDs are the ids that clients gave to requests which may not run again.
type RequestIDs struct {
	Taken []byte // the digests of the ids, one after another
}

// ResourceUsage is what a process uses of the resources that both processes share: connections of clients, connections to hosts
// and the origin, requests in progress, bytes of memory, and attempts in flight at the origin.
type ResourceUsage struct {
	Clients, Upstream, Calls, Bytes int64
	Origin                          int
	Leaving                         bool // the process is draining and needs no more than it has
}

// hello is the first line that either side sends. The older process includes its state, or the reason for a refusal.
type hello struct {
	Version int
	Refused string `json:",omitempty"`
	Retry   bool   `json:",omitempty"` // the refusal is ErrUpgradeRunning
	State
}

// Path returns the path in dir of the socket or file with the given suffix for the process that serves clients at an
// address. Both processes of an upgrade derive the same path from it.
func Path(dir, listen, suffix string) string {
	return filepath.Join(dir, "streamrail-"+strings.NewReplacer(":", "_", "/", "_").Replace(listen)+suffix)
}

// ListenReusePort opens an address that may still be open in an older process from which this one could not take over.
func ListenReusePort(addr string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) (err error) {
		if controlErr := c.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) }); controlErr != nil {
			return controlErr
		}
		return err
	}}
	return config.Listen(context.Background(), "tcp", addr)
}

// takeOverFrom takes over from the process that listens at the socket of the given name.
func takeOverFrom(name string) (listener net.Listener, state State, peer *Peer, err error) {
	conn, err := net.DialTimeout("unix", name, exchangeTimeout)
	if err != nil {
		return nil, state, nil, err
	}
	unixConn := conn.(*net.UnixConn)
	defer func() {
		if err != nil {
			unixConn.Close()
			if listener != nil {
				listener.Close()
				listener = nil
			}
		}
	}()
	if err = checkSameUser(unixConn); err != nil {
		return
	}
	unixConn.SetDeadline(time.Now().Add(exchangeTimeout))
	if err = json.NewEncoder(unixConn).Encode(hello{Version: protocolVersion}); err != nil {
		return
	}
	if listener, err = receiveListener(unixConn); err != nil {
		return
	}
	reader := bufio.NewReaderSize(unixConn, 4<<10)
	line, err := readLine(reader)
	if err != nil {
		return
	}
	var response hello
	if err = json.Unmarshal(line, &response); err != nil {
		return
	}
	switch {
	case response.Retry:
		err = ErrUpgradeRunning
	case response.Refused != "":
		err = errors.New(response.Refused)
	case response.Version != protocolVersion:
		err = fmt.Errorf("the older process uses message version %d, expected %d", response.Version, protocolVersion)
	case listener == nil:
		err = errors.New("the older process gave no socket")
	}
	if err != nil {
		return
	}
	unixConn.SetDeadline(time.Time{})
	return listener, response.State, newPeer(unixConn, reader), nil
}

// receiveListener reads the first byte and the listening socket that may be attached to it. It returns nil if none is.
func receiveListener(conn *net.UnixConn) (net.Listener, error) {
	first, rights := make([]byte, 1), make([]byte, syscall.CmsgSpace(4))
	_, n, _, _, err := conn.ReadMsgUnix(first, rights)
	if err != nil || n == 0 {
		return nil, err
	}
	messages, err := syscall.ParseSocketControlMessage(rights[:n])
	if err != nil {
		return nil, err
	}
	for _, m := range messages {
		fds, err := syscall.ParseUnixRights(&m)
		if err != nil {
			return nil, err
		}
		for _, fd := range fds {
			f := os.NewFile(uintptr(fd), "listener")
			defer f.Close()
			return net.FileListener(f)
		}
	}
	return nil, nil
}

// readLine reads one line of at most about maxLineBytes.
func readLine(reader *bufio.Reader) (line []byte, err error) {
	for {
		part, err := reader.ReadSlice('\n')
		line = append(line, part...)
		switch {
		case err == nil:
			return line, nil
		case err != bufio.ErrBufferFull:
			return nil, err
		case len(line) > maxLineBytes:
			return nil, errors.New("line too long")
		}
	}
}

// checkSameUser returns an error if the process at the other end belongs to another user. Without this check, another
// user's process that has created the socket's path could take over the clients.
func checkSameUser(conn *net.UnixConn) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	var cred *syscall.Ucred
	if controlErr := raw.Control(func(fd uintptr) {
		cred, err = syscall.GetsockoptUcred(int(fd), syscall.SOL_SOCKET, syscall.SO_PEERCRED)
	}); controlErr != nil {
		return controlErr
	}
	if err == nil && int(cred.Uid) != os.Getuid() {
		err = fmt.Errorf("the other process belongs to user %d", cred.Uid)
	}
	return err
}

// Server serves the Unix socket at which a newer process can take over from this one.
type Server struct {
	listener *net.UnixListener
	path     string // the common path of all processes that serve the same clients' address
	name     string // the name of this process's own socket
}

// Serve listens for newer processes at a socket of its own, which TakeOver finds by the common path. A newer process that
// connects gets the clients' listening socket and the state that prepareState returns. Messages sent to the peer during
// prepareState or afterwards reach it only after that state.
func Serve(path string, clientListener net.Listener, prepareState func(*Peer) (State, error)) (*Server, error) {
	name := path + "." + strconv.FormatUint(uint64(rand.Uint32()), 36)
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: name, Net: "unix"})
	if err != nil {
		return nil, err
	}
	if err = os.Chmod(name, 0o600); err != nil {
		l.Close()
		return nil, err
	}
	go func() {
		for {
			conn, err := l.AcceptUnix()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err != nil {
				time.Sleep(writeTimeout)
				continue
			}
			handOver(conn, clientListener, prepareState)
		}
	}()
	return &Server{listener: l, path: path, name: name}, nil
}

// Publish makes the common path a second name of this process's socket. Versions before this one look only there. It is for a
// process that serves alone.
func (s *Server) Publish() error {
	link := s.name + "l"
	if err := os.Link(s.name, link); err != nil {
		return err
	}
	if err := os.Rename(link, s.path); err != nil {
		os.Remove(link)
		return err
	}
	os.Remove(link) // renaming a name to another one of the same file does nothing
	return nil
}

// Close stops listening and removes the socket's own name. A process that starts afterwards finds no process to take over from.
func (s *Server) Close() { s.listener.Close() }

// handOver answers the connection of one newer process.
func handOver(conn *net.UnixConn, clientListener net.Listener, prepareState func(*Peer) (State, error)) {
	conn.SetDeadline(time.Now().Add(exchangeTimeout))
	reader := bufio.NewReaderSize(conn, 4<<10)
	var request hello
	line, err := readLine(reader)
	if err == nil {
		err = json.Unmarshal(line, &request)
	}
	if err == nil {
		err = checkSameUser(conn)
	}
	if err != nil {
		conn.Close()
		return
	}
	p := newPeer(conn, reader)
	answer := hello{Version: protocolVersion}
	if request.Version != protocolVersion {
		answer.Refused = fmt.Sprintf("the older process uses message version %d, not %d", protocolVersion, request.Version)
	} else {
		p.mu.Lock()
		defer p.mu.Unlock()
		if answer.State, err = prepareState(p); err != nil {
			answer.Refused, answer.Retry = err.Error(), errors.Is(err, ErrUpgradeRunning)
		}
	}
	if answer.Refused != "" {
		conn.Write([]byte{'\n'})
		json.NewEncoder(conn).Encode(answer)
		conn.Close()
		return
	}
	if err = sendListener(conn, clientListener); err == nil {
		err = json.NewEncoder(conn).Encode(answer)
	}
	if err != nil {
		p.Close()
		return
	}
	conn.SetDeadline(time.Time{})
}

// sendListener sends the listening socket, attached to one byte. The socket stays open in this process too.
func sendListener(conn *net.UnixConn, clientListener net.Listener) error {
	tcp, ok := clientListener.(*net.TCPListener)
	if !ok {
		return errors.New("not a TCP socket")
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	if controlErr := raw.Control(func(fd uintptr) { _, _, err = conn.WriteMsgUnix([]byte{'\n'}, syscall.UnixRights(int(fd)), nil) }); controlErr != nil {
		return controlErr
	}
	return err
}
