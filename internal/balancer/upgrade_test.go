package balancer

import (
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"streamrail/internal/deployment"
	"streamrail/internal/handover"
	"streamrail/internal/operator"
	"streamrail/policy"
)

// olderPeer is the test's older process of an upgrade.
type olderPeer struct {
	*testing.T
	*handover.Peer                       // to the newer process
	received       chan handover.Message // except for reports of usage
}

// newUpgradingBalancer returns a balancer that takes over from the test with the given exclusions. The test has sent the messages by
// then.
func newUpgradingBalancer(t *testing.T, excluded []string, sent ...handover.Message) (*Balancer, *handover.State, *olderPeer) {
	clients, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { clients.Close() })
	t.Setenv("TMPDIR", t.TempDir())
	newer := New(&deployment.Deployment{Name: "n", Listen: "a", Admin: "127.0.0.1:0", MaxSockets: 1024, MemoryMB: 192, Zones: map[string]policy.Zone{"here": 0},
		Kinds: map[string]policy.MachineKind{"cache": 0}, PolicyConfig: policy.Config{Balancers: 1, Products: make([]policy.ProductConfig, 1), OriginKind: -1}},
		&operator.File{}, zerolog.Nop())
	t.Cleanup(newer.cancel)
	newer.exclusions.save = func(string, any) error { return nil }
	older := &olderPeer{T: t, received: make(chan handover.Message, 100)}
	allSent := make(chan struct{})
	server, err := handover.Serve(newer.handoverPath(".sock"), clients, func(peer *handover.Peer) (handover.State, error) {
		older.Peer = peer
		go peer.Receive(func(m handover.Message) {
			if m.Kind != handover.UsageReport {
				older.received <- m
			}
		})
		go func() {
			for _, m := range sent {
				peer.Send(m)
			}
			close(allSent)
		}()
		return handover.State{Excluded: excluded, Learnt: json.RawMessage("{}")}, nil
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	lock, err := handover.LockStart(newer.handoverPath(".lock"), func() bool { return false })
	if err != nil {
		t.Fatal(err)
	}
	const wait = 100 * time.Millisecond
	began := time.Now()
	time.AfterFunc(wait, lock.Release) // another process starts at the same time
	listener, state, err := newer.takeOverListener()
	if err != nil || listener == nil {
		t.Fatal(listener, err)
	}
	if counted := newer.listeningSince.Sub(began); counted < wait/2 {
		t.Errorf("clients' connections count from %v after the start on, though it waited for %v", counted, wait)
	}
	t.Cleanup(func() {
		newer.upgrade.startLock.Release()
		listener.Close()
		older.Close()
	})
	<-allSent
	return newer, state, older
}

// expectApplied waits for the answer to an ExclusionNotice.
func (p *olderPeer) expectApplied(number uint64) {
	p.Helper()
	if m := receiveSoon(p.T, p.received, "the answer"); m.Kind != handover.ExclusionApplied || m.N != number {
		p.Fatalf("the newer process answered %+v", m)
	}
}

// Guards against an include at the older process that the newer one undoes, because it arrives while the newer one still restores the
// exclusions handed over.
func TestIncludeDuringHandover(t *testing.T) {
	var excluded []string
	for i := range maxRestoredExclusions {
		excluded = append(excluded, fmt.Sprintf("h%04d", i))
	}
	last := len(excluded) - 1
	newer, state, older := newUpgradingBalancer(t, excluded, handover.Message{Kind: handover.ExclusionNotice, N: 1, Member: excluded[last]})
	newer.restoreState(state)
	older.expectApplied(1)
	var restored []string
	newer.callPolicy(func() { restored = newer.excludedHosts() })
	if want := excluded[:last]; !slices.Equal(restored, want) {
		t.Errorf("%d hosts are excluded, want %d without %s", len(restored), len(want), excluded[last])
	}
}

// Guards against two processes of an upgrade that part because the newer one takes long to start and answers an order only then.
func TestOrdersDuringSlowStart(t *testing.T) {
	newer, state, older := newUpgradingBalancer(t, []string{"a", "b"}, handover.Message{Kind: handover.ExclusionNotice, N: 1, Member: "a"},
		handover.Message{Kind: handover.ExclusionNotice, N: 2, Member: "c", Out: true})
	older.expectApplied(1)
	older.expectApplied(2)
	older.Close()
	for ended := false; !ended; time.Sleep(time.Millisecond) {
		newer.upgrade.mu.Lock()
		ended = newer.upgrade.older == nil
		newer.upgrade.mu.Unlock()
	}
	if err := newer.setExclusion("b", false, true); err != errStarting {
		t.Errorf("include before the exclusions are restored, with the older process ended: %v", err)
	}
	newer.restoreState(state)
	if err := newer.setExclusion("d", true, true); err != nil {
		t.Errorf("exclude: %v", err)
	}
	var restored []string
	newer.callPolicy(func() { restored = newer.excludedHosts() })
	if want := []string{"b", "c", "d"}; !slices.Equal(restored, want) {
		t.Errorf("%v are excluded, want %v", restored, want)
	}
}

// maxRestoredExclusions is as many exclusions as a process may have, so that restoring them takes as long as it can.
const maxRestoredExclusions = 4096
