package policy

import (
	"encoding/binary"
	"hash/crc32"
)

// randomSource draws numbers that depend on its seed and on how many were drawn before.
type randomSource struct {
	seed  uint32
	draws uint32
}

// float draws a number in [0, 1).
func (r *randomSource) float() float64 {
	r.draws++
	return hashToUnit(r.seed, r.draws-1)
}

// chance draws a number in [0, 1).
func (p *Policy) chance() float64 { return p.random.float() }

// hashToUnit maps two numbers to one in [0, 1), the same at every node.
func hashToUnit(low, high uint32) float64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], uint64(high)<<32|uint64(low))
	return float64(crc32.ChecksumIEEE(b[:])) / (1 << 32)
}
