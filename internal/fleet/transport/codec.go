// Package transport carries messages between balancers: one UDP socket, one message in each datagram, strict
// decoding. It makes no membership decisions; invalid datagrams are counted and dropped.
package transport

import (
	"crypto/hmac"
	"crypto/sha256"
	"errors"
	"hash"
	"hash/fnv"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
	lru "github.com/hashicorp/golang-lru/v2"

	"streamrail/internal/fleet/member"
)

// A datagram consists of a magic byte, a version byte, four bytes of a hash of the fleet's name, a CBOR map with integer keys,
// and a truncated HMAC of all that, keyed by the fleet's key or, where it has none, by its name.
//
// Compatibility of two versions in one fleet: fields are only ever added, under new keys, and a reader ignores keys that it does
// not know. A change that an older reader must not ignore raises the version byte; a reader drops versions above its own.
const (
	magic      = 0xd9
	version    = 1
	headerSize = 2 + 4
	tagSize    = 16
)

// Reasons for dropping datagrams. Their texts are also the labels under which dropped datagrams are counted.
var (
	errShort    = errors.New("short")
	errLong     = errors.New("long")
	errForeign  = errors.New("foreign")
	errVersion  = errors.New("version")
	errFleet    = errors.New("fleet")
	errChecksum = errors.New("checksum")
	errForm     = errors.New("form")
	errFields   = errors.New("fields")
	errSelf     = errors.New("self")
	errOld      = errors.New("old")
	errRepeated = errors.New("repeated")
)

// packet is a message with the fields that the transport adds.
type packet struct {
	Kind           uint8    `cbor:"1,keyasint"`
	From           uint64   `cbor:"2,keyasint"`
	Counter        uint64   `cbor:"3,keyasint"` // numbers the sender's datagrams, so that a repeated one is detected
	SentAtMs       int64    `cbor:"4,keyasint"` // when it was sent, in Unix milliseconds
	To             uint64   `cbor:"5,keyasint,omitempty"`
	Inc            uint32   `cbor:"6,keyasint,omitempty"`
	Seq            uint32   `cbor:"7,keyasint,omitempty"`
	Digest         uint64   `cbor:"8,keyasint,omitempty"`
	Target         uint64   `cbor:"9,keyasint,omitempty"`
	TargetAddr     []byte   `cbor:"10,keyasint,omitempty"`
	Flags          uint8    `cbor:"11,keyasint,omitempty"`
	Updates        []update `cbor:"12,keyasint,omitempty"`
	Records        []record `cbor:"13,keyasint,omitempty"`
	RecordRequests []uint64 `cbor:"14,keyasint,omitempty"`
	BucketDigests  []uint32 `cbor:"15,keyasint,omitempty"`
	WantedBuckets  uint64   `cbor:"16,keyasint,omitempty"`
	Topic          uint8    `cbor:"17,keyasint,omitempty"` // of a payload: the package that it is for
	Body           []byte   `cbor:"18,keyasint,omitempty"`
}

type update struct {
	_     struct{} `cbor:",toarray"`
	Life  uint64
	Inc   uint32
	State uint8
	By    uint64
}

type record struct {
	_          struct{} `cbor:",toarray"`
	Life       uint64
	Inc        uint32
	Name, Zone string
	Addr       []byte
}

const flagWantTable, flagWantRecords = 1, 2

// maxListEntries bounds the lists of one datagram: more of even the smallest entries do not fit.
const maxListEntries = 160

var decodeMode = func() cbor.DecMode {
	m, err := cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
		MaxNestedLevels: 4, MaxArrayElements: maxListEntries, MaxMapPairs: 32}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}()

// codec encodes and decodes the datagrams of one process.
type codec struct {
	key     []byte
	fleet   [4]byte
	counter uint64
	windows *lru.Cache[member.ProcessID, *window]
}

// window records which of the last 64 datagrams of a process have been received.
type window struct{ last, bits uint64 }

