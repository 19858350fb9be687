package benchwire

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"

	"streamrail/policy"
)

// Link connects the balancers of one process to the simulator.
type Link struct {
	in        *bufio.Reader
	out       *bufio.Writer
	output    []byte // of the current batch; written only after the whole batch was parsed
	now       policy.Nanos
	lists     map[int64][]policy.HostEntry
	instances map[int64]*instance
}

// instance is one balancer and the policy.Environment that it acts on.
type instance struct {
	link     *Link
	number   int64
	balancer *policy.Balancer
}

// New returns a Link that reads events from in and writes the balancers' actions to out.
func New(in io.Reader, out io.Writer) *Link {
	return &Link{in: bufio.NewReaderSize(in, 1<<20), out: bufio.NewWriterSize(out, 1<<20),
		lists: map[int64][]policy.HostEntry{}, instances: map[int64]*instance{}}
}

// Run processes batches of events and answers each until the input ends.
func (l *Link) Run() error {
	for {
		f, err := l.readLine()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if f.parts[0] != "SYNC" {
			return fmt.Errorf("expected SYNC at the start of a batch, got %q", f.parts[0])
		}
		l.now, l.output = f.nanos(1), l.output[:0]
		for f.err == nil && f.parts[0] != "FLUSH" {
			if f, err = l.readLine(); err != nil {
				return fmt.Errorf("reading a batch: %w", err)
			}
			if err = l.handleEvent(f); err != nil {
				return err
			}
		}
		if f.err != nil {
			return f.err
		}
		l.out.Write(l.output)
		l.out.WriteString("READY\n")
		if err = l.out.Flush(); err != nil {
			return err
		}
	}
}

func (l *Link) readLine() (*fields, error) {
	s, err := l.in.ReadString('\n')
	if err != nil {
		if err == io.EOF && s != "" {
			err = io.ErrUnexpectedEOF
		}
		return nil, err
	}
	return &fields{parts: strings.Split(strings.TrimRight(s, "\r\n"), "\t")}, nil
}

// handleEvent passes the event of one line to the balancer that it addresses.
func (l *Link) handleEvent(f *fields) error {
	switch f.parts[0] {
	case "FLUSH", "":
		return nil
	case "SNAPSHOT_ROWS":
		return l.readList(f)
	}
	f.required(1)
	number := f.number(1)
	in := l.instances[number]
	if in == nil {
		in = &instance{link: l, number: number}
	}
	if in.balancer == nil && f.parts[0] != "LAUNCH" {
		return f.err // events of an instance that is not running need no answer
	}
	defer in.reportPanic()
	b := in.balancer
	switch f.parts[0] {
	case "LAUNCH":
		seed, err := strconv.ParseUint(strings.TrimPrefix(f.required(2), "-"), 10, 64)
		if err != nil {
			f.fail("seed", f.text(2))
		}
		if config := f.config(); f.err == nil {
			in.balancer = policy.New(in, config, seed)
			l.instances[number] = in
		}
	case "TEARDOWN":
		delete(l.instances, number)
	case "MEMBERS":
		kind := lookUp(f, "list kind", listKinds, f.text(2))
		if f.err == nil {
			b.ApplyList(kind, l.lists[f.number(4)])
		}
	case "ORDER":
		if request := f.request(l.now); f.err == nil {
			b.RequestArrived(request)
		}
	case "DONE":
		if result := f.attemptResult(); f.err == nil {
			b.AttemptEnded(result)
		}
	case "ABANDONED":
		b.RequestAbandoned(policy.RequestID(f.required(2)))
	case "TIMER":
		b.TimerFired(policy.TimerID(f.required(2)))
	case "STREAMING":
		b.AnswerStarted(policy.RequestID(f.required(2)))
	case "CHECKED", "WHISPER": // balancers here neither probe hosts nor use messages of other balancers
	default:
		f.fail("event", f.parts[0])
	}
	return f.err
}

func (l *Link) readList(f *fields) error {
	var entries []policy.HostEntry
	for range f.number(2) {
		row, err := l.readLine()
		if err != nil {
			return fmt.Errorf("reading a host list: %w", err)
		}
		if row.parts[0] != "ROW" {
			return fmt.Errorf("expected ROW in a host list, got %q", row.parts[0])
		}
		entries = append(entries, row.entry())
		if row.err != nil {
			return row.err
		}
	}
	l.lists[f.number(1)] = entries
	return f.err
}

// reportPanic turns a panic of the policy into the CRASH line, which ends the simulation.
func (in *instance) reportPanic() {
	if p := recover(); p != nil {
		in.write("CRASH", strings.ReplaceAll(fmt.Sprint(p), "\n", " "))
	}
}

func (in *instance) write(what string, values ...string) {
	l := in.link
	l.output = append(l.output, what...)
	l.output = append(l.output, '\t')
	l.output = strconv.AppendInt(l.output, in.number, 10)
	for _, v := range values {
		l.output = append(l.output, '\t')
		l.output = append(l.output, v...)
	}
	l.output = append(l.output, '\n')
}

func formatNanos(n policy.Nanos) string { return strconv.FormatInt(int64(n), 10) }

func (in *instance) Now() policy.Nanos { return in.link.now }
func (in *instance) Send(id policy.RequestID, to policy.HostID, deadline, _ policy.Nanos) {
	in.write("FORWARD", string(id), string(to), formatNanos(max(1, deadline-in.link.now)))
}
func (in *instance) Cancel(id policy.RequestID, attempt int) {
	in.write("CANCEL", string(id), strconv.Itoa(attempt))
}
func (in *instance) RateLimit(id policy.RequestID, retryAfter policy.Nanos) {
	in.write("REFUSE", string(id), formatNanos(retryAfter))
}
func (in *instance) Error(id policy.RequestID) { in.write("FAIL", string(id)) }
func (in *instance) Subscribe()                { in.write("STREAM_CHANGES", "1") }
func (in *instance) SetTimer(after policy.Nanos, id policy.TimerID) {
	in.write("SLEEP", formatNanos(after), string(id))
}
