// Package memcache parses and writes the meta commands of the memcache text protocol, as clients send them to
// a balancer and a balancer forwards them to cache hosts. It does no I/O. Byte slices in its results point into its input.
package memcache

import (
	"bytes"
	"errors"
	"iter"
	"strconv"
	"time"
)

const (
	MaxLineBytes  = 2048    // bytes of a command's or an answer's line; a key takes at most 250 of them
	MaxValueBytes = 4 << 20 // bytes of a value; the largest that operators store
	maxKeyBytes   = 250
)

var crlf = []byte("\r\n")

// Command is a parsed mg, ms or mn command.
type Command struct {
	Line              []byte // as received, without its line end
	Key, ID, Attrs    []byte
	Product, Customer []byte
	DedupToken        []byte        // deduplication token of a write
	Timeout           time.Duration // how long the client waits, from when it sent the command
	Length            int           // of the value that follows the line of a write
	Write, Noop       bool
	ClientRetry       bool   // the client marked the request as a retry
	timeoutDigits     [2]int // start and end of Timeout's digits in Line
	attrsStart        int    // start of Attrs in Line
}

// Fault is the error reply to a faulty command.
type Fault struct {
	Text      string
	OutOfSync bool // the start of the next command is unknown, so the connection cannot go on
}

// Line returns the line that the client is sent.
func (f *Fault) Line() string { return f.Text + "\r\n" }

// Faults that Parse returns or that the balancer detects later. Quit is not an error: the client ends the connection.
var (
	Quit            = &Fault{Text: "quit"}
	unknownCommand  = &Fault{Text: "ERROR"}
	duplicateFlag   = clientError("given twice", false)
	LineTooLong     = clientError("line too long", true)
	BadChunk        = clientError("bad data chunk", true)
	UnknownProduct  = clientError("unknown product", false)
	UnknownCustomer = clientError("unknown customer", false)
	NoDedupToken    = clientError("no mark against repeats", false)
	IDInUse         = clientError("id is in hand", false)
	IDUsed          = clientError("id has been used", false)
)

func clientError(text string, outOfSync bool) *Fault {
	return &Fault{"CLIENT_ERROR " + text, outOfSync}
}

// nextWord splits the next word off a line.
func nextWord(s []byte) (word, rest []byte) {
	for len(s) > 0 && s[0] == ' ' {
		s = s[1:]
	}
	if i := bytes.IndexByte(s, ' '); i >= 0 {
		return s[:i], s[i+1:]
	}
	return s, nil
}

// flags iterates over the words of the rest of a line.
func flags(rest []byte) iter.Seq[[]byte] {
	return func(yield func([]byte) bool) {
		for len(rest) > 0 {
			var word []byte
			if word, rest = nextWord(rest); len(word) > 0 && !yield(word) {
				return
			}
		}
	}
}

// printable reports whether a text has no byte below lowest and no DEL character.
func printable(s []byte, lowest byte) bool {
	for _, ch := range s {
		if ch < lowest || ch == 0x7f {
			return false
		}
	}
	return true
}

// Parse parses a command's line. If it returns a fault, Length is still set for a write whose length was read.
func Parse(line []byte) (c Command, fault *Fault) {
	c.Line = line
	if !printable(line, ' ') {
		return c, clientError("control character", true) // a cache host could take it for a line end
	}
	verb, rest := nextWord(line)
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
		return c, unknownCommand
	}
	c.Key, rest = nextWord(rest)
	if c.Write {
		var digits []byte
		digits, rest = nextWord(rest)
		n, ok := parseNumber(digits)
		if !ok {
			return c, BadChunk
		}
		c.Length = int(n)
		if c.Length > MaxValueBytes {
			return c, clientError("value too large", true)
		}
	}
	if len(c.Key) == 0 || len(c.Key) > maxKeyBytes {
		return c, clientError("bad key", false)
	}
	for flag := range flags(rest) {
		switch {
		case flag[0] == 'O' && c.ID != nil, flag[0] == 'P' && c.Attrs != nil:
			return c, duplicateFlag // a host may use the other one
		case flag[0] == 'O':
			c.ID = flag[1:]
		case flag[0] == 'P':
			c.Attrs = flag[1:]
		}
	}
	if len(c.ID) == 0 {
		return c, clientError("no id", false)
	}
	return c, c.parseAttrs()
}

// parseAttrs parses the list of attributes, name=value pairs separated by commas.
func (c *Command) parseAttrs() *Fault {
	list, duplicate := c.Attrs, false
	for len(list) > 0 {
		pair := list
		if i := bytes.IndexByte(list, ','); i >= 0 {
			pair, list = list[:i], list[i+1:]
		} else {
			list = nil
		}
		name, value, _ := bytes.Cut(pair, []byte("="))
		switch string(name) {
		case "c":
			duplicate = duplicate || c.Product != nil
			c.Product = value
		case "t":
			duplicate = duplicate || c.Customer != nil
			c.Customer = value
		case "k":
			duplicate = duplicate || c.DedupToken != nil
			c.DedupToken = value
		case "r":
			c.ClientRetry = string(value) == "1"
		case "d":
			n, ok := parseNumber(value)
			duplicate = duplicate || c.Timeout != 0
			if !ok || n == 0 {
				return clientError("bad time to wait", false)
			}
			c.Timeout = time.Duration(n) * time.Millisecond
			// value is a subslice of Line, so the difference of the capacities is its offset.
			start := cap(c.Line) - cap(value)
			c.timeoutDigits = [2]int{start, start + len(value)}
			c.attrsStart = cap(c.Line) - cap(c.Attrs)
		}
	}
	if duplicate {
		return duplicateFlag
	}
	if c.Timeout == 0 {
		return clientError("no time to wait", false)
	}
	if len(c.Product) == 0 {
		return clientError("no product", false)
	}
	return nil
}