// maxTrackedSenders bounds the senders whose repeated datagrams are detected; it exceeds the size of a fleet.
const maxTrackedSenders = 4096

func newCodec(fleet string, key []byte) *codec {
	// The counter starts from the time: the newer process of an upgrade keeps the process identifier, and its datagrams
	// would be dropped as repeated if it used the older process's numbers again.
	c := &codec{key: key, counter: uint64(time.Now().UnixMicro())}
	if len(key) == 0 {
		c.key = []byte("streamrail fleet " + fleet)
	}
	h := fnv.New32a()
	h.Write([]byte(fleet))
	copy(c.fleet[:], h.Sum(nil))
	c.windows, _ = lru.New[member.ProcessID, *window](maxTrackedSenders) // it fails only for sizes below one
	return c
}

func (c *codec) mac() hash.Hash { return hmac.New(sha256.New, c.key) }

// kindPayload is the kind of datagrams with messages of other packages. To the membership protocol they only show that the sender
// is alive.
const kindPayload = 32

// payload is another package's message to the same package at a member.
type payload struct {
	topic uint8
	body  []byte
}

// encode makes a datagram of a message, or of a payload with the message as its header.
func (c *codec) encode(m *member.Message, content payload, at time.Time) ([]byte, error) {
	c.counter++
	p := packet{Kind: uint8(m.Kind), From: uint64(m.From), Counter: c.counter, SentAtMs: at.UnixMilli(), To: uint64(m.To), Inc: uint32(m.Inc), Seq: m.Seq,
		Digest: m.Digest, Target: uint64(m.Target), BucketDigests: m.BucketDigests, WantedBuckets: m.WantedBuckets}
	if content.topic != 0 {
		p.Kind, p.Topic, p.Body = kindPayload, content.topic, content.body
	}
	if m.TargetAddr.IsValid() {
		p.TargetAddr, _ = m.TargetAddr.MarshalBinary()
	}
	if m.WantTable {
		p.Flags |= flagWantTable
	}
	if m.WantRecords {
		p.Flags |= flagWantRecords
	}
	for _, r := range m.Updates {
		p.Updates = append(p.Updates, update{Life: uint64(r.Life), Inc: uint32(r.Inc), State: uint8(r.State), By: uint64(r.Suspector)})
	}
	for _, r := range m.Records {
		addr, _ := r.Addr.MarshalBinary()
		p.Records = append(p.Records, record{Life: uint64(r.Life), Inc: uint32(r.Inc), Name: r.Name, Zone: r.Zone, Addr: addr})
	}
	for _, id := range m.RecordRequests {
		p.RecordRequests = append(p.RecordRequests, uint64(id))
	}
	body, err := cbor.Marshal(&p)
	if err != nil {
		return nil, err
	}
	d := append([]byte{magic, version, c.fleet[0], c.fleet[1], c.fleet[2], c.fleet[3]}, body...)
	if len(d)+tagSize > member.MaxDatagramBytes {
		return nil, errLong
	}
	h := c.mac()
	h.Write(d)
	return append(d, h.Sum(nil)[:tagSize]...), nil
}

// maxDatagramAge bounds the difference between a datagram's time of sending and the receiver's clock, in either direction:
// unsynchronised clocks drift apart that far in some weeks.
const maxDatagramAge = 5 * time.Minute

