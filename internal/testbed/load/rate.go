package load

import (
	"math"
	"time"

	"fernvane/internal/testbed/scenario"
)

const rateStep = time.Millisecond // integration step of the rate

// Rate returns the scenario's rate at a given time, in requests per second.
func Rate(s *scenario.Scenario, at time.Duration) float64 {
	rate, swing := s.Load.Rate, s.Load.Swing
	period := max(s.Load.Period.Std(), rateStep)
	switch s.Load.Shape {
	case "bursts":
		if at%period < period/2 {
			rate *= 1 + swing
		} else {
			rate *= 1 - swing
		}
	case "ramp":
		rate *= 1 + swing*(2*at.Seconds()/s.Length.Std().Seconds()-1)
	case "wave":
		rate *= 1 + swing*math.Sin(2*math.Pi*at.Seconds()/period.Seconds())
	}
	for _, fault := range s.Faults {
		if at < fault.At.Std() {
			continue
		}
		switch fault.Kind {
		case "overload":
			if at < fault.End() {
				rate *= fault.Size
			}
		case "shrink": // falls linearly and stays at Size
			progress := min((at-fault.At.Std()).Seconds()/fault.For.Std().Seconds(), 1)
			rate *= 1 - (1-fault.Size)*progress
		}
	}
	return rate
}
