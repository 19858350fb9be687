package evidence

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"streamrail/internal/fleet/member"
)

func newMachineWithPeers(zones ...string) (*Machine, []Peer) {
	m := New(Config{Self: 1, Zone: "a"})
	peers := []Peer{{1, "a"}}
	for i, z := range zones {
		peers = append(peers, Peer{member.ProcessID(i + 2), z})
	}
	m.Tick(0, peers, 8)
	return m, peers
}

func singleRow(host string, good, bad int) []HostOutcomes { return []HostOutcomes{{host, good, bad}} }

func formatSummaries(m *Machine) (text string) {
	for _, s := range m.Summaries() {
		text += fmt.Sprintf("%s %.1f:%.1f ", s.Host, s.Good, s.Bad)
	}
	return text
}

// Which reports lead to a summary, and of what weight: a single reporter, a single other zone, or a reporter that finds most hosts bad
// does not suffice. A summary weighs no more than a few attempts, exists for at most a quarter of the hosts, and expires by itself.
func TestSummaries(t *testing.T) {
	mostlyBad := []HostOutcomes{{"p", 0, 2}, {"q", 0, 2}, {"r", 0, 2}, {"s", 1, 0}}
	for name, row := range map[string]struct {
		zones []string
		rows  [][]HostOutcomes
		want  string
	}{
		"one":               {[]string{"a"}, [][]HostOutcomes{singleRow("h", 0, 900)}, ""},
		"two":               {[]string{"a", "a"}, [][]HostOutcomes{singleRow("h", 0, 9), singleRow("h", 0, 1)}, "h 0.0:2.0 "},
		"outvoted":          {[]string{"a", "a", "a", "a"}, [][]HostOutcomes{singleRow("h", 0, 9), singleRow("h", 0, 9), singleRow("h", 1, 0), singleRow("h", 1, 0)}, ""},
		"most":              {[]string{"a", "a", "a"}, [][]HostOutcomes{singleRow("h", 0, 9), singleRow("h", 0, 9), singleRow("h", 7, 0)}, "h 1.0:2.0 "},
		"eight weigh four":  {[]string{"a", "a", "a", "a", "a", "a", "a", "a"}, slices.Repeat([][]HostOutcomes{singleRow("h", 0, 9)}, 8), "h 0.0:4.0 "},
		"another zone":      {[]string{"b", "b", "b", "b"}, slices.Repeat([][]HostOutcomes{singleRow("h", 0, 9)}, 4), ""},
		"two other zones":   {[]string{"b", "b", "c", "c"}, slices.Repeat([][]HostOutcomes{singleRow("h", 0, 9)}, 4), "h 0.0:2.0 "},
		"finds all bad":     {[]string{"a", "a", "a"}, [][]HostOutcomes{mostlyBad, mostlyBad, singleRow("p", 0, 1)}, ""},
		"a quarter of them": {[]string{"a", "a"}, slices.Repeat([][]HostOutcomes{{{"p", 0, 2}, {"q", 1, 2}, {"r", 0, 2}, {"s", 8, 0}, {"t", 8, 0}, {"u", 8, 0}, {"v", 8, 0}}}, 2), "p 0.0:2.0 r 0.0:2.0 "},
		"nonsense":          {[]string{"a", "a"}, slices.Repeat([][]HostOutcomes{{{"p", -3, 5}, {"", 0, 0}}}, 2), ""},
	} {
		t.Run(name, func(t *testing.T) {
			m, peers := newMachineWithPeers(row.zones...)
			for i, rows := range row.rows {
				m.Receive(0, peers[i+1].Life, &Message{Sequence: 1, Hosts: rows})
			}
			m.Tick(TickInterval, peers, 8)
			if got := formatSummaries(m); got != row.want {
				t.Errorf("summaries %q, expected %q", got, row.want)
			}
			if m.Tick(2*TickInterval+reportTTL, peers, 8); formatSummaries(m) != "" {
				t.Errorf("summaries not expired: %q", formatSummaries(m))
			}
		})
	}
}

