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
	// MaxBufferedBytes is the longest value that is buffered completely. Longer ones are streamed, and their latency is measured to the
	// first bytes.
	MaxBufferedBytes = 64 << 10
	// StreamBufferBytes is the buffer size for streaming a value.
	StreamBufferBytes = 32 << 10
	// StreamTimeout is how long a peer may neither send nor accept any byte of a value. Slow peers pause too, but for less than that.
	StreamTimeout = 5 * time.Second
)

// Upload is a long value that is still arriving from the client. Only one attempt can take it: Reader cannot be read a second time.
type Upload struct {
	Length    int
	Reader    io.Reader            // fails if the value is incomplete
	TimeLeft  func() time.Duration // how long the client still waits if it has sent its last byte by now; less than its whole time if it may have sent it before
	Deadline  deadline.Deadline    // set by Reader before it returns the last byte
	Done      chan struct{}        // closed when Reader is no longer read, by whoever took the upload
	announced time.Duration        // remaining time announced to the host
	taken     atomic.Bool
}

// TooLate reports that the host was given more time than the client would have left if the last byte were written now. This happens
// when the host reads the value more slowly than the client sends it.
func (u *Upload) TooLate() bool { return u.Deadline.Remaining()+lastByteAllowance < u.announced }

// Take claims the upload. The caller then either reads Reader or declares that nobody will. Take returns false if it was claimed already.
func (u *Upload) Take() bool { return !u.taken.Swap(true) }

var pieceBuffers = sync.Pool{New: func() any { return new([StreamBufferBytes]byte) }}

// Copy copies exactly length bytes. If it fails, readerFault reports whether the reader or the writer failed.
func Copy(to io.Writer, from io.Reader, length int) (readerFault bool, err error) {
	buffer := pieceBuffers.Get().(*[StreamBufferBytes]byte)
	defer pieceBuffers.Put(buffer)
	for length > 0 {
		n, err := from.Read(buffer[:min(length, StreamBufferBytes)])
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

// ExtendingConn is a connection whose write deadline is extended with each write.
type ExtendingConn struct{ net.Conn }

func (p ExtendingConn) Write(b []byte) (int, error) {
	p.SetWriteDeadline(time.Now().Add(StreamTimeout))
	return p.Conn.Write(b)
}

// Value is a long value that is being received from a host.
type Value struct {
	Length  int
	conn    *conn
	readEnd func() error // reads and checks the end of the answer after the value
	err     error        // failure of the host
}

func (v *Value) Read(p []byte) (n int, err error) {
	v.conn.net.SetReadDeadline(time.Now().Add(StreamTimeout))
	n, err = v.conn.reader.Read(p)
	if err != nil {
		v.err = err
	}
	return n, err
}

// End reads what follows the value and reports whether the value ended correctly.
func (v *Value) End() error {
	if v.err == nil {
		v.conn.net.SetReadDeadline(time.Now().Add(StreamTimeout))
		v.err = v.readEnd()
	}
	return v.err
}

// streamValue passes a long value on while it is received. A client that does not read it is not a failure of the host, but the
// connection cannot be reused.
func (c *conn) streamValue(a *Attempt, r Result, length int, readEnd func() error) (Result, bool, error) {
	if !c.hosts.beginTransfer(c.host) {
		return r, false, errTooManyTransfers
	}
	defer c.hosts.endTransfer(c.host)
	if !a.ReserveMemory(StreamBufferBytes) {
		return r, false, errNoMemory
	}
	v, began := &Value{Length: length, conn: c, readEnd: readEnd}, time.Now()
	whole := a.StreamValue(v)
	r.ClientTransferTime = time.Since(began)
	return r, whole, v.err
}

// writeUpload writes a long value while it arrives from the client. The outcome is Fulfilled if the last byte was written.
func (c *conn) writeUpload(a *Attempt, announced time.Duration) (policy.Outcome, error) {
	defer close(a.Upload.Done)
	a.Upload.announced = announced
	to := ExtendingConn{c.net}
	if _, err := to.Write(c.writeBuffer); err != nil {
		return policy.ConnectFailed, err
	}
	if readerFault, err := Copy(to, a.Upload.Reader, a.Upload.Length); readerFault {
		return policy.NeverSent, err // the client failed, not the host
	} else if err != nil {
		return policy.ConnectFailed, err
	}
	if !c.host.isOrigin {
		if _, err := io.WriteString(to, "\r\n"); err != nil {
			return policy.ConnectFailed, err
		}
	}
	c.net.SetReadDeadline(a.Upload.Deadline.Time())
	return policy.Fulfilled, nil
}
