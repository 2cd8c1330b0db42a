// Package capacity works out, from committed results of measurements, what each role of a deployment would need at a
// target size, and renders that beside the budgets as the tables of docs/CAPACITY.md.
package capacity

import (
	"errors"
	"math"
	"slices"
)

// Point is one measured figure at one size.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Shape is how a figure grows with a size.
type Shape int

// Shapes that a figure may grow by.
const (
	Constant Shape = iota
	Linear
	LogLinear // n log n
	Square
)

func (s Shape) String() string {
	return [...]string{"constant", "linear", "n log n", "square"}[s]
}

// growth is the shape's own term at a size.
func (s Shape) growth(n float64) float64 {
	switch s {
	case Linear:
		return n
	case LogLinear:
		return n * math.Log2(max(n, 2))
	case Square:
		return n * n
	}
	return 0
}

// Slope is a fitted dependence: Fixed + Factor times the growth of its shape.
type Slope struct {
	Shape         Shape
	Fixed, Factor float64
	Residual      float64 // root mean square of the deviations, each over the measured value
	Largest       float64 // size
	// PredictionError is by how much of the measured value the slope of all smaller sizes misses that of the largest size.
	PredictionError float64
}

const (
	minPoints          = 3    // of which a slope can be told from another
	maxPredictionError = 0.25 // of the largest size's value, beyond which the slope is said not to have predicted it
	// A more complex shape must leave clearly less behind: noise alone always favours the one that bends to it.
	minImprovement   = 0.8
	goodResidual     = 0.03 // residual beneath which a shape needs no better one
	constantResidual = 0.1  // the same for the constant: a figure that stays within a tenth over all sizes does not grow
)

var errFewPoints = errors.New("a slope needs three sizes")

// At extrapolates to a size.
func (s Slope) At(n float64) float64 { return s.Fixed + s.Factor*s.Shape.growth(n) }

// Unpredicted reports that the smaller sizes did not predict the largest one within a quarter.
func (s Slope) Unpredicted() bool { return math.Abs(s.PredictionError) > maxPredictionError }

// Fit finds the simplest shape that describes the points, by least squares of relative deviations: sizes double, so that
// absolute ones would let the largest size alone decide.
func Fit(points []Point) (Slope, error) {
	points = slices.Clone(points)
	slices.SortFunc(points, func(a, b Point) int { return cmpFloat(a.Size, b.Size) })
	if len(points) < minPoints {
		return Slope{}, errFewPoints
	}
	best := fit(points)
	last := points[len(points)-1]
	best.Largest = last.Size
	if last.Value != 0 {
		best.PredictionError = fit(points[:len(points)-1]).At(last.Size)/last.Value - 1
	}
	return best, nil
}

func cmpFloat(a, b float64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// fit tries each shape, the simplest first.
func fit(points []Point) Slope {
	best := fitShape(Constant, points)
	if best.Residual <= constantResidual {
		return best
	}
	for _, shape := range []Shape{Linear, LogLinear, Square} {
		if best.Residual <= goodResidual {
			break
		}
		if s := fitShape(shape, points); s.Residual < minImprovement*best.Residual {
			best = s
		}
	}
	return best
}

// fitShape fits one shape. Neither part is negative: a figure does not shrink with size, and costs nothing below zero.
func fitShape(shape Shape, points []Point) Slope {
	best := Slope{Shape: shape, Residual: math.Inf(1)}
	for _, parts := range [][2]bool{{true, true}, {true, false}, {false, true}} {
		s := solve(shape, points, parts[0], parts[1])
		if s.Fixed < 0 || s.Factor < 0 || math.IsNaN(s.Residual) {
			continue
		}
		if s.Residual < best.Residual {
			best = s
		}
	}
	return best
}

// solve is the weighted normal equation of the two parts, of which either may be left out.
func solve(shape Shape, points []Point, fixed, factor bool) Slope {
	s := Slope{Shape: shape}
	var ones, cross, squares, value, grown float64
	for _, p := range points {
		weight := 1 / math.Pow(max(math.Abs(p.Value), minDivisor), 2)
		g := shape.growth(p.Size)
		ones += weight
		cross += weight * g
		squares += weight * g * g
		value += weight * p.Value
		grown += weight * g * p.Value
	}
	switch determinant := ones*squares - cross*cross; {
	case fixed && factor && shape != Constant && determinant != 0:
		s.Fixed = (value*squares - grown*cross) / determinant
		s.Factor = (ones*grown - cross*value) / determinant
	case fixed:
		s.Fixed = value / ones
	case squares != 0:
		s.Factor = grown / squares
	}
	sum := 0.0
	for _, p := range points {
		deviation := (s.At(p.Size) - p.Value) / max(math.Abs(p.Value), minDivisor)
		sum += deviation * deviation
	}
	s.Residual = math.Sqrt(sum / float64(len(points)))
	return s
}

const minDivisor = 1e-12 // in place of a measured zero, over which nothing can be divided
