package carry

import (
	"github.com/fxamacker/cbor/v2"

	"streamrail/internal/fleet/share"
)

// TopicShares is carried over datagrams for package share.
const TopicShares = 1

// shares is share.Message as it is sent.
type shares struct {
	Kind  uint8   `cbor:"1,keyasint"`
	N     uint64  `cbor:"2,keyasint"`
	Among int     `cbor:"3,keyasint"`
	Sum   uint64  `cbor:"4,keyasint"`
	Wants []wants `cbor:"5,keyasint,omitempty"`
}

type wants struct {
	_     struct{} `cbor:",toarray"`
	Name  uint16
	Part  int64
	Bound float64
}

// EncodeShares writes what one balancer's parts say to another's.
func EncodeShares(m *share.Message) []byte {
	to := shares{Kind: uint8(m.Kind), N: m.N, Among: m.Among, Sum: m.Sum}
	for _, w := range m.Wants {
		to.Wants = append(to.Wants, wants{Name: w.Name, Part: int64(w.Part), Bound: w.Bound})
	}
	text, _ := cbor.Marshal(&to) // numbers only: it cannot fail
	return text
}

// DecodeShares reads it; false where it is none.
func DecodeShares(text []byte) (*share.Message, bool) {
	var s shares
	if decoding.Unmarshal(text, &s) != nil || s.Kind < uint8(share.Ask) || s.Kind > uint8(share.Back) {
		return nil, false
	}
	m := &share.Message{Kind: share.Kind(s.Kind), N: s.N, Among: s.Among, Sum: s.Sum}
	for _, w := range s.Wants {
		if w.Part < 0 || w.Part > int64(share.All) || !(w.Bound >= 0) {
			return nil, false
		}
		m.Wants = append(m.Wants, share.Want{Name: w.Name, Part: share.Part(w.Part), Bound: w.Bound})
	}
	return m, true
}
