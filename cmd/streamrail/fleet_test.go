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

// fleetMember is one balancer of a fleet under test.
type fleetMember struct {
	*balancerProcess
	name, adminAddr, fleetAddr string
	config                     map[string]any
	fleetSettings, tempDir     string // further lines of the [fleet] section; the TMPDIR of the process
}

// freeUDP returns an address with a free UDP port. Each result has its own loopback IP address.
func freeUDP(t *testing.T) string {
	n := loopbackAddrs.Add(1)
	c, err := net.ListenPacket("udp", fmt.Sprintf("127.78.%d.%d:0", n/250, n%250+1))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	return c.LocalAddr().String()
}

// testFleet is a fleet whose datagrams pass through relays, with which a test can cut or disturb the links.
type testFleet struct {
	members   []*fleetMember
	relays    *standin.Relays
	discovery *discoveryServer
}

// newFleet starts n balancers and waits until each of them sees all the others. Each one has the first three (itself excepted) as its
// peers; fleetSettings are further lines of its [fleet] section and change its changes to the deployment's settings.
func newFleet(t *testing.T, n int, fleetSettings string, change map[string]any) *testFleet {
	h := newHost(t, "h", answerHit)
	d := newDiscoveryServer(t)
	d.setHost("h", h.addr, "cache", "active")
	f := &testFleet{discovery: d}
	var fleetAddrs []netip.AddrPort
	for i := range n {
		m := &fleetMember{name: fmt.Sprintf("n%d", i), adminAddr: freeAddr(t), fleetAddr: freeUDP(t)}
		changed := map[string]any{"balancers": n, "extra": readWriteThrough["extra"]}
		maps.Copy(changed, change)
		m.config = deploymentConfig(d, freeAddr(t), changed)
		m.config["name"] = m.name
		f.members, fleetAddrs = append(f.members, m), append(fleetAddrs, netip.MustParseAddrPort(m.fleetAddr))
	}
	var err error
	if f.relays, err = standin.NewRelays(fleetAddrs, model.LinkConfig{}, rand.New(rand.NewPCG(1, 1))); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.relays.Close)
	for i, m := range f.members {
		var peers, via []string
		for k, other := range f.members {
			if k != i {
				via = append(via, fmt.Sprintf("%s = %q", other.name, f.relays.Addr(i, k)))
				if k < 3 {
					peers = append(peers, fmt.Sprintf("%q", f.relays.Addr(i, k)))
				}
			}
		}
		m.fleetSettings = fleetSettings + fmt.Sprintf("peers = [%s]\nvia = {%s}\n", strings.Join(peers, ", "), strings.Join(via, ", "))
		m.tempDir = shortDir(t)
		m.start(t)
	}
	for _, m := range f.members {
		m.waitForView(t, "whole", n-1, 0)
	}
	return f
}

// start writes the operator's file and starts the process. It returns once the process serves clients.
func (m *fleetMember) start(t *testing.T) {
	m.balancerProcess = launchServing(t, m.config, m.env(t)...)
}

// env writes the operator's file and returns the environment for the process.
func (m *fleetMember) env(t *testing.T) []string {
	path := filepath.Join(t.TempDir(), "own.toml")
	text := fmt.Sprintf("[fleet]\nname = \"test\"\naddress = %q\nperiod = \"100ms\"\nsuspect = \"400ms\"\n%s", m.fleetAddr, m.fleetSettings)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return []string{"GW_ADMIN_ADDR=" + m.adminAddr, "STREAMRAIL_FILE=" + path, "TMPDIR=" + m.tempDir}
}

// view returns the balancer's view of the fleet from its admin API.
func (m *fleetMember) view(t *testing.T) (v admin.Members) {
	t.Helper()
	status, text := callAdmin(t, m.adminAddr, "GET", "/api/members", "")
	if status != 200 {
		t.Fatalf("%d %s", status, text)
	}
	if err := json.Unmarshal([]byte(text), &v); err != nil {
		t.Fatal(err)
	}
	return v
}

