package benchwire

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"

	"streamrail/policy"
)

// Link joins the balancers of one process to the wire.
type Link struct {
	in        *bufio.Reader
	out       *bufio.Writer
	reply     []byte // of the batch in hand; written only when the whole batch was understood
	now       policy.Nanos
	rosters   map[int64][]policy.Entry
	instances map[int64]*instance
}

// instance is one balancer and the host that it acts on.
type instance struct {
	link     *Link
	number   int64
	balancer *policy.Balancer
}

func New(in io.Reader, out io.Writer) *Link {
	return &Link{in: bufio.NewReaderSize(in, 1<<20), out: bufio.NewWriterSize(out, 1<<20),
		rosters: map[int64][]policy.Entry{}, instances: map[int64]*instance{}}
}

// Run answers batch after batch until the input ends.
func (l *Link) Run() error {
	for {
		f, err := l.line()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if f.parts[0] != "SYNC" {
			return fmt.Errorf("a batch starts with %q", f.parts[0])
		}
		l.now, l.reply = f.nanos(1), l.reply[:0]
		for f.err == nil && f.parts[0] != "FLUSH" {
			if f, err = l.line(); err != nil {
				return fmt.Errorf("inside a batch: %w", err)
			}
			if err = l.event(f); err != nil {
				return err
			}
		}
		if f.err != nil {
			return f.err
		}
		l.out.Write(l.reply)
		l.out.WriteString("READY\n")
		if err = l.out.Flush(); err != nil {
			return err
		}
	}
}

func (l *Link) line() (*fields, error) {
	s, err := l.in.ReadString('\n')
	if err != nil {
		if err == io.EOF && s != "" {
			err = io.ErrUnexpectedEOF
		}
		return nil, err
	}
	return &fields{parts: strings.Split(strings.TrimRight(s, "\r\n"), "\t")}, nil
}

// event hands one line to the balancer that it is for.
func (l *Link) event(f *fields) error {
	switch f.parts[0] {
	case "FLUSH", "":
		return nil
	case "SNAPSHOT_ROWS":
		return l.roster(f)
	}
	f.must(1)
	number := f.number(1)
	in := l.instances[number]
	if in == nil {
		in = &instance{link: l, number: number}
	}
	if in.balancer == nil && f.parts[0] != "LAUNCH" {
		return f.err // nothing is owed for an instance that does not run
	}
	defer in.report()
	b := in.balancer
	switch f.parts[0] {
	case "LAUNCH":
		seed, err := strconv.ParseUint(strings.TrimPrefix(f.must(2), "-"), 10, 64)
		if err != nil {
			f.fail("seed", f.text(2))
		}
		if t := f.terms(); f.err == nil {
			in.balancer = policy.New(in, t, seed)
			l.instances[number] = in
		}
	case "TEARDOWN":
		delete(l.instances, number)
	case "MEMBERS":
		kind := pick(f, "list kind", listKinds, f.text(2))
		if f.err == nil {
			b.Listed(kind, l.rosters[f.number(4)])
		}
	case "ORDER":
		if c := f.call(l.now); f.err == nil {
			b.Arrived(c)
		}
	case "DONE":
		if e := f.ending(); f.err == nil {
			b.Ended(e)
		}
	case "ABANDONED":
		b.Abandoned(policy.CallID(f.must(2)))
	case "TIMER":
		b.TimerFired(policy.TimerID(f.must(2)))
	case "STREAMING":
		b.Streaming(policy.CallID(f.must(2)))
	case "CHECKED", "WHISPER": // nothing here probes or talks to other balancers
	default:
		f.fail("event", f.parts[0])
	}
	return f.err
}

func (l *Link) roster(f *fields) error {
	var entries []policy.Entry
	for range f.number(2) {
		row, err := l.line()
		if err != nil {
			return fmt.Errorf("inside a list: %w", err)
		}
		if row.parts[0] != "ROW" {
			return fmt.Errorf("a list holds %q", row.parts[0])
		}
		entries = append(entries, row.entry())
		if row.err != nil {
			return row.err
		}
	}
	l.rosters[f.number(1)] = entries
	return f.err
}

// report turns a panic of the module into the message that ends the day.
func (in *instance) report() {
	if p := recover(); p != nil {
		in.write("CRASH", strings.ReplaceAll(fmt.Sprint(p), "\n", " "))
	}
}

func (in *instance) write(what string, values ...string) {
	l := in.link
	l.reply = append(l.reply, what...)
	l.reply = append(l.reply, '\t')
	l.reply = strconv.AppendInt(l.reply, in.number, 10)
	for _, v := range values {
		l.reply = append(l.reply, '\t')
		l.reply = append(l.reply, v...)
	}
	l.reply = append(l.reply, '\n')
}

func whole(n policy.Nanos) string { return strconv.FormatInt(int64(n), 10) }

func (in *instance) Now() policy.Nanos { return in.link.now }
func (in *instance) Send(c policy.CallID, to policy.CacheID, deadline, _ policy.Nanos) {
	in.write("FORWARD", string(c), string(to), whole(max(1, deadline-in.link.now)))
}
func (in *instance) Cancel(c policy.CallID, attempt int) {
	in.write("CANCEL", string(c), strconv.Itoa(attempt))
}
func (in *instance) RateLimit(c policy.CallID, comeBack policy.Nanos) {
	in.write("REFUSE", string(c), whole(comeBack))
}
func (in *instance) Error(c policy.CallID) { in.write("FAIL", string(c)) }
func (in *instance) Subscribe()            { in.write("STREAM_CHANGES", "1") }
func (in *instance) SetTimer(after policy.Nanos, id policy.TimerID) {
	in.write("SLEEP", whole(after), string(id))
}
