package main

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// originRequests counts the requests that an origin has received, by their id.
func (o *originServer) originRequests() map[string]int {
	counts := map[string]int{}
	for {
		select {
		case r := <-o.requests:
			counts[r.Header.Get("X-Request-Id")]++
		default:
			return counts
		}
	}
}

// TestIDOfWriteThatMayHaveRun guards against a write that runs a second time because its id comes again when its request is over: after
// its client has left, while the first attempt runs on at the origin or has run, and after any answer that does not prove that nothing
// ran. Where nothing ran, the id may come again.
func TestIDOfWriteThatMayHaveRun(t *testing.T) {
	const originTime = 600 * time.Millisecond
	for name, row := range map[string]struct {
		status   int
		leaves   bool
		returns  time.Duration // from the first write, or from its answer, to the second one
		accepted bool          // the second write, which then is sent or answered as rate-limited
	}{
		"left, it runs on":     {200, true, 250 * time.Millisecond, false},
		"left, it has run":     {200, true, originTime + 200*time.Millisecond, false},
		"answered":             {200, false, 0, false},
		"failed":               {500, false, 0, false},
		"provably did not run": {503, false, 0, true},
	} {
		for _, product := range []string{"pay", "marked"} {
			t.Run(name+", "+product, func(t *testing.T) {
				t.Parallel()
				o := newOrigin(t, func(w http.ResponseWriter, r *http.Request) {
					io.ReadAll(r.Body)
					if row.status == 200 {
						time.Sleep(originTime)
					}
					if row.status == 503 {
						w.Header().Set("X-Not-Processed", "1")
					}
					w.WriteHeader(row.status)
					io.WriteString(w, "done")
				})
				p, _ := startWithHosts(t, nil, o, newHost(t, "h", answerHit))
				c, other := p.dial(t), p.dial(t)
				c.send(putRequest(product, "k", "a", 3000))
				if row.leaves {
					time.Sleep(50 * time.Millisecond)
					c.Close()
				} else {
					c.next()
				}
				time.Sleep(row.returns)
				first := o.originRequests()["a"]
				got := other.ask(putRequest(product, "k", "a", 3000))
				second := o.originRequests()["a"]
				if accepted := strings.HasPrefix(got, "SERVER_ERROR busy"); first < 1 || second > 0 && !row.accepted || accepted != row.accepted {
					t.Errorf("the origin got it %d times, then %d times; the second client got %q", first, second, got)
				}
				want := map[int]string{200: "HD Ob cdone", 500: "SERVER_ERROR failed", 503: got}
				expect(t, other.ask(putRequest(product, "k", "b", 3000)), want[row.status]) // another id is served as usual
			})
		}
	}
}
