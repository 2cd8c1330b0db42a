package membership

import (
	"cmp"
	"slices"
)

// ringCount is the number of rings, and so the maximum number of watchers of a node and of nodes that it watches.
const ringCount = 5

// ring orders the live nodes by the hashes of their names. Each ring uses a different hash seed.
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

// neighbor returns the node offset positions after a name, or before it for a negative offset. It returns "" if the
// name is not on the ring or is the only one.
func (r *ring) neighbor(name string, offset int) string {
	_, i, found := r.find(name)
	if !found || len(r.positions) < 2 {
		return ""
	}
	return r.positions[(i+offset+len(r.positions))%len(r.positions)].name
}

// hashName is FNV-1a with a finalizer: node names often differ in their last bytes only, which FNV-1a alone mixes
// poorly.
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