// waitForView waits until the balancer's view has the given situation and numbers of alive and dead members.
func (m *fleetMember) waitForView(t *testing.T, situation string, alive, dead int) (v admin.Members) {
	t.Helper()
	for began := time.Now(); time.Since(began) < waitTimeout; time.Sleep(10 * time.Millisecond) {
		if status, _ := callAdmin(t, m.adminAddr, "GET", "/api/members", ""); status != 200 {
			continue // the older process of an upgrade still is the fleet's member
		}
		v = m.view(t)
		states := map[string]int{}
		for _, other := range v.Members {
			states[other.State]++
		}
		if v.Situation == situation && states["alive"] == alive && states["dead"] == dead {
			return v
		}
	}
	t.Fatalf("%s: the view never became %q with %d alive and %d dead: %+v", m.name, situation, alive, dead, v)
	return v
}

// memberNamed returns one member of the balancer's view.
func (m *fleetMember) memberNamed(t *testing.T, name string) admin.Member {
	t.Helper()
	v := m.view(t)
	i := slices.IndexFunc(v.Members, func(other admin.Member) bool { return other.Name == name })
	if i < 0 {
		t.Fatalf("the view of %s does not list %s", m.name, name)
	}
	return v.Members[i]
}

// TestMembers checks that a killed balancer becomes dead in every view, that one restarted under its name appears at once with a new
// process id, and that one that ends in order is shown as left and is never suspected.
func TestMembers(t *testing.T) {
	members := newFleet(t, 3, "", nil).members
	idBefore := members[0].memberNamed(t, "n2").ProcessID
	members[2].Process.Kill()
	for _, m := range members[:2] {
		m.waitForView(t, "part", 1, 1)
		if got := m.memberNamed(t, "n2").State; got != "dead" {
			t.Errorf("%s shows n2 as %s", m.name, got)
		}
	}
	members[2].start(t)
	for _, m := range members {
		m.waitForView(t, "whole", 2, 0)
	}
	if idAfter := members[0].memberNamed(t, "n2").ProcessID; idAfter <= idBefore {
		t.Errorf("process id %s after the restart, %s before", idAfter, idBefore)
	}
	members[1].Process.Signal(syscall.SIGTERM)
	members[1].waitForExit(t)
	for _, m := range []*fleetMember{members[0], members[2]} {
		for began := time.Now(); m.memberNamed(t, "n1").State != "left"; time.Sleep(10 * time.Millisecond) {
			if time.Since(began) > waitTimeout {
				t.Fatalf("%s shows n1 as %s", m.name, m.memberNamed(t, "n1").State)
			}
		}
		if strings.Contains(m.log.String(), `"member":"n1","cause":"no answer`) {
			t.Errorf("%s suspected a member that left in order", m.name)
		}
	}
}

// checkNeverLogged reports an error if the balancer's log has given one of the members the state.
func (m *fleetMember) checkNeverLogged(t *testing.T, state string, members ...string) {
	t.Helper()
	for _, line := range strings.Split(m.log.String(), "\n") {
		for _, member := range members {
			if strings.Contains(line, `"member":"`+member+`"`) && strings.Contains(line, `"state":"`+state+`"`) {
				t.Errorf("%s logged %s as %s: %s", m.name, member, state, line)
			}
		}
	}
}

// TestMembersCut checks that two cut links, one of them in one direction only, let no member become dead, because the others relay
// probes. Three partitions then go on independently and merge again when the cuts between them end one after the other.
func TestMembersCut(t *testing.T) {
	f := newFleet(t, 5, "", nil)
	f.relays.Cut(true, func(from, to int) bool { return from == 0 && to == 1 || from == 2 && to == 3 || from == 3 && to == 2 })
	time.Sleep(4 * time.Second) // ten times the suspicion timeout
	for _, m := range f.members {
		m.waitForView(t, "whole", 4, 0)
		m.checkNeverLogged(t, "dead", "n0", "n1", "n2", "n3", "n4")
	}
	side := []int{0, 0, 1, 1, 2}
	f.relays.Cut(true, func(from, to int) bool { return side[from] != side[to] })
	f.relays.Cut(false, func(from, to int) bool { return side[from] == side[to] })
	for i, m := range f.members {
		if i < 4 {
			m.waitForView(t, "minority", 1, 3)
		} else {
			m.waitForView(t, "alone", 0, 4)
		}
	}
	f.relays.Cut(false, func(from, to int) bool { return side[from]+side[to] == 3 }) // the last two partitions merge first
	for _, m := range f.members[2:] {
		m.waitForView(t, "part", 2, 2)
	}
	f.relays.Cut(false, func(int, int) bool { return true })
	digests := map[string]bool{}
	for _, m := range f.members {
		digests[m.waitForView(t, "whole", 4, 0).Digest] = true
	}
	if len(digests) != 1 {
		t.Errorf("the views differ: %v", digests)
	}
}

