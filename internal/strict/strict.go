// Package strict reads TOML files so that nothing in them is passed over: unknown keys, wrong types, units and figures are
// all found in one pass, each named with file, line and key.
package strict

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Span is a length of time, written like 250ms.
type Span time.Duration

// UnmarshalText reads a span; a bare number has no unit and is refused.
func (s *Span) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("expected a time with its unit like 250ms, got %q", text)
	}
	*s = Span(d)
	return nil
}

// MarshalText writes a span as it is read.
func (s Span) MarshalText() ([]byte, error) { return []byte(time.Duration(s).String()), nil }

// D is the span as a duration.
func (s Span) D() time.Duration { return time.Duration(s) }

func (s Span) String() string { return time.Duration(s).String() }

// File is one file's text as it is read, with what is wrong in it.
type File struct {
	name   string
	lines  map[string]int
	faults []string
}

// Decode reads a file's text into a value. Where the form is wrong already, Sound tells so.
func Decode(name string, text []byte, into any) *File {
	f := &File{name: name, lines: lines(text)}
	dec := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	err := dec.Decode(into)
	var unknown *toml.StrictMissingError
	var wrong *toml.DecodeError
	switch {
	case err == nil:
	case errors.As(err, &unknown):
		for _, e := range unknown.Errors {
			line, _ := e.Position()
			f.at(line, strings.Join(e.Key(), "."), "unknown key")
		}
	case errors.As(err, &wrong):
		line, _ := wrong.Position()
		f.at(line, cmp.Or(strings.Join(wrong.Key(), "."), f.keyAt(line)), strings.TrimPrefix(wrong.Error(), "toml: "))
	default:
		f.at(0, "", err.Error())
	}
	return f
}

// Sound tells that nothing wrong was found so far.
func (f *File) Sound() bool { return len(f.faults) == 0 }

// Err holds all that is wrong, a line each; nil where nothing is.
func (f *File) Err(kind error) error {
	if f.Sound() {
		return nil
	}
	return fmt.Errorf("%w\n%s", kind, strings.Join(f.faults, "\n"))
}

// Given tells whether a key stands in the file. Entries of lists of tables are counted from 1: fault[2].at.
func (f *File) Given(key string) bool {
	_, ok := f.lines[key]
	return ok
}

// Bad names a fault of a key, on its own line or that of the table it is missing in.
func (f *File) Bad(key, form string, args ...any) {
	line, ok := f.lines[key]
	for up := key; !ok && up != ""; {
		up = up[:max(0, strings.LastIndexByte(up, '.'))]
		line, ok = f.lines[up]
	}
	f.at(line, key, fmt.Sprintf(form, args...))
}

// Within holds a figure to a range.
func Within[T int | float64 | Span](f *File, key string, v, least, most T) {
	if v < least || v > most {
		f.Bad(key, "expected %v to %v, got %v", least, most, v)
	}
}

func (f *File) at(line int, key, what string) {
	where := f.name
	if line > 0 {
		where += ":" + strconv.Itoa(line)
	}
	if key != "" {
		where += ": " + key
	}
	f.faults = append(f.faults, where+": "+what)
}

// keyAt is the key that stands on a line.
func (f *File) keyAt(line int) (key string) {
	for k, l := range f.lines {
		if l == line && len(k) > len(key) {
			key = k
		}
	}
	return key
}

// lines tells on which line each key of a text stands.
func lines(text []byte) map[string]int {
	at := map[string]int{}
	count := map[string]int{}
	p := unstable.Parser{}
	p.Reset(text)
	prefix := ""
	for p.NextExpression() {
		e := p.Expression()
		var parts []string
		line := 0
		for it := e.Key(); it.Next(); {
			k := it.Node()
			parts = append(parts, string(k.Data))
			line = 1 + bytes.Count(text[:k.Raw.Offset], []byte("\n"))
		}
		key := strings.Join(parts, ".")
		switch e.Kind {
		case unstable.Table:
			prefix = key
		case unstable.ArrayTable:
			count[key]++
			prefix = key + "[" + strconv.Itoa(count[key]) + "]"
			key = prefix
		case unstable.KeyValue:
			if prefix != "" {
				key = prefix + "." + key
			}
		}
		if _, ok := at[key]; !ok {
			at[key] = line
		}
	}
	return at
}
