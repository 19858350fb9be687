package discovery

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"streamrail/policy"
)

// A call that failed leaves the list as good as it was: the next asks for what changed since. An answer that cannot be
// taken, or of a version before the one at hand, leaves doubt about the list: the next asks for the whole.
func TestWhatIsAskedFor(t *testing.T) {
	const whole = `{"generation":7,"reset":true,"instances":[]}`
	changes := func(version string) string { return `{"generation":` + version + `,"reset":false,"instances":[]}` }
	for name, row := range map[string]struct {
		from    int64 // a version known at the start; 0: none
		answers []string
		asked   string // the version in each call, "-" for the whole list
	}{
		"turned away":       {0, []string{whole, "503", "503", changes("8"), changes("8")}, "- 7 7 7 8"},
		"known":             {41, []string{"503", changes("44"), changes("44")}, "41 41 44"},
		"versions go back":  {41, []string{changes("40"), whole, changes("7")}, "41 - 7"},
		"version unknown":   {41, []string{"410", whole, changes("9")}, "41 - 7"},
		"spoilt":            {41, []string{"{", whole, changes("9")}, "41 - 7"},
		"whole, older":      {41, []string{whole, changes("8")}, "41 7"},
		"changes of no one": {0, []string{changes("8"), whole}, "- -"},
	} {
		t.Run(name, func(t *testing.T) {
			var asked []string
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				after := r.URL.Query().Get("after")
				if after == "" {
					after = "-"
				}
				asked = append(asked, after)
				answer := row.answers[len(asked)-1]
				if code, err := strconv.Atoi(answer); err == nil {
					w.WriteHeader(code)
					return
				}
				io.WriteString(w, answer)
			}))
			defer s.Close()
			w := &Watch{Addr: strings.TrimPrefix(s.URL, "http://"), Names: Names{Kinds: map[string]policy.Kind{}}, Pace: PaceOf(time.Second, true)}
			defer w.Close()
			if row.from > 0 {
				w.From(row.from)
			}
			for range row.answers {
				w.Next(context.Background())
			}
			if got := strings.Join(asked, " "); got != row.asked {
				t.Errorf("asked for %s, expected %s", got, row.asked)
			}
		})
	}
}
