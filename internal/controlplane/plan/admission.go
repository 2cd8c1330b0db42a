package plan

import (
	"math"
	"time"
)

const (
	overloadTimeoutShare = 0.1 // of the recent attempts that time out, from which less is admitted
	overloadLatency      = 1.2 // mean latency over the objective, likewise
	minOverloadAttempts  = 4.0 // recent attempts, below which nothing is concluded
	admissionRate        = 0.7 // per second, by which the logarithm of the admitted share moves
	maxOverloadFactor    = 2.0 // of admissionRate while the share falls
	minAdmittedShare     = 0.2 // below it the forwarders' own concurrency limits decide
)

// loadStats are recent attempts over all servers and forwarders, decaying with recentTimeConstant.
type loadStats struct {
	ended         float64 // completed or timed out
	timedOut      float64
	overObjective float64 // sum of latency over the objective of completed attempts
}

func (l *loadStats) decay(passed time.Duration) {
	keep := decay(passed, recentTimeConstant)
	l.ended *= keep
	l.timedOut *= keep
	l.overObjective *= keep
}

// updateAdmission lowers the admitted share while attempts time out over all forwarders and those that complete take longer
// than their objective; else it raises the share.
func (p *Planner) updateAdmission(passed time.Duration) {
	meanOverObjective := p.load.overObjective / max(p.load.ended-p.load.timedOut, 1)
	isOverloaded := p.load.ended > minOverloadAttempts && p.load.timedOut > overloadTimeoutShare*p.load.ended && meanOverObjective > overloadLatency
	step := admissionRate * passed.Seconds()
	if isOverloaded {
		p.admitted *= math.Exp(-step * min(meanOverObjective-1, maxOverloadFactor))
	} else {
		p.admitted *= math.Exp(step)
	}
	p.admitted = min(max(p.admitted, minAdmittedShare), 1)
}
