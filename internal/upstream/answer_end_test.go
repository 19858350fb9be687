package upstream

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"streamrail/policy"
)

// A host's answer is cut after each byte. An incomplete answer counts as a reset, after which the attempt may have run, and a reset
// does not complete an answer, not even one without a length.
func TestAnswersCutAtEachByte(t *testing.T) {
	const read, write = "mg k v Oa Pc=read,d=900", "ms k 5 Oa Pc=pay,d=900,k=7"
	header := func(more string) string { return "HTTP/1.1 200 OK\r\n" + more + "\r\n" }
	for name, row := range map[string]struct {
		origin          bool
		command, text   string
		body            string
		whole           policy.Outcome
		closeEndsAnswer bool // an orderly close after the header ends the answer
	}{
		"a value":            {command: read, text: "VA 5 Oa h1 Lutil=0.5\r\nhello\r\n", body: "hello", whole: policy.Fulfilled},
		"an empty value":     {command: read, text: "VA 0 Oa\r\n\r\n", whole: policy.Fulfilled},
		"a miss":             {command: read, text: "EN Oa\r\n", whole: policy.CacheMiss},
		"a receipt":          {command: write, text: "HD Oa cdone\r\n", body: "done", whole: policy.Fulfilled},
		"turned away":        {command: write, text: "SERVER_ERROR busy\r\n", whole: policy.Rejected},
		"failed":             {command: write, text: "SERVER_ERROR failed\r\n", whole: policy.Errored},
		"a length":           {origin: true, command: read, text: header("Content-Length: 5\r\n") + "hello", body: "hello", whole: policy.Fulfilled},
		"chunks":             {origin: true, command: read, text: header("Transfer-Encoding: chunked\r\n") + "2\r\nhe\r\n3;x=y\r\nllo\r\n0\r\nX-T: 1\r\n\r\n", body: "hello", whole: policy.Fulfilled},
		"no length":          {origin: true, command: read, text: header("Connection: close\r\n") + "hello", body: "hello", whole: policy.Fulfilled, closeEndsAnswer: true},
		"a receipt, length":  {origin: true, command: write, text: header("Content-Length: 4\r\n") + "done", body: "done", whole: policy.Fulfilled},
		"never ran":          {origin: true, command: write, text: "HTTP/1.1 503 Busy\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n", whole: policy.Rejected},
		"an interim, and it": {origin: true, command: write, text: "HTTP/1.1 100 Continue\r\n\r\n" + header("Content-Length: 4\r\n") + "done", body: "done", whole: policy.Fulfilled},
	} {
		for _, how := range []string{"closed", "reset"} {
			t.Run(name+", "+how, func(t *testing.T) {
				t.Parallel()
				config := testConfig
				config.Pool.MaxConnections = 1000
				hs, _, conns := newTestHosts(t, config)
				if row.origin {
					hs.mu.Lock()
					hs.byID["h"].isOrigin = true
					hs.mu.Unlock()
				}
				for n := 0; n <= len(row.text); n++ {
					a, ended := newAttempt(t, row.command, "hello", 10*time.Second)
					hs.Send(a)
					c := <-conns
					in := make([]byte, 4096)
					for got := ""; !strings.HasSuffix(got, "\r\n") && !strings.HasSuffix(got, "hello"); {
						k, err := c.Read(in)
						if err != nil {
							t.Fatal(err)
						}
						got += string(in[:k])
					}
					io.WriteString(c, row.text[:n])
					if how == "reset" { // only after the answer was read: a reset discards unread data
						if n == len(row.text) && !row.closeEndsAnswer {
							r := <-ended
							ended <- r
						}
						c.(*net.TCPConn).SetLinger(0)
					}
					c.Close()
					want, body := policy.Reset, ""
					inBody := row.closeEndsAnswer && n >= strings.Index(row.text, "\r\n\r\n")+4
					if n == len(row.text) && !row.closeEndsAnswer || inBody && how == "closed" {
						want, body = row.whole, row.body
						if inBody {
							body = row.text[strings.Index(row.text, "\r\n\r\n")+4 : n]
						}
					}
					r := <-ended
					if r.Outcome != want || string(r.Body) != body {
						t.Errorf("%d bytes of %d: outcome %d %q, expected %d %q", n, len(row.text), r.Outcome, r.Body, want, body)
					}
				}
			})
		}
	}
}

