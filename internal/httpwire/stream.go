package httpwire

import (
	"bufio"
	"io"
	"net/http/httputil"
)

// Stream is the body of a response that is read while it arrives. It returns io.EOF only after the complete body, so that the
// connection can carry the next exchange then.
type Stream struct {
	in      *bufio.Reader
	body    io.Reader
	left    int   // bytes that the body may still have
	length  int   // bytes missing from a body of known length; -1: the length is not known
	chunked bool  // trailers follow the last chunk
	err     error // that ended the stream
}

// Open parses the head of one response and returns its body, of at most maxBytes bytes, to be read by the caller.
func Open(in *bufio.Reader, maxBytes int) (r Response, body *Stream, err error) {
	r, length, chunked, err := readFinalHead(in)
	if err != nil {
		return r, nil, err
	}
	if length > maxBytes {
		return r, nil, ErrTooLarge
	}
	body = &Stream{in: in, body: in, left: maxBytes, length: length, chunked: chunked}
	switch {
	case r.Status == 204 || r.Status == 304:
		body.length = 0
	case chunked:
		body.body = httputil.NewChunkedReader(in)
	case length < 0:
		r.Close = true
	}
	return r, body, nil
}

// Err returns the error of the connection or of the framing that has ended the body; nil if there was none.
func (s *Stream) Err() error {
	if s.err == io.EOF {
		return nil
	}
	return s.err
}

// Read reads the next part of the body.
func (s *Stream) Read(p []byte) (n int, err error) {
	if s.err != nil {
		return 0, s.err
	}
	if s.length == 0 {
		s.err = io.EOF
		return 0, s.err
	}
	if s.length > 0 {
		p = p[:min(len(p), s.length)]
	}
	n, err = s.body.Read(p)
	if s.left -= n; s.left < 0 {
		n, err = 0, ErrTooLarge
	}
	if s.length > 0 {
		if s.length -= n; err == io.EOF && s.length > 0 {
			err = io.ErrUnexpectedEOF
		}
	}
	if err == io.EOF && s.chunked {
		err = s.endChunks()
	}
	s.err = err
	return n, err
}

// endChunks reads what follows the last chunk. It returns io.EOF if that is sound.
func (s *Stream) endChunks() error {
	switch err := skipTrailers(s.in); err {
	case nil:
		return io.EOF
	case io.EOF:
		return io.ErrUnexpectedEOF
	default:
		return err
	}
}
