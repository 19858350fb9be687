package transport

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"streamrail/internal/fleet/member"
	"streamrail/internal/fleet/order"
)

var testTime = time.UnixMilli(1_800_000_000_000)

// fullMessage returns a message with every field set and with numbers of their greatest encoded size.
func fullMessage(kind member.Kind) *member.Message {
	addr := netip.MustParseAddrPort("[2001:db8:ffff:ffff:ffff:ffff:ffff:fff1]:65535")
	m := &member.Message{Kind: kind, From: math.MaxUint64 - 9, To: math.MaxUint64, Inc: member.MaxIncarnation, Seq: math.MaxUint32,
		Digest: math.MaxUint64, Target: math.MaxUint64, TargetAddr: addr, WantTable: true, WantRecords: true, WantedBuckets: math.MaxUint64}
	for i := range 9 {
		m.Updates = append(m.Updates, member.StateUpdate{Life: math.MaxUint64, Inc: member.MaxIncarnation, State: member.Queried, Suspector: member.ProcessID(i)})
		m.Records = append(m.Records, member.Record{Life: math.MaxUint64, Inc: member.MaxIncarnation, Name: fmt.Sprintf("n%40d", i), Zone: "z", Addr: addr})
		m.RecordRequests = append(m.RecordRequests, math.MaxUint64)
	}
	return m
}

// A message is decoded as it was encoded, and no datagram exceeds the size that Message.Size estimates: one that did might be too
// large to send.
func TestRoundTrip(t *testing.T) {
	for kind := member.Ping; kind <= member.BucketDigests; kind++ {
		m := fullMessage(kind)
		if kind == member.BucketDigests {
			m.Updates, m.Records, m.RecordRequests = nil, nil, nil
			for range 64 {
				m.BucketDigests = append(m.BucketDigests, math.MaxUint32)
			}
		}
		c := newCodec("f", nil)
		c.counter = math.MaxUint64 - 9
		d, err := c.encode(m, payload{}, testTime)
		if err != nil {
			t.Fatal(err)
		}
		if len(d) > m.Size() {
			t.Errorf("kind %d: %d bytes, more than the estimated %d", kind, len(d), m.Size())
		}
		got, _, err := newCodec("f", nil).decode(d, 1, testTime)
		if err != nil || !reflect.DeepEqual(got, m) {
			t.Errorf("kind %d: error %v, decoded\n%+v, expected\n%+v", kind, err, got, m)
		}
	}
}

// Each kind of invalid datagram is dropped for its own reason: otherwise a repeated datagram would be applied twice, and one of
// another fleet or from long ago would add or revive members.
func TestDropped(t *testing.T) {
	send := func(fleet, key string, at time.Time, change func(*member.Message)) []byte {
		m := fullMessage(member.Ping)
		m.Inc, m.Updates, m.Records, m.RecordRequests = 3, m.Updates[:1], m.Records[:1], m.RecordRequests[:1]
		change(m)
		d, err := newCodec(fleet, []byte(key)).encode(m, payload{}, at)
		if err != nil {
			t.Fatal(err)
		}
		return d
	}
	same := func(*member.Message) {}
	good := send("f", "", testTime, same)
	flip := func(at int) []byte {
		d := bytes.Clone(good)
		d[at] ^= 0x20
		return d
	}
	for name, row := range map[string]struct {
		d    []byte
		want error
	}{
		"cut short":               {good[:len(good)-1], errChecksum},
		"below the least size":    {good[:20], errShort},
		"empty":                   {nil, errShort},
		"too long":                {make([]byte, 1201), errLong},
		"another program":         {flip(0), errForeign},
		"a newer version":         {flip(1), errVersion},
		"another fleet":           {send("g", "", testTime, same), errFleet},
		"another key":             {send("f", "other key", testTime, same), errChecksum},
		"a changed byte":          {flip(40), errChecksum},
		"years old":               {send("f", "", testTime.AddDate(-3, 0, 0), same), errOld},
		"from the future":         {send("f", "", testTime.Add(time.Hour), same), errOld},
		"from itself":             {send("f", "", testTime, func(m *member.Message) { m.From = 1 }), errSelf},
		"from process 0":          {send("f", "", testTime, func(m *member.Message) { m.From = 0 }), errFields},
		"an unknown kind":         {send("f", "", testTime, func(m *member.Message) { m.Kind = 99 }), errFields},
		"too high an incarnation": {send("f", "", testTime, func(m *member.Message) { m.Inc = member.MaxIncarnation + 1 }), errFields},
		"on process 0":            {send("f", "", testTime, func(m *member.Message) { m.Updates[0].Life = 0 }), errFields},
		"an unknown state":        {send("f", "", testTime, func(m *member.Message) { m.Updates[0].State = 99 }), errFields},
		"no name":                 {send("f", "", testTime, func(m *member.Message) { m.Records[0].Name = "" }), errFields},
		"a payload without topic": {signedDatagram([]byte{0xa4, 1, 0x18, 32, 2, 9, 3, 1, 4, 0}), errFields},
		"a wildcard address":      {send("f", "", testTime, func(m *member.Message) { m.Records[0].Addr = netip.MustParseAddrPort("0.0.0.0:7") }), errFields},
		"not CBOR":                {signedDatagram([]byte{0xff, 0xff, 0xff}), errForm},
		"nested too deeply":       {signedDatagram(append(bytes.Repeat([]byte{0x81}, 50), 0)), errForm},
		"a key twice":             {signedDatagram([]byte{0xa2, 1, 1, 1, 1}), errForm},
		"too long a list":         {signedDatagram([]byte{0xa1, 14, 0x9a, 0xff, 0xff, 0xff, 0xff}), errForm},
		"valid":                   {good, nil},
	} {
		c := newCodec("f", nil)
		if _, _, err := c.decode(row.d, 1, testTime); !errors.Is(err, row.want) {
			t.Errorf("%s: %v, expected %v", name, err, row.want)
		}
		if _, _, err := c.decode(row.d, 1, testTime); row.want == nil && err != errRepeated {
			t.Errorf("%s, received again: %v, expected that it is dropped as repeated", name, err)
		}
	}
}