// TestMembersStall checks that a process that is stopped briefly does not become dead and declares no member dead when it resumes.
// One that is stopped for long becomes dead, reports its standstill when it resumes, and returns with the same process id.
func TestMembersStall(t *testing.T) {
	f := newFleet(t, 5, "", nil)
	stop := func(m *fleetMember, d time.Duration) {
		m.Process.Signal(syscall.SIGSTOP)
		time.Sleep(d)
		m.Process.Signal(syscall.SIGCONT)
	}
	stop(f.members[4], 250*time.Millisecond)
	idBefore := f.members[0].memberNamed(t, "n4").ProcessID
	time.Sleep(time.Second)
	for _, m := range f.members {
		m.waitForView(t, "whole", 4, 0)
		m.checkNeverLogged(t, "dead", "n0", "n1", "n2", "n3", "n4")
	}
	f.members[4].Process.Signal(syscall.SIGSTOP)
	for _, m := range f.members[:4] {
		m.waitForView(t, "part", 3, 1)
	}
	f.members[4].Process.Signal(syscall.SIGCONT)
	for _, m := range f.members {
		m.waitForView(t, "whole", 4, 0)
	}
	f.members[4].checkNeverLogged(t, "dead", "n0", "n1", "n2", "n3")
	f.members[4].waitForLog(t, "stood still for")
	if idAfter := f.members[0].memberNamed(t, "n4").ProcessID; idAfter != idBefore {
		t.Errorf("process id %s, %s before the stall", idAfter, idBefore)
	}
}

// TestMembersLoss checks that a fleet stays complete, and still detects a dead member, while a quarter of the datagrams is lost and
// a tenth each is repeated, delayed or corrupted.
func TestMembersLoss(t *testing.T) {
	f := newFleet(t, 5, "", nil)
	for from := range 5 {
		for to := range 5 {
			f.relays.AlterLink(from, to, func(w *model.LinkConfig) {
				*w = model.LinkConfig{LossRatio: 0.25, Jitter: 20 * time.Millisecond, DuplicateRatio: 0.1, ReorderRatio: 0.1, ReorderDelay: 50 * time.Millisecond, CorruptRatio: 0.1}
			})
		}
	}
	time.Sleep(3 * time.Second)
	for _, m := range f.members {
		m.waitForView(t, "whole", 4, 0)
		m.checkNeverLogged(t, "dead", "n0", "n1", "n2", "n3", "n4")
	}
	f.members[4].Process.Kill()
	for _, m := range f.members[:4] {
		m.waitForView(t, "part", 3, 1)
		_, text := callAdmin(t, m.adminAddr, "GET", "/api/telemetry", "")
		for _, reason := range []string{"checksum", "repeated"} {
			if !strings.Contains(text, `app_fleet_dropped_total{reason="`+reason+`"}`) {
				t.Errorf("%s has no metric for datagrams dropped as %s:\n%s", m.name, reason, text)
			}
		}
	}
}

// upgrade starts a newer process and waits until it has become the fleet's member in place of the older one, which it returns.
func (m *fleetMember) upgrade(t *testing.T) (old *balancerProcess) {
	t.Helper()
	old, olderAdminAddr := m.balancerProcess, m.adminAddr
	m.adminAddr = freeAddr(t)
	m.start(t)
	for began := time.Now(); time.Since(began) < waitTimeout; time.Sleep(5 * time.Millisecond) {
		if c, err := net.Dial("tcp", m.adminAddr); err == nil { // the address of the newer process
			c.Close()
			if status, _ := callAdmin(t, m.adminAddr, "GET", "/api/members", ""); status == 200 {
				break
			}
		}
	}
	if status, _ := callAdmin(t, olderAdminAddr, "GET", "/api/members", ""); status != 404 {
		t.Errorf("the older process still shows a view: status %d", status)
	}
	return old
}

