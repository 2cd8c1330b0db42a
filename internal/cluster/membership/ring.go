package membership

import (
	"cmp"
	"slices"
)

// ringCount is how many rings there are: so many nodes watch a node, and it watches so many.
const ringCount = 5

// ring is an order of the live nodes by hashes of their names. Each ring hashes differently.
type ring struct {
	number    byte
	positions []position
}

type position struct {
	hash uint32
	name string
}

func (p position) compare(other position) int {
	return cmp.Or(cmp.Compare(p.hash, other.hash), cmp.Compare(p.name, other.name))
}

func (r *ring) find(name string) (p position, index int, found bool) {
	p = position{hash: hashName(name, r.number), name: name}
	index, found = slices.BinarySearchFunc(r.positions, p, position.compare)
	return p, index, found
}

func (r *ring) add(name string) {
	if p, i, found := r.find(name); !found {
		r.positions = slices.Insert(r.positions, i, p)
	}
}

func (r *ring) remove(name string) {
	if _, i, found := r.find(name); found {
		r.positions = slices.Delete(r.positions, i, i+1)
	}
}

// neighbor is the node offset positions after a name, or before it for a negative offset; "" where the name
// is not on the ring or is alone.
func (r *ring) neighbor(name string, offset int) string {
	_, i, found := r.find(name)
	if !found || len(r.positions) < 2 {
		return ""
	}
	return r.positions[(i+offset+len(r.positions))%len(r.positions)].name
}

// hashName is FNV-1a, mixed further because names often differ in their last bytes only.
func hashName(name string, ring byte) uint32 {
	h := uint32(2166136261) ^ uint32(ring)*0x9E3779B9
	for i := range len(name) {
		h = (h ^ uint32(name[i])) * 16777619
	}
	h ^= h >> 16
	h *= 0x85EBCA6B
	h ^= h >> 13
	h *= 0xC2B2AE35
	return h ^ h>>16
}
