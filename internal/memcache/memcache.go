// Package memcache parses and writes the meta commands of the memcache text protocol, as clients send them to
// a balancer and a balancer sends them on. It does no I/O; what it returns points into what it was given.
package memcache

import (
	"bytes"
	"errors"
	"iter"
	"strconv"
	"time"
)

const (
	MostLine  = 2048    // bytes of a command's or an answer's line; keys hold 250 at most
	MostValue = 4 << 20 // bytes of a value, the longest that operators have
	mostKey   = 250
)

var crlf = []byte("\r\n")

// Command is one mg, ms or mn.
type Command struct {
	Line              []byte // as it came, without its line end
	Key, ID, Attrs    []byte
	Product, Customer []byte
	Mark              []byte        // against repeats
	Left              time.Duration // that the client waits, from when it sent the command
	Length            int           // of the value that follows the line of a write
	Write, Noop       bool
	Repeat            bool
	left              [2]int // where the digits of Left stand in Line
	attrsAt           int    // where Attrs stand there
}

// Fault is what is wrong with a command, in the protocol's words.
type Fault struct {
	Text string
	Lost bool // where the next command starts is not known
}

// Line is what the client is answered.
func (f *Fault) Line() string { return f.Text + "\r\n" }

// What a line can be besides a command, and what is wrong with commands for other reasons than their line.
var (
	Quit            = &Fault{Text: "quit"}
	unknown         = &Fault{Text: "ERROR"}
	twice           = bad("given twice", false)
	TooLong         = bad("line too long", true)
	BadChunk        = bad("bad data chunk", true)
	UnknownProduct  = bad("unknown product", false)
	UnknownCustomer = bad("unknown customer", false)
	NoMark          = bad("no mark against repeats", false)
	IDInHand        = bad("id is in hand", false)
)

func bad(text string, lost bool) *Fault { return &Fault{"CLIENT_ERROR " + text, lost} }

// word cuts the next word off a line.
func word(s []byte) (w, rest []byte) {
	for len(s) > 0 && s[0] == ' ' {
		s = s[1:]
	}
	if i := bytes.IndexByte(s, ' '); i >= 0 {
		return s[:i], s[i+1:]
	}
	return s, nil
}

// flags are the words of the rest of a line.
func flags(rest []byte) iter.Seq[[]byte] {
	return func(yield func([]byte) bool) {
		for len(rest) > 0 {
			var w []byte
			if w, rest = word(rest); len(w) > 0 && !yield(w) {
				return
			}
		}
	}
}

// printable tells that a line holds no control characters, nor anything else under the least one.
func printable(s []byte, least byte) bool {
	for _, ch := range s {
		if ch < least || ch == 0x7f {
			return false
		}
	}
	return true
}

// Parse reads a command's line. With a fault it still tells the length of a write's value, if that was read.
func Parse(line []byte) (c Command, fault *Fault) {
	c.Line = line
	if !printable(line, ' ') {
		return c, bad("control character", true) // it could pass for a line end further on
	}
	verb, rest := word(line)
	switch string(verb) {
	case "mn":
		c.Noop = true
		return c, nil
	case "quit":
		return c, Quit
	case "mg":
	case "ms":
		c.Write = true
	default:
		return c, unknown
	}
	c.Key, rest = word(rest)
	if c.Write {
		var digits []byte
		digits, rest = word(rest)
		n, ok := number(digits)
		if !ok {
			return c, BadChunk
		}
		c.Length = int(n)
		if c.Length > MostValue {
			return c, bad("value too large", true)
		}
	}
	if len(c.Key) == 0 || len(c.Key) > mostKey {
		return c, bad("bad key", false)
	}
	for flag := range flags(rest) {
		switch {
		case flag[0] == 'O' && c.ID != nil, flag[0] == 'P' && c.Attrs != nil:
			return c, twice // a host may take the other one
		case flag[0] == 'O':
			c.ID = flag[1:]
		case flag[0] == 'P':
			c.Attrs = flag[1:]
		}
	}
	if len(c.ID) == 0 {
		return c, bad("no id", false)
	}
	return c, c.attrs()
}

// attrs reads the list of names and values.
func (c *Command) attrs() *Fault {
	list, again := c.Attrs, false
	for len(list) > 0 {
		pair := list
		if i := bytes.IndexByte(list, ','); i >= 0 {
			pair, list = list[:i], list[i+1:]
		} else {
			list = nil
		}
		name, v, _ := bytes.Cut(pair, []byte("="))
		switch string(name) {
		case "c":
			again = again || c.Product != nil
			c.Product = v
		case "t":
			again = again || c.Customer != nil
			c.Customer = v
		case "k":
			again = again || c.Mark != nil
			c.Mark = v
		case "r":
			c.Repeat = string(v) == "1"
		case "d":
			n, ok := number(v)
			again = again || c.Left != 0
			if !ok || n == 0 {
				return bad("bad time to wait", false)
			}
			c.Left = time.Duration(n) * time.Millisecond
			// v is a part of Line: the difference of the capacities is where it starts.
			at := cap(c.Line) - cap(v)
			c.left = [2]int{at, at + len(v)}
			c.attrsAt = cap(c.Line) - cap(c.Attrs)
		}
	}
	if again {
		return twice
	}
	if c.Left == 0 {
		return bad("no time to wait", false)
	}
	if len(c.Product) == 0 {
		return bad("no product", false)
	}
	return nil
}

