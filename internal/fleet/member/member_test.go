package member

import (
	"encoding/binary"
	"fmt"
	"testing"
	"time"
)

// A member that reports a million invented names does not exceed the bounds of the view or evict members that are present.
func TestMadeUpNames(t *testing.T) {
	m := New(testConfig(0, 3, 1), 0, nil)
	real := testConfig(1, 3, 1).Self
	m.Receive(time.Millisecond, real.Addr, &Message{Kind: Ping, From: real.Life, Seq: 1, Records: []Record{real}})
	for i := range 1_000_000 {
		r := Record{Life: ProcessID(1<<40 + i), Name: fmt.Sprint("made-up-", i), Addr: testAddr(9)}
		at := time.Duration(i) * time.Microsecond
		m.Receive(at, r.Addr, &Message{Kind: Gossip, From: real.Life, Records: []Record{r}, Updates: []StateUpdate{{Life: r.Life + 1<<50, State: Suspected}}})
		if i%1000 == 0 {
			m.Tick(at)
		}
		m.TakeOutput()
	}
	if len(m.peers) > m.config.MaxMembers || len(m.gossipQueue) > m.config.MaxMembers+1 || len(m.recordRequestedAt) > maxRecordRequests || len(m.byName) > m.config.MaxMembers {
		t.Errorf("%d peers, %d queued updates, %d requested records, %d names", len(m.peers), len(m.gossipQueue), len(m.recordRequestedAt), len(m.byName))
	}
	if !m.IsPresent(real.Life) {
		t.Error("a member that was present is no longer in the view")
	}
}

// Whatever messages arrive in whatever order, the lists stay within their bounds and the digest matches the view.
func FuzzReceive(f *testing.F) {
	f.Add([]byte("\x01\x02\x03\x04\x05\x06\x07\x08\x09abcdefghijklmnopqrstuvwxyz0123456789"))
	f.Add(make([]byte, 400))
	f.Fuzz(func(t *testing.T, input []byte) {
		m := New(testConfig(0, 3, 1), 0, nil)
		at := Moment(0)
		next := func() (b byte) {
			if len(input) > 0 {
				b, input = input[0], input[1:]
			}
			return b
		}
		nextID := func() ProcessID {
			if b := next(); b < 4 {
				return testConfig(int(b), 3, 1).Self.Life
			} else if b < 200 {
				return ProcessID(b)
			}
			var raw [8]byte
			for i := range raw {
				raw[i] = next()
			}
			return ProcessID(binary.BigEndian.Uint64(raw[:]))
		}
		for len(input) > 0 {
			at += time.Duration(next()) * 3 * time.Millisecond
			msg := &Message{Kind: Kind(next() % 12), From: nextID(), To: nextID(), Inc: Incarnation(next()), Seq: uint32(next()), Target: nextID(), Digest: uint64(next()),
				WantTable: next()&1 == 1, WantRecords: next()&1 == 1, WantedBuckets: uint64(nextID())}
			for range next() % 4 {
				msg.Updates = append(msg.Updates, StateUpdate{nextID(), Incarnation(next()) << (next() % 32), State(next() % 7), nextID()})
			}
			for range next() % 3 {
				msg.Records = append(msg.Records, Record{nextID(), Incarnation(next()), fmt.Sprint("n", next()%8), "", testAddr(int(next() % 8))})
			}
			for range next() % 3 {
				msg.RecordRequests, msg.BucketDigests = append(msg.RecordRequests, nextID()), append(msg.BucketDigests, uint32(next()))
			}
			m.Receive(at, testAddr(int(next()%8)), msg)
			if next()%4 == 0 {
				at = max(at, m.Due())
				m.Tick(at)
			}
			sends, _ := m.TakeOutput()
			for _, s := range sends {
				if s.Msg.Size() > MaxDatagramBytes {
					t.Fatalf("a datagram of %d bytes", s.Msg.Size())
				}
			}
			digest := m.self.Life.hash()
			for _, p := range m.present {
				digest ^= p.Life.hash()
			}
			if digest != m.digest || m.peers[m.self.Life] != nil || len(m.peers) > m.config.MaxMembers || len(m.probes) > maxPendingProbes ||
				len(m.relayedProbes) > maxPendingProbes || len(m.urgentProbes) > maxPendingProbes || len(m.peers) != len(m.present)+len(m.absent) {
				t.Fatalf("a list exceeds its bound or the digest does not match the view: %+v", m.View())
			}
		}
	})
}