// decode decodes a datagram. The error is one of the reasons for dropping datagrams, such as errShort.
func (c *codec) decode(d []byte, self member.ProcessID, at time.Time) (*member.Message, payload, error) {
	switch {
	case len(d) < headerSize+tagSize+1:
		return nil, payload{}, errShort
	case len(d) > member.MaxDatagramBytes:
		return nil, payload{}, errLong
	case d[0] != magic:
		return nil, payload{}, errForeign
	case d[1] == 0 || d[1] > version:
		return nil, payload{}, errVersion
	case [4]byte(d[2:6]) != c.fleet:
		return nil, payload{}, errFleet
	}
	h := c.mac()
	h.Write(d[:len(d)-tagSize])
	if !hmac.Equal(h.Sum(nil)[:tagSize], d[len(d)-tagSize:]) {
		return nil, payload{}, errChecksum
	}
	var p packet
	if decodeMode.Unmarshal(d[headerSize:len(d)-tagSize], &p) != nil {
		return nil, payload{}, errForm
	}
	m, ok := p.message()
	if !ok {
		return nil, payload{}, errFields
	}
	if m.From == self {
		return nil, payload{}, errSelf
	}
	if age := at.UnixMilli() - p.SentAtMs; age > maxDatagramAge.Milliseconds() || age < -maxDatagramAge.Milliseconds() {
		return nil, payload{}, errOld
	}
	if !c.isNew(m.From, p.Counter) {
		return nil, payload{}, errRepeated
	}
	return m, payload{p.Topic, p.Body}, nil
}

// isNew reports whether a datagram was not received before. One that is 64 or more behind its sender's newest counts as received,
// because the window no longer records it.
func (c *codec) isNew(from member.ProcessID, n uint64) bool {
	w, ok := c.windows.Get(from)
	if !ok {
		c.windows.Add(from, &window{last: n, bits: 1})
		return true
	}
	switch {
	case n > w.last:
		w.bits = w.bits<<min(n-w.last, 64) | 1 // a shift by 64 clears all bits
		w.last = n
	case w.last-n >= 64 || w.bits>>(w.last-n)&1 == 1:
		return false
	default:
		w.bits |= 1 << (w.last - n)
	}
	return true
}

// message converts the packet to a message and reports whether its fields are valid.
func (p *packet) message() (*member.Message, bool) {
	if p.Kind == kindPayload {
		if p.Topic == 0 {
			return nil, false
		}
		p.Kind = uint8(member.Gossip)
	} else if p.Topic != 0 || len(p.Body) > 0 {
		return nil, false
	}
	if p.Kind < uint8(member.Ping) || p.Kind > uint8(member.BucketDigests) || p.From == 0 || member.Incarnation(p.Inc) > member.MaxIncarnation || p.Counter == 0 {
		return nil, false
	}
	m := &member.Message{Kind: member.Kind(p.Kind), From: member.ProcessID(p.From), To: member.ProcessID(p.To), Inc: member.Incarnation(p.Inc), Seq: p.Seq,
		Digest: p.Digest, Target: member.ProcessID(p.Target), WantTable: p.Flags&flagWantTable != 0, WantRecords: p.Flags&flagWantRecords != 0, BucketDigests: p.BucketDigests, WantedBuckets: p.WantedBuckets}
	if len(p.TargetAddr) > 0 && m.TargetAddr.UnmarshalBinary(p.TargetAddr) != nil {
		return nil, false
	}
	for _, r := range p.Updates {
		if r.Life == 0 || member.Incarnation(r.Inc) > member.MaxIncarnation || r.State > uint8(member.Queried) {
			return nil, false
		}
		m.Updates = append(m.Updates, member.StateUpdate{Life: member.ProcessID(r.Life), Inc: member.Incarnation(r.Inc), State: member.State(r.State), Suspector: member.ProcessID(r.By)})
	}
	for _, r := range p.Records {
		var addr netip.AddrPort
		if r.Life == 0 || member.Incarnation(r.Inc) > member.MaxIncarnation || r.Name == "" || len(r.Name) > member.MaxNameBytes || len(r.Zone) > member.MaxNameBytes ||
			addr.UnmarshalBinary(r.Addr) != nil || !member.IsUsableAddr(addr) {
			return nil, false
		}
		m.Records = append(m.Records, member.Record{Life: member.ProcessID(r.Life), Inc: member.Incarnation(r.Inc), Name: r.Name, Zone: r.Zone, Addr: addr})
	}
	for _, id := range p.RecordRequests {
		m.RecordRequests = append(m.RecordRequests, member.ProcessID(id))
	}
	return m, true
}
