package transport

import (
	"github.com/fxamacker/cbor/v2"

	"streamrail/internal/fleet/share"
)

// TopicShares is the topic of the messages of package share: quota shares and leases.
const TopicShares = 1

// shareMessage is the encoded form of share.Message.
type shareMessage struct {
	Kind  uint8         `cbor:"1,keyasint"`
	N     uint64        `cbor:"2,keyasint"`
	Among int           `cbor:"3,keyasint"`
	Sum   uint64        `cbor:"4,keyasint"`
	Wants []shareDemand `cbor:"5,keyasint,omitempty"`
}

type shareDemand struct {
	_     struct{} `cbor:",toarray"`
	Name  uint16
	Part  int64
	Bound float64
}

// EncodeShares encodes a message of package share.
func EncodeShares(m *share.Message) []byte {
	out := shareMessage{Kind: uint8(m.Kind), N: m.AskNumber, Among: m.Balancers, Sum: m.NamesHash}
	for _, entry := range m.Entries {
		out.Wants = append(out.Wants, shareDemand{Name: entry.Index, Part: int64(entry.Part), Bound: entry.Limit})
	}
	data, _ := cbor.Marshal(&out) // cannot fail for numbers
	return data
}

// DecodeShares decodes a message of package share. It returns false where the data is not a valid one.
func DecodeShares(data []byte) (*share.Message, bool) {
	var s shareMessage
	if decodeMode.Unmarshal(data, &s) != nil || s.Kind < uint8(share.Ask) || s.Kind > uint8(share.Return) {
		return nil, false
	}
	m := &share.Message{Kind: share.Kind(s.Kind), AskNumber: s.N, Balancers: s.Among, NamesHash: s.Sum}
	for _, entry := range s.Wants {
		if entry.Part < 0 || entry.Part > int64(share.WholeLimit) || !(entry.Bound >= 0) {
			return nil, false
		}
		m.Entries = append(m.Entries, share.LimitEntry{Index: entry.Name, Part: share.Part(entry.Part), Limit: entry.Bound})
	}
	return m, true
}
