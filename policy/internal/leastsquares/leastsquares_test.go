package leastsquares

import (
	"math"
	"testing"
)

func TestFit(t *testing.T) {
	for name, c := range map[string]struct {
		x     []float64
		rises bool
		next  float64 // x at which the line reaches the next count
	}{
		"none":            {nil, false, 0},
		"one point":       {[]float64{5}, false, 0},
		"equal points":    {[]float64{5, 5}, false, 0},
		"falling":         {[]float64{9, 7, 5}, false, 0},
		"two points":      {[]float64{10, 12}, true, 14},
		"evenly spaced":   {[]float64{1_000, 1_020, 1_040, 1_060}, true, 1_080},
		"unevenly spaced": {[]float64{0, 1, 4}, true, 5.0/3 + 2*8.666666666666667/4},
	} {
		t.Run(name, func(t *testing.T) {
			line := Fit(c.x)
			if rises := line.Run > 0 && line.Rise > 0; rises != c.rises {
				t.Fatalf("line rises: got %v, want %v", rises, c.rises)
			}
			if !c.rises {
				return
			}
			n := float64(len(c.x))
			if got := line.XAt(n); math.Abs(got-c.next) > 1e-9*c.next {
				t.Errorf("x of next count: got %g, want %g", got, c.next)
			}
		})
	}
}
