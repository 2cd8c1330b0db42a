// Package leastsquares fits a straight line to points by least squares, for the policy's pause forecast.
package leastsquares

// Line passes through the mean of the points with the slope Rise over Run. Rise and Run have a common arbitrary
// scale: only their signs and their ratio are meaningful. A Run of 0 means that the points define no line.
type Line struct {
	origin float64 // first x; the others are relative to it to reduce rounding errors
	meanX  float64
	meanY  float64
	Run    float64
	Rise   float64
}

// Fit returns the line through the points (x[i], i).
func Fit(x []float64) Line {
	if len(x) == 0 {
		return Line{}
	}
	var sumX, sumY, sumXX, sumXY float64
	for i := range x {
		dx, y := x[i]-x[0], float64(i)
		sumX += dx
		sumY += y
		sumXX += dx * dx
		sumXY += dx * y
	}
	n := float64(len(x))
	return Line{
		origin: x[0],
		meanX:  sumX / n,
		meanY:  sumY / n,
		Run:    n*sumXX - sumX*sumX,
		Rise:   n*sumXY - sumX*sumY,
	}
}

// XAt returns the x at which the line reaches y. Rise must not be 0; the caller checks that Run and Rise are above 0.
func (l Line) XAt(y float64) float64 { return l.origin + l.meanX + (y-l.meanY)*l.Run/l.Rise }
