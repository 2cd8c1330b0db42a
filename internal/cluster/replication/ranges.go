package replication

import "slices"

// Range is the half-open interval [From, To) of record numbers in a stream. Records are numbered from 1.
type Range struct {
	_ struct{} `cbor:",toarray"`

	From uint64
	To   uint64
}

// Ranges is a set of record numbers as sorted ranges that neither overlap nor touch. Methods that modify the set return
// a new one.
type Ranges []Range

// maxRanges is the maximum number of ranges of one stream that a peer may send.
const maxRanges = 1024

// With returns the union of the set and a range.
func (r Ranges) With(from, to uint64) Ranges {
	if from >= to {
		return r
	}
	first, _ := slices.BinarySearchFunc(r, from, func(x Range, from uint64) int {
		if x.To < from {
			return -1
		}
		return 1
	})
	end := first
	for end < len(r) && r[end].From <= to {
		from = min(from, r[end].From)
		to = max(to, r[end].To)
		end++
	}
	return slices.Replace(slices.Clone(r), first, end, Range{From: from, To: to})
}

// Without returns the records of the set that are not in other.
func (r Ranges) Without(other Ranges) (left Ranges) {
	for _, x := range r {
		from := x.From
		for _, o := range other {
			if o.To <= from || o.From >= x.To {
				continue
			}
			if o.From > from {
				left = append(left, Range{From: from, To: o.From})
			}
			from = max(from, o.To)
		}
		if from < x.To {
			left = append(left, Range{From: from, To: x.To})
		}
	}
	return left
}

// Contains reports whether all records of a range are in the set.
func (r Ranges) Contains(from, to uint64) bool {
	for _, x := range r {
		if x.From <= from && to <= x.To {
			return true
		}
	}
	return from >= to
}

// EndOfRange returns the end of the range that contains a record, or the record itself if no range contains it.
func (r Ranges) EndOfRange(record uint64) uint64 {
	for _, x := range r {
		if x.From <= record && record < x.To {
			return x.To
		}
	}
	return record
}

// Count returns the number of records in the set.
func (r Ranges) Count() (n uint64) {
	for _, x := range r {
		n += x.To - x.From
	}
	return n
}

// isValid reports whether ranges that a peer sent are sorted, disjoint and at most maxRanges.
func (r Ranges) isValid() bool {
	last := uint64(0)
	for _, x := range r {
		if x.From <= last || x.From >= x.To {
			return false
		}
		last = x.To
	}
	return len(r) <= maxRanges
}
