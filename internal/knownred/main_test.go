package main

import (
	"io"
	"strings"
	"testing"
)

// The list has at most three lines, each with a test, a cause and an issue; anything else is rejected.
func TestParse(t *testing.T) {
	for text, want := range map[string]string{
		"": "", "\n\n": "",
		"TestA, breaks at 3 of 4 sizes, cause known, issue 39\n": "",
		"TestA, x, #1\nTestB, x, 2\nTestC, x, 3":                 "",
		"TestA, x, 1\nTestB, x, 2\nTestC, x, 3\nTestD, x, 4":     "4 lines",
		"TestA":         "is not",
		"TestA, 39":     "is not",
		"TestA, , 39":   "no cause",
		"TestA, x, yes": "no issue",
		"TestA/x, x, 1": "names no test",
		"all, x, 1":     "names no test",
	} {
		_, err := parseList(text)
		if want == "" && err != nil || want != "" && (err == nil || !strings.Contains(err.Error(), want)) {
			t.Errorf("%q: %v, expected %q", text, err, want)
		}
	}
}

// Only failures of listed tests are ignored. Failures of other tests, panics, packages that do not build, and a run without
// any test still fail.
func TestCheck(t *testing.T) {
	const (
		passes = `{"Action":"pass","Package":"p","Test":"TestA"}` + "\n"
		fails  = `{"Action":"fail","Package":"p","Test":"TestB/sub"}` + "\n" + `{"Action":"fail","Package":"p","Test":"TestB"}` + "\n"
		other  = `{"Action":"fail","Package":"q","Test":"TestC"}` + "\n" + `{"Action":"fail","Package":"q"}` + "\n"
		ended  = `{"Action":"fail","Package":"p"}` + "\n"
		panics = `{"Action":"output","Package":"p","Test":"TestB","Output":"panic: oh\n"}` + "\n"
		build  = `{"Action":"build-fail","ImportPath":"r"}` + "\n"
	)
	for name, row := range map[string]struct {
		events, list string
		failed       bool
		want         string
	}{
		"all pass":                {passes, "", false, ""},
		"one fails":               {passes + fails + ended, "", true, "failed: TestB"},
		"one fails, listed":       {passes + fails + ended, "TestB, x, 1", true, ""},
		"another fails":           {passes + fails + ended + other, "TestB, x, 1", true, "failed: TestC"},
		"listed, it passes":       {passes, "TestA, x, 1", false, ""},
		"listed, not there":       {passes, "TestNone, x, 1", false, "no test TestNone"},
		"a panic in a listed one": {passes + panics + fails + ended, "TestB, x, 1", true, "not run"},
		"a package fails alone":   {passes + ended, "TestA, x, 1", true, "not run"},
		"one does not build":      {passes + build, "", true, "not run"},
		"nothing ran":             {"", "", false, "no test ran"},
		"go test fails alone":     {passes, "", true, "go test failed"},
	} {
		known, err := parseList(row.list)
		if err != nil {
			t.Fatal(err)
		}
		r, err := readEvents(strings.NewReader(row.events), io.Discard)
		if err != nil {
			t.Fatal(err)
		}
		if err = r.check(known, row.failed); row.want == "" && err != nil || row.want != "" && (err == nil || !strings.Contains(err.Error(), row.want)) {
			t.Errorf("%s: %v, expected %q", name, err, row.want)
		}
	}
}
