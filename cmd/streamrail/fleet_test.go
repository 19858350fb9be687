package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"streamrail/internal/admin"
	"streamrail/internal/rehearsal/model"
	"streamrail/internal/rehearsal/standin"
)

// mate is one balancer of a fleet under test.
type mate struct {
	*running
	name, door, udp string
	config          map[string]any
	more, temp      string // of the operator's section; the process's own folder
}

// freeUDP is a free port on a loopback address of its own.
func freeUDP(t *testing.T) string {
	n := addrs.Add(1)
	c, err := net.ListenPacket("udp", fmt.Sprintf("127.78.%d.%d:0", n/250, n%250+1))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	return c.LocalAddr().String()
}

// mates is a fleet whose datagrams go by ways that a test can harm.
type mates struct {
	all  []*mate
	ways *standin.Relays
	list *list
}

// newFleet starts some balancers, with more keys in their section and other settings where given, that know the first ones' addresses, and waits until each sees all.
func newFleet(t *testing.T, n int, more string, change map[string]any) *mates {
	h := newHost(t, "h", hit)
	d := newList(t)
	d.set("h", h.addr, "cache", "active")
	f := &mates{list: d}
	var targets []netip.AddrPort
	for i := range n {
		m := &mate{name: fmt.Sprintf("n%d", i), door: freeAddr(t), udp: freeUDP(t)}
		set := map[string]any{"balancers": n, "extra": through["extra"]}
		maps.Copy(set, change)
		m.config = config(d, freeAddr(t), set)
		m.config["name"] = m.name
		f.all, targets = append(f.all, m), append(targets, netip.MustParseAddrPort(m.udp))
	}
	var err error
	if f.ways, err = standin.NewRelays(targets, model.WayTerms{}, rand.New(rand.NewPCG(1, 1))); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.ways.Close)
	for i, m := range f.all {
		var peers, via []string
		for k, o := range f.all {
			if k != i {
				via = append(via, fmt.Sprintf("%s = %q", o.name, f.ways.Addr(i, k)))
				if k < 3 {
					peers = append(peers, fmt.Sprintf("%q", f.ways.Addr(i, k)))
				}
			}
		}
		m.more = more + fmt.Sprintf("peers = [%s]\nvia = {%s}\n", strings.Join(peers, ", "), strings.Join(via, ", "))
		m.temp = shortDir(t)
		m.start(t)
	}
	for _, m := range f.all {
		m.sees(t, "whole", n-1, 0)
	}
	return f
}

// start lays the operator's file down and starts the process; it returns once clients are served.
func (m *mate) start(t *testing.T) { m.running = serving(t, m.config, m.env(t)...) }

func (m *mate) env(t *testing.T) []string {
	path := filepath.Join(t.TempDir(), "own.toml")
	text := fmt.Sprintf("[fleet]\nname = \"test\"\naddress = %q\nperiod = \"100ms\"\nsuspect = \"400ms\"\n%s", m.udp, m.more)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return []string{"GW_ADMIN_ADDR=" + m.door, "STREAMRAIL_FILE=" + path, "TMPDIR=" + m.temp}
}

func (m *mate) view(t *testing.T) (v admin.Members) {
	t.Helper()
	status, text := atDoor(t, m.door, "GET", "/api/members", "")
	if status != 200 {
		t.Fatalf("%d %s", status, text)
	}
	if err := json.Unmarshal([]byte(text), &v); err != nil {
		t.Fatal(err)
	}
	return v
}

// sees waits until a balancer's view has so many members alive and dead.
func (m *mate) sees(t *testing.T, word string, alive, dead int) (v admin.Members) {
	t.Helper()
	for began := time.Now(); time.Since(began) < patience; time.Sleep(10 * time.Millisecond) {
		if status, _ := atDoor(t, m.door, "GET", "/api/members", ""); status != 200 {
			continue // the older process of an upgrade has not let go yet
		}
		v = m.view(t)
		n := map[string]int{}
		for _, o := range v.Members {
			n[o.State]++
		}
		if v.Situation == word && n["alive"] == alive && n["dead"] == dead {
			return v
		}
	}
	t.Fatalf("%s never sees %q with %d alive and %d dead: %+v", m.name, word, alive, dead, v)
	return v
}

