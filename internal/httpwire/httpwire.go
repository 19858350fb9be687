// Package httpwire writes HTTP/1.1 requests and parses responses, for the origin and for discovery.
package httpwire

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// Response is what comes back.
type Response struct {
	Status       int
	NotProcessed bool // it never ran
	Close        bool // the connection ends with it
	Body         []byte
	Coming       int // bytes of a long body, which the caller reads; Body is empty
}

var (
	ErrMalformed = errors.New("malformed response")
	ErrTooLarge  = errors.New("response too large")
)

const (
	mostFields  = 100
	mostInterim = 8 // answers ahead of the final one
)

// The header fields that the origin reads and writes.
const (
	ID           = "X-Request-ID"
	Attrs        = "X-Attrs"
	notProcessed = "X-Not-Processed"
)

// AppendRequest appends a request's head. Header fields come in pairs of name and value; a length under 0
// means no body.
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

// AppendPath appends a key as a path, with what a path may not hold escaped.
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

// Read parses one response, with a body of at most so many bytes. It asks for room for them before they are held. The body
// of a response with status 200 that is longer than whole is left to the caller, if its length is told.
func Read(in *bufio.Reader, most, whole int, room func(bytes int) bool) (r Response, err error) {
	for range mostInterim + 1 {
		var chunked bool
		length := -1
		r, length, chunked, err = head(in)
		if err != nil {
			return r, err
		}
		if r.Status/100 == 1 {
			continue // an interim answer; the final one follows
		}
		switch {
		case chunked && length >= 0: // framed in two ways, which an attacker in between could use
			return r, ErrMalformed
		case r.Status == 204 || r.Status == 304:
		case chunked:
			r.Body, err = chunks(in, most, room)
		case r.Status == 200 && length > whole && length <= most:
			r.Coming = length
		case length > most || length > 0 && !room(length):
			return r, ErrTooLarge
		case length >= 0:
			r.Body = make([]byte, length)
			_, err = io.ReadFull(in, r.Body)
		default: // up to the connection's end
			r.Close = true
			r.Body, err = io.ReadAll(io.LimitReader(in, int64(most)+1))
			if len(r.Body) > most || !room(len(r.Body)) {
				return r, ErrTooLarge
			}
		}
		return r, err
	}
	return r, ErrMalformed
}

// line reads one line without its end. The result is valid until the next read.
func line(in *bufio.Reader) ([]byte, error) {
	s, err := in.ReadSlice('\n')
	if err == bufio.ErrBufferFull {
		return nil, ErrTooLarge
	}
	if err == nil && !bytes.HasSuffix(s, []byte("\r\n")) {
		return nil, ErrMalformed
	}
	return bytes.TrimSuffix(s, []byte("\r\n")), err
}

func head(in *bufio.Reader) (r Response, length int, chunked bool, err error) {
	length = -1
	s, err := line(in)
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
	for range mostFields {
		if s, err = line(in); err != nil || len(s) == 0 {
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
		case bytes.EqualFold(name, []byte(notProcessed)):
			r.NotProcessed = string(v) == "1"
		}
	}
	return r, length, chunked, ErrTooLarge
}

func chunks(in *bufio.Reader, most int, room func(int) bool) (body []byte, err error) {
	for {
		s, err := line(in)
		if err != nil {
			return nil, err
		}
		digits, _, _ := bytes.Cut(s, []byte(";"))
		n, err := strconv.ParseUint(string(bytes.TrimSpace(digits)), 16, 31)
		if err != nil {
			return nil, ErrMalformed
		}
		if len(body)+int(n) > most || !room(int(n)) {
			return nil, ErrTooLarge
		}
		if n == 0 {
			for range mostFields { // trailers
				if s, err = line(in); err != nil || len(s) == 0 {
					return body, err
				}
			}
			return nil, ErrTooLarge
		}
		at := len(body)
		body = append(body, make([]byte, n)...)
		if _, err = io.ReadFull(in, body[at:]); err != nil {
			return nil, err
		}
		if s, err = line(in); err != nil {
			return nil, err
		}
		if len(s) != 0 {
			return nil, ErrMalformed
		}
	}
}