func number(s []byte) (n int64, ok bool) {
	if len(s) == 0 || len(s) > 9 {
		return 0, false
	}
	for _, ch := range s {
		if ch < '0' || ch > '9' {
			return 0, false
		}
		n = n*10 + int64(ch-'0')
	}
	return n, true
}

// AppendOnward appends the command's line as it came, but for the time that is left, in whole milliseconds, rounded down.
func (c *Command) AppendOnward(to []byte, left time.Duration) []byte {
	return append(c.appendPart(to, 0, len(c.Line), left), crlf...)
}

// AppendAttrs appends the list of names and values as it came, but for the time that is left, like AppendOnward.
func (c *Command) AppendAttrs(to []byte, left time.Duration) []byte {
	return c.appendPart(to, c.attrsAt, c.attrsAt+len(c.Attrs), left)
}

// appendPart appends a part of the line that holds the time that is left, with another time in its place.
func (c *Command) appendPart(to []byte, from, until int, left time.Duration) []byte {
	to = append(to, c.Line[from:c.left[0]]...)
	to = strconv.AppendInt(to, left.Milliseconds(), 10)
	return append(to, c.Line[c.left[1]:until]...)
}

// Reply is the kind of a host's answer.
type Reply int

const (
	Value Reply = iota
	Receipt
	Miss
	TurnedAway
	Errored
)

// Answer is the line of a host's answer.
type Answer struct {
	Reply   Reply
	ID      []byte
	Length  int // of the value that follows
	Receipt []byte
	Report  []byte // of the host's load, as it stands
}

var errAnswer = errors.New("not an answer")

// ParseAnswer reads a host's line; an error means that nothing behind it can be made out.
func ParseAnswer(line []byte) (a Answer, err error) {
	verb, rest := word(line)
	switch string(verb) {
	case "VA":
		var digits []byte
		digits, rest = word(rest)
		n, ok := number(digits)
		if !ok || n > MostValue {
			return a, errAnswer
		}
		a.Length = int(n)
	case "HD":
		a.Reply = Receipt
	case "EN":
		a.Reply = Miss
	case "SERVER_ERROR":
		// Only the very words prove anything: noise that begins like them may hide work that was done.
		text, report := word(rest)
		if len(report) > 0 && !a.report(report) {
			return a, errAnswer
		}
		switch string(text) {
		case "busy":
			a.Reply = TurnedAway
		case "failed":
			a.Reply = Errored
		default:
			return a, errAnswer
		}
		return a, nil
	default:
		return a, errAnswer
	}
	for flag := range flags(rest) {
		switch flag[0] {
		default:
			if !a.report(flag) && a.Reply == Miss {
				return a, errAnswer // a miss proves that nothing ran
			}
		case 'O':
			if a.ID != nil {
				return a, errAnswer
			}
			a.ID = flag[1:]
		case 'c':
			a.Receipt = flag[1:]
		case 'h', 'Z': // how a read went
		}
	}
	return a, nil
}

// report takes a word that is a load report, the first if there are more; what it holds does not matter here, so that
// it may be spoilt.
func (a *Answer) report(word []byte) bool {
	if word[0] != 'L' {
		return false
	}
	if a.Report == nil {
		a.Report = word[1:]
	}
	return true
}

// AppendValue appends the line of a value; the value and a line end follow it.
func AppendValue(to, id []byte, length int) []byte {
	to = append(to, "VA "...)
	to = strconv.AppendInt(to, int64(length), 10)
	to = append(append(to, " O"...), id...)
	return append(to, crlf...)
}

// AppendReceipt appends the answer to a write.
func AppendReceipt(to, id, receipt []byte) []byte {
	to = append(append(to, "HD O"...), id...)
	to = append(append(to, " c"...), receipt...)
	return append(to, crlf...)
}

// What is answered besides.
const (
	Alive      = "MN\r\n"
	NotServing = "SERVER_ERROR draining\r\n"
	NoAnswer   = "SERVER_ERROR failed\r\n" // a request errored; promises nothing
)

// AppendRateLimited appends a rate-limit reply: trying again is harmless, after so long if it is not 0.
func AppendRateLimited(to []byte, comeBack time.Duration) []byte {
	to = append(to, "SERVER_ERROR busy"...)
	if ms := comeBack.Milliseconds(); ms > 0 {
		to = strconv.AppendInt(append(to, ' '), ms, 10)
	}
	return append(to, crlf...)
}

// IsReceipt tells whether a receipt can stand in an answer's line.
func IsReceipt(s []byte) bool {
	return len(s) > 0 && len(s) <= mostKey && printable(s, '!')
}