func (m *mate) of(t *testing.T, name string) admin.Member {
	t.Helper()
	v := m.view(t)
	i := slices.IndexFunc(v.Members, func(o admin.Member) bool { return o.Name == name })
	if i < 0 {
		t.Fatalf("%s does not know %s", m.name, name)
	}
	return v.Members[i]
}

// A balancer that dies is dead at every door, one that starts again under its name is a new life at once, and one that ends
// in order has left and was never suspected.
func TestMembers(t *testing.T) {
	all := newFleet(t, 3, "", nil).all
	was := all[0].of(t, "n2").Life
	all[2].Process.Kill()
	for _, m := range all[:2] {
		m.sees(t, "part", 1, 1)
		if got := m.of(t, "n2").State; got != "dead" {
			t.Errorf("%s holds n2 %s", m.name, got)
		}
	}
	all[2].start(t)
	for _, m := range all {
		m.sees(t, "whole", 2, 0)
	}
	if now := all[0].of(t, "n2").Life; now <= was {
		t.Errorf("life %s after %s", now, was)
	}
	all[1].Process.Signal(syscall.SIGTERM)
	all[1].exit(t)
	for _, m := range []*mate{all[0], all[2]} {
		for began := time.Now(); m.of(t, "n1").State != "left"; time.Sleep(10 * time.Millisecond) {
			if time.Since(began) > patience {
				t.Fatalf("%s holds n1 %s", m.name, m.of(t, "n1").State)
			}
		}
		if strings.Contains(m.log.String(), `"member":"n1","cause":"no answer`) {
			t.Errorf("%s suspected one that left in order", m.name)
		}
	}
}

// never fails where a balancer's log has told a state of one of the others.
func (m *mate) never(t *testing.T, state string, of ...string) {
	t.Helper()
	for _, line := range strings.Split(m.log.String(), "\n") {
		for _, o := range of {
			if strings.Contains(line, `"member":"`+o+`"`) && strings.Contains(line, `"state":"`+state+`"`) {
				t.Errorf("%s held %s %s: %s", m.name, o, state, line)
			}
		}
	}
}

// While two cut links run through a fleet, one of them one way only, nobody is dead to anybody: there is a way round. Three sides
// that see nothing of each other each go on by themselves, and find each other again when the cuts end in another order.
func TestMembersCut(t *testing.T) {
	f := newFleet(t, 5, "", nil)
	f.ways.Cut(true, func(from, to int) bool { return from == 0 && to == 1 || from == 2 && to == 3 || from == 3 && to == 2 })
	time.Sleep(4 * time.Second) // ten times what a suspicion lasts
	for _, m := range f.all {
		m.sees(t, "whole", 4, 0)
		m.never(t, "dead", "n0", "n1", "n2", "n3", "n4")
	}
	side := []int{0, 0, 1, 1, 2}
	f.ways.Cut(true, func(from, to int) bool { return side[from] != side[to] })
	f.ways.Cut(false, func(from, to int) bool { return side[from] == side[to] })
	for i, m := range f.all {
		if i < 4 {
			m.sees(t, "minority", 1, 3)
		} else {
			m.sees(t, "alone", 0, 4)
		}
	}
	f.ways.Cut(false, func(from, to int) bool { return side[from]+side[to] == 3 }) // the last two sides first
	for _, m := range f.all[2:] {
		m.sees(t, "part", 2, 2)
	}
	f.ways.Cut(false, func(int, int) bool { return true })
	digests := map[string]bool{}
	for _, m := range f.all {
		digests[m.sees(t, "whole", 4, 0).Digest] = true
	}
	if len(digests) != 1 {
		t.Errorf("views %v", digests)
	}
}

