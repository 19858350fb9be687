package carry

import (
	"github.com/fxamacker/cbor/v2"

	"streamrail/internal/fleet/evidence"
)

// TopicEvidence is how attempts at hosts ended.
const TopicEvidence = 3

// seen is evidence.Message as it is sent.
type seen struct {
	N    uint64    `cbor:"1,keyasint"`
	At   int64     `cbor:"2,keyasint"`
	Rows []seenRow `cbor:"3,keyasint,omitempty"`
}

type seenRow struct {
	_         struct{} `cbor:",toarray"`
	Host      string
	Good, Bad uint32
}

// EncodeEvidence writes what one balancer tells another of hosts.
func EncodeEvidence(m *evidence.Message) []byte {
	to := seen{N: m.N, At: int64(m.At)}
	for _, r := range m.Rows {
		to.Rows = append(to.Rows, seenRow{Host: r.Host, Good: uint32(r.Good), Bad: uint32(r.Bad)})
	}
	text, _ := cbor.Marshal(&to) // numbers and strings: it cannot fail
	return text
}

// DecodeEvidence reads it; false where it is none.
func DecodeEvidence(text []byte) (*evidence.Message, bool) {
	var s seen
	if decoding.Unmarshal(text, &s) != nil {
		return nil, false
	}
	m := &evidence.Message{N: s.N, At: evidence.Moment(s.At)}
	for _, r := range s.Rows {
		if r.Host == "" || len(r.Host) > evidence.MostName || r.Good > 1<<30 || r.Bad > 1<<30 {
			return nil, false
		}
		m.Rows = append(m.Rows, evidence.Row{Host: r.Host, Good: int(r.Good), Bad: int(r.Bad)})
	}
	return m, true
}
