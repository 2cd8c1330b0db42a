package plan

import (
	"math"
	"time"
)

const (
	overloadTimeoutShare = 0.1 // min share of timeouts among recent attempts during overload
	overloadLatencyRatio = 1.2 // min ratio of mean latency to latency objective during overload
	minOverloadAttempts  = 4.0 // min recent attempts for detecting overload
	admissionRate        = 0.7 // change of the admitted share's logarithm per second
	maxOverloadFactor    = 2.0 // max multiple of admissionRate while the share decreases
	minAdmittedShare     = 0.2 // concurrency limits of the forwarders handle further overload
)

// loadStats summarizes recent attempts over all servers and forwarders. All values decay with recentTimeConstant.
type loadStats struct {
	ended           float64 // completed or timed out
	timedOut        float64
	latencyRatioSum float64 // sum over completed attempts of the ratio of latency to latency objective
}

func (l *loadStats) decay(elapsed time.Duration) {
	retained := decayFactor(elapsed, recentTimeConstant)
	l.ended *= retained
	l.timedOut *= retained
	l.latencyRatioSum *= retained
}

// updateAdmission decreases the admitted share while both the timeouts and the latency over all forwarders indicate overload.
// Otherwise it increases the share.
func (p *Planner) updateAdmission(elapsed time.Duration) {
	meanLatencyRatio := p.load.latencyRatioSum / max(p.load.ended-p.load.timedOut, 1)
	isOverloaded := p.load.ended > minOverloadAttempts && p.load.timedOut > overloadTimeoutShare*p.load.ended && meanLatencyRatio > overloadLatencyRatio
	step := admissionRate * elapsed.Seconds()
	if isOverloaded {
		p.admittedShare *= math.Exp(-step * min(meanLatencyRatio-1, maxOverloadFactor))
	} else {
		p.admittedShare *= math.Exp(step)
	}
	p.admittedShare = min(max(p.admittedShare, minAdmittedShare), 1)
}
