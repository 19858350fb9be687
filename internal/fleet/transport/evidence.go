package transport

import (
	"github.com/fxamacker/cbor/v2"

	"streamrail/internal/fleet/evidence"
)

// TopicObservations is the topic of the messages of package evidence: the outcomes of attempts at cache hosts.
const TopicObservations = 3

// observations is the encoded form of evidence.Message.
type observations struct {
	Sequence uint64           `cbor:"1,keyasint"`
	SentAt   int64            `cbor:"2,keyasint"`
	Hosts    []observationRow `cbor:"3,keyasint,omitempty"`
}

type observationRow struct {
	_         struct{} `cbor:",toarray"`
	Host      string
	Good, Bad uint32
}

// EncodeObservations encodes a message of package evidence.
func EncodeObservations(m *evidence.Message) []byte {
	out := observations{Sequence: m.Sequence, SentAt: int64(m.SentAt)}
	for _, r := range m.Hosts {
		out.Hosts = append(out.Hosts, observationRow{Host: r.Host, Good: uint32(r.Good), Bad: uint32(r.Bad)})
	}
	data, _ := cbor.Marshal(&out) // cannot fail for numbers and strings
	return data
}

// DecodeObservations decodes a message of package evidence. It returns false where the data is not a valid one.
func DecodeObservations(data []byte) (*evidence.Message, bool) {
	var s observations
	if decodeMode.Unmarshal(data, &s) != nil {
		return nil, false
	}
	m := &evidence.Message{Sequence: s.Sequence, SentAt: evidence.Moment(s.SentAt)}
	for _, r := range s.Hosts {
		if r.Host == "" || len(r.Host) > evidence.MaxHostNameBytes || r.Good > 1<<30 || r.Bad > 1<<30 {
			return nil, false
		}
		m.Hosts = append(m.Hosts, evidence.HostOutcomes{Host: r.Host, Good: int(r.Good), Bad: int(r.Bad)})
	}
	return m, true
}
