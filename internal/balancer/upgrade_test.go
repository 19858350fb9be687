package balancer

import (
	"encoding/json"
	"fmt"
	"net"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"streamrail/internal/deployment"
	"streamrail/internal/handover"
	"streamrail/internal/operator"
	"streamrail/policy"
)

// Guards against an include at the older process that the newer one undoes, because it arrives while the newer one still restores the
// exclusions handed over.
func TestIncludeDuringHandover(t *testing.T) {
	clients, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer clients.Close()
	var excluded []string
	for i := range maxRestoredExclusions {
		excluded = append(excluded, fmt.Sprintf("h%04d", i))
	}
	included := excluded[len(excluded)-1]
	applied := make(chan struct{})
	path := filepath.Join(t.TempDir(), "s")
	older, err := handover.Serve(path, clients, func(peer *handover.Peer) (handover.State, error) {
		go peer.Receive(func(m handover.Message) {
			if m.Kind == handover.ExclusionApplied {
				close(applied)
			}
		})
		go peer.Send(handover.Message{Kind: handover.ExclusionNotice, N: 1, Member: included})
		return handover.State{Excluded: excluded, Learnt: json.RawMessage("{}")}, nil
	})
	if err != nil {
		t.Fatal(err)
	}
	defer older.Close()
	listener, state, peer, err := handover.TakeOver(path, func() bool { return false })
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	defer peer.Close()
	time.Sleep(50 * time.Millisecond) // the notice has arrived before the newer process restores anything
	newer := New(&deployment.Deployment{Name: "n", Admin: "127.0.0.1:0", MaxSockets: 1024, MemoryMB: 192, Zones: map[string]policy.Zone{"here": 0},
		Kinds: map[string]policy.MachineKind{"cache": 0}, PolicyConfig: policy.Config{Balancers: 1, Products: make([]policy.ProductConfig, 1), OriginKind: -1}},
		&operator.File{}, zerolog.Nop())
	defer newer.cancel()
	newer.exclusions.save = func(string, any) error { return nil }
	newer.upgrade.older = peer
	newer.restoreState(&state)
	select {
	case <-applied:
	case <-time.After(testTimeout):
		t.Fatal("the include is never applied")
	}
	var restored []string
	newer.callPolicy(func() { restored = newer.excludedHosts() })
	if want := excluded[:len(excluded)-1]; !slices.Equal(restored, want) {
		t.Errorf("%d hosts are excluded, want %d without %s", len(restored), len(want), included)
	}
}

// maxRestoredExclusions is as many exclusions as a process may have, so that restoring them takes as long as it can.
const maxRestoredExclusions = 4096
