package columns

import (
	"slices"
	"time"
)

// Durations is a column with an incrementally updated sum. The zero value is empty.
type Durations struct {
	values []time.Duration
	sum    time.Duration
}

// Len returns the number of elements.
func (d *Durations) Len() int { return len(d.values) }

// At returns an element.
func (d *Durations) At(i int) time.Duration { return d.values[i] }

// Sum returns the sum of all elements.
func (d *Durations) Sum() time.Duration { return d.sum }

// Set sets an element and extends the column as needed. i should be at most Len (see Put).
func (d *Durations) Set(i int, value time.Duration) {
	if i >= len(d.values) {
		Put(i, 0, &d.values)
	}
	d.sum += value - d.values[i]
	d.values[i] = value
}

// Clone returns a copy that shares no memory with the column.
func (d *Durations) Clone() Durations { return Durations{values: slices.Clone(d.values), sum: d.sum} }
