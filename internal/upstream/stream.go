package upstream

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"streamrail/internal/deadline"
	"streamrail/policy"
)

const (
	// Whole is the longest value that is held whole; a longer one streams. The platform times the first bytes of longer ones.
	Whole = 64 << 10
	// PieceBytes is the buffer of one that streams.
	PieceBytes = 32 << 10
	// PieceWait is how long a peer may give or take nothing within a value: slow ones pause, but not for so long.
	PieceWait = 5 * time.Second
)

// Upload is a long value that is still coming. One attempt takes it; it reads In to its end or not at all any more.
type Upload struct {
	Length   int
	In       io.Reader         // ends with an error where the value is not whole
	Wait     time.Duration     // of the client for the answer, from its last byte on
	Deadline deadline.Deadline // set by In before it gives the last byte
	Ended    chan struct{}     // closed once nobody reads In any more; by who has taken it
	told     time.Duration     // to the server
	taken    atomic.Bool
}

// TooLate tells that a server to which the last byte was written now would have been told more than the client has left: it has
// taken the value more slowly than the client wrote it.
func (u *Upload) TooLate() bool { return u.Deadline.Remaining()+lastByteAllowance < u.told }

// Take makes the caller the one who reads, or who says that nobody will; false where another is.
func (u *Upload) Take() bool { return !u.taken.Swap(true) }

var pieces = sync.Pool{New: func() any { return new([PieceBytes]byte) }}

// Copy moves exactly so many bytes; readerFault tells whether the reader or the writer was at fault.
func Copy(to io.Writer, from io.Reader, length int) (readerFault bool, err error) {
	buffer := pieces.Get().(*[PieceBytes]byte)
	defer pieces.Put(buffer)
	for length > 0 {
		n, err := from.Read(buffer[:min(length, PieceBytes)])
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return false, err
			}
			length -= n
		}
		if err == io.EOF && length > 0 {
			err = io.ErrUnexpectedEOF
		}
		if err != nil && length > 0 {
			return true, err
		}
	}
	return false, nil
}

// Patient moves a connection's time limit for writes on with each piece.
type Patient struct{ net.Conn }

func (p Patient) Write(b []byte) (int, error) {
	p.SetWriteDeadline(time.Now().Add(PieceWait))
	return p.Conn.Write(b)
}

// Value is a long one as it comes from a host.
type Value struct {
	Length int
	c      *conn
	end    func() error // reads what follows it
	err    error        // the host's fault
}

func (v *Value) Read(p []byte) (n int, err error) {
	v.c.net.SetReadDeadline(time.Now().Add(PieceWait))
	n, err = v.c.in.Read(p)
	if err != nil {
		v.err = err
	}
	return n, err
}

// End tells whether the value has ended as it should. What follows it belongs to nobody.
func (v *Value) End() error {
	if v.err == nil {
		v.c.net.SetReadDeadline(time.Now().Add(PieceWait))
		v.err = v.end()
	}
	return v.err
}

// pass hands a long value on as it comes. A client that does not take it is no fault of the host's, but the connection is
// of no more use.
func (c *conn) pass(s *Attempt, r Result, length int, end func() error) (Result, bool, error) {
	if !s.Room(PieceBytes) {
		return r, false, errNoRoom
	}
	v, began := &Value{Length: length, c: c, end: end}, time.Now()
	whole := s.Pass(v)
	r.Peer = time.Since(began)
	return r, whole, v.err
}

// upload writes a long value as it comes from the client; the outcome is Fulfilled where its last byte was written.
func (c *conn) upload(s *Attempt, told time.Duration) policy.Outcome {
	defer close(s.Upload.Ended)
	s.Upload.told = told
	to := Patient{c.net}
	if _, err := to.Write(c.head); err != nil {
		return policy.ConnectFailed
	}
	if readerFault, err := Copy(to, s.Upload.In, s.Upload.Length); readerFault {
		return policy.NeverSent // the host is not to blame
	} else if err != nil {
		return policy.ConnectFailed
	}
	if !c.host.isOrigin {
		if _, err := io.WriteString(to, "\r\n"); err != nil {
			return policy.ConnectFailed
		}
	}
	c.net.SetReadDeadline(s.Upload.Deadline.Time())
	return policy.Fulfilled
}
