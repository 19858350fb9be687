package transport

import (
	"github.com/fxamacker/cbor/v2"

	"streamrail/internal/fleet/member"
	"streamrail/internal/fleet/order"
)

// TopicOrders is the topic of the messages of package order: operators' fleet-wide exclusion orders.
const TopicOrders = 2

// orderMessage is the encoded form of order.Message.
type orderMessage struct {
	Digest  uint64           `cbor:"1,keyasint"`
	IsReply bool             `cbor:"2,keyasint,omitempty"`
	Orders  []exclusionOrder `cbor:"3,keyasint,omitempty"`
	// ListedHosts is Order.ListedHosts of each order. It is not part of exclusionOrder, whose number of elements earlier versions check.
	ListedHosts []uint32 `cbor:"4,keyasint,omitempty"`
}

type exclusionOrder struct {
	_     struct{} `cbor:",toarray"`
	Host  string
	Count uint64
	By    uint64
	Out   bool
	Force bool
	Door  string
	Past  []uint64 // count and process identifier alternately
}

// EncodeOrders encodes a message of package order.
func EncodeOrders(m *order.Message) []byte {
	out := orderMessage{Digest: m.Digest, IsReply: m.IsReply}
	for _, o := range m.Orders {
		row := exclusionOrder{Host: o.Host, Count: o.Count, By: uint64(o.By), Out: o.Out, Force: o.Force, Door: o.Door}
		for _, p := range o.Past {
			row.Past = append(row.Past, p.Count, uint64(p.By))
		}
		out.Orders = append(out.Orders, row)
		out.ListedHosts = append(out.ListedHosts, uint32(o.ListedHosts))
	}
	data, _ := cbor.Marshal(&out) // cannot fail for numbers and strings
	return data
}

// DecodeOrders decodes a message of package order. It returns false where the data is not a valid one.
func DecodeOrders(data []byte) (*order.Message, bool) {
	var s orderMessage
	if decodeMode.Unmarshal(data, &s) != nil {
		return nil, false
	}
	m := &order.Message{Digest: s.Digest, IsReply: s.IsReply}
	if len(s.ListedHosts) > 0 && len(s.ListedHosts) != len(s.Orders) {
		return nil, false
	}
	for i, row := range s.Orders {
		o := order.Order{Host: row.Host, ID: order.ID{Count: row.Count, By: member.ProcessID(row.By)}, Out: row.Out, Force: row.Force, Door: row.Door}
		for k := 1; k < len(row.Past); k += 2 {
			o.Past = append(o.Past, order.ID{Count: row.Past[k-1], By: member.ProcessID(row.Past[k])})
		}
		if len(s.ListedHosts) > 0 {
			o.ListedHosts = int(s.ListedHosts[i])
		}
		if !o.IsValid() || len(row.Past)%2 != 0 {
			return nil, false
		}
		m.Orders = append(m.Orders, o)
	}
	return m, true
}
