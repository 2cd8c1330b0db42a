package distribution

import "maps"

// Vector is a version vector: it maps each origin to the sequence up to which a store covers all writes to its services. For
// each covered write the store has that version of the key or a greater one, or has applied a deletion of the key.
type Vector map[Origin]uint64

// Covers reports whether the vector includes the entry's write.
func (v Vector) Covers(e Entry) bool { return e.Sequence <= v[e.Origin] }

// CoversAll reports whether the vector covers every write that other covers.
func (v Vector) CoversAll(other Vector) bool {
	for origin, sequence := range other {
		if v[origin] < sequence {
			return false
		}
	}
	return true
}

// Join raises the vector to the element-wise maximum of both, and reports whether it has advanced.
func (v Vector) Join(other Vector) (hasAdvanced bool) {
	for origin, sequence := range other {
		if sequence > v[origin] {
			v[origin] = sequence
			hasAdvanced = true
		}
	}
	return hasAdvanced
}

// AheadOf returns the elements of the vector that other does not cover.
func (v Vector) AheadOf(other Vector) Vector {
	ahead := Vector{}
	for origin, sequence := range v {
		if sequence > other[origin] {
			ahead[origin] = sequence
		}
	}
	return ahead
}

// isCoveredBy reports whether each element of the vector is covered by at least one of the others.
func (v Vector) isCoveredBy(others ...Vector) bool {
	for origin, sequence := range v {
		isCovered := false
		for _, other := range others {
			isCovered = isCovered || other[origin] >= sequence
		}
		if !isCovered {
			return false
		}
	}
	return true
}

// Clone returns a copy, which is never nil.
func (v Vector) Clone() Vector {
	if v == nil {
		return Vector{}
	}
	return maps.Clone(v)
}

// Total returns the number of changes that the vector covers, which commands print as the revision. RenewOrigin may lower it.
func (v Vector) Total() (total uint64) {
	for _, sequence := range v {
		total += sequence
	}
	return total
}
