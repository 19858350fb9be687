package httpwire

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func unlimited(int) bool { return true }

// TestRead checks that responses with ambiguous framing are refused: bytes left over would be taken for the answer to the
// next request.
func TestRead(t *testing.T) {
	for _, row := range []struct {
		in, body string
		status   int
		err      error
	}{
		{"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmadeHTTP", "made", 200, nil},
		{"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length:0\r\n\r\n", "", 200, nil},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n2\r\nde\r\n0\r\nTrailer: x\r\n\r\n", "abcde", 200, nil},
		{"HTTP/1.0 500 No\r\n\r\nto the end", "to the end", 500, nil},
		{"HTTP/1.1 204 None\r\n\r\nrest", "", 204, nil},
		{"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nmade", "", 200, ErrMalformed},
		{"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nmade\r\n0\r\n\r\n", "", 200, ErrMalformed},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n", "", 200, ErrMalformed},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabcd\r\n", "", 200, ErrMalformed},
		{"HTTP/1.1 200 OK\r\nContent-Length: 4097\r\n\r\n", "", 200, ErrTooLarge},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1001\r\n", "", 200, ErrTooLarge},
		{"HTTP/1.1 200 OK\r\n" + strings.Repeat("A: b\r\n", 200) + "\r\n", "", 200, ErrTooLarge},
		{"SSH-2.0-x\r\n", "", 0, ErrMalformed},
		{"HTTP/1.1 200 OK\r\nContent-Length: 4\n\r\nmade", "", 200, ErrMalformed},
		{strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", 3) + "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmade", "made", 200, nil},
		{strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 100), "", 102, ErrMalformed},
	} {
		in := bufio.NewReader(strings.NewReader(row.in))
		r, err := Read(in, 4096, 4096, unlimited)
		if !errors.Is(err, row.err) || r.Status != row.status || err == nil && string(r.Body) != row.body {
			t.Errorf("%.60q: %d %q %v", row.in, r.Status, r.Body, err)
		}
		rest, _ := io.ReadAll(in)
		in.Reset(strings.NewReader(row.in))
		r, text, err := readStream(in)
		if (err == nil) != (row.err == nil) || r.Status != row.status || err == nil && text != row.body {
			t.Errorf("%.60q as a stream: %d %q %v", row.in, r.Status, text, err)
		}
		if streamRest, _ := io.ReadAll(in); err == nil && string(streamRest) != string(rest) {
			t.Errorf("%.60q as a stream: left %q, expected %q", row.in, streamRest, rest)
		}
	}
}

// readStream reads a response as a stream.
func readStream(in *bufio.Reader) (Response, string, error) {
	r, body, err := Open(in, 4096)
	if err != nil {
		return r, "", err
	}
	text, err := io.ReadAll(body)
	return r, string(text), err
}

// TestCutStream checks that a body that ends too early is an error of the stream, not its end.
func TestCutStream(t *testing.T) {
	for _, in := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nmade",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nmade",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nmade\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nmade\r\n0\r\n",
	} {
		_, body, err := Open(bufio.NewReader(strings.NewReader(in)), 4096)
		if err != nil {
			t.Fatal(err)
		}
		if text, err := io.ReadAll(body); err == nil || body.Err() == nil {
			t.Errorf("%q: %q, %v, %v", in, text, err, body.Err())
		}
	}
}

func FuzzRead(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmade"))
	f.Add([]byte("HTTP/1.1 503 Busy\r\nX-Not-Processed: 1\r\nConnection: close\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		r, err := Read(bufio.NewReader(bytes.NewReader(in)), 64, 64, unlimited)
		if err == nil && (len(r.Body) > 64 || r.Status < 200) {
			t.Fatalf("%+v", r)
		}
	})
}

// splitReader returns a text in parts of randomly drawn lengths.
type splitReader struct {
	t         *rapid.T
	remaining string
}

func (c *splitReader) Read(p []byte) (int, error) {
	if c.remaining == "" {
		return 0, io.EOF
	}
	n := copy(p, c.remaining[:rapid.IntRange(1, min(len(c.remaining), len(p))).Draw(c.t, "piece")])
	c.remaining = c.remaining[n:]
	return n, nil
}

// TestPieces checks that the result does not depend on how the response is split into reads, and that a long body is left for
// the caller from its first byte on.
func TestPieces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		length := rapid.IntRange(0, 200).Draw(t, "length")
		body := strings.Repeat("b", length)
		in := bufio.NewReaderSize(&splitReader{t, fmt.Sprintf("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%snext", length, body)}, 64)
		r, err := Read(in, 150, 100, unlimited)
		switch {
		case length > 150:
			if !errors.Is(err, ErrTooLarge) {
				t.Fatalf("%d bytes: %v", length, err)
			}
			return
		case err != nil:
			t.Fatal(err)
		case length > 100 && r.UnreadLength != length || length <= 100 && (r.UnreadLength != 0 || string(r.Body) != body):
			t.Fatalf("%+v", r)
		}
		rest, _ := io.ReadAll(in)
		if want := body[len(r.Body):] + "next"; string(rest) != want {
			t.Fatalf("left: %q", rest)
		}
	})
}
