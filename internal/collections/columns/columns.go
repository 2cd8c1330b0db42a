// Package columns provides functions for tables whose columns are slices with a common index. The caller owns the
// columns and synchronizes access.
package columns

import "slices"

// Put sets an element of each column and extends the columns as needed. i should be at most the column's length:
// above it, the first element of the gap also gets the value, and the others get the previous contents of the slice's
// memory, usually zero. A column that has to grow doubles, since an endpoint list adds many elements in one update.
func Put[T any](i int, value T, columns ...*[]T) {
	for _, column := range columns {
		if i >= cap(*column) {
			*column = slices.Grow(*column, i+1)
		}
		*column = append(*column, value)[:max(len(*column), i+1)]
		(*column)[i] = value
	}
}

// Extend makes a column at least length elements long, with zero values at its end.
func Extend[T any](length int, column *[]T) {
	if missing := length - len(*column); missing > 0 {
		*column = append(*column, make([]T, missing)...)
	}
}

// Clone replaces each column with a copy.
func Clone[T any](columns ...*[]T) {
	for _, column := range columns {
		*column = slices.Clone(*column)
	}
}

// Sum returns the sum of a column, added in index order.
func Sum(column []float64) (sum float64) {
	for _, value := range column {
		sum += value
	}
	return sum
}
