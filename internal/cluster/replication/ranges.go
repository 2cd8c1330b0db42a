package replication

import "slices"

// Range is a run of records of a stream, from From up to but without To. Records count from 1.
type Range struct {
	_ struct{} `cbor:",toarray"`

	From uint64
	To   uint64
}

// Ranges are apart and in order.
type Ranges []Range

const rangesMost = 1024 // of one stream; more are no ranges that anyone has

// With is the ranges and one more.
func (r Ranges) With(from, to uint64) Ranges {
	if from >= to {
		return r
	}
	i, _ := slices.BinarySearchFunc(r, from, func(x Range, from uint64) int {
		if x.To < from {
			return -1
		}
		return 1
	})
	j := i
	for j < len(r) && r[j].From <= to {
		from, to = min(from, r[j].From), max(to, r[j].To)
		j++
	}
	return slices.Replace(slices.Clone(r), i, j, Range{From: from, To: to})
}

// Without is what of the ranges other does not have.
func (r Ranges) Without(other Ranges) (rest Ranges) {
	for _, x := range r {
		from := x.From
		for _, o := range other {
			if o.To <= from || o.From >= x.To {
				continue
			}
			if o.From > from {
				rest = append(rest, Range{From: from, To: o.From})
			}
			from = max(from, o.To)
		}
		if from < x.To {
			rest = append(rest, Range{From: from, To: x.To})
		}
	}
	return rest
}

// Contains tells whether all of a run is in the ranges.
func (r Ranges) Contains(from, to uint64) bool {
	for _, x := range r {
		if x.From <= from && to <= x.To {
			return true
		}
	}
	return from >= to
}

// EndOfRange is the end of the run that holds a record, or the record itself where none does.
func (r Ranges) EndOfRange(from uint64) uint64 {
	for _, x := range r {
		if x.From <= from && from < x.To {
			return x.To
		}
	}
	return from
}

// Count is how many records there are.
func (r Ranges) Count() (n uint64) {
	for _, x := range r {
		n += x.To - x.From
	}
	return n
}

// sound tells whether ranges that a peer sent are any.
func (r Ranges) sound() bool {
	last := uint64(0)
	for _, x := range r {
		if x.From <= last || x.From >= x.To {
			return false
		}
		last = x.To
	}
	return len(r) <= rangesMost
}
