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

// TestRequestedVersions checks what each call asks for. A failed call leaves the known list valid, so the next call asks for
// the changes since that list. After an unusable response, or changes of a generation before the known one, the next call asks for
// a snapshot.
func TestRequestedVersions(t *testing.T) {
	const snapshot = `{"generation":7,"reset":true,"instances":[]}`
	changes := func(generation string) string {
		return `{"generation":` + generation + `,"reset":false,"instances":[]}`
	}
	for name, row := range map[string]struct {
		from    int64 // generation known at the start; 0: none
		answers []string
		asked   string // the generation in each call, "-" for a snapshot
	}{
		"turned away":           {0, []string{snapshot, "503", "503", changes("8"), changes("8")}, "- 7 7 7 8"},
		"known":                 {41, []string{"503", changes("44"), changes("44")}, "41 41 44"},
		"versions go back":      {41, []string{changes("40"), snapshot, changes("7")}, "41 - 7"},
		"version unknown":       {41, []string{"410", snapshot, changes("9")}, "41 - 7"},
		"spoilt":                {41, []string{"{", snapshot, changes("9")}, "41 - 7"},
		"whole, older":          {41, []string{snapshot, changes("8")}, "41 7"},
		"change without a name": {41, []string{`{"generation":42,"reset":false,"instances":[5]}`, snapshot, changes("9")}, "41 - 7"},
		"changes of no one":     {0, []string{changes("8"), snapshot}, "- -"},
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
			w := &Watch{Addr: strings.TrimPrefix(s.URL, "http://"), Names: NameIndexes{Kinds: map[string]policy.MachineKind{}}, Timeouts: NewTimeouts(time.Second, true)}
			defer w.Close()
			if row.from > 0 {
				w.ResumeFrom(row.from)
			}
			for range row.answers {
				w.Next(context.Background(), nil)
			}
			if got := strings.Join(asked, " "); got != row.asked {
				t.Errorf("requested %s, expected %s", got, row.asked)
			}
		})
	}
}

// TestBadLists checks that a faulty response neither makes a leaving host usable again nor empties the known list.
func TestBadLists(t *testing.T) {
	names := NameIndexes{Zones: map[string]policy.Zone{"z": 0}, Kinds: map[string]policy.MachineKind{"k": 0}}
	entry := func(id, lifecycle, extraFields string) string {
		return `{"instanceId":"` + id + `","hostPort":"127.0.0.1:1","zone":"z","machineType":"k","startedAtMs":5,"lifecycle":"` + lifecycle + `"` + extraFields + `}`
	}
	list := func(generation string, snapshot bool, entries ...string) string {
		return `{"generation":` + generation + `,"reset":` + strconv.FormatBool(snapshot) + `,"instances":[` + strings.Join(entries, ",") + `]}`
	}
	a, b := entry("a", "active", ""), entry("b", "active", "")
	known := list("41", true, a, b, entry("c", "leaving", ""))
	for name, row := range map[string]struct{ text, want string }{
		"twice":                           {known, "41 a:up b:up c:draining"},
		"half":                            {known[:len(known)/2], ""},
		"nothing":                         {"", ""},
		"another text":                    {"<html>", ""},
		"more behind it":                  {known + "}", ""},
		"older, whole":                    {list("7", true, a, b, entry("c", "active", "")), "7 a:up b:up c:draining"},
		"older, another process":          {list("7", true, a, b, strings.Replace(entry("c", "active", ""), "5", "6", 1)), "7 a:up b:up c:up"},
		"later, it leaves no more":        {list("42", false, entry("c", "active", "")), "42 c:up"},
		"a faulty entry beside one":       {list("42", false, `{"instanceId":"a","lifecycle":"active"}`, entry("b", "leaving", "")), "42 b:draining a:up"},
		"a faulty entry that leaves":      {list("42", false, `{"instanceId":"a","hostPort":7,"lifecycle":"leaving"}`), "42 a:draining"},
		"a faulty entry that left, whole": {list("42", true, b, `{"instanceId":"a","cell":"x","lifecycle":"left"}`), "42 b:up a:gone"},
		"a faulty one not known":          {list("42", false, `{"instanceId":"new","lifecycle":"active"}`, b), "42 b:up"},
		"one without a name, whole":       {list("42", true, b, `{"hostPort":"127.0.0.1:1","lifecycle":"leaving"}`), "42 b:up a:up c:draining"},
		"one without a name, changes":     {list("42", false, b, `5`), "42 b:up"},
		"a state not known":               {list("42", false, entry("a", "resting", "")), "42 a:draining"},
		"no state":                        {list("42", false, entry("a", "", "")), "42 a:up"},
		"indented":                        {strings.NewReplacer("{", "{\r\n\t ", ",", " ,\n  ", ":5", " : 5").Replace(list("42", false, entry("a", "leaving", ""))), "42 a:draining"},
		"a name not known before":         {list("42", false, entry("a", "leaving", `,"more":{"x":[1]}`)), "42 a:draining"},
		"empty, whole":                    {list("42", true), "42"},
	} {
		t.Run(name, func(t *testing.T) {
			previous, err := names.Parse([]byte(known))
			if err != nil {
				t.Fatal(err)
			}
			l, err := names.Parse([]byte(row.text))
			if err != nil {
				if row.want != "" {
					t.Error(err)
				}
				return
			}
			l = l.CompleteFrom(previous)
			got := strconv.FormatInt(l.Generation, 10)
			for _, h := range l.Hosts {
				got += " " + string(h.HostID) + ":" + [...]string{"up", "draining", "gone"}[h.Condition]
			}
			if got != row.want {
				t.Errorf("got %s, expected %s", got, row.want)
			}
		})
	}
}

// TestLongList checks that a list of 5000 hosts with long names stays under maxListBytes and is parsed completely.
func TestLongList(t *testing.T) {
	var l List
	for i := range 5000 {
		l.Hosts = append(l.Hosts, Host{Addr: "127.0.0.1:1", HostEntry: policy.HostEntry{HostID: policy.HostID(strings.Repeat("x", 200) + strconv.Itoa(i)), Size: 1}})
	}
	names := NameIndexes{Kinds: map[string]policy.MachineKind{"k": 0}, Zones: map[string]policy.Zone{"z": 0}}
	text := names.Format(l)
	got, err := names.Parse(text)
	if err != nil || len(got.Hosts) != 5000 || len(text) > maxListBytes {
		t.Errorf("%v: %d hosts of %d bytes", err, len(got.Hosts), len(text))
	}
}

// BenchmarkParse measures parsing a snapshot.
func BenchmarkParse(b *testing.B) {
	for _, n := range []int{200, 3200} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			var l List
			for i := range n {
				l.Hosts = append(l.Hosts, Host{Addr: "10.1.0.18:11211", HostEntry: policy.HostEntry{HostID: policy.HostID("s-5be2a07c-" + strconv.Itoa(i)), Size: 1}})
			}
			names := NameIndexes{Kinds: map[string]policy.MachineKind{"cache": 0}, Zones: map[string]policy.Zone{"here": 0}}
			text := names.Format(l)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := names.Parse(text); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
