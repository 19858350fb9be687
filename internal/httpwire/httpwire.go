// Package httpwire writes HTTP/1.1 requests and parses responses, for talking to the origin and to discovery.
package httpwire

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// Response is a parsed response.
type Response struct {
	Status       int
	NotProcessed bool // the server declares that the request never ran
	Close        bool // the connection cannot be reused
	Body         []byte
	UnreadLength int // length of a long body, which the caller has to read; Body is empty
}

var (
	ErrMalformed = errors.New("malformed response")
	ErrTooLarge  = errors.New("response too large")
)

const (
	maxHeaderFields     = 100
	maxInterimResponses = 8 // 1xx responses before the final one
)

// Header fields of requests to the origin and of its responses.
const (
	HeaderRequestID    = "X-Request-ID"
	HeaderAttrs        = "X-Attrs"
	notProcessedHeader = "X-Not-Processed"
)

// AppendRequest appends a request line and its headers. Header fields are given as pairs of name and value; a negative
// length means that the request has no body.
func AppendRequest(to []byte, method, target, host string, length int, fields ...string) []byte {
	to = append(to, method...)
	to = append(to, ' ')
	to = append(to, target...)
	to = append(to, " HTTP/1.1\r\nHost: "...)
	to = append(to, host...)
	for i := 0; i+1 < len(fields); i += 2 {
		to = append(to, "\r\n"...)
		to = append(to, fields[i]...)
		to = append(to, ": "...)
		to = append(to, fields[i+1]...)
	}
	if length >= 0 {
		to = append(to, "\r\nContent-Length: "...)
		to = strconv.AppendInt(to, int64(length), 10)
	}
	return append(to, "\r\n\r\n"...)
}

// AppendPath appends a key as a path, percent-encoding bytes that are not allowed in a path.
func AppendPath(to []byte, key []byte) []byte {
	to = append(to, '/')
	for _, ch := range key {
		switch {
		case 'a' <= ch && ch <= 'z', 'A' <= ch && ch <= 'Z', '0' <= ch && ch <= '9',
			bytes.IndexByte([]byte("-._~!$&'()*+,;=:@/"), ch) >= 0:
			to = append(to, ch)
		default:
			const hex = "0123456789ABCDEF"
			to = append(to, '%', hex[ch>>4], hex[ch&15])
		}
	}
	return to
}

// Read parses one response, with a body of at most maxBytes bytes. It calls reserve before it keeps bytes of the body and
// returns ErrTooLarge if reserve refuses them. If a response with status 200 has a Content-Length above maxBuffered, its body
// is left for the caller to read.
func Read(in *bufio.Reader, maxBytes, maxBuffered int, reserve func(bytes int) bool) (r Response, err error) {
	var chunked bool
	length := -1
	if r, length, chunked, err = readFinalHead(in); err != nil {
		return r, err
	}
	switch {
	case r.Status == 204 || r.Status == 304:
	case chunked:
		r.Body, err = readChunks(&bodyReader{in: in, maxBytes: maxBytes, reserve: reserve})
	case r.Status == 200 && length > maxBuffered && length <= maxBytes:
		r.UnreadLength = length
	case length > maxBytes || length > 0 && !reserve(length):
		return r, ErrTooLarge
	case length >= 0:
		r.Body = make([]byte, length)
		_, err = io.ReadFull(in, r.Body)
	default: // the body ends with the connection
		r.Close = true
		body := &bodyReader{in: in, maxBytes: maxBytes, reserve: reserve}
		if err = body.readToEnd(); err == nil {
			r.Body, err = body.join()
		}
	}
	return r, err
}

// readFinalHead reads the head of the final response, passing over interim ones.
func readFinalHead(in *bufio.Reader) (r Response, length int, chunked bool, err error) {
	for range maxInterimResponses + 1 {
		r, length, chunked, err = readHead(in)
		switch {
		case err != nil:
			return r, length, chunked, err
		case r.Status/100 == 1:
		case chunked && length >= 0: // two ways of framing allow request smuggling
			return r, length, chunked, ErrMalformed
		default:
			return r, length, chunked, nil
		}
	}
	return r, length, chunked, ErrMalformed
}

// readLine reads one line and returns it without its line end. The result is valid until the next read.
func readLine(in *bufio.Reader) ([]byte, error) {
	s, err := in.ReadSlice('\n')
	if err == bufio.ErrBufferFull {
		return nil, ErrTooLarge
	}
	if err == nil && !bytes.HasSuffix(s, []byte("\r\n")) {
		return nil, ErrMalformed
	}
	return bytes.TrimSuffix(s, []byte("\r\n")), err
}

func readHead(in *bufio.Reader) (r Response, length int, chunked bool, err error) {
	length = -1
	s, err := readLine(in)
	if err != nil {
		return r, length, chunked, err
	}
	if len(s) < 12 || !bytes.HasPrefix(s, []byte("HTTP/1.")) || s[8] != ' ' {
		return r, length, chunked, ErrMalformed
	}
	if r.Status, err = strconv.Atoi(string(s[9:12])); err != nil || r.Status < 100 {
		return r, length, chunked, ErrMalformed
	}
	r.Close = s[7] == '0'
	for range maxHeaderFields {
		if s, err = readLine(in); err != nil || len(s) == 0 {
			return r, length, chunked, err
		}
		name, v, ok := bytes.Cut(s, []byte(":"))
		if !ok {
			return r, length, chunked, ErrMalformed
		}
		v = bytes.TrimSpace(v)
		switch {
		case bytes.EqualFold(name, []byte("Content-Length")):
			n, err := strconv.ParseUint(string(v), 10, 31)
			if err != nil || length >= 0 && length != int(n) {
				return r, length, chunked, ErrMalformed
			}
			length = int(n)
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			if !bytes.EqualFold(v, []byte("chunked")) {
				return r, length, chunked, ErrMalformed
			}
			chunked = true
		case bytes.EqualFold(name, []byte("Connection")):
			if bytes.EqualFold(v, []byte("close")) {
				r.Close = true
			} else if bytes.EqualFold(v, []byte("keep-alive")) {
				r.Close = false
			}
		case bytes.EqualFold(name, []byte(notProcessedHeader)):
			r.NotProcessed = string(v) == "1"
		}
	}
	return r, length, chunked, ErrTooLarge
}

// readChunks reads a chunked body and its trailers.
func readChunks(body *bodyReader) ([]byte, error) {
	for {
		s, err := readLine(body.in)
		if err != nil {
			return nil, err
		}
		digits, _, _ := bytes.Cut(s, []byte(";"))
		n, err := strconv.ParseUint(string(bytes.TrimSpace(digits)), 16, 31)
		if err != nil {
			return nil, ErrMalformed
		}
		if n == 0 {
			if err = skipTrailers(body.in); err != nil {
				return nil, err
			}
			return body.join()
		}
		if err = body.readExactly(int(n)); err != nil {
			return nil, err
		}
		if s, err = readLine(body.in); err != nil {
			return nil, err
		}
		if len(s) != 0 {
			return nil, ErrMalformed
		}
	}
}

// skipTrailers reads the header fields after the last chunk.
func skipTrailers(in *bufio.Reader) error {
	for range maxHeaderFields {
		if s, err := readLine(in); err != nil || len(s) == 0 {
			return err
		}
	}
	return ErrTooLarge
}
