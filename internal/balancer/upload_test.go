package balancer

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"streamrail/policy"
)

// answerSlack is how much later than the client's time an answer may come.
const answerSlack = 500 * time.Millisecond

// TestLongWriteWithoutConnection guards against a long write whose time does not run while no attempt reads its value: it waits for a
// connection here, and all of it lies in this machine's sockets.
func TestLongWriteWithoutConnection(t *testing.T) {
	for name, length := range map[string]int{"it fits into the socket": 80 << 10, "it is longer than what is read ahead": 3 << 20} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			x := newTestBalancer(t, policy.NonIdempotent, 0, map[string]string{"h": receipt}, "h")
			conn, in := x.dial()
			const timeout = 400 * time.Millisecond
			go fmt.Fprintf(conn, "ms k %d Oa Pc=pay,d=%d\r\n%s\r\n", length, timeout.Milliseconds(), strings.Repeat("v", length))
			began := time.Now()
			got, err := in.ReadString('\n')
			if took := time.Since(began); err != nil || took > timeout+answerSlack {
				t.Errorf("answered %q after %v, %v", got, took, err)
			}
		})
	}
}

// TestLongWriteStillArriving checks that a long write is not given up while its client is still writing, though no attempt reads it and the
// client takes longer than its time for the answer.
func TestLongWriteStillArriving(t *testing.T) {
	x := newTestBalancer(t, policy.NonIdempotent, 0, map[string]string{"h": receipt}, "h")
	conn, in := x.dial()
	const pieces, pieceBytes = 20, 5 << 10
	fmt.Fprintf(conn, "ms k %d Oa Pc=pay,d=300\r\n", pieces*pieceBytes)
	for n := range pieces {
		if n == pieces/2 {
			close(x.connectAllowed["h"])
		}
		io.WriteString(conn, strings.Repeat("v", pieceBytes))
		time.Sleep(50 * time.Millisecond)
	}
	io.WriteString(conn, "\r\n")
	if got, err := in.ReadString('\n'); got != "HD Oa cdone\r\n" {
		t.Errorf("got %q, %v", got, err)
	}
}
