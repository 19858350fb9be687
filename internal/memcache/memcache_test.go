package memcache

import (
	"bytes"
	"testing"
	"time"
)

// FuzzParse checks that an accepted line is forwarded unchanged except for the timeout: with any other changed byte the cache
// host's work would be useless.
func FuzzParse(f *testing.F) {
	for _, s := range []string{"mg 7f3a9c21e0b4d655 v O9b1f Pc=read,t=acme,d=480", "ms 7f3a 5 O9b1f Pc=put,t=acme,d=480,k=5c0f,r=1",
		"mn", "mg", "ms k -1", "mg k v O Pd=", "mg  k  Pd=1,c=x,d=22 O1 Pc=y,d=3", "mg k O1 Pc=x,d=0007", "quit", "GET / HTTP/1.1",
		"frob 12", "mg k v O1 O2 Pc=x,d=3", "mg k v O1 Pc=x,d=3,d=4", "ms k ten O1 Pc=x,d=soon", "ms k 60000000 O1 Pc=x,d=3", "\x00\xff"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, line []byte) {
		c, fault := Parse(bytes.Clone(line))
		if fault != nil || c.Noop {
			return
		}
		if len(c.ID) == 0 || len(c.Product) == 0 || c.Timeout <= 0 || c.Length < 0 || c.Length > MaxValueBytes {
			t.Fatalf("accepted: %+v", c)
		}
		forwarded := c.AppendForwarded(nil, 7*time.Millisecond)
		reparsed, fault := Parse(bytes.TrimSuffix(forwarded, crlf))
		if fault != nil || reparsed.Timeout != 7*time.Millisecond {
			t.Fatalf("%q is forwarded as %q: %v", line, forwarded, fault)
		}
		if restored := reparsed.AppendForwarded(nil, c.Timeout); !bytes.Equal(bytes.TrimSuffix(restored, crlf), canonicalLine(line, c)) {
			t.Fatalf("%q with its own timeout restored is %q", line, restored)
		}
	})
}

// canonicalLine returns the line with its timeout written without leading zeros.
func canonicalLine(line []byte, c Command) []byte {
	return bytes.TrimSuffix(c.AppendForwarded(nil, c.Timeout), crlf)
}

func FuzzParseAnswer(f *testing.F) {
	for _, s := range []string{"VA 5 O9b1f h1 Linflight=7,queue=2,util=0.61", "HD O9b1f c77", "EN O9b1f h0 Z", "SERVER_ERROR busy",
		"SERVER_ERROR failed", "VA 99999999 O1", "VA -1 O1", "CLIENT_ERROR x", "", "VA",
		"SERVER_ERROR busy L=,=", "SERVER_ERROR busy x", "EN O1 O1", "VA 3000000000 O1", "VA 5 O1 h1 L=,="} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, line []byte) {
		if a, err := ParseAnswer(line); err == nil && (a.Length < 0 || a.Length > MaxValueBytes) {
			t.Fatalf("%q: %+v", line, a)
		}
	})
}
