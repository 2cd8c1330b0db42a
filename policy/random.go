package policy

import (
	"encoding/binary"
	"hash/crc32"
)

// randomSource generates numbers determined by its seed and the count of earlier draws.
type randomSource struct {
	seed  uint32
	draws uint32
}

// float returns the next number in [0, 1).
func (r *randomSource) float() float64 {
	r.draws++
	return hashToUnit(r.seed, r.draws-1)
}

// randomFloat returns the next random number in [0, 1).
func (p *Policy) randomFloat() float64 { return p.random.float() }

// hashToUnit maps two numbers to one in [0, 1). The result is identical at every node.
func hashToUnit(low, high uint32) float64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], uint64(high)<<32|uint64(low))
	return float64(crc32.ChecksumIEEE(b[:])) / (1 << 32)
}
