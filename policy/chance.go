package policy

import (
	"encoding/binary"
	"hash/fnv"
)

// hash is FNV-1a with a finaliser: plain FNV leaves similar short names close together on the ring.
func hash(s string, n uint64) uint64 {
	f := fnv.New64a()
	var buf [8]byte
	binary.LittleEndian.PutUint64(buf[:], n)
	f.Write([]byte(s))
	f.Write(buf[:])
	h := f.Sum64()
	h = (h ^ h>>33) * 0xff51afd7ed558ccd
	h = (h ^ h>>33) * 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

func (b *Balancer) chance() float64 {
	b.draws++
	var buf [8]byte
	binary.LittleEndian.PutUint64(buf[:], b.seed)
	return part(hash(string(buf[:]), b.draws))
}

// part maps a hash to a number from 0 to under 1.
func part(h uint64) float64 { return float64(h>>11) / (1 << 53) }