// An attempt whose answer never ends must end at its deadline.
func TestAnswerThatNeverEnds(t *testing.T) {
	for name, row := range map[string]struct {
		origin bool
		text   string
		more   string
	}{
		"a line":   {false, "VA 5 Oa ", "x"},
		"a value":  {false, "VA 60000 Oa\r\n", "x"},
		"a header": {true, "HTTP/1.1 200 OK\r\nX-Long: ", "x"},
		"headers":  {true, "HTTP/1.1 200 OK\r\n", "X-One: 1\r\n"},
		"chunks":   {true, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		"a body":   {true, "HTTP/1.1 200 OK\r\n\r\n", "x"},
		"interims": {true, "", "HTTP/1.1 100 Continue\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			hs, _, conns := newTestHosts(t, testConfig)
			hs.mu.Lock()
			hs.byID["h"].isOrigin = row.origin
			hs.mu.Unlock()
			a, ended := newAttempt(t, "mg k v Oa Pc=read,d=900", "", 300*time.Millisecond)
			began := time.Now()
			hs.Send(a)
			c := <-conns
			defer c.Close()
			io.WriteString(c, row.text)
			for r := (Result{}); ; {
				select {
				case r = <-ended:
					if r.Outcome != policy.TimedOut && r.Outcome != policy.MalformedAnswer {
						t.Errorf("outcome %d", r.Outcome)
					}
					if took := time.Since(began); took > 5*time.Second {
						t.Errorf("ended after %v", took)
					}
					return
				default:
				}
				if _, err := io.WriteString(c, row.more); err != nil {
					c.Close()
				}
				time.Sleep(time.Millisecond)
			}
		})
	}
}

// Data that a host sends after its answer belongs to no attempt: half a line, or a second answer, even with the same id and even while
// the connection is assigned to the next attempt. Each attempt gets the answer made for it, or none.
func TestSecondAnswers(t *testing.T) {
	for name, extra := range map[string]string{"half a line": "VA 5 O", "another answer": "VA 5 Oa0\r\nwrong\r\n", "a blank line": "\r\n", "a byte": "x"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			hs, _, conns := newTestHosts(t, testConfig)
			done := make(chan struct{})
			defer close(done)
			go func() {
				for {
					select {
					case c := <-conns:
						go func() {
							defer c.Close()
							in := make([]byte, 4096)
							for {
								n, err := c.Read(in)
								if err != nil {
									return
								}
								id := ""
								for _, w := range strings.Fields(string(in[:n])) {
									if w[0] == 'O' {
										id = w[1:]
									}
								}
								io.WriteString(c, fmt.Sprintf("VA 5 O%s\r\nright\r\n", id))
								io.WriteString(c, extra)
							}
						}()
					case <-done:
						return
					}
				}
			}()
			for i := range 300 {
				a, ended := newAttempt(t, fmt.Sprintf("mg k v Oa%d Pc=read,d=900", i), "", 10*time.Second)
				hs.Send(a)
				r := <-ended
				if r.Outcome == policy.Fulfilled && string(r.Body) != "right" {
					t.Fatalf("attempt %d got %q", i, r.Body)
				}
				if r.Outcome == policy.NeverSent || r.Outcome == policy.ConnectFailed || r.Outcome == policy.Rejected {
					t.Fatalf("attempt %d ended with an outcome that excludes that it ran: %d", i, r.Outcome)
				}
			}
		})
	}
}
