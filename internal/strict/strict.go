// Package strict decodes TOML files and ignores nothing in them: unknown keys, wrong types, wrong units and values out of range
// are reported in one pass, each with file, line and key.
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

// Span is a duration, written like 250ms.
type Span time.Duration

// UnmarshalText parses a span; a number without a unit is refused.
func (s *Span) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("expected a time with its unit like 250ms, got %q", text)
	}
	*s = Span(d)
	return nil
}

// MarshalText writes a span in the form that UnmarshalText reads.
func (s Span) MarshalText() ([]byte, error) { return []byte(time.Duration(s).String()), nil }

// Duration returns the span as a time.Duration.
func (s Span) Duration() time.Duration { return time.Duration(s) }

func (s Span) String() string { return time.Duration(s).String() }

// File holds the positions of the keys in one file and the faults found in it.
type File struct {
	name   string
	lines  map[string]int
	faults []string
}

// Decode decodes a file's text into a value. If the text is malformed or has unknown keys, Valid returns false.
func Decode(name string, text []byte, into any) *File {
	f := &File{name: name, lines: keyLines(text)}
	dec := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	err := dec.Decode(into)
	var unknown *toml.StrictMissingError
	var malformed *toml.DecodeError
	switch {
	case err == nil:
	case errors.As(err, &unknown):
		for _, e := range unknown.Errors {
			line, _ := e.Position()
			f.appendFault(line, strings.Join(e.Key(), "."), "unknown key")
		}
	case errors.As(err, &malformed):
		line, _ := malformed.Position()
		f.appendFault(line, cmp.Or(strings.Join(malformed.Key(), "."), f.keyAt(line)), strings.TrimPrefix(malformed.Error(), "toml: "))
	default:
		f.appendFault(0, "", err.Error())
	}
	return f
}

// Valid reports whether no fault was found so far.
func (f *File) Valid() bool { return len(f.faults) == 0 }

// Err returns an error that wraps sentinel and lists all faults, one per line, or nil if there are none.
func (f *File) Err(sentinel error) error {
	if f.Valid() {
		return nil
	}
	return fmt.Errorf("%w\n%s", sentinel, strings.Join(f.faults, "\n"))
}

// IsSet reports whether the file contains a key. Entries of arrays of tables are numbered from 1, as in fault[2].at.
func (f *File) IsSet(key string) bool {
	_, ok := f.lines[key]
	return ok
}

// AddFault records a fault of a key, at the key's line or, if the key is missing, at the line of its table.
func (f *File) AddFault(key, format string, args ...any) {
	line, ok := f.lines[key]
	for parent := key; !ok && parent != ""; {
		parent = parent[:max(0, strings.LastIndexByte(parent, '.'))]
		line, ok = f.lines[parent]
	}
	f.appendFault(line, key, fmt.Sprintf(format, args...))
}

// CheckRange records a fault if a value is out of range.
func CheckRange[T int | float64 | Span](f *File, key string, v, lowest, highest T) {
	if v < lowest || v > highest {
		f.AddFault(key, "expected %v to %v, got %v", lowest, highest, v)
	}
}

func (f *File) appendFault(line int, key, text string) {
	message := f.name
	if line > 0 {
		message += ":" + strconv.Itoa(line)
	}
	if key != "" {
		message += ": " + key
	}
	f.faults = append(f.faults, message+": "+text)
}

// keyAt returns the key on a line.
func (f *File) keyAt(line int) (key string) {
	for k, l := range f.lines {
		if l == line && len(k) > len(key) {
			key = k
		}
	}
	return key
}

// keyLines returns the line of each key of a text.
func keyLines(text []byte) map[string]int {
	lines := map[string]int{}
	tables := map[string]int{}
	p := unstable.Parser{}
	p.Reset(text)
	prefix := ""
	for p.NextExpression() {
		expression := p.Expression()
		var parts []string
		line := 0
		for it := expression.Key(); it.Next(); {
			k := it.Node()
			parts = append(parts, string(k.Data))
			line = 1 + bytes.Count(text[:k.Raw.Offset], []byte("\n"))
		}
		key := strings.Join(parts, ".")
		switch expression.Kind {
		case unstable.Table:
			prefix = key
		case unstable.ArrayTable:
			tables[key]++
			prefix = key + "[" + strconv.Itoa(tables[key]) + "]"
			key = prefix
		case unstable.KeyValue:
			if prefix != "" {
				key = prefix + "." + key
			}
		}
		if _, ok := lines[key]; !ok {
			lines[key] = line
		}
	}
	return lines
}