// For every sequence of five messages out of two of each of three reporters, with losses and duplicates, the summaries depend only on
// the latest message received from each reporter.
func TestAnyOrder(t *testing.T) {
	sequences := 0
	for n := range 6 * 6 * 6 * 6 * 6 {
		m, peers := newMachineWithPeers("a", "a", "a")
		want, wantPeers := newMachineWithPeers("a", "a", "a")
		last := map[int]int{}
		for k, rest := 0, n; k < 5; k, rest = k+1, rest/6 {
			sender, message := rest%6/2, rest%6%2
			m.Receive(0, peers[sender+1].Life, &Message{Sequence: uint64(message + 1), Hosts: singleRow("h", message, message*sender)})
			last[sender] = max(last[sender], message+1)
		}
		for sender, message := range last {
			want.Receive(0, wantPeers[sender+1].Life, &Message{Sequence: uint64(message), Hosts: singleRow("h", message-1, (message-1)*sender)})
		}
		m.Tick(TickInterval, peers, 8)
		want.Tick(TickInterval, wantPeers, 8)
		if sequences++; formatSummaries(m) != formatSummaries(want) || m.ActiveReporters() != want.ActiveReporters() {
			t.Fatalf("sequence %d: summaries %q, expected %q", n, formatSummaries(m), formatSummaries(want))
		}
	}
	if sequences != 7776 {
		t.Errorf("%d sequences, want 7776", sequences)
	}
}

// Messages that were delayed because a process was paused do not count, and a sender does not report attempts that have left its
// window.
func TestStaleMessages(t *testing.T) {
	m, peers := newMachineWithPeers("a", "a")
	receive := func(now, at Moment, n uint64) {
		for _, p := range peers[1:] {
			m.Receive(now, p.Life, &Message{Sequence: n, SentAt: at, Hosts: singleRow("h", 0, 9)})
		}
		m.Tick(now, peers, 8)
	}
	receive(0, 5*time.Hour, 1) // the sender's clock is unrelated to the receiver's
	if formatSummaries(m) == "" {
		t.Fatal("no summary after the first messages")
	}
	receive(20*time.Second, 5*time.Hour+10*time.Second, 2)
	if formatSummaries(m) != "" {
		t.Errorf("summaries from messages that are ten seconds old: %q", formatSummaries(m))
	}
	receive(21*time.Second, 5*time.Hour+20*time.Second+500*time.Millisecond, 3)
	if formatSummaries(m) == "" {
		t.Error("no summary from messages that are in time again")
	}
	sender := New(Config{Self: 9, Zone: "a"})
	sender.RecordAttempt(0, "h", false)
	sender.Tick(time.Second, peers, 8)
	if out := sender.TakeOutput(); len(out) != 3 || len(out[0].Msg.Hosts) != 1 {
		t.Fatalf("sent %+v, want three messages with one row", out)
	}
	sender.Tick(11*time.Second, peers, 8)
	if out := sender.TakeOutput(); len(out[0].Msg.Hosts) != 0 {
		t.Errorf("rows reported ten seconds later: %+v", out[0].Msg.Hosts)
	}
}

// A hundred balancers each send attempts to random hosts, and a tenth of their messages is lost. Within 8 s most of them have a summary
// of a failing host, while hardly any has one of a good host that fails now and then. The summary expires once the host has recovered.
func TestFleet(t *testing.T) {
	const n, hosts = 100, 40
	r := rand.New(rand.NewPCG(1, 2))
	var all []*Machine
	var peers []Peer
	for i := range n {
		peers = append(peers, Peer{member.ProcessID(i + 1), []string{"a", "b"}[i%2]})
		all = append(all, New(Config{Self: member.ProcessID(i + 1), Zone: []string{"a", "b"}[i%2]}))
	}
	countSummaries := func() (bad, good int) {
		for _, m := range all {
			for _, summary := range m.Summaries() {
				if summary.Host == "h0" {
					bad++
				} else {
					good++
				}
			}
		}
		return bad, good
	}
	tick := func(s int, failing bool) {
		now := time.Duration(s) * TickInterval
		for _, m := range all {
			for range hosts / 4 {
				h := r.IntN(hosts)
				m.RecordAttempt(now, fmt.Sprint("h", h), !(failing && h == 0) && r.IntN(50) > 0)
			}
			m.Tick(now, peers, hosts)
			for _, s := range m.TakeOutput() {
				if r.IntN(10) > 0 {
					all[s.To-1].Receive(now, m.config.Self, &s.Msg)
				}
			}
		}
	}
	for s := range 16 {
		tick(s, true)
	}
	bad, good := countSummaries()
	if bad < n*9/10 || good > n/50 {
		t.Errorf("after 8 s %d of %d balancers have a summary of the failing host; %d summaries of good ones", bad, n, good)
	}
	for s := 16; s < 16+windowTicks+int(reportTTL/TickInterval)+2; s++ {
		tick(s, false)
	}
	if bad, good = countSummaries(); bad > 0 || good > n/50 {
		t.Errorf("%d balancers still have a summary of the recovered host, %d of others", bad, good)
	}
}
