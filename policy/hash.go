package policy

import "encoding/binary"

// The parameters of 64-bit FNV-1a.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// prefixHash is an FNV-1a hash of a text, to be continued with a number.
type prefixHash uint64

// hashPrefix hashes a text, so that several numbers can be appended to it without hashing it again.
func hashPrefix(s string) prefixHash {
	h := uint64(fnvOffset)
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * fnvPrime
	}
	return prefixHash(h)
}

// with returns the hash of the text followed by a number. A finaliser follows FNV-1a, as plain FNV-1a places
// similar short names close together on the ring.
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

// hash returns the hash of a text and one number.
func hash(s string, n uint64) uint64 { return hashPrefix(s).with(n) }

// seedHash returns the prefix of the hashes that serve as random draws.
func seedHash(seed uint64) prefixHash {
	var buf [8]byte
	binary.LittleEndian.PutUint64(buf[:], seed)
	return hashPrefix(string(buf[:]))
}

// randomFloat returns the next pseudo-random number in [0, 1). The same seed yields the same sequence.
func (b *Balancer) randomFloat() float64 {
	b.drawCount++
	return hashFraction(b.seed.with(b.drawCount))
}

// hashFraction maps a hash to a number in [0, 1).
func hashFraction(h uint64) float64 { return float64(h>>11) / (1 << 53) }
