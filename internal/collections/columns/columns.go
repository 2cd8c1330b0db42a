// Package columns helps with tables whose columns are slices under one index.
package columns

import (
	"slices"
	"time"
)

// Put sets an element of each column and makes the column long enough. A column that has to grow doubles, since a list
// brings many elements at once.
func Put[T any](i int, value T, columns ...*[]T) {
	for _, column := range columns {
		if i >= cap(*column) {
			*column = slices.Grow(*column, i+1)
		}
		*column = append(*column, value)[:max(len(*column), i+1)]
		(*column)[i] = value
	}
}

// Extend makes a column as long as that, with zero values at its end.
func Extend[T any](length int, column *[]T) {
	if missing := length - len(*column); missing > 0 {
		*column = append(*column, make([]T, missing)...)
	}
}

// Clone has each column share no memory with what it was a copy of.
func Clone[T any](columns ...*[]T) {
	for _, column := range columns {
		*column = slices.Clone(*column)
	}
}

// Sum is the sum of a column.
func Sum(column []float64) (sum float64) {
	for _, value := range column {
		sum += value
	}
	return sum
}

// Durations is a column with its sum kept in step. The zero value is an empty one.
type Durations struct {
	values []time.Duration
	sum    time.Duration
}

// Len is the number of elements.
func (d *Durations) Len() int { return len(d.values) }

// At is an element.
func (d *Durations) At(i int) time.Duration { return d.values[i] }

// Sum is the sum of all elements.
func (d *Durations) Sum() time.Duration { return d.sum }

// Set sets an element, and makes the column long enough.
func (d *Durations) Set(i int, value time.Duration) {
	if i >= len(d.values) {
		Put(i, 0, &d.values)
	}
	d.sum += value - d.values[i]
	d.values[i] = value
}

// Clone shares no memory with the column.
func (d *Durations) Clone() Durations { return Durations{values: slices.Clone(d.values), sum: d.sum} }