// TestMembersUpgrade checks that the two processes of an upgrade are one member: the process id stays and no member becomes
// dead. If the newer process is killed after it has become the member, the older one takes that role again with the same process id.
func TestMembersUpgrade(t *testing.T) {
	f := newFleet(t, 5, "", nil)
	m := f.members[1]
	idBefore := m.view(t).ProcessID
	old := m.upgrade(t)
	m.waitForView(t, "whole", 4, 0)
	old.Process.Signal(syscall.SIGTERM)
	old.waitForExit(t)
	olderAdminAddr := m.adminAddr
	old = m.upgrade(t)
	m.waitForView(t, "whole", 4, 0)
	m.Process.Kill()
	m.balancerProcess, m.adminAddr = old, olderAdminAddr
	for began := time.Now(); time.Since(began) < waitTimeout; time.Sleep(10 * time.Millisecond) {
		if status, _ := callAdmin(t, m.adminAddr, "GET", "/api/members", ""); status == 200 {
			break
		}
	}
	m.waitForView(t, "whole", 4, 0)
	time.Sleep(time.Second)
	for _, member := range f.members {
		member.waitForView(t, "whole", 4, 0)
		if _, text := callAdmin(t, member.adminAddr, "GET", "/api/telemetry", ""); strings.Contains(text, `reason="repeated"`) {
			t.Errorf("%s dropped datagrams of the newer process as repeated", member.name)
		}
		member.checkNeverLogged(t, "dead", "n1")
		member.checkNeverLogged(t, "left", "n1")
		if member != m && member.memberNamed(t, "n1").ProcessID != idBefore {
			t.Errorf("%s has process id %s for n1, it was %s", member.name, member.memberNamed(t, "n1").ProcessID, idBefore)
		}
	}
}

// TestMembersOneName checks a name conflict between two processes: the admin API of both reports it, the newer one keeps the name,
// and no view lists both.
func TestMembersOneName(t *testing.T) {
	f := newFleet(t, 5, "", nil)
	other := *f.members[4]
	other.config = maps.Clone(other.config)
	other.config["name"], other.config["listen"], other.adminAddr, other.tempDir = "n0", freeAddr(t), freeAddr(t), shortDir(t)
	f.members[4].Process.Signal(syscall.SIGTERM) // the other process uses its relays from now on
	f.members[4].waitForExit(t)
	other.fleetSettings = strings.ReplaceAll(other.fleetSettings, "n0 = ", "n4 = ")
	other.start(t)
	for began := time.Now(); f.members[0].view(t).NameConflict == "" || other.view(t).NameConflict == ""; time.Sleep(10 * time.Millisecond) {
		if time.Since(began) > waitTimeout {
			t.Fatalf("%+v\n%+v", f.members[0].view(t), other.view(t))
		}
	}
	if older, newer := f.members[0].view(t), other.view(t); older.Situation != "unsure" || newer.Situation == "unsure" {
		t.Errorf("older %s, newer %s", older.Situation, newer.Situation)
	}
	for _, m := range f.members[1:4] {
		for began := time.Now(); m.memberNamed(t, "n0").ProcessID != other.view(t).ProcessID; time.Sleep(10 * time.Millisecond) {
			if time.Since(began) > waitTimeout {
				t.Fatalf("%s still lists the older process", m.name)
			}
		}
	}
	f.members[0].waitForLog(t, "name-taken")
	other.waitForLog(t, "name-shared")
}

// TestNoFleet checks that without a [fleet] section no UDP socket is opened and the admin API shows no fleet.
func TestNoFleet(t *testing.T) {
	h := newHost(t, "h", answerHit)
	d := newDiscoveryServer(t)
	d.setHost("h", h.addr, "cache", "active")
	adminAddr := freeAddr(t)
	operatorFile := filepath.Join(t.TempDir(), "own.toml")
	if err := os.WriteFile(operatorFile, []byte("[connections]\nwait = 0.5\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	p := launchServing(t, deploymentConfig(d, freeAddr(t), readWriteThrough), "GW_ADMIN_ADDR="+adminAddr, "STREAMRAIL_FILE="+operatorFile, "TMPDIR="+shortDir(t))
	if status, text := callAdmin(t, adminAddr, "GET", "/api/members", ""); status != 404 || !strings.Contains(text, "[fleet]") {
		t.Errorf("%d %s", status, text)
	}
	if _, text := callAdmin(t, adminAddr, "GET", "/api/telemetry", ""); strings.Contains(text, "app_fleet") {
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
		target, _ := os.Readlink(filepath.Join(dir, fd.Name()))
		if inode, ok := strings.CutPrefix(target, "socket:["); ok && strings.Contains(string(udp), " "+strings.TrimSuffix(inode, "]")+" ") {
			t.Errorf("the process holds a UDP socket: %s", target)
		}
	}
}