func parseNumber(s []byte) (n int64, ok bool) {
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

// AppendForwarded appends the command's line as received, with the client's timeout replaced by the remaining time in whole
// milliseconds, rounded down.
func (c *Command) AppendForwarded(to []byte, remaining time.Duration) []byte {
	return append(c.appendWithTimeout(to, 0, len(c.Line), remaining), crlf...)
}

// AppendAttrs appends the list of attributes as received, with the client's timeout replaced as in AppendForwarded.
func (c *Command) AppendAttrs(to []byte, remaining time.Duration) []byte {
	return c.appendWithTimeout(to, c.attrsStart, c.attrsStart+len(c.Attrs), remaining)
}

// appendWithTimeout appends the part of the line between two offsets with the client's timeout, which must lie within it,
// replaced by the remaining time.
func (c *Command) appendWithTimeout(to []byte, from, until int, remaining time.Duration) []byte {
	to = append(to, c.Line[from:c.timeoutDigits[0]]...)
	to = strconv.AppendInt(to, remaining.Milliseconds(), 10)
	return append(to, c.Line[c.timeoutDigits[1]:until]...)
}

// Reply is the kind of a cache host's answer.
type Reply int

const (
	Value Reply = iota
	Receipt
	Miss
	Rejected
	Errored
)

// Answer is the parsed first line of a cache host's answer.
type Answer struct {
	Reply   Reply
	ID      []byte
	Length  int // of the value that follows
	Receipt []byte
	Report  []byte // load report of the host, unparsed
}

var errMalformedAnswer = errors.New("malformed answer line")

// ParseAnswer parses the line of a cache host's answer. After an error, what follows on the connection cannot be parsed.
func ParseAnswer(line []byte) (a Answer, err error) {
	verb, rest := nextWord(line)
	switch string(verb) {
	case "VA":
		var digits []byte
		digits, rest = nextWord(rest)
		n, ok := parseNumber(digits)
		if !ok || n > MaxValueBytes {
			return a, errMalformedAnswer
		}
		a.Length = int(n)
	case "HD":
		a.Reply = Receipt
	case "EN":
		a.Reply = Miss
	case "SERVER_ERROR":
		// Only the exact words prove anything: after a corrupted line that begins like them, the host may have done the work.
		text, report := nextWord(rest)
		if len(report) > 0 && !a.takeReport(report) {
			return a, errMalformedAnswer
		}
		switch string(text) {
		case "busy":
			a.Reply = Rejected
		case "failed":
			a.Reply = Errored
		default:
			return a, errMalformedAnswer
		}
		return a, nil
	default:
		return a, errMalformedAnswer
	}
	for flag := range flags(rest) {
		switch flag[0] {
		default:
			if !a.takeReport(flag) && a.Reply == Miss {
				return a, errMalformedAnswer // a miss proves that nothing ran, so accept only a well-formed one
			}
		case 'O':
			if a.ID != nil {
				return a, errMalformedAnswer
			}
			a.ID = flag[1:]
		case 'c':
			a.Receipt = flag[1:]
		case 'h', 'Z': // hit status of a read, not used
		}
	}
	return a, nil
}

// takeReport reports whether a flag is a load report, and stores the first one. Its content is not checked here, because a
// malformed report must not spoil the answer.
func (a *Answer) takeReport(flag []byte) bool {
	if flag[0] != 'L' {
		return false
	}
	if a.Report == nil {
		a.Report = flag[1:]
	}
	return true
}

// AppendValue appends the first line of an answer with a value; the caller sends the value and a line end after it.
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

// Other answers to clients.
const (
	NoopAnswer    = "MN\r\n"
	NotServing    = "SERVER_ERROR draining\r\n"
	ErroredAnswer = "SERVER_ERROR failed\r\n" // final answer errored: promises nothing
)

// AppendRateLimited appends the rate-limited answer, after which a client retry is harmless. If retryAfter is at least a
// millisecond, it is sent as the delay before the retry.
func AppendRateLimited(to []byte, retryAfter time.Duration) []byte {
	to = append(to, "SERVER_ERROR busy"...)
	if ms := retryAfter.Milliseconds(); ms > 0 {
		to = strconv.AppendInt(append(to, ' '), ms, 10)
	}
	return append(to, crlf...)
}

// IsReceipt reports whether a receipt is valid in an answer's line.
func IsReceipt(s []byte) bool {
	return len(s) > 0 && len(s) <= maxKeyBytes && printable(s, '!')
}
