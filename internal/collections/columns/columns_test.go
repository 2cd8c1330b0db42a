package columns

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestPutMakesColumnsLongEnough(t *testing.T) {
	a, b := []int{1, 2}, []int{}
	Put(3, 9, &a, &b)
	if !slices.Equal(a, []int{1, 2, a[2], 9}) || len(b) != 4 || b[3] != 9 {
		t.Errorf("got %v and %v", a, b)
	}
	if Put(0, 7, &a); !slices.Equal(a, []int{7, 2, a[2], 9}) {
		t.Errorf("after Put at index 0: got %v", a)
	}
}

// TestPutDoubles checks that Put does not reallocate a growing column for each element.
func TestPutDoubles(t *testing.T) {
	const elements, most = 10_000, 30
	var column []int
	reallocations := 0
	for i := range elements {
		before := cap(column)
		if Put(i, i, &column); cap(column) != before {
			reallocations++
		}
	}
	if reallocations > most || len(column) != elements {
		t.Errorf("got %d reallocations for %d elements", reallocations, len(column))
	}
}

func TestExtend(t *testing.T) {
	for name, c := range map[string]struct {
		length int
		want   []float64
	}{
		"longer":  {4, []float64{1, 2, 0, 0}},
		"equal":   {2, []float64{1, 2}},
		"shorter": {1, []float64{1, 2}},
		"by one":  {3, []float64{1, 2, 0}},
		"zero":    {0, []float64{1, 2}},
	} {
		t.Run(name, func(t *testing.T) {
			column := []float64{1, 2, 8, 8, 8}[:2]
			if Extend(c.length, &column); !slices.Equal(column, c.want) {
				t.Errorf("got %v, want %v", column, c.want)
			}
		})
	}
}

func TestCloneSharesNothing(t *testing.T) {
	a, b := []int{1}, []int{2}
	x, y := a, b
	Clone(&x, &y)
	x[0], y[0] = 5, 5
	if a[0] != 1 || b[0] != 2 {
		t.Errorf("got %v and %v", a, b)
	}
}

func TestDurationsKeepTheirSum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var d Durations
		var model []time.Duration
		for range rapid.IntRange(0, 50).Draw(t, "steps") {
			i := rapid.IntRange(0, len(model)).Draw(t, "at")
			value := time.Duration(rapid.IntRange(-9, 9).Draw(t, "value"))
			if i == len(model) {
				model = append(model, 0)
			}
			copied := d.Clone()
			sumBefore := d.Sum()
			model[i] = value
			if d.Set(i, value); copied.Sum() != sumBefore || i < copied.Len() && copied.At(i) == value && d.Sum() != sumBefore {
				t.Fatal("clone changed with the column")
			}
		}
		want := time.Duration(0)
		for i, value := range model {
			if want += value; d.At(i) != value {
				t.Fatalf("got %v at index %d, want %v", d.At(i), i, value)
			}
		}
		if d.Sum() != want || d.Len() != len(model) {
			t.Fatalf("got sum %v of %d elements, want %v of %d", d.Sum(), d.Len(), want, len(model))
		}
	})
}

func TestSum(t *testing.T) {
	if got := Sum([]float64{1, 2, 4}); got != 7 || Sum(nil) != 0 {
		t.Errorf("got sum %g, want 7, and 0 for an empty column", got)
	}
}
