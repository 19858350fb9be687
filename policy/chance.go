package policy

import "encoding/binary"

// The parameters of 64-bit FNV-1a.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// prefixHash is the hash of a text that a number follows.
type prefixHash uint64

// hashPrefix begins a hash by a text, for several numbers behind it.
func hashPrefix(s string) prefixHash {
	h := uint64(fnvOffset)
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * fnvPrime
	}
	return prefixHash(h)
}

// with is the hash of the text and a number, FNV-1a with a finaliser: plain FNV leaves similar short names close together on
// the ring.
func (p prefixHash) with(n uint64) uint64 {
	h := uint64(p)
	for range 8 {
		h = (h ^ n&0xff) * fnvPrime
		n >>= 8
	}
	h = (h ^ h>>33) * 0xff51afd7ed558ccd
	h = (h ^ h>>33) * 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// hash is that of a text and one number.
func hash(s string, n uint64) uint64 { return hashPrefix(s).with(n) }

// seedHash begins the hashes that chance draws.
func seedHash(seed uint64) prefixHash {
	var buf [8]byte
	binary.LittleEndian.PutUint64(buf[:], seed)
	return hashPrefix(string(buf[:]))
}

func (b *Balancer) randomFloat() float64 {
	b.drawCount++
	return hashFraction(b.seed.with(b.drawCount))
}

// hashFraction maps a hash to a number from 0 to under 1.
func hashFraction(h uint64) float64 { return float64(h>>11) / (1 << 53) }
