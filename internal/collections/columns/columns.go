// Package columns helps with tables whose columns are slices under one index. The caller owns the columns; nothing here
// has a lock.
package columns

import "slices"

// Put sets an element of each column and makes the columns long enough. i should be at most the column's length: beyond
// it the first element of the gap gets the value too, and the others what the slice's memory held, mostly zero. A column
// that has to grow doubles, since a list brings many elements at once.
func Put[T any](i int, value T, columns ...*[]T) {
	for _, column := range columns {
		if i >= cap(*column) {
			*column = slices.Grow(*column, i+1)
		}
		*column = append(*column, value)[:max(len(*column), i+1)]
		(*column)[i] = value
	}
}

// Extend makes a column at least as long as length, with zero values at its end.
func Extend[T any](length int, column *[]T) {
	if missing := length - len(*column); missing > 0 {
		*column = append(*column, make([]T, missing)...)
	}
}

// Clone replaces each column by a copy.
func Clone[T any](columns ...*[]T) {
	for _, column := range columns {
		*column = slices.Clone(*column)
	}
}

// Sum returns the sum of a column, added up in its order.
func Sum(column []float64) (sum float64) {
	for _, value := range column {
		sum += value
	}
	return sum
}
