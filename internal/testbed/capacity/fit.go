// Package capacity extrapolates committed measurements to the resource needs of each role of a deployment at a target size.
// It prints them with their budgets as the tables of docs/CAPACITY.md. LoadResults and LoadTarget read the input, Fit fits
// the growth of a figure over one dimension, and Print evaluates each fitted slope at the target size of that dimension and writes
// the tables. All other dimensions stay at their measured sizes.
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

// Shape is the function by which a figure grows with a size.
type Shape int

// Shapes of growth, from the simplest to the most complex.
const (
	Constant Shape = iota
	Linear
	LogLinear // n log n
	Square
)

func (s Shape) String() string {
	return [...]string{"constant", "linear", "n log n", "square"}[s]
}

// growth returns the value of the shape's function at a size.
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

// Slope is a fitted function: Fixed plus Factor times the growth of its shape.
type Slope struct {
	Shape         Shape
	Fixed, Factor float64
	Residual      float64 // root mean square of the deviations, each relative to the measured value
	Largest       float64 // largest measured size
	// PredictionError is the relative error, at the largest size, of the slope that is fitted to all smaller sizes. It is positive
	// if that slope is too high.
	PredictionError float64
}

const (
	minPoints          = 3    // needed to distinguish shapes
	maxPredictionError = 0.25 // above this share of the value at the largest size, the slope counts as not predicted
	// A more complex shape replaces a simpler one only if its residual is below this share of the other's, because noise alone
	// always favors more complex shapes.
	minImprovement     = 0.8
	sufficientResidual = 0.03 // residual at or below which no more complex shape is tried
	constantResidual   = 0.1  // the same for the constant shape: a figure that varies by a tenth over all sizes does not grow
)

var errFewPoints = errors.New("fit slope: fewer than 3 sizes were measured")

// At returns the value of the slope at a size.
func (s Slope) At(n float64) float64 { return s.Fixed + s.Factor*s.Shape.growth(n) }

// Unpredicted reports whether the slope that is fitted to the smaller sizes misses the value at the largest size by more than a
// quarter.
func (s Slope) Unpredicted() bool { return math.Abs(s.PredictionError) > maxPredictionError }

// Fit returns the slope of the simplest shape that describes the points, by least squares of relative deviations. Sizes
// double, so that with absolute deviations the largest size alone would decide.
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

// fit tries the shapes from the simplest to the most complex, until the residual is small enough, and returns the best slope.
func fit(points []Point) Slope {
	best := fitShape(Constant, points)
	if best.Residual <= constantResidual {
		return best
	}
	for _, shape := range []Shape{Linear, LogLinear, Square} {
		if best.Residual <= sufficientResidual {
			break
		}
		if s := fitShape(shape, points); s.Residual < minImprovement*best.Residual {
			best = s
		}
	}
	return best
}

// fitShape fits one shape with both parts, with the fixed part alone and with the growing part alone, and returns the best of these
// slopes whose parts are not negative: no figure shrinks with the size, and none is below zero.
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

// solve solves the normal equations for Fixed and Factor, weighted by the inverse squares of the measured values so that deviations
// are relative. Either part may be left out, and is 0 then.
func solve(shape Shape, points []Point, hasFixed, hasFactor bool) Slope {
	s := Slope{Shape: shape}
	var sumWeight, sumGrowth, sumGrowthSquared, sumValue, sumGrowthValue float64 // all weighted
	for _, p := range points {
		weight := 1 / math.Pow(max(math.Abs(p.Value), minDivisor), 2)
		g := shape.growth(p.Size)
		sumWeight += weight
		sumGrowth += weight * g
		sumGrowthSquared += weight * g * g
		sumValue += weight * p.Value
		sumGrowthValue += weight * g * p.Value
	}
	switch determinant := sumWeight*sumGrowthSquared - sumGrowth*sumGrowth; {
	case hasFixed && hasFactor && shape != Constant && determinant != 0:
		s.Fixed = (sumValue*sumGrowthSquared - sumGrowthValue*sumGrowth) / determinant
		s.Factor = (sumWeight*sumGrowthValue - sumGrowth*sumValue) / determinant
	case hasFixed:
		s.Fixed = sumValue / sumWeight
	case sumGrowthSquared != 0:
		s.Factor = sumGrowthValue / sumGrowthSquared
	}
	sumSquares := 0.0
	for _, p := range points {
		deviation := (s.At(p.Size) - p.Value) / max(math.Abs(p.Value), minDivisor)
		sumSquares += deviation * deviation
	}
	s.Residual = math.Sqrt(sumSquares / float64(len(points)))
	return s
}

const minDivisor = 1e-12 // replaces a measured zero as divisor
