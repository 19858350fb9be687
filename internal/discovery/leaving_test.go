package discovery

import (
	"strings"
	"testing"
	"time"

	"streamrail/policy"
)

// TestPartialLists checks which hosts a response announces before it is complete, and when: none that stay, none of an older
// generation or of one that is not known yet, and none before partialDelay.
func TestPartialLists(t *testing.T) {
	entry := func(id, lifecycle string) string {
		return `{"instanceId":"` + id + `","hostPort":"127.0.0.1:1","lifecycle":"` + lifecycle + `"}`
	}
	hosts := `"instances":[` + entry("a", "active") + "," + entry("b", "leaving") + "," + entry("c", "left") + "]"
	for name, row := range map[string]struct {
		text    string
		hasList bool
		known   int64
		want    string
	}{
		"later":                {`{"generation":42,"reset":true,` + hosts, true, 41, "b c"},
		"the same":             {`{"generation":41,"reset":true,` + hosts, true, 41, "b c"},
		"older":                {`{"generation":40,"reset":true,` + hosts, true, 41, ""},
		"generation behind it": {`{"reset":true,` + hosts + `,"generation":42}`, true, 41, ""},
		"another discovery":    {`{"reset":true,` + hosts, true, 0, "b c"},
		"no list known":        {`{"generation":42,"reset":true,` + hosts, false, 0, ""},
	} {
		t.Run(name, func(t *testing.T) {
			var got []string
			began := time.Now()
			l := leavingHosts{enabled: row.hasList, known: row.known, firstByteAt: began, deliver: func(l List) {
				for _, h := range l.Hosts {
					if !l.Partial || l.Generation != row.known || h.Condition == policy.Up {
						t.Errorf("announced %+v in %+v", h, l)
					}
					got = append(got, string(h.HostID))
				}
			}}
			(NameIndexes{}).Decode(strings.NewReader(row.text), l.add)
			if dueAt := l.announce(began); len(got) > 0 || dueAt.IsZero() != (row.want == "") {
				t.Errorf("announced %v at once, the rest due at %v", got, dueAt)
			}
			l.announce(began.Add(partialDelay))
			l.announce(began.Add(2 * partialDelay))
			if text := strings.Join(got, " "); text != row.want {
				t.Errorf("announced %q, expected %q", text, row.want)
			}
		})
	}
}
