package transport

import (
	"github.com/fxamacker/cbor/v2"

	"streamrail/internal/fleet/share"
)

// TopicShares is the topic of the messages of package share: quota shares and leases.
const TopicShares = 1

// shareMessage is the encoded form of share.Message.
type shareMessage struct {
	Kind      uint8         `cbor:"1,keyasint"`
	AskNumber uint64        `cbor:"2,keyasint"`
	Balancers int           `cbor:"3,keyasint"`
	NamesHash uint64        `cbor:"4,keyasint"`
	Entries   []shareDemand `cbor:"5,keyasint,omitempty"`
}

type shareDemand struct {
	_     struct{} `cbor:",toarray"`
	Index uint16
	Part  int64
	Limit float64
}

// EncodeShares encodes a message of package share.
func EncodeShares(m *share.Message) []byte {
	out := shareMessage{Kind: uint8(m.Kind), AskNumber: m.AskNumber, Balancers: m.Balancers, NamesHash: m.NamesHash}
	for _, entry := range m.Entries {
		out.Entries = append(out.Entries, shareDemand{Index: entry.Index, Part: int64(entry.Part), Limit: entry.Limit})
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
	m := &share.Message{Kind: share.Kind(s.Kind), AskNumber: s.AskNumber, Balancers: s.Balancers, NamesHash: s.NamesHash}
	for _, entry := range s.Entries {
		if entry.Part < 0 || entry.Part > int64(share.WholeLimit) || !(entry.Limit >= 0) {
			return nil, false
		}
		m.Entries = append(m.Entries, share.LimitEntry{Index: entry.Index, Part: share.Part(entry.Part), Limit: entry.Limit})
	}
	return m, true
}
