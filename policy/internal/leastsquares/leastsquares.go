// Package leastsquares fits a straight line to points.
package leastsquares

// Line goes through the mean of the points and rises by Rise over Run, neither of which is scaled.
type Line struct {
	origin       float64 // first x, from which the others are counted, for the sake of rounding
	meanX, meanY float64
	Run, Rise    float64
}

// Fit draws the line through the points (x[i], i).
func Fit(x []float64) Line {
	var sx, sy, sxx, sxy float64
	for i := range x {
		dx, y := x[i]-x[0], float64(i)
		sx, sy, sxx, sxy = sx+dx, sy+y, sxx+dx*dx, sxy+dx*y
	}
	n := float64(len(x))
	if n == 0 {
		return Line{}
	}
	return Line{origin: x[0], meanX: sx / n, meanY: sy / n, Run: n*sxx - sx*sx, Rise: n*sxy - sx*sy}
}

// XAt is the x where a line that rises meets y.
func (l Line) XAt(y float64) float64 { return l.origin + l.meanX + (y-l.meanY)*l.Run/l.Rise }