// A process that stands still for a moment is dead to nobody, and declares nobody when it goes on; one that stands still for long
// is dead, says unsure when it goes on, and comes back under its own life.
func TestMembersStall(t *testing.T) {
	f := newFleet(t, 5, "", nil)
	stop := func(m *mate, d time.Duration) {
		m.Process.Signal(syscall.SIGSTOP)
		time.Sleep(d)
		m.Process.Signal(syscall.SIGCONT)
	}
	stop(f.all[4], 250*time.Millisecond)
	life := f.all[0].of(t, "n4").Life
	time.Sleep(time.Second)
	for _, m := range f.all {
		m.sees(t, "whole", 4, 0)
		m.never(t, "dead", "n0", "n1", "n2", "n3", "n4")
	}
	f.all[4].Process.Signal(syscall.SIGSTOP)
	for _, m := range f.all[:4] {
		m.sees(t, "part", 3, 1)
	}
	f.all[4].Process.Signal(syscall.SIGCONT)
	for _, m := range f.all {
		m.sees(t, "whole", 4, 0)
	}
	f.all[4].never(t, "dead", "n0", "n1", "n2", "n3")
	f.all[4].says(t, "stood still for")
	if now := f.all[0].of(t, "n4").Life; now != life {
		t.Errorf("life %s, before the stall %s", now, life)
	}
}

// Where one datagram in four is lost, one in ten comes twice, late or spoilt, a fleet keeps together and still sees a death.
func TestMembersLoss(t *testing.T) {
	f := newFleet(t, 5, "", nil)
	for from := range 5 {
		for to := range 5 {
			f.ways.Change(from, to, func(w *model.WayTerms) {
				*w = model.WayTerms{Loss: 0.25, Jitter: 20 * time.Millisecond, Repeat: 0.1, Reorder: 0.1, Late: 50 * time.Millisecond, Spoil: 0.1}
			})
		}
	}
	time.Sleep(3 * time.Second)
	for _, m := range f.all {
		m.sees(t, "whole", 4, 0)
		m.never(t, "dead", "n0", "n1", "n2", "n3", "n4")
	}
	f.all[4].Process.Kill()
	for _, m := range f.all[:4] {
		m.sees(t, "part", 3, 1)
		_, text := atDoor(t, m.door, "GET", "/api/telemetry", "")
		for _, reason := range []string{"checksum", "repeated"} {
			if !strings.Contains(text, `app_fleet_dropped_total{reason="`+reason+`"}`) {
				t.Errorf("%s tells of nothing dropped as %s:\n%s", m.name, reason, text)
			}
		}
	}
}

// upgrade starts a newer process and waits until it is ready and the older one, which it returns, has let go of the place.
func (m *mate) upgrade(t *testing.T) (old *running) {
	t.Helper()
	old, door := m.running, m.door
	m.door = freeAddr(t)
	m.start(t)
	for began := time.Now(); time.Since(began) < patience; time.Sleep(5 * time.Millisecond) {
		if c, err := net.Dial("tcp", m.door); err == nil { // the newer process's own
			c.Close()
			if status, _ := atDoor(t, m.door, "GET", "/api/members", ""); status == 200 {
				break
			}
		}
	}
	if status, _ := atDoor(t, door, "GET", "/api/members", ""); status != 404 {
		t.Errorf("the older process still has a view: %d", status)
	}
	return old
}