// signedDatagram makes a datagram of this fleet with the given body.
func signedDatagram(body []byte) []byte {
	c := newCodec("f", nil)
	d := append([]byte{magic, version, c.fleet[0], c.fleet[1], c.fleet[2], c.fleet[3]}, body...)
	h := c.mac()
	h.Write(d)
	return append(d, h.Sum(nil)[:tagSize]...)
}

// A newer version adds fields under new keys; this one reads the rest of the message.
func TestNewerBuild(t *testing.T) {
	body, err := cbor.Marshal(map[int]any{1: 1, 2: 77, 3: 1, 4: testTime.UnixMilli(), 7: 5, 99: "what comes later", 100: []int{1, 2}})
	if err != nil {
		t.Fatal(err)
	}
	if m, _, err := newCodec("f", nil).decode(signedDatagram(body), 1, testTime); err != nil || m.From != 77 || m.Seq != 5 {
		t.Errorf("decoded %+v, error %v", m, err)
	}
}

// Reordered datagrams are accepted once each; one that is far behind is dropped.
func TestWindow(t *testing.T) {
	c := newCodec("f", nil)
	shuffled := rand.New(rand.NewPCG(1, 1)).Perm(60)
	for _, n := range shuffled {
		if !c.isNew(9, uint64(1000+n)) {
			t.Errorf("datagram %d is dropped when first received", n)
		}
	}
	for _, n := range shuffled {
		if c.isNew(9, uint64(1000+n)) {
			t.Errorf("datagram %d is accepted twice", n)
		}
	}
	if !c.isNew(9, 5000) || c.isNew(9, 5000-64) || !c.isNew(9, 5000-63) {
		t.Error("wrong result at the end of the window")
	}
}

func FuzzDecode(f *testing.F) {
	for kind := member.Ping; kind <= member.BucketDigests; kind++ {
		if d, err := newCodec("f", nil).encode(fullMessage(kind), payload{}, testTime); err == nil {
			f.Add(d[headerSize : len(d)-tagSize])
		}
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		c := newCodec("f", nil)
		if m, _, err := c.decode(signedDatagram(body), 1, testTime); err == nil {
			if m.From == 0 || len(m.Updates)+len(m.Records)+len(m.RecordRequests)+len(m.BucketDigests) > 4*maxListEntries {
				t.Errorf("%+v", m)
			}
		}
		c.decode(body, 1, testTime)
	})
}

// An order with every field set is decoded as it was encoded, also with a list of earlier orders, the most deeply nested value of all
// messages: a decoder with too low a limit of nesting drops it.
func TestOrdersComeThrough(t *testing.T) {
	o := order.Order{Host: "h", ID: order.ID{Count: 7, By: 9}, Out: true, Force: true, Door: "n0", ListedHosts: 1 << 20, Past: []order.ID{{Count: 6, By: 1 << 60}, {Count: 5, By: 2}}}
	m := &order.Message{Digest: 1 << 63, IsReply: true, Orders: []order.Order{o, o}}
	if got, ok := DecodeOrders(EncodeOrders(m)); !ok || !reflect.DeepEqual(got, m) {
		t.Errorf("%+v %v, expected %+v", got, ok, m)
	}
	for _, bad := range []order.Order{{ID: o.ID}, {Host: "h", ID: order.ID{By: 1}}, {Host: strings.Repeat("h", 300), ID: o.ID}, {Host: "h", ID: o.ID, ListedHosts: 1<<20 + 1}} {
		if _, ok := DecodeOrders(EncodeOrders(&order.Message{Orders: []order.Order{bad}})); ok {
			t.Errorf("%+v is accepted", bad)
		}
	}
}
