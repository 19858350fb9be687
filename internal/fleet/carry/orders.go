package carry

import (
	"github.com/fxamacker/cbor/v2"

	"streamrail/internal/fleet/member"
	"streamrail/internal/fleet/order"
)

// TopicOrders is what operators ordered by hand.
const TopicOrders = 2

// orders is order.Message as it is sent.
type orders struct {
	Sum    uint64 `cbor:"1,keyasint"`
	Answer bool   `cbor:"2,keyasint,omitempty"`
	Orders []hand `cbor:"3,keyasint,omitempty"`
}

type hand struct {
	_     struct{} `cbor:",toarray"`
	Host  string
	Count uint64
	By    uint64
	Out   bool
	Force bool
	Door  string
	Past  []uint64 // count and life in turn
}

// EncodeOrders writes what one balancer tells another of orders by hand.
func EncodeOrders(m *order.Message) []byte {
	to := orders{Sum: m.Sum, Answer: m.Answer}
	for _, o := range m.Orders {
		h := hand{Host: o.Host, Count: o.Count, By: uint64(o.By), Out: o.Out, Force: o.Force, Door: o.Door}
		for _, p := range o.Past {
			h.Past = append(h.Past, p.Count, uint64(p.By))
		}
		to.Orders = append(to.Orders, h)
	}
	text, _ := cbor.Marshal(&to) // numbers and strings: it cannot fail
	return text
}

// DecodeOrders reads it; false where it is none.
func DecodeOrders(text []byte) (*order.Message, bool) {
	var s orders
	if decoding.Unmarshal(text, &s) != nil {
		return nil, false
	}
	m := &order.Message{Sum: s.Sum, Answer: s.Answer}
	for _, h := range s.Orders {
		o := order.Order{Host: h.Host, ID: order.ID{Count: h.Count, By: member.Life(h.By)}, Out: h.Out, Force: h.Force, Door: h.Door}
		for k := 1; k < len(h.Past); k += 2 {
			o.Past = append(o.Past, order.ID{Count: h.Past[k-1], By: member.Life(h.Past[k])})
		}
		if !o.Usable() || len(h.Past)%2 != 0 {
			return nil, false
		}
		m.Orders = append(m.Orders, o)
	}
	return m, true
}