// An upgrade's two processes are one member: the life goes on, nobody is suspected. Where the newer one is killed after it has
// the place, the older one speaks again under the same life.
func TestMembersUpgrade(t *testing.T) {
	f := newFleet(t, 5, "", nil)
	m := f.all[1]
	life := m.view(t).Life
	old := m.upgrade(t)
	m.sees(t, "whole", 4, 0)
	old.Process.Signal(syscall.SIGTERM)
	old.exit(t)
	door := m.door
	old = m.upgrade(t)
	m.sees(t, "whole", 4, 0)
	m.Process.Kill()
	m.running, m.door = old, door
	for began := time.Now(); time.Since(began) < patience; time.Sleep(10 * time.Millisecond) {
		if status, _ := atDoor(t, m.door, "GET", "/api/members", ""); status == 200 {
			break
		}
	}
	m.sees(t, "whole", 4, 0)
	time.Sleep(time.Second)
	for _, o := range f.all {
		o.sees(t, "whole", 4, 0)
		if _, text := atDoor(t, o.door, "GET", "/api/telemetry", ""); strings.Contains(text, `reason="repeated"`) {
			t.Errorf("%s dropped what the newer process said for a repeat", o.name)
		}
		o.never(t, "dead", "n1")
		o.never(t, "left", "n1")
		if o != m && o.of(t, "n1").Life != life {
			t.Errorf("%s holds life %s of n1, it was %s", o.name, o.of(t, "n1").Life, life)
		}
	}
}

// Two processes with one name: both doors tell, the newer one keeps the name, and no view has both.
func TestMembersOneName(t *testing.T) {
	f := newFleet(t, 5, "", nil)
	other := *f.all[4]
	other.config = maps.Clone(other.config)
	other.config["name"], other.config["listen"], other.door, other.temp = "n0", freeAddr(t), freeAddr(t), shortDir(t)
	f.all[4].Process.Signal(syscall.SIGTERM) // its ways are the other's now
	f.all[4].exit(t)
	other.more = strings.ReplaceAll(other.more, "n0 = ", "n4 = ")
	other.start(t)
	for began := time.Now(); f.all[0].view(t).Rival == "" || other.view(t).Rival == ""; time.Sleep(10 * time.Millisecond) {
		if time.Since(began) > patience {
			t.Fatalf("%+v\n%+v", f.all[0].view(t), other.view(t))
		}
	}
	if older, newer := f.all[0].view(t), other.view(t); older.Situation != "unsure" || newer.Situation == "unsure" {
		t.Errorf("older %s, newer %s", older.Situation, newer.Situation)
	}
	for _, m := range f.all[1:4] {
		for began := time.Now(); m.of(t, "n0").Life != other.view(t).Life; time.Sleep(10 * time.Millisecond) {
			if time.Since(began) > patience {
				t.Fatalf("%s holds the older one", m.name)
			}
		}
	}
	f.all[0].says(t, "name-taken")
	other.says(t, "name-shared")
}

// Without the section nothing is opened and nothing is said.
func TestNoFleet(t *testing.T) {
	h := newHost(t, "h", hit)
	d := newList(t)
	d.set("h", h.addr, "cache", "active")
	door := freeAddr(t)
	own := filepath.Join(t.TempDir(), "own.toml")
	if err := os.WriteFile(own, []byte("[connections]\nwait = 0.5\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	p := serving(t, config(d, freeAddr(t), through), "GW_ADMIN_ADDR="+door, "STREAMRAIL_FILE="+own, "TMPDIR="+shortDir(t))
	if status, text := atDoor(t, door, "GET", "/api/members", ""); status != 404 || !strings.Contains(text, "[fleet]") {
		t.Errorf("%d %s", status, text)
	}
	if _, text := atDoor(t, door, "GET", "/api/telemetry", ""); strings.Contains(text, "app_fleet") {
		t.Error(text)
	}
	udp, err := os.ReadFile("/proc/net/udp")
	if err != nil {
		t.Fatal(err)
	}
	dir := fmt.Sprintf("/proc/%d/fd", p.Process.Pid)
	fds, err := os.ReadDir(dir)
	if err != nil || len(fds) == 0 {
		t.Fatal(err)
	}
	for _, fd := range fds {
		to, _ := os.Readlink(filepath.Join(dir, fd.Name()))
		if inode, ok := strings.CutPrefix(to, "socket:["); ok && strings.Contains(string(udp), " "+strings.TrimSuffix(inode, "]")+" ") {
			t.Errorf("it holds a UDP socket: %s", to)
		}
	}
}
