package distribution

import "maps"

// Vector is a version vector: by origin, up to which sequence a holder has everything of its services. Of each write up to
// there it holds that version of the key or a greater one, or knows that the key was deleted.
type Vector map[Origin]uint64

// Covers reports whether an entry is within the vector.
func (v Vector) Covers(e Entry) bool { return e.Sequence <= v[e.Origin] }

// CoversAll reports whether the vector covers all that another covers.
func (v Vector) CoversAll(other Vector) bool {
	for origin, sequence := range other {
		if v[origin] < sequence {
			return false
		}
	}
	return true
}

// Join raises the vector to the greater of both, and reports whether it has grown.
func (v Vector) Join(other Vector) (hasGrown bool) {
	for origin, sequence := range other {
		if sequence > v[origin] {
			v[origin] = sequence
			hasGrown = true
		}
	}
	return hasGrown
}

// AheadOf returns the part of the vector that another does not cover.
func (v Vector) AheadOf(other Vector) Vector {
	ahead := Vector{}
	for origin, sequence := range v {
		if sequence > other[origin] {
			ahead[origin] = sequence
		}
	}
	return ahead
}

// isCoveredBy reports whether the others together cover all of the vector.
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

// Clone returns a copy, which is not nil.
func (v Vector) Clone() Vector {
	if v == nil {
		return Vector{}
	}
	return maps.Clone(v)
}

// Total returns the number of changes that the vector covers, which commands show as the revision. RenewOrigin may lower it.
func (v Vector) Total() (total uint64) {
	for _, sequence := range v {
		total += sequence
	}
	return total
}
